"""Tests of loads and unloads and their memory ledger."""

import itertools

import pytest
from attrs import evolve
from returns.result import Failure, Success

from rhubarbshed.coordination.placement.loads import execute_load, execute_unload
from rhubarbshed.coordination.placement.reconciliation import clear_ledger, reconcile_server
from rhubarbshed.protocol.catalogue import Adapter, CatalogueObject, Model, get_key
from rhubarbshed.protocol.orders import OrderFault, OrderKind
from rhubarbshed.protocol.tables import Row
from rhubarbshed.state.agreement.catalogue import encode_object, make_object_key
from rhubarbshed.state.agreement.leases import Holder
from rhubarbshed.state.placement.ledger import (
    Copies,
    EntryState,
    LedgerFault,
    begin_unload,
    encode_ledger,
)
from rhubarbshed.state.placement.moves import ORDER_LIFETIME_S
from rhubarbshed.state.placement.power import decode_power_use
from rhubarbshed.state.placement.weights import decode_use
from test.helper_agreed import (
    MEMORY_BYTES,
    RENEWAL_S,
    TERM_S,
    Instance,
    KilledError,
    World,
    complete,
    make_server,
    make_spec,
)

CLOCK_ERROR_S = 1e-6
A, B = make_spec("a", 60), make_spec("b", 60)
BOTH_KINDS = pytest.mark.parametrize("checks", [True, False])


def make_world(checks=True, **changes):
    return World.from_server(make_server(checks_fencing=checks), **changes)


def start(world, name):
    instance = Instance.start(world, name)
    complete(instance.own())
    return instance


@pytest.fixture
def checks():
    return True


@pytest.fixture
def world(checks):
    return make_world(checks)


@pytest.fixture
def first(world):
    return start(world, "i1")


def load(instance, spec):
    tick(instance)
    return complete(execute_load(instance.context, instance.world.budget, spec))


def unload(instance, spec):
    return complete(execute_unload(instance.context, instance.world.budget, spec.key))


def reconcile(instance, rounds=4):
    for _ in range(rounds):
        tick(instance)
        answer = complete(instance.reconcile())
    return answer


def tick(instance):
    """Advance the clock by one second and renew the lease if it expires soon."""
    instance.world.clock.now += 1.0
    if instance.context.leases.held_until - instance.world.clock.now < RENEWAL_S:
        complete(instance.renew())
        complete(instance.maintain())


def succeed(world, name):
    """Start an instance and wait until it takes over from one that no longer renews its lease."""
    instance = Instance.start(world, name)
    end = world.clock.now + TERM_S + 2 * RENEWAL_S
    while world.clock.now < end:
        complete(instance.renew())
        complete(instance.maintain())
        world.clock.now += RENEWAL_S
    complete(instance.renew())
    complete(instance.maintain())
    assert instance.context.leases.list_owned(world.clock())
    return instance


def states(world):
    return {entry.key.name: entry.state for entry in world.ledger.entries}


def slots(world):
    row = world.table.rows.get("weights")
    return decode_use(None if row is None else row.value).unwrap().slots


def check_agreed(world):
    """Check that the engine never exceeded its memory and the ledger lists all it holds."""
    assert world.engine.peak <= MEMORY_BYTES
    resident = {entry.key for entry in world.ledger.entries}
    assert set(world.engine.resident) <= resident


@BOTH_KINDS
def test_load_and_unload(world, first):
    assert isinstance(load(first, A), Success)
    assert states(world) == {"a": EntryState.RESIDENT} and slots(world) == ()
    assert load(first, B).failure().fault is LedgerFault.MEMORY
    assert isinstance(unload(first, A), Success)
    assert isinstance(load(first, B), Success)
    check_agreed(world)


def test_cost_of_a_load(world, first):
    reads, commits = world.table.reads, world.table.commits
    load(first, A)
    assert (world.table.reads - reads, world.table.commits - commits) == (2, 2)
    reads, commits = world.table.reads, world.table.commits
    complete(first.reconcile(3))
    assert (world.table.reads - reads, world.table.commits - commits) == (0, 0)


@BOTH_KINDS
@pytest.mark.parametrize("fault", ["lost", "late"])
def test_load_in_doubt_keeps_its_bytes_until_confirmed(checks, fault):
    world = make_world(checks)
    first = start(world, "i1")
    world.engine.faults = [fault]
    assert load(first, A).failure().fault is LedgerFault.ORDER
    assert load(first, B).failure().fault is LedgerFault.MEMORY
    reconcile(first)
    assert states(world) == {"a": EntryState.RESIDENT} and world.engine.loads == 1
    world.engine.deliver()
    assert world.engine.loads == 1
    check_agreed(world)


@BOTH_KINDS
def test_unload_in_doubt_keeps_its_bytes_until_confirmed(world, first):
    load(first, A)
    world.engine.faults = ["late"]
    unload(first, A)
    assert states(world) == {"a": EntryState.UNLOADING}
    assert load(first, B).failure().fault is LedgerFault.MEMORY
    reconcile(first)
    assert states(world) == {}
    assert isinstance(load(first, A), Success)
    world.engine.deliver()
    assert A.key in world.engine.resident
    check_agreed(world)


@pytest.mark.parametrize("fault", [OrderFault.REFUSED, OrderFault.UNAVAILABLE])
def test_load_that_never_ran_frees_its_bytes(fault, world, first):
    world.engine.faults = [fault]
    assert load(first, A).failure().fault is LedgerFault.ORDER
    assert states(world) == {} and slots(world) == ()


def test_table_down_sends_no_order(world, first):
    sent = len(world.engine.orders)
    world.table.down = True
    assert load(first, A).failure().fault is LedgerFault.TABLE
    assert len(world.engine.orders) == sent


def test_lost_settlement_is_made_up_for(world, first):
    def go_down():
        world.table.down = True

    world.engine.faults = [go_down]
    assert load(first, A).failure().fault is LedgerFault.TABLE
    world.table.down = False
    reconcile(first)
    assert states(world) == {"a": EntryState.RESIDENT} and world.engine.loads == 1


def test_late_intent_is_found(world, first):
    world.table.faults = ["late"] * 20
    assert load(first, A).failure().fault is LedgerFault.TABLE
    world.table.faults = []
    world.table.deliver()
    complete(first.maintain())
    reconcile(first)
    assert states(world) == {"a": EntryState.RESIDENT}
    check_agreed(world)


@BOTH_KINDS
@pytest.mark.parametrize("steps", range(6))
def test_kill_at_each_step_of_a_load(checks, steps):
    world = make_world(checks)
    first = start(world, "i1")
    first.steps_left = steps
    if steps < 5:
        with pytest.raises(KilledError):
            load(first, A)
    else:
        load(first, A)
    second = succeed(world, "i2")
    reconcile(second, 6)
    expected = {} if steps < 2 else {"a": EntryState.RESIDENT}
    assert states(world) == expected and slots(world) == ()
    assert world.engine.loads == len(expected)
    check_agreed(world)


@BOTH_KINDS
@pytest.mark.parametrize("steps", range(5))
def test_kill_at_each_step_of_an_unload(checks, steps):
    world = make_world(checks)
    first = start(world, "i1")
    load(first, A)
    first.steps_left = steps
    with pytest.raises(KilledError):
        unload(first, A)
    second = succeed(world, "i2")
    reconcile(second, 6)
    assert states(world) == ({"a": EntryState.RESIDENT} if steps < 2 else {})
    assert isinstance(load(second, B), Success if steps >= 2 else Failure)
    check_agreed(world)


@BOTH_KINDS
def test_holder_frozen_between_intent_and_order(checks, world, first):
    world.engine.faults = ["late"]
    load(first, A)
    second = succeed(world, "i2")
    reconcile(second, 6)
    assert states(world) == {"a": EntryState.RESIDENT}
    if checks:
        assert isinstance(unload(second, A), Success)
        assert isinstance(load(second, B), Success)
    world.engine.deliver()
    assert world.engine.loads == (2 if checks else 1)
    check_agreed(world)


def test_frozen_holder_does_not_send_past_its_lease(world, first):
    def freeze():
        world.clock.now += 2 * TERM_S

    world.table.faults = [freeze]
    sent = len(world.engine.orders)
    assert isinstance(load(first, A), Failure)
    assert len(world.engine.orders) == sent


def test_pinned_until_the_former_holder_is_gone():
    world = make_world(checks=False)
    first = start(world, "i1")
    world.engine.faults = ["late"]
    load(first, A)
    second = succeed(world, "i2")
    reconcile(second, 6)
    assert unload(second, A).failure().fault is LedgerFault.PINNED
    assert load(second, B).failure().fault is LedgerFault.MEMORY
    assert world.ledger.former == (Holder("i1", "1"),)


def test_own_load_in_doubt_is_pinned_for_an_orders_longest_time():
    world = make_world(checks=False)
    first = start(world, "i1")
    world.engine.faults = ["late"]
    load(first, A)
    reconcile(first, 2)
    assert unload(first, A).failure().fault is LedgerFault.PINNED
    reconcile(first, int(ORDER_LIFETIME_S))
    assert isinstance(unload(first, A), Success)


@BOTH_KINDS
def test_server_restart_loads_all_again(world, first):
    load(first, A)
    world.engine.restart()
    reconcile(first, 1)
    assert load(first, make_spec("c", 40)).failure().fault in (
        LedgerFault.UNPROVED,
        LedgerFault.MEMORY,
    )
    reconcile(first, 8)
    assert A.key in world.engine.resident
    assert states(world) == {"a": EntryState.RESIDENT} and slots(world) == ()
    check_agreed(world)


def test_late_order_after_a_restart_is_found_and_unloaded(world, first):
    world.engine.faults = ["late"]
    load(first, A)
    reconcile(first, 2)
    world.engine.late, late = [], world.engine.late
    unload(first, A)
    world.engine.restart()
    world.engine.token = 0
    world.engine.late = late
    world.engine.deliver()
    reconcile(first, 8)
    assert states(world) == {} and world.engine.resident == {}
    assert isinstance(load(first, B), Success)
    check_agreed(world)


def test_doubtful_load_is_voided_before_its_unload(world, first):
    world.engine.faults = ["late"]
    load(first, A)
    reconcile(first, 3)
    epoch = world.ledger.epoch
    assert isinstance(unload(first, A), Success)
    assert world.ledger.epoch == epoch + 1
    world.engine.restart()
    world.engine.deliver()
    assert world.engine.resident == {}


def test_load_that_is_always_refused_can_be_given_up(world, first):
    world.engine.faults = ["late", OrderFault.REFUSED, OrderFault.REFUSED]
    load(first, A)
    reconcile(first, 2)
    assert states(world) == {"a": EntryState.LOADING}
    assert isinstance(unload(first, A), Success)
    world.engine.deliver()
    assert states(world) == {} and world.engine.resident == {}
    reconcile(first, 2)
    assert isinstance(load(first, B), Success)
    check_agreed(world)


def count_loads(world):
    return sum(order.kind is OrderKind.LOAD for order in world.engine.orders)


def test_load_on_its_way_is_not_sent_again(world, first):
    world.engine.faults = [lambda: reconcile(first, 2)]
    assert isinstance(load(first, A), Success)
    assert count_loads(world) == 1


def test_load_being_cancelled_is_not_sent_again(world, first):
    world.engine.faults = [OrderFault.REFUSED]
    world.table.faults = [None, lambda: reconcile(first, 2)]
    load(first, A)
    assert count_loads(world) == 1 and states(world) == {}


def test_unload_does_not_cross_a_load_sent_again(world, first):
    load(first, A)
    world.engine.restart()
    reconcile(first, 1)
    answers = []
    world.engine.faults = [None, lambda: answers.append(unload(first, A))]
    reconcile(first, 2)
    assert count_loads(world) == 2
    assert answers[0].failure().fault is LedgerFault.BUSY


def test_load_is_not_sent_again_while_its_unload_begins(world, first):
    load(first, A)
    world.engine.restart()
    reconcile(first, 1)
    first.context.moves.servers["b1"].enforced_epoch = world.ledger.epoch
    first.context.moves.servers["b1"].verified_epoch = world.ledger.epoch
    world.table.faults = [lambda: reconcile(first, 1)]
    assert isinstance(unload(first, A), Success)
    assert count_loads(world) == 1 and world.engine.resident == {}


def test_reload_waits_until_a_stray_is_unloaded(world, first):
    world.engine.faults = ["late"]
    load(first, A)
    reconcile(first, 3)
    unload(first, A)
    reconcile(first, 2)
    assert isinstance(load(first, B), Success)
    world.engine.restart()
    world.engine.token = 0
    world.engine.deliver()
    reconcile(first, 8)
    assert set(world.engine.resident) == {B.key}
    check_agreed(world)


def test_settlement_does_not_outlive_its_epoch(world, first):
    plain = first.context

    def send_then_restart(info, order):
        answer = world.engine.send(info, order)
        world.engine.restart()
        first.context = plain
        reconcile(first, 1)
        return answer

    first.context = evolve(plain, engine=evolve(plain.engine, send_order=send_then_restart))
    assert load(first, A).failure().fault is LedgerFault.NOT_OWNER
    assert states(world) == {"a": EntryState.LOADING}
    reconcile(first, 5)
    assert A.key in world.engine.resident and states(world) == {"a": EntryState.RESIDENT}


def test_lost_model_is_loaded_again(world, first):
    load(first, A)
    world.engine.resident.clear()
    reconcile(first, 4)
    assert A.key in world.engine.resident and states(world) == {"a": EntryState.RESIDENT}


def test_old_report_corrects_nothing(world, first):
    old = world.engine.report(age_s=5.0)
    load(first, A)
    world.clock.now += 1.0
    complete(reconcile_server(first.context, world.budget, old, world.clock()))
    assert states(world) == {"a": EntryState.RESIDENT}


def test_adapter_needs_its_model_and_goes_first(world, first):
    adapter = make_spec("x", 5, model="a")
    assert load(first, adapter).failure().fault is LedgerFault.ABSENT
    load(first, A)
    assert isinstance(load(first, adapter), Success)
    assert unload(first, A).failure().fault is LedgerFault.BUSY
    assert isinstance(unload(first, adapter), Success)
    assert isinstance(unload(first, A), Success)
    kinds = [order.kind for order in world.engine.orders]
    assert OrderKind.LOAD_ADAPTER in kinds and OrderKind.UNLOAD_ADAPTER in kinds


def test_power_of_the_floor_bounds_loads():
    world = make_world(power_watts_max=500.0)
    first = start(world, "i1")
    assert isinstance(load(first, make_spec("a", 10, 300.0)), Success)
    assert load(first, make_spec("b", 10, 300.0)).failure().fault is LedgerFault.POWER
    unload(first, make_spec("a", 10))
    assert decode_power_use(world.table.rows["floor/dc-1"].value).unwrap().power_watts == 0
    assert isinstance(load(first, make_spec("b", 10, 300.0)), Success)


def test_weight_store_slots_and_rate(world, first):
    world.engine.faults = ["late"] * 6
    faults = [load(first, make_spec(f"m{n}", 1)).failure().fault for n in range(7)]
    assert faults == [LedgerFault.ORDER] * 6 + [LedgerFault.SLOTS]
    reconcile(first, 12)
    assert slots(world) == ()
    assert isinstance(load(first, make_spec("n1", 1)), Success)
    granted_at = world.clock.now
    assert isinstance(complete(execute_load(first.context, world.budget, B)), Success)
    assert world.clock.now >= granted_at + 1 / 1.5


def test_instances_share_the_rate_of_the_weight_store():
    world = make_world()
    other = World.from_server(make_server("b2"), table=world.table, clock=world.clock)
    other.ids = world.ids
    first, second = start(world, "i1"), Instance.start(other, "i2")
    complete(second.renew())
    complete(second.maintain(servers=("b2",)))
    complete(second.reconcile(3))
    granted_at = []
    for instance, name in ((first, "m1"), (second, "m2"), (first, "m3"), (second, "m4")):
        loaded = complete(execute_load(instance.context, instance.world.budget, make_spec(name, 1)))
        assert isinstance(loaded, Success)
        granted_at.append(world.clock.now)
    gaps = [late - soon for soon, late in itertools.pairwise(granted_at)]
    assert min(gaps) >= 1 / 1.5 - CLOCK_ERROR_S


def test_gone_server_frees_slots_and_power():
    world = make_world(power_watts_max=500.0)
    first = start(world, "i1")
    world.engine.faults = ["late"]
    load(first, make_spec("a", 10, 300.0))
    assert len(slots(world)) == 1
    complete(clear_ledger(first.context.access, world.budget))
    assert slots(world) == () and world.ledger.entries == ()
    assert decode_power_use(world.table.rows["floor/dc-1"].value).unwrap().power_watts == 0


def test_unload_is_refused_once_the_server_it_relies_on_gives_up_its_copy():
    world = World()
    instance = Instance.start(world, "i1")
    complete(instance.own())
    spec = make_spec("a", 60)
    complete(execute_load(instance.context, world.budget, spec)).unwrap()
    held = world.table.rows["backend/b1"]

    def ask():
        context, budget = instance.context, world.budget
        return complete(execute_unload(context, budget, spec.key, relies_on="b2"))

    assert ask().failure().fault is LedgerFault.LAST_COPY
    leaving = begin_unload(world.ledger, spec.key, "u", True, Copies(False, True, False)).unwrap()
    world.table.rows["backend/b2"] = evolve(held, key="backend/b2", value=encode_ledger(leaving))
    assert ask().failure().fault is LedgerFault.LAST_COPY
    world.table.rows["backend/b2"] = evolve(held, key="backend/b2")
    assert spec.key in world.engine.resident
    assert isinstance(ask(), Success)
    assert not world.engine.resident


def test_of_two_unloads_that_rely_on_each_other_one_is_refused():
    world = World()
    instance = Instance.start(world, "i1")
    complete(instance.own())
    spec = make_spec("a", 60)
    complete(execute_load(instance.context, world.budget, spec)).unwrap()
    held = evolve(world.table.rows["backend/b1"], key="backend/b2")
    world.table.rows["backend/b2"] = held
    leaving = begin_unload(world.ledger, spec.key, "u", True, Copies(False, True, False)).unwrap()
    gone = evolve(held, version=held.version + 1, value=encode_ledger(leaving))
    world.table.faults.append(lambda: world.table.rows.update({"backend/b2": gone}))
    asked = complete(execute_unload(instance.context, world.budget, spec.key, relies_on="b2"))
    assert asked.failure().fault is LedgerFault.LAST_COPY
    assert spec.key in world.engine.resident


def write_object(world, body, ticket, deleted=False):
    """Write an object or its tombstone to the table's catalogue."""
    thing = CatalogueObject(get_key(body), ticket, None if deleted else body)
    key = make_object_key(thing.key)
    world.table.rows[key] = Row(key, ticket, encode_object(thing), ticket)


def test_model_created_again_is_not_unloaded_by_an_owner_that_knows_it_as_deleted(world, first):
    load(first, A)
    model = Model("a", "v2", 60)
    write_object(world, model, 2, deleted=True)
    world.table.faults.append(lambda: write_object(world, model, 3))
    assert unload(first, A).failure().fault is LedgerFault.LAST_COPY
    assert states(world) == {"a": EntryState.RESIDENT}
    assert A.key in world.engine.resident
    write_object(world, model, 4, deleted=True)
    assert isinstance(unload(first, A), Success)


def test_adapter_created_again_is_not_unloaded_either(world, first):
    adapter = make_spec("x", 5, model="a")
    load(first, A)
    load(first, adapter)
    write_object(world, Adapter("x", "a", "v2", 5), 3)
    assert unload(first, adapter).failure().fault is LedgerFault.LAST_COPY
    write_object(world, Adapter("x", "a", "v2", 5), 4, deleted=True)
    assert isinstance(unload(first, adapter), Success)


def test_unload_without_another_copy_waits_while_the_object_cannot_be_read(world, first):
    load(first, A)
    world.table.rows["object/model/a"] = Row("object/model/a", 1, {"of": "a later version"}, 1)
    assert unload(first, A).failure().fault is LedgerFault.UNREADABLE
    assert A.key in world.engine.resident


def test_a_copy_is_not_its_own_other_copy(world, first):
    load(first, A)
    context, budget = first.context, world.budget
    asked = complete(execute_unload(context, budget, A.key, relies_on="b1"))
    assert asked.failure().fault is LedgerFault.LAST_COPY
