"""Retries of requests: whether another attempt is allowed, by kind of request and by budget.

Without a common limit, the retries of all instances would multiply the load on what is left of a
failing service.
"""

import collections
import math

from attrs import define, field, frozen

from rhubarbshed.protocol.exchanges import ExchangeEnd
from rhubarbshed.protocol.routes import Route

BUDGET_SHARE = 0.8
"""Fraction of the common budget in use, since instances count requests in slightly different
windows."""

REFUSED_ATTEMPTS_MAX = 3
"""Servers that may refuse a request before its caller gets a refusal."""


@define
class RetryWindow:
    """Times of a service's first attempts and retries within a sliding window."""

    requests: collections.deque[float] = field(factory=collections.deque)
    retries: collections.deque[float] = field(factory=collections.deque)

    def drop_older(self, until: float) -> None:
        """Drop times that have left the window."""
        for times in (self.requests, self.retries):
            while times and times[0] <= until:
                times.popleft()


@define
class ServiceRetryBudget:
    """Share of one instance in the retries that all may make together, by service.

    `instances` share the fixed part of the budget, `extra`. So many were last counted at
    `counted_at`, or have been assumed since the start.
    """

    ratio: float
    extra: float
    window_s: float
    instances: int = 1
    counted_at: float = -math.inf
    windows: dict[str, RetryWindow] = field(factory=dict)

    def record_instances(self, count: int, now: float) -> None:
        """Record how many instances share the budget.

        A lower number counts once it has been lower for a whole window: an order holder that has
        just taken over does not know all instances yet, and what was spent still counts.
        """
        if count >= self.instances or now - self.counted_at >= self.window_s:
            self.instances, self.counted_at = count, now

    def count_request(self, service: str, now: float) -> None:
        """Count the first attempt of a request."""
        window = self.windows.setdefault(service, RetryWindow())
        window.requests.append(now)
        window.drop_older(now - self.window_s)

    def try_spend(self, service: str, now: float) -> bool:
        """Spend one retry of the budget; return whether there was one left."""
        window = self.windows.setdefault(service, RetryWindow())
        window.drop_older(now - self.window_s)
        if len(window.retries) + 1 > self.compute_limit(window):
            return False
        window.retries.append(now)
        return True

    def compute_limit(self, window: RetryWindow) -> float:
        """Return the retries that this instance may make in one window."""
        share = self.extra / max(1, self.instances)
        return BUDGET_SHARE * (self.ratio * len(window.requests) + share)


@frozen
class Tries:
    """Attempts of a request that may have run, and those that were refused."""

    run: int = 0
    refused: int = 0


def is_retry_allowed(route: Route, end: ExchangeEnd, tries: Tries) -> bool:
    """Return whether the kind of a request allows another attempt after a failed one.

    An attempt that did not run does not count towards the attempts that may run a request.
    """
    if tries.run > 0 and not route.repeatable:
        return False
    if tries.run >= route.attempts_max:
        return False
    return end.may_have_run or tries.refused < REFUSED_ATTEMPTS_MAX
