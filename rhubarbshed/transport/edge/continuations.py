"""Streams that callers take up again: search for their origin, record and count of the outcome."""

import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from rhubarbshed.coordination.serving.refusals import make_refusal
from rhubarbshed.coordination.serving.versions import Continuation, decide_continuation
from rhubarbshed.protocol.errors import RequestError
from rhubarbshed.protocol.exchanges import CallerRequest
from rhubarbshed.protocol.routes import Route
from rhubarbshed.protocol.streams import StreamLookup, StreamOrigin

if TYPE_CHECKING:
    from rhubarbshed.transport.edge.relay import RequestProgress

RecordStream = Callable[[str, StreamOrigin, float], None]
"""Recorder of the origin of a stream: id, origin, monotonic seconds."""

FindStream = Callable[[str, float], Awaitable[StreamLookup]]
"""Search for the origin of a stream: id, monotonic seconds."""

NOT_FOUND = StreamLookup(None)


def record_nothing(stream_id: str, origin: StreamOrigin, now: float) -> None:
    """Record no origin; for an instance without a registry of streams."""


async def find_nothing(stream_id: str, now: float) -> StreamLookup:
    """Find no origin; for an instance without a registry of streams."""
    return NOT_FOUND


def is_continuation(request: CallerRequest, route: Route) -> bool:
    """Return whether a request takes up a stream."""
    return route.streamed and request.takes_up_stream


async def decide_stream(progress: "RequestProgress") -> RequestError | None:
    """Find who may continue the stream that a request takes up; return its refusal, if any."""
    request, route, view = progress.request, progress.route, progress.relay.view
    if not is_continuation(request, route):
        return None
    lookup = NOT_FOUND
    if request.stream_id:
        lookup = await progress.relay.find_stream(request.stream_id, time.monotonic())
    if lookup.origin is None and not route.resumable:
        return None
    now = time.monotonic()
    continuation = decide_continuation(
        request, route, progress.service, lookup, view.fleet, view.versions, now
    )
    progress.continuation = continuation
    progress.service = continuation.service
    progress.caller_response.origin = continuation.origin
    return make_refusal(continuation.refusal_reason, view.rng) if continuation.refused else None


def record_origin(progress: "RequestProgress", origin: StreamOrigin) -> None:
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
