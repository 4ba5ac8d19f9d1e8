"""Requests and parts of prompts that are stopped because servers ended under them.

Answers a request that crashes each server that runs it, and a part of prompts that does. An end
counts against all requests that were there, so the sound ones among them have to be cleared as
soon as an answer to one of them, or on one of its parts, begins anywhere.
"""

import logging
from collections.abc import Collection, Iterable, Mapping

from attrs import define, evolve, field

from rhubarbshed.coordination.requests.verdicts import (
    Strength,
    Verdict,
    choose_requests_min,
    drop_explained,
    find_verdict,
)
from rhubarbshed.protocol.exchanges import CallerRequest
from rhubarbshed.protocol.quarantine import CrashId, QuarantineEntry, Sighting
from rhubarbshed.state.requests.begun_parts import BegunParts
from rhubarbshed.state.requests.possible_crashes import PossibleCrash, PossibleCrashes
from rhubarbshed.state.requests.quarantine import QuarantineView
from rhubarbshed.util.logs import log_event
from rhubarbshed.util.setting_fields import QuarantineSettings

LOG = logging.getLogger(__name__)

MEMORY_S = 900.0
"""Time for which an end counts; longer than the longest pause before a trial."""

CLEARED_MEMORY_S = 60.0
"""Time for which an entry is kept that is cleared of all ends, so that late messages about these
don't open it again."""

ENTRIES_MAX = 4_000
"""Most requests and parts that were at ended servers, some kilobytes each at most."""

TRIAL_RESERVED_S = 5.0
"""Time for which nobody else tries a request that an instance tries."""

SEVERAL_PAUSE_S = 60.0
"""Further time until a request under several verdicts may be a trial of all of them."""

RETRY_AFTER_MIN_S = 1.0
"""Shortest time after which a stopped request may come again."""


def make_view() -> QuarantineView:
    """Return a view whose entries are judged by their sightings."""
    settings = QuarantineSettings(crashes_max=2, memory_s=MEMORY_S)
    return QuarantineView(settings, is_final=False, entries_max=ENTRIES_MAX)


@define
class Admission:
    """Whether a request may be sent: the verdict that stops it, or those it is a trial of."""

    stopped_by: Verdict | None = None
    trial_keys: frozenset[str] = frozenset()


@define
class CrashQuarantine:
    """Evidence against requests and parts of prompts by key, and the verdicts on them.

    `possible` are attempts that broke off at servers not known to have ended. `stopped` are the
    keys with a verdict, and `trials` the times until which a trial of a key is under way, at any
    instance. `fresh` are keys whose verdict is new since it was emptied last.
    """

    view: QuarantineView = field(factory=make_view)
    possible: PossibleCrashes = field(factory=PossibleCrashes)
    begun: BegunParts = field(factory=BegunParts)
    stopped: dict[str, Verdict] = field(factory=dict)
    trials: dict[str, float] = field(factory=dict)
    fresh: list[str] = field(factory=list)

    def admit(self, request: CallerRequest, granted: Collection[str], now: float) -> Admission:
        """Decide whether a request may be sent, possibly as a trial.

        `granted` are the keys that an earlier call granted it a trial of. A request under several
        verdicts could show nothing of any single one, so others go first.
        """
        keys = [key for key in list_keys(request) if key in self.stopped] if self.stopped else []
        new = [key for key in keys if key not in granted]
        if not new:
            return Admission(trial_keys=frozenset(granted))
        last = max((self.stopped[key] for key in new), key=self.find_trial_at)
        if now < self.find_trial_at(last) + (SEVERAL_PAUSE_S if len(new) > 1 else 0.0):
            return Admission(last)
        self.reserve_trials(new, now)
        return Admission(trial_keys=frozenset((*granted, *new)))

    def reserve_trials(
        self, keys: Iterable[str], now: float, reserved_s: float = TRIAL_RESERVED_S
    ) -> None:
        """Hold back further trials of keys for a while."""
        self.trials |= dict.fromkeys(keys, now + reserved_s)

    def find_trial_at(self, verdict: Verdict) -> float:
        """Return the monotonic time from which a verdict may be put to a trial."""
        return max(verdict.trial_at, self.trials.get(verdict.key, verdict.trial_at))

    def measure_pause(self, verdict: Verdict, now: float) -> float:
        """Return the seconds after which a stopped request may come again."""
        return max(RETRY_AFTER_MIN_S, self.find_trial_at(verdict) - now)

    def suspect(
        self, request: CallerRequest, crash: CrashId, sent_at: float, begun: bool, now: float
    ) -> None:
        """Suspect a request whose attempt broke off, until it is known if its server ended.

        Its parts are no suspects if an answer on them has begun, here or since it was sent.
        """
        keys = [request.fingerprint]
        if not begun:
            parts = request.part_fingerprints
            keys += [key for key in parts if not self.begun.has_begun_since(key, sent_at)]
        sighting = Sighting(crash, request.fingerprint, sent_at, now, begun)
        for key in keys:
            self.possible.add(PossibleCrash(key, crash, False, now, sighting))

    def rule_out(self, crash: CrashId, since: float) -> None:
        """Drop suspicions about a server that was alive at a time."""
        if self.possible.items:
            self.possible.rule_out(crash.backend_server, crash.boot_id, since)

    def confirm(self, crash: CrashId, now: float) -> list[tuple[str, Sighting]]:
        """Count the end of a server against what was suspected; return the new sightings."""
        found = [
            (item.fingerprint, self._link(item.fingerprint, item.sighting))
            for item in self.possible.pop_confirmed(crash)
            if item.sighting is not None
        ]
        return self.record(found, now)

    def record(
        self, sightings: Iterable[tuple[str, Sighting]], now: float
    ) -> list[tuple[str, Sighting]]:
        """Record sightings by key, and judge them; return those that are new."""
        new = [each for each in sightings if self.view.record_sighting(*each, now)]
        self.judge((key for key, _ in new), now)
        return new

    def _link(self, key: str, sighting: Sighting) -> Sighting:
        """Return a sighting with the last end before it was sent, as only this instance knows."""
        before = [
            each
            for each in self.view.list_sightings(key)
            if each.ended_at < sighting.sent_at and each.crash != sighting.crash
        ]
        last = max(before, key=lambda each: each.ended_at, default=None)
        return evolve(sighting, after=last.crash if last is not None else None)

    def clear(self, cleared: Mapping[str, Iterable[CrashId]], now: float) -> None:
        """Clear keys of ends."""
        for key, crashes in cleared.items():
            entry = QuarantineEntry(key, cleared=tuple(sorted(crashes)))
            self.view.merge_entry(entry, now)
        self.judge(cleared, now)

    def record_answer(self, request: CallerRequest, now: float) -> dict[str, tuple[CrashId, ...]]:
        """Clear a request that a server has run to the end; return what it is cleared of."""
        if not self.view.entries and not self.possible.items:
            return {}
        cleared = {}
        for key in list_keys(request):
            if self.possible.items:
                self.possible.clear_fingerprint(key)
            if crashes := self.view.find_entry(key).open_crashes:
                cleared[key] = crashes
        self.clear(cleared, now)
        return cleared

    def record_begun(self, request: CallerRequest, now: float) -> dict[str, tuple[CrashId, ...]]:
        """Clear a request that has begun, and its parts, of the ends before it could begin.

        Return what they are cleared of.
        """
        for key in request.part_fingerprints:
            self.begun.record(key, now)
        cleared = {}
        for key in list_keys(request) if self.view.entries else ():
            sightings = self.view.list_sightings(key)
            begun = {each.crash for each in sightings if each.begun}
            if unbegun := {each.crash for each in sightings} - begun:
                cleared[key] = tuple(unbegun)
        self.clear(cleared, now)
        return cleared

    def is_refuted(self, key: str, sighting: Sighting) -> bool:
        """Return whether an answer on a part has begun since it was sent to a server that ended."""
        return key != sighting.request and self.begun.has_begun_since(key, sighting.sent_at)

    def record_reported_parts(self, keys: Collection[str], now: float) -> None:
        """Record parts on which answers have begun lately, as an instance reports to all."""
        for key in keys:
            self.begun.record_report(key, now)
        self.judge(keys, now)

    def judge(self, keys: Iterable[str], now: float) -> None:
        """Reach or end the verdicts on keys whose evidence has changed."""
        pending = sorted(dict.fromkeys(keys), key=self._is_request)
        # A verdict bears on what is weaker, and that on what is weaker still.
        for _ in Strength:
            if not pending:
                return
            before = dict(self.stopped)
            for key in pending:
                self._judge_key(key, now)
            changed = {
                crash
                for key in before.keys() | self.stopped.keys()
                if before.get(key) != self.stopped.get(key)
                for crash in (self.stopped.get(key) or before[key]).crashes
            }
            pending = self._list_at(changed) if changed else []

    def _is_request(self, key: str) -> bool:
        return any(request == key for _, request in self.view.sightings.get(key, ()))

    def _judge_key(self, key: str, now: float) -> None:
        sightings = drop_explained(key, self.view.list_sightings(key), self.stopped.values())
        requests_min = choose_requests_min(self.begun.count_lately(key, now))
        verdict = find_verdict(key, sightings, requests_min)
        known = self.stopped.pop(key, None)
        if verdict is not None:
            self.stopped[key] = verdict
        if verdict is not None and known is None:
            self.fresh.append(key)
            log_verdict(verdict, now)
        if verdict is None and known is not None:
            log_event(LOG, logging.INFO, "quarantine_ended", key=key)

    def _list_at(self, crashes: Collection[CrashId]) -> list[str]:
        """List the keys that were at several ends, some of these among them."""
        return [
            key
            for key, known in self.view.sightings.items()
            if len(known) > 1 and any(crash in crashes for crash, _ in known)
        ]

    def forget_old(self, now: float) -> None:
        """Drop what is too old to count."""
        self.possible.forget_old(now)
        self.view.forget_old(now)
        self.view.forget_cleared(now - CLEARED_MEMORY_S)
        self.trials = {key: until for key, until in self.trials.items() if until > now}
        for key in [key for key in self.stopped if key not in self.view.entries]:
            del self.stopped[key]


def list_keys(request: CallerRequest) -> tuple[str, ...]:
    """List the keys under which ends of servers count against a request."""
    return (request.fingerprint, *request.part_fingerprints)


def log_verdict(verdict: Verdict, now: float) -> None:
    """Log a new verdict with the ends that it rests on."""
    log_event(
        LOG,
        logging.WARNING,
        "quarantined",
        key=verdict.key,
        strength=verdict.strength.name.lower(),
        servers=",".join(each.crash.backend_server for each in verdict.rounds),
        requests=",".join(each.request[:8] for each in verdict.rounds),
        last_s=round(now - verdict.rounds[-1].ended_at, 2),
        trial_in_s=round(verdict.trial_at - now, 1),
    )
