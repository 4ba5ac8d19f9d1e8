"""Tests that old rows are removed and needed ones stay, and of how age is determined."""

import asyncio

import pytest
from attrs import define, evolve, field
from returns.result import Failure, Success

from rhubarbshed.coordination.agreement.ownership import make_session_key
from rhubarbshed.coordination.agreement.retention import (
    CLAIM_PARTITIONS,
    MARKS_KEY,
    PARTITIONS,
    choose_partition,
    decode_marks,
    remove_rows,
    run_retention_step,
)
from rhubarbshed.coordination.agreement.transactions import TableAccess
from rhubarbshed.protocol.claims import ClaimRow, ClaimState
from rhubarbshed.protocol.codec import to_plain
from rhubarbshed.protocol.tables import Transaction, Write
from rhubarbshed.state.agreement.leases import Holder, Session
from rhubarbshed.state.agreement.retention import (
    MARK_INTERVAL_S,
    MARKS_MAX,
    Retention,
    RetentionMarks,
)
from rhubarbshed.util.settings import RETENTION_MAX_S, Settings
from test.helper_agreed import FakeClock, FakeTable

SETTINGS = Settings.from_text("[retention]\nclaim_s = 86400\nrows_max = 3").unwrap()
STEP_S = 30.0
DAY_S = 86_400.0
CLAIM_KEY = "claim/a7c0/ffee"
SOLO_KEY = "quarantine/f00d"
CLAIM = ClaimRow(ClaimState.DONE, "digest", "i7", "x1", "w1")


@define
class World:
    """One instance that removes rows, with a table and a clock; `needed` may still return."""

    table: FakeTable = field(factory=FakeTable)
    clock: FakeClock = field(factory=FakeClock)
    retention: Retention = field(factory=Retention)
    needed: set[str] = field(factory=set)

    def write(self, key: str, value: object) -> None:
        plain = None if value is None else to_plain(value)
        self.table.apply(Transaction((), (Write(key, plain),)))

    def has(self, key: str) -> bool:
        return key in self.table.rows and self.table.rows[key].value is not None

    def step(self):
        return asyncio.run(self._step())

    async def _step(self):
        access = TableAccess(self.table.make_client(), run_here, sleep=self.clock.sleep)
        return await run_retention_step(
            access,
            self.retention,
            SETTINGS.retention,
            SETTINGS.quarantine,
            self.needed.__contains__,
            self.clock,
        )

    def pass_time(self, seconds: float) -> None:
        """Run steps for a time; the rest of a round is skipped to keep the test short."""
        ends_at = self.clock.now + seconds
        while self.clock.now < ends_at:
            self.clock.now += STEP_S
            self.step()

    def take_round(self) -> None:
        """Scan every partition at least once."""
        for _ in range(2 * PARTITIONS):
            self.step()


async def run_here(call, *arguments):
    return call(*arguments)


def make_solo(instance: str = "") -> dict:
    entry = {"fingerprint": "f00d", "crashes": [], "alone": [], "cleared": [], "refused": True}
    return {"entry": entry, "instance": instance, "incarnation": "", "write_id": "", "lost_runs": 0}


def make_world() -> World:
    """Make a world with an old row of each kind and marks that show more than a day since."""
    world = World()
    world.write(CLAIM_KEY, CLAIM)
    world.write(make_session_key("i7"), Session(Holder("i7", "x1"), 5, False))
    world.table.apply(Transaction((), (Write(SOLO_KEY, make_solo()),)))
    age_world(world)
    return world


def age_world(world: World) -> None:
    """Record the marks of a day and an hour."""
    marks = RetentionMarks((world.table.revision,) * 26)
    world.write(MARKS_KEY, marks)


@pytest.mark.parametrize("key", [CLAIM_KEY, make_session_key("i7"), SOLO_KEY])
def test_old_row_of_each_kind_is_removed(key: str):
    world = make_world()
    assert world.has(key)
    world.take_round()
    assert not world.has(key)


def test_rows_still_needed_stay_however_old():
    world = make_world()
    held = [
        (CLAIM_KEY, evolve(CLAIM, state=ClaimState.CLAIMED)),
        ("claim/00/unreadable", RetentionMarks()),
        (make_session_key("i8"), Session(Holder("i8", "x1"), 5, False)),
    ]
    for key, value in held:
        world.write(key, value)
    world.table.apply(Transaction((), (Write(SOLO_KEY, make_solo("i7")),)))
    world.needed.add("i8")
    age_world(world)
    world.take_round()
    assert all(world.has(key) for key, _ in held)
    assert world.has(SOLO_KEY)
    assert not world.has(make_session_key("i7"))


@pytest.mark.parametrize("state", [ClaimState.DONE, ClaimState.NOT_RUN, ClaimState.UNKNOWN])
def test_each_end_of_a_claim_is_removed(state: ClaimState):
    world = World()
    world.write(CLAIM_KEY, evolve(CLAIM, state=state))
    age_world(world)
    world.take_round()
    assert not world.has(CLAIM_KEY)


def test_row_renewed_between_the_look_and_the_removal_stays():
    """The renewal falls between the transaction's read and its commit, for each kind."""
    for key in (CLAIM_KEY, make_session_key("i7"), SOLO_KEY):
        world = make_world()
        value = world.table.rows[key].value

        def renew(key=key, value=value, world=world) -> None:
            world.table.apply(Transaction((), (Write(key, value),)))

        for _ in range(PARTITIONS):
            world.table.faults = [renew]
            world.step()
        assert world.has(key)


def test_neighbours_of_a_renewed_row_are_removed_all_the_same():
    world = World()
    keys = ["claim/a7/1", "claim/a7/2", "claim/a7/3"]
    for key in keys:
        world.write(key, CLAIM)
    age_world(world)
    world.table.faults = [lambda: world.write("claim/a7/2", CLAIM)]
    world.take_round()
    assert [world.has(key) for key in keys] == [False, True, False]


def test_lost_answer_of_a_removal_is_told_from_a_conflict():
    for fault in ("lost", "late"):
        world = make_world()
        world.table.faults = [fault]
        world.take_round()
        world.table.deliver()
        assert not world.has(CLAIM_KEY)


def test_late_removal_takes_no_row_that_was_claimed_anew():
    world = make_world()
    for _ in range(PARTITIONS):
        world.table.faults = ["late"] * 8
        world.step()
    world.table.faults = []
    world.take_round()
    world.write(CLAIM_KEY, evolve(CLAIM, state=ClaimState.CLAIMED))
    world.table.deliver()
    assert world.has(CLAIM_KEY)


def test_while_the_table_is_down_nothing_is_removed_and_no_time_counted():
    world = make_world()
    world.write(MARKS_KEY, RetentionMarks())
    world.pass_time(0.9 * MARK_INTERVAL_S)
    world.table.down = True
    assert isinstance(world.step(), Failure)
    world.clock.now += MARK_INTERVAL_S
    assert isinstance(world.step(), Failure)
    world.table.down = False
    assert world.step() == Success(0)
    assert decode_marks(world.table.rows[MARKS_KEY]).revisions == ()
    assert world.has(CLAIM_KEY)
    world.pass_time(1.1 * MARK_INTERVAL_S)
    assert len(decode_marks(world.table.rows[MARKS_KEY]).revisions) == 1


def test_no_row_goes_before_its_time_though_the_remover_is_replaced():
    """The marks outlive each remover; a new one only restarts the current interval."""
    world = World()
    world.write(CLAIM_KEY, CLAIM)
    written_at = world.clock.now
    while world.has(CLAIM_KEY):
        world.retention = Retention(partition=0xA7)
        world.pass_time(5 * MARK_INTERVAL_S)
        assert world.clock.now - written_at < 3 * DAY_S
    assert world.clock.now - written_at >= DAY_S


def test_two_removers_at_a_time_add_no_marks_too_early():
    world = World()
    other = World(table=world.table, clock=world.clock)
    for _ in range(int(10 * MARK_INTERVAL_S / STEP_S)):
        world.clock.now += STEP_S
        world.step()
        other.step()
    assert 8 <= len(decode_marks(world.table.rows[MARKS_KEY]).revisions) <= 10


def test_rows_are_removed_in_small_batches():
    world = World()
    for number in range(10):
        world.write(f"claim/00/{number}", CLAIM)
    age_world(world)
    removed = [world.step().unwrap() for _ in range(5)]
    assert removed == [3, 3, 3, 1, 0]


def test_marks_reach_back_as_far_as_rows_may_be_kept():
    marks = RetentionMarks()
    for revision in range(2 * MARKS_MAX):
        marks = marks.add(revision)
    assert marks.find_limit(RETENTION_MAX_S) > 0
    assert marks.find_limit(MARK_INTERVAL_S) == 2 * MARKS_MAX - 2
    assert RetentionMarks((7,)).find_limit(1.0) == 0
    assert marks.find_limit(MARKS_MAX * MARK_INTERVAL_S) == 0


def test_removed_claim_may_be_claimed_anew_and_a_scan_finds_nothing():
    world = make_world()
    world.take_round()
    access = TableAccess(world.table.make_client(), run_here)
    part = choose_partition(0xA7, SETTINGS.retention, SETTINGS.quarantine, lambda _: False)
    assert part.prefix == "claim/a7"
    assert asyncio.run(remove_rows(access, part, world.table.revision, 5)) == Success(0)
    assert CLAIM_PARTITIONS == 256


def test_costs_of_a_step_are_as_stated():
    world = World()
    for number in range(5):
        world.write(f"claim/00/{number}", CLAIM)
    age_world(world)
    costs = []
    for _ in range(3):
        before = (world.table.reads, world.table.scans, world.table.commits)
        world.step()
        after = (world.table.reads, world.table.scans, world.table.commits)
        costs.append(tuple(y - x for x, y in zip(before, after, strict=True)))
    assert costs == [(1, 2, 1), (1, 2, 1), (0, 2, 0)]
