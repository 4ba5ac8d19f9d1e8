"""Measure the CPU time of one placement plan at several cluster sizes."""

import random
import time

import typer

from rhubarbshed.coordination.placement.placement import plan_moves
from rhubarbshed.protocol.catalogue import Adapter, Model
from rhubarbshed.protocol.members import BackendKind, BackendServerInfo
from rhubarbshed.protocol.orders import Resident
from rhubarbshed.protocol.placement import ModelDemand, ServerView
from rhubarbshed.util.settings import Settings
from tools.scenario import ANSWER_TOKENS, GIGABYTE, MODEL_BYTES, SERVER_BYTES

SIZES = ((10, 10, 3), (20, 20, 3), (40, 40, 3), (80, 80, 3), (100, 150, 1), (600, 860, 6))
"""Servers, models and data centres; the fifth is one data centre of the largest cluster."""

FILL = 0.85
RUNS = 7


def main(seed: int = 1) -> None:
    """Print the median and the longest of seven plans, in milliseconds of CPU time."""
    settings = Settings.from_file(None).unwrap()
    print("servers models data_centres  median_ms  longest_ms  moves")
    for servers, models, data_centres in SIZES:
        rng = random.Random(seed)
        catalogue = tuple(Model(f"m{n:03}", "1", rng.choice(MODEL_BYTES)) for n in range(models))
        adapters = tuple(
            Adapter(f"a{n:03}", rng.choice(catalogue).name, "1", GIGABYTE // 5)
            for n in range(models // 2)
        )
        views = tuple(
            _make_server_view(rng, f"s{n:03}", f"dc-{n % data_centres}", catalogue)
            for n in range(servers)
        )
        demand = tuple(_make_demand(servers, n, model.name) for n, model in enumerate(catalogue))
        plan_ms = []
        for _ in range(RUNS):
            started_at = time.process_time()
            plan = plan_moves(
                catalogue,
                adapters,
                views,
                demand,
                settings.placement,
                settings.weight_store,
                (),
                1000.0,
            )
            plan_ms.append(1000.0 * (time.process_time() - started_at))
        plan_ms.sort()
        print(
            f"{servers:7} {models:6} {data_centres:12} {plan_ms[RUNS // 2]:10.2f}"
            f" {plan_ms[-1]:11.2f} {len(plan.moves):6}"
        )


def _make_demand(servers: int, number: int, name: str) -> ModelDemand:
    rate = 0.5 * servers / (number + 1)
    return ModelDemand(name, rate, rate * ANSWER_TOKENS)


def _make_server_view(
    rng: random.Random, name: str, data_centre: str, models: tuple[Model, ...]
) -> ServerView:
    """Return the view of a server filled with random models."""
    info = BackendServerInfo(
        name, BackendKind.ENGINE, data_centre, "r", "127.0.0.1", 9, memory_bytes=SERVER_BYTES
    )
    resident: list[Resident] = []
    used = 0
    for model in rng.sample(models, len(models)):
        if used + model.memory_bytes <= FILL * SERVER_BYTES:
            resident.append(Resident(model.name, "1", model.memory_bytes))
            used += model.memory_bytes
    return ServerView(info, resident=tuple(resident), reserved_bytes=used)


if __name__ == "__main__":
    typer.run(main)
