"""Order of the requests that wait for slots: load patterns and single failures, without sockets.

Each pattern is played with requests that poll as well, as they do where nothing is scheduled.
"""

import random
import statistics

import pytest
from attrs import evolve

from rhubarbshed.coordination.serving import slot_waits
from rhubarbshed.coordination.serving.missing_models import (
    LOADED_MARGIN_S,
    CallerPatience,
    LoadRefusal,
    LoadWait,
    decide_load_wait,
    decide_scheduled_load_wait,
)
from rhubarbshed.coordination.serving.order_plan import OrderPlan
from rhubarbshed.coordination.serving.placement import OVERDUE_REQUESTS
from rhubarbshed.coordination.serving.shares import FLOOR_FRACTION
from rhubarbshed.coordination.serving.slot_waits import Returns, SlotRate, can_be_served
from rhubarbshed.coordination.serving.turns import (
    WAITING_BYTES_MAX,
    WAITING_MAX,
    Need,
    Ticket,
    Turns,
    Urgency,
)
from rhubarbshed.protocol.routes import EngineSpec, ModelSpec
from rhubarbshed.state.placement.engine_states import EngineState
from rhubarbshed.state.placement.usage import Tally, Usage
from test.test_edge_choice import make_entry, make_fleet
from tools.turn_play import PATIENT, URGENT, Design, Kind, Play

NOW = 1000.0
NEED = Need("svc")
URGENT_SMALL = evolve(URGENT, rate_per_s=56.0)
PATIENT_SMALL = evolve(PATIENT, rate_per_s=10.0)
SMALL = {"instances": 10, "servers": 6, "seconds": 12.0}
"""72 slots, which run 90 requests a second."""


def make_ticket(target_s: float = 0.3, rank: int = 1, at: float = NOW, **changes) -> Ticket:
    values = {"route": f"r{target_s}-{rank}", "account": "", "until": at + 0.5 * target_s}
    values |= changes
    return Ticket(NEED, rank=(rank,), arrived_at=at, target_at=at + target_s, **values)


def pick_all(turns: Turns, now: float) -> list[Ticket]:
    """Return the waiting requests in the order in which they get slots."""
    picked = []
    while found := turns.pick(lambda _: True, now):
        picked += found
        turns.count_turn(found[0], now)
    return picked


def play(design: Design, *kinds: Kind, **changes) -> list[Play]:
    return [Play(design, kinds, seed=seed, **{**SMALL, **changes}).run() for seed in (1, 2, 3)]


def measure(plays: list[Play], route: str, account: str | None = None) -> float:
    return statistics.mean(each.measure_on_time(route, account) for each in plays)


def test_order_is_urgency_then_priority_then_share_then_return_then_arrival():
    turns = Turns()
    last = make_ticket(6.0, 0)
    tickets = [
        make_ticket(0.3, 0, route="r", account="light"),
        make_ticket(0.3, 1, route="r", account="light", at=NOW + 0.003, returns=True),
        make_ticket(0.3, 1, route="r", account="light", at=NOW + 0.001),
        make_ticket(0.3, 1, route="r", account="light", at=NOW + 0.002),
        make_ticket(0.3, 1, route="r", account="heavy", at=NOW - 0.1),
        last,
    ]
    turns.count_turn(make_ticket(account="heavy", cost=50.0), NOW)
    for ticket in random.Random(1).sample(tickets, len(tickets)):
        turns.wait(ticket, NOW)
    assert pick_all(turns, NOW + 0.01) == tickets


def test_burst_of_patient_requests_yields_to_urgent_ones():
    """Those that poll get slots as they happen to ask: the burst delayed all that came later."""
    kinds = (URGENT_SMALL, evolve(PATIENT_SMALL, burst_at=4.0, burst=120))
    scheduled, polling = play(Design.ENGINE, *kinds), play(Design.POLL, *kinds)
    assert measure(scheduled, "urgent") >= measure(polling, "urgent") + 0.08
    assert measure(scheduled, "patient") >= measure(polling, "patient")


def test_patient_requests_get_their_slots_in_time_among_urgent_ones_that_never_end():
    turns, served, now = Turns(), [], NOW
    patient = [make_ticket(6.0, 2) for _ in range(10)]
    for ticket in patient:
        turns.wait(ticket, now)
    while now < NOW + 3.0:
        now += 0.05
        turns.wait(make_ticket(at=now), now)
        served += turns.pick(lambda _: True, now)
        for ticket in turns.list_expired(now):
            turns.leave(ticket)
    assert all(ticket in served for ticket in patient)
    assert sum(not each.is_patient for each in served) >= 45


def test_account_with_seven_times_its_load_takes_nothing_from_the_others():
    accounts = [
        evolve(URGENT_SMALL, account=name, rate_per_s=rate)
        for name, rate in (("a", 15.0), ("b", 15.0), ("c", 105.0))
    ]
    scheduled, polling = play(Design.ENGINE, *accounts), play(Design.POLL, *accounts)
    for account in ("a", "b"):
        gained = measure(scheduled, "urgent", account) - measure(polling, "urgent", account)
        assert gained >= 0.2


def test_loss_of_a_sixth_of_the_servers_hits_urgent_requests_less():
    kinds = (evolve(URGENT_SMALL, rate_per_s=76.0), PATIENT_SMALL)
    scheduled, polling = (
        play(design, *kinds, lost=1, lost_at=3.0) for design in (Design.ENGINE, Design.POLL)
    )
    assert measure(scheduled, "urgent") >= measure(polling, "urgent") + 0.1


def test_callers_that_retry_at_once_gain_nothing_over_those_that_wait():
    patient_caller = evolve(URGENT_SMALL, rate_per_s=60.0, account="waits")
    hasty = evolve(patient_caller, account="hasty", at_once=True)
    plays = play(Design.ENGINE, patient_caller, hasty)
    hasty_served, served = (
        statistics.mean(each.measure_served(name) for each in plays) for name in ("hasty", "waits")
    )
    assert hasty_served <= served + 0.02
    returns = Returns()
    returns.ask_back(make_ticket(), 1.0, SlotRate(10.0, 5.0), random.Random(1), NOW)
    assert not returns.take_return("", "r0.3-1", NOW + 0.1)


def test_refused_callers_are_asked_back_one_after_the_other_and_then_go_first():
    """A wave that is refused together comes back together, and most of it is refused again."""
    returns, rng = Returns(), random.Random(1)
    rate = SlotRate(100.0, 10.0)
    asked = [returns.ask_back(make_ticket(), 0.3, rate, rng, NOW) for _ in range(50)]
    assert asked[0] == pytest.approx(0.3) and asked[49] == pytest.approx(0.3 + 4.9)
    for _ in range(100):
        asked.append(returns.ask_back(make_ticket(), 0.3, rate, rng, NOW))
    assert max(asked) <= slot_waits.RETRY_MAX_S
    assert len({round(each, 3) for each in asked}) > 140
    at = NOW + max(asked)
    assert returns.take_return("", "r0.3-1", at)
    assert not returns.take_return("other", "r0.3-1", at)
    turns = Turns()
    newcomer, back = make_ticket(at=at), make_ticket(at=at + 0.01, returns=True)
    for ticket in (newcomer, back):
        turns.wait(ticket, at + 0.01)
    assert pick_all(turns, at + 0.02) == [back, newcomer]


def test_memory_of_refused_callers_is_bounded():
    returns, rng = Returns(), random.Random(1)
    for number in range(3 * slot_waits.GROUPS_MAX):
        ticket = make_ticket(route=f"r{number}")
        for _ in range(3):
            returns.ask_back(ticket, 1.0, SlotRate(100.0, 10.0), rng, NOW)
    assert len(returns.awaited) <= slot_waits.GROUPS_MAX + 1


def test_synchronized_start_of_all_callers_at_all_instances_is_worked_off():
    wave = evolve(URGENT_SMALL, burst_at=0.0, burst=150, rate_per_s=40.0)
    scheduled, polling = play(Design.ENGINE, wave), play(Design.POLL, wave)
    assert measure(scheduled, "urgent") >= measure(polling, "urgent")
    assert statistics.mean(each.measure_served("") for each in scheduled) >= 0.75


def test_instance_alone_in_its_data_centre_uses_all_slots():
    kinds = (evolve(URGENT_SMALL, rate_per_s=90.0), PATIENT_SMALL)
    plays = play(Design.GLOBAL, *kinds)
    assert measure(plays, "urgent") >= 0.75 and measure(plays, "patient") >= 0.75


@pytest.mark.parametrize("kind", ("account", "route"))
def test_none_is_served_less_than_a_quarter_as_often_as_all(kind):
    """A low priority among urgent requests without end; also those refused at once are counted."""
    turns, rng, now = Turns(), random.Random(1), NOW
    came, served = [0, 0], [0, 0]
    rate = SlotRate(20.0, 20.0)
    for _ in range(3000):
        now += 1 / 100
        low = int(rng.random() < 0.2)
        ticket = make_ticket(rank=9 * low, at=now, **{"route": "r", kind: f"g{low}"})
        came[low] += 1
        turns.count_request(ticket, now)
        wait_s = slot_waits.estimate_wait(turns.find_position(ticket, now), rate)
        if can_be_served(wait_s, 0.15):
            turns.wait(ticket, now)
        if rng.random() < 0.2:
            for each in turns.pick(lambda _: True, now):
                turns.count_turn(each, now)
                served[each.rank[0] // 9] += 1
        for each in turns.list_expired(now):
            turns.leave(each)
    assert served[1] / came[1] >= 0.9 * FLOOR_FRACTION * sum(served) / sum(came)
    assert served[0] > 3 * served[1]


def test_newcomer_waits_behind_those_that_wait_for_the_same_servers():
    turns = Turns()
    turns.wait(make_ticket(), NOW)
    assert turns.has_waiting(NEED)
    assert not turns.has_waiting(Need("svc", "m1"))
    # One whose servers are full does not hold up those with other needs.
    other = evolve(make_ticket(at=NOW + 0.01), need=Need("svc", "m1"))
    turns.wait(other, NOW + 0.01)
    assert turns.pick(lambda each: each is other, NOW + 0.02) == [other]


def test_what_waits_is_bounded_by_count_and_bytes_and_the_least_urgent_goes():
    turns = Turns()
    patient = make_ticket(6.0, 2)
    assert turns.wait(patient, NOW) == []
    for number in range(WAITING_MAX - 1):
        assert turns.wait(make_ticket(at=NOW + number / 1e4), NOW) == []
    assert turns.wait(make_ticket(), NOW) == [patient]
    last = make_ticket(0.3, 5)
    assert turns.wait(last, NOW) == [last]
    assert not turns.hold(make_ticket()), "what waits for a load counts as well"
    turns = Turns()
    for _ in range(4):
        turns.wait(make_ticket(body_bytes=WAITING_BYTES_MAX // 4), NOW)
    (evicted,) = turns.wait(make_ticket(0.3, 0, body_bytes=WAITING_BYTES_MAX // 4), NOW)
    assert evicted.rank == (1,) and turns.body_bytes <= WAITING_BYTES_MAX


def test_waits_of_a_frozen_instance_are_decided_again():
    """Its slots were news of before; whoever may not wait any longer gets none of them."""
    turns = Turns()
    urgent, patient = make_ticket(), make_ticket(6.0, 2)
    for ticket in (urgent, patient):
        turns.wait(ticket, NOW)
    assert turns.list_expired(NOW + 2.0) == [urgent]
    assert turns.pick(lambda _: True, NOW + 2.0) == [patient]


def test_callers_of_a_killed_instance_are_newcomers_elsewhere():
    """Nobody keeps a place for them: they are ordered by their targets like all others."""
    survivor = Turns()
    waiting, moved = make_ticket(at=NOW - 0.1), make_ticket(at=NOW)
    patient = make_ticket(6.0, 1, at=NOW - 1.0)
    for ticket in (waiting, patient, moved):
        survivor.wait(ticket, NOW)
    assert pick_all(survivor, NOW + 0.01) == [waiting, moved, patient]
    assert survivor.find_position(make_ticket(at=NOW), NOW).urgency is Urgency.URGENT


ENGINE = EngineSpec(8, 1000, 200.0, 4, 1.6, {"m1": ModelSpec("m1", 60.0, 4.0, 0.8, 0.5)})
NEEDS = ("m1", "")


def decide(
    fleet, now: float, target_s: float = 0.3, left_s: float = 4.0, due_at: float | None = None
) -> LoadWait | LoadRefusal:
    patience = CallerPatience(NOW, NOW + left_s, target_s, due_at)
    servers = fleet.list_service("svc")
    return decide_scheduled_load_wait(ENGINE, NEEDS, servers, patience, now)


@pytest.mark.parametrize(("target_s", "reply_s"), ((0.3, 0.075), (6.0, 1.75)))
def test_request_for_more_models_than_slots_is_refused_once_no_load_is_announced(target_s, reply_s):
    """Urgent ones waited for a second, patient ones also when no load could end in time any more.

    With a short wait for all, seven of ten patient requests for rare models were refused.
    """
    fleet = make_fleet(make_entry("b1"))
    found = decide(fleet, NOW, target_s, 12.0)
    assert isinstance(found, LoadWait) and found.until == pytest.approx(NOW + reply_s)
    refused = decide(fleet, NOW + reply_s, target_s, 12.0)
    assert isinstance(refused, LoadRefusal) and refused.available_in_s == pytest.approx(4.25)
    before = decide_load_wait(
        ENGINE,
        NEEDS,
        fleet.list_service("svc"),
        CallerPatience(NOW, NOW + 12.0, target_s),
        NOW + reply_s,
    )
    assert isinstance(before, LoadWait)


def test_demand_that_moves_to_a_model_waits_for_its_load_if_that_ends_in_time():
    fleet = make_fleet(make_entry("b1"))
    fleet.apply_pending_changes("b1", "m1", 0.7, "", NOW)
    found = decide(fleet, NOW + 0.01)
    assert isinstance(found, LoadWait) and found.is_under_way
    assert found.until == pytest.approx(NOW + 0.7 + LOADED_MARGIN_S)
    fleet.apply_pending_changes("b1", "m1", 3.5, "", NOW)
    refused = decide(fleet, NOW + 0.01)
    assert isinstance(refused, LoadRefusal) and refused.available_in_s == pytest.approx(3.49)


def test_load_that_does_not_end_is_waited_for_once():
    """An overdue load was announced as due now, again and again, and held its callers."""
    fleet = make_fleet(make_entry("b1"))
    fleet.apply_pending_changes("b1", "m1", 0.0, "", NOW + 1.5)
    assert isinstance(decide(fleet, NOW + 1.5, due_at=NOW + 0.7), LoadRefusal)


@pytest.mark.parametrize("refuses_soon", (False, True))
def test_refused_requests_count_towards_those_that_wait_for_a_model(refuses_soon):
    """Short waits leave gaps in the reports, after which the holder began to count anew."""
    usage = Usage()
    for number in range(20):
        usage.count(("svc", "m1", ""), Tally(requests=1), NOW + 0.7 * number)
        usage.record_awaited(("svc", "m1", ""), NOW + 0.7 * number)
    fleet = make_fleet(make_entry("b1"))
    records, states = dict(fleet.servers), {"b1": EngineState("b1", 1, orders=0)}
    plan = OrderPlan("svc", ENGINE, states, records, usage, NOW + 14.0, refuses_soon=refuses_soon)
    assert (plan.count_waiting("m1") > OVERDUE_REQUESTS) is refuses_soon


def test_instance_that_is_cut_from_the_holder_refuses_without_its_reply():
    fleet = make_fleet(make_entry("b1"))
    fleet.apply_pending_changes("b1", "m1", 0.5, "", NOW - 9.0)
    assert isinstance(decide(fleet, NOW + 0.01), LoadRefusal), "the announced load is long overdue"
