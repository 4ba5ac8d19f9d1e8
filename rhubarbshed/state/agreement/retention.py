"""Age of rows by marks in the table: revisions recorded at least an interval apart."""

import math

from attrs import define, field, frozen

MARK_INTERVAL_S = 3600.0
"""Time between two marks, by the clock of the instance that writes them."""
MARKS_MAX = 1000
CLOCK_DRIFT_RATIO_MAX = 0.02


@frozen
class RetentionMarks:
    """Revisions of the table, oldest first, recorded at least `MARK_INTERVAL_S` apart.

    A row last written at or before a mark is at least `MARK_INTERVAL_S` old per later mark.
    """

    revisions: tuple[int, ...] = field(factory=tuple)

    def add(self, revision: int) -> "RetentionMarks":
        """Return the marks with one more; the oldest are dropped beyond `MARKS_MAX`."""
        return RetentionMarks((*self.revisions, revision)[-MARKS_MAX:])

    def find_limit(self, age_s: float) -> int:
        """Return the newest revision that is certainly older than `age_s`; 0 if none is."""
        later = math.ceil(age_s / MARK_INTERVAL_S)
        if later >= len(self.revisions):
            return 0
        return self.revisions[-1 - later]


@define
class Retention:
    """When this instance first saw the marks unchanged, and which partition is scanned next."""

    version: int | None = None
    seen_at: float = 0.0
    read_at: float = 0.0
    partition: int = 0

    def observe(self, version: int, now: float, gap_max_s: float) -> None:
        """Record the marks row's version; a change or a gap in reads restarts the interval."""
        if version != self.version or now - self.read_at > gap_max_s:
            self.version, self.seen_at = version, now
        self.read_at = now

    def is_mark_due(self, now: float) -> bool:
        """Return whether an interval has certainly passed since the last mark was written."""
        return now - self.seen_at >= MARK_INTERVAL_S * (1 + CLOCK_DRIFT_RATIO_MAX)
