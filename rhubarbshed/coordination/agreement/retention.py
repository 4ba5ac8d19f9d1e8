"""Removal of obsolete rows: old sessions, claims and quarantine entries.

The age of a row is determined without comparing clocks. The instance that has this job records the
table's revision (a mark) in a separate row, at least an interval after it first saw that row
unchanged. A row last written before a mark is at least as old as the number of later marks shows.
Each removal is a transaction that checks the rows it removes, so a row written meanwhile stays.
"""

from collections.abc import Callable

from attrs import frozen
from returns.result import Failure, Result, Success

from rhubarbshed.coordination.agreement.ownership import SESSION_PREFIX, decode_session
from rhubarbshed.coordination.agreement.transactions import Proposal, Rows, TableAccess, transact
from rhubarbshed.coordination.requests.claims import ROW_PREFIX as CLAIM_PREFIX
from rhubarbshed.coordination.requests.claims import read_claim
from rhubarbshed.coordination.requests.quarantine import ROW_PREFIX as QUARANTINE_PREFIX
from rhubarbshed.coordination.requests.quarantine import read_isolation_row
from rhubarbshed.protocol.claims import ClaimState
from rhubarbshed.protocol.codec import from_stored, to_plain
from rhubarbshed.protocol.tables import Row, TableError, Write
from rhubarbshed.state.agreement.retention import Retention, RetentionMarks
from rhubarbshed.util.setting_fields import QuarantineSettings
from rhubarbshed.util.settings import RetentionSettings

MARKS_KEY = "retention/marks"
CLAIM_PARTITIONS = 256
"""Partitions of the claims, by the first two hex digits of their keys; one scan reads one."""
PARTITIONS = CLAIM_PARTITIONS + 2
MARKS_READ_GAP_MAX_S = 60.0
"""Longest time between two reads of the marks over which they count as unchanged."""

IsDue = Callable[[Row], bool]


@frozen
class Partition:
    """Rows scanned together, how long they are kept, and which of them are removable."""

    prefix: str
    keep_s: float
    is_removable: IsDue


def choose_partition(
    number: int,
    settings: RetentionSettings,
    quarantine: QuarantineSettings,
    is_needed: Callable[[str], bool],
) -> Partition:
    """Return a step's partition; `is_needed` returns whether an instance may still return."""
    if number == CLAIM_PARTITIONS:
        return Partition(
            SESSION_PREFIX, settings.session_s, lambda row: _is_obsolete_session(row, is_needed)
        )
    if number == CLAIM_PARTITIONS + 1:
        return Partition(QUARANTINE_PREFIX, quarantine.memory_s, _is_unclaimed_quarantine)
    return Partition(f"{CLAIM_PREFIX}{number:02x}", settings.claim_s, _is_finished_claim)


def _is_obsolete_session(row: Row, is_needed: Callable[[str], bool]) -> bool:
    session = decode_session(row).value_or(None)
    return session is not None and not is_needed(session.holder.instance)


def _is_finished_claim(row: Row) -> bool:
    """Return whether a claim has ended; one that cannot be decoded is kept."""
    claim = read_claim(row)
    return claim is not None and bool(claim.digest) and claim.state is not ClaimState.CLAIMED


def _is_unclaimed_quarantine(row: Row) -> bool:
    isolated_run = read_isolation_row(row, row.key.removeprefix(QUARANTINE_PREFIX))
    return isolated_run is not None and not isolated_run.instance


async def update_marks(
    access: TableAccess, retention: Retention, clock: Callable[[], float]
) -> Result[RetentionMarks, TableError]:
    """Read the marks and add one when due; costs one scan, plus a read and a write per interval."""
    scan = await access.runner(access.table.scan, MARKS_KEY, 0)
    if isinstance(scan, Failure):
        return scan
    row = next((row for row in scan.unwrap().rows if row.key == MARKS_KEY), Row(MARKS_KEY, 0))
    now = clock()
    retention.observe(row.version, now, MARKS_READ_GAP_MAX_S)
    if not retention.is_mark_due(now):
        return Success(decode_marks(row))
    revision, seen = scan.unwrap().revision, row.version

    def plan(rows: Rows) -> Result[Proposal, TableError]:
        present = rows.get(MARKS_KEY)
        marks = decode_marks(present)
        if present.version != seen:
            return Success(Proposal(marks))
        added = marks.add(revision)
        return Success(Proposal(added, (Write(MARKS_KEY, to_plain(added)),)))

    return await transact(access, (MARKS_KEY,), plan)


def decode_marks(row: Row) -> RetentionMarks:
    """Return the marks stored in a row, empty if there are none or they cannot be decoded."""
    if row.value is None:
        return RetentionMarks()
    return from_stored(row.value, RetentionMarks).value_or(RetentionMarks())


async def remove_rows(
    access: TableAccess, partition: Partition, limit: int, rows_max: int
) -> Result[int, TableError]:
    """Remove removable rows of a partition last written at or before revision `limit`.

    Return how many were removed. Costs one scan, and one read and one write if any row is due.
    """
    scan = await access.runner(access.table.scan, partition.prefix, 0)
    if isinstance(scan, Failure):
        return scan

    def is_due(row: Row) -> bool:
        return row.value is not None and row.revision <= limit and partition.is_removable(row)

    keys = tuple(row.key for row in scan.unwrap().rows if is_due(row))[:rows_max]
    if not keys:
        return Success(0)

    def plan(rows: Rows) -> Result[Proposal, TableError]:
        writes = tuple(Write(row.key, None) for row in rows.read if is_due(row))
        return Success(Proposal(len(writes), writes))

    return await transact(access, keys, plan)


async def run_retention_step(
    access: TableAccess,
    retention: Retention,
    settings: RetentionSettings,
    quarantine: QuarantineSettings,
    is_needed: Callable[[str], bool],
    clock: Callable[[], float],
) -> Result[int, TableError]:
    """Run one step: update the marks, and remove the due rows of the next partition."""
    marks = await update_marks(access, retention, clock)
    if isinstance(marks, Failure):
        return marks
    partition = choose_partition(retention.partition, settings, quarantine, is_needed)
    limit = marks.unwrap().find_limit(partition.keep_s)
    if not limit:
        retention.partition = (retention.partition + 1) % PARTITIONS
        return Success(0)
    removed = await remove_rows(access, partition, limit, settings.rows_max)
    if isinstance(removed, Success) and removed.unwrap() < settings.rows_max:
        retention.partition = (retention.partition + 1) % PARTITIONS
    return removed
