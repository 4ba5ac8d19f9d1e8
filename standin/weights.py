"""Stand-in of a rate-limited weight store; concurrent loads share the rate of their kind."""

import asyncio
import time

import typer
from attrs import define

from standin.web import Exchange, HttpRequest, HttpResponse, Server, make_error, make_json, serve

STEP_S = 0.01


@define
class SharedRate:
    """Rate shared by loads; each takes `concurrent_max / per_s` while at most that many run."""

    per_s: float
    concurrent_max: int
    running: int = 0

    def measure_speed(self) -> float:
        """Return the fraction of one load that is completed per second."""
        return self.per_s / max(self.concurrent_max, self.running)


async def run_load(share: SharedRate) -> None:
    """Wait for the duration of a load, which depends on the number of running loads."""
    share.running += 1
    try:
        remaining = 1.0
        measured_at = time.monotonic()
        while remaining > 0:
            await asyncio.sleep(min(STEP_S, remaining / share.measure_speed()))
            now = time.monotonic()
            remaining -= (now - measured_at) * share.measure_speed()
            measured_at = now
    finally:
        share.running -= 1


def make_server(loads: SharedRate, adapters: SharedRate) -> Server:
    """Return the server of a weight store."""
    shares = {"weights": loads, "adapters": adapters}

    async def handle(request: HttpRequest, exchange: Exchange) -> HttpResponse:
        kind, _, name = request.path.strip("/").partition("/")
        if request.method != "GET" or kind not in shares or not name:
            return make_error(404, "not_found")
        share = shares[kind]
        counter = "loads" if kind == "weights" else "adapter_loads"
        server.counters.add(counter)
        server.counters.raise_to(f"{counter}_at_once_peak", share.running + 1)
        await run_load(share)
        server.counters.add(f"{counter}_done")
        return make_json({"name": name})

    server = Server(handle)
    return server


def main(
    host: str = "127.0.0.1",
    port: int = 0,
    loads_per_s: float = 1.5,
    loads_at_once: int = 6,
    adapter_ms: float = 5.0,
    adapters_in_flight: int = 50,
) -> None:
    """Serve a weight store."""
    loads = SharedRate(loads_per_s, loads_at_once)
    adapters = SharedRate(adapters_in_flight / (adapter_ms / 1000), adapters_in_flight)
    asyncio.run(serve(make_server(loads, adapters), host, port))


if __name__ == "__main__":
    typer.run(main)
