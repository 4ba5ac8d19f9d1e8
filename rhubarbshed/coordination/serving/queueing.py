"""Requests whose servers are all full: how long they wait here for a place.

Answers a moment in which more requests come than servers have places, after a server was lost or
callers came at once. A place is free again within the time of a run, so a request waits for a part
of its target rather than going back to its caller, who would come again with all the others.
"""

from rhubarbshed.protocol.routes import Route

WAIT_FRACTION = 0.5
"""Part of a route's target that a request may wait for a place; the rest is for its answer."""

WAIT_MAX_S = 1.0
"""Longest wait, also on routes with long targets: a refusal that comes late helps nobody."""

POLL_INTERVAL_S = 0.03
"""Time between two looks for a place; runs of plain services last some tens of milliseconds."""


def decide_wait(route: Route, queued_s: float, left_s: float) -> float:
    """Return the seconds until the next look for a place, 0 to wait no longer.

    The request has waited for `queued_s`, and its caller leaves in `left_s`.
    """
    longest_s = min(WAIT_MAX_S, WAIT_FRACTION * route.target_s, WAIT_FRACTION * left_s)
    return POLL_INTERVAL_S if queued_s < longest_s else 0.0
