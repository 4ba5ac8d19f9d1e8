"""Errors of requests that may have run already, so that none is called not run falsely."""

from rhubarbshed.coordination.admission import UNAVAILABLE, Admission
from rhubarbshed.coordination.quarantine import describe_refused
from rhubarbshed.coordination.retries import describe_failure, find_outcome
from rhubarbshed.protocol.errors import Outcome, RequestError
from rhubarbshed.protocol.requests import AttemptResult, Request

BUSY_WAIT_S = 1.0


def describe_crasher(request: Request, has_run: bool) -> RequestError:
    """Describe a request refused for good; non-idempotent work that was sent stays unknown."""
    error = describe_refused(request.fingerprint)
    if request.idempotent or not has_run:
        return error
    return RequestError(error.status, error.code, error.message, Outcome.UNKNOWN)


def describe_busy(
    admission: Admission, request: Request, has_run: bool, code: str, message: str, wait_s: float
) -> RequestError:
    """Describe a request that no server can take now; `has_run` is whether one may have before."""
    if not has_run:
        return admission.refuse(UNAVAILABLE, code, message, wait_s)
    outcome = find_outcome(request, has_run)
    retry_after_s = admission.compute_retry_after(wait_s)
    retryable = outcome is Outcome.FAILED
    return RequestError(UNAVAILABLE, code, message, outcome, retryable, retry_after_s)


def describe_last(
    admission: Admission, request: Request, result: AttemptResult, has_run: bool
) -> RequestError:
    """Describe a request whose last attempt failed and that is not sent again."""
    if has_run:
        return describe_failure(request, result, has_run)
    wait_s = result.retry_after_s or BUSY_WAIT_S
    message = f"no backend server took it ({result.end.value})"
    return admission.refuse(UNAVAILABLE, "servers_busy", message, wait_s)
