"""Requests of callers as forwarded to backend servers, and how each attempt ended."""

import enum
import functools
from http import HTTPStatus

from attrs import evolve, field, frozen

from rhubarbshed.util.fingerprints import hash_part, hash_request

Headers = tuple[tuple[bytes, bytes], ...]

SHARED_PARTS_MAX = 64
"""Most parts of a prompt that are known as shared ones; a caller may list thousands."""


@frozen
class CallerRequest:
    """Request of a caller; `headers` are those to forward, `received_at` is monotonic seconds.

    `key` is that of its account, None if it has none; it is no part of the `headers`.

    `caller_timeout_s` is how long the caller waits from `received_at`; None if it did not say.
    `states_tokens` is whether it stated the tokens of its prompt and output. `parts` are the
    prompt's parts that it shares with others, as (id, tokens) in order. A caller
    that takes a stream up sets `last_event_id`, the last event that it has, and `resumes`, the id
    of the request that brought the first one.
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
    states_tokens: bool = False
    parts: tuple[tuple[str, int], ...] = field(factory=tuple)
    resumes: str = ""
    last_event_id: str = ""
    key: str | None = field(default=None, repr=False)

    @functools.cached_property
    def fingerprint(self) -> str:
        """Return what all tries of the request have in common, whoever sends them."""
        target = self.target.decode("latin-1")
        what = f"{self.host} {self.method.decode()} {target} {self.model}/{self.adapter}"
        return hash_request(what, self.body)

    @functools.cached_property
    def part_fingerprints(self) -> tuple[str, ...]:
        """Return the fingerprints of the parts that others may share, so not of the last."""
        shared = dict.fromkeys(name for name, _ in self.parts[:-1][:SHARED_PARTS_MAX])
        return tuple(hash_part(name) for name in shared)

    @property
    def stream_id(self) -> str:
        """Return the id of the request that brought, or will bring, the stream's first event."""
        return self.resumes or self.request_id

    @property
    def takes_up_stream(self) -> bool:
        """Return whether the caller takes up a stream that an earlier request began."""
        return bool(self.last_event_id or self.resumes)

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    def with_body(self, body: bytes) -> "CallerRequest":
        """Return the request with its body."""
        return evolve(self, body=body)


@frozen
class StatedLoad:
    """Load that a server states: requests running and waiting, and its slots.

    `slowness` is how long work takes on its machine at this moment, 1.0 as usual; None if the
    server does not state it.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@frozen
class ResponseHead:
    """Head of a backend server's response.

    `request_id` is the one that the server echoes. `not_run` means that the server says it did not
    run the request. `server_id` is set if another server now has the address. `load` is None if the
    server states none that can be read, which `has_odd_load` tells apart. `rejections_borne` is how
    many requests a brittle server may turn away in a second, None if it is not brittle.
    `names_limit` means that it names the requests a second that it takes from all instances,
    `limit_per_s` if that can be read. `declined` means that another instance may serve the request.
    `leaving` means that the server takes no more requests soon.
    """

    status: int
    headers: Headers
    request_id: str = ""
    signed: bool = False
    not_run: bool = False
    encoded: bool = False
    server_id: str = ""
    load: StatedLoad | None = None
    has_odd_load: bool = False
    rejections_borne: float | None = None
    names_limit: bool = False
    limit_per_s: float | None = None
    declined: bool = False
    retry_after_s: float | None = None
    leaving: bool = False

    @property
    def backoff_s(self) -> float:
        """Return the seconds for which the server wants nothing after it turned a request away."""
        is_turned_away = self.status == HTTPStatus.SERVICE_UNAVAILABLE
        return self.retry_after_s or 0.0 if is_turned_away else 0.0


@frozen
class ControlCall:
    """HTTP call of this instance to the store, a server or another instance.

    `answer_bytes_max` is the longest body that its answer can need, 0 if only the status is used.
    """

    method: bytes
    target: bytes
    body: bytes = b""
    headers: Headers = ()
    answer_bytes_max: int = 0


class ExchangeEnd(enum.Enum):
    """How an attempt ended.

    `NOT_SENT`, `CONNECTION_REFUSED`, `CLOSED` (the connection ended before any byte of the request
    was sent on it) and `WITHHELD` (its key lost its validity before it was sent) never left this
    instance. `REFUSED`, `MODEL_MISSING` (the
    server does not hold the model) and `WRONG_SERVER` (another server has the address) were
    refused by the server and did not run. `BROKEN`, `MALFORMED` and `NO_RESPONSE` may have run.
    """

    DONE = "done"
    NOT_SENT = "not_sent"
    WITHHELD = "withheld"
    CONNECTION_REFUSED = "down"
    CLOSED = "closed"
    REFUSED = "refused"
    MODEL_MISSING = "absent"
    WRONG_SERVER = "gone"
    BROKEN = "broken"
    MALFORMED = "garbled"
    NO_RESPONSE = "silent"

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run the request."""
        return self in (
            ExchangeEnd.DONE,
            ExchangeEnd.BROKEN,
            ExchangeEnd.MALFORMED,
            ExchangeEnd.NO_RESPONSE,
        )

    @property
    def was_sent(self) -> bool:
        """Whether the request reached a server."""
        return self not in (
            ExchangeEnd.NOT_SENT,
            ExchangeEnd.CONNECTION_REFUSED,
            ExchangeEnd.WITHHELD,
            ExchangeEnd.CLOSED,
        )
