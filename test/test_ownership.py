"""Tests of sessions, leases and ownership."""

import collections

from attrs import evolve
from returns.result import Success

from rhubarbshed.coordination.agreement.ownership import (
    choose_owner,
    hand_over,
    release_server,
    remove_former_holders,
)
from rhubarbshed.coordination.requests.quotas import AdapterQuota, compute_share
from rhubarbshed.state.agreement.leases import Holder
from rhubarbshed.state.placement.ledger import LedgerFault
from test.helper_agreed import RENEWAL_S, TERM_S, Instance, World, complete

ALONE = ()


def start(world, name, incarnation="1"):
    instance = Instance.start(world, name, incarnation)
    complete(instance.renew())
    return instance


def watch(instance, seconds):
    """Renew and maintain ownership each interval for a time, as the only live instance."""
    taken = []
    end = instance.world.clock.now + seconds
    while instance.world.clock.now < end:
        complete(instance.renew())
        taken += complete(instance.maintain(ALONE)).unwrap().taken
        instance.world.clock.now += RENEWAL_S
    return taken


def owns(instance):
    return [
        owned.backend_server for owned in instance.context.leases.list_owned(instance.world.clock())
    ]


def test_takes_a_free_server_with_a_higher_epoch():
    world = World()
    first = start(world, "i1")
    assert complete(first.maintain()).unwrap().taken == ("b1",)
    assert owns(first) == ["b1"] and world.ledger.epoch == 1


def test_steady_state_costs_one_read_and_one_renewal():
    world = World()
    first = start(world, "i1")
    complete(first.maintain())
    reads, commits = world.table.reads, world.table.commits
    complete(first.renew())
    complete(first.maintain())
    assert (world.table.reads - reads, world.table.commits - commits) == (2, 1)


def test_taker_waits_a_full_term_on_its_own_clock():
    world = World()
    first, second = start(world, "i1"), start(world, "i2")
    complete(first.maintain())
    held_until = first.context.leases.held_until
    seen_at = world.clock.now
    assert watch(second, TERM_S) == []
    assert watch(second, 2 * RENEWAL_S) == ["b1"]
    assert world.clock.now >= seen_at + TERM_S > held_until
    assert owns(first) == [] and world.ledger.epoch == 2


def test_lease_counts_from_before_the_renewal_was_sent():
    world = World()
    first = start(world, "i1")
    sent_at = world.clock.now

    def be_slow():
        world.clock.now += 6.0

    world.table.faults = [be_slow]
    complete(first.renew())
    assert first.context.leases.held_until <= sent_at + TERM_S


def test_frozen_holder_drops_ownership_before_it_acts_again():
    world = World()
    first, second = start(world, "i1"), start(world, "i2")
    complete(first.maintain())
    watch(second, 2 * TERM_S)
    complete(first.renew())
    assert owns(first) == []
    assert complete(first.maintain()).unwrap().taken == ()
    assert owns(first) == [] and owns(second) == ["b1"]


def test_renewal_between_look_and_take_stops_the_take():
    world = World()
    first, second = start(world, "i1"), start(world, "i2")
    complete(first.maintain())
    watch(second, TERM_S)
    world.clock.now += 1.0
    complete(second.renew())
    world.table.faults = [lambda: complete(first.renew())]
    assert complete(second.maintain()).unwrap().taken == ()
    complete(first.maintain())
    assert owns(first) == ["b1"] and world.ledger.epoch == 1


def test_row_read_before_the_lease_lapsed_does_not_count_after():
    world = World()
    first = start(world, "i1")
    complete(first.maintain())
    slow = [True]

    def read_slowly(keys):
        rows = world.table.read(keys)
        if slow:
            slow.clear()
            world.clock.now += 2 * TERM_S
            complete(first.renew())
        return rows

    access = first.context.access
    access.table = evolve(access.table, read=read_slowly)
    complete(first.maintain())
    assert owns(first) == []


def test_outage_of_the_table_does_not_lapse_everyone():
    world = World()
    first, second = start(world, "i1"), start(world, "i2")
    complete(first.maintain())
    watch(second, RENEWAL_S)
    world.table.down = True
    world.clock.now += 5 * TERM_S
    world.table.down = False
    complete(second.renew())
    assert complete(second.maintain()).unwrap().taken == ()
    complete(first.renew())
    complete(first.maintain())
    assert owns(first) == ["b1"]


def test_new_run_of_an_instance_waits_for_the_old_one():
    world = World()
    old = start(world, "i1", "1")
    complete(old.maintain())
    new = start(world, "i1", "2")
    assert watch(new, TERM_S) == []
    assert watch(new, 2 * RENEWAL_S) == ["b1"]
    assert complete(old.renew()).failure().fault is LedgerFault.NOT_OWNER
    assert owns(old) == []


def test_lost_answer_of_a_take_is_recognised():
    world = World()
    first = start(world, "i1")
    world.table.faults = ["lost"]
    assert complete(first.maintain()).unwrap().taken == ("b1",)
    assert world.ledger.epoch == 1


def test_drain_hands_over_at_once():
    world = World()
    first, second = start(world, "i1"), start(world, "i2")
    complete(first.own())
    assert complete(
        hand_over(first.context.access, first.context.leases, world.clock, lambda _: True)
    ) == Success(())
    assert complete(second.maintain()).unwrap().taken == ("b1",)
    assert world.ledger.epoch == 2 and world.ledger.former == ()


def test_drain_waits_for_orders_on_their_way():
    world = World()
    first = start(world, "i1")
    complete(first.own())
    answer = complete(
        hand_over(first.context.access, first.context.leases, world.clock, lambda _: False)
    )
    assert answer == Success(("b1",)) and owns(first) == ["b1"]


def test_ownership_moves_to_the_preferred_instance():
    world = World()
    names = ("i1", "i2")
    other = next(name for name in names if choose_owner("b1", names) != name)
    preferred = choose_owner("b1", names)
    first, second = start(world, other), start(world, preferred)
    complete(first.maintain())
    assert complete(first.maintain(names)).unwrap().released == ("b1",)
    assert complete(second.maintain(names)).unwrap().taken == ("b1",)


def test_former_holder_is_forgotten_once_gone():
    world = World()
    first, second = start(world, "i1"), start(world, "i2")
    complete(first.maintain())
    watch(second, 2 * TERM_S)
    assert world.ledger.former == (Holder("i1", "1"),)
    settle_for(second, 2 * TERM_S, {"i1", "i2"})
    assert world.ledger.former == (Holder("i1", "1"),)
    settle_for(second, RENEWAL_S, {"i2"})
    assert world.ledger.former == ()


def settle_for(instance, seconds, listed):
    """Remove former holders each renewal interval for a time."""
    end = instance.world.clock.now + seconds
    while instance.world.clock.now < end:
        complete(instance.renew())
        complete(instance.maintain())
        complete(settle(instance, listed))
        instance.world.clock.now += RENEWAL_S


def settle(instance, listed):
    context = instance.context
    return remove_former_holders(
        context.access, context.leases, instance.world.ledger, frozenset(listed), context.clock
    )


def test_former_run_of_a_listed_instance_is_forgotten_after_a_term():
    world = World()
    first, second = start(world, "i1"), start(world, "i2")
    complete(first.maintain())
    watch(second, 2 * TERM_S)
    third = start(world, "i3")
    complete(release_server(second.context.access, second.context.leases, "b1"))
    assert complete(third.maintain()).unwrap().taken == ("b1",)
    start(world, "i1", "2")
    for _ in range(5):
        complete(settle(third, {"i1", "i2", "i3"}))
        complete(third.renew())
        complete(third.maintain())
        assert world.ledger.former == (Holder("i1", "1"),)
        world.clock.now += RENEWAL_S - 0.5
    complete(settle(third, {"i1", "i2", "i3"}))
    assert world.ledger.former == ()


def test_hashing_spreads_and_moves_little():
    names = [f"i{n}" for n in range(13)]
    before = {f"b{n}": choose_owner(f"b{n}", names) for n in range(600)}
    counts = collections.Counter(before.values())
    assert max(counts.values()) < 2 * 600 / 13
    after = {server: choose_owner(server, names[1:]) for server in before}
    assert all(after[s] == owner for s, owner in before.items() if owner != "i0")


def test_shares_add_up():
    names = tuple(f"i{n}" for n in range(13))
    assert sum(compute_share(50, names, name) for name in names) == 50
    quota = AdapterQuota(50, "i1", names)
    admitted = [quota.admit(str(n)) for n in range(10)]
    assert sum(admitted) == compute_share(50, names, "i1")
    quota.finish("0")
    assert quota.admit("new")


def test_round_tells_the_sessions_that_it_read():
    world = World()
    first, second = start(world, "i1"), start(world, "i2")
    complete(first.maintain())
    assert complete(first.maintain()).unwrap().sessions == ()
    (session,) = complete(second.maintain(ALONE)).unwrap().sessions
    assert (session.holder.instance, session.counter) == ("i1", 1)


def test_server_whose_owner_is_not_preferred_is_owned_again_after_a_lapse():
    """The row still names the owner, which renews, so no other instance could take it over."""
    world = World()
    names = ("i1", "i2")
    preferred = choose_owner("b1", names)
    other = next(name for name in names if name != preferred)
    holder, taker = start(world, other), start(world, preferred)
    complete(holder.maintain(ALONE))
    assert owns(holder) == ["b1"]
    world.clock.now += 2 * TERM_S
    for _ in range(6):
        for instance in (holder, taker):
            complete(instance.renew())
            complete(instance.maintain(names))
        world.clock.now += RENEWAL_S
    assert owns(taker) == ["b1"] and owns(holder) == []
