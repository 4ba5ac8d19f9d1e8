"""Requests of callers as they travel, and what an attempt at a backend server came to."""

import enum

from attrs import evolve, field, frozen

Headers = tuple[tuple[bytes, bytes], ...]


@frozen
class CallerRequest:
    """Describe a request; `headers` are those that travel on, `received_at` is monotonic seconds.

    `caller_timeout_s` is how long the caller waits from `received_at`; None where it did not say.
    `parts` are the shared parts of the prompt as (id, tokens), in order.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    headers: Headers
    received_at: float
    body: bytes = b""
    caller_timeout_s: float | None = None
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens_max: int = 0
    parts: tuple[tuple[str, int], ...] = field(factory=tuple)

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    def with_body(self, body: bytes) -> "CallerRequest":
        """Return the request with its body."""
        return evolve(self, body=body)


@frozen
class ResponseHead:
    """Describe the head of a server's answer.

    `request_id` is the one that the server echoes. `not_run` is the server's word that it did not
    run the request. `server_id` is set where another server has the address. `load` is (running,
    waiting, slots).
    """

    status: int
    headers: Headers
    request_id: str = ""
    signed: bool = False
    not_run: bool = False
    encoded: bool = False
    server_id: str = ""
    load: tuple[int, int, int] | None = None


@frozen
class ControlCall:
    """Describe a call of our own to the store or an engine, as it goes on the wire."""

    method: bytes
    target: bytes
    body: bytes = b""
    headers: Headers = ()


class ExchangeEnd(enum.Enum):
    """How an attempt ended.

    `NOT_SENT` and `DOWN` never left this instance, the latter because the server turned the
    connection down; `REFUSED` did not run; the others after `DONE` may have run. `ABSENT` is a
    refusal because the server lacks the model, `GONE` because it is another server.
    """

    DONE = "done"
    NOT_SENT = "not_sent"
    CONNECTION_REFUSED = "down"
    REFUSED = "refused"
    MODEL_MISSING = "absent"
    WRONG_SERVER = "gone"
    BROKEN = "broken"
    MALFORMED = "garbled"
    NO_RESPONSE = "silent"

    @property
    def may_have_run(self) -> bool:
        """Tell whether the server may have run the request."""
        return self in (
            ExchangeEnd.DONE,
            ExchangeEnd.BROKEN,
            ExchangeEnd.MALFORMED,
            ExchangeEnd.NO_RESPONSE,
        )

    @property
    def was_sent(self) -> bool:
        """Tell whether the request reached a server."""
        return self not in (ExchangeEnd.NOT_SENT, ExchangeEnd.CONNECTION_REFUSED)
