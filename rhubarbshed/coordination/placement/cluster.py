"""Cluster state used by placement: copies and free memory by server, power by data centre."""

from collections import defaultdict

import xxhash
from attrs import Factory, define

from rhubarbshed.protocol.catalogue import Adapter, Model
from rhubarbshed.protocol.members import BackendKind, Standing
from rhubarbshed.protocol.orders import Resident
from rhubarbshed.protocol.placement import MoveKind, MoveRecord, ServerView

LOAD_KINDS = (MoveKind.LOAD, MoveKind.LOAD_ADAPTER)
UNLOAD_KINDS = (MoveKind.UNLOAD, MoveKind.UNLOAD_ADAPTER)

ADAPTER_KEY_PREFIX = "adapter\0"
"""Distinguishes the key of an adapter from that of a model of the same name."""


@define(eq=False)
class Copy:
    """One copy of a model or adapter; `unloading` once an unload is planned or in flight."""

    server: str
    name: str
    version: str
    memory_bytes: int
    ready: bool
    model: str = ""
    unloading: bool = False
    moved_at: float = float("-inf")

    @property
    def key(self) -> str:
        """Key of the model or adapter, the same for all its copies."""
        return ADAPTER_KEY_PREFIX + self.name if self.model else self.name


@define(eq=False)
class ClusterServer:
    """A server's copies; `free_bytes` is free now, `later_free_bytes` once unloads complete."""

    name: str
    data_centre: str
    standing: Standing
    free_bytes: int
    later_free_bytes: int
    slots: int
    tokens_per_s: float
    copies: list[Copy] = Factory(list)

    @property
    def live(self) -> bool:
        """Whether the server accepts loads."""
        return self.standing is Standing.LIVE

    def find(self, key: str) -> list[Copy]:
        """Return the copies of a key that are not unloading."""
        return [copy for copy in self.copies if not copy.unloading and copy.key == key]


@define(eq=False)
class ClusterState:
    """Engines that are not gone, and the copies of each model and adapter.

    `power_watts` is the power drawn in each data centre.
    """

    models: dict[str, Model]
    adapters: dict[str, Adapter]
    servers: dict[str, ClusterServer]
    copies: dict[str, list[Copy]]
    adapters_of: dict[str, list[Adapter]]
    power_watts: dict[str, float]

    @classmethod
    def from_views(
        cls,
        models: tuple[Model, ...],
        adapters: tuple[Adapter, ...],
        servers: tuple[ServerView, ...],
        records: tuple[MoveRecord, ...],
        memory_fill_max: float,
    ) -> "ClusterState":
        """Build the state from server views, including moves in flight."""
        cluster = cls(
            {model.name: model for model in models},
            {adapter.name: adapter for adapter in adapters},
            {},
            defaultdict(list),
            defaultdict(list),
            defaultdict(float),
        )
        for adapter in sorted(adapters, key=lambda each: each.name):
            if adapter.model in cluster.models:
                cluster.adapters_of[adapter.model].append(adapter)
        by_server: dict[str, list[MoveRecord]] = defaultdict(list)
        for record in records:
            by_server[record.move.backend_server].append(record)
        for view in sorted(servers, key=lambda each: each.info.name):
            if view.standing is not Standing.GONE and view.info.kind is BackendKind.ENGINE:
                cluster._add_view(view, by_server[view.info.name], memory_fill_max)
        return cluster

    def _add_view(self, view: ServerView, records: list[MoveRecord], fill: float) -> None:
        copies = _list_copies(view, records)
        for copy in copies:
            if not copy.model and copy.name not in self.models and copy.name in self.adapters:
                copy.model = self.adapters[copy.name].model
        used = max(view.reserved_bytes, sum(copy.memory_bytes for copy in copies))
        free = int(view.info.memory_bytes * fill) - used
        unloading = sum(copy.memory_bytes for copy in copies if copy.unloading)
        state = ClusterServer(
            view.info.name,
            view.info.data_centre,
            view.standing,
            free,
            free + unloading,
            view.slots,
            view.tokens_per_s,
            copies,
        )
        self.servers[state.name] = state
        drawn = 0.0
        for copy in copies:
            self.copies[copy.key].append(copy)
            model = None if copy.model else self.models.get(copy.name)
            drawn += model.power_watts if model is not None else 0.0
        self.power_watts[state.data_centre] += max(drawn, view.power_watts)

    def list_copies(self, key: str) -> list[Copy]:
        """Return the copies of a key that are not unloading, on servers that are not leaving."""
        return [copy for copy in self.copies.get(key, ()) if self.stays(copy)]

    def stays(self, copy: Copy) -> bool:
        """Return whether a copy is not unloading and its server is not leaving."""
        return not copy.unloading and self.servers[copy.server].standing is not Standing.LEAVING

    def is_current(self, copy: Copy) -> bool:
        """Return whether a copy has the version in the catalogue."""
        catalogued = self.adapters.get(copy.name) if copy.model else self.models.get(copy.name)
        return catalogued is not None and catalogued.version == copy.version

    def list_current(self, key: str) -> list[Copy]:
        """Return the copies listed by `list_copies` that have the catalogue's version."""
        return [copy for copy in self.list_copies(key) if self.is_current(copy)]

    def list_adapters(self, copy: Copy) -> list[Copy]:
        """Return the adapters to unload together with a copy of a model.

        While the server holds another version of the model, its adapters stay with that version.
        """
        state = self.servers[copy.server]
        if any(each is not copy for each in state.find(copy.name)):
            return []
        return [each for each in state.copies if each.model == copy.name and not each.unloading]

    def add(self, copy: Copy) -> None:
        """Add the copy of a planned load."""
        state = self.servers[copy.server]
        state.copies.append(copy)
        state.free_bytes -= copy.memory_bytes
        state.later_free_bytes -= copy.memory_bytes
        self.copies[copy.key].append(copy)
        if not copy.model:
            self.power_watts[state.data_centre] += self.models[copy.name].power_watts

    def remove(self, copy: Copy) -> None:
        """Mark a copy as unloading; its memory is free only once the unload is done."""
        copy.unloading = True
        self.servers[copy.server].later_free_bytes += copy.memory_bytes

    def can_unload(self, copy: Copy) -> bool:
        """Return whether a copy is ready and it and its adapters are ready elsewhere or deleted."""
        if copy.unloading or not copy.ready:
            return False
        if not self.is_in_catalogue(copy):
            return True
        if self.find_replacement(copy) is None:
            return False
        if copy.model:
            return True
        return self.can_unload_adapters(copy)

    def can_unload_adapters(self, copy: Copy) -> bool:
        """Return whether each adapter on a model's copy is ready elsewhere or deleted."""
        return all(
            self.find_replacement(adapter) or not self.is_in_catalogue(adapter)
            for adapter in self.list_adapters(copy)
        )

    def is_in_catalogue(self, copy: Copy) -> bool:
        """Return whether the catalogue still has the model or adapter."""
        return copy.name in (self.adapters if copy.model else self.models)

    def find_replacement(self, copy: Copy) -> Copy | None:
        """Return a ready copy on a live server that can replace a copy, or None."""
        current = self.is_current(copy)
        for other in self.copies[copy.key]:
            if copy.model and other.server == copy.server:
                continue
            usable = other.ready and not other.unloading and self.servers[other.server].live
            if other is not copy and usable and (self.is_current(other) or not current):
                return other
        return None


def _list_copies(view: ServerView, records: list[MoveRecord]) -> list[Copy]:
    leaving = {(each.name, each.version) for each in view.unloading}
    copies = [_make_copy(view.info.name, resident) for resident in view.resident]
    for copy in copies:
        copy.unloading = (copy.name, copy.version) in leaving
    for record in records:
        move = record.move
        matching = [
            copy for copy in copies if copy.name == move.name and copy.version == move.version
        ]
        in_flight = record.settled_at is None
        if move.kind in LOAD_KINDS and in_flight and not matching:
            copies.append(
                Copy(
                    move.backend_server,
                    move.name,
                    move.version,
                    move.memory_bytes,
                    False,
                    move.model,
                    moved_at=record.started_at,
                )
            )
        for copy in matching:
            copy.moved_at = max(copy.moved_at, record.settled_at or record.started_at)
            copy.unloading = copy.unloading or (move.kind in UNLOAD_KINDS and in_flight)
    return copies


def _make_copy(server: str, resident: Resident) -> Copy:
    return Copy(
        server,
        resident.name,
        resident.version,
        resident.memory_bytes,
        resident.ready,
        resident.model,
    )


def rank(name: str, server: str) -> int:
    """Return a rendezvous hashing weight, equal on all instances.

    Source: Thaler and Ravishankar, Using Name-Based Mappings to Increase Hit Rates, 1998.
    """
    return xxhash.xxh64_intdigest(f"{name}\0{server}".encode())
