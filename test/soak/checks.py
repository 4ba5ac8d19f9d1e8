"""Guarantees of the system, each as a function that returns its violations in a history."""

import collections
import math
import re
from collections.abc import Callable

from standin.run import DEADLY_PART, EVENTS_PER_STREAM, LIMIT_PER_S
from test.soak.accounts import check_accounts
from test.soak.history import Asked, History

LEASE_S = 3.0
DRAIN_S = 2.0
CONFIGURATION_DELAY_S = 2.0
CONFIGURATION_APPLY_S = 3.0
FAULT_FREE_S = 3.0
STOP_MAX_S = 8.0
WORK_END_MAX_S = 0.5
ANNOUNCE_S = 3.0
CROSSING_MAX_S = 0.2
LATE_WORK_S = STOP_MAX_S * 5 / 6
TOLERANCE_S = 0.3
RESUMES_MIN = 12
DEADLY_ENDS = 3
DEADLY_PART_ENDS = 5
DEADLY_SENDS = 3
LIMIT_WINDOW_S = 4.0
LIMIT_OVERAGE = 1.5
LIMIT_EXTRA = 5
"""Bounds from the platform's pages, and the tolerance for delays of a busy machine in times that
the soak measures. New requests are accepted for `ANNOUNCE_S` after SIGTERM; one that crosses the
end of its connection was sent within `CROSSING_MAX_S`; a server that is at work `LATE_WORK_S` after
SIGTERM on a request sent in the announcement may be cut off. The share of streams that go on is
checked from `RESUMES_MIN` on."""

ADDED_PATH = re.compile(r"/n(\d+)/")
FINAL_STATUSES = (401, 404)
NOT_RUN_STATUSES = (408, 421, 429, 503)

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
    numbers = [number for number, _ in asked.events]
    in_order = numbers == list(range(asked.after + 1, asked.last_event + 1))
    return in_order and (not asked.whole or asked.last_event == EVENTS_PER_STREAM)


def check_versions(history: History) -> list[str]:
    """Check that no stream, over all attempts at it, holds events of two versions."""
    versions: dict[str, set[str]] = collections.defaultdict(set)
    broken = []
    for each in sorted(history.asked, key=lambda each: each.sent_at):
        own = {version for _, version in each.events}
        before = versions[each.first or each.request_id]
        if len(own) > 1:
            broken.append(f"{each.request_id} holds {sorted(own)} in one answer")
        elif len(before | own) > 1 and own - before:
            broken.append(f"{each.request_id} goes on in {sorted(own)} after {sorted(before)}")
        before |= own
    return broken


def check_resumes(history: History) -> list[str]:
    """Check that streams go on at undisturbed instances at least half as often as new ones begin.

    They count while two servers of their version serve undisturbed.
    """
    versions = {each.request_id: each.events[0][1] for each in history.asked if each.events}
    begun, resumed = [], []
    for each in history.asked:
        since, until = each.sent_at - FAULT_FREE_S, each.ended_at
        if "/s/" not in each.path or history.was_disturbed(each.instance, since, until):
            continue
        served = each.status == 200 and (each.whole or bool(each.events))
        if (each.left and not served) or history.was_stopped(each.instance, since, until):
            continue
        if not each.first:
            begun.append(served)
        elif history.count_engines(versions[each.first], since, until) >= 2:
            resumed.append(served)
    if len(resumed) < RESUMES_MIN or 2 * sum(resumed) * len(begun) >= sum(begun) * len(resumed):
        return []
    return [f"{sum(resumed)} of {len(resumed)} went on, {sum(begun)} of {len(begun)} new began"]


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

    One that was sent after it counts however soon it ran. Instances that a fault disturbed are
    exempt.
    """
    asked = {each.request_id: each for each in history.asked}
    broken = []
    for left in history.leavings:
        late_from = left.at + DRAIN_S
        for each in history.seen:
            found = asked.get(each.request_id)
            was_sent_late = found is not None and found.sent_at > late_from
            late = each.at <= left.until and (was_sent_late or each.at > late_from + TOLERANCE_S)
            if each.what != "run" or each.server != left.server or not late:
                continue
            instance = "" if found is None else found.instance
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


def check_final_refusals(history: History) -> list[str]:
    """Check that no route or key is refused for good that the store had acknowledged in time.

    No fault excuses it: an instance that may not know the latest configuration can answer 503.
    """
    broken = []
    for each in history.asked:
        if each.status not in FINAL_STATUSES or not (found := ADDED_PATH.match(each.path)):
            continue
        age_s = each.sent_at - history.added[int(found[1])]
        if age_s > CONFIGURATION_APPLY_S:
            broken.append(f"{each.request_id} got {each.status} {age_s:.2f} s after {found[0]}")
    for each in history.keyed:
        age_s = each.sent_at - history.listed.get(each.key, each.sent_at)
        is_listed = each.ended_at < history.unlisted.get(each.key, math.inf)
        if each.status in FINAL_STATUSES and is_listed and age_s > CONFIGURATION_APPLY_S:
            broken.append(f"{each.request_id} got {each.status} {age_s:.2f} s after its key")
    return broken


def check_stops(history: History) -> list[str]:
    """Check that a planned stop loses no request and that the process exits with 0 in time.

    A request is lost if it ends without a complete answer once it was passed on to a server, or
    later than a crossing after its last byte, unless its connection was refused. Faults of the
    store excuse nothing.
    """
    broken = [
        f"{stop.instance} ended with {stop.code} after {stop.ended_at - stop.at:.2f} s"
        for stop in history.stops
        if not history.was_disturbed(stop.instance, stop.at - FAULT_FREE_S, stop.ended_at, False)
        and (stop.code != 0 or stop.ended_at - stop.at > STOP_MAX_S)
    ]
    passed_on = {each.request_id for each in history.seen if each.what == "run"}
    ends = {each.request_id: each.at for each in history.seen if each.what == "end"}
    broken_off = {each.request_id for each in history.seen if each.what == "broke"}
    for stop in history.stops:
        for each in history.asked:
            own = each.instance == stop.instance and not each.left
            during = each.sent_at < stop.ended_at and each.ended_at > stop.at
            if not own or not during or (each.status != 0 and each.whole):
                continue
            since = max(stop.at, each.sent_at) - FAULT_FREE_S
            until = min(each.ended_at, stop.ended_at)
            interrupted = "/s/" in each.path and each.request_id in broken_off
            if interrupted or history.was_disturbed(stop.instance, since, until, False):
                continue
            sent_s = max(each.sent_at, each.last_byte_at) - stop.at
            late_at = stop.at + LATE_WORK_S
            works_late = (
                each.request_id in passed_on and ends.get(each.request_id, late_at) >= late_at
            )
            if sent_s <= ANNOUNCE_S and works_late and each.ended_at >= late_at:
                continue
            text = f"{each.request_id}, sent {sent_s:.3f} s after SIGTERM ({each.how.value}),"
            crossing = not each.last_byte_at or each.ended_at - each.last_byte_at <= CROSSING_MAX_S
            if each.request_id in passed_on:
                broken.append(
                    f"{text} was passed on and cut off at {each.ended_at - stop.at:.3f} s"
                )
            elif not crossing and not each.refused:
                broken.append(f"{text} was closed at {each.ended_at - stop.at:.3f} s")
    return broken


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
    # Whether a stream can go on depends on the servers of its version: see `check_resumes`.
    late = [each for each in late if not each.first]
    if history.calm_from and not late:
        return ["no request was sent after the faults"]
    return [
        f"{each.request_id} {each.path} got {each.status}"
        for each in late
        if each.status != 200 or not each.whole
    ]


def check_deadly(history: History) -> list[str]:
    """Check that requests that end servers are stopped: few are sent once some have ended.

    Counted are those sent by undisturbed instances that long after the end.
    """
    asked = {each.request_id: each for each in history.deadly}
    ends: dict[str, list[float]] = collections.defaultdict(list)
    for each in history.seen:
        if each.what == "crash" and each.request_id in asked:
            ends[asked[each.request_id].kind].append(each.at)
    late: dict[str, list[str]] = collections.defaultdict(list)
    for each in history.seen:
        found = asked.get(each.request_id)
        if each.what != "run" or found is None:
            continue
        allowed = DEADLY_PART_ENDS if found.kind.startswith(DEADLY_PART) else DEADLY_ENDS
        if len(ends[found.kind]) < allowed:
            continue
        known_at = ends[found.kind][allowed - 1] + FAULT_FREE_S
        if each.at > known_at and not history.was_disturbed(
            found.instance, each.at - FAULT_FREE_S, each.at
        ):
            late[found.kind].append(f"{each.request_id} at {each.at - known_at:.2f} s")
    return [
        f"{kind} was sent {len(names)} times more ({names[0]}); {len(ends[kind])} servers ended"
        for kind, names in late.items()
        if len(names) > DEADLY_SENDS
    ]


def check_limits(history: History) -> list[str]:
    """Check that all instances together keep to a limit that a server names.

    Counted from the bound for it, without the requests of disturbed instances.
    """
    instances = {each.request_id: each.instance for each in history.asked}
    broken = []
    for server, since, until in _list_limited(history):
        runs = [
            each.at
            for each in history.seen
            if each.what == "run" and each.server == server
            if since + FAULT_FREE_S <= each.at <= until
            if not _is_excused(history, instances.get(each.request_id, ""), each.at)
        ]
        most = max(
            (sum(at <= each < at + LIMIT_WINDOW_S for each in runs) for at in runs), default=0
        )
        if most > LIMIT_OVERAGE * LIMIT_WINDOW_S * LIMIT_PER_S + LIMIT_EXTRA:
            broken.append(f"{server} ran {most} requests in {LIMIT_WINDOW_S:.0f} s")
    return broken


def _is_excused(history: History, instance: str, at: float) -> bool:
    since = at - FAULT_FREE_S
    return history.was_disturbed(instance, since, at, with_store=False) or history.was_stopped(
        instance, since, at
    )


def _list_limited(history: History) -> list[tuple[str, float, float]]:
    """List servers with the times from and until which they name a limit."""
    since: dict[tuple[str, int], float] = {}
    spans = []
    for each in history.seen:
        key = (each.server, each.born)
        if each.what == "limit" and each.limit:
            since[key] = each.at
        elif each.what in ("limit", "crash") and key in since:
            spans.append((each.server, since.pop(key), each.at))
    return spans


CHECKS: dict[str, Check] = {
    "deadly": check_deadly,
    "limits": check_limits,
    "once": check_once,
    "not_run": check_not_run,
    "answers": check_answers,
    "versions": check_versions,
    "resumes": check_resumes,
    "room": check_capacity,
    "holders": check_holders,
    "leaving": check_leaving,
    "configuration": check_configuration,
    "final": check_final_refusals,
    "stops": check_stops,
    "gone": check_disconnected,
    "refusals": check_refusals,
    "accounts": check_accounts,
    "own_ends": check_unexpected_exits,
    "recovery": check_recovery,
}


def check_all(history: History) -> dict[str, list[str]]:
    """Return the violations of each guarantee, without those that hold."""
    found = {name: check(history) for name, check in CHECKS.items()}
    return {name: broken for name, broken in found.items() if broken}
