"""Play days of demand for more models than fit against the placement of order holders."""

import collections
import random
import statistics

import typer
from attrs import frozen

from tools.engine_play import STEP_S, Play
from tools.engine_scenario import CATALOGUE_SEED, DAYS

STARVED_MIN_ASKED = 4
"""Requests for a model from which it counts as never served."""


@frozen
class Result:
    """Shares of one kind of request in a play, and how many of its models were never served."""

    on_time: float
    late: float
    held_in_vain: float
    starved: int


def summarize(play: Play) -> dict[str, Result]:
    """Return the results of a play by kind of request; models count if asked for four times."""
    results = {}
    for name, each in play.outcomes.items():
        asked = [model for model, count in each.asked_models.items() if count >= STARVED_MIN_ASKED]
        results[name] = Result(
            each.on_time / each.asked,
            each.late / each.asked,
            len(each.held_s) / each.asked,
            sum(1 for model in asked if not each.served[model]),
        )
    return results


def measure_worth(play: Play) -> float:
    """Return the worth earned, as a fraction of that asked for."""
    earned = owed = 0.0
    for caller in play.day.callers:
        each = play.outcomes[caller.name]
        earned += caller.worth * each.on_time + caller.late_worth * each.late
        owed += caller.worth * each.asked
    return earned / owed


def play_day(day: str, seed: int) -> Play:
    """Play a day by its name."""
    play = Play.from_day(DAYS[day](random.Random(CATALOGUE_SEED)), seed)
    play.run()
    return play


def print_plays(day: str, plays: list[Play]) -> None:
    """Print the means over several plays of a day."""
    results = [summarize(play) for play in plays]
    steps = [int(play.day.lead_s / STEP_S) for play in plays]
    copies = [play.copies[step:] for play, step in zip(plays, steps, strict=True)]
    orders = sum((play.orders for play in plays), collections.Counter())
    busy = [
        sum(engine.busy_s for engine in play.engines)
        / (len(play.engines) * (play.day.lead_s + play.day.lasts_s))
        for play in plays
    ]
    print(
        f"{day:6} worth {statistics.mean(map(measure_worth, plays)):.3f}"
        f" copies {statistics.mean(statistics.mean(each) for each in copies):5.1f}"
        f" engines busy {statistics.mean(busy):.2f} loads from the store"
        f" {orders['load store'] / len(plays):.0f}"
        f", from disks {orders['load disk'] / len(plays):.0f}"
        f", unloads {orders['unload'] / len(plays):.0f}"
    )
    for name in results[0]:
        found = [each[name] for each in results]
        print(
            f"       {name:10} on time {statistics.mean(each.on_time for each in found):.3f}"
            f" late {statistics.mean(each.late for each in found):.3f}"
            f" held in vain {statistics.mean(each.held_in_vain for each in found):.3f}"
            f" models never served {statistics.mean(each.starved for each in found):.1f}"
        )


def main(day: str = "", seed: int = 1, plays: int = 4) -> None:
    """Play a day, or all, with several seeds, and print the means."""
    for name in [day] if day else DAYS:
        print_plays(name, [play_day(name, number) for number in range(seed, seed + plays)])


if __name__ == "__main__":
    typer.run(main)
