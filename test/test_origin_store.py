"""Origins of streams in the store, with which streams of two versions outlive all instances."""

import asyncio
import json
import time

import pytest

from rhubarbshed.coordination.serving.origin_batches import (
    NUMBER_MAX,
    OriginBatch,
    find_origins,
    make_batch,
    read_batch,
)
from rhubarbshed.protocol.streams import StreamOrigin
from rhubarbshed.transport.edge.origin_store import ROWS_PER_WRITER, WRITE_INTERVAL_S
from standin.rows import RowStore
from test.helper_edge import play
from test.helper_streams import (
    assert_refused,
    let_streams_last_shortly,
    list_versions,
    take_up,
)
from test.test_edge_sole_version import run_scene

TABLE = "rhubarbshed-streams"
V1, V2 = StreamOrigin("svc", "v1"), StreamOrigin("svc", "v2")
NAMES = {"a1": "a", "a2": "a", "c1": "c"}


@pytest.fixture(autouse=True)
def short_age(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let streams last for a short time only."""
    let_streams_last_shortly(monkeypatch)


def list_written(store: RowStore, prefix: str = "") -> list[OriginBatch]:
    """List the batches in the store that can be read."""
    batches = []
    for (table, key), (data, _) in store.rows.items():
        if table == TABLE and key.startswith(prefix) and data.startswith(b"{"):
            batches.append(read_batch(json.loads(data)).value_or(None))
    return [batch for batch in batches if batch is not None]


def is_written(store: RowStore, stream_id: str, origin: StreamOrigin) -> bool:
    """Return whether the store has the origin of a stream."""
    return find_origins(list_written(store), stream_id) == {origin}


async def start_release(scene) -> None:
    """Start a server of another version beside the first, and wait for an order holder."""
    await scene.add("b2", "v2", *NAMES)
    stores = [scene.instances[name].streams.origin_store for name in NAMES]
    await scene.instances.wait_until(
        lambda: all(each.unsettled and each.find_writer() is not None for each in stores)
    )


@pytest.mark.parametrize("when", ("in_release", "before_release"))
def test_streams_of_two_versions_go_on_at_theirs_after_all_instances_were_killed(when: str):
    async def scene():
        async with run_scene("b1", **NAMES) as scene:
            if when == "before_release":
                await asyncio.sleep(1.0)
                await scene.begin_at("a2", "b1", "q1")
            await start_release(scene)
            if when == "in_release":
                await scene.begin_at("a2", "b1", "q1")
            await scene.begin_at("c1", "b2", "q2")
            store = scene.store
            await scene.instances.wait_until(
                lambda: is_written(store, "q1", V1) and is_written(store, "q2", V2)
            )
            await scene.kill(*NAMES)
            await scene.start_again(*NAMES)
            for name in NAMES:
                for stream_id, version in (("q1", b"v1"), ("q2", b"v2")):
                    answer = await take_up(scene.get_edge(name), stream_id)
                    assert answer.whole
                    assert list_versions(answer) == {b"data: <" + version + b">"}
                answer = await take_up(scene.get_edge(name), "q3")
                assert_refused(answer, b"version_unknown")

    play(scene)


def test_stream_of_two_versions_is_refused_while_the_store_is_silent():
    async def scene():
        async with run_scene("b1", **NAMES) as scene:
            await start_release(scene)
            await scene.begin_at("a1", "b1", "q1")
            await scene.instances.wait_until(lambda: is_written(scene.store, "q1", V1))
            await scene.kill(*NAMES)
            await scene.start_again(*NAMES)
            scene.store.held_tables.add(TABLE)
            begun_at = time.monotonic()
            answer = await take_up(scene.get_edge("a1"), "q1")
            assert_refused(answer, b"version_unknown")
            assert time.monotonic() - begun_at < 2.0

    play(scene)


def test_id_that_streams_of_two_versions_bear_is_refused_after_a_kill_of_all():
    async def scene():
        async with run_scene("b1", **NAMES) as scene:
            await start_release(scene)
            await scene.begin_at("a1", "b1", "q1")
            await scene.begin_at("c1", "b2", "q1")
            await scene.instances.wait_until(
                lambda: find_origins(list_written(scene.store), "q1") == {V1, V2}
            )
            await scene.kill(*NAMES)
            await scene.start_again(*NAMES)
            assert_refused(await take_up(scene.get_edge("a1"), "q1"), b"version_unknown")

    play(scene)


@pytest.mark.parametrize(
    "value",
    (
        b"no JSON",
        b"[]",
        {},
        {"number": -1, "origins": []},
        {"number": 10**30, "origins": []},
        {"number": 1, "origins": 3},
        {"number": 1, "origins": [["svc", "v2"]]},
        {"number": 1, "origins": [["svc", 3, ""]]},
        {"number": 1, "origins": [["svc", "\ud800", ""]]},
        {"number": 1, "origins": [["svc", "v2", "12"]]},
        {"number": 1, "origins": [["svc", "v2", "x" * 16]]},
        {"number": 1, "origins": [[["svc"], "v2", ""]]},
    ),
    ids=str,
)
def test_odd_row_among_the_origins_ends_nothing(value: dict | bytes):
    async def scene():
        async with run_scene("b1", **NAMES) as scene:
            for key in ("a/7", "c/1", "other"):
                scene.store.put(TABLE, key, value)
            await start_release(scene)
            await scene.begin_at("a1", "b1", "q1")
            await scene.instances.wait_until(lambda: is_written(scene.store, "q1", V1))
            assert not any(task.done() for task in scene.instances.tasks.values())

    play(scene)


def test_rows_of_a_writer_are_bounded_and_a_new_holder_goes_on_behind_the_newest():
    async def scene():
        async with run_scene("b1", **NAMES) as scene:
            for number in range(ROWS_PER_WRITER):
                batch = make_batch(number + 1, [(f"old{number}", V1)])
                scene.store.put(TABLE, f"a/{batch.number % ROWS_PER_WRITER}", batch.to_value())
            await start_release(scene)
            await scene.begin_at("a1", "b1", "q1")
            await scene.instances.wait_until(lambda: is_written(scene.store, "q1", V1))
            batches = list_written(scene.store, "a/")
            assert len(batches) == ROWS_PER_WRITER
            assert not find_origins(batches, "old0")
            assert find_origins(batches, "old5") == {V1}

    play(scene)


def test_no_origin_is_written_while_a_service_has_one_version():
    async def scene():
        async with run_scene("b1", **NAMES) as scene:
            stores = [scene.instances[name].streams.origin_store for name in NAMES]
            await scene.instances.wait_until(lambda: not any(each.unsettled for each in stores))
            await asyncio.sleep(2 * WRITE_INTERVAL_S)
            before = list_written(scene.store)
            await scene.begin_at("a1", "b1", "q2")
            await asyncio.sleep(2 * WRITE_INTERVAL_S)
            assert list_written(scene.store) == before

    play(scene)


def test_batch_is_read_as_it_was_written():
    batch = make_batch(NUMBER_MAX - 1, [("q1", V1), ("q2", V2), ("q3", V1)])
    assert read_batch(batch.to_value()).unwrap() == batch
    assert find_origins([batch], "q3") == {V1}
    assert find_origins([batch], "q4") == frozenset()
