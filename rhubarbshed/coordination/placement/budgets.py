"""Transactions on a ledger, its data centre's power budget and the weight store; no I/O."""

from collections.abc import Callable
from typing import Any

from attrs import frozen
from returns.result import Failure, Result, Success

from rhubarbshed.coordination.agreement.ownership import make_backend_key
from rhubarbshed.coordination.agreement.transactions import Proposal, Rows
from rhubarbshed.protocol.catalogue import ObjectKey, ObjectKind
from rhubarbshed.protocol.codec import to_plain
from rhubarbshed.protocol.members import BackendServerInfo
from rhubarbshed.protocol.tables import Write
from rhubarbshed.state.agreement.catalogue import decode_object, make_object_key
from rhubarbshed.state.agreement.leases import Holder
from rhubarbshed.state.placement.ledger import (
    Entry,
    EntryKey,
    EntryState,
    Ledger,
    LedgerError,
    LedgerFault,
    cancel_load,
    decode_ledger,
    describe_unreadable,
    encode_ledger,
    reserve_load,
    settle_load,
    settle_unload,
)
from rhubarbshed.state.placement.power import decode_power_use, make_power_key, set_power
from rhubarbshed.state.placement.weights import (
    WEIGHTS_KEY,
    WeightGate,
    WeightUse,
    decode_use,
    free_slot,
    grant_slot,
)

SLOTS_RETRY_S = 0.5


@frozen
class Budget:
    """Memory limit of a backend server and power limit of its data centre (0: no limit)."""

    server: BackendServerInfo
    memory_fill_max: float
    power_watts_max: float

    @property
    def memory_bytes_max(self) -> int:
        """Return the bytes that loads may reserve on the backend server."""
        return int(self.server.memory_bytes * self.memory_fill_max)

    def list_keys(self) -> tuple[str, ...]:
        """Return the keys of the server's row and, with a power limit, its data centre's row."""
        keys = (make_backend_key(self.server.name),)
        if self.power_watts_max > 0:
            keys += (make_power_key(self.server.data_centre),)
        return keys


@frozen
class OwnerEpoch:
    """Owner of a backend server and the epoch under which it changes the ledger."""

    holder: Holder
    epoch: int


Change = Callable[[Ledger], Result[Ledger, LedgerError]]


def plan_change(
    rows: Rows, budget: Budget, owner_epoch: OwnerEpoch, change: Change
) -> Result[Proposal, LedgerError]:
    """Plan a change of the ledger by its owner, with the data centre's power use adjusted."""
    row = rows.get(make_backend_key(budget.server.name))
    decoded = decode_ledger(budget.server.name, row.value)
    if isinstance(decoded, Failure):
        return decoded
    ledger = decoded.unwrap()
    if ledger.owner != owner_epoch.holder or ledger.epoch != owner_epoch.epoch:
        return Failure(LedgerError(LedgerFault.NOT_OWNER, ledger.owner.instance))
    changed = change(ledger)
    if isinstance(changed, Failure):
        return changed
    after = changed.unwrap()
    if after == ledger:
        return Success(Proposal(ledger))
    write = Write(row.key, encode_ledger(after))
    return _plan_power(rows, budget, ledger, after).map(
        lambda power: Proposal(after, (write, *power))
    )


def list_unload_keys(budget: Budget, relies_on: str, key: EntryKey) -> tuple[str, ...]:
    """Return the key of the row that allows an unload, unless the budget's keys include it.

    That is the row of the server with the other copy, or else the catalogue object's row.
    """
    needed = make_backend_key(relies_on) if relies_on else _make_catalogue_key(key)
    return () if needed in budget.list_keys() else (needed,)


def _make_catalogue_key(key: EntryKey) -> str:
    kind = ObjectKind.ADAPTER if key.model else ObjectKind.MODEL
    return make_object_key(ObjectKey(kind.value, key.name))


def check_unload(
    rows: Rows, budget: Budget, relies_on: str, key: EntryKey
) -> Result[None, LedgerError]:
    """Check that another copy is resident or that the catalogue no longer has the object.

    The row that was read becomes a check of the transaction. So one of two unloads that rely on
    each other's copy fails, and an owner that still sees the object as deleted keeps its copy if
    the object has been created again.
    """
    if relies_on:
        return _check_other_copy(rows, budget, relies_on, key)
    row = rows.get(_make_catalogue_key(key))
    if row.value is None:
        return Success(None)
    decoded = decode_object(row)
    if isinstance(decoded, Failure):
        return Failure(describe_unreadable(decoded.failure()))
    if decoded.unwrap().body is None:
        return Success(None)
    return Failure(LedgerError(LedgerFault.LAST_COPY, f"the catalogue has {key.name}"))


def _check_other_copy(
    rows: Rows, budget: Budget, backend_server: str, key: EntryKey
) -> Result[None, LedgerError]:
    row = rows.get(make_backend_key(backend_server))
    decoded = decode_ledger(backend_server, row.value)
    if isinstance(decoded, Failure):
        return decoded
    resident = [e.key for e in decoded.unwrap().entries if e.state is EntryState.RESIDENT]
    if backend_server == budget.server.name:
        resident = [each for each in resident if each != key]
    if any((each.name, each.model) == (key.name, key.model) for each in resident):
        return Success(None)
    return Failure(LedgerError(LedgerFault.LAST_COPY, f"{backend_server} holds no copy"))


def _plan_power(
    rows: Rows, budget: Budget, before: Ledger, after: Ledger
) -> Result[tuple[Write, ...], LedgerError]:
    if budget.power_watts_max <= 0 or before.power_watts == after.power_watts:
        return Success(())
    key = make_power_key(budget.server.data_centre)
    decoded = decode_power_use(rows.get(key).value).alt(describe_unreadable)
    if isinstance(decoded, Failure):
        return decoded
    use = set_power(decoded.unwrap(), budget.server.name, after.power_watts)
    if after.power_watts > before.power_watts and use.power_watts > budget.power_watts_max:
        text = f"{use.power_watts:g} watts of {budget.power_watts_max:g}"
        return Failure(LedgerError(LedgerFault.POWER, text))
    return Success((Write(key, to_plain(use)),))


def plan_load(
    rows: Rows, budget: Budget, owner_epoch: OwnerEpoch, entry: Entry, gate: WeightGate, now: float
) -> Result[Proposal, LedgerError]:
    """Plan a load intent: reserve memory, power and, for a model, a slot of the weight store."""
    planned = plan_change(
        rows, budget, owner_epoch, lambda x: reserve_load(x, entry, budget.memory_bytes_max)
    )
    if isinstance(planned, Failure) or entry.key.model:
        return planned
    return plan_grant(rows, budget, entry.load_id, gate, now).map(
        lambda grant: add_writes(planned.unwrap(), grant)
    )


def plan_grant(
    rows: Rows, budget: Budget, load_id: str, gate: WeightGate, now: float
) -> Result[tuple[Write, ...], LedgerError]:
    """Plan to reserve a slot of the weight store, unless the load already has one."""
    decoded = decode_use(rows.get(WEIGHTS_KEY).value).alt(describe_unreadable)
    if isinstance(decoded, Failure):
        return decoded
    use = decoded.unwrap()
    wait_s = gate.measure_wait(use.grants, now)
    if use.holds(load_id):
        return Success(())
    if len(use.slots) >= gate.slots_max:
        text = f"{len(use.slots)} loads at once"
        return Failure(LedgerError(LedgerFault.SLOTS, text, SLOTS_RETRY_S))
    if wait_s > 0:
        return Failure(LedgerError(LedgerFault.RATE, "rate of the weight store", wait_s))
    granted = grant_slot(use, load_id, budget.server.name)
    gate.offer(granted.grants)
    return Success((Write(WEIGHTS_KEY, to_plain(granted)),))


def plan_reload(
    rows: Rows, budget: Budget, owner_epoch: OwnerEpoch, load_id: str, gate: WeightGate, now: float
) -> Result[Proposal, LedgerError]:
    """Plan to resend a load whose memory is already reserved."""
    planned = plan_change(rows, budget, owner_epoch, Success)
    if isinstance(planned, Failure):
        return planned
    entry = planned.unwrap().answer.find_load(load_id)
    if entry is None or entry.state is not EntryState.LOADING:
        return Failure(LedgerError(LedgerFault.ABSENT, load_id))
    if entry.key.model:
        return planned
    return plan_grant(rows, budget, load_id, gate, now).map(
        lambda grant: add_writes(planned.unwrap(), grant)
    )


def plan_settle_load(
    rows: Rows, budget: Budget, owner_epoch: OwnerEpoch, load_id: str, doubtful: bool
) -> Result[Proposal, LedgerError]:
    """Plan to record a confirmed load and free its slot of the weight store."""
    planned = plan_change(
        rows, budget, owner_epoch, lambda x: Success(settle_load(x, load_id, doubtful))
    )
    return planned.bind(lambda p: _add_freed_slots(p, rows, (load_id,)))


def plan_cancel(
    rows: Rows, budget: Budget, owner_epoch: OwnerEpoch, load_id: str
) -> Result[Proposal, LedgerError]:
    """Plan to free the memory and the slot of a load that never took effect."""
    planned = plan_change(rows, budget, owner_epoch, lambda x: cancel_load(x, load_id))
    return planned.bind(lambda p: _add_freed_slots(p, rows, (load_id,)))


def plan_settle_unload(
    rows: Rows, budget: Budget, owner_epoch: OwnerEpoch, unload_id: str
) -> Result[Proposal, LedgerError]:
    """Plan to free the memory of a confirmed unload and the slot that its load may still hold."""
    row = rows.get(make_backend_key(budget.server.name))
    decoded = decode_ledger(budget.server.name, row.value)
    if isinstance(decoded, Failure):
        return decoded
    entry = decoded.unwrap().find_unload(unload_id)
    load_ids = () if entry is None else (entry.load_id,)
    planned = plan_change(rows, budget, owner_epoch, lambda x: Success(settle_unload(x, unload_id)))
    return planned.bind(lambda p: _add_freed_slots(p, rows, load_ids))


def plan_free_slots(
    rows: Rows, load_ids: tuple[str, ...]
) -> Result[tuple[Write, ...], LedgerError]:
    """Plan to free the slots of the weight store that the loads hold, if any."""
    if not any(row.key == WEIGHTS_KEY for row in rows.read):
        return Success(())
    decoded = decode_use(rows.get(WEIGHTS_KEY).value).alt(describe_unreadable)
    return decoded.map(lambda use: _free_slots(use, load_ids))


def _free_slots(use: WeightUse, load_ids: tuple[str, ...]) -> tuple[Write, ...]:
    after = use
    for load_id in load_ids:
        after = free_slot(after, load_id)
    return () if after == use else (Write(WEIGHTS_KEY, to_plain(after)),)


def _add_freed_slots(
    proposal: Proposal, rows: Rows, load_ids: tuple[str, ...]
) -> Result[Proposal, LedgerError]:
    return plan_free_slots(rows, load_ids).map(lambda writes: add_writes(proposal, writes))


def plan_clear(rows: Rows, budget: Budget) -> Result[Proposal, Any]:
    """Plan to empty the ledger of a permanently removed backend server; the epoch rises by one."""
    row = rows.get(make_backend_key(budget.server.name))
    decoded = decode_ledger(budget.server.name, row.value)
    if isinstance(decoded, Failure):
        return decoded
    ledger = decoded.unwrap()
    after = Ledger(budget.server.name, epoch=ledger.epoch + 1)
    if ledger.epoch == 0:
        return Success(Proposal(ledger))
    load_ids = tuple(entry.load_id for entry in ledger.entries)
    emptied = _add_freed_slots(
        Proposal(after, (Write(row.key, encode_ledger(after)),)), rows, load_ids
    )
    power = _plan_power(rows, budget, ledger, after)
    return emptied.bind(lambda p: power.map(lambda writes: add_writes(p, writes)))


def add_writes(proposal: Proposal, writes: tuple[Write, ...]) -> Proposal:
    """Return the proposal with further writes."""
    return Proposal(proposal.answer, proposal.writes + writes)
