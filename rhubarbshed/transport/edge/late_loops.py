"""Time limits that do not count the lateness of the event loop.

A loop that is late finds the end of a limit together with what came in time, and a timeout would
cancel the task that is about to read it.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

LATE_LOOP_MIN_S = 0.05
"""Delay of the event loop from which events may have come in time that were handled behind it."""


@contextlib.asynccontextmanager
async def limit_time(timeout_s: float) -> AsyncIterator[None]:
    """Raise `TimeoutError` if the block takes too long.

    A loop that is late at the end of the time grants once more the time by which it is late.
    """
    loop = asyncio.get_running_loop()
    due_at = loop.time() + timeout_s
    async with asyncio.timeout(None) as limit:

        def expire() -> None:
            late_s = loop.time() - due_at
            limit.reschedule(loop.time() + (late_s if late_s >= LATE_LOOP_MIN_S else 0.0))

        handle = loop.call_at(due_at, expire)
        try:
            yield
        finally:
            handle.cancel()
