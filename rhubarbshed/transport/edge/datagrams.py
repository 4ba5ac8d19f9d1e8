"""Datagrams between instances."""

import asyncio
from collections.abc import Callable

from attrs import define
from returns.result import Result

from rhubarbshed.protocol.messages import Message, pack_message, unpack_message

Address = tuple[str, int]


@define(eq=False)
class Datagrams(asyncio.DatagramProtocol):
    """Datagram endpoint for messages; a lost message is not resent, as the next one replaces it."""

    handle: Callable[[Result[Message, str], Address], None]
    _transport: asyncio.DatagramTransport | None = None

    async def listen(self, address: Address) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the open socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Decode a message and pass it on."""
        self.handle(unpack_message(data), address)

    def error_received(self, error: OSError) -> None:
        """Ignore that a peer's port is closed; unresponsive peers are detected elsewhere."""

    def send(self, message: Message, *addresses: Address) -> None:
        """Send a message, packed once, to each address."""
        if self._transport is None or self._transport.is_closing() or not addresses:
            return
        data = pack_message(message)
        for address in addresses:
            self._transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
