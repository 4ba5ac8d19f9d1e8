"""Test how long the client waits for the response of a backend server."""

from collections.abc import Iterator

import pytest

from rhubarbshed.protocol.answers import BufferedResponse
from rhubarbshed.protocol.calls import Call
from rhubarbshed.protocol.requests import AttemptEnd, Dispatch, Request
from rhubarbshed.transport.connections import CONNECT_TIMEOUT_S, ConnectionPool
from rhubarbshed.transport.events import Attempt
from rhubarbshed.transport.upstream import UpstreamClient
from tools.processes import Process, start_standin

SERVICE_S = CONNECT_TIMEOUT_S + 0.5


@pytest.fixture
def service() -> Iterator[Process]:
    """Plain service whose response takes longer than the connect timeout."""
    process = start_standin("service", "--service-ms", str(SERVICE_S * 1000))
    yield process
    process.stop()


def fetch(service: Process, upstream_client: UpstreamClient, first_byte_timeout_s: float):
    dispatch = Dispatch(
        request_id="r1",
        attempt=0,
        backend_server="s1",
        host="127.0.0.1",
        port=service.port,
        first_byte_timeout_s=first_byte_timeout_s,
        gap_timeout_s=5.0,
    )
    call = Call(Request("r1", "c1", "service:s", 0.0, 60.0, service="s"), "GET", "/slow", b"")
    return upstream_client.fetch(Attempt.from_dispatch(dispatch), call)


def test_answer_is_waited_for_as_long_as_the_dispatch_says(service):
    """The second request reuses the connection of the first one."""
    upstream_client = UpstreamClient(ConnectionPool(60.0), None, "a1", 65536)
    for _ in range(2):
        answer = fetch(service, upstream_client, 2 * SERVICE_S)
        assert isinstance(answer, BufferedResponse) and answer.status == 200


def test_answer_is_not_waited_for_longer(service):
    upstream_client = UpstreamClient(ConnectionPool(60.0), None, "a1", 65536)
    assert fetch(service, upstream_client, SERVICE_S / 2) is AttemptEnd.TIMED_OUT
