"""Callers that send without end, or in the smallest pieces."""

import asyncio
import contextlib
import gc
import time
import tracemalloc
from collections.abc import AsyncIterator
from types import SimpleNamespace

import pytest

from rhubarbshed.transport.edge.attempts import BUFFERED_BYTES_MAX
from rhubarbshed.transport.edge.caller_connections import (
    PIPELINED_BYTES_MAX,
    UNSENT_BYTES_MAX,
    CallerConnection,
)
from rhubarbshed.transport.edge.channels import Channel
from rhubarbshed.transport.edge.received_bytes import SHORT_BYTES_MAX
from standin.replica import Exchange, Replica
from test.helper_edge import HOST, Edge, make_configuration, make_route, play, read_answer, run_edge

ROUTE = make_route("idempotent", "/p/", TimeoutMs=20_000)
READ_BYTES = 262_144
"""Most that the event loop reads at once."""

LATE_S = 0.02
"""Target for how late one party may make the requests of all others."""


def make_head(name: str, *lines: str) -> bytes:
    head = [f"POST /p/x HTTP/1.1\r\nHost: {HOST}", f"Rhubarbshed-Request-Id: {name}", *lines]
    return "\r\n".join([*head, "Rhubarbshed-Deadline-Remaining: 20000"]).encode() + b"\r\n\r\n"


async def open_caller(
    edge: Edge,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, CallerConnection]:
    reader, writer = await asyncio.open_connection(*edge.node.settings.callers)
    await edge.wait_until(lambda: len(edge.node.connections) == 1)
    return reader, writer, next(iter(edge.node.connections))


def count_held(connection: CallerConnection) -> int:
    return connection.unparsed_bytes + len(connection._body) + connection.answered_bytes


async def wait_parsed(
    edge: Edge, writer: asyncio.StreamWriter, connection: CallerConnection
) -> None:
    def is_parsed() -> bool:
        unsent = writer.transport.get_write_buffer_size()
        return not unsent and not connection.unread_bytes and not connection.unparsed_bytes

    await edge.wait_until(is_parsed, 10.0)


@contextlib.asynccontextmanager
async def measure_passes() -> AsyncIterator[list[float]]:
    """Collect the processor time of each pass of the event loop, without the test's own garbage."""
    passes = []

    async def measure() -> None:
        while True:
            began = time.process_time()
            await asyncio.sleep(0)
            passes.append(time.process_time() - began)

    gc.collect()
    gc.freeze()
    task = asyncio.create_task(measure())
    try:
        yield passes
    finally:
        task.cancel()
        gc.unfreeze()


def test_requests_one_behind_the_other_do_not_fill_the_memory():
    """Reading went on after each answer, whatever was held already."""

    async def scene():
        async with run_edge(make_configuration(ROUTE), Replica("b1")) as edge:
            reader, writer, connection = await open_caller(edge)
            names = [f"q{number}" for number in range(600)]
            for name in names:
                writer.write(make_head(name, "Content-Length: 10000") + b"x" * 10_000)
            held = 0
            for name in names:
                answer = await asyncio.wait_for(read_answer(reader), 5.0)
                assert (answer.status, answer.headers["rhubarbshed-request-id"]) == (200, name)
                held = max(held, connection.unparsed_bytes)
            assert 0 < held <= PIPELINED_BYTES_MAX + READ_BYTES
            writer.close()

    play(scene)


def test_caller_of_many_requests_that_disconnects_is_noticed():
    async def answer(exchange: Exchange) -> None:
        if exchange.request_id == "q9":
            await asyncio.sleep(4.0)
        exchange.answer(200, b"")

    async def scene():
        async with run_edge(make_configuration(ROUTE), Replica("b1", reply=answer)) as edge:
            reader, writer, connection = await open_caller(edge)
            for number in range(30):
                body = b"x" * 10_000
                writer.write(make_head(f"q{number}", "Content-Length: 10000") + body)
            for _ in range(9):
                await read_answer(reader)
            await edge.wait_until(lambda: connection.unparsed_bytes > PIPELINED_BYTES_MAX)
            writer.transport.abort()
            await edge.wait_until(lambda: connection not in edge.node.connections, 1.0)

    play(scene)


def test_body_in_small_chunks_takes_the_memory_of_its_bytes():
    """Each chunk was kept as an object of its own."""

    async def scene():
        async with run_edge(make_configuration(ROUTE), Replica("b1")) as edge:
            reader, writer, connection = await open_caller(edge)
            writer.write(make_head("q1", "Transfer-Encoding: chunked"))
            chunks = b"2\r\nxx\r\n" * 30_000
            tracemalloc.start()
            try:
                writer.write(chunks)
                await wait_parsed(edge, writer, connection)
                held, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            assert held < 600_000
            writer.write(b"0\r\n\r\n")
            assert (await read_answer(reader)).body == b"done:" + b"xx" * 30_000
            writer.close()

    play(scene)


CHUNKED = make_head("q1", "Transfer-Encoding: chunked")
SMALL_PIECES = {
    "chunks": CHUNKED + b"1\r\nx\r\n" * 40_000 + b"0\r\n\r\n",
}


@pytest.mark.parametrize("sent", SMALL_PIECES)
def test_what_one_caller_sends_does_not_keep_others_waiting(sent):
    async def scene():
        async with run_edge(make_configuration(ROUTE), Replica("b1")) as edge:
            reader, writer, connection = await open_caller(edge)
            async with measure_passes() as passes:
                writer.write(SMALL_PIECES[sent])
                answer = await asyncio.wait_for(read_answer(reader), 10.0)
                assert max(passes) < LATE_S
            assert answer.status == 200
            writer.close()

    play(scene)


def test_what_one_party_sends_on_many_connections_does_not_keep_others_waiting():
    """Each connection had its turn in each pass of the event loop."""

    async def scene():
        async with run_edge(make_configuration(ROUTE), Replica("b1")) as edge:
            address = edge.node.settings.callers
            opened = [await asyncio.open_connection(*address) for _ in range(60)]
            async with measure_passes() as passes:
                for _, writer in opened:
                    writer.write(SMALL_PIECES["chunks"])
                    await asyncio.sleep(0)
                for _ in range(10):
                    assert (await asyncio.wait_for(edge.ask("/p/x", b"x"), 1.0)).status == 200
                    await asyncio.sleep(0.05)
                assert max(passes) < LATE_S
            for _, writer in opened:
                writer.transport.abort()

    play(scene)


TOGETHER_MAX = 16_000_000
LONG = make_head("q1", "Content-Length: 4000000") + bytes(3_900_000)
BEHIND = make_head("q1") + (make_head("q2", "Content-Length: 10000") + bytes(10_000)) * 30
WHOLE = make_head("q1", "Content-Length: 250000") + bytes(250_000)


@pytest.mark.parametrize(
    ("callers", "sent"), [(10, LONG), (300, BEHIND), (90, WHOLE)], ids=["long", "behind", "whole"]
)
def test_what_all_callers_send_together_does_not_fill_the_memory(callers, sent):
    """Only what each connection may hold had a bound."""
    go_on = asyncio.Event()

    async def answer(exchange: Exchange) -> None:
        await go_on.wait()
        exchange.answer(200, b"")

    async def scene():
        route = {**ROUTE, "TimeoutMs": 20_000}
        async with run_edge(
            make_configuration(route), Replica("b1", slots=100, reply=answer)
        ) as edge:
            edge.node.received.bytes_max = TOGETHER_MAX
            opened = [
                await asyncio.open_connection(*edge.node.settings.callers) for _ in range(callers)
            ]
            held = 0
            for _, writer in opened:
                writer.write(sent)
                await asyncio.sleep(0.01)
                held = max(held, sum(count_held(each) for each in edge.node.connections))
            assert held <= TOGETHER_MAX + READ_BYTES + callers * SHORT_BYTES_MAX
            assert (await edge.ask("/none", b"x")).status == 404
            go_on.set()
            for _, writer in opened:
                writer.transport.abort()

    play(scene)


def test_requests_given_up_behind_one_in_progress_are_refused_after_its_answer():
    async def answer(exchange: Exchange) -> None:
        await asyncio.sleep(0.2)
        exchange.answer(200, b"first")

    async def scene():
        async with run_edge(make_configuration(ROUTE), Replica("b1", reply=answer)) as edge:
            edge.node.received.bytes_max = 0
            reader, writer, connection = await open_caller(edge)
            writer.write(make_head("q1"))
            await edge.wait_until(lambda: connection.requests == 1)
            writer.write(LONG)
            assert (await read_answer(reader)).body == b"first"
            refusal = await read_answer(reader)
            assert (refusal.status, refusal.headers["retry-after"]) == (503, "1.000")
            assert await reader.read() == b""
            writer.close()
            await edge.wait_until(lambda: not edge.node.connections)
            assert edge.node.received.total == 0

    play(scene)


@pytest.mark.parametrize(
    ("together_max", "unsent_max"),
    [(TOGETHER_MAX, UNSENT_BYTES_MAX), (0, PIPELINED_BYTES_MAX)],
    ids=["one", "all"],
)
def test_answers_that_their_caller_does_not_read_do_not_fill_the_memory(together_max, unsent_max):
    """The next request was answered whether or not the last answer had been taken."""
    length = 200_000

    async def answer(exchange: Exchange) -> None:
        exchange.answer(200, bytes(length))

    async def scene():
        async with run_edge(make_configuration(ROUTE), Replica("b1", reply=answer)) as edge:
            edge.node.received.bytes_max = together_max
            reader, writer, connection = await open_caller(edge)
            names = [f"q{number}" for number in range(120)]
            writer.write(b"".join(make_head(name) for name in names))
            unsent = 0
            for _ in range(100):
                await asyncio.sleep(0.01)
                unsent = max(unsent, connection.unsent_bytes)
            assert 0 < unsent <= unsent_max + BUFFERED_BYTES_MAX + PIPELINED_BYTES_MAX
            for name in names:
                got = await asyncio.wait_for(read_answer(reader), 5.0)
                assert (got.headers["rhubarbshed-request-id"], len(got.body)) == (name, length)
            writer.close()

    play(scene)


def test_connection_that_carries_long_ids_does_not_keep_them():
    channel = Channel()
    channel._transport = SimpleNamespace(
        write=len, is_closing=lambda: False, get_write_buffer_size=lambda: 0
    )
    tracemalloc.start()
    try:
        for number in range(100):
            channel.start(b"GET", b"/", ((b"host", b"a"),), b"", f"{number}" + "x" * 10_000)
            channel._parser = None
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held < 100_000
    assert channel.has_carried("7" + "x" * 10_000) and not channel.has_carried("7")


def test_long_head_within_the_limit_is_read_to_its_end():
    """Reading paused for the part of a head that the parser holds, and never went on."""

    async def scene():
        limits = {"MaxHeaderBytes": 262_144, "HeaderTimeoutMs": 2000}
        async with run_edge(make_configuration(ROUTE, Limits=limits), Replica("b1")) as edge:
            reader, writer, _ = await open_caller(edge)
            head = make_head("q1", *(f"X-{number}: {'x' * 1_000}" for number in range(120)))
            head = head.replace(b"/p/x", b"/no/route")
            for start in range(0, len(head), 30_000):
                writer.write(head[start : start + 30_000])
                await asyncio.sleep(0.02)
            assert (await asyncio.wait_for(read_answer(reader), 5.0)).status == 404
            writer.close()

    play(scene)
