"""Orders to engines: awaited models and adapters are loaded, by one holder, within room."""

import asyncio
import logging
import time

import pytest
from returns.result import Success

from rhubarbshed.coordination.serving.adapters import (
    forget_served_targets,
    plan_adapters,
    plan_prefetch,
)
from rhubarbshed.coordination.serving.load_rate import LoadRateLimiter
from rhubarbshed.coordination.serving.order_plan import OrderPlan
from rhubarbshed.coordination.serving.placement import plan_models
from rhubarbshed.protocol.messages import PlansMessage
from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.routes import EngineSpec, ModelSpec
from rhubarbshed.protocol.servers import ServerOrder, ServerReport
from rhubarbshed.state.membership.fleet import Fleet
from rhubarbshed.state.placement.engine_states import RECENT_LOAD_S, EngineState, UnconfirmedOrder
from rhubarbshed.state.placement.usage import Tally, Usage
from rhubarbshed.transport.edge.holder_messages import list_held
from rhubarbshed.transport.edge.holder_protocol import KnownHolder
from rhubarbshed.transport.edge.node import Node
from standin.replica import Exchange, Replica
from test.helper_edge import (
    make_configuration,
    make_engine_service,
    make_route,
    make_settings,
    play,
    run_edge,
)
from test.test_edge_choice import make_entry

NOW = 1000.0
STREAM = make_route("streaming", "/s/", Resumable=True, TargetGapMs=150, TargetLatencyMs=1000)


def make_engine(places: int = 4, **models: int) -> EngineSpec:
    specs = {
        name: ModelSpec(name, 60.0, 4.0, 0.8, 0.5, count, 1.0) for name, count in models.items()
    }
    return EngineSpec(8, 1000, 200.0, places, 1.6, specs)


def make_plan(engine: EngineSpec, usage: Usage, **held: dict[str, list[str]]) -> OrderPlan:
    fleet = Fleet()
    engine_states = {}
    for name, models in held.items():
        entry = make_entry(name, models=models)
        fleet.apply(entry, NOW)
        engine_state = engine_states[name] = EngineState(name, 1, orders=0)
        models_held = {key: frozenset(names) for key, names in models.items()}
        engine_state.apply_report(ServerReport(models_held, False, 0, 0, 0, 0, 0, 1), NOW)
    return OrderPlan("svc", engine, engine_states, dict(fleet.servers), usage, NOW)


def make_rate(limit: int = 9) -> LoadRateLimiter:
    return LoadRateLimiter(limit, 5.0, 1)


def test_model_that_a_caller_waits_for_takes_free_room_first():
    usage = Usage()
    usage.record_awaited(("svc", "m9", ""), NOW)
    engine = make_engine(m1=0, m2=0, m3=0, m9=0)
    plan = make_plan(engine, usage, b1={"m1": [], "m2": [], "m3": []}, b2={"m1": []})
    moves = plan_models(plan, make_rate())
    assert [(move.server_id, move.kind, move.model) for move in moves][0] == (
        "b2",
        OrderKind.LOAD,
        "m9",
    )


def test_room_is_made_by_a_second_copy_and_not_by_the_only_copy_in_use():
    usage = Usage()
    for _ in range(40):
        usage.count(("svc", "m1", ""), Tally(1), NOW)
        usage.count(("svc", "m2", ""), Tally(1), NOW)
    usage.record_awaited(("svc", "m9", ""), NOW)
    engine = make_engine(m1=0, m2=0, m3=0, m9=0)
    held = {"m1": [], "m2": [], "m3": []}
    moves = plan_models(make_plan(engine, usage, b1=held, b2=held), make_rate())
    assert [move.model for move in moves if move.kind is OrderKind.UNLOAD] == ["m3"]


def test_demand_that_moves_brings_a_copy_where_the_old_one_idles():
    usage = Usage()
    for _ in range(60):
        usage.count(("svc", "m9", ""), Tally(1), NOW)
    engine = make_engine(m1=0, m2=0, m3=0, m9=0)
    held = {"m1": [], "m2": [], "m3": []}
    moves = plan_models(make_plan(engine, usage, b1=held, b2=held), make_rate())
    assert moves and moves[0].kind is OrderKind.UNLOAD


@pytest.mark.parametrize(("requests", "chosen"), [(60, "b1"), (0, "b2")])
def test_model_in_demand_is_loaded_on_a_fast_engine_and_a_rare_one_on_a_slow_one(requests, chosen):
    """A copy on a slow engine answered fewer requests, and its streams came late."""
    engine, usage = make_engine(m1=0), Usage()
    for _ in range(requests):
        usage.count(("svc", "m1", ""), Tally(1), NOW)
    usage.record_awaited(("svc", "m1", ""), NOW)
    first = []
    for slowness in ({"b1": 0.6, "b2": 1.6}, {"b1": 1.6, "b2": 0.6}):
        plan = make_plan(engine, usage, b1={}, b2={})
        for name, value in slowness.items():
            plan.records[name].record_load_sample(0, 0, NOW, value)
        first.append(plan_models(plan, make_rate())[0].server_id)
    other = {"b1": "b2", "b2": "b1"}[chosen]
    assert first == [chosen, other]


def test_engine_without_an_entry_is_neither_a_holder_nor_gets_orders():
    usage = Usage()
    usage.record_awaited(("svc", "m1", ""), NOW)
    engine = make_engine(m1=0)
    plan = make_plan(engine, usage, b1={"m1": []}, b2={}, b3={})
    plan.records["b1"].missing_since = NOW
    assert [move.server_id for move in plan_models(plan, make_rate())][0] in ("b2", "b3")
    for record in plan.records.values():
        record.missing_since = NOW
    plan = make_plan(engine, usage, b1={"m1": []}, b2={}, b3={})
    for record in plan.records.values():
        record.missing_since = NOW
    assert plan_models(plan, make_rate()) == [], "all entries missing: the store was unavailable"


def test_engine_that_does_not_answer_orders_is_left_out_for_a_while():
    usage = Usage()
    usage.record_awaited(("svc", "m1", ""), NOW)
    plan = make_plan(make_engine(m1=0), usage, b1={})
    plan.records["b1"].record_unresponsive(NOW)
    assert plan_models(plan, make_rate()) == []


def test_loads_keep_under_the_ceiling_of_the_weight_store():
    usage = Usage()
    for name in ("m1", "m2", "m3"):
        usage.record_awaited(("svc", name, ""), NOW)
    engine = make_engine(m1=0, m2=0, m3=0)
    plan = make_plan(engine, usage, b1={}, b2={}, b3={})
    assert len(plan_models(plan, make_rate(limit=1))) == 1


def test_holders_keep_under_the_ceiling_together_whether_they_hear_each_other_or_not():
    for sees_all_engines in (True, False):
        rates = [LoadRateLimiter.from_bounds(1.6, 5.0, 1.1, 3) for _ in range(3)]
        begun = []
        for step in range(400):
            now = NOW + step * 0.05
            starting = [rate for rate in rates if rate.allows(sees_all_engines, now)]
            for rate in starting:
                begun.append(now)
                for other in rates:
                    if other is rate or sees_all_engines:
                        other.record_load(other is rate, now)
        for at in begun:
            assert sum(1 for each in begun if at <= each < at + 5.0) <= 1.6 * 5 * 1.1 + 3
        assert len(begun) > 15


def test_wanted_adapter_takes_the_place_of_the_one_least_asked_for():
    usage = Usage()
    for adapter, count in (("a1", 9), ("a2", 1), ("a3", 9)):
        usage.count(("svc", "m1", adapter), Tally(count), NOW)
    usage.record_awaited(("svc", "m1", "a4"), NOW)
    plan = make_plan(make_engine(3, m1=4), usage, b1={"m1": ["a1", "a2", "a3"]})
    moves = plan_adapters(plan)
    assert [(move.kind, move.adapter) for move in moves] == [
        (OrderKind.UNLOAD, "a2"),
        (OrderKind.LOAD, "a4"),
    ]


def test_adapter_that_was_just_loaded_is_not_dropped_before_its_caller_has_used_it():
    usage = Usage()
    usage.record_awaited(("svc", "m1", "a3"), NOW)
    usage.record_awaited(("svc", "m1", "a4"), NOW)
    plan = make_plan(make_engine(2, m1=4), usage, b1={"m1": ["a1", "a2"]})
    engine_state = plan.engine_states["b1"]
    engine_state.adapters = {("m1", "a1"): NOW - 5.0, ("m1", "a2"): NOW - 0.1}
    assert [move.adapter for move in plan_adapters(plan)] == ["a1", "a3"]
    engine_state.adapters = {("m1", "a1"): NOW - 0.1, ("m1", "a2"): NOW - 0.1}
    assert plan_adapters(plan) == []


def test_adapter_that_is_loaded_for_a_caller_is_not_loaded_ahead_in_the_same_round():
    usage = Usage()
    usage.record_awaited(("svc", "m1", "a3"), NOW)
    plan = make_plan(make_engine(3, m1=4), usage, b1={"m1": []}, b2={"m1": []})
    wanted = plan_adapters(plan)
    assert [move.adapter for move in wanted] == ["a3"]
    ahead = plan_prefetch(plan, wanted)
    assert ahead and wanted[0].server_id not in {move.server_id for move in ahead}
    assert "a3" not in [move.adapter for move in ahead]


def test_wants_of_adapters_are_served_in_the_order_in_which_they_came():
    usage = Usage()
    usage.record_awaited(("svc", "m1", "a4"), NOW - 0.6)
    usage.record_awaited(("svc", "m1", "a3"), NOW - 0.3)
    usage.record_awaited(("svc", "m1", "a4"), NOW - 0.2)
    plan = make_plan(make_engine(4, m1=4), usage, b1={"m1": []})
    assert [move.adapter for move in plan_adapters(plan)] == ["a4", "a3"]


def test_want_that_was_met_does_not_bring_its_adapter_back_after_it_made_way():
    usage = Usage()
    for adapter in ("a1", "a2", "a3"):
        usage.record_awaited(("svc", "m1", adapter), NOW)
    plan = make_plan(make_engine(1, m1=3), usage, b1={"m1": ["a1"]})
    forget_served_targets(plan)
    assert [target[2] for target in usage.list_awaited(NOW - 1.0)] == ["a2", "a3"]
    plan = make_plan(make_engine(1, m1=3), usage, b1={"m1": ["a2"]})
    forget_served_targets(plan)
    assert [move.adapter for move in plan_adapters(plan)] == ["a2", "a3"]


def test_order_without_an_answer_counts_until_a_newer_one_is_accepted():
    engine = make_engine(2, m1=4)
    engine_state = EngineState("b1", 1, orders=3)
    engine_state.models = {"m1"}
    engine_state.adapters = {("m1", "a1"): NOW}
    lost = ServerOrder(OrderKind.LOAD, "m1", "i1", 7, "a2", 3)
    engine_state.unconfirmed.append(UnconfirmedOrder(lost, NOW + 13))
    another = ServerOrder(OrderKind.LOAD, "m1", "i1", 7, "a3", 3)
    assert not engine_state.has_room(another, engine)
    engine_state.apply_report(
        ServerReport({"m1": frozenset(["a1"])}, False, 3, 0, 0, 0, 0, 1), NOW + 1
    )
    assert not engine_state.has_room(another, engine), "it may still be carried out"
    engine_state.record_accepted(
        ServerOrder(OrderKind.UNLOAD, "m1", "i1", 7, "a1", 3), NOW, True, NOW
    )
    assert engine_state.has_room(another, engine)


def test_engine_that_says_it_holds_an_adapter_no_longer_lacks_it():
    engine_state = EngineState("b1", 1, orders=3)
    engine_state.models = {"m1"}
    engine_state.adapters = {("m1", "a1"): NOW - 9.0}
    engine_state.record_missing_adapter(("m1", "a1"), NOW)
    assert not engine_state.has_adapter(("m1", "a1")) and engine_state.count_adapter_slots() == 1
    engine_state.record_held(ServerOrder(OrderKind.LOAD, "m1", "i1", 7, "a1", 3), NOW)
    assert engine_state.has_adapter(("m1", "a1"))


@pytest.mark.parametrize("reports", (((0.3, False), (0.5, True)), ((0.3, True), (1.5, True))))
def test_adapter_reported_missing_elsewhere_is_announced_once_its_holder_has_it_again(reports):
    """The mark at the order holder of the other data centre stayed, and its callers were refused.

    The engine's own holder may have loaded the adapter between two of its announcements.
    """
    engine_state = EngineState("b1", 1, is_local=False)
    nothing = ("", 0.0, "")
    engine_state.apply_holder_report({"m1": ("a1",)}, nothing, NOW - 9.0)
    engine_state.record_missing_adapter(("m1", "a1"), NOW)
    assert list_held([engine_state]) == (("b1", 1, (("m1", ()),)),)
    for after_s, is_held in reports:
        held = {"m1": ("a1",) if is_held else ()}
        changed = engine_state.apply_holder_report(held, nothing, NOW + after_s)
    assert changed and list_held([engine_state]) == (("b1", 1, (("m1", ("a1",)),)),)


def test_plans_of_a_former_holder_are_not_applied_and_those_of_others_close_no_own_engine():
    async def scene():
        service = make_engine_service({"m1": 0})
        configuration = make_configuration(STREAM, Services=[service])
        engines = [*make_engines("b1"), *make_engines("b2")]
        engines[1].data_centre = "b"
        async with run_edge(configuration, *engines) as edge:
            await edge.wait_until(lambda: edge.node.lease.lease_state.held)
            dispatcher, protocol = edge.node.dispatcher, edge.node.holder_protocol
            await edge.wait_until(lambda: len(dispatcher.engine_states) == 2)
            now = time.monotonic()
            protocol.holders["b"] = KnownHolder(("127.0.0.9", 1), 7, now, 1)
            for token, closes in ((6, False), (7, True)):
                plans = PlansMessage("i9", "b", token, True, ("b1", "b2"), (("b2", "m1"),))
                protocol.handle_datagram(Success(plans), ("127.0.0.9", 1))
                assert (dispatcher.engine_states["b2"].closed_until > now) == closes
            assert dispatcher.engine_states["b1"].closed_until < now
            assert dispatcher.engine_states["b2"].find_reserved_model(now) == "m1"
            plans = PlansMessage("i9", "b", 8, False)
            protocol.handle_datagram(Success(plans), ("127.0.0.9", 1))
            assert dispatcher.engine_states["b2"].closed_until > now, "it gives no orders"
            assert dispatcher.engine_states["b2"].find_reserved_model(now) == ""

    play(scene)


def test_model_order_without_an_answer_counts_in_memory():
    engine = make_engine(2, m1=0, m2=0, m3=0, m4=0)
    engine_state = EngineState("b1", 1, orders=0)
    engine_state.models = {"m1", "m2"}
    order = ServerOrder(OrderKind.LOAD, "m4", "i1", 7, "", 0)
    assert engine_state.has_room(order, engine)
    lost = ServerOrder(OrderKind.LOAD, "m3", "i1", 7, "", 0)
    engine_state.unconfirmed.append(UnconfirmedOrder(lost, NOW + 13))
    assert not engine_state.has_room(order, engine)


def test_engine_that_is_busy_for_a_former_holder_gets_no_order():
    """What it loads is not in its report yet, so its free room is unknown."""
    usage = Usage()
    usage.record_awaited(("svc", "m2", ""), NOW)
    plan = make_plan(make_engine(m1=0, m2=0), usage, b1={"m1": []})
    engine_state = plan.engine_states["b1"]
    held = {"m1": frozenset()}
    engine_state.apply_report(ServerReport(held, True, 4, 0, 0, 0, 0, 1), NOW)
    assert plan_models(plan, make_rate()) == []
    engine_state.apply_report(ServerReport(held, False, 4, 0, 0, 0, 0, 1), NOW)
    next_round = OrderPlan("svc", plan.engine, plan.engine_states, plan.records, usage, NOW)
    assert len(plan_models(next_round, make_rate())) == 1


async def reply_with_stream(exchange: Exchange) -> None:
    """Answer as an engine: with a stream if it holds the model and adapter, else with 421."""
    model, _, adapter = exchange.headers["rhubarbshed-model"].partition("/")
    held = exchange.replica.models
    if model not in held or (adapter and adapter not in held[model]):
        exchange.answer(421, b"", signed=False)
        return
    exchange.begin_stream()
    exchange.send_event(1)
    exchange.end_stream()


def make_engines(*names: str, **models: list[str]) -> list[Replica]:
    return [
        Replica(
            name,
            models={model: list(held) for model, held in models.items()},
            reply=reply_with_stream,
        )
        for name in names
    ]


def test_adapters_and_models_are_loaded_when_they_are_asked_for():
    async def scene():
        service = make_engine_service({"m1": 9, "m2": 0}, places=3)
        configuration = make_configuration(STREAM, Services=[service])
        async with run_edge(configuration, *make_engines("b1", "b2", m1=[])) as edge:
            await edge.wait_until(lambda: edge.node.lease.lease_state.held)
            for number in (1, 2, 3, 4, 5, 6, 7, 8, 9, 1):
                answer = await edge.ask("/s/x", b"p", Rhubarbshed_Model=f"m1/a{number}")
                assert answer.status == 200, f"a{number}"
                for replica in edge.replicas:
                    assert len(replica.models["m1"]) <= 3
            answer = await edge.ask("/s/x", b"p", Rhubarbshed_Model="m2")
            assert answer.status == 200

    play(scene)


def test_model_that_is_configured_nowhere_is_refused_at_once():
    async def scene():
        service = make_engine_service({"m1": 0})
        configuration = make_configuration(STREAM, Services=[service])
        async with run_edge(configuration, *make_engines("b1", m1=[])) as edge:
            loop = asyncio.get_running_loop()
            begun = loop.time()
            answer = await edge.ask("/s/x", b"p", Rhubarbshed_Model="m7")
            assert answer.status == 503 and loop.time() - begun < 0.5

    play(scene)


def test_model_of_an_engine_that_crashed_is_loaded_elsewhere_before_its_entry_goes():
    async def scene():
        service = make_engine_service({"m1": 0})
        configuration = make_configuration(STREAM, Services=[service])
        engines = make_engines("b1", m1=[]) + make_engines("b2")
        async with run_edge(configuration, *engines) as edge:
            await edge.wait_until(lambda: edge.node.lease.lease_state.held)
            other = Node.from_settings(make_settings(edge.store.address, name="i2"), "")
            task = asyncio.create_task(other.run())
            await edge.wait_until(lambda: len(edge.node.holder_protocol.instances) == 1)
            engines[1].models.clear()
            await engines[0].stop()
            first, edge.node = edge.node, other
            answer = await edge.ask("/s/x", b"p", Rhubarbshed_Model="m1")
            edge.node = first
            assert answer.status == 200 and len(engines[1].got) >= 1
            other.stop.set()
            other.view.drain.announce_s = 0.0
            await task

    play(scene)


def test_caller_of_a_model_whose_engines_are_down_is_asked_back_once_it_may_be_loaded():
    """It was asked back after 0.3 s, and refused again: its load takes seconds."""

    async def scene():
        service = make_engine_service({"m1": 0})
        service["Engine"]["Models"][0]["LoadTimeS"] = 3.0
        configuration = make_configuration(STREAM, Services=[service])
        engines = make_engines("b1", m1=[]) + make_engines("b2")
        engines[1].refuse_orders = True
        async with run_edge(configuration, *engines) as edge:
            await engines[0].stop()
            answer = await edge.ask("/s/x", b"p", Rhubarbshed_Model="m1")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) >= 3.0

    play(scene)


def test_request_goes_back_to_an_engine_that_lacked_its_adapter_once_it_is_loaded():
    async def scene():
        service = make_engine_service({"m1": 3})
        configuration = make_configuration(STREAM, Services=[service])
        async with run_edge(configuration, *make_engines("b1", m1=[])) as edge:
            await edge.wait_until(lambda: edge.node.lease.lease_state.held)
            await edge.wait_until(lambda: len(edge.replicas[0].models["m1"]) == 3)
            await asyncio.sleep(RECENT_LOAD_S + 0.3)
            edge.replicas[0].models["m1"].remove("a2")
            answer = await edge.ask("/s/x", b"p", Rhubarbshed_Model="m1/a2")
            assert answer.status == 200

    play(scene)


def test_want_that_lasts_leaves_a_line_with_what_keeps_it_waiting(caplog):
    async def scene():
        caplog.set_level(logging.INFO)
        service = make_engine_service({"m1": 0, "m2": 0})
        route = make_route("streaming", "/s/", TimeoutMs=20_000, TargetLatencyMs=5_000)
        configuration = make_configuration(route, Services=[service])
        engines = make_engines("b1", m1=[])
        engines[0].refuse_orders = True
        async with run_edge(configuration, *engines) as edge:
            await edge.wait_until(lambda: edge.node.lease.lease_state.held)
            asking = asyncio.create_task(edge.ask("/s/x", b"p", Rhubarbshed_Model="m2"))
            await asyncio.sleep(1.8)
            told = [each for each in caplog.records if each.getMessage() == "want_unserved"]
            assert len(told) == 1 and told[0].pairs["model"] == "m2"
            await asking

    play(scene)


def test_line_of_a_round_says_what_is_missing_and_why_nothing_is_ordered_for_it(caplog):
    async def scene():
        caplog.set_level(logging.INFO)
        service = make_engine_service({"m1": 0, "m2": 0})
        route = make_route("streaming", "/s/", TimeoutMs=20_000, TargetLatencyMs=5_000)
        configuration = make_configuration(route, Services=[service])
        engines = make_engines("b1", m1=[])
        async with run_edge(configuration, *engines) as edge:
            await edge.wait_until(lambda: edge.node.lease.lease_state.held)
            answer = await edge.ask("/s/x", b"p", Rhubarbshed_Model="m2")
            assert answer.status == 200
            pairs = [(each.getMessage(), getattr(each, "pairs", {})) for each in caplog.records]
            done = [fields for event, fields in pairs if event == "order_done"]
            assert done[0]["kind"] == "load" and done[0]["model"] == "m2"
            placed = [fields for event, fields in pairs if event == "placement"]
            assert placed[0].keys() >= {"free_mb", "changing", "missing", "postponed_no_room"}
            waits = [fields for event, fields in pairs if event == "request_ended"]
            assert waits[0].get("load_wait") in ("on_time", None)
            text = edge.node.metrics.render(edge.node.dispatcher.list_values()).decode()
            assert "rhubarbshed_models_missing" in text

    play(scene)


def test_caller_that_waits_for_a_load_is_sent_elsewhere_when_the_instance_stops():
    async def scene():
        service = make_engine_service({"m1": 0, "m2": 0})
        route = make_route("streaming", "/s/", TimeoutMs=20_000, TargetLatencyMs=5_000)
        configuration = make_configuration(route, Services=[service])
        engines = make_engines("b1", m1=[])
        engines[0].refuse_orders = True
        async with run_edge(configuration, *engines) as edge:
            edge.node.view.drain.announce_s = 0.3
            asking = asyncio.create_task(
                edge.ask(
                    "/s/x", b"p", Rhubarbshed_Model="m2", Rhubarbshed_Deadline_Remaining="20000"
                )
            )
            await asyncio.sleep(0.3)
            assert not asking.done()
            edge.node.stop.set()
            answer = await asyncio.wait_for(asking, 0.5)
            assert answer.status == 503 and answer.whole and "retry-after" in answer.headers

    play(scene)


def test_two_instances_give_orders_one_after_the_other_and_share_what_they_know():
    async def scene():
        service = make_engine_service({"m1": 9}, places=3)
        configuration = make_configuration(STREAM, Services=[service])
        engines = make_engines("b1", m1=[])
        async with run_edge(configuration, *engines) as edge:
            await edge.wait_until(lambda: edge.node.lease.lease_state.held)
            other = Node.from_settings(make_settings(edge.store.address, name="i2"), "")
            task = asyncio.create_task(other.run())
            await edge.wait_until(lambda: other.view.is_ready)
            await edge.wait_until(lambda: len(edge.node.holder_protocol.instances) == 1)
            first, edge.node = edge.node, other
            answer = await edge.ask("/s/x", b"p", Rhubarbshed_Model="m1/a9")
            edge.node = first
            assert answer.status == 200
            assert other.view.budget.instances == 2
            assert {order["Holder"] for order in engines[0].ordered} == {"i1"}
            calls = len(edge.store.calls)
            edge.store.put("servers", "b1", engines[0].describe(State="draining", Seq=7))
            await edge.wait_until(lambda: other.view.fleet.get("b1").leaving_at is not None)
            told = [call for call in edge.store.calls[calls:] if "Table=servers" in call]
            assert len(told) <= 1, "only the order holder reads the store"
            other.stop.set()
            other.view.drain.announce_s = 0.0
            await task

    play(scene)


def test_engine_is_asked_when_its_entry_is_older_than_our_order():
    """An entry without the model that was just loaded must not free its memory."""

    async def scene():
        service = make_engine_service({"m1": 0, "m2": 0, "m3": 0, "m4": 0})
        configuration = make_configuration(STREAM, Services=[service])
        async with run_edge(configuration, *make_engines("b1", m1=[], m2=[])) as edge:
            await edge.wait_until(lambda: edge.node.lease.lease_state.held)
            old = edge.replicas[0].describe(Seq=2)
            await edge.wait_until(lambda: len(edge.replicas[0].models) == 3)
            for number in range(3, 9):
                edge.store.put("servers", "b1", {**old, "Seq": number, "Slots": number})
                await asyncio.sleep(0.3)
                assert len(edge.replicas[0].models) <= 3

    play(scene)
