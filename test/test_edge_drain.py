"""Requests that come while an instance on the platform stops: each is answered or never run."""

import asyncio
import logging
import random
import socket
import time

import pytest

from rhubarbshed.transport.edge import node, request_steps
from standin.replica import Exchange, Replica
from test.helper_edge import (
    HOST,
    Answer,
    Edge,
    make_configuration,
    make_route,
    play,
    read_answer,
    run_edge,
)

PLAIN = make_route("idempotent", "/p/")
STREAM = make_route("streaming", "/s/", Resumable=True, TargetGapMs=150, TimeoutMs=20_000)
ROUTES = (PLAIN, STREAM)

ANNOUNCE_S = 0.3
"""Time in which a stopping instance of these tests still accepts requests."""

DRAIN_S = 0.5
"""Longest time that an instance of these tests then waits for open requests."""


CLOSE_S = 0.3
"""Longest time that an instance of these tests takes to close and end after its drain."""


def make_request(path: str, body: bytes = b"", name: str = "asked") -> bytes:
    """Return a request as a caller sends it."""
    sent = {
        "Host": HOST,
        "Rhubarbshed-Request-Id": name,
        "Rhubarbshed-Deadline-Remaining": "15000",
        "Content-Length": str(len(body)),
    }
    lines = [f"POST {path} HTTP/1.1", *(f"{field}: {text}" for field, text in sent.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def connect(edge: Edge, receive_bytes: int) -> socket.socket:
    """Return a caller's socket with a short buffer for what it receives."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    caller.connect(edge.node.settings.callers)
    return caller


def stop(edge: Edge, announce_s: float = ANNOUNCE_S, drain_s: float = DRAIN_S) -> float:
    """Request a stop with short times; return the time at which the announcement ends."""
    edge.node.view.drain.announce_s, edge.node.view.drain.drain_s = announce_s, drain_s
    edge.node.stop.set()
    return time.monotonic() + announce_s


class Caller:
    """Caller with one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, edge: Edge) -> "Caller":
        """Open a connection to an instance."""
        return cls(*await asyncio.open_connection(*edge.node.settings.callers))

    @classmethod
    async def take_over(cls, sock: socket.socket) -> "Caller":
        """Go on with a connection that was opened while the event loop did not run."""
        sock.setblocking(False)
        return cls(*await asyncio.open_connection(sock=sock))

    def send(self, data: bytes) -> None:
        """Send bytes without waiting."""
        self.writer.write(data)

    async def ask(self, path: str = "/p/x", name: str = "asked") -> Answer:
        """Send a request and read its answer as far as it comes."""
        self.send(make_request(path, name=name))
        return await read_answer(self.reader)


def find_lines(caplog, event: str) -> list[dict]:
    """Return the fields of an event's log lines."""
    return [each.pairs for each in caplog.records if each.message == event]


def test_log_tells_requests_of_a_drain_from_those_before(caplog):
    """Without these fields one instance's log cannot tell why a request of a drain was lost."""
    caplog.set_level(logging.INFO)

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1")) as edge:
            kept, idle = await Caller.connect(edge), await Caller.connect(edge)
            assert (await kept.ask(name="q1")).whole
            stop(edge)
            await asyncio.sleep(0.1)
            assert (await kept.ask(name="q2")).whole
            await edge.task
            idle.writer.close()

    play(scene)
    first, second = find_lines(caplog, "request_ended")
    assert (first["conn_request"], first["stopping_ms"]) == (1, "")
    assert second["conn_request"] == 2 and 90 <= second["stopping_ms"] < 1000 * ANNOUNCE_S
    assert second["conn_age_ms"] >= 100 and second["sent_bytes"] > 0
    (announced,) = find_lines(caplog, "announcement_ended")
    assert announced["after_ms"] >= 1000 * ANNOUNCE_S and announced["open_requests"] == 0
    assert (announced["idle"], announced["busy"]) == (1, 0)
    (stopped,) = find_lines(caplog, "stopped")
    assert stopped["busy"] == 0 and stopped["cut_off"] == 0


def block_until(due_at: float) -> None:
    """Let the event loop do nothing until then."""
    time.sleep(max(0.0, due_at - time.monotonic()))


def check_not_run(answer: Answer, replica: Replica, name: str = "asked") -> None:
    """Check that a request was refused for good, and has not run."""
    assert name not in [each.request_id for each in replica.got]
    assert answer.whole and answer.status == 503
    assert 0.0 < float(answer.headers["retry-after"]) < 1.0
    assert answer.headers["connection"] == "close"


async def hang(exchange: Exchange) -> None:
    """Leave a plain request without an answer; end a stream when its caller's path says so."""
    if exchange.target.startswith("/s/"):
        exchange.begin_stream()
        exchange.send_event(0)
        await asyncio.sleep(float(exchange.target.removeprefix("/s/")))
        exchange.send_event(1)
        exchange.end_stream()
        return
    await asyncio.sleep(30.0)


async def ask_after_stream(edge: Edge, last_s: float) -> Answer:
    """Stop during a stream that ends `last_s` after the announcement; ask at once after it."""
    caller = await Caller.connect(edge)
    reading = asyncio.create_task(caller.ask(f"/s/{ANNOUNCE_S + last_s}", name="stream"))
    await edge.wait_until(lambda: edge.node.relay.open == 1)
    await asyncio.sleep(0.05)
    stop(edge)
    first = await reading
    assert first.whole and first.status == 200 and "connection" not in first.headers
    return await caller.ask()


def test_request_after_a_stream_that_outlasts_the_announcement_does_not_run():
    """It was passed on and cut at the end of the drain, as nothing refused it."""

    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            other = await Caller.connect(edge)
            other.send(make_request("/p/x", name="other"))
            await edge.wait_until(lambda: len(replica.got) == 1)
            check_not_run(await ask_after_stream(edge, 0.12), replica)

    play(scene)


@pytest.mark.parametrize("kept", (True, False))
def test_request_right_after_the_announcement_does_not_run(kept):
    """It was passed on, as connections were only closed at the next check of the drain."""

    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            sock = socket.socket()
            if kept:
                sock.connect(edge.node.settings.callers)
            await asyncio.sleep(0.05)
            over_at = stop(edge)
            await asyncio.sleep(ANNOUNCE_S - 0.02)
            block_until(over_at + 0.005)
            if not kept:
                sock.connect(edge.node.settings.callers)
            sock.sendall(make_request("/p/x"))
            caller = await Caller.take_over(sock)
            check_not_run(await read_answer(caller.reader), replica)

    play(scene)


def test_request_whose_connection_was_busy_at_the_decision_to_exit_does_not_run(monkeypatch):
    """Its connection had just ended an answer, was not closed, and was reset 0.1 s later."""
    monkeypatch.setattr(node, "DRAIN_CHECK_INTERVAL_S", 0.0)

    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            check_not_run(await ask_after_stream(edge, 0.1), replica)

    play(scene)


def test_request_accepted_as_the_listener_closes_does_not_run():
    """Its connection was not known yet at the decision to exit, and was reset 0.1 s later."""

    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            over_at = stop(edge)
            await asyncio.sleep(ANNOUNCE_S - 0.02)
            block_until(over_at + 2 * node.DRAIN_CHECK_INTERVAL_S)
            sock = socket.create_connection(edge.node.settings.callers)
            sock.sendall(make_request("/p/x"))
            caller = await Caller.take_over(sock)
            check_not_run(await read_answer(caller.reader), replica)

    play(scene)


@pytest.mark.parametrize("part", ("head", "body"))
def test_request_in_part_at_the_decision_to_exit_is_refused(part):
    """It was passed on once complete, and its connection was reset 0.1 s after the decision."""

    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            data = make_request("/p/x", b"whole")
            cut = len(data) - 2 if part == "body" else 20
            caller = await Caller.connect(edge)
            caller.send(data[:cut])
            await asyncio.sleep(0.05)
            over_at = stop(edge)
            await asyncio.sleep(over_at + 0.07 - time.monotonic())
            caller.send(data[cut:])
            answer = await read_answer(caller.reader)
            check_not_run(answer, replica)
            assert answer.whole

    play(scene)


def test_request_that_never_becomes_whole_does_not_delay_the_exit():
    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1")) as edge:
            caller = await Caller.connect(edge)
            caller.send(make_request("/p/x", b"whole")[:-2])
            await asyncio.sleep(0.05)
            over_at = stop(edge)
            await edge.task
            assert time.monotonic() < over_at + DRAIN_S + CLOSE_S

    play(scene)


def test_silent_store_does_not_delay_the_drain(caplog):
    """The lease was released first, with a wait for the store, while callers were served on."""
    caplog.set_level(logging.INFO)

    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            await edge.wait_until(lambda: edge.node.lease.lease_state.held)
            edge.store.silent = True
            over_at = stop(edge)
            await edge.task
            assert time.monotonic() < over_at + DRAIN_S + CLOSE_S

    play(scene)
    (announced,) = find_lines(caplog, "announcement_ended")
    assert announced["after_ms"] < 1000 * (ANNOUNCE_S + 0.1)


@pytest.mark.parametrize("unread", (0, 24))
def test_request_refused_at_the_end_of_the_drain_does_not_run_after(unread, monkeypatch):
    """A refusal promises that; behind answers that its caller had not read, the work went on."""
    monkeypatch.setattr(node, "DRAIN_CHECK_INTERVAL_S", 0.005)
    monkeypatch.setattr(request_steps, "SECOND_PASS_PAUSE_S", 0.08)
    got_at: list[float] = []
    over_at = 0.0

    async def refuse(exchange: Exchange) -> None:
        if exchange.target == "/p/long":
            exchange.answer(200, bytes(250_000))
            return
        got_at.append(time.monotonic())
        if len(got_at) == 1:
            await asyncio.sleep(over_at - 0.04 - time.monotonic())
        exchange.refuse()

    async def scene():
        nonlocal over_at
        replica = Replica("b1", reply=refuse)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            caller = connect(edge, 4096)
            for _ in range(unread):
                caller.sendall(make_request("/p/long"))
            await edge.wait_until(lambda: len(replica.got) == unread)
            await asyncio.sleep(0.05)
            over_at = time.monotonic() + 0.3
            caller.sendall(make_request("/p/x"))
            await edge.wait_until(lambda: len(got_at) == 1)
            stop(edge, 0.1, over_at - time.monotonic() - 0.1)
            await edge.task
            assert len(got_at) == 1
            caller.close()

    play(scene)


def test_answer_after_the_end_of_the_drain_leaves_the_error_whole(monkeypatch, caplog):
    """The request went on after its error was sent, and answered a second time: a defect."""
    monkeypatch.setattr(node, "DRAIN_CHECK_INTERVAL_S", 0.005)
    # The answer comes before the limit for first bytes, which would give the server up.
    announce_s, drain_s = 0.2, 0.3
    defects: list[dict] = []

    async def answer_late(exchange: Exchange) -> None:
        await asyncio.sleep(announce_s + drain_s + 0.06)
        exchange.answer(200, b"late")

    async def scene():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: defects.append(context))
        replica = Replica("b1", reply=answer_late)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            caller = await Caller.connect(edge)
            asking = asyncio.create_task(caller.ask())
            await edge.wait_until(lambda: len(replica.got) == 1)
            stop(edge, announce_s, drain_s)
            answer = await asking
            assert answer.whole and answer.status == 504
            await edge.task

    play(scene)
    assert not defects
    assert "event=defect" not in caplog.text


def test_request_cut_off_behind_unread_answers_ends_once(monkeypatch, caplog):
    """Its error could not be sent at once, the work went on, and its answer was a defect."""
    monkeypatch.setattr(node, "DRAIN_CHECK_INTERVAL_S", 0.005)
    caplog.set_level(logging.INFO)
    unread = 24
    defects: list[dict] = []

    async def answer_late(exchange: Exchange) -> None:
        if exchange.target == "/p/long":
            exchange.answer(200, bytes(250_000))
            return
        await asyncio.sleep(0.34)
        exchange.answer(200, b"late")

    async def scene():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: defects.append(context))
        replica = Replica("b1", reply=answer_late)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            caller = connect(edge, 4096)
            for _ in range(unread):
                caller.sendall(make_request("/p/long"))
            await edge.wait_until(lambda: len(replica.got) == unread)
            await asyncio.sleep(0.05)
            caller.sendall(make_request("/p/x", name="late"))
            await edge.wait_until(lambda: len(replica.got) == unread + 1)
            stop(edge, 0.1, 0.18)
            await edge.task
            caller.close()

    play(scene)
    ends = [each["outcome"] for each in find_lines(caplog, "request_ended")]
    assert ends[unread:] == ["too_late"]
    assert not defects


async def ask_repeatedly(edge: Edge, number: int, rng: random.Random) -> dict[str, Answer]:
    """Ask on one connection after the other until the instance is gone; return all answers."""
    answers: dict[str, Answer] = {}
    while not edge.task.done():
        try:
            caller = await Caller.connect(edge)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        answer = Answer(whole=True)
        while answer.whole and answer.headers.get("connection") != "close":
            name = f"{number}-{len(answers)}"
            path = rng.choice(("/p/", "/s/")) + f"{rng.uniform(0.0, 0.8):.3f}"
            data = make_request(path, b"body", name)
            cut = rng.choice((len(data), rng.randrange(1, len(data))))
            caller.send(data[:cut])
            await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, 0.08))))
            caller.send(data[cut:])
            answer = answers[name] = await read_answer(caller.reader)
            await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, 0.1))))
        caller.writer.close()
    return answers


@pytest.mark.parametrize("seed", range(4))
def test_no_request_is_lost_around_a_random_stop(seed):
    rng = random.Random(seed)
    passed_on: dict[str, float] = {}

    async def reply(exchange: Exchange) -> None:
        passed_on[exchange.request_id] = time.monotonic()
        if exchange.target.startswith("/s/"):
            await hang(exchange)
            return
        await asyncio.sleep(float(exchange.target.removeprefix("/p/")) / 8)
        exchange.answer(200, b"done")

    async def scene():
        replica = Replica("b1", slots=100, reply=reply)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            callers = [
                asyncio.create_task(ask_repeatedly(edge, number, random.Random(f"{seed} {number}")))
                for number in range(40)
            ]
            await asyncio.sleep(rng.uniform(0.2, 0.5))
            over_at = stop(edge, ANNOUNCE_S, 2.0)
            await edge.task
            answers = {}
            for caller in callers:
                answers |= await caller
            assert {answer.status for answer in answers.values()} <= {200, 503}
            lost = [name for name in passed_on if not answers[name].whole]
            refused = [name for name, answer in answers.items() if answer.status == 503]
            assert not lost
            assert not passed_on.keys() & set(refused)
            assert max(passed_on.values()) < over_at + 0.1

    play(scene)


def test_connection_whose_answer_outlasts_the_announcement_is_closed_after_it(monkeypatch):
    """It stayed open until the next check of the drain, and its caller sent a request in vain."""
    monkeypatch.setattr(node, "DRAIN_CHECK_INTERVAL_S", ANNOUNCE_S + 0.02)

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1", reply=hang)) as edge:
            caller = await Caller.connect(edge)
            reading = asyncio.create_task(caller.ask(f"/s/{ANNOUNCE_S + 0.05}"))
            await edge.wait_until(lambda: edge.node.relay.open == 1)
            stop(edge)
            assert (await reading).whole
            ended_at = time.monotonic()
            refusal = await asyncio.wait_for(read_answer(caller.reader), 1.0)
            assert (refusal.status, refusal.whole) == (503, True)
            assert await asyncio.wait_for(caller.reader.read(), 1.0) == b""
            assert time.monotonic() < ended_at + 0.05

    play(scene)


def test_request_behind_an_answer_that_outlasts_the_announcement_is_refused():
    """It was received with its connection still busy: closing that would lose it silently."""

    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            caller = await Caller.connect(edge)
            reading = asyncio.create_task(caller.ask(f"/s/{ANNOUNCE_S + 0.1}", name="stream"))
            await edge.wait_until(lambda: edge.node.relay.open == 1)
            stop(edge)
            caller.send(make_request("/p/x"))
            assert (await reading).whole
            answer = await read_answer(caller.reader)
            check_not_run(answer, replica)
            assert answer.whole

    play(scene)


def test_request_that_becomes_whole_late_in_the_drain_is_refused():
    """Its connection was reset 0.1 s after the decision to exit, which did not wait for it."""

    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            data = make_request("/p/x", b"whole")
            caller = await Caller.connect(edge)
            caller.send(data[:-2])
            await asyncio.sleep(0.05)
            over_at = stop(edge)
            await asyncio.sleep(over_at + 0.3 - time.monotonic())
            caller.send(data[-2:])
            answer = await read_answer(caller.reader)
            check_not_run(answer, replica)
            assert answer.whole

    play(scene)


def test_request_in_part_at_the_end_of_the_drain_is_refused():
    """Its connection was reset without a word."""

    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            caller = await Caller.connect(edge)
            caller.send(make_request("/p/x", b"whole")[:-2])
            await asyncio.sleep(0.05)
            stop(edge)
            answer = await read_answer(caller.reader)
            check_not_run(answer, replica)
            assert answer.whole

    play(scene)


def test_refusal_reaches_a_caller_that_is_still_sending():
    """The close with unread bytes reset the connection, and destroyed the refusal on its way."""

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1")) as edge:
            caller = connect(edge, 4096)
            caller.setblocking(False)
            length = edge.node.view.limits.body_bytes + 1
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(caller, make_request("/p/x", bytes(length))[:60_000])
            for _ in range(10):
                await asyncio.sleep(0.01)
                await loop.sock_sendall(caller, bytes(10_000))
            assert (await loop.sock_recv(caller, 4096)).startswith(b"HTTP/1.1 413 ")
            caller.close()

    play(scene)


def test_second_signal_and_one_before_the_first_configuration_end_as_any_other(caplog):
    caplog.set_level(logging.INFO)

    async def scene():
        async with run_edge(None) as edge:
            caller, late = await Caller.connect(edge), await Caller.connect(edge)
            over_at = stop(edge)
            await asyncio.sleep(0.05)
            answer = await caller.ask()
            assert answer.whole and answer.status == 503 and "retry-after" in answer.headers
            edge.node.stop.set()
            edge.node.reload()
            block_until(over_at + 0.005)
            check_not_run(await late.ask(), Replica("none"))
            assert await edge.task == node.EXIT_OK
            assert time.monotonic() < over_at + CLOSE_S

    play(scene)
    assert len(find_lines(caplog, "drain_started")) == 1


@pytest.mark.parametrize(
    ("path", "expected"),
    (("/p/x", "repeatable"), ("/n/x", "not_repeatable"), ("/s/9", "repeatable"), ("", "not_run")),
)
def test_log_and_metrics_tell_whether_what_was_cut_off_may_be_repeated(
    caplog, monkeypatch, path, expected
):
    caplog.set_level(logging.INFO)

    async def scene():
        routes = (*ROUTES, make_route("non_idempotent", "/n/"))
        async with run_edge(make_configuration(*routes), Replica("b1", reply=hang)) as edge:
            if not path:
                monkeypatch.setattr(request_steps, "decide_stream", lambda _: asyncio.sleep(30.0))
            caller = await Caller.connect(edge)
            caller.send(make_request(path or "/n/x"))
            await edge.wait_until(lambda: edge.node.relay.open == 1)
            await asyncio.sleep(0.05)
            stop(edge)
            await edge.task
            name, metrics = f"r{path[1:2] or 'n'}", edge.node.metrics.render({}).decode()
            assert f'cut_off_total{{repeat="{expected}",route="{name}"}} 1.0' in metrics

    play(scene)
    (ended,) = find_lines(caplog, "request_ended")
    assert ended["cut_off"] == expected
    (stopped,) = find_lines(caplog, "stopped")
    assert stopped["cut_off"] == 1 and stopped["not_repeatable"] == (expected == "not_repeatable")
