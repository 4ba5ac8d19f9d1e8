"""Claims on non-idempotent requests, as rows of the table service hold them."""

import enum

from attrs import field, frozen


class ClaimState(enum.Enum):
    """How far a claimed request has come.

    Only `NOT_RUN` may be claimed again. `UNKNOWN` was claimed by an instance that is gone, or was
    sent without an answer.
    """

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@frozen
class StoredAnswer:
    """Hold an answer for re-sends; `body` is base64, and empty with `body_kept` false."""

    status: int
    headers: tuple[tuple[str, str], ...] = field(factory=tuple)
    body: str = ""
    body_kept: bool = True


@frozen
class ClaimRow:
    """Hold the claim on one idempotency key of one caller.

    `digest` is of the request's target and body. `write_id` is unique to one claim, so that its
    writer knows it again after a lost answer.
    """

    state: ClaimState
    digest: str
    instance: str
    incarnation: str
    write_id: str
    answer: StoredAnswer | None = None
