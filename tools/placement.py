"""Compare placement with static and greedy placement on the same seeded demand."""

import random
import sys
import time
from collections.abc import Callable

import attrs
import typer
from attrs import Factory, define, frozen

from rhubarbshed.coordination.placement.placement import plan_moves
from rhubarbshed.protocol.members import Standing
from rhubarbshed.protocol.orders import Resident
from rhubarbshed.protocol.placement import (
    ModelDemand,
    Move,
    MoveKind,
    MoveRecord,
    PlacementPlan,
    ServerView,
)
from rhubarbshed.state.placement.demand import Demand
from rhubarbshed.util.settings import Settings
from tools.baselines import choose_target, plan_greedy, plan_target_moves
from tools.contingency import find_usable_intents, plan_contingency
from tools.scenario import (
    ANSWER_TOKENS,
    SERVER_SLOTS,
    SERVER_TOKENS_PER_S,
    Scenario,
    draw_count,
)

LOADS = (MoveKind.LOAD, MoveKind.LOAD_ADAPTER)
UTILISATION_MAX = 0.9
"""Fraction of a server's tokens per second up to which requests meet their target."""

CUTOFF_SAMPLE_INTERVAL_S = 300.0


@define
class Counts:
    """Counters of one run."""

    requested: int = 0
    met: float = 0.0
    moves: int = 0
    adapter_moves: int = 0
    reachable: list[int] = Factory(list)
    adapters_reachable: list[int] = Factory(list)
    cutoff_models: list[int] = Factory(list)
    cutoff_models_with_intents: list[int] = Factory(list)
    plan_s: float = 0.0
    steps: int = 0


Policy = Callable[["Simulation", tuple[ModelDemand, ...]], PlacementPlan]


@define
class Simulation:
    """Cluster simulated in memory: loads take the weight store's time, unloads one interval."""

    scenario: Scenario
    settings: Settings
    rng: random.Random
    demand: Demand
    views: dict[str, ServerView]
    records: list[MoveRecord] = Factory(list)
    counts: Counts = Factory(Counts)
    now: float = 0.0

    @classmethod
    def from_config(cls, scenario: Scenario, settings: Settings, seed: int) -> "Simulation":
        """Return a simulation that starts with the static placement for the mean demand."""
        views = {
            info.name: ServerView(info, slots=SERVER_SLOTS, tokens_per_s=SERVER_TOKENS_PER_S)
            for info in scenario.servers
        }
        demand = Demand.from_config("bench", settings.placement)
        simulation = cls(scenario, settings, random.Random(seed), demand, views)
        for server, models in simulation.choose_static().items():
            resident = tuple(Resident(each.name, "1", each.memory_bytes) for each in models)
            simulation.set_resident(server, resident)
        return simulation

    def choose_static(self) -> dict:
        """Return the placement for the mean demand with all servers live."""
        names = [model.name for model in self.scenario.models]
        rates = dict(zip(names, self.scenario.base_per_s, strict=True))
        live = tuple(attrs.evolve(each, standing=Standing.LIVE) for each in self.views.values())
        fill = self.settings.placement.memory_fill_max
        return choose_target(self.scenario.models, rates, live, fill)

    def set_resident(self, server: str, resident: tuple[Resident, ...]) -> None:
        """Replace the resident models and adapters of a server."""
        reserved = sum(each.memory_bytes for each in resident)
        view = self.views[server]
        assert reserved <= view.info.memory_bytes
        self.views[server] = attrs.evolve(view, resident=resident, reserved_bytes=reserved)

    def run(self, policy: Policy) -> Counts:
        """Run the whole scenario under a policy and return the counters."""
        interval_s = self.settings.placement.interval_s
        while self.now < self.scenario.duration_s:
            self._update_standings()
            self._complete_moves()
            self._serve_requests(interval_s)
            demand = self.demand.summarize(self.now)
            started = time.process_time()
            plan = policy(self, demand)
            self.counts.plan_s += time.process_time() - started
            self.counts.steps += 1
            for move in plan.moves:
                self._start_move(move)
            self.now += interval_s
        return self.counts

    def _update_standings(self) -> None:
        for number, info in enumerate(self.scenario.servers):
            view = self.views[info.name]
            standing = self.scenario.get_standing(number, self.now)
            if standing is not view.standing:
                self.views[info.name] = attrs.evolve(view, standing=standing)
            if standing is Standing.GONE and view.resident:
                self.set_resident(info.name, ())
                self.records = [
                    each for each in self.records if each.move.backend_server != info.name
                ]

    def _start_move(self, move: Move) -> None:
        is_adapter = move.kind in (MoveKind.LOAD_ADAPTER, MoveKind.UNLOAD_ADAPTER)
        self.counts.moves += not is_adapter
        self.counts.adapter_moves += is_adapter
        if move.kind in LOADS:
            resident = Resident(move.name, move.version, move.memory_bytes, False, move.model)
            view = self.views[move.backend_server]
            self.set_resident(move.backend_server, (*view.resident, resident))
        self.records.append(MoveRecord(move, self.now))

    def _complete_moves(self) -> None:
        """Complete moves that have taken their time; an unloading model stops serving at once."""
        loading = [
            each
            for each in self.records
            if each.settled_at is None and each.move.kind is MoveKind.LOAD
        ]
        store = self.settings.weight_store
        single_load_s = store.loads_at_once / store.loads_per_s
        load_s = single_load_s * max(1.0, len(loading) / store.loads_at_once)
        open_records = []
        for record in self.records:
            needed_s = load_s if record.move.kind is MoveKind.LOAD else 0.0
            if record.settled_at is None and self.now - record.started_at >= needed_s:
                self._apply_move(record.move)
                record = attrs.evolve(record, settled_at=self.now)
            age_s = self.now - record.started_at
            if record.settled_at is None or age_s <= self.settings.placement.dwell_min_s:
                open_records.append(record)
        self.records = open_records

    def _apply_move(self, move: Move) -> None:
        resident = []
        for each in self.views[move.backend_server].resident:
            if each.name != move.name:
                resident.append(each)
            elif move.kind in LOADS:
                resident.append(attrs.evolve(each, ready=True))
        self.set_resident(move.backend_server, tuple(resident))

    def _serve_requests(self, interval_s: float) -> None:
        requests_left = {}
        servers_by_name: dict[str, list[str]] = {}
        adapters = set()
        unloading = self._list_unloading()
        for name, view in self.views.items():
            if view.standing is Standing.GONE:
                continue
            requests_left[name] = UTILISATION_MAX * view.tokens_per_s * interval_s / ANSWER_TOKENS
            for each in view.resident:
                if each.ready and (name, each.name) not in unloading:
                    servers_by_name.setdefault(each.name, []).append(name)
                    adapters.update({each.name} if each.model else ())
        self.counts.adapters_reachable.append(len(adapters))
        self.counts.reachable.append(
            sum(1 for model in self.scenario.models if model.name in servers_by_name)
        )
        if self.now % CUTOFF_SAMPLE_INTERVAL_S == 0.0:
            self._sample_cutoff()
        self._distribute_requests(servers_by_name, requests_left, interval_s)

    def _list_unloading(self) -> set[tuple[str, str]]:
        return {
            (each.move.backend_server, each.move.name)
            for each in self.records
            if each.settled_at is None and each.move.kind not in LOADS
        }

    def _distribute_requests(
        self,
        servers_by_name: dict[str, list[str]],
        requests_left: dict[str, float],
        interval_s: float,
    ) -> None:
        """Send requests to the server with the most capacity, models with few copies first."""
        counts = []
        for number, model in enumerate(self.scenario.models):
            rate = self.scenario.get_rate(number, self.now)
            counts.append((model.name, draw_count(self.rng, rate * interval_s)))
        counts.sort(key=lambda each: (len(servers_by_name.get(each[0], ())), each[0]))
        for name, count in counts:
            met = 0.0
            while met < count and servers_by_name.get(name):
                server = max(servers_by_name[name], key=lambda each: (requests_left[each], each))
                batch = min(count - met, max(1.0, count / 8.0), requests_left[server])
                if batch <= 0.0:
                    break
                requests_left[server] -= batch
                met += batch
            self.counts.requested += count
            self.counts.met += met
            self.demand.record_arrival(name, self.now, count)
            self.demand.record_tokens(name, int(met * ANSWER_TOKENS), self.now)
            self.demand.record_refusal(name, self.now, int(count - met))

    def _sample_cutoff(self) -> None:
        """Count a cut-off data centre's models per server failure, with and without intents."""
        live = [view for view in self.views.values() if view.standing is Standing.LIVE]
        fill = self.settings.placement.memory_fill_max
        plan = plan_contingency(self.scenario.models, tuple(live), fill)
        for lost in live:
            peers = [view for view in live if view.info.data_centre == lost.info.data_centre]
            models_left = {
                each.name
                for view in peers
                if view is not lost
                for each in view.resident
                if each.ready and not each.model
            }
            owned = frozenset(view.info.name for view in peers)
            usable = find_usable_intents(plan, frozenset({lost.info.name}), owned)
            self.counts.cutoff_models.append(len(models_left))
            self.counts.cutoff_models_with_intents.append(
                len(models_left | {each.model for each in usable})
            )


def plan_product(simulation: Simulation, demand: tuple[ModelDemand, ...]) -> PlacementPlan:
    """Plan with the product's function."""
    return _plan(simulation, demand, with_spares=False)


def plan_with_spares(simulation: Simulation, demand: tuple[ModelDemand, ...]) -> PlacementPlan:
    """Plan with the product's function, keeping spare slots for contingency."""
    return _plan(simulation, demand, with_spares=True)


def _plan(
    simulation: Simulation, demand: tuple[ModelDemand, ...], with_spares: bool
) -> PlacementPlan:
    views = tuple(simulation.views.values())
    placement = simulation.settings.placement
    scenario = simulation.scenario
    if with_spares:
        views = _reserve_spares(scenario, views, placement.memory_fill_max)
    return plan_moves(
        scenario.models,
        scenario.adapters,
        views,
        demand,
        placement,
        simulation.settings.weight_store,
        tuple(simulation.records),
        simulation.now,
    )


def _reserve_spares(
    scenario: Scenario, views: tuple[ServerView, ...], fill: float
) -> tuple[ServerView, ...]:
    """Return the views with contingency spare slots counted as reserved memory."""
    spares = {
        spare.backend_server: spare.memory_bytes
        for spare in plan_contingency(scenario.models, views, fill).spares
    }
    return tuple(
        attrs.evolve(view, reserved_bytes=view.reserved_bytes + spares.get(view.info.name, 0))
        for view in views
    )


def plan_static(simulation: Simulation, demand: tuple[ModelDemand, ...]) -> PlacementPlan:
    """Keep the static placement, reloading only what a returned server held."""
    fill = simulation.settings.placement.memory_fill_max
    return plan_target_moves(simulation.choose_static(), tuple(simulation.views.values()), fill)


def plan_greedy_by_demand(simulation: Simulation, demand: tuple[ModelDemand, ...]) -> PlacementPlan:
    """Follow demand, whatever the number of moves."""
    views = tuple(simulation.views.values())
    return plan_greedy(
        simulation.scenario.models, demand, views, simulation.settings.placement.memory_fill_max
    )


@frozen
class Row:
    """Line of the table: a policy under a settings profile."""

    label: str
    policy: Policy
    profile: str


ROWS = (
    Row("static", plan_static, "cedarpulpit"),
    Row("greedy", plan_greedy_by_demand, "cedarpulpit"),
    Row("cedarpulpit", plan_product, "cedarpulpit"),
    Row("cedarpulpit+spare", plan_with_spares, "cedarpulpit"),
    Row("guadalajara", plan_product, "guadalajara"),
    Row("guadalajara+spare", plan_with_spares, "guadalajara"),
)


def print_row(scenario: Scenario, row: Row, seed: int) -> None:
    """Run the simulation for one line and print it."""
    settings = Settings.from_file(f"rhubarbshed/profiles/{row.profile}.ini").unwrap()
    counts = Simulation.from_config(scenario, settings, seed).run(row.policy)
    per_s = counts.met / scenario.duration_s / len(scenario.servers)
    models_reachable = counts.reachable
    print(
        f"{scenario.name:6} {row.label:18} {counts.met / counts.requested:8.4f} {per_s:9.3f}"
        f" {counts.moves:6} {counts.adapter_moves:6} {min(models_reachable):5}"
        f" {sum(models_reachable) / len(models_reachable):8.2f}"
        f" {sum(counts.adapters_reachable) / len(models_reachable):8.2f}"
        f" {_mean(counts.cutoff_models):7.2f} {_mean(counts.cutoff_models_with_intents):7.2f}"
        f" {1000.0 * counts.plan_s / counts.steps:7.2f}"
    )
    sys.stdout.flush()


def _mean(values: list[int]) -> float:
    return sum(values) / max(1, len(values))


def main(seed: int = 1, size: str = "all", use: float = 0.6) -> None:
    """Print one table; sizes are small (15 models, 5 servers), roomy (9) and large (200, 60)."""
    print(
        "floor  policy             attained  met/s/acc  moves  adapt   min     mean"
        "   adapt.     cut cut+int plan ms"
    )
    small = Scenario.from_seed("small", seed, 15, 40, 5, 3, use, 10800.0)
    roomy = Scenario.from_seed("roomy", seed, 15, 40, 9, 3, use, 10800.0)
    large = Scenario.from_seed("large", seed, 200, 40, 60, 3, use, 10800.0)
    for scenario in (small, roomy, large):
        if size in ("all", scenario.name):
            for row in ROWS:
                print_row(scenario, row, seed)


if __name__ == "__main__":
    typer.run(main)
