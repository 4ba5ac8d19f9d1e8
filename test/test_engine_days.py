"""What placement makes of more demand than fits in memory, on modelled engines."""

import random

import pytest

from tools.engine_days import summarize
from tools.engine_play import Play
from tools.engine_scenario import CATALOGUE_SEED, DAYS

KEPT_SET_FRACTION = 0.9
"""Part of what a set of models that is chosen once and kept would serve."""

CLASS_FLOOR = 0.46
LATE_WORTH = 0.1
"""Worth that overnight requests have to earn on a quiet day, and that of one answered late."""


def play_day(name: str, seed: int) -> Play:
    play = Play.from_day(DAYS[name](random.Random(CATALOGUE_SEED)), seed)
    play.run()
    return play


def measure_kept_set(play: Play) -> tuple[float, int]:
    """Return the share of requests for the most popular models that fit, and how many these are."""
    free = [engine.spec.weights_mb for engine in play.engines]
    weights = play.list_weights(play.day.callers[0], 0.0)
    share, kept = 0.0, 0
    for name, weight in weights:
        size_mb = play.day.spec.models[name].size_mb
        fitting = [index for index, left in enumerate(free) if left >= size_mb]
        if fitting:
            free[min(fitting, key=lambda index: free[index])] -= size_mb
            share, kept = share + weight, kept + 1
    return share / sum(weight for _, weight in weights), kept


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_memory_is_not_half_empty_where_a_few_more_models_are_asked_for_than_fit(seed):
    """Each load evicted a model that had just been loaded for others, and nobody was on time."""
    play = play_day("crowded", seed)
    share, kept = measure_kept_set(play)
    assert summarize(play)["overnight"].on_time >= KEPT_SET_FRACTION * share
    since = int((play.day.lead_s + 10.0) / 0.05)
    copies = play.copies[since:]
    assert sum(copies) / len(copies) >= KEPT_SET_FRACTION * kept


@pytest.mark.parametrize("seed", (1, 2, 3, 4))
def test_overnight_requests_earn_their_floor_on_a_quiet_day(seed):
    results = summarize(play_day("quiet", seed))
    overnight = results["overnight"]
    assert overnight.on_time + LATE_WORTH * overnight.late >= CLASS_FLOOR
    assert all(each.starved <= 1 + 0.1 * 80 for each in results.values())
