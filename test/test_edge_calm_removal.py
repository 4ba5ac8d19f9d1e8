"""Servers that leave without an announcement on a calm day, beside instances as processes."""

import asyncio
import itertools
import os
import random
import re
import sys
import time
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path

import pytest
from attrs import define, field, frozen

from standin.hosts import make_host
from standin.replica import Exchange, Replica
from standin.rows import RowStore
from test.helper_edge import HOST, make_configuration, make_route, play, read_answer
from test.soak.scene import Program
from tools.processes import find_free_ports

SETTINGS = Path(__file__).parent.parent / "deploy" / "settings.ini"
PLACEHOLDER = re.compile(r"\{\{([^}]*)\}\}")
VALUES = {
    "Zone": "a",
    "Bootstrap": "true",
    "Limits.CpuShare": 0.5,
    "Limits.Cores": 1,
    "Limits.LinkMbps": 350.0,
    "Bounds.DrainMs": 2000,
    "HeartbeatMs": 1200,
    "Bounds.LeaseMs": 3000,
    "Bounds.GraceS": 8,
    "Bounds.RetryBudgetRatio": 0.2,
    "Bounds.BudgetWindowS": 10,
    "Bounds.BudgetExtra": 100,
    "Bounds.CeilingWindowS": 5,
    "Bounds.CeilingOverage": 1.1,
}
"""Values of the platform that are the same for all instances."""

DRAIN_S = VALUES["Bounds.DrainMs"] / 1000.0
INSTANCES = 3
SERVERS = 2
START_S = 15.0
SETTLED_S = 1.5
SERVED_ON_S = DRAIN_S + 0.8
"""Time until all instances serve, time until one of them holds the order lease, and time for which
late requests are looked for."""

QUERIES = 3
AFTER_QUERY_S = (0.0, 0.3)
"""Queries that begin before each removal, so that two or more end without a change, and time from
the last one to the removal. An instance that knows a later revision than its order holder is
confirmed by nothing in between, and has not heard of the end yet."""

ASK_INTERVAL_S = 0.05
STALL_S = 0.5
STABLE_S = 3.0
"""Time between two requests; time without an answer of an instance that shows that its process, or
this one, did not run, and time for which it has run before its requests are judged."""

OTHER_ROWS_INTERVAL_S = 0.1


def make_service(name: str) -> dict:
    """Return a service in the operator's format."""
    return {"Name": name, "HealthCheck": "/health", "MaxConnections": 100}


@frozen
class Arrival:
    """Request that reached a server, with the instance that sent it."""

    at: float
    server: str
    instance: str


@define(eq=False)
class CalmDay:
    """Instances that run as processes, and their store and servers in this one."""

    folder: Path
    store: RowStore = field(factory=RowStore)
    replicas: list[Replica] = field(factory=list)
    programs: list[Program] = field(factory=list)
    callers: dict[str, tuple[str, int]] = field(factory=dict)
    arrivals: list[Arrival] = field(factory=list)
    answered: dict[str, list[float]] = field(factory=dict)
    tasks: set[asyncio.Task] = field(factory=set)

    async def start(self) -> None:
        """Start all, and wait until each instance serves a request."""
        await self.store.start()
        # A server without an entry gets requests only as long as there is no other for them.
        names = [f"s{number}" for number in range(SERVERS)]
        routes = [make_route(prefix=f"/{name}/", Service=name) for name in names]
        services = [make_service(name) for name in names]
        self.store.put("op", "config", make_configuration(*routes, Services=services))
        for name in names:
            replica = Replica(name, name, slots=100, reply=self.reply)
            await replica.start()
            self.replicas.append(replica)
            self.store.put("servers", replica.server_id, replica.describe())
        for number in range(1, INSTANCES + 1):
            self.start_instance(f"i{number}", make_host(number))
        until = time.monotonic() + START_S
        while len({(each.instance, each.server) for each in self.arrivals}) < INSTANCES * SERVERS:
            assert time.monotonic() < until, "the instances did not serve in time"
            await self.ask_all()
            await asyncio.sleep(ASK_INTERVAL_S)

    async def stop(self) -> None:
        """End all that was started."""
        for task in self.tasks:
            task.cancel()
        for program in self.programs:
            program.process.kill()
            program.process.wait()
        for replica in self.replicas:
            await replica.stop()
        await self.store.stop()

    def start_instance(self, name: str, host: str) -> None:
        """Start an instance with the settings of the platform."""
        callers, ready, peers = find_free_ports(3)
        values = {
            **VALUES,
            "Node": name,
            "Ip": host,
            "Listen.Front": f"{host}:{callers}",
            "Listen.Ready": f"{host}:{ready}",
            "PortRange": f"{peers},{peers}",
            "Platform.Address": ":".join(map(str, self.store.address)),
        }
        path = self.folder / f"{name}.ini"
        path.write_text(
            PLACEHOLDER.sub(lambda found: str(values.get(found[1], "")), SETTINGS.read_text())
        )
        program = Program(
            name,
            [sys.executable, "-m", "rhubarbshed.front"],
            {**os.environ, "RHUBARBSHED_SETTINGS": str(path)},
            self.folder / f"{name}.log",
        )
        program.start()
        self.programs.append(program)
        self.callers[name] = (host, callers)

    async def reply(self, exchange: Exchange) -> None:
        """Record a request and answer it."""
        server, (instance, _) = exchange.replica.server_id, exchange.request_id.split("-")
        self.arrivals.append(Arrival(time.monotonic(), server, instance))
        exchange.answer(200, b"done")

    async def ask_all(self) -> None:
        """Send a request for each server to each instance."""
        pairs = itertools.product(self.callers, self.replicas)
        await asyncio.gather(*(self.ask(name, each.server_id) for name, each in pairs))

    async def ask(self, name: str, server: str) -> None:
        """Send one request for a server to an instance, if it can be reached."""
        try:
            reader, writer = await asyncio.open_connection(*self.callers[name])
        except OSError:
            return
        lines = (
            f"GET /{server}/x HTTP/1.1",
            f"Host: {HOST}",
            f"Rhubarbshed-Request-Id: {name}-{time.monotonic_ns()}",
            "Rhubarbshed-Deadline-Remaining: 4000",
        )
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        await read_answer(reader)
        self.answered.setdefault(name, []).append(time.monotonic())
        writer.close()

    def repeat(self, interval_s: float, step: Callable[[], Awaitable[None]]) -> None:
        """Take a step again and again, without waiting for the one before."""

        async def run() -> None:
            while True:
                self.begin(step())
                await asyncio.sleep(interval_s)

        self.begin(run())

    def begin(self, step: Coroutine[None, None, None]) -> None:
        """Begin a step that goes on until all is stopped."""
        task = asyncio.create_task(step)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def write_other_row(self) -> None:
        """Write a row of another table, as instances and operators do all the time."""
        self.store.put("other", "row", {"at": time.monotonic()})

    async def wait_for_queries(self, count: int) -> None:
        """Wait for further queries for changes of servers that the store may hold."""

        def count_queries() -> int:
            queries = (each for each in self.store.calls if "rows-feed?Table=servers&" in each)
            return sum("WaitMs=0" not in each for each in queries)

        wanted = count_queries() + count
        until = time.monotonic() + START_S
        while count_queries() < wanted:
            assert time.monotonic() < until, "nobody queried the servers"
            await asyncio.sleep(0.01)

    def has_stalled(self, name: str, at: float) -> bool:
        """Return whether an instance did not run for a while in the time before a moment."""
        times = [each for each in self.answered[name] if at - STABLE_S < each < at]
        pairs = itertools.pairwise([at - STABLE_S, *times, at])
        return any(after - before > STALL_S for before, after in pairs)

    def find_late(self, server: str, removed_at: float) -> list[str]:
        """Find requests that reached a server later than the drain time after its removal.

        Those of an instance that has stalled do not count, as the rules say.
        """
        return [
            f"{server} got a request of {each.instance} {each.at - removed_at:.3f} s after"
            for each in self.arrivals
            if each.server == server and each.at > removed_at + DRAIN_S
            if not self.has_stalled(each.instance, each.at)
        ]


@pytest.mark.parametrize("seed", [1, 2])
def test_server_whose_entry_is_removed_gets_no_request_after_the_drain_time(tmp_path, seed):
    """Instances took a calm day for an outage, and kept the server for 2.2 s and more."""
    rng = random.Random(seed)
    day = CalmDay(tmp_path)

    async def scene():
        removed = {}
        try:
            await day.start()
            day.repeat(ASK_INTERVAL_S, day.ask_all)
            day.repeat(OTHER_ROWS_INTERVAL_S, day.write_other_row)
            await asyncio.sleep(SETTLED_S)
            for replica in rng.sample(day.replicas, SERVERS):
                await day.wait_for_queries(QUERIES)
                await asyncio.sleep(rng.uniform(*AFTER_QUERY_S))
                day.store.remove("servers", replica.server_id)
                removed[replica.server_id] = time.monotonic()
            await asyncio.sleep(SERVED_ON_S)
        finally:
            await day.stop()
        for server, at in removed.items():
            senders = {
                each.instance
                for each in day.arrivals
                if each.server == server and at - DRAIN_S < each.at < at
            }
            assert senders == set(day.callers), "not all instances used it"
            judged_at = at + DRAIN_S + STALL_S
            stalled = [name for name in day.callers if day.has_stalled(name, judged_at)]
            assert len(stalled) < INSTANCES, "the machine was too busy for any instance to run"
        assert [late for each in removed.items() for late in day.find_late(*each)] == []

    play(scene)
