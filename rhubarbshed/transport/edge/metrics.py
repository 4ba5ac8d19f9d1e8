"""Counters and histograms of an instance.

They are plain numbers until somebody reads them: a killed instance has to be back at once, and the
libraries that write metrics take a tenth of a start to import.
"""

import bisect
import collections
from collections.abc import Iterator
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from prometheus_client.core import Metric

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)
"""Upper bounds in seconds, around the targets of 0.2 to 4 s that routes have."""

SLOWNESS_BUCKETS = (0.5, 0.7, 0.9, 1.1, 1.4, 1.8, 2.5, 4.0)
"""Upper bounds around the usual slowness of 1."""

PREFIX = "rhubarbshed_"
"""Beginning of the names of all metrics."""


@frozen
class Family:
    """Description of a counter or histogram, the names of its labels, and its buckets' bounds."""

    doc: str
    labels: tuple[str, ...] = ()
    bounds: tuple[float, ...] = SECONDS_BUCKETS


COUNTERS = {
    "requests": Family("Requests ended; status 0: the caller left.", ("route", "status")),
    "attempts": Family("Attempts at backend servers, by end.", ("service", "end")),
    "continuations": Family("Requests that take up a stream, by outcome.", ("outcome",)),
    "stream_parts": Family(
        "Parts of one answer's stream after its first, by whether the version is the same.",
        ("version",),
    ),
    "forwards": Family("Requests offered to other instances, by end.", ("end",)),
    "cut_requests": Family(
        "Requests ended while no server could be reached, by status.", ("status",)
    ),
    "connections_closed": Family("Callers' connections closed here, by reason.", ("reason",)),
    "cut_off": Family(
        "Requests cut off by a stop, by whether they may be sent again.", ("route", "repeat")
    ),
    "orders": Family("Orders to engines, by kind and end.", ("kind", "end")),
    "store_calls": Family("Calls to the store, by kind and table.", ("kind", "table")),
    "unreadable": Family("What others wrote and cannot be decoded, by kind.", ("kind",)),
    "access_refused": Family(
        "Requests that their key did not allow, by its account, if known, and reason.",
        ("account", "reason"),
    ),
    "account_problems": Family(
        "Accounts that a configuration has and that cannot be read, by reason.",
        ("account", "reason"),
    ),
    "account_credit": Family(
        "Requests of accounts with a limit, by what decided on their credit.",
        ("account", "source", "taken"),
    ),
    "turns": Family("Waits for a slot that ended, by outcome.", ("route", "outcome")),
    "messages_unsent": Family("Messages that no datagram can carry.", ("kind",)),
}
HISTOGRAMS = {
    "request_seconds": Family("Time from arrival to the answer's end.", ("route",)),
    "first_bytes_seconds": Family("Time from arrival to the answer's first bytes."),
    "loop_delay_seconds": Family("Delay of a timer of the event loop."),
    "stream_lookup_seconds_by_outcome": Family(
        "Time of a search for a stream's origin.", ("outcome",)
    ),
    "credit_wait_seconds": Family("Time that requests waited for credit of their account."),
    "load_wait_seconds": Family(
        "Time that requests waited for a load, by what became of them.", ("outcome",)
    ),
    "load_age_seconds": Family("Age of the load of a server as it was chosen."),
    "turn_wait_seconds": Family("Time that requests waited for a slot, by outcome.", ("outcome",)),
    "chosen_slowness": Family(
        "Lasting slowness of chosen servers that state it, 1 as usual.", (), SLOWNESS_BUCKETS
    ),
}


@define(eq=False)
class Observations:
    """Observed times: their number in each bucket, one beyond the last, and their sum."""

    bounds: tuple[float, ...] = SECONDS_BUCKETS
    counts: list[int] = field(init=False)
    sum_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Create the empty buckets."""
        self.counts = [0] * (len(self.bounds) + 1)

    def add(self, value_s: float) -> None:
        """Add a time in seconds; one that equals a bound lies below it."""
        self.counts[bisect.bisect_left(self.bounds, value_s)] += 1
        self.sum_s += value_s

    def accumulate(self) -> list[tuple[str, int]]:
        """Return each bucket's bound with the number of times up to it."""
        bounds = (*map(str, self.bounds), "+Inf")
        found, total = [], 0
        for bound, count in zip(bounds, self.counts, strict=True):
            total += count
            found.append((bound, total))
        return found


@define(eq=False)
class FrontMetrics:
    """Metrics of one instance by name and the values of their labels."""

    counts: collections.Counter[tuple[str, ...]] = field(factory=collections.Counter)
    observations: dict[tuple[str, ...], Observations] = field(factory=dict)
    gauges: dict[str, float] = field(factory=dict)
    _taken: dict[tuple[str, ...], int] = field(factory=dict)

    def take_new_counts(self, name: str) -> dict[tuple[str, ...], int]:
        """Return what a counter has counted since the last call, by the values of its labels."""
        new = {
            key[1:]: count - self._taken.get(key, 0)
            for key, count in self.counts.items()
            if key[0] == name and count > self._taken.get(key, 0)
        }
        for labels, count in new.items():
            self._taken[name, *labels] = self._taken.get((name, *labels), 0) + count
        return new

    def count(self, name: str, *labels: object, by: int = 1) -> None:
        """Count what happened, `by` times."""
        self.counts[name, *map(str, labels)] += by

    def observe(self, name: str, value_s: float, *labels: str) -> None:
        """Record a time."""
        key = (name, *labels)
        found = self.observations.get(key)
        if found is None:
            found = self.observations[key] = Observations(HISTOGRAMS[name].bounds)
        found.add(value_s)

    def count_request(self, route: str, status: int, took_s: float) -> None:
        """Count a request that has ended; status 0 is a caller that disconnected."""
        self.count("requests", route, status)
        self.observe("request_seconds", took_s, route)

    def count_attempt(self, service: str, end: str) -> None:
        """Count an attempt at a server."""
        self.count("attempts", service, end)

    def count_continuation(self, outcome: str) -> None:
        """Count a request that takes up a stream which an earlier request began."""
        self.count("continuations", outcome)

    def count_stream_parts(self, same: int, other: int) -> None:
        """Count the servers that continued a stream within one answer, by version."""
        if same:
            self.count("stream_parts", "same", by=same)
        if other:
            self.count("stream_parts", "other", by=other)

    def count_forward(self, end: str) -> None:
        """Count a request that was offered to another instance."""
        self.count("forwards", end)

    def count_cut_request(self, status: int) -> None:
        """Count a request that ended while this instance reached no server."""
        self.count("cut_requests", status)

    def count_close(self, reason: str) -> None:
        """Count a caller's connection that this instance closed."""
        self.count("connections_closed", reason)

    def count_cut_off(self, route: str, repeat: str) -> None:
        """Count a request that was still open at the end of a drain."""
        self.count("cut_off", route, repeat)

    def observe_first_bytes(self, after_s: float) -> None:
        """Record the time to the first bytes of a response."""
        self.observe("first_bytes_seconds", after_s)

    def observe_loop_delay(self, delay_s: float) -> None:
        """Record by how much a timer of the event loop was late."""
        self.observe("loop_delay_seconds", delay_s)

    def observe_lookup(self, outcome: str, took_s: float) -> None:
        """Record the time that a search for a stream's origin took."""
        self.observe("stream_lookup_seconds_by_outcome", took_s, outcome)

    def observe_load_wait(self, outcome: str, waited_s: float) -> None:
        """Record the time that a request waited for a load."""
        self.observe("load_wait_seconds", waited_s, outcome)

    def observe_load_age(self, age_s: float) -> None:
        """Record the age of the load of a server as it was chosen."""
        self.observe("load_age_seconds", age_s)

    def observe_slowness(self, slowness: float) -> None:
        """Record the lasting slowness of a chosen server."""
        self.observe("chosen_slowness", slowness)

    def count_turn(self, route: str, outcome: str, waited_s: float) -> None:
        """Count a wait for a slot that has ended."""
        self.count("turns", route, outcome)
        self.observe("turn_wait_seconds", waited_s, outcome)

    def count_store_call(self, kind: str, table: str) -> None:
        """Count a call to the store."""
        self.count("store_calls", kind, table)

    def count_unreadable(self, kind: str) -> None:
        """Count what another writer left and cannot be decoded."""
        self.count("unreadable", kind)

    def count_access_refused(self, account: str, reason: str) -> None:
        """Count a request that its key did not allow."""
        self.count("access_refused", account, reason)

    def count_account_problem(self, account: str, reason: str) -> None:
        """Count what cannot be read of an account in a new configuration."""
        self.count("account_problems", account, reason)

    def count_credit(self, account: str, source: str, is_taken: bool) -> None:
        """Count a request of an account with a limit, and what decided on its credit."""
        self.count("account_credit", account, source, "yes" if is_taken else "no")

    def observe_credit_wait(self, waited_s: float) -> None:
        """Record the time that a request waited for credit of its account."""
        self.observe("credit_wait_seconds", waited_s)

    def count_unsent(self, kind: str) -> None:
        """Count a message that no datagram can carry."""
        self.count("messages_unsent", kind)

    def count_order(self, kind: str, end: str) -> None:
        """Count an order to an engine."""
        self.count("orders", kind, end)

    def render(self, gauges: dict[str, float]) -> bytes:
        """Return all metrics in the text format of Prometheus, with the gauges as they are now."""
        from prometheus_client import CollectorRegistry, generate_latest

        self.gauges.update(gauges)
        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator["Metric"]:
        """Return the families of metrics, as a collector of prometheus_client does."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for name, family in COUNTERS.items():
            counter = CounterMetricFamily(PREFIX + name, family.doc, labels=family.labels)
            for (key, *labels), count in self.counts.items():
                if key == name:
                    counter.add_metric(labels, count)
            yield counter
        for name, family in HISTOGRAMS.items():
            histogram = HistogramMetricFamily(PREFIX + name, family.doc, labels=family.labels)
            found = {key: each for key, each in self.observations.items() if key[0] == name}
            if not family.labels:
                found.setdefault((name,), Observations(family.bounds))
            for (_, *labels), each in found.items():
                histogram.add_metric(labels, each.accumulate(), each.sum_s)
            yield histogram
        for name, value in self.gauges.items():
            yield GaugeMetricFamily(PREFIX + name, name.replace("_", " "), value=value)
