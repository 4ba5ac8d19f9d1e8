"""Test the standing of instances and backend servers, and its evidence."""

from attrs import evolve

from rhubarbshed.coordination.membership.membership import (
    explain,
    get_standing,
    list_backend_servers,
    list_instances,
    list_lease_holders,
    may_return,
)
from rhubarbshed.protocol.members import (
    BackendKind,
    BackendServerInfo,
    ListedBackendServer,
    ListedInstance,
    PlatformList,
    Standing,
)
from rhubarbshed.state.membership.membership import Membership, make_instance_info
from rhubarbshed.util.settings import Settings

SETTINGS = Settings.from_text("[instance]\nname = a1").unwrap()
SILENCE_S = SETTINGS.peers.silence_s
TERM_S = SETTINGS.leases.term_s
OWN = make_instance_info(SETTINGS, "i1")
PEER = evolve(OWN, name="a2", incarnation="p1")
SERVER = BackendServerInfo("s1", BackendKind.ENGINE, "dc-1", "region-1", "127.0.0.1", 9)
LISTED = PlatformList((ListedInstance(OWN), ListedInstance(PEER)), (ListedBackendServer(SERVER),))
EMPTY = PlatformList((ListedInstance(OWN),), ())
LONG = 1000.0


def make_membership(listed: PlatformList = LISTED) -> Membership:
    membership = Membership.from_settings(SETTINGS, "i1", 0.0)
    membership.apply_list(listed, 0.0)
    return membership


def judge(membership: Membership, name: str, now: float) -> Standing:
    return get_standing(membership, name, now)


def test_silence_makes_a_suspect_and_never_more():
    membership = make_membership()
    membership.expect_heartbeats(["a2"], 0.0)
    membership.apply_hello(PEER, 1.0)
    assert judge(membership, "a2", 1.0 + SILENCE_S) is Standing.LIVE
    assert judge(membership, "a2", 1.1 + SILENCE_S) is Standing.SUSPECTED
    assert judge(membership, "a2", LONG) is Standing.SUSPECTED
    membership.record_contact("a2", LONG)
    assert judge(membership, "a2", LONG) is Standing.LIVE


def test_silence_of_an_instance_not_talked_to_says_nothing():
    membership = make_membership()
    assert judge(membership, "a2", LONG) is Standing.LIVE


def test_leaving_word_stops_new_work_though_the_list_lags():
    membership = make_membership()
    membership.apply_hello(PEER, 1.0)
    assert membership.apply_leaving("a2", "p1", "a2")
    assert membership.apply_leaving("s1", "", "a2")
    membership.apply_list(LISTED, 2.0)
    membership.record_contact("a2", 2.0)
    membership.record_contact("s1", 2.0)
    assert list_instances(membership, 2.0) == (OWN,)
    assert list_backend_servers(membership, 2.0) == ()
    assert "word of a2" in explain(membership, "s1", 2.0).evidence
    assert not membership.apply_leaving("a2", "p1", "a3")


def test_leaving_word_may_come_before_the_member():
    membership = make_membership(EMPTY)
    membership.apply_leaving("a2", "p1", "a3")
    membership.apply_leaving("s1", "", "a3")
    membership.apply_list(LISTED, 1.0)
    assert judge(membership, "a2", 1.0) is Standing.LEAVING
    assert judge(membership, "s1", 1.0) is Standing.LEAVING


def test_new_incarnation_is_a_fresh_member():
    membership = make_membership()
    membership.apply_hello(PEER, 1.0)
    membership.apply_leaving("a2", "p1", "a2")
    membership.apply_hello(evolve(PEER, incarnation="p2"), 2.0)
    assert judge(membership, "a2", 2.0) is Standing.LIVE
    membership.apply_list(LISTED, 2.0)
    assert membership.instances["a2"].incarnation == "p2"
    assert not membership.apply_leaving("a2", "p1", "a3")
    assert judge(membership, "a2", 2.0) is Standing.LIVE


def test_process_that_wakes_after_its_successor_is_not_listened_to():
    membership = make_membership()
    membership.apply_hello(PEER, 1.0)
    membership.apply_hello(evolve(PEER, incarnation="p2"), 2.0)
    membership.apply_hello(PEER, 2.0 + SILENCE_S)
    membership.apply_session("a2", "p1", 9, LONG)
    assert membership.instances["a2"].incarnation == "p2"
    assert membership.instances["a2"].last_received_at == 2.0


def test_instance_taken_for_a_past_one_is_taken_back_when_the_other_is_silent():
    """A resumed process that is seen after its successor must not lock it out permanently."""
    membership = make_membership()
    newest = evolve(PEER, incarnation="p2")
    membership.apply_hello(newest, 1.0)
    membership.apply_hello(evolve(PEER, incarnation="p0"), 2.0)
    membership.apply_hello(newest, 2.1 + SILENCE_S)
    assert membership.instances["a2"].incarnation == "p2"
    assert not membership.is_past("a2", "p2") and membership.is_past("a2", "p0")


def test_session_row_tells_of_a_new_incarnation_only_after_the_one_before():
    membership = make_membership()
    membership.apply_hello(evolve(PEER, incarnation="p2"), 1.0)
    membership.apply_session("a2", "p1", 3, LONG)
    assert membership.instances["a2"].incarnation == "p2"
    membership.apply_session("a2", "p2", 1, LONG)
    membership.apply_session("a2", "p3", 1, LONG)
    assert membership.instances["a2"].incarnation == "p3"
    assert membership.is_past("a2", "p2")


def test_lagging_list_does_not_bring_an_old_incarnation_back():
    membership = make_membership()
    membership.apply_hello(evolve(PEER, incarnation="p2"), 2.0)
    membership.apply_list(LISTED, LONG)
    assert membership.instances["a2"].incarnation == "p2"


def test_absence_from_the_list_counts_only_without_a_sign_of_life():
    membership = make_membership()
    membership.apply_hello(PEER, 1.0)
    membership.record_contact("s1", 1.0)
    membership.apply_list(EMPTY, 1.0)
    assert judge(membership, "a2", 1.0) is Standing.LIVE
    assert "not on the platform's list" in explain(membership, "a2", 1.0).evidence
    assert judge(membership, "a2", 1.1 + SILENCE_S) is Standing.GONE
    assert judge(membership, "s1", 1.1 + SILENCE_S) is Standing.GONE


def test_platform_out_of_reach_keeps_the_last_list():
    membership = make_membership()
    assert judge(membership, "s1", LONG) is Standing.LIVE
    assert judge(membership, "a2", LONG) is Standing.LIVE


def test_session_dies_only_when_read_unchanged_over_a_term():
    membership = make_membership()
    membership.apply_session("a2", "p1", 4, 1.0)
    assert judge(membership, "a2", LONG) is Standing.LIVE
    membership.apply_session("a2", "p1", 4, 0.9 + TERM_S)
    assert judge(membership, "a2", LONG) is Standing.LIVE
    membership.apply_session("a2", "p1", 4, 1.0 + TERM_S)
    assert judge(membership, "a2", LONG) is Standing.GONE
    membership.apply_session("a2", "p1", 5, 2.0 + TERM_S)
    assert judge(membership, "a2", LONG) is Standing.LIVE


def test_server_that_does_not_answer_is_suspected_until_it_does():
    membership = make_membership()
    membership.observe_failure("s1", 1.0)
    assert judge(membership, "s1", 2.0) is Standing.SUSPECTED
    membership.record_contact("s1", 3.0)
    assert judge(membership, "s1", 3.0) is Standing.LIVE


def test_name_of_a_server_that_left_is_free_after_a_term_off_the_list():
    membership = make_membership()
    membership.apply_leaving("s1", "", "a2")
    membership.apply_list(EMPTY, 1.0)
    membership.apply_list(LISTED, 2.0)
    assert judge(membership, "s1", 2.0) is Standing.LEAVING
    membership.apply_list(EMPTY, 3.0)
    membership.apply_list(LISTED, 3.0 + TERM_S)
    assert judge(membership, "s1", 3.0 + TERM_S) is Standing.LIVE


def test_unknown_name_is_gone():
    assert explain(make_membership(), "x", 0.0).evidence == "unknown"


def test_told_list_is_taken_while_none_was_read():
    membership = Membership.from_settings(SETTINGS, "i1", 0.0)
    assert membership.apply_peer_list(LISTED, -20.0)
    assert judge(membership, "a2", 0.0) is Standing.LIVE
    assert judge(membership, "s1", 0.0) is Standing.LIVE
    assert not membership.apply_peer_list(EMPTY, -30.0)


def test_own_list_goes_before_a_told_one():
    membership = make_membership(EMPTY)
    assert not membership.apply_peer_list(LISTED, TERM_S)
    assert judge(membership, "s1", TERM_S) is Standing.GONE
    assert membership.apply_peer_list(LISTED, TERM_S + 0.1)
    assert judge(membership, "s1", TERM_S + 0.1) is Standing.LIVE
    membership.apply_list(EMPTY, TERM_S + 1.0)
    assert judge(membership, "s1", TERM_S + 1.0) is Standing.GONE


def test_told_list_ends_nobody():
    membership = make_membership()
    assert membership.apply_peer_list(EMPTY, LONG)
    assert judge(membership, "a2", LONG) is Standing.LIVE
    assert judge(membership, "s1", LONG) is Standing.LIVE


def test_instance_without_a_lease_is_live_and_owns_nothing():
    membership = make_membership()
    names = [info.name for info in list_lease_holders(membership, 1.0, OWN.data_centre)]
    assert names == ["a1", "a2"]
    membership.note_lease("a2", False)
    assert judge(membership, "a2", 1.0) is Standing.LIVE
    assert [info.name for info in list_lease_holders(membership, 1.0, OWN.data_centre)] == ["a1"]
    membership.note_lease("a2", True)
    assert len(list_lease_holders(membership, 1.0, OWN.data_centre)) == 2
    assert list_lease_holders(membership, 1.0, "dc-9") == ()


def test_lease_of_a_former_run_says_nothing_of_the_next():
    membership = make_membership()
    membership.apply_hello(PEER, 1.0)
    membership.note_lease("a2", False)
    membership.apply_hello(evolve(PEER, incarnation="p2"), 2.0)
    assert len(list_lease_holders(membership, 2.0, OWN.data_centre)) == 2


def test_gap_between_reads_of_a_session_starts_its_term_anew():
    """The table was down for a term, so nobody could renew; the first read ends nobody."""
    membership = make_membership()
    membership.apply_session("a2", "p1", 7, 0.0)
    membership.apply_session("a2", "p1", 7, 2 * TERM_S)
    assert judge(membership, "a2", 2 * TERM_S) is Standing.LIVE
    now = 2 * TERM_S
    for _ in range(4):
        now += TERM_S * 0.3
        membership.apply_session("a2", "p1", 7, now)
    assert judge(membership, "a2", now) is Standing.GONE


def test_told_list_says_nothing_of_this_instance():
    """Its name may still be listed for an earlier run that left."""
    membership = Membership.from_settings(SETTINGS, "i2", 0.0)
    former = PlatformList((ListedInstance(evolve(OWN, incarnation=""), leaving=True),), ())
    assert membership.apply_peer_list(former, -5.0)
    assert judge(membership, "a1", 0.0) is Standing.LIVE


def test_later_of_two_told_lists_counts():
    leaving = PlatformList((ListedInstance(PEER, leaving=True),), ())
    membership = Membership.from_settings(SETTINGS, "i1", 0.0)
    assert membership.apply_peer_list(LISTED, -5.0)
    assert not membership.apply_peer_list(leaving, -6.0)
    assert judge(membership, "a2", 0.0) is Standing.LIVE
    assert membership.apply_peer_list(leaving, -4.0)
    assert judge(membership, "a2", 0.0) is Standing.LEAVING


def test_only_an_instance_neither_listed_nor_heard_can_be_forgotten():
    unknown = Membership.from_settings(SETTINGS, "i1", 0.0)
    assert may_return(unknown, "a9", 0.0)
    membership = make_membership()
    assert may_return(membership, "a2", LONG)
    assert not may_return(membership, "a9", 0.0)
    membership.apply_list(EMPTY, 1.0)
    membership.apply_hello(PEER, 2.0)
    membership.apply_list(EMPTY, LONG)
    membership.record_contact("a2", LONG)
    assert may_return(membership, "a2", LONG)
    assert not may_return(membership, "a2", 2 * LONG)
