"""Which models and adapters engines are ordered to hold.

Answers demand that moves to other models within seconds, rare models asked for at once, and
engines that come back empty: first what callers wait for and nobody holds, then second copies of
what is busy, and nothing is dropped that somebody still asks for unless another copy stays.
"""

import collections
import functools

from attrs import define, field, frozen

from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.routes import EngineSpec, ModelSpec
from rhubarbshed.state.fleet import ServerRecord
from rhubarbshed.state.places import Place
from rhubarbshed.state.usage import Target, Usage

WANT_S = 1.0
"""Time for which a want counts; callers repeat it each 0.1 s while they wait."""

COPY_PARTS = (1.0, 0.08, 0.02, 0.01, 0.005)
"""What the first, second and further copies of a model are worth, as parts of its requests a
second: the first answers them, a second one answers them while its server is lost."""

STREAM_S = 1.5
CROWDED = 0.15
CROWDING_PART = 1.0
"""A copy counts more while those that there are would be busy beyond a part of their slots, with
streams of so many seconds: prompts that arrive together make pauses in the other streams."""

RARE_RATE = 0.1
"""Requests a second that a model is taken to have that nobody has asked for lately, since any may
be asked for and a load takes seconds."""

WANTED_RATE = 0.3
"""Requests a second that count for a caller who waits. With it a model that is asked for now and
then takes the room of one that has not been asked for in some seconds, and of nothing busier."""

WAITING_RATE = 0.1
"""Requests a second that count beside for each second that a caller has waited, so that each model
has its turn before callers leave."""

URGENT_WORTH = 1.0
BUSY_PART = 0.2
"""Worth from which a change is made at any time; others wait while that part of the engines is
busy with orders, since a busy engine takes no adapters."""

MOVE_GAIN = 0.2
"""Requests a second that a swap has to win beyond what it gives up, since it costs a load and some
seconds in which neither model is there."""

SWAP_FACTOR = 2.0
"""How many times more a copy must be worth than what makes way for it, which keeps two models from
taking turns."""

RUNNING_PART = 0.3
"""What a copy's requests a second count beside its worth when it is to make way."""

TOLD_S = 1.0
"""Age of a holder's word up to which its engines are left to it."""

MODEL_PATIENCE_S = 0.6
ADAPTER_PATIENCE_S = 0.15
"""Time that a want lasts before each holder serves it on its own engines: each chooses the best
engine of all, and in their different views that may be nobody's."""

INTENT_S = 4.0
"""Time for which room that is being made counts as the copy that it is made for."""

BLOCKED_PART = 0.3
"""Part of an engine's adapter requests that a model order keeps waiting: while it is carried out
the engine takes no order for adapters."""

HORIZON_S = 5.0
"""Time for which the loss of a copy is reckoned; demand moves about as fast."""

UNLOAD_IDLE_S = 0.4
UNLOAD_BUSY_S = 3.0
BUSY_RATE = 1.0
"""Seconds that an unload takes of a model without runs, and of one that is asked for more often
than so many times a second: it waits for its runs, and a stream lasts some seconds."""

CEILING_EXTRA = 3
"""Loads beyond the rate that the platform's ceiling allows in a window."""

WINDOW_MARGIN_S = 0.3
"""Time added to a window: a load begins some time after its order was sent."""


@frozen
class Move:
    """Order one engine to load or unload a model or adapter, for a reason shown in the log."""

    server_id: str
    kind: OrderKind
    model: str
    adapter: str
    reason: str


@define
class LoadRate:
    """Keep the loads that all holders begin from the weight store under its ceiling.

    `limit` loads may begin in a window of `window_s`; `holders` share it. While each hears the
    others, all count together, less one load in doubt for each other holder; a holder that does not
    hear another keeps to its own part.
    """

    limit: int
    window_s: float
    holders: int
    begun: collections.deque[tuple[float, bool]] = field(factory=collections.deque)

    @classmethod
    def from_bounds(
        cls, loads_per_s: float, window_s: float, overage: float, holders: int
    ) -> "LoadRate":
        """Make the rate from the platform's bounds: three loads beyond the rate are allowed."""
        limit = int(loads_per_s * window_s * overage) + CEILING_EXTRA - 1
        return cls(max(holders, limit), window_s, holders)

    def allows(self, hears_all: bool, now: float) -> bool:
        """Tell whether a load may begin."""
        while self.begun and self.begun[0][0] <= now - self.window_s - WINDOW_MARGIN_S:
            self.begun.popleft()
        own = sum(1 for _, is_own in self.begun if is_own)
        if hears_all:
            return len(self.begun) + self.holders <= self.limit
        return own + 1 <= self.limit // self.holders

    def count(self, is_own: bool, now: float) -> None:
        """Count a load that begins."""
        self.begun.append((now, is_own))


@define
class Floor:
    """Hold one service's engines for one round of planning."""

    service: str
    engine: EngineSpec
    places: dict[str, Place]
    records: dict[str, ServerRecord]
    usage: Usage
    now: float
    hears_all: bool = True
    moves: list[Move] = field(factory=list)
    touched: set[str] = field(factory=set)

    def list_open(self) -> list[Place]:
        """List engines that can take an order now."""
        return [
            place
            for server_id, place in self.places.items()
            if place.is_known
            and (place.ours or self.now - place.told_at < TOLD_S)
            and server_id not in self.touched
            and not place.is_busy
            and self.is_there(server_id)
        ]

    def is_there(self, server_id: str) -> bool:
        """Tell whether an engine takes work and is not missing from the store.

        Where most of them are missing it is the store that was away.
        """
        record = self.records[server_id]
        missing = record.doubted_since is not None and not self.lacks_most_entries
        return record.takes_work(self.now) and not missing

    @functools.cached_property
    def lacks_most_entries(self) -> bool:
        """Tell whether most engines are missing from the store; the same all through a round."""
        doubted = sum(1 for each in self.records.values() if each.doubted_since is not None)
        return doubted * 2 > len(self.records)

    def is_overdue(self, target: Target, after_s: float) -> bool:
        """Tell whether callers have waited so long that no other holder seems to act."""
        return self.usage.measure_want(target, self.now) > after_s

    def list_holders(self, model: str) -> list[Place]:
        """List engines that have a model or are about to, and will stay."""
        return [
            place
            for server_id, place in self.places.items()
            if (model in place.models or model in (place.loading, place.find_intent(self.now)))
            and model != place.unloading
            and self.is_there(server_id)
        ]

    def measure_rate(self, model: str) -> float:
        """Return the requests per second for a model."""
        return self.usage.measure_model(self.service, model, self.now)

    def list_wants(self, model: str) -> list[Target]:
        """List what callers wait for of a model and its adapters."""
        return self.wants_by_model.get(model, [])

    @functools.cached_property
    def wants_by_model(self) -> dict[str, list[Target]]:
        """Group what callers wait for by model; the same while one round is planned."""
        wants: dict[str, list[Target]] = {}
        for target in self.usage.list_wanted(self.now - WANT_S):
            if target[0] == self.service:
                wants.setdefault(target[1], []).append(target)
        return wants

    def is_busy(self, place: Place) -> bool:
        """Tell whether an engine carries out an order for a model."""
        return place.is_busy or place.server_id in self.touched

    def count_busy(self) -> int:
        """Count the engines that carry out an order for a model."""
        return sum(1 for place in self.places.values() if self.is_busy(place))

    def measure_gain(self, model: str, copies: int) -> float:
        """Return what one more copy is worth beside those that there are."""
        rate = self.measure_rate(model)
        part = COPY_PARTS[min(copies, len(COPY_PARTS) - 1)]
        if copies > 0:
            crowding = rate * STREAM_S / (self.engine.slots * copies) - CROWDED
            part += CROWDING_PART * max(0.0, crowding)
        gain = rate * part
        if copies == 0:
            gain += RARE_RATE
            waits = [self.usage.measure_want(want, self.now) for want in self.list_wants(model)]
            if waits:
                gain += WANTED_RATE + WAITING_RATE * max(waits)
        return gain

    def measure_free(self, place: Place, name: str) -> float:
        """Return the megabytes that are free for a model; room made for another is not."""
        free = self.engine.weights_mb - place.measure_weights(self.engine)
        intended = place.find_intent(self.now)
        if intended and intended not in (name, place.loading, *place.models):
            free -= self.engine.models[intended].size_mb
        return free

    def move(self, place: Place, kind: OrderKind, model: str, adapter: str, reason: str) -> None:
        """Plan an order; one engine gets one model order a round."""
        self.moves.append(Move(place.server_id, kind, model, adapter, reason))
        self.touched.add(place.server_id)


def plan_models(floor: Floor, rate: LoadRate) -> list[Move]:
    """Plan loads and unloads of models: additions by worth, each where it displaces least."""
    additions = []
    for name in floor.engine.models:
        copies = len(floor.list_holders(name))
        worth = floor.measure_gain(name, copies)
        if worth >= RARE_RATE:
            additions.append((worth, name, "copy" if copies else "missing"))
    for worth, name, reason in sorted(additions, reverse=True):
        if worth >= URGENT_WORTH or floor.count_busy() < BUSY_PART * len(floor.places):
            _add(floor, rate, worth, name, reason)
    return floor.moves


def _add(floor: Floor, rate: LoadRate, worth: float, name: str, reason: str) -> None:
    """Take the next step towards one more copy of a model, if it is worth its room."""
    options = []
    for place in floor.list_open():
        if name in place.models:
            continue
        victims = _choose_victims(floor, place, floor.engine.models[name])
        if victims is not None and sum(loss for loss, _ in victims) < worth:
            cost = _measure_cost(floor, place, name, worth, victims)
            options.append((cost, place.server_id, victims))
    own = [option for option in options if floor.places[option[1]].ours]
    overdue = any(floor.is_overdue(want, MODEL_PATIENCE_S) for want in floor.list_wants(name))
    if not options or (overdue and not own):
        return
    _, server_id, victims = min(own if overdue else options)
    place = floor.places[server_id]
    if not place.ours:
        return
    if victims:
        place.intended, place.intended_until = name, floor.now + INTENT_S
        floor.move(place, OrderKind.UNLOAD, victims[0][1], "", f"room_for_{reason}")
        return
    if is_from_store(floor, place, name):
        if not rate.allows(floor.hears_all, floor.now):
            return
        rate.count(True, floor.now)
    floor.move(place, OrderKind.LOAD, name, "", reason)


def _measure_cost(
    floor: Floor, place: Place, name: str, worth: float, victims: list[tuple[float, str]]
) -> float:
    """Return the requests that a load costs: by what makes way, by waiting, by kept orders."""
    takes_s = estimate_load_time(floor.records[place.server_id], floor.engine.models[name])
    for _, victim in victims:
        takes_s += UNLOAD_BUSY_S if floor.measure_rate(victim) > BUSY_RATE else UNLOAD_IDLE_S
    lost = sum(loss for loss, _ in victims) * HORIZON_S
    return lost + takes_s * (worth + BLOCKED_PART * measure_blocked(floor, place))


def _choose_victims(floor: Floor, place: Place, spec: ModelSpec) -> list[tuple[float, str]] | None:
    """Return the copies on an engine that make way, with what each is worth there, or None."""
    free = floor.measure_free(place, spec.name)
    copies = sorted(
        (measure_held(floor, model), model)
        for model in place.models
        if model in floor.engine.models
    )
    victims = []
    for worth, model in copies:
        if free >= spec.size_mb:
            break
        victims.append((worth, model))
        free += floor.engine.models[model].size_mb
    return victims if free >= spec.size_mb else None


def measure_held(floor: Floor, model: str) -> float:
    """Return what a copy that is there is worth: more than a new one, and more while it runs much.

    An unload waits for its runs, and until then the engine takes no other order.
    """
    copies = max(1, len(floor.list_holders(model)))
    worth = floor.measure_gain(model, copies - 1) * SWAP_FACTOR + MOVE_GAIN
    return worth + RUNNING_PART * floor.measure_rate(model) / copies


def measure_blocked(floor: Floor, place: Place) -> float:
    """Return the requests a second whose adapters could not be loaded while an engine is busy."""
    blocked = 0.0
    for model in place.models:
        spec = floor.engine.models.get(model)
        if spec is None or not spec.adapters:
            continue
        idle = [each for each in floor.list_holders(model) if not floor.is_busy(each)]
        blocked += floor.measure_rate(model) / max(1, len(idle))
    return blocked


def estimate_load_time(record: ServerRecord, spec: ModelSpec) -> float:
    """Return the seconds that a load takes at an engine."""
    if spec.name in record.entry.in_memory:
        return spec.warm_load_s
    return spec.disk_load_s if spec.name in record.entry.on_disk else spec.load_s


def is_from_store(floor: Floor, place: Place, name: str) -> bool:
    """Tell whether a load counts against the weight store's rate."""
    entry = floor.records[place.server_id].entry
    return name not in entry.in_memory | entry.on_disk | place.models
