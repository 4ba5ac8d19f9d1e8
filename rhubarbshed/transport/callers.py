"""The callers' HTTP server: inference, plain services, the list of models, health."""

import json
import threading
import time
import uuid
from collections.abc import Callable, Iterator
from typing import Any

import cherrypy
from attrs import define, field
from returns.result import Failure, Result

from rhubarbshed.protocol.answers import JSON_TYPE, BufferedResponse, render_error
from rhubarbshed.protocol.calls import (
    ENDPOINTS,
    REQUEST_ID_HEADER,
    Call,
    CallContext,
    parse_inference,
    parse_service_call,
)
from rhubarbshed.protocol.errors import CUT_OFF_CODE, Outcome, RequestError
from rhubarbshed.protocol.requests import AttemptEnd, Dispatch, Refusal
from rhubarbshed.transport.events import Attempt, Piece
from rhubarbshed.transport.gateway import Gateway
from rhubarbshed.transport.http_servers import (
    CALLER_CONNECTION_KEY,
    answer,
    answer_error,
    read_body,
)
from rhubarbshed.transport.open_sockets import OpenSockets
from rhubarbshed.transport.races import Race
from rhubarbshed.transport.stream_relay import CallerConnection
from rhubarbshed.transport.upstream import UpstreamClient

STREAM_TYPE = "text/event-stream"
SERVICES_ROOT = "services"
# Workers beyond the limit of requests, so that a refusal never waits for a free thread.
SPARE_THREADS = 16
# Never read; it ends the exchange with a caller that has closed its side.
CALLER_GONE = RequestError(499, "caller_gone", "the caller went away", Outcome.FAILED)


@define
class RequestSlots:
    """Limit on the requests that occupy a worker thread."""

    limit: int
    taken: int = 0
    _lock: threading.Lock = field(factory=threading.Lock)

    def acquire(self) -> bool:
        """Take a slot if one is free; return whether it was."""
        with self._lock:
            if self.taken >= self.limit:
                return False
            self.taken += 1
            return True

    def release(self) -> None:
        """Free a slot."""
        with self._lock:
            self.taken -= 1


def make_caller_handler(
    gateway: Gateway, upstream_client: UpstreamClient, request_slots: RequestSlots
) -> Callable[..., Any]:
    """Make the handler of all callers' requests."""

    def handle(*path: str, **_: Any) -> Any:
        method = cherrypy.request.method
        if path in (("health",), ("ready",)):
            return _answer_health(gateway, ready=path == ("ready",))
        if path == ("v1", "models") and method == "GET":
            return _answer_models(gateway)
        if not request_slots.acquire():
            return answer_error(gateway.make_full_error())
        free_slot = _make_run_once(request_slots.release)
        try:
            result = _serve(gateway, upstream_client, path, free_slot)
        except BaseException:
            free_slot()
            raise
        if not cherrypy.response.stream:
            free_slot()
        return result

    return handle


def _make_run_once(action: Callable[[], None]) -> Callable[[], None]:
    """Make a function that runs an action on its first call only."""
    left = [action]

    def act() -> None:
        if left:
            left.pop()()

    return act


def _answer_health(gateway: Gateway, ready: bool) -> bytes:
    ok = gateway.is_ready() if ready else True
    status = 200 if ok else 503
    return answer(status, {"Content-Type": JSON_TYPE}, json.dumps({"ok": ok}).encode())


def _answer_models(gateway: Gateway) -> bytes:
    data = [{"id": name, "object": "model"} for name in gateway.run_on_loop(gateway.list_models())]
    body = json.dumps({"object": "list", "data": data}).encode()
    return answer(200, {"Content-Type": JSON_TYPE}, body)


def _serve(
    gateway: Gateway,
    upstream_client: UpstreamClient,
    path: tuple[str, ...],
    free_slot: Callable[[], None],
) -> Any:
    """Serve one request of a caller from its body to its answer."""
    headers = cherrypy.request.headers
    caller_request_id = headers.get(REQUEST_ID_HEADER, "")
    body = _read_body(gateway, upstream_client.open_sockets)
    parsed = body.bind(lambda data: _parse(gateway, path, data))
    if isinstance(parsed, Failure):
        return answer_error(parsed.failure(), caller_request_id)
    call = parsed.unwrap()
    caller_request_id = call.caller_request_id or call.request.request_id
    cherrypy.response.headers[REQUEST_ID_HEADER] = caller_request_id
    decision = gateway.run_on_loop(gateway.open_call(call))
    if isinstance(decision, Refusal):
        return answer_error(decision.error, caller_request_id)
    if isinstance(decision, BufferedResponse):
        return _answer_whole(decision)
    if call.request.streamed:
        return _answer_stream(gateway, upstream_client, call, decision, free_slot)
    ended = _run_attempts(gateway, upstream_client, call, decision)
    if isinstance(ended, BufferedResponse):
        return _answer_whole(ended)
    return answer_error(ended, caller_request_id)


def _read_body(gateway: Gateway, open_sockets: OpenSockets) -> Result[bytes, RequestError]:
    """Read the body of the current request; a stop of the instance ends the wait for the rest."""
    caller_connection = cherrypy.request.wsgi_environ.get(CALLER_CONNECTION_KEY)
    with open_sockets.hold_caller(caller_connection.socket):
        body = read_body(gateway.settings.callers.body_bytes_max)
    if open_sockets.is_shut:
        return Failure(gateway.run_on_loop(gateway.make_draining_error()))
    return body


def _parse(gateway: Gateway, path: tuple[str, ...], body: bytes) -> Any:
    request = cherrypy.request
    arrival = CallContext(
        internal_id=uuid.uuid4().hex,
        now=time.monotonic(),
        deadline_default_s=gateway.settings.callers.deadline_default_s,
        method=request.method,
        headers=request.headers,
    )
    if path[:1] == ("v1",) and "/".join(path[1:]) in ENDPOINTS:
        if request.method != "POST":
            return Failure(RequestError(405, "bad_method", "this path takes POST"))
        return parse_inference(arrival, "/".join(path[1:]), body)
    if path[:1] == (SERVICES_ROOT,) and len(path) > 1:
        methods = gateway.run_on_loop(gateway.list_idempotent_methods(path[1]))
        query = f"?{request.query_string}" if request.query_string else ""
        inner = request.path_info.removeprefix(f"/{SERVICES_ROOT}/{path[1]}") or "/"
        return parse_service_call(arrival, path[1], inner + query, body, methods)
    return Failure(RequestError(404, "no_such_path", "there is nothing at this path"))


def _answer_whole(whole: BufferedResponse) -> bytes:
    return answer(whole.status, {"Content-Type": whole.content_type or JSON_TYPE}, whole.body)


def _run_attempts(
    gateway: Gateway, upstream_client: UpstreamClient, call: Call, dispatch: Dispatch
) -> BufferedResponse | RequestError:
    """Run attempts until one returns a whole answer or the request is abandoned."""
    caller_connection = cherrypy.request.wsgi_environ.get(CALLER_CONNECTION_KEY)
    while True:
        attempt = Attempt.from_dispatch(dispatch)
        ended = upstream_client.fetch(attempt, call, caller_connection)
        end = AttemptEnd.DONE if isinstance(ended, BufferedResponse) else ended
        result = attempt.make_result(end, time.monotonic())
        whole = ended if isinstance(ended, BufferedResponse) else None
        next_decision = gateway.run_on_loop(gateway.end_attempt(call, result, whole))
        if next_decision is None:
            return whole or CALLER_GONE
        if isinstance(next_decision, Refusal):
            return next_decision.error
        dispatch = next_decision


def _make_race(gateway: Gateway, call: Call, dispatch: Dispatch) -> Race:
    """Make the race of an attempt, which a hedge may join."""

    def end(attempt: Attempt, how: AttemptEnd) -> None:
        gateway.run_on_loop(gateway.end_losing_attempt(attempt.make_result(how, time.monotonic())))

    return Race(
        attempt=Attempt.from_dispatch(dispatch),
        hedge=lambda: gateway.run_on_loop(gateway.hedge(call)),
        give_up=lambda attempt: gateway.submit_to_loop(gateway.give_up(attempt.dispatch)),
        end=end,
    )


def _stream_attempts(
    gateway: Gateway,
    upstream_client: UpstreamClient,
    call: Call,
    dispatch: Dispatch,
    caller_connection: CallerConnection | None,
) -> Iterator[bytes | BufferedResponse | RequestError]:
    """Yield the bytes of a stream over all its attempts; an item of another type is the last."""
    while True:
        race = _make_race(gateway, call, dispatch)
        end = AttemptEnd.CALLER_GONE
        whole = None
        settled = False
        try:
            for item in upstream_client.stream(race, call, caller_connection):
                if isinstance(item, Piece):
                    yield item.data
                elif isinstance(item, BufferedResponse):
                    whole, end = item, AttemptEnd.DONE
                else:
                    end = item
            settled = True
        finally:
            if not settled:
                result = race.attempt.make_result(end, time.monotonic())
                gateway.submit_to_loop(gateway.end_attempt(call, result))
        result = race.attempt.make_result(end, time.monotonic())
        next_decision = gateway.run_on_loop(gateway.end_attempt(call, result, whole))
        if next_decision is None:
            if whole is not None:
                yield whole
            return
        if isinstance(next_decision, Refusal):
            yield next_decision.error
            return
        dispatch = next_decision


def _answer_stream(
    gateway: Gateway,
    upstream_client: UpstreamClient,
    call: Call,
    dispatch: Dispatch,
    free_slot: Callable[[], None],
) -> Any:
    """Answer with a stream, or with an error if no byte of it has arrived."""
    caller_connection = cherrypy.request.wsgi_environ.get(CALLER_CONNECTION_KEY)
    items = _stream_attempts(gateway, upstream_client, call, dispatch, caller_connection)
    request_id = call.caller_request_id or call.request.request_id
    first = next(items, b"")
    if isinstance(first, BufferedResponse):
        return _answer_whole(first)
    if isinstance(first, RequestError):
        return answer_error(first, request_id)
    cherrypy.response.stream = True
    cherrypy.response.headers["Content-Type"] = STREAM_TYPE
    return _yield_stream(first, items, request_id, free_slot, caller_connection)


def _yield_stream(
    first: bytes,
    items: Iterator[Any],
    request_id: str,
    free_slot: Callable[[], None],
    caller_connection: CallerConnection,
) -> Iterator[bytes]:
    """Yield a stream's bytes; a stream that ends early ends with an error event.

    One that a stop of the instance cuts off is broken off behind it, without a last chunk.
    """
    try:
        yield first
        for item in items:
            yield item if isinstance(item, bytes) else _render_error_event(item, request_id)
            if isinstance(item, RequestError) and item.code == CUT_OFF_CODE:
                caller_connection.end()
    finally:
        items.close()
        free_slot()


def _render_error_event(item: RequestError | BufferedResponse, request_id: str) -> bytes:
    if isinstance(item, BufferedResponse):
        item = RequestError(502, "stream_refused", "a backend server refused to resume the stream")
    body = render_error(item, request_id)
    return b"event: error\ndata: " + body + b"\n\n"
