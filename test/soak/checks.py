"""Guarantees of the system, each as a function that returns its violations in a history."""

import collections
import math
import re
from collections.abc import Callable

from standin.run import EVENTS_PER_STREAM
from test.soak.history import Asked, History, Stop

LEASE_S = 3.0
DRAIN_S = 2.0
CONFIGURATION_DELAY_S = 2.0
FAULT_FREE_S = 3.0
STOP_MAX_S = 8.0
WORK_END_MAX_S = 0.5
ANNOUNCE_S = 3.0
CROSSING_MAX_S = 0.2
LATE_WORK_S = STOP_MAX_S * 5 / 6
TOLERANCE_S = 0.3
"""Bounds from the platform's pages, and the tolerance for delays of a busy machine in times that
the soak measures. New requests are accepted for `ANNOUNCE_S` after SIGTERM; one that crosses the
end of its connection was sent within `CROSSING_MAX_S`; a server that is at work `LATE_WORK_S` after
SIGTERM on a request sent in the announcement may be cut off."""

NOT_RUN_STATUSES = (408, 421, 429, 503)
EVENT = re.compile(rb"id: (\d+)\ndata: t\1\n\n")

Check = Callable[[History], list[str]]


def check_once(history: History) -> list[str]:
    """Check that a request that is not repeatable runs at most once."""
    runs = collections.Counter(
        each.request_id for each in history.seen if each.what == "run" and "/u/" in each.path
    )
    return [f"{name} ran {count} times" for name, count in runs.items() if count > 1]


def check_not_run(history: History) -> list[str]:
    """Check that a request that an instance answered as not run never ran, also not later."""
    ran = {each.request_id for each in history.seen if each.what == "run"}
    return [
        f"{each.request_id} was answered {each.status} and ran"
        for each in history.asked
        if each.status in NOT_RUN_STATUSES and not each.signed and each.request_id in ran
    ]


def check_answers(history: History) -> list[str]:
    """Check that an answer comes from a server, is undamaged and belongs to the request."""
    return [
        f"{each.request_id}: {each.status} with {each.body[:60]!r}"
        for each in history.asked
        if each.status == 200 and not _is_correct(each)
    ]


def _is_correct(asked: Asked) -> bool:
    if not asked.signed:
        return False
    if "/s/" not in asked.path:
        expected = b"done:" + asked.request_id.encode() + b":" + asked.payload
        return asked.body == expected if asked.whole else expected.startswith(asked.body)
    numbers = [int(number) for number in EVENT.findall(asked.body)]
    in_order = numbers == list(range(1, len(numbers) + 1))
    return in_order and (not asked.whole or len(numbers) == EVENTS_PER_STREAM)


def check_capacity(history: History) -> list[str]:
    """Check that no engine is ordered to hold more than it has room for."""
    return [f"{each.server} at {each.at:.2f}" for each in history.seen if each.what == "overfull"]


def check_holders(history: History) -> list[str]:
    """Check that an engine gets orders of one holder at a time.

    Orders of two holders are a lease term apart, and fencing tokens rise.
    """
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
    """Check that a removed server gets no new work after the drain time.

    Instances that a fault disturbed are exempt.
    """
    instances = {each.request_id: each.instance for each in history.asked}
    broken = []
    for left in history.leavings:
        for each in history.seen:
            late = left.at + DRAIN_S + TOLERANCE_S < each.at <= left.until
            if each.what != "run" or each.server != left.server or not late:
                continue
            instance = instances.get(each.request_id, "")
            if not history.was_disturbed(instance, left.at - FAULT_FREE_S, each.at):
                broken.append(
                    f"{each.request_id} ran at {each.server} {each.at - left.at:.2f} s late"
                )
    return broken


def check_configuration(history: History) -> list[str]:
    """Check that a configuration is in force in time, and that no older one returns."""
    asked = {each.request_id: each for each in history.asked}
    broken = []
    for each in history.seen:
        found = asked.get(each.request_id)
        if each.what != "run" or found is None or "/x/" not in each.path:
            continue
        for at, old, _ in history.moves:
            late = found.sent_at > at + CONFIGURATION_DELAY_S + TOLERANCE_S
            moved_back = any(later > at and new == old for later, _, new in history.moves)
            undisturbed = not history.was_disturbed(found.instance, at - FAULT_FREE_S, each.at)
            if late and undisturbed and not moved_back and each.server.startswith(old):
                broken.append(f"{each.request_id} ran at {each.server} {each.at - at:.2f} s later")
    return broken


def check_stops(history: History) -> list[str]:
    """Check that a planned stop loses no request and that the process exits with 0 in time.

    A request is lost if it ends without a complete answer once it was passed on to a server, or
    later than a crossing after its last byte. Faults of the store excuse nothing.
    """
    broken = [
        f"{stop.instance} ended with {stop.code} after {stop.ended_at - stop.at:.2f} s"
        for stop in history.stops
        if not history.was_disturbed(stop.instance, stop.at - FAULT_FREE_S, stop.ended_at, False)
        and (stop.code != 0 or stop.ended_at - stop.at > STOP_MAX_S)
    ]
    runs = _list_runs(history)
    for stop in history.stops:
        for each in history.asked:
            if _was_open(each, stop) and (loss := _describe_loss(history, each, stop, runs)):
                broken.append(f"{each.request_id} {loss}")
    return broken


Runs = dict[str, list[tuple[float, float]]]


def _list_runs(history: History) -> Runs:
    """Return begin and end of each request's runs; one whose end is not recorded has none."""
    begun: dict[tuple[str, str, int], float] = {}
    runs: Runs = {}
    for each in history.seen:
        key = (each.request_id, each.server, each.born)
        if each.what == "run":
            begun[key] = each.at
        elif each.what == "end" and key in begun:
            runs.setdefault(each.request_id, []).append((begun.pop(key), each.at))
    for (request_id, _, _), at in begun.items():
        runs.setdefault(request_id, []).append((at, math.inf))
    return runs


def _was_open(asked: Asked, stop: Stop) -> bool:
    during = asked.sent_at < stop.ended_at and asked.ended_at > stop.at
    return asked.instance == stop.instance and during


def _describe_loss(history: History, asked: Asked, stop: Stop, runs: Runs) -> str:
    """Return how a request that was open during a stop was lost, "" if it was not."""
    if asked.left or (asked.status != 0 and asked.whole):
        return ""
    since = max(stop.at, asked.sent_at) - FAULT_FREE_S
    until = min(asked.ended_at, stop.ended_at)
    if history.was_disturbed(stop.instance, since, until, False):
        return ""
    if "/s/" in asked.path and asked.request_id in _find_broken_off(history):
        return ""
    own_runs = runs.get(asked.request_id, ())
    late_at = stop.at + LATE_WORK_S
    sent_at = max(asked.sent_at, asked.last_byte_at)
    if sent_at <= stop.at + ANNOUNCE_S and asked.ended_at >= late_at:
        if any(begun_at <= asked.ended_at and end_at >= late_at for begun_at, end_at in own_runs):
            return ""
    times = f"{sent_at - stop.at:.3f} s after SIGTERM ({asked.how.value})"
    if own_runs:
        return f"was passed on, sent {times}, and cut off at {asked.ended_at - stop.at:.3f} s"
    late_s = asked.ended_at - asked.last_byte_at
    if asked.last_byte_at and late_s > CROSSING_MAX_S:
        return f"was sent {times} and closed {late_s:.3f} s after its last byte"
    return ""


def _find_broken_off(history: History) -> set[str]:
    """Return the requests whose answer the backend server itself broke off."""
    return {each.request_id for each in history.seen if each.what == "broke"}


def check_disconnected(history: History) -> list[str]:
    """Check that nothing is sent for a disconnected caller, and work for it ends, in time."""
    disconnected = {each.request_id: each for each in history.asked if each.left}
    ends = {}
    for each in history.seen:
        if each.what == "end":
            ends[each.request_id] = each.at
    broken = []
    for each in history.seen:
        left = disconnected.get(each.request_id)
        if left is None or each.what != "run":
            continue
        disturbed = history.was_disturbed(
            left.instance, left.ended_at - FAULT_FREE_S, left.ended_at + 2.0
        )
        disturbed = disturbed or history.was_disturbed(
            each.server, left.ended_at - FAULT_FREE_S, each.at + 9
        )
        if disturbed:
            continue
        latest = left.ended_at + WORK_END_MAX_S + TOLERANCE_S
        end = ends.get(each.request_id)
        if each.at > latest:
            late_s = each.at - left.ended_at
            broken.append(f"{each.request_id} was sent {late_s:.2f} s after its caller left")
        elif "/s/" in each.path and end is not None and end > latest:
            late_s = end - left.ended_at
            broken.append(f"{each.request_id} ran {late_s:.2f} s after its caller left")
    return broken


def check_refusals(history: History) -> list[str]:
    """Check that a refusal has a retry time."""
    return [
        f"{each.request_id}: {each.status} without a retry time"
        for each in history.asked
        if each.status in (429, 503) and not each.signed and not each.retry_after
    ]


def check_unexpected_exits(history: History) -> list[str]:
    """Check that no instance exits unexpectedly."""
    return list(history.own_ends)


def check_recovery(history: History) -> list[str]:
    """Check that every request after the end of all faults is served."""
    late = [each for each in history.asked if each.sent_at >= history.calm_from and not each.left]
    if history.calm_from and not late:
        return ["no request was sent after the faults"]
    return [
        f"{each.request_id} {each.path} got {each.status}"
        for each in late
        if each.status != 200 or not each.whole
    ]


CHECKS: dict[str, Check] = {
    "once": check_once,
    "not_run": check_not_run,
    "answers": check_answers,
    "room": check_capacity,
    "holders": check_holders,
    "leaving": check_leaving,
    "configuration": check_configuration,
    "stops": check_stops,
    "gone": check_disconnected,
    "refusals": check_refusals,
    "own_ends": check_unexpected_exits,
    "recovery": check_recovery,
}


def check_all(history: History) -> dict[str, list[str]]:
    """Return the violations of each guarantee, without those that hold."""
    found = {name: check(history) for name, check in CHECKS.items()}
    return {name: broken for name, broken in found.items() if broken}
