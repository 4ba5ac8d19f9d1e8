"""Choice of the models that engines load and unload.

Demand moves to other models within seconds, rare models are asked for at once, and engines return
empty after a restart, but with their disks. Copies are added by what they gain in the time that
their engines need, and a copy is evicted only for one of clearly higher value.
"""

import heapq
import itertools
from collections.abc import Iterator

from attrs import define, frozen

from rhubarbshed.coordination.serving.load_rate import LoadRateLimiter
from rhubarbshed.coordination.serving.order_plan import RARE_RATE_PER_S, Move, OrderPlan
from rhubarbshed.coordination.serving.placement_summary import Postponement
from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.routes import ModelSpec
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.state.placement.engine_states import EngineState

OVERDUE_REQUESTS = 8.0
"""Requests for a missing model after which each holder loads it on its own engines, more than a
surplus load costs. Until then each holder chooses the best engine of all, and since their views
differ, each may leave it to another."""

RESERVATION_S = 4.0
"""Time for which room is kept for the model that it is made for."""

BLOCKED_RATE_FRACTION = 0.3
"""Fraction of an engine's adapter requests that a model order delays, since the engine takes no
order for adapters while it carries it out."""

EVICTIONS_MAX = 3
"""Most copies that are evicted for one."""

CACHED_EVICTION_FACTOR = 0.5
"""Factor on the value of evicted copies if the new model's weights are cached in memory or on a
disk: the evicted weights are cached as well, and are loaded again in less than a second."""

UNLOAD_IDLE_S = 0.4
UNLOAD_BUSY_S = 3.0
BUSY_RATE_PER_S = 1.0
"""Seconds that an unload takes for a model without runs, and for one with more requests per second
than this rate: it waits for its runs, and a stream lasts some seconds."""

LIMIT_LASTS_S = 10.0
"""Time for which an engine that names a limit is expected to take few of a new copy's requests."""

HORIZON_S = 10.0
"""Time for which demand is expected to last: a copy answers its requests from the end of its load
until then."""

PAYBACK_S = 30.0
"""Time in which a copy has to answer more requests than are lost for it: those for the evicted
copies, and those whose adapters the engine cannot load while it carries out the orders."""

SPEED_RATE_PER_S = 1.0
"""Requests per second for a model from which its copies belong on fast engines."""

SLOW_ENGINE_GAIN_EXPONENT = 0.5
SLOWNESS_RANGE = (0.5, 2.0)
"""Exponent of an engine's slowness in the gain of a copy that is rarely asked for, and the bounds
of the slowness that counts: slow engines answer those requests well enough, so that the memory of
fast ones stays free."""

ORDER_OVERHEAD_S = 0.4
"""Time from the end of an order until the engine's report shows it and the next one is sent."""


@frozen
class Addition:
    """One more copy of a model, worth `value` requests per second."""

    name: str
    value: float
    reason: str


@define
class Candidate:
    """Engine that may get an order, with the figures on it that all additions need.

    `evictable` are sets of its copies as (value, megabytes, models), the least valuable first.
    `delay_s` passes before the order begins, `blocked_rate` are the requests per second that its
    orders delay.
    """

    engine_state: EngineState
    record: ServerRecord
    evictable: list[tuple[float, float, tuple[str, ...]]]
    delay_s: float
    blocked_rate: float

    @classmethod
    def from_plan(cls, plan: OrderPlan, engine_state: EngineState) -> "Candidate":
        """Return an engine as this round sees it."""
        record = plan.records[engine_state.server_id]
        delay_s = ORDER_OVERHEAD_S
        if engine_state.is_busy:
            delay_s += max(0.0, engine_state.busy_until - plan.now)
        if record.limit_per_s is not None:
            delay_s += LIMIT_LASTS_S
        blocked_rate = BLOCKED_RATE_FRACTION * plan.measure_blocked_rate(engine_state)
        evictable = _list_evictable(plan.rank_copies(engine_state))
        return cls(engine_state, record, evictable, delay_s, blocked_rate)


@frozen
class Option:
    """Way to add a copy: the requests gained until the horizon for each second that it takes.

    The engine loads the model once it has unloaded `evictions`, maybe from the weight store.
    """

    gain: float
    server_id: str
    evictions: tuple[str, ...]
    from_store: bool


def plan_models(plan: OrderPlan, rate: LoadRateLimiter) -> list[Move]:
    """Plan loads and unloads of models, first those that gain most in the time that they take.

    An engine carries out one order at a time, so its time is what additions compete for: several
    loads from its disk are worth more than a load from the weight store in the same time.
    """
    own = {engine_state.server_id for engine_state in plan.orderable if engine_state.is_local}
    taken: set[str] = set()
    queue: list[tuple[float, str, Addition, list[Option]]] = []
    candidates = [Candidate.from_plan(plan, each) for each in plan.list_orderable_now()]
    for addition in _list_additions(plan):
        options = _list_options(plan, candidates, addition)
        if options:
            queue.append((-options[-1].gain, addition.name, addition, options))
        else:
            plan.postponed[Postponement.NO_ROOM] += 1
    heapq.heapify(queue)
    while queue and not own <= taken:
        _, name, addition, options = heapq.heappop(queue)
        option = options.pop()
        lacks_rate = option.from_store and not rate.allows(plan.sees_all_engines, plan.now)
        if option.server_id not in taken and not lacks_rate:
            taken.add(option.server_id)
            _plan_option(plan, rate, addition, option)
        elif options:
            heapq.heappush(queue, (-options[-1].gain, name, addition, options))
        else:
            plan.postponed[Postponement.LOAD_RATE if lacks_rate else Postponement.TAKEN] += 1
    return plan.moves


def _list_evictable(
    copies: list[tuple[float, str, float]],
) -> list[tuple[float, float, tuple[str, ...]]]:
    """List the sets of an engine's copies that may be evicted together, the least valuable first.

    A single large copy may make the room for which several small ones of less value each would go.
    """
    return sorted(
        (
            sum(value for value, _, _ in chosen),
            sum(size_mb for _, _, size_mb in chosen),
            tuple(model for _, model, _ in chosen),
        )
        for count in range(1, EVICTIONS_MAX + 1)
        for chosen in itertools.combinations(copies, count)
    )


def _list_additions(plan: OrderPlan) -> Iterator[Addition]:
    for name in plan.engine.models:
        copies = len(plan.list_holders(name))
        value = max(plan.measure_gain(name, copies), plan.measure_limited_rate(name))
        if value >= RARE_RATE_PER_S:
            yield Addition(name, value, "copy" if copies else "missing")


def _list_options(plan: OrderPlan, candidates: list[Candidate], addition: Addition) -> list[Option]:
    """List the ways to add a copy that gain more requests than they cost, the best last."""
    spec = plan.engine.models[addition.name]
    if plan.count_waiting(addition.name) > OVERDUE_REQUESTS:
        candidates = [each for each in candidates if each.engine_state.is_local]
    else:
        busy = plan.list_busy_with_cached(addition.name)
        candidates = candidates + [Candidate.from_plan(plan, each) for each in busy]
    made = (_make_option(plan, candidate, addition.value, spec) for candidate in candidates)
    options = [option for option in made if option is not None]
    return sorted(options, key=lambda option: (option.gain, option.server_id))


def _make_option(
    plan: OrderPlan, candidate: Candidate, value: float, spec: ModelSpec
) -> Option | None:
    """Return the way to add a copy on one engine, None if it costs more than it gains."""
    engine_state = candidate.engine_state
    if spec.name in engine_state.models:
        return None
    evictions = _choose_evictions(plan, candidate, spec, value)
    if evictions is None:
        return None
    takes_s = _estimate_time(plan, candidate, spec, evictions)
    lost = sum(plan.measure_loss(engine_state, each) for each in evictions)

    def measure_gain(until_s: float) -> float:
        gained = value * (until_s - takes_s) - lost * until_s
        return gained / takes_s - candidate.blocked_rate

    if measure_gain(PAYBACK_S) <= 0.0:
        return None
    from_store = is_from_store(plan, engine_state, spec.name)
    gain = measure_gain(HORIZON_S)
    if gain > 0.0:
        gain *= weigh_speed(candidate.record, plan.measure_rate(spec.name))
    return Option(gain, engine_state.server_id, evictions, from_store)


def weigh_speed(record: ServerRecord, rate_per_s: float) -> float:
    """Return the factor on the gain of a copy at an engine's lasting speed, 1.0 if not stated.

    A copy in demand answers fewer requests on a slow engine, and its streams have longer gaps.
    """
    least, most = SLOWNESS_RANGE
    slowness = min(most, max(least, record.slowness))
    return 1.0 / slowness if rate_per_s >= SPEED_RATE_PER_S else slowness**SLOW_ENGINE_GAIN_EXPONENT


def _choose_evictions(
    plan: OrderPlan, candidate: Candidate, spec: ModelSpec, value: float
) -> tuple[str, ...] | None:
    """Return the copies of least value that make room on an engine for a model.

    None if there are none, or if they are worth as much as the new one.
    """
    needed_mb = spec.size_mb - plan.measure_free_mb(candidate.engine_state, spec.name)
    if needed_mb <= 0.0:
        return ()
    is_cached = spec.name in candidate.record.entry.cached_models
    value_max = value / CACHED_EVICTION_FACTOR if is_cached else value
    for lost, freed_mb, names in candidate.evictable:
        if lost >= value_max:
            return None
        if freed_mb >= needed_mb:
            return names
    return None


def _estimate_time(
    plan: OrderPlan, candidate: Candidate, spec: ModelSpec, evictions: tuple[str, ...]
) -> float:
    """Return the seconds until a copy is loaded and the engine is free again."""
    takes_s = candidate.delay_s + estimate_load_time(candidate.record, spec)
    for name in evictions:
        takes_s += UNLOAD_BUSY_S if plan.measure_rate(name) > BUSY_RATE_PER_S else UNLOAD_IDLE_S
    return takes_s


def _plan_option(
    plan: OrderPlan, rate: LoadRateLimiter, addition: Addition, option: Option
) -> None:
    """Plan the next order of an option, unless another holder or a later round has to give it."""
    engine_state = plan.engine_states[option.server_id]
    if not engine_state.is_local:
        plan.postponed[Postponement.ELSEWHERE] += 1
    elif plan.is_busy(engine_state):
        plan.postponed[Postponement.BUSY] += 1
    elif option.evictions:
        plan.reserve_room(engine_state, addition.name, plan.now + RESERVATION_S)
        reason = f"room_for_{addition.reason}"
        plan.plan_order(engine_state, OrderKind.UNLOAD, option.evictions[0], "", reason)
    else:
        if option.from_store:
            rate.record_load(True, plan.now)
        plan.plan_order(engine_state, OrderKind.LOAD, addition.name, "", addition.reason)


def estimate_load_time(record: ServerRecord, spec: ModelSpec) -> float:
    """Return the seconds that a load takes on an engine."""
    if spec.name in record.entry.in_memory:
        return spec.warm_load_s
    return spec.disk_load_s if spec.name in record.entry.on_disk else spec.load_s


def is_from_store(plan: OrderPlan, engine_state: EngineState, name: str) -> bool:
    """Return whether a load counts against the weight store's rate."""
    entry = plan.records[engine_state.server_id].entry
    return name not in entry.cached_models | engine_state.models
