"""An instance with stand-ins of the platform's store and replicas, in one event loop."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable

from attrs import define, field

from rhubarbshed.transport.edge.node import Node
from rhubarbshed.util.front import FrontSettings
from standin.hosts import make_host
from standin.replica import Replica
from standin.rows import RowStore
from tools.processes import find_free_ports

HOST = "svc.example"
WAIT_S = 5.0


SETTINGS_TEXT = """
[instance]
name = {name}
data_centre = {data_centre}
host = 127.0.0.1
unknown = ignored
[listen]
callers = 127.0.0.1:{callers}
ready = 127.0.0.1:{ready}
peers_ports = {peers},{peers}
metrics_port = {metrics}
[platform]
store = 127.0.0.1:{store}
[limits]
cpu_share = 0.5
core_speed = 2
link_mbps = 100
[bounds]
drain_ms = 2000
lease_ms = 3000
grace_s = 8
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 100
ceiling_window_s = 5
ceiling_overage = 1.1
[log]
level = {level}
[unknown]
"""


def find_port() -> int:
    """Return a free port."""
    return find_free_ports(1)[0]


def make_settings(store: tuple[str, int], **changes: object) -> FrontSettings:
    """Return settings on free ports, with the platform's usual bounds."""
    values = {
        "name": "i1",
        "data_centre": "a",
        "host": make_host(1),
        "callers": (make_host(1), find_port()),
        "ready": (make_host(1), find_port()),
        "peers_port": find_port(),
        "metrics_port": find_port(),
        "store": store,
        "log_level": "info",
        "drain_s": 2.0,
        "heartbeat_s": 1.2,
        "grace_s": 8.0,
        "lease_s": 3.0,
        "retry_ratio": 0.2,
        "retry_window_s": 10.0,
        "retry_extra": 100.0,
        "ceiling_window_s": 5.0,
        "ceiling_overage": 1.1,
        "cores": 1.0,
        "link_mbps": 100.0,
    }
    return FrontSettings(**{**values, **changes})


def make_route(kind: str = "idempotent", prefix: str = "/p/", **changes: object) -> dict:
    """Return a route in the operator's format."""
    route = {
        "Name": f"r{prefix.strip('/')}",
        "Host": HOST,
        "Prefix": prefix,
        "Kind": kind,
        "TimeoutMs": 4000,
        "TargetLatencyMs": 300,
        "Priority": 1,
        "Service": "svc",
        "Attempts": 2,
    }
    return {**route, **changes}


def make_configuration(*routes: dict, version: int = 1, **changes: object) -> dict:
    """Return a configuration in the operator's format."""
    services = [{"Name": "svc", "HealthCheck": "/health", "MaxConnections": 100}]
    return {"Version": version, "Routes": list(routes), "Services": services, **changes}


def make_engine_service(models: dict[str, int], places: int = 4, weights_mb: float = 200.0) -> dict:
    """Return a service of engines; each model has 60 MB and the given number of adapters."""
    engine = {
        "Slots": 8,
        "KvCapacity": 100_000,
        "WeightsMb": weights_mb,
        "AdapterSlots": places,
        "LoadsPerS": 10.0,
        "Models": [
            {"Name": name, "WeightsMb": 60.0, "LoadTimeS": 0.2, "Adapters": count, "AdapterMb": 1.0}
            for name, count in models.items()
        ],
    }
    return {"Name": "svc", "HealthCheck": "/health", "MaxConnections": 100, "Engine": engine}


@define
class Answer:
    """Response as a caller sees it; `whole` means that it ended properly."""

    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""
    whole: bool = False


@define
class Edge:
    """Instance under test with its store and replicas."""

    store: RowStore
    replicas: list[Replica]
    node: Node
    task: asyncio.Task

    async def ask(
        self,
        path: str = "/p/x",
        body: bytes = b"",
        method: str | None = None,
        **headers: str,
    ) -> Answer:
        """Send one request on a new connection and read the response to its end."""
        reader, writer = await asyncio.open_connection(*self.node.settings.callers)
        method = method or ("POST" if body else "GET")
        sent = {
            "Host": HOST,
            "Rhubarbshed-Request-Id": f"q{time.monotonic_ns()}",
            "Rhubarbshed-Deadline-Remaining": "4000",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if body:
            sent["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {text}" for name, text in sent.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        try:
            return await asyncio.wait_for(read_answer(reader), WAIT_S)
        finally:
            writer.close()

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float = WAIT_S) -> None:
        """Wait until a condition holds."""
        until = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < until, "the condition did not hold in time"
            await asyncio.sleep(0.02)


async def read_answer(reader: asyncio.StreamReader, answer: Answer | None = None) -> Answer:
    """Read one response; one that breaks off is returned as far as it arrived."""
    answer = answer or Answer()
    try:
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
            length = int(answer.headers.get("content-length", 0))
            answer.body = await reader.readexactly(length)
        answer.whole = True
    except (OSError, asyncio.IncompleteReadError):
        pass
    return answer


@contextlib.asynccontextmanager
async def run_edge(
    configuration: dict | None, *replicas: Replica, **changes: object
) -> AsyncIterator[Edge]:
    """Run an instance until the block ends.

    Given a configuration and replicas, it is ready when the block starts.
    """
    store = RowStore()
    await store.start()
    if configuration is not None:
        store.put("op", "config", configuration)
    for replica in replicas:
        await replica.start()
        store.put("servers", replica.server_id, replica.describe())
    node = Node.from_settings(make_settings(store.address, **changes), "")
    task = asyncio.create_task(node.run())
    edge = Edge(store, list(replicas), node, task)
    try:
        if configuration is not None and replicas:
            await edge.wait_until(lambda: node.view.is_ready)
        else:
            await asyncio.sleep(0.2)
        yield edge
    finally:
        node.stop.set()
        node.view.drain.announce_s = node.view.drain.drain_s = 0.0
        await asyncio.wait_for(task, WAIT_S)
        for replica in replicas:
            await replica.stop()
        await store.stop()


def play(scene: Callable[[], object]) -> None:
    """Run an asynchronous test."""
    asyncio.run(scene())
