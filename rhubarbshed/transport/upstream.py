"""Exchanges with backend servers: one attempt of a request, carried by a worker thread."""

import http.client
import json
import time
from collections.abc import Iterator

import urllib3
from attrs import define, frozen
from urllib3.exceptions import HTTPError

from rhubarbshed.protocol.answers import WholeAnswer
from rhubarbshed.protocol.calls import Call
from rhubarbshed.protocol.requests import AttemptEnd, AttemptResult, Dispatch
from rhubarbshed.transport.connections import CONNECT_TIMEOUT_S, Address, Channel, Connections
from rhubarbshed.transport.http import INSTANCE_HEADER

READ_BYTES = 65536
EVENT_END = b"\n\n"
EVENT_PREFIX = b"data: "
EVENT_DONE = b"data: [DONE]"
# An engine answers so where it has not run the request.
STATUSES_NOT_RUN = (404, 429, 503)
STATUS_OK = 200
ERRORS = (HTTPError, http.client.HTTPException, OSError)


@frozen
class Piece:
    """Hold whole events of a stream as they arrived, with the tokens they bring."""

    data: bytes
    tokens: int


@define
class Attempt:
    """Hold the state of one attempt; `offset` is the next token awaited."""

    dispatch: Dispatch
    offset: int
    first_token_at: float | None = None
    status: int = 0
    retry_after_s: float | None = None

    @classmethod
    def from_dispatch(cls, dispatch: Dispatch) -> "Attempt":
        """Start an attempt where an earlier one was cut off."""
        return cls(dispatch, dispatch.resume_offset)

    def make_result(self, end: AttemptEnd, now: float) -> AttemptResult:
        """Tell how the attempt ended."""
        return AttemptResult(
            request_id=self.dispatch.request_id,
            attempt=self.dispatch.attempt,
            backend_server=self.dispatch.backend_server,
            end=end,
            at=now,
            status=self.status,
            tokens=self.offset - self.dispatch.resume_offset,
            first_token_at=self.first_token_at,
            retry_after_s=self.retry_after_s,
        )


@frozen
class Carrier:
    """Hold what all exchanges of an instance need."""

    connections: Connections
    instance: str
    answer_bytes_max: int

    def fetch(self, attempt: Attempt, call: Call) -> WholeAnswer | AttemptEnd:
        """Carry a request and its whole answer; blocks the calling thread."""
        channel = self._take(attempt, call)
        opened = self._open(channel, attempt, call)
        if isinstance(opened, AttemptEnd):
            return opened
        try:
            body = _read_body(opened, self.answer_bytes_max)
        except ERRORS as error:
            return self._fail(channel, error)
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
        return WholeAnswer(opened.status, opened.headers.get("Content-Type", ""), body)

    def stream(self, attempt: Attempt, call: Call) -> Iterator[Piece | WholeAnswer | AttemptEnd]:
        """Carry a request and yield its stream; the last item tells how it ended.

        A `WholeAnswer` comes in place of a stream where the server refused the request as wrong.
        """
        channel = self._take(attempt, call)
        opened = self._open(channel, attempt, call)
        if isinstance(opened, AttemptEnd):
            yield opened
            return
        finished = False
        try:
            if attempt.status == STATUS_OK:
                yield from _read_pieces(opened, channel, attempt)
            else:
                yield self._read_refusal(opened, attempt)
            finished = True
        except ERRORS as error:
            yield self._fail(channel, error)
        finally:
            if finished and opened.closed:
                self._finish(channel)
            else:
                channel.connection.close()

    def _take(self, attempt: Attempt, call: Call) -> Channel:
        """Take a connection; a request that must not run twice gets one that was never used."""
        address = Address(attempt.dispatch.host, attempt.dispatch.port)
        return self.connections.take(address, time.monotonic(), fresh=not call.request.idempotent)

    def _open(
        self, channel: Channel, attempt: Attempt, call: Call
    ) -> urllib3.HTTPResponse | AttemptEnd:
        connection = channel.connection
        try:
            if connection.is_closed:
                connection.timeout = CONNECT_TIMEOUT_S
                connection.connect()
        except ERRORS:
            connection.close()
            return AttemptEnd.NOT_SENT
        try:
            connection.timeout = attempt.dispatch.first_byte_timeout_s
            connection.request(
                call.method,
                call.path,
                body=call.body,
                headers=_make_headers(self.instance, attempt, call),
                preload_content=False,
                decode_content=False,
            )
            response = connection.getresponse()
        except ERRORS as error:
            return self._fail(channel, error)
        attempt.status = response.status
        attempt.retry_after_s = _read_retry_after(response)
        return response

    def _read_refusal(
        self, response: urllib3.HTTPResponse, attempt: Attempt
    ) -> WholeAnswer | AttemptEnd:
        body = _read_body(response, self.answer_bytes_max)
        if body is None:
            return AttemptEnd.BROKEN
        if _is_refusal(attempt):
            return AttemptEnd.REFUSED
        if attempt.status // 100 == 4:
            return WholeAnswer(attempt.status, response.headers.get("Content-Type", ""), body)
        return AttemptEnd.BROKEN

    def _finish(self, channel: Channel) -> None:
        self.connections.give_back(channel, time.monotonic())

    def _fail(self, channel: Channel, error: Exception) -> AttemptEnd:
        """Close a connection whose exchange was cut off, and its idle siblings if it was silent."""
        channel.connection.close()
        if not _is_timeout(error):
            return AttemptEnd.BROKEN
        self.connections.drop_server(channel.address)
        return AttemptEnd.TIMED_OUT


def _is_timeout(error: Exception) -> bool:
    return isinstance(error, TimeoutError | urllib3.exceptions.TimeoutError)


def _is_refusal(attempt: Attempt) -> bool:
    return attempt.status in STATUSES_NOT_RUN


def _make_headers(instance: str, attempt: Attempt, call: Call) -> dict[str, str]:
    request = call.request
    headers = {
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
    while data := response.read1(READ_BYTES):
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


def _read_pieces(
    response: urllib3.HTTPResponse, channel: Channel, attempt: Attempt
) -> Iterator[Piece | AttemptEnd]:
    """Yield whole events until the stream's end mark; anything else is a broken stream."""
    rest = b""
    while data := response.read1(READ_BYTES):
        if attempt.first_token_at is None:
            attempt.first_token_at = time.monotonic()
            channel.connection.sock.settimeout(attempt.dispatch.gap_timeout_s)
        *events, rest = (rest + data).split(EVENT_END)
        piece, whole, done = _check_events(events, attempt)
        if piece.data:
            yield piece
        if not whole:
            yield AttemptEnd.BROKEN
            return
        if done:
            _read_to_end(response)
            yield AttemptEnd.DONE
            return
    yield AttemptEnd.BROKEN


def _read_to_end(response: urllib3.HTTPResponse) -> None:
    """Read the end of the chunked body, so that the connection can be used again."""
    while response.read1(READ_BYTES):
        pass


def _check_events(events: list[bytes], attempt: Attempt) -> tuple[Piece, bool, bool]:
    """Return the events that are new, whether all belong here in order, and whether it ended."""
    kept: list[bytes] = []
    tokens = 0
    for event in events:
        if event == EVENT_DONE:
            kept.append(event + EVENT_END)
            return Piece(b"".join(kept), tokens), True, True
        offset = _read_offset(event, attempt.dispatch.request_id)
        if offset is None or offset > attempt.offset:
            return Piece(b"".join(kept), tokens), False, False
        if offset < attempt.offset:
            continue
        attempt.offset += 1
        tokens += 1
        kept.append(event + EVENT_END)
    return Piece(b"".join(kept), tokens), True, False


def _read_offset(event: bytes, request_id: str) -> int | None:
    """Return an event's token offset, or None where the event is another request's or malformed."""
    if not event.startswith(EVENT_PREFIX):
        return None
    try:
        plain = json.loads(event[len(EVENT_PREFIX) :])
        return plain["offset"] if plain["id"] == request_id else None
    except (ValueError, KeyError, TypeError):
        return None
