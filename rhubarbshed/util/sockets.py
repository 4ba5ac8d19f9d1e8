"""State of a connection that only its socket shows."""

import array
import fcntl
import select
import socket
import struct
import termios

SILENCE_OFFSET = 52
"""Place of `tcpi_last_data_recv`, milliseconds in 32 bits, in what Linux tells of a connection."""


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


def count_unread_bytes(sock: socket.socket) -> int:
    """Return how many bytes have arrived and are not read yet, 0 if the connection is closed."""
    if sock.fileno() < 0:
        return 0
    count = array.array("i", [0])
    fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    return count[0]


def measure_silence(sock: socket.socket) -> float:
    """Return the seconds since the peer's last bytes arrived here, read or not; 0 if closed."""
    if sock.fileno() < 0:
        return 0.0
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, SILENCE_OFFSET + 4)
    return struct.unpack_from("=I", info, SILENCE_OFFSET)[0] / 1000.0
