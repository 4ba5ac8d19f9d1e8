"""Stand-in of a transactional table service, in memory."""

import asyncio
from typing import Any

import typer
from attrs import define, field

from standin.web import Exchange, HttpRequest, HttpResponse, Server, make_error, make_json, serve

Row = dict[str, Any]


@define
class RateLimiter:
    """Token bucket of calls per second; a rate of 0 sets no limit."""

    per_s: float
    calls_left: float = 0.0
    refilled_at: float = 0.0

    def try_take(self, now: float) -> bool:
        """Return whether one more call is allowed, and count it."""
        if self.per_s <= 0:
            return True
        self.calls_left = min(self.per_s, self.calls_left + (now - self.refilled_at) * self.per_s)
        self.refilled_at = now
        if self.calls_left < 1:
            return False
        self.calls_left -= 1
        return True


@define
class Table:
    """All rows by key, including deleted ones with value None."""

    rows: dict[str, Row] = field(factory=dict)
    revision: int = 0

    def get(self, key: str) -> Row:
        """Return a row, or one of version 0 if it never existed."""
        absent = {"key": key, "version": 0, "value": None, "revision": 0}
        return self.rows.get(key, absent)

    def read(self, keys: list[str]) -> dict[str, Any]:
        """Return one row per key and the table's revision."""
        return {"rows": [self.get(key) for key in keys], "revision": self.revision}

    def scan(self, prefix: str, revision: int) -> dict[str, Any]:
        """Return the rows with a key prefix that changed after a revision."""
        rows = [
            row
            for key, row in self.rows.items()
            if row["revision"] > revision and key.startswith(prefix)
        ]
        return {"rows": rows, "revision": self.revision}

    def find_conflicts(self, checks: list[dict[str, Any]]) -> list[Row]:
        """Return the current rows of the version checks that fail."""
        rows = [(self.get(check["key"]), check["version"]) for check in checks]
        return [row for row, version in rows if row["version"] != version]

    def write(self, writes: list[dict[str, Any]]) -> int:
        """Apply writes as one commit and return its revision."""
        new = {write["key"]: write["value"] for write in writes}
        self.revision += 1
        for key, value in new.items():
            version = self.get(key)["version"] + 1
            self.rows[key] = {
                "key": key,
                "version": version,
                "value": value,
                "revision": self.revision,
            }
        return self.revision


def make_server(writes_per_s: float, reads_per_s: float) -> Server:
    """Return the server of a table."""
    table = Table()
    writes = RateLimiter(writes_per_s)
    reads = RateLimiter(reads_per_s)

    async def handle(request: HttpRequest, exchange: Exchange) -> HttpResponse:
        plain = request.read_json()
        now = asyncio.get_running_loop().time()
        if request.path == "/commit":
            return commit(plain, now)
        if request.path not in ("/read", "/scan"):
            return make_error(404, "not_found")
        if not reads.try_take(now):
            server.counters.add("refused")
            return make_error(503, "rate")
        if request.path == "/scan":
            found = table.scan(plain["prefix"], plain["revision"])
            server.counters.add("scans")
        else:
            found = table.read(plain["keys"])
        server.counters.add("reads")
        server.counters.add("rows_read", len(found["rows"]))
        return make_json(found)

    def commit(plain: dict[str, Any], now: float) -> HttpResponse:
        if not writes.try_take(now):
            server.counters.add("refused")
            return make_error(503, "rate")
        conflicts = table.find_conflicts(plain["checks"])
        if conflicts:
            server.counters.add("conflicts")
            return make_json({"rows": conflicts}, 409)
        revision = table.write(plain["writes"])
        server.counters.add("writes")
        server.counters.add("rows_written", len(plain["writes"]))
        return make_json({"revision": revision})

    server = Server(handle, late_path="/commit")
    return server


def main(
    host: str = "127.0.0.1",
    port: int = 0,
    writes_per_s: float = 0.0,
    reads_per_s: float = 0.0,
) -> None:
    """Serve a table; a rate of 0 sets no limit."""
    asyncio.run(serve(make_server(writes_per_s, reads_per_s), host, port))


if __name__ == "__main__":
    typer.run(main)
