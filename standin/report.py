"""Load report of an engine, with lag."""

from collections import deque
from typing import Any

from attrs import define, field

SNAPSHOT_S = 0.05
RATE_WINDOW_S = 1.0

Plain = dict[str, Any]


@define
class ReportHistory:
    """Load snapshots and token counts of an engine, oldest first."""

    lag_s: float
    snapshots: deque[tuple[float, Plain]] = field(factory=deque)
    token_counts: deque[tuple[float, int]] = field(factory=deque)

    def record(self, now: float, plain: Plain) -> None:
        """Record a snapshot and drop those that no later report needs."""
        self.snapshots.append((now, plain))
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= now - self.lag_s:
            self.snapshots.popleft()

    def find(self, now: float) -> tuple[float, Plain]:
        """Return the latest snapshot at least `lag_s` old, or the oldest one."""
        found = self.snapshots[0]
        for snapshot in self.snapshots:
            if snapshot[0] > now - self.lag_s:
                break
            found = snapshot
        return found

    def measure_rate(self, now: float, tokens: int) -> float:
        """Return the tokens per second over the last `RATE_WINDOW_S`."""
        self.token_counts.append((now, tokens))
        while len(self.token_counts) > 2 and self.token_counts[0][0] < now - RATE_WINDOW_S:
            self.token_counts.popleft()
        at, before = self.token_counts[0]
        return (tokens - before) / (now - at) if now > at else 0.0

    def clear(self) -> None:
        """Drop all snapshots and token counts."""
        self.snapshots.clear()
        self.token_counts.clear()
