"""Options of the sockets that an instance uses."""

import asyncio
import errno
import logging
import socket
import struct

from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""A dead connection is noticed within about 3 s, the time in which a reset counts."""

UNACKNOWLEDGED_MS = 2_500
"""Time in milliseconds after which unacknowledged data ends a connection. On Linux it also decides
on idle ones, at the first unanswered probe after it, whatever the number of probes. It is longer
than a sound server's silence."""

LINGER_NONE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing resets a connection and discards unsent bytes."""


def set_options(
    transport: asyncio.BaseTransport, unacknowledged_ms: int = UNACKNOWLEDGED_MS
) -> None:
    """Send small pieces at once, and detect peers that are gone without closing.

    Linux also takes a peer for gone that reads nothing for as long while there is more for it.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)


def abort_with_reset(transport: asyncio.Transport) -> None:
    """Close a connection by a reset, so that its unsent bytes are not delivered any more."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    transport.abort()


def accept_waiting(listener: socket.socket) -> list[socket.socket]:
    """Accept all connections that wait at a listener, and close this handle of it."""
    accepted = []
    with listener:
        listener.setblocking(False)
        while True:
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return accepted
            except OSError as error:
                # A connection that has ended already is reported here; others may wait behind it.
                log_event(LOG, logging.WARNING, "accept_failed", reason=repr(error))
                if error.errno != errno.ECONNABORTED:
                    return accepted
                continue
            sock.setblocking(False)
            accepted.append(sock)
