"""Final answers of our own: what a caller is told when its request got none from a server.

A refusal that says "not run" (408, 421, 429, 503) is given only where nothing was sent, or where
each server that got the request said that it did not run it.
"""

import random

from attrs import frozen

from rhubarbshed.protocol.errors import Outcome, RequestError

RETRY_AFTER_MIN_S = 0.05
"""Shortest time after which a caller is asked back."""

RETRY_AFTER_SPREAD = 0.5
"""Random part of the time to come back, so that callers refused together return apart."""

NO_SERVER_RETRY_S = 0.5
FULL_RETRY_S = 0.3
NOT_READY_RETRY_S = 0.5
BUSY_RETRY_S = 0.3
"""Times to come back in seconds: servers that were lost are known anew within a heartbeat, a full
one has finished some of its work, and a starting instance has read the store."""


@frozen
class RefusalReason:
    """Say what a refusal is made of: a code, a message and when it may be over, in seconds."""

    code: str
    message: str
    available_in_s: float


REFUSAL_REASONS = {
    "no_servers": RefusalReason("no_servers", "no backend server is up", NO_SERVER_RETRY_S),
    "absent": RefusalReason("model_absent", "no backend server holds the model yet", FULL_RETRY_S),
    "all_tried": RefusalReason("all_refused", "no backend server took the request", BUSY_RETRY_S),
    "full": RefusalReason("servers_full", "all backend servers are full", FULL_RETRY_S),
    "not_configured": RefusalReason(
        "not_configured", "no configuration is known", NOT_READY_RETRY_S
    ),
    "budget": RefusalReason("no_repeats", "the budget of repeats is used up", BUSY_RETRY_S),
}


def make_refusal(
    reason: str, rng: random.Random, available_in_s: float | None = None
) -> RequestError:
    """Refuse a request that has not run; `available_in_s` is when it could be served, if known."""
    refusal = REFUSAL_REASONS[reason]
    base_s = refusal.available_in_s if available_in_s is None else available_in_s
    after_s = max(RETRY_AFTER_MIN_S, base_s * (1.0 + rng.uniform(0.0, RETRY_AFTER_SPREAD)))
    return RequestError(
        503, refusal.code, refusal.message, Outcome.NOT_RUN, retryable=True, retry_after_s=after_s
    )


def make_failure(code: str, message: str) -> RequestError:
    """Fail a request that may have run."""
    return RequestError(502, code, message, Outcome.UNKNOWN)


def make_timeout(ran: bool) -> RequestError:
    """Answer a request whose time is over."""
    if ran:
        return RequestError(504, "too_late", "no answer came in time", Outcome.UNKNOWN)
    return RequestError(
        503, "too_late", "no backend server was found in time", Outcome.NOT_RUN, retry_after_s=0.1
    )


def make_no_route() -> RequestError:
    """Answer a request that no route fits."""
    return RequestError(404, "no_route", "no route fits the host and path")
