"""Limits on what callers send, and the age of the configuration that states them."""

import logging
import math
from collections.abc import Awaitable, Callable

import h11
from attrs import define

from rhubarbshed.coordination.serving.final_refusals import measure_confirmation_wait
from rhubarbshed.coordination.serving.refusals import make_unconfirmed
from rhubarbshed.platform.headers import read_timeout
from rhubarbshed.protocol.errors import RequestError
from rhubarbshed.protocol.forwarding import LIMITS_UNCONFIRMED_CODE
from rhubarbshed.protocol.routes import CallerLimits
from rhubarbshed.transport.edge.view import View, measure_age_ms
from rhubarbshed.util.clocks import read_lease_clock
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

Excess = tuple[int, str]
"""Status and reason of the refusal of a request that is beyond a limit."""

FindExcess = Callable[[CallerLimits], Excess | None]


def find_excess_bytes(head_bytes: int, body_bytes: int, limits: CallerLimits) -> Excess | None:
    """Return the refusal of a request that has, or will have, so many bytes; None within limits."""
    if head_bytes > limits.header_bytes:
        return 431, "the head is longer than allowed"
    if body_bytes > limits.body_bytes:
        return 413, "the body is longer than allowed"
    return None


def measure_head(request: h11.Request) -> int:
    """Return the bytes of a request's whole head."""
    head_lines_bytes = sum(
        len(name) + len(value) + len(b": \r\n") for name, value in request.headers
    )
    return len(request.method) + len(request.target) + len(b"  HTTP/1.1\r\n\r\n") + head_lines_bytes


def measure_announced(request: h11.Request) -> int:
    """Return the bytes of the body that a request announces, 0 if it announces none."""
    return max(
        (int(value) for name, value in request.headers if name == b"content-length"), default=0
    )


def measure_left(request: h11.Request, begun_at: float, now: float) -> float:
    """Return the seconds that a caller still waits for the answer to a request that began."""
    timeout_s = read_timeout(dict(request.headers))
    return math.inf if timeout_s is None else timeout_s - (now - begun_at)


@define(eq=False)
class LimitCheck:
    """Check whether the known limits may refuse a request for good.

    `confirm_configuration` queries a later configuration and waits for some seconds.
    """

    view: View
    confirm_configuration: Callable[[float], Awaitable[None]]

    @property
    def is_recent(self) -> bool:
        """Return whether the configuration that states the limits may refuse for good."""
        return self.view.may_refuse_finally(read_lease_clock())

    async def confirm(self, left_s: float) -> None:
        """Query a later configuration for a caller that leaves in `left_s`.

        The store is not queried while it is known to be lost.
        """
        is_lost = self.view.versions.entry_age.lost_at is not None
        wait_s = measure_confirmation_wait(left_s, is_lost)
        if wait_s > 0.0:
            await self.confirm_configuration(wait_s)

    def log_refusal(self, status: int, caller: str) -> None:
        """Log the refusal of a request, and the age of the limits that it is refused by."""
        log_event(
            LOG,
            logging.INFO,
            "limit_refused",
            status=status,
            caller=caller,
            configuration=self.view.configuration.version if self.view.configuration else "",
            configuration_age_ms=measure_age_ms(self.view, read_lease_clock()),
        )

    def make_refusal(self, now: float) -> RequestError:
        """Return the error for a request that the limits may not refuse for good."""
        confirmed_in_s = self.view.next_read_at - now
        return make_unconfirmed(LIMITS_UNCONFIRMED_CODE, self.view.rng, confirmed_in_s)
