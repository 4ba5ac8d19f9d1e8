"""Choice of the adapters that engines load, beside the models chosen by `placement`.

Engines have few slots for many adapters: a request for an adapter that no engine holds waits some
tens of milliseconds, first come, first served, and free slots are filled before an adapter is asked
for.
"""

from rhubarbshed.coordination.serving.order_plan import REPORT_AGE_MAX_S, Move, OrderPlan
from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.state.placement.engine_states import EngineState

PENDING_ADAPTERS_MAX = 4
"""Most adapters being loaded to one engine at a time, a limit of the platform's specification."""

ADAPTER_KEEP_S = 0.4
"""Shortest time that an adapter stays after its load, so that it serves the request that waited for
it and those that follow."""

ADAPTER_OVERDUE_S = 0.15
"""Time that an adapter is awaited before each holder loads it on its own engines; until then each
holder chooses the best engine of all, and may leave it to another."""

PREFETCH_MOVES_MAX = 3
"""Most adapters loaded ahead to one engine in one planning round, so that awaited adapters are not
held up."""


def forget_served_targets(plan: OrderPlan) -> None:
    """Remove awaited targets that an engine holds, and models that are not asked for any more.

    Otherwise an adapter that is evicted later would be loaded again although no caller waits.
    """
    for service, model in list(plan.usage.unserved_since):
        if service == plan.service and (plan.is_held(model) or not plan.is_in_demand(model)):
            plan.usage.forget_unserved(service, model)
    for target in plan.awaited:
        _, model, adapter = target
        key = (model, adapter)
        for engine_state in plan.list_holders(model):
            if model in engine_state.models and (not adapter or engine_state.has_adapter(key)):
                plan.usage.forget_awaited(target)
                break


def plan_adapters(plan: OrderPlan) -> list[Move]:
    """Plan loads of awaited adapters, and the unloads that free slots for them."""
    moves: list[Move] = []
    taken: dict[str, int] = {}
    for service, model, adapter in plan.awaited:
        if not adapter or model not in plan.engine.models:
            continue
        key = (model, adapter)
        holders = [
            engine_state
            for engine_state in plan.list_holders(model)
            if model in engine_state.models
        ]
        if any(engine_state.has_adapter(key) for engine_state in holders):
            continue
        if plan.is_overdue((service, *key), ADAPTER_OVERDUE_S):
            holders = [engine_state for engine_state in holders if engine_state.is_local]
        planned = _plan_adapter(plan, holders, key, taken)
        if planned and not plan.engine_states[planned[0].server_id].is_local:
            continue
        moves += planned
        for move in planned:
            taken[move.server_id] = taken.get(move.server_id, 0) + 1
    return moves


def _plan_adapter(
    plan: OrderPlan, holders: list[EngineState], key: tuple[str, str], taken: dict[str, int]
) -> list[Move]:
    idle = [
        engine_state
        for engine_state in holders
        if engine_state.is_known
        and (engine_state.is_local or plan.now - engine_state.reported_at < REPORT_AGE_MAX_S)
        and not plan.is_busy(engine_state)
        and len(engine_state.pending) + taken.get(engine_state.server_id, 0) < PENDING_ADAPTERS_MAX
    ]
    if not idle:
        return []
    marked_missing = [engine_state for engine_state in idle if key in engine_state.adapters]
    best = min(
        marked_missing or idle,
        key=lambda engine_state: (_count_taken(engine_state, taken), engine_state.server_id),
    )
    load = Move(best.server_id, OrderKind.LOAD, *key, "wanted")
    if marked_missing or _count_taken(best, taken) < plan.engine.adapter_slots:
        return [load]
    eviction_candidates = [
        (_measure_adapter_use(plan, held), engine_state.server_id, held)
        for engine_state in idle
        if not taken.get(engine_state.server_id) and not engine_state.unconfirmed
        for held, since in engine_state.adapters.items()
        if plan.now - since >= ADAPTER_KEEP_S
    ]
    if not eviction_candidates:
        return []
    _, server_id, evicted = min(eviction_candidates)
    return [
        Move(server_id, OrderKind.UNLOAD, *evicted, "place_for_wanted"),
        Move(server_id, OrderKind.LOAD, *key, "wanted"),
    ]


def plan_prefetch(plan: OrderPlan, planned: list[Move]) -> list[Move]:
    """Plan loads of adapters into free slots: the ones with the fewest copies, the most used first.

    Engines that get orders from `planned` are skipped. Prefetching matters because nothing can be
    loaded while the order holder or an engine is unreachable.
    """
    moves: list[Move] = []
    copies = dict(plan.adapter_copies)
    for move in planned:
        copies[(move.model, move.adapter)] = copies.get((move.model, move.adapter), 0) + 1
    taken = {move.server_id for move in planned}
    for engine_state in plan.list_orderable_now():
        if not engine_state.is_local or engine_state.server_id in taken:
            continue
        free = min(
            PREFETCH_MOVES_MAX, plan.engine.adapter_slots - engine_state.count_adapter_slots()
        )
        if (
            free <= 0
            or engine_state.unconfirmed
            or len(engine_state.pending) + free > PENDING_ADAPTERS_MAX
        ):
            continue
        candidates = []
        for model in engine_state.models:
            spec = plan.engine.models.get(model)
            for number in range(1, (spec.adapters if spec else 0) + 1):
                key = (model, f"a{number}")
                if (
                    key in engine_state.adapters
                    or key in engine_state.pending
                    or copies.get(key, 0) > 1
                ):
                    continue
                rate = plan.usage.measure_adapter((plan.service, *key), plan.now)
                candidates.append((copies.get(key, 0), -rate, number, key))
        for _, _, _, key in sorted(candidates)[:free]:
            moves.append(Move(engine_state.server_id, OrderKind.LOAD, *key, "ahead"))
            copies[key] = copies.get(key, 0) + 1
    return moves


def _count_taken(engine_state: EngineState, taken: dict[str, int]) -> int:
    return engine_state.count_adapter_slots() + taken.get(engine_state.server_id, 0)


def _measure_adapter_use(plan: OrderPlan, held: tuple[str, str]) -> float:
    """Return the requests per second for an adapter, divided by its number of copies."""
    rate = plan.usage.measure_adapter((plan.service, *held), plan.now)
    return rate / max(1, plan.adapter_copies.get(held, 0))
