"""Sound servers that fall silent for a second, as their processes are paused, and go on."""

import asyncio
import collections

import pytest
from attrs import define, field

from standin.replica import Exchange, Replica
from test.helper_crashes import CONFIGURATION, CrashScene, run_crash_scene
from test.helper_edge import (
    Answer,
    make_configuration,
    make_engine_service,
    make_route,
    play,
    run_edge,
)

INSTANCES = {"a1": "a", "a2": "a", "b1": "b"}
SERVERS = 4
FEW_SLOTS = 13
MANY_SLOTS = 64
"""Requests that a server runs at once: as many as come in a second, or far more. It turns others
away."""

EVENTS = 24
GAP_S = 0.05
HUSHED_S = 1.25
INTERVAL_S = 0.04
ASKED = 100
"""Streams, their events, the time between two of each, and that for which servers are silent."""

REPEATS_MAX = 5


@define
class HushedServers:
    """Servers of streams that count what arrives; those in `hushed` neither read nor write."""

    slots: int
    hushed: set[str] = field(factory=set)
    running: collections.Counter[str] = field(factory=collections.Counter)
    arrived: collections.Counter[str] = field(factory=collections.Counter)

    async def wait(self, server_id: str) -> None:
        """Wait while a server is silent."""
        while server_id in self.hushed:
            await asyncio.sleep(0.005)

    async def reply(self, exchange: Exchange) -> None:
        """Write a stream, or turn the request away."""
        server_id = exchange.replica.server_id
        await self.wait(server_id)
        self.arrived[exchange.request_id] += 1
        if self.running[server_id] >= self.slots:
            exchange.refuse()
            return
        self.running[server_id] += 1
        try:
            exchange.begin_stream()
            for number in range(int(exchange.headers.get("last-event-id", 0)) + 1, EVENTS + 1):
                await asyncio.sleep(GAP_S)
                await self.wait(server_id)
                exchange.send_event(number)
                await exchange.writer.drain()
            exchange.end_stream()
        finally:
            self.running[server_id] -= 1

    def count_repeats(self) -> int:
        """Count arrivals beyond the first of each request."""
        return sum(count - 1 for count in self.arrived.values())


async def ask_repeatedly(scene: CrashScene) -> list[Answer]:
    """Begin one stream after the other at the instances in turn; return all answers."""
    tasks = []
    for number in range(ASKED):
        name = list(INSTANCES)[number % len(INSTANCES)]
        tasks.append(asyncio.create_task(scene.ask(name, "/s/x", b"x")))
        await asyncio.sleep(INTERVAL_S)
    return list(await asyncio.gather(*tasks))


@pytest.mark.parametrize(
    ("share", "slots"), [(1.0, FEW_SLOTS), (0.5, FEW_SLOTS), (1.0, MANY_SLOTS)]
)
def test_stream_at_a_server_that_is_silent_for_a_second_is_not_lost(share: float, slots: int):
    """Streams were moved to servers that were silent, too, or turned them away, and broke off.

    What was moved counts as repeated, and gained nothing where all were silent.
    """

    async def run():
        async with run_crash_scene(SERVERS, INSTANCES) as scene:
            servers = HushedServers(slots)
            for replica in scene.replicas.values():
                replica.reply = servers.reply
                entry = replica.describe(Slots=slots)
                scene.instances.store.put("servers", replica.server_id, entry)
            asking = asyncio.create_task(ask_repeatedly(scene))
            await asyncio.sleep(1.5)
            scene.instances.store.put("op", "config", {**CONFIGURATION, "Version": 5})
            await asyncio.sleep(0.5)
            servers.hushed.update(list(scene.replicas)[: round(share * SERVERS)])
            await asyncio.sleep(HUSHED_S)
            servers.hushed.clear()
            answers = await asyncio.gather(asking)
            lost = [each for each in answers[0] if each.status == 200 and not each.whole]
            failed = [each for each in answers[0] if each.status not in (200, 503)]
            assert not lost and not failed, (len(lost), len(failed))
            if slots == MANY_SLOTS:
                assert servers.count_repeats() <= REPEATS_MAX

    play(run)


def test_lost_answer_is_asked_for_again_though_another_server_is_silent():
    """The sole server of a model is not left, and another one of the service is down."""

    async def scene():
        lost: list[Exchange] = []

        async def lose_first(exchange: Exchange) -> None:
            if exchange.body == b"lost" and not lost:
                lost.append(exchange)
                return
            exchange.begin_stream()
            exchange.send_event(1)
            exchange.end_stream()

        async def be_silent(exchange: Exchange) -> None:
            """Answer nothing."""

        engines = [
            Replica("b1", models={"m1": []}, reply=lose_first),
            Replica("b2", models={"m2": []}, reply=be_silent),
        ]
        routes = (
            make_route("streaming", "/s/", Resumable=True, TargetGapMs=150),
            make_route("streaming", "/n/", Attempts=1, TargetGapMs=150),
        )
        service = make_engine_service({"m1": 0, "m2": 0})
        async with run_edge(make_configuration(*routes, Services=[service]), *engines) as edge:

            def ask(body: bytes, model: str, path: str = "/s/x") -> asyncio.Task[Answer]:
                return asyncio.create_task(edge.ask(path, body, Rhubarbshed_Model=model))

            down = ask(b"x", "m2", "/n/x")
            asked = ask(b"lost", "m1")
            others = []
            for _ in range(20):
                await asyncio.sleep(0.1)
                others.append(ask(b"x", "m1"))
            answer = await asked
            assert (answer.status, answer.whole) == (200, True)
            await asyncio.gather(down, *others)

    play(scene)
