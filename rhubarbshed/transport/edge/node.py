"""Lifecycle of one instance on the platform: start, serve, reload, drain, stop."""

import asyncio
import functools
import logging
import signal
import socket
import time
import uuid
from collections.abc import Collection, Coroutine, Mapping
from typing import Any

import h11
from attrs import define, evolve, field
from returns.result import Failure

from rhubarbshed.coordination.requests.drain import DrainPhase
from rhubarbshed.coordination.serving.account_limits import QuotaBound
from rhubarbshed.coordination.serving.lease_state import LeaseState, draw_jitter
from rhubarbshed.coordination.serving.peer_choice import PeerStates
from rhubarbshed.coordination.serving.refusals import DRAINING_RETRY_S, draw_retry_after
from rhubarbshed.protocol.messages import (
    ConfirmationNews,
    CrashNews,
    CreditNews,
    InstanceMessage,
    InstancesMessage,
    InstancesQuestion,
    LimitNews,
)
from rhubarbshed.transport.early_listener import ACCEPT_BACKLOG
from rhubarbshed.transport.edge.access_checks import list_account_values
from rhubarbshed.transport.edge.account_credit import AccountCredit
from rhubarbshed.transport.edge.account_grants import AccountGrants
from rhubarbshed.transport.edge.allocators import Allocators
from rhubarbshed.transport.edge.caller_connections import CallerConnection, Handler
from rhubarbshed.transport.edge.configuration_check import ConfigurationCheck
from rhubarbshed.transport.edge.confirmations import Confirmations
from rhubarbshed.transport.edge.connection_logs import CloseLog, CloseReason
from rhubarbshed.transport.edge.crash_registry import CrashRegistry
from rhubarbshed.transport.edge.entry_checks import EntryCheck
from rhubarbshed.transport.edge.explanations import JSON_HEADERS, answer_explain, is_explain
from rhubarbshed.transport.edge.follower import Follower
from rhubarbshed.transport.edge.forwarder import Forwarder
from rhubarbshed.transport.edge.holder_protocol import HolderProtocol
from rhubarbshed.transport.edge.instance_lists import InstanceLists
from rhubarbshed.transport.edge.lease import LeaseClient
from rhubarbshed.transport.edge.limit_registry import LimitRegistry
from rhubarbshed.transport.edge.link_monitor import LinkMonitor
from rhubarbshed.transport.edge.metrics import FrontMetrics
from rhubarbshed.transport.edge.order_dispatcher import OrderDispatcher
from rhubarbshed.transport.edge.origin_store import OriginStore
from rhubarbshed.transport.edge.parsing_turns import ParsingTurns
from rhubarbshed.transport.edge.pools import Pool, connect_from
from rhubarbshed.transport.edge.received_bytes import ReceivedBytes
from rhubarbshed.transport.edge.relay import Relay
from rhubarbshed.transport.edge.request_limits import LimitCheck
from rhubarbshed.transport.edge.server_checks import ServerChecks
from rhubarbshed.transport.edge.sockets import accept_waiting
from rhubarbshed.transport.edge.store import StoreClient, log_calls
from rhubarbshed.transport.edge.stream_registry import StreamRegistry
from rhubarbshed.transport.edge.verdict_store import VerdictStore
from rhubarbshed.transport.edge.version_store import VersionStore
from rhubarbshed.transport.edge.view import View
from rhubarbshed.transport.exit_codes import EXIT_DEFECT, EXIT_OK, EXIT_START_FAILED
from rhubarbshed.transport.stop_signals import handle_stop_signals
from rhubarbshed.util.clocks import read_lease_clock
from rhubarbshed.util.front import FrontSettings
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.3
"""Time for a connection to a backend server; a round trip takes 3 ms, and a lost first packet is
retransmitted after a second, which is too late to wait for."""

STORE_CONNECT_TIMEOUT_S = 1.0
"""Time for a connection to the store."""

CLOSE_DELAY_S = 0.1
"""Time for the last responses to leave before the process ends."""

CLOSE_CHECKS = 4
"""Checks in this time for requests that the kernel still held at the end of the drain."""

DRAIN_CHECK_INTERVAL_S = 0.05
"""Time between two checks whether the drain may go on to its next phase."""

SERVING_LISTENERS = 2
"""Listeners that accept requests for backend servers: the callers' and that of other instances."""

ACCEPT_PASSES = 3
"""Passes of the event loop from accepting a connection to its first call."""

PAUSE_MIN_S = 1.0
"""Delay of the event loop from which several configurations may have been missed."""

SWEEP_INTERVAL_S = 0.25
"""Time between two checks for servers without entries."""

LOOP_DELAY_LOGGED_S = 0.1
"""Delay of the event loop that is logged: all that callers and servers sent meanwhile has waited as
long."""

SWEEPS_PER_RELOAD = 8
"""Sweeps between two checks of the settings file and of connections to servers that are gone."""

SWEEPS_PER_CALL_LOG = 20
"""Sweeps between two log lines on the calls to the store."""

FIXED_SETTINGS = (
    "name",
    "data_centre",
    "host",
    "callers",
    "ready",
    "peers_port",
    "metrics_port",
    "store",
)
"""Settings that hold until the process ends: others know the instance by them."""


@define(eq=False)
class Node:
    """One instance with its parts.

    `early_listener` is the socket for callers if it was opened before. `noted_signals` came before
    its own handlers. `last_read` are the settings as they were read, if that was after the start.
    """

    path: str
    settings: FrontSettings
    view: View
    pool: Pool
    metrics: FrontMetrics
    follower: Follower
    lease: LeaseClient
    dispatcher: OrderDispatcher
    holder_protocol: HolderProtocol
    relay: Relay
    streams: StreamRegistry
    crashes: CrashRegistry
    instance_lists: InstanceLists
    links: LinkMonitor
    version_store: VersionStore
    confirmations: Confirmations
    stop: asyncio.Event = field(factory=asyncio.Event)
    connections: set[CallerConnection] = field(factory=set)
    received: ReceivedBytes = field(factory=ReceivedBytes)
    turns: ParsingTurns = field(factory=ParsingTurns)
    listeners: list[asyncio.Server] = field(factory=list)
    early_listener: socket.socket | None = None
    tasks: list[asyncio.Task] = field(factory=list)
    noted_signals: Mapping[signal.Signals, float] = field(factory=dict)
    last_read: FrontSettings | None = None
    limit_check: LimitCheck = field(init=False)

    @limit_check.default
    def _make_limit_check(self) -> LimitCheck:
        return LimitCheck(self.view, self.relay.confirm_configuration)

    @classmethod
    def from_settings(cls, settings: FrontSettings, path: str) -> "Node":
        """Create an instance that is not running yet."""
        view = View.from_settings(settings)
        pool = Pool(CONNECT_TIMEOUT_S)
        links = LinkMonitor(view, pool)
        links.on_change = lambda is_cut, now: None if is_cut else view.fleet.end_pauses()
        pool.on_failed = links.suspect
        metrics = FrontMetrics()
        peers = PeerStates(settings.data_centre)
        peers_pool = Pool(CONNECT_TIMEOUT_S, connect_from(settings.host))
        forwarder = Forwarder(peers_pool, peers, metrics, view.rng)
        links.ask_others = forwarder.ask_others
        forwarder.on_leaving = lambda server_id, since: view.record_leaving_elsewhere(
            server_id, since, time.monotonic()
        )
        store = StoreClient(settings.store, Pool(STORE_CONNECT_TIMEOUT_S), metrics.count_store_call)
        store.count_unreadable = metrics.count_unreadable
        jitter_s = draw_jitter(settings.cores, settings.link_mbps, view.rng)
        lease_state = LeaseState.from_start(settings.lease_s, jitter_s, read_lease_clock())
        address = (settings.host, settings.peers_port)
        lease = LeaseClient(
            store, lease_state, settings.name, settings.data_centre, address, uuid.uuid4().hex
        )
        lease.count_unreadable = metrics.count_unreadable
        lease.measure_cut = links.state.measure_cut
        dispatcher = OrderDispatcher(view, pool, metrics, lease_state)
        follower = Follower(store, view)
        store.on_late = follower.handle_late_answer
        holder_protocol = HolderProtocol(view, lease, dispatcher, follower)
        holder_protocol.datagrams.count_unsent = metrics.count_unsent
        lease.on_holders_read = holder_protocol.learn_addresses
        follower.publish = holder_protocol.publish
        follower.is_holder = lambda: lease_state.held
        store.on_restored.append(lambda: follower.handle_restore(time.monotonic()))
        follower.count_unreadable = metrics.count_unreadable
        follower.count_account_problem = metrics.count_account_problem
        checks = ServerChecks(pool, find_cut=links.settle)
        checks.on_leaving = lambda record: view.record_leaving(record, time.monotonic())
        crashes = CrashRegistry(holder_protocol.datagrams.send, checks, view.rng)
        crashes.verdict_store = VerdictStore(store, lambda: follower.entry_age.lost_at is None)
        crashes.measure_silence = holder_protocol.measure_silence
        streams = StreamRegistry(
            settings.data_centre,
            holder_protocol.datagrams.send,
            view.list_versions,
        )
        streams.counts.observe = metrics.observe_lookup
        streams.origin_store = OriginStore(
            store,
            view,
            follower.is_holder,
            lambda: lease.holder_address,
            holder_protocol.datagrams.send,
        )
        make_allocators = functools.partial(
            Allocators,
            settings.data_centre,
            address,
            holder_protocol.datagrams.send,
            view.rng,
        )
        limits = LimitRegistry(view.fleet, make_allocators(holder_protocol.measure_silence))
        credit_allocators = make_allocators(
            lambda now: holder_protocol.measure_silence(time.monotonic()),
            silent_event="credit_instance_silent",
            clock=read_lease_clock,
        )
        grants = AccountGrants(
            credit_allocators,
            lambda: view.configuration,
            lambda: QuotaBound.from_settings(view.settings),
        )
        credit = AccountCredit(credit_allocators, grants, metrics)
        instance_lists = InstanceLists(
            settings.data_centre,
            address,
            holder_protocol.datagrams.send,
            lambda: lease_state.held,
            lambda: lease_state.token,
            holder_protocol.instances,
            holder_protocol.list_holders,
            lambda *known: learn_instances(streams, crashes, peers, limits, credit, *known),
        )
        confirmations = Confirmations(
            follower, lease, holder_protocol.list_holders, holder_protocol.datagrams.send
        )
        holder_protocol.handle_instance_message = functools.partial(
            handle_instance_message,
            streams,
            crashes,
            limits,
            credit,
            instance_lists,
            confirmations,
        )
        relay = Relay(
            view,
            pool,
            metrics,
            holder_protocol.report_awaited,
            holder_protocol.count_demand,
            holder_protocol.count_run,
            holder_protocol.report_missing,
            crashes,
            links,
            forwarder,
            limits,
            streams.record_stream,
            streams.find_stream,
            EntryCheck(store, follower).confirm,
            confirm_configuration=ConfigurationCheck(follower).confirm,
            credit=credit,
        )
        crashes.on_verdict = relay.withdraw
        return cls(
            path,
            settings,
            view,
            pool,
            metrics,
            follower,
            lease,
            dispatcher,
            holder_protocol,
            relay,
            streams,
            crashes,
            instance_lists,
            links,
            VersionStore(store, follower, follower.is_holder),
            confirmations,
        )

    async def run(self) -> int:
        """Serve until SIGTERM, then drain; return the exit code."""
        self.handle_signals()
        try:
            await self.listen()
        except OSError as error:
            log_event(LOG, logging.ERROR, "start_failed", reason=str(error))
            return EXIT_START_FAILED
        self.view.started_at = time.monotonic()
        for work in (
            self.follower.follow_configuration,
            self.follower.follow_servers,
            self.lease.maintain,
            self.dispatcher.run,
            self.holder_protocol.announce_repeatedly,
            self.holder_protocol.report_demand_repeatedly,
            self.instance_lists.maintain,
            self.crashes.maintain,
            self.links.maintain,
            self.relay.credit.maintain,
            self.version_store.maintain,
            self.confirmations.ask_repeatedly,
            self.streams.origin_store.maintain,
            self.sweep,
        ):
            self.spawn(work())
        log_event(LOG, logging.INFO, "started", instance=self.settings.name)
        await self.stop.wait()
        code = EXIT_OK
        try:
            await self.drain()
        except Exception:
            LOG.critical("event=defect", exc_info=True)
            self.view.drain.cut_off()
            code = EXIT_DEFECT
        await self.end()
        return code

    def handle_signals(self) -> None:
        """Stop at a stop signal, and reload at SIGHUP, also at those of the start."""
        handle_stop_signals(self.view.drain, self.stop.set, self.noted_signals)
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload)
        if signal.SIGHUP in self.noted_signals:
            self.reload()

    async def listen(self) -> None:
        """Open all listening sockets."""
        await self.holder_protocol.datagrams.listen((self.settings.host, self.settings.peers_port))
        endpoints: list[tuple[tuple[str, int], Handler]] = [
            (self.settings.callers, self.relay.handle),
            ((self.settings.host, self.settings.peers_port), self.relay.handle_forwarded),
            (self.settings.ready, self.answer_ready),
            ((self.settings.host, self.settings.metrics_port), self.answer_metrics),
        ]
        open_server = functools.partial(
            asyncio.get_running_loop().create_server, backlog=ACCEPT_BACKLOG, start_serving=False
        )
        for number, (address, handle) in enumerate(endpoints):
            connections = self.connections if number < SERVING_LISTENERS else set()
            make = functools.partial(self.make_connection, handle, connections)
            if handle == self.relay.handle and self.early_listener is not None:
                listener = await open_server(make, sock=self.early_listener)
            else:
                listener = await open_server(make, *address, reuse_address=True)
            self.listeners.append(listener)
        # No request is read before all ports are known to be free; the callers' listener is last.
        for listener in reversed(self.listeners):
            await listener.start_serving()

    def make_connection(
        self, handle: Handler, connections: set[CallerConnection]
    ) -> CallerConnection:
        """Return the state of a new connection."""
        close_log = None
        if connections is self.connections:
            close_log = CloseLog(self.metrics, self.view.drain.measure_stopping)
        return CallerConnection(
            handle,
            lambda: self.view.limits,
            self.limit_check,
            self.is_closing,
            self.is_refusing,
            connections,
            close_log,
            may_pause=handle == self.relay.handle,
            received=self.received,
            turns=self.turns,
        )

    def is_closing(self) -> bool:
        """Return whether callers should connect to another instance."""
        return self.view.drain.started_at is not None

    def is_refusing(self) -> bool:
        """Return whether a further request would be refused."""
        return self.view.drain.is_refusing(time.monotonic())

    async def answer_ready(
        self, connection: CallerConnection, head: h11.Request, *_: object
    ) -> None:
        """Answer the platform's readiness check: whether new connections should come here."""
        status = 200 if self.view.is_ready else 503
        connection.send_complete(status, (), b"")

    async def answer_metrics(
        self, connection: CallerConnection, head: h11.Request, *_: object
    ) -> None:
        """Answer with all metrics, or where a request would be sent."""
        if is_explain(head.target):
            status, body = answer_explain(self.relay, head.target, tuple(head.headers))
            connection.send_complete(status, JSON_HEADERS, body)
            return
        gauge_values = {
            "open_requests": self.relay.open,
            "servers": len(self.view.fleet.servers),
            "configuration_version": (
                self.view.configuration.version if self.view.configuration else 0
            ),
            "connections_opened": self.pool.opened,
            "servers_unreachable": int(self.links.is_cut),
            "order_holder": int(self.lease.lease_state.held),
            **self.streams.counts.list_values(),
            **self.crashes.list_values(),
            **self.relay.limits.list_values(),
            **self.relay.credit.list_values(),
            **self.dispatcher.list_values(),
            **list_account_values(self.view),
            **self.relay.slots.list_values(),
        }
        headers = ((b"content-type", b"text/plain; version=0.0.4"),)
        connection.send_complete(200, headers, self.metrics.render(gauge_values))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task that lasts as long as the process; its failure stops the process."""
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(self.stop_on_defect)
        self.tasks.append(task)

    def stop_on_defect(self, task: asyncio.Task) -> None:
        """Stop gracefully after a broken invariant, so that a fresh process takes over."""
        if task.cancelled() or task.exception() is None:
            return
        LOG.critical("event=defect", exc_info=task.exception())
        self.stop.set()

    def reload(self) -> None:
        """Apply settings that may change while the instance runs, during its start as well."""
        read = FrontSettings.from_file(self.path)
        if isinstance(read, Failure):
            log_event(LOG, logging.ERROR, "reload_failed", reason="; ".join(read.failure()))
            return
        changed = read.unwrap()
        if changed == (self.last_read or self.settings):
            return
        self.last_read = changed
        fixed = {name: getattr(self.settings, name) for name in FIXED_SETTINGS}
        ignored = ",".join(name for name in fixed if getattr(changed, name) != fixed[name])
        self.settings = self.view.settings = evolve(changed, **fixed)
        logging.getLogger().setLevel(self.settings.log_level.upper())
        log_event(LOG, logging.INFO, "reloaded", instance=self.settings.name, ignored=ignored)

    async def sweep(self) -> None:
        """Drop servers that are gone, and apply changed settings without a signal."""
        ticks = 0
        while True:
            due_at = time.monotonic() + SWEEP_INTERVAL_S
            # The machine may be suspended, which the monotonic clock does not count.
            resumes_at = read_lease_clock() + SWEEP_INTERVAL_S
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.report_loop_delay(time.monotonic() - due_at)
            if read_lease_clock() - resumes_at >= PAUSE_MIN_S:
                self.follower.handle_pause()
            self.follower.drop_missing(time.monotonic())
            if self.is_closing():
                # A storm of signals may have filled what tells the event loop of each.
                self.stop.set()
            ticks += 1
            if ticks % SWEEPS_PER_RELOAD == 0:
                self.reload()
                records = self.view.fleet.servers.values()
                self.pool.keep_only({(each.entry.host, each.entry.port) for each in records})
            if ticks % SWEEPS_PER_CALL_LOG == 0:
                log_calls(self.metrics.take_new_counts("store_calls"))

    def report_loop_delay(self, delay_s: float) -> None:
        """Record by how much the event loop was late, and log a long delay."""
        self.metrics.observe_loop_delay(max(0.0, delay_s))
        if delay_s >= LOOP_DELAY_LOGGED_S:
            log_event(LOG, logging.WARNING, "loop_late", delay_ms=round(delay_s * 1000))

    async def drain(self) -> None:
        """Stop accepting callers, and finish open requests."""
        view = self.view
        view.drain.start(time.monotonic())
        view.changed.fire()
        late_ms = round((time.monotonic() - view.drain.started_at) * 1000)
        log_event(
            LOG, logging.INFO, "drain_started", open_requests=self.relay.open, late_ms=late_ms
        )
        # Beside the drain: the store may be slow or unresponsive.
        self.spawn(self.lease.release())
        while self.find_phase(time.monotonic()) is DrainPhase.ANNOUNCING:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        self.log_connections("announcement_ended", open_requests=self.relay.open)
        # Streams that begin in the drain are told to their backups as ever.
        self.spawn(self.streams.hand_over(time.monotonic()))
        await self.stop_accepting()
        while self.find_phase(time.monotonic()) is DrainPhase.DRAINING:
            self.close_idle()
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        not_repeatable = self.relay.count_not_repeatable()
        self.log_connections("stopped", cut_off=self.relay.open, not_repeatable=not_repeatable)

    async def end(self) -> None:
        """Answer what is left, and close all callers' connections.

        Whoever connects now, as a drain that failed has closed no listener, is refused behind it.
        """
        self.pause_accepting()
        for task in self.tasks:
            task.cancel()
        self.cut_off(time.monotonic())
        for _ in range(CLOSE_CHECKS):
            await asyncio.sleep(CLOSE_DELAY_S / (CLOSE_CHECKS + 1))
            self.refuse_unanswered(time.monotonic())
        await asyncio.sleep(CLOSE_DELAY_S / (CLOSE_CHECKS + 1))
        for connection in list(self.connections):
            connection.end_now()
        self.holder_protocol.datagrams.close()

    def find_phase(self, now: float) -> DrainPhase:
        """Return the phase of the drain by the requests and callers' connections that are open."""
        return self.view.drain.find_phase(self.relay.open + len(self.list_pending()), now)

    def list_pending(self) -> list[CallerConnection]:
        """List the callers' connections on which a request or an answer may still be moving."""
        return [each for each in self.connections if not each.is_ended]

    async def stop_accepting(self) -> None:
        """Close the listeners for requests once all connections made to them are known."""
        serving = self.listeners[:SERVING_LISTENERS]
        loop = asyncio.get_running_loop()
        self.pause_accepting()
        for _ in range(ACCEPT_PASSES):
            await asyncio.sleep(0)
        for listener, handle in zip(
            serving, (self.relay.handle, self.relay.handle_forwarded), strict=True
        ):
            # The copies keep the port open until nothing waits at it.
            copies = [sock.dup() for sock in listener.sockets]
            listener.close()
            accepted = [each for copy in copies for each in accept_waiting(copy)]
            make = functools.partial(self.make_connection, handle, self.connections)
            for sock in accepted:
                await loop.connect_accepted_socket(make, sock)

    def pause_accepting(self) -> None:
        """Leave new connections for requests to the kernel."""
        loop = asyncio.get_running_loop()
        for listener in self.listeners[:SERVING_LISTENERS]:
            for sock in listener.sockets:
                loop.remove_reader(sock.fileno())

    def cut_off(self, now: float) -> None:
        """Answer all requests that are left at the end of the drain, complete ones or not."""
        self.relay.cut_off()
        self.refuse_unanswered(now)

    def refuse_unanswered(self, now: float) -> None:
        """Refuse the requests that have arrived in part, and close connections without one."""
        for connection in list(self.connections):
            try:
                self.cut_off_connection(connection, now)
            except Exception:
                LOG.critical("event=defect", exc_info=True)
                connection.abort(CloseReason.DEFECT)

    def cut_off_connection(self, connection: CallerConnection, now: float) -> None:
        """Close an idle connection, or refuse the request that has arrived in part."""
        if connection.is_receiving:
            retry_after_s = draw_retry_after(DRAINING_RETRY_S, self.view.rng)
            error = self.view.drain.check_open(retry_after_s, now)
            connection.refuse(error.status, error.message, retry_after_s)
        else:
            connection.close_idle()

    def log_connections(self, event: str, **fields: object) -> None:
        """Log a step of the drain with the time since its start and the callers' connections."""
        started_at = self.view.drain.started_at
        passed_ms = round((time.monotonic() - started_at) * 1000)
        pending = self.list_pending()
        idle = sum(connection.is_idle for connection in pending)
        busy = len(pending) - idle
        log_event(LOG, logging.INFO, event, after_ms=passed_ms, idle=idle, busy=busy, **fields)

    def close_idle(self) -> None:
        """Close the callers' connections without a request, but for those just made.

        Their callers are about to send, and the close would cross the request.
        """
        now = time.monotonic()
        for connection in list(self.connections):
            if not connection.is_fresh(now):
                connection.close_idle()


def learn_instances(
    streams: StreamRegistry,
    crashes: CrashRegistry,
    peers: PeerStates,
    limits: LimitRegistry,
    credit: AccountCredit,
    instances: Mapping[str, Collection[tuple[str, int]]],
    is_listed: bool,
    now: float,
) -> None:
    """Pass a change of the known instances on to the parts that send messages to all of them."""
    streams.learn_instances(instances, is_listed, now)
    crashes.learn_instances(instances, is_listed, now)
    peers.learn_instances(instances)
    limits.allocators.learn_instances(instances, is_listed)
    credit.learn_instances(instances, is_listed)


def handle_instance_message(
    streams: StreamRegistry,
    crashes: CrashRegistry,
    limits: LimitRegistry,
    credit: AccountCredit,
    instance_lists: InstanceLists,
    confirmations: Confirmations,
    message: InstanceMessage,
    address: tuple[str, int],
    now: float,
) -> None:
    """Pass a message on to the part of the instance that it is for."""
    if isinstance(message, InstancesMessage | InstancesQuestion):
        instance_lists.handle_message(message, address, now)
    elif isinstance(message, CrashNews):
        crashes.handle_message(message, address, now)
    elif isinstance(message, LimitNews):
        limits.handle_message(message, address, now)
    elif isinstance(message, ConfirmationNews):
        confirmations.handle_message(message, address)
    elif isinstance(message, CreditNews):
        credit.handle_message(message, address)
    else:
        streams.handle_message(message, address, now)
