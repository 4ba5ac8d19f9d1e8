"""Callers with the keys of client accounts, keys that are taken away, and the check of both."""

import asyncio
import random
import time

from test.soak.callers import connect, make_request, read_within
from test.soak.history import History, Keyed
from test.soak.scene import KEYED_PATH, Scene, name_account, name_key

INTERVAL_S = (0.1, 0.4)
TIMEOUT_S = 3.0
"""Pause between two requests with keys at an instance, and time for an answer."""

REVOCATION_S = 5.0
"""Time after the store has a configuration without a key in which a request with it may run."""

DISTURBED_S = 6.0
"""Time before a run in which a fault at its server may have delayed it."""


async def send_keyed_requests(scene: Scene, instance: str) -> None:
    """Send requests with the key in force and the one before it to an instance, until cancelled."""
    rng = random.Random(f"{scene.seed}keys{instance}")
    tasks: set[asyncio.Task] = set()
    for number in range(10**9):
        key = max(1, scene.key_number - rng.randint(0, 1))
        request_id = f"k{key}-{instance}-{number}"
        task = asyncio.create_task(send(scene, instance, key, request_id))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(rng.uniform(*INTERVAL_S))


async def send(scene: Scene, instance: str, key: int, request_id: str) -> None:
    """Send one request on a new connection and record its status."""
    if (link := await connect(instance, scene.callers[instance])) is None:
        return
    lines = [
        f"Rhubarbshed-Deadline-Remaining: {int(TIMEOUT_S * 1000)}",
        f"Rhubarbshed-Key: {name_key(key)}",
        "Rhubarbshed-Tenant: admin",
    ]
    sent_at = time.monotonic()
    try:
        link.writer.write(make_request(request_id, KEYED_PATH + request_id, b"", lines))
        answer = await read_within(link.reader, TIMEOUT_S + 1.0)
    finally:
        link.writer.transport.abort()
    keyed = Keyed(request_id, key, instance, sent_at, answer.status, time.monotonic())
    scene.history.keyed.append(keyed)


def check_accounts(history: History) -> list[str]:
    """Check what servers saw of keys, that revoked ones run nothing, and that the last one does.

    A server that stood still may run late what was sent to it in time.
    """
    keys = {each.request_id: each.key for each in history.keyed}
    broken = [
        f"{each.request_id} had its key at {each.server}" for each in history.seen if each.key
    ]
    for each in history.seen:
        key = keys.get(each.request_id)
        if each.what != "run" or key is None:
            continue
        if each.account != name_account(key):
            broken.append(f"{each.request_id} ran as {each.account!r}")
        revoked_at = history.revoked.get(key)
        since = each.at - DISTURBED_S
        if revoked_at is None or history.was_disturbed(each.server, since, each.at, False):
            continue
        if each.at > revoked_at + REVOCATION_S:
            broken.append(f"{each.request_id} ran {each.at - revoked_at:.2f} s after its key ended")
    last = max(keys.values(), default=0)
    return broken + [
        f"{each.request_id} got {each.status} after the faults"
        for each in history.keyed
        if each.key == last and history.calm_from and each.sent_at >= history.calm_from
        if each.status != 200
    ]
