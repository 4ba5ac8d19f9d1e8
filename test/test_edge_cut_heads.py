"""Answers that are cut in the middle of their head."""

import asyncio
import socket
import struct

import pytest
from returns.result import Failure

from rhubarbshed.protocol.exchanges import ControlCall
from rhubarbshed.transport.edge.caller_connections import CallerConnection
from rhubarbshed.transport.edge.control import call
from rhubarbshed.transport.edge.pools import Pool
from standin.replica import Exchange, Replica
from test.helper_clock import play_by_clock
from test.helper_cuts import run_cut_scene
from test.helper_edge import make_configuration, make_route, play, run_edge

ROUTES = {
    "/p/x": make_route("idempotent", "/p/"),
    "/u/x": make_route("non_idempotent", "/u/", Attempts=1),
    "/s/x": make_route("streaming", "/s/", Resumable=True, TargetGapMs=150),
    "/n/x": make_route("streaming", "/n/", Attempts=1, TargetGapMs=150),
}
FRAMINGS = {
    "length": ("Content-Length: 20",),
    "no bytes": ("Content-Length: 0",),
    "chunks": ("Transfer-Encoding: chunked",),
    "close": ("Connection: close",),
}
STEP = 6
"""Bytes between two places of a cut."""

TIMEOUT_MS = 60_000
"""Time that a request has, far beyond the wait of its caller, which the loop's clock measures."""


def make_head(request_id: str, *lines: str) -> bytes:
    head = [
        "HTTP/1.1 200 OK",
        f"Rhubarbshed-Response-Signature: sig-{request_id}",
        "Content-Type: text/event-stream",
        *lines,
        f"Rhubarbshed-Request-Id: {request_id}",
    ]
    return "\r\n".join(head).encode() + b"\r\n\r\n"


def end_connection(writer: asyncio.StreamWriter, how: str) -> None:
    """Close a connection, or reset it."""
    if how == "reset":
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.close()


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("lines", FRAMINGS.values(), ids=FRAMINGS)
def test_answer_that_is_cut_in_its_head_is_no_success(lines, how):
    async def scene():
        sent = 0

        async def cut_head(exchange: Exchange) -> None:
            head = make_head(exchange.request_id, *lines)
            exchange.write(head[: min(sent, len(head) - 1)])
            await exchange.writer.drain()
            await asyncio.sleep(0)
            end_connection(exchange.writer, how)
            raise ConnectionResetError

        routes = [{**route, "TimeoutMs": TIMEOUT_MS} for route in ROUTES.values()]
        replicas = [Replica(f"b{number}", reply=cut_head) for number in range(2)]
        async with run_edge(make_configuration(*routes), *replicas) as edge:
            edge.node.view.budget.extra = 1e6
            length = len(make_head("q" * 14, *lines))
            for sent in range(0, length, STEP):
                left = {"Rhubarbshed_Deadline_Remaining": str(TIMEOUT_MS)}
                asked = (edge.ask(path, b"x", **left) for path in ROUTES)
                for answer in await asyncio.gather(*asked):
                    assert answer.status in (0, 502, 503) or not answer.whole, sent

    play_by_clock(scene)


@pytest.mark.parametrize("path", ROUTES)
def test_answer_that_another_instance_cuts_in_its_head_is_no_success(path, monkeypatch):
    real = CallerConnection._write
    cut_at = [0]

    def cut_first(self: CallerConnection, data: bytes) -> None:
        if self.may_pause or not data.startswith(b"HTTP/1.1 200"):
            real(self, data)
            return
        real(self, data[: cut_at[0]])
        self._transport.abort() if cut_at[0] % 2 else self._transport.close()

    async def scene():
        async with run_cut_scene() as cuts:
            await cuts.cut("reset", "a1")
            monkeypatch.setattr(CallerConnection, "_write", cut_first)
            for sent in range(0, 60, 5):
                cut_at[0] = sent
                answer = await cuts.ask("a1", path, b"x")
                assert answer.status in (0, 502, 503) or not answer.whole, sent

    play(scene)


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("lines", FRAMINGS.values(), ids=FRAMINGS)
def test_answer_to_a_call_that_is_cut_in_its_head_is_no_answer(lines, how):
    """Calls are those to the store, for reports and orders, and health checks."""
    head = make_head("c1", *lines)

    async def scene():
        sent = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head[:sent])
            await writer.drain()
            await asyncio.sleep(0)
            end_connection(writer, how)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        pool = Pool(1.0)
        for sent in range(len(head)):
            answer = await call(pool, address, ControlCall(b"GET", b"/x"), 1.0)
            assert isinstance(answer, Failure), sent
        server.close()

    play(scene)
