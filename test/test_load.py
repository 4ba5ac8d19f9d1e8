"""Test the load corrected by own dispatches, and cached prefixes under late, missing events."""

import pytest

from rhubarbshed.protocol.members import Standing
from rhubarbshed.protocol.orders import CacheEvent, Resident
from rhubarbshed.state.membership.load import PROPAGATION_S, LoadView
from rhubarbshed.state.requests.prefixes import PREFIXES_MAX, PrefixCache
from test.helper_requests import make_info, make_report


def make_view() -> LoadView:
    view = LoadView()
    view.set_servers([make_info("b0"), make_info("b1")])
    return view


def test_own_dispatches_after_the_report_are_added():
    view = make_view()
    view.record_dispatch("b0", ("r0", 0), "sermon", 10, 1.0)
    view.record_dispatch("b0", ("r1", 0), "sermon", 10, 3.0)
    view.apply_report(make_report("b0", age_s=2.0, running=1), 4.0)
    assert view.count_in_flight("b0") == 2


def test_own_ends_after_the_report_are_taken_off():
    view = make_view()
    view.record_dispatch("b0", ("r0", 0), "sermon", 10, 1.0)
    view.record_end("b0", ("r0", 0), False, 3.0)
    view.apply_report(make_report("b0", age_s=2.0, running=3), 4.0)
    assert view.count_in_flight("b0") == 2
    view.apply_report(make_report("b0", age_s=0.0, running=2), 5.0)
    assert view.count_in_flight("b0") == 2
    assert not view.servers["b0"].sent


def test_older_report_and_late_report_of_an_earlier_boot_are_left_out():
    view = make_view()
    view.apply_report(make_report("b0", running=5), 4.0)
    view.apply_report(make_report("b0", running=1, age_s=3.0), 5.0)
    assert view.count_in_flight("b0") == 5
    assert view.apply_report(make_report("b0", "boot-2"), 6.0)
    assert not view.apply_report(make_report("b0", "boot-1", running=9), 7.0)
    assert view.count_in_flight("b0") == 0


def test_boot_that_a_late_report_made_past_counts_again_once_it_goes_on_to_report():
    view = make_view()
    view.apply_report(make_report("b0", "boot-1"), 1.0)
    view.apply_report(make_report("b0", "boot-3"), 2.0)
    view.apply_report(make_report("b0", "boot-2"), 2.5)
    assert not view.apply_report(make_report("b0", "boot-3"), 7.4)
    assert view.find_boot_id("b0") == "boot-2"
    assert view.apply_report(make_report("b0", "boot-3"), 7.6)
    assert not view.apply_report(make_report("b0", "boot-2"), 8.0)
    assert view.find_boot_id("b0") == "boot-3"


def test_report_of_an_unknown_boot_older_than_the_one_in_use_is_left_out():
    view = make_view()
    view.apply_report(make_report("b0", "boot-3"), 5.0)
    assert not view.apply_report(make_report("b0", "boot-2", age_s=1.0), 5.5)
    assert view.find_boot_id("b0") == "boot-3"


def test_changed_boot_empties_the_cache_and_holds_the_place():
    view = make_view()
    view.apply_report(make_report("b0", cache_events=(CacheEvent(1, True, "p"),)), 1.0)
    assert view.servers["b0"].prefixes.estimate_cached_share(("p",)) == 1.0
    view.apply_report(make_report("b0", "boot-2", resident=()), 2.0)
    assert view.servers["b0"].prefixes.estimate_cached_share(("p",)) == 0.0
    (found,) = view.list_candidates("sermon", "", (), 3.0)
    assert found.lost
    assert view.list_candidates("sermon", "", (), 60.0) == ()


def test_gap_in_cache_events_lowers_trust():
    cache = PrefixCache()
    cache.apply_events([CacheEvent(1, True, "a"), CacheEvent(2, True, "b")])
    assert cache.estimate_cached_share(("a", "b", "c", "d")) == 0.5
    cache.apply_events([CacheEvent(9, True, "c")])
    assert cache.estimate_cached_share(("a", "b", "c", "d")) == 0.375
    cache.apply_events([CacheEvent(3, False, "a")])
    assert "a" in cache.prefixes


def test_cache_is_bounded():
    cache = PrefixCache()
    cache.apply_events([CacheEvent(n, True, f"p{n}") for n in range(1, PREFIXES_MAX + 100)])
    assert len(cache.prefixes) == PREFIXES_MAX


def test_adapter_holders_go_first_and_leaving_servers_get_nothing():
    view = make_view()
    residents = (Resident("sermon", "1", 10), Resident("voice", "1", 1, model="sermon"))
    view.apply_report(make_report("b0"), 1.0)
    view.apply_report(make_report("b1", resident=residents), 1.0)
    names = [found.info.name for found in view.list_candidates("sermon", "voice", (), 1.0)]
    assert names == ["b1"]
    view.set_standing("b1", Standing.LEAVING, 1.0)
    found = view.list_candidates("sermon", "voice", (), 1.0)
    assert [(one.info.name, one.adapter_resident) for one in found] == [("b0", False)]


def test_the_first_holds_count_as_in_a_plain_mean():
    view = LoadView()
    view.set_servers([make_info("b0")])
    for number, slot_time_s in enumerate((1.0, 2.0, 3.0)):
        view.record_dispatch("b0", (f"r{number}", 0), "sermon", 10, 0.0)
        view.record_end("b0", (f"r{number}", 0), False, slot_time_s, first_token_at=0.0)
    assert view.servers["b0"].slot_time_s == pytest.approx(2.0)


def test_copy_just_heard_of_is_fresh_and_the_first_report_is_not():
    view = make_view()
    for name in ("b0", "b1"):
        resident = make_report(name).resident if name == "b0" else ()
        view.apply_report(make_report(name, resident=resident), 1.0)
    view.apply_report(make_report("b1"), 2.0)
    found = {
        each.info.name: each.newly_resident for each in view.list_candidates("sermon", "", (), 2.5)
    }
    assert found == {"b0": False, "b1": True}
    later = view.list_candidates("sermon", "", (), 2.0 + PROPAGATION_S)
    assert not any(each.newly_resident for each in later)


def test_server_that_peers_see_alive_but_does_not_answer_here_is_no_choice_until_it_does():
    view = make_view()
    for name in ("b0", "b1"):
        view.apply_report(make_report(name), 1.0)
    view.record_unanswered("b0", 2.0)
    view.apply_report(make_report("b0", age_s=0.5), 2.2)
    assert view.list_cut_off(2.2) == ()
    view.apply_report(make_report("b0"), 2.5)
    assert view.list_cut_off(2.5) == ("b0",)
    assert [each.info.name for each in view.list_candidates("sermon", "", (), 2.5)] == ["b1"]
    view.record_answered("b0")
    assert len(view.list_candidates("sermon", "", (), 2.6)) == 2


def test_server_that_restarted_is_not_taken_for_cut_off():
    view = make_view()
    view.apply_report(make_report("b0"), 1.0)
    view.record_unanswered("b0", 2.0)
    view.apply_report(make_report("b0", "boot-2"), 3.0)
    assert view.list_cut_off(3.0) == ()
