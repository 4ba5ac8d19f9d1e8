"""Transactions on the table service, retried after conflicts and lost answers."""

import asyncio
import random
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import define, evolve, field, frozen
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.platform import TableClient
from rhubarbshed.protocol.tables import (
    Check,
    Row,
    TableError,
    TableFault,
    Transaction,
    Write,
)
from rhubarbshed.util.pauses import choose_pause

WRITE_ID = "write_id"
ATTEMPTS_MAX = 8

Runner = Callable[..., Awaitable[Any]]


@frozen
class Rows:
    """Rows that a plan is made from; `scanned` were read after `read`."""

    read: tuple[Row, ...]
    scanned: tuple[Row, ...] = ()

    def get(self, key: str) -> Row:
        """Return the row in `read` with a key."""
        return next(row for row in self.read if row.key == key)


@frozen
class Proposal:
    """Writes to commit, and the answer once they are in effect; no writes: already done."""

    answer: Any
    writes: tuple[Write, ...] = ()


Plan = Callable[[Rows], Result[Proposal, Any]]


def make_write_id() -> str:
    """Return a new unique write id."""
    return uuid.uuid4().hex


@define
class TableAccess:
    """Dependencies of transactions: client, runner of blocking calls, and random generator."""

    table: TableClient
    runner: Runner
    rng: random.Random = field(factory=random.Random)
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    make_id: Callable[[], str] = make_write_id


async def transact(
    access: TableAccess, keys: tuple[str, ...], plan: Plan, prefix: str = ""
) -> Result[Any, Any]:
    """Read rows, plan, and commit; plan again from fresh rows after a conflict.

    Every row read is checked, and only rows read may be written, so a delayed copy of a
    transaction cannot take effect twice. `prefix` adds a scan whose rows are not checked; one of
    `keys` must change with each of them. A failure is the plan's error or a `TableError`;
    `UNKNOWN` means that the write may still take effect.
    """
    for attempt in range(ATTEMPTS_MAX):
        rows = await read_rows(access, keys, prefix)
        if isinstance(rows, Failure):
            return rows
        planned = plan(rows.unwrap())
        if isinstance(planned, Failure):
            return planned
        proposal: Proposal = planned.unwrap()
        if not proposal.writes:
            return Success(proposal.answer)
        transaction = make_transaction(rows.unwrap(), proposal, access.make_id())
        committed = await commit_until_outcome_known(access, transaction)
        if isinstance(committed, Success):
            return Success(proposal.answer)
        if committed.failure().fault is not TableFault.CONFLICT:
            return committed
        await access.sleep(choose_pause(attempt, access.rng))
    return Failure(TableError(TableFault.UNAVAILABLE, detail="too many conflicts"))


async def read_rows(
    access: TableAccess, keys: tuple[str, ...], prefix: str
) -> Result[Rows, TableError]:
    """Read rows by key, then scan a prefix; a lost answer counts as unavailable.

    One of the rows read must change with every row of the prefix. If the scan shows a later
    change than any row read, both are repeated, so that a plan gets a consistent view.
    """
    for attempt in range(ATTEMPTS_MAX):
        read = await access.runner(access.table.read, keys)
        if isinstance(read, Failure):
            return Failure(evolve(read.failure(), fault=TableFault.UNAVAILABLE))
        if not prefix:
            return Success(Rows(read.unwrap()))
        scan = await access.runner(access.table.scan, prefix, 0)
        if isinstance(scan, Failure):
            return Failure(evolve(scan.failure(), fault=TableFault.UNAVAILABLE))
        if _find_latest(scan.unwrap().rows) <= _find_latest(read.unwrap()):
            return Success(Rows(read.unwrap(), scan.unwrap().rows))
        await access.sleep(choose_pause(attempt, access.rng))
    return Failure(TableError(TableFault.UNAVAILABLE, detail="rows changed with every read"))


def _find_latest(rows: tuple[Row, ...]) -> int:
    return max((row.revision for row in rows), default=0)


def make_transaction(rows: Rows, proposal: Proposal, write_id: str) -> Transaction:
    """Make a transaction that checks every row read and adds the write id to every value."""
    known = {row.key for row in rows.read}
    unread = [write.key for write in proposal.writes if write.key not in known]
    if unread:
        raise AssertionError(f"rows written without being read: {unread}")
    checks = tuple(Check(row.key, row.version) for row in rows.read)
    return Transaction(checks, tuple(_mark(write, write_id) for write in proposal.writes))


def _mark(write: Write, write_id: str) -> Write:
    if write.value is None:
        return write
    return Write(write.key, {**write.value, WRITE_ID: write_id})


async def commit_until_outcome_known(
    access: TableAccess, transaction: Transaction
) -> Result[None, TableError]:
    """Commit, sending the same transaction again while its outcome is unknown."""
    is_outcome_unknown = False
    for attempt in range(ATTEMPTS_MAX):
        committed = await access.runner(access.table.commit, transaction)
        if isinstance(committed, Success):
            return Success(None)
        error: TableError = committed.failure()
        if error.fault is TableFault.CONFLICT and is_outcome_unknown:
            return await _read_back(access, transaction, error)
        if error.fault is TableFault.CONFLICT:
            return committed
        if error.fault is TableFault.UNAVAILABLE and not is_outcome_unknown:
            return committed
        is_outcome_unknown = True
        await access.sleep(choose_pause(attempt, access.rng))
    return Failure(TableError(TableFault.UNKNOWN, detail="answer lost; may take effect"))


async def _read_back(
    access: TableAccess, transaction: Transaction, conflict: TableError
) -> Result[None, TableError]:
    """Read the rows to determine whether an earlier copy caused the conflict.

    A transaction that met a conflict can never take effect afterwards: versions only rise.
    """
    keys = tuple(write.key for write in transaction.writes)
    for attempt in range(ATTEMPTS_MAX):
        read = await access.runner(access.table.read, keys)
        if isinstance(read, Success):
            applied = is_applied(transaction, read.unwrap())
            return Success(None) if applied else Failure(conflict)
        await access.sleep(choose_pause(attempt, access.rng))
    return Failure(TableError(TableFault.UNKNOWN, detail="answer lost; could not be read back"))


def is_applied(transaction: Transaction, rows: tuple[Row, ...]) -> bool:
    """Return whether any row still contains the transaction's write id."""
    ours = {w.key: w.value[WRITE_ID] for w in transaction.writes if w.value is not None}
    return any(
        row.value is not None and row.key in ours and row.value.get(WRITE_ID) == ours[row.key]
        for row in rows
    )
