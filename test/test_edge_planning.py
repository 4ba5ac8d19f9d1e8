"""Planning round at the size of the grown deployments."""

import random
import time

from attrs import evolve

from rhubarbshed.coordination.serving.adapters import (
    forget_served_targets,
    plan_adapters,
    plan_prefetch,
)
from rhubarbshed.coordination.serving.load_rate import LoadRateLimiter
from rhubarbshed.coordination.serving.order_plan import OrderPlan
from rhubarbshed.coordination.serving.placement import plan_models
from rhubarbshed.coordination.serving.placement_summary import Postponement
from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.routes import EngineSpec, ModelSpec
from rhubarbshed.protocol.servers import ServerOrder, ServerReport
from rhubarbshed.state.membership.fleet import Fleet
from rhubarbshed.state.placement.engine_states import EngineState
from rhubarbshed.state.placement.usage import Tally, Usage
from test.test_edge_choice import make_entry

NOW = 1000.0
ENGINES, MODELS, WANTS = 56, 135, 30
ROUND_S = 0.0625
"""Most processor time of a round: a quarter of the time between two rounds of models."""


def make_models(chance: random.Random) -> dict[str, ModelSpec]:
    return {
        f"m{number}": ModelSpec(
            f"m{number}", chance.uniform(42, 72), 4.0, 0.8, 0.5, chance.choice((0, 0, 8)), 0.1
        )
        for number in range(MODELS)
    }


def hold_at_random(
    chance: random.Random, models: dict[str, ModelSpec], room_mb: float
) -> dict[str, list[str]]:
    held: dict[str, list[str]] = {}
    for name in chance.sample(sorted(models), 3):
        if models[name].size_mb < room_mb:
            room_mb -= models[name].size_mb
            held[name] = ["a1"][: models[name].adapters]
    return held


def make_large_plan(seed: int) -> OrderPlan:
    chance = random.Random(seed)
    models = make_models(chance)
    engine = EngineSpec(12, 40_000, 200.0, 5, 16.0, models)
    fleet, engine_states, usage = Fleet(), {}, Usage()
    usage.since = NOW - 100
    for number in range(ENGINES):
        held = hold_at_random(chance, models, engine.weights_mb)
        name = f"b{number}"
        fleet.apply(make_entry(name, models=held), NOW)
        engine_state = engine_states[name] = EngineState(
            name, 1, is_local=number % 4 == 0, reported_at=NOW
        )
        frozen = {model: frozenset(names) for model, names in held.items()}
        engine_state.apply_report(ServerReport(frozen, False, 0, 0, 0, 0, 0, 1), NOW)
    for rank, name in enumerate(models, 1):
        usage.count(("svc", name, ""), Tally(400 // rank), NOW)
    for name in chance.sample(sorted(models), WANTS):
        usage.record_awaited(("svc", name, "a1" if models[name].adapters else ""), NOW)
    return OrderPlan("svc", engine, engine_states, dict(fleet.servers), usage, NOW)


def test_round_at_grown_size_takes_a_small_part_of_the_time_between_rounds():
    """A round that took three cores kept the order holder from answering requests in time."""
    took_s = []
    for seed in range(5):
        plan = make_large_plan(seed)
        begun = time.process_time()
        forget_served_targets(plan)
        plan_adapters(plan)
        plan_prefetch(plan, [])
        plan_models(plan, LoadRateLimiter(90, 5.0, 4))
        took_s.append(time.process_time() - begun)
    assert min(took_s) < ROUND_S


def test_holders_that_plan_at_the_same_moment_leave_a_copy():
    """Each holder took the other's copy for the one that stays, and a busy model was lost."""
    models = {name: ModelSpec(name, 60.0, 4.0, 0.8, 0.5) for name in ("m1", "m2", "m3", "m4", "m5")}
    engine = EngineSpec(64, 1000, 130.0, 4, 16.0, models)
    held = {"e2": ["m1", "m4"], "e3": ["m2", "m4"]}
    dropped = []
    for own in held:
        fleet, engine_states, usage = Fleet(), {}, Usage()
        for name, names in held.items():
            fleet.apply(make_entry(name, models=dict.fromkeys(names, ())), NOW)
            engine_state = engine_states[name] = EngineState(
                name, 1, is_local=name == own, reported_at=NOW
            )
            frozen = {model: frozenset() for model in names}
            engine_state.apply_report(ServerReport(frozen, False, 0, 0, 0, 0, 0, 1), NOW)
        usage.since = NOW - 100
        for name, count in (("m1", 12), ("m2", 12), ("m4", 4), ("m3", 8), ("m5", 8)):
            usage.count(("svc", name, ""), Tally(count), NOW)
        for at in (NOW - 0.8, NOW - 0.4, NOW):
            usage.record_awaited(("svc", "m3", ""), at)
        plan = OrderPlan("svc", engine, engine_states, dict(fleet.servers), usage, NOW)
        moves = plan_models(plan, LoadRateLimiter(9, 5.0, 2))
        dropped += [move.server_id for move in moves if move.model == "m4"]
    assert len(dropped) <= 1


def test_short_runs_do_not_look_like_crowding_that_is_worth_the_only_copy_of_another():
    """With an assumed 1.5 s for every run, models that answer in 0.25 s evicted others."""
    models = {name: ModelSpec(name, 60.0, 4.0, 0.8, 0.5) for name in ("m1", "m2")}
    engine = EngineSpec(8, 1000, 70.0, 4, 16.0, models)
    for run_s, dropped in ((0.25, 0), (4.0, 1)):
        fleet, engine_states, usage = Fleet(), {}, Usage()
        for name, model in (("e1", "m1"), ("e2", "m2")):
            fleet.apply(make_entry(name, models={model: ()}), NOW)
            engine_state = engine_states[name] = EngineState(name, 1)
            engine_state.apply_report(
                ServerReport({model: frozenset()}, False, 0, 0, 0, 0, 0, 1), NOW
            )
        usage.since = NOW - 100
        usage.count(("svc", "m1", ""), Tally(25, runs=25, run_s=25 * run_s), NOW)
        usage.count(("svc", "m2", ""), Tally(5, runs=5, run_s=5 * run_s), NOW)
        plan = OrderPlan("svc", engine, engine_states, dict(fleet.servers), usage, NOW)
        moves = plan_models(plan, LoadRateLimiter(9, 5.0, 1))
        assert [move.model for move in moves] == ["m2"] * dropped


def test_adapter_that_the_operator_does_not_know_is_none_of_the_models():
    spec = ModelSpec("m1", 60.0, 4.0, 0.8, 0.5, 12)
    assert all(spec.has_adapter(name) for name in ("", "a1", "a12"))
    assert not any(spec.has_adapter(name) for name in ("a0", "a13", "a01", "x", "a" + "9" * 5000))


def make_small_plan(models: dict[str, ModelSpec], held: dict[str, list[str]]) -> OrderPlan:
    """Return engines with room for three models and no cached weights beyond what they hold."""
    engine = EngineSpec(24, 1000, 200.0, 4, 16.0, models)
    fleet, engine_states, usage = Fleet(), {}, Usage()
    usage.since = NOW - 100
    for name, names in held.items():
        fleet.apply(make_entry(name, models=dict.fromkeys(names, ())), NOW)
        engine_state = engine_states[name] = EngineState(name, 1)
        frozen = {model: frozenset() for model in names}
        engine_state.apply_report(ServerReport(frozen, False, 0, 0, 0, 0, 0, 1), NOW)
    return OrderPlan("svc", engine, engine_states, dict(fleet.servers), usage, NOW)


def test_busy_model_gets_as_many_copies_as_keep_its_streams_on_time_and_no_more():
    """A model at 39 requests a second kept eleven engines while rare ones found no room."""
    models = {name: ModelSpec(name, 60.0, 4.0, 0.8, 0.5) for name in ("m1", "m2")}
    plan = make_small_plan(models, {f"e{number}": ["m1"] for number in range(11)})
    plan.usage.count(("svc", "m1", ""), Tally(39 * 5, 39 * 5 * 600, 39 * 5, 39 * 5 * 1.0), NOW)
    plan.usage.models["svc", "m1"].fast = 0.0
    worths = [plan.measure_gain("m1", copies) for copies in range(1, 11)]
    assert worths == sorted(worths, reverse=True)
    enough = next(number for number, value in enumerate(worths, 1) if value < 1.0)
    assert 4 <= enough <= 7


def test_copies_do_not_take_all_room_where_all_engines_are_busy():
    """Each further copy counted as much as the first, though it went to an engine as busy."""
    names = [f"m{number}" for number in range(1, 7)]
    models = {name: ModelSpec(name, 60.0, 4.0, 0.8, 0.5) for name in names}
    plan = make_small_plan(models, {f"e{number}": ["m1", "m2", "m3"] for number in range(5)})
    for name in ("m1", "m2", "m3"):
        plan.usage.count(("svc", name, ""), Tally(26 * 5, 26 * 5 * 600, 26 * 5, 26 * 5.0), NOW)
        plan.usage.models["svc", name].fast = 0.0
    plan.usage.count(("svc", "m5", ""), Tally(1), NOW - 1.4)
    for at in (NOW - 1.4, NOW - 0.9, NOW - 0.4, NOW):
        plan.usage.record_awaited(("svc", "m5", ""), at)
    assert plan.mean_utilisation > 0.9
    value = plan.measure_gain("m5", 0)
    assert value > plan.measure_gain("m1", 4)
    assert [move.reason for move in plan_models(plan, LoadRateLimiter(9, 5.0, 1))] == [
        "room_for_missing"
    ]


def test_missing_model_waits_for_a_busy_engine_that_has_it_at_hand():
    """98 of 121 loads for callers came from the weight store though a disk had the model."""
    names = [f"m{number}" for number in range(1, 8)]
    models = {name: ModelSpec(name, 60.0, 4.0, 0.8, 0.5) for name in names}
    models |= {name: ModelSpec(name, 90.0, 4.0, 0.8, 0.5) for name in ("m8", "m9")}
    full = {f"e{number}": ["m8", "m9"] for number in range(3, 7)}
    held = {"e1": ["m1", "m2", "m3"], "e2": ["m4", "m5", "m6"], **full}
    plan = make_small_plan(models, held)
    for name in ("m8", "m9"):
        plan.usage.count(("svc", name, ""), Tally(20), NOW)
    entry = plan.records["e2"].entry
    plan.records["e2"].entry = evolve(entry, on_disk=frozenset(["m7"]))
    plan.engine_states["e2"].unloading = "m4"
    plan.engine_states["e2"].busy_until = NOW + 0.5
    for at in (NOW - 0.4, NOW):
        plan.usage.record_awaited(("svc", "m7", ""), at)
    assert plan_models(plan, LoadRateLimiter(9, 5.0, 1)) == []
    plan.engine_states["e2"].busy_until = NOW + 9.0
    again = OrderPlan("svc", plan.engine, plan.engine_states, plan.records, plan.usage, NOW)
    assert [move.server_id for move in plan_models(again, LoadRateLimiter(9, 5.0, 1))] == ["e1"]


def test_missing_model_is_loaded_where_it_is_at_hand_though_more_makes_way():
    names = [f"m{number}" for number in range(1, 8)]
    models = {name: ModelSpec(name, 60.0, 4.0, 0.8, 0.5) for name in names}
    plan = make_small_plan(models, {"e1": ["m1", "m2"], "e2": ["m4", "m5", "m6"]})
    entry = plan.records["e2"].entry
    plan.records["e2"].entry = evolve(entry, on_disk=frozenset(["m7"]))
    for at in (NOW - 0.4, NOW):
        plan.usage.record_awaited(("svc", "m7", ""), at)
    moves = plan_models(plan, LoadRateLimiter(9, 5.0, 1))
    assert ("e2", "room_for_missing") in [(move.server_id, move.reason) for move in moves]
    assert plan.engine_states["e2"].reserved_model == "m7"
    assert "m7" not in [move.model for move in moves if move.server_id == "e1"]


LIMITED_MODELS = ("m1", "m2", "m3", "m4", "m5", "m6")


def make_limited_plan(limit_per_s: float, held: dict[str, list[str]]) -> OrderPlan:
    """Return engines of which the first names a limit, and 18 requests a second for one model."""
    models = {name: ModelSpec(name, 60.0, 4.0, 0.8, 0.5) for name in LIMITED_MODELS}
    plan = make_small_plan(models, held)
    plan.records["e1"].limit_per_s = limit_per_s
    plan.usage.count(("svc", "m1", ""), Tally(18 * 5, 18 * 500, 18 * 5, 18.0), NOW)
    plan.usage.models["svc", "m1"].fast = 0.0
    for name in LIMITED_MODELS[1:]:
        plan.usage.count(("svc", name, ""), Tally(10), NOW)
    return plan


def test_model_whose_only_engine_names_a_limit_is_loaded_on_another():
    """Its slots were free, so no copy seemed to be needed, and most requests were refused."""
    held = {"e1": ["m1", "m5", "m6"], "e2": ["m2", "m3", "m4"]}
    moves = plan_models(make_limited_plan(3.8, held), LoadRateLimiter(9, 5.0, 1))
    assert [(move.server_id, move.reason) for move in moves] == [("e2", "room_for_copy")]
    assert plan_models(make_limited_plan(30.0, held), LoadRateLimiter(9, 5.0, 1)) == []


def test_copy_beside_one_behind_a_limit_counts_as_the_only_one():
    held = {"e1": ["m1"], "e2": ["m1", "m2", "m3"]}
    plan = make_limited_plan(3.8, held)
    assert plan.measure_loss(plan.engine_states["e2"], "m1") >= 18.0 - 3.8 - 1.0
    plan.records["e1"].limit_per_s = None
    again = OrderPlan("svc", plan.engine, plan.engine_states, plan.records, plan.usage, NOW)
    assert again.measure_loss(again.engine_states["e2"], "m1") < 2.0


def test_missing_model_goes_to_an_engine_without_a_limit():
    plan = make_limited_plan(3.8, {"e1": ["m2"], "e2": ["m3"], "e3": ["m4"]})
    plan.records["e3"].limit_per_s = 1.0
    moves = plan_models(plan, LoadRateLimiter(9, 5.0, 1))
    assert ("e2", "m1") in [(move.server_id, move.model) for move in moves]


def test_summary_of_a_round_counts_models_in_demand_that_no_engine_has():
    models = {name: ModelSpec(name, 60.0, 4.0, 0.8, 0.5) for name in ("m1", "m2", "m3", "m4", "m5")}
    plan = make_small_plan(models, {"e1": ["m1", "m2", "m3"], "e2": []})
    for name in ("m1", "m4", "m5"):
        plan.usage.count(("svc", name, ""), Tally(10), NOW)
    plan_models(plan, LoadRateLimiter(0, 5.0, 1))
    summary = plan.summarize()
    assert (summary.engines, summary.copies, summary.in_demand, summary.missing) == (2, 3, 3, 2)
    assert plan.postponed == {Postponement.LOAD_RATE: 3}, "m4, m5 and a copy of m1"


def test_model_is_loaded_into_the_room_made_for_it_as_soon_as_that_is_free():
    """The room counted as a copy until its reservation ended, seconds after the unload."""
    models = {name: ModelSpec(name, 60.0, 4.0, 0.8, 0.5) for name in ("m1", "m2", "m3", "m4")}
    plan = make_small_plan(models, {"e1": ["m1", "m2", "m3"]})
    for name, count in (("m1", 9), ("m2", 9), ("m4", 4)):
        plan.usage.count(("svc", name, ""), Tally(count), NOW)
    assert [(move.kind, move.model) for move in plan_models(plan, LoadRateLimiter(9, 5.0, 1))] == [
        (OrderKind.UNLOAD, "m3")
    ]
    engine_state = plan.engine_states["e1"]
    engine_state.record_accepted(
        ServerOrder(OrderKind.UNLOAD, "m3", "i1", 1, "", 0), NOW + 0.5, False, NOW
    )
    held = {"m1": frozenset(), "m2": frozenset()}
    engine_state.apply_report(ServerReport(held, False, 1, 0, 0, 0, 0, 1), NOW + 0.6)
    again = OrderPlan("svc", plan.engine, plan.engine_states, plan.records, plan.usage, NOW + 0.6)
    assert [(move.kind, move.model) for move in plan_models(again, LoadRateLimiter(9, 5.0, 1))] == [
        (OrderKind.LOAD, "m4")
    ]


def test_engine_that_returns_loads_what_its_disk_has_before_a_copy_from_the_weight_store():
    """Three models took it 13 s, each from the weight store, though others were on its disk."""
    names = [f"m{number}" for number in range(1, 7)]
    models = {name: ModelSpec(name, 60.0, 4.0, 0.8, 0.5) for name in names}
    plan = make_small_plan(models, {"e1": [], "e2": ["m1", "m5", "m6"]})
    plan.usage.count(("svc", "m1", ""), Tally(8 * 5, 8 * 5 * 600, 8 * 5, 8 * 5.0), NOW)
    plan.usage.models["svc", "m1"].fast = 0.0
    for name, count in (("m2", 2), ("m3", 2), ("m4", 2), ("m5", 10), ("m6", 10)):
        plan.usage.count(("svc", name, ""), Tally(count), NOW)
    entry = plan.records["e1"].entry
    plan.records["e1"].entry = evolve(entry, on_disk=frozenset(["m2", "m3", "m4"]))
    assert plan.measure_gain("m1", 1) > plan.measure_gain("m2", 0) > 0.4
    moves = plan_models(plan, LoadRateLimiter(9, 5.0, 1))
    assert [(move.server_id, move.model) for move in moves] == [("e1", "m2")]


def test_engine_is_not_kept_for_a_load_that_the_weight_store_does_not_allow_yet():
    models = {name: ModelSpec(name, 60.0, 4.0, 0.8, 0.5) for name in ("m1", "m2", "m3")}
    plan = make_small_plan(models, {"e1": []})
    plan.usage.count(("svc", "m1", ""), Tally(40), NOW)
    plan.usage.count(("svc", "m2", ""), Tally(2), NOW)
    plan.records["e1"].entry = evolve(plan.records["e1"].entry, on_disk=frozenset(["m2"]))
    moves = plan_models(plan, LoadRateLimiter(0, 5.0, 1))
    assert [(move.server_id, move.model) for move in moves] == [("e1", "m2")]


def make_turn_plan(unserved_s: float) -> OrderPlan:
    """Return a full engine, and a model that has been missing for so long; all in equal demand."""
    models = {name: ModelSpec(name, 60.0, 4.0, 0.8, 0.5) for name in ("m1", "m2", "m3", "m4")}
    plan = make_small_plan(models, {"e1": ["m1", "m2", "m3"]})
    for name in models:
        plan.usage.count(("svc", name, ""), Tally(2), NOW)
    for steps in range(round(unserved_s / 0.4), -1, -1):
        plan.usage.record_awaited(("svc", "m4", ""), NOW - 0.4 * steps)
    return plan


def test_copy_that_was_just_loaded_is_not_evicted_for_callers_who_waited_meanwhile():
    """They waited as long as the load took; each model was evicted as soon as it was loaded."""
    for waited_s in (0.0, 2.0, 4.0):
        assert plan_models(make_turn_plan(waited_s), LoadRateLimiter(9, 5.0, 1)) == []


def test_model_that_is_asked_for_has_its_turn_though_its_callers_are_refused():
    moves = plan_models(make_turn_plan(20.0), LoadRateLimiter(9, 5.0, 1))
    assert [move.reason for move in moves] == ["room_for_missing"]


def test_time_without_a_copy_ends_with_a_load_and_with_the_demand():
    plan = make_turn_plan(20.0)
    assert plan.usage.measure_unserved_s("svc", "m4", NOW) == 20.0
    forget_served_targets(plan)
    assert plan.usage.measure_unserved_s("svc", "m4", NOW) == 20.0
    plan.engine_states["e1"].models.add("m4")
    held = OrderPlan("svc", plan.engine, plan.engine_states, plan.records, plan.usage, NOW)
    forget_served_targets(held)
    assert plan.usage.measure_unserved_s("svc", "m4", NOW) == 0.0
    plan = make_turn_plan(20.0)
    later = NOW + 30.0
    idle = OrderPlan("svc", plan.engine, plan.engine_states, plan.records, plan.usage, later)
    forget_served_targets(idle)
    assert plan.usage.measure_unserved_s("svc", "m4", later) == 0.0


def test_engines_that_are_idle_before_traffic_all_load_what_is_missing():
    """Seven at a time did, as all changes were worth little and a fifth of the engines was busy."""
    models = {f"m{number}": ModelSpec(f"m{number}", 60.0, 4.0, 0.8, 0.5) for number in range(30)}
    plan = make_small_plan(models, {f"e{number}": [f"m{number}"] for number in range(10)})
    moves = plan_models(plan, LoadRateLimiter(50, 5.0, 1))
    assert len({move.server_id for move in moves}) == len({move.model for move in moves}) == 10


def test_one_copy_makes_room_where_it_is_large_enough_and_not_two_of_less_value():
    """Two models were unloaded for one, the smaller one for nothing."""
    sizes = {"m1": 40.0, "m2": 70.0, "m3": 80.0, "m4": 70.0}
    models = {name: ModelSpec(name, size, 4.0, 0.8, 0.5) for name, size in sizes.items()}
    plan = make_small_plan(models, {"e1": ["m1", "m2", "m3"]})
    for name, count in (("m1", 1), ("m2", 2), ("m3", 30), ("m4", 20)):
        plan.usage.count(("svc", name, ""), Tally(count), NOW)
        plan.usage.models["svc", name].fast = 0.0
    moves = plan_models(plan, LoadRateLimiter(9, 5.0, 1))
    assert [(move.kind, move.model) for move in moves] == [(OrderKind.UNLOAD, "m2")]


def make_shared_plan(rate: float, waited_s: float) -> OrderPlan:
    """Return an own engine, another holder's with m1 on its disk, and callers that wait for m1."""
    models = {"m1": ModelSpec("m1", 60.0, 4.0, 0.8, 0.5)}
    plan = make_small_plan(models, {"e1": [], "e2": []})
    plan.engine_states["e2"].is_local = False
    plan.engine_states["e2"].reported_at = NOW
    plan.records["e2"].entry = evolve(plan.records["e2"].entry, on_disk=frozenset(["m1"]))
    plan.usage.count(("svc", "m1", ""), Tally(5 * rate), NOW)
    plan.usage.models["svc", "m1"].fast = 0.0
    for steps in range(round(waited_s / 0.1), -1, -1):
        plan.usage.record_awaited(("svc", "m1", ""), NOW - 0.1 * steps)
    return plan


def test_missing_model_is_not_left_to_an_engine_that_takes_no_order():
    """Three holders left the busiest model to an engine that did not answer its own holder."""
    plan = make_shared_plan(1.0, 0.3)
    assert plan_models(plan, LoadRateLimiter(9, 5.0, 1)) == []
    plan = make_shared_plan(1.0, 0.3)
    plan.engine_states["e2"].apply_holder_plans(True, "", NOW + 1.0)
    assert [move.server_id for move in plan_models(plan, LoadRateLimiter(9, 5.0, 1))] == ["e1"]
    plan = make_shared_plan(1.0, 0.3)
    plan.engine_states["e2"].apply_holder_plans(True, "", NOW - 0.1)
    assert plan_models(plan, LoadRateLimiter(9, 5.0, 1)) == []


def test_room_that_another_holder_keeps_for_a_model_is_free_for_that_one_only():
    plan = make_shared_plan(1.0, 0.3)
    plan.engine_states["e2"].apply_holder_plans(False, "m2", NOW + 1.0)
    plan.engine.models["m2"] = ModelSpec("m2", 150.0, 4.0, 0.8, 0.5)
    assert plan.measure_free_mb(plan.engine_states["e2"], "m1") == 50.0
    assert plan.measure_free_mb(plan.engine_states["e2"], "m2") == 200.0


def test_busy_model_is_overdue_at_once_and_a_rare_one_is_not_loaded_by_each_holder():
    """A model at 65 requests a second waited 1.2 s to be overdue, as long as one at 0.5."""
    moves = plan_models(make_shared_plan(20.0, 0.5), LoadRateLimiter(9, 5.0, 1))
    assert [move.server_id for move in moves] == ["e1"]
    assert plan_models(make_shared_plan(0.6, 3.0), LoadRateLimiter(9, 5.0, 1)) == []
    moves = plan_models(make_shared_plan(0.6, 20.0), LoadRateLimiter(9, 5.0, 1))
    assert [move.server_id for move in moves] == ["e1"]
