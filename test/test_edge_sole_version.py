"""Streams whose beginning no instance remembers, taken up after kills, releases and cuts."""

import asyncio

import pytest

from test.helper_edge import make_configuration, play
from test.helper_scene import run_scene
from test.helper_streams import (
    AGE_SHORT_S,
    CONFIGURATION,
    STREAM,
    assert_refused,
    let_streams_last_shortly,
    make_replica,
    take_up,
)
from test.soak.relay import Mode

CERTAIN_S = AGE_SHORT_S + 0.1


@pytest.fixture(autouse=True)
def short_age(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let streams last for a short time only."""
    let_streams_last_shortly(monkeypatch)


@pytest.mark.parametrize("stream_id", ["", "q1"])
def test_instance_that_missed_a_release_takes_no_version_for_the_sole_one(stream_id: str):
    async def scene():
        async with run_scene("b1", a1="a", c1="c") as scene:
            await asyncio.sleep(CERTAIN_S)
            assert (await take_up(scene.get_edge("a1"), "q0")).whole
            scene.relays["a1"].mode = Mode.DROP_ANSWERS
            await scene.add("b2", "v2", "c1")
            await scene.begin_at("c1", "b2")
            scene.forget_streams("a1")
            await scene.kill("c1")
            # It knows nothing yet, so its reply contradicts nothing.
            scene.relays["c1"].mode = Mode.DROP_ANSWERS
            scene.instances.start("c1", "c")
            await asyncio.sleep(0.1)
            assert_refused(await take_up(scene.get_edge("a1"), stream_id), b"version_unknown")

    play(scene)


@pytest.mark.parametrize("stream_id", ["", "q1"])
def test_instance_that_hears_of_no_servers_takes_no_version_for_the_sole_one(stream_id: str):
    async def scene():
        async with run_scene("b1", a1="a") as scene:
            await asyncio.sleep(CERTAIN_S)
            assert (await take_up(scene.get_edge("a1"), "q0")).whole
            scene.store.held_tables.add("servers")
            await scene.add("b2", "v2")
            # The configuration's feed is answered all the while.
            await asyncio.sleep(4.0)
            assert_refused(await take_up(scene.get_edge("a1"), stream_id), b"version_unknown")

    play(scene)


def test_stream_of_a_route_that_is_not_resumable_any_more_is_refused_once_nobody_remembers_it():
    async def scene():
        async with run_scene("b1", a1="a") as scene:
            await asyncio.sleep(CERTAIN_S)
            await scene.add("b2", "v2", "a1")
            await scene.begin_at("a1", "b1")
            await scene.kill("a1")
            changed = make_configuration({**STREAM, "Resumable": False}, version=2)
            scene.store.put("op", "config", changed)
            await scene.start_again("a1")
            for stream_id in ("", "q1"):
                assert_refused(await take_up(scene.get_edge("a1"), stream_id), b"version_unknown")

    play(scene)


@pytest.mark.parametrize("killed", [False, True])
def test_stream_does_not_go_on_at_the_service_to_which_its_route_has_moved(killed: bool):
    async def scene():
        services = [{**CONFIGURATION["Services"][0], "Name": name} for name in ("svc", "svc2")]
        async with run_scene(
            "b1", configuration={**CONFIGURATION, "Services": services}, a1="a"
        ) as scene:
            scene.servers["c1"] = make_replica("c1", "v1", service="svc2")
            await scene.add("c1", "v1", "a1")
            await asyncio.sleep(CERTAIN_S)
            await scene.begin_at("a1", "b1")
            if killed:
                await scene.kill("a1")
            moved = make_configuration({**STREAM, "Service": "svc2"}, version=2, Services=services)
            scene.store.put("op", "config", moved)
            if killed:
                await scene.start_again("a1")
            await scene.instances.wait_until(
                lambda: scene.instances["a1"].view.configuration.version == 2
            )
            scene.forget_streams("a1")
            for stream_id in ("", "q1"):
                assert_refused(await take_up(scene.get_edge("a1"), stream_id), b"version_unknown")
            await asyncio.sleep(CERTAIN_S)
            assert (await take_up(scene.get_edge("a1"))).whole

    play(scene)


def test_stream_is_refused_while_a_newer_configuration_is_not_in_force_here():
    async def scene():
        async with run_scene("b1", a1="a") as scene:
            await asyncio.sleep(CERTAIN_S)
            follower = scene.instances["a1"].follower
            follower.configuration_revision -= 1
            assert_refused(await take_up(scene.get_edge("a1")), b"version_unknown")
            follower.configuration_revision += 1
            assert (await take_up(scene.get_edge("a1"))).whole

    play(scene)


@pytest.mark.parametrize("names", [{"a1": "a"}, {"a1": "a", "a2": "a", "c1": "c"}])
def test_stream_goes_on_after_all_are_killed_if_its_service_had_one_version(names: dict):
    async def scene():
        async with run_scene("b1", **names) as scene:
            await asyncio.sleep(CERTAIN_S)
            await scene.wait_recorded()
            await scene.begin_at("a1", "b1")
            await scene.kill(*names)
            await scene.start_again(*names)
            await scene.instances.wait_until(
                lambda: all(scene.measure_followed(name) > CERTAIN_S for name in names), 0.5
            )
            for name in names:
                assert (await take_up(scene.get_edge(name), "")).whole
            await scene.instances.wait_until(scene.instances.know_each_other)
            for name in names:
                assert (await take_up(scene.get_edge(name))).whole

    play(scene)


def test_version_that_came_and_left_while_another_instance_heard_nothing_is_not_forgotten():
    async def scene():
        async with run_scene("b1", a1="a", c1="c") as scene:
            await asyncio.sleep(CERTAIN_S)
            scene.relays["c1"].mode = Mode.DROP_ANSWERS
            await scene.add("b2", "v2", "a1")
            await scene.begin_at("a1", "b2")
            scene.forget_streams("c1")
            await scene.kill("a1")
            scene.store.remove("servers", "b2")
            await scene.start_again("a1")
            streams = scene.instances["a1"].streams
            await scene.instances.wait_until(lambda: bool(streams.instances))
            assert_refused(await take_up(scene.get_edge("a1")), b"version_unknown")

    play(scene)


@pytest.mark.parametrize("first_start", [False, True])
def test_system_that_is_started_again_as_if_for_the_first_time_binds_no_stream(first_start: bool):
    async def scene():
        async with run_scene("b1", a1="a", c1="c") as scene:
            await asyncio.sleep(CERTAIN_S)
            await scene.begin_at("a1", "b1")
            await scene.kill("a1", "c1")
            scene.store.remove("servers", "b1")
            await scene.add("b2", "v2")
            await scene.start_again("a1", "c1", first_start=first_start)
            for name in ("a1", "c1"):
                for stream_id in ("", "q1"):
                    answer = await take_up(scene.get_edge(name), stream_id)
                    assert_refused(answer, b"version_unknown")

    play(scene)
