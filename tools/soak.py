"""Run seeds of the fault soak test in parallel and print the verdicts."""

import collections
import functools
import math
import shutil
import sys
from concurrent.futures import ProcessPoolExecutor

import typer

from test.soak.history import Asked, History, Stop
from test.soak.mutations import MUTATIONS, Mutation, apply_mutation
from test.soak.run import Verdict, play_seed
from test.soak.scene import INSTANCES

BIN_MS = 500
SERVER, REFUSAL, NOTHING, CROSSED, LEFT = "server", "refusal", "nothing", "crossed", "left"
ANSWERS = (SERVER, REFUSAL, NOTHING, CROSSED, LEFT)
"""What answered: a server, the instance itself, nothing, nothing to a request that was not passed
on, or nothing yet as the caller left."""

TITLES = ("to last byte", "how", *ANSWERS, "shortest ms to end", "longest", "latest end")

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def play(
    seed: int = typer.Option(1, help="First seed."),
    count: int = typer.Option(1, help="Seeds to play."),
    seconds: float = typer.Option(20.0, help="Time in which faults begin, for each seed."),
    jobs: int = typer.Option(2, help="Seeds beside each other; each is a dozen processes."),
    instances: int = typer.Option(INSTANCES, min=2, help="Instances; three callers use each."),
    margin: bool = typer.Option(False, help="Print the requests around each planned stop."),
) -> None:
    """Play seeds; exit with 1 where one broke a promise. Logs of those that did are kept."""
    failed = 0
    with ProcessPoolExecutor(jobs) as pool:
        run = functools.partial(play_seed, seconds=seconds, instances=instances)
        for verdict in pool.map(run, range(seed, seed + count)):
            failed += print_verdict(verdict, margin)
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


def print_verdict(verdict: Verdict, margin: bool) -> bool:
    """Print one line for a seed that passed, or the full verdict; return whether it failed."""
    if margin:
        print(describe_margin(verdict.history), flush=True)
    if verdict.broken:
        print(verdict.describe(), flush=True)
        return True
    asked = verdict.history.asked
    served = sum(each.status == 200 and each.whole for each in asked)
    faults = len(verdict.history.disturbances)
    print(f"seed {verdict.seed}: {served} of {len(asked)} served, {faults} faults", flush=True)
    shutil.rmtree(verdict.folder)
    return False


def describe_margin(history: History) -> str:
    """Return the table of each stop; times are in ms from SIGTERM."""
    passed_on = {each.request_id for each in history.seen if each.what == "run"}
    return "\n".join(_describe_stop(history, stop, passed_on) for stop in history.stops) + "\n"


def _describe_stop(history: History, stop: Stop, passed_on: set[str]) -> str:
    rows: dict[tuple[float, str], list[Asked]] = collections.defaultdict(list)
    for each in history.asked:
        if each.instance != stop.instance or each.ended_at < stop.at:
            continue
        if each.sent_at < stop.ended_at:
            rows[(_find_bin(each, stop), each.how.value)].append(each)
    lasted_ms = (stop.ended_at - stop.at) * 1000
    lines = [
        f"{stop.instance} at {stop.at:.3f} s, exit {stop.code} after {lasted_ms:.0f} ms",
        "  " + " | ".join(TITLES),
    ]
    for (since_ms, how), found in sorted(rows.items()):
        lines.append("  " + " | ".join(_describe_row(since_ms, how, found, stop, passed_on)))
    return "\n".join(lines)


def _find_bin(asked: Asked, stop: Stop) -> float:
    if not asked.last_byte_at:
        return math.inf
    return math.floor((asked.last_byte_at - stop.at) * 1000 / BIN_MS) * BIN_MS


def _describe_row(
    since_ms: float, how: str, found: list[Asked], stop: Stop, passed_on: set[str]
) -> list[str]:
    answers = collections.Counter(find_answer(each, passed_on) for each in found)
    waits_ms = [(each.ended_at - (each.last_byte_at or each.sent_at)) * 1000 for each in found]
    latest_ms = max(each.ended_at - stop.at for each in found) * 1000
    sent = "not whole" if math.isinf(since_ms) else f"{since_ms:.0f} to {since_ms + BIN_MS:.0f}"
    times = (min(waits_ms), max(waits_ms), latest_ms)
    counts = [str(answers[each]) for each in ANSWERS]
    return [sent, how, *counts, *(f"{each:.0f}" for each in times)]


def find_answer(asked: Asked, passed_on: set[str]) -> str:
    """Return what answered a request."""
    if asked.status != 0 and asked.whole:
        return SERVER if asked.signed else REFUSAL
    if asked.left:
        return LEFT
    return NOTHING if asked.request_id in passed_on else CROSSED


if __name__ == "__main__":
    app()
