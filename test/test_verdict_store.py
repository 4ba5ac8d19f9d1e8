"""Trials of stopped requests that instances claim in the store."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from returns.result import Failure, Success

from rhubarbshed.coordination.requests.crash_quarantine import MEMORY_S, TRIAL_RESERVED_S
from rhubarbshed.coordination.requests.trial_records import (
    TrialPlan,
    TrialRecord,
    is_outdated,
    make_trial_record,
    plan_trial,
    read_trial_record,
)
from rhubarbshed.coordination.requests.verdicts import TRIAL_PAUSES_S
from rhubarbshed.platform.rows import QUARANTINE_TABLE
from rhubarbshed.protocol.crash_messages import CrashMessage
from rhubarbshed.transport.edge.pools import Pool
from rhubarbshed.transport.edge.store import StoreClient
from rhubarbshed.transport.edge.verdict_store import VerdictStore
from standin.rows import RowStore
from test.helper_edge import play


def run_with_store(scene: Callable[[RowStore, VerdictStore], Awaitable[None]]) -> None:
    """Run a scene with a stand-in of the store and a client of it."""

    async def run():
        rows = RowStore()
        await rows.start()
        try:
            await scene(rows, VerdictStore(StoreClient(rows.address, Pool(1.0)), lambda: True))
        finally:
            await rows.stop()

    play(run)


def test_each_trial_makes_the_next_one_rarer():
    records, now_ms = {}, 5_000.0
    for pause_s in (*TRIAL_PAUSES_S[1:], TRIAL_PAUSES_S[-1]):
        records = plan_trial(records, ["k"], now_ms).records
        assert plan_trial(records, ["k"], now_ms).wait_s == pytest.approx(pause_s)
        now_ms += pause_s * 1000.0
        assert plan_trial(records, ["k"], now_ms).records


def test_trial_of_several_keys_waits_for_the_last_of_them():
    records = {"k": TrialRecord(1, 9_000.0)}
    assert plan_trial(records, ["k", "m"], 5_000.0) == TrialPlan(wait_s=4.0)


@pytest.mark.parametrize(
    "value",
    (
        {},
        {"trials": -1, "next_ms": 1},
        {"trials": 1, "next_ms": "x"},
        {"trials": True},
        {"trials": 1, "next_ms": 1, "written_ms": 1, "ends": ["00"]},
        {"trials": 1, "next_ms": 1, "written_ms": float("inf"), "ends": []},
    ),
)
def test_row_of_another_writer_is_unreadable(value):
    assert isinstance(read_trial_record(value), Failure)


def test_record_is_outdated_once_no_end_would_count_any_more():
    record = TrialRecord(2, 1_000.0)
    assert not is_outdated(record, 1_000.0 + MEMORY_S * 1000.0)
    assert is_outdated(record, 1_001.0 + MEMORY_S * 1000.0)


def test_one_of_several_instances_that_claim_a_trial_together_gets_it():
    async def scene(rows: RowStore, first: VerdictStore):
        others = [VerdictStore(StoreClient(rows.address, Pool(1.0)), lambda: True) for _ in "abcd"]
        claims = await asyncio.gather(*(each.claim_trial(["k"]) for each in (first, *others)))
        assert claims.count(Success(None)) == 1
        assert rows.read(QUARANTINE_TABLE, "k")["trials"] == 1

    run_with_store(scene)


def test_unreadable_row_is_replaced_by_the_next_trial():
    async def scene(rows: RowStore, verdicts: VerdictStore):
        rows.put(QUARANTINE_TABLE, "k", b"\xff")
        assert await verdicts.claim_trial(["k"]) == Success(None)
        assert rows.read(QUARANTINE_TABLE, "k")["trials"] == 1

    run_with_store(scene)


def test_outdated_rows_are_removed_by_a_claim(monkeypatch):
    monkeypatch.setattr("rhubarbshed.coordination.requests.trial_records.MEMORY_S", -1e9)

    async def scene(rows: RowStore, verdicts: VerdictStore):
        rows.put(QUARANTINE_TABLE, "old", TrialRecord(1, 1.0).to_value())
        assert await verdicts.claim_trial(["k"]) == Success(None)
        assert rows.read(QUARANTINE_TABLE, "old") is None

    run_with_store(scene)


def test_no_trial_is_sent_while_the_store_is_away():
    async def scene(rows: RowStore, verdicts: VerdictStore):
        rows.down = True
        assert await verdicts.claim_trial(["k"]) == Failure(TRIAL_RESERVED_S)
        calls = len(rows.calls)
        verdicts.is_available = lambda: False
        assert await verdicts.claim_trial(["k"]) == Failure(TRIAL_RESERVED_S)
        assert len(rows.calls) == calls

    run_with_store(scene)


END = CrashMessage("r1", 1_792_161_387_283, ((b"k" * 16, b"k" * 16, 200, 100, False, "", 0),))


def test_stored_verdict_is_read_with_the_age_of_its_ends_and_removed_once_it_is_wrong():
    async def scene(rows: RowStore, verdicts: VerdictStore):
        await verdicts.add_verdict("k", [END], 10.0)
        await verdicts.add_verdict("k", [], 0.0)
        await asyncio.sleep(0.05)
        [(end, age_s)] = await verdicts.list_ends()
        assert end == END and 0.04 <= age_s < 2.0
        assert 8.0 < (await verdicts.claim_trial(["k"])).failure() <= 10.0
        await verdicts.remove_verdicts(["k", "other"])
        assert rows.read(QUARANTINE_TABLE, "k") is None

    run_with_store(scene)


def test_trial_keeps_the_ends_that_are_stored():
    record = make_trial_record([END], 0.0, 5_000.0)
    after = plan_trial({"k": record}, ["k"], 5_000.0).records["k"]
    assert read_trial_record(after.to_value()) == Success(after) and after.ends == (END,)
