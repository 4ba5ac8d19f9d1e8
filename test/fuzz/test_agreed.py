"""Fuzzing of ownership and of the memory ledger with interleaved steps of several instances."""

import random
from collections.abc import Coroutine
from typing import Any

import pytest
from attrs import define, field
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from rhubarbshed.coordination.placement.loads import execute_load, execute_unload
from rhubarbshed.protocol.orders import OrderFault
from rhubarbshed.state.placement.ledger import EntryState
from test.helper_agreed import (
    MEMORY_BYTES,
    RENEWAL_S,
    TERM_S,
    Instance,
    World,
    complete,
    make_server,
    make_spec,
)

SPECS = (
    make_spec("a", 60),
    make_spec("b", 60),
    make_spec("c", 30),
    make_spec("x", 10, model="a"),
)
NAMES = ("i1", "i2")
TASKS_MAX = 4


class Pause:
    """Suspend a task until the scheduler picks it again."""

    def __await__(self):
        yield


@define
class Scheduler:
    """Runs tasks of several instances in random order."""

    world: World
    chance: random.Random
    restarts: bool
    instances: dict[str, Instance] = field(factory=dict)
    tasks: list[tuple[str, Coroutine]] = field(factory=list)
    runs: int = 0

    def start(self, name: str) -> None:
        self.runs += 1
        instance = Instance.start(self.world, name, str(self.runs))
        plain = instance.context.access.runner

        async def run(call: Any, *arguments: Any) -> Any:
            await Pause()
            answer = await plain(call, *arguments)
            await Pause()
            return answer

        instance.context.access.runner = run
        self.instances[name] = instance

    def kill(self, name: str) -> None:
        for owner, task in self.tasks:
            if owner == name:
                task.close()
        self.tasks = [pair for pair in self.tasks if pair[0] != name]
        self.start(name)

    def spawn(self, name: str) -> None:
        if sum(owner == name for owner, _ in self.tasks) >= TASKS_MAX:
            return
        instance = self.instances[name]
        spec = self.chance.choice(SPECS)
        budget, context = self.world.budget, instance.context
        task = self.chance.choice(
            (
                lambda: renew_and_maintain(instance),
                lambda: renew_and_maintain(instance),
                lambda: instance.reconcile(),
                lambda: instance.reconcile(),
                lambda: execute_load(context, budget, spec),
                lambda: execute_load(context, budget, spec),
                lambda: execute_unload(context, budget, spec.key),
            )
        )
        self.tasks.append((name, task()))

    def step(self) -> None:
        if not self.tasks:
            return
        position = self.chance.randrange(len(self.tasks))
        try:
            self.tasks[position][1].send(None)
        except StopIteration:
            self.tasks.pop(position)

    def disturb(self) -> None:
        table, engine = self.world.table, self.world.engine
        kind = self.chance.randrange(10)
        if kind < 2:
            engine.faults.append(self.chance.choice(("late", "lost", OrderFault.REFUSED)))
        elif kind < 4:
            table.faults.append(self.chance.choice(("late", "lost")))
        elif kind == 4:
            table.down = not table.down and self.chance.random() < 0.3
        elif kind == 5 and engine.late:
            engine.run(engine.late.pop(self.chance.randrange(len(engine.late))))
        elif kind == 6:
            table.deliver()
        elif kind == 7 and self.restarts and self.chance.random() < 0.5:
            engine.restart()
        elif kind == 8 and self.chance.random() < 0.5:
            self.world.clock.now += self.chance.choice((RENEWAL_S, TERM_S, 2 * TERM_S))
        elif kind == 9 and self.chance.random() < 0.3:
            self.kill(self.chance.choice(NAMES))

    def check(self) -> None:
        held = sum(self.world.engine.resident.values())
        assert held <= MEMORY_BYTES, f"{held} bytes held, ledger {self.world.ledger}"
        assert self.world.ledger.memory_bytes <= MEMORY_BYTES or self.restarts

    def settle(self) -> None:
        """End all faults; one instance continues alone and must complete all ledger entries."""
        self.world.table.faults.clear()
        self.world.table.down = False
        self.world.table.deliver()
        self.world.engine.faults.clear()
        for _, task in self.tasks:
            task.close()
        last = Instance.start(self.world, "last", "1")
        for _ in range(60):
            complete(last.renew())
            complete(last.maintain())
            complete(last.reconcile())
            self.check()
        self.world.engine.deliver()
        for _ in range(10):
            complete(last.renew())
            complete(last.maintain())
            complete(last.reconcile())
            self.check()
        entries = self.world.ledger.entries
        assert all(entry.state is EntryState.RESIDENT for entry in entries), entries
        assert {entry.key for entry in entries} == set(self.world.engine.resident)


async def renew_and_maintain(instance: Instance) -> None:
    await instance.renew()
    await instance.maintain()


def run_sequence(seed: int, checks: bool, restarts: bool, steps: int = 1500) -> Scheduler:
    """Run one sequence from a seed, until everything has settled."""
    world = World.from_server(make_server(checks_fencing=checks))
    scheduler = Scheduler(world, random.Random(seed), restarts)
    for name in NAMES:
        scheduler.start(name)
        complete(scheduler.instances[name].renew()) if name == NAMES[0] else None
    for _ in range(steps):
        draw = scheduler.chance.random()
        if draw < 0.84:
            scheduler.step()
        elif draw < 0.985:
            scheduler.spawn(scheduler.chance.choice(NAMES))
        else:
            scheduler.disturb()
        world.clock.now += 0.02
        scheduler.check()
    scheduler.settle()
    return scheduler


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("checks", [True, False])
@settings(derandomize=True, max_examples=40, deadline=None, suppress_health_check=list(HealthCheck))
@given(seed=st.integers(0, 2**32))
def test_memory_is_never_overcommitted(checks, restarts, seed):
    run_sequence(seed, checks, restarts)
