"""Counters and histograms of an instance; the metrics library is imported at the first question."""

import bisect
import collections

from attrs import define, field

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)
"""Upper bounds in seconds, around the targets of 0.2 to 4 s that routes have."""


@define
class Spread:
    """Count values by bucket."""

    counts: list[int] = field(factory=lambda: [0] * (len(SECONDS_BUCKETS) + 1))
    total: float = 0.0

    def observe(self, value: float) -> None:
        """Count a value."""
        self.counts[bisect.bisect_left(SECONDS_BUCKETS, value)] += 1
        self.total += value


@define
class Numbers:
    """Hold what the metrics address tells, by label."""

    requests: collections.Counter = field(factory=collections.Counter)
    attempts: collections.Counter = field(factory=collections.Counter)
    orders: collections.Counter = field(factory=collections.Counter)
    took: dict[str, Spread] = field(factory=dict)
    first: Spread = field(factory=Spread)

    def count_request(self, route: str, status: int, took_s: float) -> None:
        """Count a request that has ended; status 0 is a caller that went away."""
        self.requests[(route, status)] += 1
        self.took.setdefault(route, Spread()).observe(took_s)

    def count_attempt(self, service: str, end: str) -> None:
        """Count an attempt at a server."""
        self.attempts[(service, end)] += 1

    def count_first(self, after_s: float) -> None:
        """Count the time to the first bytes of an answer."""
        self.first.observe(after_s)

    def count_order(self, kind: str, end: str) -> None:
        """Count an order to an engine."""
        self.orders[(kind, end)] += 1

    def render(self, gauges: dict[str, float]) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        lines: list[str] = []
        _render_counter(lines, "requests", ("route", "status"), self.requests)
        _render_counter(lines, "attempts", ("service", "end"), self.attempts)
        _render_counter(lines, "orders", ("kind", "end"), self.orders)
        lines.append("# TYPE rhubarbshed_request_seconds histogram")
        for route, spread in self.took.items():
            _render_spread(lines, "request_seconds", f'route="{route}",', spread)
        lines.append("# TYPE rhubarbshed_first_bytes_seconds histogram")
        _render_spread(lines, "first_bytes_seconds", "", self.first)
        for name, value in gauges.items():
            lines += [f"# TYPE rhubarbshed_{name} gauge", f"rhubarbshed_{name} {value:g}"]
        return ("\n".join(lines) + "\n").encode()


def _render_counter(
    lines: list[str], name: str, labels: tuple[str, str], counts: collections.Counter
) -> None:
    lines.append(f"# TYPE rhubarbshed_{name}_total counter")
    for (first, second), count in counts.items():
        pairs = f'{labels[0]}="{first}",{labels[1]}="{second}"'
        lines.append(f"rhubarbshed_{name}_total{{{pairs}}} {count}")


def _render_spread(lines: list[str], name: str, labels: str, spread: Spread) -> None:
    count = 0
    for bound, more in zip((*SECONDS_BUCKETS, float("inf")), spread.counts, strict=True):
        count += more
        upper = "+Inf" if bound == float("inf") else f"{bound:g}"
        lines.append(f'rhubarbshed_{name}_bucket{{{labels}le="{upper}"}} {count}')
    inner = f"{{{labels.rstrip(',')}}}" if labels else ""
    lines.append(f"rhubarbshed_{name}_sum{inner} {spread.total:g}")
    lines.append(f"rhubarbshed_{name}_count{inner} {count}")
