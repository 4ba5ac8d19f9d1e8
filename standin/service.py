"""Stand-in of a plain service with limited slots and a fixed service time."""

import asyncio

import typer
from attrs import define

from standin.web import Exchange, HttpRequest, HttpResponse, Server, make_error, make_json, serve


@define
class Load:
    """Limits of a service and its running and waiting requests."""

    slots: int
    queue_max: int
    running: int = 0
    waiting: int = 0


def make_server(name: str, slots: int, service_ms: float, queue_max: int, restart_s: float):
    """Return the server of a plain service; a run continues after its caller disconnects."""
    load = Load(slots, queue_max)
    free = asyncio.Semaphore(slots)

    async def run(request: HttpRequest) -> HttpResponse:
        request_id = request.headers.get("x-request-id", "")
        load.waiting += 1
        try:
            await free.acquire()
        finally:
            load.waiting -= 1
        load.running += 1
        try:
            key = request.headers.get("idempotency-key", "")
            runs = server.counters.add_run(request_id, key)
            await asyncio.sleep(service_ms / 1000)
        finally:
            load.running -= 1
            free.release()
        server.counters.add("answers")
        plain = {"service": name, "path": request.path, "request_id": request_id, "runs": runs}
        return make_json(plain, headers={"X-Request-Id": request_id})

    async def handle(request: HttpRequest, exchange: Exchange) -> HttpResponse:
        if request.path == "/control/report":
            report = {"running": load.running, "waiting": load.waiting, "slots": load.slots}
            return make_json(report)
        if load.waiting >= load.queue_max:
            return make_error(429, "queue_full")
        return await asyncio.shield(server.start_task(run(request)))

    server = Server(handle, restart_s=restart_s)
    return server


def main(
    host: str = "127.0.0.1",
    port: int = 0,
    name: str = "service",
    slots: int = 16,
    service_ms: float = 20.0,
    queue_max: int = 1000,
    restart_s: float = 1.0,
) -> None:
    """Serve a plain service."""

    async def start() -> None:
        server = make_server(name, slots, service_ms, queue_max, restart_s)
        await serve(server, host, port)

    asyncio.run(start())


if __name__ == "__main__":
    typer.run(main)
