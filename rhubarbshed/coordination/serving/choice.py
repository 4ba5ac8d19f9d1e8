"""Choice of a backend server for an attempt.

Load patterns: hundreds of instances with a few requests a second each, whose own view of a server
is some seconds old. They must not all choose the server that was idle a moment ago, nor take one
that is always full for an empty one; a server that fails must not attract requests because it is
empty.
"""

import math
import random

from attrs import frozen

from rhubarbshed.coordination.serving.brittle_servers import has_room
from rhubarbshed.coordination.serving.expected_time import (
    RequestPace,
    compute_expected_cost,
    compute_pace_cost,
    estimate_seconds,
)
from rhubarbshed.coordination.serving.spreading import (
    SPREAD_SERVERS_MAX,
    draw_server,
    estimate_mean_run,
)
from rhubarbshed.protocol.routes import Route
from rhubarbshed.state.membership.fleet import Fleet, ServerRecord

OTHER_CENTRE_COST = 0.25
"""Cost of a server in another data centre, as a fraction of its slots: load that the own data
centre carries before a request crosses over, since bytes between data centres are priced."""

FAILURE_COST = 4.0
"""Cost of a server that fails every request, as a fraction of its slots."""

SAMPLED_SERVERS = 2
"""Number of servers sampled from each group for comparison."""

COST_JITTER = 0.08
"""Largest random addition to the cost, so that instances with the same outdated load do not all
choose alike."""

USUAL_PACE = RequestPace(target_s=0.3)
"""Pace of a request whose route is not known."""

QUEUE_FRACTION = 0.5
BOUND_QUEUE_FRACTION = 1.0
"""Requests that may queue at a server, as a fraction of its slots, before it counts as full: for
any request, and for the rest of a stream, which only some servers can write."""

YIELDING_QUEUE_FRACTION = 0.0
"""The same for latency-tolerant requests under overload: they wait at their instances, so that the
queues of the servers are left to urgent ones of all instances."""


@frozen
class Choice:
    """Chosen server, with the figures behind the choice for the log.

    `slowness` is None if the server does not state it.
    """

    server: ServerRecord
    load: float
    sample_age_s: float
    candidates: int
    slowness: float | None = None
    expected_s: float = 0.0


@frozen
class NoServer:
    """Reason why no server can be chosen.

    `holders` counts the servers that hold the model, `capable` those that could load it.
    """

    reason: str
    holders: int = 0
    capable: int = 0


def choose_service(route: Route, request_id: str, rng: random.Random) -> str:
    """Choose one of a route's services at random by its weights."""
    if len(route.shares) == 1:
        return route.shares[0][0]
    names = [name for name, _ in route.shares]
    weights = [weight for _, weight in route.shares]
    if sum(weights) <= 0.0:
        return names[0]
    return rng.choices(names, weights)[0]


def list_staying(fleet: Fleet, service: str, version: str | None) -> list[ServerRecord]:
    """List the servers that are not leaving; with `version`, those of that software version."""
    return [
        record
        for record in fleet.list_service(service)
        if record.leaving_at is None and (version is None or record.entry.version == version)
    ]


def list_leaving(
    fleet: Fleet, service: str, version: str, needs: tuple[str, str], since: float, now: float
) -> list[ServerRecord]:
    """List the servers of a version that hold the model and announced after `since` to leave."""
    model, adapter = needs
    return [
        record
        for record in fleet.list_service(service)
        if record.entry.version == version
        and record.leaving_at is not None
        and record.leaving_at > since
        and record.unresponsive_until <= now
        and (not model or record.holds(model, adapter))
    ]


def choose_server(
    fleet: Fleet,
    service: str,
    needs: tuple[str, str],
    avoid: frozenset[tuple[str, int]],
    data_centre: str,
    now: float,
    rng: random.Random,
    version: str | None = None,
    leaving_since: float = math.inf,
    instances: int = 1,
    pace: RequestPace = USUAL_PACE,
    spreads: bool = False,
    queue_fraction: float | None = None,
) -> Choice | NoServer:
    """Choose the least loaded available server that holds (model, adapter).

    Servers to `avoid` have failed an earlier attempt of the request. The rest of a stream may come
    from servers of one software `version` only; if none stays, from one that announced after
    `leaving_since` that it leaves, which still serves. So many `instances` send requests. If
    `spreads` is set, servers are drawn by what all of these send until the next load report.
    Requests may queue at a server for `queue_fraction` of its slots, as usual if that is None.
    """
    model, adapter = needs
    staying = list_staying(fleet, service, version)
    if not staying and version is not None:
        staying = list_leaving(fleet, service, version, needs, leaving_since, now)
    if not staying:
        return NoServer("no_servers" if version is None else "version_gone")
    capable = [record for record in staying if record.takes_work(now)]
    holders = [record for record in capable if not model or record.holds(model, adapter)]
    # A server that was unresponsive a moment ago is better than none.
    holders = holders or [record for record in staying if not model or record.holds(model, adapter)]
    if not holders:
        return NoServer("absent", capable=len(capable))
    untried = [record for record in holders if record.key not in avoid]
    if not untried:
        return NoServer("all_tried", holders=len(holders), capable=len(capable))
    confirmed = [record for record in untried if record.missing_since is None] or untried
    if queue_fraction is None:
        queue_fraction = QUEUE_FRACTION if version is None else BOUND_QUEUE_FRACTION
    run_s = estimate_mean_run(confirmed) if spreads else None
    free = [
        record for record in confirmed if not is_full(record, instances, now, queue_fraction, run_s)
    ]
    if not free:
        return NoServer("full", holders=len(holders), capable=len(capable))
    return _describe(_choose_free(free, data_centre, pace, spreads, now, rng), len(free), now)


def _describe(best: ServerRecord, candidates: int, now: float) -> Choice:
    """Return a choice with the figures on its server."""
    return Choice(
        best,
        best.estimate_usual_load(now),
        now - best.sampled_at,
        candidates,
        best.speed.lasting if best.speed is not None else None,
        estimate_seconds(best, now),
    )


def _choose_free(
    free: list[ServerRecord],
    data_centre: str,
    pace: RequestPace,
    spreads: bool,
    now: float,
    rng: random.Random,
) -> ServerRecord:
    """Choose one of the servers that are not full."""
    count = SPREAD_SERVERS_MAX if spreads else SAMPLED_SERVERS
    sampled = _sample_candidates(free, data_centre, rng, count)
    has_speeds = any(record.speed is not None for record in free)
    if spreads:
        # Plain work that is urgent has one pace, so that its draw follows the speeds as they are.
        is_paced = has_speeds and (pace.streamed or pace.is_patient)
        costs = [
            _measure_penalty(record, data_centre, now)
            + (compute_pace_cost(record, pace) if is_paced else 0.0)
            for record in sampled
        ]
        return draw_server(sampled, costs, now, rng)
    if has_speeds:
        return min(
            sampled,
            key=lambda record: compute_expected_cost(record, pace, now)
            + _measure_penalty(record, data_centre, now)
            + rng.uniform(0.0, COST_JITTER),
        )
    return min(sampled, key=lambda record: compute_cost(record, data_centre, now, rng))


def is_responsive(chosen: Choice | NoServer, now: float) -> bool:
    """Return whether a server was chosen that was not silent or out of reach a moment ago."""
    return isinstance(chosen, Choice) and chosen.server.unresponsive_until <= now


def wants_nothing(record: ServerRecord, chosen_at: float, now: float) -> bool:
    """Return whether a server said, since it was chosen, that it wants no more requests."""
    return record.leaving_known_at >= chosen_at or now < record.backoff_until


def _sample_candidates(
    free: list[ServerRecord], data_centre: str, rng: random.Random, count: int
) -> list[ServerRecord]:
    """Sample `count` servers of the own data centre and as many of the others.

    Taking the less loaded of two random servers spreads requests nearly as well as taking the least
    loaded of all, and does not send all instances to the same server until its next load report.
    """
    local = [record for record in free if record.entry.data_centre == data_centre]
    remote = [record for record in free if record.entry.data_centre != data_centre]
    return [
        record for group in (local, remote) for record in rng.sample(group, min(count, len(group)))
    ]


def is_full(
    record: ServerRecord,
    instances: int,
    now: float,
    queue_fraction: float = QUEUE_FRACTION,
    run_s: float | None = None,
) -> bool:
    """Return whether a server would refuse another request or queue it for long, or wants none.

    `instances` share its slots. If `run_s` is given, reported requests end after so long.
    """
    if now < max(record.limited_until, record.backoff_until):
        return True
    if record.rejections_borne is not None:
        return not has_room(record, instances, now)
    load = record.estimate_load(now) if run_s is None else record.split_load(run_s, now)[0]
    return load >= record.entry.slots * (1.0 + queue_fraction)


def compute_cost(record: ServerRecord, data_centre: str, now: float, rng: random.Random) -> float:
    """Return the cost of a request at a server, as a fraction of its slots."""
    load = record.estimate_usual_load(now) / max(1, record.entry.slots)
    return load + _measure_penalty(record, data_centre, now) + rng.uniform(0.0, COST_JITTER)


def _measure_penalty(record: ServerRecord, data_centre: str, now: float) -> float:
    """Return the cost of a server's distance and failures, as a fraction of its slots."""
    centre_cost = OTHER_CENTRE_COST if record.entry.data_centre != data_centre else 0.0
    return centre_cost + FAILURE_COST * record.measure_failures(now)
