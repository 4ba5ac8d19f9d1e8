"""Callers that disconnect from an instance on the platform: what servers still get and do."""

import asyncio
import logging
import random
import socket
import struct
import time

import pytest

from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.transport.edge.channels import Channel
from standin.replica import Exchange, Replica
from test.helper_edge import (
    HOST,
    Edge,
    make_configuration,
    make_engine_service,
    make_route,
    play,
    run_edge,
)

PLAIN = make_route("idempotent", "/p/")
STREAM = make_route("streaming", "/s/", Resumable=True, TargetGapMs=150, TimeoutMs=20_000)
ROUTES = (PLAIN, STREAM)

WORK_END_MAX_S = 0.5
"""Longest time that work may go on after its caller has disconnected."""

LATE_S = 0.6
"""Time for which the event loop of a late instance does nothing."""


def make_head(path: str, length: int = 0, request_id: str = "left", **headers: str) -> bytes:
    """Return the head of a request."""
    sent = {
        "Host": HOST,
        "Rhubarbshed-Request-Id": request_id,
        "Rhubarbshed-Deadline-Remaining": "15000",
        "Content-Length": str(length),
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    lines = [f"POST {path} HTTP/1.1", *(f"{name}: {text}" for name, text in sent.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def connect(edge: Edge, receive_bytes: int | None = None) -> socket.socket:
    """Return a caller's blocking socket; the event loop does not run meanwhile."""
    caller = socket.socket()
    if receive_bytes is not None:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    caller.connect(edge.node.settings.callers)
    return caller


async def keep_connection(edge: Edge) -> None:
    """Leave the instance with an idle connection to its server."""
    assert (await edge.ask("/p/x")).status == 200
    await edge.wait_until(lambda: edge.node.relay.open == 0)
    assert any(edge.node.pool.idle.values())


def list_reached(replica: Replica) -> list[str]:
    """Return the ids of the requests of disconnected callers that reached a replica."""
    return [each.request_id for each in replica.got if each.request_id == "left"]


async def keep_alive(exchange: Exchange) -> None:
    """Answer with a keep-alive time, so that the connection may be used again."""
    exchange.answer(200, b"done", "Keep-Alive: timeout=30")


@pytest.mark.parametrize("kept", [False, True], ids=["new connection", "kept connection"])
def test_request_read_late_is_not_sent_on_after_its_caller_left(kept):
    """A late loop finds the request and the end of its connection together."""

    async def scene():
        replica = Replica("b1", reply=keep_alive)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            await keep_connection(edge)
            caller = connect(edge)
            if kept:
                await asyncio.sleep(0.05)
            caller.sendall(make_head("/p/x"))
            caller.close()
            time.sleep(LATE_S)
            await asyncio.sleep(0.3)
            assert list_reached(replica) == []
            assert edge.node.relay.open == 0

    play(scene)


def test_waiting_request_is_not_sent_on_when_its_load_ends_as_its_caller_leaves():
    """A late loop finds the end of the load and of the connection together."""

    async def scene():
        replica = Replica("b1", models={"m2": []}, refuse_orders=True, reply=keep_alive)
        services = [make_engine_service({"m1": 0, "m2": 0})]
        async with run_edge(make_configuration(*ROUTES, Services=services), replica) as edge:
            assert (await edge.ask("/s/x", b"x", Rhubarbshed_Model="m2")).status == 200
            caller = connect(edge)
            caller.sendall(make_head("/s/x", Rhubarbshed_Model="m1"))
            await edge.wait_until(lambda: edge.node.relay.open == 1)
            await asyncio.sleep(0.15)
            caller.close()
            (record,) = edge.node.view.fleet.servers.values()
            record.held["m1"] = set()
            edge.node.view.changed.fire()
            await asyncio.sleep(0.3)
            assert list_reached(replica) == []

    play(scene)


def test_stream_ends_when_its_caller_leaves_without_having_read_it():
    """The caller's end must not wait for bytes that nobody reads."""
    ends: list[float] = []

    async def flood(exchange: Exchange) -> None:
        exchange.begin_stream()
        try:
            for number in range(2_000):
                exchange.send_chunk(f"id: {number}\ndata: {'x' * 8000}\n\n".encode())
                await asyncio.wait_for(exchange.writer.drain(), 30.0)
                await asyncio.sleep(0.001)
        except OSError:
            ends.append(time.monotonic())

    async def scene():
        replica = Replica("b1", reply=flood)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            caller = connect(edge, receive_bytes=4096)
            caller.sendall(make_head("/s/x"))
            await edge.wait_until(lambda: edge.node.relay.open == 1)
            await asyncio.sleep(1.0)
            caller.shutdown(socket.SHUT_WR)
            left_at = time.monotonic()
            await edge.wait_until(lambda: edge.node.relay.open == 0)
            await edge.wait_until(lambda: bool(ends))
            assert ends[0] - left_at < WORK_END_MAX_S
            caller.close()

    play(scene)


def test_request_ends_when_its_caller_leaves_after_sending_too_many_more():
    """A connection whose later requests are not read must still show its end."""

    async def hang(exchange: Exchange) -> None:
        await asyncio.sleep(30.0)

    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            caller = connect(edge)
            caller.sendall(make_head("/p/x"))
            await edge.wait_until(lambda: edge.node.relay.open == 1)
            caller.sendall(make_head("/p/x", length=100_000, request_id="next") + b"x" * 100_000)
            await asyncio.sleep(0.2)
            caller.close()
            left_at = time.monotonic()
            await edge.wait_until(lambda: edge.node.relay.open == 0)
            assert time.monotonic() - left_at < WORK_END_MAX_S

    play(scene)


def test_request_that_a_server_has_not_read_is_withdrawn_when_its_caller_leaves():
    """Bytes that wait in this instance's socket must not be delivered after the abort."""

    async def scene():
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        replica = Replica("b1")
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            host, port = listener.getsockname()
            edge.store.put("servers", "b1", replica.describe(Address=f"{host}:{port}", Seq=2))
            await asyncio.sleep(0.3)
            caller = connect(edge)
            body = b"x" * 150_000
            caller.sendall(make_head("/p/x", length=len(body)) + body)
            await edge.wait_until(lambda: edge.node.relay.open == 1)
            await asyncio.sleep(0.2)
            caller.close()
            await edge.wait_until(lambda: edge.node.relay.open == 0)
            assert len(read_all(listener)) < len(body)
        listener.close()

    play(scene)


def read_all(listener: socket.socket) -> bytes:
    """Accept a connection and return all bytes up to its end or reset."""
    connection, _ = listener.accept()
    data = b""
    try:
        while piece := connection.recv(65_536):
            data += piece
    except ConnectionResetError:
        pass
    connection.close()
    return data


@pytest.mark.parametrize("seed", range(20))
def test_nothing_is_sent_for_callers_that_left_while_the_loop_was_late(seed, monkeypatch):
    """Callers leave in every stage and manner, between passes of the loop that take long."""
    rng = random.Random(seed)
    sent_at: dict[str, float] = {}
    left_at: dict[str, float] = {}
    start = Channel.start

    def record_start(channel, method, target, headers, body, *request_id):
        sent_at[dict(headers).get(b"rhubarbshed-request-id", b"").decode()] = time.monotonic()
        start(channel, method, target, headers, body, *request_id)

    async def reply(exchange: Exchange) -> None:
        await asyncio.sleep(rng.uniform(0.0, 0.1))
        exchange.answer(200, b"done", "Keep-Alive: timeout=30")

    async def scene():
        replicas = [Replica(f"b{n}", slots=2, refuse_orders=True, reply=reply) for n in (1, 2)]
        services = [make_engine_service({"m1": 0, "m2": 0})]
        async with run_edge(make_configuration(*ROUTES, Services=services), *replicas) as edge:
            records = list(edge.node.view.fleet.servers.values())
            callers: dict[str, socket.socket] = {}
            for number in range(60):
                name = f"q{number}"
                model = {"Rhubarbshed_Model": "m1"} if rng.random() < 0.7 else {}
                path = rng.choice(("/p/x", "/s/x"))
                callers[name] = connect(edge)
                if rng.random() < 0.5:
                    await asyncio.sleep(0)
                callers[name].sendall(make_head(path, request_id=name, **model))
                for _ in range(rng.choice((0, 1, 2, 3, 8))):
                    await asyncio.sleep(0)
                if rng.random() < 0.3:
                    await asyncio.sleep(rng.uniform(0.0, 0.03))
                if rng.random() < 0.2:
                    change_held(rng.choice(records), edge)
                for leaving in rng.sample(sorted(callers), min(len(callers), rng.randrange(3))):
                    disconnect(callers.pop(leaving), rng)
                    left_at[leaving] = time.monotonic()
                if rng.random() < 0.5:
                    change_held(rng.choice(records), edge)
                if rng.random() < 0.3:
                    time.sleep(rng.uniform(0.0, 0.05))
            for name, caller in callers.items():
                disconnect(caller, rng)
                left_at[name] = time.monotonic()
            await edge.wait_until(lambda: edge.node.relay.open == 0, WORK_END_MAX_S)
            late = {name for name in left_at if sent_at.get(name, 0.0) > left_at[name]}
            assert not late

    monkeypatch.setattr(Channel, "start", record_start)
    play(scene)
    assert any(name in sent_at for name in left_at)


def change_held(record: ServerRecord, edge: Edge) -> None:
    """Load or unload the model m1 at a server, as this instance sees it."""
    if record.held.pop("m1", None) is None:
        record.held["m1"] = set()
    edge.node.view.changed.fire()


def disconnect(caller: socket.socket, rng: random.Random) -> None:
    """End a caller's connection: regularly, by a reset, or in its own direction only."""
    manner = rng.choice(("end", "reset", "half"))
    if manner == "half":
        caller.shutdown(socket.SHUT_WR)
        return
    if manner == "reset":
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


def test_line_of_a_disconnected_caller_names_its_stage_and_the_end_of_its_connection(caplog):
    """Without them, a close that was seen late looks like one that was not."""
    caplog.set_level(logging.INFO)

    async def hang(exchange: Exchange) -> None:
        await asyncio.sleep(30.0)

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1", reply=hang)) as edge:
            for reset in (False, True):
                caller = connect(edge)
                caller.sendall(make_head("/p/x"))
                await edge.wait_until(lambda: edge.node.relay.open == 1)
                await asyncio.sleep(0.1)
                if reset:
                    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                caller.close()
                await edge.wait_until(lambda: edge.node.relay.open == 0)

    play(scene)
    ends = [each.pairs for each in caplog.records if each.message == "request_ended"]
    assert [each["outcome"] for each in ends] == ["caller_gone"] * 2
    assert [(each["stage"], each["closed"]) for each in ends] == [
        ("response", "end"),
        ("response", "reset"),
    ]
    assert all(each["closed_ms"] < 100 and each["unsent_bytes"] == 0 for each in ends)


def test_late_event_loop_is_logged_and_counted(caplog):
    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1")) as edge:
            time.sleep(LATE_S)
            await asyncio.sleep(0.1)
            assert "rhubarbshed_loop_delay_seconds_count" in edge.node.metrics.render({}).decode()

    play(scene)
    delays = [each.pairs["delay_ms"] for each in caplog.records if each.message == "loop_late"]
    assert delays and max(delays) > 1000 * LATE_S / 2
