"""A request that crashes backend servers is stopped by all instances together."""

import asyncio

import pytest

from test.helper_crashes import run_crash_scene
from test.helper_edge import play

ENDED_MAX = 3
"""Servers that may end under one request; the platform allows three, and three sends more."""

SENDS_AFTER = 3
"""Sends that the platform allows after the third end."""

GAP_S = 0.15
"""Time between a caller's tries."""

KINDS = {
    "idempotent": "/p/x",
    "not idempotent": "/u/x",
    "resumable stream": "/s/x",
    "stream": "/n/x",
}


@pytest.mark.parametrize("path", KINDS.values(), ids=KINDS)
def test_request_that_comes_again_at_one_instance_ends_three_servers_at_most(path):
    async def run():
        async with run_crash_scene(6, {"a1": "a"}) as scene:
            for _ in range(8):
                answer = await scene.ask("a1", path, b"deadly")
                assert answer.status in (0, 200, 502, 503, 504)
                await asyncio.sleep(GAP_S)
            assert len(scene.crashed) <= ENDED_MAX
            assert (await scene.ask("a1", path, b"sound")).whole

    play(run)


@pytest.mark.parametrize("path", KINDS.values(), ids=KINDS)
def test_request_that_comes_again_at_other_instances_ends_three_servers_at_most(path):
    async def run():
        async with run_crash_scene(6) as scene:
            for number in range(10):
                name = ("a1", "a2", "a3", "b1", "b2")[number % 5]
                await scene.ask(name, path, b"deadly")
                await asyncio.sleep(GAP_S)
            assert len(scene.crashed) <= ENDED_MAX
            assert len(scene.arrived) <= ENDED_MAX + SENDS_AFTER

    play(run)


@pytest.mark.parametrize("crash_at", (2, 4))
def test_stream_that_ends_servers_after_it_has_begun_ends_three_at_most(crash_at):
    async def run():
        async with run_crash_scene(6, crash_at=crash_at) as scene:
            for number in range(10):
                name = ("a1", "a2", "a3", "b1", "b2")[number % 5]
                await scene.ask(name, "/n/x", b"deadly")
                await asyncio.sleep(GAP_S)
            assert len(scene.crashed) <= ENDED_MAX

    play(run)


def test_copies_at_all_instances_at_once_end_no_further_server_afterwards():
    async def run():
        async with run_crash_scene(8) as scene:
            names = ("a1", "a2", "a3", "b1", "b2")
            for _ in range(6):
                await asyncio.gather(*(scene.ask(name, body=b"deadly") for name in names))
                await asyncio.sleep(GAP_S)
            first, *_ = scene.arrived
            # Nobody can know of the first ends before they happen.
            later = [at for at, *_ in scene.arrived if at - first[0] > 2 * GAP_S]
            assert len(later) <= SENDS_AFTER

    play(run)


def test_sound_requests_of_its_caller_and_its_servers_are_answered():
    async def run():
        async with run_crash_scene(6) as scene:
            names = ("a1", "a2", "a3", "b1", "b2")
            for number in range(8):
                await scene.ask(names[number % 5], "/p/same", b"deadly")
                await asyncio.sleep(GAP_S)
            sound = [await scene.ask(name, "/p/same", b"sound") for name in names for _ in range(4)]
            assert all(answer.status == 200 for answer in sound)

    play(run)


def test_instance_that_was_restarted_knows_the_request_of_the_others():
    async def run():
        async with run_crash_scene(6) as scene:
            for name in ("a1", "a2", "a1", "a2"):
                await scene.ask(name, body=b"deadly")
                await asyncio.sleep(GAP_S)
            await scene.instances.restart("a1", "a2")
            await asyncio.sleep(0.5)
            await scene.wait_ready("a1", "a2")
            before = len(scene.crashed)
            for name in ("a1", "a2", "a1", "a2"):
                await scene.ask(name, body=b"deadly")
                await asyncio.sleep(GAP_S)
            assert len(scene.crashed) == before <= ENDED_MAX

    play(run)


def test_instance_that_was_cut_off_learns_of_the_request_afterwards():
    async def run():
        async with run_crash_scene(6) as scene:
            names = ("a1", "a2", "a3")
            datagrams = scene.instances["b1"].holder_protocol.datagrams
            handle, datagrams.handle = datagrams.handle, lambda read, address: None
            for number in range(6):
                await scene.ask(names[number % 3], body=b"deadly")
                await asyncio.sleep(GAP_S)
            datagrams.handle = handle
            # The platform judges an instance three seconds after the end of a cut.
            await asyncio.sleep(3.0)
            before = len(scene.crashed)
            for _ in range(4):
                await scene.ask("b1", body=b"deadly")
            assert len(scene.crashed) == before <= ENDED_MAX

    play(run)
