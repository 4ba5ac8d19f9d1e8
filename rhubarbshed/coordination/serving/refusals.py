"""Final answers of our own: what a caller is told when its request got none from a server.

A refusal that says "not run" (408, 421, 429, 503) is given only where nothing was sent, or where
each server that got the request said that it did not run it.
"""

import random

from attrs import frozen

from rhubarbshed.protocol.errors import Outcome, RequestError

RETURN_MIN_S = 0.05
"""Shortest time after which a caller is asked back."""

RETURN_SPREAD = 0.5
"""Random part of the time to come back, so that callers refused together return apart."""

NO_SERVER_RETURN_S = 0.5
FULL_RETURN_S = 0.3
NOT_READY_RETURN_S = 0.5
BUSY_RETURN_S = 0.3
"""Times to come back in seconds: servers that were lost are known anew within a heartbeat, a full
one has finished some of its work, and a starting instance has read the store."""


@frozen
class Trouble:
    """Say what a refusal is made of: a code, a message and when it may be over, in seconds."""

    code: str
    message: str
    over_in_s: float


TROUBLES = {
    "no_servers": Trouble("no_servers", "no backend server is up", NO_SERVER_RETURN_S),
    "absent": Trouble("model_absent", "no backend server holds the model yet", FULL_RETURN_S),
    "all_tried": Trouble("all_refused", "no backend server took the request", BUSY_RETURN_S),
    "full": Trouble("servers_full", "all backend servers are full", FULL_RETURN_S),
    "not_configured": Trouble("not_configured", "no configuration is known", NOT_READY_RETURN_S),
    "budget": Trouble("no_repeats", "the budget of repeats is used up", BUSY_RETURN_S),
}


def refuse(reason: str, chance: random.Random, over_in_s: float | None = None) -> RequestError:
    """Refuse a request that has not run; `over_in_s` is when it could be served, if known."""
    trouble = TROUBLES[reason]
    base_s = trouble.over_in_s if over_in_s is None else over_in_s
    after_s = max(RETURN_MIN_S, base_s * (1.0 + chance.uniform(0.0, RETURN_SPREAD)))
    return RequestError(
        503, trouble.code, trouble.message, Outcome.NOT_RUN, retryable=True, retry_after_s=after_s
    )


def fail(code: str, message: str) -> RequestError:
    """Fail a request that may have run."""
    return RequestError(502, code, message, Outcome.UNKNOWN)


def expire(ran: bool) -> RequestError:
    """Answer a request whose time is over."""
    if ran:
        return RequestError(504, "too_late", "no answer came in time", Outcome.UNKNOWN)
    return RequestError(
        503, "too_late", "no backend server was found in time", Outcome.NOT_RUN, retry_after_s=0.1
    )


def miss_route() -> RequestError:
    """Answer a request that no route fits."""
    return RequestError(404, "no_route", "no route fits the host and path")
