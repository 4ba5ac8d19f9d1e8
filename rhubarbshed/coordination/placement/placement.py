"""Placement of models on backend servers: which moves gain more than they cost."""

from attrs import frozen

from rhubarbshed.coordination.placement.availability import (
    cover_data_centres,
    drain_leaving_servers,
    ensure_adapters,
    ensure_models,
    ensure_replicas,
    replace_versions,
    unload_deleted,
)
from rhubarbshed.coordination.placement.cluster import ClusterServer, ClusterState, Copy
from rhubarbshed.coordination.placement.expected_load import ExpectedLoad
from rhubarbshed.coordination.placement.planner import Planner
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
"""Cost of one move, in requests per second within target, with equal weights."""

COVERAGE_GAIN_PER_S = 0.02
"""Value of the only copy in a data centre beyond its demand, in requests per second."""

SWAP_MARGIN = 2.0
"""Factor by which a gain must exceed the cost if another copy has to be evicted."""

HOT_MODELS_MAX = 12
"""Models considered for each extra copy: those with the most requests on full servers."""

CANDIDATE_SERVERS_MAX = 6
"""Servers considered for each extra copy, least utilised first."""

RELIEF_MIN_PER_S = 0.01
"""Requests per second on full servers from which a model may get another copy."""


@frozen
class Candidate:
    """One more copy of a model; `evicted` is unloaded for it, `score` is in requests per second."""

    score: float
    name: str
    server: str
    evicted: Copy | None = None


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

    `records` are this instance's moves in flight and those within the last dwell time; times are
    monotonic seconds. The caller executes only the moves of backend servers that it owns.
    """
    cluster = ClusterState.from_views(models, adapters, servers, records, settings.memory_fill_max)
    planner = Planner.from_config(cluster, settings, store, records, now)
    unload_deleted(planner)
    ensure_models(planner)
    ensure_adapters(planner)
    ensure_replicas(planner)
    replace_versions(planner)
    follow_demand(planner, ExpectedLoad.from_cluster(cluster, demand))
    cover_data_centres(planner, demand)
    drain_leaving_servers(planner)
    return planner.finish()


def select_owned(plan: PlacementPlan, owned: frozenset[str]) -> tuple[Move, ...]:
    """Return the plan's moves on backend servers that this instance owns, most urgent first."""
    return tuple(move for move in plan.moves if move.backend_server in owned)


def follow_demand(planner: Planner, expected_load: ExpectedLoad) -> None:
    """Load extra copies that gain more than they cost, evicting less used ones if needed."""
    while planner.loads_left > 0:
        candidate = _find_best(planner, expected_load)
        if candidate is None:
            return
        _apply_candidate(planner, expected_load, candidate)


def _apply_candidate(planner: Planner, expected_load: ExpectedLoad, candidate: Candidate) -> None:
    model = planner.cluster.models[candidate.name]
    if candidate.evicted is None:
        expected_load.add_copy(candidate.name, candidate.server)
        planner.load(model, candidate.server, MoveReason.DEMAND)
        return
    expected_load.remove_copy(candidate.evicted)
    expected_load.add_copy(candidate.name, candidate.server)
    planner.make_room(candidate.evicted)
    planner.reserve(candidate.server, model.memory_bytes)
    planner.loads_left -= 1


def _find_best(planner: Planner, expected_load: ExpectedLoad) -> Candidate | None:
    hot = []
    for name in expected_load.shares:
        relief = expected_load.estimate_relief(name)
        if relief >= RELIEF_MIN_PER_S and planner.cluster.list_current(name):
            hot.append((-relief, name))
    live = [state for state in planner.cluster.servers.values() if state.live]
    live.sort(key=lambda state: (expected_load.servers[state.name].utilisation, state.name))
    best: Candidate | None = None
    for _, name in sorted(hot)[:HOT_MODELS_MAX]:
        for candidate in _propose(planner, expected_load, name, live):
            if best is None or candidate.score > best.score:
                best = candidate
    return best


def _propose(
    planner: Planner, expected_load: ExpectedLoad, name: str, live: list[ClusterServer]
) -> list[Candidate]:
    """Return candidates for one model whose gain exceeds their cost."""
    if not planner.has_model_dwelt(name):
        return []
    model = planner.cluster.models[name]
    holders = {copy.server for copy in planner.cluster.copies[name]}
    candidate_servers = [
        state
        for state in live
        if state.name not in holders and planner.has_power(state.name, model.power_watts)
    ]
    with_room = [
        state for state in candidate_servers if planner.has_room(state.name, model.memory_bytes)
    ]
    candidates = []
    for state in with_room[:CANDIDATE_SERVERS_MAX]:
        score = _score(planner, expected_load.estimate_gain(name, state.name), 1)
        candidates.append(Candidate(score, name, state.name))
    for state in candidate_servers[:CANDIDATE_SERVERS_MAX]:
        candidates.extend(_propose_swaps(planner, expected_load, model, state.name))
    return [candidate for candidate in candidates if candidate.score > 0.0]


def _score(planner: Planner, gain_per_s: float, moves: int) -> float:
    settings = planner.settings
    cost = settings.move_weight * MOVE_COST_PER_S * moves
    if moves > 1:
        cost *= SWAP_MARGIN
    return settings.attainment_weight * gain_per_s - cost


def _propose_swaps(
    planner: Planner, expected_load: ExpectedLoad, model: Model, server: str
) -> list[Candidate]:
    """Return candidates that evict one copy of another model from the same server."""
    candidates = []
    if planner.evictions_left <= 0:
        return candidates
    for copy in planner.cluster.servers[server].copies:
        if copy.model or copy.name == model.name or not _can_evict(planner, copy):
            continue
        if not planner.has_room(server, model.memory_bytes - copy.memory_bytes):
            continue
        gain = expected_load.estimate_gain(model.name, server, expected_load.get_share(copy))
        loss = expected_load.estimate_loss(copy)
        if _is_only_in_centre(planner, copy):
            loss += COVERAGE_GAIN_PER_S
        score = _score(planner, gain - loss, 2)
        candidates.append(Candidate(score, model.name, server, copy))
    return candidates


def _can_evict(planner: Planner, copy: Copy) -> bool:
    if not planner.cluster.can_unload(copy) or not planner.has_dwelt(copy):
        return False
    if any(not each.ready for each in planner.cluster.list_adapters(copy)):
        return False
    catalogued = planner.cluster.models.get(copy.name)
    least = catalogued.replicas_min if catalogued is not None else 0
    return len(planner.cluster.list_copies(copy.name)) > least


def _is_only_in_centre(planner: Planner, copy: Copy) -> bool:
    centre = planner.cluster.servers[copy.server].data_centre
    others = [
        each
        for each in planner.cluster.list_copies(copy.name)
        if each is not copy and planner.cluster.servers[each.server].data_centre == centre
    ]
    return not others
