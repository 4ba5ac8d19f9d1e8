"""State of the order lease: one instance at a time may give orders, by a lease in the store.

A holder may be paused, cut off or dead, or may not know that it lost the lease. The last order of
one holder and the first order of the next therefore lie a whole lease apart, even if a renewal is
in flight: a holder stops `ORDER_RIGHT_FRACTION` of a lease after it sent its last answered renewal,
and the next holder waits a lease from that moment. A holder that cannot reach the store stops, and
resumes once a renewal shows that no other instance has taken over.

After a loss of power to all instances nobody gives orders until the lease has a holder again. An
instance whose own earlier process held the lease, and gave orders, takes it back at once: its
process has ended, and no other holder's orders can be less than a lease old.

When the store is restored from a copy, its row may be older than the last one that was
acknowledged, and versions are given out again. A holder keeps the lease if it is renewed in the new
era before its right has lapsed, as no other instance can have taken over until then. Everybody else
takes the row for one that was first seen in the new era, and nobody trusts one that was written
before.
"""

import enum
import random

from attrs import define

from rhubarbshed.protocol.tables import FIRST_ERA

ORDER_RIGHT_FRACTION = 0.4
"""Fraction of a lease during which a renewal allows orders, counted from when it was sent."""

RENEWAL_INTERVAL_FRACTION = 0.2
"""Fraction of a lease between two renewals, short enough that one renewal may be lost."""

TAKEOVER_FRACTION = 0.45
"""Fraction of a lease for which the row must stay unchanged before another instance takes over;
longer than a renewal allows orders."""

JITTER_S = 0.3
"""Longest random delay before an instance reads the lease, so that a single one takes it."""

SMALL_INSTANCE_DELAY_MAX_S = 0.6
ENOUGH_CORES = 0.7
ENOUGH_LINK_MBPS = 20.0
"""Longest delay in seconds by which a small instance lets others take the lease first. An instance
with this fraction of a core and this link can carry the messages and orders of some fifty engines
and instances, and does not wait."""

CUT_RELEASE_FRACTION = 0.35
"""Fraction of a lease after which a holder that reaches no engine releases the lease; shorter cuts
cost fewer orders than a change of the holder."""

CUT_DELAY_FRACTION = 1.0
"""Fraction of a lease by which an instance that reaches no engine lets others take the lease first.
If all of its data centre are cut off, one of them still has to pass messages on."""

NO_MESSAGE_FRACTION = 0.25
"""Fraction of a lease without a message from the holder after which its row is read."""

TOKEN_VERSION_BITS = 39
"""Bits of a fencing token that hold a version of the store; those above hold the era."""

CONFIRMED_FRACTION = 0.3
"""Fraction of a lease after its last answered renewal from which a holder may miss changes of the
store: a renewal is overdue."""


class Step(enum.Enum):
    """Next action of an instance on the lease."""

    WAIT = "wait"
    READ = "read"
    CREATE = "create"
    TAKE_OVER = "take_over"
    RENEW = "renew"
    RELEASE = "release"


def draw_jitter(cores: float, link_mbps: float, rng: random.Random) -> float:
    """Return a random delay in seconds before taking the lease, longer on a small instance."""
    size = min(1.0, cores / ENOUGH_CORES, link_mbps / ENOUGH_LINK_MBPS)
    return JITTER_S * rng.random() + SMALL_INSTANCE_DELAY_MAX_S * (1.0 - size)


def count_restores(era: int) -> int:
    """Return how often a store had been restored before an era."""
    return max(0, era - FIRST_ERA)


def make_token(era: int, version: int) -> int:
    """Return a fencing token that is unique and rises across restores of the store.

    Those of the first era are the versions themselves, as in builds that do not read the era.
    """
    return count_restores(era) << TOKEN_VERSION_BITS | version


def read_restores(token: int) -> int:
    """Return how often the store had been restored before a fencing token was made."""
    return token >> TOKEN_VERSION_BITS


@define
class LeaseState:
    """Lease as known to one instance; times are monotonic seconds.

    `version` is the version of the row as last read in `era`, and `version_seen_at` when it was
    first read; an earlier process of this instance, which gave orders, left it if `is_resumable`.
    Orders are allowed from `may_order_from`, until which a new holder waits, to `may_order_until`;
    those that count towards a common rate wait until `may_load_from` in any case. A holder that
    took the lease while it was cut off keeps it through that cut. `renewed_era` is the era of the
    last answered renewal.
    """

    lease_s: float
    jitter_s: float
    holder: str = ""
    version: int = -1
    version_seen_at: float = 0.0
    last_received_at: float = 0.0
    read_at: float = -1e9
    held: bool = False
    token: int = 0
    may_order_until: float = 0.0
    may_order_from: float = 0.0
    may_load_from: float = 0.0
    is_resumable: bool = False
    renewed_at: float = 0.0
    acquired_in_cut: bool = False
    era: int = 0
    renewed_era: int = 0

    @classmethod
    def from_start(cls, lease_s: float, jitter_s: float, now: float) -> "LeaseState":
        """Make the state of an instance that starts now.

        The first read waits for the jitter, so that instances that start together do not all read
        the row at once.
        """
        return cls(lease_s, jitter_s, last_received_at=now - lease_s * NO_MESSAGE_FRACTION)

    def may_order(self, now: float) -> bool:
        """Return whether this instance may give orders."""
        return self.held and self.may_order_from <= now < self.may_order_until

    def is_confirmed(self, now: float) -> bool:
        """Return whether this holder reached the store lately."""
        return self.held and now - self.renewed_at < self.lease_s * CONFIRMED_FRACTION

    def choose_step(self, now: float, cut_s: float = 0.0) -> Step:
        """Choose the next action on the lease of an instance that is cut off since `cut_s`."""
        self.acquired_in_cut = self.acquired_in_cut and cut_s > 0.0
        if self.held and not self.acquired_in_cut and cut_s > self.lease_s * CUT_RELEASE_FRACTION:
            return Step.RELEASE
        if self.held:
            due = now - self.renewed_at >= self.lease_s * RENEWAL_INTERVAL_FRACTION
            return Step.RENEW if due else Step.WAIT
        delay_s = self.jitter_s + (self.lease_s * CUT_DELAY_FRACTION if cut_s > 0.0 else 0.0)
        if now - self.last_received_at < self.lease_s * NO_MESSAGE_FRACTION + delay_s:
            return Step.WAIT
        if self.version > 0 and self.is_resumable:
            return Step.TAKE_OVER
        if now - self.read_at < self.lease_s * TAKEOVER_FRACTION:
            return Step.WAIT
        if self.version == 0:
            return Step.CREATE
        if self.version > 0 and now - self.version_seen_at >= self.lease_s * TAKEOVER_FRACTION:
            return Step.TAKE_OVER
        return Step.READ

    def gives_orders(self, now: float) -> bool:
        """Return whether the row may state that its holder gives orders and waits for no other.

        It is written with a takeover, too, for a process that reads it after this one has ended.
        The first renewal in an era does not state it, as it may come too late to keep the right.
        """
        if self.held:
            return now >= self.may_order_from and self.renewed_era == self.era
        return self.is_resumable or not self.may_have_holder()

    def may_have_holder(self) -> bool:
        """Return whether there may have been a holder before; a restore may have lost its row."""
        return self.version != 0 or self.era > FIRST_ERA

    def record_era(self, era: int, now: float) -> None:
        """Record a new era of the store, in which the row has yet to be read or renewed."""
        self.era = era
        self.is_resumable = False
        if self.held:
            # A renewal is due at once, and changes of the store may be missed until then.
            self.renewed_at = now - self.lease_s
        else:
            self.version = -1
            self.read_at = -1e9

    def has_lapsed_in_restore(self, now: float) -> bool:
        """Return whether the right ended before it was renewed in the store's new era.

        Another instance may have had the lease in between, of which the copy shows nothing.
        """
        return self.held and self.renewed_era != self.era and now >= self.may_order_until

    def record_row(self, version: int, holder: str, now: float, is_resumable: bool = False) -> None:
        """Record the row as read; a row that does not exist has version 0."""
        if version != self.version:
            self.version = version
            self.version_seen_at = now
        self.holder = holder
        self.is_resumable = is_resumable
        self.read_at = now

    def record_acquired(
        self, version: int, sent_at: float, waits: bool, in_cut: bool = False
    ) -> None:
        """Record that this instance acquired the lease, and when its orders may start.

        With `waits` there may have been a holder before, and orders start a lease after the end of
        its right, unless it was an earlier process of this instance. It sent its last renewal
        before the row was first seen at this version.
        """
        last_right = self.version_seen_at + self.lease_s * ORDER_RIGHT_FRACTION
        self.held = True
        self.acquired_in_cut = in_cut
        self.version = version
        self.token = make_token(self.era, version)
        self.renewed_era = self.era
        self.renewed_at = sent_at
        self.may_order_until = sent_at + self.lease_s * ORDER_RIGHT_FRACTION
        self.may_load_from = last_right + self.lease_s if waits else sent_at
        self.may_order_from = sent_at if self.is_resumable else self.may_load_from
        self.is_resumable = False

    def record_renewed(self, version: int, sent_at: float) -> None:
        """Record a renewal that the store has confirmed, maybe the first one of an era."""
        if self.renewed_era != self.era:
            self.token = make_token(self.era, version)
            self.renewed_era = self.era
        self.version = version
        self.renewed_at = sent_at
        self.may_order_until = sent_at + self.lease_s * ORDER_RIGHT_FRACTION

    def record_lost(self, now: float) -> None:
        """Record the loss of the lease."""
        self.held = False
        self.version = -1
        self.is_resumable = False
        self.read_at = -1e9
        self.last_received_at = now
