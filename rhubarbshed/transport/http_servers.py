"""HTTP servers of an instance: one CherryPy application per port."""

import contextlib
import http
import logging
import select
import socket
import threading
import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import cherrypy
from attrs import frozen
from cheroot.makefile import MakeFile, StreamReader
from cheroot.server import ChunkedRFile, HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10, Server
from returns.result import Failure, Result, Success

from rhubarbshed.coordination.requests.drain import DRAINING_MESSAGE
from rhubarbshed.protocol.answers import make_error_headers, render_error
from rhubarbshed.protocol.errors import Outcome, RequestError
from rhubarbshed.transport.edge.sockets import accept_waiting
from rhubarbshed.transport.stream_relay import CallerConnection
from rhubarbshed.transport.timeouts import set_timeouts

LOG = logging.getLogger(__name__)
LISTEN_BACKLOG = 512
CONNECTIONS_IDLE_MAX = 1024
CALLER_CONNECTION_KEY = "rhubarbshed.line"
# Unread bytes of a refused request's body that are still read to keep the connection open.
UNREAD_BYTES_MAX = 256 * 1024
BODY_TIMEOUT = 408
READ_BYTES = 65_536
# Longest line with the length of a chunk and its extensions.
CHUNK_LINE_BYTES_MAX = 1024
LINE_END = b"\r\n"
# Time in which what a caller sends behind a refusal is read, as unread bytes make a close a reset.
DISCARD_S = 0.1
CLOSING = RequestError(503, "draining", DRAINING_MESSAGE, retryable=True, retry_after_s=1.0)

Handler = Callable[..., Any]


@frozen
class HttpServerLimits:
    """Limits of a server: threads, bytes of headers, and seconds for a slow client."""

    threads: int
    header_bytes_max: int
    socket_timeout_s: float


class TimedReader(StreamReader):
    """Reader of a socket whose timeouts the kernel enforces, which returns None for them."""

    def read(self, *args: int) -> bytes:
        """Read bytes; raise what cheroot takes for a timeout if none came in time."""
        data = super(StreamReader, self).read(*args)
        if data is None:
            raise TimeoutError("timed out")
        self.bytes_read += len(data)
        return data

    def read1(self, size: int) -> bytes:
        """Read what comes first, up to `size` bytes; `read` waits anew for the rest of these."""
        data = self.read(1)
        return data + self.read(min(size - len(data), len(self.peek())))

    def peek(self, _: int = 0) -> bytes:
        """Return the bytes that were read ahead; a wait for more would hide a timeout."""
        return self._read_buf[self._read_pos :]


class BoundedChunks(ChunkedRFile):
    """Body in chunks that is read in pieces, whatever lengths its chunks claim to have."""

    left = 0

    def _fetch(self) -> None:
        """Read the next piece; `left` are the bytes of its chunk that have not been read."""
        if self.closed:
            return
        if not self.left:
            self.left = self._read_length()
        if not self.left:
            self.closed = True
            return
        self.buffer = _check_received(self.rfile.read1(min(self.left, READ_BYTES)))
        self.left -= len(self.buffer)
        if not self.left and _check_received(self.rfile.read(len(LINE_END))) != LINE_END:
            raise ValueError("a chunk is longer than its length")

    def _read_length(self) -> int:
        line = _check_received(self.rfile.readline(CHUNK_LINE_BYTES_MAX))
        length = int(line.partition(b";")[0], 16)
        if not line.endswith(LINE_END) or length < 0:
            raise ValueError("a chunk has no length")
        return length

    def read(self, size: int) -> bytes:
        """Read up to `size` bytes; fewer only at the end of the body."""
        data = bytearray()
        while len(data) < size:
            if not self.buffer:
                self._fetch()
            if not self.buffer:
                break
            wanted = size - len(data)
            data += self.buffer[:wanted]
            self.buffer = self.buffer[wanted:]
        return bytes(data)


def _check_received(data: bytes) -> bytes:
    if not data:
        raise ValueError("the body is shorter than its chunks")
    return data


class BoundedRequest(HTTPRequest):
    """Request that closes the connection after a body that was not read to its end.

    The rest of a chunked body would be read as the next request.
    """

    def send_headers(self) -> None:
        """Send the headers after deciding whether the connection can be kept open."""
        unread = getattr(self.rfile, "remaining", 0)
        if self.chunked_read and not self.rfile.closed:
            self.close_connection = True
        if unread > UNREAD_BYTES_MAX or self.status.startswith(str(BODY_TIMEOUT).encode()):
            self.close_connection = True
        super().send_headers()


class BoundedConnection(HTTPConnection):
    """Connection whose requests limit the bytes read after their answer.

    One that `is_kept` waits for another request. A stop refuses a request that may be on its way.
    """

    RequestHandlerClass = BoundedRequest
    is_kept = False

    def communicate(self) -> bool:
        """Answer a request, or refuse one to come in a stop; return whether to wait for another."""
        while True:
            if self.is_kept and not self.server.ready and not self._has_arrived():
                self.is_kept = False
                self._refuse_next()
                return False
            self.is_kept = super().communicate()
            if not self.is_kept or self.server.ready:
                return self.is_kept

    def close(self) -> None:
        """Close the connection; a stop has a worker do that for one that is kept."""
        if self.is_kept and not self.server.ready:
            self.server.process_conn(self)
        else:
            super().close()

    def _has_arrived(self) -> bool:
        return self.rfile.has_data() or bool(select.select((self.socket,), (), (), 0)[0])

    def _refuse_next(self) -> None:
        """Refuse the request that may be on its way; nothing of it is run."""
        until = time.monotonic() + DISCARD_S
        with contextlib.suppress(OSError):  # of a caller that has left
            self.socket.sendall(render_refusal(CLOSING))
            self.socket.shutdown(socket.SHUT_WR)
            while (left_s := until - time.monotonic()) > 0:
                self.socket.settimeout(left_s)
                if not self.socket.recv(READ_BYTES):
                    return


@frozen
class HttpServer:
    """An HTTP server and its thread."""

    server: Server
    thread: threading.Thread

    @classmethod
    def from_config(
        cls, handler: Handler, host: str, port: int, limits: HttpServerLimits
    ) -> "HttpServer":
        """Build a server that passes every request to one handler."""
        server = Server(
            (host, port),
            make_application(handler),
            numthreads=limits.threads,
            max=limits.threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=limits.socket_timeout_s,
            shutdown_timeout=1,
        )
        server.max_request_header_size = limits.header_bytes_max
        server.ConnectionClass = make_connection
        server.gateway = make_gateway
        server.keep_alive_conn_limit = CONNECTIONS_IDLE_MAX
        return cls(server, threading.Thread(target=server.serve, daemon=True))

    def start(self) -> Result[None, str]:
        """Listen and serve on a separate thread, or return why that failed."""
        try:
            self.server.prepare()
        except OSError as error:
            return Failure(f"cannot listen on {self.server.bind_addr}: {error}")
        self.thread.start()
        return Success(None)

    def close_after_answers(self) -> None:
        """Close callers' connections after their next answers, which say so."""
        self.server.keep_alive_conn_limit = 0

    def stop(self) -> None:
        """Stop listening, answer what has arrived on connections, and end the worker threads."""
        if self.server.ready:
            listener = self.server.socket
            # The close resets connections that nobody has accepted.
            accepted = accept_waiting(listener.dup())
            listener.close()
            self.server.socket = None
            for sock in accepted:
                self.server.process_conn(make_connection(self.server, sock, MakeFile))
        self.server.stop()


def render_refusal(error: RequestError) -> bytes:
    """Return the bytes of a refusal that ends a connection."""
    body = render_error(error, "")
    headers = make_error_headers(error) | {"Content-Length": str(len(body)), "Connection": "close"}
    lines = [f"HTTP/1.1 {error.status} {http.HTTPStatus(error.status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def make_connection(server: Server, sock: socket.socket, makefile: Any) -> HTTPConnection:
    """Make a connection on a blocking socket with kernel timeouts, which needs no poll per send."""

    def make_file(sock: socket.socket, mode: str, size: int) -> Any:
        return (TimedReader if mode == "rb" else makefile)(sock, mode, size)

    set_timeouts(sock, server.timeout)
    return BoundedConnection(server, sock, make_file)


def make_gateway(request: HTTPRequest) -> Gateway_10:
    """Make the server's WSGI gateway, with the caller's connection in its environment."""
    if request.chunked_read:
        request.rfile = BoundedChunks(request.conn.rfile, 0)
    gateway = Gateway_10(request)
    gateway.env[CALLER_CONNECTION_KEY] = CallerConnection(request.conn.socket, gateway.write)
    return gateway


def make_application(handler: Handler) -> cherrypy.Application:
    """Make an application that passes every path and method to one handler."""
    handler.exposed = True
    config = {
        "/": {
            "request.process_request_body": False,
            "request.show_tracebacks": False,
            "request.methods_with_bodies": ("POST", "PUT", "PATCH", "DELETE"),
            "request.error_response": _answer_defect,
            "tools.trailing_slash.on": False,
            "tools.log_tracebacks.on": True,
        }
    }
    application = cherrypy.Application(SimpleNamespace(default=handler, index=handler), "", config)
    application.log.screen = False
    application.log.access_log.disabled = True
    application.log.error_log.disabled = True
    return application


def read_body(bytes_max: int) -> Result[bytes, RequestError]:
    """Read the body of the current request, up to a maximum size."""
    try:
        return _read_whole(bytes_max)
    except TimeoutError:
        text = "the body did not come in time"
        return Failure(RequestError(BODY_TIMEOUT, "body_timeout", text, retryable=True))
    except (OSError, ValueError) as error:
        return Failure(RequestError(400, "bad_request", f"the body cannot be read: {error}"))


def _read_whole(bytes_max: int) -> Result[bytes, RequestError]:
    headers = cherrypy.request.headers
    if headers.get("Transfer-Encoding", "").lower() == "chunked":
        return _read_chunked(bytes_max)
    text = headers.get("Content-Length", "0")
    if not text.isdigit():
        return Failure(RequestError(400, "bad_request", "Content-Length is not a whole number"))
    length = int(text)
    if length > bytes_max:
        return Failure(_refuse_large(bytes_max))
    body = cherrypy.request.rfile.read(length) if length else b""
    if len(body) < length:
        return Failure(RequestError(400, "bad_request", "the body is shorter than its length"))
    return Success(body)


def _read_chunked(bytes_max: int) -> Result[bytes, RequestError]:
    body = cherrypy.request.rfile.read(bytes_max + 1)
    if len(body) > bytes_max:
        return Failure(_refuse_large(bytes_max))
    return Success(body)


def _refuse_large(bytes_max: int) -> RequestError:
    return RequestError(
        413, "too_large", f"the body is larger than {bytes_max} bytes", field="body"
    )


def answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Set status and headers of the current answer and return its body."""
    cherrypy.response.status = status
    cherrypy.response.headers.update(headers)
    return body


def answer_error(error: RequestError, request_id: str = "") -> bytes:
    """Answer the current request with an error."""
    return answer(error.status, make_error_headers(error), render_error(error, request_id))


def _answer_defect() -> None:
    """Answer after an internal error; whether the work ran is unknown."""
    LOG.critical("event=defect", exc_info=True)
    error = RequestError(500, "defect", "the instance met a defect", Outcome.UNKNOWN)
    cherrypy.response.body = [answer_error(error)]
