"""An order holder that is cut off from the store alone, and the instances that rely on it."""

import asyncio
import contextlib
import time

from attrs import evolve

from test.helper_crashes import run_crash_scene
from test.helper_edge import find_port, play
from test.soak.relay import Mode, Relay

DRAIN_S = 2.0
"""Time after which a leaving server may get no more requests, the platform's bound."""

STABLE_S = 3.0
"""Time after a disturbance of the store from which the platform's bounds hold again."""

SETTLED_S = 2.5
"""Time after which only the order holder queries servers."""

LOST_S = 0.3
CUTS = 4


@contextlib.asynccontextmanager
async def run_behind_relays(scene, *names: str):
    """Restart instances with a relay of their own before the store; yield the relays by name."""
    relays = {}
    for name in names:
        relays[name] = Relay(find_port(), scene.instances.store.address[1])
        await relays[name].start()
        node = scene.instances[name]
        node.settings = evolve(node.settings, store=("127.0.0.1", relays[name].port))
    await scene.instances.restart(*names)
    await scene.wait_ready(*names)
    await scene.instances.wait_until(scene.instances.know_each_other)
    try:
        yield relays
    finally:
        for relay in relays.values():
            relay.stop()


def test_server_that_leaves_is_known_though_an_earlier_answer_on_servers_was_lost():
    """The connection of the holder's query was dead, which a query for the configuration hid."""

    async def run():
        names = ("a1", "a2", "a3")
        async with run_crash_scene(3, dict.fromkeys(names, "a")) as scene:
            store = scene.instances.store
            first, leaving, _ = scene.replicas.values()
            await asyncio.sleep(SETTLED_S)
            store.held_tables.add("servers")
            store.put("servers", first.server_id, first.describe(Slots=9))
            await asyncio.sleep(LOST_S)
            store.held_tables.clear()
            await asyncio.sleep(STABLE_S)
            await scene.let_leave(leaving, names, DRAIN_S)

    play(run)


def test_server_that_leaves_as_an_order_holder_loses_the_store_is_known_in_time():
    """The holder went on to announce that nothing had changed, and they did not ask the store."""

    async def run():
        names = ("a1", "a2", "a3")
        async with run_crash_scene(4, dict.fromkeys(names, "a")) as scene:
            async with run_behind_relays(scene, *names) as relays:
                took_s = []
                for number in range(CUTS):
                    await asyncio.sleep(1.0 + 0.15 * number)
                    holder = scene.instances.find_holder("a")
                    relays[holder].mode = Mode.DROP_ALL
                    relays[holder].silence_open()
                    name, replica = list(scene.replicas.items())[number]
                    replica.drain()
                    left_at = time.monotonic()
                    scene.instances.store.put("servers", name, replica.describe())
                    records = [
                        scene.instances[each].view.fleet.servers[name]
                        for each in names
                        if each != holder
                    ]
                    await scene.instances.wait_until(
                        lambda records=records: all(each.leaving_at for each in records)
                    )
                    took_s.append(time.monotonic() - left_at)
                    relays[holder].mode = Mode.PASS
                    relays[holder].reset()
                    await asyncio.sleep(3.0)
                assert max(took_s) < DRAIN_S, took_s

    play(run)
