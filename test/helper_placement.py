"""Small builders and an in-memory floor for the tests of placement."""

from collections.abc import Iterable

import attrs
from attrs import Factory, define

from rhubarbshed.coordination.placement import plan_moves
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
class Floor:
    """Carry out plans at once or step by step; each step checks what must always hold."""

    servers: dict[str, ServerView]
    models: tuple[Model, ...]
    adapters: tuple[Adapter, ...] = ()
    settings: Settings = SETTINGS
    records: list[MoveRecord] = Factory(list)
    moves: list[Move] = Factory(list)
    now: float = 1000.0

    @classmethod
    def from_views(cls, views: Iterable[ServerView], models, adapters=(), **more) -> "Floor":
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
        """Plan, start all moves, check, settle them."""
        plan = self.plan(demand)
        held = self.list_ready()
        for move in plan.moves:
            self._start(move)
        self._check(plan, held)
        for move in plan.moves:
            self._settle(move)
        self.moves.extend(plan.moves)
        self.now += self.settings.placement.interval_s
        return plan

    def run(self, steps: int, demand: tuple[ModelDemand, ...] = ()) -> None:
        for _ in range(steps):
            self.step(demand)

    def list_ready(self) -> set[str]:
        return {
            each.name
            for view in self.servers.values()
            if view.standing is not Standing.GONE
            for each in view.resident
            if each.ready
        }

    def list_holders(self, name: str, version: str = "1") -> list[str]:
        return sorted(
            view.info.name
            for view in self.servers.values()
            if any((each.name, each.version) == (name, version) for each in view.resident)
        )

    def _start(self, move: Move) -> None:
        if move.kind in (MoveKind.LOAD, MoveKind.LOAD_ADAPTER):
            resident = Resident(move.name, move.version, move.memory_bytes, False, move.model)
            view = self.servers[move.backend_server]
            self._replace(view, (*view.resident, resident))

    def _check(self, plan: PlacementPlan, held: set[str]) -> None:
        for view in self.servers.values():
            assert view.reserved_bytes <= view.info.memory_bytes, plan
        going = {
            (move.backend_server, move.name, move.version)
            for move in plan.moves
            if move.kind in (MoveKind.UNLOAD, MoveKind.UNLOAD_ADAPTER)
        }
        left = {
            each.name
            for view in self.servers.values()
            for each in view.resident
            if each.ready and (view.info.name, each.name, each.version) not in going
        }
        alive = {each.name for each in (*self.models, *self.adapters)}
        assert held & alive <= left, plan

    def _settle(self, move: Move) -> None:
        view = self.servers[move.backend_server]
        kept = []
        for each in view.resident:
            same = (each.name, each.version) == (move.name, move.version)
            if same and move.kind in (MoveKind.LOAD, MoveKind.LOAD_ADAPTER):
                kept.append(attrs.evolve(each, ready=True))
            elif not same:
                kept.append(each)
        self._replace(view, tuple(kept))
        self.records.append(MoveRecord(move, self.now, self.now + 1.0))

    def _replace(self, view: ServerView, resident: tuple[Resident, ...]) -> None:
        reserved = sum(each.memory_bytes for each in resident)
        name = view.info.name
        self.servers[name] = attrs.evolve(view, resident=resident, reserved_bytes=reserved)
