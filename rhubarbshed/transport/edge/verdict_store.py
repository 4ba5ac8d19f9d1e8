"""Rows of the store for verdicts on requests that end servers.

They settle which instance sends the next trial, and keep the evidence where instances that receive
nothing from others, or have just started, find it.
"""

import logging
from collections.abc import Callable, Collection, Iterable, Sequence

from attrs import define
from returns.result import Failure, Result, Success

from rhubarbshed.coordination.requests.crash_quarantine import TRIAL_RESERVED_S
from rhubarbshed.coordination.requests.trial_records import (
    MS_PER_S,
    TrialPlan,
    TrialRecord,
    is_outdated,
    make_trial_record,
    plan_trial,
    read_trial_record,
)
from rhubarbshed.platform.rows import QUARANTINE_TABLE, Page
from rhubarbshed.protocol.crash_messages import CrashMessage
from rhubarbshed.protocol.tables import Check, Row, Transaction, Write
from rhubarbshed.transport.edge.store import StoreClient
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

REMOVED_MAX = 50
"""Most outdated rows that one transaction removes; the store takes 100 entries."""


@define(eq=False)
class VerdictStore:
    """Rows about verdicts; `is_available` returns whether the store answered lately."""

    store: StoreClient
    is_available: Callable[[], bool]

    async def claim_trial(self, keys: Sequence[str]) -> Result[None, float]:
        """Claim the next trial of all keys; else return the seconds until it may be tried again.

        Without the store there is none, as several instances could claim the same one.
        """
        page = await self._read("trial_unclaimed")
        if page is None:
            return Failure(TRIAL_RESERVED_S)
        records = read_records(page, self.store.count_unreadable)
        plan = plan_trial(records, keys, page.now_ms)
        if not plan.records:
            return Failure(plan.wait_s)
        is_claimed = await self._write("trial_unclaimed", make_claim(page, records, plan))
        return Success(None) if is_claimed else Failure(TRIAL_RESERVED_S)

    async def add_verdict(self, key: str, ends: Iterable[CrashMessage], trial_in_s: float) -> None:
        """Store a new verdict with what it rests on, unless another instance did."""
        read = await self._read("verdict_unstored")
        if read is None or any(row.key == key and row.value for row in read.scan.rows):
            return
        write = Write(key, make_trial_record(ends, trial_in_s, read.now_ms).to_value())
        await self._write("verdict_unstored", Transaction((Check(key, 0),), (write,)))

    async def remove_verdicts(self, keys: Collection[str]) -> None:
        """Remove verdicts that an answer has shown to be wrong."""
        read = await self._read("verdict_unremoved")
        rows = [row for row in read.scan.rows if row.key in keys] if read is not None else []
        if rows:
            checks = tuple(Check(row.key, row.version) for row in rows)
            writes = tuple(Write(row.key, None) for row in rows)
            await self._write("verdict_unremoved", Transaction(checks, writes))

    async def list_ends(self) -> list[tuple[CrashMessage, float]] | None:
        """Return all stored ends with the seconds since they were written, None if unreadable."""
        read = await self._read("verdicts_unread")
        if read is None:
            return None
        return [
            (end, max(0.0, read.now_ms - record.written_ms) / MS_PER_S)
            for record in read_records(read, self.store.count_unreadable).values()
            for end in record.ends
        ]

    async def _read(self, event: str) -> Page | None:
        if not self.is_available():
            return None
        read = await self.store.read_all(QUARANTINE_TABLE)
        if isinstance(read, Failure):
            log_event(LOG, logging.INFO, event, reason=read.failure().detail)
            return None
        return read.unwrap()

    async def _write(self, event: str, transaction: Transaction) -> bool:
        written = await self.store.commit(QUARANTINE_TABLE, transaction)
        if isinstance(written, Failure):
            log_event(LOG, logging.INFO, event, reason=written.failure().detail)
        return isinstance(written, Success)


def read_records(
    page: Page, count_unreadable: Callable[[str], None] = lambda kind: None
) -> dict[str, TrialRecord]:
    """Decode the rows; one that cannot be read counts as outdated."""
    records = {}
    for row in page.scan.rows:
        read = read_trial_record(row.value or {})
        if isinstance(read, Failure):
            count_unreadable("verdict")
            log_event(LOG, logging.INFO, "verdict_unreadable", key=row.key, reason=read.failure())
        records[row.key] = read.value_or(TrialRecord())
    return records


def make_claim(page: Page, records: dict[str, TrialRecord], plan: TrialPlan) -> Transaction:
    """Return the transaction that claims a trial and removes outdated rows."""
    rows: dict[str, Row] = {row.key: row for row in page.scan.rows}
    outdated = [
        key
        for key, record in records.items()
        if key not in plan.records and is_outdated(record, page.now_ms)
    ]
    removed = outdated[:REMOVED_MAX]
    checks = [
        Check(key, rows[key].version if key in rows else 0) for key in (*plan.records, *removed)
    ]
    writes = [Write(key, record.to_value()) for key, record in plan.records.items()]
    return Transaction(tuple(checks), (*writes, *(Write(key, None) for key in removed)))
