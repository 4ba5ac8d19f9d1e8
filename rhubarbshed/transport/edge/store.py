"""Client of the platform's store."""

import asyncio
import functools
import logging
from collections.abc import Callable

from attrs import define, evolve, field
from returns.result import Failure, Result, Success

from rhubarbshed.platform.rows import (
    OPERATOR_TABLE,
    Page,
    make_commit,
    make_feed_read,
    make_read,
    read_commit,
    read_era,
    read_page,
)
from rhubarbshed.protocol.exchanges import ControlCall
from rhubarbshed.protocol.tables import (
    Committed,
    Row,
    TableError,
    TableFault,
    Transaction,
)
from rhubarbshed.transport.edge.channels import Channel
from rhubarbshed.transport.edge.control import (
    AnswerLimits,
    CallOptions,
    ControlAnswer,
    Transfer,
    call_with_options,
    is_answered,
)
from rhubarbshed.transport.edge.pools import Address, Pool
from rhubarbshed.util.clocks import read_lease_clock
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

CALL_TIMEOUT_S = 0.8
"""Time for a response; the store takes a few milliseconds, and a quarter of a second when it is
slow. A call to an unresponsive store is never answered, so the next one should not wait long."""

TRANSFER_MAX_S = 15.0
"""Longest time for an answer that goes on arriving: the largest one takes 13 s over 5 Mbit/s."""

LATE_ANSWER_S = 3.2
"""Time in which an overdue answer to a query for a configuration may still begin."""

LATE_ANSWERS_MAX = 3
"""Most overdue answers that are waited for."""

PAGES_MAX = 64
"""Most pages of a table: the largest one has 8 for each data centre, its 120 rows of 64 KB."""

LOGGED_BYTES_MIN = 65_536
"""Size from which each answer with rows is logged."""

FOLLOW_MARGIN_S = 0.8
"""Time beyond the agreed wait after which a request for changes is abandoned."""

READ_LIMITS = AnswerLimits(CALL_TIMEOUT_S, CALL_TIMEOUT_S, TRANSFER_MAX_S)
LATE_LIMITS = AnswerLimits(LATE_ANSWER_S, CALL_TIMEOUT_S, TRANSFER_MAX_S)


@define
class StoreClient:
    """Client for rows of the store; each table has its own connection for following changes.

    `count` takes the kind and table of each call, `count_unreadable` what cannot be decoded. `era`
    is the latest era that the store stated, 0 before; `on_restored` are called when it rises.
    `on_late` takes overdue answers on changes of the configuration: table, page, and when they were
    asked for, in seconds of the lease clock.
    """

    address: Address
    pool: Pool
    count: Callable[[str, str], None] = lambda kind, table: None
    count_unreadable: Callable[[str], None] = lambda kind: None
    on_late: Callable[[str, Page, float], None] = lambda table, page, asked_at: None
    era: int = 0
    on_restored: list[Callable[[], None]] = field(factory=list)
    _states_era: bool = False
    _late_answers: dict[asyncio.Task, Transfer] = field(factory=dict)

    async def read_all(
        self, table: str, transfer: Transfer | None = None, first_s: float = CALL_TIMEOUT_S
    ) -> Result[Page, TableError]:
        """Return all rows of a table; `scan.revision` is that of the first page read.

        The store has `first_s` to begin each page.
        """
        rows: list[Row] = []
        start = ""
        first: Page | None = None
        for _ in range(PAGES_MAX):
            self.count("read", table)
            limits = evolve(READ_LIMITS, first_s=first_s)
            options = CallOptions(limits, transfer=transfer or Transfer())
            page = await self._read(table, make_read(table, start), options, not start)
            if isinstance(page, Failure):
                return page
            found = page.unwrap()
            first = first or found
            if found.scan.era != first.scan.era:
                return Failure(TableError(TableFault.UNKNOWN, detail="restored between two pages"))
            rows += found.scan.rows
            if found.next_key is None:
                scan = evolve(first.scan, rows=tuple(rows))
                return Success(Page(scan, None, first.now_ms))
            if found.next_key <= start:
                break
            start = found.next_key
        return Failure(TableError(TableFault.UNKNOWN, detail="pages without an end"))

    async def follow(
        self,
        table: str,
        after: int,
        wait_s: float,
        transfer: Transfer | None = None,
        fresh: bool = False,
        transfer_max_s: float = TRANSFER_MAX_S,
    ) -> Result[Page, TableError]:
        """Return the rows that changed after a revision, once there are any.

        A `fresh` connection carries the call where kept ones may no longer respond. The answer may
        take `transfer_max_s` beyond the wait.
        """
        self.count("follow", table)
        sent = make_feed_read(table, after, wait_s)
        limits = AnswerLimits(wait_s + FOLLOW_MARGIN_S, CALL_TIMEOUT_S, wait_s + transfer_max_s)
        return await self._read(table, sent, CallOptions(limits, fresh, transfer or Transfer()))

    async def commit(self, table: str, transaction: Transaction) -> Result[Committed, TableError]:
        """Change rows of a table."""
        self.count("commit", table)
        answer = await self._call(make_commit(table, transaction), CallOptions(READ_LIMITS))
        return answer.bind(lambda got: read_commit(got.status, got.body, self.era))

    async def _read(
        self, table: str, sent: ControlCall, options: CallOptions, is_first: bool = True
    ) -> Result[Page, TableError]:
        asked_at = read_lease_clock()
        if table == OPERATOR_TABLE and is_first:
            keep = functools.partial(self._keep_exchange, table, asked_at, self.era)
            options = evolve(options, keep=keep)
        answer = await self._call(sent, options)
        return self._read_answer(table, answer, asked_at)

    def _read_answer(
        self, table: str, answer: Result[ControlAnswer, TableError], asked_at: float
    ) -> Result[Page, TableError]:
        page = answer.bind(lambda got: read_page(got.status, got.body, self.era))
        if isinstance(page, Success):
            took_s = read_lease_clock() - asked_at
            _log_read(table, len(page.unwrap().scan.rows), len(answer.unwrap().body), took_s)
        if isinstance(page, Success) and (count := page.unwrap().unreadable):
            self.count_unreadable("row")
            log_event(LOG, logging.WARNING, "rows_unreadable", table=table, count=count)
        return page

    async def _call(
        self, sent: ControlCall, options: CallOptions
    ) -> Result[ControlAnswer, TableError]:
        answer = await call_with_options(self.pool, self.address, sent, options)
        return answer.bind(self._check_era)

    async def wait_for_arriving(self) -> None:
        """Wait until no overdue answer is arriving; another one would share its link."""
        while arriving := [
            task for task, transfer in self._late_answers.items() if transfer.received_bytes
        ]:
            await asyncio.wait(arriving)

    def _keep_exchange(
        self, table: str, asked_at: float, era: int, exchange: asyncio.Task, channel: Channel
    ) -> None:
        """Wait for an overdue answer, which a slow store gives after its query was repeated."""
        transfer = Transfer()
        transfer.start(channel)
        work = self._take_late_answer(table, asked_at, era, exchange, channel, transfer)
        task = asyncio.create_task(work)
        self._late_answers[task] = transfer
        task.add_done_callback(self._late_answers.pop)
        waiting = [each for each, begun in self._late_answers.items() if not begun.received_bytes]
        if len(waiting) > LATE_ANSWERS_MAX:
            waiting[0].cancel()

    async def _take_late_answer(
        self,
        table: str,
        asked_at: float,
        era: int,
        exchange: asyncio.Task,
        channel: Channel,
        transfer: Transfer,
    ) -> None:
        try:
            if not await is_answered(exchange, transfer, LATE_LIMITS) or exchange.exception():
                return
            answer = Success(exchange.result()).bind(self._check_era)
            page = self._read_answer(table, answer, asked_at)
            # The rest of a table may have the configuration, and an earlier era proves nothing.
            is_whole = isinstance(page, Success) and page.unwrap().next_key is None
            if is_whole and self.era == era:
                self.on_late(table, page.unwrap(), asked_at)
        finally:
            exchange.cancel()
            channel.abort()

    def _check_era(self, answer: ControlAnswer) -> Result[ControlAnswer, TableError]:
        """Record the era of an answer; one from before a restore proves nothing any more."""
        era = read_era(answer.headers)
        if era is None:
            return Success(answer)
        if era < self.era:
            log_event(LOG, logging.INFO, "answer_outdated", era=era, known=self.era)
            return Failure(TableError(TableFault.UNKNOWN, detail="an answer of an earlier era"))
        before, self.era = self.era, era
        was_stated, self._states_era = self._states_era, True
        if was_stated and era > before:
            log_event(LOG, logging.WARNING, "store_restored", era=era, before=before)
            for handle in self.on_restored:
                handle()
        return Success(answer)


def _log_read(table: str, rows: int, size: int, took_s: float) -> None:
    """Log an answer that has configurations, or many bytes."""
    if rows and (table == OPERATOR_TABLE or size > LOGGED_BYTES_MIN):
        took_ms = round(took_s * 1000)
        log_event(
            LOG, logging.INFO, "store_read", table=table, rows=rows, bytes=size, took_ms=took_ms
        )


def log_calls(counts: dict[tuple[str, ...], int]) -> None:
    """Log the number of calls since the last line, by kind and table."""
    if counts:
        calls = ",".join(f"{kind}:{table}={count}" for (kind, table), count in counts.items())
        log_event(LOG, logging.INFO, "store_calls", total=sum(counts.values()), calls=calls)
