"""Requests that reach an instance before it has read the store: wait for that, or refuse.

Load pattern: all instances lose power or are killed at the same moment, and callers go on. There is
nobody else whom a refused caller could ask, it asks again once at most, and the store answers a
starting instance within some tens of milliseconds. When it does not, callers are refused at once
from `START_WAIT_MAX_S` on.
"""

START_WAIT_MAX_S = 1.0
"""Time after the start in which requests wait for the configuration and the servers; callers leave
an instance that has not read them for as long."""

WAIT_FRACTION = 0.25
"""Fraction of a caller's time that the wait may take; the rest is for its answer, or for another
instance."""


def measure_start_wait(started_at: float, received_at: float, left_s: float, now: float) -> float:
    """Return the seconds for which a request may wait for the first read of the store, or 0.

    The instance accepts connections since `started_at`. The request came at `received_at` (all in
    monotonic seconds), and its caller leaves in `left_s`.
    """
    total_s = WAIT_FRACTION * (left_s + now - received_at)
    return max(0.0, min(started_at + START_WAIT_MAX_S, received_at + total_s) - now)
