"""Callers that send requests which end the servers that run them."""

import asyncio
import random
import time
from collections.abc import Iterator

from standin.run import DEADLY_BODY, DEADLY_PART
from test.soak.callers import FIRST_PART, connect, make_request, read_within
from test.soak.history import Asked, Deadly
from test.soak.scene import Scene

SENT_FOR_S = (5.0, 9.0)
INTERVAL_S = (0.05, 0.4)
TIMEOUT_S = 3.0
"""Time in which a caller sends such requests, pause between two, and time for an answer."""

PATHS = ("/p/", "/u/", "/s/")


async def send_deadly_requests(scene: Scene, rng: random.Random, alike: bool) -> None:
    """Send one request again and again, with new ids and at any instance.

    If they are not `alike`, they are all different and have a part of their prompts in common.
    """
    scene.deadly += 1
    kind = f"deadly{scene.deadly}" if alike else f"{DEADLY_PART}{scene.deadly}"
    prefix = rng.choice(PATHS) if alike else "/s/"
    tasks = set()
    for number in count_until(time.monotonic() + rng.uniform(*SENT_FOR_S)):
        request_id = f"{kind}-{number}"
        path = prefix + (kind if alike else request_id)
        body = DEADLY_BODY + kind.encode() if alike else request_id.encode()
        lines = [f"Rhubarbshed-Deadline-Remaining: {int(TIMEOUT_S * 1000)}"]
        if prefix == "/s/":
            parts = ("own",) if alike else rng.sample((FIRST_PART, kind), 2) + [request_id]
            listed = ",".join(f"{part}:10" for part in parts)
            lines += ["Rhubarbshed-Model: m1", f"Rhubarbshed-Prompt-Prefix: {listed}"]
        data = make_request(request_id, path, body, lines)
        tasks.add(asyncio.create_task(send(scene, rng, request_id, kind, path, data)))
        await asyncio.sleep(rng.uniform(*INTERVAL_S))
    await asyncio.gather(*tasks)


def count_until(until: float) -> Iterator[int]:
    """Count up until a monotonic time."""
    number = 0
    while time.monotonic() < until:
        number += 1
        yield number


async def send(
    scene: Scene, rng: random.Random, request_id: str, kind: str, path: str, data: bytes
) -> None:
    """Send one request on a new connection and record it with its answer."""
    instance, port = scene.choose_instance(rng)
    if (link := await connect(instance, port)) is None:
        return
    sent_at = time.monotonic()
    scene.history.deadly.append(Deadly(request_id, kind, instance, sent_at))
    try:
        link.writer.write(data)
        answer = await read_within(link.reader, TIMEOUT_S + 1.0)
    finally:
        link.writer.transport.abort()
    signed = "rhubarbshed-response-signature" in answer.headers
    scene.history.asked.append(
        Asked(
            *(request_id, path, instance, sent_at, time.monotonic(), answer.status, signed),
            *(answer.whole, answer.body),
            retry_after=answer.headers.get("retry-after", ""),
        )
    )
