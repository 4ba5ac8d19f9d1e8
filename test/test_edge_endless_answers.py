"""Servers that send bytes without end in place of an answer."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from rhubarbshed.protocol.forwarding import DECLINED
from rhubarbshed.transport.edge import relay
from rhubarbshed.transport.edge.attempts import BUFFERED_BYTES_MAX
from rhubarbshed.transport.edge.request_progress import RequestProgress
from standin.replica import Exchange, Replica
from test.helper_cuts import run_cut_scene
from test.helper_edge import make_configuration, make_route, play, run_edge

ROUTES = {
    "/p/x": make_route("idempotent", "/p/"),
    "/u/x": make_route("non_idempotent", "/u/", Attempts=1),
    "/s/x": make_route("streaming", "/s/", Resumable=True, TargetGapMs=150),
    "/n/x": make_route("streaming", "/n/", Attempts=1, TargetGapMs=150),
}
FRAMINGS = {
    "length": "Content-Length: 100000000000",
    "chunks": "Transfer-Encoding: chunked",
    "close": "Connection: close",
}
PIECE = 65_536
POURED_MAX = 64_000_000
"""Bytes after which a server pauses, so that a failing test does not fill the memory."""

BUFFERS = 16_000_000
"""Bytes that the buffers of both sockets can hold at the most."""

SOON_S = 1.0


def make_head(exchange: Exchange, status: int, *lines: str) -> bytes:
    head = [
        f"HTTP/1.1 {status} X",
        f"Rhubarbshed-Request-Id: {exchange.request_id}",
        "Rhubarbshed-Response-Signature: sig",
        *lines,
    ]
    return "\r\n".join(head).encode() + b"\r\n\r\n"


class PouringServer:
    """Reply whose body has no end."""

    def __init__(self, status: int, framing: str, *lines: str) -> None:
        self.status, self.framing, self.lines, self.poured = status, framing, lines, 0

    async def __call__(self, exchange: Exchange) -> None:
        exchange.write(make_head(exchange, self.status, FRAMINGS[self.framing], *self.lines))
        piece = b"x" * PIECE
        if self.framing == "chunks":
            piece = f"{PIECE:x}\r\n".encode() + piece + b"\r\n"
        while True:
            while self.poured >= POURED_MAX:
                await asyncio.sleep(0.1)
            exchange.write(piece)
            self.poured += len(piece)
            await exchange.writer.drain()


async def ask(server: PouringServer, path: str):
    replicas = [Replica(f"b{number}", reply=server) for number in range(2)]
    async with run_edge(make_configuration(*ROUTES.values()), *replicas) as edge:
        began_at = time.monotonic()
        answer = await edge.ask(path, b"x")
        return answer, time.monotonic() - began_at


@pytest.mark.parametrize("path", ROUTES)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", [500, 502, 429, 503])
def test_error_without_end_does_not_fill_the_memory(status, framing, path):
    async def scene():
        server = PouringServer(status, framing)
        answer, took_s = await ask(server, path)
        assert (answer.status, took_s < SOON_S) == (502, True), took_s
        assert server.poured < 2 * (BUFFERED_BYTES_MAX + BUFFERS)

    play(scene)


@pytest.mark.parametrize("path", ROUTES)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_client_error_without_end_does_not_fill_the_memory(framing, path):
    """It is the server's own answer, which is passed on as fast as the caller reads."""

    async def scene():
        server = PouringServer(404, framing)
        replicas = [Replica("b1", reply=server)]
        async with run_edge(make_configuration(*ROUTES.values()), *replicas) as edge:
            reader, writer = await asyncio.open_connection(*edge.node.settings.callers, limit=PIECE)
            head = f"GET {path} HTTP/1.1\r\nHost: svc.example\r\nRhubarbshed-Request-Id: q1\r\n"
            writer.write(head.encode() + b"Rhubarbshed-Deadline-Remaining: 2000\r\n\r\n")
            assert b" 404 " in await reader.readline()
            await asyncio.sleep(SOON_S)
            poured = server.poured
            writer.transport.abort()
            assert poured < BUFFERED_BYTES_MAX + 2 * BUFFERS

    play(scene)


async def trickle(exchange: Exchange) -> None:
    while True:
        exchange.write(b"x")
        await exchange.writer.drain()
        await asyncio.sleep(0.05)


async def pour(exchange: Exchange) -> None:
    poured = 0
    while True:
        while poured >= POURED_MAX:
            await asyncio.sleep(0.1)
        exchange.write(b"x" * PIECE)
        poured += PIECE
        await exchange.writer.drain()


async def pour_heads(exchange: Exchange) -> None:
    while True:
        exchange.write(b"HTTP/1.1 102 Processing\r\n\r\n")
        await exchange.writer.drain()
        await asyncio.sleep(0)


async def pour_answers(exchange: Exchange) -> None:
    other = b"HTTP/1.1 200 OK\r\nRhubarbshed-Request-Id: other\r\nContent-Length: 2\r\n\r\nno"
    while True:
        exchange.write(other * 100)
        await exchange.writer.drain()
        await asyncio.sleep(0)


LENGTH = "Content-Length: 100000000000"
REFUSED = "Rhubarbshed-Not-Executed: 1"


@pytest.mark.parametrize("send", [pour, trickle])
@pytest.mark.parametrize("path", ROUTES)
def test_refusal_whose_body_has_no_end_is_passed_on_at_once(path, send):
    """Its head says that the request did not run; the caller was refused at its deadline."""

    async def refuse(exchange: Exchange) -> None:
        exchange.write(make_head(exchange, 503, LENGTH, REFUSED))
        await send(exchange)

    async def scene():
        async with run_edge(
            make_configuration(*ROUTES.values()), Replica("b1", reply=refuse)
        ) as edge:
            began_at = time.monotonic()
            answer = await edge.ask(path, b"x")
            took_s = time.monotonic() - began_at
            assert (answer.status, took_s < SOON_S) == (503, True), took_s

    play(scene)


CUT_BODIES = {
    "length": b"Content-Length: 5\r\n\r\nno",
    "chunk": b"Transfer-Encoding: chunked\r\n\r\n5\r\nno",
    "no chunk": b"Transfer-Encoding: chunked\r\n\r\nno chunk\r\n",
}


@pytest.mark.parametrize("rest", CUT_BODIES.values(), ids=CUT_BODIES)
@pytest.mark.parametrize("path", ROUTES)
def test_refusal_whose_body_breaks_off_is_still_one(path, rest):
    """A request that may not be repeated was not sent elsewhere, though it had not run."""

    async def refuse(exchange: Exchange) -> None:
        exchange.write(make_head(exchange, 503, REFUSED)[:-2] + rest)
        await exchange.writer.drain()
        exchange.writer.close()
        raise ConnectionResetError

    async def scene():
        refusing, other = Replica("b1", reply=refuse), Replica("b2", reply=end_stream_or_echo)
        async with run_edge(make_configuration(*ROUTES.values()), refusing, other) as edge:
            statuses = [(await edge.ask(path, b"x")).status for _ in range(8)]
            assert statuses == [200] * 8 and refusing.got

    play(scene)


async def end_stream_or_echo(exchange: Exchange) -> None:
    if exchange.target.startswith(("/s/", "/n/")):
        exchange.begin_stream()
        exchange.send_event(1)
        exchange.end_stream()
    else:
        exchange.answer(200, exchange.body)


async def send_other_answer(exchange: Exchange) -> None:
    exchange.write(b"HTTP/1.1 200 OK\r\nRhubarbshed-Request-Id: other\r\n")
    exchange.write(LENGTH.encode() + b"\r\n\r\n")
    await trickle(exchange)


@pytest.mark.parametrize("send", [pour_heads, pour_answers, send_other_answer])
def test_server_that_answers_everything_but_the_request_is_left_for_another(send):
    async def scene():
        replicas = [Replica("b1", reply=send), Replica("b2")]
        async with run_edge(make_configuration(*ROUTES.values()), *replicas) as edge:
            for _ in range(6):
                began_at = time.monotonic()
                answer = await edge.ask("/p/x", b"x")
                took_s = time.monotonic() - began_at
                assert (answer.status, took_s < SOON_S) == (200, True), took_s
            assert replicas[0].got

    play(scene)


@pytest.mark.parametrize("send", [pour, trickle])
@pytest.mark.parametrize("declined", [True, False])
def test_error_of_another_instance_without_end_does_not_fill_the_memory(
    declined, send, monkeypatch
):
    real = relay.run_request

    async def run(progress: RequestProgress) -> None:
        if not progress.forwarded_by:
            await real(progress)
            return
        lines = [b"HTTP/1.1 503 X", LENGTH.encode(), *([DECLINED + b": full"] if declined else [])]
        progress.connection._write(b"\r\n".join(lines) + b"\r\n\r\nfull: no\n")
        writer = SimpleNamespace(drain=progress.connection.wait_writable)
        await send(SimpleNamespace(write=progress.connection._write, writer=writer))

    async def scene():
        async with run_cut_scene() as cuts:
            await cuts.cut("reset", "a1")
            monkeypatch.setattr(relay, "run_request", run)
            began_at = time.monotonic()
            answer = await cuts.ask("a1", "/p/x", b"x")
            took_s = time.monotonic() - began_at
            assert (answer.status, took_s < 2 * SOON_S) == (503, True), took_s

    play(scene)
