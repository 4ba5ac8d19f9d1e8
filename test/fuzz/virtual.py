"""Event loops on a virtual clock, one per instance, so that each can be paused or killed."""

import asyncio
import heapq
import itertools
import math
import sys
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any
from unittest import mock

from attrs import define, field

PACKAGE = "rhubarbshed.transport."


class VirtualLoop(asyncio.BaseEventLoop):
    """Event loop that runs its tasks when the timer calls it, at the timer's time.

    A blocking call meant for a thread runs on the loop after a drawn delay, and its result arrives
    after another, so that calls interleave and a pause can fall between their steps.
    """

    def __init__(self, timer: "Timer", draw_delay: Callable[[], float]):
        super().__init__()
        self.timer = timer
        self.draw_delay = draw_delay
        self._selector = SimpleNamespace(select=lambda timeout: [])
        self._clock_resolution = 1e-9
        self.set_exception_handler(lambda _, context: timer.defects.append(context))

    def time(self) -> float:
        return self.timer.now

    def _process_events(self, events: list) -> None:
        """Do nothing: there are no sockets."""

    def _write_to_self(self) -> None:
        """Do nothing: there are no threads to wake."""

    def run_in_executor(self, executor: Any, call: Callable[..., Any], *args: Any) -> Any:
        done = self.create_future()

        def answer(result: Any) -> None:
            if not done.done():
                done.set_result(result)

        def run() -> None:
            self.call_later(self.draw_delay(), answer, call(*args))

        self.call_later(self.draw_delay(), run)
        return done

    def find_due(self) -> float:
        """Return the time of the next work of this loop, infinite if it has none."""
        if self._ready:
            return self.timer.now
        return self._scheduled[0]._when if self._scheduled else math.inf

    def run_ready(self) -> None:
        """Run the callbacks that are ready now."""
        asyncio._set_running_loop(self)
        try:
            self._run_once()
        finally:
            asyncio._set_running_loop(None)


class DelayedEvent(asyncio.Event):
    """Event that is set after a delay, so that time passes when a task sets its own event."""

    def __init__(self, loop: VirtualLoop, delay_s: float):
        super().__init__()
        self.loop = loop
        self.delay_s = delay_s

    def set(self) -> None:
        self.loop.call_later(self.delay_s, super().set)


@define(eq=False)
class Timer:
    """Common clock, events outside the instances, and the loops that run."""

    now: float = 1000.0
    events: list = field(factory=list)
    tie_breakers: Any = field(factory=itertools.count)
    loops: list[VirtualLoop] = field(factory=list)
    defects: list[Any] = field(factory=list)
    patches: list[Any] = field(factory=list)

    def patch_time(self) -> None:
        """Replace the `time` module by this clock in all modules of the transport layer."""
        clock = SimpleNamespace(monotonic=lambda: self.now)
        modules = [m for name, m in sys.modules.items() if name.startswith(PACKAGE)]
        timed = [module for module in modules if hasattr(module, "time")]
        self.patches = [mock.patch.object(module, "time", clock) for module in timed]
        for patch in self.patches:
            patch.start()

    def close(self) -> None:
        for patch in self.patches:
            patch.stop()
        for loop in self.loops:
            loop.close()

    def call_later(self, delay_s: float, action: Callable[[], Any]) -> None:
        heapq.heappush(self.events, (self.now + delay_s, next(self.tie_breakers), action))

    def run_until(self, end: float) -> None:
        """Run events and loops in order of time up to `end`."""
        while True:
            due = [(loop.find_due(), number) for number, loop in enumerate(self.loops)]
            first, number = min(due, default=(math.inf, 0))
            event_at = self.events[0][0] if self.events else math.inf
            if min(first, event_at) > end:
                break
            self.now = max(self.now, min(first, event_at))
            if event_at <= first:
                heapq.heappop(self.events)[2]()
            else:
                self.loops[number].run_ready()
        self.now = max(self.now, end)
