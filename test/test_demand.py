"""Tests of the demand averages."""

from rhubarbshed.protocol.placement import DemandReport, ModelDemand
from rhubarbshed.state.demand import Demand
from rhubarbshed.util.settings import Settings

SETTINGS = Settings.from_file(None).unwrap().placement


def feed(demand: Demand, rate: float, start: int, seconds: int) -> float:
    for second in range(start, start + seconds):
        demand.record_arrival("m0", float(second), int(rate))
    return float(start + seconds)


def read(demand: Demand, now: float) -> float:
    return demand.summarize(now)[0].arrivals_per_s


def test_steady_rate_is_met():
    demand = Demand.from_config("i0", SETTINGS)
    now = feed(demand, 5.0, 0, 1500)
    assert 4.5 <= read(demand, now) <= 5.5


def test_tenfold_growth_shows_within_two_minutes_and_fades_slowly():
    demand = Demand.from_config("i0", SETTINGS)
    feed(demand, 1.0, 0, 1000)
    now = feed(demand, 10.0, 1000, 120)
    assert read(demand, now) >= 9.0
    assert read(demand, now + 30.0) >= 3.0
    assert read(demand, now + 3000.0) <= 0.1


def test_reports_of_instances_add_up_once_and_age():
    demand = Demand.from_config("i0", SETTINGS)
    demand.record_arrival("m0", 0.0, 30)
    other = DemandReport("i1", (ModelDemand("m0", 2.0), ModelDemand("m1", 1.0)))
    demand.merge(other, 0.0)
    demand.merge(other, 1.0)
    total = {each.model: each.arrivals_per_s for each in demand.summarize(1.0)}
    assert total["m1"] == 1.0
    assert 2.9 <= total["m0"] <= 3.1
    assert [each.model for each in demand.summarize(100.0)] == ["m0"]


def test_own_report_is_not_merged():
    demand = Demand.from_config("i0", SETTINGS)
    demand.merge(DemandReport("i0", (ModelDemand("m0", 2.0),)), 0.0)
    assert demand.summarize(0.0) == ()
