"""Probes that tell a cut of this instance's links from servers that are down."""

import asyncio
import logging
import math
import time
from collections.abc import Awaitable, Callable

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

SETTLE_CHECK_S = 0.003
SETTLE_MAX_S = 0.9
"""Time between two looks at a round of probes, about a round trip, and the longest wait for one: a
connection that hangs and an instance that asks others in vain."""


async def ask_nobody() -> bool:
    """Return that no other instance is known to reach servers."""
    return False


@define(eq=False)
class LinkMonitor:
    """Links of this instance to all servers.

    The first failed connection starts a round of probes, which ends as soon as one server is
    reached. If none is, `ask_others` returns whether another instance reaches one, and rounds go
    on. `on_change` is called with whether the instance is cut off, and monotonic seconds.
    """

    view: View
    pool: Pool
    state: Reachability = field(factory=Reachability)
    ask_others: Callable[[], Awaitable[bool]] = ask_nobody
    on_change: Callable[[bool, float], None] = lambda is_cut, now: None
    _due: asyncio.Event = field(factory=asyncio.Event)
    _check: asyncio.Task | None = None
    _checked_at: float = -math.inf

    @property
    def is_cut(self) -> bool:
        """Return whether no server can be reached from here, but from other instances."""
        return self.state.is_cut

    def suspect(self) -> None:
        """Record that a connection to a server failed or fell silent."""
        if self.state.suspect():
            self._due.set()

    async def settle(self) -> bool:
        """Wait for the first round of probes, if one is due; return whether there is a cut."""
        until = time.monotonic() + SETTLE_MAX_S
        while self.state.suspected and time.monotonic() < until:
            await asyncio.sleep(SETTLE_CHECK_S)
        return self.is_cut

    async def check(self) -> bool:
        """Return whether a server can be reached, for another instance that asks."""
        if self.is_cut:
            return False
        if self._check is None or time.monotonic() - self._checked_at > PROBE_INTERVAL_S:
            self._checked_at = time.monotonic()
            probed = choose_probed(self.view.fleet, self.view.rng)
            probe = self._probe(probed, stop_at_first=True)
            self._check = asyncio.get_running_loop().create_task(probe)
        return bool(await asyncio.shield(self._check))

    async def maintain(self) -> None:
        """Probe servers whenever the links to them are suspected, forever."""
        while True:
            await self._due.wait()
            await self._probe_until_reached()
            self._due.clear()

    async def _probe_until_reached(self) -> None:
        while True:
            probed = choose_probed(self.view.fleet, self.view.rng)
            reached = await self._probe(probed, stop_at_first=not self.is_cut)
            others_reach = not reached and not self.is_cut and await self.ask_others()
            now = time.monotonic()
            if self.state.record_round(reached, len(probed), others_reach, now):
                self._report(reached, len(probed), now)
            if reached and not self.is_cut:
                return
            await asyncio.sleep(self.state.measure_pause())

    async def _probe(self, records: list[ServerRecord], stop_at_first: bool) -> int:
        """Open a connection to each server; return to how many one could be opened."""
        tasks = [asyncio.create_task(self._connect(record)) for record in records]
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
