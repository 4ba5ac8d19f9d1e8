"""Crashes of backend servers and the requests suspected of them, as instances tell each other."""

from attrs import evolve, field, frozen


@frozen(order=True)
class CrashId:
    """Identify one crash: the backend server and the boot that ended with it."""

    backend_server: str
    boot_id: str


CrashIds = tuple[CrashId, ...]


@frozen
class QuarantineEntry:
    """Hold what is known against one fingerprint; entries only grow.

    `crashes` are those it was in flight at, `alone` the ones where it ran alone, and `cleared`
    the ones it was acquitted of by a whole answer given later; all are sorted and distinct.
    `refused` is final.
    """

    fingerprint: str
    crashes: CrashIds = field(factory=tuple)
    alone: CrashIds = field(factory=tuple)
    cleared: CrashIds = field(factory=tuple)
    refused: bool = False

    @property
    def open_crashes(self) -> CrashIds:
        """Return the crashes that still count."""
        return tuple(crash for crash in self.crashes if crash not in self.cleared)


def merge_entries(left: QuarantineEntry, right: QuarantineEntry) -> QuarantineEntry:
    """Return the union of two entries of one fingerprint; order and repetition do not matter."""
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
class QuarantineUpdate:
    """Tell a peer of an entry that last grew `age_s` ago."""

    entry: QuarantineEntry
    age_s: float


@frozen
class IsolatedRunNotice:
    """Tell that a suspect runs alone on a backend server for `remaining_s` more at most."""

    backend_server: str
    fingerprint: str
    remaining_s: float
