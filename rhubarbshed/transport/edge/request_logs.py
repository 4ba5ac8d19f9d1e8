"""Log lines on the ends of requests."""

import logging
import math
import time

from rhubarbshed.coordination.serving.choice import Choice
from rhubarbshed.protocol.errors import RequestError
from rhubarbshed.protocol.exchanges import ExchangeEnd
from rhubarbshed.transport.edge.attempts import Attempt
from rhubarbshed.transport.edge.continuations import is_continuation, name_outcome
from rhubarbshed.transport.edge.request_progress import RequestProgress, Stage
from rhubarbshed.transport.edge.view import measure_age_ms
from rhubarbshed.util.clocks import read_lease_clock
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

PARTS_LOGGED_MAX = 8
"""Most parts of a prompt in a line of the log."""

ASKED_CHARS_MAX = 80
"""Most characters in a line of the log of the host and the path that no route fits."""


def find_stage(progress: RequestProgress) -> Stage:
    """Return what a request is waiting for: a decision, or an attempt's next step."""
    attempt = progress.last_attempt
    if not progress.in_flight or attempt is None:
        return progress.waits_for
    if not attempt.sent:
        return Stage.CONNECTION
    return Stage.BODY if attempt.status else Stage.RESPONSE


def log_dispatched(progress: RequestProgress, chosen: Choice) -> None:
    """Log the figures behind the choice of a server, and count them."""
    metrics, age_s = progress.relay.metrics, chosen.sample_age_s
    if age_s != math.inf:
        metrics.observe_load_age(age_s)
    if chosen.slowness is not None:
        metrics.observe_slowness(chosen.slowness)
    log_event(
        LOG,
        logging.DEBUG,
        "dispatched",
        request=progress.request.request_id,
        server=chosen.server.entry.server_id,
        load=round(chosen.load, 1),
        sample_age_s=round(min(age_s, 999.0), 2),
        candidates=chosen.candidates,
        slowness="" if chosen.slowness is None else round(chosen.slowness, 2),
        expected_ms=round(chosen.expected_s * 1000),
    )


def log_failed_attempt(
    progress: RequestProgress, attempt: Attempt, end: ExchangeEnd, now: float
) -> None:
    """Log why a server did not answer; a fingerprint tells which tries are of one request."""
    request = progress.request
    fields = {
        "request": request.request_id,
        "server": attempt.record.entry.server_id,
        "end": end.value,
        "status": attempt.status,
        "detail": attempt.detail,
        "framing": attempt.framing.value if attempt.framing is not None else "",
        "body_bytes": attempt.body_bytes,
        "body_ms": measure_body(attempt, now),
        "run": progress.tries.run,
        "refused": progress.tries.refused,
    }
    if end.may_have_run:
        fields["begun"] = int(attempt.begun)
        fields["fingerprint"] = request.fingerprint
        fields["parts"] = ",".join(name for name, _ in request.parts[:PARTS_LOGGED_MAX])
    log_event(LOG, logging.INFO, "attempt_failed", **fields)


def measure_body(attempt: Attempt, now: float) -> int | str:
    """Return the milliseconds since an attempt's response began, "" if it did not."""
    return "" if attempt.head_at is None else round((now - attempt.head_at) * 1000)


def log_end(
    progress: RequestProgress, outcome: str, error: RequestError | None, now: float
) -> None:
    """Count the end of a request, and log the line that shows an operator what decided on it."""
    view = progress.relay.view
    request, response = progress.request, progress.caller_response
    status = error.status if error is not None else 0
    if response is not None and response.begun:
        status = response.status
    elapsed_s = now - request.received_at
    route_name = progress.route.name if progress.route else ""
    progress.relay.metrics.count_request(route_name, status, elapsed_s)
    fields = {
        "request": request.request_id,
        "outcome": outcome,
        "status": status,
        "route": route_name,
        "service": progress.service,
        "model": request.model,
        "adapter": request.adapter,
        "servers": ",".join(progress.servers),
        "versions": ",".join(progress.versions),
        "run": progress.tries.run,
        "refused": progress.tries.refused,
        "took_ms": round(elapsed_s * 1000),
        "waited_ms": round(progress.waited_s * 1000),
        "queued_ms": round(progress.queued_s * 1000),
        "left_ms": round((progress.deadline - now) * 1000) if progress.deadline else "",
        "configuration": view.configuration.version if view.configuration else "",
        "fleet_age_s": round(now - view.fleet_at, 1),
    }
    if error is not None and progress.route is None:
        fields |= describe_unrouted(progress)
    if response is not None and response.first_at is not None:
        fields["first_ms"] = round((response.first_at - request.received_at) * 1000)
        fields["gap_ms"] = round(response.gap_s * 1000)
        progress.relay.metrics.observe_first_bytes(response.first_at - request.received_at)
    if progress.waited_s > 0.0:
        outcome = name_load_wait(progress, status)
        progress.relay.metrics.observe_load_wait(outcome, progress.waited_s)
        fields["load_wait"] = outcome
    if progress.account is not None:
        fields["account"] = progress.account.name
    if progress.forwarded_by:
        fields["from_instance"] = progress.forwarded_by
    if progress.relay.links.is_cut:
        progress.relay.metrics.count_cut_request(status)
    attempt = progress.last_attempt
    if attempt is not None and attempt.framing is not None:
        fields["framing"] = attempt.framing.value
        fields["body_bytes"] = attempt.body_bytes
    fields |= count_stream(progress, error)
    if progress.cut_off_as is not None:
        fields["cut_off"] = progress.cut_off_as.value
    if progress.stopped_by:
        fields["stopped_by"] = progress.stopped_by
    if error is not None and error.retry_after_s is not None:
        fields["retry_after_s"] = round(error.retry_after_s, 3)
    connection, stop_at = progress.connection, view.drain.started_at
    fields["conn_request"] = connection.requests
    fields["conn_age_ms"] = round((now - connection.opened_at) * 1000)
    fields["stopping_ms"] = "" if stop_at is None else round((connection.read_at - stop_at) * 1000)
    fields["sent_bytes"] = connection.sent_bytes
    disconnect = connection.disconnect
    if disconnect is not None:
        fields["stage"] = find_stage(progress).value
        fields["closed"] = disconnect.kind
        fields["unsent_bytes"] = disconnect.unsent_bytes
        fields["closed_ms"] = round((now - disconnect.at) * 1000)
    log_event(LOG, logging.INFO, "request_ended", **fields)


def describe_unrouted(progress: RequestProgress) -> dict[str, object]:
    """Return what a request without a route asked for, and how old the configuration is."""
    request, view = progress.request, progress.relay.view
    lost_at = view.versions.entry_age.lost_at
    return {
        "host": request.host[:ASKED_CHARS_MAX],
        "path": request.path[:ASKED_CHARS_MAX],
        "configuration_age_ms": measure_age_ms(view, read_lease_clock()),
        "store_lost_ms": "" if lost_at is None else round((time.monotonic() - lost_at) * 1000),
    }


def name_load_wait(progress: RequestProgress, status: int) -> str:
    """Return what became of a request that waited for a load."""
    response = progress.caller_response
    if response is None or response.first_at is None or not 200 <= status < 300:
        return "left" if progress.connection.disconnect is not None else "refused"
    first_s = response.first_at - progress.request.received_at
    return "on_time" if first_s <= progress.route.target_s else "late"


def count_stream(progress: RequestProgress, error: RequestError | None) -> dict[str, object]:
    """Count what became of a request's stream; return the fields for its log line."""
    request, response = progress.request, progress.caller_response
    # A route may have lost `Resumable` since a stream began whose origin is known.
    if response is None or not (response.route.resumable or progress.continuation):
        return {}
    metrics = progress.relay.metrics
    metrics.count_stream_parts(response.parts_same, response.parts_other)
    fields: dict[str, object] = {}
    if response.origin is not None:
        fields["version"] = response.origin.version
    if is_continuation(request, response.route):
        fields["stream"] = request.stream_id
        continuation = progress.continuation
        fields["origin"] = continuation.source.value if continuation is not None else ""
        code = error.code if error is not None else ""
        metrics.count_continuation(name_outcome(request, continuation, response.begun, code))
    return fields
