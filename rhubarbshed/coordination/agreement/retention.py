"""Removal of rows that nothing needs any more: old sessions, claims and quarantines.

The age of a row is told without comparing clocks. The instance that does this notes the table's
revision in a row of its own, at least an interval after it first saw that row unchanged. What was
last written before a mark is as old as the marks after it show. Each removal is a transaction that
checks the rows it removes, so one that was written meanwhile stays.
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
from rhubarbshed.util.settings import QuarantineSettings, RetentionSettings

MARKS_KEY = "retention/marks"
CLAIM_PARTITIONS = 256
"""Parts in which claims are looked at, by the first digits of their keys; one scan shows one."""
PARTITIONS = CLAIM_PARTITIONS + 2
MARKS_READ_GAP_MAX_S = 60.0
"""Longest time between two reads of the marks for which they count as watched."""

IsDue = Callable[[Row], bool]


@frozen
class Partition:
    """Name the rows looked at together, how long they are kept, and which may go."""

    prefix: str
    keep_s: float
    is_removable: IsDue


def choose_partition(
    number: int,
    settings: RetentionSettings,
    quarantine: QuarantineSettings,
    is_needed: Callable[[str], bool],
) -> Partition:
    """Choose what is looked at in a step; `is_needed` tells whether an instance may yet return."""
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
    """Tell whether a claim has ended; one that cannot be read reads as unknown, and stays."""
    claim = read_claim(row)
    return claim is not None and bool(claim.digest) and claim.state is not ClaimState.CLAIMED


def _is_unclaimed_quarantine(row: Row) -> bool:
    isolated_run = read_isolation_row(row, row.key.removeprefix(QUARANTINE_PREFIX))
    return isolated_run is not None and not isolated_run.instance


async def update_marks(
    access: TableAccess, retention: Retention, clock: Callable[[], float]
) -> Result[RetentionMarks, TableError]:
    """Read the marks and add one when due; costs one scan, and a read and a write an interval."""
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
    """Return the marks of a row; none where there are none or they cannot be read."""
    if row.value is None:
        return RetentionMarks()
    return from_stored(row.value, RetentionMarks).value_or(RetentionMarks())


async def remove_rows(
    access: TableAccess, partition: Partition, limit: int, rows_max: int
) -> Result[int, TableError]:
    """Remove some rows of a part last written at or before a revision; return how many.

    Costs one scan, and one read and one write where there is anything to remove.
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
    """Do one step: watch the marks, and remove what is due of the part that comes next."""
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
