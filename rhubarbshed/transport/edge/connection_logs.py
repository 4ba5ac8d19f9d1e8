"""Log lines on callers' connections that an instance closes."""

import enum
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import define

from rhubarbshed.transport.edge.metrics import FrontMetrics
from rhubarbshed.util.logs import log_event

if TYPE_CHECKING:
    from rhubarbshed.transport.edge.caller_connections import CallerConnection

LOG = logging.getLogger(__name__)


class CloseReason(enum.Enum):
    """Why an instance closes a caller's connection."""

    IDLE_TIME = "idle_time"
    DRAIN = "drain"
    LAST_ANSWER = "last_answer"
    REFUSED = "refused"
    ABORTED = "aborted"
    CUT_OFF = "cut_off"
    DEFECT = "defect"


class ConnectionState(enum.Enum):
    """How far the request on a connection has got."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    ANSWERING = "answering"


@define
class CloseLog:
    """Log of the closes of callers' connections; `measure_stopping` is the time since SIGTERM."""

    metrics: FrontMetrics
    measure_stopping: Callable[[float], float | None]

    def record_close(
        self, connection: "CallerConnection", reason: CloseReason, status: int, now: float
    ) -> None:
        """Count a close and log it; `status` is that of a refusal of what cannot be read.

        A close that a caller asked for is a regular end, as frequent as requests may be.
        """
        self.metrics.count_close(reason.value)
        stopping_s = self.measure_stopping(now)
        is_regular = reason is CloseReason.LAST_ANSWER and stopping_s is None
        log_event(
            LOG,
            logging.DEBUG if is_regular else logging.INFO,
            "connection_closed",
            reason=reason.value,
            state=connection.state.value,
            status=status or "",
            conn_requests=connection.requests,
            conn_age_ms=round((now - connection.opened_at) * 1000),
            idle_ms=round((now - connection.active_at) * 1000),
            stopping_ms="" if stopping_s is None else round(stopping_s * 1000),
            unparsed_bytes=connection.unparsed_bytes,
            unread_bytes=connection.unread_bytes,
            unsent_bytes=connection.unsent_bytes,
            caller=connection.peer,
        )

    def record_late_bytes(self, connection: "CallerConnection", now: float) -> None:
        """Log that a caller sent more after the close; nothing of it was read.

        Bytes that come later than a round trip were sent by a caller that had the refusal.
        """
        log_event(
            LOG,
            logging.INFO,
            "connection_late_bytes",
            reason=connection.close_reason.value,
            late_bytes=connection.late_bytes,
            conn_requests=connection.requests,
            first_ms=round((connection.late_at - connection.closed_at) * 1000),
            after_ms=round((now - connection.closed_at) * 1000),
            caller=connection.peer,
        )
