"""Server-sent events of an engine's stream, checked as they arrive."""

import http.client
import json
import re

from attrs import define, frozen
from urllib3.exceptions import HTTPError

from rhubarbshed.protocol.requests import AttemptEnd, AttemptResult, Dispatch

READ_BYTES = 65536
EVENT_END = b"\n\n"
EVENT_PREFIX = b"data: "
EVENT_DONE = b"data: [DONE]"
EVENT_HEAD = re.compile(rb'data: \{"id": ?"([0-9A-Za-z-]+)", ?"offset": ?([0-9]+)[,}]')
EVENT_CANCELLED = re.compile(rb'"finish_reason": ?"cancelled"')
ERRORS = (HTTPError, http.client.HTTPException, OSError)


@frozen
class Piece:
    """Hold whole events of a stream as they arrived, with the tokens they bring."""

    data: bytes
    tokens: int


@define
class Attempt:
    """Hold the state of one attempt; `offset` is the next token awaited.

    `waiting_since` is when the present wait for bytes began, in monotonic seconds.
    """

    dispatch: Dispatch
    offset: int
    first_token_at: float | None = None
    waiting_since: float = 0.0
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


@define
class EventBuffer:
    """Hold the start of an event that has not arrived whole."""

    rest: bytes = b""

    def feed(self, data: bytes, attempt: Attempt) -> tuple[Piece, AttemptEnd | None]:
        """Take in bytes; return the new events, and the end of the stream where it is reached."""
        *events, self.rest = (self.rest + data).split(EVENT_END)
        piece, whole, done = _check_events(events, attempt)
        if not whole:
            return piece, AttemptEnd.BROKEN
        return piece, AttemptEnd.DONE if done else None


def _check_events(events: list[bytes], attempt: Attempt) -> tuple[Piece, bool, bool]:
    """Return the events that are new, whether all belong here in order, and whether it ended."""
    kept: list[bytes] = []
    tokens = 0
    for event in events:
        if event == EVENT_DONE:
            kept.append(event + EVENT_END)
            return Piece(b"".join(kept), tokens), True, True
        offset = _read_offset(event, attempt.dispatch.request_id)
        if offset is None or offset > attempt.offset or _is_cancelled(event):
            return Piece(b"".join(kept), tokens), False, False
        if offset < attempt.offset:
            continue
        attempt.offset += 1
        tokens += 1
        kept.append(event + EVENT_END)
    return Piece(b"".join(kept), tokens), True, False


def _is_cancelled(event: bytes) -> bool:
    """Tell whether an engine ended its answer early, by a cancel; its end mark is no whole end."""
    return b"cancelled" in event and EVENT_CANCELLED.search(event) is not None


def _read_offset(event: bytes, request_id: str) -> int | None:
    """Return an event's token offset, or None where the event is another request's or malformed.

    The usual head is matched without parsing the whole event, which a stream has many of.
    """
    head = EVENT_HEAD.match(event)
    if head is not None:
        return int(head[2]) if head[1] == request_id.encode() else None
    if not event.startswith(EVENT_PREFIX):
        return None
    try:
        plain = json.loads(event[len(EVENT_PREFIX) :])
        return plain["offset"] if plain["id"] == request_id else None
    except (ValueError, KeyError, TypeError):
        return None
