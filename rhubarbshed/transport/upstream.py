"""Exchanges with backend servers: one attempt of a request, carried by a worker thread."""

import functools
import json
import math
import socket
import time
from collections.abc import Iterator

import urllib3
from attrs import frozen

from rhubarbshed.protocol.answers import BufferedResponse
from rhubarbshed.protocol.calls import Call
from rhubarbshed.protocol.requests import AttemptEnd
from rhubarbshed.transport.connections import (
    CONNECT_TIMEOUT_S,
    Address,
    Channel,
    Connections,
    make_stream_channel,
)
from rhubarbshed.transport.events import ERRORS, READ_BYTES, Attempt, EventBuffer, Piece
from rhubarbshed.transport.flows import CallerConnection, Flow, Flows
from rhubarbshed.transport.http import INSTANCE_HEADER
from rhubarbshed.transport.presence import wait_for_answer
from rhubarbshed.transport.races import (
    STATUS_OK,
    STATUSES_NOT_RUN,
    Race,
    Runner,
    find_failure,
    wait_for_token,
)
from rhubarbshed.transport.timeouts import set_timeouts

# Part of a timeout that must have passed for a failure to count as one.
TIMEOUT_SHARE = 0.95


@frozen
class Carrier:
    """Hold what all exchanges of an instance need."""

    connections: Connections
    flows: Flows
    instance: str
    answer_bytes_max: int

    def fetch(
        self, attempt: Attempt, call: Call, line: CallerConnection | None = None
    ) -> BufferedResponse | AttemptEnd:
        """Carry a request and its whole answer; blocks the calling thread.

        Idempotent work is given up where its caller goes away; the outcome of other work is kept
        for when the caller asks again.
        """
        channel = self._take(attempt, call)
        opened = self._open(channel, attempt, call, line if call.request.idempotent else None)
        if isinstance(opened, AttemptEnd):
            return opened
        try:
            body = _read_body(opened, self.answer_bytes_max)
        except ERRORS:
            return self._fail(channel, attempt)
        if body is None:
            channel.connection.close()
            return AttemptEnd.BROKEN
        if call.request.model and _is_refusal(attempt):
            self._finish(channel)
            return AttemptEnd.REFUSED
        if call.request.model and not _is_answer_to(body, attempt):
            channel.connection.close()
            return AttemptEnd.BROKEN
        attempt.first_token_at = time.monotonic()
        self._finish(channel)
        return BufferedResponse(opened.status, opened.headers.get("Content-Type", ""), body)

    def stream(
        self, race: Race, call: Call, line: CallerConnection | None
    ) -> Iterator[Piece | BufferedResponse | AttemptEnd]:
        """Carry a request and yield its stream; the last item tells how `race.attempt` ended.

        Most of the stream goes to the caller by `line`, without being yielded. A `BufferedResponse`
        comes in place of a stream where the server refused the request as wrong.
        """
        runner = self._run(race, call, line)
        if isinstance(runner, AttemptEnd):
            yield runner
            return
        attempt, channel = runner.attempt, runner.channel
        opened = self._receive(channel, attempt)
        if isinstance(opened, AttemptEnd):
            yield opened
            return
        try:
            if attempt.status == STATUS_OK:
                yield from _read_pieces(opened, channel, attempt, self.flows, line)
            else:
                yield self._read_refusal(opened, attempt)
        except ERRORS:
            yield self._fail(channel, attempt)
        finally:
            opened.close()
            channel.connection.close()

    def _run(self, race: Race, call: Call, line: CallerConnection | None) -> Runner | AttemptEnd:
        """Send a request and, where a hedge may be due, wait for the attempt to go on with."""
        started = self._start(race.attempt, call)
        if isinstance(started, AttemptEnd):
            return started
        if race.attempt.dispatch.hedge_after_s <= 0 or line is None:
            return started
        return self._await_first(started, race, call, line.socket)

    def _start(self, attempt: Attempt, call: Call) -> Runner | AttemptEnd:
        address = Address(attempt.dispatch.host, attempt.dispatch.port)
        channel = make_stream_channel(address, time.monotonic())
        end = self._send(channel, attempt, call)
        return Runner(attempt, channel) if end is None else end

    def _await_first(
        self, first: Runner, race: Race, call: Call, caller: socket.socket
    ) -> Runner | AttemptEnd:
        """Wait for a first token, from now on also that of a hedge; `race` gets the attempt.

        The caller's own thread waits for both attempts. A connection attempt to the hedge's
        server holds it up for no longer than any other.
        """
        runners = [first]
        hedge_at: float | None = first.attempt.waiting_since + first.attempt.dispatch.hedge_after_s
        while True:
            late = min(runners, key=Runner.find_timeout_at)
            until = min(late.find_timeout_at(), hedge_at or math.inf)
            found = wait_for_token(runners, caller, until)
            if found is AttemptEnd.CALLER_GONE:
                return _leave(runners, race)
            if found is None and hedge_at is not None and time.monotonic() >= hedge_at:
                hedge_at = None
                runners += self._start_hedge(race, call)
                continue
            end = AttemptEnd.TIMED_OUT if found is None else find_failure(found)
            found = found or late
            if end is None or len(runners) == 1:
                _settle(found, runners, race)
                return found if end is not AttemptEnd.TIMED_OUT else self._fail(*found.parts)
            runners.remove(found)
            self._fail(*found.parts)
            race.end(found.attempt, end)

    def _start_hedge(self, race: Race, call: Call) -> list[Runner]:
        """Start a second attempt where the loop allows one."""
        dispatch = race.hedge()
        if dispatch is None:
            return []
        attempt = Attempt.from_dispatch(dispatch)
        started = self._start(attempt, call)
        if isinstance(started, Runner):
            return [started]
        race.end(attempt, started)
        return []

    def _take(self, attempt: Attempt, call: Call) -> Channel:
        """Take a connection; a request that must not run twice gets one that was never used."""
        address = Address(attempt.dispatch.host, attempt.dispatch.port)
        return self.connections.take(address, time.monotonic(), fresh=not call.request.idempotent)

    def _open(
        self, channel: Channel, attempt: Attempt, call: Call, line: CallerConnection | None = None
    ) -> urllib3.HTTPResponse | AttemptEnd:
        end = self._send(channel, attempt, call)
        if end is None and line is not None:
            end = self._watch(channel, attempt, line)
        return end or self._receive(channel, attempt)

    def _send(self, channel: Channel, attempt: Attempt, call: Call) -> AttemptEnd | None:
        """Connect and send a request; return an end where that failed."""
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
            # urllib3 would set the socket's own timeout from this with each request.
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
        """Read the head of an answer."""
        try:
            response = channel.connection.getresponse()
        except ERRORS:
            return self._fail(channel, attempt)
        attempt.status = response.status
        attempt.retry_after_s = _read_retry_after(response)
        return response

    def _watch(
        self, channel: Channel, attempt: Attempt, line: CallerConnection
    ) -> AttemptEnd | None:
        """Wait for the answer and watch the caller; return an end where none will be read."""
        timeout_s = attempt.dispatch.first_byte_timeout_s
        vain = wait_for_answer(channel.sock, line.socket, timeout_s)
        if vain is AttemptEnd.TIMED_OUT:
            return self._fail(channel, attempt)
        if vain is not None:
            channel.connection.close()
        return vain

    def _read_refusal(
        self, response: urllib3.HTTPResponse, attempt: Attempt
    ) -> BufferedResponse | AttemptEnd:
        body = _read_body(response, self.answer_bytes_max)
        if body is None:
            return AttemptEnd.BROKEN
        if _is_refusal(attempt):
            return AttemptEnd.REFUSED
        if attempt.status // 100 == 4:
            return BufferedResponse(attempt.status, response.headers.get("Content-Type", ""), body)
        return AttemptEnd.BROKEN

    def _finish(self, channel: Channel) -> None:
        self.connections.give_back(channel, time.monotonic())

    def _fail(self, channel: Channel, attempt: Attempt) -> AttemptEnd:
        """Close a connection whose exchange was cut off, and its idle siblings if it was silent.

        The error itself does not tell: a receive that timed out looks to http.client like the end
        of the stream. The time waited does.
        """
        channel.connection.close()
        dispatch = attempt.dispatch
        started = attempt.first_token_at is not None
        timeout_s = dispatch.gap_timeout_s if started else dispatch.first_byte_timeout_s
        if time.monotonic() - attempt.waiting_since < timeout_s * TIMEOUT_SHARE:
            return AttemptEnd.BROKEN
        self.connections.drop_server(channel.address)
        return AttemptEnd.TIMED_OUT


def _settle(winner: Runner, runners: list[Runner], race: Race) -> None:
    """Go on with one attempt alone."""
    race.attempt = winner.attempt
    for other in runners:
        if other is not winner:
            other.channel.connection.close()
            race.give_up(other.attempt)


def _leave(runners: list[Runner], race: Race) -> AttemptEnd:
    """Give up all attempts of a caller that has gone."""
    _settle(runners[0], runners, race)
    runners[0].channel.connection.close()
    return AttemptEnd.CALLER_GONE


def _is_refusal(attempt: Attempt) -> bool:
    return attempt.status in STATUSES_NOT_RUN


def _make_headers(instance: str, attempt: Attempt, call: Call) -> dict[str, str]:
    request = call.request
    headers = {
        "Host": f"{attempt.dispatch.host}:{attempt.dispatch.port}",
        INSTANCE_HEADER: instance,
        "X-Request-Id": request.request_id,
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


def _read_body(response: urllib3.HTTPResponse, bytes_max: int) -> bytes | None:
    """Return the whole body, or None where it is longer than allowed."""
    pieces = []
    length = 0
    for data in response.stream(READ_BYTES, decode_content=False):
        length += len(data)
        if length > bytes_max:
            return None
        pieces.append(data)
    return b"".join(pieces)


def _is_answer_to(body: bytes, attempt: Attempt) -> bool:
    """Tell whether an engine's answer carries the id of the request that was sent."""
    if attempt.status != STATUS_OK:
        return attempt.status // 100 == 4
    try:
        return json.loads(body).get("id") == attempt.dispatch.request_id
    except (ValueError, AttributeError):
        return False


def _list_chunks(response: urllib3.HTTPResponse) -> Iterator[bytes]:
    """Yield a body's bytes as they arrive."""
    if response.chunked:
        return response.stream(READ_BYTES, decode_content=False)
    return iter(functools.partial(response.read1, READ_BYTES), b"")


def _read_pieces(
    response: urllib3.HTTPResponse,
    channel: Channel,
    attempt: Attempt,
    flows: Flows,
    line: CallerConnection | None,
) -> Iterator[Piece | AttemptEnd]:
    """Yield whole events until the stream's end mark; anything else is a broken stream.

    After the first piece the loop goes on with the stream, unless its body is chunked: half a
    chunk would make the loop wait.
    """
    buffer = EventBuffer()
    for data in _list_chunks(response):
        attempt.waiting_since = time.monotonic()
        if attempt.first_token_at is None:
            attempt.first_token_at = attempt.waiting_since
            set_timeouts(channel.sock, attempt.dispatch.gap_timeout_s)
        piece, end = buffer.take(data, attempt)
        if piece.data:
            yield piece
        if end is None and line is not None and not response.chunked:
            flow = Flow(response, channel.sock, attempt, buffer, line)
            flows.carry(flow)
            if flow.pending:
                yield Piece(flow.pending, 0)
            end, line = flow.end, None
        if end is not None:
            yield end
            return
    yield AttemptEnd.BROKEN
