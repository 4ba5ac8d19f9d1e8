"""Measure CPU time and memory of an instance's views as members and models grow in number.

Run `python -m tools.capacity_view`. The product's code runs in memory; each size prints one line.
"""

import asyncio
import time
import tracemalloc

from rhubarbshed.protocol.catalogue import CatalogueObject, Model, ObjectKey
from rhubarbshed.transport.instance import STANDINGS_INTERVAL_S
from rhubarbshed.transport.runtime import Runtime
from rhubarbshed.util.settings import Settings
from tools.capacity import make_list

SIZES = ((10, 10, 10), (20, 20, 20), (40, 40, 40), (80, 80, 80), (370, 600, 860))
RUNS = 20


def make_objects(models: int) -> list[CatalogueObject]:
    """Return catalogue objects of so many models."""
    return [
        CatalogueObject(ObjectKey("model", f"m{number}"), 1, Model(f"m{number}", "1", 8 << 30))
        for number in range(models)
    ]


def measure_ms(call) -> float:
    """Return the mean CPU time of a call in ms."""
    started_at = time.process_time()
    for _ in range(RUNS):
        call()
    return (time.process_time() - started_at) * 1000 / RUNS


def measure(instances: int, servers: int, models: int) -> str:
    """Measure one size and return the line to print."""
    loop = asyncio.new_event_loop()
    tracemalloc.start()
    runtime = Runtime.from_settings(
        Settings.from_text("[instance]\nname = i-0\ndata_centre = dc-0\n").unwrap(), loop
    )
    baseline_bytes = tracemalloc.get_traced_memory()[0]
    runtime.membership.apply_list(make_list(instances, servers), time.monotonic())
    runtime.catalogue.apply_objects(make_objects(models), 1)
    runtime.apply_membership()
    allocated_bytes = tracemalloc.get_traced_memory()[0] - baseline_bytes
    tracemalloc.stop()
    standings_ms = measure_ms(runtime.apply_membership)
    digest_ms = measure_ms(runtime.catalogue.compute_digest)
    list_ms = measure_ms(runtime.catalogue.list_models)
    core_fraction = standings_ms / 1000 / STANDINGS_INTERVAL_S
    loop.close()
    return (
        f"instances={instances} servers={servers} models={models} standings_ms={standings_ms:.3f} "
        f"standings_core={core_fraction:.2%} catalogue_digest_ms={digest_ms:.3f} "
        f"list_models_ms={list_ms:.3f} views_kb={allocated_bytes / 1000:.0f}"
    )


def main() -> None:
    """Print the measurement of each size."""
    print(f"standings each {STANDINGS_INTERVAL_S} s")
    for size in SIZES:
        print(measure(*size), flush=True)


if __name__ == "__main__":
    main()
