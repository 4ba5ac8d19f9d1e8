"""Follower of the store's tables: configuration and backend servers."""

import asyncio
import logging
import math
import time
from collections.abc import Callable

from attrs import define, field
from returns.result import Failure, Result, Success

from rhubarbshed.coordination.serving.final_refusals import CONFIRMATION_WAIT_MAX_S
from rhubarbshed.coordination.serving.lease_state import count_restores, read_restores
from rhubarbshed.coordination.serving.versions import is_current
from rhubarbshed.platform.records import read_configuration, read_entries
from rhubarbshed.platform.rows import CONFIGURATION_KEY, OPERATOR_TABLE, SERVERS_TABLE, Page
from rhubarbshed.protocol.messages import StoreMessage
from rhubarbshed.protocol.routes import Configuration
from rhubarbshed.protocol.servers import EntryChange, ServerEntry
from rhubarbshed.protocol.tables import Row, TableError, TableFault
from rhubarbshed.state.membership.entry_age import EntryAge
from rhubarbshed.transport.edge.account_logs import report_accounts
from rhubarbshed.transport.edge.control import Transfer
from rhubarbshed.transport.edge.store import CALL_TIMEOUT_S, StoreClient
from rhubarbshed.transport.edge.view import LatchedSignal, Signal, View
from rhubarbshed.util.clocks import read_lease_clock
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

OPERATOR_WAIT_S = 2.0
"""Time for which the store may hold a query for a new configuration. A connection that stopped
responding is noticed only after it, and a configuration has to be in force within two seconds."""

SERVERS_WAIT_FRACTION = 0.8
SERVERS_WAIT_MAX_S = 1.6
"""Fraction of the time for which a leaving server may get requests in which the store may hold a
query for servers, and the longest such time. Only an answer to that query shows that no change was
missed: its connection may be dead while others work. With the time in which changes are collected
it is shorter than the age up to which entries count as current."""

CHANGE_BATCH_S = 0.5
"""Time in which an order holder collects changes of servers before the next query; each query has
a cost."""

DRAIN_FRACTION = 0.25
CHANGE_BATCH_MAX_S = 1.0
"""Fraction of the time for which a leaving server may get requests in which another instance
collects changes, and the longest such time: without a holder's messages, as after a start of all,
each instance queries for itself."""

PAUSE_FIRST_S = 0.1
PAUSE_LONGEST_S = 1.0
"""Pause between retries while the store is unavailable, doubled up to the longest: refused calls
have a cost too, and time limits count from three seconds after the store's return."""

RETRY_DELEGATION_S = 2.0
"""Longest time for which the query for servers leaves retries to the other query."""

STORE_MESSAGE_AGE_MAX_S = 0.75
"""Age of the order holder's last store message up to which an instance does not query servers
itself: three messages in a row are lost."""

STORE_MESSAGE_TURN_S = 0.15
"""Time between two checks of that age."""

OPERATOR_BACKUP_WAIT_S = 25.0
"""Time for which the store may hold a query for a configuration while the order holder's messages
would announce a new one; the store holds none for longer than 30 s."""

CONFIRMATION_FRACTION = 0.16
CONFIRMATION_WAIT_MIN_S = 0.7
"""Part of the bound on revoked keys for which the store may hold a query for a new configuration,
and the shortest such time, which makes one query a second more than usual. Each answer is dated by
when it was asked for, so its age reaches twice this part."""

FIRST_BYTE_MAX_S = 3.2
"""Longest time that a silent store gets to begin its answer to a read of all servers."""

BACKLOG_TRANSFER_S = 0.5
"""Time for an answer from which several configurations in it mean that more have come meanwhile."""

RELIED_AGE_FRACTION = 0.6
"""Part of that bound up to which an instance leaves the confirmation to the order holder; what is
left is enough for a query of its own."""

STORE_MESSAGE_CHECK_S = 0.3
"""Time between two checks whether the order holder still sends store messages."""

ApplyPage = Callable[[Page, bool, float], tuple[EntryChange, ...]]
"""Application of an answer, which has all rows or changes, at a time (monotonic seconds)."""


@define
class Follower:
    """Follower of the store that keeps a view up to date.

    An order holder publishes what it read; other instances apply its messages (the last one at
    `message_received_at`) and query the store themselves if they missed changes or the messages
    stop. `servers_revision` is in `servers_era` of the store, and unknown in a later one until all
    entries are read again. The entries are the same at all revisions from `changed_revision` on.
    The query for a configuration that is in progress was sent at `operator_asked_at` (lease clock),
    and its answer arrives by `operator_transfer`. All configurations up to `operator_revision` in
    `operator_era` are known, and up to `late_revision` if its answer came late. While
    `is_configuration_unread`, the latest one could not be read, and nothing confirms the known one.
    While `is_catching_up`, configurations come faster than they arrive. `was_paused` is whether the
    process stood still during the query for one.
    """

    store: StoreClient
    view: View
    store_suspected: Signal = field(factory=Signal)
    regained_at: float = -1e9
    publish: Callable[[int, int, tuple[EntryChange, ...]], None] = (
        lambda before, revision, changes: None
    )
    count_unreadable: Callable[[str], None] = lambda kind: None
    count_account_problem: Callable[[str, str], None] = lambda account, reason: None
    is_holder: Callable[[], bool] = lambda: False
    servers_revision: int | None = None
    changed_revision: int = 0
    servers_era: int = 0
    configuration_revision: int = 0
    operator_asked_at: float = -math.inf
    operator_transfer: Transfer = field(factory=Transfer)
    operator_revision: int | None = None
    operator_era: int = 0
    late_revision: int | None = None
    is_configuration_unread: bool = False
    is_catching_up: bool = False
    was_paused: bool = False
    read_anew: LatchedSignal = field(factory=LatchedSignal)
    message_received_at: float = -1e9
    message_settled: bool = True
    fell_behind: Signal = field(factory=Signal)
    new_configuration: Signal = field(factory=Signal)
    configuration_applied: Signal = field(factory=Signal)
    is_behind: bool = False
    failing_tables: set[str] = field(factory=set)
    store_returned: Signal = field(factory=Signal)

    @property
    def entry_age(self) -> EntryAge:
        """Return the age of the known entries."""
        return self.view.versions.entry_age

    @property
    def must_confirm(self) -> bool:
        """Return whether keys are trusted only while the configuration is confirmed."""
        known = self.view.configuration
        has_accounts = known is not None and known.accounts is not None
        return has_accounts and self.view.settings.strict_revocation

    async def follow_configuration(self) -> None:
        """Follow the operator's configuration forever."""
        await self._follow(OPERATOR_TABLE, self._apply_operator_page)

    async def follow_servers(self) -> None:
        """Follow the servers' entries forever."""
        await self._follow(
            SERVERS_TABLE, lambda page, *when: self._apply_servers(page.scan.rows, *when)
        )

    def has_recent_message(self, now: float) -> bool:
        """Return whether the order holder announces changes to this instance.

        One that has lost the store, or did lately, is not relied on: others may reach it.
        """
        is_recent = now - self.message_received_at < STORE_MESSAGE_AGE_MAX_S
        return is_recent and self.message_settled and not self.is_holder()

    def relies_on_holder(self, now: float) -> bool:
        """Return whether the order holder announces new configurations, and confirms this one.

        One of an older build confirms nothing.
        """
        if not self.must_confirm:
            return self.has_recent_message(now)
        age_s = self.entry_age.measure_configuration_age(read_lease_clock())
        is_confirmed = age_s < RELIED_AGE_FRACTION * self.view.settings.revocation_s
        return is_confirmed and self.has_recent_message(now)

    def handle_restore(self, now: float) -> None:
        """Read all tables again, as revisions of the store's former era mean nothing any more."""
        self.servers_revision = None
        self.entry_age.record_restore(now)
        self.regained_at = now
        self._query_again()

    def handle_pause(self) -> None:
        """Read the latest configuration next, as the process stood still."""
        self.was_paused = True

    def _query_again(self) -> None:
        self.is_behind = True
        self.fell_behind.fire()
        self.store_suspected.fire()
        self.new_configuration.fire()

    def handle_store_message(self, message: StoreMessage, now: float) -> None:
        """Apply the order holder's store message; if earlier ones were missed, query the store."""
        restores = read_restores(message.token)
        if restores < count_restores(self.servers_era):
            return
        if restores > count_restores(self.servers_era):
            # The answer to a query states the era, in which all entries are read.
            self._query_again()
            return
        self.message_received_at = now
        self.message_settled = message.settled
        known = self.view.configuration
        if message.configuration > (known.version if known is not None else 0):
            self.new_configuration.fire()
        revision = self.servers_revision
        misses_nothing = revision is not None and message.before <= revision <= message.revision
        heartbeat_s = self.view.settings.heartbeat_s
        self.entry_age.record_message(message.settled, misses_nothing, now, heartbeat_s)
        if revision is None or message.revision <= revision:
            return
        if message.before > revision:
            self.is_behind = True
            self.fell_behind.fire()
            return
        self.servers_revision = message.revision
        rows = tuple(Row(key, version, value, version) for key, version, value in message.rows)
        if rows:
            self.changed_revision = message.revision
            self._apply_servers(rows, False, now)

    async def _wait_for_turn(self, table: str) -> None:
        """Delay a query for servers as long as the order holder announces all changes.

        Messages do not resume a view that changes may be missing from, if it is ahead of the holder
        or the store is lost here: only an answer to an own call does.
        """
        while (
            table == SERVERS_TABLE
            and self.has_recent_message(time.monotonic())
            and not self.entry_age.is_suspended
            and not self.is_behind
        ):
            await self.fell_behind.wait(STORE_MESSAGE_TURN_S)
        self.is_behind = False

    def measure_batch_s(self) -> float:
        """Return the seconds in which changes are collected before the next query for servers."""
        if self.is_holder():
            return CHANGE_BATCH_S
        allowed_s = DRAIN_FRACTION * self.view.settings.drain_s
        return max(CHANGE_BATCH_S, min(CHANGE_BATCH_MAX_S, allowed_s))

    def _choose_wait(self, table: str) -> float:
        if self.entry_age.lost_at is not None:
            return 0.0
        if table == SERVERS_TABLE:
            if self.entry_age.is_suspended:
                # The answer shows whether anything changed while the store was away.
                return 0.0
            if self.has_recent_message(time.monotonic()):
                return 0.0
            allowed_s = SERVERS_WAIT_FRACTION * self.view.settings.drain_s
            return min(SERVERS_WAIT_MAX_S, allowed_s)
        if self.relies_on_holder(time.monotonic()):
            return OPERATOR_BACKUP_WAIT_S
        if not self.must_confirm:
            return OPERATOR_WAIT_S
        wait_s = CONFIRMATION_FRACTION * self.view.settings.revocation_s
        return min(OPERATOR_WAIT_S, max(CONFIRMATION_WAIT_MIN_S, wait_s))

    async def _follow(self, table: str, apply: ApplyPage) -> None:
        revision: int | None = None
        era = self.store.era
        pause_s = PAUSE_FIRST_S
        first_s = CALL_TIMEOUT_S
        while True:
            if table == SERVERS_TABLE and revision is not None:
                await self._wait_for_turn(table)
                revision = max(revision, self.servers_revision or 0)
            elif table == OPERATOR_TABLE:
                revision, era = self._find_known(revision, era)
            if era != self.store.era:
                revision = None
            wait_s = self._choose_wait(table)
            is_full_read = revision is None
            sent_at = time.monotonic()
            if table == OPERATOR_TABLE:
                self.operator_asked_at = read_lease_clock()
            if is_full_read:
                result = await self._read_all(table, first_s)
            else:
                result = await self._query_changes(table, revision, wait_s)
            now = time.monotonic()
            if table == OPERATOR_TABLE:
                self.operator_transfer = Transfer()
            if isinstance(result, Success):
                self.failing_tables.discard(table)
                del self.view.failed_reads[table]
                self._record_response(sent_at, now)
                scan = result.unwrap().scan
                if scan.era != (self.store.era if is_full_read else era):
                    continue
                revision, era = scan.revision, scan.era
                pause_s, first_s = PAUSE_FIRST_S, CALL_TIMEOUT_S
                if table == SERVERS_TABLE:
                    self.entry_age.record_read(sent_at, now, is_full_read)
                known = self.view.configuration
                changes = apply(result.unwrap(), is_full_read, now)
                if table == OPERATOR_TABLE:
                    has_news = self.view.configuration is not known
                    self._check_backlog(scan.rows, has_news, now - sent_at)
                    if self.is_catching_up or self.was_paused:
                        revision = None
                    self.was_paused = False
                if table == SERVERS_TABLE:
                    before = self.changed_revision
                    self.servers_revision, self.servers_era = revision, era
                    if is_full_read or scan.rows:
                        self.changed_revision = revision
                if is_full_read:
                    self.read_anew.fire()
                elif table == SERVERS_TABLE and changes:
                    self.publish(before, revision, changes)
                    await asyncio.sleep(self.measure_batch_s())
                continue
            if result.failure().fault is TableFault.CONFLICT:
                log_event(LOG, logging.WARNING, "history_gone", table=table, revision=revision)
                revision = None
                if table == OPERATOR_TABLE:
                    self.operator_revision = None
                if table == SERVERS_TABLE:
                    self.entry_age.suspend()
                continue
            self._record_failure(table, result.failure(), now)
            self.failing_tables.add(table)
            if table == SERVERS_TABLE and is_full_read and result.failure().waited_s:
                # A slow store never gets the entries through in the same time.
                first_s = min(FIRST_BYTE_MAX_S, first_s * 2.0)
            if table == OPERATOR_TABLE and self.entry_age.is_outage:
                # The history has each configuration whole: several of them do not come in time over
                # a slow link, while the latest one is all that is needed.
                revision = None
            spread_s = pause_s * (0.75 + 0.5 * self.view.rng.random())
            self._record_failed_read(table, result.failure(), now + spread_s)
            await self._pause(table, spread_s)
            pause_s = min(PAUSE_LONGEST_S, pause_s * 2)

    def _find_known(self, revision: int | None, era: int) -> tuple[int | None, int]:
        """Return up to where the configuration is known, if other answers than the last one count.

        Takes and returns a revision, None if all has to be read, and its era.
        """
        late, self.late_revision = self.late_revision, None
        if revision is None and late is not None:
            return late, self.operator_era
        if revision is not None and self.operator_era == era:
            return max(revision, self.operator_revision or 0), era
        return revision, era

    def _check_backlog(self, rows: tuple[Row, ...], has_news: bool, took_s: float) -> None:
        """Decide whether to read the latest configuration next rather than the history.

        The history has each configuration whole. Over a slow link, more of them may come than
        arrive. An answer with `rows` took some seconds, and `has_news` or not.
        """
        was_catching_up = self.is_catching_up
        count = sum(row.key == CONFIGURATION_KEY for row in rows)
        self.is_catching_up = took_s > BACKLOG_TRANSFER_S and (
            count > 1 or (was_catching_up and has_news)
        )

    async def _read_all(self, table: str, first_s: float) -> Result[Page, TableError]:
        transfer = Transfer()
        if table == OPERATOR_TABLE:
            self.operator_transfer = transfer
        return await self.store.read_all(table, transfer, first_s)

    async def _pause(self, table: str, pause_s: float) -> None:
        """Wait before a retry; while both queries fail, one is enough to detect the return."""
        if table == OPERATOR_TABLE:
            await self.store.wait_for_arriving()
        if table == SERVERS_TABLE and OPERATOR_TABLE in self.failing_tables:
            await self.store_returned.wait(RETRY_DELEGATION_S)
        else:
            await asyncio.sleep(pause_s)

    async def _query_changes(
        self, table: str, revision: int, wait_s: float
    ) -> Result[Page, TableError]:
        """Query changes; abandon a long query once another one got no response."""
        transfer = Transfer()
        if table == OPERATOR_TABLE:
            self.operator_transfer = transfer
        query = asyncio.ensure_future(self.store.follow(table, revision, wait_s, transfer))
        overdue = asyncio.ensure_future(self._wait_until_suspect(table, wait_s))
        try:
            await asyncio.wait((query, overdue), return_when=asyncio.FIRST_COMPLETED)
            if query.done() or transfer.received_bytes:
                return await query
            if table == OPERATOR_TABLE:
                # The connection may be dead, so the query is repeated on another one.
                self.operator_asked_at = read_lease_clock()
                self.operator_transfer = transfer = Transfer()
                return await self.store.follow(table, revision, 0.0, transfer, fresh=True)
            return Failure(TableError(TableFault.UNKNOWN, detail="the store stopped responding"))
        finally:
            query.cancel()
            overdue.cancel()

    async def confirm_configuration(self) -> None:
        """Query a later configuration once, beside the query that the store holds.

        Without an answer in the time that a request waits the follower's own query is repeated,
        which shows whether the store is lost and takes an answer that arrives slowly.
        """
        asked_at, revision, era = read_lease_clock(), self.operator_revision, self.operator_era
        if revision is None or era != self.store.era:
            return
        if self.operator_transfer.received_bytes:
            # A second answer would share the link with the one that is arriving.
            await self.configuration_applied.wait(CONFIRMATION_WAIT_MAX_S)
            return
        result = await self.store.follow(
            OPERATOR_TABLE, revision, 0.0, fresh=True, transfer_max_s=CONFIRMATION_WAIT_MAX_S
        )
        if isinstance(result, Failure):
            # A busy store refuses at once; one that is lost accepts no connection, or is silent.
            if read_lease_clock() - asked_at >= CALL_TIMEOUT_S:
                self.new_configuration.fire()
        elif result.unwrap().scan.era == era:
            self._apply_configurations(result.unwrap(), False, asked_at, time.monotonic())

    def handle_late_answer(self, table: str, page: Page, asked_at: float) -> None:
        """Apply an answer on the configuration that came after its query was given up."""
        now = time.monotonic()
        age_s = read_lease_clock() - asked_at
        log_event(LOG, logging.INFO, "late_answer", table=table, age_ms=round(age_s * 1000))
        self._record_response(now - age_s, now)
        self._apply_configurations(page, False, asked_at, now)
        self.late_revision = self.operator_revision

    def _apply_operator_page(
        self, page: Page, is_full_read: bool, now: float
    ) -> tuple[EntryChange, ...]:
        self._apply_configurations(page, is_full_read, self.operator_asked_at, now)
        return ()

    def _apply_configurations(
        self, page: Page, is_full_read: bool, asked_at: float, now: float
    ) -> None:
        """Apply an answer to a query that was sent at `asked_at` (lease clock).

        An answer with changes that comes after a later one has nothing new.
        """
        scan = page.scan
        known = self.operator_revision if scan.era == self.operator_era else None
        if not is_full_read and known is not None and scan.revision < known:
            return
        self.operator_revision, self.operator_era = scan.revision, scan.era
        self._apply_operator(scan.rows, is_full_read, now)
        self._confirm_configuration(page, asked_at)
        self.configuration_applied.fire()

    async def _wait_until_suspect(self, table: str, wait_s: float) -> None:
        """Wait until a query should not be waited for any longer."""
        until = time.monotonic() + wait_s * 2 + 1.0
        if table == SERVERS_TABLE:
            await self.store_suspected.wait(wait_s * 2 + 1.0)
            return
        while time.monotonic() < until:
            if await self.new_configuration.wait(STORE_MESSAGE_CHECK_S):
                return
            if wait_s > OPERATOR_WAIT_S and not self.relies_on_holder(time.monotonic()):
                return

    def is_confirmed(self, now: float) -> bool:
        """Return whether the store confirmed lately that the known servers are the current ones."""
        return self.entry_age.lost_at is None and is_current(self.view.versions, now)

    def _record_response(self, sent_at: float, now: float) -> None:
        away_s = self.entry_age.record_response(sent_at, now, self.view.settings.heartbeat_s)
        if away_s is not None:
            log_event(
                LOG, logging.WARNING, "dependency_regained", name="store", away_s=round(away_s, 2)
            )
            self.regained_at = now
            self.store_returned.fire()

    def _record_failure(self, table: str, error: TableError, now: float) -> None:
        if self.entry_age.record_failure(error, table in self.failing_tables, now):
            log_event(
                LOG,
                logging.WARNING,
                "dependency_lost",
                name="store",
                table=table,
                reason=error.detail,
            )
            self.store_suspected.fire()

    def _record_failed_read(self, table: str, error: TableError, next_read_at: float) -> None:
        view = self.view
        view.failed_reads[table] = 0 if error.is_busy else view.failed_reads[table] + 1
        view.next_read_at = next_read_at
        # Callers may be waiting for the first read.
        view.changed.fire()

    def _apply_operator(self, rows: tuple[Row, ...], is_full_read: bool, now: float) -> None:
        view = self.view
        for row in rows:
            if row.key != CONFIGURATION_KEY or row.value is None:
                continue
            read = read_configuration(row.value)
            if isinstance(read, Failure):
                self.is_configuration_unread = True
                self.count_unreadable("configuration")
                log_event(LOG, logging.ERROR, "configuration_unreadable", reason=read.failure())
                continue
            self.configuration_revision = row.version
            self.is_configuration_unread = False
            known = view.configuration
            if known is not None and read.unwrap().version <= known.version:
                continue
            view.configuration = read.unwrap()
            self._record_routes(known, view.configuration, is_full_read, now)
            log_event(
                LOG,
                logging.INFO,
                "configuration",
                version=view.configuration.version,
                before=known.version if known else 0,
                revision=row.version,
                routes=sum(len(each) for each in view.configuration.routes.values()),
                header_ms=round(view.limits.header_timeout_s * 1000),
                idle_ms=round(view.limits.idle_timeout_s * 1000),
            )
            report_accounts(view.configuration, self.count_account_problem)
            view.changed.fire()
        view.configured_at = now

    def _confirm_configuration(self, page: Page, asked_at: float) -> None:
        """Record that the known configuration is in force, if the store's latest one is known."""
        is_read = any(row.key == CONFIGURATION_KEY for row in page.scan.rows)
        if page.unreadable and not is_read:
            self.is_configuration_unread = True
        if self.view.configuration is not None and not self.is_configuration_unread:
            self.entry_age.confirm_configuration(asked_at, read_lease_clock())

    def _record_routes(
        self, before: Configuration | None, after: Configuration, is_full_read: bool, now: float
    ) -> None:
        routes = self.view.versions.routes
        if before is None or is_full_read or self.regained_at > self.view.configured_at:
            # Configurations between the two may not have been read.
            routes.restart(now)
        else:
            routes.record(before, after, now)

    def _apply_servers(
        self, rows: tuple[Row, ...], is_full_read: bool, now: float
    ) -> tuple[EntryChange, ...]:
        view = self.view
        view.fleet_at = now
        present = set()
        view.versions.drop_older(view.fleet, now)
        if is_full_read:
            view.versions.restart(now)
        changes = read_entries(rows)
        for change in changes:
            if change.entry is not None:
                present.add(change.server_id)
                self._apply_entry(change.entry, change.revision, now)
            elif change.unreadable:
                self._skip_unreadable(change, now)
            else:
                view.versions.record_removal(change.server_id, now)
                self._mark_missing(change.server_id, now)
        if is_full_read:
            since = self.entry_age.date_change(now)
            for server_id in view.fleet.mark_missing(present, since):
                self._log_missing(server_id, "not_listed", since, now)
        view.changed.fire()
        return changes

    def _skip_unreadable(self, change: EntryChange, now: float) -> None:
        self.view.versions.record_unreadable(change.server_id, now)
        self.count_unreadable("entry")
        reason = change.unreadable
        log_event(LOG, logging.INFO, "entry_unreadable", server=change.server_id, reason=reason)

    def _apply_entry(self, entry: ServerEntry, revision: int, now: float) -> None:
        known = self.view.fleet.get(entry.server_id)
        if known is not None:
            self.view.versions.record_entry(known.entry, now)
        self.view.versions.record_entry(entry, now)
        what = self.view.fleet.apply(entry, now, self.entry_age.date_change(now))
        if what:
            log_event(
                LOG,
                logging.INFO,
                f"server_{what}",
                server=entry.server_id,
                service=entry.service,
                state=entry.state.value,
                data_centre=entry.data_centre,
                address=f"{entry.host}:{entry.port}",
                models=",".join(sorted(entry.models)),
                version=entry.version,
                revision=revision,
            )

    def _mark_missing(self, server_id: str, now: float) -> None:
        record = self.view.fleet.get(server_id)
        if record is None:
            return
        if record.leaving_at is not None:
            self._drop(server_id, "left", now)
        elif record.missing_since is None:
            record.missing_since = self.entry_age.date_change(now)
            self._log_missing(server_id, "entry_removed", record.missing_since, now)

    def _log_missing(self, server_id: str, why: str, since: float, now: float) -> None:
        log_event(
            LOG,
            logging.INFO,
            "server_missing",
            server=server_id,
            why=why,
            since_ms=round((now - since) * 1000),
            settled=not self.entry_age.may_have_lapsed(now),
        )

    def drop_missing(self, now: float) -> None:
        """Drop servers that have been without an entry for long enough to be gone."""
        before = self.entry_age.find_removed_before(self.view.settings.drain_s, now)
        if before is None:
            return
        for server_id in self.view.fleet.list_missing_since(before):
            self._drop(server_id, "without_entry", now)

    def _drop(self, server_id: str, why: str, now: float) -> None:
        record = self.view.fleet.get(server_id)
        if record is not None and record.leaving_at is None:
            self.view.versions.record_lapsed(record.entry, now)
        elif record is not None:
            self.view.versions.record_entry(record.entry, now)
        self.view.fleet.remove(server_id)
        log_event(LOG, logging.INFO, "server_gone", server=server_id, why=why)
