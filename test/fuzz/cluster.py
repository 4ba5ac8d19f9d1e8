"""Cluster of instances with their real wiring in three data centres, on a virtual clock."""

import asyncio
import itertools
import math
import random
from types import SimpleNamespace
from typing import Any
from unittest import mock

from attrs import define, evolve, field, frozen

from rhubarbshed.coordination.agreement.tickets import accept_ticket, list_touched
from rhubarbshed.coordination.agreement.transactions import TableAccess
from rhubarbshed.protocol.answers import BufferedResponse
from rhubarbshed.protocol.calls import CallContext, parse_inference, parse_service_call
from rhubarbshed.protocol.members import BackendKind, ListedInstance
from rhubarbshed.protocol.peers import Heartbeat, LeavingMember, LeavingNotice
from rhubarbshed.protocol.requests import AttemptEnd, Dispatch, Refusal
from rhubarbshed.state.membership.membership import make_instance_info
from rhubarbshed.transport import exchange, instance, loops
from rhubarbshed.transport.placing import list_engines
from rhubarbshed.transport.runtime import ExternalClients, Runtime
from rhubarbshed.transport.upstream import STATUS_OK, Attempt, _is_answer_to
from rhubarbshed.util.settings import Settings
from test.fuzz.environment import LIST_LAG_S, PLATFORM, Environment, Server
from test.fuzz.virtual import DelayedEvent, Timer, VirtualLoop
from test.helper_agreed import make_server

SETTINGS = """[platform]
list_poll_s = 2.0
[routing]
report_poll_s = 1.0
[peers]
heartbeat_s = 1.0
[placement]
interval_s = 2.0
dwell_min_s = 5.0
memory_fill_max = 1.0
[weight_store]
loads_per_s = 5.0
[callers]
deadline_default_s = 20.0
"""
INSTANCE_CENTRES = {"i1": "dc-1", "i2": "dc-1", "i3": "dc-2", "i4": "dc-3"}
ENGINES = {"b1": ("dc-1", True), "b2": ("dc-1", False), "b3": ("dc-2", True), "b4": ("dc-3", True)}
SERVICES = {"s1": "dc-1", "s2": "dc-2"}
DELIST_DELAY_S = 4.0
WAKEUP_DELAY_S = 0.5
GREETING_S = 4.0
SWEEP_INTERVAL_S = 1.0


@frozen
class SentDispatch:
    """Dispatch, its time, and the start of the fault-free period then (infinite in a fault)."""

    dispatch: Dispatch
    at: float
    fault_free_since: float


@define(eq=False)
class CallerRequest:
    """Request as its caller sees it; `ended` is None while it is open."""

    request_id: str
    payload: str
    node: "Node"
    at: float
    target: str
    key: str
    once: bool
    ended: Any = None
    ended_at: float = 0.0
    answer_count: int = 0
    dispatches: list[SentDispatch] = field(factory=list)


class Network:
    """Fake of the connections of one instance to all others."""

    def __init__(self, cluster: "Cluster", node: "Node"):
        self.cluster = cluster
        self.node = node
        self.topology = SimpleNamespace(mesh=(), is_delegate=True)

    def publish(self, frame: Any) -> None:
        for other in self.cluster.list_running():
            if other is not self.node:
                self.cluster.post(self.node, other, frame)

    def send(self, peer: str, frame: Any) -> None:
        other = self.cluster.nodes.get(peer)
        if other is not None:
            self.cluster.post(self.node, other, frame)


@define(eq=False)
class Node:
    """One run of an instance, from its start to its end."""

    name: str
    centre: str
    loop: VirtualLoop
    runtime: Runtime = field(init=False)
    stop: instance.StopSignals = field(init=False)
    running: bool = True
    paused: bool = False
    drained_at: float | None = None
    open_at_stop: int | None = None
    last_disturbed_at: float = 0.0


def make_runtime(node: Node, environment: Environment, number: int) -> Runtime:
    text = f"[instance]\nname = {node.name}\ndata_centre = {node.centre}\n{SETTINGS}"
    settings = Settings.from_text(text).unwrap()
    incarnation = f"{node.name}.{number}"
    ids = itertools.count()

    def run(call: Any, *args: Any) -> Any:
        return node.loop.run_in_executor(None, call, *args)

    access = TableAccess(
        environment.make_table(node.centre),
        run,
        random.Random(incarnation),
        make_id=lambda: f"{incarnation}/{next(ids)}",
    )
    systems = ExternalClients(
        http=lambda info: environment.fetch_service(node.centre, info),
        access=access,
        objects=environment.make_objects(node.centre),
        platform=environment.make_list(node.centre),
        engines=environment.make_engines(node.centre),
    )
    now = node.loop.time()
    return Runtime.from_clients(settings, node.loop, systems, incarnation, now, lambda: 0)


@define(eq=False)
class Cluster:
    """All instances, their environment, and the answers that callers and operators received."""

    timer: Timer
    rng: random.Random
    environment: Environment
    nodes: dict[str, Node] = field(factory=dict)
    ended_nodes: list[Node] = field(factory=list)
    requests: list[CallerRequest] = field(factory=list)
    tickets: list[tuple[Any, Any]] = field(factory=list)
    next_numbers: Any = field(factory=lambda: itertools.count(1))
    leaving_since: dict[str, float] = field(factory=dict)
    last_fault_at: float = 0.0
    list_lag_s: float = LIST_LAG_S

    @classmethod
    def from_seed(cls, seed: int) -> "Cluster":
        timer, rng = Timer(), random.Random(seed)
        timer.patch_time()
        timer.patches.append(
            mock.patch.object(loops, "fetch_service_report", lambda http, info: http(info))
        )
        timer.patches.append(mock.patch.object(instance, "SWEEP_INTERVAL_S", SWEEP_INTERVAL_S))
        for patch in timer.patches[-2:]:
            patch.start()
        servers = {}
        for name, (centre, checks) in ENGINES.items():
            info = make_server(name, checks, data_centre=centre)
            servers[name] = Server.from_info(info)
        for name, centre in SERVICES.items():
            info = make_server(name, data_centre=centre, kind=BackendKind.SERVICE)
            servers[name] = Server.from_info(info)
        cluster = cls(timer, rng, Environment(timer, rng, servers))
        for name in INSTANCE_CENTRES:
            cluster.start(name)
        cluster.environment.record_list()
        return cluster

    def close(self) -> None:
        self.timer.close()

    def list_running(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.running]

    def find_fault_free_since(self) -> float:
        """Return the time since which there has been no fault, infinite during one."""
        is_fault_free = not self.environment.cuts and not self.environment.table.down
        return self.last_fault_at if is_fault_free else math.inf

    def can_receive_ticket(self, node: Node, ticket: Any) -> bool:
        """Return whether a ticket can reach an instance, from the table or from a peer."""
        cuts = self.environment.cuts
        ends = {(node.centre, PLATFORM), (PLATFORM, node.centre)}
        if not self.environment.table.down and not ends & cuts:
            return True
        for peer in self.list_running():
            ends = {(node.centre, peer.centre), (peer.centre, node.centre)}
            has_ticket = all(
                (held := peer.runtime.catalogue.objects.get(key)) and held.ticket >= ticket.number
                for key in list_touched(ticket)
            )
            if peer is not node and not peer.paused and has_ticket and not ends & cuts:
                return True
        return False

    def record_fault(self) -> None:
        """Record that a fault began or ended now."""
        self.last_fault_at = self.timer.now

    def draw_delay(self) -> float:
        return self.rng.choice((0.001, 0.004, 0.02, 0.02))

    def start(self, name: str) -> None:
        """Start a new run of an instance."""
        loop = VirtualLoop(self.timer, self.draw_delay)
        node = Node(name, INSTANCE_CENTRES[name], loop)
        node.runtime = make_runtime(node, self.environment, next(self.next_numbers))
        node.runtime.placement_wakeup = DelayedEvent(loop, WAKEUP_DELAY_S)
        node.runtime.network = Network(self, node)
        node.stop = instance.StopSignals(asyncio.Event(), asyncio.Event())
        node.last_disturbed_at = self.timer.now
        self.nodes[name] = node
        self.timer.loops.append(loop)
        info = make_instance_info(node.runtime.settings, node.runtime.incarnation)
        self.environment.instances[name] = ListedInstance(info)
        self.environment.record_list()
        loop.create_task(self.live(node))

    async def live(self, node: Node) -> None:
        """Run an instance as `run_instance` does, without its HTTP sites and signal handlers."""
        runtime = node.runtime
        await loops.restore_catalogue(runtime)
        with mock.patch.object(instance, "measure_lag", make_heartbeat_task(self, node)):
            instance.start_tasks(runtime)
        await node.stop.requested.wait()
        node.drained_at = self.timer.now
        self.update_listing(node.name, leaving=True)
        await instance.drain(runtime, node.stop)
        node.open_at_stop = runtime.count_open()
        self.end(node)

    def set_leaving(self, name: str) -> None:
        """Mark a backend server as leaving in the platform's list."""
        server = self.environment.servers[name]
        server.leaving = True
        self.leaving_since.setdefault(name, self.timer.now)
        self.environment.record_list()

    def delist_leaving_servers(self) -> None:
        """Remove the leaving backend servers from the list."""
        for server in self.environment.servers.values():
            if server.leaving:
                server.listed = False
        self.environment.record_list()

    def replace_servers(self) -> None:
        """List the removed backend servers again, with empty memory."""
        for server in self.environment.servers.values():
            if not server.listed:
                server.crash()
                server.listed, server.leaving = True, False
        self.leaving_since.clear()
        self.environment.record_list()

    def update_listing(self, name: str, leaving: bool) -> None:
        listed = self.environment.instances.get(name)
        if listed is not None:
            self.environment.instances[name] = evolve(listed, leaving=leaving)
            self.environment.record_list()

    def end(self, node: Node) -> None:
        """End a run; its callers lose their connections, and the list removes it later."""
        node.running = False
        if node.loop in self.timer.loops:
            self.timer.loops.remove(node.loop)
        self.ended_nodes.append(node)
        for request in self.requests:
            if request.node is node and request.ended is None:
                self.record_answer(request, "cut off")
        self.timer.call_later(DELIST_DELAY_S, lambda: self.delist_instance(node))

    def delist_instance(self, node: Node) -> None:
        if self.nodes[node.name] is node:
            self.environment.instances.pop(node.name, None)
            self.environment.record_list()

    def pause(self, node: Node) -> None:
        node.paused = True
        if node.loop in self.timer.loops:
            self.timer.loops.remove(node.loop)

    def resume(self, node: Node) -> None:
        node.paused = False
        node.last_disturbed_at = self.timer.now
        if node.running and node.loop not in self.timer.loops:
            self.timer.loops.append(node.loop)

    def post(self, source: Node, target: Node, frame: Any) -> None:
        """Send a frame to a peer; it may be lost, duplicated or reordered."""
        if self.environment.is_cut(source.centre, target.centre) or not source.running:
            return
        if self.environment.draw_fault(self.environment.rates.frame):
            if self.rng.random() < 0.5:
                return
            self.timer.call_later(
                self.rng.uniform(0.0, 2.0), lambda: receive_frame(source, target, frame)
            )
        self.timer.call_later(self.draw_delay(), lambda: receive_frame(source, target, frame))

    def send_heartbeat(self, node: Node) -> None:
        """Send heartbeat and digests to all peers, after a fault also what a new link gets."""
        runtime, now = node.runtime, self.timer.now
        others = [other for other in self.list_running() if other is not node]
        runtime.membership.expect_heartbeats([other.name for other in others], now)
        frames = [exchange.make_heartbeat(runtime), *exchange.collect_digests(runtime, now)]
        if now - self.last_fault_at < GREETING_S:
            frames += self.make_greeting(node)
        for other in others:
            for frame in frames:
                self.post(node, other, frame)

    def make_greeting(self, node: Node) -> list[Any]:
        """Return the frames that a peer with a new link gets."""
        runtime = node.runtime
        leaving = runtime.membership.list_leaving_members()
        subjects = tuple(LeavingMember(*item) for item in leaving if item[1])
        servers = tuple(LeavingMember(*item) for item in leaving if not item[1])
        greeting = exchange.make_greeting_frames(runtime, "", self.timer.now)
        return [*greeting, LeavingNotice(subjects, servers)]

    def send_ticket(self, node: Node, ticket: Any) -> None:
        """Send a ticket to an instance as an operator and record the answer."""

        async def send() -> None:
            runtime = node.runtime
            engines = list_engines(runtime, self.timer.now)
            answer = await accept_ticket(runtime.access, ticket, engines, 0.0)
            self.tickets.append((ticket, answer, self.timer.now))

        if node.running:
            node.loop.create_task(send())

    def send_request(
        self, node: Node, payload: str, target: str, key: str = "", adapter: str = ""
    ) -> CallerRequest:
        """Send a request to an instance as a caller; a target `/name` is a plain service."""
        request_id = f"r{next(self.next_numbers)}"
        headers = {"Idempotency-Key": key} if key else {}
        arrival = CallContext(request_id, self.timer.now, 20.0, "POST", headers)
        body = f'{{"model": "{target}", "prompt": "{payload}"}}'.encode()
        if adapter:
            body = body.replace(b"{", f'{{"adapter": "{adapter}", '.encode(), 1)
        if target.startswith("/"):
            call = parse_service_call(arrival, target[1:], "/", body, ("GET",)).unwrap()
        else:
            call = parse_inference(arrival, "completions", body).unwrap()
        once = not call.request.idempotent
        request = CallerRequest(request_id, payload, node, self.timer.now, target, key, once)
        self.requests.append(request)
        node.loop.create_task(self.serve(node, call, request))
        return request

    async def serve(self, node: Node, call: Any, request: CallerRequest) -> None:
        """Serve a request as a worker thread of the callers' HTTP site does."""
        gateway, slots = node.runtime.gateway, node.runtime.request_slots
        slots.acquire()
        try:
            decision = await gateway.open_call(call)
            response = None
            while isinstance(decision, Dispatch):
                sent = SentDispatch(decision, self.timer.now, self.find_fault_free_since())
                request.dispatches.append(sent)
                attempt = Attempt.from_dispatch(decision)
                end, response = await self.run_attempt(node, attempt, call)
                result = attempt.make_result(end, self.timer.now)
                decision = await gateway.end_attempt(call, result, response)
        finally:
            slots.release()
        answer = decision if decision is not None else response
        self.record_answer(request, answer.error if isinstance(answer, Refusal) else answer)

    async def run_attempt(self, node: Node, attempt: Attempt, call: Any) -> tuple[AttemptEnd, Any]:
        done: asyncio.Future = node.loop.create_future()

        def end(how: AttemptEnd, response: BufferedResponse | None) -> None:
            if node.running and not done.done():
                done.set_result((how, response))

        self.environment.submit(node.centre, attempt.dispatch, call, end)
        try:
            how, response = await asyncio.wait_for(done, attempt.dispatch.first_byte_timeout_s)
        except TimeoutError:
            return AttemptEnd.TIMED_OUT, None
        attempt.status = STATUS_OK if response else 0
        if response and call.request.model and not _is_answer_to(response.body, attempt):
            return AttemptEnd.BROKEN, None
        return how, response

    def record_answer(self, request: CallerRequest, ended: Any) -> None:
        request.answer_count += 1
        request.ended, request.ended_at = ended, self.timer.now

    def run(self, seconds: float) -> None:
        self.timer.run_until(self.timer.now + seconds)


def make_heartbeat_task(cluster: Cluster, node: Node) -> Any:
    """Return the task that sends heartbeats, in place of the network's own."""

    async def send_heartbeats(_: Runtime) -> None:
        while True:
            cluster.send_heartbeat(node)
            await asyncio.sleep(node.runtime.settings.peers.heartbeat_s)

    return send_heartbeats


def receive_frame(source: Node, target: Node, frame: Any) -> None:
    """Handle a frame on the target's loop, as the peer network does."""
    if not target.running:
        return
    runtime = target.runtime

    def handle() -> None:
        now = target.loop.time()
        info = make_instance_info(source.runtime.settings, source.runtime.incarnation)
        runtime.membership.apply_hello(info, now)
        runtime.membership.record_contact(source.name, now)
        if isinstance(frame, Heartbeat) and frame.leaving:
            runtime.membership.apply_leaving(source.name, info.incarnation, source.name)
        if isinstance(frame, LeavingNotice):
            for subject in (*frame.instances, *frame.backend_servers):
                runtime.membership.apply_leaving(subject.name, subject.incarnation, source.name)
        exchange.handle_frame(runtime, source.name, frame, now)

    target.loop.call_soon(handle)
