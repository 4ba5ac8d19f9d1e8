"""Decisions on servers that name limits, and the messages that instances exchange about them."""

import math
import random

import msgpack
import pytest
from attrs import evolve
from returns.result import Failure

from rhubarbshed.coordination.serving.choice import is_full
from rhubarbshed.coordination.serving.server_limits import (
    LIMIT_MAX_PER_S,
    LIMIT_MIN_PER_S,
    RETRY_MAX_S,
    LimitBucket,
    LimitChange,
    apply_head,
    apply_reported_limit,
    clamp_limit,
    measure_burst,
    rank_allocators,
)
from rhubarbshed.platform.headers import read_head
from rhubarbshed.protocol.exchanges import ResponseHead
from rhubarbshed.protocol.limit_messages import (
    LimitMessage,
    LimitQuestion,
    LimitReply,
)
from rhubarbshed.protocol.messages import FORMAT, pack_message, unpack_message
from rhubarbshed.protocol.servers import ServerEntry, ServerState
from rhubarbshed.state.membership.fleet import Fleet, ServerRecord
from rhubarbshed.transport.edge.allocators import Allocators
from rhubarbshed.transport.edge.limit_registry import LimitRegistry

NAMED = ResponseHead(200, (), names_limit=True, limit_per_s=4.0)
UNNAMED = ResponseHead(200, ())


def make_record() -> ServerRecord:
    entry = ServerEntry("s", "svc", "h", 1, "a", ServerState.READY, 8, "v1", {}, 1, 1)
    return ServerRecord(entry, 0.0)


@pytest.mark.parametrize(
    ("text", "expected"),
    (
        (b"4.4", 4.4),
        (b" 3 ", 3.0),
        (b"0", 0.0),
        (b"1e300", 1e300),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"1e400", None),
        (b"", None),
        (b"four", None),
    ),
)
def test_limit_is_read_from_the_header(text, expected):
    head = read_head(200, [(b"Server-Limit", text)])
    assert head.names_limit and head.limit_per_s == expected
    assert not read_head(200, []).names_limit


def test_limits_without_effect_count_as_none_and_the_lowest_lets_something_through():
    assert clamp_limit(0.0) == LIMIT_MIN_PER_S and clamp_limit(4.4) == 4.4
    assert [clamp_limit(each) for each in (None, math.nan, LIMIT_MAX_PER_S, 1e300)] == [None] * 4


def test_limit_ends_with_an_answer_that_was_asked_for_after_it_was_named():
    record = make_record()
    assert apply_head(record, NAMED, 0.5, 1.0) is LimitChange.NAMED
    assert apply_head(record, NAMED, 1.1, 1.2) is LimitChange.NONE
    for limit_per_s, change in ((4.4, "adjusted"), (2.0, "named"), (4.0, "named")):
        head = evolve(NAMED, limit_per_s=limit_per_s)
        assert apply_head(record, head, 1.1, 1.2).value == change
    unreadable = evolve(NAMED, limit_per_s=None)
    assert apply_head(record, unreadable, 1.3, 1.4) is LimitChange.UNREADABLE
    # Sent before it was named last, and not run at all.
    assert apply_head(record, UNNAMED, 1.1, 1.5) is LimitChange.NONE
    assert apply_head(record, evolve(UNNAMED, not_run=True), 1.6, 1.7) is LimitChange.NONE
    assert record.limit_per_s == 4.0
    record.limited_until = 9.0
    assert is_full(record, 1, 1.7)
    assert apply_head(record, UNNAMED, 1.6, 1.8) is LimitChange.ENDED
    assert record.limit_per_s is None and not is_full(record, 1, 1.8)


def test_older_limit_that_another_instance_reports_changes_nothing():
    record = make_record()
    assert apply_reported_limit(record, 4.0, 1.0) is LimitChange.NAMED
    assert apply_reported_limit(record, 2.0, 0.9) is LimitChange.NONE
    assert apply_reported_limit(record, None, 1.1) is LimitChange.ENDED
    assert apply_reported_limit(record, 2.0, 1.0) is LimitChange.NONE
    assert record.limit_per_s is None


@pytest.mark.parametrize("rate", (0.4, 4.4, 60.0))
@pytest.mark.parametrize("wait_max_s", (0.0, 0.15))
def test_requests_that_are_handed_out_hold_the_limit_in_every_window(rate, wait_max_s):
    rng = random.Random(5)
    bucket, now, sent = LimitBucket(0.0), 0.0, []
    while now < 40.0:
        now += rng.expovariate(4.0 * rate)
        grant = bucket.take(rate, wait_max_s, now)
        if grant.send_in_s is not None:
            sent.append(now + grant.send_in_s)
    most = max(sum(at <= each < at + 4.0 for each in sent) for at in sent)
    assert most <= (4.0 + measure_burst(rate)) * rate + 1.0 + 1e-6
    assert len(sent) >= 0.9 * 40.0 * rate


def test_limit_that_rises_is_used_within_two_seconds():
    bucket, record = LimitBucket(0.0), make_record()
    for _ in range(3):
        bucket.take(0.1, 0.0, 0.0)
    grants = [bucket.take(4.0, 0.0, 0.1 * number) for number in range(40)]
    first = next(number for number, each in enumerate(grants) if each.send_in_s is not None)
    assert 0.1 * first <= 2.0
    apply_head(record, evolve(NAMED, limit_per_s=0.1), 0.5, 1.0)
    record.limited_until = 10.0
    apply_head(record, NAMED, 1.5, 2.0)
    assert not is_full(record, 1, 2.0)


def test_refused_callers_are_asked_back_one_after_the_other():
    bucket = LimitBucket(0.0)
    for _ in range(2):
        assert bucket.take(2.0, 0.0, 0.0).send_in_s == 0.0
    retries = [bucket.take(2.0, 0.0, 0.0) for _ in range(40)]
    assert {each.send_in_s for each in retries} == {None}
    assert {each.free_in_s for each in retries} == {0.5}
    assert [each.retry_in_s for each in retries[:3]] == [0.5, 1.0, 1.5]
    assert retries[-1].retry_in_s == RETRY_MAX_S


def test_instances_of_the_servers_data_centre_hand_out_its_requests():
    instances = {"a": [("10.0.0.1", 1), ("10.0.0.2", 1)], "b": [("10.0.1.1", 1), ("10.0.1.2", 1)]}
    ranked = rank_allocators("s", "b", instances)
    assert {host[:6] for host, _ in ranked[:2]} == {"10.0.1"} and len(ranked) == 4
    # The others move up in their order when one is lost.
    left = {"a": instances["a"], "b": [each for each in instances["b"] if each != ranked[0]]}
    assert rank_allocators("s", "b", left) == ranked[1:]


@pytest.mark.parametrize(
    "message",
    (
        LimitMessage("s", 1, 4.4),
        LimitMessage("s", 1, None),
        LimitQuestion(7, "s", 1, 4.4, 20, 150),
        LimitReply(7, 0, 0, 0),
        LimitReply(7, None, 250, 900),
    ),
)
def test_message_is_read_as_it_was_sent(message):
    assert unpack_message(pack_message(message)).unwrap() == message


@pytest.mark.parametrize(
    "fields",
    (
        ("limit", "s", 1, math.nan),
        ("limit", "s", 1, -1.0),
        ("limit", "s", 1, math.inf),
        ("limit", "s", 1, "4"),
        ("limit", 1, 1, 4.0),
        ("limit_question", 7, "s", 1, None, 20, 150),
        ("limit_question", 7, "s", 1, 0.0, 20, 150),
        ("limit_question", 7, "s", 1, 4.0, -1, 150),
        ("limit_question", 7, "s", 1, 4.0, 20),
        ("limit_reply", 7, -1, 0, 0),
        ("limit_reply", 7, 0, None, 0),
    ),
)
def test_malformed_message_is_unreadable(fields):
    assert isinstance(unpack_message(msgpack.packb((FORMAT, *fields))), Failure)


def test_limit_that_wavers_is_not_sent_to_all_others_each_time():
    sent = []
    allocators = Allocators(
        "a", ("10.0.0.1", 1), lambda message, *to: sent.append(message), random.Random(1)
    )
    registry = LimitRegistry(Fleet(), allocators)
    allocators.learn_instances({"a": [("10.0.0.2", 1)]}, True)
    record = make_record()
    for number in range(50):
        head = evolve(NAMED, limit_per_s=4.0 + 0.01 * number)
        registry.record_head(record, head, 0.0)
    assert sent == [LimitMessage("s", 1, 4.0)] and record.limit_per_s == 4.49
    # One that changes much is not sent more than once a second either.
    for limit_per_s in (1.0, 9.0, 2.0):
        registry.record_head(record, evolve(NAMED, limit_per_s=limit_per_s), 0.0)
    assert len(sent) == 1
