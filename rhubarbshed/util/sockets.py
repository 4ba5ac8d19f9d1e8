"""State of a connection that only its socket shows."""

import select
import socket


def has_peer_closed(sock: socket.socket) -> bool:
    """Return whether the connection is closed here or by the peer, also behind unread bytes."""
    if sock.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP)
    return bool(poller.poll(0))
