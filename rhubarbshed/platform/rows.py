"""Calls to the platform's store: reads of rows, transactions and the change feed."""

import base64
import json
import re
from typing import Any
from urllib.parse import urlencode

from attrs import frozen
from returns.result import Failure, Result, Success

from rhubarbshed.platform.values import DECODE_ERRORS, require_count, require_number
from rhubarbshed.protocol.exchanges import ControlCall, Headers
from rhubarbshed.protocol.message_checks import describe, is_number
from rhubarbshed.protocol.tables import Committed, Row, Scan, TableError, TableFault, Transaction

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
SERVERS_TABLE = "servers"
OWN_TABLE = "rhubarbshed"
QUARANTINE_TABLE = "rhubarbshed-quarantine"
VERSIONS_TABLE = "rhubarbshed-versions"
STREAMS_TABLE = "rhubarbshed-streams"
ERA = b"store-era"
"""Header of all answers; the number rises by one when the store is restored from a copy."""

ROWS_MAX = 500
"""Rows in one response, from the platform's documentation."""

PAGE_BYTES_MAX = 3_000_000
"""Longest answer with rows: 1 MB of values, a third more in base64, and for each row 3 KB of other
fields, whose 400 bytes may be escaped."""

FEED_BYTES_MAX = 8_388_608
"""Longest answer with changes; the platform's documentation states none."""

JSON_HEADERS = ((b"content-type", b"application/json"),)
ERA_VALUE = re.compile(rb"[0-9]{1,4}")
SURROGATE = re.compile("[\ud800-\udfff]")
SURROGATES_END = "\ue000"
"""Code points without a UTF-8 form, and the first one after them."""


@frozen
class Page:
    """Page of rows of a table; `next_key` is the key to continue from, None at the end.

    `now_ms` is the time of the store's monotonic clock. `unreadable` counts rows without a usable
    key or version, which are left out.
    """

    scan: Scan
    next_key: str | None = None
    now_ms: float = 0.0
    unreadable: int = 0


def make_read(table: str, start: str = "") -> ControlCall:
    """Return the call that reads the rows of a table from a key on."""
    query = {"Table": table, "part": "", "Limit": ROWS_MAX}
    if start:
        query["From"] = start
    target = f"/rhubarbshed/rows-get?{urlencode(query)}".encode()
    return ControlCall(b"GET", target, answer_bytes_max=PAGE_BYTES_MAX)


def make_feed_read(table: str, after: int, wait_s: float) -> ControlCall:
    """Return the call that waits for rows of a table changed after a revision."""
    query = {"Table": table, "after": after, "WaitMs": int(wait_s * 1000)}
    target = f"/rhubarbshed/rows-feed?{urlencode(query)}".encode()
    return ControlCall(b"GET", target, answer_bytes_max=FEED_BYTES_MAX)


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
    data = json.dumps(body).encode()
    return ControlCall(b"POST", b"/rhubarbshed/rows-tx", data, JSON_HEADERS, PAGE_BYTES_MAX)


def read_era(headers: Headers) -> int | None:
    """Return the era of the store that answered, None if it states none."""
    value = next((value for name, value in headers if name.lower() == ERA), b"")
    return int(value) if ERA_VALUE.fullmatch(value) else None


def read_page(status: int, body: bytes, era: int = 0) -> Result[Page, TableError]:
    """Decode the response to a read or to a read of the change feed."""
    if status == 410:
        return Failure(TableError(TableFault.CONFLICT, detail="history is gone", era=era))
    if status != 200:
        detail, is_busy = f"status {status}", status == 429
        return Failure(TableError(TableFault.UNAVAILABLE, detail=detail, is_busy=is_busy))
    try:
        plain = json.loads(body)
        rows, unreadable = _read_rows(plain["Rows"])
        if plain.get("HasMore") and not rows:
            raise ValueError("no row to go on from")
        more = _find_key_after(rows[-1].key) if plain.get("HasMore") else None
        scan = Scan(rows, require_count(plain["Ver"]), era)
        return Success(Page(scan, more, require_number(plain.get("NowMs", 0)), unreadable))
    except DECODE_ERRORS as error:
        return Failure(
            TableError(TableFault.UNKNOWN, detail=f"unreadable answer: {describe(error)}")
        )


def _find_key_after(key: str) -> str:
    """Return the first key after another one that a call can name."""
    found = SURROGATE.search(key)
    return key + "\0" if found is None else key[: found.start()] + SURROGATES_END


def read_commit(status: int, body: bytes, era: int = 0) -> Result[Committed, TableError]:
    """Decode the response to a transaction."""
    if status in (429, 503):
        return Failure(TableError(TableFault.UNAVAILABLE, detail=f"status {status}"))
    try:
        plain = json.loads(body)
        if status == 412:
            rows, _ = _read_rows(plain["Rows"])
            return Failure(TableError(TableFault.CONFLICT, rows, "a row has changed", era=era))
        if status == 200:
            return Success(Committed(require_count(plain["Ver"]), era))
    except DECODE_ERRORS as error:
        return Failure(
            TableError(TableFault.UNKNOWN, detail=f"unreadable answer: {describe(error)}")
        )
    return Failure(TableError(TableFault.UNKNOWN, detail=f"status {status}"))


def _encode(value: dict[str, Any]) -> str:
    return base64.b64encode(json.dumps(value).encode()).decode()


def _read_rows(plain: list[Any]) -> tuple[tuple[Row, ...], int]:
    """Return the rows with a usable key and version, and the number of others."""
    usable = [each for each in plain if _is_row(each)]
    return tuple(map(_read_row, usable)), len(plain) - len(usable)


def _is_row(plain: Any) -> bool:
    if type(plain) is not dict or type(plain.get("Key")) is not str:
        return False
    return is_number(plain.get("Ver", 0))


def _read_row(plain: dict[str, Any]) -> Row:
    # The store has one counter for all rows, so a row's version is the revision that wrote it.
    version = plain.get("Ver", 0)
    if plain.get("Deleted") or plain.get("Value") is None:
        return Row(plain["Key"], version, None, version)
    return Row(plain["Key"], version, _decode(plain["Value"]), version)


def _decode(value: Any) -> dict[str, Any]:
    """Return the JSON object stored in a row; empty if other writers stored something else."""
    try:
        plain = json.loads(base64.b64decode(value))
    except DECODE_ERRORS:
        return {}
    return plain if isinstance(plain, dict) else {}
