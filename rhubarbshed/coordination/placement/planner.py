"""Planner that adds moves within the limits on memory, power and concurrent loads."""

from collections import defaultdict

from attrs import Factory, define

from rhubarbshed.coordination.placement.cluster import ClusterState, Copy
from rhubarbshed.protocol.catalogue import Adapter, Model
from rhubarbshed.protocol.placement import (
    Move,
    MoveKind,
    MoveReason,
    MoveRecord,
    PlacementPlan,
)
from rhubarbshed.util.settings import PlacementSettings, WeightStoreSettings


@define
class Planner:
    """Moves planned so far; each one is applied to the cluster state as it is added.

    `loads_left`, `adapters_left` and `evictions_left` are what the plan may still add; `reserved`
    is in bytes by server.
    """

    cluster: ClusterState
    settings: PlacementSettings
    now: float
    loads_left: int
    adapters_left: int
    evictions_left: int
    reserved: dict[str, int] = Factory(lambda: defaultdict(int))
    unloaded_at: dict[str, float] = Factory(dict)
    moves: list[Move] = Factory(list)
    unplaced: set[str] = Factory(set)

    @classmethod
    def from_config(
        cls,
        cluster: ClusterState,
        settings: PlacementSettings,
        store: WeightStoreSettings,
        records: tuple[MoveRecord, ...],
        now: float,
    ) -> "Planner":
        """Start a plan with the limits reduced by the moves in flight."""
        loading = adapters = 0
        for state in cluster.servers.values():
            for copy in state.copies:
                loading += not copy.ready and not copy.model
                adapters += not copy.ready and bool(copy.model)
        per_interval = max(1, int(store.loads_per_s * settings.interval_s))
        planner = cls(
            cluster,
            settings,
            now,
            max(0, min(store.loads_at_once - loading, per_interval)),
            max(0, store.adapters_in_flight - adapters),
            store.loads_at_once,
        )
        for record in records:
            if record.move.kind is MoveKind.UNLOAD:
                last = planner.unloaded_at.get(record.move.name, float("-inf"))
                planner.unloaded_at[record.move.name] = max(last, record.started_at)
        return planner

    def finish(self) -> PlacementPlan:
        """Return the plan; a model's adapters are unloaded before the model."""
        return PlacementPlan(tuple(self.moves), tuple(sorted(self.unplaced)))

    def has_room(self, server: str, needed: int) -> bool:
        """Return whether a server has free memory that no more urgent load has reserved."""
        return self.cluster.servers[server].free_bytes - self.reserved[server] >= needed

    def has_power(self, server: str, watts: float) -> bool:
        """Return whether the power limit of the server's data centre allows more watts."""
        limit = self.settings.power_watts_max
        drawn = self.cluster.power_watts[self.cluster.servers[server].data_centre]
        return limit <= 0.0 or drawn + watts <= limit

    def reserve(self, server: str, needed: int) -> None:
        """Reserve memory on a server against less urgent loads until an unload has freed it."""
        self.reserved[server] += needed

    def has_dwelt(self, copy: Copy) -> bool:
        """Return whether the minimum dwell time has passed since a copy's last move."""
        return self.now - copy.moved_at >= self.settings.dwell_min_s

    def has_model_dwelt(self, name: str) -> bool:
        """Return whether the minimum dwell time has passed since a model's last unload."""
        last = self.unloaded_at.get(name, float("-inf"))
        return self.now - last >= self.settings.dwell_min_s

    def load(self, model: Model, server: str, reason: MoveReason) -> bool:
        """Plan the load of a model if it may start now; return whether it was planned."""
        fits = self.has_room(server, model.memory_bytes)
        if not fits or self.loads_left <= 0 or not self.has_power(server, model.power_watts):
            return False
        self.loads_left -= 1
        copy = Copy(server, model.name, model.version, model.memory_bytes, ready=False)
        self._add(copy, MoveKind.LOAD, reason)
        return True

    def load_adapter(self, adapter: Adapter, server: str, reason: MoveReason) -> bool:
        """Plan the load of an adapter if it may start now; return whether it was planned."""
        if not self.has_room(server, adapter.memory_bytes) or self.adapters_left <= 0:
            return False
        self.adapters_left -= 1
        size = adapter.memory_bytes
        copy = Copy(server, adapter.name, adapter.version, size, False, adapter.model)
        self._add(copy, MoveKind.LOAD_ADAPTER, reason)
        return True

    def unload(self, copy: Copy, reason: MoveReason) -> bool:
        """Plan an unload, a model's adapters first, if the copy can be spared."""
        if not self.cluster.can_unload(copy):
            return False
        if not copy.model and any(not each.ready for each in self.cluster.list_adapters(copy)):
            return False
        for each in [] if copy.model else self.cluster.list_adapters(copy):
            self._remove(each, MoveKind.UNLOAD_ADAPTER, reason)
        kind = MoveKind.UNLOAD_ADAPTER if copy.model else MoveKind.UNLOAD
        self._remove(copy, kind, reason)
        return True

    def make_room(self, copy: Copy) -> bool:
        """Plan the eviction of a surplus copy; `evictions_left` limits these in one plan."""
        if self.evictions_left <= 0 or not self.unload(copy, MoveReason.MAKE_ROOM):
            return False
        self.evictions_left -= 1
        return True

    def is_moving(self, name: str, data_centre: str) -> bool:
        """Return whether a copy of a model is loading or unloading in a data centre."""
        for copy in self.cluster.copies.get(name, ()):
            if self.cluster.servers[copy.server].data_centre == data_centre:
                if copy.unloading or not copy.ready:
                    return True
        return False

    def _add(self, copy: Copy, kind: MoveKind, reason: MoveReason) -> None:
        self.cluster.add(copy)
        self._append(copy, kind, reason, "")

    def _remove(self, copy: Copy, kind: MoveKind, reason: MoveReason) -> None:
        other = self.cluster.find_replacement(copy) if self.cluster.is_in_catalogue(copy) else None
        self.cluster.remove(copy)
        self._append(copy, kind, reason, other.server if other is not None else "")

    def _append(self, copy: Copy, kind: MoveKind, reason: MoveReason, relies_on: str) -> None:
        self.moves.append(
            Move(
                kind,
                copy.server,
                copy.name,
                copy.version,
                copy.memory_bytes,
                reason,
                copy.model,
                relies_on,
            )
        )
