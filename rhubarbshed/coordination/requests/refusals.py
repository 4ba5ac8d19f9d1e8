"""Errors of refused requests; one that may have run is never reported as not run."""

from collections.abc import Sequence

from attrs import evolve

from rhubarbshed.coordination.requests.admission import UNAVAILABLE, Admission
from rhubarbshed.coordination.requests.quarantine import describe_refused
from rhubarbshed.coordination.requests.retries import describe_failure, find_outcome
from rhubarbshed.protocol.errors import Outcome, RequestError
from rhubarbshed.protocol.requests import AttemptResult, Request
from rhubarbshed.state.membership.load import Candidate

BUSY_WAIT_S = 1.0
ISOLATED_RUN_WAIT_S = 2.0
NOT_RESIDENT_WAIT_S = 2.0
# Minimum time that an attempt counts as using a slot; shorter ones were refused at once.
SLOT_TIME_MIN_S = 0.001


def describe_quarantined(request: Request, has_run: bool) -> RequestError:
    """Return the error of a quarantined request; unknown outcome if sent and not idempotent."""
    error = describe_refused(request.fingerprint)
    if request.idempotent or not has_run:
        return error
    return RequestError(error.status, error.code, error.message, Outcome.UNKNOWN)


def describe_busy(
    admission: Admission, request: Request, has_run: bool, code: str, message: str, wait_s: float
) -> RequestError:
    """Return the error of a request no server can accept now; `has_run`: one may have run it."""
    if not has_run:
        return admission.refuse(UNAVAILABLE, code, message, wait_s)
    outcome = find_outcome(request, has_run)
    retry_after_s = admission.compute_retry_after(wait_s)
    retryable = outcome is Outcome.FAILED
    return RequestError(UNAVAILABLE, code, message, outcome, retryable, retry_after_s)


def describe_last_failure(
    admission: Admission, request: Request, result: AttemptResult, has_run: bool
) -> RequestError:
    """Return the error of a request whose last attempt failed and that is not retried."""
    if has_run:
        return describe_failure(request, result, has_run)
    wait_s = result.retry_after_s or BUSY_WAIT_S
    message = f"no backend server took it ({result.end.value})"
    return admission.refuse(UNAVAILABLE, "servers_busy", message, wait_s)


def describe_no_server(
    candidates: Sequence[Candidate], runs_isolated: bool
) -> tuple[str, str, float]:
    """Return code, message and seconds to wait for a request without a server to choose."""
    if all(found.lost for found in candidates):
        message = "it is in no backend server's memory at present"
        return "not_resident", message, NOT_RESIDENT_WAIT_S
    if runs_isolated:
        message = "its backend servers are kept for other requests that run alone"
        return "suspect_waits", message, ISOLATED_RUN_WAIT_S
    return "servers_busy", "its backend servers cannot take it at present", BUSY_WAIT_S


def spread_retries(
    admission: Admission,
    request: Request,
    candidates: Sequence[Candidate],
    instances: int,
    error: RequestError,
    now: float,
) -> RequestError:
    """Delay retries of one target's refused callers to the rate that it can serve."""
    shares = (each.slots / max(each.slot_time_s, SLOT_TIME_MIN_S) for each in candidates)
    wait_s = admission.reserve_retry(request.target, sum(shares) / instances, now)
    return evolve(error, retry_after_s=max(error.retry_after_s, wait_s))
