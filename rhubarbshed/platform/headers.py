"""HTTP headers of requests and responses on the platform."""

import math
from collections.abc import Iterable, Mapping

from attrs import evolve

from rhubarbshed.protocol.exchanges import CallerRequest, Headers, ResponseHead, StatedLoad
from rhubarbshed.protocol.forwarding import ATTEMPTS_LEFT, DECLINED, PROBE_WAIT_MS
from rhubarbshed.protocol.holder_checks import LOAD_MAX

REQUEST_ID = b"rhubarbshed-request-id"
DEADLINE = b"rhubarbshed-deadline-remaining"
MODEL = b"rhubarbshed-model"
TOKENS = b"rhubarbshed-token-count"
PREFIX = b"rhubarbshed-prompt-prefix"
EXPECT_INSTANCE = b"rhubarbshed-expect-instance"
PRIORITY = b"rhubarbshed-request-priority"
KEY = b"rhubarbshed-key"
ACCOUNT = b"rhubarbshed-tenant"
SIGNATURE = b"rhubarbshed-response-signature"
NOT_EXECUTED = b"rhubarbshed-not-executed"
INSTANCE_ID = b"rhubarbshed-instance-id"
SERVER_LOAD = b"rhubarbshed-server-load"
SERVER_BRITTLE = b"server-brittle"
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Only this system sets these: a caller could use them to reserve, pin or copy memory, to resume
# from memory that is not its own, or to pass for another account. No server receives a key.
SYSTEM_ONLY = frozenset(
    (
        DEADLINE,
        EXPECT_INSTANCE,
        PRIORITY,
        KEY,
        ACCOUNT,
        b"rhubarbshed-expect-version",
        b"rhubarbshed-hold",
        b"rhubarbshed-pin-duration",
        b"rhubarbshed-kv-backup",
        b"kv-from",
        b"kv-fetch",
        ATTEMPTS_LEFT,
        PROBE_WAIT_MS,
    )
)
STATUS_MISDIRECTED = 421

SLOWNESS_USUAL = 100.0
SLOWNESS_MAX = 100_000.0
"""Figure of a server's load at which work takes as long as usual, and the greatest one that counts
as readable: work that takes a thousand times as long."""


def strip_hop_by_hop(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers to forward, without those that apply to one connection only."""
    pairs = tuple(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    return tuple(
        (name, value)
        for name, value in pairs
        if name.lower() not in HOP_BY_HOP and name.lower() not in named
    )


def read_request(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], now: float
) -> CallerRequest:
    """Decode the head of a caller's request; invalid values count as absent."""
    values = {name.lower(): value for name, value in headers}
    model, _, adapter = values.get(MODEL, b"").decode("latin-1").partition("/")
    prompt_tokens, output_tokens = _read_tokens(values.get(TOKENS, b""))
    kept = strip_hop_by_hop(headers)
    return CallerRequest(
        request_id=values.get(REQUEST_ID, b"").decode("latin-1"),
        method=method,
        target=target,
        host=values.get(b"host", b"").decode("latin-1").lower(),
        headers=tuple(pair for pair in kept if pair[0].lower() not in SYSTEM_ONLY),
        received_at=now,
        caller_timeout_s=read_timeout(values),
        model=model,
        adapter=adapter,
        prompt_tokens=prompt_tokens,
        output_tokens_max=output_tokens,
        states_tokens=TOKENS in values,
        parts=_read_parts(values.get(PREFIX, b"")),
        resumes=values.get(RESUMES, b"").decode("latin-1"),
        last_event_id=values.get(LAST_EVENT_ID, b"").decode("latin-1"),
        key=_read_key(values.get(KEY, b"")),
    )


def read_timeout(values: Mapping[bytes, bytes]) -> float | None:
    """Return the seconds that a caller waits, by its headers; None if they do not say."""
    timeout_ms = _read_number(values.get(DEADLINE, b""))
    return None if timeout_ms is None else timeout_ms / 1000.0


def make_headers(
    request: CallerRequest,
    server_id: str,
    remaining_s: float,
    priority: int | None,
    after: str,
    account: str = "",
) -> list[tuple[bytes, bytes]]:
    """Return the headers of an attempt for an account, "" if there is none.

    `after` is the last event id that the caller received.
    """
    headers = _make_common_headers(request, remaining_s, after)
    headers.append((EXPECT_INSTANCE, server_id.encode("latin-1")))
    if priority is not None:
        headers.append((PRIORITY, str(priority).encode()))
    if account:
        headers.append((ACCOUNT, account.encode("latin-1")))
    return headers


def make_forward_headers(
    request: CallerRequest,
    remaining_s: float,
    after: str,
    attempts_left: int,
    probe_wait_s: float,
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request that is forwarded to another instance.

    That one decides on the key by its own configuration.
    """
    headers = _make_common_headers(request, remaining_s, after)
    headers.append((ATTEMPTS_LEFT, str(attempts_left).encode()))
    headers.append((PROBE_WAIT_MS, str(int(probe_wait_s * 1000)).encode()))
    if request.key is not None:
        headers.append((KEY, request.key.encode("utf-8", "surrogateescape")))
    return headers


def _make_common_headers(
    request: CallerRequest, remaining_s: float, after: str
) -> list[tuple[bytes, bytes]]:
    headers = [pair for pair in request.headers if not (after and pair[0].lower() == LAST_EVENT_ID)]
    if after:
        headers.append((LAST_EVENT_ID, after.encode("latin-1")))
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        headers.append((b"content-length", str(len(request.body)).encode()))
    headers.append((DEADLINE, str(max(1, int(remaining_s * 1000))).encode()))
    return headers


def read_head(status: int, headers: Iterable[tuple[bytes, bytes]]) -> ResponseHead:
    """Decode the head of a backend server's response."""
    pairs = tuple(headers)
    values = {name.lower(): value for name, value in pairs}
    load = _read_load(values.get(SERVER_LOAD, b""))
    return ResponseHead(
        status=status,
        headers=strip_hop_by_hop(pairs),
        request_id=values.get(REQUEST_ID, b"").decode("latin-1"),
        signed=SIGNATURE in values,
        not_run=NOT_EXECUTED in values or status == STATUS_MISDIRECTED,
        encoded=b"content-encoding" in values,
        server_id=values.get(INSTANCE_ID, b"").decode("latin-1"),
        load=load,
        has_odd_load=load is None and SERVER_LOAD in values,
        rejections_borne=_read_number(values.get(SERVER_BRITTLE, b"")),
        names_limit=SERVER_LIMIT in values,
        limit_per_s=_read_limit(values.get(SERVER_LIMIT, b"")),
        declined=DECLINED in values,
        retry_after_s=_read_number(values.get(b"retry-after", b"")),
        leaving=announces_leaving(pairs),
    )


def announces_leaving(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether the backend server that sent an answer is leaving."""
    return any(name.lower() == SERVER_LEAVING and value == b"1" for name, value in headers)


def name_server(head: ResponseHead, server_id: str) -> ResponseHead:
    """Return a head that names its server, for an instance that has it by way of this one."""
    if head.server_id:
        return head
    header = (INSTANCE_ID, server_id.encode("latin-1"))
    return evolve(head, server_id=server_id, headers=(*head.headers, header))


def echo_request_id(request_id: str) -> Headers:
    """Return the header that identifies the request in a response generated by this system."""
    return ((REQUEST_ID, request_id.encode("latin-1")),) if request_id else ()


def _read_key(value: bytes) -> str | None:
    """Return a key, None if there is none; bytes that are no UTF-8 make one that nobody has."""
    return value.decode("utf-8", "surrogateescape") if value else None


def _read_number(value: bytes) -> float | None:
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0.0 <= number < 1e9 else None


def _read_limit(value: bytes) -> float | None:
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0.0 <= number < math.inf else None


def _read_tokens(value: bytes) -> tuple[int, int]:
    first, _, second = value.partition(b",")
    return int(_read_number(first) or 0), int(_read_number(second) or 0)


def _read_parts(value: bytes) -> tuple[tuple[str, int], ...]:
    parts = []
    for item in value.split(b","):
        name, colon, tokens = item.strip().partition(b":")
        if colon:
            parts.append((name.decode("latin-1"), int(_read_number(tokens) or 0)))
    return tuple(parts)


def _read_load(value: bytes) -> StatedLoad | None:
    """Return a load of three or four figures; None if any of them is out of its bounds."""
    numbers = [_read_number(item) for item in value.split(b",")]
    if len(numbers) not in (3, 4) or None in numbers:
        return None
    running, waiting, slots = (int(number) for number in numbers[:3])
    if running + waiting > LOAD_MAX:
        return None
    if len(numbers) == 3:
        return StatedLoad(running, waiting, slots)
    if not 0.0 < numbers[3] <= SLOWNESS_MAX:
        return None
    return StatedLoad(running, waiting, slots, numbers[3] / SLOWNESS_USUAL)
