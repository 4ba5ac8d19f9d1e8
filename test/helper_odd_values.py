"""Values that another writer may leave in JSON, and an instance in memory that meets them."""

import asyncio
import json
import re
import time
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from attrs import define, field
from returns.result import Result, Success

from rhubarbshed.protocol.exchanges import ControlCall
from rhubarbshed.protocol.messages import OriginQuestion, unpack_message
from rhubarbshed.protocol.tables import TableError
from rhubarbshed.transport.edge.control import ControlAnswer
from rhubarbshed.transport.edge.node import Node
from rhubarbshed.transport.edge.store import StoreClient
from rhubarbshed.util.clocks import read_lease_clock
from standin.replica import Replica
from standin.rows import RowStore
from test.helper_edge import (
    make_configuration,
    make_engine_service,
    make_route,
    make_settings,
    play,
)

DATAGRAM_BYTES_MAX = 65_507
"""Largest datagram over IPv4."""

PEER = ("127.0.0.2", 7000)
PLACE = "@@"
"""Text of a template in whose place an odd value is put."""


def play_odd(scene: Callable[[], object]) -> None:
    """Run an asynchronous test; pytest cannot show errors of deep recursion."""
    error = ""
    try:
        play(scene)
    except Exception as raised:
        error = repr(raised)[:500]
    assert not error, error


def nest(depth: int) -> str:
    """Return nested lists."""
    return "[" * depth + "]" * depth


TEXTS = {
    "lone surrogate": '"\\ud800"',
    "surrogate inside": '"b\\udfffx"',
    "64 KB": f'"{"a" * 65_536}"',
    "control": '"a\\u0000\\n\\u007f\\u2028b"',
    "empty": '""',
    "no ASCII": '"\\u20ac"',
}
NUMBERS = {
    "beyond 64 bits": "1" + "0" * 30,
    "beyond 64 bits, negative": "-1" + "0" * 30,
    "beyond 53 bits": str(2**60),
    "400 digits": "9" * 400,
    "5,000 digits": "9" * 5_000,
    "NaN": "NaN",
    "infinity": "Infinity",
    "negative infinity": "-Infinity",
    "1e300": "1e300",
    "1e400": "1e400",
    "fraction": "1.5",
    "negative": "-1",
    "true": "true",
}
SHAPES = {
    "null": "null",
    "list": "[]",
    "object": "{}",
    "list of mixed types": '["x", 3, null, [], {}]',
    "object of text": '{"m1": ["a1"]}',
    "list of surrogates": '["\\ud800"]',
    "nesting of 300": nest(300),
    "nesting of 600": nest(600),
    "nesting of 100,000": nest(100_000),
    "thousands of names": json.dumps([f"n{number}" for number in range(6_000)]),
    "thousands of models": json.dumps([{"Name": f"m{number}"} for number in range(6_000)]),
}
ODD_JSON = {**TEXTS, **NUMBERS, **SHAPES}


def fill(template: object, raw: str) -> bytes:
    """Return a template as JSON with a raw value in its place."""
    return json.dumps(template).replace(f'"{PLACE}"', raw).encode()


@define(eq=False)
class MemoryTransport:
    """Datagrams that an instance sends, checked as a socket checks them."""

    sent: list[tuple[bytes, tuple[str, int]]] = field(factory=list)

    def is_closing(self) -> bool:
        """Return that the socket is open."""
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Record a datagram; an address that a socket takes for a defect is one here."""
        host, port = address[:2]
        assert host.encode() and 0 <= port <= 65_535, address
        if len(data) <= DATAGRAM_BYTES_MAX:
            self.sent.append((data, address))

    def close(self) -> None:
        """Close nothing."""


@define
class MemoryStoreClient(StoreClient):
    """Client whose calls a store in the same process answers; no call waits for changes."""

    rows: RowStore = field(kw_only=True)
    answers: list[tuple[int, bytes]] = field(factory=list, kw_only=True)
    """Answers to be given in place of the store's own."""

    async def _call(self, sent: ControlCall, timeout_s: float) -> Result[ControlAnswer, TableError]:
        await asyncio.sleep(0)
        if self.answers:
            return Success(ControlAnswer(*self.answers.pop(0)))
        target = sent.target.decode()
        query = parse_qs(urlsplit(target).query)
        while "after" in query and self.rows.version <= int(query["after"][0]):
            await asyncio.sleep(0.001)
        target = re.sub(r"WaitMs=\d+", "WaitMs=0", target)
        status, plain = await self.rows._answer(sent.method.decode(), target, sent.body)
        return Success(ControlAnswer(status, json.dumps(plain).encode()))


@define(eq=False)
class MemoryNode:
    """Instance without sockets that holds the lease of its data centre, with one other instance."""

    node: Node
    store: MemoryStoreClient
    transport: MemoryTransport
    tasks: list[asyncio.Task] = field(factory=list)

    @classmethod
    def start(cls) -> "MemoryNode":
        """Start the tasks that follow the store, with one server and a configuration."""
        rows = RowStore()
        replica = Replica("b1", models={"m1": ["a1"]}, address=("127.0.0.1", 1))
        service = make_engine_service({"m1": 2, "m2": 0})
        rows.put("another", "x", {})
        rows.put("op", "config", make_configuration(make_route(), Services=[service]))
        rows.put("servers", "b1", replica.describe())
        node = Node.from_settings(make_settings(("127.0.0.1", 1)), "")
        store = MemoryStoreClient(("127.0.0.1", 1), node.pool, rows=rows)
        node.follower.store = node.lease.store = node.crashes.verdict_store.store = store
        transport = MemoryTransport()
        node.holder_protocol.datagrams.connection_made(transport)
        now = time.monotonic()
        node.lease.lease_state.record_acquired(1, now, False)
        node.lease.lease_state.may_order_until = read_lease_clock() + 60.0
        node.holder_protocol.instances[PEER] = now
        works = (node.follower.follow_configuration, node.follower.follow_servers)
        return cls(node, store, transport, [asyncio.create_task(work()) for work in works])

    async def settle(self) -> None:
        """Wait until the tasks that follow the store have read all; they must not end."""
        node = self.node
        node.lease.lease_state.renewed_at = read_lease_clock()
        for _ in range(200):
            await asyncio.sleep(0.001)
            for task in self.tasks:
                if task.done():
                    task.result()
                    raise AssertionError("a task that follows the store has ended")
            if node.follower.servers_revision == self.store.rows.version:
                return
        raise AssertionError("the store is not followed")

    def use(self) -> None:
        """Do once what the tasks of an instance do with what it knows."""
        node, now = self.node, time.monotonic()
        dispatcher, protocol = node.dispatcher, node.holder_protocol
        for service, engine in dispatcher.list_engines():
            dispatcher.plan_service(service, engine, True, now)
        protocol.announce_engines(0.25, now)
        protocol.report_demand(now)
        protocol.forward_demand()
        node.instance_lists.check(now)
        node.streams.handle_message(OriginQuestion(("s1",)), PEER, now)
        node.follower.drop_missing(now)
        node.metrics.render({"servers": len(node.view.fleet.servers)})
        for record in node.view.fleet.servers.values():
            record.estimate_load(now)

    def read_sent(self) -> list[object]:
        """Return the messages sent, each of which another instance can read."""
        return [unpack_message(data).unwrap() for data, _ in self.transport.sent]

    async def __aenter__(self) -> "MemoryNode":
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
