"""Test the choice by predicted time, its spread over servers, and equal pairs everywhere."""

import random
from collections import Counter

import pytest
from attrs import evolve

from rhubarbshed.coordination.requests.routing import (
    Route,
    choose_route,
    compute_uncertainty_cost,
    draw_route,
    find_pair,
    predict_first_token,
)
from rhubarbshed.protocol.requests import Priority
from rhubarbshed.state.membership.load import Candidate
from test.helper_requests import make_info, make_request, make_settings

SETTINGS = make_settings().routing


def make_candidate(name: str, **changes) -> Candidate:
    candidate = Candidate(
        info=make_info(name),
        in_flight=0,
        waiting_tokens=0,
        own_in_flight=0,
        unreported=0.0,
        slots=4,
        slot_time_s=2.0,
        prefill_tokens_per_s=1000.0,
        cached_share=0.0,
        adapter_resident=True,
        failures=0.0,
        report_age_s=0.5,
    )
    return evolve(candidate, **changes)


def predict(candidate: Candidate, **changes) -> float:
    return predict_first_token(make_request(**changes), candidate, "dc-1", SETTINGS)


def test_prediction_follows_queue_cache_adapter_distance_and_failures():
    free = predict(make_candidate("b0"))
    assert predict(make_candidate("b0", cached_share=0.5)) < free
    far = evolve(make_candidate("b0"), info=evolve(make_info("b0"), data_centre="dc-2"))
    assert predict(far) == pytest.approx(free + SETTINGS.distance_cost_s)
    for worse in ({"in_flight": 8}, {"adapter_resident": False}, {"unreported": 8.0}):
        assert predict(make_candidate("b0", **worse)) > free
    for worse in ({"failures": 1.0}, {"suspected": True}, {"report_age_s": 100.0}):
        uncertain = make_candidate("b0", **worse)
        assert predict(uncertain) == free
        assert compute_uncertainty_cost(uncertain, SETTINGS) > 0.0


def test_interactive_waits_less_than_batch():
    busy = make_candidate("b0", in_flight=12)
    assert predict(busy, priority=Priority.INTERACTIVE) < predict(busy, priority=Priority.BATCH)


def test_old_report_counts_less_but_own_attempts_in_full():
    fresh = make_candidate("b0", in_flight=12)
    old = evolve(fresh, report_age_s=1000.0)
    assert predict(old) < predict(fresh)
    own = evolve(old, own_in_flight=12)
    assert predict(own) > predict(old)


def test_only_server_is_chosen_however_stale_or_suspected():
    only = make_candidate("b0", report_age_s=1e6, suspected=True, failures=8.0)
    route = choose_route(make_request(), [only], "dc-1", SETTINGS, random.Random(1))
    assert route.candidate is only


def test_pair_is_the_same_in_any_order_and_keeps_a_lost_server_place():
    candidates = [make_candidate(f"b{number}") for number in range(5)]
    for number in range(50):
        request = make_request(number)
        pair = {found.info.name for found in find_pair(request, candidates)}
        again = find_pair(evolve(request, request_id="x", caller="y"), reversed(candidates))
        assert {found.info.name for found in again} == pair
        lost = [evolve(one, lost=one.info.name == min(pair)) for one in candidates]
        route = choose_route(request, find_pair(request, lost), "dc-1", SETTINGS, random.Random(1))
        assert route.candidate.info.name == max(pair)


def test_instances_that_heard_of_different_copies_choose_the_same_pair():
    """Otherwise a crashing request sent through both at once would take down a third server."""
    known = [make_candidate(name) for name in ("b0", "b1", "b2")]
    for number in range(50):
        request = make_request(number)
        pair = {found.info.name for found in find_pair(request, known)}
        new = [make_candidate(name, newly_resident=True) for name in ("b3", "b4")]
        for heard in (new[:1], new[1:], new):
            assert {found.info.name for found in find_pair(request, known + heard)} == pair
        assert len(find_pair(request, new)) == 1
        lost = [evolve(known[0], lost=True), evolve(known[1], lost=True, newly_resident=True)]
        assert len([found for found in find_pair(request, lost + new) if found.newly_resident]) == 1


def count_choices(choose, instances: int = 15, requests: int = 8) -> Counter:
    """Count the requests to each server while all instances have the same old report."""
    candidates = [
        make_candidate(f"b{number}", in_flight=4 + number, report_age_s=2.0) for number in range(5)
    ]
    return Counter(
        choose(make_request(1000 * instance + number), candidates, random.Random(instance))
        for instance in range(instances)
        for number in range(requests)
    )


def choose_least(request, candidates, randomness) -> str:
    return min(candidates, key=lambda found: found.in_flight).info.name


def choose_ours(request, candidates, randomness) -> str:
    pair = find_pair(request, candidates)
    return choose_route(request, pair, "dc-1", SETTINGS, randomness).candidate.info.name


@pytest.mark.parametrize(("choose", "is_herd"), [(choose_least, True), (choose_ours, False)])
def test_instances_with_one_old_report_do_not_all_choose_alike(choose, is_herd):
    counts = count_choices(choose)
    share = counts.most_common(1)[0][1] / counts.total()
    assert (share > 0.5) is is_herd


def test_two_equal_replicas_share_evenly_and_a_far_slower_one_gets_little():
    equal = [Route(make_candidate(name), 0.1, 0.1) for name in ("b0", "b1")]
    randomness = random.Random(3)
    drawn = Counter(draw_route(equal, randomness).candidate.info.name for _ in range(1000))
    assert 400 < drawn["b0"] < 600
    uneven = [Route(make_candidate("b0"), 0.1, 0.1), Route(make_candidate("b1"), 0.1, 5.0)]
    drawn = Counter(draw_route(uneven, randomness).candidate.info.name for _ in range(1000))
    assert drawn["b1"] < 10


def test_interactive_counts_only_what_goes_first_in_a_queue_mixed_as_its_own_attempts():
    waits = []
    for own in ((0, 0, 0, 0), (0, 0, 2, 2), (2, 2, 2, 2)):
        candidate = make_candidate("b0", in_flight=12, own_in_flight=4)
        candidate = evolve(candidate, own_priorities=tuple(map(Priority, own)))
        waits.append(predict(candidate, priority=Priority.INTERACTIVE))
    assert waits == sorted(waits, reverse=True)
    assert len(set(waits)) == 3
