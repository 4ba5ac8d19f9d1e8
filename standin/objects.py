"""Stand-in of an object store, in memory."""

import asyncio

import typer

from standin.table import RateLimiter
from standin.web import Exchange, HttpRequest, HttpResponse, Server, make_error, make_json, serve

PREFIX = "/objects/"
RAW_TYPE = "application/octet-stream"


def make_server(writes_per_s: float, reads_per_s: float) -> Server:
    """Return the server of an object store."""
    objects: dict[str, bytes] = {}
    writes = RateLimiter(writes_per_s)
    reads = RateLimiter(reads_per_s)

    async def handle(request: HttpRequest, exchange: Exchange) -> HttpResponse:
        if not request.path.startswith(PREFIX) or request.method not in ("GET", "PUT"):
            return make_error(404, "not_found")
        key = request.path.removeprefix(PREFIX)
        writing = request.method == "PUT"
        if not (writes if writing else reads).try_take(asyncio.get_running_loop().time()):
            server.counters.add("refused")
            return make_error(503, "rate")
        server.counters.add("writes" if writing else "reads")
        if writing:
            objects[key] = request.body
            return make_json({})
        if key not in objects:
            return make_error(404, "not_stored")
        return HttpResponse(200, objects[key], RAW_TYPE)

    server = Server(handle)
    return server


def main(
    host: str = "127.0.0.1",
    port: int = 0,
    writes_per_s: float = 0.0,
    reads_per_s: float = 0.0,
) -> None:
    """Serve an object store; a rate of 0 sets no limit."""
    asyncio.run(serve(make_server(writes_per_s, reads_per_s), host, port))


if __name__ == "__main__":
    typer.run(main)
