"""Packing of models without a current copy into free memory and that of surplus copies."""

from collections.abc import Callable

from attrs import Factory, define, frozen

from rhubarbshed.coordination.placement.cluster import ClusterServer, ClusterState, Copy, rank

RELOCATION_SERVERS_MAX = 16
"""Servers tried when copies have to be moved to fit one model."""

EVICTION_STEPS_MAX = 6000
"""Product of models and servers above which surplus copies are not chosen individually."""

EVICTION_SERVERS_MAX = 8
"""Servers with enough surplus memory that are compared for one model."""

RELOCATION_STEPS_MAX = 1500
"""Product of models and servers above which copies are not moved between servers."""


@frozen
class Item:
    """Model to place; `memory_bytes` includes its adapters, `replaces` an older version's copy."""

    name: str
    memory_bytes: int
    replaces: bool = False


@frozen
class Assignment:
    """Server chosen for an item or a relocated model."""

    name: str
    server: str
    memory_bytes: int
    relocated: bool = False


@define
class Packing:
    """Assignments and evictions proposed by one strategy; `free` and `kept` reflect them."""

    cluster: ClusterState
    free: dict[str, int]
    kept: dict[str, list[Copy]]
    assignments: list[Assignment] = Factory(list)
    evicted: list[Copy] = Factory(list)
    missing: list[Item] = Factory(list)

    @classmethod
    def from_cluster(cls, cluster: ClusterState) -> "Packing":
        """Start with the memory that is free once all unloads in flight are done."""
        free = {
            state.name: state.later_free_bytes for state in cluster.servers.values() if state.live
        }
        kept = {name: cluster.list_copies(name) for name in list(cluster.copies)}
        return cls(cluster, free, kept)

    @property
    def cost(self) -> tuple[int, int, int, int]:
        """Sort key: unreachable models, all unplaced items, relocations, evictions."""
        unreachable = sum(1 for item in self.missing if not item.replaces)
        relocated = sum(1 for assignment in self.assignments if assignment.relocated)
        return unreachable, len(self.missing), relocated, len(self.evicted)

    def is_surplus(self, copy: Copy) -> bool:
        """Return whether the model and its adapters keep another copy without this one."""
        if copy.model or copy.unloading or copy.server not in self.free:
            return False
        if not any(each is copy for each in self.kept[copy.key]):
            return False
        if not self.cluster.is_in_catalogue(copy):
            return True
        if not self._has_other(copy):
            return False
        return all(self._has_other(each) for each in self.cluster.list_adapters(copy))

    def _has_other(self, copy: Copy) -> bool:
        others = [each for each in self.kept.get(copy.key, ()) if each is not copy]
        if self.cluster.is_current(copy):
            others = [each for each in others if self.cluster.is_current(each)]
        return bool(others)

    def evict(self, copy: Copy) -> None:
        """Evict a copy and its adapters."""
        for each in [*self.cluster.list_adapters(copy), copy]:
            self.free[each.server] += each.memory_bytes
            self.kept[each.key] = [kept for kept in self.kept[each.key] if kept is not each]
        self.evicted.append(copy)

    def assign(self, item: Item, server: str, relocated: bool = False) -> None:
        """Assign an item to a server."""
        self.free[server] -= item.memory_bytes
        self.assignments.append(Assignment(item.name, server, item.memory_bytes, relocated))


Strategy = Callable[[ClusterState, tuple[Item, ...]], Packing]


def pack(cluster: ClusterState, items: tuple[Item, ...]) -> Packing:
    """Place one copy of each item; return the cheapest result of the strategies tried.

    Later strategies are tried only while some item is unplaced.
    """
    ordered = tuple(sorted(items, key=lambda item: (item.replaces, -item.memory_bytes, item.name)))
    best: Packing | None = None
    for strategy in _choose_strategies(len(items) * len(cluster.servers)):
        packing = strategy(cluster, ordered)
        if best is None or packing.cost < best.cost:
            best = packing
        if not packing.missing:
            break
    return best


def _choose_strategies(steps: int) -> tuple[Strategy, ...]:
    """Return the strategies to try, without the expensive ones for large inputs."""
    chosen: list[Strategy] = [pack_spread]
    if steps <= EVICTION_STEPS_MAX:
        chosen.append(pack_evicting)
    chosen.append(pack_first_fit)
    if steps <= RELOCATION_STEPS_MAX:
        chosen.append(pack_relocating)
    return tuple(chosen)


def pack_spread(cluster: ClusterState, items: tuple[Item, ...]) -> Packing:
    """Use free memory only, on the server that has the most of it."""
    packing = Packing.from_cluster(cluster)
    for item in items:
        fitting = [name for name, free in packing.free.items() if free >= item.memory_bytes]
        if not fitting:
            packing.missing.append(item)
            continue
        packing.assign(
            item, max(fitting, key=lambda name: (packing.free[name], rank(item.name, name)))
        )
    return packing


def pack_evicting(cluster: ClusterState, items: tuple[Item, ...]) -> Packing:
    """Evict surplus copies, as few as possible for each item."""
    packing = Packing.from_cluster(cluster)
    for item in items:
        _assign_evicting(packing, item)
    return packing


def _assign_evicting(packing: Packing, item: Item) -> bool:
    best: tuple[tuple[int, int, int], str, list[Copy]] | None = None
    compared = 0
    for name in sorted(packing.free, key=lambda each: (rank(item.name, each), each)):
        if compared >= EVICTION_SERVERS_MAX:
            break
        evictions = _choose_evictions(packing, packing.cluster.servers[name], item.memory_bytes)
        if evictions is None:
            continue
        compared += 1
        moved = sum(copy.memory_bytes for copy in evictions)
        left = packing.free[name] + moved - item.memory_bytes
        key = (len(evictions), left, rank(item.name, name))
        if best is None or key < best[0]:
            best = (key, name, evictions)
    if best is None:
        packing.missing.append(item)
        return False
    for copy in best[2]:
        packing.evict(copy)
    packing.assign(item, best[1])
    return True


def _choose_evictions(packing: Packing, state: ClusterServer, needed: int) -> list[Copy] | None:
    """Return surplus copies whose unload frees enough memory, or None if there are not enough."""
    free = packing.free[state.name]
    evictions: list[Copy] = []
    if free >= needed:
        return evictions
    surplus = [copy for copy in state.copies if packing.is_surplus(copy)]
    for copy in sorted(surplus, key=lambda each: (-each.memory_bytes, each.name)):
        if any(each.name == copy.name for each in evictions):
            continue
        evictions.append(copy)
        free += _measure_bytes(packing.cluster, copy)
        if free >= needed:
            return _drop_unneeded(packing.cluster, evictions, free - needed)
    return None


def _drop_unneeded(cluster: ClusterState, evictions: list[Copy], spare: int) -> list[Copy]:
    """Drop eviction candidates, smallest first, that the item fits without."""
    needed = []
    for copy in reversed(evictions):
        size = _measure_bytes(cluster, copy)
        if size <= spare:
            spare -= size
        else:
            needed.append(copy)
    return needed


def _measure_bytes(cluster: ClusterState, copy: Copy) -> int:
    return copy.memory_bytes + sum(each.memory_bytes for each in cluster.list_adapters(copy))


def pack_first_fit(cluster: ClusterState, items: tuple[Item, ...]) -> Packing:
    """Keep each model's copy on the first server by name, and fill servers in that order."""
    packing = Packing.from_cluster(cluster)
    surplus: dict[str, list[Copy]] = {name: [] for name in packing.free}
    for key in sorted(packing.kept):
        for copy in sorted(packing.kept[key], key=lambda each: each.server, reverse=True):
            if packing.is_surplus(copy):
                packing.evict(copy)
                surplus[copy.server].append(copy)
    packing.evicted = []
    for item in items:
        server = _find_first(packing, item.memory_bytes)
        if server is None:
            packing.missing.append(item)
        else:
            packing.assign(item, server)
    _evict_needed(packing, surplus)
    return packing


def _find_first(packing: Packing, needed: int) -> str | None:
    for name in sorted(packing.free):
        if packing.free[name] >= needed:
            return name
    return None


def _evict_needed(packing: Packing, surplus: dict[str, list[Copy]]) -> None:
    """Evict only those surplus copies whose memory the assignments need."""
    assigned_bytes: dict[str, int] = {}
    for assignment in packing.assignments:
        assigned_bytes[assignment.server] = (
            assigned_bytes.get(assignment.server, 0) + assignment.memory_bytes
        )
    for server, needed in assigned_bytes.items():
        free = packing.cluster.servers[server].later_free_bytes
        for copy in sorted(surplus[server], key=lambda each: (-each.memory_bytes, each.name)):
            if free >= needed:
                break
            packing.evicted.append(copy)
            free += _measure_bytes(packing.cluster, copy)


def pack_relocating(cluster: ClusterState, items: tuple[Item, ...]) -> Packing:
    """Evict surplus copies, then move copies to other servers to free a large enough block."""
    packing = Packing.from_cluster(cluster)
    for item in items:
        if not _assign_evicting(packing, item) and _relocate_for(packing, item):
            packing.missing.remove(item)
    return packing


def _relocate_for(packing: Packing, item: Item) -> bool:
    """Move copies off one server so that the item fits there; return whether that worked."""
    order = sorted(packing.free, key=lambda name: (-packing.free[name], name))
    for server in order[:RELOCATION_SERVERS_MAX]:
        moved = _choose_relocations(packing, server, item.memory_bytes)
        if moved is None:
            continue
        for copy, target in moved:
            model = packing.cluster.models[copy.name]
            packing.assign(Item(copy.name, model.memory_bytes), target, relocated=True)
            packing.evict(copy)
        packing.assign(item, server)
        return True
    return False


def _choose_relocations(
    packing: Packing, server: str, needed: int
) -> list[tuple[Copy, str]] | None:
    free = dict(packing.free)
    moved: list[tuple[Copy, str]] = []
    copies = [
        copy
        for copy in packing.cluster.servers[server].copies
        if not copy.model and packing.cluster.stays(copy) and packing.cluster.is_current(copy)
        if copy not in packing.evicted and not packing.cluster.list_adapters(copy)
    ]
    for copy in sorted(copies, key=lambda each: (each.memory_bytes, each.name)):
        if free[server] >= needed:
            break
        size = packing.cluster.models[copy.name].memory_bytes
        fitting = [name for name in free if name != server and free[name] >= size]
        if not fitting:
            continue
        target = min(fitting, key=lambda name: (free[name], rank(copy.name, name)))
        free[target] -= size
        free[server] += copy.memory_bytes
        moved.append((copy, target))
    return moved if free[server] >= needed else None
