"""Answers with neither a length nor chunks, which end with their connection."""

import asyncio

import pytest

from standin.replica import Exchange, Replica
from test.helper_edge import Answer, make_configuration, make_route, play, run_edge

RESUMABLE = make_route("streaming", "/s/", Resumable=True, TargetGapMs=150)
SINGLE = make_route("streaming", "/n/", Attempts=1, TargetGapMs=150)
PLAIN = make_route("idempotent", "/p/")
CONFIGURATION = make_configuration(RESUMABLE, SINGLE, PLAIN)
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
