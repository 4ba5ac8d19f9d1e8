"""Client of the platform's object store."""

from returns.result import Failure, Result, Success

from rhubarbshed.protocol.platform import ObjectClient
from rhubarbshed.protocol.tables import TableError, TableFault
from rhubarbshed.transport.http import HttpClient
from rhubarbshed.transport.table import make_table_error

STATUS_NOT_FOUND = 404


def make_object_client(http: HttpClient, url: str) -> ObjectClient:
    """Make a client of the object store at a base address."""

    def get(key: str) -> Result[bytes | None, TableError]:
        result = http.exchange("GET", f"{url}/objects/{key}")
        if isinstance(result, Failure):
            return Failure(make_table_error(result.failure()))
        answer = result.unwrap()
        if answer.status == STATUS_NOT_FOUND:
            return Success(None)
        if answer.status // 100 == 2:
            return Success(answer.body)
        return Failure(TableError(TableFault.UNAVAILABLE, detail=f"status {answer.status}"))

    def put(key: str, data: bytes) -> Result[None, TableError]:
        result = http.exchange("PUT", f"{url}/objects/{key}", data)
        if isinstance(result, Failure):
            return Failure(make_table_error(result.failure()))
        status = result.unwrap().status
        if status // 100 == 2:
            return Success(None)
        return Failure(TableError(TableFault.UNAVAILABLE, detail=f"status {status}"))

    return ObjectClient(get, put)
