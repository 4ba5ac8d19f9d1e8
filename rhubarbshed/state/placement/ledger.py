"""Memory ledger of one backend server: what is resident, and what has been ordered."""

import enum
from typing import Any

from attrs import evolve, frozen
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.codec import from_stored, to_plain
from rhubarbshed.protocol.orders import EngineReport, Resident
from rhubarbshed.state.agreement.leases import NO_HOLDER, Holder


class EntryState(enum.Enum):
    """State of a model or adapter; its bytes are reserved in every state.

    `LOADING` from the intent on, `RESIDENT` once confirmed, `UNLOADING` from the intent to unload
    until that is confirmed.
    """

    LOADING = "loading"
    RESIDENT = "resident"
    UNLOADING = "unloading"


@frozen(order=True)
class EntryKey:
    """Key of an entry on its backend server; `model` is set for an adapter."""

    name: str
    version: str
    model: str = ""


@frozen
class Entry:
    """Model or adapter of a backend server.

    `load_id` and `unload_id` are order ids, `epoch` is the one under which the load was first
    ordered. With `doubtful`, copies of the load order may still be in flight. Power is in watts.
    """

    key: EntryKey
    memory_bytes: int
    state: EntryState
    load_id: str
    epoch: int
    power_watts: float = 0.0
    doubtful: bool = False
    unload_id: str = ""


@frozen
class Copies:
    """Knowledge about copies of a load order that may still be in flight.

    `voided`: the server refuses them by its fencing token. `expired`: it checks no tokens, and the
    longest time that an order may take has passed.
    """

    in_flight: bool = False
    voided: bool = False
    expired: bool = False


class LedgerFault(enum.Enum):
    """Reason for which a change of the ledger was refused."""

    NOT_OWNER = "not_owner"
    MEMORY = "memory"
    POWER = "power"
    SLOTS = "slots"
    RATE = "rate"
    QUOTA = "quota"
    PRESENT = "present"
    ABSENT = "absent"
    LAST_COPY = "last_copy"
    BUSY = "busy"
    PINNED = "pinned"
    UNPROVED = "unproved"
    ORDER = "order"
    TABLE = "table"
    UNREADABLE = "unreadable"


@frozen
class LedgerError:
    """Refused change; `retry_after_s` is set where waiting helps."""

    fault: LedgerFault
    detail: str = ""
    retry_after_s: float | None = None


@frozen
class Ledger:
    """Row of one backend server: its owner, and all that its memory may hold.

    `epoch` is the fencing token. `former` are earlier owners whose orders may still arrive.
    """

    backend_server: str
    owner: Holder = NO_HOLDER
    epoch: int = 0
    boot_id: str = ""
    entries: tuple[Entry, ...] = ()
    former: tuple[Holder, ...] = ()

    @property
    def memory_bytes(self) -> int:
        """Return the bytes that may be in use at any moment."""
        return sum(entry.memory_bytes for entry in self.entries)

    @property
    def power_watts(self) -> float:
        """Return the watts that may be drawn at any moment."""
        return sum(entry.power_watts for entry in self.entries)

    def find(self, key: EntryKey) -> Entry | None:
        """Return the entry with a key, if any."""
        return next((entry for entry in self.entries if entry.key == key), None)

    def find_load(self, load_id: str) -> Entry | None:
        """Return the entry of a load order, if any."""
        return next((entry for entry in self.entries if entry.load_id == load_id), None)

    def find_unload(self, unload_id: str) -> Entry | None:
        """Return the entry of an unload order, if any."""
        return next((entry for entry in self.entries if entry.unload_id == unload_id), None)

    def has_resident(self, model: str) -> bool:
        """Return whether any version of a model is confirmed resident."""
        return any(
            e.key.name == model and not e.key.model and e.state is EntryState.RESIDENT
            for e in self.entries
        )


def replace_entry(ledger: Ledger, entry: Entry) -> Ledger:
    """Replace the entry with the same key, or add one."""
    others = tuple(e for e in ledger.entries if e.key != entry.key)
    return evolve(ledger, entries=(*others, entry))


def remove_entry(ledger: Ledger, key: EntryKey) -> Ledger:
    """Remove an entry, which frees its bytes."""
    return evolve(ledger, entries=tuple(e for e in ledger.entries if e.key != key))


def reserve_load(
    ledger: Ledger, entry: Entry, memory_bytes_max: int
) -> Result[Ledger, LedgerError]:
    """Reserve the bytes of a load or return a fault; a repeated reservation changes nothing."""
    held = ledger.find(entry.key)
    if held is not None and held.load_id == entry.load_id:
        return Success(ledger)
    if held is not None:
        return Failure(LedgerError(LedgerFault.PRESENT, held.state.value))
    if entry.key.model and not ledger.has_resident(entry.key.model):
        return Failure(LedgerError(LedgerFault.ABSENT, f"model {entry.key.model}"))
    needed = ledger.memory_bytes + entry.memory_bytes
    if needed > memory_bytes_max:
        return Failure(LedgerError(LedgerFault.MEMORY, f"{needed} bytes of {memory_bytes_max}"))
    return Success(replace_entry(ledger, entry))


def settle_load(ledger: Ledger, load_id: str, doubtful: bool) -> Ledger:
    """Mark a load as confirmed, and as `doubtful` if the answer to another copy was lost."""
    entry = ledger.find_load(load_id)
    if entry is None or entry.state is not EntryState.LOADING:
        return ledger
    doubtful = doubtful or entry.doubtful
    return replace_entry(ledger, evolve(entry, state=EntryState.RESIDENT, doubtful=doubtful))


def cancel_load(ledger: Ledger, load_id: str) -> Result[Ledger, LedgerError]:
    """Free the bytes of a load of which no copy has taken effect or can.

    Only the owner that wrote the intent can know that, and only under the same epoch.
    """
    entry = ledger.find_load(load_id)
    if entry is None or entry.state is not EntryState.LOADING:
        return Success(ledger)
    if entry.doubtful or entry.epoch != ledger.epoch:
        return Failure(LedgerError(LedgerFault.UNPROVED, "a copy of the order may be under way"))
    return Success(remove_entry(ledger, entry.key))


def begin_unload(
    ledger: Ledger, key: EntryKey, unload_id: str, checks_fencing: bool, copies: Copies
) -> Result[Ledger, LedgerError]:
    """Write the intent to unload; the bytes stay reserved until the unload is confirmed.

    A doubtful load is unloaded only once no copy of its order can follow. A server that checks
    fencing tokens must enforce a later epoch than that of the copies. On one that does not, the
    entry is pinned until all former owners are gone and orders in flight have expired. Adapters are
    unloaded before their model.
    """
    entry = ledger.find(key)
    if entry is None:
        return Failure(LedgerError(LedgerFault.ABSENT, key.name))
    if entry.state is EntryState.UNLOADING:
        return Success(ledger)
    fault = _find_unload_fault(ledger, entry, checks_fencing, copies)
    if fault is not None:
        return Failure(fault)
    changed = evolve(entry, state=EntryState.UNLOADING, unload_id=unload_id)
    return Success(replace_entry(ledger, changed))


def _find_unload_fault(
    ledger: Ledger, entry: Entry, checks_fencing: bool, copies: Copies
) -> LedgerError | None:
    if copies.in_flight:
        return LedgerError(LedgerFault.BUSY, "an order for it is on its way")
    if entry.state is EntryState.LOADING and not checks_fencing:
        return LedgerError(LedgerFault.BUSY, "its load is not settled")
    if _has_adapters(ledger, entry.key):
        return LedgerError(LedgerFault.BUSY, "it has adapters")
    doubtful = entry.doubtful or entry.state is EntryState.LOADING
    if doubtful and checks_fencing and not copies.voided:
        return LedgerError(LedgerFault.UNPROVED, "the fencing token is not raised yet")
    if entry.doubtful and not checks_fencing and (ledger.former or not copies.expired):
        names = ", ".join(holder.instance for holder in ledger.former)
        return LedgerError(LedgerFault.PINNED, names or "an order may be under way")
    return None


def _has_adapters(ledger: Ledger, key: EntryKey) -> bool:
    if key.model:
        return False
    others = [e for e in ledger.entries if not e.key.model and e.key.name == key.name]
    return len(others) == 1 and any(e.key.model == key.name for e in ledger.entries)


def settle_unload(ledger: Ledger, unload_id: str) -> Ledger:
    """Free the bytes of a confirmed unload."""
    entry = ledger.find_unload(unload_id)
    return ledger if entry is None else remove_entry(ledger, entry.key)


def change_owner(ledger: Ledger, holder: Holder) -> Ledger:
    """Transfer a backend server to an owner under the next epoch, with all that it may hold.

    Loads that were not confirmed are doubtful from then on.
    """
    former = {*ledger.former, ledger.owner} - {NO_HOLDER, holder}
    return evolve(
        ledger,
        owner=holder,
        epoch=ledger.epoch + 1,
        former=tuple(sorted(former)),
        entries=tuple(_mark_doubtful(entry) for entry in ledger.entries),
    )


def _mark_doubtful(entry: Entry) -> Entry:
    return evolve(entry, doubtful=True) if entry.state is EntryState.LOADING else entry


def release_owner(ledger: Ledger) -> Ledger:
    """Give up ownership; the former owner must send no more orders."""
    return evolve(ledger, owner=NO_HOLDER)


def forget_holders(ledger: Ledger, gone: frozenset[Holder]) -> Ledger:
    """Remove former owners that are known to be gone."""
    return evolve(ledger, former=tuple(h for h in ledger.former if h not in gone))


def raise_epoch(ledger: Ledger) -> Ledger:
    """Start the next epoch under the same owner, so that its own late orders can be voided."""
    entries = tuple(_mark_doubtful(entry) for entry in ledger.entries)
    return evolve(ledger, epoch=ledger.epoch + 1, entries=entries)


def restart(ledger: Ledger, boot_id: str) -> Ledger:
    """Record that the server restarted: its memory is empty, yet late orders may still arrive.

    All bytes stay reserved and the epoch rises, so that raising the token voids older orders. What
    was resident is to be loaded again under its old order id.
    """
    if ledger.boot_id == boot_id:
        return ledger
    if not ledger.boot_id:
        return evolve(ledger, boot_id=boot_id)
    entries = tuple(_expect_load(entry) for entry in ledger.entries)
    return raise_epoch(evolve(ledger, boot_id=boot_id, entries=entries))


def _expect_load(entry: Entry) -> Entry:
    if entry.state is EntryState.RESIDENT:
        return evolve(entry, state=EntryState.LOADING)
    return entry


def find_orphaned(ledger: Ledger, report: EngineReport) -> tuple[Resident, ...]:
    """Return what a server holds without an entry."""
    known = {entry.key for entry in ledger.entries}
    return tuple(r for r in report.resident if make_resident_key(r) not in known)


def find_missing(ledger: Ledger, report: EngineReport) -> tuple[Entry, ...]:
    """Return the confirmed entries that a server no longer holds."""
    shown = {make_resident_key(resident) for resident in report.resident}
    return tuple(
        entry
        for entry in ledger.entries
        if entry.state is EntryState.RESIDENT and entry.key not in shown
    )


def make_resident_key(resident: Resident) -> EntryKey:
    """Return the entry key of a resident model or adapter."""
    return EntryKey(resident.name, resident.version, resident.model)


def correct_ledger(ledger: Ledger, report: EngineReport, order_id: str) -> Ledger:
    """Correct the ledger by a report that is surely newer than all settled orders.

    What the server holds without an entry is reserved and unloaded; what it lost is loaded again
    under a new order id. `order_id` is a unique part of the new ids.
    """
    for resident in find_orphaned(ledger, report):
        ledger = replace_entry(ledger, _make_orphan_entry(ledger, resident, order_id))
    for entry in find_missing(ledger, report):
        load_id = f"{order_id}/{entry.key.model}/{entry.key.name}"
        lost = evolve(entry, state=EntryState.LOADING, load_id=load_id, epoch=ledger.epoch)
        ledger = replace_entry(ledger, lost)
    return ledger


def _make_orphan_entry(ledger: Ledger, resident: Resident, order_id: str) -> Entry:
    key = make_resident_key(resident)
    return Entry(
        key=key,
        memory_bytes=resident.memory_bytes,
        state=EntryState.UNLOADING,
        load_id=f"stray/{order_id}/{key.model}/{key.name}",
        epoch=ledger.epoch,
        unload_id=f"{order_id}/{key.model}/{key.name}",
    )


def encode_ledger(ledger: Ledger) -> dict[str, Any]:
    """Return the table value of a ledger."""
    return to_plain(ledger)


def decode_ledger(backend_server: str, value: dict[str, Any] | None) -> Result[Ledger, LedgerError]:
    """Return the ledger of a row; a missing row is an empty ledger without owner."""
    if value is None:
        return Success(Ledger(backend_server))
    return from_stored(value, Ledger).alt(describe_unreadable)


def describe_unreadable(detail: str) -> LedgerError:
    """Return the error for a row that this version cannot read and must not change."""
    return LedgerError(LedgerFault.UNREADABLE, detail)
