"""Repeats of requests: whether another attempt is allowed, by kind of request and by budget.

Answers a failing service: without a common limit the repeats of all instances would multiply the
load on what is left of it.
"""

import collections

from attrs import define, field, frozen

from rhubarbshed.protocol.exchanges import ExchangeEnd
from rhubarbshed.protocol.routes import Route

BUDGET_SHARE = 0.8
"""Part of the common budget that is used; requests are counted in windows that differ a little
from instance to instance."""

REFUSED_ATTEMPTS_MAX = 3
"""Servers that may refuse one request before it is refused to its caller."""


@define
class RetryWindow:
    """Count a service's first attempts and repeats within a sliding window, by time."""

    requests: collections.deque[float] = field(factory=collections.deque)
    retries: collections.deque[float] = field(factory=collections.deque)

    def drop_older(self, until: float) -> None:
        """Drop what is older than the window."""
        for times in (self.requests, self.retries):
            while times and times[0] <= until:
                times.popleft()


@define
class ServiceRetryBudget:
    """Allow this instance its part of the repeats that all instances may make together.

    `instances` is how many share the fixed part of the budget.
    """

    ratio: float
    extra: float
    window_s: float
    instances: int = 1
    windows: dict[str, RetryWindow] = field(factory=dict)

    def count_request(self, service: str, now: float) -> None:
        """Count the first attempt of a request."""
        window = self.windows.setdefault(service, RetryWindow())
        window.requests.append(now)
        window.drop_older(now - self.window_s)

    def try_spend(self, service: str, now: float) -> bool:
        """Take one repeat from the budget; tell whether there was one."""
        window = self.windows.setdefault(service, RetryWindow())
        window.drop_older(now - self.window_s)
        if len(window.retries) + 1 > self.compute_limit(window):
            return False
        window.retries.append(now)
        return True

    def compute_limit(self, window: RetryWindow) -> float:
        """Return the repeats that this instance may make in one window."""
        share = self.extra / max(1, self.instances)
        return BUDGET_SHARE * (self.ratio * len(window.requests) + share)


@frozen
class Tries:
    """Count a request's attempts: those that may have run, and those that were refused."""

    run: int = 0
    refused: int = 0


def is_retry_allowed(route: Route, end: ExchangeEnd, tries: Tries) -> bool:
    """Tell whether the kind of a request allows another attempt after one that failed.

    An attempt that did not run does not count against the servers that may run a request.
    """
    if tries.run > 0 and not route.repeatable:
        return False
    if tries.run >= route.attempts_max:
        return False
    return end.may_have_run or tries.refused < REFUSED_ATTEMPTS_MAX
