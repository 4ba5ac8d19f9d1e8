"""Explanation of where a request would be sent now, by the functions that decide on requests.

Nothing that they read is changed: they get copies of the servers' records and of the random state.
"""

import copy
import math
import random
from collections.abc import Callable

from attrs import field, frozen

from rhubarbshed.coordination.serving.choice import (
    BOUND_QUEUE_FRACTION,
    QUEUE_FRACTION,
    Choice,
    NoServer,
    choose_server,
    choose_service,
    compute_cost,
    is_full,
    is_responsive,
    list_staying,
)
from rhubarbshed.coordination.serving.expected_time import RequestPace
from rhubarbshed.coordination.serving.final_refusals import measure_confirmation_wait
from rhubarbshed.coordination.serving.missing_models import (
    CallerPatience,
    LoadWait,
    decide_load_wait,
    decide_scheduled_load_wait,
)
from rhubarbshed.coordination.serving.queueing import measure_wait
from rhubarbshed.coordination.serving.refusals import (
    make_no_route,
    make_refusal,
    make_unconfirmed,
)
from rhubarbshed.coordination.serving.server_limits import find_limit_retry
from rhubarbshed.protocol.errors import RequestError
from rhubarbshed.protocol.routes import Configuration, Route
from rhubarbshed.state.membership.fleet import Fleet, ServerRecord

CANDIDATES_MAX = 100
"""Most servers that an explanation lists; those with the least cost are listed."""


class LeastDraws(random.Random):
    """Random numbers that are always the least, for the part of a cost that is not random."""

    def random(self) -> float:
        """Return the least number."""
        return 0.0


LEAST_DRAWS = LeastDraws()


@frozen
class Query:
    """Request that is asked about; its caller waits for `timeout_s` more.

    The servers in `tried`, the `service`, the `version` that the rest of a stream is bound to, and
    `queued_s`, for which it has waited at full servers, are those of a request in progress.
    """

    host: str
    path: str
    model: str = ""
    adapter: str = ""
    timeout_s: float = 30.0
    tried: frozenset[tuple[str, int]] = frozenset()
    service: str = ""
    version: str | None = None
    queued_s: float = 0.0

    @property
    def needs(self) -> tuple[str, str]:
        """Return the model and adapter."""
        return self.model, self.adapter


@frozen
class Surroundings:
    """What an instance knows; so many `instances` send requests.

    `refused` is the error for all requests that come now, `read_in_s` the time until the store may
    have been read. `is_cut` means that the instance reaches no server. Servers that announced after
    `leaving_since` that they leave still serve rests of streams. `has_pressure` means that requests
    are scheduled and spread, `check_access` returns the error for the request's key on a route.
    `may_refuse` is whether the configuration may refuse for good, else it is confirmed in
    `confirmed_in_s` unless `is_store_lost`.
    """

    configuration: Configuration | None
    fleet: Fleet
    data_centre: str
    instances: int
    is_cut: bool = False
    refused: RequestError | None = None
    read_in_s: float = 0.0
    leaving_since: float = math.inf
    has_pressure: bool = False
    check_access: Callable[[Route], RequestError | None] = lambda route: None
    may_refuse: bool = True
    is_store_lost: bool = False
    confirmed_in_s: float = 0.0


@frozen
class Candidate:
    """Server of the service; times in seconds from now, None if they do not apply.

    `load` is what is certainly on the server, `usual_load` what it is compared by, and
    `load_age_s` the age of the last report. `cost` is without the random part. `place` is when
    the request would be sent to it, 1 first, 0 if not.
    """

    server: str
    data_centre: str
    version: str
    state: str
    holds: bool
    open: int
    load: float
    usual_load: float
    slots: int
    load_age_s: float | None
    failures: float
    cost: float
    place: int = 0
    silent_s: float | None = None
    backoff_s: float | None = None
    limited_s: float | None = None
    limit_per_s: float | None = None
    missing_s: float | None = None
    loading: str = ""
    loaded_in_s: float | None = None


@frozen
class Explanation:
    """Where a request would go: `decision` is "sent", "forwarded", "waits" or "refused".

    `wait_s` is how long it would wait for what is missing, and `error` what it would be answered
    with if that does not come. `reason` is why no server can be chosen, or "silent" if the first
    one was silent lately, so that another instance is asked before. `services` have their weights,
    `candidates` are at most `CANDIDATES_MAX` of `servers`.
    """

    decision: str
    reason: str = ""
    route: str = ""
    kind: str = ""
    priority: int | None = None
    target_s: float | None = None
    service: str = ""
    services: tuple[tuple[str, float], ...] = ()
    configuration: int | None = None
    attempts: tuple[str, ...] = ()
    wait_s: float = 0.0
    expected_s: float | None = None
    error: RequestError | None = None
    servers: int = 0
    candidates: tuple[Candidate, ...] = field(factory=tuple)


def explain(
    query: Query, surroundings: Surroundings, rng: random.Random, now: float
) -> Explanation:
    """Return where a request would be sent at `now` (monotonic seconds), and why."""
    rng = copy_random(rng)
    configuration = surroundings.configuration
    if surroundings.refused is not None:
        return refuse(surroundings.refused)
    if configuration is None:
        return refuse(make_refusal("not_configured", rng, surroundings.read_in_s))
    route = configuration.find_route(query.host.lower(), query.path)
    if route is None:
        return explain_no_route(query, surroundings, configuration, rng)
    if (refused := surroundings.check_access(route)) is not None:
        return refuse(refused, route=route.name, configuration=configuration.version)
    service = query.service or choose_service(route, "", rng)
    fleet = copy_service(surroundings.fleet, service)
    attempts, last = list_attempts(query, surroundings, route, service, fleet, rng, now)
    candidates = list_candidates(query, surroundings, service, fleet, attempts, now)
    facts = {
        "route": route.name,
        "kind": route.kind.value,
        "priority": route.priority,
        "target_s": route.target_s,
        "service": service,
        "services": route.shares,
        "configuration": configuration.version,
        "servers": len(fleet.servers),
        "candidates": candidates,
    }
    if surroundings.is_cut:
        return Explanation("forwarded", "links_cut", **facts)
    if attempts:
        reason = "" if is_responsive(attempts[0], now) else "silent"
        names = tuple(each.server.entry.server_id for each in attempts)
        return Explanation("sent", reason, attempts=names, **facts)
    return explain_absence(query, surroundings, route, service, fleet, last, rng, now, facts)


def explain_no_route(
    query: Query, surroundings: Surroundings, configuration: Configuration, rng: random.Random
) -> Explanation:
    """Return the explanation of a request that no known route fits.

    A configuration that may be out of date is confirmed first.
    """
    if surroundings.may_refuse:
        return refuse(make_no_route(), configuration=configuration.version)
    error = make_unconfirmed("route_unconfirmed", rng, surroundings.confirmed_in_s)
    wait_s = measure_confirmation_wait(query.timeout_s, surroundings.is_store_lost)
    return Explanation(
        "waits" if wait_s > 0.0 else "refused",
        error.code,
        wait_s=wait_s,
        error=error,
        configuration=configuration.version,
    )


def refuse(error: RequestError, **facts: object) -> Explanation:
    """Return the explanation of a request that is refused before a server is chosen."""
    return Explanation("refused", error.code, error=error, **facts)


def copy_random(rng: random.Random) -> random.Random:
    """Return a generator that draws what another one would draw next."""
    copied = random.Random()
    copied.setstate(rng.getstate())
    return copied


def copy_service(fleet: Fleet, service: str) -> Fleet:
    """Return a fleet with copies of the records of a service, whose sums decay as they are read."""
    records = {each.entry.server_id: copy.copy(each) for each in fleet.list_service(service)}
    return Fleet(records, {service: records})


def list_attempts(
    query: Query,
    surroundings: Surroundings,
    route: Route,
    service: str,
    fleet: Fleet,
    rng: random.Random,
    now: float,
) -> tuple[list[Choice], NoServer | None]:
    """Return the servers that would get the request one after the other, if each breaks it off.

    If none would, return why.
    """
    found: list[Choice] = []
    avoid = query.tried
    usual_gap_s = fleet.find_usual_gap(service)
    pace = RequestPace(route.target_s, route.gap_s, route.streamed, usual_gap_s)
    for _ in range(route.attempts_max if route.repeatable else 1):
        chosen = choose_server(
            fleet,
            service,
            query.needs,
            avoid,
            surroundings.data_centre,
            now,
            rng,
            query.version,
            surroundings.leaving_since,
            surroundings.instances,
            pace,
            surroundings.has_pressure,
        )
        if isinstance(chosen, NoServer):
            return found, chosen
        found.append(chosen)
        avoid = avoid | {chosen.server.key}
    return found, None


def explain_absence(
    query: Query,
    surroundings: Surroundings,
    route: Route,
    service: str,
    fleet: Fleet,
    found: NoServer,
    rng: random.Random,
    now: float,
    facts: dict[str, object],
) -> Explanation:
    """Return for what a request would wait for which there is no server, and how it would end."""
    staying = list_staying(fleet, service, query.version)
    wait_s, expected_s, available_in_s = 0.0, None, None
    left_s = min(query.timeout_s, route.timeout_s)
    if found.reason == "full":
        wait_s = measure_wait(route, query.queued_s, left_s)
        available_in_s = find_limit_retry(staying, query.needs, now)
    engine = surroundings.configuration.find_engine(service)
    if found.reason == "absent" and engine is not None and engine.has_target(*query.needs):
        until = now + min(left_s, route.stall_timeout_s)
        patience = CallerPatience(now, until, route.target_s)
        decide = decide_scheduled_load_wait if surroundings.has_pressure else decide_load_wait
        decision = decide(engine, query.needs, staying, patience, now)
        if isinstance(decision, LoadWait):
            wait_s, available_in_s = decision.until - now, decision.expected_s
            expected_s = decision.expected_s
        else:
            available_in_s = decision.available_in_s
    error = make_refusal(found.reason, rng, available_in_s)
    decided = "waits" if wait_s > 0.0 else "refused"
    return Explanation(
        decided, found.reason, wait_s=wait_s, expected_s=expected_s, error=error, **facts
    )


def list_candidates(
    query: Query,
    surroundings: Surroundings,
    service: str,
    fleet: Fleet,
    attempts: list[Choice],
    now: float,
) -> tuple[Candidate, ...]:
    """List the servers of a service in the order of the request's attempts and of their cost."""
    places = {each.server.key: place for place, each in enumerate(attempts, 1)}

    def rank(record: ServerRecord) -> tuple[float, bool, float]:
        is_free = name_state(record, query, surroundings.instances, now) == "free"
        cost = compute_cost(record, surroundings.data_centre, now, LEAST_DRAWS)
        return places.get(record.key, math.inf), not is_free, cost

    ranked = sorted(fleet.list_service(service), key=rank)
    return tuple(
        describe_server(record, query, surroundings, places, now)
        for record in ranked[:CANDIDATES_MAX]
    )


def describe_server(
    record: ServerRecord,
    query: Query,
    surroundings: Surroundings,
    places: dict[tuple[str, int], int],
    now: float,
) -> Candidate:
    """Return what speaks for a server and against it."""
    entry = record.entry
    return Candidate(
        server=entry.server_id,
        data_centre=entry.data_centre,
        version=entry.version,
        state=name_state(record, query, surroundings.instances, now),
        holds=holds_needed(record, query),
        open=record.open,
        load=record.estimate_load(now),
        usual_load=record.estimate_usual_load(now),
        slots=entry.slots,
        load_age_s=now - record.sampled_at if math.isfinite(record.sampled_at) else None,
        failures=record.measure_failures(now),
        cost=compute_cost(record, surroundings.data_centre, now, LEAST_DRAWS),
        place=places.get(record.key, 0),
        silent_s=measure_left(record.unresponsive_until, now),
        backoff_s=measure_left(record.backoff_until, now),
        limited_s=measure_left(record.limited_until, now),
        limit_per_s=record.limit_per_s,
        missing_s=None if record.missing_since is None else now - record.missing_since,
        loading=record.loading,
        loaded_in_s=measure_left(record.loaded_at, now) if record.loading else None,
    )


def measure_left(until: float, now: float) -> float | None:
    """Return the seconds until a time, None if it has passed or is not known."""
    return until - now if math.isfinite(until) and until > now else None


def holds_needed(record: ServerRecord, query: Query) -> bool:
    """Return whether a server holds what a request names, if it names a model."""
    return not query.model or record.holds(query.model, query.adapter)


def name_state(record: ServerRecord, query: Query, instances: int, now: float) -> str:
    """Return what keeps a request from a server, "free" if nothing does."""
    if record.leaving_at is not None:
        return "leaving"
    if not holds_needed(record, query):
        return "without_model"
    if record.key in query.tried:
        return "tried"
    if now < record.backoff_until:
        return "backoff"
    if now < record.unresponsive_until:
        return "silent"
    if record.missing_since is not None:
        return "missing"
    if query.version not in (None, record.entry.version):
        return "other_version"
    queue_fraction = QUEUE_FRACTION if query.version is None else BOUND_QUEUE_FRACTION
    return "full" if is_full(record, instances, now, queue_fraction) else "free"
