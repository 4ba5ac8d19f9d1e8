"""Tests of tickets, the catalogue and its snapshots."""

import itertools

import pytest
from attrs import evolve
from returns.result import Failure, Success

from rhubarbshed.coordination.agreement.catalogues import (
    load_snapshot,
    refresh_catalogue,
    store_snapshot,
)
from rhubarbshed.coordination.agreement.tickets import accept_ticket, compute_digest
from rhubarbshed.protocol.catalogue import Adapter, Model, ObjectKey, Service, Ticket
from rhubarbshed.protocol.errors import Outcome
from rhubarbshed.protocol.platform import ObjectClient
from rhubarbshed.state.agreement.catalogue import Catalogue
from rhubarbshed.state.agreement.snapshots import apply_snapshot, decode_snapshot, encode_snapshot
from test.helper_agreed import World, complete, make_server

SERVERS = (make_server("b1"), make_server("b2"))
M1 = Model("m1", "v1", 60)
M2 = Model("m2", "v1", 60)


def accept(world, ticket, power=0.0):
    return complete(accept_ticket(world.make_access(), ticket, SERVERS, power))


def refresh(world, catalogue):
    complete(refresh_catalogue(world.make_access(), catalogue)).unwrap()
    return catalogue


def test_accepted_ticket_is_in_force():
    world = World()
    assert accept(world, Ticket(1, (M1, Adapter("a", "m1", "v1", 5)))).unwrap().number == 1
    catalogue = refresh(world, Catalogue())
    assert catalogue.get_model("m1") == M1
    assert [a.name for a in catalogue.group_adapters()["m1"]] == ["a"]
    assert catalogue.head == 1


def test_cost_of_a_ticket():
    world = World()
    accept(world, Ticket(1, (M1,)))
    assert (world.table.reads, world.table.scans, world.table.commits) == (1, 1, 1)


def test_same_ticket_again_gives_first_answer():
    world = World()
    first = accept(world, Ticket(1, (M1, M2)))
    revision = world.table.revision
    assert accept(world, Ticket(1, (M2, M1))) == first
    assert world.table.revision == revision


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_lost_answer_of_a_ticket(fault):
    world = World()
    world.table.faults = [fault]
    assert accept(world, Ticket(1, (M1,))).unwrap().digest == compute_digest(Ticket(1, (M1,)))
    world.table.deliver()
    assert world.table.revision == 1


def test_same_ticket_put_in_force_between_read_and_scan():
    world = World()
    first = []

    def scan(prefix, revision):
        if not first:
            first.append(None)
            first.append(accept(world, Ticket(1, (M1,))))
        return world.table.scan(prefix, revision)

    access = world.make_access()
    access.table = evolve(access.table, scan=scan)
    assert complete(accept_ticket(access, Ticket(1, (M1,)), SERVERS, 0.0)) == first[1]


def test_same_number_with_other_content_is_refused():
    world = World()
    accept(world, Ticket(1, (M1,)))
    error = accept(world, Ticket(1, (M2,))).failure()
    assert error.status == 409 and "ticket 1" in error.message and "m1" in error.message


def test_lower_number_for_the_same_object_is_refused():
    world = World()
    accept(world, Ticket(5, (M1,)))
    error = accept(world, Ticket(4, (Model("m1", "v0", 60),))).failure()
    assert error.status == 409 and "ticket 5" in error.message and "m1" in error.message
    assert accept(world, Ticket(4, (M2,))).unwrap().number == 4
    assert refresh(world, Catalogue()).head == 5


def test_racing_tickets_cannot_exceed_the_floor_together():
    world = World()
    big = tuple(Model(f"b{n}", "v1", 90) for n in range(3))
    accept(world, Ticket(1, (big[0],)))
    world.table.faults = [lambda: accept(world, Ticket(2, (big[1],)))]
    error = accept(world, Ticket(3, (big[2],))).failure()
    assert error.code == "floor_exceeded" and "270" in error.message and "200" in error.message
    assert refresh(world, Catalogue()).get_model("b2") is None


def test_racing_tickets_for_one_object_have_one_winner():
    world = World()
    world.table.faults = [lambda: accept(world, Ticket(3, (Model("m1", "v3", 60),)))]
    error = accept(world, Ticket(2, (Model("m1", "v2", 60),))).failure()
    assert error.status == 409 and "ticket 3" in error.message
    assert refresh(world, Catalogue()).get_model("m1").version == "v3"


@pytest.mark.parametrize(
    ("ticket", "place"),
    [
        (Ticket(0, (M1,)), "number"),
        (Ticket(1), "objects"),
        (Ticket(1, (M1, M1)), "objects"),
        (Ticket(1, (Model("m1", "v1", 0),)), "objects[0].memory_bytes"),
        (Ticket(1, (Model("m1", "v1", 1, float("nan")),)), "objects[0].power_watts"),
        (Ticket(1, (M1, Adapter("a", "m9", "v1", 1))), "objects[1].model"),
        (Ticket(1, (Service("", ()),)), "objects[0].name"),
        (Ticket(1, (), (ObjectKey("thing", "x"),)), "deletions[0].kind"),
    ],
)
def test_bad_input_names_the_field(ticket, place):
    error = accept(World(), ticket).failure()
    assert (error.status, error.field) == (422, place)


def test_model_with_adapters_cannot_be_deleted_alone():
    world = World()
    accept(world, Ticket(1, (M1, Adapter("a", "m1", "v1", 1))))
    key = ObjectKey("model", "m1")
    assert accept(world, Ticket(2, (), (key,))).failure().field == "deletions"
    assert isinstance(accept(world, Ticket(2, (), (key, ObjectKey("adapter", "a")))), Success)


def test_floor_counts_adapters_packing_and_power():
    world = World()
    adapter = Adapter("a", "m1", "v1", 50)
    assert "m1" in accept(world, Ticket(1, (M1, adapter))).failure().message
    three = tuple(Model(f"m{n}", "v1", 60) for n in range(3))
    assert accept(world, Ticket(1, three)).failure().code == "floor_exceeded"
    hot = (Model("m1", "v1", 10, 300.0), Model("m2", "v1", 10, 300.0))
    assert "watts" in accept(world, Ticket(1, hot), 500.0).failure().message
    assert isinstance(accept(world, Ticket(1, hot), 600.0), Success)


def test_floor_keeps_to_the_part_that_may_be_filled():
    two = tuple(Model(f"m{n}", "v1", 98) for n in range(2))
    assert isinstance(accept(World(), Ticket(1, two)), Success)
    access = World().make_access()
    error = complete(accept_ticket(access, Ticket(1, two), SERVERS, 0.0, 0.95)).failure()
    assert "196" in error.message and "190" in error.message


def test_table_down_is_not_run():
    world = World()
    world.table.down = True
    error = accept(world, Ticket(1, (M1,))).failure()
    assert (error.status, error.outcome) == (503, Outcome.NOT_RUN)
    assert error.retry_after_s > 0


def test_lost_for_good_is_unknown():
    world = World()
    world.table.faults = ["late"] * 20
    error = accept(world, Ticket(1, (M1,))).failure()
    assert (error.status, error.outcome) == (503, Outcome.UNKNOWN)


def test_old_and_crossed_copies_change_nothing():
    world = World()
    copies = []
    for number in (1, 2, 3):
        accept(world, Ticket(number, (Model("m1", f"v{number}", 10),)))
        copies.append(encode_snapshot(refresh(world, Catalogue())))
    accept(world, Ticket(4, (M2,), (ObjectKey("model", "m1"),)))
    copies.append(encode_snapshot(refresh(world, Catalogue())))
    for order in itertools.permutations(copies):
        catalogue = Catalogue()
        for copy in order:
            apply_snapshot(catalogue, decode_snapshot(copy).unwrap())
        assert catalogue.get_model("m1") is None
        assert catalogue.get_model("m2") == M2
        assert encode_snapshot(catalogue) == copies[-1]


def test_digest_tells_a_lower_ticket_that_came_later():
    world = World()
    accept(world, Ticket(7, (M1,)))
    catalogue = refresh(world, Catalogue())
    before = catalogue.compute_digest()
    accept(world, Ticket(5, (M2,)))
    assert refresh(world, catalogue).head == 7
    assert catalogue.compute_digest() != before


def test_snapshot_in_the_object_store():
    world, stored = World(), {}
    objects = ObjectClient(lambda key: Success(stored.get(key)), make_put(stored))
    access = world.make_access()
    assert complete(load_snapshot(access, objects, Catalogue())) == Success(())
    accept(world, Ticket(1, (M1,)))
    full = refresh(world, Catalogue())
    complete(store_snapshot(access, objects, full)).unwrap()
    world.table.down = True
    started = Catalogue()
    complete(load_snapshot(access, objects, started)).unwrap()
    assert started == full


def make_put(stored):
    def put(key, data):
        stored[key] = data
        return Success(None)

    return put


def test_bad_snapshot_is_told():
    assert isinstance(decode_snapshot(b"\xc1"), Failure)
