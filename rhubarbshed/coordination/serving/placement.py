"""Which models and adapters engines are ordered to hold.

Answers demand that moves to other models within seconds, rare models asked for at once, and
engines that come back empty. Additions come by their worth, and a copy makes way only for one that
is worth clearly more.
"""

import collections

from attrs import define, field

from rhubarbshed.coordination.serving.order_plan import RARE_RATE_PER_S, Move, OrderPlan
from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.routes import ModelSpec
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.state.placement.engine_states import EngineState

URGENT_VALUE_PER_S = 1.0
BUSY_FRACTION_MAX = 0.2
"""Worth from which a change is made at any time; others wait while that part of the engines is
busy with orders, since a busy engine takes no adapters."""

MODEL_OVERDUE_S = 1.5
ADAPTER_OVERDUE_S = 0.15
"""Time that a want lasts before each holder serves it on its own engines: each chooses the best
engine of all, and in their different views that may be nobody's."""

RESERVATION_S = 4.0
"""Time for which room that is being made counts as the copy that it is made for."""

BLOCKED_RATE_FRACTION = 0.3
"""Part of an engine's adapter requests that a model order keeps waiting: while it is carried out
the engine takes no order for adapters."""

CACHED_EVICTION_FACTOR = 0.5
"""What makes way for a model counts so much less where that is loaded from a disk or memory at
hand: what made way is there as well, and comes back in less than a second."""

WAITING_COST_MIN_PER_S = 1.0
"""Requests a second that a load costs at the least while a caller waits for it: one is late, and
those that come meanwhile."""

EVICTED_ABSENCE_S = 2.0
"""Time for which requests for a copy that made way find none: it comes back from the disk of its
engine when it is asked for."""

UNLOAD_IDLE_S = 0.4
UNLOAD_BUSY_S = 3.0
BUSY_RATE_PER_S = 1.0
"""Seconds that an unload takes of a model without runs, and of one that is asked for more often
than so many times a second: it waits for its runs, and a stream lasts some seconds."""

CEILING_EXTRA_LOADS = 3
"""Loads beyond the rate that the platform's ceiling allows in a window."""

WINDOW_MARGIN_S = 0.3
"""Time added to a window: a load begins some time after its order was sent."""


Option = tuple[float, str, list[tuple[float, str]]]
"""What a copy costs on an engine, the engine, and what makes way there."""


@define
class LoadRateLimiter:
    """Keep the loads that all holders begin from the weight store under its ceiling.

    `limit` loads may begin in a window of `window_s`; `holders` share it. While each hears the
    others, all count together, less one load in doubt for each other holder; a holder that does not
    hear another keeps to its own part.
    """

    limit: int
    window_s: float
    holders: int
    started: collections.deque[tuple[float, bool]] = field(factory=collections.deque)

    @classmethod
    def from_bounds(
        cls, loads_per_s: float, window_s: float, overage: float, holders: int
    ) -> "LoadRateLimiter":
        """Make the rate from the platform's bounds: three loads beyond the rate are allowed."""
        limit = int(loads_per_s * window_s * overage) + CEILING_EXTRA_LOADS - 1
        return cls(max(holders, limit), window_s, holders)

    def allows(self, sees_all_engines: bool, now: float) -> bool:
        """Tell whether a load may begin."""
        while self.started and self.started[0][0] <= now - self.window_s - WINDOW_MARGIN_S:
            self.started.popleft()
        own = sum(1 for _, is_own in self.started if is_own)
        if sees_all_engines:
            return len(self.started) + self.holders <= self.limit
        return own + 1 <= self.limit // self.holders

    def record_load(self, is_own: bool, now: float) -> None:
        """Count a load that begins."""
        self.started.append((now, is_own))


def plan_models(plan: OrderPlan, rate: LoadRateLimiter) -> list[Move]:
    """Plan loads and unloads of models: additions by worth, each where it displaces least."""
    own = {engine_state.server_id for engine_state in plan.orderable if engine_state.is_local}
    additions = []
    for name in plan.engine.models:
        copies = len(plan.list_holders(name))
        value = plan.measure_gain(name, copies)
        if value >= RARE_RATE_PER_S:
            additions.append((value, name, "copy" if copies else "missing"))
    for value, name, reason in sorted(additions, reverse=True):
        if own <= plan.ordered:
            break
        if value >= URGENT_VALUE_PER_S or plan.count_busy() < BUSY_FRACTION_MAX * len(
            plan.engine_states
        ):
            _plan_copy(plan, rate, value, name, reason)
    return plan.moves


def _plan_copy(
    plan: OrderPlan, rate: LoadRateLimiter, value: float, name: str, reason: str
) -> None:
    """Take the next step towards one more copy of a model, if it is worth its room."""
    options = _list_options(plan, plan.list_orderable_now(), value, name)
    overdue = any(
        plan.is_overdue(target, MODEL_OVERDUE_S) for target in plan.list_awaited_for_model(name)
    )
    if overdue:
        options = [option for option in options if plan.engine_states[option[1]].is_local]
    else:
        options += _list_options(plan, plan.list_busy_with_cached(name), value, name)
    if not options:
        return
    _, server_id, evictions = min(options)
    engine_state = plan.engine_states[server_id]
    if not engine_state.is_local or plan.is_busy(engine_state):
        return
    if evictions:
        plan.reserve_room(engine_state, name, plan.now + RESERVATION_S)
        plan.plan_order(engine_state, OrderKind.UNLOAD, evictions[0][1], "", f"room_for_{reason}")
        return
    if is_from_store(plan, engine_state, name):
        if not rate.allows(plan.sees_all_engines, plan.now):
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
    """Return the requests that a load costs: by what makes way, by waiting, by kept orders.

    Callers wait for a model that is missing, so a load from a disk at hand goes before one from the
    weight store that spares another model.
    """
    takes_s = estimate_load_time(plan.records[engine_state.server_id], plan.engine.models[name])
    takes_s += max(0.0, engine_state.busy_until - plan.now) if engine_state.is_busy else 0.0
    for _, evicted in evictions:
        takes_s += UNLOAD_BUSY_S if plan.measure_rate(evicted) > BUSY_RATE_PER_S else UNLOAD_IDLE_S
    lost = (
        sum(plan.measure_loss(engine_state, evicted) for _, evicted in evictions)
        * EVICTED_ABSENCE_S
    )
    waiting = max(value, WAITING_COST_MIN_PER_S) if plan.list_awaited_for_model(name) else value
    return lost + takes_s * (
        waiting + BLOCKED_RATE_FRACTION * plan.measure_blocked_rate(engine_state)
    )


def _choose_evictions(
    plan: OrderPlan, engine_state: EngineState, spec: ModelSpec, value: float
) -> list[tuple[float, str]] | None:
    """Return the copies on an engine that make way, with what each is worth there.

    None where there is no room, or where what makes way is worth as much as the new copy.
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
    """Return the seconds that a load takes at an engine."""
    if spec.name in record.entry.in_memory:
        return spec.warm_load_s
    return spec.disk_load_s if spec.name in record.entry.on_disk else spec.load_s


def is_from_store(plan: OrderPlan, engine_state: EngineState, name: str) -> bool:
    """Tell whether a load counts against the weight store's rate."""
    entry = plan.records[engine_state.server_id].entry
    return name not in entry.cached_models | engine_state.models
