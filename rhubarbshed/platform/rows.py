"""Calls to the platform's store: reads of rows, transactions and the change feed."""

import base64
import binascii
import json
from typing import Any
from urllib.parse import urlencode

from attrs import frozen
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.exchanges import ControlCall
from rhubarbshed.protocol.tables import Committed, Row, Scan, TableError, TableFault, Transaction

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
SERVERS_TABLE = "servers"
OWN_TABLE = "rhubarbshed"
QUARANTINE_TABLE = "rhubarbshed-quarantine"
VERSIONS_TABLE = "rhubarbshed-versions"
ROWS_MAX = 500
"""Rows in one response, from the platform's documentation."""

JSON_HEADERS = ((b"content-type", b"application/json"),)
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


@frozen
class Page:
    """Page of rows of a table; `next_key` is the key to continue from, None at the end.

    `now_ms` is the time of the store's monotonic clock.
    """

    scan: Scan
    next_key: str | None = None
    now_ms: float = 0.0


def make_read(table: str, start: str = "") -> ControlCall:
    """Return the call that reads the rows of a table from a key on."""
    query = {"Table": table, "part": "", "Limit": ROWS_MAX}
    if start:
        query["From"] = start
    return ControlCall(b"GET", f"/rhubarbshed/rows-get?{urlencode(query)}".encode())


def make_feed_read(table: str, after: int, wait_s: float) -> ControlCall:
    """Return the call that waits for rows of a table changed after a revision."""
    query = {"Table": table, "after": after, "WaitMs": int(wait_s * 1000)}
    return ControlCall(b"GET", f"/rhubarbshed/rows-feed?{urlencode(query)}".encode())


def make_commit(table: str, transaction: Transaction) -> ControlCall:
    """Return the call that commits a transaction on rows of one table."""
    location = {"Table": table, "part": ""}
    body = {
        "Expected": [
            {**location, "Key": check.key, "Ver": check.version} for check in transaction.checks
        ],
        "Put": [
            {**location, "Key": write.key, "Value": _encode(write.value)}
            for write in transaction.writes
            if write.value is not None
        ],
        "Remove": [
            {**location, "Key": write.key} for write in transaction.writes if write.value is None
        ],
    }
    return ControlCall(b"POST", b"/rhubarbshed/rows-tx", json.dumps(body).encode(), JSON_HEADERS)


def read_page(status: int, body: bytes) -> Result[Page, TableError]:
    """Decode the response to a read or to a read of the change feed."""
    if status == 410:
        return Failure(TableError(TableFault.CONFLICT, detail="history is gone"))
    if status != 200:
        return Failure(TableError(TableFault.UNAVAILABLE, detail=f"status {status}"))
    try:
        plain = json.loads(body)
        rows = tuple(_read_row(each) for each in plain["Rows"])
        more = rows[-1].key + "\0" if plain.get("HasMore") and rows else None
        return Success(Page(Scan(rows, int(plain["Ver"])), more, float(plain.get("NowMs", 0))))
    except DECODE_ERRORS as error:
        return Failure(TableError(TableFault.UNKNOWN, detail=f"unreadable answer: {error!r}"))


def read_commit(status: int, body: bytes) -> Result[Committed, TableError]:
    """Decode the response to a transaction."""
    if status in (429, 503):
        return Failure(TableError(TableFault.UNAVAILABLE, detail=f"status {status}"))
    try:
        plain = json.loads(body)
        if status == 412:
            rows = tuple(_read_row(each) for each in plain["Rows"])
            return Failure(TableError(TableFault.CONFLICT, rows, "a row has changed"))
        if status == 200:
            return Success(Committed(int(plain["Ver"])))
    except DECODE_ERRORS as error:
        return Failure(TableError(TableFault.UNKNOWN, detail=f"unreadable answer: {error!r}"))
    return Failure(TableError(TableFault.UNKNOWN, detail=f"status {status}"))


def _encode(value: dict[str, Any]) -> str:
    return base64.b64encode(json.dumps(value).encode()).decode()


def _read_row(plain: dict[str, Any]) -> Row:
    # The store has one counter for all rows, so a row's version is the revision that wrote it.
    version = int(plain.get("Ver") or 0)
    if plain.get("Deleted") or plain.get("Value") is None:
        return Row(str(plain["Key"]), version, None, version)
    return Row(str(plain["Key"]), version, _decode(plain["Value"]), version)


def _decode(value: Any) -> dict[str, Any]:
    """Return the JSON object stored in a row; empty if other writers stored something else."""
    try:
        plain = json.loads(base64.b64decode(value))
    except (binascii.Error, RecursionError, TypeError, ValueError):
        return {}
    return plain if isinstance(plain, dict) else {}
