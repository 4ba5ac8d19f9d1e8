"""Periodic tasks of placement: leases, ledgers and moves of models."""

import logging
import time

from returns.result import Failure, Result, Success

from rhubarbshed.coordination.agreement.ownership import (
    hand_over,
    maintain_ownership,
    remove_former_holders,
    renew_session,
)
from rhubarbshed.coordination.membership.membership import (
    get_standing,
    list_backend_servers,
    list_instances,
    list_lease_holders,
)
from rhubarbshed.coordination.placement.budgets import Budget
from rhubarbshed.coordination.placement.loads import (
    LoadSpec,
    execute_load,
    execute_unload,
)
from rhubarbshed.coordination.placement.placement import plan_moves, select_owned
from rhubarbshed.coordination.placement.reconciliation import reconcile_server
from rhubarbshed.protocol.members import BackendKind, BackendServerInfo, Standing
from rhubarbshed.protocol.orders import EngineReport, Resident
from rhubarbshed.protocol.placement import Move, MoveKind, MoveRecord, ServerView
from rhubarbshed.state.membership.load import ServerLoad
from rhubarbshed.state.placement.ledger import EntryKey, EntryState, Ledger, LedgerFault
from rhubarbshed.transport.runtime import STANDINGS_IN_USE, Runtime
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)
# Time after start during which placement waits for backend servers without a report.
REPORT_GRACE_S = 10.0
SLOTS_DEFAULT = 32
TOKEN_GAP_S = 0.028
MODEL_MOVE_KINDS = (MoveKind.LOAD, MoveKind.UNLOAD)
LOAD_KINDS = (MoveKind.LOAD, MoveKind.LOAD_ADAPTER)


async def maintain_leases(runtime: Runtime) -> Result[None, object]:
    """Renew the session, and take over or release backend servers of its data centre."""
    leases = runtime.leases
    renewed = await renew_session(runtime.access, leases, time.monotonic)
    if isinstance(renewed, Failure):
        runtime.metrics.platform_errors.inc({"call": "session"})
        return renewed
    now = time.monotonic()
    centre = runtime.settings.instance.data_centre
    runtime.quota.set_instances(
        tuple(info.name for info in list_instances(runtime.membership, now))
    )
    live = tuple(info.name for info in list_lease_holders(runtime.membership, now, centre))
    engines = tuple(info.name for info in list_engines(runtime, now, centre))
    changed = await maintain_ownership(
        runtime.access, leases, engines, live, time.monotonic, runtime.moves.is_idle
    )
    if isinstance(changed, Failure):
        return changed
    change = changed.unwrap()
    for session in change.sessions:
        holder = session.holder
        runtime.membership.apply_session(
            holder.instance, holder.incarnation, session.counter, time.monotonic()
        )
    for ledger in change.ledgers:
        runtime.moves.record_ledger(ledger, time.monotonic())
    for name in change.taken:
        epoch = leases.owned[name].epoch if name in leases.owned else 0
        runtime.timeline.record("server_taken", backend_server=name, epoch=epoch)
    for name in (*change.released, *change.lost):
        runtime.timeline.record("server_given_up", backend_server=name)
        if runtime.moves.is_idle(name):
            runtime.moves.forget(name)
    runtime.metrics.owned.set({}, len(leases.list_owned(time.monotonic())))
    return await _remove_former_holders(runtime)


async def _remove_former_holders(runtime: Runtime) -> Result[None, object]:
    """Remove former holders that are gone from owned ledgers, which unpins their orders."""
    now = time.monotonic()
    listed = frozenset(i.name for i in list_instances(runtime.membership, now, *STANDINGS_IN_USE))
    for owned in runtime.leases.list_owned(now):
        held = runtime.moves.servers.get(owned.backend_server)
        if held is None:
            continue
        settled = await remove_former_holders(
            runtime.access, runtime.leases, held.ledger, listed, time.monotonic
        )
        if isinstance(settled, Success):
            runtime.moves.record_ledger(settled.unwrap(), time.monotonic())
    return Success(None)


def list_engines(
    runtime: Runtime, now: float, data_centre: str = ""
) -> tuple[BackendServerInfo, ...]:
    """List the model engines in use, of one data centre or of all."""
    servers = list_backend_servers(
        runtime.membership, now, *STANDINGS_IN_USE, data_centre=data_centre
    )
    return tuple(info for info in servers if info.kind is BackendKind.ENGINE)


def make_budget(runtime: Runtime, info: BackendServerInfo) -> Budget:
    """Return the limits on memory and power of a backend server."""
    placement = runtime.settings.placement
    return Budget(info, placement.memory_fill_max, placement.power_watts_max)


async def reconcile(
    runtime: Runtime, info: BackendServerInfo, report: EngineReport, requested_at: float
) -> None:
    """Reconcile the ledger of an owned backend server with its report."""
    if info.name not in runtime.leases.owned:
        return
    result = await reconcile_server(
        runtime.move_context, make_budget(runtime, info), report, requested_at
    )
    if isinstance(result, Failure) and result.failure().fault not in (
        LedgerFault.ABSENT,
        LedgerFault.BUSY,
        LedgerFault.NOT_OWNER,
    ):
        error = result.failure()
        log_event(
            LOG,
            logging.INFO,
            "reconciliation_waits",
            backend_server=info.name,
            fault=error.fault.value,
            detail=error.detail,
        )


async def run_placement(runtime: Runtime) -> Result[None, object]:
    """Plan the moves of this interval and start those on owned backend servers."""
    now = time.monotonic()
    views = list_server_views(runtime, now)
    if views is None or not runtime.leases.is_held(now) or not runtime.platform_up:
        return Success(None)
    _forget_records(runtime, now)
    adapters = runtime.catalogue.group_adapters()
    plan = plan_moves(
        runtime.catalogue.list_models(),
        tuple(adapter for each in adapters.values() for adapter in each),
        views,
        runtime.demand.summarize(now),
        runtime.settings.placement,
        runtime.settings.weight_store,
        tuple(runtime.move_records),
        now,
    )
    owned = frozenset(ownership.backend_server for ownership in runtime.leases.list_owned(now))
    _start_moves(runtime, select_owned(plan, owned))
    runtime.unplaced = plan.unplaced
    return Success(None)


def list_server_views(runtime: Runtime, now: float) -> tuple[ServerView, ...] | None:
    """Return the placement view of all engines; None while a report is still missing.

    An engine without a report might hold any model, so a new instance waits for its first report
    rather than load what is already resident.
    """
    views = []
    for info in list_engines(runtime, now):
        server = runtime.load.servers.get(info.name)
        held = runtime.moves.servers.get(info.name)
        standing = get_standing(runtime.membership, info.name, now)
        if info.name in runtime.leases.owned and held is not None:
            views.append(_make_owned_view(info, standing, server, held.ledger))
        elif server is not None and server.engine is not None:
            views.append(_make_reported_view(info, standing, server))
        elif now - runtime.started_at < REPORT_GRACE_S:
            return None
    return tuple(views)


def _make_owned_view(
    info: BackendServerInfo, standing: Standing, server: ServerLoad | None, ledger: Ledger
) -> ServerView:
    """Return the view of an owned engine from its ledger, which includes moves in progress."""
    kept = [entry for entry in ledger.entries if entry.state is not EntryState.UNLOADING]
    resident = tuple(
        Resident(
            entry.key.name,
            entry.key.version,
            entry.memory_bytes,
            entry.state is EntryState.RESIDENT,
            entry.key.model,
        )
        for entry in kept
    )
    slots = _find_slots(server)
    return ServerView(
        info,
        standing,
        resident,
        ledger.memory_bytes,
        ledger.power_watts,
        slots,
        slots / TOKEN_GAP_S,
    )


def _make_reported_view(
    info: BackendServerInfo, standing: Standing, server: ServerLoad
) -> ServerView:
    report = server.engine
    slots = _find_slots(server)
    return ServerView(
        info,
        standing,
        report.resident,
        report.memory_bytes_used,
        slots=slots,
        tokens_per_s=slots / TOKEN_GAP_S,
    )


def _find_slots(server: ServerLoad | None) -> int:
    return server.engine.slots if server is not None and server.engine else SLOTS_DEFAULT


def _forget_records(runtime: Runtime, now: float) -> None:
    dwell_s = runtime.settings.placement.dwell_min_s
    runtime.move_records = [
        record
        for record in runtime.move_records
        if record.settled_at is None or now - record.settled_at < dwell_s
    ]


def _start_moves(runtime: Runtime, moves: tuple[Move, ...]) -> None:
    """Start one task per backend server, which executes the server's moves in order."""
    by_server: dict[str, list[Move]] = {}
    for move in moves:
        by_server.setdefault(move.backend_server, []).append(move)
    for name, server_moves in by_server.items():
        running = runtime.move_tasks.get(name)
        if running is None or running.done():
            runtime.move_tasks[name] = runtime.loop.create_task(
                _execute_moves(runtime, server_moves)
            )


async def _execute_moves(runtime: Runtime, moves: list[Move]) -> None:
    for move in moves:
        if not await _execute_move(runtime, move):
            return
    # Only after success: a failed move would be planned again at once, and fail again.
    runtime.placement_wakeup.set()


async def _execute_move(runtime: Runtime, move: Move) -> bool:
    """Execute one move; return whether it succeeded."""
    known = runtime.membership.backend_servers.get(move.backend_server)
    if known is None or runtime.coordinator.drain.started_at is not None:
        return False
    record = MoveRecord(move, time.monotonic())
    runtime.move_records.append(record)
    _note_move(runtime, move, "move_started")
    result = await _execute(runtime, make_budget(runtime, known.info), move)
    runtime.move_records.remove(record)
    if isinstance(result, Failure):
        error = result.failure()
        _note_move(runtime, move, "move_failed", fault=error.fault.value, detail=error.detail)
        return False
    runtime.move_records.append(MoveRecord(move, record.started_at, time.monotonic()))
    runtime.metrics.moves.inc({"kind": move.kind.value, "reason": move.reason.value})
    _note_move(runtime, move, "move_done")
    return True


async def _execute(runtime: Runtime, budget: Budget, move: Move) -> Result:
    key = EntryKey(move.name, move.version, move.model)
    if move.kind not in LOAD_KINDS:
        return await execute_unload(runtime.move_context, budget, key, move.relies_on)
    model = runtime.catalogue.get_model(move.name) if move.kind is MoveKind.LOAD else None
    power = model.power_watts if model is not None else 0.0
    return await execute_load(runtime.move_context, budget, LoadSpec(key, move.memory_bytes, power))


def _note_move(runtime: Runtime, move: Move, event: str, **more: object) -> None:
    name = {"model": move.name} if move.kind in MODEL_MOVE_KINDS else {"adapter": move.name}
    fields = {
        **name,
        "backend_server": move.backend_server,
        "kind": move.kind.value,
        "reason": move.reason.value,
        **more,
    }
    runtime.timeline.record(event, **fields)
    log_event(LOG, logging.INFO, event, **fields)


async def hand_over_servers(runtime: Runtime) -> bool:
    """Release the ownership of all backend servers; return whether none is left."""
    handed = await hand_over(runtime.access, runtime.leases, time.monotonic, runtime.moves.is_idle)
    return isinstance(handed, Success) and not handed.unwrap()
