"""Small fakes of the table service and of engines for tests of agreement."""

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine
from typing import Any

from attrs import define, evolve, field
from returns.result import Failure, Result, Success

from rhubarbshed.coordination.agreement.ownership import maintain_ownership, renew_session
from rhubarbshed.coordination.agreement.transactions import TableAccess
from rhubarbshed.coordination.placement.budgets import Budget
from rhubarbshed.coordination.placement.loads import LoadSpec, MoveContext
from rhubarbshed.coordination.placement.reconciliation import reconcile_server
from rhubarbshed.coordination.requests.quotas import AdapterQuota
from rhubarbshed.protocol.members import BackendKind, BackendServerInfo
from rhubarbshed.protocol.orders import (
    EngineReport,
    Order,
    OrderError,
    OrderFault,
    OrderKind,
    Resident,
)
from rhubarbshed.protocol.platform import EngineClient, TableClient
from rhubarbshed.protocol.tables import (
    Committed,
    Row,
    Scan,
    TableError,
    TableFault,
    Transaction,
    Write,
)
from rhubarbshed.state.agreement.leases import Holder, Leases
from rhubarbshed.state.placement.ledger import EntryKey, Ledger, decode_ledger
from rhubarbshed.state.placement.moves import Moves
from rhubarbshed.state.placement.weights import WeightGate

TERM_S = 10.0
RENEWAL_S = 3.0
MEMORY_BYTES = 100
DATA_CENTRE = "dc-1"


class KilledError(Exception):
    """Raised to stop a process at a step."""


@define
class FakeClock:
    """Clock whose time is set by tests."""

    now: float = 1000.0

    def __call__(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += seconds
        await asyncio.sleep(0)


def apply_transaction(
    rows: dict[str, Row], transaction: Transaction, revision: int
) -> Result[Committed, TableError]:
    """Apply all writes to rows if all checks hold, as the table service does."""
    present = [(rows.get(c.key, Row(c.key, 0)), c.version) for c in transaction.checks]
    failed = tuple(row for row, version in present if row.version != version)
    if failed:
        return Failure(TableError(TableFault.CONFLICT, failed))
    for write in transaction.writes:
        version = rows.get(write.key, Row(write.key, 0)).version + 1
        rows[write.key] = Row(write.key, version, write.value, revision)
    return Success(Committed(revision))


@define
class FakeTable:
    """In-memory table; faults are taken from the front of `faults`, one per commit.

    `lost` takes effect and loses the answer, `late` takes effect when `deliver` is called,
    `before` calls a function first. `on_write` sees each write that took effect.
    """

    rows: dict[str, Row] = field(factory=dict)
    revision: int = 0
    down: bool = False
    faults: list[Any] = field(factory=list)
    late: list[Transaction] = field(factory=list)
    reads: int = 0
    scans: int = 0
    commits: int = 0
    on_write: Callable[[Write], None] = lambda _: None

    def read(self, keys: tuple[str, ...]) -> Result[tuple[Row, ...], TableError]:
        self.reads += 1
        if self.down:
            return Failure(TableError(TableFault.UNAVAILABLE))
        return Success(tuple(self.rows.get(key, Row(key, 0)) for key in keys))

    def scan(self, prefix: str, revision: int) -> Result[Scan, TableError]:
        self.scans += 1
        if self.down:
            return Failure(TableError(TableFault.UNAVAILABLE))
        found = [r for k, r in sorted(self.rows.items()) if k.startswith(prefix)]
        return Success(Scan(tuple(r for r in found if r.revision > revision), self.revision))

    def commit(self, transaction: Transaction) -> Result[Committed, TableError]:
        self.commits += 1
        if self.down:
            return Failure(TableError(TableFault.UNAVAILABLE))
        fault = self.faults.pop(0) if self.faults else None
        if callable(fault):
            fault()
        if fault == "late":
            self.late.append(transaction)
            return Failure(TableError(TableFault.UNKNOWN))
        answer = self.apply(transaction)
        return Failure(TableError(TableFault.UNKNOWN)) if fault == "lost" else answer

    def apply(self, transaction: Transaction) -> Result[Committed, TableError]:
        answer = apply_transaction(self.rows, transaction, self.revision + 1)
        if isinstance(answer, Success):
            self.revision += 1
            for write in transaction.writes:
                self.on_write(write)
        return answer

    def deliver(self) -> None:
        while self.late:
            self.apply(self.late.pop(0))

    def make_client(self) -> TableClient:
        return TableClient(self.read, self.scan, self.commit)


@define
class FakeEngine:
    """In-memory engine; faults are taken from the front of `faults`, one per order.

    `lost` runs and loses the answer, `late` runs when `deliver` is called, an `OrderFault`
    does not run. `before` callables run first. A restart forgets memory and order ids.
    """

    info: BackendServerInfo
    token: int = 0
    boot: int = 1
    resident: dict[EntryKey, int] = field(factory=dict)
    done: set[str] = field(factory=set)
    faults: list[Any] = field(factory=list)
    late: list[Order] = field(factory=list)
    orders: list[Order] = field(factory=list)
    loads: int = 0
    peak: int = 0

    def send(self, info: BackendServerInfo, order: Order) -> Result[None, OrderError]:
        self.orders.append(order)
        fault = self.faults.pop(0) if self.faults else None
        if callable(fault):
            fault()
        if isinstance(fault, OrderFault):
            return Failure(OrderError(fault))
        if fault == "late":
            self.late.append(order)
            return Failure(OrderError(OrderFault.UNKNOWN))
        answer = self.run(order)
        return Failure(OrderError(OrderFault.UNKNOWN)) if fault == "lost" else answer

    def run(self, order: Order) -> Result[None, OrderError]:
        if self.info.checks_fencing and order.fencing_token < self.token:
            return Failure(OrderError(OrderFault.STALE_TOKEN))
        self.token = max(self.token, order.fencing_token)
        if order.order_id in self.done:
            return Success(None)
        self.done.add(order.order_id)
        key = EntryKey(order.name, order.version, order.model)
        if order.kind in (OrderKind.LOAD, OrderKind.LOAD_ADAPTER):
            self.resident[key] = order.memory_bytes
            self.loads += 1
        elif order.kind in (OrderKind.UNLOAD, OrderKind.UNLOAD_ADAPTER):
            self.resident.pop(key, None)
        self.peak = max(self.peak, sum(self.resident.values()))
        return Success(None)

    def deliver(self) -> None:
        while self.late:
            self.run(self.late.pop(0))

    def restart(self) -> None:
        self.boot += 1
        self.resident.clear()
        self.done.clear()

    def report(self, age_s: float = 0.0) -> EngineReport:
        shown = tuple(
            Resident(k.name, k.version, b, True, k.model) for k, b in self.resident.items()
        )
        return EngineReport(
            backend_server=self.info.name,
            age_s=age_s,
            running=0,
            waiting=0,
            waiting_tokens=0,
            memory_bytes_used=sum(self.resident.values()),
            memory_bytes_total=self.info.memory_bytes,
            fencing_token=self.token,
            tokens_per_s=0.0,
            prefill_tokens_per_s=0.0,
            slots=1,
            resident=shown,
            boot_id=str(self.boot),
        )


def make_server(name: str = "b1", checks_fencing: bool = True, **changes: Any) -> BackendServerInfo:
    info = BackendServerInfo(
        name, BackendKind.ENGINE, DATA_CENTRE, "r", "127.0.0.1", 1, 1, MEMORY_BYTES, checks_fencing
    )
    return evolve(info, **changes)


@define
class World:
    """One table, one engine and a clock, shared by several instances."""

    table: FakeTable = field(factory=FakeTable)
    clock: FakeClock = field(factory=FakeClock)
    engine: FakeEngine = field(factory=lambda: FakeEngine(make_server()))
    ids: Any = field(factory=itertools.count)
    power_watts_max: float = 0.0

    @classmethod
    def from_server(cls, info: BackendServerInfo, **changes: Any) -> "World":
        return cls(engine=FakeEngine(info), **changes)

    def make_access(self, guard: Callable[[], None] = lambda: None) -> TableAccess:
        async def run(call: Callable, *arguments: Any) -> Any:
            guard()
            return call(*arguments)

        return TableAccess(
            self.table.make_client(),
            run,
            random.Random(1),
            self.clock.sleep,
            lambda: f"id-{next(self.ids)}",
        )

    @property
    def budget(self) -> Budget:
        return Budget(self.engine.info, 1.0, self.power_watts_max)

    @property
    def ledger(self) -> Ledger:
        name = self.engine.info.name
        row = self.table.rows.get(f"backend/{name}")
        return decode_ledger(name, None if row is None else row.value).unwrap()


@define
class Instance:
    """Drivers of one instance; `steps_left` stops it before a call to an external system."""

    world: World
    context: MoveContext
    steps_left: int | None = None

    @classmethod
    def start(cls, world: World, name: str, incarnation: str = "1") -> "Instance":
        made: list[Instance] = []
        leases = Leases(Holder(name, incarnation), TERM_S, 2 * RENEWAL_S)
        context = MoveContext(
            access=world.make_access(lambda: made[0].step()),
            engine=EngineClient(world.engine.send, lambda *_: Failure(None)),
            leases=leases,
            gate=WeightGate(1 / 1.5, 6),
            quota=AdapterQuota(50, name),
            moves=Moves(),
            clock=world.clock,
        )
        made.append(cls(world, context))
        return made[0]

    def step(self) -> None:
        if self.steps_left is None:
            return
        if self.steps_left == 0:
            raise KilledError
        self.steps_left -= 1

    async def renew(self) -> Any:
        return await renew_session(self.context.access, self.context.leases, self.world.clock)

    async def maintain(self, live: tuple[str, ...] = (), servers: tuple[str, ...] = ("b1",)) -> Any:
        context = self.context
        change = await maintain_ownership(
            context.access, context.leases, servers, live, context.clock, context.moves.is_idle
        )
        if isinstance(change, Success):
            for ledger in change.unwrap().ledgers:
                context.moves.record_ledger(ledger, context.clock())
        return change

    async def reconcile(self, rounds: int = 1) -> Any:
        answer = None
        for _ in range(rounds):
            self.world.clock.now += 1.0
            requested_at = self.world.clock()
            report = self.world.engine.report()
            answer = await reconcile_server(self.context, self.world.budget, report, requested_at)
        return answer

    async def own(self) -> None:
        await self.renew()
        await self.maintain()
        await self.reconcile(3)


def make_spec(name: str, memory_bytes: int, power_watts: float = 0.0, model: str = "") -> LoadSpec:
    return LoadSpec(EntryKey(name, "v1", model), memory_bytes, power_watts)


def complete(work: Coroutine) -> Any:
    """Run a coroutine to its end without a loop, so that one may run within another's step."""
    try:
        while True:
            work.send(None)
    except StopIteration as end:
        return end.value
