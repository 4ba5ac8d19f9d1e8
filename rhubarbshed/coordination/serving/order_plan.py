"""One service's engines as a round of planning sees them.

Answers a holder with many models and engines: what each decision of a round asks for is worked out
once, and followed as orders are planned, so that a round costs little on a small instance.
"""

import functools

from attrs import define, field, frozen

from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.routes import EngineSpec
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.state.placement.engine_states import EngineState
from rhubarbshed.state.placement.usage import Target, Usage

AWAITED_S = 1.0
"""Time for which a want counts; callers repeat it each 0.1 s while they wait."""

REPORT_AGE_MAX_S = 1.0
"""Age of a holder's word up to which its engines are left to it."""

BUSY_WAIT_S = 2.0
"""Time that an engine with a copy at hand may still be busy to be waited for; a load from the
weight store takes three seconds longer than one from a disk."""

COPY_VALUE_FRACTIONS = (1.0, 0.08, 0.02, 0.01, 0.005)
"""What the first, second and further copies of a model are worth, as parts of its requests a
second: the first answers them, a second one answers them while its server is lost."""

FULL_LOAD_SLOTS_FRACTION = 0.6
FULL_LOAD_TOKENS_PER_S = 10_000
"""Requests that run on an engine, as a part of its slots, and tokens of prompts that it reads in a
second, from which streams get late; from the pauses in docs/dev/measurements.md."""

UNEVEN_SHARE_FACTOR = 1.5
"""Times its even share of a model's load that one copy may get: requests are not spread evenly."""

HIGH_UTILISATION = 0.6
EXCESS_UTILISATION_WEIGHT = 0.35
"""Engines count as crowded from this part of a busy one on, since demand moves faster than a load
takes. A copy is worth so much of its model's requests for each whole engine of crowding that it
spares: streams that were late rose by 0.15 to 0.25 there, and bursts come on top."""

RARE_RATE_PER_S = 0.1
"""Requests a second that a model is taken to have that nobody has asked for lately, since any may
be asked for and a load takes seconds."""

AWAITED_RATE_PER_S = 0.5
"""Requests a second that count for a caller who waits: one request in the two seconds for which a
copy that makes way is away. With it a model that is asked for now and then takes the room of one
that has not been asked for in some seconds, and of nothing busier."""

WAITED_RATE_PER_S = 0.1
"""Requests a second that count beside for each second that a caller has waited, so that each model
has its turn before callers leave."""

SWAP_GAIN_MIN_PER_S = 0.2
"""Requests a second that a swap has to win beyond what it gives up, since it costs a load and some
seconds in which neither model is there."""

SWAP_FACTOR = 2.0
"""How many times more a copy must be worth than what makes way for it, which keeps two models from
taking turns."""

RUNNING_RATE_FRACTION = 0.05
"""What a copy's requests a second count beside its worth when it is to make way."""


@frozen
class Move:
    """Order one engine to load or unload a model or adapter, for a reason shown in the log."""

    server_id: str
    kind: OrderKind
    model: str
    adapter: str
    reason: str


@define
class OrderPlan:
    """Hold one service's engines for one round of planning.

    What is worked out on the way is kept until the end of the round.
    """

    service: str
    engine: EngineSpec
    engine_states: dict[str, EngineState]
    records: dict[str, ServerRecord]
    usage: Usage
    now: float
    sees_all_engines: bool = True
    moves: list[Move] = field(factory=list)
    ordered: set[str] = field(factory=set)
    _rates: dict[str, float] = field(factory=dict)
    _free: dict[str, float] = field(factory=dict)
    _blocked: dict[str, float] = field(factory=dict)
    _primaries: dict[str, str] = field(factory=dict)
    _losses: dict[tuple[str, bool], float] = field(factory=dict)
    _loads: dict[str, float] = field(factory=dict)
    _utilisations: dict[str, float] = field(factory=dict)
    _copies: dict[str, list[tuple[float, str, float]]] = field(factory=dict)

    @functools.cached_property
    def available(self) -> frozenset[str]:
        """Engines that take work and are not missing from the store.

        Where most of them are missing it is the store that was away.
        """
        missing = sum(1 for each in self.records.values() if each.missing_since is not None)
        store_was_away = missing * 2 > len(self.records)
        return frozenset(
            server_id
            for server_id, record in self.records.items()
            if record.takes_work(self.now) and (store_was_away or record.missing_since is None)
        )

    @functools.cached_property
    def orderable(self) -> tuple[EngineState, ...]:
        """Engines that could take an order when the round began."""
        return tuple(
            engine_state
            for server_id, engine_state in self.engine_states.items()
            if engine_state.is_known
            and (engine_state.is_local or self.now - engine_state.reported_at < REPORT_AGE_MAX_S)
            and not engine_state.is_busy
            and server_id in self.available
        )

    def list_orderable_now(self) -> list[EngineState]:
        """List engines that can take an order now."""
        return [
            engine_state
            for engine_state in self.orderable
            if engine_state.server_id not in self.ordered
        ]

    def list_busy_with_cached(self, model: str) -> list[EngineState]:
        """List engines that have a model's weights at hand and will soon take an order again."""
        return [
            self.engine_states[server_id]
            for server_id in self.available
            if self.engine_states[server_id].is_busy
            and server_id not in self.ordered
            and self.now < self.engine_states[server_id].busy_until < self.now + BUSY_WAIT_S
            and model in self.records[server_id].entry.cached_models
        ]

    def is_overdue(self, target: Target, after_s: float) -> bool:
        """Tell whether callers have waited so long that no other holder seems to act."""
        return self.usage.measure_wait_s(target, self.now) > after_s

    @functools.cached_property
    def holders(self) -> dict[str, list[EngineState]]:
        """Engines by the model that they have or are about to, and that will stay."""
        found: dict[str, list[EngineState]] = {}
        for server_id in self.available:
            engine_state = self.engine_states[server_id]
            names = {
                *engine_state.models,
                engine_state.loading,
                engine_state.find_reserved_model(self.now),
            }
            for name in names - {"", engine_state.unloading}:
                found.setdefault(name, []).append(engine_state)
        return found

    def list_holders(self, model: str) -> list[EngineState]:
        """List engines that have a model or are about to, and will stay."""
        return self.holders.get(model, [])

    def measure_rate(self, model: str) -> float:
        """Return the requests per second for a model."""
        rate = self._rates.get(model)
        if rate is None:
            rate = self._rates[model] = self.usage.measure_model(self.service, model, self.now)
        return rate

    def list_awaited_for_model(self, model: str) -> list[Target]:
        """List what callers wait for of a model and its adapters."""
        return self.awaited_by_model.get(model, [])

    @functools.cached_property
    def awaited(self) -> tuple[Target, ...]:
        """What callers wait for, those that have waited longest first."""
        found = self.usage.list_awaited(self.now - AWAITED_S)
        return tuple(target for target in found if target[0] == self.service)

    @functools.cached_property
    def awaited_by_model(self) -> dict[str, list[Target]]:
        """Group what callers wait for by model."""
        awaited: dict[str, list[Target]] = {}
        for target in self.awaited:
            awaited.setdefault(target[1], []).append(target)
        return awaited

    @functools.cached_property
    def adapter_copies(self) -> dict[tuple[str, str], int]:
        """Count the engines that hold or load each adapter."""
        copies: dict[tuple[str, str], int] = {}
        for engine_state in self.engine_states.values():
            for key in engine_state.adapters.keys() | engine_state.pending.keys():
                copies[key] = copies.get(key, 0) + 1
        return copies

    def is_busy(self, engine_state: EngineState) -> bool:
        """Tell whether an engine carries out an order for a model."""
        return engine_state.is_busy or engine_state.server_id in self.ordered

    def count_busy(self) -> int:
        """Count the engines that carry out an order for a model."""
        return sum(1 for engine_state in self.engine_states.values() if self.is_busy(engine_state))

    def measure_gain(self, model: str, copies: int) -> float:
        """Return what one more copy is worth beside those that there are."""
        rate = self.measure_rate(model)
        part = COPY_VALUE_FRACTIONS[min(copies, len(COPY_VALUE_FRACTIONS) - 1)]
        if copies > 0 and rate > 0.0:
            without, beside = (
                self.measure_excess_utilisation(model, copies + more) for more in (0, 1)
            )
            part = min(1.0, part + EXCESS_UTILISATION_WEIGHT * max(0.0, without - beside))
        gain = rate * part
        if copies == 0:
            gain += RARE_RATE_PER_S
            waits = [
                self.usage.measure_wait_s(target, self.now)
                for target in self.list_awaited_for_model(model)
            ]
            if waits:
                gain += AWAITED_RATE_PER_S + WAITED_RATE_PER_S * max(waits)
        return gain

    def measure_load(self, model: str) -> float:
        """Return how many engines a model alone would keep busy."""
        load = self._loads.get(model)
        if load is None:
            rate = self.measure_rate(model)
            run_s = self.usage.measure_run_s(self.service, model)
            tokens = self.usage.measure_tokens(self.service, model)
            slots = max(1.0, self.engine.slots * FULL_LOAD_SLOTS_FRACTION)
            load = self._loads[model] = rate * max(run_s / slots, tokens / FULL_LOAD_TOKENS_PER_S)
        return load

    def measure_excess_utilisation(self, model: str, copies: int) -> float:
        """Return the utilisation above `HIGH_UTILISATION` of engines with so many copies.

        Requests go to the less busy copies, so engines are about as busy as on average unless a
        model alone has too few copies: where all are busy, another copy spares nobody anything.
        """
        alone = UNEVEN_SHARE_FACTOR * self.measure_load(model) / copies
        return max(0.0, max(alone, self.mean_utilisation) - HIGH_UTILISATION)

    @functools.cached_property
    def mean_utilisation(self) -> float:
        """How busy engines are on average."""
        utilisation = [
            self.measure_utilisation(self.engine_states[server_id]) for server_id in self.available
        ]
        return sum(utilisation) / len(utilisation) if utilisation else 0.0

    def measure_utilisation(self, engine_state: EngineState) -> float:
        """Return how busy an engine is with its models; 1 is as much as leaves streams on time."""
        utilisation = self._utilisations.get(engine_state.server_id)
        if utilisation is None:
            utilisation = sum(
                self.measure_load(name) / max(1, len(self.list_holders(name)))
                for name in engine_state.models
            )
            self._utilisations[engine_state.server_id] = utilisation
        return utilisation

    def find_primary(self, model: str) -> str:
        """Return the engine whose copy of a model counts as the only one.

        Holders of several data centres plan at the same moment: if each took the other's copy for
        the one that stays, none would.
        """
        primary = self._primaries.get(model)
        if primary is None:
            held = [each.server_id for each in self.list_holders(model) if model in each.models]
            primary = self._primaries[model] = min(held, default="")
        return primary

    def measure_copy_value(self, engine_state: EngineState, model: str) -> float:
        """Return what a copy that is there is worth: more than a new one, more while it runs much.

        An unload waits for its runs, and until then the engine takes no other order.
        """
        copies = max(1, len(self.list_holders(model)))
        running = RUNNING_RATE_FRACTION * self.measure_rate(model) / copies
        return self.measure_loss(engine_state, model) * SWAP_FACTOR + SWAP_GAIN_MIN_PER_S + running

    def measure_loss(self, engine_state: EngineState, model: str) -> float:
        """Return the requests a second that go without a copy, of a model that is there."""
        key = (model, self.find_primary(model) == engine_state.server_id)
        loss = self._losses.get(key)
        if loss is None:
            others = 0 if key[1] else max(0, len(self.list_holders(model)) - 1)
            loss = self._losses[key] = self.measure_gain(model, others)
        return loss

    def rank_copies(self, engine_state: EngineState) -> list[tuple[float, str, float]]:
        """Return the copies on an engine as (worth, model, megabytes), the least worth first."""
        ranked = self._copies.get(engine_state.server_id)
        if ranked is None:
            models = self.engine.models
            ranked = sorted(
                (self.measure_copy_value(engine_state, name), name, models[name].size_mb)
                for name in engine_state.models
                if name in models
            )
            self._copies[engine_state.server_id] = ranked
        return ranked

    def measure_blocked_rate(self, engine_state: EngineState) -> float:
        """Return the requests a second whose adapters cannot be loaded while an engine is busy."""
        blocked = self._blocked.get(engine_state.server_id)
        if blocked is None:
            blocked = 0.0
            for model in engine_state.models:
                spec = self.engine.models.get(model)
                if spec is not None and spec.adapters:
                    idle = sum(1 for each in self.list_holders(model) if not self.is_busy(each))
                    blocked += self.measure_rate(model) / max(1, idle)
            self._blocked[engine_state.server_id] = blocked
        return blocked

    def measure_free_mb(self, engine_state: EngineState, name: str) -> float:
        """Return the megabytes that are free for a model; room made for another is not."""
        free = self._free.get(engine_state.server_id)
        if free is None:
            free = self.engine.weights_mb - engine_state.measure_weights_mb(self.engine)
            self._free[engine_state.server_id] = free
        reserved_model = engine_state.find_reserved_model(self.now)
        spec = self.engine.models.get(reserved_model)
        if spec is not None and reserved_model not in (
            name,
            engine_state.loading,
            *engine_state.models,
        ):
            free -= spec.size_mb
        return free

    def reserve_room(self, engine_state: EngineState, model: str, until: float) -> None:
        """Note that room is being made for a model; it counts as a copy from now on."""
        engine_state.reserved_model, engine_state.reserved_until = model, until
        self.holders.setdefault(model, []).append(engine_state)

    def plan_order(
        self, engine_state: EngineState, kind: OrderKind, model: str, adapter: str, reason: str
    ) -> None:
        """Plan an order; one engine gets one model order a round."""
        self.moves.append(Move(engine_state.server_id, kind, model, adapter, reason))
        self.ordered.add(engine_state.server_id)
