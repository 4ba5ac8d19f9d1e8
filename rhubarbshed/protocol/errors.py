"""Errors as values, shared by all layers."""

import enum

from attrs import frozen


class Outcome(enum.Enum):
    """Whether the work of a request that got no answer was done."""

    NOT_RUN = "not_run"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


@frozen
class RequestError:
    """Describe why a request got no answer.

    `retry_after_s` is set where coming back makes sense; `field` names the input at fault.
    """

    status: int
    code: str
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retryable: bool = False
    retry_after_s: float | None = None
    field: str | None = None


class UserError(Exception):
    """Report an error of the user, shown as one line without a traceback."""
