"""Test an instance's view of configuration and servers while the platform's store fails."""

import asyncio

from rhubarbshed.transport.edge.node import Node
from standin.replica import Exchange, Replica
from test.helper_edge import (
    make_configuration,
    make_route,
    make_settings,
    play,
    run_edge,
)

CONFIGURATION = make_configuration(make_route(), make_route("non_idempotent", "/u/", Attempts=1))


def test_entries_of_other_writers_name_no_server_and_stop_nothing():
    async def scene():
        async with run_edge(CONFIGURATION, Replica("b1")) as edge:
            good = edge.replicas[0].describe()
            bad = [
                b"\xff\xfe",
                b"[]",
                b"[" * 5000,
                {},
                {**good, "Service": 7},
                {**good, "Address": "b1.example:80"},
                {**good, "Address": "127.0.0.1:port"},
                {**good, "State": "confused"},
                {**good, "Slots": "many"},
                {**good, "Models": 3},
                {**good, "born": True},
            ]
            for number, value in enumerate(bad):
                edge.store.put("servers", f"x{number}", value)
            await asyncio.sleep(1.2)
            assert set(edge.node.view.fleet.servers) == {"b1"}
            assert (await edge.ask()).status == 200
            edge.store.put("op", "config", b"garbage")
            await asyncio.sleep(0.3)
            assert (await edge.ask()).status == 200

    play(scene)


def test_draining_server_gets_no_new_work():
    async def scene():
        async with run_edge(CONFIGURATION, Replica("b1"), Replica("b2")) as edge:
            leaving = edge.replicas[0]
            edge.store.put("servers", "b1", leaving.describe(State="draining", Seq=2))
            await asyncio.sleep(1.2)
            before = len(leaving.got)
            for _ in range(10):
                assert (await edge.ask()).status == 200
            assert len(leaving.got) == before
            edge.store.put("servers", "b1", leaving.describe(Seq=3))
            await asyncio.sleep(0.8)
            assert edge.node.view.fleet.get("b1").leaving_at is not None

    play(scene)


def test_instance_serves_what_it_knows_while_the_store_is_away():
    async def scene():
        async with run_edge(CONFIGURATION, Replica("b1")) as edge:
            edge.store.down = True
            edge.store.put("servers", "other", edge.replicas[0].describe(Seq=9))
            await asyncio.sleep(0.5)
            assert (await edge.ask()).status == 200
            edge.store.remove("servers", "b1")
            edge.store.down = False
            await asyncio.sleep(1.0)
            assert (await edge.ask()).status == 200, "an expired entry of a server that runs"
            edge.store.put("servers", "b1", edge.replicas[0].describe(Seq=10))
            await asyncio.sleep(2.5)
            assert edge.node.view.fleet.get("b1") is not None

    play(scene)


def test_instance_asks_a_store_that_is_away_seldom_and_notices_its_return_soon():
    """Each instance repeated two store calls twice a second, and each call has a price."""

    async def scene():
        async with run_edge(CONFIGURATION, Replica("b1")) as edge:
            edge.store.down = True
            edge.store.put("servers", "b1", edge.replicas[0].describe(Seq=9))
            edge.store.put("op", "config", {"Version": 0})
            await edge.wait_until(lambda: edge.node.follower.entry_age.lost_at is not None)
            before = len(edge.store.calls)
            await asyncio.sleep(4.0)
            asked = [call for call in edge.store.calls[before:] if "rows-feed" in call]
            assert 2 <= len(asked) <= 10
            edge.store.down = False
            await edge.wait_until(lambda: edge.node.follower.entry_age.lost_at is None, 2.0)

    play(scene)


def test_server_without_entry_is_gone_after_a_while():
    async def scene():
        async with run_edge(CONFIGURATION, Replica("b1"), Replica("b2")) as edge:
            edge.store.remove("servers", "b1")
            await edge.wait_until(lambda: edge.node.view.fleet.get("b1") is None, 4.0)

    play(scene)


def test_server_that_left_without_a_word_gets_nothing_after_the_drain_time():
    async def scene():
        async with run_edge(CONFIGURATION, Replica("b1"), Replica("b2")) as edge:
            await asyncio.sleep(0.8)
            # Changes are batched for half a second, so the removal is read late.
            edge.store.put("servers", "b2", edge.replicas[1].describe(Seq=2, Slots=9))
            await asyncio.sleep(0.05)
            edge.store.remove("servers", "b1")
            await asyncio.sleep(edge.node.settings.drain_s - 0.1)
            assert edge.node.view.fleet.get("b1") is None

    play(scene)


def test_forgotten_history_is_read_anew():
    async def scene():
        async with run_edge(CONFIGURATION, Replica("b1"), Replica("b2")) as edge:
            edge.store.down = True
            await asyncio.sleep(0.3)
            edge.store.remove("servers", "b1")
            newer = make_configuration(make_route(prefix="/new/"), version=2)
            edge.store.put("op", "config", newer)
            edge.store.forget()
            edge.store.down = False
            await edge.wait_until(lambda: edge.node.view.configuration.version == 2)
            assert (await edge.ask("/new/x")).status == 200
            await edge.wait_until(lambda: edge.node.view.fleet.get("b1") is None, 6.0)

    play(scene)


def test_configuration_is_in_force_soon_after_a_store_that_was_silent_is_back():
    """A call made while the store is unresponsive is never answered, even after its return."""

    async def scene():
        async with run_edge(CONFIGURATION, Replica("b1")) as edge:
            await edge.wait_until(lambda: edge.node.lease.lease_state.held)
            edge.store.silent = True
            await asyncio.sleep(4.0)
            edge.store.silent = False
            newer = make_configuration(make_route(prefix="/new/"), version=2)
            edge.store.put("op", "config", newer)
            await edge.wait_until(lambda: edge.node.view.configuration.version == 2, 2.0)

    play(scene)


def test_instance_asks_the_store_itself_once_its_order_holder_falls_silent():
    async def scene():
        async with run_edge(CONFIGURATION, Replica("b1")) as edge:
            await edge.wait_until(lambda: edge.node.lease.lease_state.held)
            other = Node.from_settings(make_settings(edge.store.address, name="i2"), "")
            task = asyncio.create_task(other.run())
            await edge.wait_until(lambda: other.follower.message_received_at > 0)
            await asyncio.sleep(2.5)
            edge.node.holder_protocol.datagrams.close()
            await asyncio.sleep(1.5)
            newer = make_configuration(make_route(prefix="/new/"), version=2)
            edge.store.put("op", "config", newer)
            await edge.wait_until(lambda: other.view.configuration.version == 2, 2.0)
            other.stop.set()
            other.view.drain.announce_s = 0.0
            await task

    play(scene)


def test_older_configuration_does_not_come_back():
    async def scene():
        async with run_edge(make_configuration(make_route(), version=5), Replica("b1")) as edge:
            edge.store.put(
                "op", "config", make_configuration(make_route(prefix="/old/"), version=4)
            )
            await asyncio.sleep(0.3)
            assert edge.node.view.configuration.version == 5

    play(scene)


def test_server_started_anew_at_another_address_is_used_there():
    async def scene():
        old, new = Replica("b1", started_ms=1), Replica("b1", started_ms=2)
        async with run_edge(CONFIGURATION, old) as edge:
            await new.start()
            edge.store.put("servers", "b1", new.describe())
            await edge.wait_until(lambda: edge.node.view.fleet.get("b1").entry.started_ms == 2)
            edge.store.put("servers", "b1", old.describe(Seq=99))
            await asyncio.sleep(0.8)
            assert (await edge.ask()).status == 200
            assert len(new.got) == 1
            await new.stop()

    play(scene)


def test_other_server_at_a_known_address_runs_nothing():
    async def scene():
        async with run_edge(CONFIGURATION, Replica("b1")) as edge:
            edge.replicas[0].server_id = "b7"
            answer = await edge.ask("/u/x", b"pay")
            assert answer.status == 503
            assert edge.replicas[0].got == []

    play(scene)


def test_drain_finishes_open_work_and_turns_not_ready_at_once():
    begun = asyncio.Event()

    async def slow(exchange: Exchange) -> None:
        begun.set()
        await asyncio.sleep(0.6)
        exchange.answer(200, b"done")

    async def scene():
        async with run_edge(CONFIGURATION, Replica("b1", reply=slow)) as edge:
            edge.node.view.drain.announce_s = 0.2
            asking = asyncio.create_task(edge.ask("/u/x", b"pay"))
            await begun.wait()
            edge.node.stop.set()
            await asyncio.sleep(0.05)
            assert not edge.node.view.is_ready
            answer = await asking
            assert answer.status == 200 and answer.whole
            assert await asyncio.wait_for(edge.task, 2.0) == 0

    play(scene)


def test_request_that_outlasts_the_drain_gets_an_answer_that_promises_nothing():
    async def hang(exchange: Exchange) -> None:
        await asyncio.sleep(30)

    async def scene():
        async with run_edge(CONFIGURATION, Replica("b1", reply=hang)) as edge:
            edge.node.view.drain.announce_s = 0.1
            edge.node.view.drain.drain_s = 0.3
            asking = asyncio.create_task(edge.ask("/u/x", b"pay"))
            await edge.wait_until(lambda: len(edge.replicas[0].got) == 1)
            edge.node.stop.set()
            answer = await asyncio.wait_for(asking, 2.0)
            assert answer.status == 504 and answer.whole

    play(scene)
