"""Model of engines that placement is measured against."""

import random

import pytest
from attrs import evolve

from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.routes import EngineSpec, ModelSpec
from tools.engine_model import ModelledEngine, Run, WeightStore
from tools.engine_play import Play
from tools.engine_scenario import make_quiet

MODELS = {name: ModelSpec(name, 70.0, 4.0, 0.8, 0.5) for name in ("m1", "m2", "m3", "m4")}


def make_engine() -> ModelledEngine:
    engine = ModelledEngine("e1", "a", EngineSpec(8, 1000, 200.0, 4, 10.0, MODELS), 150.0, 70.0)
    engine.take_snapshot(-1.0)
    return engine


def test_model_that_was_loaded_before_comes_from_memory_or_the_disk():
    engine = make_engine()
    for at, (name, takes_s) in enumerate((("m1", 4.0), ("m2", 4.0))):
        engine.start_order(OrderKind.LOAD, name, 1.0, 10.0 * at)
        assert not engine.finish_order(10.0 * at + takes_s - 0.1)
        assert engine.finish_order(10.0 * at + takes_s)
    assert engine.measure_load_s(MODELS["m2"]) == 0.5
    assert engine.measure_load_s(MODELS["m1"]) == 0.8
    engine.crash(30.0, 29.0)
    assert engine.models == set() and engine.measure_load_s(MODELS["m2"]) == 0.8


def test_unload_waits_for_the_runs_of_its_model():
    engine = make_engine()
    engine.models = {"m1", "m2"}
    engine.accept(Run("m1", 1.0, 10), 0.0)
    engine.progress(0.1, 0.0)
    engine.start_order(OrderKind.UNLOAD, "m1", 1.0, 0.0)
    assert not engine.holds("m1") and engine.holds("m2")
    assert not engine.finish_order(0.5)
    while engine.count_runs():
        engine.progress(0.1, 1.0)
    assert engine.finish_order(1.5) and engine.models == {"m2"}


def test_loads_from_the_weight_store_slow_each_other_down():
    store = WeightStore(2)
    assert [store.start(4.0, 0.0) for _ in range(4)] == [1.0, 1.0, 1.5, 2.0]


def test_more_than_fits_is_noticed():
    engine = make_engine()
    engine.models = {"m1", "m2"}
    engine.start_order(OrderKind.LOAD, "m3", 1.0, 0.0)
    with pytest.raises(AssertionError):
        engine.finish_order(5.0)


def test_play_repeats_with_its_seed():
    day = evolve(make_quiet(random.Random(7)), lasts_s=3.0)
    plays = [Play.from_day(day, 3) for _ in range(2)]
    for play in plays:
        play.run()
    assert plays[0].orders == plays[1].orders
    assert plays[0].outcomes == plays[1].outcomes
    assert sum(each.asked for each in plays[0].outcomes.values()) > 500
