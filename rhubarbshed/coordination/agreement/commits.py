"""Commits to the table service: batched into few transactions, confirmed after lost answers."""

import asyncio
import enum
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import define, field, frozen
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.platform import TableClient
from rhubarbshed.protocol.tables import Committed, Row, TableError, TableFault, Transaction

log = logging.getLogger(__name__)

BATCH_TRANSACTIONS_MAX = 50
CONFIRM_ATTEMPTS_MAX = 3
ROUNDS_MAX = 4
CONFIRM_BACKOFF_S = 0.05

Runner = Callable[..., Awaitable[Any]]
Sleep = Callable[[float], Awaitable[None]]
CommitOutcome = Result[Committed, TableError]


class CommitEnd(enum.Enum):
    """Outcome of a confirmed commit; one with `OUTCOME_UNKNOWN` may still take effect."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    OUTCOME_UNKNOWN = "unsure"


@frozen
class CommitResult:
    """Outcome of a commit; `row` is the current row after a conflict."""

    end: CommitEnd
    row: Row | None = None


@frozen
class _PendingCommit:
    transaction: Transaction
    done: asyncio.Future


@define
class CommitBatcher:
    """Batches the transactions of this instance that arrive while another commit is in progress.

    `runner` calls a blocking function on a worker thread. A batch that meets a conflict is
    committed again one by one, so that no transaction fails because of another one.
    """

    client: TableClient
    runner: Runner
    sleep: Sleep = asyncio.sleep
    pending: list[_PendingCommit] = field(factory=list)
    is_flushing: bool = False
    commits: int = 0

    async def read(self, key: str) -> Result[Row, TableError]:
        """Read one row."""
        result = await self.runner(self.client.read, (key,))
        return result.map(lambda rows: rows[0])

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit a transaction, batched with other pending ones."""
        entry = _PendingCommit(transaction, asyncio.get_running_loop().create_future())
        self.pending.append(entry)
        if not self.is_flushing:
            self.is_flushing = True
            flush = asyncio.ensure_future(self._flush())
            flush.add_done_callback(_raise_task_exception)
        return await entry.done

    async def _flush(self) -> None:
        try:
            while self.pending:
                batch = self._next_batch()
                try:
                    await self._commit_batch(batch)
                finally:
                    _resolve_remaining(batch)
        finally:
            self.is_flushing = False

    def _next_batch(self) -> list[_PendingCommit]:
        """Remove and return pending transactions on distinct rows; the rest keep their order."""
        batch: list[_PendingCommit] = []
        rest: list[_PendingCommit] = []
        keys: set[str] = set()
        for entry in self.pending:
            touched = _list_keys(entry.transaction)
            if len(batch) < BATCH_TRANSACTIONS_MAX and keys.isdisjoint(touched):
                batch.append(entry)
            else:
                rest.append(entry)
            keys |= touched
        self.pending = rest
        return batch

    async def _commit_batch(self, batch: list[_PendingCommit]) -> None:
        merged = _merge_transactions([entry.transaction for entry in batch])
        outcome = await self._commit_one(merged)
        if len(batch) > 1 and _is_conflict(outcome):
            log.info("event=claim_batch_split transactions=%d", len(batch))
            for entry in batch:
                _resolve(entry, await self._commit_one(entry.transaction))
            return
        for entry in batch:
            _resolve(entry, outcome)

    async def _commit_one(self, transaction: Transaction) -> CommitOutcome:
        self.commits += 1
        return await self.runner(self.client.commit, transaction)


def _raise_task_exception(flush: asyncio.Future) -> None:
    """Raise the task's exception, so that the loop's exception handler reports it."""
    if not flush.cancelled():
        flush.result()


def _resolve(entry: _PendingCommit, outcome: CommitOutcome) -> None:
    if not entry.done.done():
        entry.done.set_result(outcome)


def _resolve_remaining(batch: list[_PendingCommit]) -> None:
    """Fail callers still waiting when a flush was aborted; the write may have taken effect."""
    for entry in batch:
        _resolve(entry, Failure(TableError(TableFault.UNKNOWN, detail="commit broken off")))


def _list_keys(transaction: Transaction) -> set[str]:
    checked = {check.key for check in transaction.checks}
    return checked | {write.key for write in transaction.writes}


def _merge_transactions(transactions: list[Transaction]) -> Transaction:
    checks = tuple(check for one in transactions for check in one.checks)
    writes = tuple(write for one in transactions for write in one.writes)
    return Transaction(checks, writes)


def _is_conflict(outcome: CommitOutcome) -> bool:
    return isinstance(outcome, Failure) and outcome.failure().fault is TableFault.CONFLICT


async def commit_confirmed(
    table: CommitBatcher, transaction: Transaction, write_id: str
) -> CommitResult:
    """Commit a transaction on one row whose value contains `write_id`, and determine its outcome.

    After a lost answer the same transaction is committed again. Either this copy takes effect and
    the lost one fails its check, or the conflict shows the row with this `write_id`.
    """
    key = transaction.checks[0].key
    is_outcome_unknown = False
    for attempt in range(CONFIRM_ATTEMPTS_MAX):
        if attempt:
            await table.sleep(CONFIRM_BACKOFF_S * 2 ** (attempt - 1))
        outcome = await table.commit(transaction)
        if isinstance(outcome, Success):
            return CommitResult(CommitEnd.COMMITTED)
        error = outcome.failure()
        if error.fault is TableFault.CONFLICT:
            return await _read_conflict(table, key, error, write_id, is_outcome_unknown)
        is_outcome_unknown = is_outcome_unknown or error.fault is TableFault.UNKNOWN
        if not is_outcome_unknown:
            return CommitResult(CommitEnd.UNAVAILABLE)
    return CommitResult(CommitEnd.OUTCOME_UNKNOWN)


async def commit_planned(
    table: CommitBatcher, key: str, plan: Callable[[Row], Transaction | None], write_id: str
) -> bool:
    """Plan from the current row and commit, until done or nothing is due; return success."""
    row = (await table.read(key)).value_or(None)
    for _ in range(ROUNDS_MAX):
        if row is None:
            return False
        transaction = plan(row)
        if transaction is None:
            return True
        result = await commit_confirmed(table, transaction, write_id)
        if result.end is CommitEnd.COMMITTED and result.row is None:
            return True
        row = result.row
    return False


async def _read_conflict(
    table: CommitBatcher, key: str, error: TableError, write_id: str, is_outcome_unknown: bool
) -> CommitResult:
    row = next((row for row in error.rows if row.key == key), None)
    if row is None:
        row = (await table.read(key)).value_or(None)
    if row is None:
        end = CommitEnd.OUTCOME_UNKNOWN if is_outcome_unknown else CommitEnd.UNAVAILABLE
        return CommitResult(end)
    is_own = row.value is not None and row.value.get("write_id") == write_id
    return CommitResult(CommitEnd.COMMITTED if is_own else CommitEnd.CONFLICT, row)
