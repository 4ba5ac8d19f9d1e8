"""Reconciliation of a backend server's ledger with the server's reports."""

import logging

from attrs import frozen
from returns.result import Failure, Result, Success

from rhubarbshed.coordination.agreement.transactions import TableAccess, transact
from rhubarbshed.coordination.placement.budgets import (
    Budget,
    OwnerEpoch,
    plan_change,
    plan_clear,
    plan_reload,
)
from rhubarbshed.coordination.placement.loads import (
    MoveContext,
    change_at_rate,
    change_ledger,
    describe_order_error,
    find_owner_epoch,
    list_load_keys,
    make_load_order,
    raise_server_token,
    send_order,
    send_unload,
    settle_sent_load,
    settle_sent_unload,
)
from rhubarbshed.protocol.members import BackendServerInfo
from rhubarbshed.protocol.orders import EngineReport, OrderFault
from rhubarbshed.protocol.tables import TableError
from rhubarbshed.state.placement.ledger import (
    Entry,
    EntryState,
    Ledger,
    LedgerError,
    LedgerFault,
    correct_ledger,
    find_missing,
    find_orphaned,
    make_resident_key,
    restart,
)
from rhubarbshed.state.placement.moves import ServerMoves
from rhubarbshed.state.placement.weights import WEIGHTS_KEY

LOG = logging.getLogger(__name__)


@frozen
class Resend:
    """Intents to resend now: all unloads and at most one load."""

    unloads: tuple[Entry, ...] = ()
    load: Entry | None = None


def is_verifying(
    server_moves: ServerMoves, server: BackendServerInfo, report: EngineReport, measured_at: float
) -> bool:
    """Return whether a report is newer than all settled orders and the start of this epoch.

    `measured_at` is the earliest time at which the report can have been measured, on the clock of
    this instance.
    """
    if report.boot_id != server_moves.ledger.boot_id or measured_at <= server_moves.changed_at:
        return False
    return not server.checks_fencing or report.fencing_token >= server_moves.ledger.epoch


def choose_resend(server_moves: ServerMoves, budget: Budget) -> Resend:
    """Choose the intents to resend.

    Loads wait until a report has verified the ledger in this epoch and its entries fit in memory.
    An adapter waits for its model.
    """
    ledger = server_moves.ledger
    waiting = [e for e in ledger.entries if not {e.load_id, e.unload_id} & server_moves.in_flight]
    unloads = tuple(e for e in waiting if e.state is EntryState.UNLOADING)
    fits = ledger.memory_bytes <= budget.server.memory_bytes
    if not fits or server_moves.verified_epoch != ledger.epoch:
        return Resend(unloads)
    loads = [e for e in waiting if e.state is EntryState.LOADING]
    ready = [e for e in loads if not e.key.model or ledger.has_resident(e.key.model)]
    ready.sort(key=lambda entry: (entry.key.model != "", entry.load_id))
    return Resend(unloads, ready[0] if ready else None)


async def reconcile_server(
    context: MoveContext, budget: Budget, report: EngineReport, requested_at: float
) -> Result[Ledger, LedgerError]:
    """Reconcile the ledger with a report of the backend server; call it for each report.

    `requested_at` is when the report was requested, in monotonic seconds. The table is not used
    while ledger and report agree.
    """
    server_moves = context.moves.servers.get(budget.server.name)
    owner_epoch = find_owner_epoch(context, budget.server.name)
    if isinstance(owner_epoch, Failure):
        return owner_epoch
    if server_moves is None:
        return Failure(LedgerError(LedgerFault.ABSENT, budget.server.name))
    if server_moves.reconciling:
        return Failure(
            LedgerError(LedgerFault.BUSY, "reconciliation of this server is in progress")
        )
    server_moves.reconciling = True
    try:
        return await _reconcile(context, budget, report, requested_at)
    finally:
        server_moves.reconciling = False


async def _reconcile(
    context: MoveContext, budget: Budget, report: EngineReport, requested_at: float
) -> Result[Ledger, LedgerError]:
    server_moves = context.moves.servers[budget.server.name]
    measured_at = requested_at - report.age_s
    if report.boot_id != server_moves.ledger.boot_id:
        if requested_at <= server_moves.changed_at:
            return Success(server_moves.ledger)
        return await _apply_restart(context, budget, report)
    raised = await raise_server_token(context, budget.server)
    if isinstance(raised, Failure):
        return raised
    verified = is_verifying(server_moves, budget.server, report, measured_at)
    if verified:
        corrected = await _correct(context, budget, report, measured_at)
        if isinstance(corrected, Failure):
            return corrected
        verified = measured_at > server_moves.changed_at
    if verified:
        server_moves.verified_epoch = server_moves.ledger.epoch
    resend = choose_resend(server_moves, budget)
    for entry in resend.unloads:
        await _resend_unload(context, budget, entry, report if verified else None)
    if resend.load is not None:
        return await _resend_load(context, budget, resend.load)
    return Success(server_moves.ledger)


async def _apply_restart(
    context: MoveContext, budget: Budget, report: EngineReport
) -> Result[Ledger, LedgerError]:
    owner_epoch = find_owner_epoch(context, budget.server.name)
    if isinstance(owner_epoch, Failure):
        return owner_epoch
    server_moves = context.moves.servers[budget.server.name]
    LOG.warning("event=server_restarted backend_server=%s", budget.server.name)
    server_moves.enforced_epoch = 0
    server_moves.verified_epoch = 0
    followed = await change_ledger(
        context,
        budget,
        lambda rows: plan_change(
            rows, budget, owner_epoch.unwrap(), lambda x: Success(restart(x, report.boot_id))
        ),
    )
    server_moves.changed_at = context.clock()
    return followed


async def _correct(
    context: MoveContext, budget: Budget, report: EngineReport, measured_at: float
) -> Result[Ledger, LedgerError]:
    """Correct the ledger for orphaned and missing copies shown by a verifying report.

    If an order was settled in the meantime, the report is too old and the ledger stays.
    """
    server_moves = context.moves.servers[budget.server.name]
    owner_epoch = find_owner_epoch(context, budget.server.name)
    if isinstance(owner_epoch, Failure):
        return owner_epoch
    orphans = find_orphaned(server_moves.ledger, report)
    missing = find_missing(server_moves.ledger, report)
    if not orphans and not missing:
        return Success(server_moves.ledger)
    LOG.warning(
        "event=ledger_corrected backend_server=%s strays=%d missing=%d",
        budget.server.name,
        len(orphans),
        len(missing),
    )
    order_id = context.access.make_id()

    def correct(ledger: Ledger) -> Result[Ledger, LedgerError]:
        current = measured_at > server_moves.changed_at
        return Success(correct_ledger(ledger, report, order_id) if current else ledger)

    return await change_ledger(
        context, budget, lambda rows: plan_change(rows, budget, owner_epoch.unwrap(), correct)
    )


async def _resend_unload(
    context: MoveContext, budget: Budget, entry: Entry, verifying_report: EngineReport | None
) -> None:
    """Resend an unload; it is settled if it is refused and a verifying report shows no copy."""
    sent = await send_unload(context, budget, entry)
    if isinstance(sent, Success) or verifying_report is None:
        return
    refused = sent.failure().detail.startswith(OrderFault.REFUSED.value)
    absent = entry.key not in {make_resident_key(r) for r in verifying_report.resident}
    owner_epoch = find_owner_epoch(context, budget.server.name)
    if refused and absent and isinstance(owner_epoch, Success):
        await settle_sent_unload(context, budget, owner_epoch.unwrap(), entry)


async def _resend_load(
    context: MoveContext, budget: Budget, entry: Entry
) -> Result[Ledger, LedgerError]:
    """Resend a load under its own order id, with a slot of the weight store."""
    found = find_owner_epoch(context, budget.server.name)
    if isinstance(found, Failure):
        return found
    server_moves = context.moves.servers[budget.server.name]
    if (
        entry.load_id in server_moves.in_flight
        or server_moves.ledger.find_load(entry.load_id) is None
    ):
        return Failure(LedgerError(LedgerFault.BUSY, "its load is in flight"))
    if entry.key.model and not context.quota.admit(entry.load_id):
        return Failure(LedgerError(LedgerFault.QUOTA, "too many adapter loads in flight"))
    server_moves.in_flight.add(entry.load_id)
    try:
        return await _reload(context, budget, entry, found.unwrap())
    finally:
        server_moves.in_flight.discard(entry.load_id)
        context.quota.finish(entry.load_id)


async def _reload(
    context: MoveContext, budget: Budget, entry: Entry, owner_epoch: OwnerEpoch
) -> Result[Ledger, LedgerError]:
    granted = await change_at_rate(
        context,
        budget,
        lambda rows: plan_reload(
            rows, budget, owner_epoch, entry.load_id, context.gate, context.clock()
        ),
        list_load_keys(entry),
    )
    if isinstance(granted, Failure):
        return granted
    sent = await send_order(context, budget.server, make_load_order(entry, owner_epoch.epoch))
    if isinstance(sent, Failure):
        return Failure(describe_order_error(sent.failure()))
    return await settle_sent_load(context, budget, owner_epoch, entry)


async def clear_ledger(
    access: TableAccess, budget: Budget
) -> Result[Ledger, LedgerError | TableError]:
    """Empty the ledger of a permanently removed server and free its slots and power.

    Call it only after the platform has removed the server from its list.
    """
    keys = (*budget.list_keys(), WEIGHTS_KEY)
    return await transact(access, keys, lambda rows: plan_clear(rows, budget))
