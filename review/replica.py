"""Stand-in of a replica: plain answers, streams, orders, heartbeats, a planned leaving."""

import asyncio
import json
import time
from collections.abc import Callable

from store import Store

HEARTBEAT_S = 1.2
ADAPTER_LOAD_S = 0.007
MODEL_LOAD_S = 3.0


class Replica:
    """Replica that runs in this process; `record` gets a line for all that it runs and is ordered.

    A run takes `run_s`: that of a plain request as a whole, that of a stream for all its events.
    With `models` it is an engine with `places` for adapters.
    """

    def __init__(
        self,
        store: Store,
        record: Callable[..., None],
        server_id: str,
        service: str,
        zone: str,
        run_s: float = 0.03,
        events: int = 0,
        models: dict[str, list[str]] | None = None,
        places: int = 0,
    ) -> None:
        self.store = store
        self.record = record
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.run_s = run_s
        self.events = events
        self.models = models or {}
        self.places = places
        self.port = 0
        self.state = "ready"
        self.is_listed = True
        self.says_leaving = False
        self.remaining_ms: int | None = None
        self.orders = 0
        self.busy_until = 0.0
        self.active = 0
        self.seq = 0
        self.started_ms = int(time.time() * 1000)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen on a free port and send heartbeats."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.record("replica_started", server=self.server_id, port=self.port)
        self.beat()
        self._beating = asyncio.create_task(self._beat_repeatedly())

    def end(self) -> None:
        """End as a process does: its connections are closed, whatever they carry."""
        self.record("replica_ended", server=self.server_id, running=self.active)
        self._beating.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def beat(self) -> None:
        """Send a heartbeat, unless the replica has taken its entry away."""
        if self.is_listed:
            self.seq += 1
            self.store.beat(self.server_id, self.describe())

    def describe(self) -> dict:
        """Return the entry in the store."""
        entry = {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 16,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Seq": self.seq,
            "born": self.started_ms,
            "Models": self._list_models(),
        }
        if self.remaining_ms is not None:
            entry["RemainingMs"] = self.remaining_ms
        return entry

    async def _beat_repeatedly(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    def _list_models(self) -> list[dict]:
        return [
            {"Name": name, "Version": 1, "Adapters": sorted(held)}
            for name, held in self.models.items()
        ]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                pairs = (line.partition(":") for line in lines[1:] if line)
                headers = {name.lower(): value.strip() for name, _, value in pairs}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self._answer(writer, target, headers, body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, writer: asyncio.StreamWriter, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        request_id = headers.get("rhubarbshed-request-id", "")
        expected = headers.get("rhubarbshed-expect-instance", self.server_id)
        if expected != self.server_id:
            self._send(writer, 421, b"", request_id, "Rhubarbshed-Not-Executed: 1")
        elif target == "/rhubarbshed/report":
            self._send(writer, 200, json.dumps(self._report()).encode(), request_id)
        elif target == "/rhubarbshed/order":
            status = self._take_order(json.loads(body))
            self._send(writer, status, b"", request_id)
        elif target == "/health":
            self._send(writer, 200 if self.state == "ready" else 503, b"", request_id)
        elif not self._holds(headers.get("rhubarbshed-model", "")):
            self._send(writer, 421, b"", request_id, "Rhubarbshed-Not-Executed: 1")
        else:
            await self._run(writer, target, request_id)

    async def _run(self, writer: asyncio.StreamWriter, target: str, request_id: str) -> None:
        """Run a request; it ends with its connection."""
        self.record("run", server=self.server_id, request=request_id, target=target)
        self.active += 1
        try:
            if self.events and target.startswith("/s/"):
                await self._stream(writer, request_id)
            else:
                await asyncio.sleep(self.run_s)
                body = f"{self.server_id}:{request_id}".encode()
                self._send(writer, 200, body, request_id, self._sign())
            self.record("done", server=self.server_id, request=request_id)
        finally:
            self.active -= 1

    async def _stream(self, writer: asyncio.StreamWriter, request_id: str) -> None:
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"Rhubarbshed-Request-Id: {request_id}",
            self._sign(),
            *self._leaving_lines(),
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.run_s / self.events)
            event = f"id: {number}\ndata: {self.server_id}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def _send(
        self, writer: asyncio.StreamWriter, status: int, body: bytes, request_id: str, *lines: str
    ) -> None:
        head = [
            f"HTTP/1.1 {status} X",
            f"Content-Length: {len(body)}",
            f"Rhubarbshed-Instance-Id: {self.server_id}",
            "Keep-Alive: timeout=5",
            f"Rhubarbshed-Server-Load: {self.active},0,16",
            *lines,
            *self._leaving_lines(),
        ]
        if request_id:
            head.append(f"Rhubarbshed-Request-Id: {request_id}")
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)

    def _leaving_lines(self) -> list[str]:
        return ["Server-Leaving: 1"] if self.says_leaving else []

    def _sign(self) -> str:
        return f"Rhubarbshed-Response-Signature: sig-{self.server_id}"

    def _holds(self, need: str) -> bool:
        model, _, adapter = need.partition("/")
        if not model or not self.models:
            return True
        return model in self.models and (not adapter or adapter in self.models[model])

    def _report(self) -> dict:
        return {
            "Stage": "both",
            "Models": self._list_models(),
            "Busy": time.monotonic() < self.busy_until,
            "Seq": self.orders,
            "Queued": 0,
            "Active": self.active,
            "KvUsed": 0,
            "KvTotal": 100_000,
            "Handles": 0,
            "born": self.started_ms,
            "Pending": [],
        }

    def _take_order(self, plain: dict) -> int:
        """Carry out an order and return the status of its answer."""
        model, adapter = plain.get("Model", ""), plain.get("Adapter", "")
        status = 409
        if "Holder" not in plain or "FencingToken" not in plain:
            status = 400
        elif plain.get("Expected", self.orders) != self.orders:
            status = 409
        elif adapter and model in self.models:
            status = self._change_adapters(plain["Operation"], self.models[model], adapter)
        elif not adapter:
            status = self._change_models(plain["Operation"], model)
        self.record(
            "order",
            server=self.server_id,
            holder=plain.get("Holder"),
            token=plain.get("FencingToken"),
            operation=plain.get("Operation"),
            model=model,
            adapter=adapter,
            status=status,
        )
        return status

    def _change_adapters(self, operation: str, held: list[str], adapter: str) -> int:
        if (operation == "load") == (adapter in held):
            return 200
        self.orders += 1
        if operation == "load":
            asyncio.get_running_loop().call_later(ADAPTER_LOAD_S, held.append, adapter)
            return 202
        held.remove(adapter)
        return 200

    def _change_models(self, operation: str, model: str) -> int:
        if (operation == "load") == (model in self.models):
            return 200
        if time.monotonic() < self.busy_until:
            return 409
        self.orders += 1
        if operation == "load":
            self.busy_until = time.monotonic() + MODEL_LOAD_S
            asyncio.get_running_loop().call_later(MODEL_LOAD_S, self._finish_load, model)
        else:
            self.models.pop(model)
        return 202

    def _finish_load(self, model: str) -> None:
        self.models[model] = []
        self.beat()
