"""State and collaborators of one running instance, wired from settings."""

import asyncio
import functools
import logging
import random
import time
import uuid
from collections.abc import Awaitable, Callable
from concurrent.futures import Executor, ThreadPoolExecutor
from typing import Any

from attrs import define, evolve, field, frozen
from returns.result import Result, Success

from rhubarbshed.coordination.agreement.commits import CommitBatcher
from rhubarbshed.coordination.agreement.transactions import TableAccess
from rhubarbshed.coordination.membership.membership import (
    get_standing,
    list_backend_servers,
    list_instances,
)
from rhubarbshed.coordination.placement.loads import MoveContext
from rhubarbshed.coordination.requests.coordinator import RequestCoordinator
from rhubarbshed.coordination.requests.quotas import AdapterQuota
from rhubarbshed.protocol.members import BackendKind, Standing
from rhubarbshed.protocol.placement import MoveRecord
from rhubarbshed.protocol.platform import EngineClient, ListClient, ObjectClient
from rhubarbshed.protocol.requests import Dispatch
from rhubarbshed.state.agreement.backlog import BacklogRate
from rhubarbshed.state.agreement.catalogue import Catalogue
from rhubarbshed.state.agreement.leases import Holder, Leases
from rhubarbshed.state.agreement.retention import Retention
from rhubarbshed.state.membership.load import LoadView
from rhubarbshed.state.membership.membership import Membership
from rhubarbshed.state.placement.demand import Demand
from rhubarbshed.state.placement.moves import Moves
from rhubarbshed.state.placement.weights import WeightGate
from rhubarbshed.state.timeline import Timeline, read_wall_ms
from rhubarbshed.transport.callers import SPARE_THREADS, RequestSlots, make_caller_handler
from rhubarbshed.transport.connections import ConnectionPool
from rhubarbshed.transport.engines import cancel_request, make_engine_client
from rhubarbshed.transport.exchange import (
    PeerExchange,
    collect_digests,
    handle_frame,
    make_greeting_frames,
    make_heartbeat,
)
from rhubarbshed.transport.gateway import Gateway
from rhubarbshed.transport.hooks import PeerHooks
from rhubarbshed.transport.http import HttpClient
from rhubarbshed.transport.http_servers import HttpServer, HttpServerLimits
from rhubarbshed.transport.metrics import Metrics
from rhubarbshed.transport.objects import make_object_client
from rhubarbshed.transport.open_sockets import OpenSockets
from rhubarbshed.transport.peers import PeerNetwork
from rhubarbshed.transport.platform import make_list_client
from rhubarbshed.transport.stream_relay import StreamRelay
from rhubarbshed.transport.table import make_table_client
from rhubarbshed.transport.upstream import UpstreamClient
from rhubarbshed.util.logs import log_event
from rhubarbshed.util.settings import Settings

LOG = logging.getLogger(__name__)
STANDINGS_IN_USE = (Standing.LIVE, Standing.LEAVING, Standing.SUSPECTED)

# Control threads wait for the platform and for reports, order threads for orders.
CONTROL_THREADS = 16
ORDER_THREADS = 32
OPERATOR_THREADS = 8
# Time after start during which an instance without a fresh catalogue and load is not ready.
READY_WAIT_MAX_S = 5.0


@frozen
class ExternalClients:
    """Clients of the external systems, and the threads that wait for them."""

    http: HttpClient
    access: TableAccess
    objects: ObjectClient
    platform: ListClient
    engines: EngineClient
    control: Executor | None = None
    orders: Executor | None = None


@define
class Runtime:
    """Collaborators of one instance; all but the HTTP servers run on the event loop."""

    settings: Settings
    incarnation: str
    loop: asyncio.AbstractEventLoop
    http: HttpClient
    access: TableAccess
    objects: ObjectClient
    platform: ListClient
    engines: EngineClient
    membership: Membership
    load: LoadView
    catalogue: Catalogue
    timeline: Timeline
    metrics: Metrics
    coordinator: RequestCoordinator
    leases: Leases
    moves: Moves
    gate: WeightGate
    quota: AdapterQuota
    demand: Demand
    rng: random.Random
    control: Executor | None
    orders: Executor | None
    backlog: BacklogRate
    gateway: Gateway = field(init=False)
    network: PeerNetwork = field(init=False)
    request_slots: RequestSlots = field(init=False)
    stream_relay: StreamRelay = field(init=False)
    open_sockets: OpenSockets = field(factory=OpenSockets)
    exchange: PeerExchange = field(factory=PeerExchange)
    retention: Retention = field(factory=Retention)
    catalogue_wakeup: asyncio.Event = field(factory=asyncio.Event)
    placement_wakeup: asyncio.Event = field(factory=asyncio.Event)
    polled_servers: tuple[str, ...] = ()
    move_records: list[MoveRecord] = field(factory=list)
    move_tasks: dict[str, asyncio.Task] = field(factory=dict)
    unplaced: tuple[str, ...] = ()
    started_at: float = field(factory=time.monotonic)
    move_context: MoveContext = field(init=False)
    platform_up: bool = True
    catalogue_known: bool = False
    snapshot_due: bool = False
    tasks: list[asyncio.Task] = field(factory=list)
    http_servers: list[HttpServer] = field(factory=list)

    @classmethod
    def from_settings(cls, settings: Settings, loop: asyncio.AbstractEventLoop) -> "Runtime":
        """Build an instance from its settings, without starting it."""
        platform = settings.platform
        credential = settings.secrets.platform_credential
        http = HttpClient.from_config(settings.instance.name, platform.timeout_s, credential)
        control = ThreadPoolExecutor(CONTROL_THREADS, "control")
        rng = random.Random(f"{settings.routing.seed}/{settings.instance.name}")
        table = make_table_client(http, platform.table_url)
        clients = ExternalClients(
            http=http,
            access=TableAccess(table, make_runner(loop, control), rng),
            objects=make_object_client(http, platform.object_store_url),
            platform=make_list_client(http, platform.list_url),
            engines=make_engine_client(http),
            control=control,
            orders=ThreadPoolExecutor(ORDER_THREADS, "orders"),
        )
        incarnation = uuid.uuid4().hex[:12]
        return cls.from_clients(settings, loop, clients, incarnation, time.monotonic())

    @classmethod
    def from_clients(
        cls,
        settings: Settings,
        loop: asyncio.AbstractEventLoop,
        clients: "ExternalClients",
        incarnation: str,
        now: float,
        read_wall: Callable[[], int] = read_wall_ms,
    ) -> "Runtime":
        """Build an instance on given clients of the external systems."""
        name = settings.instance.name
        catalogue = Catalogue()
        load = LoadView()
        find = (catalogue.get_model, catalogue.get_adapter, catalogue.get_service)
        adapters_in_flight = settings.weight_store.adapters_in_flight
        runtime = cls(
            settings=settings,
            incarnation=incarnation,
            loop=loop,
            http=clients.http,
            access=clients.access,
            objects=clients.objects,
            platform=clients.platform,
            engines=clients.engines,
            membership=Membership.from_settings(settings, incarnation, now),
            load=load,
            catalogue=catalogue,
            timeline=Timeline.from_settings(settings, read_wall),
            metrics=Metrics.from_instance(name),
            coordinator=RequestCoordinator.from_settings(settings, *find, load),
            leases=Leases.from_config(settings.leases, Holder(name, incarnation)),
            moves=Moves(),
            gate=WeightGate.from_config(settings.weight_store),
            quota=AdapterQuota(adapters_in_flight, name),
            demand=Demand.from_config(name, settings.placement),
            rng=clients.access.rng,
            control=clients.control,
            orders=clients.orders,
            backlog=BacklogRate.from_config(settings.platform),
            started_at=now,
        )
        runtime.request_slots = RequestSlots(settings.callers.threads)
        runtime.gateway = runtime._make_gateway()
        runtime.stream_relay = StreamRelay(loop, runtime.gateway.loop_calls)
        runtime.network = runtime._make_network()
        runtime.move_context = runtime._make_move_context()
        return runtime

    def _make_move_context(self) -> MoveContext:
        """Build the context of moves; their orders may block for long, on separate threads."""
        access = evolve(self.access, runner=make_runner(self.loop, self.orders))
        return MoveContext(
            access=access,
            engine=self.engines,
            leases=self.leases,
            gate=self.gate,
            quota=self.quota,
            moves=self.moves,
            clock=time.monotonic,
        )

    def _make_gateway(self) -> Gateway:
        return Gateway(
            settings=self.settings,
            incarnation=self.incarnation,
            loop=self.loop,
            coordinator=self.coordinator,
            catalogue=self.catalogue,
            timeline=self.timeline,
            metrics=self.metrics,
            table=CommitBatcher(self.access.table, self.access.runner),
            demand=self.demand,
            is_gone=self.is_gone,
            check_server=self.check_server,
            cancel_attempt=self.cancel_attempt,
            has_serving_state=self.has_serving_state,
            is_catalogue_known=lambda: self.catalogue_known,
        )

    def has_serving_state(self) -> bool:
        """Return whether requests could be served: models are known, and where they are loaded.

        A snapshot may be old, so the table or a peer must have confirmed the catalogue first. If
        neither does, or no report arrives, the instance becomes ready after a timeout.
        """
        if not self.catalogue.objects and not self.catalogue_known or not self.load.servers:
            return False
        reported = any(server.engine or server.service for server in self.load.servers.values())
        if self.catalogue_known and reported:
            return True
        return time.monotonic() - self.started_at > READY_WAIT_MAX_S

    def is_gone(self, instance: str, incarnation: str) -> bool:
        """Return whether a run of an instance has ended."""
        known = self.membership.instances.get(instance)
        if known is not None and known.incarnation not in ("", incarnation):
            return incarnation in self.membership.past_incarnations.get(instance, ())
        return get_standing(self.membership, instance, time.monotonic()) is Standing.GONE

    async def check_server(self, name: str) -> None:
        """Read a backend server's report at once, to distinguish a crash from a broken stream."""
        server = self.load.servers.get(name)
        if server is None or server.info.kind is not BackendKind.ENGINE:
            return
        sequence = server.prefixes.sequence
        fetched = await self.run_control(self.engines.fetch_report, server.info, sequence)
        if isinstance(fetched, Success):
            self.load.record_answered(name)
            self.coordinator.apply_report(fetched.unwrap(), time.monotonic())
        else:
            self.load.record_unanswered(name, time.monotonic())

    async def cancel_attempt(self, sent: Dispatch) -> None:
        """Cancel the work of an abandoned attempt on its engine."""
        server = self.load.servers.get(sent.backend_server)
        if server is not None and server.info.kind is BackendKind.ENGINE:
            await self.run_control(cancel_request, self.http, server.info, sent.request_id)

    def _make_network(self) -> PeerNetwork:
        return PeerNetwork.from_settings(
            self.settings,
            self.membership,
            self.timeline.clock,
            PeerHooks(
                on_frame=functools.partial(handle_frame, self),
                make_heartbeat=functools.partial(make_heartbeat, self),
                on_connect=functools.partial(make_greeting_frames, self),
                collect=functools.partial(collect_digests, self),
            ),
            rng=self.rng,
        )

    def apply_membership(self) -> None:
        """Update the view of load from the known standing of backend servers."""
        now = time.monotonic()
        self.load.set_instances(len(list_instances(self.membership, now)))
        self.load.set_servers(list_backend_servers(self.membership, now, *STANDINGS_IN_USE))
        for name in self.load.servers:
            self.load.set_standing(name, get_standing(self.membership, name, now), now)

    def note_catalogue_change(self, count: int, source: str) -> None:
        """Record that objects of the local catalogue have changed."""
        head = self.catalogue.head
        self.timeline.record("ticket_in_force", ticket=head, objects=count, source=source)
        self.metrics.ticket.set({}, head)
        self.placement_wakeup.set()
        log_event(LOG, logging.INFO, "ticket_in_force", ticket=head, objects=count, source=source)

    def count_open(self) -> int:
        """Return the number of requests still unanswered, or whose end is not yet recorded."""
        return self.request_slots.taken + self.gateway.settling

    async def run_control(self, call: Callable[..., Any], *args: Any) -> Any:
        """Run a blocking call on a control thread."""
        return await self.loop.run_in_executor(self.control, functools.partial(call, *args))

    def start_http_servers(self, operator_handler: Callable[..., Any]) -> Result[None, str]:
        """Listen for callers and operators."""
        callers = self._make_caller_server()
        operators = self._make_operator_server(operator_handler)
        self.http_servers = [callers, operators]
        return operators.start().bind(lambda _: callers.start())

    def _make_caller_server(self) -> HttpServer:
        limits = self.settings.callers
        instance = self.settings.instance
        connections = ConnectionPool(self.settings.routing.connection_age_max_s)
        upstream_client = UpstreamClient(
            connections,
            self.stream_relay,
            instance.name,
            limits.answer_bytes_max,
            self.open_sockets,
        )
        server_limits = HttpServerLimits(
            threads=limits.threads + SPARE_THREADS,
            header_bytes_max=limits.header_bytes_max,
            socket_timeout_s=limits.socket_timeout_s,
        )
        handler = make_caller_handler(self.gateway, upstream_client, self.request_slots)
        return HttpServer.from_config(handler, instance.host, instance.caller_port, server_limits)

    def _make_operator_server(self, handler: Callable[..., Any]) -> HttpServer:
        limits = self.settings.callers
        server_limits = HttpServerLimits(
            threads=OPERATOR_THREADS,
            header_bytes_max=limits.header_bytes_max,
            socket_timeout_s=limits.socket_timeout_s,
        )
        instance = self.settings.instance
        return HttpServer.from_config(handler, instance.host, instance.operator_port, server_limits)


def make_runner(
    loop: asyncio.AbstractEventLoop, executor: ThreadPoolExecutor
) -> Callable[..., Awaitable[Any]]:
    """Make a function that runs a blocking call on an executor's thread."""

    def run(call: Callable[..., Any], *args: Any) -> Awaitable[Any]:
        return loop.run_in_executor(executor, functools.partial(call, *args))

    return run
