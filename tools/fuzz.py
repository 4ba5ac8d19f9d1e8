"""Fuzz the instances' decisions with seeded sequences of faults and print the verdict."""

import sys

import typer

from test.fuzz.machines import MACHINES
from test.fuzz.runner import Verdict, run_machine

BATCH = 100
"""Sequences per seed; each batch uses the next seed, so that a failure replays quickly.

A batch ends at its first failure, so it may run fewer sequences than requested.
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
    verdicts = [run_batches(name, seed, examples, shrink) for name in names]
    sys.exit(0 if all(verdicts) else 1)


def run_batches(name: str, seed: int, examples: int, shrink: bool) -> bool:
    """Run one machine in batches, continuing after a failure; return whether all passed."""
    done = 0
    failed_seeds: list[int] = []
    seconds = 0.0
    while done < examples:
        count = min(BATCH, examples - done)
        verdict = run_machine(name, seed + done // BATCH, count, shrink)
        if verdict.failure is not None:
            failed_seeds.append(seed + done // BATCH)
            print_failure(verdict, count)
        done += count
        seconds += verdict.seconds
        print(f"{name}: up to {done} of {examples} sequences, {seconds:.0f} s", flush=True)
    result = f"FAILED with seeds {failed_seeds}" if failed_seeds else "passed"
    print(
        f"{name}: {result}, {examples} sequences from seed {seed} on, {seconds:.0f} s", flush=True
    )
    return not failed_seeds


def print_failure(verdict: Verdict, count: int) -> None:
    """Print the failure and the command that replays it."""
    print("\n".join(x for x in verdict.describe().splitlines() if x != "state.hold()"))
    command = f"--seed {verdict.seed} --examples {count} --machine {verdict.machine}"
    print(f"replay: python -m tools.fuzz {command}", flush=True)


if __name__ == "__main__":
    app()
