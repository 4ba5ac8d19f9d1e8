"""Bodies of callers whose chunks have no end, or are many."""

import select
import socket
import time

import pytest
from returns.result import Success

from rhubarbshed.transport.http_servers import (
    HttpServer,
    HttpServerLimits,
    answer,
    answer_error,
    read_body,
)

BODY_BYTES_MAX = 1_048_576
POURED_MAX = 32_000_000
"""Bytes after which a caller stops, so that a failing test does not fill the memory."""

SOON_S = 1.0
TIMEOUT_S = 2.0
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


def handle(*_: str, **__: str) -> bytes:
    body = read_body(BODY_BYTES_MAX)
    if isinstance(body, Success):
        return answer(200, {}, str(len(body.unwrap())).encode())
    return answer_error(body.failure())


def send(start: bytes, piece: bytes, total: int) -> tuple[int, int, float]:
    """Send a body; return the status, the bytes sent until then, and the seconds it took."""
    port = socket.create_server(("127.0.0.1", 0)).getsockname()[1]
    limits = HttpServerLimits(threads=1, header_bytes_max=16384, socket_timeout_s=TIMEOUT_S)
    server = HttpServer.from_config(handle, "127.0.0.1", port, limits)
    assert isinstance(server.start(), Success)
    sent, began_at = 0, time.monotonic()
    try:
        with socket.create_connection(("127.0.0.1", port)) as caller:
            caller.settimeout(0.0)
            rest, received = HEAD + start, b""
            while not received and time.monotonic() - began_at < 5 * SOON_S:
                if not rest and sent < total:
                    rest = piece
                try:
                    sent += (count := caller.send(rest)) if rest else 0
                    rest = rest[count:]
                except OSError:
                    time.sleep(0.001)
                # A busy caller would keep the server's thread from running.
                select.select([caller], [caller] if rest or sent < total else [], [], 0.1)
                try:
                    received = caller.recv(65_536)
                except BlockingIOError:
                    continue
            return int(received[9:12] or 0), sent, time.monotonic() - began_at
    finally:
        server.stop()


@pytest.mark.parametrize(
    ("start", "status"), [(b"FFFFFFFF\r\n", 413), (b"1;", 400)], ids=["chunk", "line"]
)
def test_chunk_without_end_is_refused_soon(start, status):
    """One read took what a chunk's length said, and a line had no length at all."""
    got, sent, took_s = send(start, b"x" * 65_536, POURED_MAX)
    assert (got, sent < POURED_MAX, took_s < SOON_S) == (status, True, True), (sent, took_s)


@pytest.mark.parametrize("start", [b"", b"5\r\n", b"5\r\nx", b"5\r\nxxxxx"])
def test_body_whose_next_chunk_does_not_come_is_answered_as_late(start):
    """It was answered as a defect, and after two timeouts where a read was made in two."""
    got, _, took_s = send(start, b"", 0)
    assert (got, took_s < TIMEOUT_S + SOON_S) == (408, True), took_s
