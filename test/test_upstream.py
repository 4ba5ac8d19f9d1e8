"""Test how long the client waits for the response of a backend server."""

import contextlib
import itertools
import pathlib
import socketserver
import ssl
import threading
from collections.abc import Iterator

import pytest
from returns.result import Failure, Success

from rhubarbshed.protocol.answers import BufferedResponse
from rhubarbshed.protocol.calls import Call
from rhubarbshed.protocol.members import BackendKind, BackendServerInfo
from rhubarbshed.protocol.orders import Order, OrderFault, OrderKind
from rhubarbshed.protocol.requests import AttemptEnd, Dispatch, Request
from rhubarbshed.transport.connections import CONNECT_TIMEOUT_S, ConnectionPool
from rhubarbshed.transport.engines import make_engine_client
from rhubarbshed.transport.events import Attempt, EventBuffer
from rhubarbshed.transport.http import HttpClient
from rhubarbshed.transport.upstream import UpstreamClient, _is_answer_to
from tools.processes import Process, start_standin

CERTIFICATE = pathlib.Path(__file__).parent / "tls" / "peer.crt"
SERVICE_S = CONNECT_TIMEOUT_S + 0.5


@pytest.fixture
def service() -> Iterator[Process]:
    """Plain service whose response takes longer than the connect timeout."""
    process = start_standin("service", "--service-ms", str(SERVICE_S * 1000))
    yield process
    process.stop()


def fetch(
    port: int, upstream_client: UpstreamClient, first_byte_timeout_s: float, request_id: str = "r1"
):
    dispatch = Dispatch(
        request_id=request_id,
        attempt=0,
        backend_server="s1",
        host="127.0.0.1",
        port=port,
        first_byte_timeout_s=first_byte_timeout_s,
        gap_timeout_s=5.0,
    )
    request = Request(request_id, "c1", "service:s", 0.0, 60.0, service="s")
    call = Call(request, "GET", "/slow", b"")
    return upstream_client.fetch(Attempt.from_dispatch(dispatch), call)


def test_answer_is_waited_for_as_long_as_the_dispatch_says(service):
    """The second request reuses the connection of the first one."""
    upstream_client = UpstreamClient(ConnectionPool(60.0), None, "a1", 65536)
    for _ in range(2):
        answer = fetch(service.port, upstream_client, 2 * SERVICE_S)
        assert isinstance(answer, BufferedResponse) and answer.status == 200


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b"\xff", b"1" * 5000, b"[" * 100_000])
def test_body_that_is_no_object_is_no_answer_to_a_request(body):
    dispatch = Dispatch("r1", 0, "e1", "127.0.0.1", 1, 1.0, 1.0)
    attempt = Attempt.from_dispatch(dispatch)
    attempt.status = 200
    assert not _is_answer_to(body, attempt)


def test_answer_is_not_waited_for_longer(service):
    upstream_client = UpstreamClient(ConnectionPool(60.0), None, "a1", 65536)
    assert fetch(service.port, upstream_client, SERVICE_S / 2) is AttemptEnd.TIMED_OUT


class RepeatingHandler(socketserver.StreamRequestHandler):
    """Connection on which the first answer is written once more before each later one."""

    def handle(self) -> None:
        earlier = request_id = b""
        length = 0
        while line := self.rfile.readline():
            if line.startswith(b"X-Request-Id: "):
                request_id = line.split()[1]
            if line.startswith(b"Content-Length: "):
                length = int(line.split()[1])
            if line != b"\r\n":
                continue
            self.rfile.read(length)
            number = next(self.server.numbers)
            own = self.server.answers[min(number, 1)] % (request_id, number)
            self.wfile.write(earlier + own)
            earlier = earlier or own


@contextlib.contextmanager
def run_repeating(first: bytes, later: bytes) -> Iterator[int]:
    """Run a server that writes the first answer of a connection once more; return its port."""
    server = socketserver.ThreadingTCPServer(("127.0.0.1", 0), RepeatingHandler)
    server.daemon_threads, server.numbers = True, itertools.count()
    server.answers = (first, later)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    try:
        yield server.server_address[1]
    finally:
        server.shutdown()
        server.server_close()


SERVED = b"HTTP/1.1 200 X\r\nContent-Length: 6\r\nX-Request-Id: %b\r\n\r\nrun %02d"
UNNAMED = b"HTTP/1.1 200 X\r\nContent-Length: 6\r\nX-Other: %b\r\n\r\nrun %02d"
FIRST = {
    "refused": b"HTTP/1.1 429 X\r\nContent-Length: 5\r\nX-Refused: %.0b\r\n\r\nno %02d",
    "failed": b"HTTP/1.1 500 X\r\nContent-Length: 5\r\nX-Request-Id: %b\r\n\r\nno %02d",
    "served": SERVED,
    "without an id": UNNAMED,
}


@pytest.mark.parametrize(
    "request_ids", (("r1", "r1", "r1"), ("r1", "r2", "r3")), ids=("same", "other")
)
@pytest.mark.parametrize("first", FIRST)
def test_earlier_answer_once_more_is_not_taken_for_the_next(first, request_ids):
    """A request was refused while it ran, or its caller got another one's answer."""
    with run_repeating(FIRST[first], UNNAMED if first == "without an id" else SERVED) as port:
        upstream_client = UpstreamClient(ConnectionPool(60.0), None, "a1", 65536)
        answers = [fetch(port, upstream_client, 5.0, each) for each in request_ids]
        for number, answer in enumerate(answers[1:], 1):
            assert answer is AttemptEnd.BROKEN or answer.body == b"run %02d" % number


def test_earlier_answer_to_an_order_once_more_is_not_taken_for_one_to_a_new_order():
    """An order that the engine rejected was taken for carried out."""
    rejected = b"HTTP/1.1 422 X\r\nContent-Length: 6\r\nX-Other: %b\r\n\r\nrun %02d"
    with run_repeating(UNNAMED, rejected) as port:
        client = make_engine_client(HttpClient.from_config("a1", 5.0))
        server = BackendServerInfo("e1", BackendKind.ENGINE, "dc-1", "r1", "127.0.0.1", port)
        orders = [Order(f"o{number}", OrderKind.LOAD, 1, "m1") for number in range(3)]
        ends = [client.send_order(server, order) for order in orders]
        faults = [end.failure().fault for end in ends[1:]]
        assert isinstance(ends[0], Success) and faults == [OrderFault.REFUSED] * 2


WHOLE_HEADS = {
    "length": b"X-Request-Id: r1\r\nContent-Length: 5\r\n\r\n",
    "chunks": b"X-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "close": b"X-Request-Id: r1\r\nConnection: close\r\n\r\n",
    "no bytes": b"Content-Length: 0\r\nX-Request-Id: r1\r\n\r\n",
}


class CuttingHandler(socketserver.StreamRequestHandler):
    """Connection that is closed in the middle of an answer's head, at a later place each time."""

    def handle(self) -> None:
        while self.rfile.readline() not in (b"\r\n", b""):
            pass
        self.wfile.write(self.server.head[: next(self.server.places)])


@contextlib.contextmanager
def run_cutting(head: bytes, encrypted: bool = False) -> Iterator[int]:
    """Run a server that cuts this head at each place in turn; return its port."""
    server = socketserver.ThreadingTCPServer(("127.0.0.1", 0), CuttingHandler)
    server.daemon_threads, server.head, server.places = True, head, itertools.count()
    if encrypted:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(CERTIFICATE, CERTIFICATE.with_suffix(".key"))
        server.socket = context.wrap_socket(server.socket, server_side=True)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    try:
        yield server.server_address[1]
    finally:
        server.shutdown()
        server.server_close()


@pytest.mark.parametrize("lines", WHOLE_HEADS.values(), ids=WHOLE_HEADS)
def test_answer_that_is_cut_in_its_head_is_not_passed_on_as_an_empty_one(lines):
    """Callers of plain services got a whole answer with status 200 and no body."""
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + lines
    with run_cutting(head) as port:
        upstream_client = UpstreamClient(ConnectionPool(60.0), None, "a1", 65536)
        for place in range(len(head)):
            assert fetch(port, upstream_client, 5.0) is AttemptEnd.BROKEN, head[:place]


@pytest.mark.parametrize("scheme", ["http", "https"])
@pytest.mark.parametrize("lines", WHOLE_HEADS.values(), ids=WHOLE_HEADS)
def test_answer_to_the_platform_client_that_is_cut_in_its_head_is_none(lines, scheme):
    """Calls to the table service, for objects, to engines and to other instances use it."""
    head = b"HTTP/1.1 200 OK\r\n" + lines
    with run_cutting(head, scheme == "https") as port:
        client = HttpClient.from_config("a1", 5.0)
        client.pool.connection_pool_kw.update(ca_certs=str(CERTIFICATE), assert_hostname=False)
        for place in range(len(head)):
            answer = client.exchange("GET", f"{scheme}://127.0.0.1:{port}/x")
            assert isinstance(answer, Failure) and answer.failure().sent, head[:place]


@pytest.mark.parametrize(
    "other",
    [
        b"engine: no memory\n\n",
        b'{"error": {"code": "oops"}}\n\n',
        b"HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\nno\n\n",
        b"data: oops\n\n",
        b'data: {"id": "r1", "offset": 4}\n\n',
        b'data: {"id": "r2", "offset": 3}\n\n',
    ],
)
def test_what_is_not_the_rest_of_a_stream_is_not_relayed(other):
    attempt = Attempt.from_dispatch(
        Dispatch("r1", 1, "e1", "127.0.0.1", 1, 1.0, 1.0, resume_offset=3)
    )
    piece, end = EventBuffer().feed(other, attempt)
    assert (piece.data, end) == (b"", AttemptEnd.BROKEN)
