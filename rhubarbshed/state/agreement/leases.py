"""Local view of the sessions of instances and the ownership of backend servers."""

from attrs import define, field, frozen

from rhubarbshed.util.settings import LeaseSettings

CLOCK_DRIFT_RATIO_MAX = 0.02
READ_GAP_RENEWALS_MAX = 2.0
NEVER = float("-inf")


@frozen(order=True)
class Holder:
    """Identity of one run of an instance."""

    instance: str
    incarnation: str


NO_HOLDER = Holder("", "")


@frozen
class Session:
    """Session row of an instance; `counter` rises with every renewal."""

    holder: Holder
    counter: int
    leaving: bool = False


@frozen
class Ownership:
    """Ownership of a backend server; `epoch` is the fencing token and only rises."""

    backend_server: str
    holder: Holder
    epoch: int


@frozen
class SessionObservation:
    """Version of a session row, since when it is unchanged, and when it was last read.

    Times are monotonic seconds of this instance.
    """

    version: int
    unchanged_since: float
    read_at: float


@define
class Leases:
    """The own lease of this instance, and observations of the leases of others.

    Only this instance's clock is used. Its own lease counts from before a renewal was sent;
    another's lapses a full term after its row was first seen unchanged. `term_s` and `gap_max_s`
    are in seconds. `unverified` are servers no longer owned whose rows may still name this
    instance.
    """

    own: Holder
    term_s: float
    gap_max_s: float
    held_until: float = NEVER
    renewals: int = 0
    observations: dict[Holder, SessionObservation] = field(factory=dict)
    owned: dict[str, Ownership] = field(factory=dict)
    unverified: set[str] = field(factory=set)

    @classmethod
    def from_config(cls, settings: LeaseSettings, own: Holder) -> "Leases":
        """Build the state of an instance without a lease."""
        return cls(own, settings.term_s, READ_GAP_RENEWALS_MAX * settings.renewal_s)

    def is_held(self, now: float) -> bool:
        """Return whether this instance's own lease is within its term."""
        return now < self.held_until

    def may_act(self, backend_server: str, epoch: int, now: float) -> bool:
        """Return whether this instance may send orders to a backend server under an epoch."""
        owned = self.owned.get(backend_server)
        return owned is not None and owned.epoch == epoch and self.is_held(now)

    def list_owned(self, now: float) -> tuple[Ownership, ...]:
        """List the ownerships of this instance, none while its lease is not held."""
        if not self.is_held(now):
            return ()
        return tuple(self.owned[name] for name in sorted(self.owned))

    def confirm(self, sent_at: float, now: float) -> None:
        """Extend the lease from when the renewal was sent.

        Ownership is dropped if the old term had lapsed by the time of the answer: another
        instance may have taken over before the renewal took effect. The rows are then read again.
        """
        if not self.is_held(now):
            self.unverified |= set(self.owned)
            self.owned.clear()
        self.renewals += 1
        self.held_until = max(self.held_until, sent_at + self.term_s * (1 - CLOCK_DRIFT_RATIO_MAX))

    def lose(self) -> None:
        """Drop the lease and all ownership at once."""
        self.held_until = NEVER
        self.owned.clear()

    def add_owned(self, ownership: Ownership) -> None:
        """Record an ownership of this instance that the table confirmed."""
        held = self.owned.get(ownership.backend_server)
        if held is None or held.epoch <= ownership.epoch:
            self.owned[ownership.backend_server] = ownership

    def remove_owned(self, backend_server: str) -> None:
        """Remove a backend server from those owned, whatever its row says."""
        if self.owned.pop(backend_server, None) is not None:
            self.unverified.add(backend_server)

    def mark_verified(self, backend_server: str) -> None:
        """Record that a backend server's row does not name this instance, or that it is owned."""
        self.unverified.discard(backend_server)

    def observe(self, holder: Holder, version: int, now: float) -> None:
        """Record the row version at which a holder's session was read at `now`.

        A changed row restarts the term. So does a gap between reads, so that instances which
        could not renew while the table was down are not considered gone once it is back.
        """
        seen = self.observations.get(holder)
        since = now
        if seen is not None and seen.version == version and now - seen.read_at <= self.gap_max_s:
            since = seen.unchanged_since
        self.observations[holder] = SessionObservation(version, since, now)

    def is_lapsed(self, holder: Holder, now: float) -> bool:
        """Return whether a holder's lease has certainly lapsed: a term passed without a renewal."""
        if holder == NO_HOLDER:
            return True
        seen = self.observations.get(holder)
        return seen is not None and now - seen.unchanged_since >= self.term_s * (
            1 + CLOCK_DRIFT_RATIO_MAX
        )

    def forget(self, holders: frozenset[Holder]) -> None:
        """Remove the observations of holders that are gone."""
        for holder in holders:
            self.observations.pop(holder, None)
