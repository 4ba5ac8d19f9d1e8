"""Log lines on orders, and on awaited targets that stay unserved."""

import logging

from attrs import asdict

from rhubarbshed.coordination.serving.load_rate import LoadRateLimiter
from rhubarbshed.coordination.serving.order_plan import Move, OrderPlan
from rhubarbshed.coordination.serving.placement_summary import PlacementSummary, Postponement
from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.servers import OrderEnd, ServerOrder, ServerReport
from rhubarbshed.state.placement.engine_states import EngineState
from rhubarbshed.state.placement.usage import Target
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

UNSERVED_LOG_AFTER_S = 1.0
UNSERVED_LOG_INTERVAL_S = 2.0
"""Time for which a target is awaited before it is logged, and between two lines on the same one."""


def log_unserved(plan: OrderPlan, rate: LoadRateLimiter, logged_at: dict[Target, float]) -> None:
    """Log targets awaited for long and what may delay them; `logged_at` are the last such lines."""
    now = plan.now
    for target in plan.awaited:
        lasts_s = plan.usage.measure_wait_s(target, now)
        if (
            lasts_s < UNSERVED_LOG_AFTER_S
            or now - logged_at.get(target, -UNSERVED_LOG_INTERVAL_S) < UNSERVED_LOG_INTERVAL_S
        ):
            continue
        logged_at[target] = now
        log_event(
            LOG,
            logging.INFO,
            "want_unserved",
            model=target[1],
            adapter=target[2],
            lasts_s=round(lasts_s, 2),
            rate=round(plan.measure_rate(target[1]), 2),
            holders=len(plan.list_holders(target[1])),
            engines_open=len(plan.list_orderable_now()),
            load_allowed=rate.allows(plan.sees_all_engines, now),
        )


def log_placement(plan: OrderPlan, summary: PlacementSummary) -> None:
    """Log what engines hold and do after a round, and why additions were not ordered in it."""
    postponed = {f"postponed_{each.value}": plan.postponed[each] for each in Postponement}
    log_event(
        LOG,
        logging.INFO,
        "placement",
        service=plan.service,
        **asdict(summary),
        ordered=len(plan.ordered),
        **postponed,
    )


def log_order_done(
    engine_state: EngineState, kind: OrderKind, model: str, expected_s: float, now: float
) -> None:
    """Log that the report of an engine shows a model order as carried out."""
    log_event(
        LOG,
        logging.INFO,
        "order_done",
        kind=kind.value,
        server=engine_state.server_id,
        model=model,
        took_ms=round((now - engine_state.ordered_at) * 1000),
        expected_ms=round(expected_s * 1000),
    )


def log_order(
    plan: OrderPlan,
    engine_state: EngineState,
    move: Move,
    order: ServerOrder,
    end: OrderEnd,
    from_store: bool,
) -> None:
    """Log an order with what decided it."""
    log_event(
        LOG,
        logging.INFO,
        "order",
        kind=move.kind.value,
        server=engine_state.server_id,
        model=move.model,
        adapter=move.adapter,
        why=move.reason,
        end=end.value,
        expected=order.expected,
        token=order.token,
        rate=round(plan.measure_rate(move.model), 2),
        places_taken=engine_state.count_adapter_slots(),
        from_store=from_store,
    )


def log_report(engine_state: EngineState, report: ServerReport) -> None:
    """Log what an engine reports to hold."""
    log_event(
        LOG,
        logging.INFO,
        "report",
        server=engine_state.server_id,
        orders=engine_state.orders,
        at_hand=",".join(sorted(report.in_memory | report.on_disk)),
        models=",".join(sorted(engine_state.models)),
        adapters=len(engine_state.adapters),
        busy=report.busy,
    )


def log_unreadable_report(server_id: str, reason: str) -> None:
    """Log that an engine's report cannot be decoded, so what it holds stays as it was known."""
    log_event(LOG, logging.INFO, "report_unreadable", server=server_id, reason=reason)
