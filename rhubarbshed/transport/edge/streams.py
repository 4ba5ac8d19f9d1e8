"""Event streams split into complete events, so that another server can continue a stream."""

import enum
import re
from collections.abc import Mapping

import h11
from attrs import define

EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
EVENT_STREAM = b"text/event-stream"
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
    return headers.get(b"content-type", b"").strip().lower().startswith(EVENT_STREAM)


def has_event(data: bytes) -> bool:
    """Return whether an event of a stream ends in a piece of it."""
    return any(mark in data for mark in EVENT_ENDS)


@define
class EventSplitter:
    """Splitter that passes on complete events and keeps the last id; a partial event is dropped."""

    last_id: str = ""
    events: int = 0
    _held: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that are complete, in order."""
        self._held += data
        end = max(self._find_end(mark) for mark in EVENT_ENDS)
        if end <= 0 and len(self._held) > EVENT_BYTES_MAX:
            end = len(self._held)
        if end <= 0:
            return b""
        complete, self._held = self._held[:end], self._held[end:]
        ids = EVENT_ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
            self.events += len(ids)
        return complete

    def flush(self) -> bytes:
        """Return what follows the last complete event of a stream that ended."""
        rest, self._held = self._held, b""
        return rest

    def drop_partial(self) -> None:
        """Discard the part of an event that arrived before a break."""
        self._held = b""

    def _find_end(self, mark: bytes) -> int:
        found = self._held.rfind(mark)
        return found + len(mark) if found >= 0 else -1
