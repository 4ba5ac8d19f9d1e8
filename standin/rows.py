"""Stand-in of the platform's store: versioned rows, conditional writes and a change feed.

Faults are switches: `down` refuses calls, `silent` accepts them without an answer, `lose_answers`
commits writes and closes the connection, `forget` drops the history, calls about `held_tables` get
no answer, and each answer takes `delay_s` longer. The feed has the last change of each row, or all
of them with `has_whole_history`. A restore goes back to a copy and begins a new
era. As a separate process it accepts the switches as `POST /standin/NAME`, which no fault delays,
and entries of servers without heartbeats expire.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from attrs import define, field

Key = tuple[str, str]
Copy = tuple[dict[Key, tuple[bytes, int]], int]
COPY_AGE_MAX_S = 8.0
"""Age up to which copies are kept."""

ANSWER_500 = (500, {})


@define(eq=False)
class RowStore:
    """Rows by (table, key) as (value bytes, version), and all changes in order."""

    rows: dict[Key, tuple[bytes, int]] = field(factory=dict)
    changes: list[tuple[int, str, str, bytes | None]] = field(factory=list)
    version: int = 0
    era: int = 1
    dropped_version: int = 0
    down: bool = False
    unresponsive_count: int = 0
    lose_answers: bool = False
    held_tables: set[str] = field(factory=set)
    delay_s: float = 0.0
    has_whole_history: bool = False
    calls: list[str] = field(factory=list)
    heartbeats: dict[str, float] = field(factory=dict)
    copies: list[tuple[float, Copy]] = field(factory=list)
    retired: set[str] = field(factory=set)
    address: tuple[str, int] = ("127.0.0.1", 0)
    _server: asyncio.Server | None = None
    _changed: asyncio.Event = field(factory=asyncio.Event)
    _writers: set[asyncio.StreamWriter] = field(factory=set)

    _silent: bool = False

    @property
    def silent(self) -> bool:
        """Return whether calls get no answer, including those already in progress."""
        return self._silent

    @silent.setter
    def silent(self, value: bool) -> None:
        self.unresponsive_count += value
        self._silent = value

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close the port and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def put(self, table: str, key: str, value: dict | bytes) -> int:
        """Write a row unconditionally and return its version."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.version += 1
        self._write(table, key, data)
        return self.version

    def remove(self, table: str, key: str) -> None:
        """Delete a row."""
        self.version += 1
        self._write(table, key, None)

    def forget(self) -> None:
        """Drop the history of changes, so that feeds from earlier versions get status 410."""
        self.dropped_version = self.version
        self.changes.clear()

    def make_copy(self) -> Copy:
        """Return the rows and the version as they are now."""
        return dict(self.rows), self.version

    def restore(self, copy: Copy) -> None:
        """Go back to a copy in a new era, and close all connections."""
        self.rows, self.version = dict(copy[0]), copy[1]
        self.changes = [change for change in self.changes if change[0] <= self.version]
        self.era += 1
        for writer in list(self._writers):
            writer.transport.abort()

    def keep_copy(self, now: float) -> None:
        """Make one of the copies of the last seconds that a restore may go back to."""
        self.copies.append((now, self.make_copy()))
        self.copies = [copy for copy in self.copies if now - copy[0] <= COPY_AGE_MAX_S]

    def restore_aged(self, age_s: float, now: float) -> None:
        """Go back to a copy of some age, and write again what the operator and servers wrote.

        Live servers write their entries themselves.
        """
        if not self.copies:
            return
        configurations = {key: row[0] for key, row in self.rows.items() if key[0] == "op"}
        at, copy = min(self.copies, key=lambda each: abs(now - age_s - each[0]))
        self.copies = [each for each in self.copies if each[0] <= at]
        self.restore(copy)
        for (table, key), value in configurations.items():
            self.put(table, key, value)
        for key in self.retired & {key for table, key in self.rows if table == "servers"}:
            self.remove("servers", key)

    def record_heartbeat(self, key: str, value: dict, now: float) -> None:
        """Record a server's heartbeat; its entry is written only if the value has changed."""
        self.heartbeats[key] = now
        if self.read("servers", key) != value:
            self.put("servers", key, value)

    def expire_entries(self, expiry_s: float, now: float) -> None:
        """Delete the entries of servers without a heartbeat in the last `expiry_s`."""
        for key in [key for key, at in self.heartbeats.items() if now - at > expiry_s]:
            del self.heartbeats[key]
            self.remove("servers", key)

    def read(self, table: str, key: str) -> dict | None:
        """Return the JSON value of a row, None if there is no row."""
        found = self.rows.get((table, key))
        return None if found is None else json.loads(found[0])

    def _write(self, table: str, key: str, data: bytes | None) -> None:
        if data is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (data, self.version)
        self.changes.append((self.version, table, key, data))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        method, target, _ = head.split(" ", 2)
        length = 0
        for line in head.split("\r\n"):
            if line.lower().startswith("content-length:"):
                length = int(line.partition(":")[2])
        body = await reader.readexactly(length)
        self.calls.append(f"{method} {target}")
        count_before = self.unresponsive_count
        if self.silent:
            await asyncio.sleep(3600)
        status, plain = await self._answer(method, target, body)
        if self.silent or count_before < self.unresponsive_count:
            await asyncio.sleep(3600)
        if any(f"Table={table}&" in target for table in self.held_tables):
            await asyncio.sleep(3600)
        if self.delay_s and not target.startswith("/standin/"):
            await asyncio.sleep(self.delay_s)
        if self.lose_answers and target == "/rhubarbshed/rows-tx":
            return False
        data = json.dumps(plain).encode()
        lines = (f"HTTP/1.1 {status} X", f"Store-Era: {self.era}", f"Content-Length: {len(data)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        await writer.drain()
        return True

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path.startswith("/standin/"):
            return self._apply_switch(parts.path.removeprefix("/standin/"), query, body)
        if self.down:
            return 503, {}
        if parts.path == "/rhubarbshed/rows-tx":
            return self._commit(json.loads(body))
        if parts.path == "/rhubarbshed/rows-get":
            return 200, self._list(query["Table"], query.get("From", ""), int(query["Limit"]))
        if parts.path == "/rhubarbshed/rows-feed":
            wait_s = int(query["WaitMs"]) / 1000
            return await self._feed(query["Table"], int(query["after"]), wait_s)
        return ANSWER_500

    def _apply_switch(self, name: str, query: dict[str, str], body: bytes) -> tuple[int, dict]:
        if name == "put":
            self.put(query["Table"], query["Key"], json.loads(body))
        elif name == "retire":
            self.retired.add(query["Key"])
            self.heartbeats.pop(query["Key"], None)
            self.remove("servers", query["Key"])
        elif name == "admit":
            self.retired.discard(query["Key"])
        elif name == "beat" and not self.down and query["Key"] not in self.retired:
            self.record_heartbeat(query["Key"], json.loads(body), time.monotonic())
        elif name == "forget":
            self.forget()
        elif name == "restore":
            self.restore_aged(float(query["age_s"]), time.monotonic())
        elif name == "delay":
            self.delay_s = float(query["s"])
        elif name in ("down", "lose_answers"):
            setattr(self, name, query["on"] == "1")
        return 200, self._make_version_fields()

    def _commit(self, plain: dict) -> tuple[int, dict]:
        for check in plain["Expected"]:
            key = (check["Table"], check["Key"])
            if self.rows.get(key, (b"", 0))[1] != check["Ver"]:
                rows = [self._encode_row(*key, *self.rows.get(key, (None, 0)))]
                return 412, {"Rows": rows, **self._make_version_fields()}
        self.version += 1
        for put in plain["Put"]:
            self._write(put["Table"], put["Key"], base64.b64decode(put["Value"]))
        for row in plain["Remove"]:
            self._write(row["Table"], row["Key"], None)
        return 200, self._make_version_fields()

    def _list(self, table: str, start: str, limit: int) -> dict:
        keys = sorted(key for name, key in self.rows if name == table and key >= start)
        rows = [self._encode_row(table, key, *self.rows[(table, key)]) for key in keys[:limit]]
        return {"Rows": rows, "HasMore": len(keys) > limit, **self._make_version_fields()}

    async def _feed(self, table: str, after: int, wait_s: float) -> tuple[int, dict]:
        deadline = time.monotonic() + wait_s
        while True:
            if after < self.dropped_version or after > self.version:
                return 410, self._make_version_fields()
            found = {
                (key, ver if self.has_whole_history else 0): (key, data, ver)
                for ver, name, key, data in self.changes
                if name == table and ver > after
            }
            left_s = deadline - time.monotonic()
            if found or left_s <= 0:
                rows = [self._encode_row(table, *row) for row in found.values()]
                return 200, {"Rows": rows, **self._make_version_fields()}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _encode_row(self, table: str, key: str, data: bytes | None, version: int) -> dict:
        row = {"Table": table, "part": "", "Key": key, "Ver": version}
        if data is None:
            return {**row, "Deleted": True}
        return {**row, "Value": base64.b64encode(data).decode()}

    def _make_version_fields(self) -> dict:
        return {"Ver": self.version, "NowMs": int(time.monotonic() * 1000)}
