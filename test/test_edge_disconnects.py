"""Callers that disconnect from an instance on the platform: what servers still get and do."""

import asyncio
import logging
import socket
import struct
import time

from standin.replica import Exchange, Replica
from test.helper_edge import (
    HOST,
    Edge,
    make_configuration,
    make_route,
    play,
    run_edge,
)

PLAIN = make_route("idempotent", "/p/")
STREAM = make_route("streaming", "/s/", Resumable=True, TargetGapMs=150, TimeoutMs=20_000)
ROUTES = (PLAIN, STREAM)

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
