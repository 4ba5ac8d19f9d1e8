"""Which models and adapters engines are ordered to hold.

Answers demand that moves to other models within seconds, rare models asked for at once, and
engines that come back empty. Additions come by their worth, and a copy makes way only for one that
is worth clearly more.
"""

import collections

from attrs import define, field

from rhubarbshed.coordination.serving.floor import RARE_RATE, Floor, Move
from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.routes import ModelSpec
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.state.placement.places import Place

URGENT_WORTH = 1.0
BUSY_PART = 0.2
"""Worth from which a change is made at any time; others wait while that part of the engines is
busy with orders, since a busy engine takes no adapters."""

MODEL_PATIENCE_S = 1.5
ADAPTER_PATIENCE_S = 0.15
"""Time that a want lasts before each holder serves it on its own engines: each chooses the best
engine of all, and in their different views that may be nobody's."""

INTENT_S = 4.0
"""Time for which room that is being made counts as the copy that it is made for."""

BLOCKED_PART = 0.3
"""Part of an engine's adapter requests that a model order keeps waiting: while it is carried out
the engine takes no order for adapters."""

AT_HAND_EASE = 0.5
"""What makes way for a model counts so much less where that is loaded from a disk or memory at
hand: what made way is there as well, and comes back in less than a second."""

WAITING_COST = 1.0
"""Requests a second that a load costs at the least while a caller waits for it: one is late, and
those that come meanwhile."""

ABSENCE_S = 2.0
"""Time for which requests for a copy that made way find none: it comes back from the disk of its
engine when it is asked for."""

UNLOAD_IDLE_S = 0.4
UNLOAD_BUSY_S = 3.0
BUSY_RATE = 1.0
"""Seconds that an unload takes of a model without runs, and of one that is asked for more often
than so many times a second: it waits for its runs, and a stream lasts some seconds."""

CEILING_EXTRA = 3
"""Loads beyond the rate that the platform's ceiling allows in a window."""

WINDOW_MARGIN_S = 0.3
"""Time added to a window: a load begins some time after its order was sent."""


Option = tuple[float, str, list[tuple[float, str]]]
"""What a copy costs on an engine, the engine, and what makes way there."""


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


def plan_models(floor: Floor, rate: LoadRate) -> list[Move]:
    """Plan loads and unloads of models: additions by worth, each where it displaces least."""
    own = {place.server_id for place in floor.orderable if place.ours}
    additions = []
    for name in floor.engine.models:
        copies = len(floor.list_holders(name))
        worth = floor.measure_gain(name, copies)
        if worth >= RARE_RATE:
            additions.append((worth, name, "copy" if copies else "missing"))
    for worth, name, reason in sorted(additions, reverse=True):
        if own <= floor.touched:
            break
        if worth >= URGENT_WORTH or floor.count_busy() < BUSY_PART * len(floor.places):
            _add(floor, rate, worth, name, reason)
    return floor.moves


def _add(floor: Floor, rate: LoadRate, worth: float, name: str, reason: str) -> None:
    """Take the next step towards one more copy of a model, if it is worth its room."""
    options = _list_options(floor, floor.list_open(), worth, name)
    overdue = any(floor.is_overdue(want, MODEL_PATIENCE_S) for want in floor.list_wants(name))
    if overdue:
        options = [option for option in options if floor.places[option[1]].ours]
    else:
        options += _list_options(floor, floor.list_busy_with_copy(name), worth, name)
    if not options:
        return
    _, server_id, victims = min(options)
    place = floor.places[server_id]
    if not place.ours or floor.is_busy(place):
        return
    if victims:
        floor.intend(place, name, floor.now + INTENT_S)
        floor.move(place, OrderKind.UNLOAD, victims[0][1], "", f"room_for_{reason}")
        return
    if is_from_store(floor, place, name):
        if not rate.allows(floor.hears_all, floor.now):
            return
        rate.count(True, floor.now)
    floor.move(place, OrderKind.LOAD, name, "", reason)


def _list_options(floor: Floor, places: list[Place], worth: float, name: str) -> list[Option]:
    options = []
    for place in places:
        if name in place.models:
            continue
        victims = _choose_victims(floor, place, floor.engine.models[name], worth)
        if victims is not None:
            cost = _measure_cost(floor, place, name, worth, victims)
            options.append((cost, place.server_id, victims))
    return options


def _measure_cost(
    floor: Floor, place: Place, name: str, worth: float, victims: list[tuple[float, str]]
) -> float:
    """Return the requests that a load costs: by what makes way, by waiting, by kept orders.

    Callers wait for a model that is missing, so a load from a disk at hand goes before one from the
    weight store that spares another model.
    """
    takes_s = estimate_load_time(floor.records[place.server_id], floor.engine.models[name])
    takes_s += max(0.0, place.busy_until - floor.now) if place.is_busy else 0.0
    for _, victim in victims:
        takes_s += UNLOAD_BUSY_S if floor.measure_rate(victim) > BUSY_RATE else UNLOAD_IDLE_S
    lost = sum(floor.measure_loss(place, victim) for _, victim in victims) * ABSENCE_S
    waiting = max(worth, WAITING_COST) if floor.list_wants(name) else worth
    return lost + takes_s * (waiting + BLOCKED_PART * floor.measure_blocked(place))


def _choose_victims(
    floor: Floor, place: Place, spec: ModelSpec, worth: float
) -> list[tuple[float, str]] | None:
    """Return the copies on an engine that make way, with what each is worth there.

    None where there is no room, or where what makes way is worth as much as the new copy.
    """
    ranked = floor.rank_copies(place)
    ease = AT_HAND_EASE if spec.name in floor.records[place.server_id].entry.at_hand else 1.0
    free = floor.measure_free(place, spec.name)
    lost = 0.0
    victims: list[tuple[float, str]] = []
    for held, model, size_mb in ranked:
        if free >= spec.size_mb:
            break
        lost += held
        if lost * ease >= worth:
            return None
        victims.append((held, model))
        free += size_mb
    return victims if free >= spec.size_mb else None


def estimate_load_time(record: ServerRecord, spec: ModelSpec) -> float:
    """Return the seconds that a load takes at an engine."""
    if spec.name in record.entry.in_memory:
        return spec.warm_load_s
    return spec.disk_load_s if spec.name in record.entry.on_disk else spec.load_s


def is_from_store(floor: Floor, place: Place, name: str) -> bool:
    """Tell whether a load counts against the weight store's rate."""
    entry = floor.records[place.server_id].entry
    return name not in entry.at_hand | place.models
