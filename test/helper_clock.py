"""An event loop whose clock leaves out the time for which a busy machine delays its passes.

Tests with short timeouts otherwise measure the machine: a handshake takes a number of passes,
however long each of them takes.
"""

import asyncio
import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any

from attrs import define

PASS_MAX_S = 0.02
"""Time that one pass of the loop takes at most by its clock, and by which it is late at most."""


@define
class PassClock:
    """Monotonic clock of an event loop, in seconds, that counts `PASS_MAX_S` of a pass at most."""

    excluded_s: float = 0.0
    begun_at: float = 0.0
    selected_at: float = 0.0

    def read_now(self) -> float:
        """Return the time."""
        return min(time.monotonic() - self.excluded_s, self.begun_at + PASS_MAX_S)

    def end_pass(self) -> None:
        """Leave out what the pass took beyond the limit."""
        now = self.read_now()
        self.selected_at = time.monotonic()
        self.excluded_s = self.selected_at - now

    def begin_pass(self, timeout_s: float | None) -> None:
        """Leave out by what the wait for input exceeded its timeout beyond the limit."""
        waited_s = time.monotonic() - self.selected_at
        if timeout_s is not None:
            self.excluded_s += max(0.0, waited_s - max(0.0, timeout_s) - PASS_MAX_S)
        self.begun_at = time.monotonic() - self.excluded_s


class PassSelector(selectors.DefaultSelector):
    """Selector that informs a clock of the passes of its loop."""

    def __init__(self, clock: PassClock) -> None:
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> list:
        """Wait for input between two passes."""
        self.clock.end_pass()
        try:
            return super().select(timeout)
        finally:
            self.clock.begin_pass(timeout)


class PassLoop(asyncio.SelectorEventLoop):
    """Event loop with a clock of its own."""

    def __init__(self, clock: PassClock) -> None:
        self.clock = clock
        super().__init__(PassSelector(clock))

    def time(self) -> float:
        """Return the time by the clock."""
        return self.clock.read_now()


def run_by_clock(clock: PassClock, work: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine in a loop of its own with a clock."""
    clock.begin_pass(None)
    with asyncio.Runner(loop_factory=lambda: PassLoop(clock)) as runner:
        runner.run(work)


def play_by_clock(scene: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run an asynchronous test whose times are those of its loop, `read_loop_time`."""
    run_by_clock(PassClock(), scene())


def read_loop_time() -> float:
    """Return the time by the clock of the running loop."""
    return asyncio.get_running_loop().time()
