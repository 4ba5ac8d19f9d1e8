"""Streams over several tries: replicas that write their version, and a caller that tries again."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from attrs import define

from standin.replica import Exchange, Replica
from test.helper_edge import Answer, Edge, make_configuration, make_route

EVENTS = 4
"""Events of a whole stream."""

STREAM = make_route("streaming", "/s/", Resumable=True, TargetGapMs=150)
AGE_SHORT_S = 0.8
"""Age that streams may have in tests of the rule of the sole version, instead of a minute."""

CONFIGURATION = make_configuration(STREAM)


def let_streams_last_shortly(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let streams last for a short time only."""
    for module in ("versions", "version_records", "origin_batches"):
        name = f"rhubarbshed.coordination.serving.{module}.STREAM_AGE_MAX_S"
        monkeypatch.setattr(name, AGE_SHORT_S)


@define
class Writer:
    """Reply of a replica: events that hold its version; `break_off` is called once, at an event."""

    break_at: int = 0
    break_off: Callable[[Exchange], Awaitable[None]] | None = None

    async def __call__(self, exchange: Exchange) -> None:
        """Write the events that the caller does not have yet."""
        after = int(exchange.headers.get("last-event-id", 0))
        exchange.begin_stream()
        for number in range(after + 1, EVENTS + 1):
            if self.break_off is not None and number >= self.break_at:
                break_off, self.break_off = self.break_off, None
                await break_off(exchange)
                return
            text = exchange.replica.version
            exchange.send_chunk(f"id: {number}\ndata: <{text}>\n\n".encode())
            await exchange.writer.drain()
            await asyncio.sleep(0.005)
        exchange.end_stream()


def make_replica(name: str, version: str = "v1", **changes: object) -> Replica:
    """Return a replica that writes its version."""
    return Replica(name, reply=Writer(), version=version, **changes)


async def add_replica(edge: Edge, replica: Replica) -> None:
    """Start a replica and wait until the instance knows it."""
    if replica not in edge.replicas:
        await replica.start()
        edge.replicas.append(replica)
    edge.store.put("servers", replica.server_id, replica.describe())
    fleet = edge.node.view.fleet
    await edge.wait_until(lambda: fleet.get(replica.server_id) is not None)


async def remove_replica(edge: Edge, replica: Replica) -> None:
    """Let a replica leave, and wait until the instance knows it."""
    edge.store.put("servers", replica.server_id, replica.describe(State="draining"))
    fleet = edge.node.view.fleet
    await edge.wait_until(lambda: fleet.get(replica.server_id).leaving_at is not None)


def list_versions(*answers: Answer) -> set[bytes]:
    """List the versions that the events of answers hold."""
    lines = b"\n".join(answer.body for answer in answers).split(b"\n")
    return {line for line in lines if line.startswith(b"data: <")}


def list_ids(*answers: Answer) -> list[int]:
    """List the ids of the events of answers."""
    lines = b"\n".join(answer.body for answer in answers).split(b"\n")
    return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


def assert_refused(answer: Answer, code: bytes) -> None:
    """Check that an answer is a refusal which says that nothing has run."""
    assert (answer.status, answer.body.split(b":")[0]) == (503, code)
    assert float(answer.headers["retry-after"]) > 0


def take_up(edge: Edge, stream_id: str = "q1", after: int = 2, path: str = "/s/x"):
    """Take up a stream as a caller does whose connection broke."""
    headers = {"Resumes": stream_id} if stream_id else {}
    if after:
        headers["Last-Event-Id"] = str(after)
    return edge.ask(path, b"prompt", **headers)


async def begin(edge: Edge, stream_id: str = "q1", path: str = "/s/x") -> Answer:
    """Begin a stream."""
    return await edge.ask(path, b"prompt", Rhubarbshed_Request_Id=stream_id)
