"""Answers whose status is not a final status of HTTP count as malformed in `rhubarbshed-front`.

A server in trouble answered with status 000, and a client took that for an answer.
"""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator

import pytest
from attrs import define, field
from returns.result import Failure

from rhubarbshed.platform.orders import make_health_call, make_order, make_report_call
from rhubarbshed.platform.rows import OWN_TABLE, make_commit, make_feed_read, make_read
from rhubarbshed.protocol.forwarding import DECLINED
from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.servers import OrderEnd, ServerOrder
from rhubarbshed.protocol.tables import TableFault, Transaction
from rhubarbshed.transport.edge import relay
from rhubarbshed.transport.edge.control import call
from rhubarbshed.transport.edge.pools import Pool
from rhubarbshed.transport.edge.request_progress import RequestProgress
from rhubarbshed.transport.edge.store import StoreClient
from standin.replica import Exchange, Replica
from test.helper_cuts import run_cut_scene
from test.helper_edge import (
    Answer,
    make_configuration,
    make_engine_service,
    make_route,
    play,
    run_edge,
)

STATUSES = ("000", "099", "100", "101", "103", "600", "999")
WITH_BODY = ("000", "099", "600", "999")
ROUTES = (
    make_route("idempotent", "/p/"),
    make_route("non_idempotent", "/u/", Attempts=1),
    make_route("streaming", "/s/", Resumable=True, Attempts=3, TargetGapMs=150),
    make_route("streaming", "/n/", Attempts=1, TargetGapMs=150),
)
PATHS = ("/p/x", "/u/x", "/s/x", "/n/x")
CONFIGURATION = make_configuration(*ROUTES)
ENGINES = make_configuration(*ROUTES, Services=[make_engine_service({"m1": 0, "m2": 0})])
EVENTS = 4
BODIES = {"short": 9, "long": 300_000}
"""Lengths of a body that is buffered and of one that is passed on as it arrives."""

NOT_RUN = ("Rhubarbshed-Not-Executed: 1", "Retry-After: 1")


def make_answer(status: str, length: int, *lines: str) -> bytes:
    """Return an answer; one with a status of interim responses consists of its head."""
    framing = [] if status.startswith("1") else [f"Content-Length: {length}"]
    body = b"" if status.startswith("1") else b"o" * length
    return "\r\n".join([f"HTTP/1.1 {status} X", *framing, *lines]).encode() + b"\r\n\r\n" + body


def make_events(first: int, last: int = EVENTS) -> bytes:
    return b"".join(f"id: {n}\ndata: t{n}\n\n".encode() for n in range(first, last + 1))


@define(eq=False)
class OddServer:
    """Reply with an odd status `times` times, else a sound one.

    With `begun` its first stream breaks off behind two events. `interim` comes before each sound
    answer.
    """

    status: str = "000"
    times: int = 1000
    length: int = BODIES["short"]
    lines: tuple[str, ...] = ()
    begun: bool = False
    interim: bytes = b""
    runs: int = 0
    odd: list[Exchange] = field(factory=list)

    async def __call__(self, exchange: Exchange) -> None:
        self.runs += 1
        if self.begun and self.runs == 1:
            exchange.begin_stream()
            exchange.send_event(1)
            exchange.send_event(2)
            await exchange.writer.drain()
            await asyncio.sleep(0.02)
            exchange.reset()
        elif len(self.odd) < self.times:
            await self.answer_oddly(exchange)
        else:
            self.answer_soundly(exchange)

    async def answer_oddly(self, exchange: Exchange) -> None:
        self.odd.append(exchange)
        named = f"Rhubarbshed-Request-Id: {exchange.request_id}"
        signed = f"Rhubarbshed-Response-Signature: sig-{exchange.replica.server_id}"
        exchange.write(make_answer(self.status, self.length, named, signed, *self.lines))
        if self.status.startswith("1"):
            await exchange.writer.drain()
            exchange.writer.close()

    def answer_soundly(self, exchange: Exchange) -> None:
        exchange.write(self.interim)
        if not exchange.target.startswith(("/s/", "/n/")):
            exchange.answer(200, exchange.body)
            return
        exchange.begin_stream()
        for number in range(int(exchange.headers.get("last-event-id", 0)) + 1, EVENTS + 1):
            exchange.send_event(number)
        exchange.end_stream()

    def are_closed(self) -> bool:
        """Return whether the connections of all odd answers are closed."""
        return all(each.writer not in each.replica._writers for each in self.odd)


async def ask(server: OddServer, path: str, servers: int = 3) -> Answer:
    """Send a request; the connections that carried odd answers have to be closed behind it."""
    replicas = [Replica(f"b{number}", reply=server) for number in range(servers)]
    async with run_edge(CONFIGURATION, *replicas) as edge:
        answer = await edge.ask(path, b"x")
        await edge.wait_until(server.are_closed)
        return answer


def is_whole(path: str, answer: Answer) -> bool:
    body = make_events(1) if path in ("/s/x", "/n/x") else b"x"
    return (answer.status, answer.whole, answer.body) == (200, True, body)


@pytest.mark.parametrize("lines", [(), NOT_RUN], ids=["answer", "refusal"])
@pytest.mark.parametrize("length", BODIES.values(), ids=BODIES)
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("status", STATUSES)
def test_odd_status_of_all_servers_is_answered_by_502(status, path, length, lines):
    """Callers got 600 and 999 as answers, and an unsafe request was sent to three servers."""

    async def scene():
        server = OddServer(status, length=length, lines=lines)
        answer = await ask(server, path)
        runs = {"/p/x": 2, "/s/x": 3}.get(path, 1)
        assert (answer.status, answer.whole, server.runs) == (502, True, runs)

    play(scene)


@pytest.mark.parametrize("lines", [(), NOT_RUN], ids=["answer", "refusal"])
@pytest.mark.parametrize("path", ["/p/x", "/s/x"])
@pytest.mark.parametrize("status", STATUSES)
def test_request_that_may_be_repeated_is_sent_again_behind_an_odd_status(status, path, lines):
    async def scene():
        server = OddServer(status, times=1, lines=lines)
        answer = await ask(server, path)
        assert is_whole(path, answer) and server.runs == 2

    play(scene)


@pytest.mark.parametrize("lines", [(), NOT_RUN], ids=["answer", "refusal"])
@pytest.mark.parametrize("times", [1, 1000], ids=["once", "always"])
@pytest.mark.parametrize("status", STATUSES)
def test_stream_that_broke_off_does_not_end_with_an_odd_status(status, times, lines):
    async def scene():
        server = OddServer(status, times=times, lines=lines, begun=True)
        answer = await ask(server, "/s/x")
        if times == 1:
            assert is_whole("/s/x", answer)
        else:
            assert (answer.status, answer.whole, answer.body) == (200, False, make_events(1, 2))
        assert server.runs == 3

    play(scene)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("lines", [(), NOT_RUN], ids=["plain", "not run"])
@pytest.mark.parametrize("status", ["100", "102", "103"])
def test_interim_head_before_an_answer_is_skipped(status, lines, path):
    async def scene():
        server = OddServer(times=0, interim=make_answer(status, 0, *lines) * 2)
        assert is_whole(path, await ask(server, path)) and server.runs == 1

    play(scene)


OTHERS = {
    "unsigned": [],
    "signed": [b"Rhubarbshed-Response-Signature: sig"],
    "declined": [DECLINED + b": full"],
    "refused": [each.encode() for each in NOT_RUN],
}


def answer_for_another_instance(head: bytes, times: int, taken: list[str], real):
    """Return what other instances do with a request: answer `times` times with `head`."""

    async def run(progress: RequestProgress) -> None:
        if progress.forwarded_by:
            taken.append(progress.request.request_id)
        if not progress.forwarded_by or len(taken) > times:
            await real(progress)
            return
        named = b"Rhubarbshed-Request-Id: " + progress.request.request_id.encode()
        progress.connection._write(head.replace(b"\r\n", b"\r\n" + named + b"\r\n", 1))
        progress.connection._transport.close()

    return run


@pytest.mark.parametrize("status", STATUSES)
def test_odd_status_of_another_instance_is_no_answer_and_no_refusal(status, monkeypatch):
    """Callers got a 600 of a signed answer; a declined one counted as not run."""
    real = relay.run_request

    async def ask_cut_off(cuts, lines: list[bytes], path: str, times: int) -> tuple[Answer, int]:
        texts = [each.decode() for each in lines]
        taken: list[str] = []
        run = answer_for_another_instance(make_answer(status, 9, *texts), times, taken, real)
        monkeypatch.setattr(relay, "run_request", run)
        return await cuts.ask("a1", path, b"x"), len(taken)

    async def scene():
        async with run_cut_scene() as cuts:
            await cuts.cut("reset", "a1")
            for name, lines in OTHERS.items():
                for path in PATHS:
                    answer, taken = await ask_cut_off(cuts, lines, path, 1000)
                    runs = 1 if path in ("/u/x", "/n/x") else 2
                    assert (answer.status, taken) == (502, runs), (name, path)
                for path in ("/p/x", "/s/x"):
                    answer, taken = await ask_cut_off(cuts, lines, path, 1)
                    assert (answer.status, answer.whole, taken) == (200, True, 2), (name, path)

    play(scene)


def test_odd_status_of_a_server_is_answered_by_502_by_way_of_another_instance():
    async def scene():
        async with run_cut_scene() as cuts:
            await cuts.cut("reset", "a1")
            for status in STATUSES:
                server = OddServer(status, lines=NOT_RUN)
                for replica in cuts.crashes.replicas.values():
                    replica.reply = server
                for path in PATHS:
                    server.runs = 0
                    answer = await cuts.ask("a1", path, b"x")
                    assert answer.status == 502 and server.runs > 0, (status, path)
                    assert server.runs == 1 or path in ("/p/x", "/s/x"), status

    play(scene)


class OddReplica(Replica):
    """Replica whose health checks, reports and orders are answered with the status `odd`."""

    odd = ""

    async def _route(self, exchange: Exchange) -> None:
        is_call = exchange.target == "/health" or exchange.target.startswith("/rhubarbshed/")
        if not self.odd or not is_call:
            await super()._route(exchange)
            return
        body = json.dumps(self._report()).encode()
        exchange.write(make_answer(self.odd, len(body), "Server-Leaving: 1")[: -len(body)])
        exchange.write(body)
        exchange.writer.close()


@pytest.mark.parametrize("is_engine", [False, True], ids=["plain", "engine"])
@pytest.mark.parametrize("status", WITH_BODY)
def test_health_check_with_an_odd_status_is_no_sign_of_life(status, is_engine):
    """A 600 showed that a server had not ended, and that it was leaving."""

    async def scene():
        replica = OddReplica("b1", models={"m1": []} if is_engine else {})
        async with run_edge(ENGINES if is_engine else CONFIGURATION, replica) as edge:
            record = edge.node.view.fleet.get("b1")
            service = edge.node.view.configuration.services["svc"]
            checks = edge.node.crashes.checks
            assert await checks.confirm_running(record, service)
            replica.odd = status
            assert not await checks.confirm_running(record, service)
            assert not await checks.has_restarted(record, service)
            assert record.leaving_at is None

    play(scene)


@pytest.mark.parametrize("status", WITH_BODY)
def test_order_or_report_with_an_odd_status_shows_nothing(status):
    async def scene():
        replica = OddReplica("b1", models={"m1": []})
        async with run_edge(ENGINES, replica) as edge:
            dispatcher, record = edge.node.dispatcher, edge.node.view.fleet.get("b1")
            await edge.wait_until(lambda: "b1" in dispatcher.engine_states)
            await edge.wait_until(lambda: dispatcher.engine_states["b1"].orders == 0)
            await edge.wait_until(dispatcher.may_order)
            replica.odd, replica.orders = status, 7
            order = ServerOrder(OrderKind.LOAD, "m2", "i1", 1, "", 0)
            assert await dispatcher.call_engine(record, order) is OrderEnd.UNKNOWN
            await dispatcher.read_report("b1")
            assert dispatcher.engine_states["b1"].orders == 0
            assert record.leaving_at is None

    play(scene)


CALLS = {
    "health": make_health_call("x", "/health"),
    "report": make_report_call("x"),
    "order": make_order(ServerOrder(OrderKind.LOAD, "m1", "i1", 1), "x"),
    "page": make_read(OWN_TABLE),
    "changes": make_feed_read(OWN_TABLE, 1, 1.0),
    "commit": make_commit(OWN_TABLE, Transaction((), ())),
}
PAGE = b'{"Rows": [], "Ver": 5, "NowMs": 5}'


@contextlib.asynccontextmanager
async def run_answering(data: bytes) -> AsyncIterator[tuple[str, int]]:
    """Run a server that gives the same answer to each request; return its address."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await writer.drain()
        writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        yield server.sockets[0].getsockname()


@pytest.mark.parametrize("kind", CALLS)
@pytest.mark.parametrize("status", STATUSES)
def test_call_that_is_answered_with_an_odd_status_has_an_unknown_outcome(status, kind):
    async def scene():
        async with run_answering(make_answer(status, 9)) as address:
            pool = Pool(1.0)
            result = await call(pool, address, CALLS[kind], 1.0)
            assert isinstance(result, Failure) and result.failure().fault is TableFault.UNKNOWN
            assert not pool.idle

    play(scene)


@pytest.mark.parametrize("status", STATUSES)
def test_answer_of_the_store_with_an_odd_status_is_none(status):
    """Its era was taken over from a 600, so that later answers counted as outdated."""

    async def scene():
        odd = make_answer(status, len(PAGE), "Store-Era: 7").replace(b"o" * len(PAGE), PAGE)
        async with run_answering(odd) as address:
            store = StoreClient(address, Pool(1.0))
            assert isinstance(await store.read_all(OWN_TABLE), Failure)
            assert isinstance(await store.follow(OWN_TABLE, 1, 0.1), Failure)
            commit = await store.commit(OWN_TABLE, Transaction((), ()))
            assert commit.failure().fault is TableFault.UNKNOWN
            assert store.era == 0

    play(scene)
