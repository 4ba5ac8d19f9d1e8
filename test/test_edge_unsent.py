"""Requests that reach no server: their callers learn for certain that they did not run."""

import asyncio
import contextlib
import socket
import struct
import threading
import time
from collections.abc import Iterator

from standin.hosts import make_host
from standin.replica import HOST_NUMBER, Replica
from test.helper_edge import make_configuration, make_route, play, run_edge

UNSAFE = make_route("non_idempotent", "/u/", Attempts=1)


@contextlib.contextmanager
def run_capped_server() -> Iterator[tuple[str, int]]:
    """Run a server over its cap of connections, which resets each as it accepts it."""
    listener = socket.create_server((make_host(HOST_NUMBER), 0))

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                linger = struct.pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                connection.close()

    thread = threading.Thread(target=accept, daemon=True)
    thread.start()
    try:
        yield listener.getsockname()[:2]
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join()


def ask_capped_server(is_noticed: bool) -> tuple[int, int]:
    """Return the status and the attempts that may have run for a request to a capped server."""
    found = []

    async def scene():
        with run_capped_server() as address:
            replica = Replica("b1")
            async with run_edge(make_configuration(UNSAFE), replica) as edge:
                connect = edge.node.pool.connect

                async def connect_late(_):
                    channel = await connect(address)
                    # The reset arrives, and the loop has read it or not.
                    time.sleep(0.03)
                    await asyncio.sleep(0.01 if is_noticed else 0.0)
                    return channel

                edge.node.pool.connect = connect_late
                answer = await edge.ask("/u/x", b"pay")
                found.append((answer.status, answer.headers.get("retry-after")))
                assert not replica.got

    play(scene)
    return found[0]


def test_reset_of_a_new_connection_before_the_request_is_no_possible_run():
    """Its write failed, and counted as sent: 502, which does not say that nothing ran."""
    status, retry_after = ask_capped_server(is_noticed=False)
    assert status == 503 and retry_after


def test_connection_that_ended_before_the_request_is_no_possible_run():
    status, retry_after = ask_capped_server(is_noticed=True)
    assert status == 503 and retry_after


def test_deadline_that_passes_as_a_connection_opens_is_no_possible_run():
    """Nothing was sent, and 504 says that the request may have run."""

    async def scene():
        replica = Replica("b1")
        async with run_edge(make_configuration(UNSAFE), replica) as edge:
            edge.node.pool.connect = lambda _: asyncio.sleep(9.0)
            answer = await edge.ask("/u/x", b"pay", Rhubarbshed_Deadline_Remaining="150")
            assert answer.status == 503

    play(scene)


def test_unsafe_request_waits_a_moment_on_a_connection_to_a_server_that_reset_one():
    """The reset comes a round trip after the connection opens, mostly behind the request."""

    async def scene():
        with run_capped_server() as address:
            replica = Replica("b1")
            async with run_edge(make_configuration(UNSAFE), replica) as edge:
                connect = edge.node.pool.connect
                edge.node.pool.connect = lambda _: connect(address)
                record = edge.node.view.fleet.get("b1")
                record.reset_at = time.monotonic()
                answers = [await edge.ask("/u/x", b"pay") for _ in range(5)]
                assert {answer.status for answer in answers} == {503}

    play(scene)
