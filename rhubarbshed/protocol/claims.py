"""Claims on non-idempotent requests, as stored in rows of the table service."""

import enum

from attrs import field, frozen


class ClaimState(enum.Enum):
    """State of a claimed request.

    Only `NOT_RUN` may be claimed again. In state `UNKNOWN` the claiming instance is gone, or the
    request was sent and no response arrived.
    """

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@frozen
class StoredAnswer:
    """Response kept for repeated requests; `body` is base64, or empty if `body_kept` is false."""

    status: int
    headers: tuple[tuple[str, str], ...] = field(factory=tuple)
    body: str = ""
    body_kept: bool = True


@frozen
class ClaimRow:
    """Claim on one idempotency key of one caller.

    `digest` covers the request's target and body. `write_id` is unique to the claim, so that its
    writer recognises the row if the answer to the write was lost.
    """

    state: ClaimState
    digest: str
    instance: str
    incarnation: str
    write_id: str
    answer: StoredAnswer | None = None
