"""Detection of disconnected callers while a worker thread waits for a backend server."""

import select
import socket

from rhubarbshed.protocol.requests import AttemptEnd

MS_PER_S = 1000


def wait_for_answer(
    source: socket.socket, caller: socket.socket, timeout_s: float
) -> AttemptEnd | None:
    """Wait until a backend server's answer begins; return an end if no answer will be read.

    A caller that has closed its side counts as gone, also if it has sent more before.
    """
    poller = select.poll()
    poller.register(source, select.POLLIN)
    poller.register(caller, select.POLLRDHUP)
    ready = [descriptor for descriptor, _ in poller.poll(timeout_s * MS_PER_S)]
    if not ready:
        return AttemptEnd.TIMED_OUT
    return None if source.fileno() in ready else AttemptEnd.CALLER_GONE
