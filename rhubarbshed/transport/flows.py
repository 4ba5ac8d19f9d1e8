"""Streams copied by the loop, once their first token has been passed on.

A worker thread for each stream would wake for each token and queue for the interpreter lock; the
loop copies what has arrived on all streams in one pass. The worker waits, and takes a stream back
where its caller reads slowly, since the loop must never wait for a socket.
"""

import asyncio
import select
import socket
import threading
import time
from collections.abc import Callable

import urllib3
from attrs import define, field, frozen

from rhubarbshed.protocol.requests import AttemptEnd
from rhubarbshed.transport.events import ERRORS, READ_BYTES, Attempt, EventBuffer
from rhubarbshed.transport.questions import Questions


@frozen
class CallerConnection:
    """Hold the way to a caller: its socket, and the server's function that writes a chunk."""

    socket: socket.socket
    write: Callable[[bytes], None]

    def is_writable(self) -> bool:
        """Tell whether a write would not wait."""
        return bool(select.select((), (self.socket,), (), 0)[1])


@define(eq=False)
class Flow:
    """Hold one stream that the loop copies.

    `end` is None while it goes on, and also where the worker is to go on with `pending`.
    """

    response: urllib3.HTTPResponse
    source: socket.socket
    attempt: Attempt
    buffer: EventBuffer
    line: CallerConnection
    end: AttemptEnd | None = None
    pending: bytes = b""
    done: threading.Event = field(factory=threading.Event)


@define(eq=False)
class Flows:
    """Hold all streams that the loop copies, by the file descriptor of their source.

    Many copies may be due in one pass of the loop; a question goes before each.
    """

    loop: asyncio.AbstractEventLoop
    questions: Questions
    flows: dict[int, Flow] = field(factory=dict)

    def carry(self, flow: Flow) -> None:
        """Have the loop copy a stream, and wait until it ends or is given back; any thread."""
        self.loop.call_soon_threadsafe(self._add, flow)
        flow.done.wait()

    def _add(self, flow: Flow) -> None:
        descriptor = flow.source.fileno()
        if descriptor < 0:
            self._give_back(flow, AttemptEnd.BROKEN)
            return
        flow.attempt.waiting_since = time.monotonic()
        self.flows[descriptor] = flow
        self.loop.add_reader(descriptor, self._copy, descriptor)

    def _copy(self, descriptor: int) -> None:
        """Pass on what has arrived on one stream."""
        self.questions.answer_next()
        flow = self.flows[descriptor]
        try:
            data = flow.response.read1(READ_BYTES)
        except ERRORS:
            data = b""
        if not data:
            self._remove(descriptor, AttemptEnd.BROKEN)
            return
        flow.attempt.waiting_since = time.monotonic()
        piece, end = flow.buffer.take(data, flow.attempt)
        if piece.data and not flow.line.is_writable():
            flow.pending = piece.data
            self._remove(descriptor, end)
            return
        try:
            if piece.data:
                flow.line.write(piece.data)
        except OSError:
            end = AttemptEnd.CALLER_GONE
        if end is not None:
            self._remove(descriptor, end)

    def sweep(self, now: float) -> None:
        """End the streams that have been silent for too long."""
        for descriptor, flow in list(self.flows.items()):
            if now - flow.attempt.waiting_since >= flow.attempt.dispatch.gap_timeout_s:
                self._remove(descriptor, AttemptEnd.TIMED_OUT)

    def stop(self) -> None:
        """End all streams at once."""
        for descriptor in list(self.flows):
            self._remove(descriptor, AttemptEnd.BROKEN)

    def _remove(self, descriptor: int, end: AttemptEnd | None) -> None:
        self.loop.remove_reader(descriptor)
        self._give_back(self.flows.pop(descriptor), end)

    def _give_back(self, flow: Flow, end: AttemptEnd | None) -> None:
        flow.end = end
        flow.done.set()
