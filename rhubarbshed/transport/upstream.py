"""Client for backend servers: runs one attempt of a request on a worker thread."""

import functools
import json
import math
import socket
import time
from collections.abc import Iterator

import urllib3
from attrs import field, frozen

from rhubarbshed.protocol.answers import BufferedResponse
from rhubarbshed.protocol.calls import Call
from rhubarbshed.protocol.requests import AttemptEnd
from rhubarbshed.transport.caller_watch import wait_for_answer
from rhubarbshed.transport.connections import (
    CONNECT_TIMEOUT_S,
    Address,
    Channel,
    ConnectionPool,
    make_stream_channel,
)
from rhubarbshed.transport.events import ERRORS, READ_BYTES, Attempt, EventBuffer, Piece
from rhubarbshed.transport.http import INSTANCE_HEADER
from rhubarbshed.transport.open_sockets import OpenSockets
from rhubarbshed.transport.races import (
    STATUS_OK,
    STATUSES_NOT_RUN,
    Race,
    RunningAttempt,
    find_failure,
    wait_for_first_token,
)
from rhubarbshed.transport.stream_relay import CallerConnection, RelayedStream, StreamRelay
from rhubarbshed.transport.timeouts import set_timeouts
from rhubarbshed.util.sockets import has_peer_closed

REQUEST_ID_HEADER = "X-Request-Id"
# Fraction of a timeout that must have passed for a failure to count as a timeout.
TIMEOUT_ELAPSED_RATIO = 0.95
# Bytes and time in which a body that decides nothing has to end for its connection to be kept.
UNUSED_BYTES_MAX = 65_536
UNUSED_BODY_S = 0.05


@frozen
class UpstreamClient:
    """HTTP client for backend servers, shared by the worker threads of an instance.

    `answer_bytes_max` is the maximum size of a response body that is buffered.
    """

    connections: ConnectionPool
    stream_relay: StreamRelay
    instance: str
    answer_bytes_max: int
    open_sockets: OpenSockets = field(factory=OpenSockets)

    def fetch(
        self, attempt: Attempt, call: Call, caller_connection: CallerConnection | None = None
    ) -> BufferedResponse | AttemptEnd:
        """Send a request and return its complete response; blocks the calling thread.

        An idempotent request is abandoned if its caller disconnects; for others the outcome is kept
        in case the caller repeats the request.
        """
        watched = caller_connection if call.request.idempotent else None
        if watched is not None and has_peer_closed(watched.socket):
            return AttemptEnd.CALLER_GONE
        channel = self._take_channel(attempt, call)
        opened = self._open(channel, attempt, call, watched)
        if isinstance(opened, AttemptEnd):
            return opened
        named = opened.headers.get(REQUEST_ID_HEADER, "")
        if named not in ("", call.request.request_id):
            channel.connection.close()
            return AttemptEnd.BROKEN
        if call.request.model and not _is_body_needed(attempt):
            return self._skip_body(opened, channel, attempt, named)
        try:
            body = _read_body(opened, self.answer_bytes_max, _find_deadline(attempt))
        except ERRORS:
            return self._fail(channel, attempt)
        is_cut = body is None or self._is_cut_short(opened)
        if is_cut or (call.request.model and not _is_answer_to(body, attempt)):
            channel.connection.close()
            return AttemptEnd.BROKEN
        attempt.first_token_at = time.monotonic()
        self._finish(channel, named)
        return BufferedResponse(opened.status, opened.headers.get("Content-Type", ""), body)

    def stream(
        self, race: Race, call: Call, caller_connection: CallerConnection | None
    ) -> Iterator[Piece | BufferedResponse | AttemptEnd]:
        """Send a request and yield its stream; the last item is how `race.attempt` ended.

        Most of the stream goes to `caller_connection` without being yielded. If the server rejects
        the request as invalid (4xx), a `BufferedResponse` is yielded instead of a stream.
        """
        chosen = self._run(race, call, caller_connection)
        if isinstance(chosen, AttemptEnd):
            yield chosen
            return
        attempt, channel = chosen.attempt, chosen.channel
        opened = self._receive(channel, attempt)
        if isinstance(opened, AttemptEnd):
            yield opened
            return
        try:
            if attempt.status == STATUS_OK:
                yield from _read_pieces(
                    opened, channel, attempt, self.stream_relay, caller_connection
                )
            else:
                yield self._read_rejection(opened, attempt)
        except ERRORS:
            yield self._fail(channel, attempt)
        finally:
            opened.close()
            channel.connection.close()

    def _run(
        self, race: Race, call: Call, caller_connection: CallerConnection | None
    ) -> RunningAttempt | AttemptEnd:
        """Send a request; wait for its first token, or that of its hedge if it may be hedged."""
        if caller_connection is not None and has_peer_closed(caller_connection.socket):
            return AttemptEnd.CALLER_GONE
        started = self._start_attempt(race.attempt, call)
        if isinstance(started, AttemptEnd) or caller_connection is None:
            return started
        return self._await_first_token(started, race, call, caller_connection.socket)

    def _start_attempt(self, attempt: Attempt, call: Call) -> RunningAttempt | AttemptEnd:
        address = Address(attempt.dispatch.host, attempt.dispatch.port)
        channel = make_stream_channel(address, time.monotonic())
        end = self._send(channel, attempt, call)
        return RunningAttempt(attempt, channel) if end is None else end

    def _await_first_token(
        self, first: RunningAttempt, race: Race, call: Call, caller: socket.socket
    ) -> RunningAttempt | AttemptEnd:
        """Wait for a first token and start a hedge if due; set `race.attempt` to the one chosen.

        The worker thread of the caller waits for both attempts. Connecting to the server of the
        hedge blocks it no longer than any other connection attempt.
        """
        running = [first]
        hedge_after_s = first.attempt.dispatch.hedge_after_s
        hedge_at = first.attempt.waiting_since + hedge_after_s if hedge_after_s > 0 else None
        while True:
            next_timeout = min(running, key=RunningAttempt.find_timeout_at)
            until = min(next_timeout.find_timeout_at(), hedge_at or math.inf)
            found = wait_for_first_token(running, caller, until)
            if found is AttemptEnd.CALLER_GONE:
                return _abandon_attempts(running, race)
            if found is None and hedge_at is not None and time.monotonic() >= hedge_at:
                hedge_at = None
                running += self._start_hedge(race, call)
                continue
            end = AttemptEnd.TIMED_OUT if found is None else find_failure(found)
            found = found or next_timeout
            if end is None or len(running) == 1:
                _keep_winner(found, running, race)
                return found if end is not AttemptEnd.TIMED_OUT else self._fail(*found.parts)
            running.remove(found)
            self._fail(*found.parts)
            race.end(found.attempt, end)

    def _start_hedge(self, race: Race, call: Call) -> list[RunningAttempt]:
        """Start a second attempt if the loop allows one; return it, or an empty list."""
        dispatch = race.hedge()
        if dispatch is None:
            return []
        attempt = Attempt.from_dispatch(dispatch)
        started = self._start_attempt(attempt, call)
        if isinstance(started, RunningAttempt):
            return [started]
        race.end(attempt, started)
        return []

    def _take_channel(self, attempt: Attempt, call: Call) -> Channel:
        """Take a connection from the pool; a non-idempotent request gets an unused one."""
        request = call.request
        address = Address(attempt.dispatch.host, attempt.dispatch.port)
        now = time.monotonic()
        return self.connections.take(address, now, request.request_id, not request.idempotent)

    def _open(
        self,
        channel: Channel,
        attempt: Attempt,
        call: Call,
        caller_connection: CallerConnection | None = None,
    ) -> urllib3.HTTPResponse | AttemptEnd:
        end = self._send(channel, attempt, call)
        if end is None and caller_connection is not None:
            end = self._watch(channel, attempt, caller_connection)
        return end or self._receive(channel, attempt)

    def _send(self, channel: Channel, attempt: Attempt, call: Call) -> AttemptEnd | None:
        """Connect and send a request; return how the attempt ended if that failed."""
        connection = channel.connection
        try:
            if connection.is_closed:
                connection.timeout = CONNECT_TIMEOUT_S
                connection.connect()
        except ERRORS:
            connection.close()
            return AttemptEnd.NOT_SENT
        try:
            channel.sock = connection.sock
            if not self.open_sockets.add_server(channel.sock):
                connection.close()
                return AttemptEnd.NOT_SENT
            # With a value, urllib3 would set the socket's own timeout from it on each request.
            connection.timeout = None
            set_timeouts(channel.sock, attempt.dispatch.first_byte_timeout_s)
            attempt.waiting_since = time.monotonic()
            connection.request(
                call.method,
                call.path,
                body=call.body,
                headers=_make_headers(self.instance, attempt, call),
                preload_content=False,
                decode_content=False,
            )
        except ERRORS:
            return self._fail(channel, attempt)
        return None

    def _receive(self, channel: Channel, attempt: Attempt) -> urllib3.HTTPResponse | AttemptEnd:
        """Read the head of a response; `attempt` gets its status and Retry-After."""
        try:
            response = channel.connection.getresponse()
        except ERRORS:
            return self._fail(channel, attempt)
        attempt.status = response.status
        attempt.retry_after_s = _read_retry_after(response)
        return response

    def _watch(
        self, channel: Channel, attempt: Attempt, caller_connection: CallerConnection
    ) -> AttemptEnd | None:
        """Wait for a response while watching the caller; return an end if none will be read."""
        timeout_s = attempt.dispatch.first_byte_timeout_s
        failure = wait_for_answer(channel.sock, caller_connection.socket, timeout_s)
        if failure is AttemptEnd.TIMED_OUT:
            return self._fail(channel, attempt)
        if failure is not None:
            channel.connection.close()
        return failure

    def _read_rejection(
        self, response: urllib3.HTTPResponse, attempt: Attempt
    ) -> BufferedResponse | AttemptEnd:
        """Read the answer in place of a stream, if it is one for the caller."""
        if not _is_body_needed(attempt):
            return _find_end(attempt)
        body = _read_body(response, self.answer_bytes_max, _find_deadline(attempt))
        if body is None or self._is_cut_short(response):
            return AttemptEnd.BROKEN
        return BufferedResponse(attempt.status, response.headers.get("Content-Type", ""), body)

    def _skip_body(
        self, response: urllib3.HTTPResponse, channel: Channel, attempt: Attempt, named: str
    ) -> AttemptEnd:
        """Return how an attempt ended by its head; keep the connection if its body ends soon."""
        set_timeouts(channel.sock, UNUSED_BODY_S)
        try:
            body = _read_body(response, UNUSED_BYTES_MAX, time.monotonic() + UNUSED_BODY_S)
        except ERRORS:
            body = None
        if body is None or not _is_refusal(attempt):
            channel.connection.close()
        else:
            self._finish(channel, named)
        return _find_end(attempt)

    def _is_cut_short(self, response: urllib3.HTTPResponse) -> bool:
        """Return whether a body without framing may have ended by the shutting of its socket."""
        is_framed = response.chunked or "Content-Length" in response.headers
        return self.open_sockets.is_shut and not is_framed

    def _finish(self, channel: Channel, named: str) -> None:
        """Keep a connection unless its answer did not say to which request it belongs."""
        if named:
            self.connections.give_back(channel, time.monotonic())
        else:
            channel.connection.close()

    def _fail(self, channel: Channel, attempt: Attempt) -> AttemptEnd:
        """Close a failed connection; on a timeout, also the idle connections to the same server.

        Only the time waited identifies a timeout: to http.client a receive that timed out looks
        like the end of the stream.
        """
        channel.connection.close()
        dispatch = attempt.dispatch
        started = attempt.first_token_at is not None
        timeout_s = dispatch.gap_timeout_s if started else dispatch.first_byte_timeout_s
        if time.monotonic() - attempt.waiting_since < timeout_s * TIMEOUT_ELAPSED_RATIO:
            return AttemptEnd.BROKEN
        self.connections.drop_server(channel.address)
        return AttemptEnd.TIMED_OUT


def _keep_winner(winner: RunningAttempt, running: list[RunningAttempt], race: Race) -> None:
    """Continue with one attempt; close and give up the others."""
    race.attempt = winner.attempt
    for other in running:
        if other is not winner:
            other.channel.connection.close()
            race.give_up(other.attempt)


def _abandon_attempts(running: list[RunningAttempt], race: Race) -> AttemptEnd:
    """Give up all attempts of a caller that has disconnected."""
    _keep_winner(running[0], running, race)
    running[0].channel.connection.close()
    return AttemptEnd.CALLER_GONE


def _is_refusal(attempt: Attempt) -> bool:
    return attempt.status in STATUSES_NOT_RUN


def _is_body_needed(attempt: Attempt) -> bool:
    """Return whether an engine's answer may be one for the caller, which its head alone is not."""
    is_answer = attempt.status == STATUS_OK or attempt.status // 100 == 4
    return is_answer and not _is_refusal(attempt)


def _find_deadline(attempt: Attempt) -> float:
    """Return when an answer has to be whole; no wait has begun since the request was sent."""
    return attempt.waiting_since + attempt.dispatch.answer_timeout_s


def _find_end(attempt: Attempt) -> AttemptEnd:
    return AttemptEnd.REFUSED if _is_refusal(attempt) else AttemptEnd.BROKEN


def _make_headers(instance: str, attempt: Attempt, call: Call) -> dict[str, str]:
    request = call.request
    headers = {
        "Host": f"{attempt.dispatch.host}:{attempt.dispatch.port}",
        INSTANCE_HEADER: instance,
        REQUEST_ID_HEADER: request.request_id,
        "X-Priority": str(int(request.priority)),
    }
    if call.content_type:
        headers["Content-Type"] = call.content_type
    if attempt.offset:
        headers["X-Resume-Offset"] = str(attempt.offset)
    if request.idempotency_key:
        headers["Idempotency-Key"] = request.idempotency_key
    return headers


def _read_retry_after(response: urllib3.HTTPResponse) -> float | None:
    try:
        return float(response.headers["Retry-After"])
    except (KeyError, ValueError):
        return None


def _read_body(response: urllib3.HTTPResponse, bytes_max: int, until: float) -> bytes | None:
    """Return the complete body, or None if it is longer than `bytes_max` or ends after `until`.

    `until` is in monotonic seconds.
    """
    body = bytearray()
    while data := response.read1(READ_BYTES, decode_content=False):
        body += data
        if len(body) > bytes_max or time.monotonic() > until:
            return None
    return bytes(body)


def _is_answer_to(body: bytes, attempt: Attempt) -> bool:
    """Return whether an engine's response has the id of the request that was sent, or is a 4xx."""
    if attempt.status != STATUS_OK:
        return attempt.status // 100 == 4
    try:
        return json.loads(body).get("id") == attempt.dispatch.request_id
    except (AttributeError, RecursionError, ValueError):
        return False


def _iterate_body(response: urllib3.HTTPResponse) -> Iterator[bytes]:
    """Return an iterator over a body's bytes as they arrive."""
    return iter(functools.partial(response.read1, READ_BYTES), b"")


def _read_pieces(
    response: urllib3.HTTPResponse,
    channel: Channel,
    attempt: Attempt,
    stream_relay: StreamRelay,
    caller_connection: CallerConnection | None,
) -> Iterator[Piece | AttemptEnd]:
    """Yield complete events up to the stream's end mark; without it, the attempt ends as BROKEN.

    After the first piece the loop relays the stream, unless its caller reads slowly or its body is
    chunked: a partial chunk would block the loop.
    """
    buffer = EventBuffer()
    for data in _iterate_body(response):
        now = time.monotonic()
        if attempt.first_token_at is None:
            attempt.first_token_at = attempt.waiting_since = now
            set_timeouts(channel.sock, attempt.dispatch.gap_timeout_s)
        events = buffer.events
        piece, end = buffer.feed(data, attempt)
        if piece.data:
            yield piece
        if buffer.events > events:
            attempt.waiting_since = time.monotonic()
        elif end is None and now - attempt.waiting_since >= attempt.dispatch.gap_timeout_s:
            end = AttemptEnd.TIMED_OUT
        if end is None and caller_connection is not None and not response.chunked:
            relayed = RelayedStream(response, channel.sock, attempt, buffer, caller_connection)
            stream_relay.relay(relayed)
            if relayed.pending:
                yield Piece(relayed.pending, 0)
            end = relayed.end
            caller_connection = None if relayed.slow else caller_connection
        if end is not None:
            yield end
            return
    yield AttemptEnd.BROKEN
