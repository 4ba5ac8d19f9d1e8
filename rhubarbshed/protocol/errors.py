"""Errors returned as values, shared by all layers."""

import enum

from attrs import frozen

# Code of requests that were in progress as their instance stopped.
CUT_OFF_CODE = "cut_off"


class Outcome(enum.Enum):
    """Whether a request that got no response was run, and how that ended."""

    NOT_RUN = "not_run"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


@frozen
class RequestError:
    """Error in place of a response to a request.

    `retry_after_s` is set if a later retry may succeed; `field` names the invalid input.
    """

    status: int
    code: str
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retryable: bool = False
    retry_after_s: float | None = None
    field: str | None = None


class UserError(Exception):
    """Error caused by the user, shown as one line without a traceback."""
