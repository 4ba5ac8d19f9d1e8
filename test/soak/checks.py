"""The promises, each as a function from a history to what breaks it."""

import collections
import re
from collections.abc import Callable

from standin.run import EVENTS_PER_STREAM
from test.soak.history import Asked, History

LEASE_S = 3.0
DRAIN_S = 2.0
APPLY_S = 2.0
STABLE_S = 3.0
GRACE_S = 8.0
GONE_S = 0.5
SLACK_S = 0.3
"""Bounds of the platform's pages, and what a busy machine may add to a time taken by the soak."""

PROMISES = (408, 421, 429, 503)
EVENT = re.compile(rb"id: (\d+)\ndata: t\1\n\n")

Check = Callable[[History], list[str]]


def check_once(history: History) -> list[str]:
    """A request that may not be repeated runs once at most."""
    runs = collections.Counter(
        each.request_id for each in history.seen if each.what == "run" and "/u/" in each.path
    )
    return [f"{name} ran {count} times" for name, count in runs.items() if count > 1]


def check_not_run(history: History) -> list[str]:
    """A refusal of our own that says "not run" is true, also later."""
    ran = {each.request_id for each in history.seen if each.what == "run"}
    return [
        f"{each.request_id} was answered {each.status} and ran"
        for each in history.asked
        if each.status in PROMISES and not each.signed and each.request_id in ran
    ]


def check_answers(history: History) -> list[str]:
    """An answer is a server's own, whole, and that to the caller's own request."""
    return [
        f"{each.request_id}: {each.status} with {each.body[:60]!r}"
        for each in history.asked
        if each.status == 200 and not _is_true(each)
    ]


def _is_true(asked: Asked) -> bool:
    if not asked.signed:
        return False
    if "/s/" not in asked.path:
        expected = b"done:" + asked.request_id.encode() + b":" + asked.payload
        return asked.body == expected if asked.whole else expected.startswith(asked.body)
    numbers = [int(number) for number in EVENT.findall(asked.body)]
    in_order = numbers == list(range(1, len(numbers) + 1))
    return in_order and (not asked.whole or len(numbers) == EVENTS_PER_STREAM)


def check_room(history: History) -> list[str]:
    """No engine is ordered to hold more than it can."""
    return [f"{each.server} at {each.at:.2f}" for each in history.seen if each.what == "overfull"]


def check_holders(history: History) -> list[str]:
    """Orders to an engine come from one holder at a time, a lease apart, with rising tokens."""
    broken = []
    last: dict[tuple[str, int], tuple[float, str, int]] = {}
    for each in history.seen:
        if each.what != "order":
            continue
        key = (each.server, each.born)
        at, holder, token = last.get(key, (each.at, each.holder, each.token))
        if each.token < token:
            broken.append(f"{each.server}: token {each.token} after {token}")
        if each.holder != holder and each.at - at < LEASE_S:
            broken.append(f"{each.server}: {each.holder} {each.at - at:.2f} s after {holder}")
        if each.holder != holder and each.token == token:
            broken.append(f"{each.server}: {each.holder} and {holder} with token {token}")
        last[key] = (each.at, each.holder, each.token)
    return broken


def check_leaving(history: History) -> list[str]:
    """A server that left gets nothing new after the drain time, but from those in trouble."""
    instances = {each.request_id: each.instance for each in history.asked}
    broken = []
    for left in history.leavings:
        for each in history.seen:
            late = left.at + DRAIN_S + SLACK_S < each.at <= left.until
            if each.what != "run" or each.server != left.server or not late:
                continue
            instance = instances.get(each.request_id, "")
            if not history.was_touched(instance, left.at - STABLE_S, each.at):
                broken.append(
                    f"{each.request_id} ran at {each.server} {each.at - left.at:.2f} s late"
                )
    return broken


def check_configuration(history: History) -> list[str]:
    """A configuration is in force in time, and none comes back."""
    asked = {each.request_id: each for each in history.asked}
    broken = []
    for each in history.seen:
        found = asked.get(each.request_id)
        if each.what != "run" or found is None or "/x/" not in each.path:
            continue
        for at, old, _ in history.moves:
            late = found.sent_at > at + APPLY_S + SLACK_S
            again = any(back > at and new == old for back, _, new in history.moves)
            calm = not history.was_touched(found.instance, at - STABLE_S, each.at)
            if late and calm and not again and each.server.startswith(old):
                broken.append(f"{each.request_id} ran at {each.server} {each.at - at:.2f} s later")
    return broken


def check_stops(history: History) -> list[str]:
    """A planned stop cuts nothing off and ends by itself, well and in time."""
    broken = [
        f"{stop.instance} ended with {stop.code} after {stop.ended_at - stop.at:.2f} s"
        for stop in history.stops
        if not history.was_touched(stop.instance, stop.at - STABLE_S, stop.ended_at)
        and (stop.code != 0 or stop.ended_at - stop.at > GRACE_S)
    ]
    reached = {each.request_id for each in history.seen if each.what == "run"}
    # Not a fault of the stop: the pages leave out what the server itself broke off.
    reached -= {each.request_id for each in history.seen if each.what == "broke"}
    for stop in history.stops:
        if history.was_touched(stop.instance, stop.at - STABLE_S, stop.ended_at):
            continue
        for each in history.asked:
            cut = each.status == 0 or not each.whole
            during = each.sent_at < stop.ended_at and each.ended_at > stop.at
            mine = each.instance == stop.instance and not each.left
            if mine and during and cut and each.request_id in reached:
                broken.append(f"{each.request_id} was cut off as {stop.instance} stopped")
    return broken


def check_gone(history: History) -> list[str]:
    """Work for a caller that went away ends soon."""
    gone = {each.request_id: each for each in history.asked if each.left}
    ends = {}
    for each in history.seen:
        if each.what == "end":
            ends[each.request_id] = each.at
    broken = []
    for each in history.seen:
        left = gone.get(each.request_id)
        if left is None or each.what != "run" or "/s/" not in each.path:
            continue
        end = ends.get(each.request_id)
        touched = history.was_touched(left.instance, left.ended_at - STABLE_S, left.ended_at + 2.0)
        touched = touched or history.was_touched(each.server, left.ended_at - STABLE_S, each.at + 9)
        if end is not None and not touched and end > left.ended_at + GONE_S + SLACK_S:
            broken.append(f"{each.request_id} ran {end - left.ended_at:.2f} s for nobody")
    return broken


def check_refusals(history: History) -> list[str]:
    """A refusal says when to come back."""
    return [
        f"{each.request_id}: {each.status} without a time to come back"
        for each in history.asked
        if each.status in (429, 503) and not each.signed and not each.retry_after
    ]


def check_own_ends(history: History) -> list[str]:
    """No process ends by itself."""
    return list(history.own_ends)


def check_recovery(history: History) -> list[str]:
    """Once all faults are over, everything is served again."""
    late = [each for each in history.asked if each.sent_at >= history.calm_from and not each.left]
    if history.calm_from and not late:
        return ["nothing was asked after the faults"]
    return [
        f"{each.request_id} {each.path} got {each.status}"
        for each in late
        if each.status != 200 or not each.whole
    ]


CHECKS: dict[str, Check] = {
    "once": check_once,
    "not_run": check_not_run,
    "answers": check_answers,
    "room": check_room,
    "holders": check_holders,
    "leaving": check_leaving,
    "configuration": check_configuration,
    "stops": check_stops,
    "gone": check_gone,
    "refusals": check_refusals,
    "own_ends": check_own_ends,
    "recovery": check_recovery,
}


def check_all(history: History) -> dict[str, list[str]]:
    """Return what broke each promise, without those that hold."""
    found = {name: check(history) for name, check in CHECKS.items()}
    return {name: broken for name, broken in found.items() if broken}
