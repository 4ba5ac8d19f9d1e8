"""Options that decide when a connection to a silent peer is given up."""

import asyncio
import socket

from rhubarbshed.transport.edge.sockets import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    UNACKNOWLEDGED_MS,
    set_options,
)
from test.helper_edge import play

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
