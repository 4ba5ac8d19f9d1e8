"""Upper bound for the policies: one queue with exact knowledge of all slots."""

import heapq
from collections import Counter

from attrs import frozen

from tools.policy_load import PlannedRequest

PRIORITY_BATCH = 2


@frozen
class EngineSpeed:
    """Slots and speed of an engine, as set in its stand-in's options."""

    slots: int
    knee: int
    token_gap_s: float
    prefill_tokens_per_s: float


def count_in_target(plan: list[PlannedRequest], engines: int, speed: EngineSpeed) -> Counter[str]:
    """Return the number of requests that meet their target by group, with one queue over all slots.

    Batch requests get a slot only when nothing else waits. A request that cannot start within its
    target is refused and not retried.
    """
    running: list[float] = []
    waiting: list[tuple[int, float, int, PlannedRequest]] = []
    in_target: Counter[str] = Counter()
    arrivals = sorted(plan, key=lambda each: each.arrives_at)

    def start_waiting(until_s: float) -> None:
        while waiting:
            free_at = running[0] if len(running) >= engines * speed.slots else 0.0
            started = max(free_at, waiting[0][3].arrives_at)
            if started > until_s:
                return
            _, _, _, planned = heapq.heappop(waiting)
            if started > planned.arrives_at + planned.target_s:
                continue
            if len(running) >= engines * speed.slots:
                heapq.heappop(running)
            in_target[planned.group] += 1
            heapq.heappush(
                running, started + compute_slot_time_s(planned, len(running), engines, speed)
            )

    for number, planned in enumerate(arrivals):
        start_waiting(planned.arrives_at)
        while running and running[0] <= planned.arrives_at:
            heapq.heappop(running)
        is_batch = planned.priority == PRIORITY_BATCH
        heapq.heappush(waiting, (int(is_batch), planned.arrives_at, number, planned))
    start_waiting(float("inf"))
    return in_target


def compute_slot_time_s(
    planned: PlannedRequest, running: int, engines: int, speed: EngineSpeed
) -> float:
    """Return the time that a request occupies its slot, at the load when it starts."""
    slowdown = max(1.0, (running + 1) / engines / speed.knee)
    return planned.tokens * speed.token_gap_s * slowdown
