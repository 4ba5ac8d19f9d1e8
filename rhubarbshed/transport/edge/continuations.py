"""Streams that callers take up again: search for their origin, record and count of the outcome."""

import logging
import time

from rhubarbshed.coordination.serving.refusals import make_refusal
from rhubarbshed.coordination.serving.versions import (
    Continuation,
    OriginSource,
    decide_continuation,
    refuse_unknown,
)
from rhubarbshed.protocol.errors import RequestError
from rhubarbshed.protocol.exchanges import CallerRequest
from rhubarbshed.protocol.routes import Route
from rhubarbshed.protocol.streams import StreamLookup, StreamOrigin
from rhubarbshed.state.requests.stream_origins import STREAM_AGE_MAX_S
from rhubarbshed.transport.edge.relay_parts import NOT_FOUND
from rhubarbshed.transport.edge.request_progress import RequestProgress
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)


def is_continuation(request: CallerRequest, route: Route) -> bool:
    """Return whether a request takes up a stream."""
    return route.streamed and request.takes_up_stream


async def decide_stream(progress: RequestProgress) -> RequestError | None:
    """Find who may continue the stream that a request takes up; return its refusal, if any."""
    request, route, view = progress.request, progress.route, progress.relay.view
    if not is_continuation(request, route):
        return None
    lookup = NOT_FOUND
    if request.stream_id:
        lookup = await progress.relay.find_stream(request.stream_id, time.monotonic())
    if lookup.origin is None and not route.resumable and not request.last_event_id:
        return None
    service = progress.service

    def decide() -> Continuation:
        now = time.monotonic()
        return decide_continuation(request, route, service, lookup, view.fleet, view.versions, now)

    continuation = decide()
    if continuation.source is OriginSource.SOLE:
        # A version may have come since the entries known here were read, and begun the stream.
        confirmed = await progress.relay.confirm_entries()
        continuation = decide() if confirmed else refuse_unknown(service)
    progress.continuation = continuation
    progress.service = continuation.service
    progress.caller_response.origin = continuation.origin
    if not continuation.refused:
        return None
    if continuation.origin is None:
        log_refused(progress, lookup, time.monotonic())
    return make_refusal(continuation.refusal_reason, view.rng)


def log_refused(progress: RequestProgress, lookup: StreamLookup, now: float) -> None:
    """Log what is known of the versions that may have begun a refused stream."""
    request, service, view = progress.request, progress.service, progress.relay.view
    seen = view.versions.list_seen(view.fleet, now - STREAM_AGE_MAX_S) | lookup.versions
    log_event(
        LOG,
        logging.INFO,
        "stream_refused",
        request=request.request_id,
        stream=request.stream_id,
        service=service,
        versions=",".join(sorted(version for name, version in seen if name == service)),
        age_max_s=STREAM_AGE_MAX_S,
        followed_s=round(view.measure_followed(now), 1),
        routed_s=round(view.versions.routes.measure_age(progress.route, now), 1),
        asked=lookup.asked,
        replied=lookup.replied,
    )


def record_origin(progress: RequestProgress, origin: StreamOrigin) -> None:
    """Record the origin of a stream when the head of its first response goes out."""
    request = progress.request
    stream_ids = {request.stream_id}
    if not request.last_event_id:
        # The first event comes now: the caller may name this request later.
        stream_ids.add(request.request_id)
    now = time.monotonic()
    for stream_id in sorted(stream_ids - {""}):
        progress.relay.record_stream(stream_id, origin, now)


def name_outcome(
    request: CallerRequest, continuation: Continuation | None, begun: bool, error_code: str
) -> str:
    """Return what became of a stream that a request takes up, as a metric's label."""
    if begun:
        return "continued" if request.last_event_id else "began_anew"
    if continuation is not None and continuation.refused and continuation.origin is None:
        return "refused_unknown"
    return "refused_gone" if error_code == "version_gone" else "failed"
