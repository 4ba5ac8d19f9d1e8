"""Idle connections by address, and the opening of new ones."""

import asyncio
import collections
from collections.abc import Awaitable, Callable

from attrs import define, field

from rhubarbshed.transport.edge.channels import Channel, ChannelError, NotListeningError
from rhubarbshed.transport.edge.late_loops import limit_time

IDLE_MARGIN_S = 0.5
"""Part of a server's keep-alive time that is not used: it may close while a request is on its
way."""

IDLE_DEFAULT_S = 0.4
"""Idle time for a server that states no keep-alive time; below one second, the shortest it can
state."""

IDLE_PER_ADDRESS_MAX = 8
"""Most idle connections to one address; an instance has few requests at once at one server."""

Address = tuple[str, int]

Connect = Callable[[Address], Awaitable[Channel]]


async def connect_channel(address: Address) -> Channel:
    """Open a connection to an address."""
    loop = asyncio.get_running_loop()
    _, channel = await loop.create_connection(Channel, *address)
    return channel


def connect_from(host: str) -> Connect:
    """Return a function that opens connections from an address of this machine."""

    async def connect(address: Address) -> Channel:
        loop = asyncio.get_running_loop()
        _, channel = await loop.create_connection(Channel, *address, local_addr=(host, 0))
        return channel

    return connect


@define
class Pool:
    """Idle connections; the one that was used last is used first.

    `on_failed` is called when a connection could not be opened.
    """

    connect_timeout_s: float
    connect: Connect = connect_channel
    on_failed: Callable[[], None] = lambda: None
    idle: dict[Address, collections.deque[Channel]] = field(factory=dict)
    opened: int = 0

    async def acquire(
        self, address: Address, now: float, fresh: bool = False, request_id: str = ""
    ) -> Channel:
        """Return a connection that has not carried the request; raise `ChannelError` if none opens.

        One that is not for a request of a caller has no id.
        """
        channel = None if fresh else self._take_idle(address, now, request_id)
        return channel or await self.open(address)

    def _take_idle(self, address: Address, now: float, request_id: str) -> Channel | None:
        kept = self.idle.get(address, ())
        for channel in reversed(list(kept)):
            if not channel.is_usable(now):
                kept.remove(channel)
                channel.abort()
            elif not request_id or not channel.has_carried(request_id):
                kept.remove(channel)
                return channel
        return None

    async def open(self, address: Address) -> Channel:
        """Open a connection."""
        try:
            async with limit_time(self.connect_timeout_s):
                channel = await self.connect(address)
        except ConnectionRefusedError as error:
            self.on_failed()
            raise NotListeningError(f"no connection: {error!r}") from error
        except (OSError, TimeoutError, ValueError) as error:
            self.on_failed()
            raise ChannelError(f"no connection: {error!r}") from error
        self.opened += 1
        return channel

    def release(self, address: Address, channel: Channel) -> None:
        """Keep a connection whose exchange is done."""
        keep_alive_s = channel.idle_max_s
        channel.idle_max_s = (
            IDLE_DEFAULT_S if keep_alive_s is None else max(0.0, keep_alive_s - IDLE_MARGIN_S)
        )
        kept = self.idle.setdefault(address, collections.deque())
        kept.append(channel)
        if len(kept) > IDLE_PER_ADDRESS_MAX:
            kept.popleft().abort()

    def drop(self, address: Address) -> None:
        """Close all idle connections to an address."""
        for channel in self.idle.pop(address, ()):
            channel.abort()

    def keep_only(self, addresses: set[Address]) -> None:
        """Close idle connections to all other addresses."""
        for address in [each for each in self.idle if each not in addresses]:
            self.drop(address)
