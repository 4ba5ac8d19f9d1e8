"""Event streams cut into whole events, so that a stream can go on at another server."""

import re

from attrs import define

EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
EVENT_BYTES_MAX = 1_048_576
"""Longest event that is held until it is whole."""


@define
class EventSplitter:
    """Pass on whole events and remember the id of the last one; drop a cut event at a break."""

    last_id: str = ""
    events: int = 0
    _held: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are in, in order."""
        self._held += data
        end = max(self._find_end(mark) for mark in EVENT_ENDS)
        if end <= 0 and len(self._held) > EVENT_BYTES_MAX:
            end = len(self._held)
        if end <= 0:
            return b""
        whole, self._held = self._held[:end], self._held[end:]
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
            self.events += len(ids)
        return whole

    def flush(self) -> bytes:
        """Return what follows the last whole event of a stream that ended."""
        rest, self._held = self._held, b""
        return rest

    def drop_partial(self) -> None:
        """Forget the part of an event that came before a break."""
        self._held = b""

    def _find_end(self, mark: bytes) -> int:
        found = self._held.rfind(mark)
        return found + len(mark) if found >= 0 else -1
