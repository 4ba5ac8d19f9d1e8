"""Errors answered to a caller whose request got no answer from a server.

A refusal that says "not run" (408, 421, 429, 503) is given only if nothing was sent, or if every
server that got the request answered that it did not run it.
"""

import random

from attrs import frozen

from rhubarbshed.coordination.serving.account_access import Refusal
from rhubarbshed.protocol.errors import Outcome, RequestError
from rhubarbshed.protocol.forwarding import ACCOUNT_LIMIT_CODE, UNREACHED_CODE

RETRY_AFTER_MIN_S = 0.05
"""Shortest time after which a caller is asked to retry."""

RETRY_AFTER_SPREAD = 0.5
"""Largest random addition to the retry time, as a fraction of it, so that callers refused together
do not retry together."""

NO_SERVER_RETRY_S = 0.5
FULL_RETRY_S = 0.3
NOT_READY_RETRY_S = 0.5
BUSY_RETRY_S = 0.3
DRAINING_RETRY_S = 0.05
QUARANTINED_RETRY_S = 5.0
UNCONFIRMED_RETRY_S = 0.5
UNREADABLE_RETRY_S = 5.0
"""Retry times in seconds: lost servers are known again within a heartbeat, a full server has
finished some of its work, a starting instance has read the store, another instance answers at
once, and a request that ends servers is tried again. Instances ask twice a second for confirmation
of the configuration, and the operator has to correct an account."""


ACCOUNT_RETRY_MAX_S = 10.0
"""Longest time after which a request beyond its account's limit is asked to come back."""


@frozen
class RefusalReason:
    """Error code and message of a refusal, and the seconds until its cause may be gone."""

    code: str
    message: str
    available_in_s: float


REFUSAL_REASONS = {
    "no_servers": RefusalReason("no_servers", "no backend server is up", NO_SERVER_RETRY_S),
    "absent": RefusalReason("model_absent", "no backend server holds the model yet", FULL_RETRY_S),
    "all_tried": RefusalReason("all_refused", "no backend server took the request", BUSY_RETRY_S),
    "full": RefusalReason("servers_full", "all backend servers are full", FULL_RETRY_S),
    "version_gone": RefusalReason(
        "version_gone", "no backend server of the stream's version is up", NO_SERVER_RETRY_S
    ),
    "version_unknown": RefusalReason(
        "version_unknown", "the version that began the stream is not known", BUSY_RETRY_S
    ),
    "not_configured": RefusalReason(
        "not_configured", "no configuration is known", NOT_READY_RETRY_S
    ),
    "quarantined": RefusalReason(
        "quarantined", "backend servers ended while they ran this request", QUARANTINED_RETRY_S
    ),
    "budget": RefusalReason("no_repeats", "the budget of repeats is used up", BUSY_RETRY_S),
    "account_unreadable": RefusalReason(
        "account_unreadable", "the key's account cannot be read", UNREADABLE_RETRY_S
    ),
    "route_unconfirmed": RefusalReason(
        "route_unconfirmed", "it is not confirmed that no route fits", UNCONFIRMED_RETRY_S
    ),
    "limits_unconfirmed": RefusalReason(
        "limits_unconfirmed",
        "the request is longer than was allowed when limits were last confirmed",
        UNCONFIRMED_RETRY_S,
    ),
    "keys_unconfirmed": RefusalReason(
        "keys_unconfirmed", "the validity of keys is not confirmed", UNCONFIRMED_RETRY_S
    ),
}

STATED_REASONS = ("no_servers", "version_gone", "absent", "full", "budget", "quarantined")
"""Ends of a search for a server that a refusal states; the others count as "all_tried"."""


def make_refusal(
    reason: str, rng: random.Random, available_in_s: float | None = None
) -> RequestError:
    """Return the error for a request that has not run.

    `available_in_s` is the time until it could be served, if known.
    """
    refusal = REFUSAL_REASONS[reason]
    base_s = refusal.available_in_s if available_in_s is None else available_in_s
    after_s = draw_retry_after(base_s, rng)
    return RequestError(
        503, refusal.code, refusal.message, Outcome.NOT_RUN, retryable=True, retry_after_s=after_s
    )


def make_unconfirmed(reason: str, rng: random.Random, confirmed_in_s: float) -> RequestError:
    """Return the error for a request that only a confirmed configuration can decide on.

    `confirmed_in_s` is the time until the configuration may be confirmed again, if known.
    """
    return make_refusal(reason, rng, max(UNCONFIRMED_RETRY_S, confirmed_in_s))


def make_access_refusal(
    refusal: Refusal, rng: random.Random, confirmed_in_s: float
) -> RequestError:
    """Return the error for a request that its key does not allow.

    `confirmed_in_s` is the time until the configuration may be confirmed again, if known.
    """
    if refusal is Refusal.NO_KEY:
        return RequestError(401, refusal.value, "the request needs a key")
    if refusal is Refusal.UNKNOWN_KEY:
        return RequestError(401, refusal.value, "the key is not known")
    if refusal is Refusal.KEYS_UNCONFIRMED:
        return make_unconfirmed(refusal.value, rng, confirmed_in_s)
    return make_refusal(refusal.value, rng)


def draw_retry_after(base_s: float, rng: random.Random) -> float:
    """Return the time after which one of several refused callers should retry."""
    return max(RETRY_AFTER_MIN_S, base_s * (1.0 + rng.uniform(0.0, RETRY_AFTER_SPREAD)))


def make_account_limit(available_in_s: float, rng: random.Random) -> RequestError:
    """Return the error for a request beyond its account's limit, which has room at a time."""
    base_s = min(available_in_s, ACCOUNT_RETRY_MAX_S / (1.0 + RETRY_AFTER_SPREAD))
    return RequestError(
        429,
        ACCOUNT_LIMIT_CODE,
        "the account's limit is reached",
        Outcome.NOT_RUN,
        retryable=True,
        retry_after_s=draw_retry_after(base_s, rng),
    )


def make_unreached() -> RequestError:
    """Return the error for another instance's request that no server here is known to answer."""
    return RequestError(
        503, UNREACHED_CODE, "the backend servers for it do not answer", Outcome.NOT_RUN
    )


def make_failure(code: str, message: str) -> RequestError:
    """Return the error for a request that may have run."""
    return RequestError(502, code, message, Outcome.UNKNOWN)


def make_timeout(ran: bool) -> RequestError:
    """Return the error for a request whose deadline has passed."""
    if ran:
        return RequestError(504, "too_late", "no answer came in time", Outcome.UNKNOWN)
    return RequestError(
        503, "too_late", "no backend server was found in time", Outcome.NOT_RUN, retry_after_s=0.1
    )


def make_no_route() -> RequestError:
    """Return the error for a request that matches no route."""
    return RequestError(404, "no_route", "no route fits the host and path")


def make_defect(ran: bool) -> RequestError:
    """Return the error for a request that met a defect of this instance."""
    if ran:
        return make_failure("defect", "a defect of this instance ended the request")
    return RequestError(
        503, "defect", "a defect of this instance ended the request", Outcome.NOT_RUN
    )
