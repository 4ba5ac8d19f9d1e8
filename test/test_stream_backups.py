"""Backups of a stream's origin: whom to tell, whom to ask, how replies combine."""

from hypothesis import given
from hypothesis import strategies as st

from rhubarbshed.coordination.serving.stream_backups import (
    BACKUPS,
    Replies,
    choose_backups,
    choose_first_round,
    choose_second_round,
    combine_origins,
    is_round_over,
    make_key,
    name_instances,
)
from rhubarbshed.protocol.message_checks import TEXT_LENGTH_MAX, is_text
from rhubarbshed.protocol.streams import StreamOrigin

V1, V2 = StreamOrigin("svc", "v1"), StreamOrigin("svc", "v2")
DATA_CENTRES = "abcdef"


def make_instances(count: int, data_centres: str = DATA_CENTRES) -> dict[str, list]:
    return {
        name: [(f"10.{name}.{number}", 7000) for number in range(count)] for name in data_centres
    }


def leave_out(instances: dict[str, list], address: tuple[str, int]) -> dict:
    return name_instances(
        {name: [each for each in listed if each != address] for name, listed in instances.items()}
    )


def test_backups_are_two_of_the_own_data_centre_and_one_of_another():
    named = name_instances(make_instances(62))
    for number in range(50):
        backups = choose_backups(f"s{number}", "a", named)
        assert [address in named["a"].values() for address in backups] == [True, True, False]


@given(
    st.text(max_size=16),
    st.integers(1, 8),
    st.integers(1, 6),
    st.integers(0, 47),
    st.integers(0, 47),
)
def test_any_other_instance_asks_all_backups_first(stream_id, count, centres, first, asker):
    instances = make_instances(count, DATA_CENTRES[:centres])
    everyone = [(name, each) for name, listed in instances.items() for each in listed]
    own, teller = everyone[first % len(everyone)]
    _, asking = everyone[asker % len(everyone)]
    backups = choose_backups(stream_id, own, leave_out(instances, teller))
    assert len(backups) == len(set(backups)) == min(BACKUPS, len(everyone) - 1)
    asked = choose_first_round(stream_id, leave_out(instances, asking))
    missed = set(backups) - {asking} - set(asked)
    # In a sole data centre all backups are local, and the teller may rank before one of them.
    assert len(missed) <= (1 if centres == 1 else 0)


def test_few_instances_of_the_own_data_centre_are_replaced_by_others():
    named = name_instances({"a": [], "b": [("b1", 1)], "c": [("c1", 1), ("c2", 1)]})
    backups = choose_backups("s", "a", named)
    assert set(backups) == {("b1", 1), ("c1", 1), ("c2", 1)}
    assert choose_backups("s", "a", {}) == ()


def test_loss_of_one_instance_moves_only_its_own_streams():
    instances = make_instances(20)
    gone = instances["a"][3]
    for number in range(100):
        before = choose_backups(f"s{number}", "a", name_instances(instances))
        after = choose_backups(f"s{number}", "a", leave_out(instances, gone))
        assert gone in before or before == after
        assert len(set(before) & set(after)) >= BACKUPS - 1


def test_streams_are_spread_over_the_instances():
    named = name_instances(make_instances(10))
    kept = dict.fromkeys(named["a"].values(), 0)
    for number in range(1000):
        for address in choose_backups(f"s{number}", "a", named)[:2]:
            kept[address] += 1
    assert 130 < min(kept.values()) and max(kept.values()) < 270


def test_second_round_asks_all_that_have_not_replied_if_nobody_knew():
    named = name_instances(make_instances(5, "ab"))
    asked = frozenset(choose_first_round("s", named))
    replied = frozenset(sorted(asked)[:4])
    targets = set(choose_second_round(named, Replies(asked, replied)))
    assert targets == {each for one in named.values() for each in one.values()} - replied


def test_second_round_repeats_only_unanswered_questions_if_somebody_knew():
    named = name_instances(make_instances(5, "ab"))
    asked = frozenset(choose_first_round("s", named))
    silent = min(asked)
    replies = Replies(asked, asked - {silent}, frozenset({V1}))
    assert choose_second_round(named, replies) == (silent,)
    assert choose_second_round(named, Replies(asked, asked, frozenset({V1}))) == ()
    assert choose_second_round(named, Replies(asked, frozenset(), frozenset({V1, V2}))) == ()


def test_round_is_over_when_all_have_replied_or_only_silent_ones_are_missing():
    targets = (("a", 1), ("b", 1))
    one = frozenset({("a", 1)})
    assert not is_round_over(targets, Replies(replied=one), ())
    assert is_round_over(targets, Replies(replied=frozenset(targets)), ())
    assert not is_round_over(targets, Replies(replied=one, origins=frozenset({V1})), ())
    assert is_round_over(targets, Replies(replied=one, origins=frozenset({V1})), {("b", 1)})
    assert not is_round_over(targets, Replies(replied=one), {("b", 1)})
    assert is_round_over(targets, Replies(origins=frozenset({V1, V2})), ())


def test_origins_combine_only_if_they_agree():
    assert combine_origins([]) is None
    assert combine_origins([V1, StreamOrigin("svc", "v1")]) == V1
    assert combine_origins([V1, V2]) is None


@given(st.text(alphabet=st.characters(), max_size=400))
def test_key_of_any_id_can_be_sent(stream_id):
    key = make_key(stream_id)
    assert is_text(key) and len(key) <= TEXT_LENGTH_MAX
    assert key == stream_id or not is_text(stream_id)


def test_key_of_an_id_that_messages_cannot_carry_is_a_digest():
    assert make_key("\ud800") != make_key("\ud801") and len(make_key("x" * 500)) == 32
