"""Rows written by other versions are read if possible and otherwise left unchanged."""

import pytest
from attrs import evolve
from returns.result import Failure, Success

from rhubarbshed.coordination.agreement.ownership import decode_session, is_gone, release_server
from rhubarbshed.coordination.agreement.tickets import accept_ticket, find_ticket
from rhubarbshed.coordination.placement.loads import execute_load
from rhubarbshed.coordination.requests.claims import read_claim
from rhubarbshed.coordination.requests.quarantine import (
    IsolatedRunBusy,
    IsolatedRunRow,
    make_isolation_key,
    plan_isolation,
    plan_isolation_release,
)
from rhubarbshed.protocol.catalogue import Model, Ticket
from rhubarbshed.protocol.claims import ClaimRow, ClaimState
from rhubarbshed.protocol.codec import from_plain, pack, to_plain, unpack
from rhubarbshed.protocol.quarantine import QuarantineEntry
from rhubarbshed.protocol.tables import Row
from rhubarbshed.state.agreement.catalogue import Catalogue, decode_object
from rhubarbshed.state.agreement.leases import Holder, Session
from rhubarbshed.state.agreement.snapshots import Snapshot, decode_snapshot, encode_snapshot
from rhubarbshed.state.placement.ledger import Ledger, LedgerFault, decode_ledger, encode_ledger
from rhubarbshed.state.placement.power import PowerUse, ServerPower, decode_power_use
from rhubarbshed.state.placement.weights import Slot, WeightUse, decode_use
from test.helper_agreed import RENEWAL_S, TERM_S, Instance, World, complete, make_spec

HOLDER = Holder("i1", "1")
TICKET = Ticket(1, (Model("m1", "v1", 5),))


def add_keys(plain):
    """Add an unknown key at every level."""
    if isinstance(plain, dict):
        return {"of_a_newer_version": 1, **{name: add_keys(part) for name, part in plain.items()}}
    return [add_keys(part) for part in plain] if isinstance(plain, list | tuple) else plain


def write_row(world, key, value):
    held = world.table.rows.get(key, Row(key, 0))
    world.table.revision += 1
    world.table.rows[key] = Row(key, held.version + 1, value, world.table.revision)


def start(world, name="i1", incarnation="1"):
    instance = Instance.start(world, name, incarnation)
    complete(instance.renew())
    complete(instance.maintain())
    return instance


def break_ledger(world):
    value = {**world.table.rows["backend/b1"].value, "entries": [{"state": "of_a_newer_version"}]}
    write_row(world, "backend/b1", value)


def test_keys_of_a_newer_version_are_passed_over():
    ledger = Ledger("b1", HOLDER, 3)
    power_use = PowerUse((ServerPower("b1", 5.0),))
    use = WeightUse(4, (Slot("l1", "b1"),))
    session = Session(HOLDER, 7)
    claim = ClaimRow(ClaimState.CLAIMED, "d", "i1", "1", "w")
    assert decode_ledger("b1", add_keys(encode_ledger(ledger))) == Success(ledger)
    assert decode_power_use(add_keys(to_plain(power_use))) == Success(power_use)
    assert decode_use(add_keys(to_plain(use))) == Success(use)
    assert decode_session(Row("s", 1, add_keys(to_plain(session)))) == Success(session)
    assert read_claim(Row("c", 1, add_keys(to_plain(claim)))) == claim


def test_input_of_operators_stays_strict():
    assert isinstance(from_plain(add_keys(to_plain(TICKET)), Ticket), Failure)


def test_fields_of_an_older_version_may_be_absent():
    assert decode_ledger("b1", {"backend_server": "b1"}) == Success(Ledger("b1"))
    assert decode_use({}) == Success(WeightUse())


@pytest.mark.parametrize("value", [{}, {"epoch": "x"}, {"entries": 5}, {"owner": "i1"}, 7, "x"])
def test_ledger_that_cannot_be_read_is_an_error_value(value):
    assert decode_ledger("b1", value).failure().fault is LedgerFault.UNREADABLE


def test_snapshot_of_a_newer_version_is_read():
    catalogue = Catalogue()
    world = World()
    complete(accept_ticket(world.make_access(), TICKET, (world.engine.info,), 0.0))
    catalogue.apply_rows(world.table.scan("object/", 0).unwrap().rows, 1)
    stored = unpack(encode_snapshot(catalogue), Snapshot).unwrap()
    newer = pack(add_keys(to_plain(stored)))
    assert decode_snapshot(newer) == Success(stored)


def test_instance_gives_up_a_server_whose_row_it_cannot_read():
    world = World()
    first = start(world)
    break_ledger(world)
    before = world.table.rows["backend/b1"]
    changed = complete(first.maintain()).unwrap()
    assert changed.lost == ("b1",)
    assert first.context.leases.list_owned(world.clock()) == ()
    assert world.table.rows["backend/b1"] == before


def test_nobody_takes_or_releases_a_server_whose_row_it_cannot_read():
    world = World()
    first, second = start(world), start(world, "i2")
    break_ledger(world)
    before = world.table.rows["backend/b1"]
    end = world.clock.now + 3 * TERM_S
    while world.clock.now < end:
        complete(second.renew())
        assert complete(second.maintain(())).unwrap().taken == ()
        world.clock.now += RENEWAL_S
    context = first.context
    released = complete(release_server(context.access, context.leases, "b1"))
    assert released.failure().fault is LedgerFault.UNREADABLE
    assert world.table.rows["backend/b1"] == before


def test_session_that_cannot_be_read_counts_as_alive_while_it_changes():
    """While an unreadable session row changes, its holder counts as alive; then it expires."""
    world = World()
    start(world)
    second = start(world, "i2")
    end = world.clock.now + 3 * TERM_S
    while world.clock.now < end:
        write_row(world, "session/i1", {"holder": "of_a_newer_version"})
        complete(second.renew())
        assert complete(second.maintain(())).unwrap().taken == ()
        world.clock.now += RENEWAL_S
    leases = second.context.leases
    row = world.table.rows["session/i1"]
    assert not is_gone(leases, HOLDER, row, frozenset({"i1"}), world.clock.now)
    taken = ()
    for _ in range(6):
        complete(second.renew())
        taken += complete(second.maintain(())).unwrap().taken
        world.clock.now += RENEWAL_S
    assert taken == ("b1",)


def test_first_renewal_takes_the_place_of_an_unreadable_session():
    world = World()
    write_row(world, "session/i1", {"holder": 5})
    first = start(world)
    assert first.context.leases.is_held(world.clock.now)
    write_row(world, "session/i1", {"holder": 5})
    assert isinstance(complete(first.renew()), Failure)
    assert not first.context.leases.is_held(world.clock.now)


def test_ticket_is_refused_while_an_object_cannot_be_read():
    world = World()
    servers = (world.engine.info,)
    write_row(world, "object/model/m9", {"key": {"kind": "of_a_newer_version"}})
    write_row(world, "ticket/head", {"number": 1})
    refused = complete(accept_ticket(world.make_access(), evolve(TICKET, number=2), servers, 0.0))
    assert refused.failure().code == "row_unreadable"
    assert refused.failure().retryable
    assert "object/model/m1" not in world.table.rows


def test_receipt_that_cannot_be_read_is_an_error_value():
    world = World()
    write_row(world, "ticket/1", {"receipt": {"number": "x"}})
    found = complete(find_ticket(world.make_access(), 1))
    assert found.failure().code == "row_unreadable"
    asked = complete(accept_ticket(world.make_access(), TICKET, (world.engine.info,), 0.0))
    assert asked.failure().code == "row_unreadable"


def test_object_that_cannot_be_read_leaves_the_one_held():
    catalogue = Catalogue()
    world = World()
    complete(accept_ticket(world.make_access(), TICKET, (world.engine.info,), 0.0))
    row = world.table.rows["object/model/m1"]
    catalogue.apply_rows((row,), 1)
    broken = evolve(row, value={**row.value, "ticket": "x"})
    assert isinstance(decode_object(broken), Failure)
    assert catalogue.apply_rows((broken,), 2) == ()
    assert catalogue.get_model("m1") is not None and catalogue.revision == 2


def test_load_is_refused_where_weights_or_floor_cannot_be_read():
    for key in ("weights", "floor/dc-1"):
        world = World(power_watts_max=1000.0)
        first = start(world)
        complete(first.reconcile(3))
        write_row(world, key, {"slots": 5, "servers": 5})
        refused = complete(
            execute_load(first.context, world.budget, make_spec("m1", 10, power_watts=1.0))
        )
        assert refused.failure().fault is LedgerFault.UNREADABLE
        assert world.ledger.entries == ()


def test_refusal_that_cannot_be_read_is_not_written_over():
    known = QuarantineEntry("f")
    row = Row(
        make_isolation_key("f"), 3, {"entry": {"refused": True, "fingerprint": 5, "crashes": 5}}
    )
    wanted = IsolatedRunRow(known, "i1", "1", "w1")
    assert plan_isolation(known, row, wanted, False, 2) == IsolatedRunBusy()
    assert plan_isolation_release(known, row, "w1") is None
