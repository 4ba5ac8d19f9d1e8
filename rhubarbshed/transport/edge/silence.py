"""Limit of the time in which a server sends nothing while its response is awaited."""

import asyncio
import math
import time
from collections.abc import Callable

from attrs import define

from rhubarbshed.transport.edge.channels import Channel

SILENCE_CHECK_INTERVAL_S = 0.1
"""Time between two checks whether a silent server may be given up."""


@define(eq=False)
class SilenceTimer:
    """Timer that ends the wait for a server after `limit_s` without bytes, if `may_give_up`.

    It compares times at its end instead of being set at each read: a stream has many of them.
    `progress_at` is set while bytes alone are not enough: the time of the last event of a stream.
    """

    channel: Channel
    limit_s: float
    may_give_up: Callable[[], bool]
    progress_at: float = math.inf
    _handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer, or start it again after a change of its limit."""
        self.cancel()
        self._check()

    def cancel(self) -> None:
        """Stop the timer."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def measure_stall(self, now: float) -> float:
        """Return the seconds since the response has gone on; 0 while it isn't read."""
        waited_s = self.channel.measure_wait(now)
        return max(waited_s, now - self.progress_at) if waited_s > 0.0 else 0.0

    def _check(self) -> None:
        left_s = self.limit_s - self.measure_stall(time.monotonic())
        if left_s <= 0.0 and self.may_give_up():
            self._handle = None
            self.channel.end_wait()
            return
        after_s = left_s if left_s > 0.0 else SILENCE_CHECK_INTERVAL_S
        self._handle = asyncio.get_running_loop().call_later(after_s, self._check)
