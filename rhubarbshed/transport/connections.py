"""Connections to backend servers for callers' requests."""

import collections
import socket
import threading

from attrs import define, field, frozen
from urllib3.connection import HTTPConnection

from rhubarbshed.transport.heads import PlainConnection

CONNECT_TIMEOUT_S = 1.0
IDLE_PER_SERVER_MAX = 32
# Requests after which a connection is not used again, as it keeps their ids.
REQUESTS_MAX = 128


@frozen
class Address:
    """IP address and port of a backend server."""

    host: str
    port: int


class StreamConnection(PlainConnection):
    """HTTP/1.0 connection, whose answer ends with the connection and is not chunked."""

    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"


@define(eq=False)
class Channel:
    """A connection with the monotonic time it was made, and the ids of the requests it has carried.

    `sock` is its socket once connected: http.client drops its reference before a body that ends
    with the connection is read.
    """

    address: Address
    connection: HTTPConnection
    opened_at: float
    sock: socket.socket | None = None
    request_ids: set[str] = field(factory=set)


@define
class ConnectionPool:
    """Idle connections by backend server; thread-safe.

    A connection is returned only after a complete exchange whose answer names its request, and is
    not used for that request again. So an earlier answer that a server writes once more names
    another request than the one expected.
    """

    age_max_s: float
    _idle: dict[Address, collections.deque[Channel]] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def take(self, address: Address, now: float, request_id: str, fresh: bool = False) -> Channel:
        """Return an idle connection that has not carried a request, or a new one not connected."""
        found = None if fresh else self._take_idle(address, now, request_id)
        if found is None:
            connection = PlainConnection(address.host, address.port, timeout=CONNECT_TIMEOUT_S)
            found = Channel(address, connection, now)
        found.request_ids.add(request_id)
        return found

    def _take_idle(self, address: Address, now: float, request_id: str) -> Channel | None:
        found, carried, ended = None, [], []
        with self._lock:
            queue = self._idle.get(address, collections.deque())
            while queue and found is None:
                channel = queue.pop()
                if not self._is_usable(channel, now):
                    ended.append(channel)
                elif request_id in channel.request_ids:
                    carried.append(channel)
                else:
                    found = channel
            queue.extend(reversed(carried))
        for channel in ended:
            channel.connection.close()
        return found

    def give_back(self, channel: Channel, now: float) -> None:
        """Keep a connection for reuse after a complete exchange."""
        with self._lock:
            queue = self._idle.setdefault(channel.address, collections.deque())
            keep = (
                len(queue) < IDLE_PER_SERVER_MAX
                and len(channel.request_ids) < REQUESTS_MAX
                and self._is_young(channel, now)
            )
            if keep:
                queue.append(channel)
        if not keep:
            channel.connection.close()

    def drop_server(self, address: Address) -> None:
        """Close all idle connections to a backend server, after one of them timed out."""
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
