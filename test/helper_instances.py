"""Several instances in data centres that share one store, in one event loop."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Callable

from attrs import define, evolve, field

from rhubarbshed.protocol.messages import Message
from rhubarbshed.transport.edge.node import Node
from standin.rows import RowStore
from test.helper_edge import WAIT_S, make_host, make_settings
from tools.processes import find_free_ports

PORTS_PER_INSTANCE = 4


@define
class Instances:
    """Instances under test by name, those that run in `tasks`."""

    store: RowStore
    nodes: dict[str, Node] = field(factory=dict)
    tasks: dict[str, asyncio.Task] = field(factory=dict)

    def __getitem__(self, name: str) -> Node:
        return self.nodes[name]

    def start(self, name: str, data_centre: str, **changes: object) -> None:
        """Start an instance; one that was killed starts again at its address, without memory.

        `changes` are settings.
        """
        before = self.nodes.get(name)
        if before is not None:
            settings = evolve(before.settings, **changes)
        else:
            callers, ready, peers, metrics = find_free_ports(PORTS_PER_INSTANCE)
            host = make_host(len(self.nodes) + 1)
            settings = make_settings(
                **{
                    "store": self.store.address,
                    "name": name,
                    "data_centre": data_centre,
                    "host": host,
                    "callers": (host, callers),
                    "ready": (host, ready),
                    "peers_port": peers,
                    "metrics_port": metrics,
                    **changes,
                }
            )
        node = self.nodes[name] = Node.from_settings(settings, "")
        self.tasks[name] = asyncio.create_task(node.run())

    async def kill(self, name: str) -> None:
        """End an instance as a killed process ends: nothing is sent any more."""
        node, task = self.nodes[name], self.tasks.pop(name)
        for each in (task, *node.tasks):
            each.cancel()
        node.holder_protocol.datagrams.close()
        for listener in node.listeners:
            listener.close()
        await asyncio.gather(task, *node.tasks, return_exceptions=True)

    async def restart(self, *names: str, **changes: object) -> None:
        """Kill instances and start them again, with changed settings."""
        for name in names:
            await self.kill(name)
        await asyncio.sleep(0.05)
        for name in names:
            self.start(name, self.nodes[name].settings.data_centre, **changes)

    def find_holder(self, data_centre: str) -> str:
        """Return the name of a data centre's order holder."""
        return next(
            name
            for name in self.tasks
            if self[name].settings.data_centre == data_centre and self[name].lease.lease_state.held
        )

    def get_address(self, name: str) -> tuple[str, int]:
        """Return where an instance receives datagrams."""
        return self[name].lease.address

    def know_each_other(self) -> bool:
        """Return whether each running instance has the lists of all of them."""
        return all(
            self[name].streams.is_listed
            and set(list_known(self[name]))
            >= {self.get_address(other) for other in self.tasks if other != name}
            for name in self.tasks
        )

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float = 12.0) -> None:
        """Wait until a condition holds."""
        until = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < until, "the condition did not hold in time"
            await asyncio.sleep(0.02)


def list_known(node: Node) -> list[tuple[str, int]]:
    """List the addresses of the other instances that an instance knows."""
    return [address for named in node.streams.instances.values() for address in named.values()]


def lose_share(node: Node, share: float, seed: int = 1) -> None:
    """Lose a share of the datagrams that an instance sends, each for itself."""
    rng = random.Random(seed)
    send = node.streams.send

    def send_some(message: Message, *addresses: tuple[str, int]) -> None:
        send(message, *(address for address in addresses if rng.random() >= share))

    node.streams.send = node.instance_lists.send = send_some


@contextlib.asynccontextmanager
async def run_instances(**names: str) -> AsyncIterator[Instances]:
    """Run instances, given as name=data centre, until the block ends; they know each other."""
    store = RowStore()
    await store.start()
    instances = Instances(store)
    for name, data_centre in names.items():
        instances.start(name, data_centre)
    try:
        await instances.wait_until(instances.know_each_other)
        yield instances
        for name, task in instances.tasks.items():
            assert not instances[name].stop.is_set() and not task.done(), f"{name} stopped: {task}"
    finally:
        for name in list(instances.tasks):
            await asyncio.wait_for(instances.kill(name), WAIT_S)
        await store.stop()
