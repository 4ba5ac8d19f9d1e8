"""Verdicts on requests that were at backend servers when these ended.

Answers a request that crashes each server that runs it and that its caller sends again, with a new
id and at any instance. Servers also end for other reasons, several at a time, each with dozens of
sound requests: what counts are ends one after the other.
"""

from collections.abc import Iterable

from attrs import frozen

from rhubarbshed.protocol.quarantine import Sighting

WEIGHT_UNBEGUN = 3
WEIGHT_BEGUN = 2
WEIGHT_OF_VERDICT = 6
"""A request is stopped after two ends if it was about to begin at both, after three if it had
begun: a sound stream lasts for seconds and may be at several servers that end."""

TRIAL_PAUSES_S = (5.0, 60.0, 600.0)
"""Seconds after the last end until one more request is sent, to find out whether a verdict is
wrong; longer after each trial that ended a server too."""


@frozen
class Verdict:
    """Finding that a request ends the servers that run it.

    `rounds` are the ends that count, in order. From `trial_at` (monotonic seconds) on the verdict
    is put to a trial.
    """

    key: str
    rounds: tuple[Sighting, ...]
    trial_at: float


def is_sent_after(later: Sighting, earlier: Sighting) -> bool:
    """Return whether a request was sent after the end of a server with an earlier one."""
    return later.after == earlier.crash or later.sent_at > earlier.ended_at


def choose_rounds(sightings: Iterable[Sighting]) -> tuple[Sighting, ...]:
    """Choose the series of ends with the greatest weight, each request sent after the end before.

    Servers that end together, in a lost rack for instance, say no more about the requests at them
    than one server does.
    """
    best: tuple[Sighting, ...] = ()
    series: list[tuple[Sighting, ...]] = []
    for sighting in sorted(sightings, key=lambda each: each.ended_at):
        before = [each for each in series if is_sent_after(sighting, each[-1])]
        chosen = (*max(before, key=weigh, default=()), sighting)
        series.append(chosen)
        best = max(best, chosen, key=weigh)
    return best


def weigh(rounds: Iterable[Sighting]) -> int:
    """Return the weight of a series of ends."""
    return sum(WEIGHT_BEGUN if each.begun else WEIGHT_UNBEGUN for each in rounds)


def find_verdict(key: str, sightings: Iterable[Sighting]) -> Verdict | None:
    """Return the verdict on a request by its open sightings, None if it may be sent."""
    rounds = choose_rounds(sightings)
    if weigh(rounds) < WEIGHT_OF_VERDICT:
        return None
    needed = next(
        count for count in range(1, len(rounds) + 1) if weigh(rounds[:count]) >= WEIGHT_OF_VERDICT
    )
    failed_trials = min(len(rounds) - needed, len(TRIAL_PAUSES_S) - 1)
    last_at = max(each.ended_at for each in rounds)
    return Verdict(key, rounds, last_at + TRIAL_PAUSES_S[failed_trials])
