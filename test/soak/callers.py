"""Callers that keep their connections open until the instance behind them has ended."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable

from attrs import define

from standin.run import SLOW_STREAM_PATH
from test.helper_edge import HOST, Answer, read_answer
from test.soak.history import Asked, History, Sent

ANSWER_TIMEOUT_S = 4.0
STREAM_TIMEOUT_S = 7.0
REQUEST_INTERVAL_S = (0.02, 0.25)
DISCONNECT_FRACTION = 0.05
DISCONNECT_AFTER_S = (0.02, 0.2)
CONNECT_TIMEOUT_S = 1.0
"""Time for which callers wait for an answer or a whole stream, pauses between requests, fraction of
requests whose caller disconnects early and after which time, and time to connect."""

LATE_DISCONNECT_EVERY = 3
LATE_DISCONNECT_FACTOR = 8.0
"""Which disconnects come later, as of a caller whose request waits for long, and by how much."""

HALF_CLOSED_EVERY = 2
HALF_CLOSED_S = 1.0
"""Which disconnects end only the caller's own direction first, with the answer unread, for how
long."""

AT_ONCE_FRACTION = 0.5
PARTS_FRACTION = 0.1
PART_PAUSE_S = (0.02, 0.6)
SLOW_STREAM_FRACTION = 0.25
"""Fraction of requests sent as the answer before ends, of those that are sent in two parts and the
pause between these, and of streams that outlast the time in which a stop is announced."""

RESUMES_MAX = 2
RESUME_TIME_MIN_S = 0.5
BREAK_FRACTION = 0.15
BREAK_AFTER_S = (0.3, 0.9)
"""Further attempts at a broken stream, the least time that they need, and fraction of streams whose
connection the caller loses by itself, after which time."""

FIRST_PART = "f1"
"""Part that all prompts begin with."""

MODELS = (
    *("m1", "m2", "m3", "m4", "m5"),
    *(f"m1/a{number}" for number in range(1, 10)),
    *(f"m2/a{number}" for number in range(1, 4)),
)
"""Models and adapters requested: more adapters than engines have adapter slots, so that adapters
are loaded and unloaded all the time."""


@define(eq=False)
class Link:
    """Connection of a caller to an instance, begun at `begun_at`."""

    instance: str
    begun_at: float
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_kept: bool = False

    @property
    def address(self) -> tuple[str, int]:
        """Return the caller's own address."""
        return self.writer.get_extra_info("sockname")

    @property
    def is_ended(self) -> bool:
        """Return whether the end of the connection has been seen."""
        return self.reader.at_eof() or self.writer.transport.is_closing()


@define(eq=False)
class Caller:
    """Caller that uses one instance after another, each while its connection lasts."""

    name: str
    rng: random.Random
    history: History
    choose_instance: Callable[[], tuple[str, int]]
    sent_count: int = 0
    slow_fraction: float = SLOW_STREAM_FRACTION
    gave_up: bool = False

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            instance, port = self.choose_instance()
            if (link := await connect(instance, port)) is None:
                await asyncio.sleep(self.rng.uniform(*REQUEST_INTERVAL_S))
                continue
            try:
                await self.use(link, Sent.NEW)
            finally:
                link.writer.transport.abort()

    async def use(self, link: Link, how: Sent) -> None:
        """Send requests on a connection until it ends, the first one as `how`."""
        while await self.ask(link, how, self.draw_path()):
            how = Sent.AT_ONCE
            if self.rng.random() >= AT_ONCE_FRACTION:
                await asyncio.sleep(self.rng.uniform(*REQUEST_INTERVAL_S))
                how = Sent.KEPT

    def draw_path(self) -> str:
        """Draw the path of the next request, without its id."""
        path = self.rng.choice(("/p/", "/u/", "/s/", "/s/", "/x/"))
        slow = path == "/s/" and self.rng.random() < self.slow_fraction
        return SLOW_STREAM_PATH if slow else path

    async def ask(self, link: Link, how: Sent, path: str) -> bool:
        """Send one request, and take a broken stream up; return whether `link` stays usable."""
        asked = await self.send_request(link, how, path)
        until = asked.sent_at + STREAM_TIMEOUT_S - RESUME_TIME_MIN_S
        answered = 0
        while answered < RESUMES_MAX:
            broken = asked.last_event and not (asked.status == 200 and asked.whole)
            if not broken or self.gave_up or time.monotonic() > until:
                break
            asked = await self.take_up(asked, until)
            # A relay without an instance behind it accepts and resets.
            answered += asked.status != 0
        return link.is_kept

    async def take_up(self, earlier: Asked, until: float) -> Asked:
        """Take a stream up at another instance; return the attempt, `earlier` without one."""
        while (link := await self.connect_elsewhere(earlier.instance)) is None:
            await asyncio.sleep(self.rng.uniform(*REQUEST_INTERVAL_S))
            if time.monotonic() > until:
                return earlier
        timeout_s = until - time.monotonic()
        try:
            asked = await self.send_request(link, Sent.NEW, earlier.path, earlier, timeout_s)
        finally:
            link.writer.transport.abort()
        if asked.status != 200:
            await asyncio.sleep(self.rng.uniform(*REQUEST_INTERVAL_S))
        return asked

    async def connect_elsewhere(self, left: str) -> Link | None:
        """Connect to an instance other than the one that was left, which may be back by now."""
        instance, port = self.choose_instance()
        while instance == left:
            instance, port = self.choose_instance()
        return await connect(instance, port)

    async def send_request(
        self, link: Link, how: Sent, path: str, earlier: Asked | None = None, timeout_s: float = 0.0
    ) -> Asked:
        """Send one request and record its answer; one with an `earlier` takes up its stream."""
        self.sent_count += 1
        request_id = f"{self.name}-{self.sent_count}"
        if earlier is None:
            path += request_id
            timeout_s = STREAM_TIMEOUT_S if path.startswith("/s/") else ANSWER_TIMEOUT_S
            payload = b"" if path.startswith("/p/") else request_id.encode() * 3
            model, first, after = self.rng.choice(MODELS), "", 0
        else:
            payload, model, after = earlier.payload, earlier.model, earlier.last_event
            first = earlier.first or earlier.request_id
        lines = [f"Rhubarbshed-Deadline-Remaining: {int(timeout_s * 1000)}"]
        if path.startswith("/s/"):
            lines.append(f"Rhubarbshed-Model: {model}")
            lines.append(f"Rhubarbshed-Prompt-Prefix: {FIRST_PART}:100,{first or request_id}:20")
        if earlier:
            lines += [f"Last-Event-Id: {after}", f"Resumes: {first}"]
        data = make_request(request_id, path, payload, lines)
        sent_at = time.monotonic()
        if how is Sent.PARTS or (not earlier and self.rng.random() < PARTS_FRACTION):
            how = Sent.PARTS
            data = await self.send_part(link, data)
        last_byte_at = 0.0 if link.is_ended else time.monotonic()
        link.writer.write(data)
        patience_s = timeout_s + 1.0 if earlier else self.draw_patience(path, timeout_s)
        waits_from = time.monotonic()
        answer = await read_within(link.reader, patience_s)
        ended_at = time.monotonic()
        left = not answer.whole and ended_at - waits_from >= patience_s
        self.gave_up = self.gave_up and left
        refused = self.history.refused.get(link.address, 0.0) >= link.begun_at
        headers = answer.headers
        signed = "rhubarbshed-response-signature" in headers
        asked = Asked(
            *(request_id, path, link.instance, sent_at, ended_at, answer.status, signed),
            *(answer.whole, answer.body, payload, headers.get("retry-after", ""), left, how),
            *(last_byte_at, model, first, after, refused),
        )
        self.history.asked.append(asked)
        if left:
            await self.disconnect(link.writer)
        link.is_kept = answer.whole and headers.get("connection") != "close"
        return asked

    def draw_patience(self, path: str, timeout_s: float) -> float:
        """Draw the time after which the caller leaves: for good, or to take its stream up."""
        self.gave_up = self.rng.random() < DISCONNECT_FRACTION
        if self.gave_up:
            factor = 1.0 if self.sent_count % LATE_DISCONNECT_EVERY else LATE_DISCONNECT_FACTOR
            return self.rng.uniform(*DISCONNECT_AFTER_S) * factor
        if path.startswith("/s/") and self.rng.random() < BREAK_FRACTION:
            return self.rng.uniform(*BREAK_AFTER_S)
        return timeout_s + 1.0

    async def send_part(self, link: Link, data: bytes) -> bytes:
        """Send the first part of a request, pause, and return the rest."""
        size = self.rng.randrange(1, len(data))
        link.writer.write(data[:size])
        await asyncio.sleep(self.rng.uniform(*PART_PAUSE_S))
        return data[size:]

    async def disconnect(self, writer: asyncio.StreamWriter) -> None:
        """End a connection, at times without reading what is on its way."""
        half_closed = self.gave_up and self.sent_count % HALF_CLOSED_EVERY == 0
        if half_closed and not writer.transport.is_closing():
            writer.transport.pause_reading()
            with contextlib.suppress(OSError):
                # The other end may have reset the connection just now.
                writer.write_eof()
                await asyncio.sleep(HALF_CLOSED_S)
        writer.transport.abort()


def make_request(request_id: str, path: str, payload: bytes, lines: list[str]) -> bytes:
    """Return the bytes of a request with further header lines."""
    head = [
        f"{'POST' if payload else 'GET'} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Rhubarbshed-Request-Id: {request_id}",
        *lines,
    ]
    if payload:
        head.append(f"Content-Length: {len(payload)}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + payload


async def connect(instance: str, port: int) -> Link | None:
    """Return a new connection, None if there is none in time."""
    begun_at = time.monotonic()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return Link(instance, begun_at, *await asyncio.open_connection("127.0.0.1", port))
    except (OSError, TimeoutError):
        return None


async def read_within(reader: asyncio.StreamReader, timeout_s: float) -> Answer:
    """Read an answer, or the part of it that arrives within a time.

    `asyncio.wait_for` would lose a cancellation that comes as the answer does.
    """
    answer = Answer()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await read_answer(reader, answer)
    return answer
