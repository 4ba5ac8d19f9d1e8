"""Connections that carry callers' requests to backend servers."""

import collections
import socket
import threading

from attrs import define, field, frozen
from urllib3.connection import HTTPConnection

CONNECT_TIMEOUT_S = 1.0
IDLE_PER_SERVER_MAX = 32


@frozen
class Address:
    """Address a backend server by IP number and port."""

    host: str
    port: int


class StreamConnection(HTTPConnection):
    """Ask by HTTP/1.0, whose answer ends with the connection and is not cut into chunks."""

    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"


@define(eq=False)
class Channel:
    """Hold one connection with the monotonic time it was made.

    `sock` is its socket once connected: http.client lets go of it before a body that ends with
    the connection is read.
    """

    address: Address
    connection: HTTPConnection
    opened_at: float
    sock: socket.socket | None = None


@define
class ConnectionPool:
    """Hold idle connections by backend server; safe for use by worker threads.

    A connection returns here only after a whole exchange, so that no answer of an earlier request
    can be read as that of a later one.
    """

    age_max_s: float
    _idle: dict[Address, collections.deque[Channel]] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def take(self, address: Address, now: float, fresh: bool = False) -> Channel:
        """Return an idle connection young enough, or a new one that connects on first use."""
        while not fresh:
            with self._lock:
                queue = self._idle.get(address)
                channel = queue.pop() if queue else None
            if channel is None:
                break
            if self._is_usable(channel, now):
                return channel
            channel.connection.close()
        connection = HTTPConnection(address.host, address.port, timeout=CONNECT_TIMEOUT_S)
        return Channel(address, connection, now)

    def give_back(self, channel: Channel, now: float) -> None:
        """Keep a connection for reuse after a whole exchange."""
        with self._lock:
            queue = self._idle.setdefault(channel.address, collections.deque())
            keep = len(queue) < IDLE_PER_SERVER_MAX and self._is_young(channel, now)
            if keep:
                queue.append(channel)
        if not keep:
            channel.connection.close()

    def drop_server(self, address: Address) -> None:
        """Close all idle connections to a backend server, after one of them went silent."""
        with self._lock:
            queue = self._idle.pop(address, collections.deque())
        for channel in queue:
            channel.connection.close()

    def _is_young(self, channel: Channel, now: float) -> bool:
        return now - channel.opened_at < self.age_max_s

    def _is_usable(self, channel: Channel, now: float) -> bool:
        return self._is_young(channel, now) and channel.connection.is_connected


def make_stream_channel(address: Address, now: float) -> Channel:
    """Make a connection for one stream."""
    connection = StreamConnection(address.host, address.port, timeout=CONNECT_TIMEOUT_S)
    return Channel(address, connection, now)
