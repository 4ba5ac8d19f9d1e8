"""Query of the store for a later configuration, for requests that only a recent one decides on."""

import asyncio
import contextlib
import math
import time

from attrs import define

from rhubarbshed.transport.edge.follower import Follower
from rhubarbshed.transport.edge.late_loops import limit_time

QUERY_INTERVAL_S = 0.5
"""Shortest time between two queries: one that confirmed nothing, as the latest configuration cannot
be read, is not repeated for each request."""


@define(eq=False)
class ConfigurationCheck:
    """Query for a later configuration; requests that come while it goes on share it."""

    follower: Follower
    _query: asyncio.Task | None = None
    _asked_at: float = -math.inf

    async def confirm(self, wait_s: float) -> None:
        """Query the store for a later configuration, and wait for the answer for some seconds."""
        now = time.monotonic()
        if self._query is None or self._query.done():
            if now - self._asked_at < QUERY_INTERVAL_S:
                return
            self._asked_at = now
            self._query = asyncio.create_task(self.follower.confirm_configuration())
        with contextlib.suppress(TimeoutError):
            async with limit_time(wait_s):
                await asyncio.wait((self._query,))
