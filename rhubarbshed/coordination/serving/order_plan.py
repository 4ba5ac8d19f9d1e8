"""Engines of one service in one planning round, with the orders planned so far.

An order holder may have many models and engines. Each figure that several decisions of a round use
is computed once and updated as orders are planned, which keeps a round cheap on a small instance.
"""

import collections
import functools

from attrs import define, field, frozen

from rhubarbshed.coordination.serving.placement_summary import PlacementSummary, Postponement
from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.routes import EngineSpec
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.state.placement.engine_states import EngineState
from rhubarbshed.state.placement.usage import Target, Usage

AWAITED_S = 1.0
"""Time for which a target counts as awaited; waiting requests report it again every 0.1 s."""

REPORT_AGE_MAX_S = 1.0
"""Age of another holder's message up to which its engines are left to that holder."""

BUSY_WAIT_S = 2.0
"""Longest wait for a busy engine that has the weights cached; a load from the weight store takes
three seconds longer than a load from a disk."""

COPY_VALUE_FRACTIONS = (1.0, 0.08, 0.02, 0.01, 0.005)
"""Value of the first, second and further copies of a model, as fractions of its requests per
second: the first copy answers them, the second one answers them while the server of the first is
lost."""

FULL_LOAD_SLOTS_FRACTION = 0.6
FULL_LOAD_TOKENS_PER_S = 10_000
"""Requests running on an engine, as a fraction of its slots, and prompt tokens that it reads in a
second, above which streams fall behind; see the pauses in docs/dev/measurements.md."""

UNEVEN_SHARE_FACTOR = 1.5
"""Multiple of its even share of a model's load that one copy may get, since requests are not spread
evenly."""

HIGH_UTILISATION = 0.6
EXCESS_UTILISATION_WEIGHT = 0.35
"""Utilisation is high from this threshold on, since demand moves faster than a load takes. A copy
is worth this fraction of its model's requests for each unit of excess utilisation that it removes:
late streams rose by 0.15 to 0.25 there, and bursts come on top."""

RARE_RATE_PER_S = 0.1
"""Assumed requests per second for a model without recent requests, since any model may be asked for
and a load takes seconds."""

AWAITED_RATE_PER_S = 0.5
"""Requests per second added for a waiting caller: one request in the two seconds for which an
evicted copy is missing. With it, a model that is asked for now and then replaces one without
requests for some seconds, but none that is in more use."""

UNSERVED_RATE_PER_S = 0.05
"""Requests per second added for each second in which a model is asked for and no engine has it, so
that each model has its turn. A copy is kept for many times as long as its load takes."""

SWAP_GAIN_MIN_PER_S = 0.2
"""Least gain of a swap in requests per second, since it costs a load and some seconds in which
neither model is available."""

SWAP_FACTOR = 2.0
"""Least ratio of the value of a new copy to that of the evicted copies, so that two models do not
replace each other in turn."""

RUNNING_RATE_FRACTION = 0.05
"""Fraction of a copy's requests per second added to its value when it is a candidate for
eviction."""

DEMAND_MIN_PER_S = 0.1
"""Requests per second from which a model counts as in demand."""


@frozen
class Move:
    """Order for one engine to load or unload a model or adapter, with a reason for the log."""

    server_id: str
    kind: OrderKind
    model: str
    adapter: str
    reason: str


@define
class OrderPlan:
    """State of one service's engines during one planning round, and the orders planned.

    With `refuses_soon` requests for a missing model are refused before they have waited for long.

    Figures computed on the way are cached until the end of the round.
    """

    service: str
    engine: EngineSpec
    engine_states: dict[str, EngineState]
    records: dict[str, ServerRecord]
    usage: Usage
    now: float
    sees_all_engines: bool = True
    refuses_soon: bool = False
    moves: list[Move] = field(factory=list)
    ordered: set[str] = field(factory=set)
    postponed: collections.Counter[Postponement] = field(factory=collections.Counter)
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

        If most engines are missing, the store itself was unavailable and none of them counts as
        missing.
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
            and self.now >= engine_state.closed_until
            and server_id in self.available
        )

    def list_orderable_now(self) -> list[EngineState]:
        """List engines that can still take an order in this round."""
        return [
            engine_state
            for engine_state in self.orderable
            if engine_state.server_id not in self.ordered
        ]

    def list_busy_with_cached(self, model: str) -> list[EngineState]:
        """List busy engines that have a model's weights cached and can soon take an order again."""
        return [
            self.engine_states[server_id]
            for server_id in self.available
            if self.engine_states[server_id].is_busy
            and server_id not in self.ordered
            and self.now < self.engine_states[server_id].busy_until < self.now + BUSY_WAIT_S
            and model in self.records[server_id].entry.cached_models
        ]

    def is_overdue(self, target: Target, after_s: float) -> bool:
        """Return whether callers have waited so long that no other holder seems to act."""
        return self.usage.measure_wait_s(target, self.now) > after_s

    def count_waiting(self, model: str) -> float:
        """Estimate the requests for a model since callers began to wait for it.

        Refused ones count as well: they are in the rate of the demand over all instances.
        """
        waits = [
            self.usage.measure_wait_s(target, self.now)
            for target in self.list_awaited_for_model(model)
        ]
        waited = max(waits, default=0.0) * max(self.measure_rate(model), AWAITED_RATE_PER_S)
        if not self.refuses_soon:
            return waited
        unserved_s = self.usage.measure_unserved_s(self.service, model, self.now)
        return max(waited, unserved_s * self.measure_rate(model))

    @functools.cached_property
    def holders(self) -> dict[str, list[EngineState]]:
        """Engines by model that hold it or are about to, and do not unload it.

        Room counts as the copy that it is made for while it is being made; once it is free, the
        model has to be loaded.
        """
        found: dict[str, list[EngineState]] = {}
        for server_id in self.available:
            engine_state = self.engine_states[server_id]
            names = {*engine_state.models, engine_state.loading}
            if engine_state.unloading:
                names.add(engine_state.reserved_model)
            for name in names - {"", engine_state.unloading}:
                found.setdefault(name, []).append(engine_state)
        return found

    def list_holders(self, model: str) -> list[EngineState]:
        """List engines that hold a model or are about to, and do not unload it."""
        return self.holders.get(model, [])

    def measure_rate(self, model: str) -> float:
        """Return the requests per second for a model."""
        rate = self._rates.get(model)
        if rate is None:
            rate = self._rates[model] = self.usage.measure_model(self.service, model, self.now)
        return rate

    def is_in_demand(self, model: str) -> bool:
        """Return whether a model was asked for lately."""
        return self.measure_rate(model) >= DEMAND_MIN_PER_S or model in self.awaited_by_model

    def is_held(self, model: str) -> bool:
        """Return whether an available engine holds a model and does not unload it."""
        return any(model in each.models for each in self.list_holders(model))

    def list_awaited_for_model(self, model: str) -> list[Target]:
        """List the awaited targets of a model and its adapters."""
        return self.awaited_by_model.get(model, [])

    @functools.cached_property
    def awaited(self) -> tuple[Target, ...]:
        """Targets that callers wait for, the longest wait first."""
        found = self.usage.list_awaited(self.now - AWAITED_S)
        return tuple(target for target in found if target[0] == self.service)

    @functools.cached_property
    def awaited_by_model(self) -> dict[str, list[Target]]:
        """Awaited targets grouped by model."""
        awaited: dict[str, list[Target]] = {}
        for target in self.awaited:
            awaited.setdefault(target[1], []).append(target)
        return awaited

    @functools.cached_property
    def adapter_copies(self) -> dict[tuple[str, str], int]:
        """Number of engines that hold or load each adapter."""
        copies: dict[tuple[str, str], int] = {}
        for engine_state in self.engine_states.values():
            for key in engine_state.adapters.keys() | engine_state.pending.keys():
                copies[key] = copies.get(key, 0) + 1
        return copies

    def is_busy(self, engine_state: EngineState) -> bool:
        """Return whether an engine is carrying out an order for a model."""
        return engine_state.is_busy or engine_state.server_id in self.ordered

    def count_busy(self) -> int:
        """Count the engines that are carrying out an order for a model."""
        return sum(1 for engine_state in self.engine_states.values() if self.is_busy(engine_state))

    def summarize(self) -> PlacementSummary:
        """Return what the available engines hold and do, and what is in demand."""
        engine_states = [self.engine_states[server_id] for server_id in self.available]
        in_demand = {name for name in self.engine.models if self.is_in_demand(name)}
        held = {name for engine_state in engine_states for name in engine_state.models}
        free_mb = [
            self.engine.weights_mb - engine_state.measure_weights_mb(self.engine)
            for engine_state in engine_states
        ]
        return PlacementSummary(
            engines=len(engine_states),
            open=len(self.list_orderable_now()),
            changing=sum(1 for each in engine_states if self.is_busy(each)),
            unconfirmed=sum(1 for each in engine_states if each.unconfirmed),
            copies=sum(len(each.models) for each in engine_states),
            free_mb=sum(free_mb),
            in_demand=len(in_demand),
            missing=len(in_demand - held),
            coming=len((in_demand - held) & self.holders.keys()),
            awaited=len(self.awaited_by_model.keys() - held),
        )

    def measure_gain(self, model: str, copies: int) -> float:
        """Return the value of one more copy in requests per second, given the number of copies."""
        rate = self.measure_rate(model)
        part = COPY_VALUE_FRACTIONS[min(copies, len(COPY_VALUE_FRACTIONS) - 1)]
        if copies > 0 and rate > 0.0:
            without, beside = (
                self.measure_excess_utilisation(model, copies + more) for more in (0, 1)
            )
            part = min(1.0, part + EXCESS_UTILISATION_WEIGHT * max(0.0, without - beside))
        gain = rate * part
        if copies == 0:
            unserved_s = self.usage.measure_unserved_s(self.service, model, self.now)
            gain += RARE_RATE_PER_S + UNSERVED_RATE_PER_S * unserved_s
            if self.list_awaited_for_model(model):
                gain += AWAITED_RATE_PER_S
        return gain

    def measure_limited_rate(self, model: str, without: str = "") -> float:
        """Return the requests per second for a model beyond the limits that its engines name.

        It is 0 if one of them, other than `without`, names no limit.
        """
        limits = [
            self.records[each.server_id].limit_per_s
            for each in self.list_holders(model)
            if each.server_id != without
        ]
        if not limits or None in limits:
            return 0.0
        return max(0.0, self.measure_rate(model) - sum(limits))

    def measure_load(self, model: str) -> float:
        """Return the number of engines that a model alone would utilise fully."""
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

        Requests go to the less utilised copies, so the utilisation is about the average unless a
        model alone has too few copies. Where all engines are utilised alike, another copy relieves
        none of them.
        """
        alone = UNEVEN_SHARE_FACTOR * self.measure_load(model) / copies
        return max(0.0, max(alone, self.mean_utilisation) - HIGH_UTILISATION)

    @functools.cached_property
    def mean_utilisation(self) -> float:
        """Average utilisation of the available engines."""
        utilisation = [
            self.measure_utilisation(self.engine_states[server_id]) for server_id in self.available
        ]
        return sum(utilisation) / len(utilisation) if utilisation else 0.0

    def measure_utilisation(self, engine_state: EngineState) -> float:
        """Return the utilisation of an engine by its models; up to 1 its streams stay on time."""
        utilisation = self._utilisations.get(engine_state.server_id)
        if utilisation is None:
            utilisation = sum(
                self.measure_load(name) / max(1, len(self.list_holders(name)))
                for name in engine_state.models
            )
            self._utilisations[engine_state.server_id] = utilisation
        return utilisation

    def find_primary(self, model: str) -> str:
        """Return the engine whose copy of a model counts as its only one.

        Holders of several data centres plan at the same time. If each of them took the other's copy
        for the one that stays, none would stay.
        """
        primary = self._primaries.get(model)
        if primary is None:
            held = [each.server_id for each in self.list_holders(model) if model in each.models]
            primary = self._primaries[model] = min(held, default="")
        return primary

    def measure_copy_value(self, engine_state: EngineState, model: str) -> float:
        """Return the value of an existing copy: above that of a new one, more with its use.

        An unload waits for the copy's runs, and the engine takes no other order in the meantime.
        """
        copies = max(1, len(self.list_holders(model)))
        running = RUNNING_RATE_FRACTION * self.measure_rate(model) / copies
        return self.measure_loss(engine_state, model) * SWAP_FACTOR + SWAP_GAIN_MIN_PER_S + running

    def measure_loss(self, engine_state: EngineState, model: str) -> float:
        """Return the requests per second that would not be served without this copy of a model."""
        key = (model, self.find_primary(model) == engine_state.server_id)
        loss = self._losses.get(key)
        if loss is None:
            others = 0 if key[1] else max(0, len(self.list_holders(model)) - 1)
            loss = self._losses[key] = self.measure_gain(model, others)
        return max(loss, self.measure_limited_rate(model, engine_state.server_id))

    def rank_copies(self, engine_state: EngineState) -> list[tuple[float, str, float]]:
        """Return the copies on an engine as (value, model, megabytes), the least valuable first."""
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
        """Return the requests per second whose adapter loads a busy engine delays."""
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
        """Return the megabytes free for a model, without room reserved for another model."""
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
        """Reserve room on an engine for a model, which counts as a copy from then on."""
        engine_state.reserved_model, engine_state.reserved_until = model, until
        self.holders.setdefault(model, []).append(engine_state)

    def plan_order(
        self, engine_state: EngineState, kind: OrderKind, model: str, adapter: str, reason: str
    ) -> None:
        """Add an order to the plan; an engine gets one model order per round."""
        self.moves.append(Move(engine_state.server_id, kind, model, adapter, reason))
        self.ordered.add(engine_state.server_id)
