"""Sockets on which worker threads wait for others, and that a stop of the instance shuts."""

import contextlib
import socket
import threading
import weakref
from collections.abc import Iterator

from attrs import define, field


@define(eq=False)
class OpenSockets:
    """Connections to backend servers, and callers whose requests have come in part.

    A thread that waits for one of them goes on at once when it is shut. Thread-safe.
    """

    is_shut: bool = False
    _servers: weakref.WeakSet[socket.socket] = field(factory=weakref.WeakSet)
    _callers: set[socket.socket] = field(factory=set)
    _lock: threading.Lock = field(factory=threading.Lock)

    def add_server(self, sock: socket.socket) -> bool:
        """Add a connection before a request is sent on it; return False if none may be sent."""
        with self._lock:
            if not self.is_shut:
                self._servers.add(sock)
            return not self.is_shut

    @contextlib.contextmanager
    def hold_caller(self, sock: socket.socket) -> Iterator[None]:
        """Hold a connection while a request is read from it; answers can be sent as ever."""
        with self._lock:
            self._callers.add(sock)
            if self.is_shut:
                _shut(sock, socket.SHUT_RD)
        try:
            yield
        finally:
            with self._lock:
                self._callers.discard(sock)

    def shut(self) -> None:
        """End all waits, and let no further request be sent; what has arrived is still read."""
        with self._lock:
            self.is_shut = True
            for sock in self._servers:
                _shut(sock, socket.SHUT_RDWR)
            for sock in self._callers:
                _shut(sock, socket.SHUT_RD)


def _shut(sock: socket.socket, how: int) -> None:
    """Shut a connection; the other side, or its thread here, may have closed it before."""
    with contextlib.suppress(OSError):
        sock.shutdown(how)
