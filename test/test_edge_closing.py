"""Connections that an instance closes: what was written arrives, what was sent is answered."""

import asyncio
import logging
import os
import signal
import socket
import time

import pytest

from rhubarbshed.coordination.requests.drain import DRAINING_MESSAGE
from rhubarbshed.transport.edge import caller_connections, final_answers, node, relay
from rhubarbshed.transport.edge.caller_connections import CallerConnection
from rhubarbshed.transport.edge.request_progress import RequestProgress
from rhubarbshed.transport.edge.sockets import LINGER_NONE
from rhubarbshed.transport.edge.view import ANNOUNCE_S as ANNOUNCED_S
from standin.replica import Exchange, Replica
from test.helper_edge import Edge, make_configuration, play, read_answer, run_edge
from test.test_edge_drain import (
    ANNOUNCE_S,
    CLOSE_S,
    DRAIN_S,
    ROUTES,
    Caller,
    block_until,
    check_not_run,
    connect,
    find_lines,
    hang,
    make_request,
    stop,
)

WAIT_S = 3.0
SHORT_TIMEOUTS = {
    "MaxHeaderBytes": 16_384,
    "MaxBodyBytes": 100_000,
    "HeaderTimeoutMs": 300,
    "IdleTimeoutMs": 300,
}


def make_part_of_head_request() -> bytes:
    """Return a HEAD request whose body is not whole."""
    return make_request("/p/x", b"whole").replace(b"POST", b"HEAD")[:-2]


def test_refusal_of_a_head_request_in_part_arrives_and_ends_its_connection():
    """It had a body, which the parser does not send for HEAD: neither came."""

    async def scene():
        limits = {"Limits": SHORT_TIMEOUTS}
        async with run_edge(make_configuration(*ROUTES, **limits), Replica("b1")) as edge:
            caller = await Caller.connect(edge)
            caller.send(make_part_of_head_request())
            data = await asyncio.wait_for(caller.reader.read(), WAIT_S)
            head, _, body = data.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 408 ") and not body

    play(scene)


def test_head_request_in_part_at_the_end_of_the_drain_leaves_other_requests_answered():
    """Its refusal raised an exception, which ended the drain before the others."""

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1", reply=hang)) as edge:
            callers = [await Caller.connect(edge) for _ in range(4)]
            for caller in callers[:-2]:
                caller.send(make_part_of_head_request())
            for caller in callers[-2:]:
                caller.send(make_request("/p/x", b"whole")[:-2])
            await asyncio.sleep(0.05)
            stop(edge)
            for answer in [await read_answer(caller.reader) for caller in callers[-2:]]:
                assert answer.whole and answer.status == 503
            assert await edge.task == node.EXIT_OK

    play(scene)


@pytest.mark.parametrize("part", ("refusal", "answer"))
def test_defect_at_the_end_of_the_drain_leaves_other_requests_answered(part, monkeypatch, caplog):
    """An exception at one connection or request ended the drain before the others."""
    owner, name = (
        (CallerConnection, "refuse") if part == "refusal" else (final_answers, "answer_error")
    )
    real, failed = getattr(owner, name), []

    def fail_once(self, *args: object) -> None:
        if not failed:
            failed.append(self)
            raise KeyError("defect")
        real(self, *args)

    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            callers = [await Caller.connect(edge) for _ in range(4)]
            for caller in callers:
                data = make_request("/p/x", b"whole")
                caller.send(data[:-2] if part == "refusal" else data)
            await asyncio.sleep(0.1)
            stop(edge)
            monkeypatch.setattr(owner, name, fail_once)
            answers = await asyncio.gather(*(read_answer(caller.reader) for caller in callers))
            assert sorted(answer.whole for answer in answers) == [False, True, True, True]
            assert await edge.task == node.EXIT_OK

    play(scene)
    assert "event=defect" in caplog.text


def read_statuses(socks: list[socket.socket]) -> list[bytes]:
    """Return the first bytes of the answer on each connection, or the error in place of it."""
    got = []
    for sock in socks:
        sock.settimeout(1.0)
        try:
            got.append(sock.recv(4096)[:12])
        except OSError as error:
            got.append(repr(error).encode())
        sock.close()
    return got


@pytest.mark.parametrize("length", (None, 40), ids=("whole", "part"))
@pytest.mark.parametrize("way", ("first_check", "end"))
def test_request_that_arrives_as_idle_connections_are_closed_is_refused(way, length, monkeypatch):
    """It was in the kernel but not read yet, and the close reset its connection."""
    monkeypatch.setattr(caller_connections, "FIRST_REQUEST_S", 0.0)
    name = "close_idle" if way == "first_check" else "cut_off"
    real = getattr(node.Node, name)
    socks: list[socket.socket] = []

    def close_late(self, *args: object) -> None:
        for sock in socks:
            sock.sendall(make_request("/p/x")[:length])
        monkeypatch.setattr(node.Node, name, real)
        time.sleep(0.05)
        real(self, *args)

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1", reply=hang)) as edge:
            if way == "end":
                monkeypatch.setattr(node.Node, "close_idle", lambda self: None)
            socks.extend(socket.create_connection(edge.node.settings.callers) for _ in range(5))
            await asyncio.sleep(0.05)
            monkeypatch.setattr(node.Node, name, close_late)
            stop(edge)
            await edge.task
            assert read_statuses(socks) == [b"HTTP/1.1 503"] * 5

    play(scene)


def read_to_end(sock: socket.socket) -> bytes:
    """Return the first bytes that are read up to the end of a connection, which has to come."""
    sock.settimeout(1.0)
    with sock, sock.makefile("rb") as file:
        return file.read()[:12]


def test_callers_see_the_close_of_an_idle_connection_before_the_next_pass(monkeypatch):
    """A request that was sent before a late loop came to that pass was reset after it."""
    monkeypatch.setattr(caller_connections, "FIRST_REQUEST_S", 0.0)
    real, seen = node.Node.close_idle, []
    socks: list[socket.socket] = []

    def close_and_be_late(self) -> None:
        real(self)
        seen.extend(map(read_to_end, socks))
        socks.clear()

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1")) as edge:
            socks.extend(socket.create_connection(edge.node.settings.callers) for _ in range(3))
            await asyncio.sleep(0.05)
            monkeypatch.setattr(node.Node, "close_idle", close_and_be_late)
            stop(edge)
            await edge.task
            assert seen == [b"HTTP/1.1 503"] * 3

    play(scene)


def test_reset_that_crosses_the_close_of_its_connection_leaves_the_drain_running(monkeypatch):
    monkeypatch.setattr(caller_connections, "FIRST_REQUEST_S", 0.0)
    socks: list[socket.socket] = []

    def reset_all(sock: socket.socket) -> bool:
        while socks:
            caller = socks.pop()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            caller.close()
        return False

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1")) as edge:
            socks.extend(socket.create_connection(edge.node.settings.callers) for _ in range(3))
            await asyncio.sleep(0.05)
            monkeypatch.setattr(caller_connections, "has_unread_bytes", reset_all)
            stop(edge)
            assert await edge.task == node.EXIT_OK
            assert not socks and not edge.node.connections

    play(scene)


@pytest.mark.parametrize("passes", (0, 1, 2))
def test_request_on_a_connection_made_as_the_listener_closes_is_refused(passes, monkeypatch):
    """Its connection was closed in the pass in which it could first be read, or never accepted."""
    real = node.Node.stop_accepting
    socks: list[socket.socket] = []

    async def stop_accepting(self) -> None:
        for _ in range(5):
            sock = socket.create_connection(self.settings.callers)
            sock.sendall(make_request("/p/x"))
            socks.append(sock)
        for _ in range(passes):
            await asyncio.sleep(0)
        await real(self)

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1", reply=hang)) as edge:
            monkeypatch.setattr(node.Node, "stop_accepting", stop_accepting)
            stop(edge)
            await edge.task
            assert read_statuses(socks) == [b"HTTP/1.1 503"] * 5

    play(scene)


def test_request_on_a_connection_made_behind_the_last_accept_is_refused(monkeypatch):
    """It was established, and reset as the listener closed; a busy processor made many of them."""
    real = asyncio.Server.close
    socks: list[socket.socket] = []

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1", reply=hang)) as edge:
            settings = edge.node.settings

            def close(self) -> None:
                if edge.node.stop.is_set() and not socks:
                    socks.extend(socket.create_connection(settings.callers) for _ in range(5))
                    for sock in socks:
                        sock.sendall(make_request("/p/x"))
                real(self)

            monkeypatch.setattr(asyncio.Server, "close", close)
            stop(edge)
            await edge.task
            assert read_statuses(socks) == [b"HTTP/1.1 503"] * 5

    play(scene)


async def read_all(sock: socket.socket) -> bytes:
    """Return what comes on a connection up to its regular end or a reset."""
    loop, got = asyncio.get_running_loop(), b""
    async with asyncio.timeout(WAIT_S):
        try:
            while data := await loop.sock_recv(sock, 65_536):
                got += data
        except ConnectionError as error:
            got += repr(error).encode()
    sock.close()
    return got


def open_slow(edge: Edge) -> socket.socket:
    """Return a caller's non-blocking connection with a short buffer for what it receives."""
    caller = connect(edge, 4096)
    caller.setblocking(False)
    return caller


def test_close_behind_an_answer_leaves_it_whole_beside_a_next_request(monkeypatch):
    """Bytes of the next request were in the kernel: the close reset the answer's tail."""
    length = 150_000

    async def stream(exchange: Exchange) -> None:
        exchange.begin_stream()
        exchange.send_event(0)
        await asyncio.sleep(ANNOUNCE_S + 0.1)
        exchange.send_chunk(b"id: 1\ndata: " + b"x" * length + b"\n\n")
        exchange.end_stream()

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1", reply=stream)) as edge:
            caller = open_slow(edge)
            real = CallerConnection._finish

            def finish(self, task: asyncio.Task) -> None:
                caller.send(make_request("/p/x", name="next"))
                real(self, task)

            monkeypatch.setattr(CallerConnection, "_finish", finish)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(caller, make_request("/s/x"))
            await edge.wait_until(lambda: edge.node.relay.open == 1)
            stop(edge)
            await asyncio.sleep(ANNOUNCE_S + 0.2)
            got = await read_all(caller)
            assert got.count(b"x" * length) == 1 and b"Error" not in got
            assert b"\r\n0\r\n\r\n" in got

    play(scene)


def test_close_behind_an_answer_leaves_it_whole_though_reading_is_paused():
    """So many bytes were pipelined that reading paused: the close reset the answer's tail."""
    length = 150_000

    async def answer(exchange: Exchange) -> None:
        await asyncio.sleep(0.2)
        exchange.answer(200, bytes(length))

    async def scene():
        replica = Replica("b1", reply=answer)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            caller = open_slow(edge)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(caller, make_request("/p/x"))
            await edge.wait_until(lambda: len(replica.got) == 1)
            stop(edge)
            for _ in range(20):
                await loop.sock_sendall(caller, make_request("/p/x", bytes(10_000), "next"))
            await asyncio.sleep(0.3)
            got = await read_all(caller)
            assert got.startswith(b"HTTP/1.1 200 ") and b"Error" not in got
            assert got.count(bytes(length)) == 1

    play(scene)


def test_whole_request_behind_an_answer_with_close_is_refused():
    """It had been read and got neither an answer nor a refusal."""

    async def answer(exchange: Exchange) -> None:
        await asyncio.sleep(0.1)
        exchange.answer(200, b"ok")

    async def scene():
        replica = Replica("b1", reply=answer)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            caller = await Caller.connect(edge)
            caller.send(make_request("/p/x", name="first"))
            await edge.wait_until(lambda: len(replica.got) == 1)
            stop(edge)
            caller.send(make_request("/p/x"))
            first, second = await read_answer(caller.reader), await read_answer(caller.reader)
            assert first.whole and first.status == 200
            assert second.whole and second.status == 503

    play(scene)


def test_error_at_the_end_of_the_drain_arrives_beside_a_next_request(monkeypatch):
    """Bytes of the next request were in the kernel: the close reset the error on its way."""

    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            caller = await Caller.connect(edge)
            real = relay.cut_off_request

            def cut_off(progress: RequestProgress) -> None:
                caller.writer.write(make_request("/p/x", name="next"))
                real(progress)

            monkeypatch.setattr(relay, "cut_off_request", cut_off)
            caller.send(make_request("/p/x"))
            await edge.wait_until(lambda: len(replica.got) == 1)
            stop(edge)
            answer = await read_answer(caller.reader)
            assert (answer.status, answer.whole) == (504, True)
            assert await caller.reader.read() == b""

    play(scene)


@pytest.mark.parametrize("late_s", (0.2, 0.6))
def test_request_sent_3_s_after_a_signal_seen_late_does_not_run(late_s):
    """It was accepted, and cut off at the end of the drain: the 3 s began as the loop woke up."""
    bound_s = 3.0

    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            drain = edge.node.view.drain
            drain.announce_s, drain.drain_s = ANNOUNCED_S, 0.3
            caller = await Caller.connect(edge)
            os.kill(os.getpid(), signal.SIGTERM)
            signalled_at = time.monotonic()
            time.sleep(late_s)
            await asyncio.sleep(signalled_at + bound_s + 0.01 - time.monotonic())
            check_not_run(await caller.ask(), replica)
            await edge.task

    play(scene)


def test_request_read_beside_a_signal_seen_after_the_announcement_does_not_run():
    """The loop read it in the pass that found the signal, and began the drain in the next one."""

    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            drain = edge.node.view.drain
            drain.announce_s, drain.drain_s = ANNOUNCE_S, DRAIN_S
            sock = socket.create_connection(edge.node.settings.callers)
            await asyncio.sleep(0.05)
            os.kill(os.getpid(), signal.SIGTERM)
            block_until(time.monotonic() + ANNOUNCE_S + 0.01)
            sock.sendall(make_request("/p/x"))
            caller = await Caller.take_over(sock)
            check_not_run(await read_answer(caller.reader), replica)
            await edge.task

    play(scene)


def test_exit_does_not_print_the_instance(monkeypatch):
    """The signal module prints handlers that it replaces, a bound method with all its object."""
    printed: list[node.Node] = []
    monkeypatch.setattr(node.Node, "__repr__", lambda self: printed.append(self) or "node")

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1")) as edge:
            stop(edge)
            await edge.task

    play(scene)
    assert not printed


def test_stream_cut_off_is_reset_though_its_end_is_that_of_its_connection():
    """To a caller of HTTP/1.0 a stream that is cut off by a regular end looks complete."""

    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            caller = await Caller.connect(edge)
            caller.send(make_request("/s/5").replace(b"HTTP/1.1", b"HTTP/1.0"))
            await edge.wait_until(lambda: len(replica.got) == 1)
            await asyncio.sleep(0.05)
            stop(edge)
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(caller.reader.read(), WAIT_S)

    play(scene)


@pytest.mark.parametrize(
    ("reason", "state"),
    [
        ("idle_time", "idle"),
        ("drain", "idle"),
        ("last_answer", "idle"),
        ("refused", "body"),
        ("cut_off", "answering"),
        ("aborted", "answering"),
    ],
)
def test_log_shows_why_a_connection_was_closed(reason, state, caplog):
    """A request that crossed a close looked like one that was read and lost."""
    caplog.set_level(logging.DEBUG)
    path = "/s/5" if reason == "aborted" else "/p/x"

    async def scene():
        short = reason in ("idle_time", "refused")
        limits = {"Limits": SHORT_TIMEOUTS} if short else {}
        reply = hang if state == "answering" else None
        async with run_edge(
            make_configuration(*ROUTES, **limits), Replica("b1", reply=reply)
        ) as edge:
            caller = await Caller.connect(edge)
            if state == "idle":
                assert (await caller.ask()).whole
            if reason == "last_answer":
                caller.send(make_request("/p/x").replace(b"Host", b"Connection: close\r\nHost"))
            elif state != "idle":
                data = make_request(path, b"whole")
                caller.send(data[:-2] if state == "body" else data)
            await asyncio.sleep(0.1)
            if not short and reason != "last_answer":
                stop(edge)
            await edge.wait_until(lambda: bool(find_lines(caplog, "connection_closed")))
            metrics = edge.node.metrics.render({}).decode()
            assert f'connections_closed_total{{reason="{reason}"}} 1.0' in metrics
            caller.writer.close()

    play(scene)
    (line,) = find_lines(caplog, "connection_closed")
    assert (line["reason"], line["state"]) == (reason, state)
    assert line["status"] == {"refused": 408, "idle_time": 408, "drain": 503}.get(reason, "")
    assert line["conn_requests"] == {"last_answer": 2, "refused": 0}.get(reason, 1)
    assert (line["unparsed_bytes"], line["unread_bytes"], line["unsent_bytes"]) == (0, 0, 0)
    assert (line["stopping_ms"] == "") == (reason in ("idle_time", "last_answer", "refused"))


def test_log_shows_bytes_that_arrive_after_a_close(caplog):
    caplog.set_level(logging.INFO)

    async def scene():
        limits = {"Limits": {**SHORT_TIMEOUTS, "MaxBodyBytes": 100}}
        async with run_edge(make_configuration(*ROUTES, **limits), Replica("b1")) as edge:
            caller = await Caller.connect(edge)
            caller.send(make_request("/p/x", bytes(1_000))[:-1_000])
            assert (await read_answer(caller.reader)).status == 413
            await asyncio.sleep(0.1)
            caller.send(bytes(1_000))
            await asyncio.sleep(0.1)
            caller.writer.close()
            await edge.wait_until(lambda: bool(find_lines(caplog, "connection_late_bytes")))

    play(scene)
    (line,) = find_lines(caplog, "connection_late_bytes")
    assert (line["reason"], line["late_bytes"], line["conn_requests"]) == ("refused", 1_000, 0)
    assert 90 <= line["first_ms"] <= line["after_ms"] - 90


@pytest.mark.parametrize("requests", (0, 1))
@pytest.mark.parametrize(("reason", "status"), [("idle_time", 408), ("drain", 503)])
def test_request_that_crosses_the_close_of_an_idle_connection_is_refused(
    reason, status, requests, caplog
):
    """It got the end of its connection, or a reset: its caller could not tell whether it ran."""
    caplog.set_level(logging.INFO)

    async def scene():
        replica = Replica("b1")
        limits = {"Limits": SHORT_TIMEOUTS} if reason == "idle_time" else {}
        async with run_edge(make_configuration(*ROUTES, **limits), replica) as edge:
            sock = socket.create_connection(edge.node.settings.callers)
            for _ in range(requests):
                sock.sendall(make_request("/p/x", name="first"))
                await edge.wait_until(lambda: bool(find_lines(caplog, "request_ended")))
                assert sock.recv(4096).startswith(b"HTTP/1.1 200 ")
            if reason == "drain":
                await asyncio.sleep(0.05)
                stop(edge)
            await edge.wait_until(lambda: bool(find_lines(caplog, "connection_closed")))
            data = make_request("/p/x", b"whole")
            sock.sendall(data[:-2])
            await asyncio.sleep(0.02)
            sock.sendall(data[-2:])
            await asyncio.sleep(0.02)
            answer = await read_all(sock)
            assert answer.startswith(f"HTTP/1.1 {status} ".encode()) and b"Error" not in answer
            assert b"\r\nretry-after: " in answer and b"\r\nconnection: close\r\n" in answer
            assert "asked" not in [each.request_id for each in replica.got]

    play(scene)
    (line,) = find_lines(caplog, "connection_closed")
    assert (line["reason"], line["state"], line["status"]) == (reason, "idle", status)
    (late,) = find_lines(caplog, "connection_late_bytes")
    assert late["late_bytes"] == len(make_request("/p/x", b"whole"))


def test_caller_that_leaves_as_its_idle_connection_is_closed_leaves_others_answered(monkeypatch):
    """The end of the own direction raised an exception, which ended the drain before the others."""
    monkeypatch.setattr(caller_connections, "FIRST_REQUEST_S", 0.0)
    real, ended = caller_connections.has_unread_bytes, []

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1", reply=hang)) as edge:
            idle = socket.create_connection(edge.node.settings.callers)
            caller = await Caller.connect(edge)
            caller.send(make_request("/p/x"))
            await edge.wait_until(lambda: edge.node.relay.open == 1)

            def check(sock: socket.socket) -> bool:
                found = real(sock)
                ended.append(idle.close())
                return found

            monkeypatch.setattr(caller_connections, "has_unread_bytes", check)
            stop(edge)
            answer = await read_answer(caller.reader)
            assert (answer.status, answer.whole) == (504, True)
            assert await edge.task == node.EXIT_OK and ended

    play(scene)


def test_new_connection_has_a_bounded_time_for_its_first_request_in_a_drain(monkeypatch, caplog):
    """It was closed some ms after it was made, and the request of its caller crossed the close."""
    caplog.set_level(logging.INFO)
    bound_s = 0.4
    monkeypatch.setattr(caller_connections, "FIRST_REQUEST_S", bound_s)

    async def scene():
        replica = Replica("b1")
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            kept = await Caller.connect(edge)
            assert (await kept.ask(name="first")).whole
            over_at = stop(edge, drain_s=WAIT_S)
            await asyncio.sleep(ANNOUNCE_S - 0.05)
            asking, silent = await Caller.connect(edge), await Caller.connect(edge)
            made_at = time.monotonic()
            assert (await read_answer(kept.reader)).status == 503
            assert time.monotonic() < over_at + 0.1
            await asyncio.sleep(made_at + bound_s / 2 - time.monotonic())
            answer = await asking.ask()
            check_not_run(answer, replica)
            assert DRAINING_MESSAGE.encode() in answer.body
            assert (await read_answer(silent.reader)).status == 503
            assert made_at + bound_s - 0.01 < time.monotonic() < made_at + bound_s + 0.1
            assert await edge.task == node.EXIT_OK
            assert time.monotonic() < made_at + bound_s + CLOSE_S

    play(scene)
    assert [each["conn_requests"] for each in find_lines(caplog, "connection_closed")] == [1, 1, 0]
    assert not find_lines(caplog, "connection_late_bytes")
