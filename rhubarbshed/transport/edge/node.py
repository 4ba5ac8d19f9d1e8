"""Life of one instance on the platform: start, serve, reload, drain, stop."""

import asyncio
import functools
import logging
import signal
import time
import uuid
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import h11
from attrs import define, field
from returns.result import Failure, Success

from rhubarbshed.coordination.requests.drain import DrainPhase
from rhubarbshed.coordination.serving.lease_state import LeaseState, draw_jitter
from rhubarbshed.transport.edge.circle import Circle
from rhubarbshed.transport.edge.follower import Follower
from rhubarbshed.transport.edge.holder import OrderDesk
from rhubarbshed.transport.edge.lease import LeaseKeeper
from rhubarbshed.transport.edge.lines import CallerLine
from rhubarbshed.transport.edge.numbers import Numbers
from rhubarbshed.transport.edge.pools import Pool
from rhubarbshed.transport.edge.relay import Relay
from rhubarbshed.transport.edge.store import StoreClient
from rhubarbshed.transport.edge.view import View
from rhubarbshed.util.front import FrontSettings
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.3
"""Time for a connection to a backend server; a round trip takes 3 ms, and a first packet that was
lost is sent again after a second, which is too late to wait for."""

STORE_CONNECT_S = 1.0
"""Time for a connection to the store."""

BACKLOG = 512
"""New connections that wait to be accepted."""

CLOSE_S = 0.1
"""Time for the last answers to leave before the process ends."""

SWEEP_S = 0.25
"""Time between two looks at servers without entries."""

RELOAD_TICKS = 8
"""Sweeps between two looks at the settings file and at connections to servers that are gone."""

EXIT_OK = 0
EXIT_START_FAILED = 1


@define(eq=False)
class Node:
    """Hold the parts of one instance."""

    path: str
    settings: FrontSettings
    view: View
    pool: Pool
    numbers: Numbers
    follower: Follower
    lease: LeaseKeeper
    desk: OrderDesk
    circle: Circle
    relay: Relay
    stop: asyncio.Event = field(factory=asyncio.Event)
    lines: set[CallerLine] = field(factory=set)
    servers: list[asyncio.Server] = field(factory=list)
    tasks: list[asyncio.Task] = field(factory=list)

    @classmethod
    def from_settings(cls, settings: FrontSettings, path: str) -> "Node":
        """Make an instance that does nothing yet."""
        view = View.from_settings(settings)
        pool = Pool(CONNECT_TIMEOUT_S)
        numbers = Numbers.from_instance()
        store = StoreClient(settings.store, Pool(STORE_CONNECT_S), numbers.count_store_call)
        jitter_s = draw_jitter(settings.cores, settings.link_mbps, view.chance)
        lease_state = LeaseState.from_start(settings.lease_s, jitter_s, time.monotonic())
        address = (settings.host, settings.peers_port)
        lease = LeaseKeeper(
            store, lease_state, settings.name, settings.data_centre, address, uuid.uuid4().hex
        )
        desk = OrderDesk(view, pool, numbers, lease_state)
        follower = Follower(store, view)
        circle = Circle(view, lease, desk, follower)
        lease.learned = circle.learn_addresses
        follower.publish = circle.publish
        follower.is_holder = lambda: lease_state.held
        relay = Relay(
            view,
            pool,
            numbers,
            circle.want,
            circle.count_demand,
            circle.count_run,
            circle.tell_lack,
        )
        return cls(path, settings, view, pool, numbers, follower, lease, desk, circle, relay)

    async def run(self) -> int:
        """Serve until SIGTERM, then drain; return the exit code."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop.set)
        loop.add_signal_handler(signal.SIGINT, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        try:
            await self.listen()
        except OSError as error:
            log_event(LOG, logging.ERROR, "start_failed", reason=str(error))
            return EXIT_START_FAILED
        for work in (
            self.follower.follow_configuration,
            self.follower.follow_servers,
            self.lease.keep,
            self.desk.run,
            self.circle.tell,
            self.circle.tell_regularly,
            self.sweep,
        ):
            self.spawn(work())
        log_event(LOG, logging.INFO, "started", instance=self.settings.name)
        await self.stop.wait()
        await self.drain()
        return EXIT_OK

    async def listen(self) -> None:
        """Open all listening sockets."""
        loop = asyncio.get_running_loop()
        await self.circle.datagrams.listen((self.settings.host, self.settings.peers_port))
        sites: list[tuple[tuple[str, int], Callable[..., Awaitable[None]]]] = [
            (self.settings.callers, self.relay.handle),
            (self.settings.ready, self.answer_ready),
            ((self.settings.host, self.settings.metrics_port), self.answer_metrics),
        ]
        for address, handle in sites:
            lines = self.lines if address == self.settings.callers else set()
            make = functools.partial(
                CallerLine, handle, lambda: self.view.limits, self.is_closing, lines
            )
            server = await loop.create_server(make, *address, backlog=BACKLOG, reuse_address=True)
            self.servers.append(server)

    def is_closing(self) -> bool:
        """Tell whether callers should go elsewhere."""
        return self.view.drain.started_at is not None

    async def answer_ready(self, line: CallerLine, head: h11.Request, *_: object) -> None:
        """Answer the platform's question whether new connections should come here."""
        status = 200 if self.view.is_ready else 503
        line.send_whole(status, (), b"")

    async def answer_metrics(self, line: CallerLine, head: h11.Request, *_: object) -> None:
        """Answer with all metrics."""
        gauges = {
            "open_requests": self.relay.open,
            "servers": len(self.view.fleet.servers),
            "configuration_version": (
                self.view.configuration.version if self.view.configuration else 0
            ),
            "connections_opened": self.pool.opened,
            "order_holder": int(self.lease.lease_state.held),
        }
        headers = ((b"content-type", b"text/plain; version=0.0.4"),)
        line.send_whole(200, headers, self.numbers.render(gauges))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Start work that lasts as long as the process; its failure stops the process."""
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
        """Take settings that may change while work goes on: the level of the log."""
        read = FrontSettings.from_file(self.path)
        if isinstance(read, Failure):
            log_event(LOG, logging.ERROR, "reload_failed", reason="; ".join(read.failure()))
            return
        if isinstance(read, Success) and read.unwrap() != self.settings:
            self.settings = read.unwrap()
            self.view.settings = self.settings
            logging.getLogger().setLevel(self.settings.log_level.upper())
            log_event(LOG, logging.INFO, "reloaded", instance=self.settings.name)

    async def sweep(self) -> None:
        """Drop servers that are gone, and take up changed settings without a signal."""
        ticks = 0
        while True:
            await asyncio.sleep(SWEEP_S)
            self.follower.drop_missing(time.monotonic())
            ticks += 1
            if ticks % RELOAD_TICKS == 0:
                self.reload()
                records = self.view.fleet.servers.values()
                self.pool.keep_only({(each.entry.host, each.entry.port) for each in records})

    async def drain(self) -> None:
        """Take no new callers, finish what is open, and end."""
        view = self.view
        view.drain.start(time.monotonic())
        view.changed.fire()
        log_event(LOG, logging.INFO, "drain_started", open_requests=self.relay.open)
        await self.lease.release()
        while True:
            phase = view.drain.find_phase(self.relay.open, time.monotonic())
            if phase is DrainPhase.DUE:
                break
            if phase is DrainPhase.DRAINING:
                self.close_idle()
            await asyncio.sleep(0.05)
        log_event(LOG, logging.INFO, "stopped", cut_off=self.relay.open)
        for task in self.tasks:
            task.cancel()
        self.relay.cut_off()
        self.close_idle()
        await asyncio.sleep(CLOSE_S)
        for line in list(self.lines):
            line.abort()
        self.circle.datagrams.close()

    def close_idle(self) -> None:
        """Close the callers' site and the connections on which nothing is under way."""
        self.servers[0].close()
        for line in list(self.lines):
            if line.is_idle:
                line.close()
