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


def has_unread_bytes(sock: socket.socket) -> bool:
    """Return whether a read would return at once, with bytes or the end of the connection."""
    if sock.fileno() < 0:
        return False
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))
