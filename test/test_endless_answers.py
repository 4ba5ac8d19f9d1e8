"""Bytes without end from what an instance calls: few are kept, and the call ends soon."""

import asyncio
import contextlib
import socketserver
import threading
import time
from collections.abc import Iterator

import pytest

from rhubarbshed.protocol.calls import Call
from rhubarbshed.protocol.requests import AttemptEnd, Dispatch, Request
from rhubarbshed.transport.connections import ConnectionPool
from rhubarbshed.transport.events import EVENT_BYTES_MAX, Attempt, EventBuffer, Piece
from rhubarbshed.transport.loop_calls import LoopCallQueue
from rhubarbshed.transport.stream_relay import StreamRelay
from rhubarbshed.transport.upstream import UpstreamClient
from test.test_races import BODY, HEAD, TOKEN, Play

POURED_MAX = 32_000_000
"""Bytes after which a server pauses, so that a failing test does not fill the memory."""

BUFFERS = 16_000_000
"""Bytes that the buffers of both sockets can hold at the most."""

SOON_S = 1.0
RELAY_MAX_S = 4.0


class PouringHandler(socketserver.StreamRequestHandler):
    """Connection that answers its request with a start, and then pieces without end."""

    def handle(self) -> None:
        server = self.server
        self.rfile.readline()
        with contextlib.suppress(OSError):
            self.wfile.write(server.start)
            while not server.stopped.is_set():
                if server.poured < POURED_MAX:
                    self.wfile.write(server.piece)
                    server.poured += len(server.piece)
                if server.pause_s or server.poured >= POURED_MAX:
                    server.stopped.wait(server.pause_s or 0.1)


@contextlib.contextmanager
def run_pouring(
    start: bytes, piece: bytes, pause_s: float = 0.0
) -> Iterator[socketserver.ThreadingTCPServer]:
    server = socketserver.ThreadingTCPServer(("127.0.0.1", 0), PouringHandler)
    server.daemon_threads, server.poured, server.stopped = True, 0, threading.Event()
    server.start, server.piece, server.pause_s = start, piece, pause_s
    server.port = server.server_address[1]
    threading.Thread(target=server.serve_forever, daemon=True).start()
    try:
        yield server
    finally:
        server.stopped.set()
        server.shutdown()
        server.server_close()


@contextlib.contextmanager
def run_relay() -> Iterator[StreamRelay]:
    """Run a relay on an event loop; what still streams at `RELAY_MAX_S` is ended."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    relay = StreamRelay(loop, LoopCallQueue(loop))
    loop.call_soon_threadsafe(loop.call_later, RELAY_MAX_S, relay.stop)
    try:
        yield relay
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()


@contextlib.contextmanager
def assert_bounded(server: socketserver.ThreadingTCPServer, soon_s: float = SOON_S) -> Iterator:
    """Check that the calls made meanwhile end soon, and read little of what a server pours."""
    began_at = time.monotonic()
    yield
    took_s = time.monotonic() - began_at
    assert took_s < soon_s and server.poured < BUFFERS, (took_s, server.poured)


CHUNKED = HEAD.replace(b"1.0", b"1.1").replace(
    b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n"
)
POURED = b"x" * 65_536


def make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def make_attempt() -> Attempt:
    return Attempt.from_dispatch(Dispatch("r1", 0, "b1", "127.0.0.1", 1, 1.0, 1.0))


@pytest.mark.parametrize("begun", [False, True], ids=["first event", "later event"])
@pytest.mark.parametrize(
    ("start", "make_piece"), [(HEAD, bytes), (CHUNKED, make_chunk)], ids=["close", "chunks"]
)
def test_event_without_end_breaks_the_stream_off(start, make_piece, begun):
    """It was kept whole, and joined anew for each piece; in the loop if the stream had begun."""
    first = make_piece(TOKEN) if begun else b""
    with run_pouring(start + first, make_piece(POURED)) as server, run_relay() as relay:
        play = Play(server, None)
        client = UpstreamClient(ConnectionPool(60.0), relay, "a1", 65536)
        call = Call(Request("r1", "c1", "m1", 0.0, 60.0, model="m1"), "POST", "/v1/x", BODY)
        with assert_bounded(server):
            *pieces, end = client.stream(play.race, call, play.line)
        assert b"".join(piece.data for piece in pieces if isinstance(piece, Piece)) in (b"", TOKEN)
        assert (end, play.race.attempt.offset) == (AttemptEnd.BROKEN, int(begun))


def test_event_in_small_pieces_takes_no_more_time_than_its_bytes():
    attempt, buffer = make_attempt(), EventBuffer()
    began_at = time.monotonic()
    for _ in range(EVENT_BYTES_MAX // 4):
        assert buffer.feed(b"x", attempt) == (Piece(b"", 0), None)
    assert time.monotonic() - began_at < SOON_S
