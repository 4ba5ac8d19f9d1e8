"""Counters and histograms of an instance.

They use prometheus_client: aioprometheus, which the project's own interface uses, takes half a
second and 20 MB to import, and a killed instance has to be back at once.
"""

from attrs import define
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)
"""Upper bounds in seconds, around the targets of 0.2 to 4 s that routes have."""


@define
class FrontMetrics:
    """Metrics of one instance; `gauges_by_name` are set each time the metrics are read."""

    registry: CollectorRegistry
    requests: Counter
    attempts: Counter
    continuations: Counter
    stream_parts: Counter
    forwards: Counter
    cut_requests: Counter
    closes: Counter
    cut_offs: Counter
    orders: Counter
    store_calls: Counter
    unreadable: Counter
    unsent: Counter
    request_seconds: Histogram
    first_bytes_seconds: Histogram
    loop_delay_seconds: Histogram
    lookup_seconds: Histogram
    load_wait_seconds: Histogram
    gauges_by_name: dict[str, Gauge]

    @classmethod
    def from_instance(cls) -> "FrontMetrics":
        """Create the metrics of an instance that has just started."""
        registry = CollectorRegistry()

        def make_counter(name: str, doc: str, *labels: str) -> Counter:
            return Counter(f"rhubarbshed_{name}", doc, labels, registry=registry)

        def make_histogram(name: str, doc: str, *labels: str) -> Histogram:
            return Histogram(
                f"rhubarbshed_{name}", doc, labels, registry=registry, buckets=SECONDS_BUCKETS
            )

        return cls(
            registry,
            make_counter(
                "requests_total", "Requests ended; status 0: the caller left.", "route", "status"
            ),
            make_counter(
                "attempts_total", "Attempts at backend servers, by end.", "service", "end"
            ),
            make_counter(
                "continuations_total", "Requests that take up a stream, by outcome.", "outcome"
            ),
            make_counter(
                "stream_parts_total",
                "Parts of one answer's stream after its first, by whether the version is the same.",
                "version",
            ),
            make_counter("forwards_total", "Requests offered to other instances, by end.", "end"),
            make_counter(
                "cut_requests_total",
                "Requests ended while no server could be reached, by status.",
                "status",
            ),
            make_counter(
                "connections_closed_total", "Callers' connections closed here, by reason.", "reason"
            ),
            make_counter(
                "cut_off_total",
                "Requests cut off by a stop, by whether they may be sent again.",
                "route",
                "repeat",
            ),
            make_counter("orders_total", "Orders to engines, by kind and end.", "kind", "end"),
            make_counter(
                "store_calls_total", "Calls to the store, by kind and table.", "kind", "table"
            ),
            make_counter(
                "unreadable_total", "What others wrote and cannot be decoded, by kind.", "kind"
            ),
            make_counter("messages_unsent_total", "Messages that no datagram can carry.", "kind"),
            make_histogram("request_seconds", "Time from arrival to the answer's end.", "route"),
            make_histogram("first_bytes_seconds", "Time from arrival to the answer's first bytes."),
            make_histogram("loop_delay_seconds", "Delay of a timer of the event loop."),
            make_histogram(
                "stream_lookup_seconds_by_outcome",
                "Time of a search for a stream's origin.",
                "outcome",
            ),
            make_histogram(
                "load_wait_seconds",
                "Time that requests waited for a load, by what became of them.",
                "outcome",
            ),
            {},
        )

    def count_request(self, route: str, status: int, took_s: float) -> None:
        """Count a request that has ended; status 0 is a caller that disconnected."""
        self.requests.labels(route, status).inc()
        self.request_seconds.labels(route).observe(took_s)

    def count_attempt(self, service: str, end: str) -> None:
        """Count an attempt at a server."""
        self.attempts.labels(service, end).inc()

    def count_continuation(self, outcome: str) -> None:
        """Count a request that takes up a stream which an earlier request began."""
        self.continuations.labels(outcome).inc()

    def count_stream_parts(self, same: int, other: int) -> None:
        """Count the servers that continued a stream within one answer, by version."""
        if same:
            self.stream_parts.labels("same").inc(same)
        if other:
            self.stream_parts.labels("other").inc(other)

    def count_forward(self, end: str) -> None:
        """Count a request that was offered to another instance."""
        self.forwards.labels(end).inc()

    def count_cut_request(self, status: int) -> None:
        """Count a request that ended while this instance reached no server."""
        self.cut_requests.labels(status).inc()

    def count_close(self, reason: str) -> None:
        """Count a caller's connection that this instance closed."""
        self.closes.labels(reason).inc()

    def count_cut_off(self, route: str, repeat: str) -> None:
        """Count a request that was still open at the end of a drain."""
        self.cut_offs.labels(route, repeat).inc()

    def observe_first_bytes(self, after_s: float) -> None:
        """Record the time to the first bytes of a response."""
        self.first_bytes_seconds.observe(after_s)

    def observe_loop_delay(self, delay_s: float) -> None:
        """Record by how much a timer of the event loop was late."""
        self.loop_delay_seconds.observe(delay_s)

    def observe_lookup(self, outcome: str, took_s: float) -> None:
        """Record the time that a search for a stream's origin took."""
        self.lookup_seconds.labels(outcome).observe(took_s)

    def observe_load_wait(self, outcome: str, waited_s: float) -> None:
        """Record the time that a request waited for a load."""
        self.load_wait_seconds.labels(outcome).observe(waited_s)

    def count_store_call(self, kind: str, table: str) -> None:
        """Count a call to the store."""
        self.store_calls.labels(kind, table).inc()

    def count_unreadable(self, kind: str) -> None:
        """Count what another writer left and cannot be decoded."""
        self.unreadable.labels(kind).inc()

    def count_unsent(self, kind: str) -> None:
        """Count a message that no datagram can carry."""
        self.unsent.labels(kind).inc()

    def count_order(self, kind: str, end: str) -> None:
        """Count an order to an engine."""
        self.orders.labels(kind, end).inc()

    def render(self, gauges: dict[str, float]) -> bytes:
        """Return all metrics in the text format of Prometheus, with the gauges as they are now."""
        for name, value in gauges.items():
            if name not in self.gauges_by_name:
                doc = name.replace("_", " ")
                self.gauges_by_name[name] = Gauge(
                    f"rhubarbshed_{name}", doc, registry=self.registry
                )
            self.gauges_by_name[name].set(value)
        return generate_latest(self.registry)
