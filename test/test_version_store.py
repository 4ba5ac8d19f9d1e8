"""Versions kept in the store, with which instances go on after a loss of all of them."""

import asyncio
import contextlib
import json
import math
import time
from collections.abc import AsyncIterator, Callable

import pytest
from attrs import define

from rhubarbshed.coordination.serving.version_records import (
    CHANGED_MAX,
    SERVERS_MAX,
    ClockReading,
    VersionRecord,
    choose_record,
    make_record,
    read_record,
)
from rhubarbshed.coordination.serving.versions import find_sole_origin
from rhubarbshed.protocol.message_checks import REASON_LENGTH_MAX
from rhubarbshed.protocol.servers import ServerEntry, ServerState
from rhubarbshed.protocol.streams import StreamLookup, StreamOrigin
from rhubarbshed.state.membership.fleet import Fleet
from rhubarbshed.state.membership.versions import VersionHistory
from rhubarbshed.transport.edge.follower import Follower
from rhubarbshed.transport.edge.pools import Pool
from rhubarbshed.transport.edge.store import StoreClient
from rhubarbshed.transport.edge.version_store import VersionStore
from rhubarbshed.transport.edge.view import View
from standin.rows import RowStore
from test.helper_edge import make_configuration, make_settings, play
from test.helper_streams import STREAM, make_replica

MINUTE_S = 61.0
TABLE = "rhubarbshed-versions"
V1 = StreamOrigin("svc", "v1")


@define
class Start:
    """What one start of an instance knows."""

    follower: Follower
    version_store: VersionStore

    def find(self) -> StreamOrigin | None:
        """Return the sole version of streams of the route, None if it is not certain."""
        view, now = self.follower.view, time.monotonic()
        route = view.configuration.find_route("svc.example", "/s/x")
        return find_sole_origin(route, StreamLookup(None), view.fleet, view.versions, now)

    async def read(self, condition: Callable[[], bool]) -> None:
        """Wait until the follower has read something."""
        until = time.monotonic() + 3.0
        while not condition():
            assert time.monotonic() < until
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def start(store: RowStore, goes_on: bool = True, **changes: object) -> AsyncIterator[Start]:
    """Start following the store as a started instance does, and go on from the records."""
    view = View.from_settings(make_settings(store.address, **changes))
    client = StoreClient(store.address, Pool(1.0))
    follower = Follower(client, view)
    started = Start(follower, VersionStore(client, follower, lambda: True))
    works = (follower.follow_configuration, follower.follow_servers)
    tasks = [asyncio.create_task(work()) for work in works]
    try:
        await started.read(lambda: view.is_ready)
        if goes_on:
            await started.version_store._close_gap()
        yield started
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def put_server(store: RowStore, name: str, version: str = "v1", **changes: object) -> None:
    """Write the entry of a server."""
    store.put(
        "servers", name, make_replica(name, version, **changes).describe(Address="10.0.0.1:1")
    )


def replace(store: RowStore) -> None:
    """Replace a server by one of the same version."""
    store.remove("servers", "b1")
    put_server(store, "b3")


def lapse(store: RowStore) -> None:
    """Let an entry lapse and return."""
    store.remove("servers", "b1")
    put_server(store, "b1")


def release(store: RowStore) -> None:
    """Replace the version."""
    store.remove("servers", "b1")
    put_server(store, "b2", "v2")


def come_and_leave(store: RowStore) -> None:
    """Let a server of another version come and leave."""
    put_server(store, "b2", "v2")
    store.remove("servers", "b2")


def move_route(store: RowStore) -> None:
    """Let the route lead to another service."""
    put_server(store, "c1", "v1", service="svc2")
    store.put("op", "config", make_configuration({**STREAM, "Service": "svc2"}, version=2))


def move_route_and_back(store: RowStore) -> None:
    """Let the route lead to another service for a moment."""
    move_route(store)
    store.put("op", "config", make_configuration(STREAM, version=3))


def change_record(**changes: object) -> Callable[[RowStore], None]:
    """Return a change of the record."""
    return lambda store: store.put(TABLE, "a", {**store.read(TABLE, "a"), **changes})


CASES = {
    "nothing": (lambda store: None, V1),
    "replaced": (replace, V1),
    "lapsed": (lapse, V1),
    "another_writer": (lambda store: store.put(TABLE, "x", b"\xff"), V1),
    "came": (lambda store: put_server(store, "b2", "v2"), None),
    "release": (release, None),
    "came_and_left": (come_and_leave, None),
    "moved": (move_route, None),
    "moved_and_back": (move_route_and_back, None),
    "history_gone": (RowStore.forget, None),
    "no_record": (lambda store: store.remove(TABLE, "a"), None),
    "unreadable": (lambda store: store.put(TABLE, "a", b"[1]"), None),
    "wrong_type": (change_record(pairs=[["svc", 1]]), None),
    "no_number": (change_record(followed_ms=math.nan), None),
    "clock_ahead": (change_record(followed_ms=1e18), None),
    "routes_ahead": (change_record(routed_ms=1e18), None),
    "restored_from_an_older_copy": (change_record(revision=10**6), None),
    "other_version_before": (change_record(pairs=[["svc", "v1"], ["svc", "v0"]]), None),
    "servers_left_out": (lambda store: [change_record(servers=[])(store), replace(store)], None),
    "huge": (change_record(followed_ms=-(10**400)), None),
}


@pytest.mark.parametrize(("change", "expected"), CASES.values(), ids=CASES)
def test_start_binds_no_stream_to_a_version_unless_none_can_have_been_missed(change, expected):
    async def scene():
        store = RowStore()
        await store.start()
        store.put("op", "config", make_configuration(STREAM))
        put_server(store, "b1")
        async with start(store) as before:
            versions = before.follower.view.versions
            versions.followed_since -= MINUTE_S
            versions.routes.followed_since -= MINUTE_S
            assert before.find() == V1
            await before.version_store._write()
        change(store)
        async with start(store, goes_on=False) as after:
            assert after.find() is None
            await after.version_store._close_gap()
            assert after.find() == expected
        await store.stop()

    play(scene)


@pytest.mark.parametrize(
    ("first_start", "table", "expected"),
    [
        (True, "", V1),
        (True, "other", V1),
        (True, "rhubarbshed", None),
        (True, TABLE, None),
        (False, "", None),
    ],
)
def test_first_start_is_the_one_at_which_the_store_shows_no_earlier_one(
    first_start: bool, table: str, expected: StreamOrigin | None
):
    async def scene():
        store = RowStore()
        await store.start()
        store.put("op", "config", make_configuration(STREAM))
        put_server(store, "b1")
        if table:
            store.put(table, "orders/a", b"{}")
        async with start(store, goes_on=False, first_start=first_start) as started:
            store.down = bool(table)
            closing = asyncio.create_task(started.version_store._close_gap())
            await asyncio.sleep(0.1)
            store.down = False
            await closing
            await started.read(lambda: not started.follower.view.versions.entry_age.is_suspended)
            assert started.find() == expected
            started.version_store.has_started = True
            started.follower.view.versions.restart(time.monotonic())
            await started.version_store._close_gap()
            assert started.find() is None
        await store.stop()

    play(scene)


def test_instance_that_starts_late_goes_on_once_there_is_a_record(monkeypatch):
    """Others had taken a lease, so it was not the first start, and it waited for a minute."""
    for name in ("WRITE_INTERVAL_S", "CHECK_INTERVAL_S"):
        monkeypatch.setattr(f"rhubarbshed.transport.edge.version_store.{name}", 0.1)

    async def scene():
        store = RowStore()
        await store.start()
        store.put("op", "config", make_configuration(STREAM))
        put_server(store, "b1")
        async with start(store, first_start=True) as early:
            store.put("rhubarbshed", "orders/a", b"{}")
            async with start(store, goes_on=False, first_start=True) as late:
                late.version_store.is_holder = lambda: False
                task = asyncio.create_task(late.version_store.maintain())
                await asyncio.sleep(0.3)
                assert (early.find(), late.find()) == (V1, None)
                await early.version_store._write()
                await late.read(lambda: late.find() == V1)
                task.cancel()
        await store.stop()

    play(scene)


@pytest.mark.parametrize("kept", [False, True])
def test_gap_that_comes_while_another_one_is_closed_stays(monkeypatch, kept: bool):
    async def scene():
        store = RowStore()
        await store.start()
        store.put("op", "config", make_configuration(STREAM))
        put_server(store, "b1")
        if kept:
            async with start(store) as before:
                before.follower.view.versions.followed_since -= MINUTE_S
                before.follower.view.versions.routes.followed_since -= MINUTE_S
                await before.version_store._write()
        async with start(store, goes_on=False, first_start=True) as started:
            read_all = StoreClient.read_all

            async def read_beside_a_gap(*arguments: object):
                started.follower.view.versions.restart(time.monotonic())
                return await read_all(*arguments)

            monkeypatch.setattr(StoreClient, "read_all", read_beside_a_gap)
            await started.version_store._go_on()
            assert started.find() is None
            monkeypatch.setattr(StoreClient, "read_all", read_all)
            await started.version_store._go_on()
            assert started.find() == V1
        await store.stop()

    play(scene)


def test_versions_of_a_start_are_kept_for_the_next_one_also_if_it_follows_at_once():
    async def scene():
        store = RowStore()
        await store.start()
        store.put("op", "config", make_configuration(STREAM))
        put_server(store, "b1")
        async with start(store) as first:
            first.follower.view.versions.followed_since -= MINUTE_S
            first.follower.view.versions.routes.followed_since -= MINUTE_S
            await first.version_store._write()
        release(store)
        for _ in range(3):
            async with start(store) as later:
                seen = later.follower.view.list_versions(time.monotonic())
                assert seen == (("svc", "v1"), ("svc", "v2")) and later.find() is None
                await later.version_store._write()
        await store.stop()

    play(scene)


def test_record_is_written_with_one_call_until_another_holder_writes_it_or_there_is_a_gap():
    async def scene():
        store = RowStore()
        await store.start()
        store.put("op", "config", make_configuration(STREAM))
        put_server(store, "b1")
        async with start(store) as holder:
            write, versions = holder.version_store._write, holder.follower.view.versions

            async def count_calls() -> list[bool]:
                count = len(store.calls)
                await write()
                calls = [call for call in store.calls[count:] if "servers" not in call]
                return ["rows-tx" in call for call in calls if "Table=op" not in call]

            assert await count_calls() == [False, True]
            assert await count_calls() == await count_calls() == [True]
            store.put(TABLE, "a", store.read(TABLE, "a"))
            assert await count_calls() == [True]
            assert await count_calls() == [False, True]
            versions.restart(time.monotonic())
            assert await count_calls() == []
            assert await count_calls() == [False, True]
            versions.entry_age.suspend()
            assert await count_calls() == []
        await store.stop()

    play(scene)


def test_start_goes_on_once_the_store_takes_its_calls_again():
    async def scene():
        store = RowStore()
        await store.start()
        store.put("op", "config", make_configuration(STREAM))
        put_server(store, "b1")
        async with start(store) as before:
            before.follower.view.versions.followed_since -= MINUTE_S
            before.follower.view.versions.routes.followed_since -= MINUTE_S
            await before.version_store._write()
        async with start(store, goes_on=False) as after:
            store.down = True
            closing = asyncio.create_task(after.version_store._close_gap())
            await asyncio.sleep(0.4)
            assert after.find() is None
            store.down = False
            await closing
            await after.read(lambda: after.find() == V1)
        await store.stop()

    play(scene)


def test_record_is_not_written_over_one_that_another_holder_wrote_meanwhile(monkeypatch):
    async def scene():
        store = RowStore()
        await store.start()
        store.put("op", "config", make_configuration(STREAM))
        put_server(store, "b1")
        async with start(store) as holder:
            commit = StoreClient.commit

            async def commit_late(*arguments: object):
                store.put(TABLE, "a", {"newer": True})
                return await commit(*arguments)

            monkeypatch.setattr(StoreClient, "commit", commit_late)
            await holder.version_store._write()
            assert store.read(TABLE, "a") == {"newer": True}
        await store.stop()

    play(scene)


# --- What a record holds.


def make_history(now: float = 1000.0) -> tuple[VersionHistory, Fleet]:
    """Return what was followed for a while."""
    history = VersionHistory()
    history.restart(now - 100.0)
    history.routes.restart(now - 90.0)
    return history, Fleet()


def test_record_never_claims_more_than_was_followed():
    now = 1000.0
    cases = {
        "never read": lambda history: setattr(history, "followed_since", None),
        "no routes": lambda history: setattr(history.routes, "followed_since", None),
        "suspended": lambda history: history.entry_age.suspend(),
        "gap after the clock was read": lambda history: history.restart(now - 0.5),
        "routes missed after it": lambda history: history.routes.restart(now - 0.5),
        "route changed after it": lambda history: history.routes.changed_at.update(
            {("h", "/s/"): now - 0.5}
        ),
        "many routes changed": lambda history: history.routes.changed_at.update(
            {("h", f"/{number}/"): now - 9.0 for number in range(CHANGED_MAX + 1)}
        ),
    }
    clock = ClockReading(5_000_000.0, now - 1.0)
    for name, change in cases.items():
        history, fleet = make_history()
        change(history)
        assert make_record(history, fleet, 7, 3, clock, now) is None, name
    history, fleet = make_history()
    history.routes.changed_at[("h", "/s/")] = now - 9.0
    history.routes.changed_at[("h", "/old/")] = now - 61.0
    record = make_record(history, fleet, 7, 3, clock, now)
    assert (record.followed_ms, record.routed_ms) == (4_901_000.0, 4_911_000.0)
    assert record.changed == (("h", "/s/", 4_992_000.0),)
    assert read_record(record.to_value(), 5_000_000.0).unwrap() == record


def test_reason_why_a_record_is_unreadable_is_short():
    assert len(read_record({"revision": "x" * 60_000}, 0.0).failure()) <= REASON_LENGTH_MAX


@pytest.mark.parametrize(
    ("count", "listed"), [(SERVERS_MAX + 1, SERVERS_MAX), (SERVERS_MAX + 2, 0)]
)
def test_record_fits_into_a_row_and_leaves_out_more_servers_than_that(count: int, listed: int):
    history, fleet = make_history()
    for number in range(count):
        name = f"i-{number:010x}"
        fleet.apply(ServerEntry(name, "svc", "h", 1, "a", ServerState.READY, 8, "v1"), 999.0)
    # Its entry is gone, so it may come back at any version.
    fleet.get("i-0000000000").missing_since = 999.5
    record = make_record(history, fleet, 7, 3, ClockReading(5e6, 999.0), 1000.0)
    assert len(record.servers) == listed
    assert len(json.dumps(record.to_value())) < 65_536


def test_time_that_a_machine_stood_still_makes_no_claim_older():
    # Its clock lost 20 s between the gap and the reading, so the gap seems to be later.
    written = ClockReading(100_000.0, 50.0).to_ms(40.0)
    assert written == 90_000.0
    assert ClockReading(160_000.0, 70.0).to_monotonic(written) == 0.0
    assert ClockReading(100_000.0, 50.0).to_ms(-math.inf) == 100_000.0 - 3_600_000.0


def test_newest_record_that_reaches_back_far_enough_is_chosen():
    def make(revision: int, followed_s: float) -> VersionRecord:
        return VersionRecord(revision, 200_000.0 - followed_s * 1000, frozenset())

    old, new, short, shorter = make(5, 90.0), make(9, 61.0), make(20, 30.0), make(30, 10.0)
    for records, chosen in (
        ([old, new, short], new),
        ([shorter, short], short),
        ([], None),
    ):
        assert choose_record(records, 200_000.0) == chosen
