"""Choice of a backend server for an attempt.

Answers a load that shifts between servers faster than any of them can tell: many instances must
not all take the server that was idle a moment ago, and one that fails must not draw requests
because it is empty.
"""

import random

from attrs import frozen

from rhubarbshed.protocol.routes import Route
from rhubarbshed.state.membership.fleet import Fleet, ServerRecord

OTHER_CENTRE_COST = 0.25
"""Load, as a part of a server's slots, that is borne before a request goes to another data centre;
bytes between data centres are priced."""

FAILURE_COST = 4.0
"""Load, as a part of a server's slots, that weighs as much as failing each request."""

SAMPLED_SERVERS = 2
"""Servers of a group that are compared."""

COST_JITTER = 0.08
"""Random part of the cost, which keeps instances from choosing alike on old news."""

QUEUE_FRACTION = 0.5
"""Requests that may wait at a server, as a part of its slots, before it counts as full."""


@frozen
class Choice:
    """Name the chosen server and what decided, for the log."""

    server: ServerRecord
    load: float
    sample_age_s: float
    candidates: int


@frozen
class NoServer:
    """Tell why no server can be chosen.

    `holders` have the model; `capable` counts servers that could be made to hold it; `places` are
    those that it would need.
    """

    reason: str
    holders: int = 0
    capable: int = 0


def choose_service(route: Route, request_id: str, rng: random.Random) -> str:
    """Choose among a route's services by their weights."""
    if len(route.shares) == 1:
        return route.shares[0][0]
    names = [name for name, _ in route.shares]
    weights = [weight for _, weight in route.shares]
    if sum(weights) <= 0.0:
        return names[0]
    return rng.choices(names, weights)[0]


def choose_server(
    fleet: Fleet,
    service: str,
    needs: tuple[str, str],
    avoid: frozenset[tuple[str, int]],
    data_centre: str,
    now: float,
    rng: random.Random,
) -> Choice | NoServer:
    """Choose a server that holds (model, adapter) and takes work, the least loaded first.

    Servers to `avoid` were tried before and failed.
    """
    model, adapter = needs
    staying = [record for record in fleet.list_service(service) if record.leaving_at is None]
    if not staying:
        return NoServer("no_servers")
    capable = [record for record in staying if record.takes_work(now)]
    holders = [record for record in capable if not model or record.holds(model, adapter)]
    # One that was silent a moment ago is better than none.
    holders = holders or [record for record in staying if not model or record.holds(model, adapter)]
    if not holders:
        return NoServer("absent", capable=len(capable))
    untried = [record for record in holders if record.key not in avoid]
    if not untried:
        return NoServer("all_tried", holders=len(holders), capable=len(capable))
    confirmed = [record for record in untried if record.missing_since is None] or untried
    free = [record for record in confirmed if not is_full(record, now)]
    if not free:
        return NoServer("full", holders=len(holders), capable=len(capable))
    sampled = _sample_candidates(free, data_centre, rng)
    best = min(sampled, key=lambda record: compute_cost(record, data_centre, now, rng))
    age_s = now - best.sampled_at
    return Choice(best, best.estimate_load(now), age_s, len(free))


def _sample_candidates(
    free: list[ServerRecord], data_centre: str, rng: random.Random
) -> list[ServerRecord]:
    """Draw two servers of the own data centre and two of others.

    The less busy of two that were drawn spreads requests nearly as well as the least busy of all,
    and does not send all instances to the same one until the next news of its load.
    """
    local = [record for record in free if record.entry.data_centre == data_centre]
    remote = [record for record in free if record.entry.data_centre != data_centre]
    return [
        record
        for group in (local, remote)
        for record in rng.sample(group, min(SAMPLED_SERVERS, len(group)))
    ]


def is_full(record: ServerRecord, now: float) -> bool:
    """Tell whether another request would only be refused or wait long at a server."""
    return record.estimate_load(now) >= record.entry.slots * (1.0 + QUEUE_FRACTION)


def compute_cost(record: ServerRecord, data_centre: str, now: float, rng: random.Random) -> float:
    """Return what a request at a server costs, in parts of its slots."""
    slots = max(1, record.entry.slots)
    cost = record.estimate_load(now) / slots
    if record.entry.data_centre != data_centre:
        cost += OTHER_CENTRE_COST
    cost += FAILURE_COST * record.measure_failures(now)
    return cost + rng.uniform(0.0, COST_JITTER)
