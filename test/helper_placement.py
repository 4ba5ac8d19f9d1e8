"""Builders and an in-memory cluster for the tests of placement."""

from collections.abc import Iterable
from random import Random

import attrs
from attrs import Factory, define

from rhubarbshed.coordination.placement.placement import plan_moves
from rhubarbshed.protocol.catalogue import Adapter, Model
from rhubarbshed.protocol.members import BackendKind, BackendServerInfo, Standing
from rhubarbshed.protocol.orders import Resident
from rhubarbshed.protocol.placement import (
    ModelDemand,
    Move,
    MoveKind,
    MoveRecord,
    PlacementPlan,
    ServerView,
)
from rhubarbshed.util.settings import Settings

SETTINGS = Settings.from_text("[placement]\nmemory_fill_max = 1.0\n").unwrap()


def make_server(name: str, memory: int, *names: str, centre: str = "a", **more) -> ServerView:
    """Make a server that holds ready models given as `name` or `name=version`, 10 bytes each."""
    info = BackendServerInfo(
        name, BackendKind.ENGINE, centre, "r", "127.0.0.1", 9, memory_bytes=memory
    )
    resident = tuple(make_resident(each) for each in names)
    reserved = sum(each.memory_bytes for each in resident)
    return ServerView(info, resident=resident, reserved_bytes=reserved, **more)


def make_resident(text: str, size: int = 10, ready: bool = True) -> Resident:
    name, _, version = text.partition("=")
    return Resident(name, version or "1", size, ready)


def make_model(name: str, size: int = 10, version: str = "1", **more) -> Model:
    return Model(name, version, size, **more)


@define
class Cluster:
    """In-memory cluster that executes plans; `start` checks memory limits and last copies."""

    servers: dict[str, ServerView]
    models: tuple[Model, ...]
    adapters: tuple[Adapter, ...] = ()
    settings: Settings = SETTINGS
    records: list[MoveRecord] = Factory(list)
    pending: list[Move] = Factory(list)
    moves: list[Move] = Factory(list)
    now: float = 1000.0

    @classmethod
    def from_views(cls, views: Iterable[ServerView], models, adapters=(), **more) -> "Cluster":
        views = {view.info.name: view for view in views}
        return cls(views, tuple(models), tuple(adapters), **more)

    def plan(self, demand: tuple[ModelDemand, ...] = ()) -> PlacementPlan:
        return plan_moves(
            self.models,
            self.adapters,
            tuple(self.servers.values()),
            demand,
            self.settings.placement,
            self.settings.weight_store,
            tuple(self.records),
            self.now,
        )

    def step(self, demand: tuple[ModelDemand, ...] = ()) -> PlacementPlan:
        """Plan, then start and settle all moves."""
        plan = self.plan(demand)
        self.start(plan.moves)
        self.settle(tuple(self.pending))
        self.now += self.settings.placement.interval_s
        return plan

    def step_partly(self, rng: Random, demand: tuple[ModelDemand, ...] = ()) -> None:
        """Plan, lose some moves and settle others late."""
        plan = self.plan(demand)
        self.start(tuple(move for move in plan.moves if rng.random() < 0.8))
        self.settle(tuple(move for move in self.pending if rng.random() < 0.6))
        self.now += self.settings.placement.interval_s

    def run(self, steps: int, demand: tuple[ModelDemand, ...] = ()) -> None:
        for _ in range(steps):
            self.step(demand)

    def list_ready(self) -> set[str]:
        """Return names with a ready copy that is not being unloaded."""
        going = {
            (move.backend_server, move.name, move.version)
            for move in self.pending
            if move.kind in (MoveKind.UNLOAD, MoveKind.UNLOAD_ADAPTER)
        }
        return {
            each.name
            for view in self.servers.values()
            if view.standing is not Standing.GONE
            for each in view.resident
            if each.ready and (view.info.name, each.name, each.version) not in going
        }

    def list_holders(self, name: str, version: str = "1") -> list[str]:
        return sorted(
            view.info.name
            for view in self.servers.values()
            if any((each.name, each.version) == (name, version) for each in view.resident)
        )

    def start(self, moves: tuple[Move, ...]) -> None:
        """Start moves; fail if memory is overcommitted or a last ready copy is unloaded."""
        held = self.list_ready()
        for move in moves:
            if move.kind in (MoveKind.LOAD, MoveKind.LOAD_ADAPTER):
                resident = Resident(move.name, move.version, move.memory_bytes, False, move.model)
                view = self.servers[move.backend_server]
                self.replace(view, (*view.resident, resident))
            else:
                self._mark_unloading(move)
            self.records.append(MoveRecord(move, self.now))
        self.pending.extend(moves)
        self.moves.extend(moves)
        for view in self.servers.values():
            assert view.reserved_bytes <= view.info.memory_bytes, moves
        alive = {each.name for each in (*self.models, *self.adapters)}
        assert held & alive <= self.list_ready(), moves

    def settle(self, moves: tuple[Move, ...]) -> None:
        """Complete moves that were started."""
        for move in moves:
            self.pending.remove(move)
            self._apply(move)
        self.records = [
            attrs.evolve(record, settled_at=self.now) if record.move in moves else record
            for record in self.records
        ]

    def has_seen(self, server: str, views: dict[str, ServerView]) -> bool:
        """Return whether a server's ledger row is unchanged since the views were taken."""
        return not server or views[server] is self.servers[server]

    def fits(self, move: Move) -> bool:
        """Return whether the ledger allows a move."""
        view = self.servers[move.backend_server]
        same = [
            each for each in view.resident if (each.name, each.version) == (move.name, move.version)
        ]
        if move.kind in (MoveKind.LOAD, MoveKind.LOAD_ADAPTER):
            return not same and view.free_bytes >= move.memory_bytes
        return bool(same) and not any(each in view.unloading for each in same)

    def _mark_unloading(self, move: Move) -> None:
        view = self.servers[move.backend_server]
        gone = tuple(
            each for each in view.resident if (each.name, each.version) == (move.name, move.version)
        )
        marked = attrs.evolve(view, unloading=(*view.unloading, *gone))
        self.servers[move.backend_server] = marked

    def _apply(self, move: Move) -> None:
        view = self.servers[move.backend_server]
        kept = []
        for each in view.resident:
            same = (each.name, each.version) == (move.name, move.version)
            if same and move.kind in (MoveKind.LOAD, MoveKind.LOAD_ADAPTER):
                kept.append(attrs.evolve(each, ready=True))
            elif not same:
                kept.append(each)
        self.replace(view, tuple(kept))

    def replace(self, view: ServerView, resident: tuple[Resident, ...]) -> None:
        reserved = sum(each.memory_bytes for each in resident)
        unloading = tuple(each for each in view.unloading if each in resident)
        self.servers[view.info.name] = attrs.evolve(
            view, resident=resident, reserved_bytes=reserved, unloading=unloading
        )
