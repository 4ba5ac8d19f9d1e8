"""Buffered responses of backend servers, and errors as JSON."""

import json
import math

from attrs import frozen

from rhubarbshed.protocol.codec import to_plain
from rhubarbshed.protocol.errors import RequestError

JSON_TYPE = "application/json"


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
