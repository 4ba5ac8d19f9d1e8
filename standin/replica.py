"""Stand-in of a replica on the platform: answers, streams, orders and broken answers."""

import asyncio
import json
import socket
import struct
import time
from collections.abc import Awaitable, Callable

from attrs import define, field

from standin.hosts import make_host

HOST_NUMBER = 254
"""Number of the replicas' own address: another process may listen at once on a port that a crashed
replica has left, if their address is the same, and answer in its place."""

Reply = Callable[["Exchange"], Awaitable[None]]


@define(eq=False)
class Exchange:
    """Request that a replica received, and the connection for its answer."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    replica: "Replica"

    @property
    def request_id(self) -> str:
        """Return the request id, empty if the request has none."""
        return self.headers.get("rhubarbshed-request-id", "")

    def write(self, data: bytes) -> None:
        """Send raw bytes."""
        self.writer.write(data)

    def answer(self, status: int, body: bytes, *lines: str, signed: bool = True) -> None:
        """Send a complete answer, with the server's signature unless `signed` is false."""
        head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *lines]
        head.append(f"Rhubarbshed-Request-Id: {self.request_id}")
        head += self.replica.list_leaving_lines()
        if signed:
            head.append(f"Rhubarbshed-Response-Signature: sig-{self.replica.server_id}")
        self.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)

    def refuse(self, status: int = 503) -> None:
        """Refuse the request with the header for a request that did not run."""
        self.answer(status, b"", "Rhubarbshed-Not-Executed: 1", signed=False)

    def begin_stream(self, *lines: str) -> None:
        """Send the head of a chunked event stream."""
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"Rhubarbshed-Request-Id: {self.request_id}",
            f"Rhubarbshed-Response-Signature: sig-{self.replica.server_id}",
            *self.replica.list_leaving_lines(),
            *lines,
        ]
        self.write("\r\n".join(head).encode() + b"\r\n\r\n")

    def send_event(self, number: int, *words: str) -> None:
        """Send one event of a stream, with further words in its data."""
        data = " ".join((f"t{number}", *words))
        self.send_chunk(f"id: {number}\ndata: {data}\n\n".encode())

    def send_chunk(self, data: bytes) -> None:
        """Send one chunk."""
        self.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def end_stream(self) -> None:
        """Send the end of a stream."""
        self.write(b"0\r\n\r\n")

    def reset(self) -> None:
        """Abort the connection with a TCP reset."""
        sock = self.writer.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


async def echo_body(exchange: Exchange) -> None:
    """Answer with the body of the request."""
    exchange.answer(200, b"done:" + exchange.body)


@define(eq=False)
class Replica:
    """Backend server that answers requests by `reply` and checks orders as the platform does.

    A `silent` one reads and does not answer. A load above `models_max` or `adapters_max` calls
    `on_overfull`. An order for a model takes `load_s`; the replica refuses a further one until
    then.
    """

    server_id: str
    service: str = "svc"
    data_centre: str = "a"
    slots: int = 8
    started_ms: int = 1
    version: str = "v1"
    models: dict[str, list[str]] = field(factory=dict)
    reply: Reply = echo_body
    orders: int = 0
    refuse_orders: bool = False
    got: list[Exchange] = field(factory=list)
    ordered: list[dict] = field(factory=list)
    gone: list[str] = field(factory=list)
    models_max: int = 0
    adapters_max: int = 0
    load_s: float = 0.0
    busy_until: float = 0.0
    draining: bool = False
    says_leaving: bool = False
    silent: bool = False
    on_overfull: Callable[[], None] = lambda: None
    answer_order: Callable[["Exchange", dict], Awaitable[None]] | None = None
    address: tuple[str, int] = field(factory=lambda: (make_host(HOST_NUMBER), 0))
    version: str = "v1"
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close the port and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def crash(self) -> None:
        """End as a killed process does: its kernel closes all its sockets."""
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    def drain(self) -> None:
        """Report from now on that the replica drains."""
        self.draining = True

    def list_leaving_lines(self) -> list[str]:
        """Return the header of all answers of a replica that leaves and says so in them."""
        return ["Server-Leaving: 1"] if self.says_leaving else []

    def describe(self, **changes: object) -> dict:
        """Return the entry of the replica in the store, with changed fields."""
        entry = {
            "Service": self.service,
            "Address": f"{self.address[0]}:{self.address[1]}",
            "Zone": self.data_centre,
            "Version": self.version,
            "Slots": self.slots,
            "State": "draining" if self.draining else "ready",
            "ColdRemainingMs": 0,
            "Seq": 1,
            "born": self.started_ms,
            "Models": self._list_models(),
        }
        return {**entry, **changes}

    def _list_models(self) -> list[dict]:
        return [
            {"Name": name, "Version": 1, "Adapters": adapters}
            for name, adapters in self.models.items()
        ]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                exchange = await self._read(reader, writer)
                await self._route(exchange)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Exchange:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        pairs = (line.partition(":") for line in lines[1:] if line)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Exchange(method, target, headers, body, writer, self)

    async def _route(self, exchange: Exchange) -> None:
        if self.silent:
            return
        expected = exchange.headers.get("rhubarbshed-expect-instance", self.server_id)
        if expected != self.server_id:
            line = f"Rhubarbshed-Instance-Id: {self.server_id}"
            exchange.answer(421, b"", line, signed=False)
        elif exchange.target == "/rhubarbshed/report":
            exchange.answer(200, json.dumps(self._report()).encode(), signed=False)
        elif exchange.target == "/rhubarbshed/order" and self.answer_order is not None:
            await self.answer_order(exchange, json.loads(exchange.body))
        elif exchange.target == "/rhubarbshed/order":
            exchange.answer(self.execute_order(json.loads(exchange.body)), b"", signed=False)
        elif exchange.target == "/health":
            await self._answer_health(exchange)
        else:
            self.got.append(exchange)
            await self.reply(exchange)

    async def _answer_health(self, exchange: Exchange) -> None:
        line = f"Rhubarbshed-Instance-Id: {self.server_id}"
        exchange.answer(503 if self.draining else 200, b"", line, signed=False)

    def _report(self) -> dict:
        return {
            "Stage": "both",
            "Models": self._list_models(),
            "Busy": time.monotonic() < self.busy_until,
            "Seq": self.orders,
            "Queued": 0,
            "Active": 0,
            "KvUsed": 0,
            "KvTotal": 1000,
            "Handles": 0,
            "born": self.started_ms,
        }

    def execute_order(self, plain: dict) -> int:
        """Execute an order and return the status of its answer."""
        self.ordered.append(plain)
        if not plain.get("Adapter") and time.monotonic() < self.busy_until:
            return 409
        if self.refuse_orders or plain.get("Expected", self.orders) != self.orders:
            return 409
        model, adapter = plain["Model"], plain.get("Adapter")
        loads = plain["Operation"] == "load"
        if loads and model in self.models and (not adapter or adapter in self.models[model]):
            return 200
        self.orders += 1
        if not adapter:
            self.busy_until = time.monotonic() + self.load_s
        if loads:
            held = self.models.setdefault(model, [])
            if adapter:
                held.append(adapter)
            if self._is_overfull():
                self.on_overfull()
            return 202
        if adapter:
            if adapter in self.models.get(model, ()):
                self.models[model].remove(adapter)
            return 200
        self.models.pop(model, None)
        return 202

    def _is_overfull(self) -> bool:
        adapters = sum(len(held) for held in self.models.values())
        too_many = self.models_max and len(self.models) > self.models_max
        return bool(too_many or (self.adapters_max and adapters > self.adapters_max))
