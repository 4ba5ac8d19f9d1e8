"""Records of the origins of streams, and lists of instances: bounds and order."""

from rhubarbshed.protocol.messages import InstancesMessage, pack_addresses
from rhubarbshed.protocol.streams import StreamOrigin
from rhubarbshed.state.requests.known_instances import (
    DATA_CENTRES_MAX,
    LIST_KEEP_S,
    MARK_KEEP_S,
    KnownInstances,
)
from rhubarbshed.state.requests.stream_origins import KEEP_S, StreamOrigins

V1, V2 = StreamOrigin("svc", "v1"), StreamOrigin("svc", "v2")
W1 = StreamOrigin("svc2", "v1")
A, B, C = ("10.0.0.1", 1), ("10.0.0.2", 2), ("::1", 3)


def list_message(*addresses, token=1, number=1, part=0, parts=1, sender="a", listed="a"):
    packed = pack_addresses(addresses)
    return InstancesMessage(sender, token, listed, number, part, parts, *packed)


def test_record_lasts_for_two_timeouts_of_the_slowest_route():
    origins = StreamOrigins()
    origins.record("s", V1, 100.0)
    assert origins.find("s", 100.0 + 40.0) == V1
    assert origins.find("s", 100.0 + KEEP_S + 0.1) is None
    origins.record("t", V1, 100.0 + KEEP_S + 0.1)
    assert len(origins) == 1


def test_id_recorded_with_two_versions_of_a_service_is_unknown_until_its_age_ends():
    origins = StreamOrigins()
    origins.record("s", V1, 1.0)
    origins.record("s", V1, 2.0)
    assert origins.find("s", 3.0) == V1
    origins.record("s", V2, 10.0)
    origins.record("s", V1, 11.0)
    origins.record("s", V2, 12.0)
    assert origins.find("s", 12.0) is None and len(origins) == 1
    assert origins.list_origins("s", 12.0 + KEEP_S) == (V1, V2)
    assert origins.list_origins("s", 12.1 + KEEP_S) == ()
    origins.record("s", V2, 13.0 + KEEP_S)
    assert origins.find("s", 13.0 + KEEP_S) == V2


def test_record_that_others_made_before_ends_with_its_own_age():
    origins = StreamOrigins()
    origins.record("s", V1, 100.0, 50.0)
    assert origins.find("s", 110.0) == V1 and origins.find_age("s", 105.0) == 55.0
    assert origins.find("s", 110.1) is None and origins.list_live(110.1) == []
    origins.record("t", V1, 100.0, KEEP_S + 1.0)
    assert origins.find("t", 100.0) is None
    origins.record("u", V1, 100.0)
    origins.record("u", V1, 101.0, 30.0)
    assert origins.find("u", 100.0 + KEEP_S) == V1


def test_record_of_another_service_replaces_an_older_one():
    origins = StreamOrigins()
    origins.record("s", V1, 1.0)
    origins.record("s", V2, 2.0)
    origins.record("s", W1, 3.0)
    assert origins.find("s", 4.0) == W1 and len(origins) == 1


def test_oldest_records_go_first_and_a_refreshed_one_is_not_the_oldest():
    origins = StreamOrigins(records_max=2)
    origins.record("s", V1, 1.0)
    origins.record("t", V1, 1.0)
    origins.record("s", V1, 2.0)
    origins.record("u", V1, 2.0)
    assert [stream_id for stream_id, _ in origins.list_live(2.0)] == ["s", "u"]


def test_list_of_a_holder_replaces_the_one_before():
    known = KnownInstances()
    assert known.apply(list_message(A, B), 1.0)
    assert not known.apply(list_message(A, B), 2.0)
    assert known.apply(list_message(A, C, number=2), 3.0)
    assert known.lists["a"].addresses == (A, C)


def test_list_of_a_former_holder_is_ignored_but_not_forever():
    known = KnownInstances()
    known.apply(list_message(A, token=9), 1.0)
    assert not known.apply(list_message(B, token=8, number=5), 2.0)
    assert not known.apply(list_message(B, token=9, number=0), 2.0)
    assert known.apply(list_message(B, token=8), 1.0 + MARK_KEEP_S)


def test_list_in_parts_counts_once_it_is_complete():
    known = KnownInstances()
    assert not known.apply(list_message(A, part=0, parts=2), 1.0)
    assert not known.apply(list_message(C, number=2, part=1, parts=2), 1.1)
    assert "a" not in known.lists
    assert known.apply(list_message(B, number=2, part=0, parts=2), 1.2)
    assert known.lists["a"].addresses == (B, C)


def test_list_of_a_data_centre_whose_holder_is_silent_is_dropped_late():
    known = KnownInstances()
    known.record("a", (A,), 1.0)
    known.record("b", (B,), 1.0)
    assert not known.drop_silent("a", 1.0 + LIST_KEEP_S)
    assert known.drop_silent("a", 1.1 + LIST_KEEP_S)
    assert known.lists["a"].addresses == (A,) and known.lists["b"].addresses == ()
    assert not known.drop_silent("a", 1.2 + LIST_KEEP_S)


def test_forged_names_of_data_centres_are_bounded():
    known = KnownInstances()
    for number in range(1000):
        known.apply(list_message(A, listed=f"x{number}", sender=f"y{number}"), 1.0)
        known.apply(list_message(A, part=0, parts=2, listed=f"z{number}"), 1.0)
    assert len(known.lists) <= DATA_CENTRES_MAX and len(known.marks) <= 2 * DATA_CENTRES_MAX
    assert len(known._parts) <= DATA_CENTRES_MAX
