"""Admission control: admits requests, or refuses them at once with a time to retry."""

import random
from collections import Counter

from attrs import define, field

from rhubarbshed.protocol.errors import Outcome, RequestError
from rhubarbshed.protocol.requests import Priority, Request
from rhubarbshed.util.settings import AdmissionSettings

OPEN_REQUESTS_SHARE = {Priority.INTERACTIVE: 1.0, Priority.STANDARD: 0.9, Priority.BATCH: 0.5}
TARGET_FACTOR = {Priority.INTERACTIVE: 0.7, Priority.STANDARD: 0.7, Priority.BATCH: 0.5}
IDLE_TIME_FACTOR = 1.5
JITTER_SHARE = 0.5
# Share of a target's capacity that retries of refused callers may use.
RETRY_SHARE = 0.25
NOT_FOUND = 404
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503


@define
class Admission:
    """Admission control of one instance, by its open requests of each target and caller."""

    settings: AdmissionSettings
    rng: random.Random
    targets: Counter[str] = field(factory=Counter)
    callers: Counter[str] = field(factory=Counter)
    next_retry_at: dict[str, float] = field(factory=dict)

    @classmethod
    def from_settings(cls, settings: AdmissionSettings, seed: int) -> "Admission":
        """Create admission control without open requests."""
        return cls(settings, random.Random(seed))

    def count_opened(self, request: Request) -> None:
        """Count an admitted request."""
        self.targets[request.target] += 1
        self.callers[request.caller] += 1

    def count_closed(self, request: Request) -> None:
        """Stop counting a request that has ended."""
        for counter, key in ((self.targets, request.target), (self.callers, request.caller)):
            counter[key] -= 1
            if counter[key] <= 0:
                del counter[key]

    def compute_retry_after(self, wait_s: float) -> float:
        """Return a Retry-After in seconds: the expected wait with jitter, within the limits set."""
        jitter = 1.0 + JITTER_SHARE * self.rng.random()
        least = self.settings.retry_after_min_s
        return min(self.settings.retry_after_max_s, max(least, wait_s) * jitter)

    def reserve_retry(self, target: str, served_per_s: float, now: float) -> float:
        """Return the seconds until a refused caller should retry, each caller at its own time.

        If all retried at once, they would displace requests that can still meet their target.
        """
        spacing_s = 1.0 / max(1e-3, served_per_s * RETRY_SHARE)
        last = max(now, self.next_retry_at.get(target, now))
        retry_at = min(last + spacing_s, now + self.settings.retry_after_max_s)
        self.next_retry_at[target] = retry_at
        return retry_at - now

    def refuse(self, status: int, code: str, message: str, wait_s: float) -> RequestError:
        """Return the error of a request that was not run; it may be retried in about `wait_s`."""
        return RequestError(
            status=status,
            code=code,
            message=message,
            outcome=Outcome.NOT_RUN,
            retryable=True,
            retry_after_s=self.compute_retry_after(wait_s),
        )

    def check_bounds(self, request: Request, drain_s: float) -> RequestError | None:
        """Return an error if the caller or the target has too many requests open, else None."""
        if self.callers[request.caller] >= self.settings.caller_requests_max:
            message = "this caller has too many requests open"
            return self.refuse(TOO_MANY_REQUESTS, "caller_busy", message, drain_s)
        bound = self.settings.model_requests_max * OPEN_REQUESTS_SHARE[request.priority]
        if self.targets[request.target] >= bound:
            message = "too many requests are open for this target and priority"
            return self.refuse(UNAVAILABLE, "target_busy", message, drain_s)
        return None

    def check_time(
        self, request: Request, predicted_s: float, idle_s: float, target_s: float, now: float
    ) -> RequestError | None:
        """Return an error if the first token would come too late, else None.

        `idle_s` is the part of `predicted_s` that an idle server would need too; a long prompt
        that exceeds the target by itself is still served.
        """
        left_s = request.deadline - now
        if predicted_s >= left_s:
            message = "the deadline cannot be met"
            wait_s = predicted_s - max(0.0, left_s)
            return self.refuse(UNAVAILABLE, "deadline_unreachable", message, wait_s)
        allowed_s = max(target_s * TARGET_FACTOR[request.priority], idle_s * IDLE_TIME_FACTOR)
        if predicted_s > allowed_s:
            message = "the wait would be far longer than this priority accepts"
            return self.refuse(UNAVAILABLE, "overloaded", message, predicted_s - allowed_s)
        return None


def describe_unknown_target(request: Request) -> RequestError:
    """Return the error of a request for a target that no operator has created."""
    return RequestError(
        status=NOT_FOUND,
        code="unknown_target",
        message=f"there is no model, adapter or service named {request.target!r}",
        outcome=Outcome.NOT_RUN,
        field="model" if not request.service else "service",
    )
