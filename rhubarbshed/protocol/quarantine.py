"""Crashes of backend servers and suspected requests."""

from attrs import evolve, field, frozen


@frozen(order=True)
class CrashId:
    """One crash, identified by the backend server and the boot that it ended."""

    backend_server: str
    boot_id: str


CrashIds = tuple[CrashId, ...]


@frozen
class QuarantineEntry:
    """Evidence against one request fingerprint; entries only grow.

    `crashes` are those during which it was in flight, `alone` those where nothing else ran on the
    server, and `cleared` those it is no longer suspected of because of a later complete response;
    all are sorted and distinct. `refused` is final.
    """

    fingerprint: str
    crashes: CrashIds = field(factory=tuple)
    alone: CrashIds = field(factory=tuple)
    cleared: CrashIds = field(factory=tuple)
    refused: bool = False

    @property
    def open_crashes(self) -> CrashIds:
        """Crashes of which the fingerprint is still suspected."""
        return tuple(crash for crash in self.crashes if crash not in self.cleared)


def merge_entries(left: QuarantineEntry, right: QuarantineEntry) -> QuarantineEntry:
    """Return the union of two entries of one fingerprint; commutative and idempotent."""
    return evolve(
        left,
        crashes=_unite(left.crashes, right.crashes),
        alone=_unite(left.alone, right.alone),
        cleared=_unite(left.cleared, right.cleared),
        refused=left.refused or right.refused,
    )


def _unite(left: CrashIds, right: CrashIds) -> CrashIds:
    return tuple(sorted({*left, *right}))


@frozen
class Sighting:
    """Request that was at a backend server when that ended.

    `request` is its fingerprint; the times are monotonic seconds of this instance, those of other
    instances' requests late by the time that a message takes. `begun` is whether an event of its
    answer had come. `after` is the last such end that the sending instance saw before it sent the
    request.
    """

    crash: CrashId
    request: str
    sent_at: float
    ended_at: float
    begun: bool = False
    after: CrashId | None = None


@frozen
class QuarantineUpdate:
    """Entry sent to a peer; it last grew `age_s` seconds before sending."""

    entry: QuarantineEntry
    age_s: float


@frozen
class IsolatedRunNotice:
    """Notice that a suspect runs isolated on a backend server for at most `remaining_s` more."""

    backend_server: str
    fingerprint: str
    remaining_s: float
