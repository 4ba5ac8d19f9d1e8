"""Orders to engines, sent by the instance that holds the lease."""

import asyncio
import logging
import time
from collections.abc import Coroutine
from typing import Any

from attrs import define, field
from returns.result import Failure, Success

from rhubarbshed.coordination.serving.adapters import (
    forget_served_targets,
    plan_adapters,
    plan_prefetch,
)
from rhubarbshed.coordination.serving.lease_state import LeaseState
from rhubarbshed.coordination.serving.load_rate import LoadRateLimiter
from rhubarbshed.coordination.serving.order_plan import REPORT_AGE_MAX_S, Move, OrderPlan
from rhubarbshed.coordination.serving.placement import (
    estimate_load_time,
    is_from_store,
    plan_models,
)
from rhubarbshed.coordination.serving.placement_summary import PlacementSummary
from rhubarbshed.coordination.serving.update_queue import UpdateQueue
from rhubarbshed.platform.headers import STATUS_MISDIRECTED, announces_leaving
from rhubarbshed.platform.orders import make_order, make_report_call, read_order_end
from rhubarbshed.platform.records import read_report
from rhubarbshed.protocol.messages import HolderMessage, PlansMessage
from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.routes import EngineSpec
from rhubarbshed.protocol.servers import OrderEnd, ServerOrder
from rhubarbshed.protocol.tables import TableFault
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.state.placement.engine_states import UNCONFIRMED_S, EngineState, UnconfirmedOrder
from rhubarbshed.state.placement.usage import Target, Usage
from rhubarbshed.transport.edge.control import ControlAnswer, call_server
from rhubarbshed.transport.edge.metrics import FrontMetrics
from rhubarbshed.transport.edge.order_logs import (
    log_order,
    log_order_done,
    log_placement,
    log_report,
    log_unreadable_report,
    log_unserved,
)
from rhubarbshed.transport.edge.pools import Pool
from rhubarbshed.transport.edge.view import LatchedSignal, View
from rhubarbshed.util.clocks import read_lease_clock
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

ORDER_TIMEOUT_S = 0.6
"""Time for an engine's response to an order or a report call, which takes a few milliseconds."""

ANSWER_LATE_S = 0.1
"""Time without an answer after which other holders should not count on an engine."""

ADAPTER_LOAD_S = 0.03
"""Time after which an ordered adapter is available; loads take 5 to 10 ms."""

MODEL_UNLOAD_S = 0.5
"""Time after which an unloaded model should be gone, unless its runs are long."""

MODEL_PLAN_INTERVAL_S = 0.25
"""Time between two plans of models; an engine takes one order at a time for seconds."""

PLAN_PAUSE_MIN_S = 0.01
"""Shortest pause between two rounds; targets reported as awaited meanwhile are planned together."""

PLANNING_CPU_SHARE = 0.05
"""Part of the processor time that planning may take: on a slow instance rounds are less
frequent."""

PLACEMENT_LOG_INTERVAL_S = 2.0
"""Time between two log lines on what the engines of a service hold."""

REPORT_REREAD_PAUSE_S = 0.35
"""Pause before an engine's report is read again: it lags by some hundred milliseconds."""


@define
class OrderDispatcher:
    """Planner and sender of orders while the lease is held; `changed` requests a holder message.

    `busy` are engines with a call in flight, with the time since when.
    """

    view: View
    pool: Pool
    metrics: FrontMetrics
    lease_state: LeaseState
    usage: Usage = field(factory=Usage)
    engine_states: dict[str, EngineState] = field(factory=dict)
    rates: dict[str, LoadRateLimiter] = field(factory=dict)
    wake: LatchedSignal = field(factory=LatchedSignal)
    changed: LatchedSignal = field(factory=LatchedSignal)
    updates: UpdateQueue = field(factory=UpdateQueue)
    busy: dict[str, float] = field(factory=dict)
    tasks: set[asyncio.Task] = field(factory=set)
    unserved_logged_at: dict[Target, float] = field(factory=dict)
    placement_logged_at: dict[str, float] = field(factory=dict)
    summaries: dict[str, PlacementSummary] = field(factory=dict)

    async def run(self) -> None:
        """Plan and send orders forever, while the lease allows."""
        models_from = 0.0
        while True:
            await self.wake.wait(0.05)
            now = time.monotonic()
            if not self.may_order():
                if not self.lease_state.held:
                    self.engine_states.clear()
                    self.rates.clear()
                    self.summaries.clear()
                continue
            with_models = now >= models_from
            for service, engine in self.list_engines():
                self.plan_service(service, engine, with_models, now)
            took_s = time.monotonic() - now
            if with_models:
                models_from = now + max(MODEL_PLAN_INTERVAL_S, took_s / PLANNING_CPU_SHARE)
            await asyncio.sleep(max(PLAN_PAUSE_MIN_S, took_s))

    def may_order(self) -> bool:
        """Return whether this instance may give orders now."""
        return self.lease_state.may_order(read_lease_clock())

    def list_engines(self) -> list[tuple[str, EngineSpec]]:
        """List services of engines with their specifications by the operator."""
        configuration = self.view.configuration
        if configuration is None:
            return []
        return [
            (name, spec.engine)
            for name, spec in configuration.services.items()
            if spec.engine is not None and spec.engine.models
        ]

    def plan_service(self, service: str, engine: EngineSpec, with_models: bool, now: float) -> None:
        """Update the states of a service's engines, and send the orders that are due."""
        self.refresh_engine_states(service, now)
        plan = self.make_plan(service, engine, now)
        forget_served_targets(plan)
        moves = plan_adapters(plan)
        if with_models:
            rate = self.rates.get(service)
            if rate is None:
                rate = self.rates[service] = self.make_load_rate(service, engine)
                # The lease has a clock of its own, which counts suspensions.
                rate.not_before = now + self.lease_state.may_load_from - read_lease_clock()
            moves += plan_prefetch(plan, moves) or plan_models(plan, rate)
            log_unserved(plan, rate, self.unserved_logged_at)
            self.record_placement(plan)
        for server_id in {move.server_id for move in moves}:
            if server_id in self.busy:
                continue
            server_moves = [move for move in moves if move.server_id == server_id]
            self.busy[server_id] = now
            self.spawn(self.send_orders(plan, server_id, server_moves))

    def record_placement(self, plan: OrderPlan) -> None:
        """Keep and log what engines hold and do after a round, at most once in an interval."""
        logged_at = self.placement_logged_at.get(plan.service, -PLACEMENT_LOG_INTERVAL_S)
        if plan.now - logged_at < PLACEMENT_LOG_INTERVAL_S:
            return
        self.placement_logged_at[plan.service] = plan.now
        self.summaries[plan.service] = summary = plan.summarize()
        log_placement(plan, summary)

    def list_values(self) -> dict[str, float]:
        """Return the gauges of this holder's engines, summed over services."""
        summaries = self.summaries.values()
        return {
            "engines_changing": sum(each.changing for each in summaries),
            "engines_free_megabytes": sum(each.free_mb for each in summaries),
            "models_in_demand": sum(each.in_demand for each in summaries),
            "models_missing": sum(each.missing for each in summaries),
        }

    def make_load_rate(self, service: str, engine: EngineSpec) -> LoadRateLimiter:
        """Return the shared rate of loads; each data centre with engines has a holder."""
        servers = self.view.fleet.list_service(service)
        holders = max(1, len({record.entry.data_centre for record in servers}))
        settings = self.view.settings
        return LoadRateLimiter.from_bounds(
            engine.loads_per_s, settings.ceiling_window_s, settings.ceiling_overage, holders
        )

    def make_plan(self, service: str, engine: EngineSpec, now: float) -> OrderPlan:
        """Return the engines of a service as planning sees them."""
        records = {
            record.entry.server_id: record for record in self.view.fleet.list_service(service)
        }
        engine_states = {
            key: self.engine_states[key] for key in records if key in self.engine_states
        }
        records = {key: records[key] for key in engine_states}
        sees_all_engines = all(
            engine_state.is_local or now - engine_state.reported_at < REPORT_AGE_MAX_S
            for engine_state in engine_states.values()
        )
        return OrderPlan(
            service,
            engine,
            engine_states,
            records,
            self.usage,
            now,
            sees_all_engines,
            self.view.settings.has_pressure,
        )

    def refresh_engine_states(self, service: str, now: float) -> None:
        """Track servers that joined, left or restarted, and orders that should be complete."""
        for record in self.view.fleet.list_service(service):
            server_id, started_ms = record.entry.incarnation
            engine_state = self.engine_states.get(server_id)
            if engine_state is None or engine_state.started_ms != started_ms:
                is_local = record.entry.data_centre == self.view.settings.data_centre
                engine_state = self.engine_states[server_id] = EngineState(
                    server_id, started_ms, is_local
                )
                engine_state.models = set(record.entry.models)
            if not engine_state.is_local:
                continue
            if engine_state.complete_pending(now):
                self.mark_changed(server_id)
            if self.needs_report(engine_state, record, now) and server_id not in self.busy:
                engine_state.read_at = now
                self.busy[server_id] = now
                self.spawn(self.read_report(server_id))
        for server_id in [key for key in self.engine_states if self.view.fleet.get(key) is None]:
            del self.engine_states[server_id]

    def needs_report(self, engine_state: EngineState, record: ServerRecord, now: float) -> bool:
        """Return whether an engine has to be asked what it holds.

        Its entry in the store may be older than the last order, so it is no proof; where it differs
        from the known state, the engine itself is asked.
        """
        if now - engine_state.read_at < REPORT_REREAD_PAUSE_S:
            return False
        if engine_state.orders is None or engine_state.needs_reread:
            return True
        if engine_state.is_busy:
            return now >= engine_state.busy_until
        differs = set(record.entry.models) != engine_state.models
        return differs and record.seen_at > max(
            engine_state.read_at, engine_state.ordered_at + REPORT_REREAD_PAUSE_S
        )

    def handle_remote_message(self, message: HolderMessage, now: float) -> None:
        """Apply what the holder of another data centre announces of its engines."""
        changes = {change[0]: change[1:] for change in message.changes}
        for server_id, started_ms, held in message.held:
            engine_state = self.engine_states.get(server_id)
            if (
                engine_state is None
                or engine_state.started_ms != started_ms
                or engine_state.is_local
            ):
                continue
            change = changes.get(server_id, ("", 0.0, ""))
            self.count_remote_load(engine_state, change[0], now)
            if engine_state.apply_holder_report(dict(held), change, now):
                self.mark_changed(server_id)
        for server_id, engine_state in self.engine_states.items():
            record = self.view.fleet.get(server_id)
            if (
                engine_state.reported_at
                and record
                and record.entry.data_centre == message.data_centre
            ):
                engine_state.reported_at = now

    def handle_plans(self, message: PlansMessage, now: float) -> None:
        """Apply what the holder of another data centre plans for its engines."""
        reserved = dict(message.reserved)
        for server_id, engine_state in self.engine_states.items():
            record = self.view.fleet.get(server_id)
            if record is None or record.entry.data_centre != message.data_centre:
                continue
            if engine_state.is_local:
                continue
            closed = not message.gives_orders or server_id in message.closed
            reserved_model = reserved.get(server_id, "")
            engine_state.apply_holder_plans(closed, reserved_model, now + REPORT_AGE_MAX_S)

    def list_closed(self, now: float) -> tuple[str, ...]:
        """List own engines that take no order now, as they are unknown or do not answer."""
        return tuple(
            server_id
            for server_id, engine_state in self.engine_states.items()
            if engine_state.is_local
            and (now - self.busy.get(server_id, now) > ANSWER_LATE_S or not engine_state.is_known)
        )

    def list_reserved(self, now: float) -> tuple[tuple[str, str], ...]:
        """List own engines with the models for which they have or make room."""
        return tuple(
            (server_id, model)
            for server_id, engine_state in self.engine_states.items()
            if engine_state.is_local and (model := engine_state.find_reserved_model(now))
        )

    def list_known_engines(self, now: float) -> dict[str, EngineState]:
        """Return engines whose contents are known: own ones, and others as recently announced."""
        return {
            server_id: engine_state
            for server_id, engine_state in self.engine_states.items()
            if engine_state.is_known
            and (engine_state.is_local or now - engine_state.reported_at < REPORT_AGE_MAX_S)
        }

    def mark_changed(self, server_id: str) -> None:
        """Request a holder message on an engine."""
        self.updates.record_change(server_id)
        self.changed.fire()

    def record_missing(
        self, server_id: str, started_ms: int, model: str, adapter: str, now: float
    ) -> None:
        """Record an instance's report that an engine does not hold a model, or is down (no model).

        What is reported missing keeps its slot until the engine itself is asked or ordered.
        """
        record, engine_state = self.view.fleet.get(server_id), self.engine_states.get(server_id)
        if record is None or engine_state is None or engine_state.started_ms != started_ms:
            return
        if not model:
            if record.takes_work(now):
                record.record_unresponsive(now)
                log_event(LOG, logging.INFO, "server_down_told", server=server_id)
            return
        if adapter:
            engine_state.record_missing_adapter((model, adapter), now)
            self.mark_changed(server_id)
        elif model in engine_state.models:
            engine_state.needs_reread = True

    def count_remote_load(self, engine_state: EngineState, loading: str, now: float) -> None:
        """Count a load that another holder has started, if it may come from the weight store."""
        record = self.view.fleet.get(engine_state.server_id)
        if not loading or loading == engine_state.loading or record is None:
            return
        rate = self.rates.get(record.entry.service)
        cached_models = record.entry.cached_models
        if rate is not None and loading not in cached_models:
            rate.record_load(False, now)

    async def read_report(self, server_id: str) -> None:
        """Read an engine's report of what it holds."""
        try:
            record, engine_state = self.view.fleet.get(server_id), self.engine_states.get(server_id)
            if record is None or engine_state is None:
                return
            # Reports lag: one read too early would not include the last order.
            await asyncio.sleep(
                max(0.0, engine_state.ordered_at + REPORT_REREAD_PAUSE_S - time.monotonic())
            )
            address = (record.entry.host, record.entry.port)
            answer = await call_server(
                self.pool, address, make_report_call(server_id), ORDER_TIMEOUT_S
            )
            if isinstance(answer, Failure) or answer.unwrap().status != 200:
                log_event(LOG, logging.INFO, "report_unread", server=server_id)
                return
            self.note_leaving(record, answer.unwrap())
            report = read_report(answer.unwrap().body)
            if isinstance(report, Failure):
                self.metrics.count_unreadable("report")
                log_unreadable_report(server_id, report.failure())
                return
            now = time.monotonic()
            if report.unwrap().started_ms == engine_state.started_ms:
                loading, unloading = engine_state.loading, engine_state.unloading
                expected_s = engine_state.busy_until - engine_state.ordered_at
                engine_state.apply_report(report.unwrap(), now)
                if (loading or unloading) and not engine_state.is_busy:
                    kind = OrderKind.LOAD if loading else OrderKind.UNLOAD
                    log_order_done(engine_state, kind, loading or unloading, expected_s, now)
                self.mark_changed(server_id)
                log_report(engine_state, report.unwrap())
        finally:
            self.busy.pop(server_id, None)

    async def send_orders(self, plan: OrderPlan, server_id: str, moves: list[Move]) -> None:
        """Send one engine its orders, one after another."""
        try:
            for move in moves:
                engine_state = self.engine_states.get(server_id)
                if engine_state is None or engine_state.orders is None:
                    return
                end = await self.send_order(plan, engine_state, move)
                if end not in (OrderEnd.ACCEPTED, OrderEnd.ALREADY_DONE):
                    await asyncio.sleep(REPORT_REREAD_PAUSE_S)
                    self.busy.setdefault(server_id, time.monotonic())
                    await self.read_report(server_id)
                    return
        finally:
            self.busy.pop(server_id, None)
            self.wake.fire()

    async def send_order(self, plan: OrderPlan, engine_state: EngineState, move: Move) -> OrderEnd:
        """Send one order and record its outcome."""
        now = time.monotonic()
        record = self.view.fleet.get(engine_state.server_id)
        if record is None or not self.may_order():
            return OrderEnd.NOT_SENT
        order = ServerOrder(
            move.kind,
            move.model,
            self.view.settings.name,
            self.lease_state.token,
            move.adapter,
            engine_state.orders,
        )
        if not engine_state.has_room(order, plan.engine):
            log_event(
                LOG,
                logging.INFO,
                "order_held_back",
                server=engine_state.server_id,
                model=move.model,
            )
            return OrderEnd.NOT_SENT
        from_store = not move.adapter and is_from_store(plan, engine_state, move.model)
        takes_s = estimate_order_time(plan, record, move)
        # Recorded before it is sent: an order without a response may still be carried out.
        unconfirmed_order = UnconfirmedOrder(order, now + UNCONFIRMED_S)
        engine_state.unconfirmed.append(unconfirmed_order)
        end = await self.call_engine(record, order)
        now = time.monotonic()
        if end is not OrderEnd.UNKNOWN and unconfirmed_order in engine_state.unconfirmed:
            engine_state.unconfirmed.remove(unconfirmed_order)
        if end in (OrderEnd.ACCEPTED, OrderEnd.ALREADY_DONE):
            self.apply_accepted(engine_state, order, end, now + takes_s, now)
        if end is OrderEnd.NOT_SENT and self.may_order():
            record.record_unresponsive(now)
        self.metrics.count_order(move.kind.value, end.value)
        log_order(plan, engine_state, move, order, end, from_store)
        return end

    async def call_engine(self, record: ServerRecord, order: ServerOrder) -> OrderEnd:
        """Send an order and return the outcome that the engine's response means."""
        address = (record.entry.host, record.entry.port)
        sent = make_order(order, record.entry.server_id)
        answer = await call_server(self.pool, address, sent, ORDER_TIMEOUT_S, self.may_order)
        if isinstance(answer, Success):
            self.note_leaving(record, answer.unwrap())
            return read_order_end(answer.unwrap().status)
        if answer.failure().fault is TableFault.UNAVAILABLE:
            return OrderEnd.NOT_SENT
        return OrderEnd.UNKNOWN

    def note_leaving(self, record: ServerRecord, answer: ControlAnswer) -> None:
        """Record an engine that says that it leaves; another one may have its address."""
        if answer.status != STATUS_MISDIRECTED and announces_leaving(answer.headers):
            self.view.record_leaving(record, time.monotonic())

    def apply_accepted(
        self,
        engine_state: EngineState,
        order: ServerOrder,
        end: OrderEnd,
        done_at: float,
        now: float,
    ) -> None:
        """Apply an order that was accepted, or that found its target already held."""
        if end is OrderEnd.ALREADY_DONE and order.kind is OrderKind.LOAD:
            engine_state.record_held(order, now)
        else:
            engine_state.record_accepted(order, done_at, end is OrderEnd.ALREADY_DONE, now)
        self.mark_changed(engine_state.server_id)
        if order.adapter and order.kind is OrderKind.LOAD:
            loop = asyncio.get_running_loop()
            loop.call_later(ADAPTER_LOAD_S, self.wake.fire)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def estimate_order_time(plan: OrderPlan, record: ServerRecord, move: Move) -> float:
    """Return the seconds after which an order should be carried out."""
    if move.adapter:
        return ADAPTER_LOAD_S
    if move.kind is OrderKind.LOAD:
        return estimate_load_time(record, plan.engine.models[move.model])
    return MODEL_UNLOAD_S
