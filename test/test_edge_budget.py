"""The budget of repeats that all instances share, as order holders change."""

import asyncio
import time

from rhubarbshed.coordination.serving.retry_budget import ServiceRetryBudget
from test.helper_edge import play
from test.helper_instances import run_instances

WATCHED_S = 4.0
"""Time in which another instance takes over from a holder and knows the others."""


def test_shares_of_the_budget_do_not_grow_as_an_order_holder_changes():
    """A new holder counted itself alone, and the shares of all came to twice the whole."""

    async def scene():
        names = {f"{centre}{number}": centre for centre in "ab" for number in (1, 2, 3)}
        async with run_instances(**names) as instances:

            def list_counts() -> list[int]:
                return [instances[name].view.budget.instances for name in instances.tasks]

            await instances.wait_until(lambda: set(list_counts()) == {len(names)})
            await instances.kill(instances.find_holder("a"))
            until = time.monotonic() + WATCHED_S
            while time.monotonic() < until:
                assert sum(1.0 / count for count in list_counts()) <= 1.0, list_counts()
                await asyncio.sleep(0.02)
            assert instances.find_holder("a")

    play(scene)


def test_lower_number_of_instances_counts_after_a_window():
    budget = ServiceRetryBudget(0.2, 100.0, 10.0, instances=16)
    budget.record_instances(3, 100.0)
    assert budget.instances == 3, "what was assumed gives way to the first number"
    budget.record_instances(12, 101.0)
    for second in range(10):
        budget.record_instances(2, 101.5 + second)
        assert budget.instances == 12
    budget.record_instances(2, 111.0)
    assert budget.instances == 2
