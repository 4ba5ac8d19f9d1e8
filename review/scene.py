"""Instances as processes, with the commands of the deploy file, and clients of them."""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import time
import tomllib
import urllib.request
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[1]
HOST = "svc.example"
READY_TIMEOUT_S = 20.0
RESTART_S = 0.3
PLACEHOLDER = re.compile(r"\{\{([^}]*)\}\}")
BOUNDS = {
    "Bounds.DrainMs": 2000,
    "Bounds.LeaseMs": 3000,
    "Bounds.GraceS": 8,
    "Bounds.RetryBudgetRatio": 0.2,
    "Bounds.BudgetWindowS": 10,
    "Bounds.BudgetExtra": 113,
    "Bounds.CeilingWindowS": 5,
    "Bounds.CeilingOverage": 1.1,
    "Limits.CpuShare": 0.731,
    "Limits.Cores": 1,
    "Limits.LinkMbps": 350.0,
}


class Record:
    """Record of what was sent, answered and run; times are seconds since its start."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self.events: list[dict] = []
        self._file = path.open("w", encoding="utf-8")

    def write(self, what: str, **fields: object) -> None:
        """Add one line."""
        at = round(time.monotonic() - self.started_at, 3)
        self.events.append({"at": at, "what": what, **fields})
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:8.3f} {what} {words}\n")
        self._file.flush()

    def list(self, what: str) -> list[dict]:
        """Return the events of a kind."""
        return [event for event in self.events if event["what"] == what]


def find_ports(count: int) -> list[int]:
    """Return free ports."""
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


class Instance:
    """One instance on a loopback address of its own, like a machine."""

    def __init__(
        self, record: Record, folder: Path, name: str, zone: str, host: str, ports: dict[str, int]
    ) -> None:
        self.record = record
        self.name = name
        self.zone = zone
        self.host = host
        self.ports = ports
        self.settings = folder / f"{name}.ini"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None
        values = {
            **BOUNDS,
            "Node": name,
            "Zone": zone,
            "Ip": host,
            "Bootstrap": "true",
            "Listen.Front": f"{host}:{ports['front']}",
            "Listen.Ready": f"{host}:{ports['ready']}",
            "PortRange": f"{ports['peers']},{ports['peers']}",
            "Platform.Address": f"127.0.0.1:{ports['store']}",
        }
        template = (REPOSITORY / "deploy/settings.ini").read_text(encoding="utf-8")
        text = PLACEHOLDER.sub(lambda found: str(values[found[1].strip()]), template)
        self.settings.write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text(encoding="utf-8"))
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["RHUBARBSHED_SETTINGS"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["front"]["run"].split(),
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.write("instance_started", instance=self.name, pid=self.process.pid)

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.record.write("signal", instance=self.name, number=number.name)
        self.process.send_signal(number)

    async def wait_ended(self, timeout_s: float) -> None:
        """Wait for the end of the process; kill it after `timeout_s`, as the platform does."""
        until = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.send(signal.SIGKILL)
        code = self.process.wait()
        self.record.write("instance_ended", instance=self.name, code=code)

    async def is_ready(self) -> bool:
        """Return whether the instance says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ports["ready"])
            writer.write(b"GET /rhubarbshed/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self) -> None:
        """Wait until the instance is ready."""
        until = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > until:
                raise TimeoutError(f"{self.name} was not ready in time")
            await asyncio.sleep(0.05)
        self.record.write("instance_ready", instance=self.name)

    def kill(self) -> None:
        """End the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def make_instances(
    record: Record, folder: Path, zones: dict[str, str], store_ports: list[int]
) -> list[Instance]:
    """Return instances by name and zone; each has an address of its own and the same ports."""
    front, ready, peers = find_ports(3)
    instances = []
    for number, (name, zone) in enumerate(zones.items()):
        host = f"127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}.{10 + number}"
        ports = {"front": front, "ready": ready, "peers": peers, "store": store_ports[number]}
        instances.append(Instance(record, folder, name, zone, host, ports))
    return instances


def read_metrics(instance: Instance) -> str:
    """Return the metrics of an instance."""
    url = f"http://{instance.host}:9464/metrics"
    with urllib.request.urlopen(url, timeout=2.0) as answer:
        return answer.read().decode()


async def find_holder(instances: list[Instance]) -> Instance | None:
    """Return the instance that says that it holds the lease."""
    for instance in instances:
        text = await asyncio.to_thread(read_metrics, instance)
        if re.search(r"^\S*order_holder(\{\})? 1", text, re.MULTILINE):
            return instance
    return None


class Answer:
    """Answer as a client sees it; `whole` if it ended properly."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.whole = False


class Client:
    """Client that sends each request on a connection of its own."""

    def __init__(self, record: Record, timeout_s: float = 4.0) -> None:
        self.record = record
        self.timeout_s = timeout_s
        self.count = 0

    async def ask(self, instance: Instance, method: str, path: str, **headers: str) -> Answer:
        """Send one request and read its answer."""
        self.count += 1
        request_id = f"q{self.count:06d}"
        sent = {
            "Host": HOST,
            "Rhubarbshed-Request-Id": request_id,
            "Rhubarbshed-Deadline-Remaining": str(int(self.timeout_s * 1000)),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if method == "POST":
            sent["Content-Length"] = "0"
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {text}" for name, text in sent.items())]
        answer = Answer()
        self.record.write("sent", request=request_id, path=path, instance=instance.name)
        try:
            async with asyncio.timeout(self.timeout_s):
                reader, writer = await asyncio.open_connection(
                    instance.host, instance.ports["front"]
                )
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
                try:
                    await _read_answer(reader, answer)
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        self.record.write(
            "answered",
            request=request_id,
            instance=instance.name,
            status=answer.status,
            whole=answer.whole,
            signed="rhubarbshed-response-signature" in answer.headers,
            server=answer.headers.get("rhubarbshed-instance-id", ""),
            leaving=answer.headers.get("server-leaving", ""),
        )
        return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split()[1])
    pairs = (line.partition(":") for line in lines[1:] if line)
    answer.headers = {name.lower(): value.strip() for name, _, value in pairs}
    if answer.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        answer.body = await reader.readexactly(int(answer.headers.get("content-length", 0)))
    answer.whole = True


def make_route(prefix: str, kind: str, service: str, **changes: object) -> dict:
    """Return a route of a configuration."""
    return {
        "Name": prefix.strip("/"),
        "Host": HOST,
        "Prefix": prefix,
        "Kind": kind,
        "TimeoutMs": 4000,
        "TargetLatencyMs": 300,
        "Priority": 1,
        "Service": service,
        "Attempts": 2 if kind == "idempotent" else 1,
        **changes,
    }


def make_service(name: str, **changes: object) -> dict:
    """Return a service of a configuration."""
    return {"Name": name, "HealthCheck": "/health", "MaxConnections": 200, **changes}


def make_configuration(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration."""
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 5000,
        "IdleTimeoutMs": 30000,
    }
    return {"Version": version, "Routes": routes, "Services": services, "Limits": limits}


def is_troubled() -> bool:
    """Return whether the script brings about the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def describe(plain: object) -> str:
    """Return a value as JSON for the record."""
    return json.dumps(plain, sort_keys=True)
