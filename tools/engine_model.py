"""Model of engines in memory: what they hold, their disks, orders, and the runs of requests."""

import collections
import heapq
import math

from attrs import Factory, define, frozen

from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.routes import EngineSpec, ModelSpec
from rhubarbshed.protocol.servers import ServerEntry, ServerReport, ServerState

UNLOAD_S = 0.25
"""Time that an unload takes for a model without runs."""

REPORT_LAG_S = 0.2
"""Age of what an engine reports."""

PREFILL_TOKENS_PER_S = 38_400
PREFILL_SHARE_MAX = 0.8
ARRIVALS_WINDOW_S = 1.0
"""Prompt tokens that an engine reads in a second, while its streams wait, and the time over which
the share of its time that this takes is averaged."""


@define
class Run:
    """Run of a request, of which `left_s` are to be done by an engine that does nothing else."""

    model: str
    left_s: float
    tokens: int
    started: bool = False


@frozen
class Snapshot:
    """What an engine held, and whether it carried out an order, from a time on."""

    at: float
    models: frozenset[str]
    busy: bool


@define(eq=False)
class ModelledEngine:
    """Engine; `order` is what it carries out, due at `order_due` once its runs allow.

    `cached` are the models on its disk and `warm` those in its memory, the least recently used
    first.
    """

    name: str
    data_centre: str
    spec: EngineSpec
    disk_mb: float
    host_mb: float
    models: set[str] = Factory(set)
    cached: collections.OrderedDict[str, None] = Factory(collections.OrderedDict)
    warm: collections.OrderedDict[str, None] = Factory(collections.OrderedDict)
    order: tuple[OrderKind, str] | None = None
    order_due: float = 0.0
    orders: int = 0
    started_ms: int = 1
    running: list[Run] = Factory(list)
    queued: collections.deque[Run] = Factory(collections.deque)
    arrivals: collections.deque[tuple[float, int]] = Factory(collections.deque)
    snapshots: list[Snapshot] = Factory(list)
    down_until: float = -math.inf
    busy_s: float = 0.0

    def is_up(self, now: float) -> bool:
        """Return whether the engine serves."""
        return now >= self.down_until

    def holds(self, model: str) -> bool:
        """Return whether new requests for a model are accepted."""
        return model in self.models and self.order != (OrderKind.UNLOAD, model)

    def measure_load_s(self, spec: ModelSpec) -> float:
        """Return the seconds that a load takes."""
        if spec.name in self.warm:
            return spec.warm_load_s
        return spec.disk_load_s if spec.name in self.cached else spec.load_s

    def start_order(self, kind: OrderKind, model: str, slowdown: float, now: float) -> None:
        """Accept an order; a load from the weight store takes `slowdown` times as long."""
        spec = self.spec.models[model]
        takes_s = UNLOAD_S
        if kind is OrderKind.LOAD:
            takes_s = self.measure_load_s(spec)
            takes_s *= 1.0 if model in self.cached or model in self.warm else slowdown
        self.order, self.order_due = (kind, model), now + takes_s
        self.orders += 1
        self.take_snapshot(now)

    def finish_order(self, now: float) -> bool:
        """Finish the order if it is due, an unload once its runs have ended; return whether."""
        if self.order is None or now < self.order_due:
            return False
        kind, model = self.order
        if kind is OrderKind.UNLOAD:
            if any(run.model == model for run in (*self.running, *self.queued)):
                return False
            self.models.discard(model)
        else:
            self.models.add(model)
            assert self.measure_used_mb() <= self.spec.weights_mb, "memory overcommitted"
            self._cache(self.cached, model, self.disk_mb)
            self._cache(self.warm, model, self.host_mb)
        self.order = None
        self.take_snapshot(now)
        return True

    def _cache(self, kept: collections.OrderedDict[str, None], model: str, room_mb: float) -> None:
        kept[model] = None
        kept.move_to_end(model)
        while sum(self.spec.models[name].size_mb for name in kept) > room_mb:
            kept.popitem(last=False)

    def measure_used_mb(self) -> float:
        """Return the megabytes taken by weights."""
        return sum(self.spec.models[name].size_mb for name in self.models)

    def take_snapshot(self, now: float) -> None:
        """Record a change for later reports."""
        self.snapshots.append(Snapshot(now, frozenset(self.models), self.order is not None))
        del self.snapshots[:-8]

    def report(self, now: float) -> ServerReport:
        """Return the engine's report, which lags."""
        seen = [each for each in self.snapshots if each.at <= now - REPORT_LAG_S]
        snapshot = seen[-1] if seen else self.snapshots[0]
        held = {model: frozenset() for model in snapshot.models}
        return ServerReport(held, snapshot.busy, self.orders, 0, 0, 0, 0, self.started_ms)

    def describe(self) -> ServerEntry:
        """Return the engine's entry in the store."""
        return ServerEntry(
            f"{self.name}.{self.started_ms}",
            "svc",
            self.name,
            1,
            self.data_centre,
            ServerState.READY,
            self.spec.slots,
            "v1",
            {model: frozenset() for model in self.models},
            started_ms=self.started_ms,
            in_memory=frozenset(self.warm),
            on_disk=frozenset(self.cached),
        )

    def crash(self, until: float, now: float) -> list[Run]:
        """Lose everything but the disk; return the runs that were lost."""
        lost = [*self.running, *self.queued]
        self.running.clear()
        self.queued.clear()
        self.models.clear()
        self.warm.clear()
        self.order, self.orders, self.down_until = None, 0, until
        self.started_ms += 1
        self.snapshots.clear()
        self.take_snapshot(now)
        return lost

    def accept(self, run: Run, now: float) -> None:
        """Take a request to run."""
        self.queued.append(run)
        self.arrivals.append((now, run.tokens))

    def progress(self, step_s: float, now: float) -> list[Run]:
        """Advance all runs by a step; return those that ended."""
        while self.arrivals and self.arrivals[0][0] < now - ARRIVALS_WINDOW_S:
            self.arrivals.popleft()
        while self.queued and len(self.running) < self.spec.slots:
            run = self.queued.popleft()
            run.started = True
            self.running.append(run)
        tokens = sum(count for _, count in self.arrivals)
        reading = min(PREFILL_SHARE_MAX, tokens / ARRIVALS_WINDOW_S / PREFILL_TOKENS_PER_S)
        for run in self.running:
            run.left_s -= step_s * (1.0 - reading)
        ended = [run for run in self.running if run.left_s <= 0.0]
        self.running = [run for run in self.running if run.left_s > 0.0]
        self.busy_s += step_s if self.order is not None else 0.0
        return ended

    def count_runs(self) -> int:
        """Count the requests on the engine."""
        return len(self.running) + len(self.queued)


@define
class WeightStore:
    """Weight store: loads in progress from it, which slow each other down beyond a number."""

    at_once: int
    due: list[float] = Factory(list)
    started: list[float] = Factory(list)

    def start(self, takes_s: float, now: float) -> float:
        """Begin a load; return by how much longer it takes."""
        while self.due and self.due[0] <= now:
            heapq.heappop(self.due)
        slowdown = max(1.0, (len(self.due) + 1) / self.at_once)
        heapq.heappush(self.due, now + takes_s * slowdown)
        self.started.append(now)
        return slowdown
