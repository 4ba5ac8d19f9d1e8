"""Callers around one planned stop: on each kind of connection, at the times that matter most."""

import asyncio
import functools
import random
import time
from collections.abc import Callable

from attrs import frozen

from test.soak.callers import SLOW_STREAM_PATH, Caller, connect
from test.soak.checks import ANNOUNCE_S
from test.soak.history import Sent
from test.soak.scene import Scene, name_added_route

LEAD_S = 1.2
"""Time from the arrival of the first visitors to SIGTERM."""

BURST_S = (ANNOUNCE_S - 0.12, ANNOUNCE_S + 0.06)
"""Range of times at which many connections come at once: the listener closes in it."""

Range = tuple[float, float]


@frozen
class Visit:
    """Connection opened within `connects` and first used within `sends`, in s from SIGTERM.

    A visit with `path` "" draws its path; further requests follow until the connection ends.
    """

    how: Sent
    connects: Range
    sends: Range
    path: str = ""


VISITS = (
    *(Visit(Sent.NEW, (-0.9, -0.1), (-0.9, -0.1), SLOW_STREAM_PATH) for _ in range(3)),
    *(Visit(Sent.IDLE, (-0.6, -0.1), (ANNOUNCE_S - 0.1, ANNOUNCE_S + 0.3)) for _ in range(3)),
    *(Visit(Sent.IDLE, (-0.6, 2.0), (0.0, 6.0)) for _ in range(2)),
    *(Visit(Sent.PARTS, (-0.6, 0.5), (ANNOUNCE_S - 0.5, ANNOUNCE_S + 0.1)) for _ in range(2)),
    Visit(Sent.PARTS, (-0.6, 0.5), (ANNOUNCE_S - 0.05, ANNOUNCE_S), SLOW_STREAM_PATH),
    *(Visit(Sent.NEW, (0.0, ANNOUNCE_S), (0.0, ANNOUNCE_S)) for _ in range(2)),
)
QUEUED_VISITS = 6
SLOW_FRACTION = 0.6
ASK_INTERVAL_S = 0.05
"""Visits on connections that come at once, fraction of slow streams among those of visitors, and
pause of one who asks for the only server of a service."""

ADDED_INTERVAL_S = (0.1, 0.4)
ADDED_ROUTES = 3
"""Pause of a visitor who asks for the routes that the last so many configurations added."""


async def visit_stop(scene: Scene, rng: random.Random, instance: str, stops_at: float) -> None:
    """Send requests around the stop of an instance, until their connections have ended."""
    burst_s = rng.uniform(*BURST_S)
    burst = (burst_s, burst_s)
    visits = (*VISITS, *(Visit(Sent.QUEUED, burst, burst) for _ in range(QUEUED_VISITS)))
    await asyncio.gather(*(_visit(scene, rng, instance, stops_at, each) for each in visits))


async def _visit(
    scene: Scene, rng: random.Random, instance: str, stops_at: float, visit: Visit
) -> None:
    # Only a connection past the relay waits in the queue of the instance's own listener.
    port = scene.listeners[instance]
    scene.visitors += 1
    name = f"v{scene.visitors}"
    own_rng = random.Random(f"{scene.seed}{name}")
    choose = functools.partial(scene.choose_instance, own_rng)
    caller = Caller(name, own_rng, scene.history, choose)
    caller.slow_fraction = SLOW_FRACTION
    connects_at = stops_at + rng.uniform(*visit.connects)
    sends_at = max(connects_at, stops_at + rng.uniform(*visit.sends))
    await asyncio.sleep(max(0.0, connects_at - time.monotonic()))
    if (link := await connect(instance, port)) is None:
        return
    try:
        await asyncio.sleep(max(0.0, sends_at - time.monotonic()))
        if link.is_ended:
            return
        path = visit.path or caller.draw_path()
        if await caller.ask(link, visit.how, path):
            await caller.use(link, Sent.AT_ONCE)
    finally:
        link.writer.transport.abort()


async def ask_for_server(scene: Scene, instance: str, server: str) -> None:
    """Send requests for the only server of a service to an instance, until cancelled."""
    pause_s = (ASK_INTERVAL_S, ASK_INTERVAL_S)
    await _ask_repeatedly(scene, instance, lambda rng: f"/{server}/", pause_s)


async def ask_for_added_routes(scene: Scene, instance: str) -> None:
    """Send requests for the routes that the last configurations added, until cancelled."""

    def draw_path(rng: random.Random) -> str:
        return name_added_route(rng.choice(list(scene.history.added)[-ADDED_ROUTES:]))

    await _ask_repeatedly(scene, instance, draw_path, ADDED_INTERVAL_S)


async def _ask_repeatedly(
    scene: Scene, instance: str, draw_path: Callable[[random.Random], str], pause_s: Range
) -> None:
    scene.visitors += 1
    name = f"v{scene.visitors}"
    rng = random.Random(f"{scene.seed}{name}")
    caller = Caller(name, rng, scene.history, functools.partial(scene.choose_instance, rng))
    while True:
        if (link := await connect(instance, scene.callers[instance])) is not None:
            try:
                await caller.send_request(link, Sent.NEW, draw_path(rng))
            finally:
                link.writer.transport.abort()
        await asyncio.sleep(rng.uniform(*pause_s))
