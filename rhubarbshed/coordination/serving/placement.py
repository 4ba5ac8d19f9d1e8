"""Choice of the models that engines load and unload.

Demand moves to other models within seconds, rare models are asked for at once, and engines return
empty after a restart. Copies are added by value, and a copy is evicted only for one of clearly
higher value.
"""

from rhubarbshed.coordination.serving.load_rate import LoadRateLimiter
from rhubarbshed.coordination.serving.order_plan import RARE_RATE_PER_S, Move, OrderPlan
from rhubarbshed.coordination.serving.placement_summary import Postponement
from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.routes import ModelSpec
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.state.placement.engine_states import EngineState

URGENT_VALUE_PER_S = 1.0
BUSY_FRACTION_MAX = 0.2
"""Requests per second that a change must be worth to be made at any time. Other changes wait while
this fraction of the engines carries out orders, since a busy engine takes no adapters."""

MODEL_OVERDUE_S = 1.5
ADAPTER_OVERDUE_S = 0.15
"""Time that a target is awaited before each holder loads it on its own engines. Until then each
holder chooses the best engine of all, and since their views differ, each may leave it to another.
"""

RESERVATION_S = 4.0
"""Time for which room is kept for the model that it is made for."""

BLOCKED_RATE_FRACTION = 0.3
"""Fraction of an engine's adapter requests that a model order delays, since the engine takes no
order for adapters while it carries it out."""

CACHED_EVICTION_FACTOR = 0.5
"""Factor on the value of evicted copies if the new model's weights are cached in memory or on a
disk: the evicted weights are cached as well, and are loaded again in less than a second."""

WAITING_COST_MIN_PER_S = 1.0
"""Least cost of a load's duration, in requests per second, while a caller waits for it: that
request is late, and so are those that arrive in the meantime."""

EVICTED_ABSENCE_S = 2.0
"""Time for which requests for an evicted copy find none; it is loaded again from its engine's disk
when it is asked for."""

UNLOAD_IDLE_S = 0.4
UNLOAD_BUSY_S = 3.0
BUSY_RATE_PER_S = 1.0
"""Seconds that an unload takes for a model without runs, and for one with more requests per second
than this rate: it waits for its runs, and a stream lasts some seconds."""

LIMIT_LASTS_S = 10.0
"""Time for which an engine that names a limit is expected to take few of a new copy's requests."""

Option = tuple[float, str, list[tuple[float, str]]]
"""Cost of a copy on an engine, the engine, and the copies to evict there."""


def plan_models(plan: OrderPlan, rate: LoadRateLimiter) -> list[Move]:
    """Plan loads and unloads of models: copies by value, each on the engine of least cost."""
    own = {engine_state.server_id for engine_state in plan.orderable if engine_state.is_local}
    additions = []
    for name in plan.engine.models:
        copies = len(plan.list_holders(name))
        value = max(plan.measure_gain(name, copies), plan.measure_limited_rate(name))
        if value >= RARE_RATE_PER_S:
            additions.append((value, name, "copy" if copies else "missing"))
    for value, name, reason in sorted(additions, reverse=True):
        if own <= plan.ordered:
            break
        if value >= URGENT_VALUE_PER_S or plan.count_busy() < BUSY_FRACTION_MAX * len(
            plan.engine_states
        ):
            _plan_copy(plan, rate, value, name, reason)
        else:
            plan.postponed[Postponement.GATE] += 1
    return plan.moves


def _plan_copy(
    plan: OrderPlan, rate: LoadRateLimiter, value: float, name: str, reason: str
) -> None:
    """Plan the next order towards one more copy of a model, if its value covers the evictions."""
    options = _list_options(plan, plan.list_orderable_now(), value, name)
    overdue = any(
        plan.is_overdue(target, MODEL_OVERDUE_S) for target in plan.list_awaited_for_model(name)
    )
    if overdue:
        options = [option for option in options if plan.engine_states[option[1]].is_local]
    else:
        options += _list_options(plan, plan.list_busy_with_cached(name), value, name)
    if not options:
        plan.postponed[Postponement.NO_ROOM] += 1
        return
    _, server_id, evictions = min(options)
    engine_state = plan.engine_states[server_id]
    if not engine_state.is_local:
        plan.postponed[Postponement.ELSEWHERE] += 1
        return
    if plan.is_busy(engine_state):
        plan.postponed[Postponement.BUSY] += 1
        return
    if evictions:
        plan.reserve_room(engine_state, name, plan.now + RESERVATION_S)
        plan.plan_order(engine_state, OrderKind.UNLOAD, evictions[0][1], "", f"room_for_{reason}")
        return
    if is_from_store(plan, engine_state, name):
        if not rate.allows(plan.sees_all_engines, plan.now):
            plan.postponed[Postponement.LOAD_RATE] += 1
            return
        rate.record_load(True, plan.now)
    plan.plan_order(engine_state, OrderKind.LOAD, name, "", reason)


def _list_options(
    plan: OrderPlan, engine_states: list[EngineState], value: float, name: str
) -> list[Option]:
    options = []
    for engine_state in engine_states:
        if name in engine_state.models:
            continue
        evictions = _choose_evictions(plan, engine_state, plan.engine.models[name], value)
        if evictions is not None:
            cost = _measure_cost(plan, engine_state, name, value, evictions)
            options.append((cost, engine_state.server_id, evictions))
    return options


def _measure_cost(
    plan: OrderPlan,
    engine_state: EngineState,
    name: str,
    value: float,
    evictions: list[tuple[float, str]],
) -> float:
    """Return the cost of a load in requests, from evictions, waiting and delayed adapter orders.

    Callers wait for a missing model, so a load from the engine's disk is preferred to one from the
    weight store that would spare another model.
    """
    takes_s = estimate_load_time(plan.records[engine_state.server_id], plan.engine.models[name])
    takes_s += max(0.0, engine_state.busy_until - plan.now) if engine_state.is_busy else 0.0
    for _, evicted in evictions:
        takes_s += UNLOAD_BUSY_S if plan.measure_rate(evicted) > BUSY_RATE_PER_S else UNLOAD_IDLE_S
    lost = (
        sum(plan.measure_loss(engine_state, evicted) for _, evicted in evictions)
        * EVICTED_ABSENCE_S
    )
    if plan.records[engine_state.server_id].limit_per_s is not None:
        takes_s += LIMIT_LASTS_S
    waiting = max(value, WAITING_COST_MIN_PER_S) if plan.list_awaited_for_model(name) else value
    return lost + takes_s * (
        waiting + BLOCKED_RATE_FRACTION * plan.measure_blocked_rate(engine_state)
    )


def _choose_evictions(
    plan: OrderPlan, engine_state: EngineState, spec: ModelSpec, value: float
) -> list[tuple[float, str]] | None:
    """Return the copies to evict from an engine for a model, with the value of each.

    None if there is no room, or if the evicted copies are worth as much as the new one.
    """
    ranked = plan.rank_copies(engine_state)
    eviction_factor = (
        CACHED_EVICTION_FACTOR
        if spec.name in plan.records[engine_state.server_id].entry.cached_models
        else 1.0
    )
    free = plan.measure_free_mb(engine_state, spec.name)
    lost = 0.0
    evictions: list[tuple[float, str]] = []
    for held, model, size_mb in ranked:
        if free >= spec.size_mb:
            break
        lost += held
        if lost * eviction_factor >= value:
            return None
        evictions.append((held, model))
        free += size_mb
    return evictions if free >= spec.size_mb else None


def estimate_load_time(record: ServerRecord, spec: ModelSpec) -> float:
    """Return the seconds that a load takes on an engine."""
    if spec.name in record.entry.in_memory:
        return spec.warm_load_s
    return spec.disk_load_s if spec.name in record.entry.on_disk else spec.load_s


def is_from_store(plan: OrderPlan, engine_state: EngineState, name: str) -> bool:
    """Return whether a load counts against the weight store's rate."""
    entry = plan.records[engine_state.server_id].entry
    return name not in entry.cached_models | engine_state.models
