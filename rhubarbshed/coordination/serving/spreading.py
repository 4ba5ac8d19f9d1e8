"""Spreading of requests over servers whose load is known late.

Load pattern: 72 instances that see three servers of 6 slots half a second late overrun in turns
the one that was idle then, while slots at the others stay idle. Instead, a server is drawn with a
probability such that all are equally busy once what all instances send meanwhile has arrived.

Source: Dahlin, Interpreting Stale Load Information, 2000 (load interpretation).
"""

import random
from collections.abc import Sequence

from attrs import frozen

from rhubarbshed.coordination.serving.expected_time import estimate_slowness
from rhubarbshed.state.membership.fleet import RUN_INITIAL_S, ServerRecord

SPREAD_SERVERS_MAX = 16
"""Most servers of a group among which one is drawn: a random part of more is as even, and a draw
takes time with each of them."""


RUN_MIN_S = 0.005
"""Shortest run, below which a load report is old as it arrives."""


@frozen
class Level:
    """How busy one candidate is, as a fraction of its slots; `slowness` 1.0 as usual.

    `unknown` are the requests there that no report shows any more.
    """

    height: float
    slots: int
    slowness: float
    unknown: float


def measure_level(record: ServerRecord, cost: float, run_s: float, now: float) -> Level:
    """Return the level of a server, to which other costs add as if it were busier."""
    known, unknown = record.split_load(run_s, now)
    slots = max(1, record.entry.slots)
    return Level(known / slots + cost, slots, estimate_slowness(record, now), unknown)


def estimate_mean_run(records: Sequence[ServerRecord]) -> float:
    """Return the mean time of a run at these servers, as measured here."""
    measured = [record.measured_run_s for record in records if record.runs]
    return max(RUN_MIN_S, sum(measured) / len(measured)) if measured else RUN_INITIAL_S


def compute_shares(levels: Sequence[Level]) -> list[float]:
    """Return the weight of each candidate in a draw.

    The requests that no report shows, and this one, fill the lowest levels until all are alike.
    A server gets the part that brings it there in proportion to its speed, as its requests leave
    it sooner. Fresh reports show nearly all requests, so the least busy server is drawn; old ones
    show none, so that weights are the capacities.
    """
    surface = _find_surface(levels, 1.0 + sum(level.unknown for level in levels))
    return [max(0.0, surface - level.height) * level.slots / level.slowness for level in levels]


def _find_surface(levels: Sequence[Level], amount: float) -> float:
    """Return the height to which so many requests fill the levels, the lowest first."""
    surface, width, volume = 0.0, 0, 0.0
    for level in sorted(levels, key=lambda each: each.height):
        if width and level.height >= surface:
            break
        width += level.slots
        volume += level.slots * level.height
        surface = (amount + volume) / width
    return surface


def draw_server(
    records: Sequence[ServerRecord], costs: Sequence[float], now: float, rng: random.Random
) -> ServerRecord:
    """Draw one of the candidates with the costs of each, as fractions of its slots."""
    run_s = estimate_mean_run(records)
    levels = [
        measure_level(record, cost, run_s, now) for record, cost in zip(records, costs, strict=True)
    ]
    shares = compute_shares(levels)
    if sum(shares) <= 0.0:
        # One request is lost in the rounding of a load far beyond the slots.
        return records[min(range(len(levels)), key=lambda index: levels[index].height)]
    return rng.choices(records, shares)[0]
