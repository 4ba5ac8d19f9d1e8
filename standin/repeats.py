"""Faulty server that writes an earlier answer of a connection once more."""

import asyncio
import enum
import re
from collections.abc import Callable

from attrs import define, evolve, field

from standin.replica import Exchange, Replica

PAUSE_S = 0.01
RUN_S = 0.01
"""Time between two packets, and of a run."""

EVENTS = 3
"""Events of a stream."""


class When(enum.Enum):
    """When an earlier answer is written once more."""

    BEHIND = "behind the answer"
    IDLE = "between two requests"
    HALF_IDLE = "half between two requests"
    BEFORE = "as the next request arrives"
    HALVES = "in halves as the next request arrives"
    WITH = "with the next answer"
    AFTER = "behind the next answer"


@define(eq=False)
class Recording:
    """Writer that keeps what is written."""

    data: bytes = b""

    def write(self, data: bytes) -> None:
        """Keep bytes."""
        self.data += data


def record_answer(exchange: Exchange, answer: Callable[[Exchange], None]) -> bytes:
    """Return the bytes of an answer without sending them."""
    recording = Recording()
    answer(evolve(exchange, writer=recording))
    return recording.data


def drop_id(answer: bytes) -> bytes:
    """Return an answer without the id of its request."""
    return re.sub(rb"Rhubarbshed-Request-Id: [^\r]*\r\n", b"", answer)


def run(exchange: Exchange) -> None:
    """Answer a plain request or a stream that has run."""
    if not exchange.target.startswith(("/s/", "/n/")):
        exchange.answer(200, b"done:" + exchange.request_id.encode())
        return
    exchange.begin_stream()
    for number in range(int(exchange.headers.get("last-event-id", 0)) + 1, EVENTS + 1):
        exchange.send_event(number, exchange.request_id)
    exchange.end_stream()


@define(eq=False)
class Repeater:
    """Reply that gives its first request the answer `first`, and runs all others.

    It writes the first answer, changed by `change`, once more on the same connection, also with
    later requests there: not with another pass of the first request if `spares_first`. A stream
    that begins is reset behind its first event if `breaks`. `runs` are the ids of requests that it
    began to run.
    """

    first: Callable[[Exchange], None]
    when: When
    change: Callable[[bytes], bytes] = bytes
    spares_first: bool = False
    breaks: bool = False
    first_id: str | None = None
    copies: dict[asyncio.StreamWriter, bytes] = field(factory=dict)
    runs: list[str] = field(factory=list)
    tasks: set[asyncio.Task] = field(factory=set)

    async def __call__(self, exchange: Exchange) -> None:
        """Answer a request."""
        if self.first_id is None:
            self.first_id = exchange.request_id
            self._answer_first(exchange)
            return
        copy = self.copies.get(exchange.writer, b"")
        if self.spares_first and exchange.request_id == self.first_id:
            copy = b""
        self.runs.append(exchange.request_id)
        await self._write_before(exchange, copy)
        await asyncio.sleep(RUN_S)
        own = record_answer(exchange, run)
        if self.breaks and exchange.target.startswith("/s/") and b"t1 " in own:
            exchange.write(own[: own.index(b"id: 2")])
            await exchange.writer.drain()
            await asyncio.sleep(PAUSE_S)
            exchange.reset()
            return
        exchange.write(copy + own if self.when is When.WITH else own)
        if self.when is When.AFTER:
            self._write_later(exchange, copy)

    def _answer_first(self, exchange: Exchange) -> None:
        answer = record_answer(exchange, self.first)
        copy = self.change(answer)
        if b" 200 " in answer or b" 500 " in answer:
            self.runs.append(exchange.request_id)
        exchange.write(answer + copy if self.when is When.BEHIND else answer)
        half = len(copy) // 2
        if self.when is When.IDLE:
            self._write_later(exchange, copy)
        elif self.when is When.HALF_IDLE:
            self._write_later(exchange, copy[:half])
            self.copies[exchange.writer] = copy[half:]
        elif self.when is not When.BEHIND:
            self.copies[exchange.writer] = copy

    async def _write_before(self, exchange: Exchange, copy: bytes) -> None:
        half = len(copy) // 2
        if self.when in (When.BEFORE, When.HALF_IDLE):
            exchange.write(copy)
        elif self.when is When.HALVES:
            exchange.write(copy[:half])
            await exchange.writer.drain()
            await asyncio.sleep(PAUSE_S)
            exchange.write(copy[half:])

    def _write_later(self, exchange: Exchange, data: bytes) -> None:
        async def write() -> None:
            await asyncio.sleep(PAUSE_S)
            exchange.write(data)

        task = asyncio.create_task(write())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


@define(eq=False)
class RepeatingReplica(Replica):
    """Replica that writes the first answer of a connection once more before each later one.

    That holds for requests, orders, reports and health checks alike.
    """

    earlier: dict[asyncio.StreamWriter, bytes] = field(factory=dict)

    async def _route(self, exchange: Exchange) -> None:
        own = Recording()
        await Replica._route(self, evolve(exchange, writer=own))
        exchange.write(self.earlier.get(exchange.writer, b"") + own.data)
        self.earlier.setdefault(exchange.writer, own.data)
