"""Accounts whose limits hold at several instances together."""

import asyncio
import logging
import time

import pytest
from attrs import evolve

from rhubarbshed.protocol.accounts import Account, AccountLimit, Accounts
from rhubarbshed.transport.edge import relay
from rhubarbshed.util.clocks import read_lease_clock
from test.helper_crashes import CrashScene, run_crash_scene
from test.helper_cuts import run_cut_scene
from test.helper_edge import play
from test.helper_limits import LimitedReplicas, Load

NAMES = ("a1", "a2", "a3", "b1", "b2")
UNEVEN = ("a1", "a1", "a1", "b1", "a2", "a1", "b2", "a1", "a3")
HOT = Account("hot", limit=AccountLimit(20.0, 20.0))
CALM = Account("calm", limit=AccountLimit(40.0, 40.0))
ACCOUNTS = Accounts({"key-hot": HOT, "key-calm": CALM})
WINDOW_S = 4.0
OVERAGE = 1.1
EXTRA = 10
"""What the sums of these tests may exceed a limit by: credit from before the window, and starts."""


@pytest.fixture(autouse=True)
def _read_keys(monkeypatch):
    """Let requests be of the account whose key they carry."""
    run_request = relay.run_request

    async def run_with_account(progress):
        key = dict(progress.request.headers).get(b"rhubarbshed-key", b"").decode()
        if key:
            progress.account = ACCOUNTS.by_key[key]
        await run_request(progress)

    monkeypatch.setattr(relay, "run_request", run_with_account)


async def configure(scene: CrashScene, *names: str) -> None:
    """Let instances know the accounts, and wait until their buckets are full."""
    for name in names:
        view = scene.instances[name].view
        view.configuration = evolve(view.configuration, accounts=ACCOUNTS)
    await asyncio.sleep(1.3)


def make_load(scene: CrashScene, account: Account, per_s: float, path: str = "/p/x") -> Load:
    """Return callers of an account at several instances."""
    return Load(scene, UNEVEN, per_s, path, {"Rhubarbshed_Key": f"key-{account.name}"})


def count_most(load: Load) -> int:
    """Return the most requests of one window that were served, by when they were sent."""
    times = [at for at, _, answer in load.answers if answer.status == 200]
    return max((sum(at <= each < at + WINDOW_S for each in times) for at in times), default=0)


def allow(account: Account) -> float:
    """Return how many requests may be served in one window."""
    return OVERAGE * (account.limit.rate_per_s * WINDOW_S + account.limit.burst) + EXTRA


def count_taken(scene: CrashScene, account: Account) -> int:
    """Return the requests of an account that took credit at any instance."""
    return sum(
        count
        for name in scene.instances.tasks
        for key, count in scene.instances[name].relay.metrics.counts.items()
        if key[:2] == ("account_credit", account.name) and key[-1] == "yes"
    )


def test_account_with_seven_times_its_load_is_held_and_does_not_delay_others(caplog):
    caplog.set_level(logging.INFO)

    async def run():
        async with run_crash_scene(4) as scene:
            LimitedReplicas().serve(scene)
            await configure(scene, *NAMES)
            hot, calm = make_load(scene, HOT, 100.0), make_load(scene, CALM, 25.0)
            await asyncio.gather(hot.run(6.0), calm.run(6.0))
            assert calm.measure_served(0.0) >= 0.99
            assert count_most(hot) <= allow(HOT)
            served = sum(answer.status == 200 for *_, answer in hot.answers)
            assert served >= 0.8 * 6.0 * HOT.limit.rate_per_s
            refused = [answer for *_, answer in hot.answers if answer.status != 200]
            assert {answer.status for answer in refused} == {429}
            assert all(answer.body.startswith(b"account_limit: ") for answer in refused)
            assert all(0.0 < float(each.headers["retry-after"]) <= 10.0 for each in refused)
            shown = scene.instances["a1"].relay.metrics.render({}).decode()
            assert 'account_credit_total{account="hot",source="allocator",taken="no"}' in shown
            assert "credit_wait_seconds_count" in shown

    play(run)
    line, *_ = [each for each in caplog.records if each.getMessage() == "account_limited"]
    assert line.pairs["account"] == "hot" and line.pairs["unit"] == "requests"
    assert line.pairs["source"] == "allocator" and "key-" not in str(line.pairs)


def test_callers_are_served_after_the_allocator_is_killed():
    async def run():
        async with run_crash_scene(4) as scene:
            LimitedReplicas().serve(scene)
            await configure(scene, *NAMES)
            first = scene.instances["a1"].relay.credit.grants.rank("calm")[0]
            (killed,) = [name for name in NAMES if scene.instances.get_address(name) == first]
            await scene.instances.kill(killed)
            load = make_load(scene, CALM, 20.0)
            load.names = [name for name in NAMES if name != killed]
            begun_at = time.monotonic()
            await load.run(6.0)
            assert count_most(load) <= allow(CALM)
            assert load.measure_served(begun_at + 2.5) >= 0.99
            assert load.measure_served(begun_at) >= 0.75

    play(run)


def test_retries_of_a_request_take_its_credit_once():
    async def run():
        async with run_crash_scene(4) as scene:
            replicas = LimitedReplicas(status=500)
            replicas.serve(scene)
            await configure(scene, *NAMES)
            load = make_load(scene, CALM, 10.0, "/t/x")
            await load.run(2.0)
            sent = sum(map(len, replicas.arrived.values()))
            assert count_taken(scene, CALM) == len(load.answers) < sent

    play(run)


def test_forwarded_request_takes_credit_where_it_is_sent_to_a_server():
    async def run():
        async with run_cut_scene() as cut:
            scene = cut.crashes
            LimitedReplicas().serve(scene)
            await configure(scene, *NAMES)
            await cut.cut("reset", "a1")
            load = make_load(scene, HOT, 60.0)
            load.names = ("a1",)
            await load.run(4.0)
            assert count_most(load) <= allow(HOT)
            statuses = {answer.status for *_, answer in load.answers}
            assert {200, 429} <= statuses <= {200, 429, 503}
            served = sum(answer.status == 200 for *_, answer in load.answers)
            elsewhere = sum(
                count
                for name in NAMES[1:]
                for key, count in scene.instances[name].relay.metrics.counts.items()
                if key[:2] == ("account_credit", "hot") and key[-1] == "yes"
            )
            assert elsewhere >= 0.9 * served

    play(run)


async def refuse(exchange):
    """Refuse a request as a full server does."""
    exchange.refuse()


def test_request_that_no_server_runs_gives_its_credit_back():
    async def run():
        async with run_crash_scene(1) as scene:
            scene.replicas["r0"].reply = refuse
            await configure(scene, *NAMES)
            answer = await scene.ask("a1", "/u/x", Rhubarbshed_Key="key-calm")
            assert answer.status == 503
            held = scene.instances["a1"].relay.credit.held["calm"]
            assert held.measure(read_lease_clock()) >= 1.0

    play(run)


def test_without_accounts_nothing_is_asked_or_shown():
    async def run():
        async with run_crash_scene(1) as scene:
            assert (await scene.ask("a1")).status == 200
            credit = scene.instances["a1"].relay.credit
            assert credit.list_values() == {} and not credit.held and not credit.grants.buckets

    play(run)
