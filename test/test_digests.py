"""Test load digests, topology and the encoding of frames."""

import msgpack
from attrs import evolve
from returns.result import Failure

from rhubarbshed.coordination.membership.dissemination import (
    NOTICES_MAX,
    NoticeFilter,
    choose_topology,
    rank_by_rendezvous,
)
from rhubarbshed.protocol.catalogue import CatalogueObject, Model, ObjectKey
from rhubarbshed.protocol.events import Stamp
from rhubarbshed.protocol.members import (
    BackendKind,
    BackendServerInfo,
    ListedBackendServer,
    ListedInstance,
    PlatformList,
)
from rhubarbshed.protocol.orders import CacheEvent, EngineReport, Resident
from rhubarbshed.protocol.peers import (
    FRAME_KINDS,
    KIND_NUMBERS,
    CatalogueObjects,
    CatalogueRequest,
    Envelope,
    Heartbeat,
    LeavingMember,
    LeavingNotice,
    ListAnswer,
    ListRequest,
    LoadRequest,
    QuarantineNotice,
    ServiceDigest,
    UnknownFrame,
    pack_envelope,
    unpack_envelope,
)
from rhubarbshed.protocol.quarantine import (
    CrashId,
    IsolatedRunNotice,
    QuarantineEntry,
    QuarantineUpdate,
)
from rhubarbshed.protocol.services import ServiceReport
from rhubarbshed.state.membership.digests import (
    CACHE_EVENT_PEERS_MAX,
    DETAIL_INTERVAL_S,
    LoadInbox,
    LoadOutbox,
    choose_remote_interval,
)
from rhubarbshed.state.membership.membership import Membership, make_instance_info
from test.helper_peers import SILENCE_S, make_settings

REPORT = EngineReport("s1", 0.25, 3, 1, 900, 40 << 30, 80 << 30, 7, 310.0, 4000.0, 32)
FULL = evolve(
    REPORT, resident=(Resident("m1", "v1", 10 << 30),), cache_events=(CacheEvent(1, True, "ab"),)
)
CRASHER = QuarantineEntry("f", (CrashId("s1", "b1"),), refused=True)
KEPT = CatalogueObject(ObjectKey("model", "m1"), 4, Model("m1", "v1", 5))
LISTED = PlatformList(
    (ListedInstance(make_instance_info(make_settings("a1"), ""), leaving=True),),
    (
        ListedBackendServer(
            BackendServerInfo("s1", BackendKind.ENGINE, "dc-1", "r", "127.0.0.1", 9, 2, 5, False)
        ),
    ),
)
DELETED = CatalogueObject(ObjectKey("model", "m2"), 5, None)


def make_membership(name: str, places: dict[str, int]) -> Membership:
    """Create a view of this many instances in each data centre, all listed."""
    settings = make_settings(name, name.rsplit("-", 1)[0])
    membership = Membership.from_settings(settings, "i1", 0.0)
    own = make_instance_info(settings, "")
    infos = (
        evolve(own, name=f"{centre}-{number}", data_centre=centre)
        for centre, count in places.items()
        for number in range(count)
    )
    membership.apply_list(PlatformList(tuple(ListedInstance(info) for info in infos), ()), 0.0)
    return membership


def test_frames_survive_the_wire():
    frames = (
        Heartbeat(5, 6, True),
        LoadOutbox().make_digest(((FULL, 1.0),), 2.0),
        CatalogueRequest(4),
        CatalogueObjects((KEPT, DELETED), 9, 5, "model/m2"),
        LoadRequest(),
        ListRequest(),
        ListAnswer(LISTED, 2.5),
        LeavingNotice((LeavingMember("a1", "i1"),), (LeavingMember("s1"),)),
        QuarantineNotice((QuarantineUpdate(CRASHER, 2.5),), (IsolatedRunNotice("s1", "f", 3.0),)),
    )
    for frame in frames:
        envelope = Envelope(frame, Stamp(1, 2, "a1"), "a1/i1/1")
        assert unpack_envelope(pack_envelope(envelope), "a1").unwrap() == envelope


def test_kind_of_a_newer_instance_is_told_from_a_malformed_frame():
    newer = msgpack.packb((len(FRAME_KINDS), 1, 2, "", [7]))
    assert unpack_envelope(newer, "a1").unwrap().frame == UnknownFrame(len(FRAME_KINDS))
    for bad in ((-1, 1, 2, "", []), ("x", 1, 2, "", []), (3, 1, 2, ""), (1, 1, 2, "", [[], 1])):
        assert isinstance(unpack_envelope(msgpack.packb(bad), "a1"), Failure)


def test_detail_travels_once_then_after_an_interval_or_change():
    outbox, inbox = LoadOutbox(), LoadInbox()
    first = outbox.make_digest(((FULL, 1.0),), 1.0)
    second = outbox.make_digest(((FULL, 1.5),), 2.0)
    assert inbox.expand(first, 1.0) == (FULL,)
    assert second.entries[0].detail is None
    assert inbox.expand(second, 2.0) == (evolve(FULL, age_s=0.75),)
    changed = evolve(FULL, boot_id="b2")
    assert outbox.make_digest(((changed, 2.0),), 2.0).entries[0].detail is not None
    later = outbox.make_digest(((changed, 2.0),), 2.0 + DETAIL_INTERVAL_S)
    assert later.entries[0].detail is not None


def test_missed_detail_is_asked_for_and_answered():
    outbox, inbox, late = LoadOutbox(), LoadInbox(), LoadInbox()
    inbox.expand(outbox.make_digest(((FULL, 1.0),), 1.0), 1.0)
    bare = outbox.make_digest(((FULL, 1.0),), 2.0)
    assert late.expand(bare, 2.0) == ()
    assert late.needs_request(2.0) and not late.needs_request(2.0)
    other = evolve(FULL, backend_server="s2")
    answer = inbox.make_answer(((other, 2.0),), 3.0)
    found = late.expand(answer, 3.0)
    assert [report.backend_server for report in found] == ["s1", "s2"]
    assert found[0].age_s == 2.25
    late.expand(bare, 9.0)
    assert not late.needs_request(9.0)


def test_remote_digest_is_rarer_and_has_no_cache_events():
    outbox = LoadOutbox()
    reports = ((FULL, 0.0),)
    first = outbox.collect(reports, 0.0, 4)
    assert [digest.remote for digest in first] == [False, True]
    assert first[0].entries[0].cache_events == FULL.cache_events
    assert first[1].entries[0].cache_events == ()
    assert all(digest.entries[0].detail is not None for digest in first)
    assert len(outbox.collect(reports, 1.0, 4)) == 1
    assert len(outbox.collect(reports, choose_remote_interval(4), 4)) == 2
    crowd = outbox.collect(reports, 1.0, CACHE_EVENT_PEERS_MAX + 1)
    assert crowd[0].entries[0].cache_events == ()


def test_rendezvous_order_survives_a_removal():
    names = [f"n{number}" for number in range(50)]
    ranked = rank_by_rendezvous("k", names)
    for removed in names[:10]:
        rest = [name for name in names if name != removed]
        assert rank_by_rendezvous("k", rest) == [name for name in ranked if name != removed]


def test_silent_bridge_partner_is_replaced_by_the_next_and_taken_back():
    membership = make_membership("dc-1-0", {"dc-1": 3, "dc-2": 5})
    first = choose_topology(membership, 2, 0.0).bridges[0].name
    membership.expect_heartbeats([first], 0.0)
    late = SILENCE_S * 1.1
    topology = choose_topology(membership, 2, late)
    assert topology.bridges[0].name != first
    assert [info.name for info in topology.probes] == [first]
    membership.expect_heartbeats([info.name for info in topology.list_peers()], late)
    assert choose_topology(membership, 2, late * 5).bridges[0].name != first
    membership.record_contact(first, late)
    assert choose_topology(membership, 2, late).bridges[0].name == first


def test_leaving_partner_gets_no_bridge_and_leaving_delegate_no_part():
    membership = make_membership("dc-1-0", {"dc-1": 3, "dc-2": 5})
    first = choose_topology(membership, 2, 0.0).bridges[0].name
    membership.apply_leaving(first, "", "x")
    assert choose_topology(membership, 2, 0.0).bridges[0].name != first
    membership.apply_leaving("dc-1-0", "i1", "x")
    assert not choose_topology(membership, 3, 0.0).is_delegate


def test_each_data_centre_has_its_delegates_by_every_view():
    places = {"dc-1": 6, "dc-2": 6}
    views = [make_membership(f"dc-1-{number}", places) for number in range(6)]
    assert sum(choose_topology(view, 2, 0.0).is_delegate for view in views) == 2


def test_notice_is_news_once_and_memory_is_bounded():
    notices = NoticeFilter("a1/i1")
    assert not notices.is_new(notices.make_id())
    assert notices.is_new("b") and not notices.is_new("b")
    for number in range(2 * NOTICES_MAX):
        notices.is_new(str(number))
    assert len(notices.seen) == NOTICES_MAX


def test_a_load_is_told_to_other_data_centres_at_once():
    outbox = LoadOutbox()
    assert len(outbox.collect(((REPORT, 0.0),), 0.0, 1)) == 2
    assert len(outbox.collect(((REPORT, 1.0),), 1.0, 1)) == 1
    remote = outbox.collect(((FULL, 2.0),), 2.0, 1)[1]
    assert remote.remote and remote.entries[0].detail.resident == FULL.resident


def test_heartbeats_of_other_versions_are_read():
    """An older heartbeat lacks the lease field; a newer one may have further fields."""
    older = msgpack.packb((KIND_NUMBERS[Heartbeat], 1, 2, "", (5, 6, True)))
    newer = msgpack.packb((KIND_NUMBERS[Heartbeat], 1, 2, "", (5, 6, True, False, "more")))
    assert unpack_envelope(older, "a1").unwrap().frame == Heartbeat(5, 6, True, True)
    assert unpack_envelope(newer, "a1").unwrap().frame == Heartbeat(5, 6, True, False)


def test_load_of_a_service_survives_the_wire():
    frame = ServiceDigest((ServiceReport("records-1", 3, 1, 16, 0.25),), remote=True)
    data = pack_envelope(Envelope(frame, Stamp(1, 2, "i1"), ""))
    assert unpack_envelope(data, "i1").unwrap().frame == frame
