"""Test that non-idempotent requests run at most once under all faults of the table."""

import asyncio
import random

import pytest

from rhubarbshed.coordination.requests.claims import (
    ClaimHeld,
    ClaimRefused,
    ClaimReplay,
    ClaimRequest,
    compute_digest,
    make_answer,
    make_claim_key,
    read_body,
    read_claim,
)
from rhubarbshed.coordination.requests.settlement import (
    Settlement,
    Settlements,
    claim,
    settle,
    settle_pending,
)
from rhubarbshed.protocol.claims import ClaimState
from rhubarbshed.protocol.errors import Outcome
from rhubarbshed.protocol.tables import Check, Transaction, Write
from test.helper_requests import FaultyTable, make_batcher, run_now

KEY = make_claim_key("parish", "receipt-1")


def make_claim_request(
    write_id: str, instance: str = "i1", body: bytes = b"{}", key: str = KEY
) -> ClaimRequest:
    return ClaimRequest(key, compute_digest("archive", body), instance, "1", write_id)


def claim_now(table, ask, settlements=None, gone=()):
    kept = settlements if settlements is not None else Settlements()
    is_gone = lambda instance, incarnation: instance in gone  # noqa: E731
    return asyncio.run(claim(make_batcher(table), kept, ask, is_gone, 1.0))


def settle_now(table, ask, state, answer=None, settlements=None):
    kept = settlements if settlements is not None else Settlements()
    return asyncio.run(settle(make_batcher(table), kept, Settlement(ask, state, answer)))


def test_done_request_is_replayed_through_any_instance():
    table = FaultyTable()
    ask = make_claim_request("w1")
    assert claim_now(table, ask) == ClaimHeld(ask)
    answer = make_answer(200, (("Content-Type", "text/plain"), ("X-Other", "1")), b"paid")
    assert settle_now(table, ask, ClaimState.DONE, answer)
    again = claim_now(table, make_claim_request("w2", "i2"))
    assert isinstance(again, ClaimReplay)
    assert read_body(again.answer) == b"paid"
    assert again.answer.headers == (("Content-Type", "text/plain"),)
    assert table.commits == 3  # claim, settlement, and the second claim's conflict


def test_another_body_with_the_key_is_refused():
    table = FaultyTable()
    claim_now(table, make_claim_request("w1"))
    refused = claim_now(table, make_claim_request("w2", body=b"[]"))
    assert (refused.error.status, refused.error.outcome) == (422, Outcome.NOT_RUN)


def test_request_in_progress_is_not_run_again():
    table = FaultyTable()
    claim_now(table, make_claim_request("w1"))
    refused = claim_now(table, make_claim_request("w2", "i2"))
    assert (refused.error.status, refused.error.outcome) == (409, Outcome.UNKNOWN)
    assert refused.error.retry_after_s == 1.0


def test_claim_of_a_dead_instance_becomes_unknown_for_good():
    table = FaultyTable()
    claim_now(table, make_claim_request("w1"))
    for attempt in range(2):
        refused = claim_now(table, make_claim_request(f"v{attempt}", "i2"), gone=("i1",))
        assert (refused.error.outcome, refused.error.retryable) == (Outcome.UNKNOWN, False)
    assert read_claim(table.rows[KEY]).state is ClaimState.UNKNOWN


def test_not_run_may_be_claimed_again():
    table = FaultyTable()
    ask = make_claim_request("w1")
    claim_now(table, ask)
    settle_now(table, ask, ClaimState.NOT_RUN)
    assert isinstance(claim_now(table, make_claim_request("w2", "i2")), ClaimHeld)


def test_table_down_is_not_run_at_once():
    table = FaultyTable(is_down=True)
    refused = claim_now(table, make_claim_request("w1"))
    assert (refused.error.status, refused.error.outcome) == (503, Outcome.NOT_RUN)
    assert table.commits == 1


@pytest.mark.parametrize("faults", [["lose"], ["late"], ["lose", "lose"], ["late", "lose"]])
def test_lost_answer_of_a_claim_is_found_out(faults):
    table = FaultyTable(faults=faults)
    assert isinstance(claim_now(table, make_claim_request("w1")), ClaimHeld)
    table.apply_late()
    assert read_claim(table.rows[KEY]).write_id == "w1"
    assert table.rows[KEY].version == 1


@pytest.mark.parametrize("lands_first", [True, False])
def test_claim_that_may_land_late_is_voided(lands_first):
    table = FaultyTable(faults=["late", "late", "late"])
    settlements = Settlements()
    refused = claim_now(table, make_claim_request("w1"), settlements)
    assert refused.error.outcome is Outcome.NOT_RUN
    assert len(settlements.pending) == 1
    if lands_first:
        table.apply_late()
    assert asyncio.run(settle_pending(make_batcher(table), settlements)) == 1
    table.apply_late()
    assert read_claim(table.rows[KEY]).state is ClaimState.NOT_RUN
    assert isinstance(claim_now(table, make_claim_request("w2", "i2")), ClaimHeld)


def test_settlement_waits_for_the_table():
    table = FaultyTable()
    settlements = Settlements()
    ask = make_claim_request("w1")
    claim_now(table, ask)
    table.is_down = True
    assert not settle_now(table, ask, ClaimState.DONE, make_answer(200, (), b""), settlements)
    table.is_down = False
    assert asyncio.run(settle_pending(make_batcher(table), settlements)) == 1
    assert isinstance(claim_now(table, make_claim_request("w2")), ClaimReplay)


def test_answer_too_large_is_told_as_done_but_not_kept():
    table = FaultyTable()
    ask = make_claim_request("w1")
    claim_now(table, ask)
    settle_now(table, ask, ClaimState.DONE, make_answer(200, (), b"x" * 100_000))
    refused = claim_now(table, make_claim_request("w2"))
    assert (refused.error.code, refused.error.outcome) == ("answer_not_kept", Outcome.DONE)


def test_claims_in_the_same_moment_share_commits_and_not_each_others_conflicts():
    table = FaultyTable()

    async def run_later(function, *arguments):
        await asyncio.sleep(0)
        return function(*arguments)

    async def claim_all(prefix):
        batcher = make_batcher(table, run_later)
        keys = [make_claim_key("brewery", str(number)) for number in range(40)]
        asks = [make_claim_request(f"{prefix}{n}", key=key) for n, key in enumerate(keys)]
        if prefix == "b":
            asks = [make_claim_request("new", key=make_claim_key("brewery", "new")), *asks[:3]]
        calls = [claim(batcher, Settlements(), ask, lambda *_: False, 1.0) for ask in asks]
        return await asyncio.gather(*calls), batcher.commits

    answers, commits = asyncio.run(claim_all("a"))
    assert all(isinstance(answer, ClaimHeld) for answer in answers)
    assert commits == 1
    answers, _ = asyncio.run(claim_all("b"))
    assert isinstance(answers[0], ClaimHeld)
    assert all(isinstance(answer, ClaimRefused) for answer in answers[1:])


def test_batcher_answers_everyone_when_a_worker_dies():
    table = FaultyTable()

    async def fail(function, *arguments):
        raise RuntimeError("worker died")

    async def commit():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        batcher = make_batcher(table, fail)
        row = Transaction((Check("k", 0),), (Write("k", {}),))
        return await batcher.commit(row), batcher.is_flushing

    outcome, is_flushing = asyncio.run(commit())
    assert outcome.failure().fault.value == "unknown"
    assert not is_flushing


@pytest.mark.parametrize("seed", range(300))
def test_runs_at_most_once_and_not_run_is_true(seed):
    """Send one filing through several instances while the table fails and instances die."""
    randomness = random.Random(seed)
    table = FaultyTable(randomness=randomness, chance=0.3)
    batcher = make_batcher(table, run_now)
    kept = {name: Settlements() for name in ("i1", "i2", "i3")}
    gone: set[str] = set()
    runs = []
    told_not_run = set()

    async def send(number):
        name = randomness.choice([name for name in kept if name not in gone])
        ask = make_claim_request(f"w{number}", name)
        answer = await claim(batcher, kept[name], ask, lambda held, _: held in gone, 1.0)
        if isinstance(answer, ClaimRefused):
            if answer.error.outcome is Outcome.NOT_RUN:
                told_not_run.add(ask.write_id)
            return
        if isinstance(answer, ClaimReplay):
            assert runs, "replayed an answer of a request that never ran"
            return
        fate = randomness.choice(["done", "refused", "broken", "dies"])
        if fate != "refused":
            runs.append(ask.write_id)
        if fate == "dies" and len(gone) < 2:
            gone.add(name)
            return
        states = {"done": ClaimState.DONE, "refused": ClaimState.NOT_RUN}
        state = states.get(fate, ClaimState.UNKNOWN)
        stored = make_answer(200, (), b"") if fate == "done" else None
        await settle(batcher, kept[name], Settlement(ask, state, stored))

    async def play():
        for number in range(12):
            await send(number)
            if randomness.random() < 0.3:
                table.apply_late()
            name = randomness.choice([name for name in kept if name not in gone])
            await settle_pending(batcher, kept[name])

    asyncio.run(play())
    assert len(runs) <= 1
    assert not told_not_run.intersection(runs)
