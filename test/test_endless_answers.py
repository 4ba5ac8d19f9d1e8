"""Bytes without end from what an instance calls: few are kept, and the call ends soon."""

import asyncio
import contextlib
import itertools
import socketserver
import threading
import time
from collections.abc import Iterator

import pytest
from attrs import evolve
from returns.result import Failure

from rhubarbshed.protocol.calls import Call
from rhubarbshed.protocol.members import BackendKind, BackendServerInfo
from rhubarbshed.protocol.orders import Order, OrderKind
from rhubarbshed.protocol.requests import AttemptEnd, Dispatch, Request
from rhubarbshed.transport import engines
from rhubarbshed.transport.connections import ConnectionPool
from rhubarbshed.transport.events import EVENT_BYTES_MAX, Attempt, EventBuffer, Piece
from rhubarbshed.transport.http import HttpClient
from rhubarbshed.transport.loop_calls import LoopCallQueue
from rhubarbshed.transport.objects import make_object_client
from rhubarbshed.transport.platform import make_list_client
from rhubarbshed.transport.stream_relay import StreamRelay
from rhubarbshed.transport.table import make_table_client
from rhubarbshed.transport.upstream import UpstreamClient
from test.test_races import BODY, DONE, HEAD, TOKEN, Play

POURED_MAX = 32_000_000
"""Bytes after which a server pauses, so that a failing test does not fill the memory."""

POURS_S = 6.0
"""Time after which a server ends its answer, so that a failing test ends."""

SOON_S = 1.0
RELAY_MAX_S = 4.0


class PouringHandler(socketserver.StreamRequestHandler):
    """Connection that answers its request with a start, and then pieces without end."""

    def handle(self) -> None:
        server = self.server
        until = time.monotonic() + POURS_S
        self.rfile.readline()
        with contextlib.suppress(OSError):
            self.wfile.write(server.start)
            while time.monotonic() < until and not server.stopped.is_set():
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
    assert took_s < soon_s and server.poured < POURED_MAX, (took_s, server.poured)


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
    began_at = time.thread_time()
    for _ in range(EVENT_BYTES_MAX // 4):
        assert buffer.feed(b"x", attempt) == (Piece(b"", 0), None)
    assert time.thread_time() - began_at < SOON_S


ENDLESS = {
    "length": (b"HTTP/1.1 200 X\r\nContent-Length: 100000000000\r\n\r\n", POURED, 0.0),
    "failure": (b"HTTP/1.1 500 X\r\nContent-Length: 100000000000\r\n\r\n", POURED, 0.0),
    "chunks": (CHUNKED, make_chunk(POURED), 0.0),
    "trailer": (CHUNKED + b"0\r\n", POURED, 0.0),
    "close": (HEAD, POURED, 0.0),
    "slow": (HEAD, b"x", 0.05),
}


@pytest.mark.parametrize("answer", ENDLESS)
@pytest.mark.parametrize(
    "called", ["report", "service report", "order", "cancel", "list", "row", "object"]
)
def test_short_exchange_whose_answer_has_no_end_fails_soon(called, answer, monkeypatch):
    """Answers of engines, replicas and the platform were kept whole, for as long as bytes came."""
    for name in ("ORDER_TIMEOUT_S", "CANCEL_TIMEOUT_S", "REPORT_TIMEOUT_S"):
        monkeypatch.setattr(engines, name, SOON_S)
    http = HttpClient.from_config("a1", SOON_S)
    with run_pouring(*ENDLESS[answer]) as server, assert_bounded(server, 2.5 * SOON_S):
        info = BackendServerInfo("e1", BackendKind.ENGINE, "dc-1", "r1", "127.0.0.1", server.port)
        url = f"http://127.0.0.1:{server.port}"
        calls = {
            "report": lambda: engines.make_engine_client(http).fetch_report(info, 0),
            "service report": lambda: engines.fetch_service_report(http, info),
            "order": lambda: engines.make_engine_client(http).send_order(
                info, Order("o1", OrderKind.LOAD, 1, "m1")
            ),
            "cancel": lambda: engines.cancel_request(http, info, "r1") or Failure(None),
            "list": lambda: make_list_client(http, url).fetch(),
            "row": lambda: make_table_client(http, url).read(("a",)),
            "object": lambda: make_object_client(http, url).get("a"),
        }
        assert isinstance(calls[called](), Failure)


def fetch(server: socketserver.ThreadingTCPServer, streamed: bool, model: str = "m1") -> object:
    """Send a request with `SOON_S` left; return its answer or how its attempt ended."""
    request = Request("r1", "c1", "k1", 0.0, SOON_S, model=model)
    call = Call(request, "POST", "/v1/x", BODY)
    client = UpstreamClient(ConnectionPool(60.0), None, "a1", 65536)
    play = Play(server, None)
    play.race.attempt.dispatch = evolve(play.race.attempt.dispatch, answer_timeout_s=SOON_S)
    if streamed:
        return list(client.stream(play.race, call, play.line))[-1]
    return client.fetch(play.race.attempt, call, play.line)


def test_slow_answer_without_end_ends_at_the_deadline():
    with run_pouring(*ENDLESS["slow"]) as server, assert_bounded(server, 2.5 * SOON_S):
        assert isinstance(fetch(server, streamed=False, model=""), AttemptEnd)


@pytest.mark.parametrize("streamed", [False, True], ids=["answer", "stream"])
@pytest.mark.parametrize("answer", ["length", "slow"])
@pytest.mark.parametrize("status", [429, 503, 500])
def test_head_that_decides_is_not_kept_waiting_for_its_body(status, answer, streamed):
    """A refusal came as late as its body ended, and one that was too long as a failure."""
    start, piece, pause_s = ENDLESS[answer]
    start = start.replace(b"200", str(status).encode())
    with run_pouring(start, piece, pause_s) as server, assert_bounded(server, SOON_S):
        expected = AttemptEnd.BROKEN if status == 500 else AttemptEnd.REFUSED
        assert fetch(server, streamed) is expected


def test_long_event_to_a_slow_caller_does_not_hold_the_loop():
    """The loop wrote it to a socket that had room for a part of it."""
    event = TOKEN.replace(b": 0}", b': 1, "x": "%b"}' % (b"x" * (EVENT_BYTES_MAX - 1000)))
    ticks = []

    def tick() -> None:
        ticks.append(time.monotonic())
        relay.loop.call_later(0.02, tick)

    def read() -> None:
        received = 0
        while received < len(TOKEN + event + DONE):
            received += len(play.caller.recv(65_536))

    with run_pouring(HEAD + TOKEN, event + DONE, SOON_S) as server, run_relay() as relay:
        relay.loop.call_soon_threadsafe(tick)
        play = Play(server, None)
        reader = threading.Timer(SOON_S, read)
        reader.daemon = True
        reader.start()
        call = Call(Request("r1", "c1", "m1", 0.0, 60.0, model="m1"), "POST", "/v1/x", BODY)
        client = UpstreamClient(ConnectionPool(60.0), relay, "a1", 65536)
        for each in client.stream(play.race, call, play.line):
            if isinstance(each, Piece):
                play.line.write(each.data)
        reader.join(2 * SOON_S)
        assert each is AttemptEnd.DONE and not reader.is_alive()
    assert max(late - early for early, late in itertools.pairwise(ticks)) < SOON_S / 2


@pytest.mark.parametrize(
    ("piece", "pause_s"), [(TOKEN * 100, 0.0), (b"x", 0.1)], ids=["repeated", "single bytes"]
)
@pytest.mark.parametrize("kind", ["relayed", "chunked"])
def test_stream_whose_next_event_does_not_come_is_ended(kind, piece, pause_s):
    """Any byte counted as progress, so that a stream without a next token had no end."""
    make_piece, head = (make_chunk, CHUNKED) if kind == "chunked" else (bytes, HEAD)
    with run_pouring(head + make_piece(TOKEN), make_piece(piece), pause_s) as server:
        with run_relay() as relay:
            play = Play(server, None)
            dispatch = evolve(play.race.attempt.dispatch, gap_timeout_s=SOON_S)
            play.race.attempt = Attempt.from_dispatch(dispatch)
            relay.loop.call_soon_threadsafe(sweep, relay)
            client = UpstreamClient(ConnectionPool(60.0), relay, "a1", 65536)
            call = Call(Request("r1", "c1", "m1", 0.0, 60.0, model="m1"), "POST", "/v1/x", BODY)
            with assert_bounded(server, 2 * SOON_S):
                *_, end = client.stream(play.race, call, play.line)
            assert end is (AttemptEnd.TIMED_OUT if pause_s else AttemptEnd.BROKEN)


def sweep(relay: StreamRelay) -> None:
    relay.sweep(time.monotonic())
    relay.loop.call_later(0.1, sweep, relay)
