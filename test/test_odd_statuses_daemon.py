"""Answers whose status is not a final status of HTTP count as malformed in `rhubarbshedd`."""

import contextlib
import socket
import threading
from collections.abc import Iterator

import pytest
from returns.result import Failure, Success

from rhubarbshed.protocol.answers import BufferedResponse
from rhubarbshed.protocol.calls import Call
from rhubarbshed.protocol.members import BackendKind, BackendServerInfo
from rhubarbshed.protocol.orders import Order, OrderFault, OrderKind
from rhubarbshed.protocol.requests import AttemptEnd, Dispatch, Request
from rhubarbshed.protocol.statuses import is_final_status, is_interim_status
from rhubarbshed.protocol.tables import TableFault, Transaction
from rhubarbshed.transport import engines
from rhubarbshed.transport.connections import ConnectionPool
from rhubarbshed.transport.events import Attempt
from rhubarbshed.transport.http import HttpClient
from rhubarbshed.transport.objects import make_object_client
from rhubarbshed.transport.platform import make_list_client
from rhubarbshed.transport.table import make_table_client
from rhubarbshed.transport.upstream import UpstreamClient
from test.test_odd_statuses import STATUSES, WITH_BODY, make_answer
from test.test_races import DONE, TOKEN, Play, Script

ID = "X-Request-Id: r1"
ANSWER = b'{"id": "r1"}'


@contextlib.contextmanager
def run_answering(data: bytes) -> Iterator[tuple[int, list[bytes]]]:
    """Run a server that gives the same answer on each connection, which stays open.

    Yield its port, and the requests that it received.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    received: list[bytes] = []

    def serve(connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            while request := connection.recv(65_536):
                received.append(request)
                connection.sendall(data)
                if b"HTTP/1.1 1" in data[:10]:
                    connection.shutdown(socket.SHUT_WR)

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                threading.Thread(target=serve, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield listener.getsockname()[1], received
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()


def fetch(port: int, client: UpstreamClient, model: str = "", idempotent: bool = True) -> object:
    """Send a request; return its answer or how its attempt ended."""
    dispatch = Dispatch("r1", 0, "s1", "127.0.0.1", port, 1.0, 1.0)
    request = Request("r1", "c1", "k1", 0.0, 60.0, model=model, service="s", idempotent=idempotent)
    call = Call(request, "GET", "/x", b"")
    return client.fetch(Attempt.from_dispatch(dispatch), call)


def make_client() -> UpstreamClient:
    return UpstreamClient(ConnectionPool(60.0), None, "a1", 65_536)


@pytest.mark.parametrize("idempotent", [True, False], ids=["idempotent", "unsafe"])
@pytest.mark.parametrize("model", ["", "m1"], ids=["service", "engine"])
@pytest.mark.parametrize("status", STATUSES)
def test_answer_with_an_odd_status_breaks_its_attempt_off(status, model, idempotent):
    """Callers of plain services got 101, 103, 600 and 999 as answers."""
    with run_answering(make_answer(status, 9, ID)) as (port, received):
        client = make_client()
        assert fetch(port, client, model, idempotent) is AttemptEnd.BROKEN
        assert len(received) == 1 and not any(client.connections._idle.values())


@pytest.mark.parametrize("status", STATUSES)
def test_stream_whose_first_events_have_an_odd_status_breaks_off(status):
    head = make_answer(status, 0, ID).replace(b"Content-Length: 0\r\n", b"")
    play = Play(Script((0.0, head + TOKEN + DONE)), None)
    assert play.carry() == (b"", AttemptEnd.BROKEN)


@pytest.mark.parametrize("model", ["", "m1"], ids=["service", "engine"])
@pytest.mark.parametrize("status", ["100", "102", "103"])
def test_interim_head_before_an_answer_is_skipped(status, model):
    """Callers of plain services got the interim head as the answer."""
    answer = make_answer("200", len(ANSWER), ID).replace(b"o" * len(ANSWER), ANSWER)
    with run_answering(make_answer(status, 0, ID) * 2 + answer) as (port, _):
        got = fetch(port, make_client(), model)
        assert isinstance(got, BufferedResponse) and (got.status, got.body) == (200, ANSWER)


@pytest.mark.parametrize("status", ["100", "102", "103"])
def test_many_interim_heads_are_no_answer(status):
    """Heads of 100 without an end would have kept a thread for as long as they came."""
    answer = make_answer("200", len(ANSWER), ID).replace(b"o" * len(ANSWER), ANSWER)
    with run_answering(make_answer(status, 0, ID) * 200 + answer) as (port, _):
        assert fetch(port, make_client()) is AttemptEnd.BROKEN


@pytest.mark.parametrize("status", STATUSES)
def test_short_exchange_that_is_answered_with_an_odd_status_fails(status):
    """The load of a plain service was read from a report with any status."""
    with run_answering(make_answer(status, 9)) as (port, _):
        http = HttpClient.from_config("a1", 1.0)
        info = BackendServerInfo("e1", BackendKind.ENGINE, "dc-1", "r1", "127.0.0.1", port)
        url = f"http://127.0.0.1:{port}"
        order = Order("o1", OrderKind.LOAD, 1, "m1")
        end = engines.make_engine_client(http).send_order(info, order)
        assert end.failure().fault is OrderFault.UNKNOWN
        table = make_table_client(http, url)
        assert table.commit(Transaction((), ())).failure().fault is TableFault.UNKNOWN
        objects = make_object_client(http, url)
        ends = [
            http.exchange("GET", url),
            engines.make_engine_client(http).fetch_report(info, 0),
            make_list_client(http, url).fetch(),
            table.read(("a",)),
            objects.get("a"),
            objects.put("a", b"x"),
        ]
        assert all(isinstance(each, Failure) for each in ends)
        assert ends[0].failure().sent


@pytest.mark.parametrize("status", WITH_BODY)
def test_load_report_with_an_odd_status_is_none(status):
    report = b'{"age_s": 0.1, "running": 1, "waiting": 0, "slots": 4}'
    sound = make_answer("200", len(report)).replace(b"o" * len(report), report)
    odd = make_answer(status, len(report)).replace(b"o" * len(report), report)
    for data, kind in ((sound, Success), (odd, Failure)):
        with run_answering(data) as (port, _):
            info = BackendServerInfo("s1", BackendKind.ENGINE, "dc-1", "r1", "127.0.0.1", port)
            http = HttpClient.from_config("a1", 1.0)
            assert isinstance(engines.fetch_service_report(http, info), kind)


def test_final_and_interim_statuses_are_those_of_http():
    finals = [status for status in range(1000) if is_final_status(status)]
    interims = [status for status in range(1000) if is_interim_status(status)]
    assert finals == list(range(200, 600))
    assert interims == [100, *range(102, 200)]
