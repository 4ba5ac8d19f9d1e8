"""Stand-ins of the platform's store, of servers and of clients, and the project's own processes.

Only the standard library is used. The stand-ins run in the process of a case's script; instances
are separate processes, started with the command `run` of the deploy file. All addresses are
loopback addresses, times are those of the machine's monotonic clock.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SERVICE_HOST = "ficu95.example"
SIGNATURE = "Rhubarbshed-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1"
PORT_MIN, PORT_MAX = 12_000, 32_000
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BOUNDS = """[bounds]
drain_ms = 2000
lease_ms = 3000
grace_s = 8
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 113
ceiling_window_s = 5
ceiling_overage = 1.1
strict_revocation =
revocation_ms =
config_apply_ms = 2000
quota_window_s =
quota_overage =
quota_slack =
"""


class CannotRunError(Exception):
    """Preparation of a case that failed, so that it shows nothing."""


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.begun_at = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, what: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.begun_at:9.4f} {what} {text}\n")
        self.file.flush()


def find_ports(count: int, host: str = HOST) -> list[int]:
    """Return free ports, below those that the kernel gives to outgoing connections."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(PORT_MIN, PORT_MAX)
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.transport.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a request or an answer."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a request or of a framed answer."""
    if headers.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return body


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, the headers and the body of a request or of a framed answer."""
    line, headers = await read_head(reader)
    return line, headers, await read_body(reader, headers)


class Store:
    """The platform's store: rows in tables, conditional transactions and a feed of changes."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self.changes: list[tuple[int, str, str, str, bytes | None]] = []
        self.version = 0
        self.changed = asyncio.Event()
        self.address = (HOST, 0)
        self.server = None
        self.era, self.down, self.silent = 1, False, False
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.address = self.server.sockets[0].getsockname()[:2]

    def make_copy(self) -> tuple:
        """Return a copy of what the store holds."""
        return dict(self.rows), list(self.changes), self.version

    async def restore(self, copy: tuple, away_s: float) -> None:
        """Be away for a moment and come back from a copy; what the operator wrote is kept.

        Servers write their entries again by themselves.
        """
        self.down = True
        for writer in list(self.writers):
            reset(writer)
        await asyncio.sleep(away_s)
        operator = {key: row[0] for key, row in self.rows.items() if key[0] == "op"}
        self.rows, self.changes, self.version = dict(copy[0]), list(copy[1]), copy[2]
        self.era += 1
        for key, data in operator.items():
            self.version += 1
            self._write(*key, data)
        self.down = False

    def refuse(self) -> None:
        """Answer all calls with 503 from now on, also those that wait for changes."""
        self.down = True
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table: str, key: str, value: dict | None) -> None:
        """Write or remove a row, as the operator and the servers do."""
        if self.down or self.silent:
            return
        self.version += 1
        self._write(table, "", key, None if value is None else json.dumps(value).encode())

    def _write(self, table: str, part: str, key: str, data: bytes | None) -> None:
        if data is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[(table, part, key)] = (data, self.version)
        self.changes.append((self.version, table, part, key, data))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                while self.silent:
                    await asyncio.sleep(0.05)
                status, plain = (503, {}) if self.down else await self._answer(target, body)
                while self.silent:
                    await asyncio.sleep(0.05)
                if self.down:
                    status, plain = 503, {}
                data = json.dumps(plain).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Store-Era: {self.era}\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, target: str, body: bytes) -> tuple[int, dict]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/rhubarbshed/rows-tx":
            await asyncio.sleep(0.005)
            return self._commit(json.loads(body))
        if parts.path == "/rhubarbshed/rows-get":
            return 200, self._list(query)
        if parts.path == "/rhubarbshed/rows-feed":
            if int(query["after"]) > self.version:
                return 410, self._fields()
            return 200, await self._feed(query)
        return 404, {}

    def _fields(self) -> dict:
        return {"Ver": self.version, "NowMs": int(time.monotonic() * 1000)}

    def _row(self, table: str, part: str, key: str, data: bytes | None, version: int) -> dict:
        row = {"Table": table, "part": part, "Key": key, "Ver": version}
        if data is None:
            return {**row, "Deleted": True} if version else row
        return {**row, "Value": base64.b64encode(data).decode()}

    def _commit(self, plain: dict) -> tuple[int, dict]:
        found = []
        for each in plain.get("Expected", []):
            key = (each["Table"], each.get("part", ""), each["Key"])
            found.append((key, each["Ver"], self.rows.get(key, (None, 0))))
        if any(expected != row[1] for _, expected, row in found):
            rows = [self._row(*key, *row) for key, _, row in found]
            return 412, {"Rows": rows, **self._fields()}
        self.version += 1
        for each in plain.get("Put", []):
            value = base64.b64decode(each["Value"])
            self._write(each["Table"], each.get("part", ""), each["Key"], value)
        for each in plain.get("Remove", []):
            self._write(each["Table"], each.get("part", ""), each["Key"], None)
        return 200, self._fields()

    def _list(self, query: dict[str, str]) -> dict:
        table, part = query["Table"], query.get("part", "")
        start, limit = query.get("From", ""), min(500, int(query.get("Limit", 500)))
        keys = sorted(
            key for name, where, key in self.rows if (name, where) == (table, part) and key >= start
        )
        rows = [self._row(table, part, key, *self.rows[(table, part, key)]) for key in keys[:limit]]
        return {"Rows": rows, "HasMore": len(keys) > limit, **self._fields()}

    async def _feed(self, query: dict[str, str]) -> dict:
        table, after = query["Table"], int(query["after"])
        until = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            found = {}
            for version, name, part, key, data in self.changes:
                if name == table and version > after:
                    found.pop((part, key), None)
                    found[(part, key)] = (data, version)
            left_s = until - time.monotonic()
            if found or left_s <= 0 or self.down:
                rows = [self._row(table, *key, *row) for key, row in found.items()]
                return {"Rows": rows, **self._fields()}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue


class Server:
    """A server of a service; with `engine` one that holds models by orders.

    `run` answers a request that runs here: it gets this server, the method, the target, the
    headers, the body and the writer.
    """

    def __init__(self, record, store, server_id, service, run, engine=None, zone="zapopan"):
        self.record, self.store, self.server_id, self.service = record, store, server_id, service
        self.run, self.engine, self.zone = run, engine, zone
        self.address = (HOST, 0)
        self.state, self.version, self.slots = "ready", "v1", 64
        self.listener, self.writers, self.beats = None, set(), None
        self.on_disk: set[str] = set()
        self.answer_order = None
        self.on_overfull = None
        self._clear()

    def _clear(self) -> None:
        self.models: dict[str, list[str]] = {}
        self.orders, self.busy_until, self.beat_number = 0, 0.0, 0
        self.born = int(time.time() * 1000)

    async def start(self) -> None:
        """Listen, and report to the store every heartbeat."""
        self.listener = await asyncio.start_server(self._serve, *self.address)
        self.address = self.listener.sockets[0].getsockname()[:2]
        self.beats = asyncio.create_task(self._beat())
        self.record.write("server_start", server=self.server_id, born=self.born)

    def crash(self) -> None:
        """End as a killed process does; what was held in memory is lost."""
        self.record.write("server_crash", server=self.server_id, orders=self.orders)
        self.beats.cancel()
        self.listener.close()
        for writer in list(self.writers):
            reset(writer)

    async def restart(self) -> None:
        """Start again under the same id, empty; the disk is preserved."""
        self._clear()
        await self.start()

    async def _beat(self) -> None:
        while True:
            self.beat_number += 1
            self.report()
            await asyncio.sleep(1.2)

    def report(self) -> None:
        """Write the entry in the store."""
        entry = {
            "Service": self.service,
            "Address": f"{self.address[0]}:{self.address[1]}",
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Seq": self.beat_number,
            "born": self.born,
        }
        if self.engine:
            entry |= {"Stage": "both", "Models": self.list_models()}
            entry["AtHand"] = {"InMemory": [], "OnDisk": sorted(self.on_disk)}
        self.store.put("servers", self.server_id, entry)

    def list_models(self) -> list[dict]:
        """List what is held, as entries and reports do."""
        return [
            {"Name": name, "Version": 1, "Adapters": held} for name, held in self.models.items()
        ]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                await self._route(method, target, headers, body, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def answer(self, writer, headers, status, body=b"", *lines, signed=True) -> None:
        """Send a complete answer."""
        head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", "Keep-Alive: timeout=5"]
        head.append(f"Rhubarbshed-Request-Id: {headers.get('rhubarbshed-request-id', '')}")
        head += lines
        if signed:
            head.append(SIGNATURE)
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)

    async def _route(self, method, target, headers, body, writer) -> None:
        expected = headers.get("rhubarbshed-expect-instance", self.server_id)
        if expected != self.server_id:
            line = f"Rhubarbshed-Instance-Id: {self.server_id}"
            self.answer(writer, headers, 421, b"", line, signed=False)
        elif target == "/rhubarbshed/report":
            data = json.dumps(self._make_report()).encode()
            self.answer(writer, headers, 200, data, "Content-Type: application/json", signed=False)
        elif target == "/rhubarbshed/order":
            await self._take_order(headers, json.loads(body), writer)
        elif target == "/health":
            line = f"Rhubarbshed-Instance-Id: {self.server_id}"
            status = 200 if self.state == "ready" else 503
            self.answer(writer, headers, status, b"", line, signed=False)
        else:
            model, _, adapter = headers.get("rhubarbshed-model", "").partition("/")
            held = self.models
            if self.engine and (model not in held or (adapter and adapter not in held[model])):
                self.answer(writer, headers, 421, b"", signed=False)
                return
            await self.run(self, method, target, headers, body, writer)

    def _make_report(self) -> dict:
        return {
            "Stage": "both",
            "Models": self.list_models(),
            "Busy": time.monotonic() < self.busy_until,
            "Seq": self.orders,
            "Queued": 0,
            "Active": 0,
            "KvUsed": 0,
            "KvTotal": 142202,
            "Handles": 0,
            "born": self.born,
        }

    async def _take_order(self, headers, plain, writer) -> None:
        self.record.write("order", server=self.server_id, orders=self.orders, **plain)
        if self.answer_order is not None and await self.answer_order(plain, writer):
            return
        status = self.execute(plain)
        self.record.write("order_answered", status=status, orders=self.orders)
        self.answer(writer, headers, status, b"", signed=False)

    def execute(self, plain: dict) -> int:
        """Carry out an order as PROTOCOL.md says; return the status."""
        now = time.monotonic()
        model, adapter = plain["Model"], plain.get("Adapter")
        if "Holder" not in plain or "FencingToken" not in plain:
            return 400
        if not adapter and now < self.busy_until:
            return 409
        if plain.get("Expected", self.orders) != self.orders:
            return 409
        held = self.models.get(model)
        if plain["Operation"] == "load":
            if held is not None and (not adapter or adapter in held):
                return 200
            if adapter and held is None:
                return 400
            self.orders += 1
            if adapter:
                held.append(adapter)
            else:
                took_s = self.engine["load_s"][model in self.on_disk]
                self.busy_until = now + took_s
                asyncio.get_running_loop().call_later(took_s, self._finish, model, self.born)
            self.check_room(plain)
            return 202
        self.orders += 1
        if adapter:
            if held is not None and adapter in held:
                held.remove(adapter)
            return 200
        self.models.pop(model, None)
        self.busy_until = now + 0.1
        return 202

    def _finish(self, model: str, born: int) -> None:
        if born == self.born and self.listener.is_serving():
            self.models.setdefault(model, [])
            self.on_disk.add(model)
            self.record.write("loaded", server=self.server_id, model=model, orders=self.orders)

    def check_room(self, plain: dict) -> None:
        """End the server if it was ordered to load more than it holds."""
        loading = {plain["Model"]} if not plain.get("Adapter") else set()
        weights = sum(self.engine["models"][name] for name in {*self.models, *loading})
        adapters = sum(map(len, self.models.values()))
        weights += adapters * self.engine["adapter_mb"]
        if weights > self.engine["weights_mb"] or adapters > self.engine["adapter_slots"]:
            fields = {"weights_mb": weights, "adapters": adapters}
            self.record.write("overfull", server=self.server_id, model=plain["Model"], **fields)
            if self.on_overfull is not None:
                self.on_overfull()


def read_run_command() -> list[str]:
    """Return the command of the role that carries the traffic."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
    return deploy["roles"]["front"]["run"].split()


class Instance:
    """Process of the project, with its settings file in a temporary folder."""

    def __init__(self, record, folder, name, store, zone="zapopan", host=HOST, bounds=BOUNDS):
        self.record, self.folder, self.name, self.host = record, folder, name, host
        self.callers, self.ready, self.peers, self.metrics = find_ports(4, host)
        self.path = folder / f"{name}.ini"
        self.first_start = "true"
        self.store, self.zone, self.bounds = store, zone, bounds
        self.process = None

    def write_settings(self) -> None:
        """Write the settings file as the platform renders the template."""
        self.path.write_text(
            f"[instance]\nname = {self.name}\ndata_centre = {self.zone}\nhost = {self.host}\n"
            f"first_start = {self.first_start}\n\n"
            f"[listen]\ncallers = {self.host}:{self.callers}\nready = {self.host}:{self.ready}\n"
            f"peers_ports = {self.peers},{self.peers}\nmetrics_port = {self.metrics}\n\n"
            f"[platform]\nstore = {self.store[0]}:{self.store[1]}\n\n"
            "[limits]\ncpu_share = 0.731\ncore_speed = 1\nlink_mbps = 350.0\n\n"
            f"{self.bounds}\n[log]\nlevel = info\n",
            encoding="utf-8",
        )

    def start(self) -> None:
        """Start the process as the platform does."""
        self.write_settings()
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["RHUBARBSHED_SETTINGS"] = str(self.path)
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                read_run_command(), cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )
        self.record.write("instance_start", name=self.name, pid=self.process.pid)

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.record.write("signal", name=self.name, signal=number.name)
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the instance says that it takes new connections."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready)
            writer.write(b"GET /rhubarbshed/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until the instance is ready."""
        until = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise CannotRunError(f"{self.name} did not become ready")
            await asyncio.sleep(0.05)
        self.record.write("instance_ready", name=self.name)

    def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Clients:
    """Clients of instances; each request has its own id and is recorded."""

    def __init__(self, record: Record) -> None:
        self.record, self.number = record, 0

    def make_id(self) -> str:
        """Return the id of the next request."""
        self.number += 1
        return f"c{self.number:06x}"

    async def ask(
        self,
        instance,
        target,
        body=None,
        method=None,
        deadline_ms=4000,
        notice_head=lambda instance, headers: None,
        **headers,
    ):
        """Send one request on a new connection; return its id, the status and the body.

        `notice_head` gets the head of the answer as it arrives. An answer that breaks off has no
        body.
        """
        request_id = self.make_id()
        method = method or ("GET" if body is None else "POST")
        lines = [f"{method} {target} HTTP/1.1", f"Host: {SERVICE_HOST}"]
        lines.append(f"Rhubarbshed-Request-Id: {request_id}")
        lines.append(f"Rhubarbshed-Deadline-Remaining: {deadline_ms}")
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        what = {"id": request_id, "instance": instance.name, "target": target}
        if headers:
            what["headers"] = json.dumps(headers)
        self.record.write("sent", **what)
        status, answer = 0, b""
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await asyncio.open_connection(instance.host, instance.callers)
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b""))
                line, found = await read_head(reader)
                status = int(line.split()[1])
                notice_head(instance, found)
                answer = await read_body(reader, found)
                writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        self.record.write("answered", id=request_id, status=status, text=answer[:60])
        return request_id, status, answer


def play(folder: Path, scene, time_max_s: float = 110.0) -> int:
    """Play a scene and return the exit code: 1 if the rule was broken, 0 if not, 2 if unplayed."""
    record = Record(folder)
    instances: list[Instance] = []

    async def run(work: Path) -> bool:
        # What is cancelled at the end of a scene says nothing.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        async with asyncio.timeout(time_max_s):
            return await scene(record, work, instances)

    try:
        with tempfile.TemporaryDirectory() as work:
            try:
                broken = asyncio.run(run(Path(work)))
            finally:
                for instance in instances:
                    instance.stop()
                if keep := os.environ.get("KEEP_LOGS"):
                    for path in Path(work).glob("*.log"):
                        (Path(keep) / path.name).write_bytes(path.read_bytes())
    except Exception as error:
        record.write("cannot_run", error=repr(error))
        print(f"cannot run: {error!r}", file=sys.stderr)
        return 2
    record.write("result", broken=broken, trouble=TROUBLE)
    print("broken" if broken else "held")
    return 1 if broken else 0
