"""Final answers of an instance itself: errors, refusals, and requests that a stop cuts off."""

import time

from attrs import evolve

from rhubarbshed.coordination.serving.account_access import Refusal
from rhubarbshed.coordination.serving.choice import list_staying
from rhubarbshed.coordination.serving.refusals import (
    STATED_REASONS,
    make_defect,
    make_failure,
    make_refusal,
    make_timeout,
)
from rhubarbshed.coordination.serving.server_limits import find_limit_retry
from rhubarbshed.platform.headers import echo_request_id
from rhubarbshed.protocol.errors import Outcome, RequestError
from rhubarbshed.protocol.forwarding import DECLINED, UNREACHED_CODE
from rhubarbshed.transport.edge.connection_logs import CloseReason
from rhubarbshed.transport.edge.request_logs import log_end
from rhubarbshed.transport.edge.request_progress import RequestProgress

DECLINED_CODES = (
    "draining",
    "not_configured",
    "no_route",
    "route_unconfirmed",
    UNREACHED_CODE,
    *(refusal.value for refusal in Refusal),
)
"""Codes of errors that are due to this instance alone, so that another one may do better."""


def cut_off_request(progress: RequestProgress) -> None:
    """End the request now, because the process stops."""
    progress.cut_off_as = progress.repeat
    route_name = progress.route.name if progress.route else ""
    progress.relay.metrics.count_cut_off(route_name, progress.cut_off_as.value)
    answer_error(progress, make_timeout(progress.may_have_run))
    progress.connection.end(CloseReason.CUT_OFF)
    progress.connection.cancel_work()


def give_up(progress: RequestProgress, reason: str) -> RequestError | None:
    """Return the final error of a request that no server will answer."""
    if progress.caller_response.send_kept_failure():
        return None
    if progress.tries.run > 0:
        return make_failure(reason, "the backend server gave no whole answer")
    known = reason if reason in STATED_REASONS else "all_tried"
    available_in_s = progress.available_in_s if known in ("absent", "quarantined") else None
    if known == "full":
        staying = list_staying(
            progress.relay.view.fleet, progress.service, progress.caller_response.version
        )
        needs = (progress.request.model, progress.request.adapter)
        available_in_s = find_limit_retry(staying, needs, time.monotonic())
    refusal = make_refusal(known, progress.relay.view.rng, available_in_s)
    if known == "full" and progress.slot_in_s is not None:
        # Callers are asked back one after the other, so nothing is added at random.
        return evolve(refusal, retry_after_s=max(progress.slot_in_s, available_in_s or 0.0))
    return refusal


def answer_defect(progress: RequestProgress) -> None:
    """Answer a request whose handling raised an unexpected exception, if that is still due."""
    if progress.connection.is_answered:
        return
    was_sent = progress.last_attempt is not None and progress.last_attempt.sent
    answer_error(progress, make_defect(progress.tries.run > 0 or was_sent))


def answer_error(progress: RequestProgress, error: RequestError) -> None:
    """Send an error of this instance, or abort a response that has begun."""
    progress.ended = True
    if progress.caller_response is not None and progress.caller_response.begun:
        progress.connection.abort(CloseReason.ABORTED)
    else:
        send_error(progress, error)
    log_end(progress, error.code, error, time.monotonic())


def send_error(progress: RequestProgress, error: RequestError) -> None:
    """Send an error of this instance as a complete response."""
    headers = [(b"content-type", b"text/plain"), *echo_request_id(progress.request.request_id)]
    if error.retry_after_s is not None:
        headers.append((b"retry-after", f"{error.retry_after_s:.3f}".encode()))
    if progress.forwarded_by and is_declined(progress, error):
        headers.append((DECLINED, error.code.encode()))
    progress.connection.send_complete(
        error.status, tuple(headers), f"{error.code}: {error.message}\n".encode()
    )


def is_declined(progress: RequestProgress, error: RequestError) -> bool:
    """Return whether another instance may serve a request that this one does not."""
    if error.outcome is not Outcome.NOT_RUN or progress.delivered:
        return False
    return error.code in DECLINED_CODES or progress.relay.links.is_cut
