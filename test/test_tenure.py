"""Lease of the order holder: one holder at a time, whatever is lost, late or paused."""

import random

from rhubarbshed.coordination.serving.lease_state import LeaseState, Step
from rhubarbshed.coordination.serving.load_rate import LoadRateLimiter
from test.helper_edge import play as play_scene
from test.helper_instances import run_instances

LEASE_S = 3.0


class Row:
    """Row of a store that may carry out a write late; `process` wrote it."""

    def __init__(self) -> None:
        self.version = 0
        self.holder = ""
        self.process: LeaseState | None = None
        self.gives_orders = False
        self.late: list[tuple] = []

    def write(self, expected: int, holder: str, process: LeaseState, gives: bool) -> int | None:
        if expected != self.version:
            return None
        self.version += 1
        self.holder, self.process, self.gives_orders = holder, process, gives
        return self.version

    def settle(self, now: float) -> None:
        for due, *write in [write for write in self.late if write[0] <= now]:
            self.late.remove((due, *write))
            self.write(*write)


def read(lease_state: LeaseState, name: str, row: Row, now: float) -> None:
    """Record the row as an instance reads it."""
    is_own = row.holder == name and row.process is not lease_state
    lease_state.record_row(row.version, row.holder, now, is_own and row.gives_orders)


def act(
    lease_state: LeaseState, name: str, row: Row, now: float, chance: random.Random, cut: bool
) -> None:
    """Take one step of an instance; the store's answer is lost now and then."""
    step = lease_state.choose_step(now)
    if step is Step.WAIT:
        return
    if cut:
        lease_state.read_at = now
        return
    if step is Step.READ:
        read(lease_state, name, row, now)
        return
    write = (lease_state.version, name, lease_state, lease_state.gives_orders(now))
    if chance.random() < 0.1:
        row.late.append((now + chance.uniform(0.1, 6.0), *write))
        return
    written = row.write(*write)
    if step is Step.RENEW:
        if written is not None:
            lease_state.record_renewed(written, now)
        elif row.process is lease_state:
            lease_state.version = row.version
        else:
            lease_state.record_lost(now)
    elif written is not None:
        lease_state.record_acquired(written, now, waits=step is Step.TAKE_OVER)
    else:
        read(lease_state, name, row, now)


def play(seed: int, seconds: float = 60.0) -> tuple[list[tuple[float, str, int]], int]:
    """Run five instances with cuts, freezes, kills and lost answers; return who may order when."""
    chance = random.Random(seed)
    row = Row()
    names = [f"i{number}" for number in range(5)]
    lease_states = {name: LeaseState(LEASE_S, chance.uniform(0.0, 0.3)) for name in names}
    away: dict[str, float] = {}
    frozen: dict[str, float] = {}
    orders: list[tuple[float, str, int]] = []
    now = 100.0
    while now < 100.0 + seconds:
        now += 0.05
        row.settle(now)
        if chance.random() < 0.01:
            away[chance.choice(names)] = now + chance.uniform(0.5, 8.0)
        if chance.random() < 0.005:
            frozen[chance.choice(names)] = now + chance.uniform(0.5, 6.0)
        if chance.random() < 0.005:
            # A killed process is started again within a second, at times all of them.
            for name in chance.choice(([chance.choice(names)], names)):
                lease_states[name] = LeaseState.from_start(LEASE_S, chance.uniform(0.0, 0.3), now)
                frozen[name] = now + chance.uniform(0.3, 1.0)
        for name, lease_state in lease_states.items():
            if frozen.get(name, 0.0) > now:
                continue
            act(lease_state, name, row, now, chance, away.get(name, 0.0) > now)
            if lease_state.may_order(now):
                orders.append((now, name, lease_state.token))
                if away.get(name, 0.0) <= now:
                    for other in lease_states.values():
                        other.last_received_at = now
    return orders, row.version


def test_orders_of_two_holders_lie_a_lease_apart_and_tokens_rise():
    for seed in range(300):
        orders, _ = play(seed)
        for (at, name, token), (next_at, next_name, next_token) in zip(
            orders, orders[1:], strict=False
        ):
            if name != next_name:
                assert next_at - at >= LEASE_S - 1e-6, f"seed {seed} at {next_at}"
                assert next_token > token, f"seed {seed} at {next_at}"


def test_somebody_orders_most_of_the_time():
    shares = []
    for seed in range(50):
        orders, _ = play(seed)
        shares.append(len({round(at, 1) for at, _, _ in orders}) / 600)
    assert sum(shares) / len(shares) > 0.6


def test_first_holder_ever_waits_for_nobody():
    lease_state = LeaseState(LEASE_S, 0.0)
    assert lease_state.choose_step(100.0) is Step.READ
    lease_state.record_row(0, "", 100.0)
    assert lease_state.choose_step(101.5) is Step.CREATE
    lease_state.record_acquired(1, 101.5, waits=False)
    assert lease_state.may_order(101.6)


def test_holder_that_cannot_renew_stops_and_goes_on_once_it_can():
    lease_state = LeaseState(LEASE_S, 0.0)
    lease_state.record_row(0, "", 100.0)
    lease_state.record_acquired(1, 100.0, waits=False)
    assert lease_state.may_order(101.0)
    assert not lease_state.may_order(101.3)
    assert lease_state.choose_step(105.0) is Step.RENEW
    lease_state.record_renewed(2, 105.0)
    assert lease_state.may_order(105.5)


def make_restarted(gives_orders: bool) -> LeaseState:
    """Return the state of an instance that was the holder, 0.5 s after it was killed at 100 s."""
    lease_state = LeaseState.from_start(LEASE_S, 0.0, 100.4)
    assert lease_state.choose_step(100.4) is Step.READ
    lease_state.record_row(7, "i1", 100.5, is_resumable=gives_orders)
    return lease_state


def test_holder_that_starts_again_goes_on_without_waiting_for_itself():
    """Nobody gave orders for 4 s after all instances had lost power."""
    lease_state = make_restarted(gives_orders=True)
    assert lease_state.choose_step(100.5) is Step.TAKE_OVER
    assert lease_state.gives_orders(100.5)
    lease_state.record_acquired(8, 100.5, waits=True)
    assert lease_state.may_order(100.6) and lease_state.token == 8
    # What its earlier process loaded counts towards the common rate.
    assert lease_state.may_load_from >= 100.5 + LEASE_S


def test_holder_that_starts_again_before_it_gave_orders_waits_for_the_holder_before():
    lease_state = make_restarted(gives_orders=False)
    assert lease_state.choose_step(100.6) is Step.WAIT
    assert lease_state.choose_step(101.9) is Step.TAKE_OVER
    assert not lease_state.gives_orders(101.9)
    lease_state.record_acquired(8, 101.9, waits=True)
    assert not lease_state.may_order(102.0)
    assert lease_state.may_order_from >= 100.5 + LEASE_S


def test_loads_of_an_earlier_process_are_waited_for():
    rate = LoadRateLimiter(9, 5.0, 1, not_before=10.0)
    assert not rate.allows(True, 9.9) and rate.allows(True, 10.0)


def test_orders_are_given_within_a_second_of_a_kill_of_all_instances():
    async def scene():
        async with run_instances(a1="a", a2="a") as instances:
            await instances.wait_until(
                lambda: any(node.dispatcher.may_order() for node in instances.nodes.values())
            )
            holder = instances.find_holder("a")
            await instances.restart("a1", "a2")
            await instances.wait_until(instances[holder].dispatcher.may_order, 1.0)

    play_scene(scene)
