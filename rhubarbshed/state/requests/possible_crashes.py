"""Broken attempts that may prove to be crashes of their backend servers.

A fingerprint is that of a request, or of a part that several requests at one server may share.
"""

from collections.abc import Callable

from attrs import define, field, frozen

from rhubarbshed.protocol.quarantine import CrashId, Sighting

POSSIBLE_CRASH_S = 60.0
POSSIBLE_CRASHES_MAX = 5_000
BOOT_UNKNOWN = ""
BOOT_ALONE = "alone"


@frozen
class PossibleCrash:
    """Fingerprint that was in flight when its connection to a server broke.

    `sighting` has the details where they are known.
    """

    fingerprint: str
    crash: CrashId
    alone: bool
    at: float
    sighting: Sighting | None = None


@define
class PossibleCrashes:
    """Broken attempts, until a report shows whether their server crashed."""

    items: dict[tuple[str, CrashId, str], PossibleCrash] = field(factory=dict)

    def add(self, possible: PossibleCrash) -> None:
        """Add a possible crash; a repeated report of it changes nothing."""
        request = possible.sighting.request if possible.sighting is not None else ""
        self.items.setdefault((possible.fingerprint, possible.crash, request), possible)
        while len(self.items) > POSSIBLE_CRASHES_MAX:
            del self.items[next(iter(self.items))]

    def list_crashes(self, fingerprint: str) -> tuple[CrashId, ...]:
        """Return the possible crashes of a fingerprint."""
        return tuple(crash for name, crash, _ in self.items if name == fingerprint)

    def rule_out(self, backend_server: str, boot_id: str, alive_at: float) -> None:
        """Drop possible crashes from before a time at which the same boot was still alive.

        A server that reports no boot id may have restarted in between, so it rules out nothing.
        """
        if not boot_id:
            return
        crash = CrashId(backend_server, boot_id)
        self._drop(lambda item: item.crash == crash and item.at < alive_at)

    def pop_confirmed(self, crash: CrashId) -> tuple[PossibleCrash, ...]:
        """Remove and return what matches a confirmed crash."""
        taken = tuple(item for item in self.items.values() if _is_same(item.crash, crash))
        self._drop(lambda item: _is_same(item.crash, crash))
        return taken

    def clear_fingerprint(self, fingerprint: str) -> None:
        """Drop the possible crashes of a fingerprint that has got a complete answer."""
        self._drop(lambda item: item.fingerprint == fingerprint)

    def forget_old(self, now: float) -> None:
        """Drop what no report has decided for a long time."""
        self._drop(lambda item: item.at < now - POSSIBLE_CRASH_S)

    def _drop(self, matches: Callable[[PossibleCrash], bool]) -> None:
        for key in [key for key, item in self.items.items() if matches(item)]:
            del self.items[key]


def make_possible_crash_id(backend_server: str, boot_id: str, alone: bool) -> CrashId:
    """Return the id of a possible crash, also for a server that reports no boot id.

    A fingerprint runs alone on one instance at a time, so even without a boot id its crashes alone
    can be distinguished from those shared with other requests.
    """
    return CrashId(backend_server, boot_id or (BOOT_ALONE if alone else BOOT_UNKNOWN))


def _is_same(possible: CrashId, confirmed: CrashId) -> bool:
    if possible.backend_server != confirmed.backend_server:
        return False
    return possible.boot_id in (confirmed.boot_id, BOOT_UNKNOWN, BOOT_ALONE)
