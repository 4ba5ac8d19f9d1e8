"""Reads of the servers' entries and routes for decisions that must not rest on older ones."""

import asyncio
import logging
import time

from attrs import define, field
from returns.result import Failure

from rhubarbshed.platform.records import read_server
from rhubarbshed.platform.rows import CONFIGURATION_KEY, OPERATOR_TABLE, SERVERS_TABLE
from rhubarbshed.protocol.tables import Row
from rhubarbshed.state.membership.versions import VersionHistory
from rhubarbshed.transport.edge.follower import Follower
from rhubarbshed.transport.edge.late_loops import limit_time
from rhubarbshed.transport.edge.store import CALL_TIMEOUT_S, StoreClient
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

READ_INTERVAL_S = 0.5
"""Shortest time between two reads of both tables: 370 instances at once stay below the 2,000 reads
a second that the store takes."""

READ_TIMEOUT_S = CALL_TIMEOUT_S + 0.2
"""Time for both reads: a caller that continues a stream waits for them, and leaves soon. Calls to a
silent store end before, so that its late answer is still taken."""


@define(eq=False)
class EntryCheck:
    """Reads of changes that the follower may not have read yet; requests share them."""

    store: StoreClient
    follower: Follower
    _started_at: float = -1e9
    _succeeded: bool = False
    _lock: asyncio.Lock = field(factory=asyncio.Lock)

    async def confirm(self) -> bool:
        """Record the versions of all entries up to now; return whether all routes are known."""
        asked_at = time.monotonic()
        async with self._lock:
            if self._started_at < asked_at:
                due_at = self._started_at + READ_INTERVAL_S
                await asyncio.sleep(max(0.0, due_at - time.monotonic()))
                self._started_at, self._succeeded = time.monotonic(), False
                self._succeeded = await self._read()
            return self._succeeded

    async def _read(self) -> bool:
        revision = self.follower.servers_revision
        if revision is None:
            return False
        reads = asyncio.gather(
            self.store.follow(SERVERS_TABLE, revision, 0.0), self.store.read_all(OPERATOR_TABLE)
        )
        try:
            async with limit_time(READ_TIMEOUT_S):
                servers, operator = await reads
        except TimeoutError:
            log_event(LOG, logging.INFO, "entries_unconfirmed", reason="the answer took too long")
            return False
        for result in (servers, operator):
            if isinstance(result, Failure):
                reason = result.failure().detail
                log_event(LOG, logging.INFO, "entries_unconfirmed", reason=reason)
                return False
        versions = self.follower.view.versions
        for row in servers.unwrap().scan.rows:
            record_versions(versions, row, time.monotonic())
        rows = operator.unwrap().scan.rows
        known = self.follower.configuration_revision
        return all(row.version == known for row in rows if row.key == CONFIGURATION_KEY)


def record_versions(versions: VersionHistory, row: Row, now: float) -> None:
    """Record the version in a changed entry; the follower applies the entry itself."""
    if row.value is None:
        versions.record_removal(row.key, now)
        return
    read = read_server(row.key, row.value)
    if isinstance(read, Failure):
        versions.record_unreadable(row.key, now)
    else:
        versions.record_entry(read.unwrap(), now)
