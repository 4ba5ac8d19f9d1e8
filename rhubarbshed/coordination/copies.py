"""Expected requests within target, as a function of where copies are."""

import math

from attrs import Factory, define, field, frozen

from rhubarbshed.coordination.floor import Bay, Copy, Floor
from rhubarbshed.protocol.placement import ModelDemand

ANSWER_TOKENS_DEFAULT = 240.0
"""Output tokens of a request where none have been counted."""

TARGET_S = 0.9
"""Wait in seconds for a slot beyond which a request misses its target."""


@frozen
class ModelLoad:
    """Hold a model's arrivals per second and output tokens of one request."""

    arrivals_per_s: float
    answer_tokens: float


@define
class BayLoad:
    """Hold a server's arrivals per second and the slots they keep busy."""

    slots: int
    token_gap_s: float
    arrivals_per_s: float = 0.0
    busy_slots: float = 0.0
    exponent: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.exponent = math.sqrt(2.0 * (self.slots + 1)) - 1.0

    @property
    def utilization(self) -> float:
        """Return the part of the slots that are busy; above 1 is overload."""
        return self.busy_slots / self.slots

    def estimate(self, arrivals_per_s: float, busy_slots: float) -> float:
        """Return requests per second within target after a change of load.

        Source: Sakasegawa's approximation of the probability of waiting in an M/M/c queue,
        1977; beyond full use the share that finds a slot.
        """
        arrivals = self.arrivals_per_s + arrivals_per_s
        busy = self.busy_slots + busy_slots
        if arrivals <= 1e-9 or busy <= 1e-9:
            return 0.0
        used = busy / self.slots
        full = min(1.0, 1.0 / used)
        if used >= 1.0:
            return arrivals * full * 0.9
        waiting = used**self.exponent
        service_s = busy / arrivals
        late = waiting * math.exp(-(1.0 - used) * self.slots * TARGET_S / service_s)
        return arrivals * max(0.9, 1.0 - late)


@define
class Loads:
    """Hold the load of each server under equal shares between a model's copies."""

    floor: Floor
    models: dict[str, ModelLoad]
    bays: dict[str, BayLoad] = Factory(dict)

    @classmethod
    def from_floor(cls, floor: Floor, demand: tuple[ModelDemand, ...]) -> "Loads":
        """Spread the demand over the copies that stay."""
        models = {each.model: _make_load(each) for each in demand if each.model in floor.models}
        loads = cls(floor, models)
        for bay in floor.bays.values():
            loads.bays[bay.name] = _make_bay_load(bay)
        for name in sorted(models):
            copies = loads.list_serving(name)
            for copy in copies:
                loads._shift(name, copy.server, 1.0 / len(copies))
        return loads

    def list_serving(self, name: str) -> list[Copy]:
        """Return the copies of a model that serve or soon will."""
        return self.floor.list_copies(name)

    def estimate_unmet(self, name: str) -> float:
        """Return a model's requests per second that miss their target."""
        load = self.models[name]
        copies = self.list_serving(name)
        if not copies:
            return load.arrivals_per_s
        unmet = 0.0
        for copy in copies:
            bay = self.bays[copy.server]
            if bay.arrivals_per_s > 0.0:
                met = bay.estimate(0.0, 0.0) / bay.arrivals_per_s
                unmet += load.arrivals_per_s / len(copies) * (1.0 - met)
        return unmet

    def estimate_gain(self, name: str, server: str) -> float:
        """Return requests per second within target won by one more copy."""
        copies = self.list_serving(name)
        shares = {copy.server: 1.0 / len(copies) for copy in copies}
        after = {each: 1.0 / (len(copies) + 1) for each in (*shares, server)}
        return self._compare(name, shares, after)

    def estimate_loss(self, copy: Copy) -> float:
        """Return requests per second within target lost without a copy."""
        copies = self.list_serving(copy.name)
        if copy.name not in self.models or len(copies) < 2:
            return 0.0
        shares = {each.server: 1.0 / len(copies) for each in copies}
        after = {each: 1.0 / (len(copies) - 1) for each in shares if each != copy.server}
        return -self._compare(copy.name, shares, after)

    def add_copy(self, name: str, server: str) -> None:
        """Shift load to a planned copy; call before the floor counts it."""
        before = self.list_serving(name)
        for copy in before:
            self._shift(name, copy.server, -1.0 / len(before) + 1.0 / (len(before) + 1))
        self._shift(name, server, 1.0 / (len(before) + 1))

    def remove_copy(self, copy: Copy) -> None:
        """Shift load off a copy; call before the floor drops it."""
        before = self.list_serving(copy.name)
        if copy.name not in self.models or len(before) < 2:
            return
        for each in before:
            share = 0.0 if each is copy else 1.0 / (len(before) - 1)
            self._shift(copy.name, each.server, share - 1.0 / len(before))

    def _compare(self, name: str, before: dict[str, float], after: dict[str, float]) -> float:
        load = self.models[name]
        change = 0.0
        for server in sorted(before.keys() | after.keys()):
            bay = self.bays[server]
            arrivals = (after.get(server, 0.0) - before.get(server, 0.0)) * load.arrivals_per_s
            busy = arrivals * load.answer_tokens * bay.token_gap_s
            change += bay.estimate(arrivals, busy) - bay.estimate(0.0, 0.0)
        return change

    def _shift(self, name: str, server: str, share: float) -> None:
        load = self.models.get(name)
        if load is None:
            return
        bay = self.bays[server]
        arrivals = share * load.arrivals_per_s
        bay.arrivals_per_s += arrivals
        bay.busy_slots += arrivals * load.answer_tokens * bay.token_gap_s


def _make_load(demand: ModelDemand) -> ModelLoad:
    served = demand.arrivals_per_s - demand.refusals_per_s
    tokens = ANSWER_TOKENS_DEFAULT
    if served > 0.0 and demand.tokens_per_s > 0.0:
        tokens = demand.tokens_per_s / served
    return ModelLoad(demand.arrivals_per_s, tokens)


def _make_bay_load(bay: Bay) -> BayLoad:
    slots = max(1, bay.slots)
    return BayLoad(slots, slots / max(1.0, bay.tokens_per_s))
