"""Loads and unloads on backend servers; the intent is written to the table before the order."""

import logging
from collections.abc import Callable

from attrs import frozen
from returns.result import Failure, Result, Success

from rhubarbshed.coordination.agreement.transactions import (
    Plan,
    Proposal,
    Rows,
    TableAccess,
    transact,
)
from rhubarbshed.coordination.placement.budgets import (
    Budget,
    OwnerEpoch,
    check_unload,
    list_unload_keys,
    plan_cancel,
    plan_change,
    plan_load,
    plan_settle_load,
    plan_settle_unload,
)
from rhubarbshed.coordination.requests.quotas import AdapterQuota
from rhubarbshed.protocol.members import BackendServerInfo
from rhubarbshed.protocol.orders import Order, OrderError, OrderFault, OrderKind
from rhubarbshed.protocol.platform import EngineClient
from rhubarbshed.protocol.tables import TableError
from rhubarbshed.state.agreement.leases import Leases, Ownership
from rhubarbshed.state.placement.ledger import (
    Entry,
    EntryKey,
    EntryState,
    Ledger,
    LedgerError,
    LedgerFault,
    begin_unload,
    raise_epoch,
)
from rhubarbshed.state.placement.moves import LostAnswer, Moves, ServerMoves
from rhubarbshed.state.placement.weights import WEIGHTS_KEY, WeightGate

LOG = logging.getLogger(__name__)

REPORT_RETRY_S = 0.5
QUOTA_RETRY_S = 0.05
RATE_WAITS_MAX = 4


@frozen
class MoveContext:
    """Dependencies shared by loads and unloads; `clock` returns monotonic seconds."""

    access: TableAccess
    engine: EngineClient
    leases: Leases
    gate: WeightGate
    quota: AdapterQuota
    moves: Moves
    clock: Callable[[], float]


@frozen
class LoadSpec:
    """Model or adapter to load; memory in bytes, power in watts."""

    key: EntryKey
    memory_bytes: int
    power_watts: float = 0.0


def find_owner_epoch(context: MoveContext, backend_server: str) -> Result[OwnerEpoch, LedgerError]:
    """Return the owner and epoch of a backend server while this instance holds its lease."""
    owned = context.leases.owned.get(backend_server)
    if owned is None or not context.leases.is_held(context.clock()):
        return Failure(LedgerError(LedgerFault.NOT_OWNER, backend_server))
    return Success(OwnerEpoch(owned.holder, owned.epoch))


async def change_ledger(
    context: MoveContext, budget: Budget, plan: Plan, keys: tuple[str, ...] = ()
) -> Result[Ledger, LedgerError]:
    """Commit a plan on a backend server's rows and record the resulting ledger."""
    held_until = context.leases.held_until
    answer = await transact(context.access, budget.list_keys() + keys, plan)
    if isinstance(answer, Failure):
        return Failure(_describe_failure(answer.failure()))
    ledger: Ledger = answer.unwrap()
    now = context.clock()
    context.moves.record_ledger(ledger, now)
    if ledger.owner == context.leases.own and now < held_until:
        context.leases.add_owned(Ownership(ledger.backend_server, ledger.owner, ledger.epoch))
    return Success(ledger)


async def change_at_rate(
    context: MoveContext, budget: Budget, plan: Plan, keys: tuple[str, ...]
) -> Result[Ledger, LedgerError]:
    """Commit a plan that reserves a slot of the weight store.

    While the rate limit refuses it, wait and retry, with at most RATE_WAITS_MAX tries in all.
    """
    for _ in range(RATE_WAITS_MAX):
        changed = await change_ledger(context, budget, plan, keys)
        if isinstance(changed, Success):
            context.gate.confirm(context.clock())
            return changed
        error = changed.failure()
        if error.fault is not LedgerFault.RATE or error.retry_after_s is None:
            return changed
        await context.access.sleep(error.retry_after_s)
    return changed


def _describe_failure(error: LedgerError | TableError) -> LedgerError:
    if isinstance(error, LedgerError):
        return error
    return LedgerError(LedgerFault.TABLE, f"{error.fault.value} {error.detail}".strip())


async def send_order(
    context: MoveContext, server: BackendServerInfo, order: Order
) -> Result[None, OrderError]:
    """Send an order if the lease is still held when the worker thread gets to it.

    An order that finds the lease expired is not sent and fails as unavailable.
    """
    leases = context.leases

    def send_while_held() -> Result[None, OrderError]:
        if not leases.may_act(server.name, order.fencing_token, context.clock()):
            return Failure(OrderError(OrderFault.UNAVAILABLE, "lease lapsed before sending"))
        return context.engine.send_order(server, order)

    answer = await context.access.runner(send_while_held)
    _record_failure(context, server, order, answer)
    return answer


def _record_failure(
    context: MoveContext, server: BackendServerInfo, order: Order, answer: Result
) -> None:
    server_moves = context.moves.servers.get(server.name)
    if server_moves is None or isinstance(answer, Success):
        return
    error: OrderError = answer.failure()
    if error.fault is OrderFault.UNKNOWN:
        server_moves.lost_answers[order.order_id] = LostAnswer(context.clock(), order.fencing_token)
    if error.fault is OrderFault.STALE_TOKEN:
        context.leases.remove_owned(server.name)
    LOG.warning(
        "event=order_failed backend_server=%s kind=%s order_id=%s fault=%s detail=%s",
        server.name,
        order.kind.value,
        order.order_id,
        error.fault.value,
        error.detail,
    )


def make_load_order(entry: Entry, epoch: int) -> Order:
    """Return the order for a load; the same entry always gets the same order id."""
    kind = OrderKind.LOAD_ADAPTER if entry.key.model else OrderKind.LOAD
    return _make_order(kind, entry, entry.load_id, epoch)


def make_unload_order(entry: Entry, epoch: int) -> Order:
    """Return the order for an unload; the same intent always gets the same order id."""
    kind = OrderKind.UNLOAD_ADAPTER if entry.key.model else OrderKind.UNLOAD
    return _make_order(kind, entry, entry.unload_id, epoch)


def _make_order(kind: OrderKind, entry: Entry, order_id: str, epoch: int) -> Order:
    return Order(
        order_id=order_id,
        kind=kind,
        fencing_token=epoch,
        name=entry.key.name,
        version=entry.key.version,
        memory_bytes=entry.memory_bytes,
        model=entry.key.model,
    )


async def execute_load(
    context: MoveContext, budget: Budget, spec: LoadSpec
) -> Result[Ledger, LedgerError]:
    """Load a model or adapter: write the intent, send the order, record the result.

    The intent and the result each cost one read and one write of the table. If the answer to the
    order is lost, the memory stays reserved and `reconcile_server` resends the same order.
    """
    owner_epoch = find_owner_epoch(context, budget.server.name).bind(
        lambda found: _check_verified(context, budget.server, found)
    )
    if isinstance(owner_epoch, Failure):
        return owner_epoch
    load_id = context.access.make_id()
    if spec.key.model and not context.quota.admit(load_id):
        return Failure(
            LedgerError(LedgerFault.QUOTA, "too many adapter loads in flight", QUOTA_RETRY_S)
        )
    server_moves = context.moves.servers[budget.server.name]
    server_moves.in_flight.add(load_id)
    try:
        return await _load(context, budget, spec, load_id, owner_epoch.unwrap())
    finally:
        server_moves.in_flight.discard(load_id)
        context.quota.finish(load_id)


def _check_verified(
    context: MoveContext, server: BackendServerInfo, owner_epoch: OwnerEpoch
) -> Result[OwnerEpoch, LedgerError]:
    server_moves = context.moves.servers.get(server.name)
    if server_moves is None or server_moves.verified_epoch != owner_epoch.epoch:
        text = "no report has shown its memory under this epoch"
        return Failure(LedgerError(LedgerFault.UNPROVED, text, REPORT_RETRY_S))
    return Success(owner_epoch)


async def _load(
    context: MoveContext, budget: Budget, spec: LoadSpec, load_id: str, owner_epoch: OwnerEpoch
) -> Result[Ledger, LedgerError]:
    entry = Entry(
        key=spec.key,
        memory_bytes=spec.memory_bytes,
        state=EntryState.LOADING,
        load_id=load_id,
        epoch=owner_epoch.epoch,
        power_watts=spec.power_watts,
    )
    intent = await change_at_rate(
        context,
        budget,
        lambda rows: plan_load(rows, budget, owner_epoch, entry, context.gate, context.clock()),
        list_load_keys(entry),
    )
    if isinstance(intent, Failure):
        return intent
    sent = await send_order(context, budget.server, make_load_order(entry, owner_epoch.epoch))
    if isinstance(sent, Success):
        return await settle_sent_load(context, budget, owner_epoch, entry)
    if sent.failure().fault in (OrderFault.REFUSED, OrderFault.UNAVAILABLE):
        await _cancel(context, budget, owner_epoch, entry)
    return Failure(describe_order_error(sent.failure()))


def list_load_keys(entry: Entry) -> tuple[str, ...]:
    """Return the key of the weight store's row for a model; loads of adapters use no slot."""
    return () if entry.key.model else (WEIGHTS_KEY,)


async def settle_sent_load(
    context: MoveContext, budget: Budget, owner_epoch: OwnerEpoch, entry: Entry
) -> Result[Ledger, LedgerError]:
    """Record in the table that a load was confirmed."""
    server_moves = context.moves.servers[budget.server.name]
    server_moves.changed_at = context.clock()
    doubtful = entry.load_id in server_moves.lost_answers
    return await change_ledger(
        context,
        budget,
        lambda rows: plan_settle_load(rows, budget, owner_epoch, entry.load_id, doubtful),
        list_load_keys(entry),
    )


async def _cancel(
    context: MoveContext, budget: Budget, owner_epoch: OwnerEpoch, entry: Entry
) -> None:
    await change_ledger(
        context,
        budget,
        lambda rows: plan_cancel(rows, budget, owner_epoch, entry.load_id),
        list_load_keys(entry),
    )


def describe_order_error(error: OrderError) -> LedgerError:
    """Convert an order error to a ledger error."""
    return LedgerError(LedgerFault.ORDER, f"{error.fault.value} {error.detail}".strip())


async def execute_unload(
    context: MoveContext, budget: Budget, key: EntryKey, relies_on: str = ""
) -> Result[Ledger, LedgerError]:
    """Unload a model or adapter: write the intent, send the order, then free the memory.

    If copies of its load order may still be in transit, the epoch and then the server's fencing
    token are raised first. `relies_on` names the backend server that must hold another copy when
    the intent is written; if it is empty, the catalogue must not have the model or adapter.
    """
    server_moves = context.moves.servers.get(budget.server.name)
    entry = None if server_moves is None else server_moves.ledger.find(key)
    if entry is None:
        return Failure(LedgerError(LedgerFault.ABSENT, key.name))
    if entry.load_id in server_moves.in_flight:
        return Failure(LedgerError(LedgerFault.BUSY, "an order for it is on its way"))
    server_moves.in_flight.add(entry.load_id)
    try:
        return await _unload(context, budget, entry, relies_on)
    finally:
        server_moves.in_flight.discard(entry.load_id)


async def _unload(
    context: MoveContext, budget: Budget, entry: Entry, relies_on: str
) -> Result[Ledger, LedgerError]:
    begun = await _begin_unload(context, budget, entry, relies_on)
    if isinstance(begun, Failure) and begun.failure().fault is LedgerFault.UNPROVED:
        invalidated = await invalidate_orders(context, budget)
        if isinstance(invalidated, Failure):
            return invalidated
        begun = await _begin_unload(context, budget, entry, relies_on)
    if isinstance(begun, Failure):
        return begun
    found = begun.unwrap().find(entry.key)
    return begun if found is None else await send_unload(context, budget, found)


async def _begin_unload(
    context: MoveContext, budget: Budget, claimed: Entry, relies_on: str
) -> Result[Ledger, LedgerError]:
    owner_epoch = find_owner_epoch(context, budget.server.name)
    if isinstance(owner_epoch, Failure):
        return owner_epoch
    server_moves = context.moves.servers[budget.server.name]
    unload_id = context.access.make_id()
    checks = budget.server.checks_fencing

    def begin(ledger: Ledger) -> Result[Ledger, LedgerError]:
        entry = ledger.find(claimed.key) or claimed
        copies = server_moves.assess_copies(entry, checks, claimed.load_id, context.clock())
        return begin_unload(ledger, claimed.key, unload_id, checks, copies)

    def plan(rows: Rows) -> Result[Proposal, LedgerError]:
        checked = check_unload(rows, budget, relies_on, claimed.key)
        return checked.bind(lambda _: plan_change(rows, budget, owner_epoch.unwrap(), begin))

    keys = list_unload_keys(budget, relies_on, claimed.key)
    return await change_ledger(context, budget, plan, keys)


async def send_unload(
    context: MoveContext, budget: Budget, entry: Entry
) -> Result[Ledger, LedgerError]:
    """Send the order of an unload intent and free its memory once confirmed."""
    owner_epoch = find_owner_epoch(context, budget.server.name)
    if isinstance(owner_epoch, Failure):
        return owner_epoch
    order = make_unload_order(entry, owner_epoch.unwrap().epoch)
    server_moves = context.moves.servers[budget.server.name]
    if order.order_id in server_moves.in_flight:
        return Failure(LedgerError(LedgerFault.BUSY, "its unload is on its way"))
    server_moves.in_flight.add(order.order_id)
    try:
        sent = await send_order(context, budget.server, order)
        if isinstance(sent, Failure):
            return Failure(describe_order_error(sent.failure()))
        return await settle_sent_unload(context, budget, owner_epoch.unwrap(), entry)
    finally:
        server_moves.in_flight.discard(order.order_id)


async def settle_sent_unload(
    context: MoveContext, budget: Budget, owner_epoch: OwnerEpoch, entry: Entry
) -> Result[Ledger, LedgerError]:
    """Record in the table that an unload was confirmed, which frees its memory."""
    server_moves = context.moves.servers[budget.server.name]
    server_moves.changed_at = context.clock()
    settled = await change_ledger(
        context,
        budget,
        lambda rows: plan_settle_unload(rows, budget, owner_epoch, entry.unload_id),
        list_load_keys(entry),
    )
    if isinstance(settled, Success):
        server_moves.forget_entry(entry)
    return settled


async def invalidate_orders(context: MoveContext, budget: Budget) -> Result[Ledger, LedgerError]:
    """Start the next epoch and raise the fencing token, so that no earlier order takes effect."""
    owner_epoch = find_owner_epoch(context, budget.server.name)
    if isinstance(owner_epoch, Failure):
        return owner_epoch
    begun = await change_ledger(
        context,
        budget,
        lambda rows: plan_change(
            rows, budget, owner_epoch.unwrap(), lambda x: Success(raise_epoch(x))
        ),
    )
    if isinstance(begun, Failure):
        return begun
    return (await raise_server_token(context, budget.server)).map(lambda _: begun.unwrap())


async def raise_server_token(
    context: MoveContext, server: BackendServerInfo
) -> Result[None, LedgerError]:
    """Raise a backend server's fencing token to the current epoch, unless it already has been."""
    owner_epoch = find_owner_epoch(context, server.name)
    if isinstance(owner_epoch, Failure):
        return owner_epoch
    epoch = owner_epoch.unwrap().epoch
    server_moves: ServerMoves = context.moves.servers[server.name]
    if not server.checks_fencing or server_moves.enforced_epoch >= epoch:
        return Success(None)
    order = Order(
        f"raise/{server.name}/{epoch}/{server_moves.ledger.boot_id}", OrderKind.RAISE_TOKEN, epoch
    )
    sent = await send_order(context, server, order)
    if isinstance(sent, Failure):
        return Failure(describe_order_error(sent.failure()))
    server_moves.enforced_epoch = max(server_moves.enforced_epoch, epoch)
    return Success(None)
