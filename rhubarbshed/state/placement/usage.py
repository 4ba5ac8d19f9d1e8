"""Demand for models and adapters as received by the order holder."""

import math

from attrs import define, field

SLOW_WINDOW_S = 5.0
FAST_WINDOW_S = 1.5
"""Times in which the weight of a request falls by a factor of e. The larger of both rates counts:
the fast one follows rising demand, and the slow one keeps demand that pauses for a moment."""

FAST_REQUESTS_MIN = 3.0
"""Recent requests from which the fast rate counts, since fewer are too few for a rate."""

DEFAULT_RUN_S = 1.5
"""Assumed duration of a run in seconds while hardly any was seen; a stream of some hundred tokens
takes one or two."""

MEAN_RUNS_MIN = 2.0
"""Recent runs from which their mean duration counts."""

OBSERVED_MIN_S = 0.5
"""Least time over which requests are averaged, so that the first ones do not look like a flood."""

AWAITED_GAP_S = 0.5
"""Time without a report after which a target counts as newly awaited; waiting requests report it
every 0.1 s."""

Target = tuple[str, str, str]
"""Service, a model of it, and an adapter ("" for none)."""


@define
class Tally:
    """Counts of requests and their prompt tokens, and of answered runs and their seconds."""

    requests: float = 0
    tokens: float = 0
    runs: float = 0
    run_s: float = 0.0

    def add(self, other: "Tally") -> None:
        """Add another tally."""
        self.requests += other.requests
        self.tokens += other.tokens
        self.runs += other.runs
        self.run_s += other.run_s


@define
class DecayingSums:
    """Decaying sums of requests, their tokens, runs and their seconds, as of `at`."""

    slow: float = 0.0
    fast: float = 0.0
    tokens: float = 0.0
    runs: float = 0.0
    run_s: float = 0.0
    at: float = 0.0

    def add(self, tally: Tally, now: float) -> None:
        """Count requests and runs."""
        slow, fast = (
            _decay(now - self.at, window_s) for window_s in (SLOW_WINDOW_S, FAST_WINDOW_S)
        )
        self.slow = self.slow * slow + tally.requests
        self.fast = self.fast * fast + tally.requests
        self.tokens = self.tokens * slow + tally.tokens
        self.runs = self.runs * slow + tally.runs
        self.run_s = self.run_s * slow + tally.run_s
        self.at = now

    def measure_rate(self, since: float, now: float) -> float:
        """Return the requests per second, counted from `since` on."""
        slow = (
            self.slow
            * _decay(now - self.at, SLOW_WINDOW_S)
            / _measure_observed_s(SLOW_WINDOW_S, now - since)
        )
        weight = self.fast * _decay(now - self.at, FAST_WINDOW_S)
        if weight < FAST_REQUESTS_MIN:
            return slow
        return max(slow, weight / _measure_observed_s(FAST_WINDOW_S, now - since))


def _measure_observed_s(window_s: float, age_s: float) -> float:
    """Return the seconds that a window's sum covers while the window fills."""
    return max(OBSERVED_MIN_S, window_s * (1.0 - _decay(age_s, window_s)))


def _decay(age_s: float, window_s: float) -> float:
    return math.exp(-max(0.0, age_s) / window_s)


@define
class Usage:
    """Use of models and adapters, and the targets that callers wait for.

    `unserved_since` are the times since which models that no engine has are asked for, also while
    no caller waits.
    """

    models: dict[tuple[str, str], DecayingSums] = field(factory=dict)
    adapters: dict[Target, DecayingSums] = field(factory=dict)
    awaited: dict[Target, float] = field(factory=dict)
    awaited_since: dict[Target, float] = field(factory=dict)
    unserved_since: dict[tuple[str, str], float] = field(factory=dict)
    since: float = math.inf

    def count(self, target: Target, tally: Tally, now: float) -> None:
        """Count requests for a target."""
        service, model, adapter = target
        self.since = min(self.since, now)
        self.models.setdefault((service, model), DecayingSums()).add(tally, now)
        if adapter:
            self.adapters.setdefault(target, DecayingSums()).add(tally, now)

    def measure_run_s(self, service: str, model: str) -> float:
        """Return the mean seconds of a model's runs, or a default while too few were seen."""
        use = self.models.get((service, model))
        if use is None or use.runs < MEAN_RUNS_MIN:
            return DEFAULT_RUN_S
        return use.run_s / use.runs

    def record_awaited(self, target: Target, now: float) -> None:
        """Record that a caller waits for a target that no server holds."""
        if now - self.awaited.get(target, -math.inf) > AWAITED_GAP_S:
            self.awaited_since[target] = now
        self.awaited[target] = now
        self.unserved_since.setdefault(target[:2], now)

    def forget_awaited(self, target: Target) -> None:
        """Remove an awaited target that a server holds now."""
        self.awaited.pop(target, None)
        self.awaited_since.pop(target, None)

    def forget_unserved(self, service: str, model: str) -> None:
        """Record that an engine has a model, or that it is not asked for any more."""
        self.unserved_since.pop((service, model), None)

    def measure_unserved_s(self, service: str, model: str, now: float) -> float:
        """Return the seconds for which a model has been asked for while no engine had it."""
        return now - self.unserved_since.get((service, model), now)

    def measure_wait_s(self, target: Target, now: float) -> float:
        """Return the seconds for which callers have waited for a target without a gap."""
        return now - self.awaited_since.get(target, now)

    def measure_tokens(self, service: str, model: str) -> float:
        """Return the mean number of prompt tokens of a model's requests."""
        use = self.models.get((service, model))
        return use.tokens / use.slow if use is not None and use.slow > 0 else 0.0

    def measure_model(self, service: str, model: str, now: float) -> float:
        """Return the requests per second for a model and its adapters."""
        use = self.models.get((service, model))
        return use.measure_rate(self.since, now) if use is not None else 0.0

    def measure_adapter(self, target: Target, now: float) -> float:
        """Return the requests per second for an adapter."""
        use = self.adapters.get(target)
        return use.measure_rate(self.since, now) if use is not None else 0.0

    def list_awaited(self, since: float) -> list[Target]:
        """List the targets awaited since a time, the longest wait first."""
        found = [target for target, at in self.awaited.items() if at >= since]
        return sorted(found, key=lambda target: self.awaited_since.get(target, math.inf))
