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
    """HTTP request; header names are in lower case."""

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
    """Complete HTTP response."""

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: dict[str, str] = field(factory=dict)


def make_json(plain: Any, status: int = 200, headers: dict[str, str] | None = None) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(status, json.dumps(plain).encode(), JSON_TYPE, headers or {})


def make_error(status: int, error: str, **fields: Any) -> HttpResponse:
    """Return a JSON response with an error code and further fields."""
    return make_json({"error": error, **fields}, status)


def format_head(status: int, content_type: str, headers: dict[str, str], length: int | None) -> str:
    """Return the status line and headers; without a length the body is chunked."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}", f"Content-Type: {content_type}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length is None:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join(lines) + "\r\n\r\n"


class Exchange:
    """Streamed response of a handler; `bytes_left` cuts it off after that many bytes."""

    def __init__(
        self, connection: "Connection", bytes_left: int | None = None, chunked: bool = True
    ) -> None:
        self.connection = connection
        self.bytes_left = bytes_left
        self.chunked = chunked

    def start_stream(self, headers: dict[str, str], content_type: str) -> None:
        """Send the head of a response of unknown length, chunked unless for HTTP/1.0."""
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
        """Send the end of a chunked response."""
        if self.chunked:
            self._send(b"0\r\n\r\n")

    def _send(self, data: bytes) -> None:
        if self.bytes_left is not None:
            self.bytes_left -= len(data)
            if self.bytes_left < 0:
                self.connection.close_after_sent()
                return
        self.connection.write(data)


Handler = Callable[[HttpRequest, Exchange], Awaitable[HttpResponse | None]]


@define(eq=False)
class Server:
    """State that all connections of a stand-in share.

    `late_path` is the path whose requests the fault `late_orders` delays. `on_crash` clears what
    the process has in memory; `describe` adds fields to the counters.
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
    restarts_at: float = 0.0

    def start_task(self, work: Awaitable[Any]) -> asyncio.Task:
        """Run work that continues after its connection closes but is cancelled by a crash."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def crash(self) -> None:
        """Abort all connections, cancel all work and restart after `restart_s`.

        A second crash in the same iteration of the event loop has no effect: the process is down.
        """
        now = asyncio.get_running_loop().time()
        if self.is_down(now):
            return
        self.counters.add("crashes")
        self.restarts_at = now + self.restart_s
        for task in list(self.tasks):
            task.cancel()
        for connection in list(self.connections):
            connection.disconnect()
        self.on_crash()

    def is_down(self, now: float) -> bool:
        """Return whether the process has not restarted after a crash."""
        return now < self.restarts_at

    def stop_responding(self) -> None:
        """Stop all traffic on open connections without closing them."""
        for connection in self.connections:
            connection.unresponsive = True

    def disconnect_instance(self, instance: str) -> None:
        """Abort the open connections of an instance."""
        for connection in list(self.connections):
            if connection.source == instance:
                connection.disconnect()


class Connection(asyncio.Protocol):
    """HTTP connection whose requests are answered one after another."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.task: asyncio.Task | None = None
        self.unresponsive = False
        self.source = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register a new connection."""
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the work of a closed connection, except of an unresponsive one.

        On a real network, the server would not learn that an unresponsive connection was closed.
        """
        self.server.connections.discard(self)
        if self.task is not None and not self.unresponsive:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes and start the next request."""
        if self.unresponsive:
            return
        self.buffer += data
        if self.task is None:
            self._start_next()

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is unresponsive or closing."""
        if not self.unresponsive and not self.transport.is_closing():
            self.transport.write(data)

    def disconnect(self) -> None:
        """Close at once and drop unsent bytes."""
        self.transport.abort()

    def close_after_sent(self) -> None:
        """Close in the middle of an answer once the written bytes are sent."""
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
        complete = evolve(request, body=body)
        self.task = asyncio.ensure_future(self._run(complete))

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
    """Return the length of the body, or None if it is unknown or above `BODY_BYTES_MAX`."""
    if "transfer-encoding" in request.headers:
        return None
    length = request.headers.get("content-length", "0")
    if not length.isdigit() or int(length) > BODY_BYTES_MAX:
        return None
    return int(length)


async def answer(
    server: Server, connection: Connection, request: HttpRequest
) -> HttpResponse | None:
    """Answer one request, subject to the faults in force."""
    if request.path == "/fault":
        return change_faults(server, connection, request)
    if request.path == "/counters":
        return make_json({**server.counters.to_plain(), **server.describe()})
    faults = server.faults
    now = asyncio.get_running_loop().time()
    connection.source = request.headers.get("x-instance", "")
    if server.is_down(now) or faults.refuses_instance(connection.source):
        connection.disconnect()
        return None
    down = faults.find("down", request.path)
    if down is not None:
        return answer_down(connection, down)
    slow = faults.find("slow", request.path)
    if slow is not None:
        await asyncio.sleep(slow.delay_s)
    late = faults.find("late_orders", request.path)
    if late is not None and server.late_path and request.path == server.late_path:
        server.start_task(run_delayed(server, connection, request, late.delay_s))
        connection.disconnect()
        return None
    return await run_request(server, connection, request)


def answer_down(connection: Connection, fault: Fault) -> HttpResponse | None:
    """Answer that the stand-in is down, or disconnect."""
    connection.server.counters.add("calls_while_down")
    if fault.cut:
        connection.disconnect()
        return None
    return make_error(503, "down")


async def run_request(
    server: Server, connection: Connection, request: HttpRequest
) -> HttpResponse | None:
    """Run a request; a fault may crash the process or lose the answer."""
    crash = server.faults.find_crash(request.body)
    if crash is not None:
        server.counters.add_run(
            request.headers.get("x-request-id", ""), request.headers.get("idempotency-key", "")
        )
        await asyncio.sleep(crash.delay_s)
        server.crash()
        return None
    lost_answer = server.faults.consume_lost_answer(request.path)
    bytes_left = None if lost_answer is None else lost_answer.after_bytes
    exchange = Exchange(connection, bytes_left, request.version != HTTP_1_0)
    response = await server.handle(request, exchange)
    if lost_answer is not None:
        connection.disconnect()
        return None
    return response


async def run_delayed(
    server: Server, connection: Connection, request: HttpRequest, delay_s: float
) -> None:
    """Run a request after a delay, without an answer."""
    await asyncio.sleep(delay_s)
    await server.handle(request, Exchange(connection, 0))


def change_faults(server: Server, connection: Connection, request: HttpRequest) -> HttpResponse:
    """Set or clear faults."""
    if request.method == "DELETE":
        server.faults.clear()
        return make_json({})
    fault = server.faults.add(request.read_json())
    if fault.kind == "silent":
        server.stop_responding()
        connection.unresponsive = False
    if fault.kind == "refuse_source":
        server.disconnect_instance(fault.instance)
    return make_json({})


async def serve(
    server: Server, host: str, port: int, background: Callable[[], Awaitable[None]] | None = None
) -> None:
    """Serve until SIGTERM or SIGINT; prints one line with the port once listening."""
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
        connection.disconnect()
