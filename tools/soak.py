"""Play seeds of the fault soak, some beside each other, and tell the verdict."""

import shutil
import sys
from concurrent.futures import ProcessPoolExecutor

import typer

from test.soak.run import Verdict, play_seed

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def run(
    seed: int = typer.Option(1, help="First seed."),
    count: int = typer.Option(1, help="Seeds to play."),
    seconds: float = typer.Option(20.0, help="Time in which faults begin, for each seed."),
    jobs: int = typer.Option(2, help="Seeds beside each other; each is a dozen processes."),
) -> None:
    """Play seeds; exit with 1 where one broke a promise. Logs of those that did are kept."""
    failed = 0
    with ProcessPoolExecutor(jobs) as pool:
        seeds = range(seed, seed + count)
        for verdict in pool.map(play_seed, seeds, [seconds] * count):
            failed += tell(verdict)
    print(f"{count - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


def tell(verdict: Verdict) -> bool:
    """Print one line for a seed that passed, and all about one that did not."""
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
