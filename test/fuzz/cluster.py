"""Several instances with their real wiring in three data centres, on a virtual clock."""

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
from test.fuzz.outside import LIST_LAG_S, PLATFORM, Outside, Server
from test.fuzz.virtual import PacedEvent, Timer, VirtualLoop
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
PLACES = {"i1": "dc-1", "i2": "dc-1", "i3": "dc-2", "i4": "dc-3"}
ENGINES = {"b1": ("dc-1", True), "b2": ("dc-1", False), "b3": ("dc-2", True), "b4": ("dc-3", True)}
SERVICES = {"s1": "dc-1", "s2": "dc-2"}
DELIST_S = 4.0
WAKE_S = 0.5
GREET_S = 4.0
SWEEP_S = 1.0


@frozen
class Sending:
    """Hold a dispatch, its time, and since when there has been no fault (never: infinite)."""

    dispatch: Dispatch
    at: float
    calm_since: float


@define(eq=False)
class Ask:
    """Hold one request as its caller sees it; `ended` is None while it waits."""

    request_id: str
    payload: str
    node: "Node"
    at: float
    target: str
    key: str
    once: bool
    ended: Any = None
    ended_at: float = 0.0
    ends: int = 0
    dispatches: list[Sending] = field(factory=list)


class Network:
    """Stand for the connections of one instance to all others."""

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
    """Hold one run of an instance."""

    name: str
    centre: str
    loop: VirtualLoop
    runtime: Runtime = field(init=False)
    stop: instance.StopSignals = field(init=False)
    running: bool = True
    paused: bool = False
    drained_at: float | None = None
    left_open: int | None = None
    disturbed_at: float = 0.0


def make_runtime(node: Node, outside: Outside, number: int) -> Runtime:
    text = f"[instance]\nname = {node.name}\ndata_centre = {node.centre}\n{SETTINGS}"
    settings = Settings.from_text(text).unwrap()
    incarnation = f"{node.name}.{number}"
    ids = itertools.count()

    def run(call: Any, *args: Any) -> Any:
        return node.loop.run_in_executor(None, call, *args)

    access = TableAccess(
        outside.make_table(node.centre),
        run,
        random.Random(incarnation),
        make_id=lambda: f"{incarnation}/{next(ids)}",
    )
    systems = ExternalClients(
        http=lambda info: outside.fetch_service(node.centre, info),
        access=access,
        objects=outside.make_objects(node.centre),
        platform=outside.make_list(node.centre),
        engines=outside.make_engines(node.centre),
    )
    now = node.loop.time()
    return Runtime.from_clients(settings, node.loop, systems, incarnation, now, lambda: 0)


@define(eq=False)
class Cluster:
    """Hold all instances, what is outside of them, and what callers and operators were told."""

    timer: Timer
    chance: random.Random
    outside: Outside
    nodes: dict[str, Node] = field(factory=dict)
    past: list[Node] = field(factory=list)
    asks: list[Ask] = field(factory=list)
    tickets: list[tuple[Any, Any]] = field(factory=list)
    numbers: Any = field(factory=lambda: itertools.count(1))
    left_at: dict[str, float] = field(factory=dict)
    faulty_at: float = 0.0
    list_lag_s: float = LIST_LAG_S

    @classmethod
    def from_seed(cls, seed: int) -> "Cluster":
        timer, chance = Timer(), random.Random(seed)
        timer.patch_time()
        timer.patches.append(
            mock.patch.object(loops, "fetch_service_report", lambda http, info: http(info))
        )
        timer.patches.append(mock.patch.object(instance, "SWEEP_INTERVAL_S", SWEEP_S))
        for patch in timer.patches[-2:]:
            patch.start()
        servers = {}
        for name, (centre, checks) in ENGINES.items():
            info = make_server(name, checks, data_centre=centre)
            servers[name] = Server.from_info(info)
        for name, centre in SERVICES.items():
            info = make_server(name, data_centre=centre, kind=BackendKind.SERVICE)
            servers[name] = Server.from_info(info)
        cluster = cls(timer, chance, Outside(timer, chance, servers))
        for name in PLACES:
            cluster.start(name)
        cluster.outside.note_list()
        return cluster

    def close(self) -> None:
        self.timer.close()

    def list_running(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.running]

    def find_calm(self) -> float:
        """Return since when nothing has been cut or down."""
        is_calm = not self.outside.cuts and not self.outside.table.down
        return self.faulty_at if is_calm else math.inf

    def could_know(self, node: Node, ticket: Any) -> bool:
        """Tell whether a ticket can reach an instance, from the table or from a peer."""
        cuts = self.outside.cuts
        ends = {(node.centre, PLATFORM), (PLATFORM, node.centre)}
        if not self.outside.table.down and not ends & cuts:
            return True
        for peer in self.list_running():
            ends = {(node.centre, peer.centre), (peer.centre, node.centre)}
            has = all(
                (held := peer.runtime.catalogue.objects.get(key)) and held.ticket >= ticket.number
                for key in list_touched(ticket)
            )
            if peer is not node and not peer.paused and has and not ends & cuts:
                return True
        return False

    def disturb(self) -> None:
        """Note that a fault began or ended now."""
        self.faulty_at = self.timer.now

    def draw_delay(self) -> float:
        return self.chance.choice((0.001, 0.004, 0.02, 0.02))

    def start(self, name: str) -> None:
        """Start an instance anew, as a later run of its name."""
        loop = VirtualLoop(self.timer, self.draw_delay)
        node = Node(name, PLACES[name], loop)
        node.runtime = make_runtime(node, self.outside, next(self.numbers))
        node.runtime.placement_wakeup = PacedEvent(loop, WAKE_S)
        node.runtime.network = Network(self, node)
        node.stop = instance.StopSignals(asyncio.Event(), asyncio.Event())
        node.disturbed_at = self.timer.now
        self.nodes[name] = node
        self.timer.loops.append(loop)
        info = make_instance_info(node.runtime.settings, node.runtime.incarnation)
        self.outside.instances[name] = ListedInstance(info)
        self.outside.note_list()
        loop.create_task(self.live(node))

    async def live(self, node: Node) -> None:
        """Run an instance as `run_instance` does, without its sites and signals."""
        runtime = node.runtime
        await loops.restore_catalogue(runtime)
        with mock.patch.object(instance, "measure_lag", beat_for(self, node)):
            instance.start_tasks(runtime)
        await node.stop.requested.wait()
        node.drained_at = self.timer.now
        self.list_again(node.name, leaving=True)
        await instance.drain(runtime, node.stop)
        node.left_open = runtime.count_open()
        self.end(node)

    def leave(self, name: str) -> None:
        """Have the platform list a backend server as leaving."""
        server = self.outside.servers[name]
        server.leaving = True
        self.left_at.setdefault(name, self.timer.now)
        self.outside.note_list()

    def take_off(self) -> None:
        """Take the leaving backend servers off the list."""
        for server in self.outside.servers.values():
            if server.leaving:
                server.listed = False
        self.outside.note_list()

    def replace_servers(self) -> None:
        """Put fresh backend servers in the place of those taken off."""
        for server in self.outside.servers.values():
            if not server.listed:
                server.crash()
                server.listed, server.leaving = True, False
        self.left_at.clear()
        self.outside.note_list()

    def list_again(self, name: str, leaving: bool) -> None:
        listed = self.outside.instances.get(name)
        if listed is not None:
            self.outside.instances[name] = evolve(listed, leaving=leaving)
            self.outside.note_list()

    def end(self, node: Node) -> None:
        """End a run; its callers lose their connections, the list drops it later."""
        node.running = False
        if node.loop in self.timer.loops:
            self.timer.loops.remove(node.loop)
        self.past.append(node)
        for ask in self.asks:
            if ask.node is node and ask.ended is None:
                self.tell(ask, "cut off")
        self.timer.call_later(DELIST_S, lambda: self.delist(node))

    def delist(self, node: Node) -> None:
        if self.nodes[node.name] is node:
            self.outside.instances.pop(node.name, None)
            self.outside.note_list()

    def pause(self, node: Node) -> None:
        node.paused = True
        if node.loop in self.timer.loops:
            self.timer.loops.remove(node.loop)

    def resume(self, node: Node) -> None:
        node.paused = False
        node.disturbed_at = self.timer.now
        if node.running and node.loop not in self.timer.loops:
            self.timer.loops.append(node.loop)

    def post(self, source: Node, target: Node, frame: Any) -> None:
        """Carry a frame to a peer; it may be lost, doubled or overtaken."""
        if self.outside.is_cut(source.centre, target.centre) or not source.running:
            return
        if self.outside.draw(self.outside.rates.frame):
            if self.chance.random() < 0.5:
                return
            self.timer.call_later(
                self.chance.uniform(0.0, 2.0), lambda: hear(source, target, frame)
            )
        self.timer.call_later(self.draw_delay(), lambda: hear(source, target, frame))

    def beat(self, node: Node) -> None:
        """Send what goes to peers each second; greet those whose link is new."""
        runtime, now = node.runtime, self.timer.now
        others = [other for other in self.list_running() if other is not node]
        runtime.membership.expect_heartbeats([other.name for other in others], now)
        frames = [exchange.make_heartbeat(runtime), *exchange.collect_digests(runtime, now)]
        if now - self.faulty_at < GREET_S:
            frames += self.greet(node)
        for other in others:
            for frame in frames:
                self.post(node, other, frame)

    def greet(self, node: Node) -> list[Any]:
        """Make what goes to a peer whose link is new."""
        runtime = node.runtime
        words = runtime.membership.list_leaving_members()
        subjects = tuple(LeavingMember(*word) for word in words if word[1])
        servers = tuple(LeavingMember(*word) for word in words if not word[1])
        news = exchange.make_greeting_frames(runtime, "", self.timer.now)
        return [*news, LeavingNotice(subjects, servers)]

    def send_ticket(self, node: Node, ticket: Any) -> None:
        """Have an operator send a ticket to an instance, and keep the answer."""

        async def send() -> None:
            runtime = node.runtime
            engines = list_engines(runtime, self.timer.now)
            answer = await accept_ticket(runtime.access, ticket, engines, 0.0)
            self.tickets.append((ticket, answer, self.timer.now))

        if node.running:
            node.loop.create_task(send())

    def ask(self, node: Node, payload: str, target: str, key: str = "", adapter: str = "") -> Ask:
        """Have a caller send a request to an instance; a target `/name` is a plain service."""
        request_id = f"r{next(self.numbers)}"
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
        ask = Ask(request_id, payload, node, self.timer.now, target, key, once)
        self.asks.append(ask)
        node.loop.create_task(self.serve(node, call, ask))
        return ask

    async def serve(self, node: Node, call: Any, ask: Ask) -> None:
        """Carry a request as a worker thread of the callers' site does."""
        gateway, places = node.runtime.gateway, node.runtime.request_slots
        places.acquire()
        try:
            decision = await gateway.open_call(call)
            whole = None
            while isinstance(decision, Dispatch):
                sending = Sending(decision, self.timer.now, self.find_calm())
                ask.dispatches.append(sending)
                attempt = Attempt.from_dispatch(decision)
                end, whole = await self.carry(node, attempt, call)
                result = attempt.make_result(end, self.timer.now)
                decision = await gateway.end_attempt(call, result, whole)
        finally:
            places.release()
        answer = decision if decision is not None else whole
        self.tell(ask, answer.error if isinstance(answer, Refusal) else answer)

    async def carry(self, node: Node, attempt: Attempt, call: Any) -> tuple[AttemptEnd, Any]:
        done: asyncio.Future = node.loop.create_future()

        def end(how: AttemptEnd, whole: BufferedResponse | None) -> None:
            if node.running and not done.done():
                done.set_result((how, whole))

        self.outside.submit(node.centre, attempt.dispatch, call, end)
        try:
            how, whole = await asyncio.wait_for(done, attempt.dispatch.first_byte_timeout_s)
        except TimeoutError:
            return AttemptEnd.TIMED_OUT, None
        attempt.status = STATUS_OK if whole else 0
        if whole and call.request.model and not _is_answer_to(whole.body, attempt):
            return AttemptEnd.BROKEN, None
        return how, whole

    def tell(self, ask: Ask, ended: Any) -> None:
        ask.ends += 1
        ask.ended, ask.ended_at = ended, self.timer.now

    def run(self, seconds: float) -> None:
        self.timer.run_until(self.timer.now + seconds)


def beat_for(cluster: Cluster, node: Node) -> Any:
    """Make the task that sends heartbeats, in the place of the network's own."""

    async def beat(_: Runtime) -> None:
        while True:
            cluster.beat(node)
            await asyncio.sleep(node.runtime.settings.peers.heartbeat_s)

    return beat


def hear(source: Node, target: Node, frame: Any) -> None:
    """Take in a frame on the target's loop, as the peer network does."""
    if not target.running:
        return
    runtime = target.runtime

    def take() -> None:
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

    target.loop.call_soon(take)
