"""Measure the latency that an instance adds over a direct call to the same engine."""

import asyncio
import json
import os
import time
from pathlib import Path

import typer
import urllib3
from attrs import evolve, frozen

from tools.load import LoadSettings, find_percentile, format_line, run_load, summarize
from tools.processes import (
    Process,
    find_free_ports,
    start_instance,
    start_standin,
    stop_all,
    wait_until,
)

MODEL = "model-1"
MODEL_BYTES = 10_000_000_000
OPERATOR_TOKEN = "bench-operator"
PEER_TOKEN = "bench-peer"
DATA_CENTRE = "dc-1"
REGION = "region-1"
SERVED_TIMEOUT_S = 30.0
IDLE_WAIT_S = 2.0
SAMPLE_INTERVAL_S = 0.25
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ENGINE_OPTIONS = ("--name", "engine-1", "--slots", "512", "--load-s", "0.1")
PREFILL_OPTIONS = ("--prefill-tokens-per-s", "1000000")


@frozen
class Case:
    """One measurement; the engine emits a token every `gap_ms`."""

    name: str
    gap_ms: float
    requests: int
    streams: int = 1
    per_s: float = 0.0
    stagger_s: float = 0.0


CASES = (
    Case("one_stream", gap_ms=2, requests=60),
    Case("arrivals_15_per_s", gap_ms=28, requests=450, per_s=15),
    Case("120_streams", gap_ms=28, requests=360, streams=120, stagger_s=8),
    Case("120_streams_fast", gap_ms=7, requests=720, streams=120, stagger_s=1),
)


@frozen
class Platform:
    """Stand-in processes of one case."""

    table: Process
    objects: Process
    listing: Process
    engine: Process

    @classmethod
    def from_case(cls, case: Case) -> "Platform":
        """Start the stand-ins of a case."""
        gap = ("--token-gap-ms", str(case.gap_ms))
        return cls(
            start_standin("table"),
            start_standin("objects"),
            start_standin("platform", "--lag-s", "0.1"),
            start_standin("engine", *ENGINE_OPTIONS, *PREFILL_OPTIONS, *gap),
        )

    def stop(self) -> None:
        """Stop the stand-ins."""
        stop_all([self.engine, self.listing, self.objects, self.table])


def make_settings(platform: Platform, ports: list[int]) -> str:
    """Return the settings of the measured instance."""
    return f"""
[instance]
name = instance-1
data_centre = {DATA_CENTRE}
region = {REGION}
host = 127.0.0.1
caller_port = {ports[0]}
operator_port = {ports[1]}
peer_port = {ports[2]}
[platform]
table_url = {platform.table.url}
object_store_url = {platform.objects.url}
list_url = {platform.listing.url}
"""


def register_members(platform: Platform, ports: list[int]) -> None:
    """Register the instance and the engine in the platform's list."""
    location = {"data_centre": DATA_CENTRE, "region": REGION, "host": "127.0.0.1"}
    names = ("caller_port", "operator_port", "peer_port")
    instance = {"name": "instance-1", **location, **dict(zip(names, ports, strict=True))}
    engine = {
        "name": "engine-1",
        "kind": "engine",
        **location,
        "port": platform.engine.port,
        "memory_bytes": 8 * MODEL_BYTES,
    }
    members = {"instances": [{"info": instance}], "backend_servers": [{"info": engine}]}
    urllib3.request("POST", platform.listing.url + "/list", json=members)


def apply_ticket(operator_url: str) -> None:
    """Create the model with the first ticket."""
    model = {"kind": "model", "name": MODEL, "version": "1", "memory_bytes": MODEL_BYTES}
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    body = {"number": 1, "objects": [model]}
    answer = urllib3.request(
        "POST", operator_url + "/tickets", json=body, headers=headers, timeout=15, retries=False
    )
    if answer.status != 200:
        raise RuntimeError(f"ticket refused: {answer.status} {answer.data.decode()}")


def load_directly(engine: Process) -> None:
    """Load the model by an order sent straight to the engine."""
    order = {
        "order_id": "bench",
        "kind": "load",
        "fencing_token": 0,
        "name": MODEL,
        "version": "1",
        "memory_bytes": MODEL_BYTES,
    }
    urllib3.request("POST", engine.url + "/control/orders", json=order)


def wait_until_served(url: str) -> None:
    """Wait until requests to the model succeed at a base URL."""
    body = json.dumps({"model": MODEL, "prompt": "ready", "max_tokens": 1})
    headers = {"Content-Type": "application/json"}

    def is_served() -> bool:
        path = url + "/v1/completions"
        answer = urllib3.request("POST", path, body=body, headers=headers, timeout=5)
        return answer.status == 200

    if not wait_until(is_served, SERVED_TIMEOUT_S):
        raise RuntimeError(f"{url} does not serve {MODEL}")


def read_cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_rss_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB of 1,000,000 bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def measure(settings: LoadSettings, pid: int | None) -> dict[str, float | str]:
    """Run a load and return its figures, with the CPU and memory use of process `pid` if given."""
    rss: list[float] = []

    async def sample() -> None:
        while pid is not None:
            rss.append(read_rss_mb(pid))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    sampler = asyncio.ensure_future(sample())
    before = read_cpu_s(pid) if pid else 0.0
    summary = summarize(await run_load(settings))
    cpu_s = read_cpu_s(pid) - before if pid else 0.0
    sampler.cancel()
    if pid is None:
        return summary
    tokens = max(1.0, float(summary["tokens"]))
    return {
        **summary,
        "cpu_ms_per_token": round(cpu_s * 1000 / tokens, 4),
        "rss_p50_mb": round(find_percentile(rss, 50), 1),
        "rss_max_mb": round(max(rss, default=0.0), 1),
    }


def compute_added_latency(direct: dict, via_instance: dict) -> dict[str, float | str]:
    """Return the latency that the instance adds, in ms."""
    names = ("first_token_p50_ms", "first_token_p95_ms", "gap_p50_ms", "gap_p95_ms")
    return {f"added_{name}": round(via_instance[name] - direct[name], 2) for name in names}


def run_direct(case: Case, settings: LoadSettings) -> None:
    """Measure direct calls to the engine only."""
    platform = Platform.from_case(case)
    try:
        load_directly(platform.engine)
        load = evolve(settings, url=platform.engine.url)
        direct = asyncio.run(measure(load, platform.engine.pid))
        print(format_line("bench", {"case": case.name, "path": "engine", **direct}), flush=True)
    finally:
        platform.stop()


def run_both(case: Case, settings: LoadSettings, preload: bool) -> None:
    """Measure direct calls, then calls through an instance to the same engine.

    `preload` loads the model directly instead of waiting for the instance to place it.
    """
    platform = Platform.from_case(case)
    instances = []
    try:
        ports = find_free_ports(3)
        register_members(platform, ports)
        instance = start_measured_instance(platform, ports)
        instances.append(instance)
        apply_ticket(f"http://127.0.0.1:{ports[1]}")
        if preload:
            load_directly(platform.engine)
        wait_until_served(instance.url)
        time.sleep(IDLE_WAIT_S)
        idle = {"rss_idle_mb": round(read_rss_mb(instance.pid), 1)}
        direct = asyncio.run(measure(evolve(settings, url=platform.engine.url), None))
        via_instance = asyncio.run(measure(evolve(settings, url=instance.url), instance.pid))
        for path, figures in (("engine", direct), ("instance", {**via_instance, **idle})):
            print(format_line("bench", {"case": case.name, "path": path, **figures}), flush=True)
        added = compute_added_latency(direct, via_instance)
        print(format_line("bench_added", {"case": case.name, **added}), flush=True)
    finally:
        stop_all(instances)
        platform.stop()


def start_measured_instance(platform: Platform, ports: list[int]) -> Process:
    """Start the instance to measure."""
    secrets = {
        "RHUBARBSHED_OPERATOR_TOKEN": OPERATOR_TOKEN,
        "RHUBARBSHED_PEER_TOKEN": PEER_TOKEN,
    }
    url = f"http://127.0.0.1:{ports[0]}"
    return start_instance(make_settings(platform, ports), url, environment=secrets)


def main(
    direct_only: bool = False,
    preload: bool = False,
    share: float = 1.0,
    only: str = "",
    tokens: int = 240,
    seed: int = 1,
) -> None:
    """Run all cases, or `only` one; `share` is the fraction of the requests to send."""
    for case in CASES:
        if only and case.name != only:
            continue
        settings = LoadSettings(
            url="",
            models=(MODEL,),
            requests=max(1, round(case.requests * share)),
            streams=case.streams,
            per_s=case.per_s,
            tokens=tokens,
            stagger_s=case.stagger_s,
            seed=seed,
        )
        if direct_only:
            run_direct(case, settings)
        else:
            run_both(case, settings, preload)


if __name__ == "__main__":
    typer.run(main)
