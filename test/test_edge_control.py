"""Servers that send bytes without end to a call that an instance itself makes."""

import asyncio
import json
import time
from itertools import count

import pytest
from returns.result import Failure, Result, Success

from rhubarbshed.platform.orders import make_health_call, make_order, make_report_call
from rhubarbshed.platform.rows import OWN_TABLE, make_commit, make_feed_read, make_read
from rhubarbshed.protocol.exchanges import ControlCall
from rhubarbshed.protocol.forwarding import REACHABILITY_TARGET
from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.servers import ServerOrder
from rhubarbshed.protocol.tables import TableError, TableFault, Transaction
from rhubarbshed.transport.edge.channels import Channel
from rhubarbshed.transport.edge.control import ControlAnswer, call
from rhubarbshed.transport.edge.pools import Pool
from rhubarbshed.transport.edge.store import PAGES_MAX, StoreClient

TIMEOUT_S = 1.5
SOON_S = 0.75
HEAD = b"HTTP/1.1 202 X\r\nContent-Length: 100000000000\r\n\r\n"
INTERIM = b"HTTP/1.1 102 X\r\n\r\n"

STATUS_CALLS = {
    "order": make_order(ServerOrder(OrderKind.LOAD, "m1", "i1", 1), "x"),
    "health": make_health_call("x", "/health"),
    "reachability": ControlCall(b"GET", REACHABILITY_TARGET),
}
BODY_CALLS = {
    "report": (make_report_call("x"), 300_000),
    "page": (make_read(OWN_TABLE), 3_200_000),
    "commit": (make_commit(OWN_TABLE, Transaction((), ())), 3_200_000),
}
"""Calls with the bytes that an instance may read of their answers."""


async def make_call(sent: ControlCall, head: bytes, piece: bytes, pause_s: float, monkeypatch):
    """Return the result, its time and the bytes that were read, with a server without an end."""
    read = 0
    receive = Channel.data_received

    def count(self: Channel, data: bytes) -> None:
        nonlocal read
        read += len(data)
        receive(self, data)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(head)
        try:
            while True:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause_s)
        except ConnectionError:
            writer.close()

    monkeypatch.setattr(Channel, "data_received", count)
    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        began_at = time.monotonic()
        address = server.sockets[0].getsockname()
        result = await call(Pool(TIMEOUT_S), address, sent, TIMEOUT_S, fresh=True)
        return result, time.monotonic() - began_at, read


@pytest.mark.parametrize("kind", STATUS_CALLS)
@pytest.mark.parametrize(("piece", "pause_s"), [(b"x" * 65_536, 0.0), (b"x", 0.01)])
def test_status_is_taken_without_the_end_of_a_body_that_decides_nothing(
    piece, pause_s, kind, monkeypatch
):
    sent = STATUS_CALLS[kind]
    result, took_s, read = asyncio.run(make_call(sent, HEAD, piece, pause_s, monkeypatch))
    assert isinstance(result, Success) and result.unwrap().status == 202
    assert (result.unwrap().body, took_s < SOON_S, read < 1_000_000) == (b"", True, True)


@pytest.mark.parametrize("kind", STATUS_CALLS)
def test_status_is_taken_with_a_body_that_is_no_body(kind, monkeypatch):
    head = b"HTTP/1.1 202 X\r\nTransfer-Encoding: chunked\r\n\r\n"
    sent = STATUS_CALLS[kind]
    result, *_ = asyncio.run(make_call(sent, head, b"no chunk\r\n", 0.01, monkeypatch))
    assert isinstance(result, Success) and result.unwrap().status == 202


@pytest.mark.parametrize("kind", BODY_CALLS)
def test_answer_is_bounded_by_what_its_call_can_need(kind, monkeypatch):
    sent, most = BODY_CALLS[kind]
    result, _, read = asyncio.run(make_call(sent, HEAD, b"x" * 65_536, 0.0, monkeypatch))
    assert isinstance(result, Failure) and result.failure().fault is TableFault.UNKNOWN
    assert read < most + 600_000


@pytest.mark.parametrize("pause_s", [0.0, 0.01])
@pytest.mark.parametrize("sent", [*STATUS_CALLS.values(), make_feed_read(OWN_TABLE, 1, 1.0)])
def test_interim_responses_without_an_end_are_no_answer(sent, pause_s, monkeypatch):
    result, took_s, _ = asyncio.run(make_call(sent, INTERIM, INTERIM, pause_s, monkeypatch))
    assert isinstance(result, Failure) and took_s < SOON_S


@pytest.mark.parametrize("sent", [call for call, _ in BODY_CALLS.values()])
def test_answer_in_single_bytes_ends_at_its_time(sent, monkeypatch):
    result, took_s, _ = asyncio.run(make_call(sent, HEAD, b"x", 0.01, monkeypatch))
    assert isinstance(result, Failure) and took_s < 2 * TIMEOUT_S


@pytest.mark.parametrize(("key", "calls"), [("k{:09}", PAGES_MAX), ("k", 2)])
def test_table_whose_pages_have_no_end_is_not_read_for_ever(key, calls):
    numbers = count(1)

    class PagingStore(StoreClient):
        async def _call(
            self, sent: ControlCall, timeout_s: float
        ) -> Result[ControlAnswer, TableError]:
            number = next(numbers)
            assert number < 1_000
            row = {"Key": key.format(number), "Ver": 1, "Value": "e30="}
            page = {"Rows": [row], "HasMore": True, "Ver": 1, "NowMs": 5}
            return Success(ControlAnswer(200, json.dumps(page).encode()))

    result = asyncio.run(PagingStore(("127.0.0.1", 1), Pool(TIMEOUT_S)).read_all(OWN_TABLE))
    assert isinstance(result, Failure) and result.failure().fault is TableFault.UNKNOWN
    assert next(numbers) == calls + 1
