"""Moves that keep every model and adapter available in its current version."""

from rhubarbshed.coordination.placement.cluster import ADAPTER_KEY_PREFIX, Copy, rank
from rhubarbshed.coordination.placement.packing import Item, Packing, pack
from rhubarbshed.coordination.placement.planner import Planner
from rhubarbshed.protocol.catalogue import Adapter, Model
from rhubarbshed.protocol.members import Standing
from rhubarbshed.protocol.placement import ModelDemand, MoveReason


def unload_deleted(planner: Planner) -> None:
    """Unload models and adapters that the catalogue no longer has."""
    for state in planner.cluster.servers.values():
        for copy in list(state.copies):
            if not planner.cluster.is_in_catalogue(copy) and not copy.unloading:
                planner.unload(copy, MoveReason.DELETED)


def ensure_models(planner: Planner) -> None:
    """Load a copy of each model that has none of the current version; make room if needed."""
    items = tuple(_list_items(planner))
    if not items:
        return
    packing = pack(planner.cluster, items)
    for item in packing.missing:
        planner.unplaced.add(item.name)
    for assignment in packing.assignments:
        model = planner.cluster.models[assignment.name]
        reason = MoveReason.MAKE_ROOM if assignment.relocated else _choose_reason(planner, model)
        if not planner.load(model, assignment.server, reason):
            planner.reserve(assignment.server, assignment.memory_bytes)
            _make_room(planner, packing, assignment.server)
            _free_power(planner, model, assignment.server)


def _list_items(planner: Planner) -> list[Item]:
    items = []
    for name in sorted(planner.cluster.models):
        if planner.cluster.list_current(name):
            continue
        model = planner.cluster.models[name]
        size = model.memory_bytes
        size += sum(each.memory_bytes for each in planner.cluster.adapters_of.get(name, ()))
        items.append(Item(name, size, replaces=bool(planner.cluster.list_copies(name))))
    return items


def _choose_reason(planner: Planner, model: Model) -> MoveReason:
    copies = planner.cluster.copies.get(model.name, ())
    if any(planner.cluster.is_current(copy) for copy in copies):
        return MoveReason.LEAVING
    return MoveReason.VERSION if copies else MoveReason.REACH


def _make_room(planner: Planner, packing: Packing, server: str) -> None:
    """Unload the copies that the packing evicts, unless enough memory is already free."""
    state = planner.cluster.servers[server]
    for copy in packing.evicted:
        if copy.server == server and not copy.unloading:
            if state.free_bytes < planner.reserved[server]:
                planner.make_room(copy)


def _free_power(planner: Planner, model: Model, server: str) -> None:
    """Unload one surplus copy in the data centre if its power limit prevents the load."""
    if planner.has_power(server, model.power_watts):
        return
    planner.unplaced.add(model.name)
    centre = planner.cluster.servers[server].data_centre
    for state in planner.cluster.servers.values():
        for copy in state.copies if state.data_centre == centre else ():
            if not copy.model and planner.make_room(copy):
                return


def drain_leaving_servers(planner: Planner) -> None:
    """Unload the models of leaving servers once they are ready elsewhere."""
    for state in planner.cluster.servers.values():
        if state.standing is not Standing.LEAVING:
            continue
        for copy in list(state.copies):
            if copy.model or copy.unloading:
                continue
            if not _is_loading(planner, copy):
                planner.unload(copy, MoveReason.LEAVING)


def _is_loading(planner: Planner, copy: Copy) -> bool:
    centre = planner.cluster.servers[copy.server].data_centre
    for other in planner.cluster.copies[copy.key]:
        if not other.ready and planner.cluster.servers[other.server].data_centre == centre:
            return True
    return False


def replace_versions(planner: Planner) -> None:
    """Load the current version next to older copies, or else replace them one at a time."""
    for name in sorted(planner.cluster.models):
        current = planner.cluster.list_current(name)
        old = [copy for copy in planner.cluster.list_copies(name) if copy not in current]
        if old and current:
            _replace_copies(planner, planner.cluster.models[name], current, old)


def _replace_copies(planner: Planner, model: Model, current: list[Copy], old: list[Copy]) -> None:
    states = planner.cluster.servers
    unmatched = list(current)
    for copy in sorted(old, key=lambda each: each.server):
        replacements = [
            each
            for each in unmatched
            if states[each.server].data_centre == states[copy.server].data_centre
        ]
        if replacements:
            replacement = min(
                replacements, key=lambda each: (each.server != copy.server, each.server)
            )
            unmatched.remove(replacement)
            if replacement.ready:
                planner.unload(copy, MoveReason.VERSION)
        elif planner.has_room(copy.server, model.memory_bytes):
            planner.load(model, copy.server, MoveReason.VERSION)
        elif not planner.is_moving(model.name, states[copy.server].data_centre):
            planner.unload(copy, MoveReason.VERSION)


def ensure_adapters(planner: Planner) -> None:
    """Load each adapter next to one ready copy of its model, then next to all of them."""
    for spread in (False, True):
        for name in sorted(planner.cluster.adapters_of):
            for adapter in planner.cluster.adapters_of[name]:
                _ensure_adapter(planner, adapter, spread)
    _drop_old_adapters(planner)


def _ensure_adapter(planner: Planner, adapter: Adapter, spread: bool) -> None:
    current = planner.cluster.list_current(ADAPTER_KEY_PREFIX + adapter.name)
    servers = {copy.server for copy in current}
    if servers and not spread:
        return
    ready = {
        copy.server
        for copy in planner.cluster.list_copies(adapter.model)
        if copy.ready and planner.cluster.servers[copy.server].live
    }
    candidate_servers = sorted(
        ready - servers, key=lambda server: (rank(adapter.name, server), server)
    )
    for server in candidate_servers:
        if planner.load_adapter(adapter, server, MoveReason.REACH) and not spread:
            return
    if candidate_servers and not spread:
        if not any(planner.has_room(server, adapter.memory_bytes) for server in candidate_servers):
            _make_adapter_room(planner, adapter, candidate_servers)


def _make_adapter_room(planner: Planner, adapter: Adapter, candidate_servers: list[str]) -> None:
    """Unload one surplus copy of another model from a server that holds the adapter's model."""
    planner.unplaced.add(adapter.name)
    for server in candidate_servers:
        for copy in planner.cluster.servers[server].copies:
            if not copy.model and copy.name != adapter.model:
                if planner.make_room(copy):
                    planner.reserve(server, adapter.memory_bytes)
                    return


def _drop_old_adapters(planner: Planner) -> None:
    for name in sorted(planner.cluster.adapters):
        for copy in planner.cluster.list_copies(ADAPTER_KEY_PREFIX + name):
            if not planner.cluster.is_current(copy):
                planner.unload(copy, MoveReason.VERSION)


def ensure_replicas(planner: Planner) -> None:
    """Load copies of models that have fewer than their minimum number of replicas."""
    centres = _list_centres(planner)
    for name in sorted(planner.cluster.models):
        current = planner.cluster.list_current(name)
        if current and planner.loads_left > 0:
            _replicate(planner, name, current, centres)


def cover_data_centres(planner: Planner, demand: tuple[ModelDemand, ...]) -> None:
    """Use free memory for a copy in each data centre, most requested models first."""
    rates = {each.model: each.arrivals_per_s for each in demand}
    order = sorted(planner.cluster.models, key=lambda name: (-rates.get(name, 0.0), name))
    for centre in _list_centres(planner):
        _cover_data_centre(planner, order, centre)


def _list_centres(planner: Planner) -> list[str]:
    return sorted({state.data_centre for state in planner.cluster.servers.values() if state.live})


def _replicate(planner: Planner, name: str, current: list[Copy], centres: list[str]) -> None:
    """Load the missing replicas, in data centres without a copy first."""
    model = planner.cluster.models[name]
    covered = {planner.cluster.servers[copy.server].data_centre for copy in current}
    order = sorted(centres, key=lambda centre: (centre in covered, centre))
    missing = model.replicas_min - len(current)
    for centre in order * max(0, missing):
        if missing <= 0:
            return
        if load_on_emptiest(planner, model, centre, MoveReason.REACH):
            missing -= 1
    if missing > 0 and planner.loads_left > 0:
        planner.unplaced.add(name)


def _cover_data_centre(planner: Planner, order: list[str], centre: str) -> None:
    states = [state for state in planner.cluster.servers.values() if state.data_centre == centre]
    present = {
        copy.name for state in states for copy in state.copies if not copy.unloading and state.live
    }
    free_bytes_max = max((state.free_bytes for state in states if state.live), default=0)
    for name in order:
        if planner.loads_left <= 0:
            return
        model = planner.cluster.models[name]
        if name in present or model.memory_bytes > free_bytes_max:
            continue
        if planner.cluster.list_current(name):
            load_on_emptiest(planner, model, centre, MoveReason.REACH)


def load_on_emptiest(planner: Planner, model: Model, centre: str, reason: MoveReason) -> bool:
    """Load a copy on the server with the most free memory in a data centre."""
    fitting = [
        state
        for state in planner.cluster.servers.values()
        if state.live
        and state.data_centre == centre
        and planner.has_room(state.name, model.memory_bytes)
        if not state.find(model.name)
    ]
    fitting.sort(key=lambda state: (-state.free_bytes, rank(model.name, state.name)))
    return bool(fitting) and planner.load(model, fitting[0].name, reason)
