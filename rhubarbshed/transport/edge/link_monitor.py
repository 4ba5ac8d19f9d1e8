"""Probes that tell a cut of this instance's links from servers that are down."""

import asyncio
import logging
import time
from collections.abc import Callable

from attrs import define, field

from rhubarbshed.coordination.serving.reachability import (
    PROBE_INTERVAL_S,
    Reachability,
    choose_probed,
)
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.transport.edge.channels import ChannelError
from rhubarbshed.transport.edge.pools import Pool
from rhubarbshed.transport.edge.view import View
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

SETTLE_CHECK_S = 0.005
"""Time between two looks at a round of probes; a connection takes a few milliseconds."""


@define(eq=False)
class LinkMonitor:
    """Links of this instance to all servers.

    The first failed connection starts a round of probes, which ends as soon as one server is
    reached. While none is, rounds go on. `on_change` is called with whether the instance is cut
    off, and monotonic seconds.
    """

    view: View
    pool: Pool
    state: Reachability = field(factory=Reachability)
    on_change: Callable[[bool, float], None] = lambda is_cut, now: None
    _task: asyncio.Task | None = None

    @property
    def is_cut(self) -> bool:
        """Return whether no server can be reached."""
        return self.state.is_cut

    def suspect(self) -> None:
        """Record that a connection to a server failed or fell silent."""
        if self.state.suspect() and (self._task is None or self._task.done()):
            self._task = asyncio.get_running_loop().create_task(self._probe_until_reached())

    async def settle(self) -> bool:
        """Wait for the round of probes in progress, if any; return whether there is a cut."""
        while self.state.suspected and not self.is_cut and not self._task.done():
            await asyncio.wait((self._task,), timeout=SETTLE_CHECK_S)
        return self.is_cut

    def stop(self) -> None:
        """End the probes."""
        if self._task is not None:
            self._task.cancel()

    async def _probe_until_reached(self) -> None:
        while True:
            probed = choose_probed(self.view.fleet, self.view.rng)
            reached = await self._probe(probed, stop_at_first=not self.is_cut)
            now = time.monotonic()
            if self.state.record_probes(reached, len(probed), now):
                self._report(reached, len(probed), now)
            if not self.is_cut:
                return
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, records: list[ServerRecord], stop_at_first: bool) -> int:
        """Open a connection to each server; return to how many one could be opened."""
        tasks = {asyncio.create_task(self._connect(record)) for record in records}
        reached = 0
        try:
            for finished in asyncio.as_completed(tasks):
                reached += await finished
                if reached and stop_at_first:
                    break
        finally:
            for task in tasks:
                task.cancel()
        return reached

    async def _connect(self, record: ServerRecord) -> bool:
        address = (record.entry.host, record.entry.port)
        try:
            channel = await self.pool.open(address)
        except ChannelError:
            return False
        channel.idle_since = time.monotonic()
        self.pool.release(address, channel)
        return True

    def _report(self, reached: int, probed: int, now: float) -> None:
        event = "servers_unreachable" if self.is_cut else "servers_reachable"
        log_event(LOG, logging.WARNING, event, probed=probed, reached=reached)
        self.view.changed.fire()
        self.on_change(self.is_cut, now)
