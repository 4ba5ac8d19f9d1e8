"""Short HTTP exchanges with external systems, with errors as result values."""

import json
import time
from typing import Any

import urllib3
from attrs import frozen
from returns.result import Failure, Result, Success
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from rhubarbshed.transport.heads import make_pool_manager

INSTANCE_HEADER = "X-Instance"
CONNECTIONS_PER_HOST = 8
HOSTS_MAX = 1024
READ_BYTES = 65_536
# Longest answer that is read; the largest are those of the platform, which stores tickets.
ANSWER_BYTES_MAX = 8_388_608


@frozen
class Answer:
    """A complete HTTP answer."""

    status: int
    body: bytes

    def read_json(self) -> Any:
        """Return the body decoded from JSON, or None if it is not JSON."""
        try:
            return json.loads(self.body)
        except (RecursionError, ValueError):
            return None


@frozen
class ExchangeError:
    """Error of an exchange without a complete answer; `sent` if the request may have arrived."""

    sent: bool
    detail: str


@frozen
class HttpClient:
    """HTTP client for the short exchanges of an instance."""

    pool: urllib3.PoolManager
    headers: dict[str, str]
    timeout_s: float

    @classmethod
    def from_config(cls, instance: str, timeout_s: float, credential: str = "") -> "HttpClient":
        """Build a client that sends the instance's name and its platform credential."""
        headers = {INSTANCE_HEADER: instance, "Content-Type": "application/json"}
        if credential:
            headers["Authorization"] = f"Bearer {credential}"
        pool = make_pool_manager(num_pools=HOSTS_MAX, maxsize=CONNECTIONS_PER_HOST)
        return cls(pool, headers, timeout_s)

    def with_new_connections(self) -> "HttpClient":
        """Return a client with the same headers and new connections, as open ones may hang."""
        return HttpClient(make_pool_manager(), self.headers, self.timeout_s)

    def exchange(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        timeout_s: float | None = None,
        bytes_max: int = ANSWER_BYTES_MAX,
    ) -> Result[Answer, ExchangeError]:
        """Send one request once and read its whole answer; blocks the calling thread.

        `timeout_s` holds for each wait for bytes, and for the whole body from its head on.
        """
        timeout_s = timeout_s or self.timeout_s
        try:
            response = self.pool.request(
                method,
                url,
                body=body,
                headers=self.headers,
                timeout=timeout_s,
                retries=False,
                redirect=False,
                preload_content=False,
            )
            return _read_answer(response, bytes_max, time.monotonic() + timeout_s)
        except (NewConnectionError, ConnectTimeoutError) as error:
            return Failure(ExchangeError(False, str(error)))
        except (HTTPError, OSError) as error:
            return Failure(ExchangeError(True, str(error)))

    def post_json(
        self,
        url: str,
        message: Any,
        timeout_s: float | None = None,
        bytes_max: int = ANSWER_BYTES_MAX,
    ) -> Result[Answer, ExchangeError]:
        """Send a plain value as JSON by POST."""
        return self.exchange("POST", url, json.dumps(message).encode(), timeout_s, bytes_max)


def _read_answer(
    response: urllib3.BaseHTTPResponse, bytes_max: int, until: float
) -> Result[Answer, ExchangeError]:
    """Read an answer to its end; the connection of one that is too long or too late is closed."""
    body = bytearray()
    while data := response.read1(READ_BYTES, decode_content=False):
        body += data
        if len(body) > bytes_max or time.monotonic() > until:
            response.close()
            return Failure(ExchangeError(True, f"the answer has not ended after {len(body)} bytes"))
    return Success(Answer(response.status, bytes(body)))
