"""Which adapters engines are ordered to hold, beside the models that placement chooses.

Answers many adapters for few places: callers wait some tens of milliseconds for one that is not
there, in the order in which they came, and free places are filled before anybody asks.
"""

from rhubarbshed.coordination.serving.floor import TOLD_S, Floor, Move
from rhubarbshed.coordination.serving.placement import ADAPTER_PATIENCE_S
from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.state.placement.places import Place

PENDING_ADAPTERS_MAX = 4
"""Adapters on their way to one engine at a time, from the platform's pages."""

ADAPTER_KEEP_S = 0.4
"""Time after its load in which an adapter stays: the caller that waited for it, and those behind
it, are on their way."""

FILL_MOVES = 3
"""Adapters loaded ahead to one engine in one round, so that wanted ones wait little."""


def forget_met_wants(floor: Floor) -> None:
    """Forget wants that are met, lest an adapter that made way comes back for nobody."""
    for target in floor.wants:
        _, model, adapter = target
        key = (model, adapter)
        for place in floor.list_holders(model):
            if model in place.models and (not adapter or place.has_adapter(key)):
                floor.usage.forget_want(target)
                break


def plan_adapters(floor: Floor) -> list[Move]:
    """Plan loads of adapters that callers wait for, with unloads that make places free."""
    moves: list[Move] = []
    taken: dict[str, int] = {}
    for service, model, adapter in floor.wants:
        if not adapter or model not in floor.engine.models:
            continue
        key = (model, adapter)
        holders = [place for place in floor.list_holders(model) if model in place.models]
        if any(place.has_adapter(key) for place in holders):
            continue
        if floor.is_overdue((service, *key), ADAPTER_PATIENCE_S):
            holders = [place for place in holders if place.ours]
        planned = _plan_adapter(floor, holders, key, taken)
        if planned and not floor.places[planned[0].server_id].ours:
            continue
        moves += planned
        for move in planned:
            taken[move.server_id] = taken.get(move.server_id, 0) + 1
    return moves


def _plan_adapter(
    floor: Floor, holders: list[Place], key: tuple[str, str], taken: dict[str, int]
) -> list[Move]:
    idle = [
        place
        for place in holders
        if place.is_known
        and (place.ours or floor.now - place.told_at < TOLD_S)
        and not floor.is_busy(place)
        and len(place.pending) + taken.get(place.server_id, 0) < PENDING_ADAPTERS_MAX
    ]
    if not idle:
        return []
    lacking = [place for place in idle if key in place.adapters]
    best = min(lacking or idle, key=lambda place: (_count_taken(place, taken), place.server_id))
    load = Move(best.server_id, OrderKind.LOAD, *key, "wanted")
    if lacking or _count_taken(best, taken) < floor.engine.adapter_places:
        return [load]
    victims = [
        (_measure_adapter_use(floor, held), place.server_id, held)
        for place in idle
        if not taken.get(place.server_id) and not place.doubts
        for held, since in place.adapters.items()
        if floor.now - since >= ADAPTER_KEEP_S
    ]
    if not victims:
        return []
    _, server_id, victim = min(victims)
    return [
        Move(server_id, OrderKind.UNLOAD, *victim, "place_for_wanted"),
        Move(server_id, OrderKind.LOAD, *key, "wanted"),
    ]


def plan_fill(floor: Floor, planned: list[Move]) -> list[Move]:
    """Load adapters ahead into free places: those that nobody holds, the busiest first.

    Engines that get orders by what is `planned` already are left alone.

    While the order holder or an engine is away nothing can be loaded, so what is there counts.
    """
    moves: list[Move] = []
    copies = dict(floor.adapter_copies)
    for move in planned:
        copies[(move.model, move.adapter)] = copies.get((move.model, move.adapter), 0) + 1
    taken = {move.server_id for move in planned}
    for place in floor.list_open():
        if not place.ours or place.server_id in taken:
            continue
        free = min(FILL_MOVES, floor.engine.adapter_places - place.count_adapters())
        if free <= 0 or place.doubts or len(place.pending) + free > PENDING_ADAPTERS_MAX:
            continue
        wishes = []
        for model in place.models:
            spec = floor.engine.models.get(model)
            for number in range(1, (spec.adapters if spec else 0) + 1):
                key = (model, f"a{number}")
                if key in place.adapters or key in place.pending or copies.get(key, 0) > 1:
                    continue
                rate = floor.usage.measure_adapter((floor.service, *key), floor.now)
                wishes.append((copies.get(key, 0), -rate, number, key))
        for _, _, _, key in sorted(wishes)[:free]:
            moves.append(Move(place.server_id, OrderKind.LOAD, *key, "ahead"))
            copies[key] = copies.get(key, 0) + 1
    return moves


def _count_taken(place: Place, taken: dict[str, int]) -> int:
    return place.count_adapters() + taken.get(place.server_id, 0)


def _measure_adapter_use(floor: Floor, held: tuple[str, str]) -> float:
    """Return the requests per second for an adapter, one copy of several counted as a part."""
    rate = floor.usage.measure_adapter((floor.service, *held), floor.now)
    return rate / max(1, floor.adapter_copies.get(held, 0))
