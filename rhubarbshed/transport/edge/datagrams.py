"""Datagrams between instances."""

import asyncio
import logging
import socket
from collections.abc import Callable

from attrs import define, field
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.message_checks import is_address
from rhubarbshed.protocol.messages import (
    KIND_NAMES,
    Message,
    UnknownMessage,
    pack_datagram,
    unpack_message,
)
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

UNKNOWN_KINDS_MAX = 32
"""Most kinds of messages of other builds that are counted one by one."""

READ_MAX = 64
"""Most datagrams that are read in one pass of the event loop. Asyncio reads one: in a busy loop
messages of order holders would wait for seconds behind questions that are no longer of use."""

READ_BYTES_MAX = 65_536
"""Longest datagram that is read."""

Address = tuple[str, int]


@define(eq=False)
class Datagrams(asyncio.DatagramProtocol):
    """Datagram endpoint for messages; a lost message is not resent, as the next one replaces it."""

    handle: Callable[[Result[Message, str], Address], None]
    count_unsent: Callable[[str], None] = lambda kind: None
    unknown_kinds: dict[str, int] = field(factory=dict)
    _transport: asyncio.DatagramTransport | None = None
    _socket: socket.socket | None = None

    async def listen(self, address: Address) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        found = await loop.getaddrinfo(*address, type=socket.SOCK_DGRAM)
        family, kind, protocol, _, local_address = found[0]
        opened = socket.socket(family, kind, protocol)
        try:
            opened.setblocking(False)
            opened.bind(local_address)
        except OSError:
            opened.close()
            raise
        self._socket = opened
        await loop.create_datagram_endpoint(lambda: self, sock=opened)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the open socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Pass on the message of a datagram, and those of others that wait behind it."""
        self._pass_on(data, address)
        for _ in range(READ_MAX - 1):
            if self._socket is None or self._transport.is_closing():
                return
            try:
                data, address = self._socket.recvfrom(READ_BYTES_MAX)
            except OSError:
                return
            self._pass_on(data, address)

    def _pass_on(self, data: bytes, address: Address) -> None:
        """Decode a message and pass it on."""
        read = unpack_message(data)
        if isinstance(read, Success) and isinstance(read.unwrap(), UnknownMessage):
            self._skip(read.unwrap().kind, address)
            return
        self.handle(read, address)

    def _skip(self, kind: str, address: Address) -> None:
        """Count a message that only another build knows; the first of each kind is logged."""
        if kind not in self.unknown_kinds and len(self.unknown_kinds) < UNKNOWN_KINDS_MAX:
            self.unknown_kinds[kind] = 0
            log_event(LOG, logging.INFO, "message_kind_unknown", kind=kind, sender=address[0])
        if kind in self.unknown_kinds:
            self.unknown_kinds[kind] += 1

    def error_received(self, error: OSError) -> None:
        """Ignore that a peer's port is closed; unresponsive peers are detected elsewhere."""

    def send(self, message: Message, *addresses: Address) -> None:
        """Send a message, packed once, to each address; one that cannot be sent is left out."""
        if self._transport is None or self._transport.is_closing() or not addresses:
            return
        packed = pack_datagram(message)
        if isinstance(packed, Failure):
            kind = KIND_NAMES[type(message)]
            self.count_unsent(kind)
            log_event(LOG, logging.WARNING, "message_unsent", kind=kind, why=packed.failure())
            return
        for address in addresses:
            if is_address(address[:2]):
                self._transport.sendto(packed.unwrap(), address)
            else:
                # The event loop closes a socket for an address that is none.
                log_event(LOG, logging.WARNING, "address_unusable", address=repr(address))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
