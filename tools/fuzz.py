"""Fuzz the instances' decisions with seeded sequences of faults, and tell the verdict."""

import sys

import typer

from test.fuzz.machines import MACHINES
from test.fuzz.runner import Verdict, run_machine

BATCH = 100
"""Sequences from one seed; the next batch takes the next seed, so a failure replays quickly.

A batch ends at its first failure, so fewer sequences than asked for run then.
"""

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def run(
    seed: int = typer.Option(1, help="First seed."),
    examples: int = typer.Option(2000, help="Sequences for each machine."),
    machine: str = typer.Option("", help="Run this machine only."),
    shrink: bool = typer.Option(False, help="Look for a shorter sequence after a failure."),
) -> None:
    """Run all machines and exit with 1 where a sequence broke one of the eight points."""
    names = [machine] if machine else sorted(MACHINES)
    verdicts = [run_all(name, seed, examples, shrink) for name in names]
    sys.exit(0 if all(verdicts) else 1)


def run_all(name: str, seed: int, examples: int, shrink: bool) -> bool:
    """Run one machine batch by batch, on after a failure; tell whether none failed."""
    done = 0
    failed: list[int] = []
    seconds = 0.0
    while done < examples:
        count = min(BATCH, examples - done)
        verdict = run_machine(name, seed + done // BATCH, count, shrink)
        if verdict.failure is not None:
            failed.append(seed + done // BATCH)
            tell_failure(verdict, count)
        done += count
        seconds += verdict.seconds
        print(f"{name}: up to {done} of {examples} sequences, {seconds:.0f} s", flush=True)
    word = f"FAILED with seeds {failed}" if failed else "passed"
    print(f"{name}: {word}, {examples} sequences from seed {seed} on, {seconds:.0f} s", flush=True)
    return not failed


def tell_failure(verdict: Verdict, count: int) -> None:
    """Print what was seen and the command that replays it."""
    print("\n".join(x for x in verdict.describe().splitlines() if x != "state.hold()"))
    command = f"--seed {verdict.seed} --examples {count} --machine {verdict.machine}"
    print(f"replay: python -m tools.fuzz {command}", flush=True)


if __name__ == "__main__":
    app()
