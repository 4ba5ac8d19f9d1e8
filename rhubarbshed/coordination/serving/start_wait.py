"""Requests that reach an instance before it has read the store: wait for that, or refuse.

Load pattern: all instances lose power or are killed at the same moment, and callers go on. There is
nobody else whom a refused caller could ask, it asks again once at most, and the store answers a
starting instance within some tens of milliseconds; asked by hundreds at once, it may have too many
calls for a moment. When it does not answer, callers are refused at once from `START_WAIT_MAX_S` on,
and as soon as it has failed the repetition of a read, too: a store that is away stays away for
longer than callers can wait, while a single call may fail at a sound one.

On a small or busy machine the start itself takes longer than the store: a request may have waited
in the kernel for most of its time. It still waits for a share of what is left, as the store's
answer is some milliseconds away, and nobody else could serve it sooner.
"""

from rhubarbshed.coordination.serving.refusals import NOT_READY_RETRY_S

START_WAIT_MAX_S = 1.0
"""Time after the first call to the store in which requests wait for the configuration and the
servers; callers leave an instance that has not read them for as long."""

WAIT_FRACTION = 0.25
"""Fraction of the time that a caller has left as its request is read that the wait may take; the
rest is for its answer, or for another instance."""

FAILED_READS_MAX = 2
"""Failed reads of one table in a row after which the store is taken to be away; the second one is
about 0.1 s after the start."""


def measure_start_wait(
    started_at: float, read_at: float, left_s: float, failed_reads: int, now: float
) -> float:
    """Return the seconds for which a request may wait for the first read of the store, or 0.

    The instance asks the store since `started_at`. The request was read at `read_at` (all in
    monotonic seconds), and its caller leaves in `left_s`. The store failed the last `failed_reads`.
    """
    if failed_reads >= FAILED_READS_MAX:
        return 0.0
    total_s = WAIT_FRACTION * (left_s + now - read_at)
    return max(0.0, min(started_at + START_WAIT_MAX_S, read_at + total_s) - now)


def estimate_first_read(next_read_at: float, now: float) -> float:
    """Return the seconds until a store that could not be read yet may have been.

    A failed read is repeated at `next_read_at` (monotonic seconds); asking sooner is in vain.
    """
    return max(NOT_READY_RETRY_S, next_read_at - now)
