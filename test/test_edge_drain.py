"""Requests that come while an instance on the platform stops: each is answered or never run."""

import asyncio
import logging
import time

from standin.replica import Replica
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
