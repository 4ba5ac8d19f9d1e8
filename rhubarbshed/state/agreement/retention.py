"""Age of rows by marks in the table: revisions noted at least an interval apart."""

import math

from attrs import define, field, frozen

MARK_INTERVAL_S = 3600.0
"""Time between two marks, in seconds by the clock of whoever writes them."""
MARKS_MAX = 1000
CLOCK_DRIFT_RATIO_MAX = 0.02


@frozen
class RetentionMarks:
    """Hold revisions of the table, oldest first, noted at least `MARK_INTERVAL_S` apart.

    A row last written at or before a mark is older than all the marks after it show.
    """

    revisions: tuple[int, ...] = field(factory=tuple)

    def add(self, revision: int) -> "RetentionMarks":
        """Return the marks with one more; the oldest give way."""
        return RetentionMarks((*self.revisions, revision)[-MARKS_MAX:])

    def find_limit(self, age_s: float) -> int:
        """Return the newest revision that is surely older than `age_s`; 0 if none is."""
        later = math.ceil(age_s / MARK_INTERVAL_S)
        if later >= len(self.revisions):
            return 0
        return self.revisions[-1 - later]


@define
class Retention:
    """Hold when this instance first saw the marks unchanged, and which part is looked at next."""

    version: int | None = None
    seen_at: float = 0.0
    read_at: float = 0.0
    partition: int = 0

    def observe(self, version: int, now: float, gap_max_s: float) -> None:
        """Take in the version of the marks' row; a change or a gap in reads starts anew."""
        if version != self.version or now - self.read_at > gap_max_s:
            self.version, self.seen_at = version, now
        self.read_at = now

    def is_mark_due(self, now: float) -> bool:
        """Tell whether an interval has surely passed since the last mark was written."""
        return now - self.seen_at >= MARK_INTERVAL_S * (1 + CLOCK_DRIFT_RATIO_MAX)
