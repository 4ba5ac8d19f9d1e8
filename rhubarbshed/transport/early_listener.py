"""Socket for callers that is opened while the rest of the program is still loaded.

After a loss of power to all instances there is nobody else whom a caller could ask, and one whose
connection is refused has used up its retry. What the kernel accepts meanwhile waits for less time
than the targets of most routes.
"""

import contextlib
import logging
import socket
import time

from rhubarbshed.transport.edge.sockets import accept_waiting
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

ACCEPT_BACKLOG = 512
"""New connections that wait to be accepted."""

REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Retry-After: 0.05\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
"""Answer to a request that nobody will read; without a body, as its method is not known."""

CLOSE_DELAY_S = 0.1
"""Time for refusals to arrive before their connections are closed."""

DISCARDED_BYTES = 65_536
"""Bytes of a refused request that are read, as a close with unread bytes is a reset."""


def open_listener(address: tuple[str, int]) -> socket.socket | None:
    """Open a listening socket, None if that fails; the start tries again and ends if it must."""
    try:
        return socket.create_server(address, backlog=ACCEPT_BACKLOG)
    except OSError as error:
        log_event(LOG, logging.WARNING, "early_listener_failed", reason=str(error))
        return None


def refuse_waiting(listener: socket.socket) -> None:
    """Refuse what waits at a listener that nobody accepts from any more, and close it."""
    if listener.fileno() < 0:
        return
    refused = accept_waiting(listener)
    listener.close()
    for sock in refused:
        # One whose caller has left.
        with contextlib.suppress(OSError):
            sock.sendall(REFUSAL)
            sock.shutdown(socket.SHUT_WR)
    if refused:
        log_event(LOG, logging.WARNING, "waiting_refused", count=len(refused))
        time.sleep(CLOSE_DELAY_S)
    for sock in refused:
        with contextlib.suppress(OSError):
            sock.recv(DISCARDED_BYTES)
        sock.close()
