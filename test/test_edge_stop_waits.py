"""Requests that wait for something while their instance stops: each is answered or refused."""

import asyncio
import os
import signal
import time

import pytest

from rhubarbshed.transport.edge import request_steps
from rhubarbshed.transport.edge.pools import Pool
from standin.replica import Replica
from test.helper_cuts import run_cut_scene
from test.helper_edge import Edge, make_configuration, make_route, play, read_answer, run_edge
from test.test_edge_drain import (
    ANNOUNCE_S,
    DRAIN_S,
    ROUTES,
    Caller,
    check_not_run,
    hang,
    make_request,
    stop,
)

WAITS = (
    (request_steps, "check_quarantine"),
    (request_steps, "pass_limit"),
    (request_steps, "decide_stream"),
    (Pool, "acquire"),
)
"""Steps of each request that may wait: for a verdict, a limit, an origin and a connection."""

LONG_ANNOUNCE_S = 0.6
ASKED_S = 0.1
"""Announcement of tests whose requests are sent in it, and when after SIGTERM they are."""


@pytest.mark.parametrize("owner, name", WAITS, ids=[name for _, name in WAITS])
@pytest.mark.parametrize("held_s, statuses", ((0.7, (200,)), (1.5, (503, 504))))
def test_request_held_beyond_the_announcement_is_answered(
    owner, name, held_s, statuses, monkeypatch
):
    """It is checked once, so it has to be answered also if its wait outlasts its instance."""
    real = getattr(owner, name)

    async def hold(*args: object, **options: object) -> object:
        await asyncio.sleep(held_s)
        return await real(*args, **options)

    async def scene():
        replica = Replica("b1")
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            caller = await Caller.connect(edge)
            stop(edge, LONG_ANNOUNCE_S)
            await asyncio.sleep(ASKED_S)
            monkeypatch.setattr(owner, name, hold)
            answer = await caller.ask()
            assert answer.whole and answer.status in statuses
            await edge.task
            assert len(replica.got) == (answer.status == 200)

    play(scene)


def test_request_that_waits_for_a_slot_is_refused_as_its_instance_stops():
    """It would be sent late, and the servers are no freer for other instances' requests."""

    async def scene():
        replica = Replica("b1", slots=1, reply=hang)
        route = make_route("idempotent", "/p/", TargetLatencyMs=4000, TimeoutMs=20_000)
        async with run_edge(make_configuration(route), replica) as edge:
            caller = await Caller.connect(edge)
            edge.node.view.fleet.get("b1").record_load_sample(40, 0, time.monotonic())
            asking = asyncio.create_task(caller.ask())
            await asyncio.sleep(0.1)
            assert not asking.done()
            stop(edge)
            answer = await asyncio.wait_for(asking, 0.5)
            assert answer.whole
            check_not_run(answer, replica)

    play(scene)


@pytest.mark.parametrize("first", ("POST", "HEAD"))
def test_second_request_of_one_read_is_refused_behind_an_answer_of_the_announcement(first):
    """Both were read in the announcement; the second one's turn came after it."""

    async def scene():
        replica = Replica("b1", reply=lambda exchange: answer_late(exchange, 0.7))
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            caller = await Caller.connect(edge)
            stop(edge, LONG_ANNOUNCE_S)
            await asyncio.sleep(ASKED_S)
            one = make_request("/p/x", name="first").replace(b"POST", first.encode())
            caller.send(one + make_request("/p/x"))
            head = (await caller.reader.readuntil(b"\r\n\r\n")).decode()
            assert head.startswith("HTTP/1.1 200 ")
            await caller.reader.readexactly(len(b"late") if first == "POST" else 0)
            answer = await read_answer(caller.reader)
            check_not_run(answer, replica)
            assert answer.whole

    play(scene)


async def answer_late(exchange, after_s: float) -> None:
    """Answer after a time; HEAD without a body."""
    await asyncio.sleep(after_s)
    if exchange.method == "HEAD":
        exchange.write(
            b"HTTP/1.1 200 X\r\nContent-Length: 4\r\nRhubarbshed-Response-Signature: s\r\n"
            b"Rhubarbshed-Request-Id: first\r\n\r\n"
        )
    else:
        exchange.answer(200, b"late")


@pytest.mark.parametrize("head_s", (0.0, ANNOUNCE_S + 0.05))
def test_request_that_expects_a_100_is_refused_after_the_announcement(head_s):
    """Its head was read, and answered by 100, in the announcement or after it."""

    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            callers = [await Caller.connect(edge) for _ in range(2)]
            # An open stream keeps the instance from ending before.
            callers[1].send(make_request(f"/s/{ANNOUNCE_S + 1.0}", name="stream"))
            await edge.wait_until(lambda: len(replica.got) == 1)
            callers[0].send(make_request("/p/x", b"whole")[:20])
            await asyncio.sleep(0.05)
            over_at = stop(edge, ANNOUNCE_S, 2.0)
            data = make_request("/p/x", b"whole").replace(
                b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n"
            )
            await asyncio.sleep(over_at - ANNOUNCE_S + head_s - time.monotonic())
            callers[0].send(data[20 : -len(b"whole")])
            head = await callers[0].reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 100 ")
            await asyncio.sleep(max(0.0, over_at + 0.1 - time.monotonic()))
            callers[0].send(b"whole")
            answer = await read_answer(callers[0].reader)
            check_not_run(answer, replica)
            assert answer.whole

    play(scene)


def test_head_request_after_the_announcement_is_refused():
    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            caller = await Caller.connect(edge)
            caller.send(b"HEAD")
            await asyncio.sleep(0.05)
            over_at = stop(edge)
            await asyncio.sleep(over_at + 0.1 - time.monotonic())
            caller.send(make_request("/p/x").removeprefix(b"POST"))
            data = await asyncio.wait_for(caller.reader.read(), 2.0)
            head, _, body = data.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503 ") and not body and not replica.got

    play(scene)


def test_later_signals_do_not_prolong_the_announcement():
    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            caller = await Caller.connect(edge)
            edge.node.view.drain.announce_s, edge.node.view.drain.drain_s = ANNOUNCE_S, DRAIN_S
            started_at = time.monotonic()
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
                os.kill(os.getpid(), number)
                await asyncio.sleep((ANNOUNCE_S - 0.02) / 4)
            await asyncio.sleep(started_at + ANNOUNCE_S + 0.01 - time.monotonic())
            check_not_run(await caller.ask(), replica)
            await edge.task

    play(scene)


@pytest.mark.parametrize("stopped", ("a1", "b2"))
def test_forwarded_requests_are_answered_or_refused_around_a_stop(stopped):
    """One instance forwards and another one is forwarded to; either stops."""

    async def scene():
        async with run_cut_scene() as cuts:
            await cuts.cut("reset", "a1", "a2", "a3", "b1")
            task = cuts.crashes.instances.tasks.pop(stopped)
            callers = [await Caller.connect(Edge(None, [], cuts["a1"], None)) for _ in range(5)]
            over_at = stop(Edge(None, [], cuts[stopped], None), LONG_ANNOUNCE_S)
            for number, caller in enumerate(callers):
                if number:
                    await asyncio.sleep(max(0.0, over_at + 0.03 * number - time.monotonic()))
                body = f"b{number}".encode()
                caller.send(make_request("/u/x", body))
                answer = await read_answer(caller.reader)
                assert cuts.count_runs(body) == (answer.status == 200) == (number == 0)
                # Only an instance that stops closes idle connections.
                assert answer.whole or (stopped == "a1" and not answer.status)
                caller.writer.close()
            await task

    play(scene)


@pytest.mark.parametrize(
    "path, run_s, statuses", (("/s/x", 0.3, (200,)), ("/p/x", 0.65, (200, 504)))
)
def test_forwarded_requests_outlive_the_instance_that_they_were_forwarded_to(path, run_s, statuses):
    """A stream that has begun goes on by way of another one."""

    async def scene():
        async with run_cut_scene(run_s=run_s) as cuts:
            await cuts.cut("reset", "a1", "a2", "a3")
            asked = [asyncio.create_task(cuts.ask("a1", path)) for _ in range(6)]
            await asyncio.sleep(0.4)
            task = cuts.crashes.instances.tasks.pop("b2")
            forwarded = cuts["b2"].relay.open
            assert forwarded
            stop(Edge(None, [], cuts["b2"], None), 0.1, 0.1)
            answers = [await each for each in asked]
            await task
            assert all(answer.whole and answer.status in statuses for answer in answers)

    play(scene)
