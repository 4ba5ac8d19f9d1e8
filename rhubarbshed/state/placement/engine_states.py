"""State of each engine as known to the order holder: what it holds, and what is in progress."""

import math

from attrs import define, field

from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.routes import EngineSpec
from rhubarbshed.protocol.servers import ServerOrder, ServerReport

UNCONFIRMED_S = 13.0
"""Time for which an unanswered order may still be carried out: up to 12 s by the platform's list of
faults."""


RECENT_LOAD_S = 0.5
"""Time after the load of an adapter within which a report that it is missing may be older."""

MISSING_KEPT_S = 1.0
"""Time after such a report in which the engine's own holder may not know of it yet."""


@define
class UnconfirmedOrder:
    """Unanswered order, which can take effect while the engine's order count is `expected`."""

    order: ServerOrder
    until: float


@define
class EngineState:
    """State of one incarnation of an engine; slots and sizes include what may still be loaded.

    `is_local` is set if this instance gives the engine's orders; other engines are reported by
    their holder, last at `reported_at`, and take no order before `closed_until`. `orders` is the
    number of orders that the engine has accepted, None until a report was read. `busy` is set while
    an order is in progress, also one of a former holder. `pending` are adapters being loaded, with
    the time at which they should be loaded. `reserved_model` is a model for which room is being
    made. `missing_adapters` turned out to be missing from the engine, with the time of the report;
    they keep their slots.
    """

    server_id: str
    started_ms: int
    is_local: bool = True
    reported_at: float = 0.0
    closed_until: float = -math.inf
    orders: int | None = None
    ordered_at: float = 0.0
    models: set[str] = field(factory=set)
    adapters: dict[tuple[str, str], float] = field(factory=dict)
    pending: dict[tuple[str, str], float] = field(factory=dict)
    loading: str = ""
    unloading: str = ""
    busy: bool = False
    busy_until: float = 0.0
    unconfirmed: list[UnconfirmedOrder] = field(factory=list)
    read_at: float = 0.0
    needs_reread: bool = False
    missing_adapters: dict[tuple[str, str], float] = field(factory=dict)
    reserved_model: str = ""
    reserved_until: float = 0.0

    def apply_report(self, report: ServerReport, now: float) -> None:
        """Apply an engine's own report, which may be some hundred milliseconds old."""
        self.orders = report.orders
        self.read_at = now
        self.needs_reread = False
        self.models = set(report.models)
        held = {(model, adapter) for model, names in report.models.items() for adapter in names}
        self.adapters = {key: self.adapters.get(key, -math.inf) for key in held}
        for key in held & self.missing_adapters.keys():
            del self.missing_adapters[key]
        self.pending = {key: now for key in report.pending if key not in held}
        self.busy = report.busy
        if not report.busy:
            self.loading = self.unloading = ""
        self.unconfirmed = [
            unconfirmed_order
            for unconfirmed_order in self.unconfirmed
            if unconfirmed_order.order.expected == report.orders and now < unconfirmed_order.until
        ]

    @property
    def is_busy(self) -> bool:
        """Return whether a model order is in progress, so that another one would be refused."""
        return self.busy or bool(self.loading or self.unloading)

    @property
    def is_known(self) -> bool:
        """Return whether it is known what the engine holds."""
        return self.orders is not None or not self.is_local

    def apply_holder_report(
        self, held: dict[str, tuple[str, ...]], change: tuple[str, float, str], now: float
    ) -> bool:
        """Apply a report of another data centre's holder on an engine there.

        Return whether it changes anything.
        """
        before = self._summarize()
        self.reported_at = now
        self.models = set(held)
        self.adapters = {
            (model, adapter): self.adapters.get((model, adapter), now)
            for model, names in held.items()
            for adapter in names
        }
        self.missing_adapters = {
            key: at
            for key, at in self.missing_adapters.items()
            if key in self.adapters and now - at < MISSING_KEPT_S
        }
        self.loading, left_s, self.unloading = change
        self.busy_until = now + left_s
        return before != self._summarize()

    def apply_holder_plans(self, closed: bool, reserved_model: str, until: float) -> None:
        """Apply another holder's plans for its engine, which it announces again before `until`."""
        self.closed_until = until if closed else -math.inf
        self.reserved_model = reserved_model
        self.reserved_until = until if reserved_model else -math.inf

    def _summarize(self) -> tuple[object, ...]:
        held = self.adapters.keys() - self.missing_adapters.keys()
        return self.models, held, self.loading, self.unloading

    def list_unconfirmed_loads(self) -> set[tuple[str, str]]:
        """List the (model, adapter) pairs that unconfirmed orders may still load."""
        return {
            (unconfirmed_order.order.model, unconfirmed_order.order.adapter)
            for unconfirmed_order in self.unconfirmed
            if unconfirmed_order.order.kind is OrderKind.LOAD
        }

    def count_adapter_slots(self) -> int:
        """Count the adapter slots that are or may become taken."""
        unconfirmed = {key for key in self.list_unconfirmed_loads() if key[1]}
        return len(set(self.adapters) | set(self.pending) | unconfirmed)

    def measure_weights_mb(self, engine: EngineSpec) -> float:
        """Return the megabytes that are or may become taken."""
        unconfirmed = {model for model, adapter in self.list_unconfirmed_loads() if not adapter}
        models = self.models | unconfirmed | ({self.loading} if self.loading else set())
        total = sum(engine.models[name].size_mb for name in models if name in engine.models)
        unconfirmed_adapters = {key for key in self.list_unconfirmed_loads() if key[1]}
        for model, _ in set(self.adapters) | set(self.pending) | unconfirmed_adapters:
            if model in engine.models:
                total += engine.models[model].adapter_mb
        return total

    def record_missing_adapter(self, key: tuple[str, str], now: float) -> None:
        """Mark an adapter as missing, unless it was loaded a moment ago."""
        if now - self.adapters.get(key, now) > RECENT_LOAD_S:
            self.missing_adapters[key] = now

    def has_adapter(self, key: tuple[str, str]) -> bool:
        """Return whether an adapter is loaded or being loaded."""
        return (key in self.adapters and key not in self.missing_adapters) or key in self.pending

    def find_reserved_model(self, now: float) -> str:
        """Return the model for which room is being made, or an empty string."""
        return self.reserved_model if self.unloading or now < self.reserved_until else ""

    def has_room(self, order: ServerOrder, engine: EngineSpec) -> bool:
        """Return whether an engine certainly has room for a load."""
        if order.kind is not OrderKind.LOAD:
            return True
        if self.busy:
            return False
        spec = engine.models[order.model]
        if order.adapter:
            counted = (order.model, order.adapter) in self.adapters
            placed = counted or self.count_adapter_slots() < engine.adapter_slots
            return placed and self.measure_weights_mb(engine) + spec.adapter_mb <= engine.weights_mb
        return self.measure_weights_mb(engine) + spec.size_mb <= engine.weights_mb

    def record_accepted(
        self, order: ServerOrder, done_at: float, at_once: bool, now: float
    ) -> None:
        """Record an order that the engine accepted; earlier orders can no longer take effect.

        An adapter in use is dropped later, so it keeps its slot until a report shows that it is
        gone.
        """
        self.orders = (order.expected or 0) + 1
        self.ordered_at = now
        self.unconfirmed = []
        key = (order.model, order.adapter)
        self.missing_adapters.pop(key, None)
        if order.kind is OrderKind.LOAD and order.adapter:
            self.pending[key] = done_at
        elif order.kind is OrderKind.LOAD:
            self.loading, self.busy_until = order.model, done_at
            self.busy = False
            self.reserved_model = ""
        elif order.adapter:
            if at_once:
                self.adapters.pop(key, None)
        else:
            self.unloading, self.busy_until = order.model, done_at
            for held in [held for held in self.adapters if held[0] == order.model]:
                del self.adapters[held]

    def record_held(self, order: ServerOrder, now: float) -> None:
        """Record the engine's answer that it already holds what it was ordered to load."""
        key = (order.model, order.adapter)
        if order.adapter:
            self.adapters[key] = now
            self.missing_adapters.pop(key, None)
        else:
            self.models.add(order.model)

    def complete_pending(self, now: float) -> bool:
        """Record adapters whose load must be done as held; return whether there were any."""
        done = [key for key, at in self.pending.items() if at <= now]
        for key in done:
            del self.pending[key]
            self.adapters[key] = now
        return bool(done)
