"""Stand-in of the platform's store: rows, transactions, the change feed, and a drill.

A drill takes the store away for a moment and brings it back from a copy some seconds old. Each
instance has a port of its own here, so that the store can turn away one machine and serve others.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

ANSWER_S = 0.004
WRITE_S = 0.005
COPY_INTERVAL_S = 0.1
COPIES_KEPT_S = 15.0
ROWS_MAX = 500
SILENT_S = 3600.0

Key = tuple[str, str, str]


class Store:
    """Rows by (table, part, key) as (bytes, version), and all changes in order."""

    def __init__(self) -> None:
        self.rows: dict[Key, tuple[bytes, int]] = {}
        self.changes: list[tuple[int, Key, bytes | None]] = []
        self.version = 0
        self.era = 1
        self.rejected: set[int] = set()
        self.silent: set[int] = set()
        self.operator_query_at: dict[int, float] = {}
        self.copies: list[tuple[float, int, dict[Key, tuple[bytes, int]]]] = []
        self.on_return: list = []
        self._ports: list[int] = []
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._changed = asyncio.Event()
        self._copying: asyncio.Task | None = None

    async def start(self, ports: list[int]) -> None:
        """Listen on one port for each instance."""
        self._ports = ports
        await self._listen()
        self._copying = asyncio.create_task(self._copy_repeatedly())

    def stop(self) -> None:
        """Close all ports and connections."""
        self._copying.cancel()
        self._go_away()

    def put(self, table: str, key: str, plain: dict) -> int:
        """Write a row of the operator or of a replica; return its version."""
        self.version += 1
        self._write((table, "", key), json.dumps(plain).encode())
        return self.version

    def remove(self, table: str, key: str) -> None:
        """Drop a row."""
        if (table, "", key) in self.rows:
            self.version += 1
            self._write((table, "", key), None)

    def read(self, table: str, key: str) -> dict | None:
        """Return a row's value."""
        found = self.rows.get((table, "", key))
        return None if found is None else json.loads(found[0])

    def beat(self, server_id: str, entry: dict) -> None:
        """Apply a replica's heartbeat: the entry changes when more than `Seq` changes."""
        known = self.read("servers", server_id)
        if known is None or {**known, "Seq": 0} != {**entry, "Seq": 0}:
            self.put("servers", server_id, entry)

    async def drill(self, away_s: float, age_s: float) -> tuple[int, int]:
        """Be away for a moment and come back from a copy; return the versions before and after."""
        before = self.version
        at, version, rows = min(
            self.copies, key=lambda copy: abs(copy[0] - (time.monotonic() - age_s))
        )
        self._go_away()
        await asyncio.sleep(away_s)
        self.rows, self.version = dict(rows), version
        self.changes = [change for change in self.changes if change[0] <= version]
        self.copies = [copy for copy in self.copies if copy[0] <= at]
        self.era += 1
        await self._listen()
        for write_again in self.on_return:
            write_again()
        return before, version

    async def _copy_repeatedly(self) -> None:
        while True:
            now = time.monotonic()
            self.copies.append((now, self.version, dict(self.rows)))
            self.copies = [copy for copy in self.copies if now - copy[0] < COPIES_KEPT_S]
            await asyncio.sleep(COPY_INTERVAL_S)

    async def _listen(self) -> None:
        for port in self._ports:
            self._servers.append(
                await asyncio.start_server(
                    lambda reader, writer, port=port: self._serve(port, reader, writer),
                    "127.0.0.1",
                    port,
                )
            )

    def _go_away(self) -> None:
        for server in self._servers:
            server.close()
        self._servers.clear()
        for writer in list(self._writers):
            writer.transport.abort()

    def reset(self, port: int) -> None:
        """Reset the connections of one instance."""
        for writer in list(self._writers):
            if writer.get_extra_info("sockname")[1] == port:
                writer.transport.abort()

    def _write(self, key: Key, data: bytes | None) -> None:
        if data is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (data, self.version)
        self.changes.append((self.version, key, data))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, port: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                method, target, _ = head.split(" ", 2)
                length = 0
                for line in head.split("\r\n"):
                    if line.lower().startswith("content-length:"):
                        length = int(line.partition(":")[2])
                body = await reader.readexactly(length)
                if "rows-feed" in target and "Table=op&" in target:
                    self.operator_query_at[port] = time.monotonic()
                is_silent = port in self.silent
                status, plain = 503, {}
                if port not in self.rejected:
                    status, plain = await self._answer(target, body)
                if is_silent or port in self.silent:
                    # A connection on which a response is lost delivers nothing further.
                    await asyncio.sleep(SILENT_S)
                data = json.dumps(plain).encode()
                lines = [
                    f"HTTP/1.1 {status} X",
                    "Content-Type: application/json",
                    f"Store-Era: {self.era}",
                    f"Content-Length: {len(data)}",
                ]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, target: str, body: bytes) -> tuple[int, dict]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/rhubarbshed/rows-tx":
            await asyncio.sleep(WRITE_S)
            return self._commit(json.loads(body))
        await asyncio.sleep(ANSWER_S)
        if parts.path == "/rhubarbshed/rows-get":
            return 200, self._list(query)
        if parts.path == "/rhubarbshed/rows-feed":
            return await self._feed(query)
        if parts.path == "/rhubarbshed/rows-parts":
            names = {key[1] for key in self.rows if key[0] == query["Table"]}
            return 200, {"parts": sorted(names), **self._version_fields()}
        return 404, {}

    def _commit(self, plain: dict) -> tuple[int, dict]:
        expected = [(_read_key(each), each["Ver"]) for each in plain.get("Expected", ())]
        if any(self.rows.get(key, (b"", 0))[1] != version for key, version in expected):
            rows = [self._encode(key, *self.rows.get(key, (None, 0))) for key, _ in expected]
            return 412, {"Rows": rows, **self._version_fields()}
        self.version += 1
        for each in plain.get("Put", ()):
            self._write(_read_key(each), base64.b64decode(each["Value"]))
        for each in plain.get("Remove", ()):
            self._write(_read_key(each), None)
        return 200, self._version_fields()

    def _list(self, query: dict[str, str]) -> dict:
        place = (query["Table"], query.get("part", ""))
        start, end = query.get("From", ""), query.get("To")
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == place and key[2] >= start and (end is None or key[2] < end)
        )
        limit = min(ROWS_MAX, int(query.get("Limit", ROWS_MAX)))
        rows = [self._encode(key, *self.rows[key]) for key in keys[:limit]]
        return {"Rows": rows, "HasMore": len(keys) > limit, **self._version_fields()}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        table, after = query["Table"], int(query["after"])
        until = time.monotonic() + int(query["WaitMs"]) / 1000.0
        while True:
            if after > self.version:
                return 410, self._version_fields()
            newest = {
                key: (data, version)
                for version, key, data in self.changes
                if key[0] == table and version > after
            }
            left_s = until - time.monotonic()
            if newest or left_s <= 0.0:
                found = sorted(newest.items(), key=lambda item: item[1][1])
                rows = [self._encode(key, *row) for key, row in found]
                return 200, {"Rows": rows, **self._version_fields()}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _encode(self, key: Key, data: bytes | None, version: int) -> dict:
        row = {"Table": key[0], "part": key[1], "Key": key[2], "Ver": version}
        if data is None:
            return {**row, "Deleted": True} if version else row
        return {**row, "Value": base64.b64encode(data).decode()}

    def _version_fields(self) -> dict:
        return {"Ver": self.version, "NowMs": int(time.monotonic() * 1000)}


def _read_key(plain: dict) -> Key:
    return plain["Table"], plain.get("part", ""), plain["Key"]
