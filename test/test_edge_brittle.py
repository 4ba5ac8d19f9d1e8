"""Servers that fall over when they turn too many requests away."""

import asyncio
import collections
import time

import pytest

from rhubarbshed.coordination.serving.brittle_servers import (
    PAUSE_MAX_S,
    PAUSE_MIN_S,
    apply_brittleness,
    record_rejection,
)
from rhubarbshed.coordination.serving.choice import is_full
from rhubarbshed.protocol.servers import ServerEntry, ServerState
from rhubarbshed.state.membership.fleet import ServerRecord
from standin.replica import Exchange
from test.helper_crashes import run_crash_scene
from test.helper_edge import play

SLOTS = 8
RUN_S = 0.2
BORNE = 5
STABLE_S = 3.0
"""Time after which the replicas let fewer requests wait, the platform's bound."""


class Brittle:
    """Replies of replicas that run `SLOTS` requests, and let `waiting` more wait, later two."""

    def __init__(self) -> None:
        self.load = collections.Counter()
        self.rejected = collections.defaultdict(list)
        self.waiting = SLOTS

    async def __call__(self, exchange: Exchange) -> None:
        name = exchange.replica.server_id
        running = self.load[name]
        lines = (
            f"Server-Brittle: {BORNE}",
            f"Rhubarbshed-Server-Load: {min(running, SLOTS)},{max(0, running - SLOTS)},{SLOTS}",
        )
        if running >= SLOTS + self.waiting:
            self.rejected[name].append(time.monotonic())
            exchange.answer(503, b"", "Rhubarbshed-Not-Executed: 1", *lines, signed=False)
            return
        self.load[name] += 1
        try:
            await asyncio.sleep(RUN_S * max(1.0, (running + 1) / SLOTS))
        finally:
            self.load[name] -= 1
        exchange.answer(200, b"done", *lines)

    def count_worst_second(self, since: float) -> int:
        """Return the most rejections of one replica in a second."""
        return max(
            (
                sum(at <= other < at + 1.0 for other in times)
                for times in self.rejected.values()
                for at in times
                if at >= since
            ),
            default=0,
        )


@pytest.mark.parametrize("per_s, served_min", ((75, 0.9 * 75), (200, 0.5 * 4 * SLOTS / RUN_S)))
def test_brittle_servers_are_not_overrun_by_all_instances_together(per_s, served_min):
    """Below the capacity nearly all are served, beyond it at least half of the slots are used."""

    async def scene():
        reply = Brittle()
        async with run_crash_scene() as crashes:
            for replica in crashes.replicas.values():
                replica.reply = reply
            names = list(crashes.instances.nodes)
            tasks = []
            begun_at = time.monotonic()
            for number in range(int(per_s * 6.0)):
                due = begun_at + number / per_s
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                if time.monotonic() - begun_at >= STABLE_S:
                    reply.waiting = 2
                tasks.append(asyncio.create_task(crashes.ask(names[number % len(names)])))
            answers = await asyncio.gather(*tasks)
            served = sum(answer.status == 200 for answer in answers)
            assert reply.count_worst_second(begun_at + STABLE_S + 0.3) <= BORNE
            assert served >= served_min * 6.0

    play(scene)


def make_record() -> ServerRecord:
    entry = ServerEntry("s", "svc", "h", 1, "a", ServerState.READY, SLOTS, "v1", {}, 1, 1)
    return ServerRecord(entry, 0.0)


def test_brittle_server_counts_as_full_before_its_queue_is_used():
    record = make_record()
    record.record_load_sample(SLOTS, 0, 0.0)
    assert not is_full(record, 1, 0.0)
    apply_brittleness(record, BORNE)
    assert is_full(record, 1, 0.0)
    record.record_load_sample(SLOTS // 2, 0, 1.0)
    assert not is_full(record, 1, 1.0)
    apply_brittleness(record, None)
    record.record_load_sample(SLOTS, 0, 2.0)
    assert not is_full(record, 1, 2.0)


def test_instances_share_the_rejections_that_a_brittle_server_bears():
    record = make_record()
    record_rejection(record, 10, 0.0)
    assert not is_full(record, 1, 0.0)
    apply_brittleness(record, BORNE)
    for instances, pause_s in ((1, 0.4), (5, 2.0), (0, PAUSE_MIN_S), (370, PAUSE_MAX_S)):
        record_rejection(record, instances, 0.0)
        assert is_full(record, 1, pause_s - 0.01) and not is_full(record, 1, pause_s + 0.01)


def test_instance_uses_its_share_of_a_brittle_servers_slots():
    record = make_record()
    apply_brittleness(record, BORNE)
    record.open = 2
    assert not is_full(record, 3, 0.0)
    assert is_full(record, 4, 0.0)
    record.open = 0
    assert not is_full(record, 100, 0.0)
