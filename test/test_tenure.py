"""Lease of the order holder: one holder at a time, whatever is lost, late or paused."""

import random

from rhubarbshed.coordination.serving.lease_state import LeaseState, Step

LEASE_S = 3.0


class Row:
    """Row of a store that may carry out a write late."""

    def __init__(self) -> None:
        self.version = 0
        self.holder = ""
        self.late: list[tuple[float, int, str]] = []

    def write(self, expected: int, holder: str) -> int | None:
        if expected != self.version:
            return None
        self.version += 1
        self.holder = holder
        return self.version

    def settle(self, now: float) -> None:
        for due, expected, holder in [write for write in self.late if write[0] <= now]:
            self.late.remove((due, expected, holder))
            self.write(expected, holder)


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
        lease_state.record_row(row.version, row.holder, now)
        return
    if chance.random() < 0.1:
        row.late.append((now + chance.uniform(0.1, 6.0), lease_state.version, name))
        return
    written = row.write(lease_state.version, name)
    if step is Step.RENEW:
        if written is not None:
            lease_state.record_renewed(written, now)
        elif row.holder == name:
            lease_state.version = row.version
        else:
            lease_state.record_lost(now)
    elif written is not None:
        lease_state.record_acquired(written, now, waits=step is Step.TAKE_OVER)
    else:
        lease_state.record_row(row.version, row.holder, now)


def play(seed: int, seconds: float = 60.0) -> tuple[list[tuple[float, str, int]], int]:
    """Run five instances with cuts, freezes and lost answers; return who may order when."""
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
