"""Options that decide when a connection to a silent peer is given up."""

import asyncio
import socket

import pytest

from rhubarbshed.transport.edge.sockets import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    UNACKNOWLEDGED_MS,
    accept_waiting,
    set_options,
)
from standin.replica import Exchange, Replica
from test.helper_edge import make_configuration, play, run_edge
from test.test_edge_drain import ROUTES, connect, make_request

SILENCE_S = 1.5
"""Time for which a sound server may be silent."""

NOTICED_S = 3.0
"""Time after which a lost connection has to be noticed, the platform's bound."""


def find_end_of_idle(user_timeout_s: float) -> float:
    """Return when Linux ends an idle connection: at the first unanswered probe after the timeout.

    With a user timeout the count of the probes does not matter.
    """
    probe_at = float(KEEPALIVE_IDLE_S)
    while probe_at < user_timeout_s:
        probe_at += KEEPALIVE_INTERVAL_S
    return probe_at


def test_connection_outlives_a_servers_silence_and_a_lost_one_is_noticed_in_time():
    async def scene():
        async def accept(reader, writer):
            await reader.read()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        transport, _ = await asyncio.get_running_loop().create_connection(
            asyncio.Protocol, *server.sockets[0].getsockname()
        )
        set_options(transport)
        sock = transport.get_extra_info("socket")
        user_timeout_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) / 1000.0
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert user_timeout_s == UNACKNOWLEDGED_MS / 1000.0
        assert SILENCE_S < user_timeout_s < NOTICED_S
        assert SILENCE_S < find_end_of_idle(user_timeout_s) <= NOTICED_S
        transport.abort()
        server.close()

    play(scene)


def test_answer_outlasts_a_pause_of_its_reader():
    """Linux reset the connection of a caller that read nothing for 2.5 s, as if it were gone."""
    length = 500_000

    async def answer(exchange: Exchange) -> None:
        exchange.answer(200, bytes(length))

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1", reply=answer)) as edge:
            caller = connect(edge, 4096)
            caller.setblocking(False)
            loop, got = asyncio.get_running_loop(), b""
            await loop.sock_sendall(caller, make_request("/p/x"))
            await asyncio.sleep(UNACKNOWLEDGED_MS / 1000.0 + 1.0)
            async with asyncio.timeout(2.0):
                while got.count(b"\0") < length:
                    data = await loop.sock_recv(caller, 65_536)
                    assert data, len(got)
                    got += data
            caller.close()

    play(scene)


def test_caller_between_the_last_accept_and_the_close_is_not_reset():
    """Its connection was made by the kernel, and reset with its request as the listener closed."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
        with socket.create_connection(address) as caller:
            (accepted,) = accept_waiting(listener.dup())
            with pytest.raises(TimeoutError):
                socket.create_connection(address, 0.2)
            caller.sendall(b"a request")
            with accepted:
                assert accepted.recv(65_536) == b"a request"
