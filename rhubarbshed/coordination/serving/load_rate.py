"""Limit of the loads that begin from the weight store, common to all order holders."""

import collections
import math

from attrs import define, field

CEILING_EXTRA_LOADS = 3
"""Loads that the platform's ceiling allows in a window beyond the rate."""

WINDOW_MARGIN_S = 0.3
"""Time added to a window, since a load begins some time after its order was sent."""


@define
class LoadRateLimiter:
    """Limiter of the loads that all order holders begin from the weight store.

    Together the `holders` may begin `limit` loads in `window_s`. While they all receive each
    other's messages, each counts the loads of all of them and leaves one load for each other holder
    whose last one may not be known yet. A holder that misses messages of another uses only its own
    part of the limit. One that does not know what its earlier process began starts none before
    `not_before` (monotonic seconds).
    """

    limit: int
    window_s: float
    holders: int
    not_before: float = -math.inf
    started: collections.deque[tuple[float, bool]] = field(factory=collections.deque)

    @classmethod
    def from_bounds(
        cls, loads_per_s: float, window_s: float, overage: float, holders: int
    ) -> "LoadRateLimiter":
        """Make a limiter from the platform's bounds, which allow three loads beyond the rate."""
        limit = int(loads_per_s * window_s * overage) + CEILING_EXTRA_LOADS - 1
        return cls(max(holders, limit), window_s, holders)

    def allows(self, sees_all_engines: bool, now: float) -> bool:
        """Return whether a load may begin."""
        if now < self.not_before:
            return False
        while self.started and self.started[0][0] <= now - self.window_s - WINDOW_MARGIN_S:
            self.started.popleft()
        own = sum(1 for _, is_own in self.started if is_own)
        if sees_all_engines:
            return len(self.started) + self.holders <= self.limit
        return own + 1 <= self.limit // self.holders

    def record_load(self, is_own: bool, now: float) -> None:
        """Record a load that begins."""
        self.started.append((now, is_own))
