"""Connections to backend servers and to the store, each carrying one exchange at a time."""

import asyncio
import re
import time

import h11
import xxhash
from attrs import define, field

from rhubarbshed.protocol.exchanges import Headers
from rhubarbshed.protocol.statuses import is_final_status
from rhubarbshed.transport.edge.sockets import abort_with_reset, set_options

UNREAD_BYTES_MAX = 262_144
"""Bytes of a response buffered for a slow caller before reading from the server is paused."""

PIECE_BYTES = 8_192
"""Bytes of a response that are parsed before the other tasks of the loop have a turn."""

HEAD_BYTES_MAX = 16_384
"""Longest head of a response, to which a piece may come; servers send well below a kilobyte, and
each line takes some microseconds."""

REQUESTS_MAX = 128
"""Requests after which a connection is not used again, as it keeps digests of their ids."""

EVENTS_IN_ROW_MAX = 64
"""Events of buffered bytes after which the other tasks of the loop have a turn; each takes some
tens of microseconds, and one server may delay the other callers by 20 ms at most."""

UNUSED_BYTES_MAX = 65_536
UNUSED_BODY_S = 0.05
"""Bytes and time in which a body that decides nothing has to end for its connection to be kept."""

INTERIM_HEADS_MAX = 16
"""Interim responses after which a server is not expected to send a final one."""

KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")

Event = h11.Response | h11.InformationalResponse | h11.Data | h11.EndOfMessage


class ChannelError(Exception):
    """Connection that broke, or bytes that are not a valid response."""


class NotListeningError(ChannelError):
    """Address at which nobody listens."""


class NothingSentError(ChannelError):
    """Connection that ended before any byte of a request was sent on it."""


class MalformedAnswerError(ChannelError):
    """Bytes that are not a response of the protocol."""


@define(eq=False)
class Channel(asyncio.Protocol):
    """Connection that carries one exchange after another."""

    exchanges: int = 0
    received_bytes: int = 0
    idle_since: float = 0.0
    idle_max_s: float | None = None
    _transport: asyncio.Transport | None = None
    _parser: h11.Connection | None = None
    _request: h11.Request | None = None
    _waiter: asyncio.Future | None = None
    _waits_since: float = 0.0
    _error: Exception | None = None
    _lost: Exception | None = None
    _closed: bool = False
    _ended: bool = False
    _received: bytearray = field(factory=bytearray)
    _events_in_row: int = 0
    _request_digests: set[int] = field(factory=set)
    _drained: asyncio.Event = field(factory=asyncio.Event)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start using an open connection."""
        self._transport = transport
        self._drained.set()
        set_options(transport)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response; bytes outside an exchange make the connection unusable."""
        if self._parser is None:
            self.abort()
            return
        self.received_bytes += len(data)
        self._received += data
        if len(self._received) > UNREAD_BYTES_MAX:
            self._transport.pause_reading()
        if self._waiter is not None:
            self._feed()
        self.wake()

    def connection_lost(self, error: Exception | None) -> None:
        """Record the end of the connection; a reset ends no response, nor loses what came first."""
        self._closed = True
        self._lost = error
        self._ended = error is None
        self._drained.set()
        self.wake()

    def pause_writing(self) -> None:
        """Record that the server does not read and the write buffer is full."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """Record that the write buffer has room again."""
        self._drained.set()

    def is_usable(self, now: float) -> bool:
        """Return whether another exchange may begin."""
        if self._closed or self._parser is not None or self.exchanges >= REQUESTS_MAX:
            return False
        return self.idle_max_s is None or now - self.idle_since < self.idle_max_s

    @property
    def has_news(self) -> bool:
        """Return whether bytes have come that nobody has read, or the connection has ended."""
        return bool(self._received) or self._closed

    def has_carried(self, request_id: str) -> bool:
        """Return whether an attempt of a request was sent on this connection.

        Another one would expect the same id again, which an extra response to the first one bears.
        """
        return hash_id(request_id) in self._request_digests

    def start(
        self, method: bytes, target: bytes, headers: Headers, body: bytes, request_id: str = ""
    ) -> None:
        """Send a complete request; raise `NothingSentError` if the connection has ended already.

        The transport sends at once while its buffer is empty, so that it closes within the write
        only if the kernel took nothing. A server resets connections over its cap as it accepts
        them, also those that are open here already.
        """
        self.exchanges += 1
        self._request_digests.add(hash_id(request_id))
        self._request = h11.Request(method=method, target=target, headers=list(headers))
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES_MAX)
        data = self._parser.send(self._request)
        if body:
            data += self._parser.send(h11.Data(data=body))
        data += self._parser.send(h11.EndOfMessage())
        if self._closed or self._transport.is_closing():
            raise NothingSentError("the connection is closed")
        is_first = self._transport.get_write_buffer_size() == 0
        self._transport.write(data)
        if is_first and self._transport.is_closing():
            raise NothingSentError("the connection was reset before the request")

    async def receive(self) -> Event:
        """Return the next event of the response; give way after each `EVENTS_IN_ROW_MAX`."""
        if self._events_in_row >= EVENTS_IN_ROW_MAX:
            self._events_in_row = 0
            # Before an event is taken, as one would be lost if its reader were cancelled here.
            await asyncio.sleep(0)
        self._events_in_row += 1
        while True:
            event = self._next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._received:
                self._events_in_row = 1
                await asyncio.sleep(0)
                self._feed()
                continue
            if self._ended and not self._parser.trailing_data[1]:
                self._parser.receive_data(b"")
                continue
            if self._closed:
                raise ChannelError(f"the connection broke: {self._lost}")
            self._waiter = asyncio.get_running_loop().create_future()
            self._waits_since = time.monotonic()
            try:
                await self._waiter
            finally:
                self._waiter = None
            self._events_in_row = 1

    async def receive_final_head(self) -> h11.Response:
        """Return the next head that is not of an interim response."""
        for _ in range(INTERIM_HEADS_MAX):
            response = await self.receive()
            if isinstance(response, h11.Response):
                if not is_final_status(response.status_code):
                    raise MalformedAnswerError(f"{response.status_code} is no final status")
                return response
            if not isinstance(response, h11.InformationalResponse):
                raise MalformedAnswerError("body without a head")
        raise MalformedAnswerError("interim responses without an end")

    def measure_wait(self, now: float) -> float:
        """Return for how long bytes have been awaited; 0 while the response isn't read."""
        if self._waiter is None or self._waiter.done():
            return 0.0
        return now - self._waits_since

    def end_wait(self) -> None:
        """Make the wait for bytes raise `TimeoutError`."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(TimeoutError("no bytes in time"))

    def skip_answer(self) -> None:
        """Start a new parser after a complete response that belongs to another request."""
        trailing, _ = self._parser.trailing_data
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES_MAX)
        self._parser.send(self._request)
        if any(name == b"content-length" for name, _ in self._request.headers):
            length = int(dict(self._request.headers)[b"content-length"])
            if length:
                self._parser.send(h11.Data(data=b"\0" * length))
        self._parser.send(h11.EndOfMessage())
        if trailing:
            self._parser.receive_data(trailing)

    def finish(self, response: h11.Response, now: float) -> bool:
        """End an exchange after a complete response; return whether the connection is reusable."""
        parser, self._parser = self._parser, None
        trailing, closed = parser.trailing_data
        reusable = (
            not trailing
            and not self._received
            and not closed
            and not self._closed
            and parser.our_state is h11.DONE
            and parser.their_state is h11.DONE
            and self._transport.get_write_buffer_size() == 0
        )
        if not reusable:
            self.abort()
            return False
        self.idle_since = now
        self.idle_max_s = _read_idle_max(response)
        return True

    def abort(self) -> None:
        """Close at once, which ends the work of a server on an unfinished request.

        After a regular end of the connection the server could still read the request, and might
        notice the end only as it writes its response.
        """
        self._closed = True
        if self._error is None:
            self._error = ChannelError("aborted by this instance")
        if self._transport is None:
            return
        if self._parser is not None:
            abort_with_reset(self._transport)
        else:
            self._transport.abort()

    def _next_event(self) -> Event:
        if self._error is not None:
            raise ChannelError(f"the connection broke: {self._error}")
        try:
            event = self._parser.next_event()
        except h11.RemoteProtocolError as error:
            if self._closed:
                raise ChannelError(f"the response was cut off: {error}") from error
            raise MalformedAnswerError(str(error)) from error
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            raise ChannelError("the connection ended without a response")
        return event

    def _feed(self) -> None:
        """Let the parser have the next piece; reading goes on once all were taken."""
        piece = self._received[:PIECE_BYTES]
        del self._received[:PIECE_BYTES]
        self._parser.receive_data(piece)
        if not self._received and not self._closed:
            self._transport.resume_reading()

    def wake(self) -> None:
        """Let whoever waits for bytes look at the state of the connection."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _read_idle_max(response: h11.Response) -> float | None:
    for name, value in response.headers:
        if name == b"keep-alive":
            found = KEEP_ALIVE_TIMEOUT.search(value)
            if found is not None:
                return float(found[1])
    return None


def hash_id(request_id: str) -> int:
    """Return a digest of a request's id, which its caller makes as long as a head may be."""
    return xxhash.xxh3_64_intdigest(request_id.encode(errors="surrogatepass"))
