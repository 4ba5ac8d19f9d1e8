"""Servers that may continue a stream which its caller takes up again.

Streams held events of two software versions, which do not fit together: a caller whose connection
broke was sent to any server, and servers do not check who wrote the events that it has. A stream
goes on only where its version is known, by somebody's memory of its beginning or because there was
no other version for as long as it can be old. A refusal costs a retry, a wrong guess the stream.

Versions are compared for equality only.
"""

import enum

from attrs import frozen

from rhubarbshed.protocol.exchanges import CallerRequest
from rhubarbshed.protocol.routes import Route
from rhubarbshed.protocol.streams import StreamLookup, StreamOrigin
from rhubarbshed.state.membership.fleet import Fleet
from rhubarbshed.state.membership.versions import VersionHistory
from rhubarbshed.state.requests.stream_origins import STREAM_AGE_MAX_S


class OriginSource(enum.Enum):
    """How the origin of a stream is known: by this instance, by others, by elimination, or not."""

    OWN = "own"
    TOLD = "told"
    SOLE = "sole"
    UNKNOWN = "unknown"


@frozen
class Continuation:
    """Decision on a stream that is taken up again: its service, and the origin that it is bound to.

    Without an origin any server of the service may answer, unless the request is `refused`.
    """

    service: str
    origin: StreamOrigin | None
    source: OriginSource
    refused: bool = False

    @property
    def refusal_reason(self) -> str:
        """Return why a request is refused."""
        return "version_unknown" if self.origin is None else "version_gone"


def decide_continuation(
    request: CallerRequest,
    route: Route,
    service: str,
    lookup: StreamLookup,
    fleet: Fleet,
    history: VersionHistory,
    now: float,
) -> Continuation:
    """Decide who may continue a stream; `service` is the one drawn for a new stream."""
    if lookup.origin is not None:
        source = OriginSource.TOLD if lookup.asked else OriginSource.OWN
        if leads_to(route, lookup.origin.service):
            return Continuation(lookup.origin.service, lookup.origin, source)
        if request.last_event_id:
            # What two services write fits together no better than two versions.
            return Continuation(lookup.origin.service, lookup.origin, source, refused=True)
        return Continuation(service, None, source)
    if not request.last_event_id:
        # The caller has no event yet that another version could contradict.
        return Continuation(service, None, OriginSource.UNKNOWN)
    origin = find_sole_origin(route, lookup, fleet, history, now)
    if origin is None:
        return refuse_unknown(service)
    return Continuation(origin.service, origin, OriginSource.SOLE)


def refuse_unknown(service: str) -> Continuation:
    """Return the refusal of a stream whose version is not known."""
    return Continuation(service, None, OriginSource.UNKNOWN, refused=True)


def leads_to(route: Route, service: str) -> bool:
    """Return whether a service is one of the route's, also one that gets no new streams."""
    return any(name == service for name, _ in route.shares)


def find_sole_origin(
    route: Route,
    lookup: StreamLookup,
    fleet: Fleet,
    history: VersionHistory,
    now: float,
) -> StreamOrigin | None:
    """Return the only origin that a stream of a route can have, None if not certain."""
    if not is_current(history, now):
        return None
    if measure_followed(history, now) < STREAM_AGE_MAX_S:
        return None
    if history.routes.measure_age(route, now) < STREAM_AGE_MAX_S:
        # The stream may have begun at a service that the route led to before.
        return None
    if lookup.asked and not lookup.replied:
        return None
    seen = history.list_seen(fleet, now - STREAM_AGE_MAX_S) | lookup.versions
    origins = [StreamOrigin(*pair) for pair in seen if leads_to(route, pair[0])]
    return origins[0] if len(origins) == 1 else None


def is_current(history: VersionHistory, now: float) -> bool:
    """Return whether the entries known here are those in force."""
    return history.followed_since is not None and history.entry_age.is_current(now)


def measure_followed(history: VersionHistory, now: float) -> float:
    """Return the seconds for which the entries were followed without a gap, 0 if not up to now."""
    return now - history.followed_since if is_current(history, now) else 0.0
