"""Call signatures of the outside systems, each met by one client module in transport."""

from collections.abc import Callable

from attrs import frozen
from returns.result import Result

from rhubarbshed.protocol.members import BackendServerInfo, PlatformList
from rhubarbshed.protocol.orders import EngineReport, Order, OrderError
from rhubarbshed.protocol.tables import Committed, Row, Scan, TableError, Transaction


@frozen
class TableClient:
    """Reach the table service; each call blocks and belongs on a worker thread.

    `read` gives one row for each key, in order. `scan(prefix, revision)` gives rows changed
    after that revision, deleted rows included with value None.
    """

    read: Callable[[tuple[str, ...]], Result[tuple[Row, ...], TableError]]
    scan: Callable[[str, int], Result[Scan, TableError]]
    commit: Callable[[Transaction], Result[Committed, TableError]]


@frozen
class ObjectClient:
    """Reach the object store; `get` gives None where nothing is stored."""

    get: Callable[[str], Result[bytes | None, TableError]]
    put: Callable[[str, bytes], Result[None, TableError]]


@frozen
class ListClient:
    """Reach the platform's list of instances and backend servers."""

    fetch: Callable[[], Result[PlatformList, TableError]]


@frozen
class EngineClient:
    """Reach model engines for orders and reports; requests travel in transport's streams."""

    send_order: Callable[[BackendServerInfo, Order], Result[None, OrderError]]
    fetch_report: Callable[[BackendServerInfo, int], Result[EngineReport, OrderError]]
