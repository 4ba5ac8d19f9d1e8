"""Log lines to standard output, limited in rate and never blocking."""

import collections
import logging
import os
import time

from rhubarbshed.util.logs import PairFormatter, format_pairs

LINES_PER_S = 200.0
LINES_BURST = 1_000.0
"""Lines that a process may write, on average and at once; at about 300 bytes a line a log stays
under 60 KB/s. A loaded instance writes some tens a second."""

PENDING_BYTES_MAX = 1_048_576
"""Bytes that wait for a slow reader; above this, lines are dropped and counted."""


class BoundedHandler(logging.Handler):
    """Log handler that never blocks; lines over the limits are dropped, counted and reported."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.setFormatter(PairFormatter())
        self.tokens = LINES_BURST
        self.refilled_at = time.monotonic()
        self.pending: collections.deque[bytes] = collections.deque()
        self.pending_bytes = 0
        self.dropped = 0
        self.dropped_total = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one record, or drop it over the limits."""
        now = time.monotonic()
        self.tokens = min(LINES_BURST, self.tokens + LINES_PER_S * (now - self.refilled_at))
        self.refilled_at = now
        urgent = record.levelno >= logging.WARNING
        if (self.tokens < 1.0 and not urgent) or self.pending_bytes > PENDING_BYTES_MAX:
            self.dropped += 1
            self.dropped_total += 1
            return
        self.tokens -= 1.0
        if self.dropped:
            self._queue(format_pairs([("event", "lines_dropped"), ("count", self.dropped)]))
            self.dropped = 0
        try:
            self._queue(self.format(record))
        except (TypeError, ValueError):
            self.handleError(record)
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor accepts now."""
        while self.pending:
            try:
                written = os.write(self.descriptor, self.pending[0])
            except BlockingIOError:
                return
            except OSError:
                self.pending.clear()
                self.pending_bytes = 0
                return
            self.pending_bytes -= written
            if written < len(self.pending[0]):
                self.pending[0] = self.pending[0][written:]
                return
            self.pending.popleft()

    def _queue(self, line: str) -> None:
        data = line.encode("utf-8", "replace") + b"\n"
        self.pending.append(data)
        self.pending_bytes += len(data)


def start_bounded_logging(level: str) -> BoundedHandler:
    """Send logs of at least this level to standard output."""
    handler = BoundedHandler(1)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    return handler
