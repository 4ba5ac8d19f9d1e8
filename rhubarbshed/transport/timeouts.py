"""Socket timeouts enforced by the kernel."""

import socket
import struct


def set_timeouts(sock: socket.socket, timeout_s: float) -> None:
    """Set kernel timeouts for sends and receives on a blocking socket, without a poll per call.

    Source: socket(7), SO_RCVTIMEO and SO_SNDTIMEO.
    """
    seconds = int(timeout_s)
    micros = int((timeout_s - seconds) * 1e6)
    value = struct.pack("ll", seconds, max(1, micros) if seconds == 0 else micros)
    sock.settimeout(None)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, value)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, value)
