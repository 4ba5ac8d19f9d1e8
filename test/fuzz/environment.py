"""Fakes of the instances' environment: platform, engines, services and network cuts."""

import json
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.answers import BufferedResponse
from rhubarbshed.protocol.members import (
    BackendKind,
    BackendServerInfo,
    ListedBackendServer,
    ListedInstance,
    PlatformList,
)
from rhubarbshed.protocol.orders import OrderError, OrderFault
from rhubarbshed.protocol.platform import EngineClient, ListClient, ObjectClient, TableClient
from rhubarbshed.protocol.requests import AttemptEnd
from rhubarbshed.protocol.services import ServiceReport
from rhubarbshed.protocol.tables import TableError, TableFault
from test.fuzz.virtual import Timer
from test.helper_agreed import FakeEngine, FakeTable

PLATFORM = "platform"
LIST_LAG_S = 1.0
DELAY_MAX_S = 20.0
POISON = "poison"


@define
class Rates:
    """Probability of a fault per exchange of each kind."""

    commit: float = 0.0
    order: float = 0.0
    attempt: float = 0.0
    frame: float = 0.0


@define(eq=False)
class RunningAttempt:
    """Attempt that runs on a backend server."""

    payload: str
    end: Callable[[AttemptEnd, BufferedResponse | None], None]


@define(eq=False)
class Server:
    """Backend server: its memory and orders, and the attempts that run on it."""

    info: BackendServerInfo
    engine: FakeEngine
    running: list[RunningAttempt] = field(factory=list)
    leaving: bool = False
    listed: bool = True
    lost_models: set[str] = field(factory=set)

    @classmethod
    def from_info(cls, info: BackendServerInfo) -> "Server":
        return cls(info, FakeEngine(info))

    def crash(self) -> None:
        """Restart with empty memory; all open connections break."""
        self.lost_models |= {key.name for key in self.engine.resident}
        self.engine.restart()
        broken, self.running = self.running, []
        for item in broken:
            item.end(AttemptEnd.BROKEN, None)

    def has(self, model: str, adapter: str) -> bool:
        names = {key.name for key in self.engine.resident}
        return model in names and (not adapter or adapter in names)


@define(eq=False)
class Environment:
    """Everything outside the instances, and the faults in force."""

    timer: Timer
    rng: random.Random
    servers: dict[str, Server]
    table: FakeTable = field(factory=FakeTable)
    store: dict[str, bytes] = field(factory=dict)
    listed: list[tuple[float, PlatformList]] = field(factory=list)
    instances: dict[str, ListedInstance] = field(factory=dict)
    cuts: set[tuple[str, str]] = field(factory=set)
    rates: Rates = field(factory=Rates)
    runs: dict[str, list[str]] = field(factory=lambda: defaultdict(list))
    started_runs: Counter[str] = field(factory=Counter)
    crashed_servers: dict[str, list[str]] = field(factory=lambda: defaultdict(list))
    on_order: Callable[[Server, Any, set], None] = lambda *_: None

    def is_cut(self, source: str, target: str) -> bool:
        return (source, target) in self.cuts

    def draw_fault(self, rate: float) -> bool:
        return rate > 0 and self.rng.random() < rate

    def record_list(self) -> None:
        """Record the current list, for reads that lag."""
        known = [server for server in self.servers.values() if server.listed]
        listed = [ListedBackendServer(server.info, server.leaving) for server in known]
        view = PlatformList(tuple(self.instances.values()), tuple(listed))
        self.listed.append((self.timer.now, view))

    def make_table(self, centre: str) -> TableClient:
        def query(call: Callable[..., Result], *args: Any) -> Result:
            if self.is_cut(centre, PLATFORM) or self.is_cut(PLATFORM, centre):
                return Failure(TableError(TableFault.UNAVAILABLE))
            return call(*args)

        def commit(transaction: Any) -> Result:
            if self.is_cut(centre, PLATFORM):
                return Failure(TableError(TableFault.UNAVAILABLE))
            if not self.table.down and self.draw_fault(self.rates.commit):
                if self.rng.random() < 0.5:
                    delay_s = self.rng.uniform(0.0, DELAY_MAX_S)
                    self.timer.call_later(delay_s, lambda: self.table.apply(transaction))
                else:
                    self.table.apply(transaction)
                return Failure(TableError(TableFault.UNKNOWN))
            answer = self.table.commit(transaction)
            lost = self.is_cut(PLATFORM, centre)
            return Failure(TableError(TableFault.UNKNOWN)) if lost else answer

        return TableClient(
            lambda keys: query(self.table.read, keys),
            lambda prefix, revision: query(self.table.scan, prefix, revision),
            commit,
        )

    def make_objects(self, centre: str) -> ObjectClient:
        def call_if_up(call: Callable[[], Any]) -> Result:
            if self.table.down or self.is_cut(centre, PLATFORM):
                return Failure(TableError(TableFault.UNAVAILABLE))
            return Success(call())

        return ObjectClient(
            lambda key: call_if_up(lambda: self.store.get(key)),
            lambda key, data: call_if_up(lambda: self.store.update({key: data})),
        )

    def make_list(self, centre: str) -> ListClient:
        def fetch() -> Result:
            if self.table.down or self.is_cut(centre, PLATFORM) or self.is_cut(PLATFORM, centre):
                return Failure(TableError(TableFault.UNAVAILABLE))
            old = [view for at, view in self.listed if at <= self.timer.now - LIST_LAG_S]
            return Success(old[-1] if old else self.listed[0][1])

        return ListClient(fetch)

    def make_engines(self, centre: str) -> EngineClient:
        return EngineClient(
            lambda info, order: self.send_order(centre, info, order),
            lambda info, _: self.fetch_report(centre, info),
        )

    def send_order(self, centre: str, info: BackendServerInfo, order: Any) -> Result:
        if self.is_cut(centre, info.data_centre):
            return Failure(OrderError(OrderFault.UNAVAILABLE))
        server = self.servers[info.name]
        if self.draw_fault(self.rates.order):
            fault = self.rng.choice(("late", "lost", "refused", "doubled"))
            if fault == "refused":
                return Failure(OrderError(OrderFault.REFUSED))
            delay_s = 0.0 if fault == "lost" else self.rng.uniform(0.0, DELAY_MAX_S)
            self.timer.call_later(delay_s, lambda: self.run_order(server, order))
            if fault != "doubled":
                return Failure(OrderError(OrderFault.UNKNOWN))
        answer = self.run_order(server, order)
        lost = self.is_cut(info.data_centre, centre)
        return Failure(OrderError(OrderFault.UNKNOWN)) if lost else answer

    def run_order(self, server: Server, order: Any) -> Result:
        before = set(server.engine.resident)
        answer = server.engine.run(order)
        server.lost_models -= {key.name for key in server.engine.resident}
        self.on_order(server, order, before - set(server.engine.resident))
        return answer

    def fetch_report(self, centre: str, info: BackendServerInfo) -> Result:
        if self.is_cut(centre, info.data_centre) or self.is_cut(info.data_centre, centre):
            return Failure(OrderError(OrderFault.UNAVAILABLE))
        server = self.servers[info.name]
        report = evolve(server.engine.report(), running=len(server.running), slots=8)
        return Success(evolve(report, tokens_per_s=300.0, prefill_tokens_per_s=4000.0))

    def fetch_service(self, centre: str, info: BackendServerInfo) -> Result:
        if self.is_cut(centre, info.data_centre) or self.is_cut(info.data_centre, centre):
            return Failure("unreachable")
        server = self.servers[info.name]
        return Success(
            ServiceReport(info.name, 0.0, len(server.running), 0, 8, str(server.engine.boot))
        )

    def submit(self, centre: str, dispatch: Any, call: Any, end: Callable[..., None]) -> None:
        """Send an attempt to its server and its answer to `end`, which may never be called."""
        server = self.servers[dispatch.backend_server]
        if self.is_cut(centre, server.info.data_centre):
            end(AttemptEnd.NOT_SENT, None)
        elif not self.draw_fault(self.rates.attempt / 4):
            delay_s = self.rng.uniform(0.001, 0.05)
            self.timer.call_later(
                delay_s, lambda: self.start_attempt(centre, server, dispatch, call, end)
            )

    def start_attempt(
        self, centre: str, server: Server, dispatch: Any, call: Any, end: Any
    ) -> None:
        request = call.request
        if request.model and not server.has(request.model, request.adapter):
            end(AttemptEnd.REFUSED, None)
            return
        payload = find_payload(call)
        self.runs[payload].append(request.request_id)
        self.started_runs[request.request_id] += 1
        item = RunningAttempt(payload, end)
        server.running.append(item)
        answer = make_answer(request.request_id, payload)
        delay_s = self.rng.choice((0.05, 0.5, 3.0))
        if POISON in payload:
            self.timer.call_later(0.02, lambda: self.crash_on(server, item))
        else:
            self.timer.call_later(delay_s, lambda: self.finish(centre, server, item, answer))

    def crash_on(self, server: Server, item: RunningAttempt) -> None:
        """Crash the server that runs a request, if it still does."""
        if item in server.running:
            self.crashed_servers[item.payload].append(server.info.name)
            server.crash()

    def finish(
        self, centre: str, server: Server, item: RunningAttempt, answer: BufferedResponse
    ) -> None:
        if item not in server.running:
            return
        server.running.remove(item)
        if self.is_cut(server.info.data_centre, centre):
            return
        if not self.draw_fault(self.rates.attempt):
            item.end(AttemptEnd.DONE, answer)
            return
        fault = self.rng.choice(("lost", "broken", "crossed"))
        if fault == "crossed" and server.info.kind is BackendKind.ENGINE:
            item.end(AttemptEnd.DONE, make_answer("another", "another"))
        elif fault != "lost":
            item.end(AttemptEnd.BROKEN, None)


def find_payload(call: Any) -> str:
    """Return the prompt, which identifies a caller's work across request ids."""
    return json.loads(call.body)["prompt"]


def make_answer(request_id: str, payload: str) -> BufferedResponse:
    body = json.dumps({"id": request_id, "echo": payload}).encode()
    return BufferedResponse(200, "application/json", body)
