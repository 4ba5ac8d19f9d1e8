"""Rows of the store with the versions in service: written by order holders, read at a start."""

import asyncio
import logging
import math
import time
from collections.abc import Callable, Iterable

from attrs import define, evolve
from returns.result import Failure, Success

from rhubarbshed.coordination.serving.lease_state import count_restores
from rhubarbshed.coordination.serving.version_records import (
    ClockReading,
    VersionRecord,
    choose_record,
    go_on_from,
    make_digest,
    make_record,
    read_record,
)
from rhubarbshed.platform.records import read_server
from rhubarbshed.platform.rows import OWN_TABLE, SERVERS_TABLE, VERSIONS_TABLE, Page
from rhubarbshed.protocol.servers import ServerEntry
from rhubarbshed.protocol.tables import Check, Row, Scan, TableFault, Transaction, Write
from rhubarbshed.state.requests.stream_origins import STREAM_AGE_MAX_S
from rhubarbshed.transport.edge.follower import Follower
from rhubarbshed.transport.edge.store import StoreClient
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

WRITE_INTERVAL_S = 8.0
"""Time between two writes of a record; the store keeps its history for 20 s, and instances that
were killed are back within some seconds."""

CHECK_INTERVAL_S = 1.0
"""Time between two checks whether a record is due."""

ATTEMPTS_MAX = 4
ATTEMPT_PAUSE_S = 0.3
"""Attempts to go on from a record: many instances that start together may exceed what the store
takes."""


@define(eq=False)
class VersionStore:
    """Record of the data centre in the store.

    `is_holder` returns whether this instance writes it. `tried_at` is the gap for which the records
    were last read, `has_started` whether they were read after the start.
    """

    store: StoreClient
    follower: Follower
    is_holder: Callable[[], bool]
    tried_at: float | None = None
    has_started: bool = False
    written_at: float = -1e9
    _try_again_at: float = -1e9
    _row: tuple[int, ClockReading] | None = None

    async def maintain(self) -> None:
        """Go on from a record after each gap, and write records as the order holder, forever."""
        while True:
            await self.follower.read_anew.wait(CHECK_INTERVAL_S)
            is_known = bool(self.follower.configuration_revision)
            if is_known and self._has_gap(time.monotonic()):
                self.tried_at = self.follower.view.versions.followed_since
                self._try_again_at = time.monotonic() + WRITE_INTERVAL_S
                await self._close_gap()
                self.has_started = True
            is_due = time.monotonic() - self.written_at >= WRITE_INTERVAL_S
            if is_known and is_due and self.is_holder():
                await self._write()

    def _has_gap(self, now: float) -> bool:
        """Return whether to look for a record: for a new gap, and then as often as one is written.

        An instance that starts later than others finds no record of theirs yet.
        """
        gap_at = self.follower.view.versions.followed_since
        if gap_at is None or gap_at != self.tried_at:
            return gap_at is not None
        return now - gap_at < STREAM_AGE_MAX_S and now >= self._try_again_at

    async def _close_gap(self) -> None:
        for _ in range(ATTEMPTS_MAX):
            if await self._go_on():
                return
            await asyncio.sleep(ATTEMPT_PAUSE_S)

    async def _go_on(self) -> bool:
        """Go on from a record if that is possible; return False if it is worth another attempt."""
        versions, gap_at = self.follower.view.versions, self.follower.view.versions.followed_since
        page = await self._read_records()
        if page is None:
            return False
        clock = ClockReading(page.now_ms, time.monotonic())
        record = choose_record(list_records(page), page.now_ms)
        if record is None:
            return await self._settle_first_start(page)
        changes = await self.store.follow(SERVERS_TABLE, record.revision, 0.0)
        now = time.monotonic()
        if isinstance(changes, Failure):
            error = changes.failure()
            log_event(LOG, logging.INFO, "versions_not_kept", reason=error.detail)
            return error.fault is TableFault.CONFLICT
        entries = list_entries(changes.unwrap().scan.rows, record)
        if entries is None or versions.followed_since != gap_at:
            log_event(LOG, logging.INFO, "versions_not_kept", reason="an entry was missed")
            return True
        for entry in entries:
            versions.record_entry(entry, now)
        go_on_from(versions, record, self.follower.configuration_revision, clock, now)
        self.tried_at = versions.followed_since
        followed_s = round(now - versions.followed_since, 1)
        log_event(
            LOG, logging.INFO, "versions_kept", followed_s=followed_s, revision=record.revision
        )
        return True

    async def _settle_first_start(self, page: Page) -> bool:
        """Record that no stream is older than this start, if the store shows no earlier one.

        Instances that are killed may start again with the settings of the first start. Return
        False if the store shows nothing.
        """
        versions, gap_at = self.follower.view.versions, self.follower.view.versions.followed_since
        if self.has_started or page.scan.rows or not self.follower.view.settings.first_start:
            return True
        leases = await self.store.read_all(OWN_TABLE)
        if isinstance(leases, Failure):
            log_event(LOG, logging.INFO, "versions_unread", reason=leases.failure().detail)
            return False
        if not leases.unwrap().scan.rows and versions.followed_since == gap_at:
            versions.followed_since = versions.routes.followed_since = -math.inf
            self.tried_at = versions.followed_since
        return True

    async def _read_records(self) -> Page | None:
        read = await self.store.read_all(VERSIONS_TABLE)
        if isinstance(read, Failure):
            log_event(LOG, logging.INFO, "versions_unread", reason=read.failure().detail)
            return None
        return read.unwrap()

    async def _write(self) -> None:
        """Write the record of what was seen up to now."""
        view, key = self.follower.view, self.follower.view.settings.data_centre
        if view.versions.entry_age.is_suspended:
            return
        self._row = self._row or await self._read_row(key)
        if self._row is None:
            return
        version, clock = self._row
        revision, configuration = (
            self.follower.servers_revision,
            self.follower.configuration_revision,
        )
        now = time.monotonic()
        record = make_record(view.versions, view.fleet, revision, configuration, clock, now)
        # A gap later than the reading of the clock needs a newer one.
        self._row = None
        if record is None:
            return
        self.written_at = now
        value = evolve(record, era=self.follower.servers_era).to_value()
        transaction = Transaction((Check(key, version),), (Write(key, value),))
        written = await self.store.commit(VERSIONS_TABLE, transaction)
        if isinstance(written, Failure):
            reason = written.failure().detail
            log_event(LOG, logging.INFO, "versions_unwritten", reason=reason)
        else:
            self._row = written.unwrap().revision, clock

    async def _read_row(self, key: str) -> tuple[int, ClockReading] | None:
        """Return the version of the data centre's row, and the store's time."""
        sent_at = time.monotonic()
        page = await self._read_records()
        if page is None:
            return None
        version = next((row.version for row in page.scan.rows if row.key == key), 0)
        return version, ClockReading(page.now_ms, sent_at)


def list_records(page: Page) -> list[VersionRecord]:
    """Decode the rows; one that cannot be read counts for nothing."""
    records = []
    for row in page.scan.rows:
        read = read_record(row.value or {}, page.now_ms)
        if isinstance(read, Failure):
            log_event(LOG, logging.INFO, "versions_unreadable", key=row.key, reason=read.failure())
        elif counts_for(read.unwrap(), page.scan):
            records.append(read.unwrap())
    return records


def counts_for(record: VersionRecord, scan: Scan) -> bool:
    """Return whether changes can be read from where a record was made.

    The write of an earlier era's record may be carried out after a restore.
    """
    is_same_era = count_restores(record.era) == count_restores(scan.era)
    return is_same_era and record.revision <= scan.revision


def list_entries(rows: Iterable[Row], record: VersionRecord) -> list[ServerEntry] | None:
    """List the entries among the changes since a record, None if one came and left unseen."""
    entries: list[ServerEntry] = []
    known = set()
    for row in rows:
        if row.value is None and row.key not in known:
            if make_digest(row.key) not in record.servers:
                return None
        if row.value is not None:
            known.add(row.key)
            read = read_server(row.key, row.value)
            entries += [read.unwrap()] if isinstance(read, Success) else []
    return entries
