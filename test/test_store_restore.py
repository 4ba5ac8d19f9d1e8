"""A store that returns from an older copy: what instances believe and hold afterwards."""

import asyncio
import random
import time

from attrs import define, field

from rhubarbshed.coordination.serving.lease_state import LeaseState, Step
from rhubarbshed.coordination.serving.version_records import VersionRecord
from rhubarbshed.platform.rows import Page
from rhubarbshed.protocol.tables import Row, Scan
from rhubarbshed.transport.edge.version_store import list_records
from test.helper_crashes import run_crash_scene
from test.helper_edge import play
from test.helper_instances import run_instances

LEASE_S = 3.0
COPY_AGE_MAX_S = 6.0

DRAIN_S = 2.0
"""Time after which a leaving server may get no more requests, the platform's bound."""


def test_restarted_holder_does_not_resume_from_a_copy_that_names_it():
    """It gave orders a second after the other holder, with that one's fencing token."""

    async def run():
        async with run_instances(a1="a", a2="a") as instances:

            def list_ordering() -> list[str]:
                return [each for each in instances.tasks if instances[each].dispatcher.may_order()]

            await instances.wait_until(list_ordering)
            first = instances.find_holder("a")
            second = "a2" if first == "a1" else "a1"
            copy = instances.store.make_copy()
            await instances.kill(first)
            await instances.wait_until(lambda: list_ordering() == [second])
            instances.start(first, "a")
            await instances.wait_until(instances.know_each_other)
            token = instances[second].lease.lease_state.token
            instances.store.restore(copy)
            ordered_at = time.monotonic()
            # Until its right lapses, the holder before the restore may order.
            while time.monotonic() < ordered_at + LEASE_S:
                if second in list_ordering():
                    ordered_at = time.monotonic()
                assert first not in list_ordering(), f"{time.monotonic() - ordered_at:.2f} s after"
                await asyncio.sleep(0.02)
            await instances.wait_until(list_ordering)
            assert instances[list_ordering()[0]].lease.lease_state.token > token

    play(run)


def test_holder_whose_renewals_are_in_the_copy_goes_on():
    async def run():
        async with run_instances(a1="a", a2="a") as instances:
            names = ("a1", "a2")
            await instances.wait_until(
                lambda: any(instances[name].dispatcher.may_order() for name in names)
            )
            holder = instances[instances.find_holder("a")]
            copy = instances.store.make_copy()
            await asyncio.sleep(1.5)
            token = holder.lease.lease_state.token
            instances.store.restore(copy)
            until = time.monotonic() + LEASE_S
            while time.monotonic() < until:
                assert holder.dispatcher.may_order()
                await asyncio.sleep(0.02)
            assert holder.lease.lease_state.token > token

    play(run)


@define
class RestoredRow:
    """Row of a store that is restored now and then, with the copies of the last seconds."""

    version: int = 0
    holder: str = ""
    process: LeaseState | None = None
    gives_orders: bool = False
    written_in: int = 0
    era: int = 1
    away_until: float = 0.0
    copies: list[tuple] = field(factory=list)

    def write(self, expected: int, holder: str, process: LeaseState, gives: bool) -> int | None:
        """Write the row if it has the expected version."""
        if expected != self.version:
            return None
        self.version += 1
        self.holder, self.process, self.gives_orders = holder, process, gives
        self.written_in = process.era
        return self.version

    def copy(self, now: float) -> None:
        """Copy the row, and drop old copies."""
        row = (self.version, self.holder, self.process, self.gives_orders, self.written_in)
        self.copies.append((now, row))
        self.copies = [copy for copy in self.copies if now - copy[0] < COPY_AGE_MAX_S]

    def restore(self, chance: random.Random, now: float) -> None:
        """Go away and come back from one of the copies."""
        at, row = chance.choice(self.copies)
        self.version, self.holder, self.process, self.gives_orders, self.written_in = row
        self.copies = [copy for copy in self.copies if copy[0] <= at]
        self.era += 1
        self.away_until = now + chance.uniform(0.1, 2.0)


def act(lease_state: LeaseState, name: str, row: RestoredRow, now: float) -> None:
    """Take one step of an instance, as its client does."""
    if row.era != lease_state.era:
        lease_state.record_era(row.era, now)
    if lease_state.has_lapsed_in_restore(now):
        lease_state.record_lost(now)
    step = lease_state.choose_step(now)
    if step is Step.WAIT:
        return
    if step is not Step.READ:
        write = (lease_state.version, name, lease_state, lease_state.gives_orders(now))
        written = row.write(*write)
        if step is Step.RENEW:
            if written is not None:
                lease_state.record_renewed(written, now)
            elif row.process is lease_state:
                lease_state.version = row.version
            else:
                lease_state.record_lost(now)
            return
        if written is not None:
            lease_state.record_acquired(written, now, lease_state.may_have_holder())
            return
    is_own = row.holder == name and row.process is not lease_state
    is_resumable = is_own and row.gives_orders and row.written_in == row.era
    lease_state.record_row(row.version, row.holder, now, is_resumable)


def play_restores(seed: int, seconds: float = 60.0) -> list[tuple[float, str, int]]:
    """Run four instances with restores, kills, freezes and cuts; return who may order when."""
    chance = random.Random(seed)
    row = RestoredRow()
    names = [f"i{number}" for number in range(4)]
    lease_states = {name: LeaseState(LEASE_S, chance.uniform(0.0, 0.3)) for name in names}
    away: dict[str, float] = {}
    frozen: dict[str, float] = {}
    orders: list[tuple[float, str, int]] = []
    now = 100.0
    while now < 100.0 + seconds:
        now += 0.05
        row.copy(now)
        if chance.random() < 0.008:
            row.restore(chance, now)
        if chance.random() < 0.01:
            away[chance.choice(names)] = now + chance.uniform(0.5, 8.0)
        if chance.random() < 0.01:
            name = chance.choice(names)
            lease_states[name] = LeaseState.from_start(LEASE_S, chance.uniform(0.0, 0.3), now)
            frozen[name] = now + chance.uniform(0.3, 1.0)
        for name, lease_state in lease_states.items():
            if frozen.get(name, 0.0) > now:
                continue
            if max(away.get(name, 0.0), row.away_until) <= now:
                act(lease_state, name, row, now)
            if lease_state.may_order(now):
                orders.append((now, name, lease_state.token))
                if away.get(name, 0.0) <= now:
                    for other in lease_states.values():
                        other.last_received_at = now
    return orders


def test_orders_lie_a_lease_apart_and_tokens_rise_across_restores():
    """Versions are given out again, and rows name holders of the time before."""
    for seed in range(300):
        orders = play_restores(seed)
        for before, after in zip(orders, orders[1:], strict=False):
            if before[1] != after[1]:
                assert after[0] - before[0] >= LEASE_S - 1e-6, f"seed {seed}: {before}, {after}"
                assert after[2] > before[2], f"seed {seed}: {before}, {after}"


def test_somebody_orders_most_of_the_time_between_restores():
    shares = [len({round(at, 1) for at, _, _ in play_restores(seed)}) / 600 for seed in range(30)]
    assert sum(shares) / len(shares) > 0.25


def test_server_that_leaves_after_a_restore_is_known_to_all_in_time():
    """Instances took the lower versions of the holder's messages for those of old changes."""

    async def run():
        names = ("a1", "a2")
        async with run_crash_scene(3, dict.fromkeys(names, "a")) as scene:
            store = scene.instances.store
            copy = store.make_copy()
            for number in range(40):
                store.put("other", f"row{number}", {})
            servers = list(scene.replicas.values())
            store.put("servers", servers[0].server_id, servers[0].describe(Slots=9))
            await scene.instances.wait_until(
                lambda: all(
                    scene.instances[each].follower.servers_revision == store.version
                    for each in names
                ),
                DRAIN_S,
            )
            store.restore(copy)
            await asyncio.sleep(0.5)
            await scene.let_leave(servers[1], names, DRAIN_S)

    play(run)


def test_record_of_versions_of_an_earlier_era_counts_for_nothing():
    """Whoever went on from its revision missed the changes before that one was given out again."""
    for written_in, read_in, counts in ((1, 1, True), (0, 1, True), (1, 2, False), (2, 2, True)):
        record = VersionRecord(40, 0.0, frozenset({("svc", "v1")}), routed_ms=0.0, era=written_in)
        row = Row("a", 50, record.to_value(), 50)
        page = Page(Scan((row,), 60, read_in), now_ms=1000.0)
        assert bool(list_records(page)) == counts, (written_in, read_in)


def test_first_renewal_in_an_era_does_not_state_that_its_holder_gives_orders():
    """It may come too late to keep the right, and a restarted process would resume by it."""
    lease_state = LeaseState(LEASE_S, 0.0, era=1)
    lease_state.record_row(0, "", 100.0)
    lease_state.record_acquired(5, 100.0, waits=False)
    assert lease_state.gives_orders(100.1)
    lease_state.record_era(2, 100.2)
    assert not lease_state.gives_orders(100.2)
    lease_state.record_renewed(3, 100.3)
    assert lease_state.gives_orders(100.4)
