"""Rule-based state machines over a cluster; each rule is a fault, an order or a stretch of time."""

import logging

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from rhubarbshed.protocol.catalogue import Adapter, Model, ObjectKey, Service, Ticket
from test.fuzz.cluster import PLACES, Cluster, Node
from test.fuzz.oracle import Oracle, ViolationError, demand
from test.fuzz.outside import PLATFORM, POISON, Rates

CENTRES = ("dc-1", "dc-2", "dc-3")
ENDS = (PLATFORM, *CENTRES)
ENGINE_NAMES = ("b1", "b2", "b3", "b4")
MODELS = (Model("a", "1", 40), Model("b", "1", 30), Model("c", "1", 30))
ADAPTER = Adapter("x", "a", "1", 5)
FIRST_TICKET = Ticket(1, (*MODELS, ADAPTER, Service("archive", ("s1", "s2"))))
WARM_S = 20.0
SETTLE_STEP_S = 5.0
SETTLE_MAX_S = 300.0
REPLACE_S = 15.0
FAULTY = Rates(commit=0.15, order=0.3, attempt=0.3, frame=0.1)

NAMES = st.sampled_from(tuple(PLACES))


class ClusterMachine(RuleBasedStateMachine):
    """Start a cluster with models in memory, let time pass, and settle at the end."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster: Cluster | None = None
        self.has_failed = False

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed: int) -> None:
        logging.disable(logging.CRITICAL)
        self.cluster = Cluster.from_seed(seed)
        self.oracle = Oracle.from_cluster(self.cluster)
        self.cluster.run(4.0)
        self.cluster.send_ticket(self.cluster.nodes["i1"], FIRST_TICKET)
        self.number = 1
        self.cluster.run(WARM_S)

    @invariant()
    def hold(self) -> None:
        if self.cluster is not None and not self.has_failed:
            try:
                self.oracle.check()
            except ViolationError:
                self.has_failed = True
                raise

    @rule(seconds=st.sampled_from((0.02, 0.2, 1.0, 3.0, 12.0)))
    def pass_time(self, seconds: float) -> None:
        self.cluster.run(seconds)

    @rule(source=st.sampled_from(ENDS), end=st.sampled_from(ENDS))
    def cut(self, source: str, end: str) -> None:
        """Cut one direction between two data centres, or one and the platform."""
        if source != end:
            self.cluster.outside.cuts.add((source, end))
            self.cluster.disturb()

    @rule()
    def heal(self) -> None:
        self.cluster.outside.cuts.clear()
        self.cluster.disturb()

    @rule(down=st.booleans())
    def stop_platform(self, down: bool) -> None:
        self.cluster.outside.table.down = down
        self.cluster.disturb()

    @rule(on=st.booleans())
    def lose_answers(self, on: bool) -> None:
        self.cluster.outside.rates = FAULTY if on else Rates()
        self.cluster.disturb()

    @rule(name=NAMES)
    def kill(self, name: str) -> None:
        """Kill an instance in the midst of its work, or start it again."""
        node = self.cluster.nodes[name]
        self.cluster.disturb()
        if node.running:
            self.cluster.end(node)
        else:
            self.cluster.start(name)

    @rule(name=NAMES)
    def pause(self, name: str) -> None:
        node = self.cluster.nodes[name]
        self.cluster.disturb()
        if node.paused:
            self.cluster.resume(node)
        elif node.running:
            self.cluster.pause(node)

    @rule(name=NAMES)
    def drain(self, name: str) -> None:
        """Stop an instance as planned."""
        node = self.cluster.nodes[name]
        if node.running and not node.stop.asked.is_set():
            node.stop.ask()

    @rule(name=st.sampled_from(ENGINE_NAMES))
    def crash_server(self, name: str) -> None:
        self.cluster.outside.servers[name].crash()
        self.cluster.disturb()

    @rule(name=st.sampled_from(("b1", "b3", "s1")))
    def leave(self, name: str) -> None:
        """Have a backend server leave, where no other one does."""
        if not self.cluster.left_at:
            self.cluster.leave(name)

    def settle(self) -> None:
        """End all faults; everything has to come back within bounded time."""
        cluster = self.cluster
        cluster.outside.cuts.clear()
        cluster.outside.table.down = False
        cluster.outside.rates = Rates()
        for node in cluster.list_running():
            if node.paused:
                cluster.resume(node)
        cluster.run(SETTLE_STEP_S)
        if cluster.left_at:
            cluster.run(REPLACE_S)
            cluster.take_off()
            cluster.run(REPLACE_S)
            cluster.replace_servers()
        for name, node in cluster.nodes.items():
            if not node.running:
                cluster.start(name)
        cluster.disturb()
        end = cluster.timer.now + SETTLE_MAX_S
        while cluster.timer.now < end:
            cluster.run(SETTLE_STEP_S)
            self.oracle.check()
            if not self.oracle.find_lack() and not self.list_draining():
                break
        lack = self.oracle.find_lack()
        demand(not lack, int(lack[6:7] or 0), lack[9:])
        self.ask_everywhere()

    def list_draining(self) -> list[Node]:
        return [node for node in self.cluster.list_running() if node.drained_at is not None]

    def ask_everywhere(self) -> None:
        """Ask every instance for everything; all must be answered whole once reports are fresh."""
        cluster, table = self.cluster, self.oracle.read_table()
        cluster.run(15.0)
        for node in cluster.list_running():
            for model in table.list_models():
                cluster.ask(node, f"last-{node.name}-{model.name}", model.name)
                cluster.run(1.0)
        cluster.run(25.0)
        self.oracle.check()
        for ask in cluster.asks:
            if ask.payload.startswith("last-"):
                demand(hasattr(ask.ended, "body"), 2, f"{ask.payload} got {ask.ended}")

    def teardown(self) -> None:
        if self.cluster is None:
            return
        try:
            if not self.has_failed:
                self.settle()
        finally:
            self.cluster.close()
            logging.disable(logging.NOTSET)


class AgreedMachine(ClusterMachine):
    """Add tickets of racing operators, and backend servers that leave."""

    @rule(
        names=st.lists(NAMES, min_size=1, max_size=2),
        step=st.integers(0, 2),
        version=st.sampled_from(("1", "2")),
        model=st.sampled_from(("a", "b", "c")),
        deletes=st.booleans(),
    )
    def send_tickets(self, names, step, version, model, deletes) -> None:
        """Send tickets of the same or the next numbers to one or two instances at once."""
        self.number += step
        sizes = {"a": 40, "b": 30, "c": 30}
        for position, name in enumerate(names):
            body = Model(model, f"{version}{'xy'[position]}", sizes[model])
            ticket = Ticket(self.number + 1, (body,))
            if deletes and model == "c":
                ticket = Ticket(self.number + 1, (), (ObjectKey("model", "c"),))
            self.cluster.send_ticket(self.cluster.nodes[name], ticket)


class RequestMachine(ClusterMachine):
    """Add callers: plain and repeated requests, services, and requests that crash servers."""

    asked = 0

    @rule(
        name=NAMES,
        wanted=st.sampled_from(("a", "b", "c", "/archive")),
        kind=st.sampled_from(("plain", "keyed", "adapter")),
        count=st.integers(1, 4),
    )
    def send_requests(self, name, wanted, kind, count) -> None:
        node = self.cluster.nodes[name]
        for _ in range(count if node.running else 0):
            self.asked += 1
            payload = f"p{self.asked}"
            key = payload if kind == "keyed" else ""
            is_adapter = kind == "adapter" and wanted == "a"
            self.cluster.ask(node, payload, wanted, key, "x" if is_adapter else "")

    @precondition(lambda self: self.cluster is not None and self.asked > 0)
    @rule(name=NAMES, back=st.integers(0, 5))
    def send_again(self, name, back) -> None:
        """Send a copy of an earlier request, with the same key if it had one."""
        keyed = [ask for ask in self.cluster.asks if ask.key]
        node = self.cluster.nodes[name]
        if keyed and node.running:
            ask = keyed[max(0, len(keyed) - 1 - back)]
            self.cluster.ask(node, ask.payload, ask.target, ask.key)

    @rule(names=st.lists(NAMES, min_size=1, max_size=3), number=st.integers(1, 2))
    def send_poison(self, names, number) -> None:
        """Send a request that crashes whatever runs it to several instances."""
        for name in names:
            node = self.cluster.nodes[name]
            if node.running:
                self.cluster.ask(node, f"{POISON}{number}", "ab"[number - 1])


class JoinedMachine(AgreedMachine, RequestMachine):
    """Move models by tickets while callers ask for them and instances die."""


MACHINES = {"agreed": AgreedMachine, "requests": RequestMachine, "joined": JoinedMachine}
