"""Connections whose responses have a complete head with a final status.

`http.client` takes the end of the connection for the end of the head. A server that stops in the
middle of it then seems to have sent a whole answer, with its status and without a body. It also
takes the head of an interim response other than 100 for the final one, and any status up to 999.
"""

import http.client
from typing import Any, BinaryIO

from attrs import define
from urllib3 import HTTPConnectionPool, HTTPSConnectionPool, PoolManager
from urllib3.connection import HTTPConnection, HTTPSConnection

from rhubarbshed.protocol.statuses import is_final_status, is_interim_status

INTERIM_HEADS_MAX = 16
"""Heads after which a server is not expected to send a final one."""

HEAD_LINES_MAX = 256
"""Lines up to the end of a head. `http.client` has a bound for one head, and skips any number of
heads with status 100 before it."""


@define(eq=False)
class HeadReader:
    """Reader of a response's lines that records whether the connection ended among them."""

    source: BinaryIO
    ended: bool = False
    lines: int = 0

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line, empty at the end of the connection."""
        self.lines += 1
        if self.lines > HEAD_LINES_MAX:
            raise http.client.BadStatusLine("interim responses without an end")
        line = self.source.readline(limit)
        self.ended = self.ended or not line
        return line

    def flush(self) -> None:
        """Flush the source, as a response does when it is closed."""
        self.source.flush()

    def close(self) -> None:
        """Close the source."""
        self.source.close()


class CompleteHeadResponse(http.client.HTTPResponse):
    """Response that fails if its connection ends within the head, or its status is not a final one.

    Heads of interim responses are skipped, up to `INTERIM_HEADS_MAX`.
    """

    def begin(self) -> None:
        """Read the head; raise `IncompleteRead` if it was cut off, `BadStatusLine` for a status."""
        for _ in range(INTERIM_HEADS_MAX):
            self._read_head()
            if not is_interim_status(self.status):
                break
            self.headers = self.msg = None
        if not is_final_status(self.status):
            self.close()
            raise http.client.BadStatusLine(f"{self.status} is no final status")

    def _read_head(self) -> None:
        reader = HeadReader(self.fp)
        self.fp = reader
        try:
            super().begin()
        finally:
            if self.fp is reader:
                self.fp = reader.source
        if reader.ended:
            self.close()
            raise http.client.IncompleteRead(b"")


class PlainConnection(HTTPConnection):
    """Connection whose responses have complete heads."""

    response_class = CompleteHeadResponse


class EncryptedConnection(HTTPSConnection):
    """Encrypted connection whose responses have complete heads."""

    response_class = CompleteHeadResponse


class PlainPool(HTTPConnectionPool):
    """Connections to one server."""

    ConnectionCls = PlainConnection


class EncryptedPool(HTTPSConnectionPool):
    """Encrypted connections to one server."""

    ConnectionCls = EncryptedConnection


def make_pool_manager(**settings: Any) -> PoolManager:
    """Return a pool manager whose connections tell heads that were cut off."""
    manager = PoolManager(**settings)
    manager.pool_classes_by_scheme = {"http": PlainPool, "https": EncryptedPool}
    return manager
