"""Tests of the callers' HTTP server as it stops, with connections that callers keep."""

import contextlib
import http.client
import json
import socket
import threading
from collections.abc import Iterator

from returns.result import Success

from rhubarbshed.transport import http_servers
from rhubarbshed.transport.http_servers import HttpServer, HttpServerLimits, answer
from tools.processes import find_free_ports, wait_until

LIMITS = HttpServerLimits(threads=2, header_bytes_max=16384, socket_timeout_s=5.0)
DISCARD_S = 1.0


@contextlib.contextmanager
def keep_connection() -> Iterator[tuple[HttpServer, http.client.HTTPConnection]]:
    """Run a server with a connection on which it has answered a request."""
    (port,) = find_free_ports(1)
    server = HttpServer.from_config(
        lambda *_, **__: answer(200, {}, b""), "127.0.0.1", port, LIMITS
    )
    assert isinstance(server.start(), Success)
    caller = http.client.HTTPConnection("127.0.0.1", port, timeout=5.0)
    try:
        caller.request("POST", "/", b"{}")
        answered = caller.getresponse()
        assert answered.read() == b"" and not answered.will_close
        # Until its worker has handed it back, that refuses it as the server stops.
        kept = server.server._connections._selector
        assert wait_until(lambda: len(list(kept.connections)) == 2, 5.0)
        yield server, caller
    finally:
        server.stop()
        caller.close()


def check_refused(caller: http.client.HTTPConnection) -> None:
    refused = caller.getresponse()
    assert refused.status == 503 and refused.will_close
    error = json.loads(refused.read())["error"]
    assert (error["code"], error["outcome"]) == ("draining", "not_run")


def test_request_that_crosses_the_close_of_a_kept_connection_is_refused(monkeypatch):
    """It was reset, in two pieces before its caller had sent all of it."""
    monkeypatch.setattr(http_servers, "DISCARD_S", DISCARD_S)
    with keep_connection() as (server, caller):
        stopping = threading.Thread(target=server.stop)
        stopping.start()
        # The bytes of the refusal, or the end of the connection, are there.
        caller.sock.recv(1, socket.MSG_PEEK)
        caller.request("POST", "/", b"{}")
        check_refused(caller)
        stopping.join()


def test_request_that_arrives_as_a_kept_connection_is_closed_is_answered(monkeypatch):
    """It lay in the kernel unread, and was reset."""
    with keep_connection() as (server, caller):
        connections = server.server._connections
        close = connections.close

        def send_and_close() -> None:
            caller.request("POST", "/", b"{}")
            close()

        monkeypatch.setattr(connections, "close", send_and_close)
        server.stop()
        assert caller.getresponse().status == 200
