"""Event streams split into complete events, so that another server can continue a stream."""

import enum
import re
from collections.abc import Mapping

import h11
from attrs import define, field

from rhubarbshed.transport.edge.channels import MalformedAnswerError

EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
FIELD = re.compile(rb"^[^:\r\n]", re.MULTILINE)
"""Beginning of a line that is neither empty nor a comment."""

EVENT_STREAM = b"text/event-stream"
ID_DIGITS_MAX = 18
"""Digits up to which an event's id is read as a number."""

EVENT_BYTES_MAX = 1_048_576
"""Longest event that is buffered until it is complete."""


TAIL_BYTES = max(map(len, EVENT_ENDS))
"""Last bytes of a stream that show whether an event ends there."""

BODILESS_STATUSES = (204, 304)
"""Statuses of answers that have no body, whatever their headers say."""


class Framing(enum.Enum):
    """What shows where an answer ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    NO_BODY = "no_body"
    CLOSE = "close"


def read_framing(method: bytes, response: h11.Response) -> Framing:
    """Return what shows where the answer to a request of `method` ends.

    With `CLOSE` it ends with its connection, as it also does if its server ends.
    """
    headers = dict(response.headers)
    if method == b"HEAD" or response.status_code in BODILESS_STATUSES:
        return Framing.NO_BODY
    if b"transfer-encoding" in headers:
        return Framing.CHUNKS
    return Framing.LENGTH if b"content-length" in headers else Framing.CLOSE


def check_stream_end(response: h11.Response, tail: bytes, resumed: bool) -> str:
    """Return why the end of a stream is not the end of its answer, "" if it is.

    `tail` are the last bytes. An answer with neither a length nor chunks ends with its connection,
    as it does if its server ends, so one without any event may have been broken off; only behind
    the events of an earlier server there may be none left.
    """
    headers = dict(response.headers)
    if tail and not tail.endswith(EVENT_ENDS) and is_event_stream(headers):
        return "the stream ended inside an event"
    is_framed = read_framing(b"GET", response) is not Framing.CLOSE
    return "" if tail or is_framed or resumed else "the stream ended without an event"


def is_event_stream(headers: Mapping[bytes, bytes]) -> bool:
    """Return whether a response says that it is a stream of events."""
    return read_media_type(headers) == EVENT_STREAM


def read_media_type(headers: Mapping[bytes, bytes]) -> bytes:
    """Return the media type of a response without its parameters, empty if it names none."""
    return headers.get(b"content-type", b"").split(b";", 1)[0].strip().lower()


def split_events(events: bytes) -> list[bytes]:
    """Return the events of a part of a stream, without the empty lines between them."""
    return events.replace(b"\r\n", b"\n").split(b"\n\n")


def read_id(event: bytes) -> str | None:
    """Return the id of an event, the last one if several lines have one, None if none has."""
    start = (b"\n" + event).rfind(b"\nid:")
    return EVENT_ID.match(event, start)[1].decode("latin-1") if start >= 0 else None


def find_first_id(events: bytes) -> str | None:
    """Return the id of the first of some whole events, empty if it has none.

    None if there are only comments, which servers send to keep a connection alive.
    """
    for event in split_events(events):
        if FIELD.search(event):
            return read_id(event) or ""
    return None


def has_event(data: bytes) -> bool:
    """Return whether an event of a stream ends in a piece of it."""
    return any(mark in data for mark in EVENT_ENDS)


def measure_step(before: str, after: str) -> int | None:
    """Return by how much an id is above the one before, None if one of them is not a number."""
    if any(not each.isdecimal() or len(each) > ID_DIGITS_MAX for each in (before, after)):
        return None
    return int(after) - int(before)


@define
class EventSplitter:
    """Splitter that passes on complete events and keeps the last id; a partial event is dropped.

    `counts_up` is set while the ids seen so far rise by one. The first event behind a break has to
    follow the last one, or it is not the rest of the stream.
    """

    last_id: str = ""
    events: int = 0
    counts_up: bool = False
    _held: bytearray = field(factory=bytearray)
    _behind_break: bool = False

    def feed(self, data: bytes) -> bytes:
        """Return the events that are complete, in order.

        Raise `MalformedAnswerError` if they are not the rest of a stream that broke off.
        """
        # What is held contains no end, so a new one ends in the new bytes.
        start = max(0, len(self._held) + 1 - TAIL_BYTES)
        self._held += data
        end = max(self._find_end(mark, start) for mark in EVENT_ENDS)
        if end <= 0 and len(self._held) > EVENT_BYTES_MAX:
            end = len(self._held)
        if end <= 0:
            return b""
        complete = bytes(self._held[:end])
        if self._behind_break:
            self._check_rest(complete)
        del self._held[:end]
        for event_id in map(read_id, split_events(complete)):
            if event_id is not None:
                self._record_id(event_id)
        return complete

    def _check_rest(self, complete: bytes) -> None:
        first = find_first_id(complete)
        if first is None:
            return
        if not first:
            raise MalformedAnswerError("an event without an id in place of the rest of a stream")
        step = measure_step(self.last_id, first)
        if step is None:
            follows = first != self.last_id
        else:
            follows = step == 1 or (step > 0 and not self.counts_up)
        if not follows:
            raise MalformedAnswerError(f"event {first[:20]} behind event {self.last_id[:20]}")
        self._behind_break = False

    def _record_id(self, event_id: str) -> None:
        if self.events:
            is_next = measure_step(self.last_id, event_id) == 1
            self.counts_up = is_next and (self.counts_up or self.events == 1)
        self.last_id = event_id
        self.events += 1

    def flush(self) -> bytes:
        """Return what follows the last complete event of a stream that ended."""
        rest = bytes(self._held)
        self._held.clear()
        return rest

    def drop_partial(self) -> None:
        """Discard the part of an event that arrived before a break."""
        self._held.clear()
        self._behind_break = self.events > 0

    def _find_end(self, mark: bytes, start: int) -> int:
        found = self._held.rfind(mark, start)
        return found + len(mark) if found >= 0 else -1
