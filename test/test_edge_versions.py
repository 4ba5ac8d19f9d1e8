"""Streams stay with the software version that began them, in one answer and over tries."""

import asyncio
import logging
import random
import time

import pytest
from attrs import define, field

from rhubarbshed.protocol.messages import Message
from rhubarbshed.protocol.streams import StreamLookup, StreamOrigin
from rhubarbshed.state.membership.entry_age import measure_kept
from rhubarbshed.transport.edge.datagrams import Datagrams
from standin.replica import Exchange, Replica
from test.helper_edge import (
    Edge,
    make_configuration,
    make_engine_service,
    make_route,
    play,
    run_edge,
)
from test.helper_streams import (
    CONFIGURATION,
    EVENTS,
    STREAM,
    Writer,
    add_replica,
    assert_refused,
    begin,
    let_streams_last_shortly,
    list_ids,
    list_versions,
    make_replica,
    remove_replica,
    take_up,
)

VERSIONS = {
    "usual": ("v1", "v1.1"),
    "decimal": ("1.10", "1.9"),
    "empty": ("", "0"),
    "case": ("V1", "v1"),
    "zeros": ("1.0", "1.00"),
    "punctuation": ("a b,c=d", "a b, c=d"),
    "accents": ("\u00e9\u4e16", "e\u0301\u4e16"),
}
"""Pairs of versions that differ, whatever order or form one would expect."""


@pytest.fixture
def short_age(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let streams last for a short time only."""
    let_streams_last_shortly(monkeypatch)


def add_service(configuration: dict, name: str) -> dict:
    """Return the configuration with another service."""
    services = [*configuration["Services"], {**configuration["Services"][0], "Name": name}]
    return {**configuration, "Services": services}


@define
class Memory:
    """Stub of the memory of streams.

    A stream recorded at two versions of one service is not known any more; one that went on at
    another service is known by the last one.
    """

    origins: dict[str, StreamOrigin | None] = field(factory=dict)
    asked: int = 0
    replied: int = 0
    versions: frozenset[tuple[str, str]] = frozenset()

    def record(self, stream_id: str, origin: StreamOrigin, now: float) -> None:
        """Record the origin of a stream."""
        known = self.origins.get(stream_id, origin)
        if known is not None and known != origin and known.service == origin.service:
            self.origins[stream_id] = None
        elif known is not None:
            self.origins[stream_id] = origin

    async def find(self, stream_id: str, now: float) -> StreamLookup:
        """Find the origin of a stream."""
        found = self.origins.get(stream_id)
        return StreamLookup(found, self.asked, self.replied, self.versions)

    def attach(self, edge: Edge) -> "Memory":
        """Let an instance use the memory."""
        edge.node.relay.record_stream = self.record
        edge.node.relay.find_stream = self.find
        return self


async def reset(exchange: Exchange) -> None:
    """Reset the connection in the middle of an event."""
    exchange.send_chunk(b"id: 9\nda")
    await exchange.writer.drain()
    await asyncio.sleep(0.02)
    exchange.reset()


async def crash(exchange: Exchange) -> None:
    """End the server."""
    await exchange.replica.stop()


async def fall_silent(exchange: Exchange) -> None:
    """Send nothing for longer than a stream may pause."""
    await asyncio.sleep(2.5)


async def garble(exchange: Exchange) -> None:
    """Send bytes that are no response."""
    exchange.write(b"\xff\xfe no chunk\r\n\x00")
    await exchange.writer.drain()
    await asyncio.sleep(0.05)


FAULTS = [reset, crash, fall_silent, garble]


# --- Within one answer.


@pytest.mark.parametrize("fault", FAULTS)
def test_stream_that_breaks_goes_on_at_its_version_and_not_at_a_nearer_server(fault):
    async def scene():
        other = make_replica("b3", "v1.1")

        async def break_off(exchange: Exchange) -> None:
            await add_replica(edge, other)
            await fault(exchange)

        first = Replica("b1", reply=Writer(3, break_off))
        same = make_replica("b2", data_centre="b")
        async with run_edge(CONFIGURATION, first, same) as edge:
            edge.node.view.fleet.get("b2").record_load_sample(2, 0, time.monotonic())
            answer = await begin(edge)
            assert list_versions(answer) == {b"data: <v1>"}
            assert (answer.whole, list_ids(answer)) == (True, [1, 2, 3, 4])
            assert other.got == []

    play(scene)


@pytest.mark.parametrize("leaves", [False, True])
def test_stream_is_broken_off_at_once_without_a_server_of_its_version(leaves: bool):
    async def scene():
        other = make_replica("b2", "v1.1")
        ended_at = 0.0

        async def break_off(exchange: Exchange) -> None:
            nonlocal ended_at
            await add_replica(edge, other)
            if leaves:
                await remove_replica(edge, first)
            await crash(exchange)
            ended_at = time.monotonic()

        first = Replica("b1", reply=Writer(3, break_off))
        async with run_edge(CONFIGURATION, first) as edge:
            answer = await begin(edge)
            assert time.monotonic() - ended_at < 0.5
            assert list_versions(answer) == {b"data: <v1>"}
            assert (answer.whole, list_ids(answer)) == (False, [1, 2])
            assert other.got == []

    play(scene)


@pytest.mark.parametrize(("version", "other_version"), VERSIONS.values(), ids=VERSIONS)
def test_versions_of_any_text_that_are_not_equal_are_not_mixed(version: str, other_version: str):
    async def scene():
        other = make_replica("b2", other_version)

        async def break_off(exchange: Exchange) -> None:
            await add_replica(edge, other)
            await crash(exchange)

        first = Replica("b1", reply=Writer(3, break_off), version=version)
        async with run_edge(CONFIGURATION, first) as edge:
            memory = Memory().attach(edge)
            answer = await begin(edge)
            assert (answer.whole, other.got) == (False, [])
            assert memory.origins == {"q1": StreamOrigin("svc", version)}
            assert (await take_up(edge)).status == 503
            assert other.got == []

    play(scene)


@pytest.mark.parametrize("changes", [{"Version": None}, {"Version": 1}, {"Version": ["v1"]}])
def test_entry_without_a_version_in_text_names_no_server_to_use(changes: dict):
    async def scene():
        unreadable = make_replica("b2")
        async with run_edge(CONFIGURATION, make_replica("b1")) as edge:
            await unreadable.start()
            edge.replicas.append(unreadable)
            entry = unreadable.describe(**changes)
            if entry["Version"] is None:
                entry.pop("Version")
            edge.store.put("servers", "b2", entry)
            await asyncio.sleep(0.7)
            assert edge.node.view.fleet.get("b2") is None

    play(scene)


# --- Over a caller's tries.


def test_stream_taken_up_again_goes_on_at_the_version_that_began_it():
    async def scene():
        first, other = make_replica("b1"), make_replica("b2", "v1.1")
        async with run_edge(CONFIGURATION, first) as edge:
            Memory().attach(edge)
            await begin(edge)
            await add_replica(edge, other)
            edge.node.view.fleet.get("b1").record_load_sample(6, 0, time.monotonic())
            for after in (2, 0) * 4:
                answer = await take_up(edge, after=after)
                assert list_versions(answer) == {b"data: <v1>"}
                assert (answer.whole, list_ids(answer)) == (True, list(range(after + 1, 5)))
            assert other.got == []

    play(scene)


def test_stream_is_refused_while_only_other_versions_serve():
    async def scene():
        first, other = make_replica("b1"), make_replica("b2", "v1.1")
        async with run_edge(CONFIGURATION, first) as edge:
            Memory().attach(edge)
            await begin(edge)
            await add_replica(edge, other)
            await remove_replica(edge, first)
            assert list_versions(await take_up(edge)) == {b"data: <v1>"}
            # A leaving server gets requests until the drain time is nearly over.
            await asyncio.sleep(measure_kept(edge.node.view.settings.drain_s))
            begun = time.monotonic()
            assert_refused(await take_up(edge), b"version_gone")
            assert time.monotonic() - begun < 0.3
            assert (len(first.got), other.got) == (2, [])
            await add_replica(edge, make_replica("b3"))
            answer = await take_up(edge)
            assert list_versions(answer) == {b"data: <v1>"} and answer.whole

    play(scene)


def test_stream_waits_for_its_version_while_its_servers_are_full():
    async def scene():
        first, other = make_replica("b1", slots=1), make_replica("b2", "v1.1")
        async with run_edge(CONFIGURATION, first) as edge:
            Memory().attach(edge)
            await begin(edge)
            await add_replica(edge, other)
            edge.node.view.fleet.get("b1").record_load_sample(40, 0, time.monotonic())
            answer = await take_up(edge)
            assert_refused(answer, b"servers_full")
            assert (len(first.got), other.got) == (1, [])

    play(scene)


@pytest.mark.parametrize("leaves", [False, True])
def test_stream_whose_version_lacks_the_model_waits_for_it_while_a_server_may_load_it(leaves: bool):
    async def scene():
        first = make_replica("b1", refuse_orders=True)
        other = make_replica("b2", "v1.1", models={"m1": []})
        service = make_engine_service({"m1": 0})
        # The wait for a load that is not under way ends after the target.
        route = {**STREAM, "TargetLatencyMs": 3000}
        configuration = make_configuration(route, Services=[service])
        async with run_edge(configuration, first, other) as edge:
            Memory({"q1": StreamOrigin("svc", "v1")}).attach(edge)
            begun = time.monotonic()
            taken_up = asyncio.create_task(
                edge.ask("/s/x", b"p", Resumes="q1", Last_Event_Id="2", Rhubarbshed_Model="m1")
            )
            await asyncio.sleep(0.1)
            if leaves:
                await remove_replica(edge, first)
            left_at = time.monotonic()
            answer = await taken_up
            assert_refused(answer, b"version_gone" if leaves else b"model_absent")
            ended_at = time.monotonic()
            assert ended_at - left_at < 1.0 if leaves else ended_at - begun > 2.5
            assert (first.got, other.got) == ([], [])

    play(scene)


@pytest.mark.parametrize(
    "stream_id", ["q9", "", "q\u00e9 ,=9"], ids=["unknown", "unnamed", "of_odd_text"]
)
def test_stream_of_unknown_version_is_refused_and_run_nowhere(stream_id: str):
    async def scene():
        replicas = [make_replica("b1"), make_replica("b2", "v1.1")]
        async with run_edge(CONFIGURATION, *replicas) as edge:
            Memory({"q1": StreamOrigin("svc", "v1")}).attach(edge)
            for _ in range(4):
                assert_refused(await take_up(edge, stream_id), b"version_unknown")
            assert [replica.got for replica in replicas] == [[], []]

    play(scene)


def test_stream_without_an_event_begins_anew_and_is_known_by_both_ids():
    async def scene():
        replicas = [make_replica("b1"), make_replica("b2", "v1.1")]
        async with run_edge(CONFIGURATION, *replicas) as edge:
            memory = Memory().attach(edge)
            answer = await edge.ask("/s/x", b"p", Resumes="q1", Rhubarbshed_Request_Id="q2")
            assert (answer.whole, list_ids(answer)) == (True, [1, 2, 3, 4])
            assert set(memory.origins) == {"q1", "q2"}
            for stream_id in ("q1", "q2") * 3:
                again = await take_up(edge, stream_id)
                assert list_versions(answer, again) == list_versions(answer)

    play(scene)


def test_id_that_two_streams_of_two_versions_bear_decides_on_neither():
    async def scene():
        first, other = make_replica("b1"), make_replica("b2", "v1.1")
        async with run_edge(CONFIGURATION, first) as edge:
            Memory().attach(edge)
            await begin(edge)
            await add_replica(edge, other)
            await remove_replica(edge, first)
            assert list_versions(await begin(edge)) == {b"data: <v1.1>"}
            assert_refused(await take_up(edge), b"version_unknown")
            assert len(other.got) == 1

    play(scene)


def test_forged_id_sends_a_stream_to_the_version_of_that_id_only():
    async def scene():
        replicas = [make_replica("b1"), make_replica("b2", "v1.1")]
        async with run_edge(CONFIGURATION, *replicas) as edge:
            Memory({"of-another": StreamOrigin("svc", "v1.1")}).attach(edge)
            for _ in range(4):
                answer = await take_up(edge, "of-another")
                assert list_versions(answer) == {b"data: <v1.1>"}
            assert replicas[0].got == []

    play(scene)


def test_stream_whose_route_moved_to_another_service_is_refused_or_begins_anew_there():
    async def scene():
        first = make_replica("b1")
        others = [make_replica(f"c{n}", f"w{n}", service="svc2") for n in (1, 2)]
        async with run_edge(add_service(CONFIGURATION, "svc2"), first, *others) as edge:
            memory = Memory().attach(edge)
            await begin(edge)
            moved = make_configuration({**STREAM, "Service": "svc2"}, version=2)
            edge.store.put("op", "config", add_service(moved, "svc2"))
            await edge.wait_until(lambda: edge.node.view.configuration.version == 2)
            for _ in range(4):
                assert_refused(await take_up(edge), b"version_gone")
            assert [len(each.got) for each in (first, *others)] == [1, 0, 0]
            assert memory.origins == {"q1": StreamOrigin("svc", "v1")}
            text = edge.node.metrics.render({}).decode()
            assert 'rhubarbshed_continuations_total{outcome="refused_gone"} 4.0' in text
            answer = await take_up(edge, after=0)
            assert (answer.whole, list_ids(answer)) == (True, [1, 2, 3, 4])
            assert len(first.got) == 1
            (version,) = list_versions(answer)
            (chosen,) = (each for each in others if each.got)
            for _ in range(4):
                record = edge.node.view.fleet.get(chosen.server_id)
                record.record_load_sample(6, 0, time.monotonic())
                assert list_versions(await take_up(edge)) == {version}

    play(scene)


def test_stream_of_a_split_route_goes_on_at_the_service_that_began_it():
    async def scene():
        replicas = [
            make_replica("b1"),
            make_replica("b2", "v1.1"),
            make_replica("c1", "w1", service="svc2"),
        ]
        split = [{"Service": "svc", "Weight": 1}, {"Service": "svc2", "Weight": 1000}]
        configuration = add_service(
            make_configuration({**STREAM, "TrafficSplit": split, "Service": None}), "svc2"
        )
        async with run_edge(configuration, *replicas) as edge:
            Memory({"q1": StreamOrigin("svc", "v1.1")}).attach(edge)
            for _ in range(6):
                assert list_versions(await take_up(edge)) == {b"data: <v1.1>"}
            assert (replicas[0].got, replicas[2].got) == ([], [])

    play(scene)


@pytest.mark.parametrize("shares", [[("svc", 0), ("svc2", 0)], [("svc", 0), ("svc2", 1)]])
def test_stream_stays_with_its_version_while_its_service_has_no_weight(shares: list):
    async def scene():
        replicas = [
            make_replica("b1"),
            make_replica("b2", "v1.1"),
            make_replica("c1", "w1", service="svc2"),
        ]
        split = [{"Service": name, "Weight": weight} for name, weight in shares]
        configuration = add_service(
            make_configuration({**STREAM, "TrafficSplit": split, "Service": None}), "svc2"
        )
        async with run_edge(configuration, *replicas) as edge:
            for _ in range(8):
                Memory({"q1": StreamOrigin("svc", "v1.1")}).attach(edge)
                assert list_versions(await take_up(edge)) == {b"data: <v1.1>"}
            assert (replicas[0].got, replicas[2].got) == ([], [])

    play(scene)


def test_plain_request_with_the_headers_of_a_stream_is_served_as_ever():
    async def scene():
        routes = (make_route(), make_route("streaming", "/o/", Attempts=1, TargetGapMs=150))
        replicas = [Replica("b1"), Replica("b2", version="v1.1")]
        async with run_edge(make_configuration(*routes), *replicas) as edge:
            assert (await take_up(edge, path="/p/x")).status == 200
            # Without an event, a stream of a route that is not resumable begins anew.
            assert (await take_up(edge, after=0, path="/o/x")).status == 200
            assert_refused(await take_up(edge, path="/o/x"), b"version_unknown")
            got = [each.headers for replica in replicas for each in replica.got]
            shown = [(each["resumes"], each.get("last-event-id")) for each in got]
            assert sorted(shown, key=str) == [("q1", "2"), ("q1", None)]

    play(scene)


def test_stream_of_a_route_that_is_not_resumable_any_more_stays_with_its_version():
    async def scene():
        replicas = [make_replica("b1"), make_replica("b2", "v1.1")]
        configuration = make_configuration({**STREAM, "Resumable": False})
        async with run_edge(configuration, *replicas) as edge:
            origins = {"q1": StreamOrigin("svc", "v1.1"), "q2": StreamOrigin("svc", "v9")}
            Memory(origins).attach(edge)
            for _ in range(8):
                assert list_versions(await take_up(edge)) == {b"data: <v1.1>"}
            assert_refused(await take_up(edge, "q2"), b"version_gone")
            assert replicas[0].got == []
            text = edge.node.metrics.render({}).decode()
            for outcome, count in (("continued", 8.0), ("refused_gone", 1.0)):
                assert f'continuations_total{{outcome="{outcome}"}} {count}' in text

    play(scene)


# --- Without anybody's memory: a service that has had one version for as long as a stream may last.


@pytest.mark.usefixtures("short_age")
def test_stream_goes_on_without_memory_once_only_one_version_was_seen_for_its_age():
    async def scene():
        async with run_edge(CONFIGURATION, make_replica("b1")) as edge:
            assert_refused(await take_up(edge), b"version_unknown")
            await asyncio.sleep(0.9)
            answer = await take_up(edge)
            assert (answer.whole, list_ids(answer)) == (True, [3, 4])

    play(scene)


def test_stream_goes_on_without_memory_at_once_at_the_first_start_of_the_system():
    async def scene():
        async with run_edge(CONFIGURATION, make_replica("b1"), first_start=True) as edge:
            await edge.wait_until(lambda: edge.node.version_store.has_started, 0.2)
            assert (await take_up(edge)).whole

    play(scene)


def test_holder_does_not_vouch_for_its_entries_before_its_own_feed_has_gone_on(monkeypatch):
    async def scene():
        async with run_edge(CONFIGURATION, make_replica("b1")) as edge:
            node, sent = edge.node, []

            def record(datagrams: Datagrams, message: Message, *addresses: tuple) -> None:
                sent.append(message)

            monkeypatch.setattr(Datagrams, "send", record)
            now = time.monotonic()
            node.holder_protocol.send_store_messages(now, 5, 5)
            node.view.versions.entry_age.suspend()
            node.holder_protocol.send_store_messages(now, 5, 5)
            assert [message.settled for message in sent] == [True, False]

    play(scene)


@pytest.mark.usefixtures("short_age")
@pytest.mark.parametrize("missed", ["nothing", "a_removal", "the_history"])
def test_stream_is_refused_without_memory_while_the_store_is_lost_and_after_a_gap(missed: str):
    async def scene():
        async with run_edge(CONFIGURATION, make_replica("b1")) as edge:
            versions = edge.node.view.versions
            await asyncio.sleep(0.9)
            assert (await take_up(edge, "q1")).whole
            await edge.store.stop()
            await edge.wait_until(lambda: edge.node.follower.entry_age.lost_at is not None)
            assert_refused(await take_up(edge, "q2"), b"version_unknown")
            await asyncio.sleep(0.9)
            assert_refused(await take_up(edge, "q3"), b"version_unknown")
            if missed == "a_removal":
                edge.store.put("servers", "b2", make_replica("b2", "v1.1").describe())
                edge.store.remove("servers", "b2")
                edge.store.changes[-2:] = edge.store.changes[-1:]
            if missed == "the_history":
                edge.store.put("servers", "b1", edge.replicas[0].describe(Seq=2))
                edge.store.forget()
            await edge.store.start()
            await edge.wait_until(lambda: edge.node.follower.entry_age.lost_at is None)
            await edge.wait_until(lambda: not versions.entry_age.is_suspended)
            if missed == "nothing":
                assert (await take_up(edge, "q4")).whole
                return
            assert_refused(await take_up(edge, "q4"), b"version_unknown")
            await asyncio.sleep(0.9)
            assert (await take_up(edge, "q5")).whole

    play(scene)


@pytest.mark.usefixtures("short_age")
def test_stream_is_refused_without_memory_while_two_versions_serve_and_for_its_age_after():
    async def scene():
        first, other = make_replica("b1"), make_replica("b2", "v1.1")
        async with run_edge(CONFIGURATION, first) as edge:
            await add_replica(edge, other)
            await asyncio.sleep(0.9)
            assert_refused(await take_up(edge), b"version_unknown")
            await remove_replica(edge, other)
            edge.store.remove("servers", "b2")
            await edge.wait_until(lambda: len(edge.node.view.fleet.servers) == 1)
            assert_refused(await take_up(edge), b"version_unknown")
            await asyncio.sleep(0.9)
            answer = await take_up(edge)
            assert list_versions(answer) == {b"data: <v1>"} and answer.whole
            assert other.got == []

    play(scene)


@pytest.mark.usefixtures("short_age")
def test_stream_is_refused_without_memory_after_a_server_that_was_never_seen_left():
    async def scene():
        async with run_edge(CONFIGURATION, make_replica("b1")) as edge:
            await asyncio.sleep(0.9)
            assert (await take_up(edge, "q1")).whole
            # The first entry is read at once and the next ones half a second later, together.
            edge.store.put("servers", "b1", edge.replicas[0].describe(Seq=2))
            await asyncio.sleep(0.1)
            edge.store.put("servers", "b2", make_replica("b2", "v1.1").describe())
            edge.store.remove("servers", "b2")
            await asyncio.sleep(0.7)
            assert edge.node.view.fleet.get("b2") is None
            assert_refused(await take_up(edge, "q2"), b"version_unknown")
            await asyncio.sleep(0.9)
            assert (await take_up(edge, "q3")).whole

    play(scene)


@pytest.mark.usefixtures("short_age")
@pytest.mark.parametrize(
    ("asked", "replied", "versions", "goes_on"),
    [
        (0, 0, [], True),
        (2, 0, [], False),
        (2, 1, [], True),
        (2, 1, [("svc", "v1")], True),
        (2, 2, [("svc", "v1"), ("svc", "v1.1")], False),
        (2, 2, [("svc2", "v1.1")], True),
    ],
)
def test_stream_goes_on_without_memory_only_if_other_instances_saw_no_other_version(
    asked: int, replied: int, versions: list, goes_on: bool
):
    async def scene():
        async with run_edge(CONFIGURATION, make_replica("b1")) as edge:
            Memory({}, asked, replied, frozenset(versions)).attach(edge)
            await asyncio.sleep(0.9)
            answer = await take_up(edge)
            if goes_on:
                assert (answer.whole, list_ids(answer)) == (True, [3, 4])
            else:
                assert_refused(answer, b"version_unknown")

    play(scene)


# --- What operators see.


def test_operators_see_what_became_of_streams_that_were_taken_up(caplog):
    async def scene():
        first, other = make_replica("b1"), make_replica("b2", "v1.1")
        async with run_edge(CONFIGURATION, first) as edge:
            Memory({"q2": StreamOrigin("svc", "v9")}, 2, 1).attach(edge)
            await begin(edge)
            await add_replica(edge, other)
            await take_up(edge)
            await take_up(edge, after=0)
            await take_up(edge, "q2")
            await take_up(edge, "q3")
            text = edge.node.metrics.render({}).decode()
            for outcome in ("continued", "began_anew", "refused_gone", "refused_unknown"):
                assert f'rhubarbshed_continuations_total{{outcome="{outcome}"}} 1.0' in text

    with caplog.at_level(logging.INFO):
        play(scene)
    ended = [each.pairs for each in caplog.records if each.getMessage() == "request_ended"]
    shown = [(each.get("stream"), each.get("version"), each.get("origin")) for each in ended]
    assert shown == [
        (None, "v1", None),
        ("q1", "v1", "told"),
        ("q1", "v1", "told"),
        ("q2", "v9", "told"),
        ("q3", None, "unknown"),
    ]
    assert [each["versions"] for each in ended] == ["v1", "v1", "v1", "", ""]


def test_operators_see_why_a_stream_of_unknown_version_was_refused(caplog):
    async def scene():
        replicas = [make_replica("b1"), make_replica("b2", "v1.1")]
        async with run_edge(CONFIGURATION, *replicas) as edge:
            Memory({}, 2, 1).attach(edge)
            await asyncio.sleep(0.2)
            await take_up(edge, "q9")

    with caplog.at_level(logging.INFO):
        play(scene)
    (line,) = [each.pairs for each in caplog.records if each.getMessage() == "stream_refused"]
    assert 0.0 < line.pop("followed_s") < 5.0 and line.pop("request")
    assert 0.0 < line.pop("routed_s") < 5.0
    assert line == {
        "stream": "q9",
        "service": "svc",
        "versions": "v1,v1.1",
        "age_max_s": 60.0,
        "asked": 2,
        "replied": 1,
    }


# --- A small model of a day: several versions, crashes, tries.

STREAMS = 80
TRIES_MAX = 5
TAKEN_UP_MIN = 12
MODEL_VERSIONS = ("v1", "v1.1", "v1", "1.1", "v1.1", "v1")


@define
class Day:
    """Streams of one run of the model: those that began, and the takings-up that went on."""

    rng: random.Random
    edge: Edge
    begun: int = 0
    refused: int = 0
    taken_up: int = 0
    went_on: int = 0
    mixed: list[str] = field(factory=list)

    async def crash_repeatedly(self) -> None:
        """Crash a server at a time and start it again at its version."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.02, 0.1))
            replica = self.rng.choice(self.edge.replicas)
            await replica.stop()
            await asyncio.sleep(0.05)
            await replica.start()

    async def follow_stream(self, stream_id: str) -> None:
        """Begin a stream and take it up again until it is whole."""
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        answers = [await begin(self.edge, stream_id)]
        self.begun += answers[0].status == 200
        self.refused += answers[0].status != 200
        while list_ids(*answers) and not answers[-1].whole and len(answers) < TRIES_MAX:
            await asyncio.sleep(0.1)
            self.taken_up += 1
            answers.append(await take_up(self.edge, stream_id, list_ids(*answers)[-1]))
            self.went_on += answers[-1].status == 200
            if answers[-1].status != 200:
                answers[-1].whole = False
                answers[-1].body = b""
        if len(list_versions(*answers)) > 1:
            self.mixed.append(stream_id)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_stream_of_a_day_with_crashes_mixes_versions_and_most_go_on(seed: int):
    rng = random.Random(seed)

    async def stumble(exchange: Exchange) -> None:
        """Write a stream that breaks off in one of three cases."""
        writer = Writer()
        if rng.random() < 0.5:
            writer = Writer(rng.randint(2, EVENTS), rng.choice((reset, garble)))
        await writer(exchange)

    async def scene():
        replicas = [
            Replica(f"b{number}", reply=stumble, version=version)
            for number, version in enumerate(MODEL_VERSIONS)
        ]
        configuration = make_configuration({**STREAM, "Attempts": 2})
        async with run_edge(configuration, *replicas, retry_extra=1000.0) as edge:
            Memory().attach(edge)
            day = Day(rng, edge)
            crashes = asyncio.create_task(day.crash_repeatedly())
            await asyncio.gather(*(day.follow_stream(f"q{n}") for n in range(STREAMS)))
            crashes.cancel()
            await asyncio.gather(crashes, return_exceptions=True)
            print(f"{day.begun=} {day.refused=} {day.taken_up=} {day.went_on=} {len(day.mixed)=}")
            assert day.mixed == []
            assert day.taken_up >= TAKEN_UP_MIN
            assert day.went_on / day.taken_up >= 0.5 * day.begun / (day.begun + day.refused)

    play(scene)
