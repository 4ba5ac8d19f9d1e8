"""Placement of models on backend servers: which moves earn their cost."""

from attrs import frozen

from rhubarbshed.coordination.placement.copies import Loads
from rhubarbshed.coordination.placement.floor import Copy, Floor, ServerState
from rhubarbshed.coordination.placement.planner import Planner
from rhubarbshed.coordination.placement.reach import (
    drop_deleted,
    leave_servers,
    reach_adapters,
    reach_data_centres,
    reach_models,
    reach_replicas,
    replace_versions,
)
from rhubarbshed.protocol.catalogue import Adapter, Model
from rhubarbshed.protocol.placement import (
    ModelDemand,
    Move,
    MoveReason,
    MoveRecord,
    PlacementPlan,
    ServerView,
)
from rhubarbshed.util.settings import PlacementSettings, WeightStoreSettings

MOVE_COST_PER_S = 0.05
"""Requests per second within target that pay for one move, at equal weights."""

COVERAGE_GAIN_PER_S = 0.02
"""Requests per second that the only copy in a data centre counts for beyond its demand."""

SWAP_MARGIN = 2.0
"""Factor by which a gain must exceed the cost where another copy has to go."""

HOT_MODELS_MAX = 12
"""Models looked at for each extra copy, those with the most requests on full servers."""

PLACES_MAX = 6
"""Servers looked at for each extra copy, the least used first."""

RELIEF_MIN_PER_S = 0.01
"""Requests per second on full servers from which on a model is given a copy."""


@frozen
class Candidate:
    """Propose one more copy of a model; `victim` goes for it, `score` is in requests/s."""

    score: float
    name: str
    server: str
    victim: Copy | None = None


def plan_moves(
    models: tuple[Model, ...],
    adapters: tuple[Adapter, ...],
    servers: tuple[ServerView, ...],
    demand: tuple[ModelDemand, ...],
    settings: PlacementSettings,
    store: WeightStoreSettings,
    records: tuple[MoveRecord, ...],
    now: float,
) -> PlacementPlan:
    """Plan the moves of one interval for all servers given, the same on each instance.

    `records` are this instance's moves in flight and those of the last dwell; times are
    monotonic seconds. The caller carries out only moves of backend servers that it owns.
    """
    floor = Floor.from_views(models, adapters, servers, records, settings.memory_fill_max)
    planner = Planner.from_config(floor, settings, store, records, now)
    drop_deleted(planner)
    reach_models(planner)
    reach_adapters(planner)
    reach_replicas(planner)
    replace_versions(planner)
    follow_demand(planner, Loads.from_floor(floor, demand))
    reach_data_centres(planner, demand)
    leave_servers(planner)
    return planner.finish()


def select_owned(plan: PlacementPlan, owned: frozenset[str]) -> tuple[Move, ...]:
    """Return the moves on backend servers that this instance owns, most urgent first."""
    return tuple(move for move in plan.moves if move.backend_server in owned)


def follow_demand(planner: Planner, loads: Loads) -> None:
    """Load extra copies where they earn their cost, at the expense of idle ones if need be."""
    while planner.loads_left > 0:
        candidate = _find_best(planner, loads)
        if candidate is None:
            return
        _carry_out(planner, loads, candidate)


def _carry_out(planner: Planner, loads: Loads, candidate: Candidate) -> None:
    model = planner.floor.models[candidate.name]
    if candidate.victim is None:
        loads.add_copy(candidate.name, candidate.server)
        planner.load(model, candidate.server, MoveReason.DEMAND)
        return
    loads.remove_copy(candidate.victim)
    loads.add_copy(candidate.name, candidate.server)
    planner.make_room(candidate.victim)
    planner.hold(candidate.server, model.memory_bytes)
    planner.loads_left -= 1


def _find_best(planner: Planner, loads: Loads) -> Candidate | None:
    hot = []
    for name in loads.shares:
        relief = loads.estimate_relief(name)
        if relief >= RELIEF_MIN_PER_S and planner.floor.list_current(name):
            hot.append((-relief, name))
    live = [state for state in planner.floor.servers.values() if state.live]
    live.sort(key=lambda state: (loads.servers[state.name].utilization, state.name))
    best: Candidate | None = None
    for _, name in sorted(hot)[:HOT_MODELS_MAX]:
        for candidate in _propose(planner, loads, name, live):
            if best is None or candidate.score > best.score:
                best = candidate
    return best


def _propose(planner: Planner, loads: Loads, name: str, live: list[ServerState]) -> list[Candidate]:
    """Return candidates for one model whose gain exceeds their cost."""
    if not planner.has_model_dwelt(name):
        return []
    model = planner.floor.models[name]
    held = {copy.server for copy in planner.floor.copies[name]}
    places = [
        state
        for state in live
        if state.name not in held and planner.has_power(state.name, model.power_watts)
    ]
    roomy = [state for state in places if planner.has_room(state.name, model.memory_bytes)]
    candidates = []
    for state in roomy[:PLACES_MAX]:
        score = _score(planner, loads.estimate_gain(name, state.name), 1)
        candidates.append(Candidate(score, name, state.name))
    for state in places[:PLACES_MAX]:
        candidates.extend(_propose_swaps(planner, loads, model, state.name))
    return [candidate for candidate in candidates if candidate.score > 0.0]


def _score(planner: Planner, gain_per_s: float, moves: int) -> float:
    settings = planner.settings
    cost = settings.move_weight * MOVE_COST_PER_S * moves
    if moves > 1:
        cost *= SWAP_MARGIN
    return settings.attainment_weight * gain_per_s - cost


def _propose_swaps(planner: Planner, loads: Loads, model: Model, server: str) -> list[Candidate]:
    """Return candidates that unload one copy of another model on the same server."""
    candidates = []
    if planner.rooms_left <= 0:
        return candidates
    for copy in planner.floor.servers[server].copies:
        if copy.model or copy.name == model.name or not _is_victim(planner, copy):
            continue
        if not planner.has_room(server, model.memory_bytes - copy.memory_bytes):
            continue
        gain = loads.estimate_gain(model.name, server, loads.get_share(copy))
        loss = loads.estimate_loss(copy)
        if _is_only_in_centre(planner, copy):
            loss += COVERAGE_GAIN_PER_S
        score = _score(planner, gain - loss, 2)
        candidates.append(Candidate(score, model.name, server, copy))
    return candidates


def _is_victim(planner: Planner, copy: Copy) -> bool:
    if not planner.floor.can_unload(copy) or not planner.has_dwelt(copy):
        return False
    if any(not each.ready for each in planner.floor.list_adapters(copy)):
        return False
    wanted = planner.floor.models.get(copy.name)
    least = wanted.replicas_min if wanted is not None else 0
    return len(planner.floor.list_copies(copy.name)) > least


def _is_only_in_centre(planner: Planner, copy: Copy) -> bool:
    centre = planner.floor.servers[copy.server].data_centre
    others = [
        each
        for each in planner.floor.list_copies(copy.name)
        if each is not copy and planner.floor.servers[each.server].data_centre == centre
    ]
    return not others
