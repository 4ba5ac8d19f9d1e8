"""Requests are spread over servers of unequal speed whose load is known late, without sockets."""

import collections
import random

import pytest

from rhubarbshed.coordination.serving.choice import Choice, NoServer, choose_server
from rhubarbshed.coordination.serving.expected_time import RequestPace
from rhubarbshed.coordination.serving.spreading import Level, compute_shares
from rhubarbshed.platform.headers import SERVER_LOAD, read_head
from rhubarbshed.state.membership.fleet import Fleet
from test.test_edge_choice import NOW, make_entry, make_fleet
from tools.load_table import Case, Simulation, find_percentile

STREAM = RequestPace(0.3, 0.2, True, 0.05)
PATIENT = RequestPace(4.0, 0.0, True)
SLOWNESS = {"fast": 0.6, "usual": 1.0, "slow": 1.6}


def make_unequal(slots: int = 24, **loads: int) -> Fleet:
    fleet = make_fleet(*(make_entry(name, slots=slots) for name in SLOWNESS))
    for name, slowness in SLOWNESS.items():
        fleet.get(name).record_load_sample(loads.get(name, 0), 0, NOW, slowness)
    return fleet


def count_chosen(fleet: Fleet, pace: RequestPace, spreads: bool, now=NOW) -> collections.Counter:
    rng, chosen = random.Random(1), collections.Counter()
    for _ in range(300):
        found = choose_server(
            fleet, "svc", ("", ""), frozenset(), "a", now, rng, pace=pace, spreads=spreads
        )
        assert isinstance(found, Choice)
        chosen[found.server.entry.server_id] += 1
    return chosen


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("speeds", ["equal", "unequal", "disturbed"])
def test_72_instances_do_not_overrun_three_servers_of_6_slots_in_turns(speeds, seed):
    """All sent to the server that the last report showed idle; slots at the others stayed idle."""
    case = Case(72, 0.5, speeds, False, 0.35 if speeds == "disturbed" else 0.7, 3, 15.0, seed)
    ideal, present, new = (
        Simulation.from_case(case, policy).run() for policy in ("ideal", "present", "new")
    )
    assert new.idle - ideal.idle < 0.6 * (present.idle - ideal.idle)
    waits = [find_percentile(each.waits, 0.99) for each in (ideal, present, new)]
    assert waits[2] - waits[0] < 0.9 * (waits[1] - waits[0])


def test_fresh_reports_lead_to_the_least_busy_server_and_old_ones_to_shares_by_capacity():
    fresh = compute_shares([Level(0.9, 6, 0.6, 0.0), Level(0.1, 6, 1.6, 0.0)])
    assert fresh[0] == 0.0 and fresh[1] > 0.0
    old = compute_shares([Level(0.0, 6, slow, 1e6) for slow in (0.6, 1.0, 1.6)])
    assert [share / sum(old) for share in old] == pytest.approx(
        [capacity / (1 / 0.6 + 1.0 + 1 / 1.6) for capacity in (1 / 0.6, 1.0, 1 / 1.6)]
    )


def test_load_far_beyond_the_slots_ends_no_choice():
    """The weights of all servers were lost in rounding, and none could be drawn."""
    fleet = make_unequal(10**9)
    for record in fleet.servers.values():
        record.record_load_sample(10**6, 0, NOW, 1e-5)
        record.failures = record.attempts = 1e12
    assert count_chosen(fleet, STREAM, True).total() == 300


@pytest.mark.parametrize("spreads", [True, False])
@pytest.mark.parametrize("stated", [b"5e-324", b"100000"])
def test_server_that_states_an_extreme_slowness_ends_no_choice(stated, spreads):
    """A slowness that rounds to 0 divided by 0; one in great trouble got all patient work."""
    fleet = make_unequal()
    load = read_head(200, ((SERVER_LOAD, b"0,0,24," + stated),)).load
    for number in range(20):
        at = NOW + 0.3 * number
        fleet.get("slow").apply_reported_slowness(load.slowness, load.slowness, at)
    fleet.get("slow").record_load_sample(0, 0, NOW + 9.0, load.slowness)
    for pace in (STREAM, PATIENT, RequestPace(0.3)):
        chosen = count_chosen(fleet, pace, spreads, NOW + 9.0)
        assert stated != b"100000" or chosen["slow"] <= 3
    for _ in range(6):
        fleet.record_gap(fleet.get("slow"), 0.1)
    assert fleet.find_usual_gap("svc") > 0.0


@pytest.mark.parametrize("spreads", [True, False])
def test_stream_with_a_gap_goes_where_a_disturbance_leaves_its_events_on_time(spreads):
    """At 1.6 times 50 ms a disturbance of 2.5 makes a gap of 200 ms late; patient work is not."""
    fleet = make_unequal()
    tight = RequestPace(0.3, 0.19, True, 0.05)
    chosen = count_chosen(fleet, tight, spreads)
    assert chosen["slow"] <= 3
    assert count_chosen(fleet, PATIENT, spreads)["slow"] >= 150
    for name in ("fast", "usual"):
        fleet.get(name).record_load_sample(36, 0, NOW, SLOWNESS[name])
    assert count_chosen(fleet, tight, spreads)["slow"] == 300


@pytest.mark.parametrize("spreads", [True, False])
def test_plain_requests_follow_the_capacity_of_servers_and_a_full_one_gets_none(spreads):
    """Each server got a third, of which the slow one turned many away in a disturbance."""
    fleet = make_unequal(6, fast=2, usual=2, slow=2)
    chosen = count_chosen(fleet, RequestPace(0.3), spreads, NOW + 0.5)
    assert chosen["slow"] < chosen["usual"] < chosen["fast"] or chosen["slow"] == 0
    fleet.get("fast").record_load_sample(9, 0, NOW + 0.5, 0.6)
    assert count_chosen(fleet, RequestPace(0.3), spreads, NOW + 0.5)["fast"] == 0


def test_failing_server_and_another_data_centre_keep_their_weight_in_a_draw():
    """A server that fails at once is empty; a draw by load alone would send it its share."""
    entries = [make_entry("own"), make_entry("bad"), make_entry("far", centre="b")]
    fleet = make_fleet(*entries)
    for _ in range(8):
        fleet.get("bad").record_end(True, NOW)
    for record in fleet.servers.values():
        record.record_load_sample(2, 0, NOW)
    chosen = count_chosen(fleet, STREAM, True, NOW + 0.3)
    assert chosen["bad"] == 0 and chosen["own"] > chosen["far"]
    for record in fleet.servers.values():
        record.record_load_sample(40, 0, NOW + 0.3)
    rng = random.Random(1)
    full = choose_server(
        fleet, "svc", ("", ""), frozenset(), "a", NOW + 0.3, rng, pace=STREAM, spreads=True
    )
    assert full == NoServer("full", holders=3, capable=3)


def test_own_requests_since_the_last_report_count():
    """An instance sent a burst to the one server that its last report showed idle."""
    fleet = make_unequal(6)
    chosen = collections.Counter()
    for _ in range(9):
        found = choose_server(
            fleet, "svc", ("", ""), frozenset(), "a", NOW, random.Random(1), spreads=True
        )
        found.server.begin_attempt(NOW)
        chosen[found.server.entry.server_id] += 1
    assert max(chosen.values()) - min(chosen.values()) <= 1


def test_instance_without_news_draws_by_capacity_and_leaves_out_a_silent_server():
    """Cut off or frozen for a while, it trusted the last report and overran what was idle then."""
    fleet = make_unequal(6, fast=5, usual=0, slow=3)
    chosen = count_chosen(fleet, RequestPace(0.3), True, NOW + 2.0)
    assert chosen["fast"] > 1.3 * chosen["usual"] and chosen["usual"] > 1.2 * chosen["slow"]
    fleet.get("fast").record_unresponsive(NOW + 2.0)
    assert count_chosen(fleet, RequestPace(0.3), True, NOW + 2.1)["fast"] == 0


def test_choice_without_speeds_and_spreading_is_the_one_before():
    """Deployments that enable neither get the same servers, with the same random numbers."""
    fleet = make_fleet(*(make_entry(f"b{number}", slots=16) for number in range(12)))
    for number, record in enumerate(fleet.servers.values()):
        record.record_load_sample(number % 7, 0, NOW)
    for seed in range(50):
        rng, same = random.Random(seed), random.Random(seed)
        found = choose_server(fleet, "svc", ("", ""), frozenset(), "a", NOW + 0.1, rng, pace=STREAM)
        sampled = same.sample(list(fleet.servers.values()), 2)
        costs = [
            record.estimate_usual_load(NOW + 0.1) / 16 + same.uniform(0.0, 0.08)
            for record in sampled
        ]
        assert found.server is sampled[costs.index(min(costs))]
