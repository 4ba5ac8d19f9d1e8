"""Server-sent events of an engine's stream, checked as they arrive."""

import http.client
import json
import re

from attrs import define, field, frozen
from urllib3.exceptions import HTTPError

from rhubarbshed.protocol.message_checks import is_number
from rhubarbshed.protocol.requests import AttemptEnd, AttemptResult, Dispatch

READ_BYTES = 65536
# Length up to which the start of an event is kept; an event has one token.
EVENT_BYTES_MAX = 262_144
EVENT_END = b"\n\n"
EVENT_PREFIX = b"data: "
EVENT_DONE = b"data: [DONE]"
EVENT_HEAD = re.compile(rb'data: \{"id": ?"([0-9A-Za-z-]+)", ?"offset": ?([0-9]{1,15})[,}]')
EVENT_CANCELLED = re.compile(rb'"finish_reason": ?"cancelled"')
ERRORS = (HTTPError, http.client.HTTPException, OSError)


@frozen
class Piece:
    """Complete events of a stream as received, and the number of tokens in them."""

    data: bytes
    tokens: int


@define
class Attempt:
    """State of one attempt; `offset` is the offset of the next expected token.

    `waiting_since` is when the current wait for an event began, in monotonic seconds; `skipped` is
    the number of events received that the caller has already.
    """

    dispatch: Dispatch
    offset: int
    first_token_at: float | None = None
    waiting_since: float = 0.0
    skipped: int = 0
    status: int = 0
    retry_after_s: float | None = None

    @classmethod
    def from_dispatch(cls, dispatch: Dispatch) -> "Attempt":
        """Start an attempt at the offset where an earlier one was cut off."""
        return cls(dispatch, dispatch.resume_offset)

    def make_result(self, end: AttemptEnd, now: float) -> AttemptResult:
        """Return the result of the attempt for a given end."""
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
    """Buffer of the start of an event that has not completely arrived, after `events` others."""

    rest: bytearray = field(factory=bytearray)
    events: int = 0

    def feed(self, data: bytes, attempt: Attempt) -> tuple[Piece, AttemptEnd | None]:
        """Add received bytes; return the new events, and the stream's end if it is reached."""
        searched = max(0, len(self.rest) - len(EVENT_END) + 1)
        self.rest += data
        if self.rest.find(EVENT_END, searched) < 0:
            is_long = len(self.rest) > EVENT_BYTES_MAX
            return Piece(b"", 0), AttemptEnd.BROKEN if is_long else None
        *events, rest = bytes(self.rest).split(EVENT_END)
        self.rest = bytearray(rest)
        self.events += len(events)
        piece, whole, done = _check_events(events, attempt)
        if not whole:
            return piece, AttemptEnd.BROKEN
        return piece, AttemptEnd.DONE if done else None


def _check_events(events: list[bytes], attempt: Attempt) -> tuple[Piece, bool, bool]:
    """Return the new events, whether all events were valid and in order, and whether it ended."""
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
            attempt.skipped += 1
            if attempt.skipped > attempt.offset:
                return Piece(b"".join(kept), tokens), False, False
            continue
        attempt.offset += 1
        tokens += 1
        kept.append(event + EVENT_END)
    return Piece(b"".join(kept), tokens), True, False


def _is_cancelled(event: bytes) -> bool:
    """Return whether an engine ended its answer early after a cancel, so that it is incomplete."""
    return b"cancelled" in event and EVENT_CANCELLED.search(event) is not None


def _read_offset(event: bytes, request_id: str) -> int | None:
    """Return an event's token offset, or None if it is another request's or malformed.

    The usual head is matched without parsing the JSON, since a stream has many events.
    """
    head = EVENT_HEAD.match(event)
    if head is not None:
        return int(head[2]) if head[1] == request_id.encode() else None
    if not event.startswith(EVENT_PREFIX):
        return None
    try:
        plain = json.loads(event[len(EVENT_PREFIX) :])
        is_own = plain["id"] == request_id and is_number(plain["offset"])
        return plain["offset"] if is_own else None
    except (RecursionError, ValueError, KeyError, TypeError):
        return None
