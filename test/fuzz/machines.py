"""Rule-based state machines over a cluster; each rule is a fault, a request or a time span."""

import logging
from collections.abc import Callable

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from rhubarbshed.protocol.catalogue import Adapter, Model, ObjectKey, Service, Ticket
from test.fuzz.cluster import INSTANCE_CENTRES, CallerRequest, Cluster
from test.fuzz.environment import PLATFORM, POISON, Rates
from test.fuzz.oracle import Oracle, ViolationError, require

CENTRES = ("dc-1", "dc-2", "dc-3")
ENDS = (PLATFORM, *CENTRES)
ENGINE_NAMES = ("b1", "b2", "b3", "b4")
MODELS = (Model("a", "1", 40), Model("b", "1", 30), Model("c", "1", 30))
ADAPTER = Adapter("x", "a", "1", 5)
FIRST_TICKET = Ticket(1, (*MODELS, ADAPTER, Service("archive", ("s1", "s2"))))
INITIAL_LOAD_MAX_S = 20.0
REPORT_WAIT_S = 3.0
SETTLE_STEP_S = 5.0
SETTLE_MAX_S = 300.0
REPLACE_S = 12.0
ANSWERS_MAX_S = 25.0
FAULT_FREE_S = 15.0
RETRIES_MAX = 3
FAULT_RATES = Rates(commit=0.15, order=0.3, attempt=0.3, frame=0.1)

NAMES = st.sampled_from(tuple(INSTANCE_CENTRES))
AFTER = st.sampled_from((0.0, 0.05, 1.0, 4.0))
"""Seconds that pass after a rule."""


class ClusterMachine(RuleBasedStateMachine):
    """Cluster with models in memory, under faults; all faults end at teardown."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster: Cluster | None = None
        self.has_failed = False

    @initialize(seed=st.integers(0, 2**32), faulty=st.booleans())
    def start(self, seed: int, faulty: bool) -> None:
        logging.disable(logging.CRITICAL)
        self.cluster = Cluster.from_seed(seed)
        self.oracle = Oracle.from_cluster(self.cluster)
        self.cluster.run(4.0)
        self.cluster.send_ticket(self.cluster.nodes["i1"], FIRST_TICKET)
        self.number = 1
        self.wait(
            INITIAL_LOAD_MAX_S, lambda: self.cluster.tickets and not self.oracle.find_unrecovered()
        )
        self.cluster.run(REPORT_WAIT_S)
        if faulty:
            self.lose_answers(True)

    def wait(self, seconds: float, is_done: Callable[[], object]) -> None:
        """Let time pass until a condition holds, for at most `seconds`."""
        end = self.cluster.timer.now + seconds
        while self.cluster.timer.now < end and not is_done():
            self.cluster.run(1.0)

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
        """Cut one direction between two data centres, or between one and the platform."""
        if source != end:
            self.cluster.environment.cuts.add((source, end))
            self.cluster.record_fault()

    @rule()
    def heal(self) -> None:
        self.cluster.environment.cuts.clear()
        self.cluster.record_fault()

    @rule(down=st.booleans())
    def stop_platform(self, down: bool) -> None:
        self.cluster.environment.table.down = down
        self.cluster.record_fault()

    @rule(on=st.booleans())
    def lose_answers(self, on: bool) -> None:
        self.cluster.environment.rates = FAULT_RATES if on else Rates()
        self.cluster.record_fault()

    @rule(name=NAMES, after=AFTER)
    def kill(self, name: str, after: float) -> None:
        """Kill an instance during its work, or start it again."""
        node = self.cluster.nodes[name]
        self.cluster.record_fault()
        if node.running:
            self.cluster.end(node)
        else:
            self.cluster.start(name)
        self.cluster.run(after)

    @rule(name=NAMES, after=AFTER)
    def pause(self, name: str, after: float) -> None:
        node = self.cluster.nodes[name]
        self.cluster.record_fault()
        if node.paused:
            self.cluster.resume(node)
        elif node.running:
            self.cluster.pause(node)
        self.cluster.run(after)

    @rule(name=NAMES)
    def drain(self, name: str) -> None:
        """Stop an instance as planned."""
        node = self.cluster.nodes[name]
        if node.running and not node.stop.requested.is_set():
            node.stop.request()

    @rule(name=st.sampled_from(ENGINE_NAMES), after=AFTER)
    def crash_server(self, name: str, after: float) -> None:
        self.cluster.environment.servers[name].crash()
        self.cluster.record_fault()
        self.cluster.run(after)

    @rule(name=st.sampled_from(("b1", "b3", "s1")))
    def leave(self, name: str) -> None:
        """Mark a backend server as leaving unless another one is."""
        if not self.cluster.leaving_since:
            self.cluster.set_leaving(name)

    def settle(self) -> None:
        """End all faults and check that everything recovers within `SETTLE_MAX_S`."""
        cluster = self.cluster
        cluster.environment.cuts.clear()
        cluster.environment.table.down = False
        cluster.environment.rates = Rates()
        for node in cluster.list_running():
            if node.paused:
                cluster.resume(node)
        cluster.run(SETTLE_STEP_S)
        for name, node in cluster.nodes.items():
            if not node.running:
                cluster.start(name)
        cluster.record_fault()
        if cluster.leaving_since:
            self.replace_left()
        self.wait(SETTLE_MAX_S, lambda: not self.find_unrecovered())
        self.oracle.check()
        unrecovered = self.find_unrecovered()
        require(not unrecovered, int(unrecovered[6:7] or 0), unrecovered[9:])
        self.request_until_served()

    def replace_left(self) -> None:
        """Let backend servers leave without further faults, then replace them with empty ones."""
        self.cluster.run(REPLACE_S)
        self.request_all(("a", "b", "/archive"))
        self.oracle.check()
        self.cluster.delist_leaving_servers()
        self.cluster.run(REPLACE_S)
        self.cluster.replace_servers()

    def find_unrecovered(self) -> str:
        """Return what has not recovered yet, empty if all has."""
        draining = any(node.drained_at is not None for node in self.cluster.list_running())
        return self.oracle.find_unrecovered() or ("point 7: a drain goes on" if draining else "")

    def request_all(self, targets: tuple[str, ...]) -> list[CallerRequest]:
        """Send a request for every target to every instance and wait for the answers."""
        cluster = self.cluster
        requests = []
        for node in cluster.list_running():
            for target in targets:
                requests.append(cluster.send_request(node, f"all{len(cluster.requests)}", target))
                cluster.run(0.2)
        self.wait_for(requests)
        return requests

    def wait_for(self, requests: list[CallerRequest]) -> None:
        self.wait(ANSWERS_MAX_S, lambda: all(request.ended is not None for request in requests))

    def request_until_served(self) -> None:
        """Request every model from every instance; after retries, all must be answered."""
        cluster = self.cluster
        cluster.run(max(SETTLE_STEP_S, cluster.last_fault_at + FAULT_FREE_S - cluster.timer.now))
        names = tuple(model.name for model in self.oracle.read_table().list_models())
        waiting = self.request_all(names)
        for _ in range(RETRIES_MAX):
            waiting = [request for request in waiting if not hasattr(request.ended, "body")]
            for request in waiting:
                require(
                    getattr(request.ended, "retryable", False),
                    2,
                    f"{request.target}: {request.ended}",
                )
            cluster.run(
                max((request.ended.retry_after_s or 1.0 for request in waiting), default=0.0)
            )
            waiting = [
                cluster.send_request(request.node, request.payload, request.target)
                for request in waiting
            ]
            self.wait_for(waiting)
        self.oracle.check()
        for request in waiting:
            require(
                hasattr(request.ended, "body"),
                2,
                f"{request.target} at {request.node.name}: {request.ended}",
            )

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
    """Adds tickets of concurrent operators."""

    @rule(
        names=st.lists(NAMES, min_size=1, max_size=2),
        step=st.integers(-2, 2),
        version=st.sampled_from(("1", "2")),
        model=st.sampled_from(("a", "b", "c")),
        deletes=st.booleans(),
        after=AFTER,
    )
    def send_tickets(self, names, step, version, model, deletes, after) -> None:
        """Send tickets with an earlier, the same or a later number to one or two instances."""
        number = max(2, self.number + step)
        self.number = max(self.number, number)
        sizes = {"a": 40, "b": 30, "c": 30}
        for position, name in enumerate(names):
            body = Model(model, f"{version}{'xy'[position]}", sizes[model])
            ticket = Ticket(number, (body,))
            if deletes and model == "c":
                ticket = Ticket(number, (), (ObjectKey("model", "c"),))
            self.cluster.send_ticket(self.cluster.nodes[name], ticket)
        self.cluster.run(after)


class RequestMachine(ClusterMachine):
    """Adds callers: plain and repeated requests, services, and requests that crash servers."""

    sent_count = 0

    @rule(
        name=NAMES,
        wanted=st.sampled_from(("a", "b", "c", "/archive")),
        kind=st.sampled_from(("plain", "keyed", "adapter")),
        count=st.integers(1, 4),
        after=AFTER,
    )
    def send_requests(self, name, wanted, kind, count, after) -> None:
        node = self.cluster.nodes[name]
        for _ in range(count if node.running else 0):
            self.sent_count += 1
            payload = f"p{self.sent_count}"
            key = payload if kind == "keyed" else ""
            is_adapter = kind == "adapter" and wanted == "a"
            self.cluster.send_request(node, payload, wanted, key, "x" if is_adapter else "")
        self.cluster.run(after)

    @precondition(lambda self: self.cluster is not None and self.sent_count > 0)
    @rule(name=NAMES, back=st.integers(0, 5), after=AFTER)
    def send_again(self, name, back, after) -> None:
        """Repeat an earlier request that has an idempotency key."""
        keyed = [request for request in self.cluster.requests if request.key]
        node = self.cluster.nodes[name]
        if keyed and node.running:
            request = keyed[max(0, len(keyed) - 1 - back)]
            self.cluster.send_request(node, request.payload, request.target, request.key)
        self.cluster.run(after)

    @rule(names=st.lists(NAMES, min_size=1, max_size=3), number=st.integers(1, 2), after=AFTER)
    def send_poison(self, names, number, after) -> None:
        """Send a request that crashes its backend server to several instances."""
        for name in names:
            node = self.cluster.nodes[name]
            if node.running:
                self.cluster.send_request(node, f"{POISON}{number}", "ab"[number - 1])
        self.cluster.run(after)


class CrasherMachine(RequestMachine):
    """Also checks that a request that crashes servers takes down at most two of them."""

    @invariant()
    def bound_losses(self) -> None:
        if self.cluster is not None and not self.has_failed:
            try:
                self.oracle.check_crashers()
            except ViolationError:
                self.has_failed = True
                raise


class JoinedMachine(AgreedMachine, RequestMachine):
    """Changes models by tickets while callers request them and instances crash."""


MACHINES = {
    "agreed": AgreedMachine,
    "requests": RequestMachine,
    "joined": JoinedMachine,
    "crasher": CrasherMachine,
}
