"""A part of prompts that crashes servers is stopped, and sound requests beside it go on."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable

import pytest
from attrs import define, field

from rhubarbshed.coordination.requests import verdicts
from rhubarbshed.util.fingerprints import hash_part
from standin.replica import Exchange
from test.helper_crashes import CrashScene, run_crash_scene
from test.helper_edge import Answer, play

ENDS_MAX = 5
SENDS_AFTER = 3
"""Ends, and sends after the fifth of them, that the platform allows."""

SERVED_SHARE = 0.5
"""Share of its usual rate at which sound requests have to begin at the first attempt."""

NAMES = ("a1", "a2", "a3", "b1", "b2")
FIRST = "f1"
SECOND = "ab"
DEADLY = "dead"
OTHER_DEADLY = "dead2"


def list_parts(exchange: Exchange) -> list[str]:
    """Return the parts of a request's prompt."""
    items = exchange.headers.get("rhubarbshed-prompt-prefix", "").split(",")
    return [item.partition(":")[0] for item in items if item]


def has_part(*deadly: str) -> Callable[[Exchange], bool]:
    """Return whether a request has one of the parts before its last one."""
    return lambda exchange: any(part in deadly for part in list_parts(exchange)[:-1])


@define
class Traffic:
    """Requests of callers, each different, at instances in turn.

    `answers` are the sound ones with the time of sending and their parts.
    """

    scene: CrashScene
    rng: random.Random = field(factory=lambda: random.Random(1))
    numbers: itertools.count = field(factory=itertools.count)
    answers: list[tuple[float, tuple[str, ...], Answer]] = field(factory=list)
    tasks: set[asyncio.Task] = field(factory=set)

    async def ask(self, parts: tuple[str, ...], path: str = "/s/x") -> Answer:
        """Send one request with parts, and one of its own at the end."""
        number = next(self.numbers)
        listed = ",".join(f"{part}:100" for part in (*parts, f"own{number}"))
        name = self.rng.choice(sorted(self.scene.instances.tasks))
        header = {"Rhubarbshed_Prompt_Prefix": listed}
        sent_at = time.monotonic()
        answer = await self.scene.ask(name, path, b"b%d" % number, **header)
        self.answers.append((sent_at, parts, answer))
        return answer

    def start(self, parts: tuple[str, ...], per_s: float, for_s: float, path: str = "/s/x") -> None:
        """Send requests with the same parts for a time."""

        async def send_repeatedly() -> None:
            until = time.monotonic() + for_s
            while time.monotonic() < until:
                task = asyncio.create_task(self.ask(parts, path))
                self.tasks.add(task)
                await asyncio.sleep(self.rng.uniform(0.5, 1.5) / per_s)

        self.tasks.add(asyncio.create_task(send_repeatedly()))

    async def end(self) -> None:
        """Wait until all are answered."""
        while pending := [task for task in self.tasks if not task.done()]:
            await asyncio.gather(*pending)

    def measure_served(self, since: float, *parts: str) -> float:
        """Return the share of requests with parts, sent since a time, that were answered."""
        chosen = [
            answer.whole and answer.status == 200
            for sent_at, each, answer in self.answers
            if sent_at >= since and set(parts) <= set(each)
        ]
        assert len(chosen) >= 20
        return sum(chosen) / len(chosen)


POSITIONS = {
    "first": (DEADLY, FIRST, SECOND),
    "in the middle": (FIRST, DEADLY, SECOND),
    "near the end": (FIRST, SECOND, DEADLY),
    "the only shared one": (DEADLY,),
}


async def play_day(scene: CrashScene, deadly: tuple[str, ...], path: str = "/s/x") -> Traffic:
    """Send deadly requests for a while beside sound ones with the same other parts."""
    traffic = Traffic(scene)
    traffic.start((FIRST, SECOND), 5.0, 4.0, path)
    traffic.start((FIRST, "cd"), 10.0, 4.0, path)
    traffic.start(("f2", "ef"), 10.0, 4.0, path)
    await asyncio.sleep(0.5)
    traffic.start(deadly, 5.0, 3.0, path)
    await traffic.end()
    return traffic


@pytest.mark.parametrize("deadly", POSITIONS.values(), ids=POSITIONS)
def test_part_that_crashes_servers_ends_five_at_most(deadly):
    async def run():
        async with run_crash_scene(6, is_deadly=has_part(DEADLY), back_s=0.5) as scene:
            await play_day(scene, deadly)
            assert len(scene.crashed) <= ENDS_MAX
            assert len(scene.arrived) <= ENDS_MAX + SENDS_AFTER

    play(run)


def test_stream_that_may_not_be_repeated_is_stopped_by_its_part_too():
    async def run():
        async with run_crash_scene(6, is_deadly=has_part(DEADLY), back_s=0.5) as scene:
            await play_day(scene, (FIRST, SECOND, DEADLY), "/n/x")
            assert len(scene.crashed) <= ENDS_MAX

    play(run)


def test_sound_requests_with_the_same_first_and_second_part_go_on():
    async def run():
        async with run_crash_scene(6, is_deadly=has_part(DEADLY), back_s=0.5) as scene:
            traffic = await play_day(scene, (FIRST, SECOND, DEADLY))
            since = scene.arrived[0][0] + 1.0
            sound = [each for each in traffic.answers if DEADLY not in each[1]]
            traffic.answers = sound
            assert traffic.measure_served(since, FIRST) >= SERVED_SHARE
            assert traffic.measure_served(since, "f2") >= SERVED_SHARE

    play(run)


def test_two_parts_that_crash_servers_are_both_stopped():
    async def run():
        deadly = has_part(DEADLY, OTHER_DEADLY)
        async with run_crash_scene(8, is_deadly=deadly, back_s=0.5) as scene:
            traffic = Traffic(scene)
            traffic.start((FIRST, "cd"), 10.0, 4.0)
            traffic.start((FIRST, DEADLY), 4.0, 4.0)
            traffic.start((FIRST, SECOND, OTHER_DEADLY), 4.0, 4.0)
            await traffic.end()
            assert len(scene.crashed) <= 2 * ENDS_MAX

    play(run)


def test_part_that_was_sound_before_is_stopped_once_it_crashes_servers():
    async def run():
        async with run_crash_scene(8, is_deadly=lambda exchange: False, back_s=0.5) as scene:
            traffic = Traffic(scene)
            traffic.start((FIRST, "cd"), 10.0, 6.0)
            traffic.start((FIRST, DEADLY), 5.0, 6.0)
            await asyncio.sleep(2.0)
            scene.is_deadly = has_part(DEADLY)
            await traffic.end()
            assert len(scene.crashed) <= ENDS_MAX + SENDS_AFTER

    play(run)


def test_restarted_instances_know_the_part_of_the_others():
    async def run():
        async with run_crash_scene(8, is_deadly=has_part(DEADLY), back_s=0.5) as scene:
            traffic = await play_day(scene, (FIRST, DEADLY))
            await scene.instances.restart("a1", "a2")
            await asyncio.sleep(0.5)
            await scene.wait_ready("a1", "a2")
            before = len(scene.arrived)
            traffic.start((FIRST, DEADLY), 10.0, 2.0)
            await traffic.end()
            assert len(scene.arrived) - before <= 1

    play(run)


def test_requests_of_one_instance_at_the_same_two_ends_stop_their_part():
    """Only the first of them counted at each end, so a third server had to end."""

    async def run():
        names = {"a1": "a", "b1": "b"}
        async with run_crash_scene(2, names, is_deadly=has_part(DEADLY), back_s=0.5) as scene:
            # Both go to the server of the same data centre first, then to the other one.
            header = {"Rhubarbshed_Prompt_Prefix": f"{DEADLY}:10,own:10"}
            await asyncio.gather(
                *(scene.ask("a1", "/s/x", body, **header) for body in (b"one", b"two"))
            )
            assert [server_id for _, server_id, _ in scene.arrived] == ["r0", "r0", "r1", "r1"]
            await asyncio.sleep(0.05)
            for name in names:
                assert hash_part(DEADLY) in scene.instances[name].crashes.quarantine.stopped

    play(run)


def test_part_that_was_stopped_wrongly_is_back_after_a_trial(monkeypatch):
    """Servers with requests on it ended for another reason, one after the other."""
    monkeypatch.setattr(verdicts, "TRIAL_PAUSES_S", (1.0, 30.0))

    async def run():
        async with run_crash_scene(6, is_deadly=lambda exchange: False) as scene:
            traffic = Traffic(scene)
            for _ in range(2):
                scene.run_s = 0.3
                task = asyncio.create_task(traffic.ask(("rare",), "/n/x"))
                await asyncio.sleep(0.1)
                busy = [each for each in scene.replicas.values() if each.got]
                await scene.crash(busy[-1])
                scene.run_s = 0.02
                await task
                await asyncio.sleep(0.1)
            refused = await traffic.ask(("rare", "other"))
            assert refused.status == 503 and b"quarantined" in refused.body
            assert (await traffic.ask(("other",))).status == 200
            await asyncio.sleep(1.0)
            assert (await traffic.ask(("rare", "other"))).status == 200
            await asyncio.sleep(0.1)
            for _ in range(10):
                assert (await traffic.ask(("rare", "third"))).status == 200

    play(run)


def test_sound_requests_at_many_servers_that_end_one_after_the_other_go_on():
    """Thirty streams wait or run at each server that ends, and none has a deadly part."""

    async def run():
        async with run_crash_scene(8, is_deadly=lambda exchange: False, back_s=0.3) as scene:
            traffic = Traffic(scene)
            scene.run_s = 0.1
            for number in range(12):
                traffic.start((FIRST, f"s{number}"), 6.0, 5.0)
            for _ in range(6):
                await asyncio.sleep(0.6)
                await scene.crash(next(iter(scene.replicas.values())))
            await traffic.end()
            stopped = [each for each in traffic.answers if b"quarantined" in each[2].body]
            assert len(stopped) <= len(traffic.answers) // 100

    play(run)


def test_caller_that_lists_the_part_of_another_does_not_stop_it_for_long():
    """It sends deadly requests that name the part, which the other's sound requests have."""

    async def run():
        async with run_crash_scene(8, is_deadly=has_part(DEADLY), back_s=0.5) as scene:
            traffic = Traffic(scene)
            traffic.start((FIRST, "victim"), 4.0, 6.0)
            await asyncio.sleep(1.0)
            for number in range(6):
                # A deadly part of its own for each two requests, to keep a series of ends going.
                deadly = (DEADLY, f"mask{number // 2}", "victim")
                await asyncio.gather(*(traffic.ask(deadly) for _ in range(2)))
                await asyncio.sleep(0.3)
            await traffic.end()
            sound = [
                answer.status == 200 and answer.whole
                for _, parts, answer in traffic.answers
                if DEADLY not in parts
            ]
            assert sum(sound) >= 0.8 * len(sound)

    play(run)
