"""Replicas that name limits, and callers at several instances."""

import asyncio
import time
from collections.abc import Sequence

from attrs import define, field

from standin.replica import Exchange
from test.helper_clock import read_loop_time
from test.helper_crashes import CrashScene
from test.helper_edge import Answer

STABLE_S = 3.0
"""Time after which a named limit holds, the platform's bound."""

WINDOW_S = 4.0
"""Window in which the platform counts requests to a server."""

OVERAGE = 1.5
EXTRA = 5
"""What the platform allows beyond a limit in one window."""

RUN_S = 0.02


@define
class LimitedReplicas:
    """Replies of replicas; those in `limits` name that limit, the others none.

    `arrived` are the requests at each replica, by monotonic time.
    """

    limits: dict[str, str] = field(factory=dict)
    status: int = 200
    arrived: dict[str, list[float]] = field(factory=dict)

    async def __call__(self, exchange: Exchange) -> None:
        """Answer after a while, and name the limit that holds then."""
        name = exchange.replica.server_id
        self.arrived.setdefault(name, []).append(time.monotonic())
        await asyncio.sleep(RUN_S)
        limit = self.limits.get(name)
        lines = (f"Server-Limit: {limit}",) if limit is not None else ()
        if exchange.target.startswith("/s/"):
            await self.break_off(exchange, lines)
        else:
            exchange.answer(self.status, b"done", *lines)

    async def break_off(self, exchange: Exchange, lines: Sequence[str]) -> None:
        """Send one event of a stream, then reset the connection."""
        exchange.begin_stream(*lines)
        exchange.send_event(int(exchange.headers.get("last-event-id", 0)) + 1)
        await exchange.writer.drain()
        await asyncio.sleep(RUN_S)
        exchange.reset()

    def serve(self, scene: CrashScene) -> None:
        """Answer for all replicas of a scene."""
        for replica in scene.replicas.values():
            replica.reply = self

    def count_most(self, name: str, since: float, until: float = float("inf")) -> int:
        """Return the most requests at a replica in one window."""
        times = [at for at in self.arrived.get(name, ()) if since <= at < until]
        return max((sum(at <= each < at + WINDOW_S for each in times) for at in times), default=0)

    def count(self, names: Sequence[str], since: float) -> int:
        """Return the requests at some replicas since a time."""
        return sum(at >= since for name in names for at in self.arrived.get(name, ()))


def allow(limit: float) -> int:
    """Return the requests that the platform allows in one window."""
    return int(OVERAGE * WINDOW_S * limit + EXTRA)


@define
class Load:
    """Requests of callers at instances, `per_s` in all, in turn over `names`."""

    scene: CrashScene
    names: Sequence[str]
    per_s: float
    path: str = "/p/x"
    headers: dict[str, str] = field(factory=dict)
    answers: list[tuple[float, float, Answer]] = field(factory=list)
    """When each was sent, the seconds it took by the loop's clock, and the answer."""

    async def run(self, for_s: float) -> None:
        """Send requests at an even rate, and wait for all answers."""
        begun_at = time.monotonic()
        tasks = []
        for number in range(int(self.per_s * for_s)):
            due = begun_at + number / self.per_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            tasks.append(asyncio.create_task(self.ask(self.names[number % len(self.names)])))
        await asyncio.gather(*tasks)

    async def ask(self, name: str) -> None:
        """Send one request; nobody takes it while its instance is down."""
        sent_at, begun_at = time.monotonic(), read_loop_time()
        try:
            answer = await self.scene.ask(name, self.path, **self.headers)
        except OSError:
            answer = Answer()
        self.answers.append((sent_at, read_loop_time() - begun_at, answer))

    def list_since(self, since: float) -> list[tuple[float, float, Answer]]:
        """Return the answers to requests sent since a time."""
        return [each for each in self.answers if each[0] >= since]

    def measure_served(self, since: float) -> float:
        """Return the share of the requests sent since a time that were answered with success."""
        answers = self.list_since(since)
        return sum(answer.status == 200 for *_, answer in answers) / max(1, len(answers))
