"""Fingerprints that crashed backend servers, and servers set aside for a suspect."""

from collections.abc import Iterable

from attrs import define, evolve, field, frozen

from rhubarbshed.protocol.quarantine import (
    CrashId,
    IsolatedRunNotice,
    QuarantineEntry,
    QuarantineUpdate,
    merge_entries,
)
from rhubarbshed.util.settings import QuarantineSettings

ENTRIES_MAX = 20_000
ISOLATION_ANNOUNCED_S = 3.0


@frozen
class ServerIsolation:
    """Set a backend server aside for one fingerprint until a monotonic time.

    `is_own` is whether this instance did so.
    """

    fingerprint: str
    until: float
    is_own: bool = True


@define
class QuarantineView:
    """Hold all entries known to this instance; `seen_at` is when each last grew."""

    settings: QuarantineSettings
    entries: dict[str, QuarantineEntry] = field(factory=dict)
    seen_at: dict[str, float] = field(factory=dict)
    isolations: dict[str, ServerIsolation] = field(factory=dict)

    def find_entry(self, fingerprint: str) -> QuarantineEntry:
        """Return the entry of a fingerprint, an empty one if nothing is held against it."""
        return self.entries.get(fingerprint) or QuarantineEntry(fingerprint)

    def is_refused(self, fingerprint: str) -> bool:
        """Tell whether a fingerprint is refused for good."""
        return self.find_entry(fingerprint).refused

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a fingerprint may only run alone."""
        entry = self.find_entry(fingerprint)
        return not entry.refused and bool(entry.open_crashes)

    def record_crash(self, fingerprint: str, crash: CrashId, alone: bool, now: float) -> None:
        """Hold a crash against a fingerprint; the same crash told again counts once."""
        reported = QuarantineEntry(fingerprint, (crash,), (crash,) if alone else ())
        self.merge_entry(reported, now)

    def record_complete_answer(self, fingerprint: str, now: float) -> None:
        """Acquit a fingerprint of the crashes known so far."""
        entry = self.entries.get(fingerprint)
        if entry is not None and not entry.refused:
            self.merge_entry(evolve(entry, cleared=entry.crashes), now)

    def merge_news(self, news: Iterable[QuarantineUpdate], now: float) -> None:
        """Take what a peer tells; what it has known for too long is not taken up again."""
        for one in news:
            if one.age_s < self.settings.memory_s:
                self.merge_entry(one.entry, now, one.age_s)

    def merge_entry(self, reported: QuarantineEntry, now: float, age_s: float = 0.0) -> bool:
        """Add what is told of a fingerprint; tell whether anything was new."""
        known = self.find_entry(reported.fingerprint)
        merged = merge_entries(known, reported)
        if len(merged.open_crashes) >= self.settings.crashes_max:
            merged = evolve(merged, refused=True)
        if merged == known:
            return False
        self.entries[reported.fingerprint] = merged
        seen_before = self.seen_at.get(reported.fingerprint, now - age_s)
        self.seen_at[reported.fingerprint] = max(seen_before, now - age_s)
        self._bound_entries()
        return True

    def _bound_entries(self) -> None:
        while len(self.entries) > ENTRIES_MAX:
            oldest = min(
                self.entries,
                key=lambda name: (self.entries[name].refused, self.seen_at[name]),
            )
            self._drop(oldest)

    def _drop(self, fingerprint: str) -> None:
        del self.entries[fingerprint]
        del self.seen_at[fingerprint]

    def forget_old(self, now: float) -> None:
        """Drop entries that have not grown for the time set, and lapsed solo marks."""
        limit = now - self.settings.memory_s
        for fingerprint in [name for name, seen in self.seen_at.items() if seen < limit]:
            self._drop(fingerprint)
        for name in [name for name, isolation in self.isolations.items() if isolation.until <= now]:
            del self.isolations[name]

    def list_news(self, now: float, age_max_s: float | None = None) -> tuple[QuarantineUpdate, ...]:
        """Return the entries that grew within `age_max_s`, or all, to be told to peers."""
        longest = age_max_s if age_max_s is not None else self.settings.memory_s
        return tuple(
            QuarantineUpdate(entry, now - self.seen_at[name])
            for name, entry in self.entries.items()
            if now - self.seen_at[name] <= longest
        )

    def set_isolation(self, backend_server: str, fingerprint: str, until: float) -> None:
        """Set a server aside for a suspect."""
        self.isolations[backend_server] = ServerIsolation(fingerprint, until)

    def clear_isolation(self, backend_server: str, fingerprint: str) -> None:
        """End the setting aside of a server, if it was for this fingerprint."""
        isolation = self.isolations.get(backend_server)
        if isolation is not None and isolation.fingerprint == fingerprint:
            del self.isolations[backend_server]

    def find_isolated_fingerprint(self, backend_server: str, now: float) -> str:
        """Return the fingerprint a server is set aside for, or an empty string."""
        isolation = self.isolations.get(backend_server)
        return isolation.fingerprint if isolation is not None and isolation.until > now else ""

    def list_isolated_servers(self, now: float) -> frozenset[str]:
        """Return the servers that other requests avoid."""
        return frozenset(
            name for name, isolation in self.isolations.items() if isolation.until > now
        )

    def list_isolation_marks(self, now: float) -> tuple[IsolatedRunNotice, ...]:
        """Return the servers this instance set aside, to be told to peers every second.

        The time told is short, so that peers use a server again soon after a run has ended.
        """
        return tuple(
            IsolatedRunNotice(
                name, isolation.fingerprint, min(ISOLATION_ANNOUNCED_S, isolation.until - now)
            )
            for name, isolation in self.isolations.items()
            if isolation.is_own and isolation.until > now
        )

    def merge_isolation_marks(self, marks: Iterable[IsolatedRunNotice], now: float) -> None:
        """Take servers that a peer set aside; own marks stay."""
        for mark in marks:
            present = self.isolations.get(mark.backend_server)
            if present is None or not present.is_own or present.until <= now:
                until = now + mark.remaining_s
                self.isolations[mark.backend_server] = ServerIsolation(
                    mark.fingerprint, until, is_own=False
                )
