"""Lease of the order holder, kept in rows of the store."""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen
from returns.result import Failure, Result, Success

from rhubarbshed.coordination.serving.lease_state import LeaseState, Step
from rhubarbshed.platform.rows import OWN_TABLE
from rhubarbshed.protocol.message_checks import is_address, is_number, is_text
from rhubarbshed.protocol.tables import (
    Check,
    Committed,
    Row,
    TableError,
    TableFault,
    Transaction,
    Write,
)
from rhubarbshed.state.requests.known_instances import DATA_CENTRES_MAX
from rhubarbshed.transport.edge.store import StoreClient
from rhubarbshed.util.clocks import read_lease_clock
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

Address = tuple[str, int]

LEASE_PREFIX = "orders/"
HOLDERS_READ_INTERVAL_S = 1.0
"""Shortest time between two reads of the rows of the other holders, while one is unknown."""
LEASE_POLL_S = 0.05
"""Time between two checks whether a step is due; a small part of the shortest lease."""


@frozen
class LeaseRow:
    """Value of a lease's row: its holder and where that receives messages.

    `nonce` is that of the holder's process, which `gives_orders`: it waits for no other holder.
    `era` is that of the store as known to the process.
    """

    holder: str
    address: Address
    nonce: str = ""
    gives_orders: bool = False
    era: int = 0


def read_lease_row(value: dict[str, Any]) -> Result[LeaseRow, str]:
    """Decode the value of a lease's row; another build or writer may have left another one."""
    holder, nonce = value.get("holder", ""), value.get("nonce", "")
    address = (value.get("host"), value.get("port"))
    if not (is_text(holder) and is_text(nonce)):
        return Failure("its holder is no short text")
    if not is_address(address):
        return Failure("its address is none")
    era = value.get("era", 0)
    gives_orders = value.get("gives_orders") is True and is_number(era)
    return Success(LeaseRow(holder, address, nonce, gives_orders, era if is_number(era) else 0))


@define
class LeaseClient:
    """Client that keeps or takes the lease of a data centre.

    `address` is where this instance receives messages (IP, port). `other_holders` are the addresses
    of the other data centres' holders as their rows name them. `measure_cut` returns for how many
    seconds no engine could be reached.
    """

    store: StoreClient
    lease_state: LeaseState
    name: str
    data_centre: str
    address: tuple[str, int]
    nonce: str
    on_holders_read: Callable[[dict[str, tuple[str, int]]], None] = lambda other_holders: None
    measure_cut: Callable[[float], float] = lambda now: 0.0
    count_unreadable: Callable[[str], None] = lambda kind: None
    holder_address: tuple[str, int] | None = None
    lapsed: bool = False
    other_holders: dict[str, tuple[str, int]] = field(factory=dict)
    other_holders_read_at: float = -1e9
    other_holders_due: bool = False

    async def maintain(self) -> None:
        """Renew, take or follow the lease forever."""
        while True:
            now = read_lease_clock()
            self._check_era(now)
            step = self.lease_state.choose_step(now, self.measure_cut(time.monotonic()))
            if step is Step.RENEW:
                await self._renew()
            elif step is Step.RELEASE:
                await self.release()
            elif step is Step.READ:
                await self._read()
            elif step in (Step.CREATE, Step.TAKE_OVER):
                await self._take_lease(step)
            elif self.other_holders_due:
                await self._read_other_holders()
            self._log_order_right(read_lease_clock())
            await asyncio.sleep(LEASE_POLL_S)

    async def release(self) -> None:
        """Release the lease before a stop, or while no engine can be reached."""
        if self.lease_state.held:
            written = await self._write()
            self._lose_lease("released" if isinstance(written, Success) else "stopping_unwritten")

    @property
    def key(self) -> str:
        """Return the key of the lease's row."""
        return LEASE_PREFIX + self.data_centre

    def measure_silence(self) -> float:
        """Return the seconds since the last message of the holder of this data centre."""
        return read_lease_clock() - self.lease_state.last_received_at

    def apply_holder_message(
        self, token: int, address: tuple[str, int], gives_orders: bool
    ) -> None:
        """Record a message of the holder of this data centre as a sign that it is alive."""
        if token < self.lease_state.token:
            return
        if not self.lease_state.held:
            self.lease_state.token = token
            self.holder_address = address
        if gives_orders:
            self.lease_state.last_received_at = read_lease_clock()

    def check_holders(self, known: dict, now: float) -> None:
        """Request a read of the other holders' rows where one is unknown or unresponsive."""
        unresponsive = [
            data_centre
            for data_centre, address in self.other_holders.items()
            if data_centre not in known
            or now - known[data_centre].last_received_at > HOLDERS_READ_INTERVAL_S
            or known[data_centre].address != address
        ]
        unknown = not self.other_holders or bool(unresponsive)
        self.other_holders_due = (
            unknown and now - self.other_holders_read_at > HOLDERS_READ_INTERVAL_S
        )

    async def _read_other_holders(self) -> None:
        self.other_holders_read_at = time.monotonic()
        self.other_holders_due = False
        result = await self.store.read_all(OWN_TABLE)
        if isinstance(result, Success):
            self._record_other_holders(result.unwrap().scan.rows)

    def _record_other_holders(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            data_centre = row.key.removeprefix(LEASE_PREFIX)
            is_lease = row.key.startswith(LEASE_PREFIX) and row.value is not None
            if not is_lease or data_centre == self.data_centre:
                continue
            read = self._read_row(row)
            is_new = data_centre not in self.other_holders
            if read is None or (is_new and len(self.other_holders) >= DATA_CENTRES_MAX):
                continue
            self.other_holders[data_centre] = read.address
        self.on_holders_read(self.other_holders)

    def _read_row(self, row: Row) -> LeaseRow | None:
        read = read_lease_row(row.value or {})
        if isinstance(read, Success) and is_text(row.key):
            return read.unwrap()
        self.count_unreadable("lease")
        why = read.failure() if isinstance(read, Failure) else "its key is no short text"
        log_event(LOG, logging.INFO, "lease_unreadable", key=row.key, reason=why)
        return None

    def _make_value(self, now: float) -> dict[str, object]:
        host, port = self.address
        return {
            "holder": self.name,
            "host": host,
            "port": port,
            "nonce": self.nonce,
            "gives_orders": self.lease_state.gives_orders(now),
            "era": self.lease_state.era,
        }

    def _is_resumable(self, row: LeaseRow) -> bool:
        """Return whether an earlier process of this instance left the row, and gave orders.

        A row of an earlier era comes from a copy: another instance may have taken over since.
        """
        is_own = (row.holder, row.address) == (self.name, self.address)
        is_latest = row.era == self.lease_state.era
        return is_own and is_latest and row.nonce != self.nonce and row.gives_orders

    def _check_era(self, now: float) -> None:
        """Start anew in a new era of the store, but for a right that has not lapsed."""
        if self.store.era != self.lease_state.era:
            self.lease_state.record_era(self.store.era, now)
        if self.lease_state.has_lapsed_in_restore(now):
            self._lose_lease("lapsed_in_restore")

    async def _write(self) -> Result[Committed, TableError]:
        checks = (Check(self.key, self.lease_state.version),)
        write = Write(self.key, self._make_value(read_lease_clock()))
        return await self.store.commit(OWN_TABLE, Transaction(checks, (write,)))

    async def _read(self) -> None:
        result = await self.store.read_all(OWN_TABLE)
        now = read_lease_clock()
        if isinstance(result, Failure):
            self.lease_state.read_at = now
            log_event(LOG, logging.INFO, "lease_unread", reason=result.failure().detail)
            return
        self._check_era(now)
        if result.unwrap().scan.era != self.lease_state.era:
            return
        self._record_other_holders(result.unwrap().scan.rows)
        for row in result.unwrap().scan.rows:
            if row.key == self.key and row.value is not None:
                self._record_row(row, now)
                return
        self.lease_state.record_row(0, "", now)

    def _record_row(self, row: Row, now: float) -> None:
        read = self._read_row(row)
        # A row that cannot be read is a lease as well, which lapses unless it changes.
        holder = read.holder if read is not None else ""
        before = self.lease_state.holder
        is_resumable = read is not None and self._is_resumable(read)
        self.lease_state.record_row(row.version, holder, now, is_resumable)
        if read is not None:
            self.holder_address = read.address
        if holder != before:
            log_event(LOG, logging.INFO, "order_holder", holder=holder, version=row.version)

    async def _take_lease(self, step: Step) -> None:
        sent_at = read_lease_clock()
        result = await self._write()
        if isinstance(result, Success):
            version = result.unwrap().revision
            if result.unwrap().era != self.lease_state.era:
                # The version that was checked is one of an earlier era; the row has to be read.
                return
            in_cut = self.measure_cut(time.monotonic()) > 0.0
            resumed = self.lease_state.is_resumable
            waits = self.lease_state.may_have_holder()
            self.lease_state.record_acquired(version, sent_at, waits, in_cut)
            self.holder_address = self.address
            before = self.lease_state.holder
            token = self.lease_state.token
            log_event(LOG, logging.INFO, "lease_taken", token=token, before=before, resumed=resumed)
            return
        self._apply_conflict(result.failure())

    async def _renew(self) -> None:
        sent_at = read_lease_clock()
        result = await self._write()
        self._check_era(read_lease_clock())
        if not self.lease_state.held:
            return
        if isinstance(result, Success):
            if result.unwrap().era == self.lease_state.era:
                self.lease_state.record_renewed(result.unwrap().revision, sent_at)
            return
        error = result.failure()
        if error.fault is not TableFault.CONFLICT:
            log_event(LOG, logging.INFO, "lease_unrenewed", reason=error.detail)
            return
        if error.era != self.lease_state.era:
            return
        row = next((row for row in error.rows if row.key == self.key), None)
        if row is not None and row.value and row.value.get("nonce") == self.nonce:
            # A renewal whose response was lost took effect: this instance still holds the row.
            self.lease_state.version = row.version
            return
        self._lose_lease("taken_by_another")

    def _apply_conflict(self, error: TableError) -> None:
        now = read_lease_clock()
        self._check_era(now)
        self.lease_state.read_at = now
        for row in error.rows if error.era == self.lease_state.era else ():
            if row.key == self.key and row.value is not None:
                self._record_row(row, now)
        if error.fault is not TableFault.CONFLICT:
            log_event(LOG, logging.INFO, "lease_not_taken", reason=error.detail)
            self.lease_state.version = -1

    def _log_order_right(self, now: float) -> None:
        """Log when the right to order lapses, and when it is regained."""
        lapsed = self.lease_state.held and now >= self.lease_state.may_order_until
        if lapsed != self.lapsed:
            self.lapsed = lapsed
            event = "lease_lapsed" if lapsed else "lease_regained"
            log_event(LOG, logging.WARNING, event, token=self.lease_state.token)

    def _lose_lease(self, why: str) -> None:
        log_event(LOG, logging.WARNING, "lease_lost", token=self.lease_state.token, why=why)
        self.lapsed = False
        self.lease_state.record_lost(read_lease_clock())
