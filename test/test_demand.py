"""Tests of the demand averages."""

import random

import pytest

from rhubarbshed.protocol.events import Stamp
from rhubarbshed.protocol.peers import (
    DemandEntry,
    DemandUpdate,
    Envelope,
    pack_envelope,
    unpack_envelope,
)
from rhubarbshed.protocol.placement import DemandReport, ModelDemand
from rhubarbshed.state.placement.demand import (
    FULL_UPDATE_WINDOWS,
    LEVEL_MAX,
    Demand,
    DemandOutbox,
    decode_rate,
    encode_rate,
)
from rhubarbshed.util.settings import Settings

BEAT_S = 5
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


def tell(
    outbox: DemandOutbox, teller: Demand, hearer: Demand, now: float, lost: bool = False
) -> None:
    update = outbox.collect(teller.report(now), now)
    if update is not None and not lost:
        hearer.apply_update(update, now)


def play(
    rates: dict[str, list[float]], seconds: int, told: bool, instances: int = 62, seed: int = 1
) -> list[dict[str, float]]:
    """Send random requests to all instances; return the rates that another one sees at each beat.

    `rates` holds, by model, the requests per second over all instances in each second. With `told`,
    updates are sent, otherwise a whole report at each beat.
    """
    rng = random.Random(seed)
    tellers = [Demand.from_config(f"i{number}", SETTINGS) for number in range(instances)]
    outboxes = [DemandOutbox(SETTINGS.demand_window_s) for _ in tellers]
    hearer = Demand.from_config("hearer", SETTINGS)
    seen = []
    for second in range(seconds):
        now = float(second)
        for model, by_second in rates.items():
            due = by_second[second]
            while rng.random() < due:
                rng.choice(tellers).record_arrival(model, now)
                due -= 1
        if second % BEAT_S == 0:
            for teller, outbox in zip(tellers, outboxes, strict=True):
                if told:
                    tell(outbox, teller, hearer, now)
                else:
                    hearer.merge(teller.report_busiest(now), now)
            seen.append({each.model: each.arrivals_per_s for each in hearer.summarize(now)})
    return seen


def find_time(seen: list[dict[str, float]], since: int, least: float) -> int:
    """Return the seconds after which at least that rate of m0 was seen."""
    times = range(0, len(seen) * BEAT_S, BEAT_S)
    return next(
        time - since
        for time, rates in zip(times, seen, strict=True)
        if time >= since and rates.get("m0", 0.0) >= least
    )


@pytest.mark.parametrize("rate", [1.0, 5.0])
def test_tenfold_rise_is_seen_by_updates_as_soon_as_by_whole_reports(rate: float):
    """One more beat is allowed, since random requests fall differently on the beats."""
    rates = {"m0": [rate] * 600 + [10 * rate] * 200, "m1": [2.0] * 800}
    by_reports = find_time(play(rates, 800, told=False), 600, 7.5 * rate)
    by_updates = find_time(play(rates, 800, told=True), 600, 7.5 * rate)
    assert by_updates <= by_reports + BEAT_S


def test_steady_demand_told_by_updates_is_met_in_sum():
    seen = play({"m0": [20.0] * 600, "m1": [1.0] * 600}, 600, told=True)
    whole = play({"m0": [20.0] * 600, "m1": [1.0] * 600}, 600, told=False)
    for model in ("m0", "m1"):
        met = sum(beat[model] for beat in seen[60:])
        assert 0.85 <= met / sum(beat[model] for beat in whole[60:]) <= 1.15


def test_demand_that_ends_is_not_counted_for_ever():
    """Also if the update with the end, and all others for a while, are lost."""
    for lost_until in (0, 4000):
        teller, hearer = (Demand.from_config(name, SETTINGS) for name in ("i0", "i1"))
        outbox = DemandOutbox(SETTINGS.demand_window_s)
        feed(teller, 5.0, 0, 300)
        tell(outbox, teller, hearer, 300.0)
        assert read(hearer, 300.0) > 4.0
        for now in range(305, 4200, BEAT_S):
            teller.record_arrival("other", float(now))
            tell(outbox, teller, hearer, float(now), lost=now < lost_until)
        assert [each.model for each in hearer.summarize(4200.0)] == ["other"]


def test_lost_update_is_repaired_by_the_next_whole_one():
    teller, hearer = (Demand.from_config(name, SETTINGS) for name in ("i0", "i1"))
    outbox = DemandOutbox(SETTINGS.demand_window_s)
    now = 0
    for now in range(0, 400, BEAT_S):
        teller.record_arrival("m0", float(now), 50 if now >= 200 else 5)
        tell(outbox, teller, hearer, float(now), lost=200 <= now < 260)
    assert read(hearer, float(now)) >= 8.0


def test_silent_instance_is_dropped_though_it_told_only_changes():
    hearer = Demand.from_config("i1", SETTINGS)
    hearer.apply_update(DemandUpdate("i0", (DemandEntry("m0", 90),), whole=True), 0.0)
    hearer.apply_update(DemandUpdate("i0"), 50.0)
    assert [each.model for each in hearer.summarize(100.0)] == ["m0"]
    assert hearer.summarize(111.0) == ()


def test_steady_demand_costs_few_updates():
    """Beats without changes send nothing, except often enough to stay within the age of reports."""
    teller = Demand.from_config("i0", SETTINGS)
    outbox = DemandOutbox(SETTINGS.demand_window_s)
    feed(teller, 2.0, 0, 1500)
    updates = []
    for now in range(1500, 1800, BEAT_S):
        feed(teller, 2.0, now, BEAT_S)
        updates.append(outbox.collect(teller.report(float(now)), float(now)))
    sent = [update for update in updates if update is not None]
    assert len(sent) <= len(updates) / 2
    assert sum(update.whole for update in sent) == 300 / (
        SETTINGS.demand_window_s * FULL_UPDATE_WINDOWS
    )


def test_rates_survive_their_levels_within_a_twentieth():
    for rate in (1e-4, 0.0123, 0.5, 3.0, 777.0, 1.3e6):
        assert abs(decode_rate(encode_rate(rate)) / rate - 1) <= 0.05
    assert decode_rate(encode_rate(0.0)) == 0.0
    assert decode_rate(10**9) == decode_rate(LEVEL_MAX)


def test_update_survives_the_wire():
    update = DemandUpdate("i0", (DemandEntry("m0", 7, 200, 1),), whole=True, remote=True)
    data = pack_envelope(Envelope(update, Stamp(1, 2, "i0"), ""))
    assert unpack_envelope(data, "i0").unwrap().frame == update
