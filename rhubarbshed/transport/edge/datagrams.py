"""Datagrams between instances."""

import asyncio
from collections.abc import Callable

from attrs import define
from returns.result import Result

from rhubarbshed.protocol.messages import Message, pack_message, unpack_message

Address = tuple[str, int]


@define(eq=False)
class Datagrams(asyncio.DatagramProtocol):
    """Send and take words; one that is lost is made good by the next."""

    handle: Callable[[Result[Message, str], Address], None]
    _transport: asyncio.DatagramTransport | None = None

    async def listen(self, address: Address) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Take a word."""
        self.handle(unpack_message(data), address)

    def error_received(self, error: OSError) -> None:
        """Ignore that a peer's port is closed; its silence is judged elsewhere."""

    def send(self, message: Message, *addresses: Address) -> None:
        """Send a word, packed once, to each address."""
        if self._transport is None or self._transport.is_closing() or not addresses:
            return
        data = pack_message(message)
        for address in addresses:
            self._transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
