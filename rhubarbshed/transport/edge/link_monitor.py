"""Probes that tell a cut of this instance's links from servers that are down."""

import asyncio
import enum
import logging
import math
import time
from collections.abc import Awaitable, Callable

from attrs import define, field

from rhubarbshed.coordination.serving.reachability import (
    PROBE_INTERVAL_S,
    PROBED_SERVERS,
    ProbeResult,
    Reachability,
    choose_probed,
    is_ambiguous,
)
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.transport.edge.channels import ChannelError, NotListeningError
from rhubarbshed.transport.edge.pools import Pool
from rhubarbshed.transport.edge.view import View
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

SETTLE_CHECK_S = 0.003
SETTLE_MAX_S = 0.9
"""Time between two looks at a round of probes, about a round trip, and the longest time that one
request waits for such rounds, here and at the instances that it is offered to: a connection that
hangs and an instance that asks others in vain."""


class ProbeOutcome(enum.Enum):
    """What became of a connection to one server."""

    REACHED = "reached"
    REFUSED = "refused"
    SILENT = "silent"


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

    async def settle(self, wait_max_s: float = SETTLE_MAX_S) -> bool:
        """Wait for the first round of probes, if one is due; return whether there is a cut."""
        until = time.monotonic() + wait_max_s
        while self.state.suspected and time.monotonic() < until:
            await asyncio.sleep(SETTLE_CHECK_S)
        return self.is_cut

    async def check(self) -> bool:
        """Return whether a server can be reached, for another instance that asks."""
        if self.is_cut:
            return False
        if self._check is None or time.monotonic() - self._checked_at > PROBE_INTERVAL_S:
            self._checked_at = time.monotonic()
            self._check = asyncio.get_running_loop().create_task(self._probe_round())
        return (await asyncio.shield(self._check)).reached > 0

    async def maintain(self) -> None:
        """Probe servers whenever the links to them are suspected, forever."""
        while True:
            await self._due.wait()
            await self._probe_until_reached()
            self._due.clear()

    async def _probe_until_reached(self) -> None:
        while True:
            result = await self._probe_round()
            others_reach = not result.reached and not self.is_cut and await self.ask_others()
            now = time.monotonic()
            if self.state.record_round(result.reached, result.probed, others_reach, now):
                self._report(result, now)
            if result.reached and not self.is_cut:
                return
            await asyncio.sleep(self.state.measure_pause())

    async def _probe_round(self) -> ProbeResult:
        """Probe some servers, and more of them if these may just have ended."""
        configuration = self.view.configuration
        services = configuration.service_names if configuration is not None else frozenset()
        records = choose_probed(self.view.fleet, services, self.view.rng)
        result = await self._probe(records[:PROBED_SERVERS])
        if self.is_cut or not is_ambiguous(result):
            return result
        more = await self._probe(records[PROBED_SERVERS:])
        return ProbeResult(len(records), more.reached, result.refused + more.refused)

    async def _probe(self, records: list[ServerRecord]) -> ProbeResult:
        """Open a connection to each server, in touch until one is reached."""
        tasks = [asyncio.create_task(self._connect(record)) for record in records]
        reached = refused = 0
        try:
            for finished in asyncio.as_completed(tasks):
                outcome = await finished
                reached += outcome is ProbeOutcome.REACHED
                refused += outcome is ProbeOutcome.REFUSED
                if reached and not self.is_cut:
                    break
        finally:
            for task in tasks:
                task.cancel()
        return ProbeResult(len(records), reached, refused)

    async def _connect(self, record: ServerRecord) -> ProbeOutcome:
        address = (record.entry.host, record.entry.port)
        try:
            channel = await self.pool.open(address)
        except NotListeningError:
            return ProbeOutcome.REFUSED
        except ChannelError:
            return ProbeOutcome.SILENT
        channel.idle_since = time.monotonic()
        self.pool.release(address, channel)
        return ProbeOutcome.REACHED

    def _report(self, result: ProbeResult, now: float) -> None:
        event = "servers_unreachable" if self.is_cut else "servers_reachable"
        log_event(
            LOG,
            logging.WARNING,
            event,
            probed=result.probed,
            reached=result.reached,
            refused=result.refused,
        )
        self.view.changed.fire()
        self.on_change(self.is_cut, now)
