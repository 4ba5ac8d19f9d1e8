"""Streams at an instance that is out of step while servers of another version come or leave."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.transport.edge.origin_store import WRITE_INTERVAL_S
from rhubarbshed.transport.edge.pools import Pool
from rhubarbshed.transport.edge.server_checks import SIGN_TIMEOUT_S, ServerChecks
from standin.replica import Exchange, Replica
from test.helper_edge import make_configuration, make_engine_service, play, run_edge
from test.helper_scene import Scene, run_scene
from test.helper_streams import (
    AGE_SHORT_S,
    STREAM,
    Writer,
    assert_refused,
    begin,
    let_streams_last_shortly,
    list_ids,
    list_versions,
    make_replica,
    take_up,
)
from test.soak.relay import Mode

CERTAIN_S = AGE_SHORT_S + 0.1
STALL_S = 2.0
"""Shorter than the age up to which entries count as current."""


@pytest.fixture(autouse=True)
def short_age(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let streams last for a short time only."""
    let_streams_last_shortly(monkeypatch)


async def start_again_as(replica: Replica, version: str) -> None:
    """Start a replica again under its id and at its address, with another version."""
    await replica.stop()
    replica.version, replica.started_ms = version, replica.started_ms + 1
    await replica.start()


async def reset(exchange: Exchange) -> None:
    """Break an answer off."""
    exchange.reset()


def isolate(scene: Scene, name: str) -> None:
    """Lose all datagrams that an instance sends, and all answers of the store to it."""
    node = scene.instances[name]
    node.streams.send = node.instance_lists.send = lambda message, *addresses: None
    scene.relays[name].mode = Mode.DROP_ANSWERS


@pytest.mark.parametrize("within_answer", [True, False])
def test_stream_does_not_go_on_at_an_engine_whose_new_start_is_not_known_yet(within_answer: bool):
    async def scene():
        async def break_off(exchange: Exchange) -> None:
            # Changes of entries are collected for half a second after the first one.
            edge.store.put("servers", "b1", first.describe(Seq=2))
            await asyncio.sleep(0.1)
            await start_again_as(other, "v2")
            edge.store.put("servers", "b2", other.describe())
            assert fleet.get("b2").entry.version == "v1"
            exchange.reset()

        first, other = Replica("b1", reply=Writer(3, break_off)), make_replica("b2")
        route = {**STREAM, "Attempts": 2 if within_answer else 1}
        configuration = make_configuration(route, Services=[make_engine_service({})])
        async with run_edge(configuration, first, other) as edge:
            fleet = edge.node.view.fleet
            fleet.get("b2").record_load_sample(7, 0, time.monotonic())
            answers = [await begin(edge)]
            fleet.get("b2").record_load_sample(0, 0, time.monotonic())
            fleet.get("b1").record_load_sample(7, 0, time.monotonic())
            if not within_answer:
                answers.append(await take_up(edge))
            assert (list_versions(*answers), list_ids(*answers)) == ({b"data: <v1>"}, [1, 2, 3, 4])

    play(scene)


@pytest.mark.parametrize("within_answer", [True, False])
def test_stream_that_began_at_an_engine_whose_new_start_was_not_known_goes_on_there_alone(
    within_answer: bool,
):
    async def scene():
        first, other = make_replica("b1"), make_replica("b2")
        route = {**STREAM, "Attempts": 2 if within_answer else 1}
        configuration = make_configuration(route, Services=[make_engine_service({})])
        async with run_edge(configuration, first, other) as edge:
            fleet = edge.node.view.fleet
            edge.store.put("servers", "b1", first.describe(Seq=2))
            await asyncio.sleep(0.1)
            other.reply = Writer(3, reset)
            await start_again_as(other, "v2")
            edge.store.put("servers", "b2", other.describe())
            fleet.get("b1").record_load_sample(7, 0, time.monotonic())
            assert fleet.get("b2").entry.version == "v1"
            answers = [await begin(edge)]
            if not within_answer:
                answers.append(await take_up(edge))
            assert list_versions(*answers) == {b"data: <v2>"}

    play(scene)


@pytest.mark.parametrize("recorded", [True, False])
def test_version_that_came_and_left_under_the_id_of_another_is_not_forgotten(recorded: bool):
    async def scene():
        async with run_scene("b1", "b2", a1="a", c1="c") as scene:
            await asyncio.sleep(CERTAIN_S)
            scene.relays["c1"].mode = Mode.DROP_ANSWERS
            await start_again_as(scene.servers["b2"], "v2")
            scene.store.put("servers", "b2", scene.servers["b2"].describe())
            fleet = scene.instances["a1"].view.fleet
            await scene.instances.wait_until(lambda: fleet.get("b2").entry.version == "v2")
            await scene.begin_at("a1", "b2")
            if recorded:
                await asyncio.sleep(2 * WRITE_INTERVAL_S)
            scene.forget_streams("c1")
            await scene.kill("a1")
            scene.store.remove("servers", "b2")
            scene.relays["c1"].mode = Mode.PASS
            scene.relays["c1"].reset()
            await scene.start_again("a1")
            await scene.wait_known("b2", False, "c1")
            streams = scene.instances["c1"].streams
            await scene.instances.wait_until(lambda: bool(streams.instances))
            answer = await take_up(scene.get_edge("c1"))
            assert answer.status == 503, answer

    play(scene)


@pytest.mark.parametrize("stream_id", ["", "q1"])
def test_instance_that_stood_still_while_a_version_came_takes_no_other_for_the_sole_one(stream_id):
    async def scene():
        async with run_scene("b1", a1="a", a2="a", c1="c") as scene:
            await asyncio.sleep(CERTAIN_S)
            isolate(scene, "c1")
            await scene.add("b2", "v2", "a1", "a2")
            await scene.begin_at("a1", "b2")
            await asyncio.sleep(STALL_S)
            scene.forget_streams("c1")
            assert_refused(await take_up(scene.get_edge("c1"), stream_id), b"version_unknown")
            scene.relays["c1"].mode = Mode.PASS
            assert_refused(await take_up(scene.get_edge("c1"), stream_id), b"version_unknown")

    play(scene)


@pytest.mark.parametrize("left", [False, True])
def test_instance_that_hears_only_one_that_is_as_far_behind_takes_no_version_for_the_sole_one(left):
    async def scene():
        async with run_scene("b1", a1="a", c1="c", d1="d") as scene:
            await asyncio.sleep(CERTAIN_S)
            for name in ("c1", "d1"):
                scene.relays[name].mode = Mode.DROP_ANSWERS
            await scene.add("b2", "v2", "a1")
            await scene.begin_at("a1", "b2")
            for name in ("c1", "d1"):
                scene.forget_streams(name)
            await scene.kill("a1")
            if left:
                scene.store.remove("servers", "b2")
            scene.relays["c1"].mode = Mode.PASS
            scene.relays["c1"].reset()
            for stream_id in ("", "q1"):
                assert_refused(await take_up(scene.get_edge("c1"), stream_id), b"version_unknown")

    play(scene)


def test_stream_taken_up_without_an_event_begins_anew_at_an_instance_out_of_step():
    async def scene():
        async with run_scene("b1", a1="a", c1="c") as scene:
            isolate(scene, "c1")
            await scene.add("b2", "v2", "a1")
            await scene.begin_at("a1", "b2")
            scene.forget_streams("c1")
            answer = await take_up(scene.get_edge("c1"), "q1", 0)
            assert (answer.whole, list_ids(answer)) == (True, [1, 2, 3, 4])
            assert list_versions(answer) == {b"data: <v1>"}

    play(scene)


@pytest.mark.parametrize("hangs", ["connecting", "reporting"])
def test_stream_is_not_held_up_by_an_engine_that_does_not_show_its_start(hangs, monkeypatch):
    """The time to connect came on top, and callers leave two seconds after the last event."""

    async def wait(*_: object) -> None:
        await asyncio.sleep(60.0)

    async def scene():
        pool = Pool(60.0, connect=wait) if hangs == "connecting" else Pool(1.0)
        replica = Replica("b1", silent=True)
        await replica.start()
        host, port = replica.address
        entry = SimpleNamespace(server_id="b1", host=host, port=port, started_ms=1)
        record = ServerRecord(entry, seen_at=0.0)
        service = SimpleNamespace(engine=object())
        began_at = time.monotonic()
        assert not await ServerChecks(pool).has_restarted(record, service)
        assert time.monotonic() - began_at < SIGN_TIMEOUT_S
        await replica.stop()

    play(scene)
