"""The eight points that must always hold, checked from outside of the instances.

The oracle reads what engines hold, what ran, what callers and operators were told, and what the
table holds. It knows nothing of how instances decide.
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
from test.fuzz.cluster import Ask, Cluster

BACKEND_PREFIX = "backend/"

LEAVING_S = 3.0
"""Time after which something that leaves gets no new work from who could know."""

BACKOFF_S = 6.0
"""Longest pause between two reads of the platform after an outage."""

IN_FORCE_S = 10.0
"""Time after which an accepted ticket is in force on every instance that could know."""

SERVERS_LOST_MAX = 2
"""Backend servers that one request may crash."""


class ViolationError(AssertionError):
    """One of the eight points does not hold; `point` is its number."""

    def __init__(self, point: int, text: str):
        super().__init__(f"point {point}: {text}")
        self.point = point


def demand(holds: bool, point: int, text: object) -> None:
    if not holds:
        raise ViolationError(point, str(text))


@define(eq=False)
class Oracle:
    """Hold what was seen before, since some points speak of two moments."""

    cluster: Cluster
    faults: list[ViolationError] = field(factory=list)
    seen: dict[tuple[str, ObjectKey], int] = field(factory=dict)
    intents: dict[str, float | None] = field(factory=dict)
    loaded: dict[tuple[str, int, EntryKey], float] = field(factory=dict)

    @classmethod
    def from_cluster(cls, cluster: Cluster) -> "Oracle":
        oracle = cls(cluster)
        cluster.outside.on_order = oracle.note_order
        cluster.outside.table.on_write = oracle.note_write
        return oracle

    def read_table(self) -> Catalogue:
        """Read the catalogue that is in force from the table's rows."""
        table, catalogue = self.cluster.outside.table, Catalogue()
        rows = [row for key, row in table.rows.items() if key.startswith("object/")]
        catalogue.apply_rows(rows, table.revision)
        return catalogue

    def list_wanted(self) -> set[str]:
        """List what the catalogue in force has."""
        return {self.get_name(thing) for thing in self.read_table().list_objects() if thing.body}

    def note_write(self, write: Write) -> None:
        """Note when each unload was agreed, None for what the catalogue had at that moment."""
        if not write.key.startswith(BACKEND_PREFIX) or write.value is None:
            return
        ledger = decode_ledger(write.key, write.value).unwrap()
        for entry in ledger.entries:
            if entry.state is EntryState.UNLOADING and entry.unload_id not in self.intents:
                is_wanted = entry.key.name in self.list_wanted()
                self.intents[entry.unload_id] = None if is_wanted else self.cluster.timer.now

    def was_given_up(self, order, loaded_at: float) -> bool:
        """Tell whether a copy's unload was agreed after its load, while nothing wanted it.

        The order of such an unload may be under way when a ticket creates the object again: what
        it takes is the copy of the deleted object, the one created again is yet to be loaded.
        """
        agreed_at = self.intents.get(order.order_id)
        return agreed_at is not None and loaded_at < agreed_at

    def note_order(self, server, order, removed: set) -> None:
        """Look at an engine's memory right after an order, in the midst of a step."""
        held = sum(server.engine.resident.values())
        if held > server.info.memory_bytes:
            text = f"{server.info.name} holds {held} bytes after {order}"
            self.faults.append(ViolationError(1, text))
        place = (server.info.name, server.engine.boot)
        for key in server.engine.resident:
            self.loaded.setdefault((*place, key), self.cluster.timer.now)
        loaded_at = {key: self.loaded.pop((*place, key)) for key in removed}
        if order.kind not in (OrderKind.UNLOAD, OrderKind.UNLOAD_ADAPTER):
            return
        wanted = self.list_wanted()
        for key in removed:
            crashed = any(key.name in s.lost for s in self.cluster.outside.servers.values())
            exempt = crashed or self.was_given_up(order, loaded_at[key])
            if key.name in wanted and not self.list_holders(key.name) and not exempt:
                text = f"the last copy of {key.name} was unloaded from {server.info.name}"
                self.faults.append(ViolationError(2, text))

    def get_name(self, thing: CatalogueObject) -> str:
        return thing.body.name

    def list_holders(self, name: str) -> list[str]:
        servers = self.cluster.outside.servers.values()
        return [s.info.name for s in servers if name in {k.name for k in s.engine.resident}]

    def check(self) -> None:
        """Check all that must hold at any moment."""
        if self.faults:
            raise self.faults[0]
        defects = self.cluster.timer.defects
        demand(not defects, 0, f"a broken invariant stopped an instance: {defects[:1]}")
        for ask in self.cluster.asks:
            self.check_answer(ask)
            self.check_not_run(ask)
        self.check_runs()
        self.check_leaving()
        self.check_stops()
        self.check_tickets()

    def check_answer(self, ask: Ask) -> None:
        """Check point 3: one whole answer at most, to this very request."""
        demand(ask.ends <= 1, 3, f"{ask.request_id} was answered {ask.ends} times")
        if isinstance(ask.ended, BufferedResponse):
            echo = json.loads(ask.ended.body)["echo"]
            demand(echo == ask.payload, 3, f"{ask.payload} was given the answer to {echo}")

    def check_not_run(self, ask: Ask) -> None:
        """Check point 4: what was told not to have run never did, neither before nor after."""
        if isinstance(ask.ended, RequestError) and ask.ended.outcome is Outcome.NOT_RUN:
            begun = self.cluster.outside.begun[ask.request_id]
            demand(begun == 0, 4, f"{ask.request_id} ran, {ask.ended.code} said it did not")

    def check_runs(self) -> None:
        """Check point 5: what is not idempotent runs once at most, by whatever copies."""
        once = {ask.payload for ask in self.cluster.asks if ask.once}
        for payload in once:
            runs = self.cluster.outside.runs.get(payload, [])
            demand(len(runs) <= 1, 5, f"{payload} ran as {runs}")

    def check_crashers(self) -> None:
        """Check the design's bound on the servers that one request may take down."""
        for payload, lost in self.cluster.outside.lost.items():
            text = f"{payload} crashed servers {lost}"
            demand(len(lost) <= SERVERS_LOST_MAX, 2, text)

    def check_leaving(self) -> None:
        """Check point 6: what leaves gets no new work once a few seconds have passed."""
        for ask in self.cluster.asks:
            left_at = ask.node.drained_at
            if left_at is not None and ask.at > left_at + LEAVING_S:
                demand(not ask.dispatches, 6, f"{ask.node.name} took {ask.request_id} in a drain")
            for sending in ask.dispatches:
                name = sending.dispatch.backend_server
                left_at = self.cluster.left_at.get(name, math.inf)
                calm_at = max(sending.calm_since, ask.node.disturbed_at) + BACKOFF_S
                knew = max(left_at + self.cluster.list_lag_s, calm_at) + LEAVING_S
                text = f"{name} got {ask.request_id} at {sending.at}, leaving since {left_at}"
                demand(sending.at <= knew, 6, text)

    def check_stops(self) -> None:
        """Check point 7: a planned stop ends with nothing in progress."""
        for node in self.cluster.past:
            demand(not node.left_open, 7, f"{node.name} cut {node.left_open} requests off")
            cut = [a for a in self.cluster.asks if a.node is node and a.ended == "cut off"]
            demand(not cut or node.left_open is None, 7, f"{node.name} cut {cut[:1]} off")

    def check_tickets(self) -> None:
        """Check point 8: objects never go back, and what was accepted is in force."""
        table = self.read_table()
        for node in self.cluster.list_running():
            self.check_order(node.runtime.incarnation, node.runtime.catalogue)
        self.check_order("table", table)
        for ticket, answer, at in self.cluster.tickets:
            if not isinstance(answer, Success):
                continue
            self.check_in_force("table", table, ticket)
            for node in self.cluster.list_running():
                since = max(at, self.cluster.faulty_at, node.disturbed_at)
                is_late = self.cluster.timer.now > since + IN_FORCE_S
                if is_late and not node.paused and self.cluster.could_know(node, ticket):
                    self.check_in_force(node.name, node.runtime.catalogue, ticket)

    def check_order(self, who: str, catalogue: Catalogue) -> None:
        for thing in catalogue.list_objects():
            before = self.seen.get((who, thing.key), 0)
            demand(thing.ticket >= before, 8, f"{who}: {thing.key} went back from {before}")
            self.seen[(who, thing.key)] = thing.ticket

    def check_in_force(self, who: str, catalogue: Catalogue, ticket) -> None:
        for key in list_touched(ticket):
            held = catalogue.objects.get(key)
            text = f"accepted ticket {ticket.number} is not in force at {who} for {key}"
            demand(held is not None and held.ticket >= ticket.number, 8, text)

    def find_lack(self) -> str:
        """Return what has not come back yet after all faults, empty when all is well."""
        table = self.read_table()
        for ask in self.cluster.asks:
            if ask.ended is None:
                return f"point 3: {ask.request_id} is still open"
        for node in self.cluster.list_running():
            if node.runtime.catalogue.compute_digest() != table.compute_digest():
                return f"point 8: the catalogue of {node.name} differs from the table's"
        for thing in table.list_objects():
            if isinstance(thing.body, Model | Adapter):
                lack = self.find_unreachable(thing.body)
                if lack:
                    return f"point 2: {lack}"
        return ""

    def find_unreachable(self, body: Model | Adapter) -> str:
        """Tell why a model or adapter is not in memory where an engine could serve it."""
        for server in self.cluster.outside.servers.values():
            held = {(key.name, key.version) for key in server.engine.resident}
            if server.info.kind is BackendKind.ENGINE and (body.name, body.version) in held:
                return ""
        return f"{body.name} version {body.version} is nowhere in memory"
