"""Connections of callers: requests in, responses out, one at a time on each."""

import asyncio
import functools
import logging
import math
import time
from collections.abc import Awaitable, Callable

import h11
from attrs import define, field, frozen

from rhubarbshed.protocol.exchanges import Headers
from rhubarbshed.protocol.routes import CallerLimits
from rhubarbshed.transport.edge.connection_logs import CloseLog, CloseReason, ConnectionState
from rhubarbshed.transport.edge.parsing_turns import ParsingTurns
from rhubarbshed.transport.edge.received_bytes import ReceivedBytes
from rhubarbshed.transport.edge.request_limits import (
    FindExcess,
    LimitCheck,
    find_excess_bytes,
    measure_announced,
    measure_head,
    measure_left,
)
from rhubarbshed.transport.edge.sockets import (
    UNACKNOWLEDGED_MS,
    abort_with_reset,
    set_options,
)
from rhubarbshed.util.logs import log_event
from rhubarbshed.util.sockets import (
    count_unread_bytes,
    has_peer_closed,
    has_unread_bytes,
    measure_silence,
)

LOG = logging.getLogger(__name__)

PIPELINED_BYTES_MAX = 65_536
"""Bytes of later requests above which nothing is read while one is being answered."""

UNSENT_BYTES_MAX = 4_194_304
"""Bytes of answers that their caller has not read above which its next request waits: as many as a
request has at the most, by default."""

PARSED_BYTES = 16_384
"""Bytes that the parser gets at once, as what it has not used is copied to be measured."""

TURN_S = 0.001
"""Time for which the bytes of one of the connections with more to parse are parsed in a pass of the
event loop: a twentieth of what all that one party sends may delay the requests of others."""

EVENTS_AT_ONCE = 8
"""Steps of the parser that what arrives gets at once: enough for a request in one piece, so that it
doesn't wait behind the turns of others."""

DISCARD_S = 0.5
"""Time for which what a caller still sends is read and discarded before a close."""

FIRST_REQUEST_S = 1.0
"""Time that a new connection has for its first request as the instance stops: its caller is about
to send one, and clients give up a request that nobody has read for as long."""

CLOSED_RETRY_S = 0.05
"""Time after which a caller may repeat a request that met the close of its connection."""

NO_ROOM_RETRY_S = 1.0
"""Time after which a caller may repeat a request for which there was no room."""

PARSED_HEAD_BYTES_MAX = 16_777_216
"""Bound of the parser for a head in parts, above all limits that an operator sets: those may change
while a connection is open, and are checked as bytes of a head arrive."""

PAUSED_CHECK_INTERVAL_S = 0.1
"""Time between two checks for the end of a connection that is not read."""

NO_ROOM = "there is no room for more requests; ask again"

REASON_PHRASES = {
    400: b"Bad Request",
    403: b"Forbidden",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

Handler = Callable[["CallerConnection", h11.Request, bytes, float], Awaitable[None]]


@frozen
class Disconnect:
    """End of a caller's connection, seen at `at` (monotonic seconds) with bytes still unsent.

    `kind` is "end" for a regular one and "reset" for one with an error.
    """

    kind: str
    at: float
    unsent_bytes: int


@define(eq=False)
class CallerConnection(asyncio.Protocol):
    """Connection of one caller that passes each request, complete, to `handle`.

    `is_closing` returns whether callers should connect elsewhere after this response, `is_refusing`
    whether further requests are refused. A peer that `may_pause` is given up after the idle time
    without reading, another one as a silent server is. `requests` counts those read completely, the
    last at `read_at`; `sent_bytes` were written since then. `active_at` is when bytes were last
    read or an answer ended. `answered_bytes` are in the body of the request in progress, and what
    follows it is refused if `_rest_refused`. `close_reason` is why this side closed, at
    `closed_at`, and `late_bytes` arrived after that, the first at `late_at`.
    """

    handle: Handler
    read_limits: Callable[[], CallerLimits]
    limit_check: LimitCheck
    is_closing: Callable[[], bool]
    is_refusing: Callable[[], bool]
    connections: set["CallerConnection"]
    close_log: CloseLog | None = None
    may_pause: bool = False
    received: ReceivedBytes = field(factory=ReceivedBytes)
    turns: ParsingTurns = field(factory=ParsingTurns)
    task: asyncio.Task | None = None
    disconnect: Disconnect | None = None
    opened_at: float = 0.0
    read_at: float = 0.0
    requests: int = 0
    sent_bytes: int = 0
    active_at: float = 0.0
    close_reason: CloseReason | None = None
    closed_at: float = 0.0
    late_bytes: int = 0
    late_at: float = 0.0
    answered_bytes: int = 0
    _transport: asyncio.Transport | None = None
    _parser: h11.Connection | None = None
    _request: h11.Request | None = None
    _begun_at: float = 0.0
    _head_begun: bool = False
    _body: bytearray = field(factory=bytearray)
    _unparsed: bytearray = field(factory=bytearray)
    _timer: asyncio.TimerHandle | None = None
    _paused_check: asyncio.TimerHandle | None = None
    _writable: asyncio.Event = field(factory=asyncio.Event)
    _close_after: bool = False
    _answering: bool = False
    _ending: bool = False
    _rest_refused: bool = False
    _limit_wait: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request."""
        self._transport = transport
        self.opened_at = self.active_at = time.monotonic()
        limits = self.read_limits()
        silence_ms = round(limits.idle_timeout_s * 1000) if self.may_pause else 0
        set_options(transport, max(silence_ms, UNACKNOWLEDGED_MS))
        self._parser = make_parser()
        self._writable.set()
        self.connections.add(self)
        self._set_timer(limits.header_timeout_s)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a request."""
        if self._ending or (self._close_after and not self._answering):
            self.late_at = self.late_at or time.monotonic()
            self.late_bytes += len(data)
            return
        if self._rest_refused:
            return
        self.active_at = time.monotonic()
        self._unparsed += data
        if self not in self.turns:
            self._read()
        self._limit_reading()

    def eof_received(self) -> bool:
        """Treat the caller's end of the connection as a disconnect.

        Work in progress ends at once: `connection_lost` follows only when all bytes are sent.
        """
        self._note_disconnect("end")
        if self.task is not None and not self._ending:
            self.cancel_work()
            abort_with_reset(self._transport)
        return False

    def notice_disconnect(self) -> bool:
        """End the work if the caller has disconnected, even if that is not read yet.

        Return whether it has; the task that does the work is then cancelled at its next wait.
        """
        if self.is_open and not has_peer_closed(self._transport.get_extra_info("socket")):
            return False
        self.eof_received()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the work for a caller that has disconnected."""
        self._note_disconnect("end" if error is None else "reset")
        self._cancel_timer()
        self.turns.remove(self)
        self.received.record(self, 0, 0)
        if self.late_bytes and self.close_log is not None:
            self.close_log.record_late_bytes(self, time.monotonic())
        self.connections.discard(self)
        self._writable.set()
        self.cancel_work()
        if self._limit_wait is not None:
            self._limit_wait.cancel()

    def pause_writing(self) -> None:
        """Make `wait_writable` wait while the caller does not read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let `wait_writable` return, and answer what waits for the caller to read."""
        self._writable.set()
        self._record_received()
        if self._answering or self._close_after or not self.unparsed_bytes:
            return
        if self._limit_wait is not None:
            return
        self._set_timer(self.read_limits().idle_timeout_s)
        self.turns.add(self)

    @property
    def is_idle(self) -> bool:
        """Return whether no request has begun to arrive, and none is being refused."""
        if self._answering or self._close_after:
            return False
        return self._request is None and not self.unparsed_bytes

    def is_fresh(self, now: float) -> bool:
        """Return whether the first request of a new connection may still be on its way."""
        return self.requests == 0 and now - self.opened_at < FIRST_REQUEST_S

    @property
    def is_receiving(self) -> bool:
        """Return whether a request has arrived in part."""
        return not self._answering and not self.is_idle and not self._close_after

    @property
    def is_ended(self) -> bool:
        """Return whether all is written, and only what the caller still sends is discarded."""
        return self._ending and not self._transport.get_write_buffer_size()

    @property
    def is_answered(self) -> bool:
        """Return whether the response to the current request is complete."""
        return self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE, h11.SEND_BODY)

    @property
    def state(self) -> ConnectionState:
        """Return how far the request that arrives or is answered has got."""
        if self._answering:
            return ConnectionState.ANSWERING
        if self._request is not None:
            return ConnectionState.BODY
        return ConnectionState.HEAD if self.unparsed_bytes else ConnectionState.IDLE

    @property
    def unparsed_bytes(self) -> int:
        """Return the number of bytes that were read and belong to no whole head or body yet."""
        return len(self._parser.trailing_data[0]) + len(self._unparsed)

    @property
    def may_give_up(self) -> bool:
        """Return whether what is held for no request in progress may be given up, once."""
        return not self._close_after and not self._rest_refused

    @property
    def unread_bytes(self) -> int:
        """Return the number of bytes that the kernel holds for this connection."""
        return count_unread_bytes(self._transport.get_extra_info("socket"))

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes that were written and that the kernel has not taken yet."""
        return self._transport.get_write_buffer_size()

    @property
    def peer(self) -> str:
        """Return the address that the connection comes from."""
        host, port, *_ = self._transport.get_extra_info("peername") or ("", 0)
        return f"{host}:{port}"

    @property
    def peer_host(self) -> str:
        """Return the IP address that the connection comes from, "" if it is closed."""
        return (self._transport.get_extra_info("peername") or ("",))[0]

    @property
    def is_open(self) -> bool:
        """Return whether the caller can still be answered."""
        return self._transport is not None and not self._transport.is_closing()

    def close(self, reason: CloseReason) -> None:
        """Close the connection after what has been written."""
        self._record_close(reason)
        self._transport.close()

    def end(self, reason: CloseReason, status: int = 0) -> None:
        """Close the connection once what was written has had time to arrive.

        A close with unread bytes resets the connection, which may destroy an answer on its way, so
        what the caller still sends is read and discarded first.
        """
        if self._ending or not self.is_open:
            return
        self._record_close(reason, status)
        self._ending = self._close_after = True
        self._drop_unanswered()
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(DISCARD_S, self._transport.close)
        self._transport.resume_reading()
        # Sent at once: the socket is closed in a later pass of the event loop.
        try:
            self._transport.write_eof()
        except OSError as error:
            log_event(LOG, logging.DEBUG, "caller_left", caller=self.peer, reason=str(error))
            self._transport.close()

    def end_now(self) -> None:
        """Close the connection if all is written and its answer complete, else reset it."""
        if self.is_ended:
            self._transport.close()
        else:
            self.abort(CloseReason.CUT_OFF)

    def close_idle(self) -> None:
        """Close the connection if it is idle, also with regard to bytes that are not read yet.

        They may be a whole request, which a close would reset; it is answered once it is read.
        """
        if self.is_idle and not has_unread_bytes(self._transport.get_extra_info("socket")):
            self._end_idle(CloseReason.DRAIN, 503)

    def abort(self, reason: CloseReason) -> None:
        """Reset the connection, so that an unfinished response does not look complete."""
        self._record_close(reason)
        abort_with_reset(self._transport)

    async def wait_writable(self) -> None:
        """Wait until the caller has read most of what was written."""
        await self._writable.wait()

    def send_head(self, status: int, headers: Headers, length: int | None) -> None:
        """Begin a response, chunked if its length is not known."""
        pairs = list(headers)
        if length is not None:
            pairs.append((b"content-length", str(length).encode()))
        if self._close_after or self.is_closing():
            pairs.append((b"connection", b"close"))
        reason = REASON_PHRASES.get(status, b"OK" if status == 200 else b"")
        head = h11.Response(status_code=status, headers=pairs, reason=reason)
        self._write(self._parser.send(head))

    def send_data(self, data: bytes) -> None:
        """Send a piece of the body."""
        if data:
            self._write(self._parser.send(h11.Data(data=data)))

    def send_end(self) -> None:
        """End a complete response."""
        self._write(self._parser.send(h11.EndOfMessage()))

    def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response at once."""
        self.send_head(status, headers, len(body))
        self._send_body(body)
        self.send_end()

    def refuse(self, status: int, reason: str, retry_after_s: float | None = None) -> None:
        """Answer a request that cannot be read; discard what its caller still sends, and close."""
        if self._close_after:
            return
        self._cancel_timer()
        self._close_after = True
        try:
            if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                text = reason.encode("ascii", "replace") + b"\n"
                headers = [(b"content-type", b"text/plain")]
                if retry_after_s is not None:
                    headers.append(make_retry_header(retry_after_s))
                self.send_head(status, tuple(headers), len(text))
                self._send_body(text)
        finally:
            self.end(CloseReason.REFUSED, status)

    def take_turn(self) -> None:
        """Parse more of what arrived earlier."""
        if self.is_open:
            self._read(TURN_S)
            self._limit_reading()

    def give_up_unanswered(self) -> None:
        """Refuse the request that arrives, or those behind the one that is being answered."""
        if self._answering:
            self._rest_refused = True
            self._drop_unanswered()
            self._pause_reading()
        else:
            self.refuse(503, NO_ROOM, NO_ROOM_RETRY_S)

    def cancel_work(self) -> None:
        """Cancel the work on the request in progress, at its next wait."""
        if self.task is not None and not self.task.cancelling():
            self.task.cancel()

    def _send_body(self, body: bytes) -> None:
        """Send the body of a response of a known length, which a HEAD request does not get."""
        if self._request is None or self._request.method != b"HEAD":
            self.send_data(body)

    def _record_close(self, reason: CloseReason, status: int = 0) -> None:
        """Record a close of this side, once; one that follows the caller's is not ours."""
        if self.close_reason is not None or self.disconnect is not None or not self.is_open:
            return
        self.close_reason, self.closed_at = reason, time.monotonic()
        if self.close_log is not None:
            self.close_log.record_close(self, reason, status, self.closed_at)

    def _write(self, data: bytes) -> None:
        self.sent_bytes += len(data)
        self._transport.write(data)

    def _note_disconnect(self, kind: str) -> None:
        if self.disconnect is None:
            self.disconnect = Disconnect(kind, time.monotonic(), self.unsent_bytes)

    def _read(self, time_s: float = 0.0) -> None:
        """Parse what has arrived; a body gets its time anew in each turn that adds to it."""
        body_bytes = len(self._body)
        try:
            self._read_events(time.monotonic() + time_s)
        except h11.RemoteProtocolError as error:
            self.refuse(error.error_status_hint, str(error))
        if len(self._body) > body_bytes and not self._close_after:
            self._set_timer(self.read_limits().idle_timeout_s)

    def _drop_unanswered(self) -> None:
        """Forget what is held and not of a request in progress."""
        self._unparsed.clear()
        self._body = bytearray()
        self.turns.remove(self)
        self._record_received()

    def _make_room(self) -> None:
        """Give up what is not of a request in progress while all hold too much; it may be this."""
        self._record_received()
        while (excess := self.received.find_excess()) is not None:
            excess.give_up_unanswered()

    def _record_received(self) -> None:
        unread_answers = 0 if self._writable.is_set() else self.unsent_bytes
        unanswered = self.unparsed_bytes + len(self._body)
        self.received.record(self, unanswered, self.answered_bytes + unread_answers)

    @property
    def _may_parse(self) -> bool:
        """Return whether another request may be read: there is room for its answer, too."""
        if self._answering or self._close_after or self._limit_wait is not None:
            return False
        has_room = self.unsent_bytes <= UNSENT_BYTES_MAX and self.received.has_room
        return has_room or self._writable.is_set()

    def _read_events(self, until: float) -> None:
        steps = 0
        while self._may_parse:
            if steps >= EVENTS_AT_ONCE and time.monotonic() >= until:
                self.turns.add(self)
                return
            steps += 1
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                self._limit_head()
                if self._limit_wait is not None:
                    return
                if self._close_after or not self._unparsed:
                    self._continue_body()
                    return
                self._parser.receive_data(self._unparsed[:PARSED_BYTES])
                del self._unparsed[:PARSED_BYTES]
            elif isinstance(event, h11.Request):
                self._begin(event)
            elif isinstance(event, h11.Data):
                self._add_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._answer()
            else:
                self.close(CloseReason.LAST_ANSWER)
                return

    def _continue_body(self) -> None:
        """Let a caller send the body that it has announced."""
        if not self._close_after and self._parser.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._parser.send(interim))

    def _limit_head(self) -> None:
        """Refuse a head, or one of a chunk, that is too long so far.

        A request's head that has begun gets its own time, not what is left of the idle time.
        """
        length = len(self._parser.trailing_data[0])
        if length and self._request is None and not self._head_begun:
            self._head_begun = True
            self._set_timer(self.read_limits().header_timeout_s)
        self._limit(functools.partial(find_excess_bytes, length, 0))

    def _begin(self, request: h11.Request) -> None:
        limits = self.read_limits()
        self._request = request
        self._head_begun = False
        # What its caller has waited while it was in the kernel, as during a start, counts too.
        silence_s = measure_silence(self._transport.get_extra_info("socket"))
        self._begun_at = time.monotonic() - silence_s
        self._body = bytearray()
        names = [name for name, _ in request.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            self.refuse(400, "both a length and chunks")
            return
        self._set_timer(limits.idle_timeout_s)
        announced = measure_announced(request)
        self._limit(functools.partial(find_excess_bytes, measure_head(request), announced))

    def _add_body(self, data: bytearray) -> None:
        self._body += data
        self._limit(functools.partial(find_excess_bytes, 0, len(self._body)))

    def _limit(self, find_excess: FindExcess) -> None:
        """Refuse a request that is beyond a limit.

        Nothing more of it is read while a limit that may be out of date is confirmed.
        """
        excess = find_excess(self.read_limits())
        if excess is None:
            return
        if self.limit_check.is_recent:
            self._refuse_long(*excess)
        else:
            self._limit_wait = asyncio.create_task(self._confirm_limit(find_excess))

    async def _confirm_limit(self, find_excess: FindExcess) -> None:
        """Go on with a request once the limit that it is beyond is confirmed or raised."""
        if self._close_after:
            self._limit_wait = None
            return
        # The time for a head or a body does not pass while it is not read.
        self._cancel_timer()
        now = time.monotonic()
        left_s = measure_left(self._request, self._begun_at, now) if self._request else math.inf
        await self.limit_check.confirm(left_s)
        self._limit_wait = None
        if self._close_after or not self.is_open:
            return
        limits = self.read_limits()
        excess = find_excess(limits)
        if excess is None:
            self._set_timer(limits.idle_timeout_s if self._request else limits.header_timeout_s)
            self._read()
            self._limit_reading()
        elif self.limit_check.is_recent:
            self._refuse_long(*excess)
        else:
            error = self.limit_check.make_refusal(time.monotonic())
            self._refuse_long(error.status, f"{error.code}: {error.message}", error.retry_after_s)

    def _refuse_long(self, status: int, reason: str, retry_after_s: float | None = None) -> None:
        self.limit_check.log_refusal(status, self.peer)
        self.refuse(status, reason, retry_after_s)

    def _answer(self) -> None:
        self._make_room()
        if self._close_after:
            return
        self._cancel_timer()
        self._answering = True
        self.read_at = time.monotonic()
        self.requests += 1
        self.sent_bytes = 0
        body = bytes(self._body)
        self.answered_bytes = len(body)
        self._body = bytearray()
        work = self.handle(self, self._request, body, self._begun_at)
        self.task = asyncio.get_running_loop().create_task(work)
        self.task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task) -> None:
        self.task = None
        self._answering = False
        self._request = None
        self.answered_bytes = 0
        self.active_at = time.monotonic()
        if not self.is_open or self._ending:
            return
        if task.cancelled() or task.exception() is not None:
            self.abort(CloseReason.ABORTED if task.cancelled() else CloseReason.DEFECT)
            if not task.cancelled():
                loop = asyncio.get_running_loop()
                loop.call_exception_handler({"message": "defect", "exception": task.exception()})
            return
        if self._parser.our_state is not h11.DONE or self._parser.their_state is not h11.DONE:
            self._end_answered()
            return
        if self._rest_refused:
            self._parser = make_parser()
            self.refuse(503, NO_ROOM, NO_ROOM_RETRY_S)
            return
        self._parser.start_next_cycle()
        self._set_timer(self.read_limits().idle_timeout_s)
        self._read()
        self._limit_reading()
        if self.is_refusing():
            self.close_idle()

    def _end_answered(self) -> None:
        """End the connection behind its last answer; refuse a request that this instance has read.

        Such a request was sent before the caller knew that the connection would close.
        """
        is_unread = self.unparsed_bytes > 0
        if is_unread and self.is_closing() and self._parser.our_state is h11.MUST_CLOSE:
            self._parser = make_parser()
            self.refuse(503, "this connection is closing; ask again", CLOSED_RETRY_S)
        self.end(CloseReason.LAST_ANSWER)

    def _end_idle(self, reason: CloseReason, status: int) -> None:
        """Close the connection; refuse a request that is on its way, as nothing of it will be read.

        The refusal has no body, as the method of that request is not known.
        """
        if not self.is_open:
            return
        self._close_after = True
        self.send_head(status, (make_retry_header(CLOSED_RETRY_S),), 0)
        self.end(reason, status)

    def _limit_reading(self) -> None:
        """Read on unless more is held than may be, here or by all connections."""
        self._make_room()
        # What the parser holds alone is a head in part, which has a limit of its own.
        is_full = bool(self._unparsed) and self.unparsed_bytes > PIPELINED_BYTES_MAX
        if self._rest_refused or is_full or self._limit_wait is not None:
            self._pause_reading()
        else:
            self._transport.resume_reading()

    def _pause_reading(self) -> None:
        if self._ending:
            return
        self._transport.pause_reading()
        if self._paused_check is None:
            self._watch_paused()

    def _watch_paused(self) -> None:
        """Look for the caller's end of the connection while it is not read."""
        self._paused_check = None
        if not self.is_open or self._transport.is_reading():
            return
        if self.notice_disconnect():
            self._transport.close()
            return
        self._paused_check = asyncio.get_running_loop().call_later(
            PAUSED_CHECK_INTERVAL_S, self._watch_paused
        )

    def _set_timer(self, after_s: float) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(after_s, self._time_out)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _time_out(self) -> None:
        self._timer = None
        if self.is_idle:
            self._end_idle(CloseReason.IDLE_TIME, 408)
        else:
            self.refuse(408, "the request took too long to arrive")


def make_parser() -> h11.Connection:
    """Return a parser of a caller's requests."""
    return h11.Connection(h11.SERVER, max_incomplete_event_size=PARSED_HEAD_BYTES_MAX)


def make_retry_header(after_s: float) -> tuple[bytes, bytes]:
    """Return the header that states when a request may be sent again."""
    return (b"retry-after", f"{after_s:.3f}".encode())
