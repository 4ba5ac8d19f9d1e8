"""Servers that say in their answers that they leave, whatever their entry says."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from rhubarbshed.platform.headers import announces_leaving, read_head
from standin.replica import Exchange, Replica
from test.helper_crashes import run_crash_scene
from test.helper_cuts import Links
from test.helper_edge import (
    Edge,
    make_configuration,
    make_engine_service,
    make_route,
    play,
    run_edge,
)

ASKED = 20
ROUTES = (
    make_route("non_idempotent", "/u/", Attempts=1),
    make_route("streaming", "/s/", Resumable=True, TargetGapMs=150),
)


async def answer(exchange: Exchange) -> None:
    """Answer at once."""
    exchange.answer(200, b"done")


async def fail(exchange: Exchange) -> None:
    """Answer with a failure of the server's own."""
    exchange.answer(500, b"failed")


async def refuse(exchange: Exchange) -> None:
    """Turn the request away."""
    exchange.refuse()


async def stream(exchange: Exchange) -> None:
    """Answer with a short stream."""
    exchange.begin_stream()
    exchange.send_event(1)
    exchange.end_stream()


async def ask_both(edge: Edge, path: str = "/u/x") -> None:
    """Ask until both replicas have got a request."""
    while not all(replica.got for replica in edge.replicas):
        await edge.ask(path, b"x")


async def ask_until_told(edge: Edge, leaving: Replica, path: str) -> None:
    """Ask until the instance has got an answer of a replica that leaves."""
    leaving.says_leaving = True
    leaving.got.clear()
    while not leaving.got:
        await edge.ask(path, b"x")
    leaving.got.clear()


@pytest.mark.parametrize(
    ("path", "reply"), [("/u/x", answer), ("/u/x", fail), ("/u/x", refuse), ("/s/x", stream)]
)
def test_server_that_says_so_in_an_answer_gets_no_more_requests(
    path: str, reply: Callable[[Exchange], Awaitable[None]]
):
    """An instance that the store turned away passed the header on and sent requests there."""

    async def scene():
        replicas = [Replica(f"b{number}", reply=reply) for number in (1, 2)]
        async with run_edge(make_configuration(*ROUTES), *replicas) as edge:
            await ask_both(edge, path)
            edge.store.down = True
            leaving = replicas[0]
            await ask_until_told(edge, leaving, path)
            for _ in range(ASKED):
                await edge.ask(path, b"x")
            assert not leaving.got
            # An entry that is older, or that its server did not change, does not undo it.
            edge.store.down = False
            edge.store.put("servers", "b1", leaving.describe(Slots=9))
            record = edge.node.view.fleet.servers["b1"]
            await edge.wait_until(lambda: record.entry.slots == 9)
            assert record.leaving_at is not None

    play(scene)


def test_server_that_starts_again_after_it_left_gets_requests():
    async def scene():
        replicas = [Replica(f"b{number}", reply=answer) for number in (1, 2)]
        async with run_edge(make_configuration(*ROUTES), *replicas) as edge:
            await ask_both(edge)
            again = replicas[0]
            await ask_until_told(edge, again, "/u/x")
            again.says_leaving = False
            again.started_ms += 1
            edge.store.put("servers", "b1", again.describe())
            await edge.wait_until(lambda: edge.node.view.fleet.servers["b1"].leaving_at is None)
            async with asyncio.timeout(5.0):
                while not again.got:
                    await edge.ask("/u/x", b"x")

    play(scene)


def test_engine_that_says_so_in_its_reports_is_known_to_leave():
    """It runs no request, yet its models have to be loaded elsewhere before it is gone."""

    async def scene():
        engine = Replica("b1", models={"m1": []}, reply=stream)
        configuration = make_configuration(ROUTES[1], Services=[make_engine_service({"m1": 0})])
        async with run_edge(configuration, engine) as edge:
            record = edge.node.view.fleet.servers["b1"]
            engine.says_leaving = True
            await edge.wait_until(lambda: record.leaving_at is not None, 15.0)

    play(scene)


def test_answer_by_way_of_another_instance_tells_which_server_leaves():
    """An instance that is cut off from the servers passes such answers on, and is bound by them."""

    async def run():
        async with run_crash_scene(2, dict.fromkeys(("a1", "a2"), "a")) as scene:
            leaving, staying = scene.replicas.values()
            leaving.says_leaving = True
            Links(scene.instances["a1"]).cut("refuse")
            records = [
                scene.instances[name].view.fleet.servers[leaving.server_id] for name in ("a1", "a2")
            ]
            async with asyncio.timeout(10.0):
                while not leaving.got:
                    await scene.ask("a1", "/p/x")
            await scene.instances.wait_until(
                lambda: all(record.leaving_at is not None for record in records), 2.0
            )
            assert scene.instances["a1"].view.fleet.servers[staying.server_id].leaving_at is None

    play(run)


def test_only_the_value_of_the_platform_announces_a_leaving():
    cases = [(b"1", True), (b"0", False), (b"", False), (b"true", False), (b"\xff", False)]
    for value, expected in cases:
        assert announces_leaving(((b"Server-Leaving", value),)) == expected
    assert not read_head(200, ()).leaving
