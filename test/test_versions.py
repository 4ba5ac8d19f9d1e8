"""Decision on who may continue a stream, and the versions that it rests on."""

import math

from attrs import evolve

from rhubarbshed.coordination.serving.versions import (
    OriginSource,
    decide_continuation,
    find_sole_origin,
    measure_followed,
)
from rhubarbshed.protocol.exchanges import CallerRequest
from rhubarbshed.protocol.messages import StoreMessage
from rhubarbshed.protocol.routes import Configuration, Route, RouteKind
from rhubarbshed.protocol.servers import ServerEntry, ServerState
from rhubarbshed.protocol.streams import StreamLookup, StreamOrigin
from rhubarbshed.protocol.tables import Row, TableError, TableFault
from rhubarbshed.state.membership.fleet import Fleet
from rhubarbshed.state.membership.versions import VersionHistory
from rhubarbshed.transport.edge.follower import Follower
from rhubarbshed.transport.edge.view import View
from standin.replica import Replica
from test.helper_edge import make_settings

NOW = 1000.0
NOT_FOUND = StreamLookup(None)
ROUTE = Route(
    "r", "h", "/s/", RouteKind.STREAMING, 10.0, 0.3, 0.15, 1, (("svc", 1.0), ("svc2", 0.0)), 2, True
)


def make_entry(name: str, version: str, service: str = "svc") -> ServerEntry:
    """Return the entry of a server."""
    return ServerEntry(name, service, "127.0.0.1", 1, "a", ServerState.READY, 8, version)


def make_request(last_event_id: str = "2") -> CallerRequest:
    """Return a request that takes up a stream."""
    return CallerRequest(
        "q2", b"POST", b"/s/x", "h", (), NOW, resumes="q1", last_event_id=last_event_id
    )


def make_history(*entries: ServerEntry, followed_s: float = 60.0) -> tuple[Fleet, VersionHistory]:
    """Return servers that have been there for some time, and what an instance saw of them."""
    fleet, history = Fleet(), VersionHistory()
    history.restart(NOW - followed_s)
    history.routes.restart(-math.inf)
    for entry in entries:
        fleet.apply(entry, NOW - followed_s)
        history.record_entry(entry, NOW - followed_s)
    history.entry_age.confirmed_at = NOW
    return fleet, history


def decide(fleet, history, lookup=NOT_FOUND, now=NOW, last_event_id="2"):
    """Decide on a stream for which the service svc was drawn."""
    request = make_request(last_event_id)
    return decide_continuation(request, ROUTE, "svc", lookup, fleet, history, now)


def test_sole_version_is_certain_only_after_the_age_of_a_stream_without_a_gap():
    for followed_s, version in ((59.9, None), (60.0, "v1"), (5000.0, "v1")):
        fleet, history = make_history(make_entry("b1", "v1"), followed_s=followed_s)
        found = find_sole_origin(ROUTE, NOT_FOUND, fleet, history, NOW)
        assert found == (version and StreamOrigin("svc", version)), followed_s


def test_sole_version_is_not_certain_while_entries_are_not_confirmed():
    fleet, history = make_history(make_entry("b1", "v1"))
    assert decide(fleet, history, now=NOW + 2.9).origin == StreamOrigin("svc", "v1")
    assert decide(fleet, history, now=NOW + 3.1).refused
    history.entry_age.suspend()
    assert decide(fleet, history).refused


def test_what_another_instance_says_does_not_stand_in_for_a_gap_here():
    seen = frozenset({("svc", "v1")})
    for followed_s, versions, refused in (
        (59.0, seen, True),
        (60.0, seen, False),
        (60.0, seen | {("svc", "v2")}, True),
    ):
        fleet, history = make_history(make_entry("b1", "v1"), followed_s=followed_s)
        lookup = StreamLookup(None, 2, 1, versions)
        assert decide(fleet, history, lookup).refused == refused, followed_s
        assert decide(fleet, history, lookup, now=NOW + 3.1).refused
        history.entry_age.suspend()
        assert decide(fleet, history, lookup).refused


def test_instance_that_is_not_up_to_date_followed_for_no_time():
    _, history = make_history(make_entry("b1", "v1"))
    assert measure_followed(history, NOW + 3.0) == 63.0
    assert measure_followed(history, NOW + 3.1) == 0.0
    history.entry_age.suspend()
    assert measure_followed(history, NOW) == 0.0
    assert measure_followed(VersionHistory(), NOW) == 0.0


def test_version_that_left_counts_for_the_age_of_a_stream():
    fleet, history = make_history(make_entry("b1", "v1"), followed_s=100.0)
    history.record_entry(make_entry("b2", "v1.1"), NOW - 60.0)
    assert decide(fleet, history).refused
    assert decide(fleet, history, now=NOW + 0.1).source is OriginSource.SOLE


def test_removal_of_a_known_entry_is_no_gap_also_if_it_is_read_twice():
    _, history = make_history(make_entry("b1", "v1"))
    history.record_unreadable("b2", NOW)
    for server_id in ("b1", "b1", "b2"):
        history.record_removal(server_id, NOW)
    assert history.followed_since == NOW - 60.0
    history.record_removal("b3", NOW)
    assert history.followed_since == NOW


def test_removal_of_an_unknown_entry_does_not_end_the_loss_of_the_store():
    _, history = make_history()
    history.entry_age.suspend()
    history.record_removal("b3", NOW)
    assert history.entry_age.is_suspended and history.followed_since == NOW


def test_versions_of_other_services_do_not_count():
    fleet, history = make_history(make_entry("b1", "v1"), make_entry("c1", "w1", "svc3"))
    lookup = StreamLookup(None, 1, 1, frozenset({("svc3", "w2"), ("svc", "v1")}))
    assert decide(fleet, history, lookup).origin == StreamOrigin("svc", "v1")


def test_service_without_any_known_version_has_no_sole_one():
    fleet, history = make_history(make_entry("c1", "w1", "svc3"))
    assert decide(fleet, history).refused


def test_stream_of_a_service_with_no_weight_left_stays_with_the_version_that_began_it():
    fleet, history = make_history(make_entry("c1", "w1", "svc2"))
    origin = StreamOrigin("svc2", "w1")
    for last_event_id in ("2", ""):
        decision = decide(fleet, history, StreamLookup(origin), last_event_id=last_event_id)
        assert (decision.service, decision.origin, decision.refused) == ("svc2", origin, False)


def test_stream_of_a_service_that_its_route_left_is_refused_unless_it_has_no_event():
    fleet, history = make_history(make_entry("b1", "v1"))
    lookup = StreamLookup(StreamOrigin("svc3", "x1"))
    decision = decide(fleet, history, lookup)
    assert (decision.refused, decision.refusal_reason) == (True, "version_gone")
    decision = decide(fleet, history, lookup, last_event_id="")
    assert (decision.service, decision.origin, decision.refused) == ("svc", None, False)


def test_sole_version_of_a_split_route_is_the_only_one_of_all_its_services():
    for others, refused in (((), False), ((make_entry("c1", "v1", "svc2"),), True)):
        fleet, history = make_history(make_entry("b1", "v1"), *others)
        for service in ("svc", "svc2"):
            request = make_request()
            decision = decide_continuation(request, ROUTE, service, NOT_FOUND, fleet, history, NOW)
            expected = None if refused else StreamOrigin("svc", "v1")
            assert (decision.refused, decision.origin) == (refused, expected), service
    fleet, history = make_history(make_entry("b1", "v1"))
    lookup = StreamLookup(None, 1, 1, frozenset({("svc2", "w1")}))
    assert decide(fleet, history, lookup).refused


def test_timeout_of_the_route_does_not_shorten_the_age_of_a_stream():
    fleet, history = make_history(make_entry("b2", "v1.1"))
    history.record_entry(make_entry("b1", "v1"), NOW - 59.0)
    for timeout_s in (0.4, 10.0, 40.0):
        route = evolve(ROUTE, timeout_s=timeout_s)
        for now, version in ((NOW, None), (NOW + 1.1, "v1.1")):
            found = find_sole_origin(route, NOT_FOUND, fleet, history, now)
            assert found == (version and StreamOrigin("svc", version)), (timeout_s, now)


def test_versions_that_others_are_told_of_are_kept_for_the_longest_age():
    fleet, history = make_history(make_entry("b1", "v1"))
    history.record_entry(make_entry("b2", ""), NOW - 55.0)
    history.record_entry(make_entry("b3", "v0"), NOW - 61.0)
    view = View.from_settings(make_settings(("127.0.0.1", 1)))
    view.fleet, view.versions = fleet, history
    for routes in ((), (evolve(ROUTE, timeout_s=0.4),), (ROUTE,)):
        view.configuration = Configuration(1, {"h": routes})
        assert view.list_versions(NOW) == (("svc", ""), ("svc", "v1"))


# --- What an instance follows.


def make_follower() -> Follower:
    """Return a follower that has read the server b1 of v1 at revision 5."""
    view = View.from_settings(make_settings(("127.0.0.1", 1)))
    follower = Follower(None, view)
    follower._apply_servers((make_row("b1", "v1", 5),), True, NOW - 100.0)
    follower.servers_revision = 5
    return follower


def make_row(server_id: str, version: str | None, revision: int) -> Row:
    """Return the row of a server's entry, or of its removal."""
    replica = Replica(server_id, version=version or "", address=("127.0.0.1", 1))
    value = replica.describe() if version is not None else None
    return Row(server_id, revision, value, revision)


def make_message(before: int, revision: int, *rows: Row, settled: bool = True) -> StoreMessage:
    """Return a message of an order holder."""
    changes = tuple((row.key, row.version, row.value) for row in rows)
    return StoreMessage("i2", "a", 1, 0, settled, before, revision, changes)


def test_message_of_the_order_holder_confirms_entries_that_miss_nothing():
    cases = [(5, 5, True, True), (3, 5, True, True), (5, 6, True, True)]
    cases += [(6, 7, True, False), (3, 4, True, False), (5, 5, False, False)]
    for before, revision, settled, confirmed in cases:
        follower = make_follower()
        follower.handle_store_message(make_message(before, revision, settled=settled), NOW)
        assert (follower.entry_age.confirmed_at == NOW) == confirmed, (before, revision)
        versions = follower.view.versions
        assert (versions.followed_since, versions.entry_age.is_suspended) == (
            NOW - 100.0,
            not settled,
        )


def test_versions_of_servers_that_came_and_left_are_told_for_the_age_of_a_stream():
    follower = make_follower()
    came, left = make_row("b2", "v1.1", 6), make_row("b2", None, 7)
    draining = Row("b2", 6, {**came.value, "State": "draining"}, 6)
    follower.handle_store_message(make_message(5, 6, came, draining), NOW)
    follower.handle_store_message(make_message(6, 7, left), NOW + 1.0)
    view = follower.view
    assert (list(view.fleet.servers), view.versions.followed_since) == (["b1"], NOW - 100.0)
    assert view.list_versions(NOW + 60.0) == (("svc", "v1"), ("svc", "v1.1"))
    assert view.list_versions(NOW + 62.0) == (("svc", "v1"),)


def test_server_whose_entry_lapsed_counts_for_an_hour_unless_it_returns():
    for returns in (False, True):
        follower = make_follower()
        came, lapsed = make_row("b2", "v1.1", 6), make_row("b2", None, 7)
        follower.handle_store_message(make_message(5, 7, came, lapsed), NOW)
        follower.drop_missing(NOW + 10.0)
        view = follower.view
        assert list(view.fleet.servers) == ["b1"]
        both = (("svc", "v1"), ("svc", "v1.1"))
        if returns:
            again = make_row("b2", "v1", 8)
            follower.handle_store_message(make_message(7, 8, again), NOW + 20.0)
            assert view.list_versions(NOW + 79.0) == both
            assert view.list_versions(NOW + 81.0) == (("svc", "v1"),)
            continue
        for after_s, expected in ((80.0, both), (3600.0, both), (3620.0, both[:1])):
            follower.handle_store_message(make_message(7, 7), NOW + after_s)
            view.versions.drop_older(view.fleet, NOW + after_s)
            assert view.list_versions(NOW + after_s) == expected, after_s


def test_server_that_starts_again_at_another_version_leaves_both_versions_seen():
    follower = make_follower()
    again = make_row("b1", "v2", 6)
    again.value["born"] = 2
    follower.handle_store_message(make_message(5, 6, again), NOW)
    view = follower.view
    assert view.fleet.get("b1").entry.version == "v2"
    assert view.list_versions(NOW + 1.0) == (("svc", "v1"), ("svc", "v2"))


def test_message_ends_the_loss_of_the_store_only_if_nothing_was_missed():
    for before, revision, settled, lost, ends in [
        (5, 5, True, False, True),
        (4, 6, True, False, True),
        (6, 7, True, False, False),
        (3, 4, True, False, False),
        (5, 6, False, False, False),
        (5, 6, True, True, False),
    ]:
        follower = make_follower()
        follower.entry_age.suspend()
        follower.entry_age.lost_at = NOW - 1.0 if lost else None
        follower.handle_store_message(make_message(before, revision, settled=settled), NOW)
        versions = follower.view.versions
        assert versions.entry_age.is_suspended != ends, (before, revision, settled, lost)
        assert versions.followed_since == NOW - 100.0


def test_loss_of_the_store_suspends_and_a_full_read_is_a_gap():
    follower = make_follower()
    versions = follower.view.versions
    follower._record_failure("op", TableError(TableFault.UNKNOWN, detail="away"), NOW)
    assert versions.entry_age.is_suspended
    # The answer may be about the configuration only.
    follower._record_response(NOW + 1.0, NOW + 1.0)
    assert versions.entry_age.is_suspended and versions.followed_since == NOW - 100.0
    follower._apply_servers((make_row("b1", "v1", 9),), True, NOW + 2.0)
    assert versions.followed_since == NOW + 2.0


def test_leaving_that_was_read_after_a_gap_may_be_older_than_the_read():
    follower = make_follower()
    versions = follower.view.versions
    assert versions.entry_age.current_since == NOW - 100.0
    versions.entry_age.suspend()
    leaving = make_row("b1", "v1", 6)
    leaving.value["State"] = "draining"
    follower.handle_store_message(make_message(5, 6, leaving), NOW)
    assert follower.view.fleet.get("b1").leaving_at <= versions.entry_age.current_since == NOW
    follower.handle_store_message(make_message(6, 6), NOW + 1.0)
    assert versions.entry_age.current_since == NOW
