"""Final refusals, and the age of the configuration that they are decided by.

Failure: an instance whose configuration is out of date, as the store is away or slow for it,
refuses a request for good that a later configuration allows. A refused caller does not come back.

A configuration has to be in force some time after the store has it. One that was confirmed within
that time decides on its own. An older one is confirmed first, which takes an instance that reaches
the store a few milliseconds, once in that time at most. If that fails, the caller is asked to come
back: a caller who is wrong asks in vain once more, while one who is right is served.

    configuration      no route, no or unknown key,    known key            route without keys
                       longer than allowed
    recent             404, 401, 431 or 413            served               served
    older              confirmed, then as recent       served               served
    not confirmable    503 with Retry-After            served; with strict  served
                                                       revocation 503 from
                                                       its bound on

While the store is known to be lost, nobody waits for a confirmation.
"""

CONFIRMATION_WAIT_MAX_S = 0.8
"""Longest time for which a request waits for the configuration to be confirmed: the store is taken
to be lost when it does not respond for as long."""

WAIT_FRACTION = 0.25
"""Fraction of the time that a caller has left that the wait may take; the rest is for its answer,
or for another instance."""


def may_refuse_finally(age_s: float, apply_s: float) -> bool:
    """Return whether a configuration confirmed `age_s` ago may refuse a request for good.

    A later one has to be in force within `apply_s`. A request was sent before it is decided on, so
    the configuration was confirmed less than that before the request was sent.
    """
    return age_s <= apply_s


def measure_confirmation_wait(left_s: float, is_lost: bool) -> float:
    """Return the seconds for which a request may wait for a confirmation, or 0.

    Its caller leaves in `left_s`; `is_lost` is whether the store is known not to respond.
    """
    return 0.0 if is_lost else max(0.0, min(CONFIRMATION_WAIT_MAX_S, WAIT_FRACTION * left_s))
