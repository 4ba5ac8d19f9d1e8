"""Verdicts on requests by the ends of servers that they were at."""

import random

import pytest

from rhubarbshed.coordination.requests.verdicts import (
    TRIAL_PAUSES_S,
    choose_rounds,
    find_verdict,
)
from rhubarbshed.protocol.quarantine import CrashId, Sighting


def see(number: int, sent_at: float, ended_at: float, begun=False, after=None) -> Sighting:
    before = CrashId(f"r{after}", "1") if after is not None else None
    return Sighting(CrashId(f"r{number}", "1"), "q", sent_at, ended_at, begun, before)


def test_one_end_is_no_verdict():
    assert find_verdict("k", ()) is None
    assert find_verdict("k", (see(1, 0.0, 0.1),)) is None


def test_servers_that_end_together_count_as_one():
    together = [see(number, -0.1 * number, 1.0 + 0.001 * number) for number in range(8)]
    assert find_verdict("k", together) is None


def test_two_ends_one_after_the_other_are_a_verdict_put_to_a_trial_later_each_time():
    sightings = [see(number, number + 0.2, number + 0.3) for number in range(5)]
    for count in (2, 3, 4, 5):
        verdict = find_verdict("k", sightings[:count])
        pause_s = TRIAL_PAUSES_S[min(count - 2, 2)]
        assert verdict.trial_at == pytest.approx(count - 1 + 0.3 + pause_s)
        assert len(verdict.rounds) == count


def test_stream_that_had_begun_is_stopped_after_three_ends():
    sightings = [see(number, number + 0.2, number + 0.9, True) for number in range(3)]
    assert find_verdict("k", sightings[:2]) is None
    assert find_verdict("k", sightings) is not None
    # An end before it began and two after it.
    assert find_verdict("k", [see(9, -1.0, 0.0), *sightings[:1]]) is None
    assert find_verdict("k", [see(9, -1.0, 0.0), *sightings[:2]]) is not None


def test_repeat_right_after_an_end_counts_where_the_message_of_the_end_came_late():
    first, second = see(1, 0.0, 0.100), see(2, 0.0995, 0.2)
    assert find_verdict("k", (first, second)) is None
    assert find_verdict("k", (first, see(2, 0.0995, 0.2, after=1))) is not None


@pytest.mark.parametrize("seed", range(20))
def test_rounds_do_not_depend_on_the_order_in_which_ends_become_known(seed):
    rng = random.Random(seed)
    sightings = []
    for number in range(12):
        sent_at = rng.uniform(0.0, 3.0)
        sightings.append(see(number, sent_at, sent_at + rng.uniform(0.01, 1.0), rng.random() < 0.5))
    first = choose_rounds(sightings)
    for _ in range(5):
        rng.shuffle(sightings)
        assert choose_rounds(sightings) == first
    for earlier, later in zip(first, first[1:], strict=False):
        assert later.sent_at > earlier.ended_at
