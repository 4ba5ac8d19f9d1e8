"""Statuses of responses, buffered responses of backend servers, and errors as JSON."""

import json
import math
from http.client import SWITCHING_PROTOCOLS

from attrs import frozen

from rhubarbshed.protocol.codec import to_plain
from rhubarbshed.protocol.errors import RequestError

JSON_TYPE = "application/json"

INTERIM_STATUS_MIN = 100
FINAL_STATUS_MIN = 200
FINAL_STATUS_MAX = 599
"""Statuses of interim responses begin at 100, those of final ones are from 200 to 599 (RFC 9110,
section 15)."""


def is_interim_status(status: int) -> bool:
    """Return whether a final response follows a response with this status."""
    return INTERIM_STATUS_MIN <= status < FINAL_STATUS_MIN and status != SWITCHING_PROTOCOLS


def is_final_status(status: int) -> bool:
    """Return whether a response with this status is the answer to a request."""
    return FINAL_STATUS_MIN <= status <= FINAL_STATUS_MAX


@frozen
class BufferedResponse:
    """Complete response of a backend server."""

    status: int
    content_type: str
    body: bytes


def render_error(error: RequestError, request_id: str) -> bytes:
    """Encode an error as a JSON object under the key `error`."""
    plain = {key: value for key, value in to_plain(error).items() if value is not None}
    plain["request_id"] = request_id
    return json.dumps({"error": plain}).encode()


def make_error_headers(error: RequestError) -> dict[str, str]:
    """Return the HTTP headers of an error response; Retry-After is in whole seconds."""
    headers = {"Content-Type": JSON_TYPE}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after_s)))
    return headers
