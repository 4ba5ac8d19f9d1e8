"""A request that crashes backend servers and that is stopped is hardly ever sent again."""

import asyncio
import time

import pytest

from rhubarbshed.coordination.requests import crash_quarantine, verdicts
from standin.replica import Exchange
from test.helper_crashes import CrashScene, run_crash_scene
from test.helper_cuts import run_cut_scene
from test.helper_edge import play

NAMES = ("a1", "a2", "a3", "b1", "b2")

ENDED_MAX = 3
"""Servers that may end under one request before it counts as one that the platform judges."""

SENDS_AFTER = 3
"""Sends that the platform allows from three seconds after the third end."""

STABLE_S = 3.0
GAP_S = 0.15
FIRST_PAUSE_S = 1.0
"""Time until the first trial in these tests, in place of ten seconds."""


@pytest.fixture
def short_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    """Put verdicts to a trial soon, and once more soon after one that is not decided."""
    monkeypatch.setattr(verdicts, "TRIAL_PAUSES_S", (FIRST_PAUSE_S, 30.0))
    monkeypatch.setattr(crash_quarantine, "TRIAL_RESERVED_S", 0.5)


async def ask_in_turn(scene: CrashScene, count: int, path: str = "/p/x") -> None:
    """Send the deadly request to one instance after the other."""
    for number in range(count):
        await scene.ask(NAMES[number % len(NAMES)], path, b"deadly")
        await asyncio.sleep(GAP_S)


def set_reply(scene: CrashScene, monkeypatch: pytest.MonkeyPatch, reply) -> None:
    """Let all replicas answer by another function, also those that start later."""
    monkeypatch.setattr(CrashScene, "reply", reply)
    for replica in scene.replicas.values():
        replica.reply = scene.reply


def test_request_that_comes_back_at_all_instances_at_once_is_tried_once(short_pauses):
    async def run():
        async with run_crash_scene(8) as scene:
            await ask_in_turn(scene, 5)
            before = len(scene.arrived)
            await asyncio.sleep(FIRST_PAUSE_S + 0.3)
            await asyncio.gather(*(scene.ask(name, body=b"deadly") for name in NAMES))
            assert len(scene.arrived) - before == 1

    play(run)


def test_trials_that_servers_turn_away_become_rare(short_pauses, monkeypatch):
    """A server that is full says nothing about the request; each such trial is a send, too."""

    async def turn_away(scene: CrashScene, exchange: Exchange) -> None:
        scene.arrived.append((time.monotonic(), exchange.replica.server_id, exchange))
        exchange.answer(503, b"", "Rhubarbshed-Not-Executed: 1", signed=False)

    async def run():
        async with run_crash_scene(8) as scene:
            await ask_in_turn(scene, 5)
            before = len(scene.arrived)
            set_reply(scene, monkeypatch, turn_away)
            await ask_in_turn(scene, 40)
            assert 1 <= len(scene.arrived) - before <= SENDS_AFTER

    play(run)


def test_errors_of_faulty_servers_do_not_clear_a_deadly_request(monkeypatch):
    """A faulty server answers without running the request, as every second one here."""
    crash_or_answer = CrashScene.reply

    async def fail_every_second(scene: CrashScene, exchange: Exchange) -> None:
        if b"deadly" in exchange.body and len(scene.arrived) % 2:
            scene.arrived.append((time.monotonic(), exchange.replica.server_id, exchange))
            exchange.answer(500, b"failed")
            return
        await crash_or_answer(scene, exchange)

    async def run():
        async with run_crash_scene(8) as scene:
            set_reply(scene, monkeypatch, fail_every_second)
            await ask_in_turn(scene, 16, "/u/x")
            assert len(scene.crashed) <= ENDED_MAX

    play(run)


def count_late_sends(scene: CrashScene) -> int:
    """Return the sends later than the platform's bound after the third end."""
    third_at = scene.arrived[ENDED_MAX - 1][0]
    return sum(at > third_at + STABLE_S for at, *_ in scene.arrived)


def test_instances_that_receive_nothing_from_each_other_stop_a_deadly_request():
    """Their links to each other are cut, those to the store and the replicas are not."""

    async def run():
        async with run_crash_scene(8) as scene:
            for name in NAMES:
                scene.instances[name].holder_protocol.datagrams.handle = lambda *_: None
            await ask_in_turn(scene, 3)
            await asyncio.sleep(STABLE_S + 0.5)
            await ask_in_turn(scene, 10)
            assert count_late_sends(scene) <= SENDS_AFTER
            assert len(scene.crashed) <= 2 * ENDED_MAX

    play(run)


@pytest.mark.parametrize("first_start", [False, True])
def test_request_stays_stopped_when_all_instances_are_killed(first_start: bool):
    """The settings may say for long that this is the first start."""

    async def run():
        async with run_crash_scene(8) as scene:
            await ask_in_turn(scene, 5)
            ended = len(scene.crashed)
            for _ in range(2):
                await scene.instances.restart(*NAMES, first_start=first_start)
                await asyncio.sleep(0.5)
                await scene.wait_ready(*NAMES)
                await ask_in_turn(scene, 5)
            assert len(scene.crashed) == ended

    play(run)


def test_request_that_cut_off_instances_forward_is_stopped():
    """The instance that sends it to a replica counts its end, whoever took it from the caller."""

    async def run():
        async with run_cut_scene() as cut:
            scene = cut.crashes
            await cut.cut("reset", "a1", "a2")
            await ask_in_turn(scene, 15)
            assert len(scene.crashed) <= ENDED_MAX

    play(run)


def test_instance_that_starts_late_knows_what_is_stopped_before_it_serves():
    async def run():
        async with run_crash_scene(8) as scene:
            await scene.instances.kill("a3")
            for name in ("a1", "b1", "a2"):
                await scene.ask(name, body=b"deadly")
                await asyncio.sleep(GAP_S)
            before = len(scene.arrived)
            scene.instances.start("a3", "a")
            await scene.wait_ready("a3")
            await asyncio.sleep(GAP_S)
            assert (await scene.ask("a3", body=b"deadly")).status == 503
            assert len(scene.arrived) == before

    play(run)
