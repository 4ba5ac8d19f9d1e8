"""Measure the traffic of demand reports of one instance at full size.

Run `python -m tools.capacity_demand`. One instance receives its share of random requests for all
models, and its reports are encoded as for sending. Peers send as much, so as much is received.
"""

import random

import typer
from attrs import frozen

from rhubarbshed.protocol.peers import DemandDigest, Frame
from rhubarbshed.state.placement.demand import Demand, DemandOutbox, make_whole_update
from rhubarbshed.transport.exchange import DEMAND_INTERVAL_S, DEMAND_REMOTE_INTERVAL_S
from rhubarbshed.util.settings import Settings
from tools.capacity import DATA_CENTRES, INSTANCES_PER_DATA_CENTRE, MODELS, encode

REQUESTS_PER_S = 15.0
"""Peak requests per second of one instance."""
WARM_UP_S = 900
MEASURE_S = 600
TOKENS_PER_REQUEST = 236
DELEGATES = 2
SKEWS = (0.0, 0.7, 1.0)
"""Zipf exponents of model popularity by rank; with 0 all models are equally popular."""


@frozen
class DemandTraffic:
    """Bytes per second sent to one peer, as full reports and as incremental updates."""

    reports: float
    updates: float
    updates_per_interval: float
    remote: float


def make_demand() -> Demand:
    """Return an empty demand record with the default settings."""
    return Demand.from_config("instance-17", Settings.from_file(None).unwrap().placement)


def measure(skew: float, seed: int) -> DemandTraffic:
    """Simulate one instance and return the traffic of its demand reports."""
    rng = random.Random(seed)
    weights = [(rank + 1) ** -skew for rank in range(MODELS)]
    names = [f"model-{number}" for number in range(MODELS)]
    demand = make_demand()
    outbox = DemandOutbox(demand.window_s)
    reports: list[Frame] = []
    updates: list[Frame] = []
    for second in range(WARM_UP_S + MEASURE_S):
        now = float(second)
        for model in rng.choices(names, weights, k=round(REQUESTS_PER_S)):
            demand.record_arrival(model, now)
            demand.record_tokens(model, TOKENS_PER_REQUEST, now)
        if second % DEMAND_INTERVAL_S:
            continue
        update = outbox.collect(demand.report(now), now)
        if second >= WARM_UP_S:
            reports.append(DemandDigest(demand.report_busiest(now)))
            updates += [update] if update is not None else []
    remote = encode(make_whole_update(demand.report_data_centre("dc-0", now), remote=True))
    return DemandTraffic(
        sum(len(encode(frame)) for frame in reports) / MEASURE_S,
        sum(len(encode(frame)) for frame in updates) / MEASURE_S,
        len(updates) / len(reports),
        len(remote) / DEMAND_REMOTE_INTERVAL_S,
    )


def main(seed: int = 1) -> None:
    """Print the traffic for each skew, both directions together."""
    peers = INSTANCES_PER_DATA_CENTRE - 1
    for skew in SKEWS:
        traffic = measure(skew, seed)
        # Each remote sum is received once by each instance and forwarded once for each.
        remote = 2 * (DATA_CENTRES - 1) * DELEGATES * traffic.remote
        print(
            f"skew {skew}: whole reports {2 * peers * traffic.reports / 1000:.2f} KB/s, "
            f"updates {2 * peers * traffic.updates / 1000:.2f} KB/s "
            f"({traffic.updates_per_interval:.2f} of beats have one), "
            f"sums of other data centres {remote / 1000:.2f} KB/s"
        )


if __name__ == "__main__":
    typer.run(main)
