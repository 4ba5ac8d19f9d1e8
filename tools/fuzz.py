"""Fuzz the instances' decisions with seeded sequences of faults, and tell the verdict."""

import sys

import typer

from test.fuzz.machines import MACHINES
from test.fuzz.runner import Verdict, run_machine

TELL_EACH = 100
BATCH = 100
"""Sequences from one seed; the next batch takes the next seed, so a failure replays quickly."""

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
    """Run one machine batch by batch until one fails; tell whether none did."""
    done = 0
    seconds = 0.0
    while done < examples:
        count = min(BATCH, examples - done)
        batch_seed = seed + done // BATCH
        verdict = run_machine(name, batch_seed, count, shrink)
        if verdict.failure is not None:
            tell_failure(verdict, count)
            return False
        done += count
        seconds += verdict.seconds
        if done % TELL_EACH == 0:
            print(f"{name}: {done} of {examples} sequences, {seconds:.0f} s", flush=True)
    print(f"{name}: passed, {done} sequences in {seconds:.0f} s, first seed {seed}", flush=True)
    return True


def tell_failure(verdict: Verdict, count: int) -> None:
    """Print what was seen and the command that replays it."""
    print(verdict.describe())
    command = f"--seed {verdict.seed} --examples {count} --machine {verdict.machine}"
    print(f"replay: python -m tools.fuzz {command}", flush=True)


if __name__ == "__main__":
    app()
