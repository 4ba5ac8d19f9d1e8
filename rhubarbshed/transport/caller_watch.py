"""Detection of disconnected callers while a worker thread waits for a backend server."""

import select
import socket

from rhubarbshed.protocol.requests import AttemptEnd

MS_PER_S = 1000
CALLER_EVENTS = select.POLLIN | select.POLLRDHUP


def wait_for_answer(
    source: socket.socket, caller: socket.socket, timeout_s: float
) -> AttemptEnd | None:
    """Wait until a backend server's answer begins; return an end if no answer will be read.

    A caller that has closed its side counts as gone, and one that sends more as still connected.
    """
    poller = select.poll()
    poller.register(source, select.POLLIN)
    poller.register(caller, CALLER_EVENTS)
    while True:
        ready = [descriptor for descriptor, _ in poller.poll(timeout_s * MS_PER_S)]
        if not ready:
            return AttemptEnd.TIMED_OUT
        if source.fileno() in ready:
            return None
        if is_gone(caller):
            return AttemptEnd.CALLER_GONE
        poller.unregister(caller)


def is_gone(caller: socket.socket) -> bool:
    """Return whether a caller whose socket is readable has closed it."""
    try:
        return not caller.recv(1, socket.MSG_PEEK)
    except OSError:
        return True
