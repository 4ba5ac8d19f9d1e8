"""Verdicts on requests by the ends of servers that they were at."""

import random

import pytest

from rhubarbshed.coordination.requests.verdicts import (
    REQUESTS_IF_BEGUN,
    REQUESTS_IF_POPULAR,
    REQUESTS_OF_VERDICT,
    TRIAL_PAUSES_S,
    choose_requests_min,
    choose_rounds,
    find_verdict,
    weigh_ends,
)
from rhubarbshed.protocol.quarantine import CrashId, Sighting


def see(
    number: int, sent_at: float, ended_at: float, begun=False, after=None, request="q"
) -> Sighting:
    before = CrashId(f"r{after}", "1") if after is not None else None
    return Sighting(CrashId(f"r{number}", "1"), request, sent_at, ended_at, begun, before)


def test_one_end_is_no_verdict():
    assert find_verdict("q", ()) is None
    assert find_verdict("q", (see(1, 0.0, 0.1),)) is None


def test_servers_that_end_together_count_as_one():
    together = [see(number, -0.1 * number, 1.0 + 0.001 * number) for number in range(8)]
    assert find_verdict("q", together) is None


def test_two_ends_one_after_the_other_are_a_verdict_put_to_a_trial_later_each_time():
    sightings = [see(number, number + 0.2, number + 0.3) for number in range(5)]
    for count in (2, 3, 4, 5):
        verdict = find_verdict("q", sightings[:count])
        pause_s = TRIAL_PAUSES_S[min(count - 2, 2)]
        assert verdict.trial_at == pytest.approx(count - 1 + 0.3 + pause_s)
        assert len(verdict.rounds) == count


def test_stream_that_had_begun_is_stopped_after_three_ends():
    sightings = [see(number, number + 0.2, number + 0.9, True) for number in range(3)]
    assert find_verdict("q", sightings[:2]) is None
    assert find_verdict("q", sightings) is not None
    # An end before it began and two after it.
    assert find_verdict("q", [see(9, -1.0, 0.0), *sightings[:1]]) is None
    assert find_verdict("q", [see(9, -1.0, 0.0), *sightings[:2]]) is not None


def test_repeat_right_after_an_end_counts_where_the_message_of_the_end_came_late():
    first, second = see(1, 0.0, 0.100), see(2, 0.0995, 0.2)
    assert find_verdict("q", (first, second)) is None
    assert find_verdict("q", (first, see(2, 0.0995, 0.2, after=1))) is not None


@pytest.mark.parametrize("seed", range(20))
def test_rounds_do_not_depend_on_the_order_in_which_ends_become_known(seed):
    rng = random.Random(seed)
    sightings = []
    for number in range(12):
        sent_at = rng.uniform(0.0, 3.0)
        sightings.append(see(number, sent_at, sent_at + rng.uniform(0.01, 1.0), rng.random() < 0.5))
    first = choose_rounds(sightings, weigh_ends)
    for _ in range(5):
        rng.shuffle(sightings)
        assert choose_rounds(sightings, weigh_ends) == first
    for earlier, later in zip(first, first[1:], strict=False):
        assert later.sent_at > earlier.ended_at


def test_part_needs_different_requests():
    one = [see(number, number + 0.1, number + 0.2, request="q1") for number in range(5)]
    assert find_verdict("part", one) is None
    two = see(5, 5.1, 5.2, request="q2")
    assert find_verdict("part", [*one, two]) is not None
    assert find_verdict("part", [see(0, 0.1, 0.2, request="q1"), two]) is not None


def test_part_at_servers_that_end_together_is_not_stopped():
    together = [
        see(number, -0.1 * number, 1.0 + 0.001 * number, request=f"q{number}")
        for number in range(8)
    ]
    assert find_verdict("part", together) is None


def test_part_that_is_often_used_needs_more_requests():
    sightings = [see(n, n + 0.1, n + 0.2, request=f"q{n}") for n in range(REQUESTS_IF_POPULAR)]
    for begun, needed in ((0, REQUESTS_OF_VERDICT), (1, REQUESTS_IF_BEGUN), (10, 4)):
        assert choose_requests_min(begun) == needed
        assert find_verdict("part", sightings[: needed - 1], needed) is None
        assert find_verdict("part", sightings[:needed], needed) is not None


def test_part_that_is_new_is_stopped_after_two_ends_that_are_not_together():
    """Requests with a part often overlap; to wait for one that was sent later costs servers."""
    first = see(1, -0.10, 0.0, request="q1")
    second = see(2, -0.05, 0.03, request="q2")
    assert find_verdict("part", (first, second)) is not None
    assert find_verdict("part", (first, second), REQUESTS_IF_BEGUN) is None
    together = see(2, -0.05, 0.004, request="q2")
    assert find_verdict("part", (first, together)) is None
    # Copies of one request, on the other hand, may be many.
    copy = see(2, -0.05, 0.03, request="q")
    assert find_verdict("q", (see(1, -0.10, 0.0), copy)) is None


def test_several_requests_at_one_end_are_one_round():
    """Instances that are late see the end of one server tens of milliseconds apart."""
    one_end = [see(1, -1.0, 0.02 * number, request=f"q{number}") for number in range(4)]
    assert find_verdict("part", one_end) is None
    later = see(2, -1.0, 0.05, request="q9")
    verdict = find_verdict("part", [*one_end, later])
    assert len(verdict.rounds) == len({each.crash for each in verdict.rounds}) == 2


def test_two_requests_that_are_at_both_of_two_ends_are_a_verdict_on_their_part():
    """Both were sent on to the same server, and the third end was awaited."""
    first = [see(1, -0.1, 0.0, request=name) for name in ("q1", "q2")]
    second = [see(2, 0.01, 0.1, request=name) for name in ("q1", "q2")]
    for sightings in ([*first, *second], [*reversed(first), *second]):
        assert find_verdict("part", sightings, REQUESTS_OF_VERDICT) is not None
