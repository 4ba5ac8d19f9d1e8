"""Bound for the measurement of policies: one queue that knows all slots exactly."""

import heapq
from collections import Counter

from attrs import frozen

from tools.policy_load import Planned

PRIORITY_BATCH = 2


@frozen
class Batch:
    """Speed of an engine, as its stand-in is told."""

    slots: int
    knee: int
    token_gap_s: float
    prefill_tokens_per_s: float


def count_in_target(plan: list[Planned], engines: int, batch: Batch) -> Counter[str]:
    """Return the requests within their target by group, with one queue over all slots.

    A request that is not batch is refused at once where no slot will be free in time; batch takes
    a slot only when nothing else waits. Requests that are refused do not come back.
    """
    running: list[float] = []
    waiting: list[tuple[int, float, int, Planned]] = []
    met: Counter[str] = Counter()
    arrivals = sorted(plan, key=lambda each: each.at)

    def start_until(until: float) -> None:
        while waiting:
            free_at = running[0] if len(running) >= engines * batch.slots else 0.0
            started = max(free_at, waiting[0][3].at)
            if started > until:
                return
            _, _, _, planned = heapq.heappop(waiting)
            if started > planned.at + planned.target_s:
                continue
            if len(running) >= engines * batch.slots:
                heapq.heappop(running)
            met[planned.group] += 1
            heapq.heappush(running, started + find_hold(planned, len(running), engines, batch))

    for number, planned in enumerate(arrivals):
        start_until(planned.at)
        while running and running[0] <= planned.at:
            heapq.heappop(running)
        is_batch = planned.priority == PRIORITY_BATCH
        heapq.heappush(waiting, (int(is_batch), planned.at, number, planned))
    start_until(float("inf"))
    return met


def find_hold(planned: Planned, running: int, engines: int, batch: Batch) -> float:
    """Return the time that a request holds its slot, at the occupancy it starts at."""
    slowed = max(1.0, (running + 1) / engines / batch.knee)
    return planned.tokens * batch.token_gap_s * slowed
