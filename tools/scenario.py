"""Seeded clusters and demand for measuring placement."""

import math
import random

from attrs import frozen

from rhubarbshed.protocol.catalogue import Adapter, Model
from rhubarbshed.protocol.members import BackendKind, BackendServerInfo, Standing

GIGABYTE = 10**9
ANSWER_TOKENS = 240
SERVER_BYTES = 80 * GIGABYTE
SERVER_TOKENS_PER_S = 1200.0
SERVER_SLOTS = 32
MODEL_BYTES = (8 * GIGABYTE, 14 * GIGABYTE, 16 * GIGABYTE, 26 * GIGABYTE)
SWING_PERIOD_S = 7200.0
"""Period in which a model's demand rises from its minimum to ten times that and back."""

BURST_PERIOD_S = (3600.0, 5400.0)
DEADLINE_PERIOD_S = (7200.0, 9000.0)
OUTAGE_PERIOD_S = (2400.0, 4200.0)
LEAVING_TIMES_S = (6000.0, 6300.0, 7800.0)
"""Times at which the server starts to leave, is gone, and returns."""


@frozen
class Scenario:
    """Cluster, catalogue and the demand of each model over time."""

    name: str
    models: tuple[Model, ...]
    adapters: tuple[Adapter, ...]
    servers: tuple[BackendServerInfo, ...]
    base_per_s: tuple[float, ...]
    phases: tuple[float, ...]
    duration_s: float

    @classmethod
    def from_seed(
        cls,
        name: str,
        seed: int,
        models: int,
        adapters: int,
        servers: int,
        data_centres: int,
        utilisation: float,
        duration_s: float,
    ) -> "Scenario":
        """Draw a scenario whose mean demand is `utilisation` of the cluster's token rate."""
        rng = random.Random(seed)
        catalogue = tuple(
            Model(f"model-{n:03}", "1", rng.choice(MODEL_BYTES)) for n in range(models)
        )
        weights = [1.0 / (n + 1) for n in range(models)]
        rng.shuffle(weights)
        scale = utilisation * servers * SERVER_TOKENS_PER_S / ANSWER_TOKENS / sum(weights)
        return cls(
            name,
            catalogue,
            tuple(
                Adapter(f"adapter-{n:03}", rng.choice(catalogue).name, "1", GIGABYTE // 5)
                for n in range(adapters)
            ),
            tuple(_make_info(n, data_centres) for n in range(servers)),
            tuple(weight * scale for weight in weights),
            tuple(rng.uniform(0.0, 2.0 * math.pi) for _ in range(models)),
            duration_s,
        )

    def get_rate(self, number: int, now: float) -> float:
        """Return the arrival rate of a model per second."""
        swing = 0.5 * math.sin(2.0 * math.pi * now / SWING_PERIOD_S + self.phases[number])
        rate = self.base_per_s[number] * 10.0**swing / 1.5
        if number % 5 == 0 and BURST_PERIOD_S[0] <= now < BURST_PERIOD_S[1]:
            rate *= 4.0
        if number % 7 == 3 and DEADLINE_PERIOD_S[0] <= now < DEADLINE_PERIOD_S[1]:
            rate *= 1.0 + 7.0 * (now - DEADLINE_PERIOD_S[0]) / (
                DEADLINE_PERIOD_S[1] - DEADLINE_PERIOD_S[0]
            )
        return rate

    def get_standing(self, number: int, now: float) -> Standing:
        """Return the standing of a server: the first fails, the second leaves, both return."""
        if number == 0 and OUTAGE_PERIOD_S[0] <= now < OUTAGE_PERIOD_S[1]:
            return Standing.GONE
        if number == 1 and LEAVING_TIMES_S[0] <= now < LEAVING_TIMES_S[2]:
            return Standing.LEAVING if now < LEAVING_TIMES_S[1] else Standing.GONE
        return Standing.LIVE


def _make_info(number: int, data_centres: int) -> BackendServerInfo:
    return BackendServerInfo(
        f"server-{number:02}",
        BackendKind.ENGINE,
        f"dc-{number % data_centres}",
        "region-1",
        "127.0.0.1",
        9000,
        memory_bytes=SERVER_BYTES,
    )


def draw_count(rng: random.Random, mean: float) -> int:
    """Return a Poisson-distributed count, by normal approximation for means above 30."""
    if mean > 30.0:
        return max(0, round(rng.gauss(mean, math.sqrt(mean))))
    limit = math.exp(-mean)
    count = 0
    product = rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count
