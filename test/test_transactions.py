"""Tests of transactions on the table service."""

import asyncio

from returns.result import Failure, Success

from rhubarbshed.coordination.agreement.transactions import Proposal, transact
from rhubarbshed.protocol.tables import TableFault, Write
from test.helper_agreed import World, complete


def add_one(rows):
    count = (rows.get("count").value or {"n": 0})["n"] + 1
    return Success(Proposal(count, (Write("count", {"n": count}),)))


def run(world):
    return complete(transact(world.make_access(), ("count",), add_one))


def count(world):
    return world.table.rows["count"].value["n"]


def test_commits_once():
    world = World()
    assert run(world) == Success(1)
    assert (world.table.reads, world.table.commits) == (1, 1)


def test_lost_answer_is_recognised():
    world = World()
    world.table.faults = ["lost"]
    assert run(world) == Success(1)
    assert count(world) == 1


def test_late_write_takes_effect_once():
    world = World()
    world.table.faults = ["late", "late"]
    assert run(world) == Success(1)
    world.table.deliver()
    assert count(world) == 1


def test_conflict_is_planned_again():
    world = World()
    world.table.faults = [lambda: run(world)]
    assert run(world) == Success(2)
    assert count(world) == 2


def test_lost_answer_then_other_write_is_not_taken_for_own():
    world = World()
    world.table.faults = ["late", lambda: run(world)]
    assert run(world) == Success(2)
    world.table.deliver()
    assert count(world) == 2


def test_table_down_is_told_at_once():
    world = World()
    world.table.down = True
    failed = run(world)
    assert failed.failure().fault is TableFault.UNAVAILABLE
    assert world.table.reads == 1


def test_down_after_lost_answer_stays_unknown():
    world = World()

    def go_down():
        world.table.down = True

    world.table.faults = ["lost"]
    access = world.make_access()
    access.sleep = lambda _: asyncio.sleep(0, go_down())
    failed = complete(transact(access, ("count",), add_one))
    assert failed.failure().fault is TableFault.UNKNOWN


def test_plan_error_is_given_back():
    world = World()
    answer = complete(transact(world.make_access(), ("count",), lambda _: Failure("no")))
    assert answer == Failure("no")
