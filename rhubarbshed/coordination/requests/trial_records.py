"""What the store keeps of a verdict: the ends that it rests on, and when its next trial is due.

Instances that are cut off from each other, or were all killed, would each collect the evidence
again and each send a trial, and every one of these may end a server.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from attrs import evolve, field, frozen
from returns.result import Failure, Result, Success

from rhubarbshed.coordination.requests.crash_quarantine import MEMORY_S
from rhubarbshed.coordination.requests.verdicts import TRIAL_PAUSES_S

MS_PER_S = 1000.0


@frozen
class TrialRecord:
    """Trials of one key so far, and the time on the store's clock from which the next is due."""

    trials: int = 0
    next_ms: float = 0.0

    def to_value(self) -> dict[str, Any]:
        """Return the value of the row."""
        return {"trials": self.trials, "next_ms": self.next_ms}


@frozen
class TrialPlan:
    """Records after a trial of several keys, or the seconds until one is due."""

    records: Mapping[str, TrialRecord] = field(factory=dict)
    wait_s: float = 0.0


def read_trial_record(value: Mapping[str, Any]) -> Result[TrialRecord, str]:
    """Decode the value of a row."""
    trials, next_ms = value.get("trials"), value.get("next_ms")
    if type(trials) is not int or trials < 0:
        return Failure(f"trials {trials!r}")
    if type(next_ms) not in (int, float) or not 0.0 <= next_ms:
        return Failure(f"next_ms {next_ms!r}")
    return Success(TrialRecord(trials, float(next_ms)))


def plan_trial(records: Mapping[str, TrialRecord], keys: Iterable[str], now_ms: float) -> TrialPlan:
    """Plan one request as a trial of all keys; each trial makes the next one of its keys rarer.

    It does so whatever it shows: a server that turns it away decides nothing.
    """
    known = {key: records.get(key, TrialRecord()) for key in keys}
    wait_ms = max(record.next_ms for record in known.values()) - now_ms
    if wait_ms > 0.0:
        return TrialPlan(wait_s=wait_ms / MS_PER_S)
    return TrialPlan({key: _count_trial(record, now_ms) for key, record in known.items()})


def _count_trial(record: TrialRecord, now_ms: float) -> TrialRecord:
    trials = record.trials + 1
    pause_s = TRIAL_PAUSES_S[min(trials, len(TRIAL_PAUSES_S) - 1)]
    return evolve(record, trials=trials, next_ms=now_ms + pause_s * MS_PER_S)


def is_outdated(record: TrialRecord, now_ms: float) -> bool:
    """Return whether a record is too old to bear on anything."""
    return now_ms - record.next_ms > MEMORY_S * MS_PER_S
