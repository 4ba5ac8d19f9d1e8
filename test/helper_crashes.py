"""Instances before replicas that some requests crash, in one event loop."""

import asyncio
import contextlib
import itertools
import time
from collections.abc import AsyncIterator, Callable, Sequence

from attrs import define, field

from rhubarbshed.transport.edge.node import Node
from standin.replica import Exchange, Replica
from test.helper_edge import Answer, Edge, make_configuration, make_route
from test.helper_instances import Instances, run_instances

RUN_S = 0.02
"""Time that a replica takes until it answers or crashes."""

EVENTS = 4
"""Events of a whole stream."""

CONFIGURATION = make_configuration(
    make_route("idempotent", "/p/", Attempts=2),
    make_route("idempotent", "/t/", Attempts=3),
    make_route("non_idempotent", "/u/", Attempts=1),
    make_route("streaming", "/s/", Resumable=True, TargetGapMs=150),
    make_route("streaming", "/n/", Attempts=1, TargetGapMs=150),
)


@define
class CrashScene:
    """Instances and replicas; a replica that runs a request for which `is_deadly` holds crashes.

    It does so as it would send the event `crash_at` of a stream, or a plain response. A new replica
    takes its place after `back_s`. `arrived` are the deadly requests that reached a replica, with
    the monotonic time and the replica's id, and `crashed` the ids of those that they crashed.
    """

    instances: Instances
    is_deadly: Callable[[Exchange], bool] = lambda exchange: b"deadly" in exchange.body
    crash_at: int = 1
    back_s: float = 0.3
    run_s: float = RUN_S
    replicas: dict[str, Replica] = field(factory=dict)
    arrived: list[tuple[float, str, Exchange]] = field(factory=list)
    crashed: list[str] = field(factory=list)
    numbers: itertools.count = field(factory=itertools.count)
    tasks: set[asyncio.Task] = field(factory=set)

    async def add_replica(self, **changes: object) -> Replica:
        """Start a replica with an id of its own and enter it in the store."""
        server_id = f"r{next(self.numbers)}"
        replica = Replica(server_id, reply=self.reply, **changes)
        await replica.start()
        self.replicas[server_id] = replica
        self.instances.store.put("servers", server_id, replica.describe())
        return replica

    async def let_leave(self, replica: Replica, names: Sequence[str], timeout_s: float) -> None:
        """Enter in the store that a replica leaves, and wait until instances know it in time."""
        replica.drain()
        self.instances.store.put("servers", replica.server_id, replica.describe())
        records = [self.instances[name].view.fleet.servers[replica.server_id] for name in names]
        await self.instances.wait_until(
            lambda: all(record.leaving_at is not None for record in records), timeout_s
        )

    async def reply(self, exchange: Exchange) -> None:
        """Answer or stream after a while, or crash."""
        deadly = self.is_deadly(exchange)
        if deadly:
            self.arrived.append((time.monotonic(), exchange.replica.server_id, exchange))
        streamed = exchange.target.startswith(("/s/", "/n/"))
        if not streamed:
            await asyncio.sleep(self.run_s)
            if deadly:
                await self.crash(exchange.replica)
            else:
                exchange.answer(200, b"done:" + exchange.body)
            return
        after = int(exchange.headers.get("last-event-id", 0))
        exchange.begin_stream()
        for written, number in enumerate(range(after + 1, EVENTS + 1), 1):
            await asyncio.sleep(self.run_s)
            if deadly and written >= self.crash_at:
                await self.crash(exchange.replica)
                return
            exchange.send_event(number)
            await exchange.writer.drain()
        exchange.end_stream()

    async def crash(self, replica: Replica) -> None:
        """End a replica, also with other requests on it; another one starts later."""
        if replica.server_id not in self.replicas:
            return
        del self.replicas[replica.server_id]
        self.crashed.append(replica.server_id)
        await replica.stop()
        task = asyncio.create_task(self.replace(replica))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def replace(self, replica: Replica) -> None:
        """Start a replica in place of one that ended, as the platform does."""
        await asyncio.sleep(self.back_s)
        self.instances.store.remove("servers", replica.server_id)
        await self.add_replica(data_centre=replica.data_centre, models=replica.models)

    async def ask(self, name: str, path: str = "/p/x", body: bytes = b"", **headers: str) -> Answer:
        """Send one request to an instance."""
        node = self.instances[name]
        return await Edge(self.instances.store, [], node, None).ask(path, body, **headers)

    async def wait_ready(self, *names: str) -> None:
        """Wait until instances know the configuration and all replicas that are up."""
        await self.instances.wait_until(
            lambda: all(self.is_ready(self.instances[name]) for name in names)
        )

    def is_ready(self, node: Node) -> bool:
        """Return whether an instance knows all replicas that are up, and can be asked."""
        known = node.view.fleet.servers
        return node.view.is_ready and bool(self.replicas) and set(self.replicas) <= set(known)


@contextlib.asynccontextmanager
async def run_crash_scene(
    replicas: int = 4,
    names: dict[str, str] | None = None,
    models: Sequence[str] = (),
    **changes: object,
) -> AsyncIterator[CrashScene]:
    """Run five instances, or those named, and replicas until the block ends.

    Given `models`, each replica holds one of them, and there are as many.
    """
    names = names or {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}
    async with run_instances(**names) as instances:
        scene = CrashScene(instances, **changes)
        instances.store.put("op", "config", CONFIGURATION)
        for number in range(len(models) or replicas):
            held = {models[number]: []} if models else {}
            await scene.add_replica(data_centre="ab"[number % 2], models=held)
        await scene.wait_ready(*instances.tasks)
        try:
            yield scene
        finally:
            for task in list(scene.tasks):
                task.cancel()
            for replica in list(scene.replicas.values()):
                await replica.stop()
