"""Fingerprints that crashed backend servers, and servers isolated for a suspect request.

The platform's request path decides by the sightings, the own interface's by the crashes alone.
"""

from collections.abc import Iterable

from attrs import define, evolve, field, frozen

from rhubarbshed.protocol.quarantine import (
    CrashId,
    IsolatedRunNotice,
    QuarantineEntry,
    QuarantineUpdate,
    Sighting,
    merge_entries,
)
from rhubarbshed.util.setting_fields import QuarantineSettings

ENTRIES_MAX = 20_000
SIGHTINGS_MAX = 32
SIGHTINGS_PER_CRASH = 4
"""Most requests kept for one entry, and for one of its crashes."""

ISOLATION_ANNOUNCED_S = 3.0


@frozen
class ServerIsolation:
    """Isolation of a backend server for one fingerprint until a monotonic time.

    `is_own` is set if this instance isolated it.
    """

    fingerprint: str
    until: float
    is_own: bool = True


@define
class QuarantineView:
    """Quarantine entries known to this instance; `seen_at` is when each of them last grew.

    `is_final` is whether an entry with `crashes_max` crashes is refused for good. `sightings` are
    the requests behind the open crashes of an entry, by crash and request, where they are known.
    """

    settings: QuarantineSettings
    is_final: bool = True
    entries_max: int = ENTRIES_MAX
    entries: dict[str, QuarantineEntry] = field(factory=dict)
    seen_at: dict[str, float] = field(factory=dict)
    isolations: dict[str, ServerIsolation] = field(factory=dict)
    sightings: dict[str, dict[tuple[CrashId, str], Sighting]] = field(factory=dict)

    def find_entry(self, fingerprint: str) -> QuarantineEntry:
        """Return the entry of a fingerprint, an empty one if none is known."""
        return self.entries.get(fingerprint) or QuarantineEntry(fingerprint)

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a fingerprint is refused for good."""
        return self.find_entry(fingerprint).refused

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a fingerprint may only run alone."""
        entry = self.find_entry(fingerprint)
        return not entry.refused and bool(entry.open_crashes)

    def record_crash(self, fingerprint: str, crash: CrashId, alone: bool, now: float) -> None:
        """Record a crash against a fingerprint; the same crash reported again counts once."""
        reported = QuarantineEntry(fingerprint, (crash,), (crash,) if alone else ())
        self.merge_entry(reported, now)

    def record_sighting(self, fingerprint: str, sighting: Sighting, now: float) -> bool:
        """Record a request behind a crash; return whether it is new."""
        age_s = now - sighting.ended_at
        is_cleared = sighting.crash in self.find_entry(fingerprint).cleared
        if age_s >= self.settings.memory_s or is_cleared:
            return False
        known = self.sightings.setdefault(fingerprint, {})
        mark = (sighting.crash, sighting.request)
        if mark in known or len(known) >= SIGHTINGS_MAX:
            return False
        known[mark] = sighting
        # The same ones are kept on all instances, in whatever order they come to know them.
        same = sorted(each for each in known if each[0] == sighting.crash)
        for surplus in same[SIGHTINGS_PER_CRASH:]:
            del known[surplus]
        if mark not in known:
            return False
        self.merge_entry(QuarantineEntry(fingerprint, (sighting.crash,)), now, age_s)
        return True

    def list_sightings(self, fingerprint: str) -> tuple[Sighting, ...]:
        """Return the known requests behind the open crashes of an entry."""
        return tuple(self.sightings.get(fingerprint, {}).values())

    def record_complete_answer(self, fingerprint: str, now: float) -> None:
        """Clear a fingerprint of the crashes known so far."""
        entry = self.entries.get(fingerprint)
        if entry is not None and not entry.refused:
            self.merge_entry(evolve(entry, cleared=entry.crashes), now)

    def merge_news(self, news: Iterable[QuarantineUpdate], now: float) -> None:
        """Merge a peer's entries; those that it has known for too long are not added again."""
        for update in news:
            if update.age_s < self.settings.memory_s:
                self.merge_entry(update.entry, now, update.age_s)

    def merge_entry(self, reported: QuarantineEntry, now: float, age_s: float = 0.0) -> bool:
        """Merge a reported entry; return whether it changed anything."""
        known = self.find_entry(reported.fingerprint)
        merged = merge_entries(known, reported)
        if self.is_final and len(merged.open_crashes) >= self.settings.crashes_max:
            merged = evolve(merged, refused=True)
        if merged == known:
            return False
        self.entries[reported.fingerprint] = merged
        self._drop_cleared_sightings(merged)
        seen_before = self.seen_at.get(reported.fingerprint, now - age_s)
        self.seen_at[reported.fingerprint] = max(seen_before, now - age_s)
        self._bound_entries()
        return True

    def _drop_cleared_sightings(self, entry: QuarantineEntry) -> None:
        known = self.sightings.get(entry.fingerprint, {})
        for mark in [mark for mark in known if mark[0] in entry.cleared]:
            del known[mark]

    def _bound_entries(self) -> None:
        while len(self.entries) > self.entries_max:
            # Entries with a single crash go first: a caller can bring about many of them at once.
            oldest = min(
                self.entries,
                key=lambda name: (
                    self.entries[name].refused,
                    len(self.entries[name].open_crashes) > 1,
                    self.seen_at[name],
                ),
            )
            self._drop(oldest)

    def _drop(self, fingerprint: str) -> None:
        del self.entries[fingerprint]
        del self.seen_at[fingerprint]
        self.sightings.pop(fingerprint, None)

    def forget_old(self, now: float) -> None:
        """Drop entries that have not grown for the configured time, and expired isolations."""
        limit = now - self.settings.memory_s
        for fingerprint in [name for name, seen in self.seen_at.items() if seen < limit]:
            self._drop(fingerprint)
        for name in [name for name, isolation in self.isolations.items() if isolation.until <= now]:
            del self.isolations[name]

    def forget_cleared(self, until: float) -> None:
        """Drop entries without open crashes that have not grown since a time."""
        for name in [name for name, seen in self.seen_at.items() if seen < until]:
            if not self.entries[name].open_crashes:
                self._drop(name)

    def list_news(self, now: float, age_max_s: float | None = None) -> tuple[QuarantineUpdate, ...]:
        """Return the entries that grew within `age_max_s`, or all, to be sent to peers."""
        longest = age_max_s if age_max_s is not None else self.settings.memory_s
        return tuple(
            QuarantineUpdate(entry, now - self.seen_at[name])
            for name, entry in self.entries.items()
            if now - self.seen_at[name] <= longest
        )

    def set_isolation(self, backend_server: str, fingerprint: str, until: float) -> None:
        """Isolate a server for a suspect request."""
        self.isolations[backend_server] = ServerIsolation(fingerprint, until)

    def clear_isolation(self, backend_server: str, fingerprint: str) -> None:
        """End the isolation of a server, if it was for this fingerprint."""
        isolation = self.isolations.get(backend_server)
        if isolation is not None and isolation.fingerprint == fingerprint:
            del self.isolations[backend_server]

    def find_isolated_fingerprint(self, backend_server: str, now: float) -> str:
        """Return the fingerprint for which a server is isolated, or an empty string."""
        isolation = self.isolations.get(backend_server)
        return isolation.fingerprint if isolation is not None and isolation.until > now else ""

    def list_isolated_servers(self, now: float) -> frozenset[str]:
        """Return the servers that other requests avoid."""
        return frozenset(
            name for name, isolation in self.isolations.items() if isolation.until > now
        )

    def list_isolation_marks(self, now: float) -> tuple[IsolatedRunNotice, ...]:
        """Return the servers that this instance isolated, to be sent to peers every second.

        The announced time is short, so that peers use a server again soon after a run has ended.
        """
        return tuple(
            IsolatedRunNotice(
                name, isolation.fingerprint, min(ISOLATION_ANNOUNCED_S, isolation.until - now)
            )
            for name, isolation in self.isolations.items()
            if isolation.is_own and isolation.until > now
        )

    def merge_isolation_marks(self, marks: Iterable[IsolatedRunNotice], now: float) -> None:
        """Merge servers that a peer isolated; own isolations stay."""
        for mark in marks:
            present = self.isolations.get(mark.backend_server)
            if present is None or not present.is_own or present.until <= now:
                until = now + mark.remaining_s
                self.isolations[mark.backend_server] = ServerIsolation(
                    mark.fingerprint, until, is_own=False
                )
