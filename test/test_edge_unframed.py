"""Answers with neither a length nor chunks, which end with their connection."""

import asyncio
import time

import pytest

from standin.replica import Exchange, Replica
from test.helper_edge import (
    Answer,
    make_configuration,
    make_engine_service,
    make_route,
    play,
    run_edge,
)

RESUMABLE = make_route("streaming", "/s/", Resumable=True, TargetGapMs=150)
SINGLE = make_route("streaming", "/n/", Attempts=1, TargetGapMs=150)
PLAIN = make_route("idempotent", "/p/")
PAYMENT = make_route("non_idempotent", "/u/", Attempts=1)
ROUTES = (RESUMABLE, SINGLE, PLAIN, PAYMENT)
CONFIGURATION = make_configuration(*ROUTES)
ENGINES = make_configuration(*ROUTES, Services=[make_engine_service({"m1": 0})])
EVENTS = 4


def begin(exchange: Exchange) -> None:
    """Send the head of an answer without a length."""
    head = [
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        "Connection: close",
        f"Rhubarbshed-Request-Id: {exchange.request_id}",
        f"Rhubarbshed-Response-Signature: sig-{exchange.replica.server_id}",
    ]
    exchange.write("\r\n".join(head).encode() + b"\r\n\r\n")


def make_event(number: int) -> bytes:
    return f"id: {number}\ndata: t{number}\n\n".encode()


async def close(exchange: Exchange) -> None:
    await exchange.writer.drain()
    exchange.writer.close()
    await asyncio.sleep(0.05)
    raise ConnectionResetError


class Stream:
    """Reply that writes events; the first one breaks off after some events and a piece of one."""

    def __init__(self, whole: int, piece: bytes) -> None:
        self.whole, self.piece, self.broken = whole, piece, 0

    async def __call__(self, exchange: Exchange) -> None:
        begin(exchange)
        after = int(exchange.headers.get("last-event-id", 0))
        for number in range(after + 1, EVENTS + 1):
            if not self.broken and number > self.whole:
                self.broken += 1
                exchange.write(self.piece)
                await close(exchange)
            exchange.write(make_event(number))
            await exchange.writer.drain()
            await asyncio.sleep(0.01)
        await close(exchange)


WHOLE = b"".join(make_event(number) for number in range(1, EVENTS + 1))
PIECES = {
    "in an id": (2, b"id: 3"),
    "in the data": (2, b"id: 3\ndata: t"),
    "before the blank line": (2, b"id: 3\ndata: t3\n"),
    "in the first event": (0, b"id: 1\nda"),
    "before the first event": (0, b""),
}


@pytest.mark.parametrize("whole, piece", PIECES.values(), ids=PIECES)
def test_stream_that_ends_inside_an_event_goes_on_at_another_server(whole, piece):
    async def scene():
        reply = Stream(whole, piece)
        replicas = [Replica(f"r{number}", reply=reply) for number in (1, 2)]
        async with run_edge(CONFIGURATION, *replicas) as edge:
            answer = await edge.ask("/s/x", b"x")
            assert answer.whole and answer.body == WHOLE
            assert reply.broken == 1

    play(scene)


@pytest.mark.parametrize("whole, piece", PIECES.values(), ids=PIECES)
def test_stream_that_ends_inside_an_event_never_looks_complete(whole, piece):
    async def scene():
        async with run_edge(CONFIGURATION, Replica("r1", reply=Stream(whole, piece))) as edge:
            answer = await edge.ask("/n/x", b"x")
            assert answer.status in (200, 502)
            assert not (answer.whole and answer.status == 200)
            assert WHOLE.startswith(answer.body) or answer.status == 502

    play(scene)


def test_stream_that_ends_after_an_event_is_complete():
    async def scene():
        reply = Stream(EVENTS, b"")
        async with run_edge(CONFIGURATION, Replica("r1", reply=reply)) as edge:
            for path in ("/s/x", "/n/x"):
                answer = await edge.ask(path, b"x")
                assert answer.whole and answer.body == WHOLE

    play(scene)


@pytest.mark.parametrize("size", (0, 10, 300_000))
def test_plain_answer_without_a_length_is_passed_on_whole(size):
    async def scene():
        async def reply(exchange: Exchange) -> None:
            begin(exchange)
            exchange.write(b"x" * size)
            await close(exchange)

        async with run_edge(CONFIGURATION, Replica("r1", reply=reply)) as edge:
            answer: Answer = await edge.ask("/p/x")
            assert answer.whole and answer.body == b"x" * size

    play(scene)


def test_plain_answer_without_a_length_that_is_reset_is_asked_for_again():
    async def scene():
        resets = []

        async def reply(exchange: Exchange) -> None:
            begin(exchange)
            exchange.write(b"x" * 10)
            await exchange.writer.drain()
            if not resets:
                resets.append(exchange)
                await asyncio.sleep(0.02)
                exchange.reset()
                return
            await close(exchange)

        async with run_edge(
            CONFIGURATION, *(Replica(f"r{n}", reply=reply) for n in (1, 2))
        ) as edge:
            answer = await edge.ask("/p/x")
            assert resets and answer.whole and answer.body == b"x" * 10

    play(scene)


async def crash(exchange: Exchange) -> None:
    """End the server, some time after what it has written."""
    await exchange.writer.drain()
    await asyncio.sleep(0.02)
    await exchange.replica.crash()


async def crash_and_restart(exchange: Exchange) -> None:
    """End the server; another incarnation has its address before anybody could ask it."""
    replica = exchange.replica
    await crash(exchange)
    replica.started_ms = round(time.time() * 1000)
    replica.server_id += "-again" if replica.models == {} else ""
    await replica.start()


async def fall_silent(exchange: Exchange) -> None:
    """Close the connection; the server gives no further answer."""
    exchange.replica.silent = True
    await close(exchange)


class BrokenOff:
    """Reply whose first answer ends after `whole` events, by what happens to its server."""

    def __init__(self, happen, whole: int = 2) -> None:
        self.happen, self.whole, self.broken = happen, whole, 0

    async def __call__(self, exchange: Exchange) -> None:
        begin(exchange)
        after = int(exchange.headers.get("last-event-id", 0))
        for number in range(after + 1, EVENTS + 1):
            if not self.broken and number > self.whole:
                self.broken += 1
                await self.happen(exchange)
                raise ConnectionResetError
            exchange.write(make_event(number))
            await exchange.writer.drain()
            await asyncio.sleep(0.01)
        await close(exchange)


HAPPENINGS = {
    "server ended": (crash, CONFIGURATION, {}),
    "engine ended": (crash, ENGINES, {"m1": []}),
    "other server at the address": (crash_and_restart, CONFIGURATION, {}),
    "engine restarted under its id": (crash_and_restart, ENGINES, {"m1": []}),
    "server silent": (fall_silent, CONFIGURATION, {}),
}


@pytest.mark.parametrize("happen, configuration, models", HAPPENINGS.values(), ids=HAPPENINGS)
def test_stream_of_a_server_that_ends_between_two_events_goes_on(happen, configuration, models):
    async def scene():
        reply = BrokenOff(happen)
        replicas = [Replica(f"r{n}", reply=reply, models=dict(models)) for n in (1, 2)]
        async with run_edge(configuration, *replicas) as edge:
            named = {"Rhubarbshed_Model": "m1"} if models else {}
            answer = await edge.ask("/s/x", b"x", **named)
            assert reply.broken == 1
            assert answer.whole and answer.body == WHOLE

    play(scene)


@pytest.mark.parametrize("happen, configuration, models", HAPPENINGS.values(), ids=HAPPENINGS)
def test_stream_of_a_server_that_ends_between_two_events_never_looks_complete(
    happen, configuration, models
):
    async def scene():
        replica = Replica("r1", reply=BrokenOff(happen), models=dict(models))
        async with run_edge(configuration, replica) as edge:
            named = {"Rhubarbshed_Model": "m1"} if models else {}
            answer = await edge.ask("/n/x", b"x", **named)
            assert answer.status == 200 and not answer.whole
            assert answer.body == make_event(1) + make_event(2)

    play(scene)


class BrokenBody:
    """Reply whose first plain answer is cut in the middle, by what happens to its server."""

    def __init__(self, happen, size: int) -> None:
        self.happen, self.size, self.broken = happen, size, 0

    async def __call__(self, exchange: Exchange) -> None:
        begin(exchange)
        if not self.broken:
            self.broken += 1
            exchange.write(b"x" * (self.size // 2))
            await self.happen(exchange)
            raise ConnectionResetError
        exchange.write(b"x" * self.size)
        await close(exchange)


@pytest.mark.parametrize("happen, configuration, models", HAPPENINGS.values(), ids=HAPPENINGS)
def test_plain_answer_of_a_server_that_ended_is_asked_for_again(happen, configuration, models):
    async def scene():
        reply = BrokenBody(happen, 100)
        replicas = [Replica(f"r{n}", reply=reply, models=dict(models)) for n in (1, 2)]
        async with run_edge(configuration, *replicas) as edge:
            answer = await edge.ask("/p/x")
            assert reply.broken == 1 and answer.whole and answer.body == b"x" * 100

    play(scene)


@pytest.mark.parametrize("happen, configuration, models", HAPPENINGS.values(), ids=HAPPENINGS)
def test_payment_at_a_server_that_ended_in_its_answer_is_not_passed_on_as_complete(
    happen, configuration, models
):
    async def scene():
        replicas = [
            Replica(f"r{n}", reply=BrokenBody(happen, 100), models=dict(models)) for n in (1, 2)
        ]
        async with run_edge(configuration, *replicas) as edge:
            answer = await edge.ask("/u/x", b"x")
            assert answer.status == 502
            assert sum(len(each.got) for each in replicas) == 1

    play(scene)


def test_long_answer_of_a_server_that_ended_never_looks_complete():
    async def scene():
        reply = BrokenBody(crash, 800_000)
        async with run_edge(CONFIGURATION, Replica("r1", reply=reply)) as edge:
            answer = await edge.ask("/p/x")
            assert answer.status == 200 and not answer.whole

    play(scene)


def test_answer_without_a_body_needs_no_proof_that_it_is_complete():
    async def scene():
        async def reply(exchange: Exchange) -> None:
            exchange.write(
                b"HTTP/1.1 204 X\r\nRhubarbshed-Response-Signature: s\r\n"
                b"Rhubarbshed-Request-Id: " + exchange.request_id.encode() + b"\r\n\r\n"
            )
            await crash(exchange)

        async with run_edge(CONFIGURATION, Replica("r1", reply=reply)) as edge:
            answer = await edge.ask("/p/x")
            assert answer.status == 204

    play(scene)


def test_stream_resumed_after_its_last_event_ends_where_nothing_follows():
    async def scene():
        sent = []

        async def write_all_and_crash(exchange: Exchange) -> None:
            begin(exchange)
            if sent:
                await close(exchange)
            sent.append(exchange)
            exchange.write(WHOLE)
            await crash(exchange)

        replicas = [Replica(f"r{n}", reply=write_all_and_crash) for n in (1, 2)]
        async with run_edge(CONFIGURATION, *replicas) as edge:
            answer = await edge.ask("/s/x", b"x")
            assert answer.whole and answer.body == WHOLE

    play(scene)


def test_busy_server_that_answers_its_health_check_late_has_not_ended():
    async def scene():
        async def reply(exchange: Exchange) -> None:
            begin(exchange)
            exchange.write(b"x" * 10)
            exchange.replica.silent = True
            asyncio.get_running_loop().call_later(0.5, setattr, exchange.replica, "silent", False)
            await close(exchange)

        replica = Replica("r1", reply=reply)
        async with run_edge(CONFIGURATION, replica) as edge:
            answer = await edge.ask("/u/x", b"x")
            assert answer.whole and answer.body == b"x" * 10

    play(scene)
