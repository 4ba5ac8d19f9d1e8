"""Interfaces to external systems, each implemented by one client module in transport."""

from collections.abc import Callable

from attrs import frozen
from returns.result import Result

from rhubarbshed.protocol.members import BackendServerInfo, PlatformList
from rhubarbshed.protocol.orders import EngineReport, Order, OrderError
from rhubarbshed.protocol.tables import Committed, Row, Scan, TableError, Transaction


@frozen
class TableClient:
    """Client of the table service; each call blocks and must run on a worker thread.

    `read` returns one row for each key, in order. `scan(prefix, revision)` returns the rows changed
    after that revision, including deleted rows with value None.
    """

    read: Callable[[tuple[str, ...]], Result[tuple[Row, ...], TableError]]
    scan: Callable[[str, int], Result[Scan, TableError]]
    commit: Callable[[Transaction], Result[Committed, TableError]]


@frozen
class ObjectClient:
    """Client of the object store; `get` returns None if nothing is stored."""

    get: Callable[[str], Result[bytes | None, TableError]]
    put: Callable[[str, bytes], Result[None, TableError]]


@frozen
class ListClient:
    """Client for the platform's list of instances and backend servers."""

    fetch: Callable[[], Result[PlatformList, TableError]]


@frozen
class EngineClient:
    """Client for orders to engines and their reports; requests go through transport's streams."""

    send_order: Callable[[BackendServerInfo, Order], Result[None, OrderError]]
    fetch_report: Callable[[BackendServerInfo, int], Result[EngineReport, OrderError]]
