"""Verdicts on requests, and on parts of prompts, that were at backend servers when these ended.

Answers a request that crashes each server that runs it and that its caller sends again, with a new
id and at any instance, and a part of prompts that crashes each server that begins an answer on it,
in requests that are all different. Servers also end for other reasons, several at a time, each with
dozens of sound requests: what counts are ends one after the other.
"""

import enum
from collections.abc import Callable, Collection, Iterable

from attrs import frozen

from rhubarbshed.protocol.quarantine import CrashId, Sighting

WEIGHT_UNBEGUN = 3
WEIGHT_BEGUN = 2
WEIGHT_OF_VERDICT = 6
"""A request is stopped after two ends if it was about to begin at both, after three if it had
begun: a sound stream lasts for seconds and may be at several servers that end."""

REQUESTS_OF_VERDICT = 2
REQUESTS_IF_BEGUN = 3
REQUESTS_IF_POPULAR = 4
POPULAR_BEGUN = 10
"""Different requests with a part, at ends one after the other, after which the part is stopped:
more if answers on it have begun lately, here at least once or `POPULAR_BEGUN` times."""

APART_S = 0.01
"""Time between two ends that do not come from one cause, such as a lost rack, for new parts."""

TRIAL_PAUSES_S = (10.0, 60.0, 600.0)
"""Seconds after the last end until one more request is sent, to find out whether a verdict is
wrong; longer after each trial that ended a server too."""


class Strength(enum.IntEnum):
    """How much an end says about a key that was there, compared with other keys."""

    BEGUN = 0
    UNBEGUN = 1
    PART = 2


@frozen
class Verdict:
    """Finding that a request, or a part of prompts, ends the servers that run it.

    `rounds` are the ends that count, in order, and `crashes` all that the key was at. From
    `trial_at` (monotonic seconds) on the verdict is put to a trial.
    """

    key: str
    rounds: tuple[Sighting, ...]
    trial_at: float
    crashes: frozenset[CrashId]

    @property
    def strength(self) -> Strength:
        """Return how much the ends say about the key."""
        return min(find_strength(self.key, each) for each in self.rounds)


def find_strength(key: str, sighting: Sighting) -> Strength:
    """Return how much an end says about a key."""
    if sighting.request != key:
        return Strength.PART
    return Strength.BEGUN if sighting.begun else Strength.UNBEGUN


def drop_explained(
    key: str, sightings: Iterable[Sighting], verdicts: Collection[Verdict]
) -> tuple[Sighting, ...]:
    """Leave out the ends that the verdict on another key explains better.

    A request that ends servers does so under dozens of streams that had begun, and sound ones that
    are sent again may be at each of its ends.
    """
    explained = {
        strength: frozenset().union(
            *(each.crashes for each in verdicts if each.key != key and each.strength > strength)
        )
        for strength in Strength
    }
    return tuple(
        each for each in sightings if each.crash not in explained[find_strength(key, each)]
    )


def is_sent_after(later: Sighting, earlier: Sighting) -> bool:
    """Return whether a request was sent after the end of a server with an earlier one."""
    return later.after == earlier.crash or later.sent_at > earlier.ended_at


def is_apart(later: Sighting, earlier: Sighting) -> bool:
    """Return whether an end came noticeably later than another, whenever its request was sent."""
    return later.ended_at - earlier.ended_at >= APART_S or is_sent_after(later, earlier)


def choose_rounds(
    sightings: Iterable[Sighting],
    weigh: Callable[[Iterable[Sighting]], int],
    follows: Callable[[Sighting, Sighting], bool] = is_sent_after,
) -> tuple[Sighting, ...]:
    """Choose the series of ends with the greatest weight, each of which follows the one before.

    Servers that end together, in a lost rack for instance, say no more about the requests at them
    than one server does.
    """
    best: tuple[Sighting, ...] = ()
    series: list[tuple[Sighting, ...]] = []
    for sighting in sorted(sightings, key=lambda each: (each.ended_at, each.request)):
        longer = [
            (*each, sighting)
            for each in series
            if follows(sighting, each[-1]) and all(it.crash != sighting.crash for it in each)
        ]
        series.append(max([(sighting,), *longer], key=weigh))
        best = max(best, series[-1], key=weigh)
    return best


def weigh_ends(rounds: Iterable[Sighting]) -> int:
    """Return the weight of the ends under copies of one request."""
    return sum(WEIGHT_BEGUN if each.begun else WEIGHT_UNBEGUN for each in rounds)


def count_requests(rounds: Iterable[Sighting]) -> int:
    """Return the number of different requests at a series of ends."""
    return len({each.request for each in rounds})


def choose_requests_min(begun_lately: int) -> int:
    """Return how many requests with a part are needed for a verdict on it.

    `begun_lately` is the number of answers on it that have begun: many sound requests share a part
    that is often used, and with ends in quick succession some wait at each of them.
    """
    if begun_lately >= POPULAR_BEGUN:
        return REQUESTS_IF_POPULAR
    return REQUESTS_IF_BEGUN if begun_lately else REQUESTS_OF_VERDICT


def find_verdict(
    key: str, sightings: Iterable[Sighting], requests_min: int = REQUESTS_OF_VERDICT
) -> Verdict | None:
    """Return the verdict on a key by its open sightings, None if its requests may be sent.

    The key is a request's fingerprint, or that of a part, of which `requests_min` different
    requests are needed: one request that crashes servers says nothing about its parts. Requests
    with a part often overlap. Where hardly any other request has it, a verdict does not wait for
    one that was sent after an end, as each end before it costs a server.
    """
    sightings = tuple(sightings)
    follows = is_sent_after
    if all(each.request == key for each in sightings):
        weigh, limit = weigh_ends, WEIGHT_OF_VERDICT
    else:
        weigh, limit = count_requests, requests_min
        follows = is_apart if requests_min <= REQUESTS_OF_VERDICT else is_sent_after
    rounds = choose_rounds(sightings, weigh, follows)
    if weigh(rounds) < limit:
        return None
    needed = next(count for count in range(1, len(rounds) + 1) if weigh(rounds[:count]) >= limit)
    last_at = max(each.ended_at for each in rounds)
    crashes = frozenset(each.crash for each in sightings)
    return Verdict(key, rounds, last_at + choose_pause(len(rounds) - needed), crashes)


def choose_pause(trials: int) -> float:
    """Return the seconds until the next trial after so many."""
    return TRIAL_PAUSES_S[min(trials, len(TRIAL_PAUSES_S) - 1)]
