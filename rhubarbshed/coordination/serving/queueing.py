"""Wait of requests whose servers are all full.

After the loss of a server or a burst there are more requests than servers have slots for. A slot is
free again within the time of a run, so a request waits for a fraction of its target instead of
being refused and retried along with all the others.
"""

from rhubarbshed.protocol.routes import Route

WAIT_FRACTION = 0.5
"""Fraction of a route's target that a request may wait for a slot; the rest is for its answer."""

WAIT_MAX_S = 1.0
"""Longest wait, also on routes with long targets, since a late refusal is of no use."""

POLL_INTERVAL_S = 0.03
"""Time between two checks for a free slot; runs of plain services last some tens of
milliseconds."""


def decide_wait(route: Route, queued_s: float, left_s: float) -> float:
    """Return the seconds until the next check for a free slot, or 0 to stop waiting.

    The request has waited for `queued_s`, and its caller disconnects in `left_s`.
    """
    return POLL_INTERVAL_S if measure_wait(route, queued_s, left_s) > 0.0 else 0.0


def measure_wait(route: Route, queued_s: float, left_s: float) -> float:
    """Return the seconds for which a request may still wait for a slot."""
    longest_s = min(WAIT_MAX_S, WAIT_FRACTION * route.target_s, WAIT_FRACTION * left_s)
    return max(0.0, longest_s - queued_s)
