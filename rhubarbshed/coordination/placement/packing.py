"""Packing of models that have no copy into the memory that surplus copies leave."""

from collections.abc import Callable

from attrs import Factory, define, frozen

from rhubarbshed.coordination.placement.floor import Copy, Floor, ServerState, rank

RELOCATION_SERVERS_MAX = 16
"""Servers tried when single copies have to be moved to fit one model."""

EVICTION_STEPS_MAX = 6000
"""Models times servers beyond which surplus copies are not chosen one by one."""

EVICTION_PLACES_MAX = 8
"""Servers with enough surplus that are compared for one model."""

RELOCATION_STEPS_MAX = 1500
"""Models times servers beyond which single copies are not moved."""


@frozen
class Item:
    """Ask for one copy; `memory_bytes` counts the model's adapters too."""

    name: str
    memory_bytes: int
    replaces: bool = False


@frozen
class Assignment:
    """Give an item, or a relocated model, its server."""

    name: str
    server: str
    memory_bytes: int
    relocated: bool = False


@define
class Draft:
    """Hold one attempt at a packing."""

    floor: Floor
    free: dict[str, int]
    kept: dict[str, list[Copy]]
    assignments: list[Assignment] = Factory(list)
    evicted: list[Copy] = Factory(list)
    missing: list[Item] = Factory(list)

    @classmethod
    def from_floor(cls, floor: Floor) -> "Draft":
        """Start from the memory that is free once all unloads in flight are done."""
        free = {state.name: state.later_bytes for state in floor.servers.values() if state.live}
        kept = {name: floor.list_copies(name) for name in list(floor.copies)}
        return cls(floor, free, kept)

    @property
    def cost(self) -> tuple[int, int, int, int]:
        """Return what is missing, then how many moves this takes."""
        unreachable = sum(1 for item in self.missing if not item.replaces)
        relocated = sum(1 for assignment in self.assignments if assignment.relocated)
        return unreachable, len(self.missing), relocated, len(self.evicted)

    def is_surplus(self, copy: Copy) -> bool:
        """Tell whether the model and its adapters keep another copy without this one."""
        if copy.model or copy.unloading or copy.server not in self.free:
            return False
        if not self.floor.is_wanted(copy):
            return True
        if not self._has_other(copy):
            return False
        return all(self._has_other(each) for each in self.floor.list_adapters(copy))

    def _has_other(self, copy: Copy) -> bool:
        others = [each for each in self.kept.get(copy.key, ()) if each is not copy]
        if self.floor.is_current(copy):
            others = [each for each in others if self.floor.is_current(each)]
        return bool(others)

    def evict(self, copy: Copy) -> None:
        """Take a copy and its adapters out."""
        for each in [*self.floor.list_adapters(copy), copy]:
            self.free[each.server] += each.memory_bytes
            self.kept[each.key] = [kept for kept in self.kept[each.key] if kept is not each]
        self.evicted.append(copy)

    def put(self, item: Item, server: str, relocated: bool = False) -> None:
        """Give an item its server."""
        self.free[server] -= item.memory_bytes
        self.assignments.append(Assignment(item.name, server, item.memory_bytes, relocated))


Strategy = Callable[[Floor, tuple[Item, ...]], Draft]


def pack(floor: Floor, items: tuple[Item, ...]) -> Draft:
    """Place one copy of each item, with the fewest moves that a few strategies find."""
    ordered = tuple(sorted(items, key=lambda item: (item.replaces, -item.memory_bytes, item.name)))
    best: Draft | None = None
    for strategy in _choose_strategies(len(items) * len(floor.servers)):
        draft = strategy(floor, ordered)
        if best is None or draft.cost < best.cost:
            best = draft
        if not draft.missing:
            break
    return best


def _choose_strategies(steps: int) -> tuple[Strategy, ...]:
    """Return the strategies to try; the costly ones only for a few items."""
    chosen: list[Strategy] = [pack_spread]
    if steps <= EVICTION_STEPS_MAX:
        chosen.append(pack_evicting)
    chosen.append(pack_first_fit)
    if steps <= RELOCATION_STEPS_MAX:
        chosen.append(pack_relocating)
    return tuple(chosen)


def pack_spread(floor: Floor, items: tuple[Item, ...]) -> Draft:
    """Use free memory only, the server with the most of it first."""
    draft = Draft.from_floor(floor)
    for item in items:
        fitting = [name for name, free in draft.free.items() if free >= item.memory_bytes]
        if not fitting:
            draft.missing.append(item)
            continue
        draft.put(item, max(fitting, key=lambda name: (draft.free[name], rank(item.name, name))))
    return draft


def pack_evicting(floor: Floor, items: tuple[Item, ...]) -> Draft:
    """Unload surplus copies, the fewest bytes for each item."""
    draft = Draft.from_floor(floor)
    for item in items:
        _put_evicting(draft, item)
    return draft


def _put_evicting(draft: Draft, item: Item) -> bool:
    best: tuple[tuple[int, int, int], str, list[Copy]] | None = None
    compared = 0
    for name in sorted(draft.free, key=lambda each: (rank(item.name, each), each)):
        if compared >= EVICTION_PLACES_MAX:
            break
        victims = _choose_evictions(draft, draft.floor.servers[name], item.memory_bytes)
        if victims is None:
            continue
        compared += 1
        moved = sum(copy.memory_bytes for copy in victims)
        left = draft.free[name] + moved - item.memory_bytes
        key = (len(victims), left, rank(item.name, name))
        if best is None or key < best[0]:
            best = (key, name, victims)
    if best is None:
        draft.missing.append(item)
        return False
    for copy in best[2]:
        draft.evict(copy)
    draft.put(item, best[1])
    return True


def _choose_evictions(draft: Draft, state: ServerState, needed: int) -> list[Copy] | None:
    """Return surplus copies whose unload frees enough, or None where that cannot be."""
    free = draft.free[state.name]
    victims: list[Copy] = []
    if free >= needed:
        return victims
    surplus = [copy for copy in state.copies if draft.is_surplus(copy)]
    for copy in sorted(surplus, key=lambda each: (-each.memory_bytes, each.name)):
        if any(each.name == copy.name for each in victims):
            continue
        victims.append(copy)
        free += _measure(draft.floor, copy)
        if free >= needed:
            return _drop_needless(draft.floor, victims, free - needed)
    return None


def _drop_needless(floor: Floor, victims: list[Copy], spare: int) -> list[Copy]:
    """Leave out victims, smallest first, that the item fits without."""
    needed = []
    for copy in reversed(victims):
        size = _measure(floor, copy)
        if size <= spare:
            spare -= size
        else:
            needed.append(copy)
    return needed


def _measure(floor: Floor, copy: Copy) -> int:
    return copy.memory_bytes + sum(each.memory_bytes for each in floor.list_adapters(copy))


def pack_first_fit(floor: Floor, items: tuple[Item, ...]) -> Draft:
    """Keep one copy of each model, the one on the first server by name, and fit in that order."""
    draft = Draft.from_floor(floor)
    surplus: dict[str, list[Copy]] = {name: [] for name in draft.free}
    for key in sorted(draft.kept):
        for copy in sorted(draft.kept[key], key=lambda each: each.server, reverse=True):
            if draft.is_surplus(copy):
                draft.evict(copy)
                surplus[copy.server].append(copy)
    draft.evicted = []
    for item in items:
        server = _find_first(draft, item.memory_bytes)
        if server is None:
            draft.missing.append(item)
        else:
            draft.put(item, server)
    _evict_needed(draft, surplus)
    return draft


def _find_first(draft: Draft, needed: int) -> str | None:
    for name in sorted(draft.free):
        if draft.free[name] >= needed:
            return name
    return None


def _evict_needed(draft: Draft, surplus: dict[str, list[Copy]]) -> None:
    """Evict only what the assignments need of the surplus copies."""
    taken: dict[str, int] = {}
    for assignment in draft.assignments:
        taken[assignment.server] = taken.get(assignment.server, 0) + assignment.memory_bytes
    for server, needed in taken.items():
        free = draft.floor.servers[server].later_bytes
        for copy in sorted(surplus[server], key=lambda each: (-each.memory_bytes, each.name)):
            if free >= needed:
                break
            draft.evicted.append(copy)
            free += _measure(draft.floor, copy)


def pack_relocating(floor: Floor, items: tuple[Item, ...]) -> Draft:
    """Unload surplus copies, then move single copies elsewhere to make a hole."""
    draft = Draft.from_floor(floor)
    for item in items:
        if not _put_evicting(draft, item) and _relocate_for(draft, item):
            draft.missing.remove(item)
    return draft


def _relocate_for(draft: Draft, item: Item) -> bool:
    """Move single copies off one server so that the item fits there."""
    order = sorted(draft.free, key=lambda name: (-draft.free[name], name))
    for server in order[:RELOCATION_SERVERS_MAX]:
        moved = _choose_moved(draft, server, item.memory_bytes)
        if moved is None:
            continue
        for copy, target in moved:
            wanted = draft.floor.models[copy.name]
            draft.put(Item(copy.name, wanted.memory_bytes), target, relocated=True)
            draft.evict(copy)
        draft.put(item, server)
        return True
    return False


def _choose_moved(draft: Draft, server: str, needed: int) -> list[tuple[Copy, str]] | None:
    free = dict(draft.free)
    moved: list[tuple[Copy, str]] = []
    copies = [
        copy
        for copy in draft.floor.servers[server].copies
        if not copy.model and draft.floor.stays(copy) and draft.floor.is_current(copy)
        if copy not in draft.evicted and not draft.floor.list_adapters(copy)
    ]
    for copy in sorted(copies, key=lambda each: (each.memory_bytes, each.name)):
        if free[server] >= needed:
            break
        size = draft.floor.models[copy.name].memory_bytes
        fitting = [name for name in free if name != server and free[name] >= size]
        if not fitting:
            continue
        target = min(fitting, key=lambda name: (free[name], rank(copy.name, name)))
        free[target] -= size
        free[server] += copy.memory_bytes
        moved.append((copy, target))
    return moved if free[server] >= needed else None
