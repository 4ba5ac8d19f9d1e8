"""Stand-in of the platform's list of live and leaving instances and backend servers, with lag."""

import asyncio
import json
from typing import Any

import typer
from attrs import define, field

from standin.web import Exchange, HttpRequest, HttpResponse, Server, make_error, make_json, serve

KINDS = ("instances", "backend_servers")


@define
class Listing:
    """Current list, by kind and name, and its earlier states for reads that lag."""

    lag_s: float
    entries: dict[str, dict[str, Any]] = field(factory=lambda: {kind: {} for kind in KINDS})
    history: list[tuple[float, bytes]] = field(factory=list)

    def record(self, now: float) -> None:
        """Record the current state, which reads return once the lag has passed."""
        plain = {kind: list(self.entries[kind].values()) for kind in KINDS}
        self.history.append((now, json.dumps(plain).encode()))

    def read_lagging(self, now: float) -> bytes:
        """Return the list as of `lag_s` ago."""
        while len(self.history) > 1 and self.history[1][0] <= now - self.lag_s:
            del self.history[0]
        return self.history[0][1]

    def put(self, kind: str, entry: dict[str, Any]) -> None:
        """Add or replace one entry."""
        self.entries[kind][entry["info"]["name"]] = entry

    def replace(self, plain: dict[str, Any]) -> None:
        """Replace all entries."""
        for kind in KINDS:
            self.entries[kind] = {entry["info"]["name"]: entry for entry in plain.get(kind, [])}


def make_server(lag_s: float) -> Server:
    """Return the server of a platform list."""
    listing = Listing(lag_s)

    async def handle(request: HttpRequest, exchange: Exchange) -> HttpResponse:
        now = asyncio.get_running_loop().time()
        if not listing.history:
            listing.record(now)
        if request.path == "/list" and request.method == "GET":
            server.counters.add("reads")
            return HttpResponse(200, listing.read_lagging(now))
        response = change(listing, request)
        listing.record(now)
        return response

    server = Server(handle)
    return server


def change(listing: Listing, request: HttpRequest) -> HttpResponse:
    """Apply a change to the current list."""
    kind, _, name = request.path.strip("/").partition("/")
    if request.path == "/list" and request.method == "POST":
        listing.replace(request.read_json())
    elif kind in KINDS and request.method == "POST":
        listing.put(kind, request.read_json())
    elif kind in KINDS and request.method == "DELETE":
        listing.entries[kind].pop(name, None)
    else:
        return make_error(404, "not_found")
    return make_json({})


def main(host: str = "127.0.0.1", port: int = 0, lag_s: float = 1.0) -> None:
    """Serve a platform list that lags."""
    asyncio.run(serve(make_server(lag_s), host, port))


if __name__ == "__main__":
    typer.run(main)
