"""Run a state machine from a seed and return its verdict."""

import time
from collections.abc import Callable
from unittest import mock

from attrs import define, frozen
from hypothesis import HealthCheck, Phase, settings
from hypothesis.internal.conjecture import providers
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from test.fuzz.machines import MACHINES

STEPS_MAX = 25


@frozen
class Verdict:
    """Result of a run of a machine; `steps` is the length of the sequence that failed."""

    machine: str
    seed: int | None
    sequences: int
    steps: int
    seconds: float
    failure: BaseException | None = None

    def describe(self) -> str:
        """Return one line, and after a failure the error and how to replay it."""
        word = "passed" if self.failure is None else "FAILED"
        line = f"{self.machine}: {word}, {self.sequences} sequences in {self.seconds:.0f} s"
        if self.failure is None:
            return line
        notes = "\n".join(getattr(self.failure, "__notes__", ()))
        return f"{line}, {self.steps} steps in the last one\n{self.failure!r}\n{notes}"


@define
class Progress:
    """Number of sequences that a machine has begun, and of rules run in the last one."""

    tell: Callable[[int], None]
    sequences: int = 0
    steps: int = 0

    def count_sequence(self) -> None:
        self.sequences += 1
        self.steps = 0
        self.tell(self.sequences)

    def count_step(self) -> None:
        self.steps += 1


def make_counted(machine: type[RuleBasedStateMachine], progress: Progress) -> type:
    """Return a subclass of the machine that counts its sequences and steps."""

    class Counted(machine):
        def __init__(self) -> None:
            super().__init__()
            progress.count_sequence()

        def check_invariants(self, *args, **options) -> None:
            progress.count_step()
            super().check_invariants(*args, **options)

    Counted.__name__ = Counted.__qualname__ = machine.__name__
    return Counted


def run_machine(
    name: str,
    seed: int | None,
    examples: int,
    shrinks: bool = False,
    tell: Callable[[int], None] = lambda _: None,
) -> Verdict:
    """Run a machine; without a seed, hypothesis derives the sequences deterministically.

    hypothesis also draws constants that it finds in the modules loaded so far, so the sequences
    of a seed would depend on the tests that ran before: these constants are left out.
    """
    progress = Progress(tell)
    machine = make_counted(MACHINES[name], progress)
    if seed is not None:
        machine._hypothesis_internal_use_seed = seed
    phases = [Phase.generate, Phase.shrink] if shrinks else [Phase.generate]
    options = settings(
        max_examples=examples,
        stateful_step_count=STEPS_MAX,
        deadline=None,
        database=None,
        derandomize=seed is None,
        print_blob=False,
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
        phases=phases,
    )
    began = time.perf_counter()
    failure = None
    try:
        with mock.patch.object(providers, "_get_local_constants", providers.Constants):
            run_state_machine_as_test(machine, settings=options)
    except Exception as error:
        failure = error
    seconds = time.perf_counter() - began
    return Verdict(name, seed, progress.sequences, progress.steps, seconds, failure)
