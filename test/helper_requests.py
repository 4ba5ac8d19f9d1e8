"""Settings, requests, reports and a faulty table for tests of the request path."""

import random
from types import SimpleNamespace

from attrs import define, evolve, field
from returns.result import Failure, Success

from rhubarbshed.coordination.agreement.commits import CommitBatcher
from rhubarbshed.coordination.requests.coordinator import RequestCoordinator
from rhubarbshed.coordination.requests.isolation import IsolatedRunHeld
from rhubarbshed.coordination.requests.trials import PROPAGATION_S, IsolatedRunPending
from rhubarbshed.protocol.catalogue import Adapter, Model, Service
from rhubarbshed.protocol.members import BackendKind, BackendServerInfo
from rhubarbshed.protocol.orders import EngineReport, Resident
from rhubarbshed.protocol.platform import TableClient
from rhubarbshed.protocol.requests import AttemptEnd, AttemptResult, Dispatch, Request
from rhubarbshed.protocol.tables import Row, Scan, TableError, TableFault
from rhubarbshed.util.settings import Settings
from test.helper_agreed import apply_transaction

MODEL = Model("sermon", "1", 10)
ADAPTER = Adapter("voice", "sermon", "1", 1)
SERVICE = Service("archive", ("s0", "s1", "s2"))


def make_settings(text: str = "") -> Settings:
    return Settings.from_text(text).unwrap()


def make_info(name: str, kind: BackendKind = BackendKind.ENGINE) -> BackendServerInfo:
    return BackendServerInfo(name, kind, "dc-1", "region-1", "127.0.0.1", 9000)


def make_report(name: str, boot_id: str = "boot-1", **changes) -> EngineReport:
    report = EngineReport(
        backend_server=name,
        age_s=0.0,
        running=0,
        waiting=0,
        waiting_tokens=0,
        memory_bytes_used=10,
        memory_bytes_total=100,
        fencing_token=1,
        tokens_per_s=300.0,
        prefill_tokens_per_s=4000.0,
        slots=4,
        resident=(Resident("sermon", "1", 10),),
        boot_id=boot_id,
    )
    return evolve(report, **changes)


def make_request(number: int = 0, now: float = 0.0, **changes) -> Request:
    request = Request(
        request_id=f"r{number}",
        caller="parish",
        target="sermon",
        received_at=now,
        deadline=now + 60.0,
        model="sermon",
        prompt_tokens=100,
        fingerprint=f"f{number}",
    )
    return evolve(request, **changes)


def make_coordinator(
    servers: int = 5, name: str = "instance-1", text: str = ""
) -> RequestCoordinator:
    settings = make_settings(f"[instance]\nname = {name}\n{text}")
    coordinator = RequestCoordinator.from_settings(
        settings,
        {"sermon": MODEL}.get,
        {"voice": ADAPTER}.get,
        {"archive": SERVICE}.get,
    )
    services = [make_info(f"s{number}", BackendKind.SERVICE) for number in range(3)]
    coordinator.load.set_servers([make_info(f"b{number}") for number in range(servers)] + services)
    for number in range(servers):
        coordinator.apply_report(make_report(f"b{number}"), 0.0)
    return coordinator


def start_alone(
    coordinator: RequestCoordinator, request_id: str, answer: IsolatedRunHeld, now: float
):
    """Continue a suspect until it runs isolated or is refused; return the decision.

    All servers report again once other instances know which one is reserved.
    """
    decision = coordinator.resume_isolated(request_id, answer, now)
    if not isinstance(decision, IsolatedRunPending):
        return decision
    until = now + PROPAGATION_S + 0.1
    for name in list(coordinator.load.servers):
        boot_id = coordinator.load.find_boot_id(name)
        if boot_id:
            coordinator.apply_report(make_report(name, boot_id), until)
    return coordinator.start_isolated(request_id, until)


def end(sent: Dispatch, how: AttemptEnd, now: float = 0.0, **changes) -> AttemptResult:
    result = AttemptResult(sent.request_id, sent.attempt, sent.backend_server, how, now)
    return evolve(result, **changes)


@define
class FaultyTable:
    """Table in memory; each commit may fail first, lose its answer, or take effect late."""

    randomness: random.Random = field(factory=lambda: random.Random(1))
    rows: dict[str, Row] = field(factory=dict)
    revision: int = 0
    faults: list[str] = field(factory=list)
    late: list = field(factory=list)
    is_down: bool = False
    chance: float = 0.0
    commits: int = 0

    def read(self, keys):
        if self.is_down:
            return Failure(TableError(TableFault.UNAVAILABLE))
        return Success(tuple(self.rows.get(key, Row(key, 0)) for key in keys))

    def scan(self, prefix, revision):
        return Success(Scan((), self.revision))

    def commit(self, transaction):
        self.commits += 1
        fault = self._draw_fault()
        if self.is_down or fault == "down":
            return Failure(TableError(TableFault.UNAVAILABLE))
        if fault == "late":
            self.late.append(transaction)
            return Failure(TableError(TableFault.UNKNOWN))
        outcome = self._apply(transaction)
        return Failure(TableError(TableFault.UNKNOWN)) if fault == "lose" else outcome

    def apply_late(self):
        late, self.late = self.late, []
        for transaction in late:
            self._apply(transaction)

    def _draw_fault(self):
        if self.faults:
            return self.faults.pop(0)
        if self.randomness.random() < self.chance:
            return self.randomness.choice(("down", "lose", "late"))
        return ""

    def _apply(self, transaction):
        answer = apply_transaction(self.rows, transaction, self.revision + 1)
        self.revision += isinstance(answer, Success)
        return answer


async def run_now(function, *arguments):
    return function(*arguments)


async def sleep_not(seconds):
    return None


def make_batcher(table, runner=run_now) -> CommitBatcher:
    return CommitBatcher(TableClient(table.read, table.scan, table.commit), runner, sleep_not)


def make_counter(**starts) -> SimpleNamespace:
    return SimpleNamespace(**starts)
