"""Instances whose links to the replicas a test cuts, in one event loop."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

from attrs import define, field

from rhubarbshed.transport.edge.channels import Channel
from rhubarbshed.transport.edge.node import Node
from rhubarbshed.transport.edge.pools import Address, connect_channel
from test.helper_crashes import CrashScene, run_crash_scene

HANG_S = 60.0


class SilentTransport:
    """Transport that loses what is written, in place of that of a connection that is cut."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.pause_reading()

    def write(self, data: bytes) -> None:
        """Lose bytes."""

    def abort(self) -> None:
        """Close the real connection."""
        self.transport.abort()

    def is_closing(self) -> bool:
        return self.transport.is_closing()

    def get_write_buffer_size(self) -> int:
        return 0

    def get_extra_info(self, name: str) -> None:
        return None

    def pause_reading(self) -> None:
        """Stay silent."""

    def resume_reading(self) -> None:
        """Stay silent."""


@define(eq=False)
class Links:
    """Links of one instance to all replicas; `how` is "hang", "reset", "refuse" or empty.

    With "refuse" open connections go on. With `only` just the links to that address are cut.
    """

    node: Node
    how: str = ""
    only: Address | None = None
    channels: list[Channel] = field(factory=list)
    opened: int = 0

    def __attrs_post_init__(self) -> None:
        """Take the instance's connections to replicas over."""
        self.node.pool.connect = self.connect

    async def connect(self, address: Address) -> Channel:
        """Open a connection, or fail as the cut does."""
        how = self.how if self.only in (None, address) else ""
        if how == "hang":
            await asyncio.sleep(HANG_S)
        if how == "reset":
            raise ConnectionResetError
        if how == "refuse":
            raise ConnectionRefusedError
        channel = await connect_channel(address)
        self.channels.append(channel)
        self.opened += 1
        return channel

    def cut(self, how: str, only: Address | None = None) -> None:
        """Cut all links, or those to one address."""
        self.how, self.only = how, only
        for channel in self.channels:
            transport = channel._transport
            if transport.is_closing() or how == "refuse":
                continue
            if only not in (None, transport.get_extra_info("peername")):
                continue
            if how == "hang":
                channel._transport = SilentTransport(transport)
            else:
                transport.abort()
                channel.connection_lost(ConnectionResetError())
        self.channels.clear()

    def heal(self) -> None:
        """Let new connections work again."""
        self.how = ""


@define(eq=False)
class CutScene:
    """Instances, replicas and the links between them."""

    crashes: CrashScene
    links: dict[str, Links]

    def __getitem__(self, name: str) -> Node:
        return self.crashes.instances[name]

    async def ask(self, name: str, path: str = "/p/x", body: bytes = b"", **headers: str):
        """Send one request to an instance."""
        return await self.crashes.ask(name, path, body, **headers)

    async def cut(self, how: str, *names: str) -> None:
        """Cut instances off; their callers go on, and the time passes that they have to notice."""
        for name in names:
            self.links[name].cut(how)
        until = time.monotonic() + NOTICED_S
        asked = []
        while time.monotonic() < until:
            asked += [asyncio.create_task(self.ask(name)) for name in names]
            await asyncio.sleep(0.1)
        for task in asked:
            task.cancel()

    def count_runs(self, body: bytes) -> int:
        """Count the runs of requests with a body, on all replicas."""
        return sum(
            exchange.body == body
            for replica in self.crashes.replicas.values()
            for exchange in replica.got
        )


NOTICED_S = 3.0
"""Time from the beginning of a cut until its callers have to be served, the platform's bound."""


@contextlib.asynccontextmanager
async def run_cut_scene(**changes: object) -> AsyncIterator[CutScene]:
    """Run five instances in two data centres and four replicas until the block ends."""
    async with run_crash_scene(**changes) as crashes:
        links = {name: Links(node) for name, node in crashes.instances.nodes.items()}
        for node in crashes.instances.nodes.values():
            node.pool.keep_only(set())
        yield CutScene(crashes, links)
