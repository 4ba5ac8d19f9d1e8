"""Plain answers that take long though their servers are not silent."""

import asyncio
import time

import pytest

from standin.replica import Exchange, Replica, Reply
from test.helper_edge import make_configuration, make_route, play, run_edge
from test.test_edge_drain import connect, make_request

ROUTES = (make_route("idempotent", "/p/"),)
SHORT_BYTES = 100_000
LONG_BYTES = 400_000
UNREAD_BYTES = 8_000_000
"""Length of an answer that does not fit in the buffers between a server and its caller."""

STEPS = 12
STEP_S = 0.1
"""Pause of a steady server; all steps together take longer than the wait for the first bytes."""

SILENCE_S = 1.2
"""Pause of a server that is longer than the wait for the first bytes."""

CALLER_PAUSE_S = 1.5
"""Pause of a caller that is longer than the wait for the first bytes."""


def send_part(exchange: Exchange, length: int, first: int) -> None:
    """Send the head of a plain answer of this length, and its first bytes."""
    head = [
        "HTTP/1.1 200 OK",
        f"Content-Length: {length}",
        f"Rhubarbshed-Request-Id: {exchange.request_id}",
        f"Rhubarbshed-Response-Signature: sig-{exchange.replica.server_id}",
    ]
    exchange.write("\r\n".join(head).encode() + b"\r\n\r\n" + bytes(first))


def answer_steadily(length: int, first: int) -> Reply:
    """Return a reply with a plain answer in steps, of which `first` bytes come at once."""

    async def send_in_steps(exchange: Exchange) -> None:
        send_part(exchange, length, first)
        step = (length - first) // STEPS
        assert first + STEPS * step == length
        for _ in range(STEPS):
            await asyncio.sleep(STEP_S)
            exchange.write(bytes(step))

    return send_in_steps


@pytest.mark.parametrize(("length", "first"), [(SHORT_BYTES, 4), (LONG_BYTES, 300_004)])
def test_steady_plain_answer_is_neither_cut_nor_run_twice(length, first):
    """Its whole length had to come within the wait for first bytes."""

    async def scene():
        replicas = [Replica(f"b{each}", reply=answer_steadily(length, first)) for each in range(2)]
        async with run_edge(make_configuration(*ROUTES), *replicas) as edge:
            answer = await edge.ask("/p/x", b"x")
            assert (answer.status, answer.whole, len(answer.body)) == (200, True, length)
            assert sum(len(each.got) for each in replicas) == 1

    play(scene)


def test_long_plain_answer_is_not_cut_for_a_silence():
    """It was given up for another server, which cannot go on with a plain answer."""

    async def pause(exchange: Exchange) -> None:
        send_part(exchange, LONG_BYTES, 300_000)
        await asyncio.sleep(SILENCE_S)
        exchange.write(bytes(LONG_BYTES - 300_000))

    async def scene():
        replicas = [Replica(f"b{each}", reply=pause) for each in range(2)]
        async with run_edge(make_configuration(*ROUTES), *replicas) as edge:
            answer = await edge.ask("/p/x", b"x")
            assert (answer.status, answer.whole) == (200, True)

    play(scene)


def test_caller_that_pauses_gets_its_whole_plain_answer():
    """The wait for the caller counted as a silence of the server."""

    async def answer_long(exchange: Exchange) -> None:
        exchange.answer(200, bytes(UNREAD_BYTES))

    async def scene():
        replicas = [Replica(f"b{each}", reply=answer_long) for each in range(2)]
        async with run_edge(make_configuration(*ROUTES), *replicas) as edge:
            caller = connect(edge, 4096)
            caller.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(caller, make_request("/p/x"))
            await asyncio.sleep(CALLER_PAUSE_S)
            got = 0
            async with asyncio.timeout(5.0):
                while got < UNREAD_BYTES and (data := await loop.sock_recv(caller, 1 << 20)):
                    got += len(data)
            caller.close()
            assert got > UNREAD_BYTES
            assert sum(len(each.got) for each in replicas) == 1

    play(scene)


async def answer_late(exchange: Exchange) -> None:
    """Answer whole, after a silence, with a stream or plainly."""
    await asyncio.sleep(SILENCE_S)
    if exchange.target.startswith("/s/"):
        exchange.begin_stream()
        exchange.send_event(1)
        exchange.end_stream()
    else:
        exchange.answer(200, b"late")


STREAM = make_route("streaming", "/s/", Resumable=True, TargetGapMs=150)


@pytest.mark.parametrize("path", ["/p/x", "/s/x"])
def test_silent_server_is_not_given_up_for_a_repeat_that_the_budget_denies(path):
    """Its caller got 502 after 0.8 s, although the server answered a moment later."""

    async def scene():
        replicas = [Replica(f"b{each}", reply=answer_late) for each in range(2)]
        async with run_edge(make_configuration(*ROUTES, STREAM), *replicas) as edge:
            edge.node.view.budget.ratio = edge.node.view.budget.extra = 0.0
            answer = await edge.ask(path, b"x")
            assert (answer.status, answer.whole) == (200, True)
            assert sum(len(each.got) for each in replicas) == 1

    play(scene)


def test_silent_server_is_given_up_once_the_budget_pays_for_a_repeat():
    async def scene():
        replicas = [Replica(f"b{each}", reply=answer_late) for each in range(2)]
        async with run_edge(make_configuration(*ROUTES), *replicas) as edge:
            budget = edge.node.view.budget
            budget.ratio = budget.extra = 0.0
            asking = asyncio.create_task(edge.ask("/p/x", b"x"))
            await asyncio.sleep(0.9)
            assert sum(len(each.got) for each in replicas) == 1
            budget.extra = 100.0
            await asyncio.sleep(0.2)
            assert sum(len(each.got) for each in replicas) == 2
            assert (await asking).status == 200

    play(scene)


def test_silent_server_gets_no_further_requests_though_no_repeat_is_paid_for():
    async def scene():
        replicas = [Replica("b0", reply=answer_late), Replica("b1")]
        async with run_edge(make_configuration(*ROUTES), *replicas) as edge:
            edge.node.view.budget.ratio = edge.node.view.budget.extra = 0.0
            record = edge.node.view.fleet.get("b0")
            edge.node.view.fleet.get("b1").leaving_at = 0.0
            asking = asyncio.create_task(edge.ask("/p/x", b"x"))
            await asyncio.sleep(0.95)
            assert record.unresponsive_until > asyncio.get_running_loop().time()
            assert (await asking).status == 200

    play(scene)


def write_slowly(text: bytes, step: int) -> Reply:
    """Return a reply with one whole event, and then parts of the next one."""

    async def send_parts(exchange: Exchange) -> None:
        exchange.begin_stream()
        exchange.send_chunk(b"id: 1\ndata: a\n\n")
        for start in range(0, len(text), step):
            await asyncio.sleep(SILENCE_S / 4)
            exchange.send_chunk(text[start : start + step])
        exchange.end_stream()

    return send_parts


async def finish(exchange: Exchange) -> None:
    """Write the second and last event of a stream."""
    exchange.begin_stream()
    exchange.send_chunk(b"id: 2\ndata: b\n\n")
    exchange.end_stream()


@pytest.mark.parametrize(
    ("text", "step", "servers"),
    [(b"id: 2\ndata: b\n\n", 1, 2), (b"id: 2\ndata: " + bytes(48_000) + b"\n\n", 6_000, 1)],
)
def test_stalled_stream_goes_on_elsewhere_and_a_long_event_is_waited_for(text, step, servers):
    """A byte now and then kept a stalled stream at its server until the route's timeout."""

    async def scene():
        replicas = [Replica("b1", reply=write_slowly(text, step)), Replica("b2", reply=finish)]
        route = make_route("streaming", "/s/", Resumable=True, TargetGapMs=150)
        async with run_edge(make_configuration(route), *replicas) as edge:
            edge.node.view.fleet.get("b2").record_load_sample(7, 0, time.monotonic())
            answer = await edge.ask("/s/x", b"x")
            assert answer.whole and answer.body.endswith(b"\n\n")
            assert answer.body.count(b"id: 1") == answer.body.count(b"id: 2") == 1
            assert sum(len(replica.got) for replica in replicas) == servers

    play(scene)
