"""Callers that keep their connections open until the instance behind them has ended."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable

from attrs import define, field

from test.helper_edge import HOST, Answer, read_answer
from test.soak.history import Asked, History

ANSWER_TIMEOUT_S = 4.0
REQUEST_INTERVAL_S = (0.02, 0.25)
DISCONNECT_FRACTION = 0.05
DISCONNECT_AFTER_S = (0.02, 0.2)
CONNECT_TIMEOUT_S = 1.0
"""Time for which callers wait for an answer, pauses between requests, fraction of requests whose
caller disconnects early and after which time, and time to connect."""

LATE_DISCONNECT_EVERY = 3
LATE_DISCONNECT_FACTOR = 8.0
"""Which disconnects come later, as of a caller whose request waits for long, and by how much."""

HALF_CLOSED_EVERY = 2
HALF_CLOSED_S = 1.0
"""Which disconnects end only the caller's own direction first, with the answer unread, for how
long."""

MODELS = (
    *("m1", "m2", "m3", "m4", "m5"),
    *(f"m1/a{number}" for number in range(1, 10)),
    *(f"m2/a{number}" for number in range(1, 4)),
)
"""Models and adapters requested: more adapters than engines have adapter slots, so that adapters
are loaded and unloaded all the time."""


@define(eq=False)
class Caller:
    """Caller that uses one instance after another, each while its connection lasts."""

    name: str
    rng: random.Random
    history: History
    choose_instance: Callable[[], tuple[str, int]]
    sent_count: int = 0
    tasks: set[asyncio.Task] = field(factory=set)

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            instance, port = self.choose_instance()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
            except (OSError, TimeoutError):
                await asyncio.sleep(self.rng.uniform(*REQUEST_INTERVAL_S))
                continue
            try:
                reused = False
                while await self.send_request(instance, reader, writer, reused):
                    reused = True
                    await asyncio.sleep(self.rng.uniform(*REQUEST_INTERVAL_S))
            finally:
                writer.transport.abort()

    async def send_request(
        self,
        instance: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        reused: bool,
    ) -> bool:
        """Send one request and record its answer; return whether the connection stays usable."""
        self.sent_count += 1
        request_id = f"{self.name}-{self.sent_count}"
        path = self.rng.choice(("/p/", "/u/", "/s/", "/s/", "/x/")) + request_id
        payload = b"" if path.startswith("/p/") else request_id.encode() * 3
        sent_at = time.monotonic()
        writer.write(self.make_request(request_id, path, payload))
        disconnects = self.rng.random() < DISCONNECT_FRACTION
        timeout_s = self.rng.uniform(*DISCONNECT_AFTER_S) if disconnects else ANSWER_TIMEOUT_S + 1.0
        if disconnects and self.sent_count % LATE_DISCONNECT_EVERY == 0:
            timeout_s *= LATE_DISCONNECT_FACTOR
        answer = await read_within(reader, timeout_s)
        ended_at = time.monotonic()
        disconnected = not answer.whole and ended_at - sent_at >= timeout_s
        headers = answer.headers
        record = Asked(
            request_id,
            path,
            instance,
            sent_at,
            ended_at,
            answer.status,
            "rhubarbshed-response-signature" in headers,
            answer.whole,
            answer.body,
            payload,
            headers.get("retry-after", ""),
            disconnected,
            reused,
        )
        self.history.asked.append(record)
        if disconnected:
            await self.disconnect(writer)
        return answer.whole and not disconnected and headers.get("connection") != "close"

    async def disconnect(self, writer: asyncio.StreamWriter) -> None:
        """End a connection, at times without reading what is on its way."""
        if self.sent_count % HALF_CLOSED_EVERY == 0 and not writer.transport.is_closing():
            writer.transport.pause_reading()
            writer.write_eof()
            await asyncio.sleep(HALF_CLOSED_S)
        writer.transport.abort()

    def make_request(self, request_id: str, path: str, payload: bytes) -> bytes:
        """Return the bytes of a request."""
        lines = [
            f"{'POST' if payload else 'GET'} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Rhubarbshed-Request-Id: {request_id}",
            f"Rhubarbshed-Deadline-Remaining: {int(ANSWER_TIMEOUT_S * 1000)}",
        ]
        if path.startswith("/s/"):
            lines.append(f"Rhubarbshed-Model: {self.rng.choice(MODELS)}")
        if payload:
            lines.append(f"Content-Length: {len(payload)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + payload


async def read_within(reader: asyncio.StreamReader, timeout_s: float) -> Answer:
    """Read an answer, or the part of it that arrives within a time.

    `asyncio.wait_for` would lose a cancellation that comes as the answer does.
    """
    answer = Answer()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await read_answer(reader, answer)
    return answer
