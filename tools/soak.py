"""Run seeds of the fault soak test in parallel and print the verdicts."""

import functools
import shutil
import sys
from concurrent.futures import ProcessPoolExecutor

import typer

from test.soak.mutations import MUTATIONS, Mutation, apply_mutation
from test.soak.run import Verdict, play_seed
from test.soak.scene import INSTANCES

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def play(
    seed: int = typer.Option(1, help="First seed."),
    count: int = typer.Option(1, help="Seeds to play."),
    seconds: float = typer.Option(20.0, help="Time in which faults begin, for each seed."),
    jobs: int = typer.Option(2, help="Seeds beside each other; each is a dozen processes."),
    instances: int = typer.Option(INSTANCES, help="Instances; three callers use each."),
) -> None:
    """Play seeds; exit with 1 where one broke a promise. Logs of those that did are kept."""
    failed = 0
    with ProcessPoolExecutor(jobs) as pool:
        run = functools.partial(play_seed, seconds=seconds, instances=instances)
        for verdict in pool.map(run, range(seed, seed + count)):
            failed += print_verdict(verdict)
    print(f"{count - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


@app.command()
def mutate(
    promise: str = typer.Option("", help="Only the fault against this promise."),
    seeds: int = typer.Option(4, help="Seeds to try for each fault, from 1 on."),
    seconds: float = typer.Option(20.0, help="Time in which faults begin, for each seed."),
    jobs: int = typer.Option(2, help="Faults tried beside each other."),
) -> None:
    """Put a fault into the code for each promise, and tell which seed shows it."""
    chosen = [each for each in MUTATIONS if promise in ("", each.promise)]
    missed = 0
    with ProcessPoolExecutor(jobs) as pool:
        caught = pool.map(
            find_detecting_seed, chosen, [seeds] * len(chosen), [seconds] * len(chosen)
        )
        for mutation, seed in zip(chosen, caught, strict=True):
            print(f"{mutation.promise}: {f'seed {seed}' if seed else 'not seen'}", flush=True)
            missed += seed == 0
    sys.exit(1 if missed else 0)


def find_detecting_seed(mutation: Mutation, seeds: int, seconds: float) -> int:
    """Return the first seed that detects a fault by its broken promise, or 0 for none."""
    folder = apply_mutation(mutation)
    try:
        for seed in range(1, seeds + 1):
            verdict = play_seed(seed, seconds, folder)
            shutil.rmtree(verdict.folder)
            if mutation.promise in verdict.broken:
                return seed
        return 0
    finally:
        shutil.rmtree(folder)


def print_verdict(verdict: Verdict) -> bool:
    """Print one line for a seed that passed, or the full verdict; return whether it failed."""
    if verdict.broken:
        print(verdict.describe(), flush=True)
        return True
    asked = verdict.history.asked
    served = sum(each.status == 200 and each.whole for each in asked)
    faults = len(verdict.history.disturbances)
    print(f"seed {verdict.seed}: {served} of {len(asked)} served, {faults} faults", flush=True)
    shutil.rmtree(verdict.folder)
    return False


if __name__ == "__main__":
    app()
