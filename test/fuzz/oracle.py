"""Checks of the eight points that must always hold, without access to the instances' decisions.

The oracle reads what engines hold in memory, which requests ran, the answers to callers and
operators, and the table.
"""

import json
import math

from attrs import define, field
from returns.result import Success

from rhubarbshed.coordination.agreement.tickets import list_touched
from rhubarbshed.protocol.answers import BufferedResponse
from rhubarbshed.protocol.catalogue import Adapter, CatalogueObject, Model, ObjectKey
from rhubarbshed.protocol.errors import Outcome, RequestError
from rhubarbshed.protocol.members import BackendKind
from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.tables import Write
from rhubarbshed.state.agreement.catalogue import Catalogue
from rhubarbshed.state.placement.ledger import EntryKey, EntryState, decode_ledger
from test.fuzz.cluster import CallerRequest, Cluster

BACKEND_PREFIX = "backend/"

LEAVING_GRACE_S = 3.0
"""Time after which a leaving instance or server gets no new work from instances that can know."""

LIST_BACKOFF_MAX_S = 6.0
"""Longest interval between two reads of the platform after an outage."""

IN_FORCE_DELAY_MAX_S = 10.0
"""Time after which an accepted ticket is in force on every instance that it can reach."""

SERVERS_LOST_MAX = 2
"""Backend servers that one request may crash."""


class ViolationError(AssertionError):
    """Violation of one of the eight points; `point` is its number."""

    def __init__(self, point: int, text: str):
        super().__init__(f"point {point}: {text}")
        self.point = point


def require(holds: bool, point: int, text: object) -> None:
    if not holds:
        raise ViolationError(point, str(text))


@define(eq=False)
class Oracle:
    """Checks of the eight points, with earlier observations for those that compare two moments."""

    cluster: Cluster
    faults: list[ViolationError] = field(factory=list)
    seen_tickets: dict[tuple[str, ObjectKey], int] = field(factory=dict)
    unload_agreed_at: dict[str, float | None] = field(factory=dict)
    load_times: dict[tuple[str, int, EntryKey], float] = field(factory=dict)

    @classmethod
    def from_cluster(cls, cluster: Cluster) -> "Oracle":
        oracle = cls(cluster)
        cluster.environment.on_order = oracle.record_order
        cluster.environment.table.on_write = oracle.record_write
        return oracle

    def read_table(self) -> Catalogue:
        """Return the catalogue in force, read from the table's rows."""
        table, catalogue = self.cluster.environment.table, Catalogue()
        rows = [row for key, row in table.rows.items() if key.startswith("object/")]
        catalogue.apply_rows(rows, table.revision)
        return catalogue

    def list_existing(self) -> set[str]:
        """Return the names of the objects that exist in the catalogue in force."""
        return {self.get_name(obj) for obj in self.read_table().list_objects() if obj.body}

    def record_write(self, write: Write) -> None:
        """Record when each unload was agreed, None if its object existed at that moment."""
        if not write.key.startswith(BACKEND_PREFIX) or write.value is None:
            return
        ledger = decode_ledger(write.key, write.value).unwrap()
        for entry in ledger.entries:
            if entry.state is EntryState.UNLOADING and entry.unload_id not in self.unload_agreed_at:
                exists = entry.key.name in self.list_existing()
                self.unload_agreed_at[entry.unload_id] = None if exists else self.cluster.timer.now

    def is_unload_of_deleted(self, order, loaded_at: float) -> bool:
        """Return whether a copy's unload was agreed after its load, while the object was deleted.

        The order of such an unload may be in transit when a ticket creates the object again: it
        removes the copy of the deleted object, and the new object is yet to be loaded.
        """
        agreed_at = self.unload_agreed_at.get(order.order_id)
        return agreed_at is not None and loaded_at < agreed_at

    def record_order(self, server, order, removed: set) -> None:
        """Check an engine's memory right after an order, also in the middle of a step."""
        held = sum(server.engine.resident.values())
        if held > server.info.memory_bytes:
            text = f"{server.info.name} holds {held} bytes after {order}"
            self.faults.append(ViolationError(1, text))
        server_run = (server.info.name, server.engine.boot)
        for key in server.engine.resident:
            self.load_times.setdefault((*server_run, key), self.cluster.timer.now)
        loaded_at = {key: self.load_times.pop((*server_run, key)) for key in removed}
        if order.kind not in (OrderKind.UNLOAD, OrderKind.UNLOAD_ADAPTER):
            return
        existing = self.list_existing()
        for key in removed:
            crashed = any(
                key.name in s.lost_models for s in self.cluster.environment.servers.values()
            )
            exempt = crashed or self.is_unload_of_deleted(order, loaded_at[key])
            if key.name in existing and not self.list_holders(key.name) and not exempt:
                text = f"the last copy of {key.name} was unloaded from {server.info.name}"
                self.faults.append(ViolationError(2, text))

    def get_name(self, obj: CatalogueObject) -> str:
        return obj.body.name

    def list_holders(self, name: str) -> list[str]:
        servers = self.cluster.environment.servers.values()
        return [s.info.name for s in servers if name in {k.name for k in s.engine.resident}]

    def check(self) -> None:
        """Check everything that must hold at any moment."""
        if self.faults:
            raise self.faults[0]
        defects = self.cluster.timer.defects
        require(not defects, 0, f"a broken invariant stopped an instance: {defects[:1]}")
        for request in self.cluster.requests:
            self.check_answer(request)
            self.check_not_run(request)
        self.check_runs()
        self.check_leaving()
        self.check_stops()
        self.check_tickets()

    def check_answer(self, request: CallerRequest) -> None:
        """Check point 3: a request gets at most one answer, and none to another request."""
        require(
            request.answer_count <= 1,
            3,
            f"{request.request_id} was answered {request.answer_count} times",
        )
        if isinstance(request.ended, BufferedResponse):
            echo = json.loads(request.ended.body)["echo"]
            require(echo == request.payload, 3, f"{request.payload} was given the answer to {echo}")

    def check_not_run(self, request: CallerRequest) -> None:
        """Check point 4: a request answered as not run never ran, neither before nor after."""
        if isinstance(request.ended, RequestError) and request.ended.outcome is Outcome.NOT_RUN:
            started_runs = self.cluster.environment.started_runs[request.request_id]
            require(
                started_runs == 0,
                4,
                f"{request.request_id} ran, {request.ended.code} said it did not",
            )

    def check_runs(self) -> None:
        """Check point 5: a request that is not idempotent runs at most once over all its copies."""
        once = {request.payload for request in self.cluster.requests if request.once}
        for payload in once:
            runs = self.cluster.environment.runs.get(payload, [])
            require(len(runs) <= 1, 5, f"{payload} ran as {runs}")

    def check_crashers(self) -> None:
        """Check the design's bound on the servers that one request may crash."""
        for payload, lost in self.cluster.environment.crashed_servers.items():
            text = f"{payload} crashed servers {lost}"
            require(len(lost) <= SERVERS_LOST_MAX, 2, text)

    def check_leaving(self) -> None:
        """Check point 6: a leaving instance or server gets no new work after a few seconds."""
        for request in self.cluster.requests:
            left_at = request.node.drained_at
            if left_at is not None and request.at > left_at + LEAVING_GRACE_S:
                require(
                    not request.dispatches,
                    6,
                    f"{request.node.name} accepted {request.request_id} while draining",
                )
            for sent in request.dispatches:
                name = sent.dispatch.backend_server
                left_at = self.cluster.leaving_since.get(name, math.inf)
                fault_free_at = (
                    max(sent.fault_free_since, request.node.last_disturbed_at) + LIST_BACKOFF_MAX_S
                )
                deadline = max(left_at + self.cluster.list_lag_s, fault_free_at) + LEAVING_GRACE_S
                text = f"{name} got {request.request_id} at {sent.at}, leaving since {left_at}"
                require(sent.at <= deadline, 6, text)

    def check_stops(self) -> None:
        """Check point 7: a planned stop ends without open requests."""
        for node in self.cluster.ended_nodes:
            require(not node.open_at_stop, 7, f"{node.name} cut {node.open_at_stop} requests off")
            cut = [a for a in self.cluster.requests if a.node is node and a.ended == "cut off"]
            require(not cut or node.open_at_stop is None, 7, f"{node.name} cut {cut[:1]} off")

    def check_tickets(self) -> None:
        """Check point 8: tickets of objects never decrease, and accepted ones are in force."""
        table = self.read_table()
        for node in self.cluster.list_running():
            self.check_order(node.runtime.incarnation, node.runtime.catalogue)
        self.check_order("table", table)
        for ticket, answer, at in self.cluster.tickets:
            if not isinstance(answer, Success):
                continue
            self.check_in_force("table", table, ticket)
            for node in self.cluster.list_running():
                since = max(at, self.cluster.last_fault_at, node.last_disturbed_at)
                is_late = self.cluster.timer.now > since + IN_FORCE_DELAY_MAX_S
                if is_late and not node.paused and self.cluster.can_receive_ticket(node, ticket):
                    self.check_in_force(node.name, node.runtime.catalogue, ticket)

    def check_order(self, who: str, catalogue: Catalogue) -> None:
        for obj in catalogue.list_objects():
            before = self.seen_tickets.get((who, obj.key), 0)
            require(obj.ticket >= before, 8, f"{who}: {obj.key} went back from {before}")
            self.seen_tickets[(who, obj.key)] = obj.ticket

    def check_in_force(self, who: str, catalogue: Catalogue, ticket) -> None:
        for key in list_touched(ticket):
            held = catalogue.objects.get(key)
            text = f"accepted ticket {ticket.number} is not in force at {who} for {key}"
            require(held is not None and held.ticket >= ticket.number, 8, text)

    def find_unrecovered(self) -> str:
        """Return what has not recovered yet after all faults, empty if all has."""
        table = self.read_table()
        for request in self.cluster.requests:
            if request.ended is None:
                return f"point 3: {request.request_id} is still open"
        for node in self.cluster.list_running():
            if node.runtime.catalogue.compute_digest() != table.compute_digest():
                return f"point 8: the catalogue of {node.name} differs from the table's"
        for obj in table.list_objects():
            if isinstance(obj.body, Model | Adapter):
                missing = self.find_unreachable(obj.body)
                if missing:
                    return f"point 2: {missing}"
        return ""

    def find_unreachable(self, body: Model | Adapter) -> str:
        """Return why no engine can serve a model or adapter, empty if one holds it."""
        for server in self.cluster.environment.servers.values():
            held = {(key.name, key.version) for key in server.engine.resident}
            if server.info.kind is BackendKind.ENGINE and (body.name, body.version) in held:
                return ""
        return f"{body.name} version {body.version} is nowhere in memory"
