"""Lines of the log on orders, and on what callers wait for in vain."""

import logging

from rhubarbshed.coordination.serving.floor import Floor, Move
from rhubarbshed.coordination.serving.placement import LoadRate
from rhubarbshed.protocol.servers import OrderEnd, ServerOrder
from rhubarbshed.state.placement.places import Place
from rhubarbshed.state.placement.usage import Target
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

UNSERVED_S = 1.0
UNSERVED_TOLD_S = 2.0
"""Time that a want lasts before the log tells of it, and between two lines on the same one."""


def log_unserved(floor: Floor, rate: LoadRate, told: dict[Target, float]) -> None:
    """Tell which wants last, and what may keep them waiting; `told` are the times of such lines."""
    now = floor.now
    for target in floor.wants:
        lasts_s = floor.usage.measure_want(target, now)
        if lasts_s < UNSERVED_S or now - told.get(target, -UNSERVED_TOLD_S) < UNSERVED_TOLD_S:
            continue
        told[target] = now
        log_event(
            LOG,
            logging.INFO,
            "want_unserved",
            model=target[1],
            adapter=target[2],
            lasts_s=round(lasts_s, 2),
            rate=round(floor.measure_rate(target[1]), 2),
            holders=len(floor.list_holders(target[1])),
            engines_open=len(floor.list_open()),
            load_allowed=rate.allows(floor.hears_all, now),
        )


def log_order(
    floor: Floor, place: Place, move: Move, order: ServerOrder, end: OrderEnd, from_store: bool
) -> None:
    """Write the line of an order, with what decided it."""
    log_event(
        LOG,
        logging.INFO,
        "order",
        kind=move.kind.value,
        server=place.server_id,
        model=move.model,
        adapter=move.adapter,
        why=move.reason,
        end=end.value,
        expected=order.expected,
        token=order.token,
        rate=round(floor.measure_rate(move.model), 2),
        places_taken=place.count_adapters(),
        from_store=from_store,
    )
