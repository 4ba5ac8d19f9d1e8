"""Limits of servers as this instance knows them."""

import logging
import time

from attrs import define

from rhubarbshed.coordination.serving.server_limits import LimitChange, apply_head
from rhubarbshed.protocol.exchanges import ResponseHead
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)


@define(eq=False)
class LimitRegistry:
    """What servers name as their limits."""

    def record_head(self, record: ServerRecord, head: ResponseHead, sent_at: float) -> None:
        """Record what the head of an answer says of its server's limit."""
        now = time.monotonic()
        change = apply_head(record, head, sent_at, now)
        if change is not LimitChange.NONE:
            log_limit(record, change)


def log_limit(record: ServerRecord, change: LimitChange) -> None:
    """Log a change of a server's limit."""
    log_event(
        LOG,
        logging.INFO,
        "server_limit",
        server=record.entry.server_id,
        change=change.value,
        limit_per_s=record.limit_per_s,
    )
