"""Requests that wait for slots at an instance that schedules them."""

import asyncio
import statistics
import time

import pytest

from rhubarbshed.coordination.serving.turns import Turns
from rhubarbshed.transport.edge import turn_waits
from standin.replica import Exchange, Replica
from test.helper_edge import make_configuration, make_engine_service, make_route, play, run_edge

SHORT = make_route("idempotent", "/h/", Priority=0)
URGENT = make_route("idempotent", "/u/", TargetLatencyMs=800, Priority=0)
PATIENT = make_route("idempotent", "/p/", TargetLatencyMs=6000, TimeoutMs=12000, Priority=2)
RUN_S = 0.12


class Busy:
    """Replies of a replica that takes `RUN_S` for each request and notes when each came."""

    def __init__(self) -> None:
        self.came: list[str] = []
        self.came_at: list[float] = []
        self.ended_at: list[float] = []

    async def __call__(self, exchange: Exchange) -> None:
        self.came.append(exchange.target)
        self.came_at.append(time.monotonic())
        await asyncio.sleep(RUN_S)
        self.ended_at.append(time.monotonic())
        exchange.answer(200, b"done")


def run_scheduled(replica: Replica, **changes: object):
    configuration = make_configuration(SHORT, URGENT, PATIENT)
    return run_edge(configuration, replica, has_pressure=True, **changes)


def ask_several(edge, path: str, count: int) -> list[asyncio.Task]:
    return [asyncio.create_task(edge.ask(f"{path}{number}")) for number in range(count)]


def test_urgent_requests_go_before_patient_ones_that_came_first():
    """Those that polled went as they happened to ask, whatever their targets were."""

    async def scene():
        replica = Replica("b1", slots=2, reply=(busy := Busy()))
        async with run_scheduled(replica) as edge:
            patient = ask_several(edge, "/p/", 8)
            await asyncio.sleep(0.04)
            urgent = ask_several(edge, "/u/", 2)
            answers = await asyncio.gather(*patient, *urgent)
            assert {answer.status for answer in answers} == {200}
            assert {path[1] for path in busy.came[:2]} == {"p"}
            assert {path[1] for path in busy.came[2:4]} == {"u"}
            assert edge.node.relay.slots.turns.count == 0
            counts = edge.node.metrics.counts
            assert counts["turns", "rp", "granted"] >= 6

    play(scene)


def test_slot_is_used_as_soon_as_it_is_free():
    """A poll every 30 ms left it idle for 15 ms in the median."""

    async def scene():
        replica = Replica("b1", slots=1, reply=(busy := Busy()))
        async with run_scheduled(replica) as edge:
            for _ in range(5):
                answers = await asyncio.gather(*ask_several(edge, "/p/", 2))
                assert {answer.status for answer in answers} == {200}
            idle = [
                came_at - ended_at
                for came_at, ended_at in zip(busy.came_at[1::2], busy.ended_at[::2], strict=True)
            ]
            assert min(idle) >= 0.0 and statistics.median(idle) < 0.01

    play(scene)


def test_wait_for_a_load_that_should_have_faded_is_no_poll(monkeypatch):
    """A choice that saw no room where the estimate did was repeated every 10 ms."""
    monkeypatch.setattr(turn_waits, "has_room", lambda *_: True)

    async def scene():
        replica = Replica("b1", slots=1)
        replica.silent = True
        async with run_scheduled(replica) as edge:
            tasks = ask_several(edge, "/p/", 2)
            await asyncio.sleep(0.1)
            slots, decided = edge.node.relay.slots, []
            decide = slots.turns.pick
            monkeypatch.setattr(
                Turns, "pick", lambda *found: decided.append(1) or decide(*found[1:])
            )
            await asyncio.sleep(0.7)
            assert slots.turns.count == 1 and 1 <= len(decided) <= 14
            for task in tasks:
                task.cancel()

    play(scene)


def test_request_that_cannot_be_served_in_time_is_refused_at_once_with_a_true_time():
    """All waited for half of their targets first, and were asked back after the same 0.3 s."""

    async def scene():
        replica = Replica("b1", slots=1, reply=Busy())
        async with run_scheduled(replica) as edge:
            edge.node.view.fleet.get("b1").run_s = RUN_S
            begun_at = time.monotonic()
            answers = await asyncio.gather(*ask_several(edge, "/h/", 12))
            took_s = time.monotonic() - begun_at
            refused = [each for each in answers if each.status == 503]
            assert len(refused) >= 8 and took_s < 3 * RUN_S + 0.3
            times = sorted(float(each.headers["retry-after"]) for each in refused)
            assert times[0] >= 0.05 and times[-1] >= 6 * RUN_S
            gaps = [late - early for early, late in zip(times, times[1:], strict=False)]
            assert min(gaps) > 0.0

    play(scene)


def test_waits_end_as_the_instance_stops():
    async def scene():
        replica = Replica("b1", slots=1)
        replica.silent = True
        async with run_scheduled(replica) as edge:
            tasks = ask_several(edge, "/p/", 3)
            await asyncio.sleep(0.1)
            assert edge.node.relay.slots.turns.count
            edge.node.stop.set()
            await edge.wait_until(lambda: not edge.node.relay.slots.turns.count, 1.0)
            for task in tasks:
                task.cancel()

    play(scene)


def test_wait_is_decided_again_when_its_servers_are_gone():
    """A ticket for full servers waited on for them, and was refused late."""

    async def scene():
        replica = Replica("b1", slots=1)
        replica.silent = True
        async with run_scheduled(replica) as edge:
            tasks = ask_several(edge, "/p/", 3)
            await asyncio.sleep(0.1)
            assert edge.node.relay.slots.turns.count == 2
            edge.store.put("servers", "b1", replica.describe(State="draining"))
            await edge.wait_until(lambda: not edge.node.relay.slots.turns.count, 1.0)
            done, _ = await asyncio.wait(tasks[1:], timeout=1.0)
            assert [task.result().status for task in done] == [503, 503]
            tasks[0].cancel()

    play(scene)


@pytest.mark.parametrize("has_pressure", (True, False))
def test_request_for_a_model_that_is_not_being_loaded_is_refused_soon(has_pressure):
    """Most waited for 0.35 s and more for loads that nobody had begun."""

    async def scene():
        replica = Replica("b1", refuse_orders=True)
        configuration = make_configuration(
            make_route("streaming", "/s/", TargetGapMs=150, Resumable=True),
            Services=[make_engine_service({"m1": 0})],
        )
        async with run_edge(configuration, replica, has_pressure=has_pressure) as edge:
            begun_at = time.monotonic()
            answer = await edge.ask("/s/x", Rhubarbshed_Model="m1")
            took_s = time.monotonic() - begun_at
            assert answer.status == 503 and float(answer.headers["retry-after"]) > 0.0
            assert (took_s < 0.25) is has_pressure

    play(scene)
