"""Client of the platform's list of instances and backend servers."""

import logging
from typing import Any, TypeVar

from attrs import frozen
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.codec import from_plain
from rhubarbshed.protocol.members import (
    InstanceInfo,
    ListedBackendServer,
    ListedInstance,
    PlatformList,
)
from rhubarbshed.protocol.message_checks import PORT_MAX, REASON_LENGTH_MAX
from rhubarbshed.protocol.platform import ListClient
from rhubarbshed.protocol.tables import TableError, TableFault
from rhubarbshed.transport.http import HttpClient
from rhubarbshed.transport.table import make_table_error
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)
T = TypeVar("T", ListedInstance, ListedBackendServer)

STATUS_OK = 200


@frozen
class _PlainList:
    instances: tuple[Any, ...]
    backend_servers: tuple[Any, ...]


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
        return read_list(answer.read_json()).alt(
            lambda detail: TableError(TableFault.UNAVAILABLE, detail=detail)
        )

    return ListClient(fetch)


def read_list(plain: Any) -> Result[PlatformList, str]:
    """Decode the list; entries that cannot be read are left out, unless there are no others."""
    read = from_plain(plain, _PlainList)
    if isinstance(read, Failure):
        return Failure(read.failure())
    listed = read.unwrap()
    instances = [_read_entry(each, ListedInstance) for each in listed.instances]
    servers = [_read_entry(each, ListedBackendServer) for each in listed.backend_servers]
    entries = (*instances, *servers)
    reasons = [each.failure() for each in entries if isinstance(each, Failure)]
    if reasons and len(reasons) == len(entries):
        return Failure(reasons[0])
    if reasons:
        reason = reasons[0][:REASON_LENGTH_MAX]
        log_event(LOG, logging.WARNING, "listed_unreadable", count=len(reasons), reason=reason)
    return Success(PlatformList(_list_read(instances), _list_read(servers)))


def _read_entry(plain: Any, kind: type[T]) -> Result[T, str]:
    return from_plain(plain, kind).bind(_check_ports)


def _check_ports(listed: T) -> Result[T, str]:
    info = listed.info
    is_instance = isinstance(info, InstanceInfo)
    ports = (info.caller_port, info.operator_port, info.peer_port) if is_instance else (info.port,)
    if not all(0 <= port <= PORT_MAX for port in ports):
        return Failure("a port is out of range")
    return Success(listed)


def _list_read(entries: list[Result[T, str]]) -> tuple[T, ...]:
    return tuple(each.unwrap() for each in entries if isinstance(each, Success))
