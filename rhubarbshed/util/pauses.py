"""Exponential backoff with full jitter between retries."""

import random

PAUSE_FIRST_S = 0.02
PAUSE_LONGEST_S = 1.0


def choose_pause(tries: int, rng: random.Random) -> float:
    """Return the seconds to wait before the next retry, with full jitter.

    `tries` counts the attempts besides the first.
    """
    return rng.uniform(0.0, min(PAUSE_LONGEST_S, PAUSE_FIRST_S * 2**tries))
