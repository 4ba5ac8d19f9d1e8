"""Query of the store for a later configuration, for requests that only a recent one decides on."""

import asyncio

from attrs import define

from rhubarbshed.transport.edge.follower import Follower


@define(eq=False)
class ConfigurationCheck:
    """Query for a later configuration; requests that come while it goes on share it."""

    follower: Follower
    _query: asyncio.Task | None = None

    async def confirm(self, wait_s: float) -> None:
        """Query the store for a later configuration, and wait for the answer for some seconds."""
        if self._query is None or self._query.done():
            self._query = asyncio.create_task(self.follower.confirm_configuration())
        await asyncio.wait((self._query,), timeout=wait_s)
