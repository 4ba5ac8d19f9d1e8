"""Socket for callers that is opened while the rest of the program is still loaded.

After a loss of power to all instances there is nobody else whom a caller could ask, and one whose
connection is refused has used up its retry. What the kernel accepts meanwhile waits for less time
than the targets of most routes.
"""

import logging
import socket

from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

ACCEPT_BACKLOG = 512
"""New connections that wait to be accepted."""


def open_listener(address: tuple[str, int]) -> socket.socket | None:
    """Open a listening socket, None if that fails; the start tries again and ends if it must."""
    try:
        return socket.create_server(address, backlog=ACCEPT_BACKLOG)
    except OSError as error:
        log_event(LOG, logging.WARNING, "early_listener_failed", reason=str(error))
        return None
