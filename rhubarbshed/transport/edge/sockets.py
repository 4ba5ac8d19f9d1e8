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

SO_ATTACH_FILTER = 26
"""Option of Linux, on all but a few architectures, that the socket module does not name."""

OPENING_FILTER = b"".join(
    struct.pack("HBBI", *instruction)
    for instruction in (
        (0x30, 0, 0, 13),  # load the flags of the TCP header
        (0x54, 0, 0, 0x12),  # keep SYN and ACK
        (0x15, 0, 1, 0x02),  # SYN alone?
        (0x06, 0, 0, 0),  # drop the packet
        (0x06, 0, 0, 0xFFFFFFFF),  # pass it
    )
)
"""Packet filter in the classic BPF that drops the packets that open a connection."""


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
    """Accept all connections that wait at a listener to be closed, and close this handle of it.

    The close resets a connection that nobody has accepted. So no further one may begin for the last
    accepts, which are few: a caller that tries meanwhile tries again after a second.
    """
    # Imported late, as it would take 3 ms of a start.
    import ctypes

    code = ctypes.create_string_buffer(OPENING_FILTER)
    count = len(OPENING_FILTER) // struct.calcsize("HBBI")
    program = struct.pack("HP", count, ctypes.addressof(code))
    with listener:
        listener.setblocking(False)
        accepted = accept_until_none_waits(listener)
        try:
            listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
        except OSError as error:
            log_event(LOG, logging.WARNING, "handshakes_not_stopped", reason=str(error))
        return accepted + accept_until_none_waits(listener)


def accept_until_none_waits(listener: socket.socket) -> list[socket.socket]:
    """Accept all connections that wait at a listener that does not block."""
    accepted = []
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
