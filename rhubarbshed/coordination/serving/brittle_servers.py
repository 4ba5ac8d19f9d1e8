"""Limits on requests to servers that fall over when they have to turn too many away.

Failure: a burst fills the servers of a service, which let fewer requests wait than before. All
instances together send more than any of them knows of, and what a server turns away too often in
one second ends it, and with it all that it ran.
"""

import math

from rhubarbshed.state.membership.fleet import ServerRecord

BRITTLE_FRACTION = 0.9
"""Part of a brittle server's slots that is used: its load is known late, and its queue is short."""

LOAD_WINDOW_S = 1.0
"""Time in which the load that a brittle server reported decays by a factor of e: longer than for
others, as a server that only seems to be free must not get the requests of all instances."""

PAUSE_MIN_S = 0.25
PAUSE_MAX_S = 3.0
"""Bounds of the pause of an instance after a brittle server turned a request of it away."""

PAUSE_MARGIN = 2.0
"""Factor of the pause: requests that are on their way together are turned away together."""


def apply_brittleness(record: ServerRecord, rejections_borne: float | None) -> None:
    """Record whether a server said that it is brittle; one that is no more says nothing."""
    record.rejections_borne = rejections_borne
    if rejections_borne is None:
        record.rejecting_until = -math.inf


def record_rejection(record: ServerRecord, instances: int, now: float) -> None:
    """Pause requests to a brittle server that turned one away.

    All instances together must not send it more than it bears.
    """
    if record.rejections_borne is None:
        return
    pause_s = PAUSE_MARGIN * instances / max(1.0, record.rejections_borne)
    record.rejecting_until = now + min(PAUSE_MAX_S, max(PAUSE_MIN_S, pause_s))


def has_room(record: ServerRecord, instances: int, now: float) -> bool:
    """Return whether a brittle server would take another request for sure.

    An instance uses its share of the slots at most, so that a burst here does not meet one there.
    """
    usable = BRITTLE_FRACTION * record.entry.slots
    share = max(1, math.ceil(usable / max(1, instances)))
    if now < record.rejecting_until or record.open >= share:
        return False
    age_s = max(0.0, now - record.sampled_at)
    load = record.open + record.others_load * math.exp(-age_s / LOAD_WINDOW_S)
    return load + 1.0 <= max(1.0, usable)
