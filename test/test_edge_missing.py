"""Servers whose entry is removed without an announcement, as an order holder is in trouble."""

import asyncio
import itertools
import time

import pytest
from returns.result import Failure

from rhubarbshed.coordination.serving.choice import list_leaving
from rhubarbshed.platform.records import read_entries
from rhubarbshed.protocol.messages import StoreMessage
from rhubarbshed.protocol.tables import TableError, TableFault
from rhubarbshed.state.membership.entry_age import ENTRY_RECOVERY_S
from rhubarbshed.transport.edge.holder_messages import split_changes
from rhubarbshed.transport.edge.store import FOLLOW_MARGIN_S, StoreClient
from test.helper_crashes import CrashScene, run_crash_scene
from test.helper_edge import play
from test.test_edge_store_cut import SETTLED_S, STABLE_S, run_behind_relays
from test.test_versions import NOW, make_follower, make_message, make_row

DRAIN_S = 2.0
"""Time for which a server without an entry serves on, the platform's bound."""

NAMES = ("a1", "a2", "a3")

OTHER_ROWS_INTERVAL_S = 0.1

LOST_ANSWER_S = 2.5
"""Time after which a query for servers whose answer is lost has failed."""


async def measure_drop(scene: CrashScene, names: list[str], server_id: str) -> float:
    """Wait until instances have dropped a server; return the seconds that it takes from now."""
    begun_at = time.monotonic()
    await scene.instances.wait_until(
        lambda: all(server_id not in scene.instances[name].view.fleet.servers for name in names),
        2 * DRAIN_S,
    )
    return time.monotonic() - begun_at


def test_reset_of_the_holders_connections_does_not_delay_the_drop_at_others():
    """All kept a server without an entry for 2.2 s more, as if the store had been away."""

    async def run():
        async with run_crash_scene(3, dict.fromkeys(NAMES, "a")) as scene:
            async with run_behind_relays(scene, *NAMES) as relays:
                await asyncio.sleep(SETTLED_S)
                holder = scene.instances.find_holder("a")
                others = [name for name in NAMES if name != holder]
                scene.instances.store.remove("servers", "r0")
                dropping = asyncio.create_task(measure_drop(scene, others, "r0"))
                await asyncio.sleep(0.3)
                relays[holder].reset()
                assert await dropping < DRAIN_S

    play(run)


async def write_other_rows(scene: CrashScene) -> None:
    """Write rows of another table, as instances and operators do all the time."""
    for number in itertools.count():
        scene.instances.store.put("other", "row", {"number": number})
        await asyncio.sleep(OTHER_ROWS_INTERVAL_S)


async def wait_for_read(scene: CrashScene, name: str) -> None:
    """Wait until an instance knows of a later revision of the store."""
    follower = scene.instances[name].follower
    revision = follower.servers_revision
    await scene.instances.wait_until(lambda: follower.servers_revision != revision, 3 * DRAIN_S)


@pytest.mark.parametrize("after_s", [0.0, 0.1, 0.8, 1.5])
def test_removed_entry_on_a_calm_day_does_not_keep_a_server_in_use(after_s: float):
    """Instances that rely on an order holder took the day for an outage and waited 2.2 s more."""

    async def run():
        async with run_crash_scene(3, dict.fromkeys(NAMES, "a")) as scene:
            writing = asyncio.create_task(write_other_rows(scene))
            await asyncio.sleep(SETTLED_S)
            holder = scene.instances.find_holder("a")
            for _ in range(2):
                await wait_for_read(scene, next(name for name in NAMES if name != holder))
            await asyncio.sleep(after_s)
            scene.instances.store.remove("servers", "r0")
            assert await measure_drop(scene, NAMES, "r0") < DRAIN_S
            writing.cancel()

    play(run)


def test_instances_with_an_order_holder_make_no_queries_of_their_own_on_a_calm_day():
    """Each revision of another table's row made them query the servers, once in 1.6 s."""

    async def run():
        async with run_crash_scene(3, dict.fromkeys(NAMES, "a")) as scene:
            writing = asyncio.create_task(write_other_rows(scene))
            await asyncio.sleep(SETTLED_S)
            holder = scene.instances.find_holder("a")
            others = [scene.instances[name] for name in NAMES if name != holder]
            for node in others:
                node.metrics.take_new_counts("store_calls")
            await asyncio.sleep(2 * DRAIN_S)
            for node in others:
                counts = node.metrics.take_new_counts("store_calls")
                assert ("follow", "servers") not in counts, counts
                assert node.follower.is_confirmed(time.monotonic())
            assert scene.instances.find_holder("a") == holder
            writing.cancel()

    play(run)


@pytest.mark.parametrize("after_s", [0.05, 0.25, 0.35])
def test_kill_of_the_holder_does_not_delay_the_drop_at_others(after_s: float):
    """Others read the removal late, and counted the time for which they keep a server from then."""

    async def run():
        async with run_crash_scene(3, dict.fromkeys(NAMES, "a")) as scene:
            await asyncio.sleep(SETTLED_S)
            holder = scene.instances.find_holder("a")
            others = [name for name in NAMES if name != holder]
            # The holder collects changes for a while behind this one.
            await scene.add_replica()
            await asyncio.sleep(0.1)
            scene.instances.store.remove("servers", "r0")
            dropping = asyncio.create_task(measure_drop(scene, others, "r0"))
            await asyncio.sleep(after_s)
            await scene.instances.kill(holder)
            assert await dropping < DRAIN_S

    play(run)


def test_kill_of_the_holder_does_not_delay_the_drop_at_an_instance_that_just_started():
    """It knows a later revision than the holder, whose messages therefore confirm nothing."""

    async def run():
        async with run_crash_scene(3, dict.fromkeys(NAMES, "a")) as scene:
            writing = asyncio.create_task(write_other_rows(scene))
            await asyncio.sleep(SETTLED_S)
            holder = scene.instances.find_holder("a")
            started = next(name for name in NAMES if name != holder)
            await wait_for_read(scene, holder)
            await scene.instances.restart(started)
            await scene.wait_ready(started)
            await asyncio.sleep(0.5)
            await scene.instances.kill(holder)
            scene.instances.store.remove("servers", "r0")
            assert await measure_drop(scene, [started], "r0") < DRAIN_S
            writing.cancel()

    play(run)


@pytest.mark.parametrize("after_s", [0.05, 0.25, 0.35])
def test_lost_history_as_the_holder_is_killed_does_not_delay_the_drop_at_others(after_s: float):
    """What a whole read showed as missing counted as removed just then."""

    async def run():
        async with run_crash_scene(3, dict.fromkeys(NAMES, "a")) as scene:
            await asyncio.sleep(SETTLED_S)
            holder = scene.instances.find_holder("a")
            others = [name for name in NAMES if name != holder]
            await scene.add_replica()
            await asyncio.sleep(0.1)
            scene.instances.store.remove("servers", "r0")
            dropping = asyncio.create_task(measure_drop(scene, others, "r0"))
            await asyncio.sleep(after_s)
            await scene.instances.kill(holder)
            scene.instances.store.forget()
            assert await dropping < DRAIN_S

    play(run)


def is_used(scene: CrashScene, name: str, server_id: str) -> bool:
    """Return whether an instance may send the rest of a stream to a server."""
    view, now = scene.instances[name].view, time.monotonic()
    record = view.fleet.get(server_id)
    if record is None:
        return False
    since = view.versions.entry_age.find_announced_since(DRAIN_S, now)
    entry = record.entry
    leaving = list_leaving(view.fleet, entry.service, entry.version, ("", ""), since, now)
    return record.leaving_at is None or record in leaving


@pytest.mark.parametrize("after_s", [0.25, 0.35, 0.45])
def test_kill_of_the_holder_does_not_delay_the_end_of_streams_at_a_server_that_announced(after_s):
    """Others read the announcement late, and counted the time for which they use it from then."""

    async def run():
        async with run_crash_scene(3, dict.fromkeys(NAMES, "a")) as scene:
            await asyncio.sleep(SETTLED_S)
            holder = scene.instances.find_holder("a")
            others = [name for name in NAMES if name != holder]
            # The holder collects changes for a while behind this one.
            await scene.add_replica()
            await asyncio.sleep(0.02)
            replica = scene.replicas["r0"]
            replica.drain()
            begun_at = time.monotonic()
            scene.instances.store.put("servers", "r0", replica.describe())
            await asyncio.sleep(after_s)
            await scene.instances.kill(holder)
            await scene.instances.wait_until(
                lambda: not any(is_used(scene, name, "r0") for name in others), 2 * DRAIN_S
            )
            assert time.monotonic() - begun_at < DRAIN_S

    play(run)


@pytest.mark.parametrize("number", [0, 1])
def test_lost_answer_as_another_holder_takes_over_does_not_keep_a_server(number, monkeypatch):
    """The instance took the store for lost while its query for the configuration was held."""
    lost: list[StoreClient] = []
    follow = StoreClient.follow

    async def lose_answer(
        store: StoreClient, table: str, after: int, wait_s: float, *rest: object, **more: object
    ):
        if table != "servers" or not any(store is each for each in lost):
            return await follow(store, table, after, wait_s, *rest, **more)
        lost.remove(store)
        waited_s = wait_s + FOLLOW_MARGIN_S
        await asyncio.sleep(waited_s)
        return Failure(TableError(TableFault.UNKNOWN, detail="no response", waited_s=waited_s))

    monkeypatch.setattr(StoreClient, "follow", lose_answer)

    async def run():
        async with run_crash_scene(3, dict.fromkeys(NAMES, "a")) as scene:
            writing = asyncio.create_task(write_other_rows(scene))
            await asyncio.sleep(SETTLED_S)
            holder = scene.instances.find_holder("a")
            others = [name for name in NAMES if name != holder]
            await scene.instances.kill(holder)
            # Both query the servers, and the store loses one answer; one of them takes the lease.
            lost.append(scene.instances[others[number]].follower.store)
            await scene.instances.wait_until(lambda: not lost, 2 * DRAIN_S)
            await asyncio.sleep(LOST_ANSWER_S + STABLE_S)
            assert scene.instances.find_holder("a") in others
            scene.instances.store.remove("servers", "r0")
            assert await measure_drop(scene, others, "r0") < DRAIN_S
            writing.cancel()

    play(run)


BROKEN = TableError(TableFault.UNKNOWN, detail="the connection broke")
REJECTED = TableError(TableFault.UNAVAILABLE, detail="status 503")
UNANSWERED = TableError(TableFault.UNKNOWN, detail="no response in 0.8 s", waited_s=0.8)


@pytest.mark.parametrize(
    ("errors", "settled"),
    [
        ((BROKEN,), True),
        ((BROKEN, BROKEN), False),
        ((REJECTED,), False),
        ((UNANSWERED,), False),
        ((BROKEN, REJECTED), False),
    ],
)
def test_entries_may_have_lapsed_unless_only_a_connection_broke(errors, settled):
    follower = make_follower()
    for error in errors:
        follower._record_failure("servers", error, NOW)
        follower.failing_tables.add("servers")
        assert follower.entry_age.may_have_lapsed(NOW)
    follower._record_response(NOW, NOW + 0.1)
    assert follower.entry_age.may_have_lapsed(NOW + 0.1) != settled
    assert not follower.entry_age.may_have_lapsed(NOW + 0.1 + ENTRY_RECOVERY_S)
    assert not follower.entry_age.is_outage


@pytest.mark.parametrize(
    ("before", "revision", "lost", "waits"),
    [(5, 5, False, True), (3, 6, False, True), (3, 4, False, False), (5, 5, True, False)],
)
def test_view_that_messages_do_not_resume_is_read_again(before, revision, lost, waits):
    """An instance ahead of its holder was not current until the holder's next query."""

    async def run():
        follower = make_follower()
        now = time.monotonic()
        if lost:
            follower.entry_age.record_failure(UNANSWERED, False, now)
        for settled in (False, True):
            message = make_message(before, revision, settled=settled)
            follower.handle_store_message(message, now)
        waiting = asyncio.create_task(follower._wait_for_turn("servers"))
        await asyncio.sleep(0.3)
        assert waiting.done() != waits
        waiting.cancel()

    asyncio.run(run())


def test_range_of_revisions_begins_at_the_last_change_that_an_instance_knows():
    """One that becomes the order holder announces it to others, who may know an older revision."""
    follower = make_follower()
    follower.handle_store_message(make_message(5, 8), NOW)
    assert (follower.changed_revision, follower.servers_revision) == (0, 8)
    follower.handle_store_message(make_message(5, 9, make_row("b2", "v1", 9)), NOW)
    assert (follower.changed_revision, follower.servers_revision) == (9, 9)
    follower.handle_store_message(make_message(9, 12), NOW)
    assert (follower.changed_revision, follower.servers_revision) == (9, 12)


def test_rows_of_one_revision_reach_others_together():
    """The rest of a revision that was announced in two parts counted as known, and was lost."""
    follower = make_follower()
    rows = [make_row(f"b{number}", "v1", 6 + number // 12) for number in range(2, 22)]
    changes = read_entries(tuple(rows))
    for before, reached, part in split_changes(5, 7, changes):
        message = StoreMessage("i2", "a", 1, 0, True, before, reached, part)
        follower.handle_store_message(message, NOW)
    assert len(follower.view.fleet.servers) == 21 and follower.servers_revision == 7
