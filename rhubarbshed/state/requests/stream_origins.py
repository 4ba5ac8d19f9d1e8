"""Record of the origins of streams, kept for as long as a stream may be continued.

A stream's caller may try again at any instance, and the instance that relayed the first event may
be gone by then.
"""

from collections import OrderedDict

from attrs import define, field

from rhubarbshed.protocol.streams import StreamOrigin

STREAM_AGE_MAX_S = 60.0
"""Age that a stream may have when it is taken up. The longest timeout of a route is 20 s, but one
may be lowered while its streams last, and callers may wait longer than it."""

KEEP_S = STREAM_AGE_MAX_S
"""Time for which an origin is kept."""

RECORDS_MAX = 20_000
"""Most records; 4,000 streams a second leave 2,600 at each of 370 instances within `KEEP_S`."""


@define
class StreamOrigins:
    """Origins by stream id, the one recorded last at the end.

    A record is an origin, a second one of the same service with another version if there was one,
    and the monotonic seconds at which it was recorded.
    """

    keep_s: float = KEEP_S
    records_max: int = RECORDS_MAX
    _records: OrderedDict[str, tuple[StreamOrigin, StreamOrigin | None, float]] = field(
        factory=OrderedDict
    )

    def __len__(self) -> int:
        return len(self._records)

    def record(self, stream_id: str, origin: StreamOrigin, now: float, age_s: float = 0.0) -> None:
        """Record a stream's origin; one of another service replaces what is known of the id.

        `age_s` is the time since another instance recorded it.
        """
        if age_s > self.keep_s:
            return
        known = self.list_origins(stream_id, now)
        rival = None
        if known and known[0].service == origin.service:
            # Two streams bear the id, and nobody can tell which of them a caller takes up.
            rival = next((each for each in (*known, origin) if each != known[0]), None)
            origin = known[0]
            age_s = min(age_s, self.find_age(stream_id, now))
        self._records[stream_id] = (origin, rival, now - age_s)
        self._records.move_to_end(stream_id)
        self.drop_old(now)

    def find(self, stream_id: str, now: float) -> StreamOrigin | None:
        """Return a stream's origin, None if it is unknown, too old, or one of two."""
        origins = self.list_origins(stream_id, now)
        return origins[0] if len(origins) == 1 else None

    def list_origins(self, stream_id: str, now: float) -> tuple[StreamOrigin, ...]:
        """List the origins recorded for an id: none, one, or two that differ in the version."""
        origin, rival, recorded_at = self._records.get(stream_id, (None, None, now))
        if origin is None or now - recorded_at > self.keep_s:
            return ()
        return (origin,) if rival is None else (origin, rival)

    def find_age(self, stream_id: str, now: float) -> float:
        """Return the seconds since an id was recorded, 0 if it is not."""
        *_, recorded_at = self._records.get(stream_id, (None, None, now))
        return now - recorded_at

    def list_live(self, now: float) -> list[tuple[str, StreamOrigin]]:
        """List the streams that may still be continued, with each of their origins."""
        self.drop_old(now)
        return [
            (stream_id, origin)
            for stream_id in self._records
            for origin in self.list_origins(stream_id, now)
        ]

    def drop_old(self, now: float) -> None:
        """Drop records that are too old or too many, the oldest first."""
        while self._records:
            _, _, recorded_at = next(iter(self._records.values()))
            if len(self._records) <= self.records_max and now - recorded_at <= self.keep_s:
                return
            self._records.popitem(last=False)
