"""Play of a day on modelled engines, with the placement of real order holders."""

import collections
import math
import random
from collections.abc import Iterator

from attrs import Factory, define, evolve, field

from rhubarbshed.coordination.serving.adapters import forget_served_targets
from rhubarbshed.coordination.serving.load_rate import LoadRateLimiter
from rhubarbshed.coordination.serving.missing_models import (
    CallerPatience,
    LoadWait,
    decide_load_wait,
)
from rhubarbshed.coordination.serving.order_plan import Move, OrderPlan
from rhubarbshed.coordination.serving.placement import (
    estimate_load_time,
    is_from_store,
    plan_models,
)
from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.servers import ServerOrder
from rhubarbshed.state.membership.fleet import Fleet, ServerRecord
from rhubarbshed.state.placement.engine_states import (
    UNCONFIRMED_S,
    EngineState,
    UnconfirmedOrder,
)
from rhubarbshed.state.placement.usage import Tally, Usage
from rhubarbshed.transport.edge.order_dispatcher import (
    MODEL_PLAN_INTERVAL_S,
    MODEL_UNLOAD_S,
    REPORT_REREAD_PAUSE_S,
)
from tools.engine_model import ModelledEngine, Run, WeightStore
from tools.engine_scenario import Caller, Crash, Day

STEP_S = 0.05
"""Time between two steps of the model."""

CRASH_NOTICED_S = 0.5
"""Time until requests are no longer sent to an engine that crashed."""

ORDER_TIMEOUT_S = 0.95
"""Time in which an engine whose answer to an order is lost gets no other."""

ORDER_DELAY_MIN_S, ORDER_DELAY_MAX_S = 2.0, 12.0
"""Time after which an order without an answer is carried out."""

LATE_SHARES = ((0.5, 0.01), (1.0, 0.2), (1.5, 0.4))
"""Share of streams that are late by the requests on their engine, as a fraction of its slots, from
the table in docs/dev/measurements.md."""

COUNT_INTERVAL_S = 0.5
"""Time between two reports of how many requests there were."""

FULL_RETRY_S = 0.3
LOST_RETRY_S = 0.2
SILENT_RETRY_S = 0.8
"""Time until a request is sent again: refused by a full engine, lost with one, or unanswered."""


@define(eq=False)
class Request:
    """Request of a caller; `tries_left` counts the tries after the present one."""

    caller: Caller
    model: str
    arrived_at: float
    tries_left: int = 1
    patience: CallerPatience | None = None


@define
class Outcomes:
    """Outcomes of one kind of request."""

    asked: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    held_s: list[float] = Factory(list)
    served: collections.Counter[str] = Factory(collections.Counter)
    asked_models: collections.Counter[str] = Factory(collections.Counter)


@define(eq=False)
class Holder:
    """Order holder of one data centre."""

    data_centre: str
    rate: LoadRateLimiter
    engine_states: dict[str, EngineState] = Factory(dict)
    planned_at: float = -1e9
    silent_until: dict[str, float] = Factory(dict)


@define(eq=False)
class Play:
    """One play of a day."""

    day: Day
    rng: random.Random
    engines: list[ModelledEngine]
    holders: list[Holder]
    store: WeightStore
    fleet: Fleet = Factory(Fleet)
    usage: Usage = Factory(Usage)
    now: float = 0.0
    waiting: list[Request] = Factory(list)
    later: list[tuple[float, Request]] = Factory(list)
    runs: dict[int, tuple[Run, Request, float]] = Factory(dict)
    outcomes: dict[str, Outcomes] = field(factory=lambda: collections.defaultdict(Outcomes))
    counts: collections.Counter[str] = Factory(collections.Counter)
    orders: collections.Counter[str] = Factory(collections.Counter)
    copies: list[int] = Factory(list)
    crashed: set[Crash] = Factory(set)
    noticed: list[tuple[float, str]] = Factory(list)
    ranks: dict[str, list[str]] = Factory(dict)
    delayed: list[tuple[float, str, ServerOrder]] = Factory(list)

    @classmethod
    def from_day(cls, day: Day, seed: int) -> "Play":
        """Start a play, with the busiest models on several engines and random ones on the disks."""
        rng = random.Random(seed)
        names = list(day.spec.models)
        centres = [f"dc{number}" for number in range(day.data_centres)]
        engines = [
            ModelledEngine(f"e{number}", centres[number % len(centres)], day.spec, day.disk_mb, 0.0)
            for number in range(day.engines)
        ]
        holders = [
            Holder(
                centre,
                LoadRateLimiter.from_bounds(day.spec.loads_per_s, 5.0, 1.1, day.data_centres),
            )
            for centre in centres
        ]
        play = cls(day, rng, engines, holders, WeightStore(day.loads_at_once))
        play.now = -day.lead_s
        for caller in day.callers:
            models = names[caller.first : caller.first + caller.models]
            rng.shuffle(models)
            play.ranks.setdefault(f"{caller.first}", models)
        play.place_first(names)
        return play

    def place_first(self, names: list[str]) -> None:
        """Place the models that engines start with."""
        busiest = [name for name, _ in self.list_weights(self.day.callers[0], -1.0)][:3]
        pool = busiest[:1] * (self.day.engines // 4) + busiest[1:] * 2
        others = [name for name in names if name not in busiest]
        self.rng.shuffle(others)
        pool += others
        for engine in self.engines:
            while pool and len(engine.models) < self.day.resident:
                name = next((name for name in pool if name not in engine.models), None)
                if name is None:
                    break
                pool.remove(name)
                engine.models.add(name)
            for name in (*self.rng.sample(names, 4), *sorted(engine.models)):
                engine._cache(engine.cached, name, self.day.disk_mb)
            engine.host_mb = self.day.host_mb
            engine.take_snapshot(self.now - 1.0)
            self.add_engine(engine)

    def add_engine(self, engine: ModelledEngine) -> None:
        """Let the fronts and holders know an engine that has started."""
        entry = engine.describe()
        self.fleet.apply(entry, self.now)
        for holder in self.holders:
            state = EngineState(
                entry.server_id, entry.started_ms, engine.data_centre == holder.data_centre
            )
            state.reported_at = self.now
            state.apply_report(engine.report(self.now + 1.0), self.now)
            holder.engine_states[entry.server_id] = state

    def find_engine(self, server_id: str) -> ModelledEngine | None:
        """Return the engine that has an id now."""
        name, _, started_ms = server_id.partition(".")
        engine = self.engines[int(name[1:])]
        return engine if engine.started_ms == int(started_ms) else None

    def list_weights(self, caller: Caller, at: float) -> list[tuple[str, float]]:
        """Return the models that a kind of request is for at a time, with their weights."""
        models = self.ranks[f"{caller.first}"]
        weights = [1.0 / (rank + 1) ** caller.skew for rank in range(caller.in_use)]
        weights[0] *= caller.top
        if caller.in_use == len(models):
            return list(zip(models, weights, strict=True))
        offset, part = 0, 0.0
        for shift in self.day.shifts:
            done = min(1.0, max(0.0, (at - shift) / self.day.shift_lasts_s))
            if done >= 1.0:
                offset += self.day.shift_count
            elif done > 0.0:
                part = done
        found: collections.Counter[str] = collections.Counter()
        for start, share in ((offset, 1.0 - part), (offset + self.day.shift_count, part)):
            for rank, weight in enumerate(weights):
                found[models[(start + rank) % len(models)]] += share * weight
        return found.most_common()

    def run(self) -> None:
        """Play the whole day."""
        counted_at = self.now
        while self.now < self.day.lasts_s:
            self.now = round(self.now + STEP_S, 6)
            self.crash_engines()
            for engine in self.engines:
                self.advance(engine)
            if self.now >= 0.0:
                for request in self.draw_arrivals():
                    self.place(request)
            for due, request in [each for each in self.later if each[0] <= self.now]:
                self.later.remove((due, request))
                self.place(request)
            self.check_waiting()
            self.carry_out_delayed()
            if self.now - counted_at >= COUNT_INTERVAL_S:
                self.report_counts()
                counted_at = self.now
            self.plan()
            self.copies.append(sum(len(engine.models) for engine in self.engines))

    def crash_engines(self) -> None:
        """Let engines crash, and return."""
        for crash in self.day.crashes:
            if crash in self.crashed or self.now < crash.at:
                continue
            self.crashed.add(crash)
            up = [engine for engine in self.engines if engine.is_up(self.now)]
            for engine in self.rng.sample(up, round(crash.share * len(self.engines))):
                self.noticed.append((self.now + CRASH_NOTICED_S, engine.describe().server_id))
                for run in engine.crash(self.now + crash.lasts_s, self.now):
                    _, request, _ = self.runs.pop(id(run))
                    self.refuse(request, LOST_RETRY_S)
        for at, server_id in [each for each in self.noticed if each[0] <= self.now]:
            self.noticed.remove((at, server_id))
            self.fleet.remove(server_id)
            for holder in self.holders:
                holder.engine_states.pop(server_id, None)
        for engine in self.engines:
            if engine.is_up(self.now) and self.fleet.get(engine.describe().server_id) is None:
                self.add_engine(engine)

    def advance(self, engine: ModelledEngine) -> None:
        """Advance an engine's runs and its order."""
        if not engine.is_up(self.now):
            return
        for run in engine.progress(STEP_S, self.now):
            _, request, begun_at = self.runs.pop(id(run))
            tally = Tally(runs=1, run_s=self.now - begun_at)
            self.usage.count(("svc", run.model, ""), tally, self.now)
        if engine.finish_order(self.now):
            self.fleet.apply(evolve(engine.describe(), changes=engine.orders), self.now)

    def draw_arrivals(self) -> Iterator[Request]:
        """Draw the requests of one step."""
        for caller in self.day.callers:
            times = 1.0
            for burst in self.day.bursts:
                if burst.caller == caller.name and 0 <= self.now - burst.at < burst.lasts_s:
                    times = burst.times
            expected = caller.per_s * times * STEP_S
            count = int(expected) + (self.rng.random() < expected % 1.0)
            names, weights = zip(*self.list_weights(caller, self.now), strict=True)
            for model in self.rng.choices(names, weights, k=count):
                self.outcomes[caller.name].asked += 1
                self.outcomes[caller.name].asked_models[model] += 1
                yield Request(caller, model, self.now)

    def place(self, request: Request) -> None:
        """Send a new request to an engine, let it wait for a load, or refuse it."""
        self.counts[request.model] += 1
        if self.send(request):
            return
        request.patience = CallerPatience(
            self.now,
            min(request.arrived_at + request.caller.deadline_s, self.now + request.caller.stall_s),
            request.caller.target_s,
        )
        if self.await_load(request):
            self.waiting.append(request)

    def await_load(self, request: Request) -> bool:
        """Let a request wait for a load, or on, and return whether; or refuse it."""
        self.usage.record_awaited(("svc", request.model, ""), self.now)
        records = self.fleet.list_service("svc")
        decision = decide_load_wait(
            self.day.spec, (request.model, ""), records, request.patience, self.now
        )
        if isinstance(decision, LoadWait):
            return True
        held_s = self.now - request.patience.since
        if held_s > 0.0:
            self.outcomes[request.caller.name].held_s.append(held_s)
        self.refuse(request, decision.available_in_s or FULL_RETRY_S)
        return False

    def send(self, request: Request) -> bool:
        """Send a request to the less loaded of two engines that hold its model."""
        holders = [
            engine for engine in self.engines if self.find_record(engine, request.model) is not None
        ]
        if not holders:
            return False
        engine = min(self.rng.sample(holders, min(2, len(holders))), key=ModelledEngine.count_runs)
        if not engine.is_up(self.now):
            self.refuse(request, SILENT_RETRY_S)
            return True
        if not engine.holds(request.model):
            return False
        if engine.count_runs() >= 1.5 * self.day.spec.slots:
            self.refuse(request, FULL_RETRY_S)
            return True
        caller = request.caller
        spread = caller.run_spread
        run_s = caller.run_s * self.rng.lognormvariate(-spread * spread / 2, spread)
        run = Run(request.model, run_s, caller.tokens)
        self.runs[id(run)] = (run, request, self.now)
        is_late = self.rng.random() < find_late_share(engine.count_runs() / self.day.spec.slots)
        engine.accept(run, self.now)
        first_s = self.now - request.arrived_at
        outcomes = self.outcomes[caller.name]
        outcomes.served[request.model] += 1
        if first_s <= caller.target_s and not is_late:
            outcomes.on_time += 1
        else:
            outcomes.late += 1
        return True

    def find_record(self, engine: ModelledEngine, model: str) -> ServerRecord | None:
        """Return the record of an engine that seems to hold a model."""
        record = self.fleet.get(f"{engine.name}.{engine.started_ms}")
        if record is None:
            old = f"{engine.name}.{engine.started_ms - 1}"
            record = self.fleet.get(old)
        return record if record is not None and record.holds(model, "") else None

    def check_waiting(self) -> None:
        """Send waiting requests whose model was loaded, and refuse those that waited too long."""
        self.waiting = [
            request
            for request in self.waiting
            if not self.send(request) and self.await_load(request)
        ]

    def refuse(self, request: Request, retry_after_s: float) -> None:
        """Refuse a request, whose caller returns once."""
        left_s = request.arrived_at + request.caller.deadline_s - self.now
        if request.tries_left > 0 and left_s > 0.0:
            request.tries_left -= 1
            self.later.append((self.now + min(retry_after_s, left_s / 3.0), request))
        else:
            self.outcomes[request.caller.name].refused += 1

    def report_counts(self) -> None:
        """Report the requests since the last report."""
        for model, count in self.counts.items():
            tokens = count * 550
            self.usage.count(("svc", model, ""), Tally(count, tokens), self.now)
        self.counts.clear()

    def plan(self) -> None:
        """Let each holder read reports and plan, and carry out its orders."""
        for holder in self.holders:
            for server_id, state in holder.engine_states.items():
                self.refresh(server_id, state)
        for holder in self.holders:
            self.share_states(holder)
        for holder in self.holders:
            if self.now - holder.planned_at < MODEL_PLAN_INTERVAL_S:
                continue
            holder.planned_at = self.now
            records = {
                server_id: record
                for server_id in holder.engine_states
                if (record := self.fleet.get(server_id)) is not None
            }
            states = {server_id: holder.engine_states[server_id] for server_id in records}
            plan = OrderPlan("svc", self.day.spec, states, records, self.usage, self.now, True)
            forget_served_targets(plan)
            for move in plan_models(plan, holder.rate):
                self.carry_out(holder, plan, move)

    def refresh(self, server_id: str, state: EngineState) -> None:
        """Read the report of an own engine whose order should be done."""
        engine = self.find_engine(server_id)
        if engine is None or not engine.is_up(self.now) or not state.is_local:
            return
        due = state.is_busy and self.now >= state.busy_until
        if due and self.now - state.read_at >= REPORT_REREAD_PAUSE_S:
            state.apply_report(engine.report(self.now), self.now)

    def share_states(self, holder: Holder) -> None:
        """Announce a holder's engines to the fronts and the other holders."""
        for server_id, state in holder.engine_states.items():
            record = self.fleet.get(server_id)
            if not state.is_local or record is None:
                continue
            held = {model: () for model in state.models}
            left_s = max(0.0, state.busy_until - self.now)
            record.held = {model: set() for model in held}
            record.unloading, record.loading = state.unloading, state.loading
            record.loaded_at = self.now + left_s
            for other in self.holders:
                known = other.engine_states.get(server_id)
                if known is None or known.is_local:
                    continue
                if state.loading and state.loading != known.loading:
                    if state.loading not in record.entry.cached_models:
                        other.rate.record_load(False, self.now)
                change = (state.loading, left_s, state.unloading)
                known.apply_holder_report(held, change, self.now)
                closed = self.now < holder.silent_until.get(server_id, -math.inf)
                reserved_model = state.find_reserved_model(self.now)
                known.apply_holder_plans(closed, reserved_model, self.now + COUNT_INTERVAL_S)

    def loses_answer(self) -> bool:
        """Draw whether the answer to an order is lost."""
        shares = (
            late.share for late in self.day.late_orders if 0.0 <= self.now - late.at < late.lasts_s
        )
        return self.rng.random() < sum(shares)

    def carry_out_delayed(self) -> None:
        """Let engines carry out orders whose answers were lost, unless they accepted another."""
        for due, server_id, order in [each for each in self.delayed if each[0] <= self.now]:
            self.delayed.remove((due, server_id, order))
            engine = self.find_engine(server_id)
            if engine is None or not engine.is_up(self.now) or engine.order is not None:
                continue
            held = order.model in engine.models
            if engine.orders != order.expected or held == (order.kind is OrderKind.LOAD):
                continue
            engine.start_order(order.kind, order.model, 1.0, self.now)

    def carry_out(self, holder: Holder, plan: OrderPlan, move: Move) -> None:
        """Give an order to an engine."""
        state, engine = holder.engine_states[move.server_id], self.find_engine(move.server_id)
        order = ServerOrder(move.kind, move.model, "h", 1, "", state.orders)
        if engine is None or not engine.is_up(self.now) or not state.has_room(order, self.day.spec):
            self.orders["held_back"] += 1
            return
        if self.now < holder.silent_until.get(move.server_id, -math.inf):
            return
        if engine.order is not None:
            self.orders["conflict"] += 1
            return
        if self.loses_answer():
            due = self.now + self.rng.uniform(ORDER_DELAY_MIN_S, ORDER_DELAY_MAX_S)
            self.delayed.append((due, move.server_id, order))
            state.unconfirmed.append(UnconfirmedOrder(order, self.now + UNCONFIRMED_S))
            holder.silent_until[move.server_id] = self.now + ORDER_TIMEOUT_S
            return
        spec = self.day.spec.models[move.model]
        record = plan.records[move.server_id]
        source, takes_s, slowdown = "", MODEL_UNLOAD_S, 1.0
        if move.kind is OrderKind.LOAD:
            takes_s = estimate_load_time(record, spec)
            source = " store" if is_from_store(plan, state, move.model) else " disk"
            if source == " store":
                slowdown = self.store.start(takes_s, self.now)
        engine.start_order(move.kind, move.model, slowdown, self.now)
        state.record_accepted(order, self.now + takes_s, False, self.now)
        if self.now >= 0.0:
            self.orders[f"{move.kind.value} {move.reason}"] += 1
            self.orders[f"{move.kind.value}{source}"] += 1


def find_late_share(use: float) -> float:
    """Return the share of streams that are late on an engine by its requests per slot."""
    before = (0.0, 0.0)
    for point in LATE_SHARES:
        if use <= point[0]:
            part = (use - before[0]) / (point[0] - before[0])
            return before[1] + part * (point[1] - before[1])
        before = point
    return before[1]
