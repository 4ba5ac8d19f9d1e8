"""HTTP/1.1 server on asyncio protocols, shared by all stand-ins."""

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl, unquote

from attrs import define, evolve, field, frozen

from standin.faults import Counters, Fault, Faults

BACKLOG = 1024
BODY_BYTES_MAX = 64 * 1024 * 1024
JSON_TYPE = "application/json"
HTTP_1_0 = "HTTP/1.0"


@frozen
class HttpRequest:
    """Hold one request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    version: str = "HTTP/1.1"

    def read_json(self) -> Any:
        """Return the body as JSON; raises ValueError."""
        return json.loads(self.body or b"{}")


@frozen
class HttpResponse:
    """Hold one whole answer."""

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: dict[str, str] = field(factory=dict)


def make_json(plain: Any, status: int = 200, headers: dict[str, str] | None = None) -> HttpResponse:
    """Return an answer with a JSON body."""
    return HttpResponse(status, json.dumps(plain).encode(), JSON_TYPE, headers or {})


def make_error(status: int, error: str, **fields: Any) -> HttpResponse:
    """Return an answer that tells an error."""
    return make_json({"error": error, **fields}, status)


def format_head(status: int, content_type: str, headers: dict[str, str], length: int | None) -> str:
    """Return status line and headers; without a length the body is chunked."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}", f"Content-Type: {content_type}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length is None:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join(lines) + "\r\n\r\n"


class Exchange:
    """Let a handler stream its answer, which is cut after some bytes where it is to be lost."""

    def __init__(
        self, connection: "Connection", bytes_left: int | None = None, chunked: bool = True
    ) -> None:
        self.connection = connection
        self.bytes_left = bytes_left
        self.chunked = chunked

    def start_stream(self, headers: dict[str, str], content_type: str) -> None:
        """Send the head of an answer of unknown length, chunked from HTTP/1.1 on."""
        head = format_head(200, content_type, headers, None)
        if not self.chunked:
            head = head.replace("Transfer-Encoding: chunked", "Connection: close")
        self._send(head.encode())

    def write(self, data: bytes) -> None:
        """Send one chunk."""
        if not self.chunked:
            self._send(data)
            return
        self._send(b"%x\r\n%b\r\n" % (len(data), data))

    def end_stream(self) -> None:
        """End a chunked answer."""
        if self.chunked:
            self._send(b"0\r\n\r\n")

    def _send(self, data: bytes) -> None:
        if self.bytes_left is not None:
            self.bytes_left -= len(data)
            if self.bytes_left < 0:
                self.connection.close_early()
                return
        self.connection.write(data)


Handler = Callable[[HttpRequest, Exchange], Awaitable[HttpResponse | None]]


@define(eq=False)
class Server:
    """Hold what all connections of a stand-in share.

    `late_path` is the path whose requests `late_orders` delays. `on_crash` empties the memory.
    """

    handle: Handler
    late_path: str = ""
    restart_s: float = 1.0
    on_crash: Callable[[], None] = lambda: None
    describe: Callable[[], dict[str, Any]] = dict
    faults: Faults = field(factory=Faults)
    counters: Counters = field(factory=Counters)
    connections: set["Connection"] = field(factory=set)
    tasks: set[asyncio.Task] = field(factory=set)
    back_at: float = 0.0

    def start_task(self, work: Awaitable[Any]) -> asyncio.Task:
        """Run work that outlives its connection, though not a crash."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def crash(self) -> None:
        """Cut all connections, forget all work and come back after `restart_s`.

        What is due in the same turn of the loop finds the process gone: it crashes once.
        """
        now = asyncio.get_running_loop().time()
        if self.is_down(now):
            return
        self.counters.add("crashes")
        self.back_at = now + self.restart_s
        for task in list(self.tasks):
            task.cancel()
        for connection in list(self.connections):
            connection.cut()
        self.on_crash()

    def is_down(self, now: float) -> bool:
        """Tell whether the process has not come back from a crash."""
        return now < self.back_at

    def silence(self) -> None:
        """Let open connections carry no more bytes."""
        for connection in self.connections:
            connection.silent = True

    def cut_source(self, instance: str) -> None:
        """Cut the open connections of an instance."""
        for connection in list(self.connections):
            if connection.source == instance:
                connection.cut()


class Connection(asyncio.Protocol):
    """Parse requests of one connection and answer them one after another."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.task: asyncio.Task | None = None
        self.silent = False
        self.source = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take up a new connection."""
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the work of a connection that is gone; a silent one's end is never learnt."""
        self.server.connections.discard(self)
        if self.task is not None and not self.silent:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        """Take in bytes."""
        if self.silent:
            return
        self.buffer += data
        if self.task is None:
            self._start_next()

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is silent or gone."""
        if not self.silent and not self.transport.is_closing():
            self.transport.write(data)

    def cut(self) -> None:
        """Close at once, dropping what was not sent."""
        self.transport.abort()

    def close_early(self) -> None:
        """Close after what was written, in the midst of an answer."""
        self.transport.close()

    def _start_next(self) -> None:
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        request = parse_head(bytes(self.buffer[:end]))
        length = read_length(request)
        if length is None:
            response = make_error(411, "length_required")
            self._send(response)
            self.transport.close()
            return
        if len(self.buffer) < end + 4 + length:
            self._answer_expect(request)
            return
        body = bytes(self.buffer[end + 4 : end + 4 + length])
        del self.buffer[: end + 4 + length]
        whole = evolve(request, body=body)
        self.task = asyncio.ensure_future(self._run(whole))

    def _answer_expect(self, request: HttpRequest) -> None:
        if request.headers.pop("expect", "") == "100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _run(self, request: HttpRequest) -> None:
        try:
            response = await answer(self.server, self, request)
        except asyncio.CancelledError:
            return
        except (KeyError, TypeError, ValueError) as error:
            response = make_error(400, "bad_request", detail=f"{type(error).__name__}: {error}")
        self.task = None
        if response is not None:
            self._send(response)
        if self.transport.is_closing():
            return
        if request.version == HTTP_1_0 or request.headers.get("connection", "").lower() == "close":
            self.transport.close()
            return
        self._start_next()

    def _send(self, response: HttpResponse) -> None:
        head = format_head(
            response.status, response.content_type, response.headers, len(response.body)
        )
        self.write(head.encode() + response.body)


def parse_head(head: bytes) -> HttpRequest:
    """Return a request without its body."""
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, version = first.split(" ", 2)
    path, _, query = target.partition("?")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return HttpRequest(method, unquote(path), dict(parse_qsl(query)), headers, b"", version)


def read_length(request: HttpRequest) -> int | None:
    """Return the length of the body, or None where it cannot be known."""
    if "transfer-encoding" in request.headers:
        return None
    length = request.headers.get("content-length", "0")
    if not length.isdigit() or int(length) > BODY_BYTES_MAX:
        return None
    return int(length)


async def answer(
    server: Server, connection: Connection, request: HttpRequest
) -> HttpResponse | None:
    """Answer one request under the faults in force."""
    if request.path == "/fault":
        return change_faults(server, connection, request)
    if request.path == "/counters":
        return make_json({**server.counters.to_plain(), **server.describe()})
    faults = server.faults
    now = asyncio.get_running_loop().time()
    connection.source = request.headers.get("x-instance", "")
    if server.is_down(now) or faults.refuses(connection.source):
        connection.cut()
        return None
    down = faults.find("down", request.path)
    if down is not None:
        return refuse_down(connection, down)
    slow = faults.find("slow", request.path)
    if slow is not None:
        await asyncio.sleep(slow.delay_s)
    late = faults.find("late_orders", request.path)
    if late is not None and server.late_path and request.path == server.late_path:
        server.start_task(run_late(server, connection, request, late.delay_s))
        connection.cut()
        return None
    return await run_now(server, connection, request)


def refuse_down(connection: Connection, fault: Fault) -> HttpResponse | None:
    """Answer that the stand-in is down, or cut the connection."""
    connection.server.counters.add("calls_while_down")
    if fault.cut:
        connection.cut()
        return None
    return make_error(503, "down")


async def run_now(
    server: Server, connection: Connection, request: HttpRequest
) -> HttpResponse | None:
    """Run a request; its answer may be lost and it may crash the process."""
    crash = server.faults.find_crash(request.body)
    if crash is not None:
        server.counters.add_run(
            request.headers.get("x-request-id", ""), request.headers.get("idempotency-key", "")
        )
        await asyncio.sleep(crash.delay_s)
        server.crash()
        return None
    loss = server.faults.take_loss(request.path)
    bytes_left = None if loss is None else loss.after_bytes
    exchange = Exchange(connection, bytes_left, request.version != HTTP_1_0)
    response = await server.handle(request, exchange)
    if loss is not None:
        connection.cut()
        return None
    return response


async def run_late(
    server: Server, connection: Connection, request: HttpRequest, delay_s: float
) -> None:
    """Let a request take effect after a delay, without an answer."""
    await asyncio.sleep(delay_s)
    await server.handle(request, Exchange(connection, 0))


def change_faults(server: Server, connection: Connection, request: HttpRequest) -> HttpResponse:
    """Set or clear faults."""
    if request.method == "DELETE":
        server.faults.clear()
        return make_json({})
    fault = server.faults.add(request.read_json())
    if fault.kind == "silent":
        server.silence()
        connection.silent = False
    if fault.kind == "refuse_source":
        server.cut_source(fault.instance)
    return make_json({})


async def serve(
    server: Server, host: str, port: int, background: Callable[[], Awaitable[None]] | None = None
) -> None:
    """Serve until SIGTERM or SIGINT, printing one line when listening."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    listener = await loop.create_server(lambda: Connection(server), host, port, backlog=BACKLOG)
    work = asyncio.ensure_future(background()) if background else None
    print(f"event=ready port={listener.sockets[0].getsockname()[1]}", flush=True)
    await stopped.wait()
    listener.close()
    if work is not None:
        work.cancel()
    for connection in list(server.connections):
        connection.cut()
