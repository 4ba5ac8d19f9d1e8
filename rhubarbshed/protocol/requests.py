"""Requests of callers, the decisions on them and the results of attempts."""

import enum
import math

from attrs import field, frozen

from rhubarbshed.protocol.errors import RequestError


class Priority(enum.IntEnum):
    """Order in which requests are served; a lower number goes first."""

    INTERACTIVE = 0
    STANDARD = 1
    BATCH = 2


@frozen
class Request:
    """Request of a caller, without its body.

    `deadline` is on the receiving instance's monotonic clock, in seconds. `prefixes` are hashes
    of the prompt's leading blocks, shortest first. `fingerprint` identifies target and body.
    """

    request_id: str
    caller: str
    target: str
    received_at: float
    deadline: float
    model: str = ""
    adapter: str = ""
    service: str = ""
    priority: Priority = Priority.STANDARD
    prompt_tokens: int = 0
    answer_tokens_max: int = 0
    idempotent: bool = True
    idempotency_key: str = ""
    streamed: bool = False
    prefixes: tuple[str, ...] = field(factory=tuple)
    fingerprint: str = ""


@frozen
class Dispatch:
    """Decision to send an attempt of a request to a backend server.

    If no first token arrives within `hedge_after_s`, a second attempt is requested; 0 means never.
    `answer_timeout_s` is the time for a whole answer that is not a stream.
    """

    request_id: str
    attempt: int
    backend_server: str
    host: str
    port: int
    first_byte_timeout_s: float
    gap_timeout_s: float
    resume_offset: int = 0
    hedge_after_s: float = 0.0
    answer_timeout_s: float = math.inf


@frozen
class Refusal:
    """Decision to answer a request with an error."""

    error: RequestError


Decision = Dispatch | Refusal


class AttemptEnd(enum.Enum):
    """How an attempt at a backend server ended.

    `NOT_SENT` never left this instance. `REFUSED` was answered by the server without being run.
    With `TIMED_OUT` and `BROKEN`, bytes were sent and no complete response arrived. `CRASHED` is
    a broken attempt whose server was found restarted or gone. `CUT_OFF` was ended by the stop of
    this instance.
    """

    DONE = "done"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    TIMED_OUT = "timed_out"
    BROKEN = "broken"
    CRASHED = "crashed"
    CALLER_GONE = "caller_gone"
    CUT_OFF = "cut_off"


@frozen
class AttemptResult:
    """Result of an attempt; times are monotonic seconds, `status` is the HTTP status."""

    request_id: str
    attempt: int
    backend_server: str
    end: AttemptEnd
    at: float
    status: int = 0
    tokens: int = 0
    first_token_at: float | None = None
    retry_after_s: float | None = None
