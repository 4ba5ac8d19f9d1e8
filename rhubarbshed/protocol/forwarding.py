"""Requests that one instance forwards to another.

They are requests as callers send them, at the address for other instances, with these headers.
"""

from rhubarbshed.protocol.exchanges import Headers

ATTEMPTS_LEFT = b"forwarded-attempts"
"""Header of a forwarded request: how many backend servers may still run it."""

PROBE_WAIT_MS = b"forwarded-probe-wait-ms"
"""Header of a forwarded request: for how long it may still wait until it is known whether servers
can be reached. Instances of earlier builds neither send nor read it."""

DECLINED = b"forward-declined"
"""Header of an error: the request did not run, and another instance may serve it."""

UNREACHED_CODE = "unreached"
"""Code of the error of an instance that does not reach the servers for a request either."""

ACCOUNT_LIMIT_CODE = "account_limit"
"""Code of the error of a request beyond its account's limit, which holds at all instances."""

LIMITS_UNCONFIRMED_CODE = "limits_unconfirmed"
"""Code of the error of a request that was not read: it is beyond limits that may be out of date."""

REACHABILITY_TARGET = b"/reachability"
STATUS_REACHED = 200
STATUS_UNREACHED = 503
"""Target of the question whether an instance reaches backend servers, without the header of a
forwarded request, and the statuses of its answer."""

STATUS_NOT_TRUSTED = 403
"""Status for requests from addresses that are not those of instances."""


def is_question(target: bytes, headers: Headers) -> bool:
    """Return whether a request asks for the reachability of servers."""
    return target == REACHABILITY_TARGET and ATTEMPTS_LEFT not in dict(headers)


def read_attempts_left(headers: Headers) -> int:
    """Return how many servers may run a forwarded request, 1 if the header is missing or wrong."""
    value = dict(headers).get(ATTEMPTS_LEFT, b"")
    return max(1, int(value)) if value.isdigit() and len(value) <= 3 else 1


def read_probe_wait(headers: Headers, longest_s: float) -> float:
    """Return the seconds for which a forwarded request may wait for probes, at most `longest_s`."""
    value = dict(headers).get(PROBE_WAIT_MS, b"")
    return min(longest_s, int(value) / 1000.0) if value.isdigit() and len(value) <= 6 else longest_s
