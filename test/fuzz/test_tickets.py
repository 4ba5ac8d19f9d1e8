"""Fuzzing of tickets: concurrent operators, lost and late writes, readers with old snapshots."""

import random
from collections.abc import Coroutine
from typing import Any

from attrs import define, field
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Result, Success

from rhubarbshed.coordination.agreement.catalogues import refresh_catalogue
from rhubarbshed.coordination.agreement.tickets import accept_ticket, compute_digest, list_touched
from rhubarbshed.protocol.catalogue import Model, ObjectKey, Ticket
from rhubarbshed.protocol.errors import Outcome
from rhubarbshed.state.agreement.catalogue import Catalogue
from rhubarbshed.state.agreement.snapshots import apply_snapshot, decode_snapshot, encode_snapshot
from test.fuzz.test_agreed import Pause
from test.helper_agreed import World, complete, make_server

SERVERS = (make_server("b1"), make_server("b2"))
NAMES = ("m1", "m2", "m3")
STEPS = 300
CONFLICT = 409


@define
class Operators:
    """Operators that send tickets with interleaved steps, and the answer to each."""

    chance: random.Random
    world: World = field(factory=World)
    tasks: list[tuple[Ticket, Coroutine]] = field(factory=list)
    answers: list[tuple[Ticket, Result]] = field(factory=list)
    readers: list[Catalogue] = field(factory=lambda: [Catalogue(), Catalogue()])
    snapshots: list[bytes] = field(factory=list)

    def make_ticket(self) -> Ticket:
        number = self.chance.randint(1, 12)
        names = self.chance.sample(NAMES, self.chance.randint(1, 2))
        if self.chance.random() < 0.2:
            return Ticket(number, (), (ObjectKey("model", names[0]),))
        version = str(self.chance.randint(1, 2))
        return Ticket(number, tuple(Model(name, version, 60) for name in names))

    def send(self) -> None:
        access = self.world.make_access()
        plain = access.runner

        async def run(call: Any, *arguments: Any) -> Any:
            await Pause()
            answer = await plain(call, *arguments)
            await Pause()
            return answer

        access.runner = run
        ticket = self.make_ticket()
        self.tasks.append((ticket, accept_ticket(access, ticket, SERVERS, 0.0)))

    def step(self) -> None:
        if not self.tasks:
            return
        position = self.chance.randrange(len(self.tasks))
        ticket, task = self.tasks[position]
        try:
            task.send(None)
        except StopIteration as end:
            self.tasks.pop(position)
            self.answers.append((ticket, end.value))
            self.check_answer(ticket, end.value)

    def check_answer(self, ticket: Ticket, answer: Result) -> None:
        if isinstance(answer, Success):
            catalogue = self.read_all()
            assert answer.unwrap().digest == compute_digest(ticket)
            assert all(catalogue.objects[k].ticket >= ticket.number for k in list_touched(ticket))

    def read_all(self) -> Catalogue:
        catalogue = Catalogue()
        catalogue.apply_rows(self.world.table.scan("object/", 0).unwrap().rows, 0)
        return catalogue

    def read(self) -> None:
        """Let a reader refresh or apply an old snapshot; no object's ticket may decrease."""
        reader = self.chance.choice(self.readers)
        before = {thing.key: thing.ticket for thing in reader.list_objects()}
        if self.snapshots and self.chance.random() < 0.5:
            copy = self.chance.choice(self.snapshots)
            apply_snapshot(reader, decode_snapshot(copy).unwrap())
        else:
            complete(refresh_catalogue(self.world.make_access(), reader))
            self.snapshots.append(encode_snapshot(reader))
        assert all(reader.objects[key].ticket >= ticket for key, ticket in before.items())

    def settle(self) -> None:
        """End all faults, send all tickets again to compare answers, and compare all readers."""
        self.world.table.faults.clear()
        self.world.table.deliver()
        while self.tasks:
            self.step()
        for ticket, answer in self.answers:
            again = complete(accept_ticket(self.world.make_access(), ticket, SERVERS, 0.0))
            if isinstance(answer, Success):
                assert again == answer
            elif answer.failure().status == CONFLICT:
                assert again.failure().status == CONFLICT
            else:
                assert answer.failure().outcome is Outcome.UNKNOWN or answer.failure().status == 422
        for reader in self.readers:
            complete(refresh_catalogue(self.world.make_access(), reader)).unwrap()
            assert reader.list_objects() == self.read_all().list_objects()


@settings(derandomize=True, max_examples=60, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_tickets_never_revert(seed):
    run_sequence(seed)


def run_sequence(seed: int) -> Operators:
    """Run one sequence from a seed, until everything has settled."""
    operators = Operators(random.Random(seed))
    for _ in range(STEPS):
        draw = operators.chance.random()
        if draw < 0.75:
            operators.step()
        elif draw < 0.85:
            operators.send()
        elif draw < 0.95:
            operators.read()
        elif operators.chance.random() < 0.5:
            operators.world.table.faults.append(operators.chance.choice(("late", "lost")))
        else:
            operators.world.table.deliver()
    operators.settle()
    return operators
