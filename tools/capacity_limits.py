"""Cost of the limits of accounts: processor time of each step, memory, bytes.

Usage: python -m tools.capacity_limits

No sockets; the processor time is the median of five runs.
"""

import itertools
import random
import tracemalloc
from collections.abc import Coroutine
from typing import Any

from rhubarbshed.coordination.serving.account_limits import HeldCredit, QuotaBound
from rhubarbshed.coordination.serving.server_limits import rank_allocators
from rhubarbshed.protocol.accounts import Account, AccountLimit, Accounts, LimitUnit
from rhubarbshed.protocol.credit_messages import CreditQuestion, CreditReply
from rhubarbshed.protocol.messages import pack_message, unpack_message
from rhubarbshed.protocol.routes import Configuration
from rhubarbshed.transport.edge.account_credit import AccountCredit
from rhubarbshed.transport.edge.account_grants import AccountGrants
from rhubarbshed.transport.edge.allocators import Address, Allocators
from rhubarbshed.transport.edge.metrics import FrontMetrics
from tools.capacity_streams import time_call

ACCOUNT_COUNTS = (16, 1_000)
INSTANCE_COUNTS = (30, 100, 370)
BOUND = QuotaBound(8.0, 0.1, 7_400.0)
LIMIT = AccountLimit(1e9, 1e9, LimitUnit.TOKENS)
COST = 1_350.0
RUNS_TAKE = 20_000
RUNS_ANSWER = 5_000
RUNS_CHECK = 20
CHECKS = 60
"""Checks until the allocators of all accounts are determined."""


def make_credit(accounts: int, instances: int) -> AccountCredit:
    """Return the credit of the instance that grants for the first account, and packs messages."""
    by_key = {f"k{number}": Account(f"t{number}", limit=LIMIT) for number in range(accounts)}
    configuration = Configuration(1, accounts=Accounts(by_key))
    known = [(f"10.0.{n // 200}.{n % 200 + 1}", 9_000) for n in range(instances)]
    own, *others = rank_allocators("t0", "", {"a": known})
    allocators = Allocators("a", own, lambda message, *to: pack_message(message), random.Random(1))
    grants = AccountGrants(allocators, lambda: configuration, lambda: BOUND)
    credit = AccountCredit(allocators, grants, FrontMetrics())
    credit.learn_instances({"a": others}, True)
    return credit


def finish(work: Coroutine[Any, Any, object]) -> object:
    """Return the result of a coroutine that does not wait."""
    try:
        work.send(None)
    except StopIteration as end:
        return end.value
    raise RuntimeError("it waits")


def time_take(credit: AccountCredit, accounts: list[Account]) -> float:
    """Return the microseconds for a request that finds credit."""
    now = credit.allocators.clock()
    for account in accounts:
        held = credit.held[account.name] = HeldCredit(now)
        held.add(1e12, now + 3_600.0, now)
    return time_call(
        lambda number: finish(credit.take(accounts[number % len(accounts)], COST, 0.2)), RUNS_TAKE
    )


def time_answer(credit: AccountCredit, asker: Address) -> float:
    """Return the microseconds for a question, from its datagram to the reply's."""
    names = list(credit.grants.buckets)
    for bucket in credit.grants.buckets.values():
        bucket.level = LIMIT.burst
    numbers = itertools.count()

    def answer(number: int) -> None:
        question = CreditQuestion(
            next(numbers), names[number % len(names)], 1, COST, 2 * COST, COST
        )
        data = pack_message(question)
        credit.handle_message(unpack_message(data).unwrap(), asker)

    return time_call(answer, RUNS_ANSWER)


def measure_case(accounts: int, instances: int) -> str:
    """Return the costs for a number of accounts and instances as a line."""
    tracemalloc.start()
    credit = make_credit(accounts, instances)
    before = tracemalloc.get_traced_memory()[0]
    for _ in range(CHECKS):
        credit.check(credit.allocators.clock())
    kilobytes = (tracemalloc.get_traced_memory()[0] - before) / 1_000
    tracemalloc.stop()
    take_us = time_take(credit, credit.grants.find_accounts().accounts.list_accounts())
    check_us = time_call(lambda _: credit.check(credit.allocators.clock()), RUNS_CHECK)
    answer_us = time_answer(credit, credit.allocators.list_all()[0])
    return (
        f"{accounts:8} {instances:9} {take_us:8.1f} {answer_us:12.1f} {check_us:9.0f}"
        f" {kilobytes:7.0f} {len(credit.grants.buckets):8}"
    )


def main() -> None:
    """Print the costs."""
    print("accounts instances  take us  question us  check us      KB  granted")
    for accounts, instances in itertools.product(ACCOUNT_COUNTS, INSTANCE_COUNTS):
        print(measure_case(accounts, instances))
    question = CreditQuestion(2**47, "t0123456789", 12, 1_350.0, 2_700.0, 0.0)
    reply = CreditReply(2**47, 4_050.0, 0)
    sizes = [len(pack_message(each)) for each in (question, reply)]
    print(f"question {sizes[0]} bytes, reply {sizes[1]} bytes")


if __name__ == "__main__":
    main()
