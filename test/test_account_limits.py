"""Limits of accounts over all instances: decisions, messages, and instances without a network."""

import asyncio
import math
import random

import msgpack
import pytest
from attrs import evolve
from returns.result import Failure

from rhubarbshed.coordination.serving.account_limits import (
    CREDIT_S,
    GRANT_WAIT_S,
    RETRY_MAX_S,
    CreditBucket,
    CreditDemand,
    HeldCredit,
    OwnShare,
    QuotaBound,
    is_excessive,
)
from rhubarbshed.coordination.serving.refusals import make_account_limit
from rhubarbshed.protocol.accounts import AccountLimit, LimitUnit
from rhubarbshed.protocol.credit_messages import CreditQuestion, CreditReply
from rhubarbshed.protocol.messages import FORMAT, pack_message, unpack_message
from rhubarbshed.transport.edge.account_credit import CreditSource, Refused, Taken
from test.helper_credit import (
    BOUND,
    Group,
    allow,
    make_account,
    make_version,
    measure_most,
    play_steps,
    read_now,
)

LIMIT = AccountLimit(1_000.0, 1_000.0, LimitUnit.TOKENS)
ASKER = ("10.0.0.2", 1)
INSTANCES = 24
RUN_S = 10.0
BIG = make_account("big", 60_000.0)
CALM = make_account("calm", 40_000.0)
MEAN_COST = 1_350.0


def grant(bucket, cost, now, limit=LIMIT, debt_max=0.0, **changes):
    """Ask a bucket for credit."""
    demand = CreditDemand(cost, **changes)
    return bucket.grant(limit, debt_max, demand, ASKER, now)


def test_bucket_starts_empty_and_holds_no_more_than_the_burst():
    bucket = CreditBucket(0.0)
    assert grant(bucket, 100.0, 0.0).granted == 0.0
    assert grant(bucket, 100.0, 0.1).granted == 100.0
    assert grant(bucket, 1_000.0, 60.0).granted == 1_000.0
    assert grant(bucket, 100.0, 60.0).granted == 0.0


def test_request_that_lacks_little_waits_and_its_credit_is_not_used_before_it_flows_in():
    bucket = CreditBucket(0.0)
    credit = grant(bucket, 100.0, 0.08)
    assert credit.granted == 100.0 and credit.wait_s == pytest.approx(0.02)
    assert grant(bucket, 100.0, 0.08).granted == 0.0 and GRANT_WAIT_S < 0.1


def test_refused_callers_are_asked_back_one_after_the_other_within_ten_seconds():
    bucket = CreditBucket(0.0)
    retries = [grant(bucket, 500.0, 0.0).retry_in_s for _ in range(40)]
    assert retries[:3] == [0.5, 1.0, 1.5] and retries[-1] == RETRY_MAX_S
    times = {make_account_limit(RETRY_MAX_S, random.Random(n)).retry_after_s for n in range(9)}
    assert len(times) == 9 and max(times) <= RETRY_MAX_S


def test_request_beyond_the_burst_does_not_wait_for_ever():
    """It was refused each time, although its account was idle."""
    debt_max = BOUND.measure_debt(LIMIT)
    bucket = CreditBucket(0.0)
    assert grant(bucket, 5_000.0, 10.0, debt_max=debt_max).granted == 5_000.0
    assert grant(bucket, 5_000.0, 12.0, debt_max=debt_max).granted == 0.0
    assert not is_excessive(LIMIT, debt_max, 5_000.0) and is_excessive(LIMIT, debt_max, 9e4)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("rate", (300.0, 1_900.0, 20_000.0))
def test_sum_of_credit_holds_the_bound_in_every_window(rate, seed):
    """All of it is used at its last moment, and requests may cost many times the burst."""
    rng, limit = random.Random(seed), evolve(LIMIT, rate_per_s=rate, burst=rate)
    bucket, debt_max = CreditBucket(0.0), BOUND.measure_debt(limit)
    now, used = 0.0, []
    while now < 60.0:
        now += rng.expovariate(4.0 * rate / MEAN_COST) + (5.0 if rng.random() < 0.002 else 0.0)
        cost = rng.choice((200.0, 1_000.0, 5_000.0))
        if rng.random() < 0.01:
            cost = limit.burst + debt_max
        returned = 1e9 if rng.random() < 0.05 else 0.0
        credit = grant(bucket, cost, now, limit, debt_max, prefetch=cost, returned=returned)
        if returned and used:
            # What was granted lately may be returned unused, and counts no more.
            used = [(at, cost) for at, cost in used if at <= now]
        if credit.granted:
            used.append((now + credit.wait_s + CREDIT_S, credit.granted))
    assert sum(cost for _, cost in used) >= 0.4 * 60.0 * rate
    assert measure_most(used, BOUND.window_s) <= allow(limit)


def test_no_more_is_taken_back_than_was_granted_lately():
    """A late or repeated question returned credit that another one had been granted."""
    bucket = CreditBucket(0.0)
    grant(bucket, 600.0, 1.0)
    grant(bucket, 0.0, 1.2, returned=5_000.0)
    assert bucket.level == pytest.approx(1_000.0)
    grant(bucket, 900.0, 1.3)
    grant(bucket, 0.0, 1.3 + CREDIT_S, returned=900.0)
    assert bucket.level == pytest.approx(600.0)


def test_lower_limit_cuts_the_level_and_a_clock_that_stands_still_adds_nothing():
    bucket = CreditBucket(0.0)
    grant(bucket, 0.0, 10.0)
    assert grant(bucket, 400.0, 10.0, evolve(LIMIT, burst=300.0)).granted == 0.0
    level = bucket.level
    grant(bucket, 0.0, 9.0)
    assert bucket.level <= level <= 300.0


def test_held_credit_expires_and_is_returned_before_that():
    held = HeldCredit(0.0)
    held.add(100.0, 0.5, 0.0)
    assert held.take(60.0, 0.1) == 0.5 and held.take(60.0, 0.1) is None
    assert held.return_old(0.2) == 0.0 and held.return_old(0.35) == 40.0
    held.add(100.0, 0.5, 0.4)
    assert held.take(10.0, 0.5) is None
    held.add(100.0, 0.5, 0.6)
    assert held.measure(0.0) == 0.0


def test_instances_prefetch_only_what_they_expect_to_use():
    held = HeldCredit(0.0)
    held.count(1_000.0, 0.0)
    assert held.measure_prefetch(1.0) == 0.0
    for number in range(100):
        held.count(1_000.0, 0.1 * number)
    assert 2_000.0 <= held.measure_prefetch(10.0) <= 4_000.0


@pytest.mark.parametrize("seed", range(3))
def test_shares_of_instances_that_can_ask_nobody_are_half_of_the_limit_together(seed):
    rng, used = random.Random(seed), []
    shares = [OwnShare.draw(1_000.0, rng, 0.0) for _ in range(100)]
    for step in range(160):
        for share in shares:
            if share.take(CALM.limit, 100, 1_000.0, 0.05 * step).granted:
                used.append((0.05 * step, 1_000.0))
    total = sum(cost for _, cost in used)
    assert 0.4 * 8 * 40_000.0 <= total <= 0.55 * 8 * 40_000.0


@pytest.mark.parametrize(
    "message",
    (
        CreditQuestion(7, "name", 3, 1_200.0, 300.5, 4.0),
        CreditReply(7, 1_500.5, 0),
        CreditReply(7, 0.0, None),
    ),
)
def test_message_is_read_as_it_was_sent(message):
    assert unpack_message(pack_message(message)).unwrap() == message


@pytest.mark.parametrize(
    "fields",
    (
        ("credit_question", -1, "a", 1, 1.0, 0.0, 0.0),
        ("credit_question", 7, 1, 1, 1.0, 0.0, 0.0),
        ("credit_question", 7, "a" * 201, 1, 1.0, 0.0, 0.0),
        ("credit_question", 7, "a", 1.5, 1.0, 0.0, 0.0),
        ("credit_question", 7, "a", 1, math.nan, 0.0, 0.0),
        ("credit_question", 7, "a", 1, 1.0, -1.0, 0.0),
        ("credit_question", 7, "a", 1, 1.0, 0.0, math.inf),
        ("credit_question", 7, "a", 1, "1", 0.0, 0.0),
        ("credit_reply", 7, math.nan, 0),
        ("credit_reply", 7, 1.0, -1),
        ("credit_reply", 7, 1.0, 0.5),
        ("credit_reply", None, 1.0, 0),
    ),
)
def test_malformed_message_is_unreadable(fields):
    assert isinstance(unpack_message(msgpack.packb((FORMAT, *fields))), Failure)


def draw_cost(rng):
    """Return a function that draws the cost of a request."""
    return lambda: min(5_000.0, max(200.0, rng.lognormvariate(7.0, 0.7)))


async def start_group(seed, count=INSTANCES, accounts=(BIG, CALM)):
    """Start instances whose buckets are full."""
    group = Group(make_version(1, *accounts), random.Random(seed))
    addresses = group.add(count)
    await asyncio.sleep(1.5)
    return group, addresses


def load_account(group, account, utilisation, choose, for_s=RUN_S):
    """Return callers that use a part of an account's limit."""
    per_s = utilisation * account.limit.rate_per_s / MEAN_COST
    return group.load(account, per_s, for_s, choose, draw_cost(group.rng))


def check_bound(group, *accounts):
    """Check the bound of all accounts in all windows."""
    for account in accounts:
        assert measure_most(group.used[account.name], BOUND.window_s) <= allow(account.limit)


@pytest.mark.parametrize("seed", range(3))
def test_accounts_below_their_limits_are_served_beside_one_with_seven_times_its_load(seed):
    async def scene():
        group, addresses = await start_group(seed)
        group.waits.clear()
        loads = (
            load_account(group, CALM, 0.7, lambda: group.rng.choice(addresses)),
            load_account(group, BIG, 0.7 * 7, lambda: group.rng.choice(addresses)),
        )
        await asyncio.gather(*loads)
        check_bound(group, BIG, CALM)
        assert group.measure_served(CALM) == 1.0
        used = sum(cost for _, cost in group.used["big"])
        assert used >= 0.95 * RUN_S * BIG.limit.rate_per_s
        assert max(group.waits) <= 0.05
        retries = [refused.retry_in_s for _, refused in group.refused["big"]]
        assert 0.0 < min(retries) and max(retries) <= RETRY_MAX_S

    play_steps(scene)


@pytest.mark.parametrize("seed", range(3))
def test_callers_that_move_to_another_data_centre_at_once_are_served(seed):
    async def scene():
        group, addresses = await start_group(seed)
        half = len(addresses) // 2
        moves_at = read_now() + 0.5 * RUN_S

        def choose():
            here = addresses[:half] if read_now() < moves_at else addresses[half:]
            return group.rng.choice(here)

        await load_account(group, BIG, 0.85, choose)
        check_bound(group, BIG)
        assert group.measure_served(BIG) >= 0.999

    play_steps(scene)


def test_many_small_accounts_are_served():
    async def scene():
        accounts = [make_account(f"small{number}", 5_400.0) for number in range(60)]
        group, addresses = await start_group(1, accounts=accounts)
        loads = [
            load_account(group, each, 0.25, lambda: group.rng.choice(addresses))
            for each in accounts
        ]
        await asyncio.gather(*loads)
        check_bound(group, *accounts)
        assert sum(map(group.measure_served, accounts)) >= 0.98 * len(accounts)

    play_steps(scene)


async def run_beside(seed, disturb, used_min, big=2.0):
    """Disturb an account beyond its limit and one below it, from the third second on."""
    group, addresses = await start_group(seed)

    def choose():
        return group.rng.choice(addresses)

    loads = asyncio.gather(
        load_account(group, BIG, big, choose), load_account(group, CALM, 0.6, choose)
    )
    await asyncio.sleep(3.0)
    await disturb(group, group.find_allocator(BIG))
    await loads
    check_bound(group, BIG, CALM)
    used = sum(cost for _, cost in group.used["big"])
    assert used >= used_min * RUN_S * BIG.limit.rate_per_s
    # A cut instance has half of its share for its callers, 1 in 24.
    assert group.measure_served(CALM) >= 0.97


async def kill_allocator(group, address):
    """Others learn of it after a second."""
    group.kill(address)
    await asyncio.sleep(1.0)
    group.list_all()


async def freeze_allocator(group, address):
    """It is still listed when it wakes."""
    group.members[address].frozen = True
    await asyncio.sleep(3.0)
    group.wake(address)


async def freeze_briefly(group, address):
    """It wakes as others have begun to take its place."""
    for _ in range(3):
        group.members[address].frozen = True
        await asyncio.sleep(0.45)
        group.wake(address)
        await asyncio.sleep(0.3)


async def replace_allocator(group, address):
    """It starts again at its address at once, without memory and without a list."""
    group.kill(address)
    group.start(address)
    await asyncio.sleep(1.0)
    group.list_all()


async def cut_allocator(group, address):
    """Its own callers still reach it."""
    group.members[address].cut = True
    await asyncio.sleep(3.0)
    group.members[address].cut = False


async def join_first(group, address):
    """New instances rank before the allocator, and some learn of them late."""
    group.add(8, is_listed=False)
    everyone = list(group.members)
    for number, (own, member) in enumerate(group.members.items()):
        if number % 3 == 0:
            await asyncio.sleep(0.05)
        member.credit.learn_instances({"a": [each for each in everyone if each != own]}, True)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    ("disturb", "used_min"),
    (
        (kill_allocator, 0.8),
        (freeze_allocator, 0.8),
        (freeze_briefly, 0.7),
        (replace_allocator, 0.8),
        (cut_allocator, 0.8),
        (join_first, 0.9),
    ),
)
def test_bound_holds_while_the_allocator_fails(disturb, used_min, seed):
    play_steps(lambda: run_beside(seed, disturb, used_min))


def test_allocator_that_wakes_starts_with_an_empty_bucket():
    """Its bucket was full, as was that of its substitute, and callers used both."""

    async def scene():
        group, _ = await start_group(6)
        first = group.find_allocator(BIG)
        bucket = group.members[first].credit.grants.buckets["big"]
        assert bucket.level == BIG.limit.burst
        group.members[first].frozen = True
        await asyncio.sleep(3.0)
        group.wake(first)
        await asyncio.sleep(0.11)
        assert bucket.level <= 0.2 * BIG.limit.rate_per_s

    play_steps(scene)


def test_process_that_was_frozen_does_not_use_the_credit_of_an_old_reply():
    async def scene():
        group, addresses = await start_group(7)
        own = next(each for each in addresses if each != group.find_allocator(BIG))
        credit = group.members[own].credit
        asking = asyncio.create_task(credit.take(BIG, 500.0, 0.2))
        await asyncio.sleep(0.001)
        credit.allocators.clock = lambda: read_now() + 2 * CREDIT_S
        outcome = await asking
        assert outcome.source in (CreditSource.OWN_SHARE, CreditSource.SILENCE)
        assert credit.held["big"].measure(read_now()) == 0.0

    play_steps(scene)


def lose_third(rng):
    """Lose a third of all messages."""
    return [] if rng.random() < 1 / 3 else [rng.uniform(0.001, 0.003)]


def repeat_each(rng):
    """Deliver each message twice, the second time long after."""
    return [rng.uniform(0.001, 0.003), rng.uniform(0.1, 3.0)]


def delay_some(rng):
    """Deliver some messages after their credit has expired."""
    return [rng.choice((0.002, 0.002, 0.03, 0.6, 2.0))]


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    ("fate", "used_min"), ((lose_third, 0.7), (repeat_each, 0.9), (delay_some, 0.6))
)
def test_bound_holds_while_messages_are_lost_repeated_or_late(fate, used_min, seed):
    async def scene():
        group, addresses = await start_group(seed)
        group.fate = fate
        await load_account(group, BIG, 2.0, lambda: group.rng.choice(addresses))
        check_bound(group, BIG)
        assert sum(cost for _, cost in group.used["big"]) >= used_min * RUN_S * 60_000.0

    play_steps(scene)


def test_lowered_and_raised_limits_take_effect_within_a_window():
    async def scene():
        group, addresses = await start_group(3)
        low = evolve(BIG, limit=evolve(BIG.limit, rate_per_s=6_000.0, burst=6_000.0))
        accounts = [BIG]
        tasks = []
        lowered_at = read_now() + 4.0
        while read_now() < lowered_at + 20.0:
            await asyncio.sleep(group.rng.expovariate(100.0))
            if read_now() > lowered_at and accounts[0] is BIG:
                accounts[0] = low
                for member in group.members.values():
                    member.configuration = make_version(2, low)
            cost = draw_cost(group.rng)()
            ask = group.ask(group.rng.choice(addresses), accounts[0], cost)
            tasks.append(asyncio.create_task(ask))
        await asyncio.gather(*tasks)
        after = [(at, cost) for at, cost in group.used["big"] if at > lowered_at + CREDIT_S]
        assert measure_most(after, BOUND.window_s) <= allow(low.limit)
        assert sum(cost for _, cost in after) >= 0.8 * 19.0 * 6_000.0

    play_steps(scene)


@pytest.mark.parametrize("seed", range(3))
def test_all_instances_started_again_at_once_serve_within_the_bound_and_then_fully(seed):
    """They learn of the order holders first, then of their data centre, then of all."""

    async def scene():
        group = Group(make_version(1, BIG, CALM), random.Random(seed), centres=3)
        addresses = group.add(100)
        holders = addresses[:3]
        await asyncio.sleep(1.5)

        def choose():
            return group.rng.choice(addresses)

        loads = asyncio.gather(
            load_account(group, BIG, 2.0, choose), load_account(group, CALM, 0.6, choose)
        )
        await asyncio.sleep(4.0)
        for address in addresses:
            group.kill(address)
        await asyncio.sleep(0.3)
        for address in addresses:
            group.start(address)
        group.list_some(lambda own, other: other in holders, False)
        started_at = read_now()
        await asyncio.sleep(1.0)
        group.list_some(
            lambda own, other: other in holders
            or group.find_centre(own) == group.find_centre(other)
        )
        await asyncio.sleep(0.3)
        group.list_all()
        await loads
        check_bound(group, BIG, CALM)
        unlisted = [cost for at, cost in group.used["calm"] if 0 <= at - started_at < 1.0]
        assert sum(unlisted) >= 0.2 * CALM.limit.rate_per_s
        assert group.measure_served(CALM, started_at + 2.0) >= 0.98

    play_steps(scene)


@pytest.mark.parametrize("seed", range(3))
def test_data_centres_cut_off_from_each_other_grant_the_limit_together(seed):
    """Each side granted the whole."""

    async def scene():
        group = Group(make_version(1, BIG, CALM), random.Random(seed), centres=3)
        addresses = group.add(INSTANCES)
        await asyncio.sleep(1.5)
        lone = addresses[0::3]

        def choose():
            return group.rng.choice(addresses)

        loads = asyncio.gather(
            load_account(group, BIG, 2.0, choose, 16.0),
            load_account(group, CALM, 0.5, choose, 16.0),
        )
        await asyncio.sleep(2.0)
        group.sides = {address: address in lone for address in addresses}
        await asyncio.sleep(8.0)
        group.sides = {}
        healed_at = read_now()
        await loads
        check_bound(group, BIG, CALM)
        used = sum(cost for at, cost in group.used["big"])
        assert used >= 0.85 * 16.0 * BIG.limit.rate_per_s
        assert group.measure_served(CALM) >= 0.95
        assert group.measure_served(CALM, healed_at + 1.5) >= 0.99

    play_steps(scene)


@pytest.mark.parametrize("seed", range(3))
def test_accounts_are_served_after_all_instances_of_a_data_centre_ended(seed):
    """They stay listed elsewhere for a minute."""

    async def scene():
        group = Group(make_version(1, BIG, CALM), random.Random(seed), centres=3)
        addresses = group.add(INSTANCES)
        await asyncio.sleep(1.5)
        for address in addresses[0::3]:
            group.kill(address)
        killed_at = read_now()
        left = list(group.members)
        loads = (
            load_account(group, BIG, 2.0, lambda: group.rng.choice(left)),
            load_account(group, CALM, 0.5, lambda: group.rng.choice(left)),
        )
        await asyncio.gather(*loads)
        check_bound(group, BIG, CALM)
        assert group.measure_served(CALM, killed_at + 2.5) >= 0.97

    play_steps(scene)


def test_instances_cut_off_from_each_other_use_half_of_the_limit_at_most():
    async def scene():
        group, addresses = await start_group(2)
        for member in group.members.values():
            member.cut = True
        cut_at = read_now() + 1.5
        await load_account(group, BIG, 2.0, lambda: group.rng.choice(addresses))
        check_bound(group, BIG)
        used = sum(cost for at, cost in group.used["big"] if at > cut_at)
        assert 0.3 <= used / (60_000.0 * (RUN_S - 1.5)) <= 0.6

    play_steps(scene)


def test_instances_of_the_build_before_that_never_reply_do_not_stop_an_account():
    async def scene():
        group, addresses = await start_group(4)
        for address in addresses[::2]:
            group.members[address].old = True
        await load_account(group, BIG, 0.5, lambda: group.rng.choice(addresses[1::2]))
        check_bound(group, BIG)
        assert group.measure_served(BIG, read_now() - RUN_S + 3.0) >= 0.95

    play_steps(scene)


def test_instance_that_reaches_none_of_the_first_in_rank_does_not_grant_the_whole():
    """Each instance would, while most of the others are of the build before."""

    async def scene():
        group, addresses = await start_group(5)
        ranked = group.members[addresses[0]].credit.grants.rank("big")
        for address in ranked:
            group.members[address].old = True
        others = [each for each in addresses if each not in ranked]
        await load_account(group, BIG, 2.0, lambda: group.rng.choice(others))
        check_bound(group, BIG)
        used = sum(cost for _, cost in group.used["big"])
        assert 0.1 * RUN_S * 60_000.0 <= used <= 0.5 * RUN_S * 60_000.0

    play_steps(scene)


def test_credit_that_is_given_back_ends_when_it_would_have():
    """Given a new time, credit was used in a later window than it was granted for."""

    async def scene():
        group, (first, *_) = await start_group(1, 3)
        credit = group.members[first].credit
        taken = await credit.take(BIG, 500.0, 0.2)
        credit.give_back(taken, read_now())
        again = await credit.take(BIG, 500.0, 0.2)
        assert isinstance(again, Taken) and again.source is CreditSource.HELD
        assert again.expires_at == taken.expires_at
        await asyncio.sleep(CREDIT_S)
        before = credit.held["big"].measure(read_now())
        credit.give_back(again, read_now())
        assert credit.held["big"].measure(read_now()) == before

    play_steps(scene)


@pytest.mark.parametrize(
    "account", (make_account("n" * 300, 60_000.0), make_account("steady", 60_000.0, 0.0))
)
def test_account_with_a_long_name_or_without_a_burst_is_served(account):
    """The name did not fit a message, and without a burst no request found room."""

    async def scene():
        group, addresses = await start_group(1, accounts=(account,))
        await load_account(group, account, 0.5, lambda: group.rng.choice(addresses))
        check_bound(group, account)
        assert group.measure_served(account) >= 0.95

    play_steps(scene)


def test_request_that_can_never_have_room_is_refused_without_a_question():
    async def scene():
        group, (first, *_) = await start_group(1, 3)
        allocators = group.members[first].credit.allocators
        asked = allocators.asked_count
        outcome = await group.ask(first, BIG, 1e6)
        assert isinstance(outcome, Refused) and outcome.source is CreditSource.EXCESSIVE
        assert allocators.asked_count == asked

    play_steps(scene)


def test_request_beyond_the_burst_is_paid_for_afterwards_where_no_bound_is_stated():
    """It was refused for ever."""
    debt_max = QuotaBound(8.0, 0.0, 0.0).measure_debt(LIMIT)
    bucket = CreditBucket(0.0)
    assert grant(bucket, 4_000.0, 1.0, debt_max=debt_max).granted == 4_000.0
    assert grant(bucket, 100.0, 3.0, debt_max=debt_max).granted == 0.0
    assert grant(bucket, 100.0, 4.2, debt_max=debt_max).granted == 100.0
