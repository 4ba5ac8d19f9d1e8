"""Metrics of an instance in aioprometheus, rendered for operators."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.formats.text import TextFormatter
from attrs import define, field

FIRST_TOKEN_BUCKETS_S = [0.05, 0.1, 0.2, 0.45, 0.9, 1.8, 3.6, 10.0, 30.0]
LAG_BUCKETS_S = [0.001, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0]


@define
class Metrics:
    """All metrics of an instance; they change on the loop only."""

    registry: Registry
    requests: Counter
    attempts: Counter
    first_token: Histogram
    open_requests: Gauge
    tokens: Counter
    loop_lag: Histogram
    ticket: Gauge
    owned: Gauge
    moves: Counter
    platform_errors: Counter
    _formatter: TextFormatter = field(factory=TextFormatter)

    @classmethod
    def from_instance(cls, instance: str) -> "Metrics":
        """Build the metrics of an instance, with its name as a label on each."""
        registry = Registry()
        labels = {"instance": instance}

        def make_counter(name: str, doc: str) -> Counter:
            return Counter(f"rhubarbshed_{name}", doc, const_labels=labels, registry=registry)

        def make_gauge(name: str, doc: str) -> Gauge:
            return Gauge(f"rhubarbshed_{name}", doc, const_labels=labels, registry=registry)

        def make_histogram(name: str, doc: str, buckets: list[float]) -> Histogram:
            return Histogram(
                f"rhubarbshed_{name}", doc, const_labels=labels, registry=registry, buckets=buckets
            )

        return cls(
            registry=registry,
            requests=make_counter("requests_total", "Requests answered, by kind and outcome."),
            attempts=make_counter("attempts_total", "Attempts at backend servers, by end."),
            first_token=make_histogram(
                "first_token_seconds", "Time from arrival to first token.", FIRST_TOKEN_BUCKETS_S
            ),
            open_requests=make_gauge("open_requests", "Requests in progress."),
            tokens=make_counter("tokens_total", "Tokens passed to callers."),
            loop_lag=make_histogram(
                "loop_lag_seconds", "Lateness of the loop's timers.", LAG_BUCKETS_S
            ),
            ticket=make_gauge("ticket_number", "Highest ticket in force here."),
            owned=make_gauge("owned_backend_servers", "Backend servers owned by this instance."),
            moves=make_counter("moves_total", "Loads, unloads and role changes ordered, by kind."),
            platform_errors=make_counter("platform_errors_total", "Failed calls to the platform."),
        )

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return self._formatter.marshall(self.registry)
