"""Cost of a server by the time that a request is expected to take there.

Load pattern: servers whose work takes 0.6 to 1.6 times the usual time. By requests over slots they
look alike, so the slowest one gets as much as the fastest, falls behind and turns requests away,
and streams that it writes have gaps beyond their route's.
"""

from attrs import frozen

from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.state.membership.server_speed import DISTURBANCE_FACTOR

OWN_RUN_WEIGHT = 0.15
"""Weight of a request's own run, against the runs ahead of it as a fraction of the slots. A server
whose work takes the usual time longer is worth this part of its slots being busy."""

PATIENT_TARGET_S = 1.0
PATIENT_SLOWNESS_MAX = 2.5
"""Shortest target of patient requests, which leave fast servers to others, and the greatest
slowness that is good enough for them: a machine in real trouble would attract them all."""

UNFIT_COST = 1.0
"""Cost of a server, as a fraction of its slots, whose gaps exceed the route's in a disturbance:
others that have a free slot are chosen first. It counts twice if they do so always."""


@frozen
class RequestPace:
    """What a request asks of the speed of its server; times in seconds.

    `gap_s` is the longest gap between two events that is on time, 0 if there is none, and
    `usual_gap_s` the gap at a server of usual speed, None if it is not known.
    """

    target_s: float
    gap_s: float = 0.0
    streamed: bool = False
    usual_gap_s: float | None = None

    @property
    def is_patient(self) -> bool:
        """Whether slow servers are good enough."""
        return self.gap_s <= 0.0 and self.target_s >= PATIENT_TARGET_S

    @property
    def is_indifferent(self) -> bool:
        """Whether the time between events does not matter, though the first one is urgent."""
        return self.gap_s <= 0.0 and self.streamed


def compute_pace_cost(record: ServerRecord, pace: RequestPace) -> float:
    """Return the cost of a server's lasting slowness for a request, as a fraction of its slots."""
    if pace.is_patient and record.slowness <= PATIENT_SLOWNESS_MAX:
        return -OWN_RUN_WEIGHT * record.slowness
    if pace.is_indifferent:
        return 0.0
    cost = OWN_RUN_WEIGHT * record.slowness
    if pace.gap_s > 0.0 and pace.usual_gap_s is not None:
        gap_s = pace.usual_gap_s * record.slowness
        cost += UNFIT_COST * ((gap_s * DISTURBANCE_FACTOR > pace.gap_s) + (gap_s > pace.gap_s))
    return cost


def estimate_slowness(record: ServerRecord, now: float) -> float:
    """Return the slowness of a server now, 1.0 if it does not state it."""
    return record.speed.estimate(now) if record.speed is not None else 1.0


def compute_expected_cost(record: ServerRecord, pace: RequestPace, now: float) -> float:
    """Return the expected time of a request at a server, in usual runs.

    Work that does not depend on the speed compares servers by how busy they are.
    """
    ahead = (record.estimate_usual_load(now) + 1.0) / max(1, record.entry.slots)
    if not pace.is_patient and not pace.is_indifferent:
        ahead *= estimate_slowness(record, now)
    return ahead + compute_pace_cost(record, pace)


def estimate_seconds(record: ServerRecord, now: float) -> float:
    """Return the seconds until a request's expected end at a server, for the log."""
    slots = max(1, record.entry.slots)
    queued = max(0.0, record.estimate_usual_load(now) + 1.0 - slots) / slots
    now_slower = estimate_slowness(record, now) / record.slowness
    return record.run_s * now_slower * (1.0 + queued)
