"""Relay of streams by the event loop, after their first token has been sent to the caller.

With a worker thread per stream, each token would wake a thread that contends for the interpreter
lock; the loop copies what has arrived on all streams in one iteration. The worker waits meanwhile.
It resumes a stream whose caller reads slowly, and writes what may not fit into the caller's socket,
since the loop must never block on one.
"""

import asyncio
import contextlib
import select
import socket
import threading
import time
from collections.abc import Callable

import urllib3
from attrs import define, field, frozen

from rhubarbshed.protocol.requests import AttemptEnd
from rhubarbshed.transport.events import ERRORS, READ_BYTES, Attempt, EventBuffer
from rhubarbshed.transport.loop_calls import LoopCallQueue
from rhubarbshed.util.sockets import has_peer_closed

# Bytes that the loop writes at once: a socket that is writable has a third of its buffer free,
# which is 16 KiB at least (tcp(7), tcp_wmem).
LOOP_WRITE_BYTES_MAX = 4096


@frozen
class CallerConnection:
    """Connection to a caller: its socket, and the HTTP server's function that writes a chunk."""

    socket: socket.socket
    write: Callable[[bytes], None]

    def is_writable(self) -> bool:
        """Return whether a write would not block."""
        return bool(select.select((), (self.socket,), (), 0)[1])

    def end(self) -> None:
        """End what is sent to the caller, who may have closed the connection before."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)


@define(eq=False)
class RelayedStream:
    """Stream that the loop copies to a caller.

    `end` is None while the stream continues, also when the worker must resume it with `pending`:
    until its end if the caller is `slow`, else until these bytes are written.
    """

    response: urllib3.HTTPResponse
    source: socket.socket
    attempt: Attempt
    buffer: EventBuffer
    caller_connection: CallerConnection
    end: AttemptEnd | None = None
    pending: bytes = b""
    slow: bool = False
    done: threading.Event = field(factory=threading.Event)


@define(eq=False)
class StreamRelay:
    """All streams that the loop copies, by file descriptor of the source.

    Many copies may be due in one iteration of the loop; a pending loop call runs before each.
    """

    loop: asyncio.AbstractEventLoop
    loop_calls: LoopCallQueue
    streams: dict[int, RelayedStream] = field(factory=dict)

    def relay(self, relayed: RelayedStream) -> None:
        """Block a worker thread until the loop has copied a stream to its end or returned it."""
        self.loop.call_soon_threadsafe(self._add, relayed)
        relayed.done.wait()

    def _add(self, relayed: RelayedStream) -> None:
        descriptor = relayed.source.fileno()
        if descriptor < 0:
            self._return_to_worker(relayed, AttemptEnd.BROKEN)
            return
        relayed.attempt.waiting_since = time.monotonic()
        self.streams[descriptor] = relayed
        self.loop.add_reader(descriptor, self._copy, descriptor)

    def _copy(self, descriptor: int) -> None:
        """Copy what has arrived on one stream to its caller."""
        self.loop_calls.run_next()
        relayed = self.streams[descriptor]
        try:
            data = relayed.response.read1(READ_BYTES)
        except ERRORS:
            data = b""
        if not data:
            self._remove(descriptor, AttemptEnd.BROKEN)
            return
        events = relayed.buffer.events
        piece, end = relayed.buffer.feed(data, relayed.attempt)
        if relayed.buffer.events > events:
            relayed.attempt.waiting_since = time.monotonic()
        relayed.slow = bool(piece.data) and not relayed.caller_connection.is_writable()
        if relayed.slow or len(piece.data) > LOOP_WRITE_BYTES_MAX:
            relayed.pending = piece.data
            self._remove(descriptor, end)
            return
        try:
            if piece.data:
                relayed.caller_connection.write(piece.data)
        except OSError:
            end = AttemptEnd.CALLER_GONE
        if end is not None:
            self._remove(descriptor, end)

    def sweep(self, now: float) -> None:
        """End streams that received no event for `gap_timeout_s`, or whose callers have left."""
        for descriptor, relayed in list(self.streams.items()):
            if has_peer_closed(relayed.caller_connection.socket):
                self._remove(descriptor, AttemptEnd.CALLER_GONE)
            elif now - relayed.attempt.waiting_since >= relayed.attempt.dispatch.gap_timeout_s:
                self._remove(descriptor, AttemptEnd.TIMED_OUT)

    def stop(self) -> None:
        """End all streams at once."""
        for descriptor in list(self.streams):
            self._remove(descriptor, AttemptEnd.BROKEN)

    def _remove(self, descriptor: int, end: AttemptEnd | None) -> None:
        self.loop.remove_reader(descriptor)
        self._return_to_worker(self.streams.pop(descriptor), end)

    def _return_to_worker(self, relayed: RelayedStream, end: AttemptEnd | None) -> None:
        relayed.end = end
        relayed.done.set()
