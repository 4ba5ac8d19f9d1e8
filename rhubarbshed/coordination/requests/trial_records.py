"""What the store keeps of a verdict: the ends that it rests on, and when its next trial is due.

Instances that are cut off from each other, or were all killed, would each collect the evidence
again and each send a trial, and every one of these may end a server.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from attrs import evolve, field, frozen
from returns.result import Failure, Result, Success

from rhubarbshed.coordination.requests.crash_quarantine import MEMORY_S
from rhubarbshed.coordination.requests.verdicts import choose_pause
from rhubarbshed.protocol.crash_messages import CrashMessage
from rhubarbshed.protocol.message_checks import describe, is_number, is_quantity
from rhubarbshed.protocol.messages import pack_message, unpack_message

MS_PER_S = 1000.0

TRIALS_MAX = 1_000_000
"""Most trials of one key that a record can count; there is one in ten minutes at most."""

ENDS_MAX = 4
"""Most messages on ends in one record; four ends are enough for any verdict."""


@frozen
class TrialRecord:
    """Trials of one key so far, and the time on the store's clock from which the next is due.

    `ends` are what the verdict rests on, with ages as of `written_ms` on that clock.
    """

    trials: int = 0
    next_ms: float = 0.0
    written_ms: float = 0.0
    ends: tuple[CrashMessage, ...] = field(factory=tuple)

    def to_value(self) -> dict[str, Any]:
        """Return the value of the row."""
        return {
            "trials": self.trials,
            "next_ms": self.next_ms,
            "written_ms": self.written_ms,
            "ends": [pack_message(each).hex() for each in self.ends],
        }


@frozen
class TrialPlan:
    """Records after a trial of several keys, or the seconds until one is due."""

    records: Mapping[str, TrialRecord] = field(factory=dict)
    wait_s: float = 0.0


def read_trial_record(value: Mapping[str, Any]) -> Result[TrialRecord, str]:
    """Decode the value of a row."""
    trials = value.get("trials")
    if not is_number(trials, TRIALS_MAX):
        return Failure("trials out of bounds")
    times = [value.get(name) for name in ("next_ms", "written_ms")]
    if not all(map(is_quantity, times)):
        return Failure("times out of bounds")
    try:
        ends = [unpack_message(bytes.fromhex(each)) for each in value["ends"][:ENDS_MAX]]
    except (KeyError, TypeError, ValueError) as error:
        return Failure(f"ends: {describe(error)}")
    messages = [read.value_or(None) for read in ends]
    if not all(isinstance(each, CrashMessage) for each in messages):
        return Failure("ends are no messages on ends")
    return Success(TrialRecord(trials, *map(float, times), tuple(messages)))


def make_trial_record(
    ends: Iterable[CrashMessage], trial_in_s: float, now_ms: float
) -> TrialRecord:
    """Return the record of a new verdict, whose first trial is due after some seconds."""
    next_ms = now_ms + max(0.0, trial_in_s) * MS_PER_S
    return TrialRecord(0, next_ms, now_ms, tuple(ends)[:ENDS_MAX])


def plan_trial(records: Mapping[str, TrialRecord], keys: Iterable[str], now_ms: float) -> TrialPlan:
    """Plan one request as a trial of all keys; each trial makes the next one of its keys rarer.

    It does so whatever it shows: a server that turns it away decides nothing.
    """
    known = {key: records.get(key, TrialRecord()) for key in keys}
    wait_ms = max(record.next_ms for record in known.values()) - now_ms
    if wait_ms > 0.0:
        # A time that no build has written does not put the trial off for longer.
        return TrialPlan(wait_s=min(wait_ms / MS_PER_S, choose_pause(TRIALS_MAX)))
    return TrialPlan({key: _count_trial(record, now_ms) for key, record in known.items()})


def _count_trial(record: TrialRecord, now_ms: float) -> TrialRecord:
    trials = record.trials + 1
    return evolve(record, trials=trials, next_ms=now_ms + choose_pause(trials) * MS_PER_S)


def is_outdated(record: TrialRecord, now_ms: float) -> bool:
    """Return whether a record is too old to bear on anything."""
    return now_ms - record.next_ms > MEMORY_S * MS_PER_S
