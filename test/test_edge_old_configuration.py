"""Requests that a configuration refuses which may be out of date."""

import asyncio
import contextlib
import logging
import socket
import threading
import time
from collections.abc import AsyncIterator

import pytest
from attrs import evolve
from returns.result import Failure

from rhubarbshed.protocol.exchanges import ControlCall
from rhubarbshed.protocol.tables import TableError, TableFault
from rhubarbshed.transport.edge.configuration_check import ConfigurationCheck
from rhubarbshed.transport.edge.control import call_server
from rhubarbshed.transport.edge.follower import Follower
from rhubarbshed.transport.edge.node import Node
from rhubarbshed.transport.edge.pools import Pool
from rhubarbshed.transport.edge.store import StoreClient
from rhubarbshed.util.clocks import read_lease_clock
from rhubarbshed.util.logs import PairFormatter
from standin.replica import Replica
from standin.rows import RowStore
from test.helper_cuts import run_cut_scene
from test.helper_edge import (
    HOST,
    WAIT_S,
    Answer,
    Edge,
    find_port,
    make_configuration,
    make_route,
    make_settings,
    play,
    read_answer,
    run_edge,
)
from test.soak.relay import Mode, Relay

KEY = "secret"
TENANTS = [{"Name": "gold", "ApiKeys": [KEY]}]
APPLY_S = 1.0
"""Bound in tests on the time until a configuration is in force."""

LINK_BYTES_PER_S = 125_000
"""Rate of a slow link, 1 Mbit/s."""

SLOWEST_BYTES_PER_S = 55_000
"""Rate of a link over which two answers together take longer than an answer may."""

WIDE_MODELS = 4000
"""Models that make a configuration take longer over that link than any time limit on silence."""


def list_lines(caplog, event: str) -> list[str]:
    """List the logged lines of an event."""
    lines = [PairFormatter().format(each) for each in caplog.records]
    return [line for line in lines if f"event={event} " in line]


def test_line_of_a_request_without_a_route_shows_the_age_of_the_configuration(caplog):
    async def run():
        async with run_edge(make_configuration(make_route(), version=7), Replica("b1")) as edge:
            edge.node.follower.entry_age.configuration_asked_at -= 2.0
            assert (await edge.ask("/unknown/x?secret=1")).status == 404
            edge.store.silent = True
            await edge.wait_until(lambda: edge.node.follower.entry_age.lost_at is not None)
            await edge.ask("/unknown/y")

    with caplog.at_level(logging.INFO):
        play(run)
    first, second = (
        dict(pair.split("=", 1) for pair in line.split()[1:])
        for line in list_lines(caplog, "request_ended")
    )
    assert first["host"] == HOST and first["path"] == "/unknown/x"
    assert first["configuration"] == "7" and int(first["configuration_age_ms"]) >= 2000
    assert first["store_lost_ms"] == '""'
    assert int(second["store_lost_ms"]) >= 0
    assert "0 bytes came" in list_lines(caplog, "dependency_lost")[0]
    assert "table=op rows=1" in list_lines(caplog, "store_read")[0]


def make_wide(version: int, *routes: dict, models: int = WIDE_MODELS) -> dict:
    """Return a configuration of about 100 bytes for each model."""
    listed = [
        {
            "Name": f"model-{n:05}",
            "WeightsMb": 1.0,
            "LoadTimeS": 0.2,
            "Adapters": 0,
            "AdapterMb": 1.0,
        }
        for n in range(models)
    ]
    engine = {"Slots": 8, "KvCapacity": 1000, "WeightsMb": 200.0, "AdapterSlots": 4}
    engine |= {"LoadsPerS": 10.0, "Models": listed}
    service = {"Name": "wide", "HealthCheck": "/health", "MaxConnections": 100, "Engine": engine}
    configuration = make_configuration(make_route(), *routes, version=version)
    return {**configuration, "Services": [*configuration["Services"], service]}


@contextlib.asynccontextmanager
async def run_behind_relay(
    configuration: dict,
    bytes_per_s: float | None = None,
    delay_s: float = 0.0,
    **changes: object,
) -> AsyncIterator[tuple[Edge, Relay]]:
    """Run an instance that reaches the store by way of a relay."""
    store, replica = RowStore(delay_s=delay_s), Replica("b1")
    await store.start()
    await replica.start()
    relay = Relay(find_port(), store.address[1], bytes_per_s=bytes_per_s)
    await relay.start()
    store.put("op", "config", configuration)
    store.put("servers", "b1", replica.describe())
    node = Node.from_settings(make_settings(("127.0.0.1", relay.port), **changes), "")
    edge = Edge(store, [replica], node, asyncio.create_task(node.run()))
    try:
        await asyncio.sleep(0.1)
        yield edge, relay
    finally:
        node.stop.set()
        node.view.drain.announce_s = node.view.drain.drain_s = 0.0
        await asyncio.wait_for(edge.task, WAIT_S)
        relay.stop()
        await replica.stop()
        await store.stop()


@pytest.mark.parametrize("is_strict", [False, True])
def test_route_or_key_that_was_added_is_not_refused_for_good_by_an_instance_without_the_store(
    is_strict,
):
    async def run():
        before = make_configuration(make_route(), Tenants=TENANTS)
        bounds = {"strict_revocation": is_strict, "revocation_s": 2.0, "config_apply_s": APPLY_S}
        async with run_behind_relay(before, **bounds) as (edge, relay):
            await edge.wait_until(lambda: edge.node.view.is_ready)
            assert (await edge.ask("/new/x", Rhubarbshed_Key=KEY)).status == 404
            assert (await edge.ask(Rhubarbshed_Key="new")).status == 401
            relay.mode = Mode.DROP_ALL
            relay.silence_open()
            tenants = [{"Name": "gold", "ApiKeys": [KEY, "new"]}]
            routes = [make_route(), make_route(prefix="/new/")]
            after = make_configuration(*routes, version=2, Tenants=tenants)
            edge.store.put("op", "config", after)
            acknowledged_at = time.monotonic()
            while time.monotonic() < acknowledged_at + 3.0 * APPLY_S:
                is_due = time.monotonic() > acknowledged_at + APPLY_S
                answers = [
                    await edge.ask("/new/x", Rhubarbshed_Key=KEY),
                    await edge.ask(Rhubarbshed_Key="new"),
                ]
                for answer in answers if is_due else ():
                    assert answer.status == 503
                    assert float(answer.headers["retry-after"]) > 0.0
                await asyncio.sleep(0.1)
            relay.mode = Mode.PASS
            relay.reset()
            await edge.wait_until(lambda: edge.node.view.configuration.version == 2)
            assert (await edge.ask("/new/x", Rhubarbshed_Key=KEY)).status == 200
            assert (await edge.ask(Rhubarbshed_Key="new")).status == 200
            assert (await edge.ask("/never/x", Rhubarbshed_Key=KEY)).status == 404

    play(run)


def age_configuration(edge: Edge, age_s: float) -> None:
    """Let an instance know that its configuration was not confirmed for some time."""
    edge.node.follower.entry_age.configuration_asked_at = read_lease_clock() - age_s


def count_operator_calls(edge: Edge) -> int:
    """Count the calls to the store about the configuration."""
    return sum("Table=op&" in call for call in edge.store.calls)


def test_request_on_a_route_that_was_added_is_served_while_the_news_of_it_is_lost():
    async def run():
        before = make_configuration(make_route())
        async with run_behind_relay(before, config_apply_s=APPLY_S) as (edge, relay):
            await edge.wait_until(lambda: edge.node.view.is_ready)
            await asyncio.sleep(0.5)
            relay.silence_open()
            routes = [make_route(), make_route(prefix="/new/")]
            edge.store.put("op", "config", make_configuration(*routes, version=2))
            age_configuration(edge, APPLY_S + 0.1)
            assert (await edge.ask("/new/x")).status == 200

    play(run)


def test_known_key_is_served_at_once_after_a_pause_of_the_process():
    async def run():
        before = make_configuration(make_route(), Tenants=TENANTS)
        bounds = {"strict_revocation": True, "revocation_s": 5.0}
        async with run_edge(before, Replica("b1"), **bounds) as edge:
            age_configuration(edge, 7.0)
            assert (await edge.ask(Rhubarbshed_Key=KEY)).status == 200

    play(run)


def test_callers_who_are_wrong_are_refused_for_good_with_few_queries_of_the_store():
    async def run():
        before = make_configuration(make_route(), Tenants=TENANTS)
        async with run_edge(before, Replica("b1"), config_apply_s=APPLY_S) as edge:
            age_configuration(edge, APPLY_S + 0.1)
            calls = count_operator_calls(edge)
            asked_at = time.monotonic()
            answers = await asyncio.gather(*(edge.ask(f"/wrong/{n}") for n in range(20)))
            answers += await asyncio.gather(*(edge.ask(Rhubarbshed_Key="x") for _ in range(20)))
            assert [each.status for each in answers] == 20 * [404] + 20 * [401]
            assert time.monotonic() < asked_at + APPLY_S
            assert count_operator_calls(edge) - calls <= 3

    play(run)


def test_configuration_that_cannot_be_read_is_not_queried_for_each_request():
    async def run():
        async with run_edge(make_configuration(make_route()), Replica("b1")) as edge:
            edge.store.put("op", "config", {"Version": 2, "Routes": "x"})
            await edge.wait_until(lambda: edge.node.follower.is_configuration_unread)
            age_configuration(edge, 60.0)
            calls, asked_at = count_operator_calls(edge), time.monotonic()
            for n in range(20):
                assert (await edge.ask(f"/wrong/{n}")).status == 503
            most = 2 + 3 * (time.monotonic() - asked_at)
            assert count_operator_calls(edge) - calls <= most

    play(run)


def test_nobody_waits_for_a_confirmation_while_the_store_is_lost():
    async def run():
        async with run_edge(make_configuration(make_route()), Replica("b1")) as edge:
            edge.store.silent = True
            await edge.wait_until(lambda: edge.node.follower.entry_age.lost_at is not None)
            age_configuration(edge, 60.0)
            asked_at = time.monotonic()
            answer = await edge.ask("/new/x")
            assert answer.status == 503 and answer.body.startswith(b"route_unconfirmed")
            assert time.monotonic() < asked_at + 0.2
            assert (await edge.ask()).status == 200
            edge.store.silent = False

    play(run)


def test_configuration_that_arrives_slowly_is_in_force():
    async def run():
        async with run_behind_relay(make_wide(1)) as (edge, relay):
            await edge.wait_until(lambda: edge.node.view.is_ready)
            relay.bytes_per_s = LINK_BYTES_PER_S
            edge.store.put("op", "config", make_wide(2, make_route(prefix="/new/")))
            node = edge.node
            await edge.wait_until(lambda: node.view.configuration.version == 2, 2.0 * WAIT_S)
            assert (await edge.ask("/new/x")).status == 200

    play(run)


def test_answer_that_is_arriving_is_not_abandoned_for_news_of_it():
    async def run():
        async with run_behind_relay(make_wide(1)) as (edge, relay):
            node = edge.node
            await edge.wait_until(lambda: node.view.is_ready)
            relay.bytes_per_s = LINK_BYTES_PER_S
            edge.store.put("op", "config", make_wide(2))
            await edge.wait_until(lambda: node.follower.operator_transfer.received_bytes > 0)
            calls = count_operator_calls(edge)
            while node.view.configuration.version < 2:
                node.follower.new_configuration.fire()
                await asyncio.sleep(0.1)
            # The store may be asked for the next one by then.
            assert count_operator_calls(edge) <= calls + 1

    play(run)


def test_checks_do_not_keep_a_configuration_that_arrives_slowly_from_arriving():
    """Each of them had the same rows sent once more over the same link."""

    async def run():
        async with run_behind_relay(make_wide(1), config_apply_s=APPLY_S) as (edge, relay):
            node = edge.node
            await edge.wait_until(lambda: node.view.is_ready)
            relay.bytes_per_s = SLOWEST_BYTES_PER_S
            edge.store.put("op", "config", make_wide(2, make_route(prefix="/new/")))
            until = time.monotonic() + 15.0
            while node.view.configuration.version < 2:
                assert time.monotonic() < until
                assert (await edge.ask("/wrong/x")).status in (404, 503)
                await asyncio.sleep(0.2)

    play(run)


def test_configuration_that_arrives_late_and_slowly_is_in_force():
    async def run():
        async with run_behind_relay(make_wide(1)) as (edge, relay):
            node = edge.node
            await edge.wait_until(lambda: node.view.is_ready)
            relay.bytes_per_s = LINK_BYTES_PER_S
            edge.store.delay_s = 1.0
            await edge.wait_until(lambda: node.follower.entry_age.lost_at is not None)
            edge.store.put("op", "config", make_wide(2, make_route(prefix="/new/")))
            await edge.wait_until(lambda: node.view.configuration.version == 2, 30.0)

    play(run)


def test_page_without_the_configuration_does_not_confirm_it():
    async def run():
        before = make_configuration(make_route())
        async with run_edge(before, Replica("b1"), config_apply_s=2.0) as edge:
            for n in range(600):
                edge.store.put("op", f"a{n:04}", {})
            edge.store.down = True
            await edge.wait_until(lambda: edge.node.follower.entry_age.is_outage)
            edge.store.down, edge.store.delay_s = False, 1.0
            routes = [make_route(), make_route(prefix="/new/")]
            edge.store.put("op", "config", make_configuration(*routes, version=2))
            until = time.monotonic() + 6.0
            await asyncio.sleep(2.0)
            while time.monotonic() < until:
                assert (await edge.ask("/new/x")).status in (200, 503)
                await asyncio.sleep(0.1)

    play(run)


def test_busy_store_does_not_count_as_lost_by_a_check(monkeypatch):
    follow = StoreClient.follow

    async def answer_busy(store: StoreClient, table: str, after: int, wait_s: float, *_, **rest):
        if table == "op" and not wait_s:
            return Failure(TableError(TableFault.UNAVAILABLE, detail="status 429", is_busy=True))
        return await follow(store, table, after, wait_s, *_, **rest)

    async def run():
        async with run_edge(make_configuration(make_route()), Replica("b1")) as edge:
            await asyncio.sleep(0.5)
            monkeypatch.setattr(StoreClient, "follow", answer_busy)
            reads = edge.node.metrics.counts["store_calls", "read", "op"]
            for _ in range(4):
                age_configuration(edge, 60.0)
                assert (await edge.ask("/new/x")).status == 503
                await asyncio.sleep(0.6)
            # The configuration is read whole again after the store was lost.
            assert edge.node.metrics.counts["store_calls", "read", "op"] == reads

    play(run)


def test_body_within_a_limit_that_was_raised_is_not_refused_for_good_without_the_store():
    async def run():
        limits = {"MaxHeaderBytes": 16384, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000}
        before = make_configuration(make_route(), Limits={**limits, "MaxBodyBytes": 1000})
        async with run_behind_relay(before, config_apply_s=APPLY_S) as (edge, relay):
            await edge.wait_until(lambda: edge.node.view.is_ready)
            await asyncio.sleep(0.5)
            relay.silence_open()
            raised = {**limits, "MaxBodyBytes": 100_000}
            after = make_configuration(make_route(), version=2, Limits=raised)
            edge.store.put("op", "config", after)
            age_configuration(edge, APPLY_S + 0.1)
            assert (await edge.ask(body=b"x" * 2000)).status != 413

    play(run)


LIMITS = {
    "MaxHeaderBytes": 1000,
    "MaxBodyBytes": 1000,
    "HeaderTimeoutMs": 5000,
    "IdleTimeoutMs": 30000,
}
RAISED = {**LIMITS, "MaxHeaderBytes": 100_000, "MaxBodyBytes": 100_000}
HEAD = f"POST /p/x HTTP/1.1\r\nHost: {HOST}\r\nRhubarbshed-Request-Id: q1\r\n".encode()
LONG = {
    "head": (HEAD + b"X-Long: " + b"x" * 2000 + b"\r\n\r\n", 431),
    "part of a head": (HEAD + b"X-Long: " + b"x" * 20_000 + b"\r\n\r\n", 431),
    "announced body": (HEAD + b"Content-Length: 2000\r\n\r\n" + b"x" * 2000, 413),
    "chunk": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + b"x" * 2000, 413),
}
REST = {"chunk": b"\r\n0\r\n\r\n"}


async def send_long(edge: Edge, kind: str) -> Answer:
    """Send a request that is longer than `LIMITS` allow, in pieces."""
    reader, writer = await asyncio.open_connection(*edge.node.settings.callers)
    sent, _ = LONG[kind]
    for first in range(0, len(sent), 1500):
        writer.write(sent[first : first + 1500])
        await asyncio.sleep(0.01)
    writer.write(REST.get(kind, b""))
    try:
        return await asyncio.wait_for(read_answer(reader), WAIT_S)
    finally:
        writer.close()


@pytest.mark.parametrize("kind", LONG)
def test_request_within_a_limit_that_was_raised_is_served_while_the_news_of_it_is_lost(kind):
    async def run():
        before = make_configuration(make_route(), Limits=LIMITS)
        async with run_behind_relay(before, config_apply_s=APPLY_S) as (edge, relay):
            await edge.wait_until(lambda: edge.node.view.is_ready)
            assert (await send_long(edge, kind)).status == LONG[kind][1]
            await asyncio.sleep(0.5)
            relay.silence_open()
            after = make_configuration(make_route(), version=2, Limits=RAISED)
            edge.store.put("op", "config", after)
            age_configuration(edge, APPLY_S + 0.1)
            assert (await send_long(edge, kind)).status == 200

    play(run)


@pytest.mark.parametrize("kind", LONG)
def test_request_beyond_a_limit_is_refused_for_good_once_the_limit_is_confirmed(kind):
    async def run():
        before = make_configuration(make_route(), Limits=LIMITS)
        async with run_edge(before, Replica("b1"), config_apply_s=APPLY_S) as edge:
            for _ in range(2):
                age_configuration(edge, APPLY_S + 0.1)
                assert (await send_long(edge, kind)).status == LONG[kind][1]
                await asyncio.sleep(0.6)

    play(run)


def test_line_of_a_long_request_shows_the_age_of_the_limits(caplog):
    async def run():
        before = make_configuration(make_route(), version=7, Limits=LIMITS)
        async with run_edge(before, Replica("b1")) as edge:
            edge.node.follower.entry_age.configuration_asked_at -= 2.0
            assert (await edge.ask(body=b"x" * 2000)).status == 413

    with caplog.at_level(logging.INFO):
        play(run)
    (line,) = list_lines(caplog, "limit_refused")
    pairs = dict(pair.split("=", 1) for pair in line.split()[1:])
    assert pairs["status"] == "413" and pairs["configuration"] == "7"
    assert int(pairs["configuration_age_ms"]) >= 2000


@pytest.mark.parametrize("kind", LONG)
def test_request_beyond_a_limit_is_not_refused_for_good_without_the_store(kind):
    async def run():
        before = make_configuration(make_route(), Limits=LIMITS)
        async with run_behind_relay(before, config_apply_s=APPLY_S) as (edge, relay):
            await edge.wait_until(lambda: edge.node.view.is_ready)
            relay.mode = Mode.DROP_ALL
            for _ in range(2):
                age_configuration(edge, APPLY_S + 0.1)
                answer = await send_long(edge, kind)
                assert answer.status == 503 and float(answer.headers["retry-after"]) > 0.0
                assert answer.headers["connection"] == "close"
            await edge.wait_until(lambda: edge.node.follower.entry_age.lost_at is not None)
            begun_at = time.monotonic()
            assert (await send_long(edge, kind)).status == 503
            assert time.monotonic() - begun_at < 0.5

    play(run)


def test_forwarded_request_beyond_an_old_limit_is_offered_to_another_instance():
    """The instance that is asked first has no store; its refusal does not count for the fleet."""

    async def run():
        async with run_cut_scene() as cuts:
            await cuts.cut("refuse", "a1")
            old = cuts["a2"].view
            limits = evolve(old.configuration.limits, body_bytes=1000)
            old.configuration = evolve(old.configuration, limits=limits)
            entry_age = cuts["a2"].follower.entry_age
            entry_age.configuration_asked_at = read_lease_clock() - 60.0
            entry_age.lost_at = time.monotonic()
            peers = cuts["a1"].relay.forwarder.peers
            for name in ("a3", "b1", "b2"):
                settings = cuts[name].settings
                peers.pause((settings.host, settings.peers_port), 60.0, time.monotonic())
            answer = await cuts.ask("a1", "/u/x", b"x" * 2000)
            assert answer.status == 200

    play(run)


def test_wait_for_a_limit_leaves_most_of_the_time_that_the_caller_has():
    async def run():
        before = make_configuration(make_route(), Limits=LIMITS)
        async with run_behind_relay(before, config_apply_s=APPLY_S) as (edge, relay):
            await edge.wait_until(lambda: edge.node.view.is_ready)
            relay.mode = Mode.DROP_ALL
            age_configuration(edge, APPLY_S + 0.1)
            begun_at = time.monotonic()
            answer = await edge.ask(body=b"x" * 2000, Rhubarbshed_Deadline_Remaining="600")
            assert answer.status == 503
            assert time.monotonic() - begun_at < 0.3

    play(run)


def test_time_for_a_head_does_not_pass_while_its_limit_is_confirmed():
    async def run():
        limits = {**LIMITS, "HeaderTimeoutMs": 400}
        before = make_configuration(make_route(), Limits=limits)
        bounds = {"config_apply_s": APPLY_S, "delay_s": 0.5}
        async with run_behind_relay(before, **bounds) as (edge, relay):
            await edge.wait_until(lambda: edge.node.view.is_ready)
            await asyncio.sleep(0.5)
            relay.silence_open()
            raised = {**limits, "MaxHeaderBytes": 100_000}
            after = make_configuration(make_route(), version=2, Limits=raised)
            edge.store.put("op", "config", after)
            age_configuration(edge, APPLY_S + 0.1)
            reader, writer = await asyncio.open_connection(*edge.node.settings.callers)
            sent, _ = LONG["part of a head"]
            writer.write(sent[:1500])
            await asyncio.sleep(0.05)
            writer.write(sent[1500:])
            answer = await asyncio.wait_for(read_answer(reader), WAIT_S)
            writer.close()
            assert answer.status == 200

    play(run)


def test_connection_given_up_before_its_limit_is_confirmed_is_closed():
    """A request that has no room is refused in the pass of the loop in which the check begins."""

    async def run():
        before = make_configuration(make_route(), Limits=LIMITS)
        async with run_behind_relay(before, config_apply_s=APPLY_S) as (edge, relay):
            await edge.wait_until(lambda: edge.node.view.is_ready)
            relay.mode = Mode.DROP_ALL
            age_configuration(edge, APPLY_S + 0.1)
            edge.node.received.bytes_max = 20_000
            reader, writer = await asyncio.open_connection(*edge.node.settings.callers)
            writer.write(HEAD + b"Content-Length: 60000\r\n\r\n" + b"x" * 60_000)
            answer = await asyncio.wait_for(read_answer(reader), WAIT_S)
            assert answer.status == 503
            # The caller keeps its side open.
            await edge.wait_until(lambda: not edge.node.connections)
            writer.close()

    play(run)


def test_caller_that_leaves_while_a_limit_is_confirmed_ends_the_wait():
    async def run():
        before = make_configuration(make_route(), Limits=LIMITS)
        async with run_behind_relay(before, config_apply_s=APPLY_S) as (edge, relay):
            await edge.wait_until(lambda: edge.node.view.is_ready)
            relay.mode = Mode.DROP_ALL
            age_configuration(edge, APPLY_S + 0.1)
            _, writer = await asyncio.open_connection(*edge.node.settings.callers)
            writer.write(LONG["head"][0])
            await asyncio.sleep(0.2)
            (connection,) = edge.node.connections
            assert connection.is_receiving
            writer.transport.abort()
            await edge.wait_until(lambda: not edge.node.connections, 0.4)

    play(run)


def test_latest_of_many_configurations_is_in_force_soon_behind_a_slow_link():
    """The history has all of them whole, and more came while they arrived."""

    async def run():
        async with run_behind_relay(make_wide(1, models=1000)) as (edge, relay):
            await edge.wait_until(lambda: edge.node.view.is_ready)
            edge.store.has_whole_history = True
            relay.bytes_per_s = LINK_BYTES_PER_S
            for version in range(2, 32):
                edge.store.put("op", "config", make_wide(version, models=1000))
                await asyncio.sleep(0.3)
            await edge.wait_until(lambda: edge.node.view.configuration.version == 31)

    play(run)


def test_instance_that_stood_still_reads_the_latest_configuration_and_not_the_history():
    async def run():
        async with run_edge(make_configuration(make_route()), Replica("b1")) as edge:
            node, read = edge.node, ("store_calls", "read", "op")
            reads = node.metrics.counts[read]
            await asyncio.sleep(0.5)
            # Blocks the event loop, which this instance shares with its store.
            time.sleep(1.5)
            edge.store.put("op", "config", make_configuration(make_route(), version=2))
            await edge.wait_until(lambda: node.view.configuration.version == 2)
            await edge.wait_until(lambda: node.metrics.counts[read] > reads)

    play(run)


def test_instance_starts_behind_a_link_over_which_the_configuration_arrives_slowly():
    async def run():
        async with run_behind_relay(make_wide(1), LINK_BYTES_PER_S) as (edge, _):
            await edge.wait_until(lambda: edge.node.view.is_ready, 2.0 * WAIT_S)

    play(run)


def test_configuration_of_a_store_that_answers_late_is_in_force():
    async def run():
        async with run_behind_relay(make_configuration(make_route())) as (edge, _):
            await edge.wait_until(lambda: edge.node.view.is_ready)
            edge.store.delay_s = 1.0
            await edge.wait_until(lambda: edge.node.follower.entry_age.lost_at is not None)
            routes = [make_route(), make_route(prefix="/new/")]
            edge.store.put("op", "config", make_configuration(*routes, version=2))
            await edge.wait_until(lambda: edge.node.view.configuration.version == 2)
            assert (await edge.ask("/new/x")).status == 200

    play(run)


def test_connection_that_is_made_in_time_counts_though_the_event_loop_is_late():
    async def run():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            task = asyncio.create_task(Pool(0.2).open(listener.getsockname()))
            await asyncio.sleep(0)
            time.sleep(0.4)
            channel = await task
            channel.abort()

    play(run)


def test_instance_starts_with_a_store_that_answers_late():
    async def run():
        async with run_behind_relay(make_configuration(make_route()), delay_s=1.0) as (edge, _):
            await edge.wait_until(lambda: edge.node.view.is_ready, 2.0 * WAIT_S)
            assert (await edge.ask()).status == 200

    play(run)


def answer_once(listener: socket.socket, read_at: list[float]) -> None:
    """Answer the first call 0.1 s after it is read."""
    connection, _ = listener.accept()
    with connection:
        connection.recv(65_536)
        read_at.append(time.monotonic())
        time.sleep(0.1)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        time.sleep(1.0)


def test_call_is_written_before_a_late_loop_outdates_its_permission():
    """Its answer had a task of its own, which wrote the call when the loop came to it."""

    async def run():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            asked_at, read_at = [], []
            server = threading.Thread(target=answer_once, args=(listener, read_at))
            server.start()

            def allow() -> bool:
                asked_at.append(time.monotonic())
                asyncio.get_running_loop().call_soon(time.sleep, 0.5)
                return True

            sent = ControlCall(b"GET", b"/x", answer_bytes_max=100)
            address = listener.getsockname()
            result = await call_server(Pool(1.0), address, sent, 2.0, allow)
            server.join()
            assert result.unwrap().body == b"ok"
            assert read_at[0] < asked_at[0] + 0.3

    play(run)


def test_check_of_entries_ends_soon_behind_a_link_over_which_the_configuration_arrives_slowly():
    """A caller that continues a stream waits for it."""

    async def run():
        async with run_behind_relay(make_configuration(make_route())) as (edge, relay):
            await edge.wait_until(lambda: edge.node.view.is_ready)
            edge.store.put("op", "config", make_wide(2))
            await edge.wait_until(lambda: edge.node.view.configuration.version == 2)
            await asyncio.sleep(0.5)
            relay.bytes_per_s = SLOWEST_BYTES_PER_S
            begun_at = time.monotonic()
            assert not await edge.node.relay.confirm_entries()
            assert time.monotonic() - begun_at < 2.0
            await relay.widen()

    play(run)


def test_late_answer_to_a_check_of_entries_is_still_taken():
    async def run():
        async with run_behind_relay(make_configuration(make_route())) as (edge, relay):
            await edge.wait_until(lambda: edge.node.view.is_ready)
            await asyncio.sleep(0.5)
            late = []
            edge.node.follower.store.on_late = lambda *answer: late.append(answer)
            edge.store.delay_s = 1.2
            assert not await edge.node.relay.confirm_entries()
            await asyncio.sleep(1.0)
            edge.store.delay_s = 0.0
            assert late

    play(run)


def test_store_that_accepts_no_connection_is_known_to_be_lost_after_a_check(monkeypatch):
    """The connection in use is silent, and the messages of an order holder still arrive."""

    async def hang(address):
        await asyncio.sleep(60.0)

    async def run():
        monkeypatch.setattr(Follower, "has_recent_message", lambda self, now: True)
        before = make_configuration(make_route())
        async with run_behind_relay(before, config_apply_s=APPLY_S) as (edge, relay):
            await edge.wait_until(lambda: edge.node.view.is_ready)
            await asyncio.sleep(3.0)
            edge.node.follower.store.pool.connect = hang
            relay.silence_open()
            age_configuration(edge, APPLY_S + 0.1)
            for _ in range(4):
                assert (await edge.ask("/unknown/x")).status == 503
                await asyncio.sleep(0.2)
            begun_at = time.monotonic()
            assert (await edge.ask("/unknown/x")).status == 503
            assert time.monotonic() - begun_at < 0.5
            assert edge.node.follower.entry_age.lost_at is not None

    play(run)


def test_confirmation_that_came_in_time_counts_though_the_event_loop_is_late():
    class Confirming:
        is_confirmed = False

        async def confirm_configuration(self) -> None:
            await asyncio.sleep(0.1)
            # The tasks between the bytes of an answer and its end.
            for _ in range(4):
                await asyncio.sleep(0)
            self.is_confirmed = True

    async def run():
        follower = Confirming()
        asyncio.get_running_loop().call_later(0.05, time.sleep, 1.0)
        await ConfigurationCheck(follower).confirm(0.8)
        assert follower.is_confirmed

    play(run)


def test_answer_that_came_in_time_counts_though_the_event_loop_is_late():
    async def run():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            server = threading.Thread(target=answer_once, args=(listener, []))
            server.start()
            sent = ControlCall(b"GET", b"/x", answer_bytes_max=100)
            address = listener.getsockname()
            task = asyncio.create_task(call_server(Pool(1.0), address, sent, 0.2))
            await asyncio.sleep(0.05)
            time.sleep(0.4)
            result = await task
            server.join()
            assert result.unwrap().body == b"ok"

    play(run)
