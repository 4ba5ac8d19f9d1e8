"""What the order holder knows of each engine: what it holds, and what is on its way."""

import math

from attrs import define, field

from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.routes import EngineSpec
from rhubarbshed.protocol.servers import ServerOrder, ServerReport

DOUBT_S = 13.0
"""Time for which an unanswered order may still be carried out, from what the platform's list of
troubles tells: up to 12 s."""


LOADED_S = 0.5
"""Time after a load in which a server's word that it lacks an adapter may be older than that."""


@define
class Doubt:
    """Hold an order that got no answer: it takes effect while `expected` orders are accepted."""

    order: ServerOrder
    until: float


@define
class Place:
    """Hold one incarnation of an engine; places and sizes count what may come true as well.

    `ours` tells whether this instance gives its orders; of others the holder there tells, last at
    `told_at`. `orders` is the number of orders it has accepted, None until a report was read.
    `busy` tells of an order under way, which may be that of a holder before. `pending` are adapters
    being loaded with the time at which they should be there. `intended` is a model for which room
    is being made. `lacking` are adapters that the engine was found without, which keep their place.
    """

    server_id: str
    born_ms: int
    ours: bool = True
    told_at: float = 0.0
    orders: int | None = None
    ordered_at: float = 0.0
    models: set[str] = field(factory=set)
    adapters: dict[tuple[str, str], float] = field(factory=dict)
    pending: dict[tuple[str, str], float] = field(factory=dict)
    loading: str = ""
    unloading: str = ""
    busy: bool = False
    busy_until: float = 0.0
    doubts: list[Doubt] = field(factory=list)
    read_at: float = 0.0
    recheck: bool = False
    lacking: set[tuple[str, str]] = field(factory=set)
    intended: str = ""
    intended_until: float = 0.0

    def take_report(self, report: ServerReport, now: float) -> None:
        """Take what an engine says of itself; it may be some hundred milliseconds old."""
        self.orders = report.orders
        self.read_at = now
        self.recheck = False
        self.models = set(report.models)
        held = {(model, adapter) for model, names in report.models.items() for adapter in names}
        self.adapters = {key: self.adapters.get(key, -math.inf) for key in held}
        self.lacking -= held
        self.pending = {key: now for key in report.pending if key not in held}
        self.busy = report.busy
        if not report.busy:
            self.loading = self.unloading = ""
        self.doubts = [
            doubt
            for doubt in self.doubts
            if doubt.order.expected == report.orders and now < doubt.until
        ]

    @property
    def is_busy(self) -> bool:
        """Tell whether an order for a model is under way, so that another would be turned down."""
        return self.busy or bool(self.loading or self.unloading)

    @property
    def is_known(self) -> bool:
        """Tell whether it is known what the engine holds."""
        return self.orders is not None or not self.ours

    def take_word(
        self, held: dict[str, tuple[str, ...]], change: tuple[str, float, str], now: float
    ) -> bool:
        """Take what the holder of another data centre tells of an engine there.

        Tell whether that is something new.
        """
        before = (self.models, set(self.adapters), self.loading, self.unloading)
        self.told_at = now
        self.models = set(held)
        self.adapters = {
            (model, adapter): self.adapters.get((model, adapter), now)
            for model, names in held.items()
            for adapter in names
        }
        self.loading, left_s, self.unloading = change
        self.busy_until = now + left_s
        return before != (self.models, set(self.adapters), self.loading, self.unloading)

    def list_doubtful(self) -> set[tuple[str, str]]:
        """List (model, adapter) that unanswered loads may still bring."""
        return {
            (doubt.order.model, doubt.order.adapter)
            for doubt in self.doubts
            if doubt.order.kind is OrderKind.LOAD
        }

    def count_adapters(self) -> int:
        """Count the places that are or may become taken."""
        doubtful = {key for key in self.list_doubtful() if key[1]}
        return len(set(self.adapters) | set(self.pending) | doubtful)

    def measure_weights(self, engine: EngineSpec) -> float:
        """Return the megabytes that are or may become taken."""
        doubtful = {model for model, adapter in self.list_doubtful() if not adapter}
        models = self.models | doubtful | ({self.loading} if self.loading else set())
        total = sum(engine.models[name].size_mb for name in models if name in engine.models)
        doubtful_adapters = {key for key in self.list_doubtful() if key[1]}
        for model, _ in set(self.adapters) | set(self.pending) | doubtful_adapters:
            if model in engine.models:
                total += engine.models[model].adapter_mb
        return total

    def doubt_adapter(self, key: tuple[str, str], now: float) -> None:
        """Take it that an adapter is not there after all, unless it was loaded a moment ago."""
        if now - self.adapters.get(key, now) > LOADED_S:
            self.lacking.add(key)

    def has_adapter(self, key: tuple[str, str]) -> bool:
        """Tell whether an adapter is there or on its way."""
        return (key in self.adapters and key not in self.lacking) or key in self.pending

    def find_intent(self, now: float) -> str:
        """Return the model for which room is being made here, if any."""
        return self.intended if self.unloading or now < self.intended_until else ""

    def has_room(self, order: ServerOrder, engine: EngineSpec) -> bool:
        """Tell whether an engine surely has room for a load."""
        if order.kind is not OrderKind.LOAD:
            return True
        if self.busy:
            return False
        spec = engine.models[order.model]
        if order.adapter:
            counted = (order.model, order.adapter) in self.adapters
            placed = counted or self.count_adapters() < engine.adapter_places
            return placed and self.measure_weights(engine) + spec.adapter_mb <= engine.weights_mb
        return self.measure_weights(engine) + spec.size_mb <= engine.weights_mb

    def accept(self, order: ServerOrder, done_at: float, at_once: bool, now: float) -> None:
        """Take an order that the engine accepted; older ones can no longer take effect.

        An adapter in use is dropped later, so its place counts until a report shows it gone.
        """
        self.orders = (order.expected or 0) + 1
        self.ordered_at = now
        self.doubts = []
        key = (order.model, order.adapter)
        self.lacking.discard(key)
        if order.kind is OrderKind.LOAD and order.adapter:
            self.pending[key] = done_at
        elif order.kind is OrderKind.LOAD:
            self.loading, self.busy_until = order.model, done_at
            self.busy = False
            self.intended = ""
        elif order.adapter:
            if at_once:
                self.adapters.pop(key, None)
        else:
            self.unloading, self.busy_until = order.model, done_at
            for held in [held for held in self.adapters if held[0] == order.model]:
                del self.adapters[held]

    def note_held(self, order: ServerOrder, now: float) -> None:
        """Take the engine's word that it holds already what it was ordered to load."""
        key = (order.model, order.adapter)
        if order.adapter:
            self.adapters[key] = now
            self.lacking.discard(key)
        else:
            self.models.add(order.model)

    def settle_pending(self, now: float) -> bool:
        """Count adapters whose load must be over as held; tell whether there were any."""
        done = [key for key, at in self.pending.items() if at <= now]
        for key in done:
            del self.pending[key]
            self.adapters[key] = now
        return bool(done)
