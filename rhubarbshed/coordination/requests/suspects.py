"""Suspects: requests in flight when a backend server crashed or its stream broke."""

import logging
from collections.abc import Iterable

from attrs import define, field

from rhubarbshed.protocol.quarantine import CrashId
from rhubarbshed.state.requests.possible_crashes import (
    PossibleCrash,
    PossibleCrashes,
    make_possible_crash_id,
)
from rhubarbshed.state.requests.quarantine import QuarantineView
from rhubarbshed.util.setting_fields import QuarantineSettings

log = logging.getLogger(__name__)

RESERVE_S = 10.0


@define
class Suspects:
    """Requests suspected of crashes, the certain ones and those possible on this instance."""

    view: QuarantineView
    possible_crashes: PossibleCrashes = field(factory=PossibleCrashes)
    abandoned: PossibleCrashes = field(factory=PossibleCrashes)

    @classmethod
    def from_settings(cls, settings: QuarantineSettings) -> "Suspects":
        """Create a record without suspects."""
        return cls(QuarantineView(settings))

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a fingerprint is refused permanently."""
        return bool(fingerprint) and self.view.is_refused(fingerprint)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a fingerprint may only run isolated."""
        if not fingerprint:
            return False
        return self.view.is_suspect(fingerprint) or bool(
            self.possible_crashes.list_crashes(fingerprint)
        )

    def is_exhausted(self, fingerprint: str) -> bool:
        """Return whether the crashes are too many already, possible ones included."""
        certain = set(self.view.find_entry(fingerprint).open_crashes)
        possible = set(self.possible_crashes.list_crashes(fingerprint))
        return len(certain | possible) >= self.view.settings.crashes_max

    def record_possible_crash(
        self, fingerprint: str, backend_server: str, boot_id: str, alone: bool, now: float
    ) -> None:
        """Suspect a fingerprint whose attempt broke, until a report of its server decides."""
        if fingerprint:
            crash = make_possible_crash_id(backend_server, boot_id, alone)
            self.possible_crashes.add(PossibleCrash(fingerprint, crash, alone, now))

    def record_abandoned(
        self, fingerprint: str, backend_server: str, boot_id: str, alone: bool, now: float
    ) -> None:
        """Record an attempt abandoned here that the server may still run.

        This is no suspicion by itself, but a crash reported soon after counts against it.
        """
        if fingerprint:
            crash = make_possible_crash_id(backend_server, boot_id, alone)
            self.abandoned.add(PossibleCrash(fingerprint, crash, alone, now))

    def rule_out(self, backend_server: str, boot_id: str, alive_at: float) -> None:
        """Drop suspicions that a later report of the same boot shows to be wrong."""
        self.possible_crashes.rule_out(backend_server, boot_id, alive_at)
        self.abandoned.rule_out(backend_server, boot_id, alive_at)

    def confirm_crash(
        self, backend_server: str, boot_id: str, in_flight: Iterable[str], now: float
    ) -> None:
        """Count a crash against the requests in flight and those that broke just before it."""
        crash = CrashId(backend_server, boot_id)
        isolated = self.view.find_isolated_fingerprint(backend_server, now)
        for possible in (
            *self.possible_crashes.pop_confirmed(crash),
            *self.abandoned.pop_confirmed(crash),
        ):
            held = crash if boot_id else possible.crash
            self._record_crash(possible.fingerprint, held, possible.alone, now)
        for fingerprint in dict.fromkeys(in_flight):
            if fingerprint:
                self._record_crash(fingerprint, crash, fingerprint == isolated, now)

    def _record_crash(self, fingerprint: str, crash: CrashId, alone: bool, now: float) -> None:
        self.view.record_crash(fingerprint, crash, alone, now)
        log.warning(
            "event=crash_suspect fingerprint=%s backend_server=%s boot_id=%s alone=%s refused=%s",
            fingerprint,
            crash.backend_server,
            crash.boot_id,
            alone,
            self.view.is_refused(fingerprint),
        )

    def record_complete_answer(self, fingerprint: str, now: float) -> None:
        """Clear a fingerprint that has been answered completely."""
        if fingerprint:
            self.possible_crashes.clear_fingerprint(fingerprint)
            self.abandoned.clear_fingerprint(fingerprint)
            self.view.record_complete_answer(fingerprint, now)

    def is_run_undecided(self, fingerprint: str) -> bool:
        """Return whether an isolated run broke and no report shows yet if its server crashed."""
        items = self.possible_crashes.items.values()
        return any(item.alone and item.fingerprint == fingerprint for item in items)

    def list_isolated_servers(self, now: float) -> frozenset[str]:
        """Return the servers that are isolated for a suspect."""
        return self.view.list_isolated_servers(now)

    def list_isolated_for_others(self, fingerprint: str, now: float) -> frozenset[str]:
        """Return the servers that are isolated for suspects other than this one."""
        names = self.view.list_isolated_servers(now)
        return frozenset(
            name for name in names if self.view.find_isolated_fingerprint(name, now) != fingerprint
        )

    def set_isolation(self, backend_server: str, fingerprint: str, until: float) -> None:
        """Isolate a server while a suspect runs on it."""
        self.view.set_isolation(backend_server, fingerprint, until)

    def clear_isolation(self, backend_server: str, fingerprint: str) -> None:
        """End the isolation of a server for this suspect."""
        self.view.clear_isolation(backend_server, fingerprint)

    def reserve(self, fingerprint: str, backend_server: str, now: float) -> None:
        """Isolate a server for a while, so that it is idle when the suspect is retried."""
        self.view.set_isolation(backend_server, fingerprint, now + RESERVE_S)

    def forget_old(self, now: float) -> None:
        """Remove expired records."""
        self.possible_crashes.forget_old(now)
        self.abandoned.forget_old(now)
        self.view.forget_old(now)
