"""Rate-limited weight store: loads share a rate, adapters a number in flight."""

import asyncio
import time

import typer
from attrs import define

from standin.web import Exchange, HttpRequest, HttpResponse, Server, make_error, make_json, serve

STEP_S = 0.01


@define
class Share:
    """Share a rate of loads; each takes `at_once / per_s` while no more than `at_once` run."""

    per_s: float
    at_once: int
    running: int = 0

    def find_speed(self) -> float:
        """Return the part of a load done in a second, for each load."""
        return self.per_s / max(self.at_once, self.running)


async def run_load(share: Share) -> None:
    """Take the time of a load, which changes with the number that run."""
    share.running += 1
    try:
        left = 1.0
        at = time.monotonic()
        while left > 0:
            await asyncio.sleep(min(STEP_S, left / share.find_speed()))
            now = time.monotonic()
            left -= (now - at) * share.find_speed()
            at = now
    finally:
        share.running -= 1


def make_server(loads: Share, adapters: Share) -> Server:
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
    loads = Share(loads_per_s, loads_at_once)
    adapters = Share(adapters_in_flight / (adapter_ms / 1000), adapters_in_flight)
    asyncio.run(serve(make_server(loads, adapters), host, port))


if __name__ == "__main__":
    typer.run(main)
