"""Record of the origins of streams, kept for as long as a stream may be continued.

A stream's caller may try again at any instance, and the instance that relayed the first event may
be gone by then.
"""

from collections import OrderedDict

from attrs import define, field

from rhubarbshed.protocol.streams import StreamOrigin

KEEP_S = 60.0
"""Time for which an origin is kept: a stream can be continued for two timeouts of its route, and
the longest timeout is 20 s."""

RECORDS_MAX = 20_000
"""Most records; 4,000 streams a second leave 2,600 at each of 370 instances within `KEEP_S`."""


@define
class StreamOrigins:
    """Origins by stream id, the one recorded last at the end."""

    keep_s: float = KEEP_S
    records_max: int = RECORDS_MAX
    _records: OrderedDict[str, tuple[StreamOrigin, float]] = field(factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._records)

    def record(self, stream_id: str, origin: StreamOrigin, now: float) -> None:
        """Record a stream's origin; an id that is used again gets the new one."""
        self._records[stream_id] = (origin, now)
        self._records.move_to_end(stream_id)
        self.drop_old(now)

    def find(self, stream_id: str, now: float) -> StreamOrigin | None:
        """Return a stream's origin, None if it is unknown or its record too old."""
        origin, recorded_at = self._records.get(stream_id, (None, now))
        return origin if now - recorded_at <= self.keep_s else None

    def list_live(self, now: float) -> list[tuple[str, StreamOrigin]]:
        """List the streams that may still be continued, with their origins."""
        self.drop_old(now)
        return [(stream_id, origin) for stream_id, (origin, _) in self._records.items()]

    def drop_old(self, now: float) -> None:
        """Drop records that are too old or too many, the oldest first."""
        while self._records:
            _, recorded_at = next(iter(self._records.values()))
            if len(self._records) <= self.records_max and now - recorded_at <= self.keep_s:
                return
            self._records.popitem(last=False)
