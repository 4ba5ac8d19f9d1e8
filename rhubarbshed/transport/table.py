"""Client of the platform's transactional table service."""

from typing import Any, TypeVar

from attrs import frozen
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.codec import from_plain, to_plain
from rhubarbshed.protocol.platform import TableClient
from rhubarbshed.protocol.tables import (
    Committed,
    Row,
    Scan,
    TableError,
    TableFault,
    Transaction,
)
from rhubarbshed.transport.http import Answer, ExchangeError, HttpClient

T = TypeVar("T")

STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503


@frozen
class _Rows:
    rows: tuple[Row, ...]
    revision: int = 0


def make_table_client(http: HttpClient, url: str) -> TableClient:
    """Make a client of the table service at a base address."""

    def read(keys: tuple[str, ...]) -> Result[tuple[Row, ...], TableError]:
        result = http.post_json(f"{url}/read", {"keys": list(keys)})
        return _interpret(result, _Rows).map(lambda answer: answer.rows)

    def scan(prefix: str, revision: int) -> Result[Scan, TableError]:
        message = {"prefix": prefix, "revision": revision}
        return _interpret(http.post_json(f"{url}/scan", message), Scan)

    def commit(transaction: Transaction) -> Result[Committed, TableError]:
        return _interpret(http.post_json(f"{url}/commit", to_plain(transaction)), Committed)

    return TableClient(read, scan, commit)


def make_table_error(error: ExchangeError) -> TableError:
    """Convert the error of an exchange without an answer."""
    fault = TableFault.UNKNOWN if error.sent else TableFault.UNAVAILABLE
    return TableError(fault, detail=error.detail)


def _interpret(result: Result[Answer, ExchangeError], kind: type[T]) -> Result[T, TableError]:
    if isinstance(result, Failure):
        return Failure(make_table_error(result.failure()))
    answer = result.unwrap()
    plain: Any = answer.read_json()
    if answer.status == STATUS_OK:
        return from_plain(plain, kind).alt(
            lambda detail: TableError(TableFault.UNKNOWN, detail=detail)
        )
    if answer.status == STATUS_CONFLICT:
        return Failure(_read_conflict(plain))
    if answer.status == STATUS_UNAVAILABLE:
        return Failure(TableError(TableFault.UNAVAILABLE, detail="status 503"))
    return Failure(TableError(TableFault.UNKNOWN, detail=f"status {answer.status}"))


def _read_conflict(plain: Any) -> TableError:
    parsed = from_plain(plain, _Rows)
    if isinstance(parsed, Success):
        return TableError(TableFault.CONFLICT, parsed.unwrap().rows)
    return TableError(TableFault.CONFLICT, detail=parsed.failure())
