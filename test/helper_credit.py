"""Instances that share accounts' limits, without a network, in an event loop with its own time."""

import asyncio
import heapq
import random
import selectors
from collections import defaultdict
from collections.abc import Callable, Coroutine
from typing import Any

from attrs import define, field

from rhubarbshed.coordination.serving.account_limits import QuotaBound
from rhubarbshed.protocol.accounts import Account, AccountLimit, Accounts, LimitUnit
from rhubarbshed.protocol.messages import pack_message, unpack_message
from rhubarbshed.protocol.routes import Configuration
from rhubarbshed.transport.edge.account_credit import AccountCredit, Refused, Taken
from rhubarbshed.transport.edge.account_grants import AccountGrants
from rhubarbshed.transport.edge.allocators import Address, Allocators
from rhubarbshed.transport.edge.metrics import FrontMetrics

BOUND = QuotaBound(8.0, 0.1, 7_400.0)
"""What the known deployments allow."""


class StepSelector(selectors.DefaultSelector):
    """Selector that steps the time of its loop in place of waiting."""

    now = 1_000.0

    def select(self, timeout: float | None = None) -> list:
        """Step to the next timer."""
        self.now += max(0.0, timeout or 0.0)
        return super().select(0)


class StepLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only between its passes."""

    def __init__(self) -> None:
        self.stepper = StepSelector()
        super().__init__(self.stepper)

    def time(self) -> float:
        """Return the time."""
        return self.stepper.now


def play_steps(scene: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run an asynchronous test in a time of its own."""
    with asyncio.Runner(loop_factory=StepLoop) as runner:
        runner.run(scene())


def read_now() -> float:
    """Return the time of the running loop."""
    return asyncio.get_running_loop().time()


def make_account(name: str, rate: float, burst: float | None = None) -> Account:
    """Return an account with a limit in tokens; a second of its rate is its burst by default."""
    limit = AccountLimit(rate, rate if burst is None else burst, LimitUnit.TOKENS)
    return Account(name, limit=limit)


def make_version(version: int, *accounts: Account) -> Configuration:
    """Return a configuration of accounts."""
    by_key = {f"key-{account.name}": account for account in accounts}
    return Configuration(version, accounts=Accounts(by_key))


@define(eq=False)
class Member:
    """One instance; while `frozen` its messages and timers wait, while `cut` it reaches nobody.

    One that is `old` does not know the messages.
    """

    credit: AccountCredit
    configuration: Configuration
    ticking: asyncio.Task | None = None
    frozen: bool = False
    cut: bool = False
    old: bool = False
    late: list = field(factory=list)
    heard_at: float = 0.0


@define(eq=False)
class Group:
    """Instances that ask each other, in turn in one of the `centres`.

    `fate` returns the delays of the copies of a message. Instances on different `sides` are cut off
    from each other.
    """

    configuration: Configuration
    rng: random.Random
    fate: Callable[[random.Random], list[float]] = lambda rng: [rng.uniform(0.001, 0.003)]
    centres: int = 1
    sides: dict[Address, object] = field(factory=dict)
    members: dict[Address, Member] = field(factory=dict)
    used: dict[str, list[tuple[float, float]]] = field(factory=lambda: defaultdict(list))
    refused: dict[str, list[tuple[float, Refused]]] = field(factory=lambda: defaultdict(list))
    waits: list[float] = field(factory=list)

    def add(self, count: int, is_listed: bool = True) -> list[Address]:
        """Start instances with new addresses."""
        addresses = [("10.0.0.1", len(self.members) + number + 1) for number in range(count)]
        for address in addresses:
            self.start(address)
        if is_listed:
            self.list_all()
        return addresses

    def start(self, address: Address) -> None:
        """Start an instance without memory."""
        metrics = FrontMetrics()

        def send(message: object, *to: Address) -> None:
            for each in to:
                self.send(message, address, each)

        allocators = Allocators(
            self.find_centre(address),
            address,
            send,
            random.Random(self.rng.random()),
            lambda now: now - self.members[address].heard_at if address in self.members else 0.0,
            clock=read_now,
        )
        grants = AccountGrants(
            allocators, lambda: self.members[address].configuration, lambda: BOUND
        )
        credit = AccountCredit(allocators, grants, metrics)
        member = self.members[address] = Member(credit, self.configuration, heard_at=read_now())
        member.ticking = asyncio.get_running_loop().create_task(self.tick(member))

    def list_all(self) -> None:
        """Let all instances know of each other."""
        self.list_some(lambda own, other: True)

    def list_some(self, knows: Callable[[Address, Address], bool], is_listed: bool = True) -> None:
        """Let instances know of others."""
        for address, member in self.members.items():
            others = defaultdict(list)
            for other in self.members:
                if other != address and knows(address, other):
                    others[self.find_centre(other)].append(other)
            member.credit.learn_instances(others, is_listed)

    def find_centre(self, address: Address) -> str:
        """Return the data centre of an instance."""
        return "abc"[(address[1] - 1) % self.centres]

    async def tick(self, member: Member) -> None:
        """Do what the instance does at intervals; any message from the others is heard."""
        while True:
            await asyncio.sleep(0.1)
            if not member.frozen:
                if not member.cut:
                    member.heard_at = read_now()
                member.credit.check(read_now())

    def kill(self, address: Address) -> None:
        """End an instance."""
        self.members.pop(address).ticking.cancel()

    def wake(self, address: Address) -> None:
        """Let a frozen instance go on; it first reads what has arrived meanwhile."""
        member = self.members[address]
        member.frozen = False
        for deliver in member.late:
            deliver()
        member.late.clear()

    def send(self, message: object, sender: Address, to: Address) -> None:
        """Deliver the copies of a message, as they are read by the other side."""
        read = unpack_message(pack_message(message)).unwrap()
        source = self.members.get(sender)
        if source is None or source.cut or self.sides.get(sender) != self.sides.get(to):
            return
        for delay_s in self.fate(self.rng):
            asyncio.get_running_loop().call_later(delay_s, self.deliver, read, sender, to)

    def deliver(self, message: object, sender: Address, to: Address) -> None:
        """Let an instance read a message, if it runs and is in touch."""
        member = self.members.get(to)
        if member is None or member.cut or member.old:
            return
        if member.frozen:
            member.late.append(lambda: self.deliver(message, sender, to))
            return
        member.heard_at = read_now()
        member.credit.handle_message(message, sender)

    async def ask(self, address: Address, account: Account, cost: float) -> Taken | Refused | None:
        """Let a caller send a request to an instance; count what it uses."""
        member = self.members.get(address)
        if member is None or member.frozen:
            return None
        begun_at = read_now()
        outcome = await member.credit.take(account, cost, 0.2)
        if isinstance(outcome, Taken):
            self.used[account.name].append((read_now(), cost))
        else:
            self.refused[account.name].append((read_now(), outcome))
        self.waits.append(read_now() - begun_at)
        return outcome

    async def load(
        self,
        account: Account,
        per_s: float,
        for_s: float,
        choose: Callable[[], Address],
        draw_cost: Callable[[], float],
    ) -> None:
        """Let callers send requests at random times to the instances that `choose` returns."""
        tasks, until = [], read_now() + for_s
        while read_now() < until:
            await asyncio.sleep(self.rng.expovariate(per_s))
            tasks.append(asyncio.create_task(self.ask(choose(), account, draw_cost())))
        await asyncio.gather(*tasks)

    def find_allocator(self, account: Account) -> Address:
        """Return the instance that grants an account's credit."""
        member = next(iter(self.members.values()))
        return member.credit.grants.rank(account.name)[0]

    def measure_served(self, account: Account, since: float = 0.0) -> float:
        """Return the part of an account's requests that got credit since a time."""
        used = sum(at >= since for at, _ in self.used[account.name])
        refused = sum(at >= since for at, _ in self.refused[account.name])
        return used / max(1, used + refused)


def measure_most(used: list[tuple[float, float]], window_s: float) -> float:
    """Return the greatest sum that was used in one window."""
    most, total, ends = 0.0, 0.0, []
    for at, cost in sorted(used):
        heapq.heappush(ends, (at + window_s, cost))
        total += cost
        while ends[0][0] <= at:
            total -= heapq.heappop(ends)[1]
        most = max(most, total)
    return most


def allow(limit: AccountLimit, bound: QuotaBound = BOUND) -> float:
    """Return what may be used in one window."""
    return (limit.rate_per_s * bound.window_s + limit.burst) * (1 + bound.overage) + bound.slack
