"""Client of the platform's list of instances and backend servers."""

from returns.result import Failure, Result

from rhubarbshed.protocol.codec import from_plain
from rhubarbshed.protocol.members import PlatformList
from rhubarbshed.protocol.platform import ListClient
from rhubarbshed.protocol.tables import TableError, TableFault
from rhubarbshed.transport.http import HttpClient
from rhubarbshed.transport.table import make_table_error

STATUS_OK = 200


def make_list_client(http: HttpClient, url: str) -> ListClient:
    """Make a client of the platform's list at a base address."""

    def fetch() -> Result[PlatformList, TableError]:
        result = http.exchange("GET", f"{url}/list")
        if isinstance(result, Failure):
            return Failure(make_table_error(result.failure()))
        answer = result.unwrap()
        if answer.status != STATUS_OK:
            detail = f"status {answer.status}"
            return Failure(TableError(TableFault.UNAVAILABLE, detail=detail))
        return from_plain(answer.read_json(), PlatformList).alt(
            lambda detail: TableError(TableFault.UNAVAILABLE, detail=detail)
        )

    return ListClient(fetch)
