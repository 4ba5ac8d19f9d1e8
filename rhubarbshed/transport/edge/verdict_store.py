"""Rows of the store for verdicts on requests that end servers.

They settle which instance sends the next trial.
"""

import logging
from collections.abc import Callable, Sequence

from attrs import define
from returns.result import Failure, Result, Success

from rhubarbshed.coordination.requests.crash_quarantine import TRIAL_RESERVED_S
from rhubarbshed.coordination.requests.trial_records import (
    TrialPlan,
    TrialRecord,
    is_outdated,
    plan_trial,
    read_trial_record,
)
from rhubarbshed.platform.rows import QUARANTINE_TABLE, Page
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
        if not self.is_available():
            return Failure(TRIAL_RESERVED_S)
        read = await self.store.read_all(QUARANTINE_TABLE)
        if isinstance(read, Failure):
            log_event(LOG, logging.INFO, "trial_unclaimed", reason=read.failure().detail)
            return Failure(TRIAL_RESERVED_S)
        page = read.unwrap()
        records = read_records(page)
        plan = plan_trial(records, keys, page.now_ms)
        if not plan.records:
            return Failure(plan.wait_s)
        written = await self.store.commit(QUARANTINE_TABLE, make_claim(page, records, plan))
        if isinstance(written, Failure):
            log_event(LOG, logging.INFO, "trial_unclaimed", reason=written.failure().detail)
            return Failure(TRIAL_RESERVED_S)
        return Success(None)


def read_records(page: Page) -> dict[str, TrialRecord]:
    """Decode the rows; one that cannot be read counts as outdated."""
    records = {}
    for row in page.scan.rows:
        read = read_trial_record(row.value or {})
        if isinstance(read, Failure):
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
