"""Measure the bytes that telling demand costs one instance at full size.

Run `python -m tools.capacity_demand`. One instance meets its share of random requests for all
models; what it tells is encoded as it is sent. Peers tell as much, so as much is received.
"""

import random

import typer
from attrs import frozen

from rhubarbshed.protocol.peers import DemandDigest, Frame
from rhubarbshed.state.placement.demand import Demand, DemandOutbox, make_whole_update
from rhubarbshed.transport.exchange import DEMAND_INTERVAL_S, DEMAND_REMOTE_INTERVAL_S
from rhubarbshed.util.settings import Settings
from tools.capacity import DATA_CENTRES, INSTANCES_HERE, MODELS, encode

REQUESTS_PER_S = 15.0
"""Requests per second that one instance meets at the peak."""
SETTLE_S = 900
MEASURE_S = 600
TOKENS = 236
DELEGATES = 2
SKEWS = (0.0, 0.7, 1.0)
"""Exponents of the popularity of models by rank; 0: all alike."""


@frozen
class Told:
    """Hold the bytes told each second to one peer: by whole reports, and by updates."""

    reports: float
    updates: float
    updates_per_beat: float
    remote: float


def make_demand() -> Demand:
    """Make an empty demand with the shipped settings."""
    return Demand.from_config("instance-17", Settings.from_file(None).unwrap().placement)


def measure(skew: float, seed: int) -> Told:
    """Let one instance run and count what it tells."""
    rng = random.Random(seed)
    weights = [(rank + 1) ** -skew for rank in range(MODELS)]
    names = [f"model-{number}" for number in range(MODELS)]
    demand = make_demand()
    outbox = DemandOutbox(demand.window_s)
    reports: list[Frame] = []
    updates: list[Frame] = []
    for second in range(SETTLE_S + MEASURE_S):
        now = float(second)
        for model in rng.choices(names, weights, k=round(REQUESTS_PER_S)):
            demand.record_arrival(model, now)
            demand.record_tokens(model, TOKENS, now)
        if second % DEMAND_INTERVAL_S:
            continue
        update = outbox.collect(demand.report(now), now)
        if second >= SETTLE_S:
            reports.append(DemandDigest(demand.report_busiest(now)))
            updates += [update] if update is not None else []
    remote = encode(make_whole_update(demand.report_data_centre("dc-0", now), remote=True))
    return Told(
        sum(len(encode(frame)) for frame in reports) / MEASURE_S,
        sum(len(encode(frame)) for frame in updates) / MEASURE_S,
        len(updates) / len(reports),
        len(remote) / DEMAND_REMOTE_INTERVAL_S,
    )


def main(seed: int = 1) -> None:
    """Measure and print, both directions together."""
    peers = INSTANCES_HERE - 1
    for skew in SKEWS:
        told = measure(skew, seed)
        # Each remote sum is received once by each instance and sent on once for each.
        remote = 2 * (DATA_CENTRES - 1) * DELEGATES * told.remote
        print(
            f"skew {skew}: whole reports {2 * peers * told.reports / 1000:.2f} KB/s, "
            f"updates {2 * peers * told.updates / 1000:.2f} KB/s "
            f"({told.updates_per_beat:.2f} of beats have one), "
            f"sums of other data centres {remote / 1000:.2f} KB/s"
        )


if __name__ == "__main__":
    typer.run(main)
