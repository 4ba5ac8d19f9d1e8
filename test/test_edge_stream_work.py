"""Work that the bytes of one server make, however they are divided."""

import asyncio
from unittest.mock import AsyncMock, Mock

import h11
import pytest
from returns.result import Success

from rhubarbshed.coordination.serving.origin_batches import OriginBatch
from rhubarbshed.platform.rows import Page
from rhubarbshed.protocol.tables import Row, Scan
from rhubarbshed.transport.edge.channels import (
    EVENTS_IN_ROW_MAX,
    HEAD_BYTES_MAX,
    PIECE_BYTES,
    Channel,
    ChannelError,
)
from rhubarbshed.transport.edge.origin_store import OriginStore
from rhubarbshed.transport.edge.streams import EVENT_BYTES_MAX, EventSplitter
from standin.replica import Exchange, Replica
from test.helper_edge import make_configuration, play, run_edge
from test.test_edge_endless_answers import FRAMINGS, ROUTES, make_head


class CountedBytes(bytearray):
    """Buffer that counts the bytes it is searched for."""

    searched = 0

    def rfind(self, mark, start=0):
        self.searched += len(self) - start
        return super().rfind(mark, start)


def make_open_transport() -> Mock:
    """Return a transport that takes all bytes, of a connection that stays open."""
    return Mock(is_closing=Mock(return_value=False), get_write_buffer_size=Mock(return_value=0))


@pytest.mark.parametrize("event", [b"data: ", b"\n:", b"\r\n:"])
def test_event_in_single_bytes_is_searched_once(event):
    """All that was held was joined and searched again for each byte."""
    held = CountedBytes()
    splitter = EventSplitter(held=held)
    fed = 20_000
    for number in range(fed):
        splitter.feed(event[number % len(event) :][:1])
    assert len(held) == fed
    assert held.searched < 16 * fed


@pytest.mark.parametrize("size", [1, 3, 700])
@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n"])
def test_events_are_found_wherever_their_bytes_are_divided(size, end):
    events = [b"id: %d" % number + end + b"\n" * (number % 3) for number in range(200)]
    stream = b"".join(events) + b"data: rest"
    splitter = EventSplitter()
    fed = [splitter.feed(stream[at : at + size]) for at in range(0, len(stream), size)]
    assert b"".join(fed) + splitter.flush() == stream
    assert (splitter.last_id, splitter.events, splitter.counts_up) == ("199", 200, True)
    assert all(isinstance(each, bytes) for each in fed)


def test_event_beyond_the_limit_is_passed_on_in_parts():
    splitter = EventSplitter()
    piece = b"x" * 65_536
    passed = [splitter.feed(piece) for _ in range(EVENT_BYTES_MAX // len(piece) + 1)]
    assert [len(each) for each in passed if each] == [EVENT_BYTES_MAX + len(piece)]


def test_event_with_many_ids_has_the_last_one():
    """Each line with an id was recorded, some 200,000 of the longest event in one pass."""
    splitter = EventSplitter()
    for number in range(100):
        ids = b"".join(b"id: %d\n" % (1_000 * number + line) for line in range(50))
        splitter.feed(ids + b"id:%d\r\ndata: id:7\r\n\r\n: comment\n\ndata: x\n\n" % number)
    assert (splitter.last_id, splitter.events, splitter.counts_up) == ("99", 100, True)


async def count_between_passes(counts: list[int]) -> None:
    """Add a count for each pass of the loop."""
    while True:
        counts.append(0)
        await asyncio.sleep(0)


@pytest.mark.parametrize("status", [200, 404, 503])
@pytest.mark.parametrize("path", ROUTES)
def test_chunks_of_one_byte_do_not_hold_the_loop(path, status, monkeypatch):
    """Other callers waited until some 40,000 pieces of one read were handled."""
    counts = [0]
    take_next = Channel._next_event

    def count(self: Channel):
        counts[-1] += 1
        return take_next(self)

    async def pour(exchange: Exchange) -> None:
        lines = ("Rhubarbshed-Not-Executed: 1",) if status == 503 else ()
        exchange.write(make_head(exchange, status, FRAMINGS["chunks"], *lines))
        for _ in range(40):
            exchange.write(b"1\r\nx\r\n" * 10_000)
            await exchange.writer.drain()

    async def scene():
        monkeypatch.setattr(Channel, "_next_event", count)
        servers = [Replica("b1", reply=pour)]
        async with run_edge(make_configuration(*ROUTES.values()), *servers) as edge:
            counting = asyncio.create_task(count_between_passes(counts))
            asking = asyncio.create_task(edge.ask(path, b"x"))
            await asyncio.sleep(0.5)
            counting.cancel()
            asking.cancel()
            assert EVENTS_IN_ROW_MAX // 2 < max(counts) <= 2 * EVENTS_IN_ROW_MAX

    play(scene)


def test_no_event_is_lost_where_a_reader_that_gives_way_is_cancelled():
    async def scene():
        channel = Channel()
        channel.connection_made(make_open_transport())
        channel.start(b"GET", b"/", ((b"host", b"x"),), b"")
        pieces = [b"%d" % (number % 10) for number in range(1000)]
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        channel.data_received(head + b"".join(b"1\r\n" + each + b"\r\n" for each in pieces))
        await channel.receive()
        got, cancelled = [], 0
        while len(got) < len(pieces):
            receiving = asyncio.create_task(channel.receive())
            await asyncio.sleep(0)
            cancelled += receiving.cancel()
            result = (await asyncio.gather(receiving, return_exceptions=True))[0]
            got += [bytes(result.data)] if isinstance(result, h11.Data) else []
        assert got == pieces and cancelled

    play(scene)


EVENTS = b"data: x\n\n" * 20_000
LINES = b"a:\r\n" * 60_000


@pytest.mark.parametrize("path", ["/s/x", "/n/x", "/p/x"])
@pytest.mark.parametrize(
    ("sent", "whole"),
    [
        (b"%x\r\n" % len(EVENTS) + EVENTS + b"\r\n0\r\n\r\n", True),
        (b"0\r\n" + LINES + b"\r\n", False),
    ],
)
def test_bytes_of_one_read_are_parsed_in_pieces(sent, whole, path, monkeypatch):
    """All events of a read, or a head or trailer of any length in it, were one piece of work."""
    given = []
    next_event = h11.Connection.next_event

    def measure(self: h11.Connection):
        if self.our_role is h11.CLIENT:
            given.append(len(self.trailing_data[0]))
        return next_event(self)

    async def reply(exchange: Exchange) -> None:
        exchange.write(make_head(exchange, 200, FRAMINGS["chunks"]) + sent)
        await exchange.writer.drain()

    async def scene():
        monkeypatch.setattr(h11.Connection, "next_event", measure)
        servers = [Replica("b1", reply=reply)]
        async with run_edge(make_configuration(*ROUTES.values()), *servers) as edge:
            given.clear()
            answer = await edge.ask(path, b"x")
            assert (answer.status, answer.whole, answer.body) == (200, True, EVENTS) or not whole
            assert max(given) <= HEAD_BYTES_MAX + PIECE_BYTES

    play(scene)


def test_batches_of_stream_origins_do_not_hold_the_loop(monkeypatch):
    """Those of one data centre have 240,000 streams, all decoded in one pass."""
    counts = [0]

    def read(value):
        counts[-1] += 1
        return Success(OriginBatch(value["number"]))

    async def scene():
        monkeypatch.setattr("rhubarbshed.transport.edge.origin_store.read_batch", read)
        rows = tuple(Row(f"a/{each}", 1, {"number": each}, 1) for each in range(100))
        store = AsyncMock(read_all=AsyncMock(return_value=Success(Page(Scan(rows, 1)))))
        origins = OriginStore(store, Mock(), bool, Mock(), Mock())
        origins.batches["kept"] = OriginBatch(0)
        counting = asyncio.create_task(count_between_passes(counts))
        reading = asyncio.create_task(origins._read())
        while not reading.done():
            assert list(origins.batches) == ["kept"]
            await asyncio.sleep(0)
        counting.cancel()
        assert list(origins.batches) == [row.key for row in rows]
        assert max(counts) <= 2

    asyncio.run(scene())


@pytest.mark.parametrize(
    ("framing", "is_whole"), [("chunked", True), ("chunked, in part", False), ("close", False)]
)
def test_whole_answer_is_not_lost_to_a_reset_behind_it(framing, is_whole):
    """A reader that gave way found the connection broken, with the answer's end unread."""

    async def scene():
        channel = Channel()
        channel.connection_made(make_open_transport())
        channel.start(b"GET", b"/", ((b"host", b"x"),), b"")
        if framing == "close":
            channel.data_received(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 20_000)
        else:
            channel.data_received(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            end = b"0\r\n\r\n" if is_whole else b""
            channel.data_received(b"2\r\nxx\r\n" * 10_000 + end)
        channel.connection_lost(ConnectionResetError())
        event, length = await channel.receive(), 0
        try:
            while isinstance(event := await channel.receive(), h11.Data):
                length += len(event.data)
        except ChannelError as error:
            event = error
        assert length == 20_000 and isinstance(event, h11.EndOfMessage) == is_whole

    play(scene)
