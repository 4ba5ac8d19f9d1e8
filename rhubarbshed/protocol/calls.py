"""HTTP calls of callers, validated and converted to requests."""

import json
from collections.abc import Mapping
from typing import Any

from attrs import frozen
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.errors import RequestError
from rhubarbshed.protocol.requests import Priority, Request
from rhubarbshed.util.prefixes import hash_prefixes

CALLER_HEADER = "X-Caller"
DEADLINE_HEADER = "X-Deadline-Seconds"
PRIORITY_HEADER = "X-Priority"
IDEMPOTENCY_HEADER = "Idempotency-Key"
REQUEST_ID_HEADER = "X-Request-Id"
ANONYMOUS_CALLER = "anonymous"
ANSWER_TOKENS_DEFAULT = 16
ANSWER_TOKENS_MAX = 1_000_000
HEADER_TEXT_MAX = 256

ENDPOINTS = ("chat/completions", "completions", "embeddings")
INPUT_FIELDS = {"chat/completions": "messages", "completions": "prompt", "embeddings": "input"}


@frozen
class CallContext:
    """What is known of a call before its body is read; times are monotonic seconds."""

    internal_id: str
    now: float
    deadline_default_s: float
    method: str
    headers: Mapping[str, str]


@frozen
class Call:
    """Validated call: the request to decide on, and the HTTP data to send to a backend server."""

    request: Request
    method: str
    path: str
    body: bytes
    content_type: str = "application/json"
    caller_request_id: str = ""


def parse_inference(context: CallContext, endpoint: str, body: bytes) -> Result[Call, RequestError]:
    """Validate an inference call and convert it to a request."""
    try:
        plain = json.loads(body)
    except (ValueError, RecursionError):
        return Failure(_refuse("the body is not JSON", "body"))
    if not isinstance(plain, dict):
        return Failure(_refuse("the body is not a JSON object", "body"))
    field = _find_bad_field(plain, endpoint)
    if field is not None:
        return Failure(field)
    return _read_headers(context).map(
        lambda common: _make_inference_call(context, common, endpoint, plain, body)
    )


def parse_service_call(
    context: CallContext, service: str, path: str, body: bytes, methods_idempotent: tuple[str, ...]
) -> Result[Call, RequestError]:
    """Validate a call to a plain service and convert it to a request."""

    def build(common: "_CommonHeaders") -> Call:
        request = Request(
            request_id=context.internal_id,
            caller=common.caller,
            target=f"service/{service}",
            received_at=context.now,
            deadline=common.deadline,
            service=service,
            priority=common.priority,
            idempotent=context.method in methods_idempotent,
            idempotency_key=common.idempotency_key,
        )
        content_type = context.headers.get("Content-Type", "")
        return Call(request, context.method, path, body, content_type, common.caller_request_id)

    return _read_headers(context).map(build)


@frozen
class _CommonHeaders:
    """Header values common to all calls."""

    caller: str
    deadline: float
    priority: Priority
    idempotency_key: str
    caller_request_id: str


def _read_headers(context: CallContext) -> Result[_CommonHeaders, RequestError]:
    headers = context.headers
    for name in (CALLER_HEADER, IDEMPOTENCY_HEADER, REQUEST_ID_HEADER):
        value = headers.get(name, "")
        if len(value) > HEADER_TEXT_MAX or not value.isprintable():
            allowed = f"printable text of at most {HEADER_TEXT_MAX} characters"
            return Failure(_refuse(f"{name} is not {allowed}", name))
    seconds = _read_number(headers.get(DEADLINE_HEADER), context.deadline_default_s)
    if seconds is None or seconds <= 0:
        return Failure(_refuse(f"{DEADLINE_HEADER} is not a number above 0", DEADLINE_HEADER))
    try:
        priority = Priority(int(headers.get(PRIORITY_HEADER, Priority.STANDARD)))
    except ValueError:
        return Failure(_refuse(f"{PRIORITY_HEADER} is not 0, 1 or 2", PRIORITY_HEADER))
    common = _CommonHeaders(
        caller=headers.get(CALLER_HEADER) or ANONYMOUS_CALLER,
        deadline=context.now + seconds,
        priority=priority,
        idempotency_key=headers.get(IDEMPOTENCY_HEADER, ""),
        caller_request_id=headers.get(REQUEST_ID_HEADER, ""),
    )
    return Success(common)


def _read_number(text: str | None, default: float) -> float | None:
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        return None
    return value if value == value and value != float("inf") else None


def _make_inference_call(
    context: CallContext, common: _CommonHeaders, endpoint: str, plain: dict[str, Any], body: bytes
) -> Call:
    words = list_prompt_words(plain, endpoint)
    adapter = plain.get("adapter", "")
    request = Request(
        request_id=context.internal_id,
        caller=common.caller,
        target=f"adapter/{adapter}" if adapter else f"model/{plain['model']}",
        received_at=context.now,
        deadline=common.deadline,
        model=plain["model"],
        adapter=adapter,
        priority=common.priority,
        prompt_tokens=len(words),
        answer_tokens_max=plain.get("max_tokens", ANSWER_TOKENS_DEFAULT),
        # A caller that sends an idempotency key asks for at most one run, whatever the endpoint.
        idempotent=not common.idempotency_key,
        idempotency_key=common.idempotency_key,
        streamed=plain.get("stream", False),
        prefixes=hash_prefixes(plain["model"], words, adapter),
    )
    path = f"/v1/{endpoint}"
    return Call(request, "POST", path, body, caller_request_id=common.caller_request_id)


def list_prompt_words(plain: dict[str, Any], endpoint: str) -> list[str]:
    """Return the words of a validated prompt; one word counts as one token."""
    given = plain[INPUT_FIELDS[endpoint]]
    if endpoint == "chat/completions":
        return " ".join(message["content"] for message in given).split()
    return (given if isinstance(given, str) else " ".join(given)).split()


def _find_bad_field(plain: dict[str, Any], endpoint: str) -> RequestError | None:
    """Return an error for the first invalid field, or None."""
    if not _is_text(plain.get("model")) or not plain["model"]:
        return _refuse("model is not the name of a model", "model")
    if not _is_text(plain.get("adapter", "")):
        return _refuse("adapter is not the name of an adapter", "adapter")
    if not isinstance(plain.get("stream", False), bool):
        return _refuse("stream is not true or false", "stream")
    if plain.get("stream") and endpoint == "embeddings":
        return _refuse("embeddings are not streamed", "stream")
    tokens = plain.get("max_tokens", ANSWER_TOKENS_DEFAULT)
    if type(tokens) is not int or not 1 <= tokens <= ANSWER_TOKENS_MAX:
        allowed = f"a whole number from 1 to {ANSWER_TOKENS_MAX}"
        return _refuse(f"max_tokens is not {allowed}", "max_tokens")
    return _find_bad_input(plain.get(INPUT_FIELDS[endpoint]), endpoint)


def _find_bad_input(given: Any, endpoint: str) -> RequestError | None:
    field = INPUT_FIELDS[endpoint]
    if endpoint == "chat/completions":
        whole = isinstance(given, list) and given and all(map(_is_message, given))
        return None if whole else _refuse("messages is not a list of role and content", field)
    texts = given if isinstance(given, list) else [given]
    if texts and all(map(_is_text, texts)):
        return None
    return _refuse(f"{field} is not a text or a list of texts", field)


def _is_message(message: Any) -> bool:
    if not isinstance(message, dict):
        return False
    return _is_text(message.get("role")) and _is_text(message.get("content"))


def _is_text(value: Any) -> bool:
    """Return whether a value is text that UTF-8 can encode; JSON escapes allow lone surrogates."""
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _refuse(message: str, field: str) -> RequestError:
    return RequestError(400, "bad_request", message, field=field)
