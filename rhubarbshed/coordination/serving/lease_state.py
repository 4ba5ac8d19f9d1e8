"""Who may give orders: one instance at a time, by a lease in the platform's store.

Answers a holder that is paused, cut off or dead, and one that does not know it. Times are chosen so
that the last order of one holder and the first of the next lie a whole lease apart even if a
renewal is on its way: a holder stops `ORDER_RIGHT_FRACTION` of a lease after its last renewal that
was answered, and the next one waits a lease from then. A holder that cannot reach the store stops,
and goes on once a renewal shows that nobody took over.
"""

import enum
import random

from attrs import define

ORDER_RIGHT_FRACTION = 0.4
"""Part of a lease for which a renewal gives the right to order, from when it was sent."""

RENEWAL_INTERVAL_FRACTION = 0.2
"""Part of a lease between two renewals: one may be lost."""

TAKEOVER_FRACTION = 0.45
"""Part of a lease for which the row must stay unchanged before another instance takes over; longer
than the right of a renewal lasts."""

JITTER_S = 0.3
"""Spread of the times at which instances look at the lease, so that one of them takes it."""

SMALL_INSTANCE_DELAY_MAX_S = 0.6
ENOUGH_CORES = 0.7
ENOUGH_LINK_MBPS = 20.0
"""Longest time that a small instance leaves to others. One that has enough of a core and of a link
for the words and orders of some fifty engines and instances does not wait."""

NO_MESSAGE_FRACTION = 0.25
"""Part of a lease without a word from the holder after which its row is looked at."""


class Step(enum.Enum):
    """What an instance does about the lease next."""

    WAIT = "wait"
    READ = "read"
    CREATE = "create"
    TAKE_OVER = "take_over"
    RENEW = "renew"


def draw_jitter(cores: float, link_mbps: float, rng: random.Random) -> float:
    """Return the seconds that an instance leaves others to take the lease, long for a small one."""
    size = min(1.0, cores / ENOUGH_CORES, link_mbps / ENOUGH_LINK_MBPS)
    return JITTER_S * rng.random() + SMALL_INSTANCE_DELAY_MAX_S * (1.0 - size)


@define
class LeaseState:
    """Hold what an instance knows of the lease; times are monotonic seconds.

    `version` is of the row last seen, `version_seen_at` when it was first seen. `may_order_until`
    ends this instance's right, and `may_order_from` the time before which a new holder waits.
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
    renewed_at: float = 0.0

    @classmethod
    def from_start(cls, lease_s: float, jitter_s: float, now: float) -> "LeaseState":
        """Make what an instance knows at its start: all that came with it must not ask at once."""
        return cls(lease_s, jitter_s, last_received_at=now - lease_s * NO_MESSAGE_FRACTION)

    def may_order(self, now: float) -> bool:
        """Tell whether this instance may give orders."""
        return self.held and self.may_order_from <= now < self.may_order_until

    def choose_step(self, now: float) -> Step:
        """Choose what to do next."""
        if self.held:
            due = now - self.renewed_at >= self.lease_s * RENEWAL_INTERVAL_FRACTION
            return Step.RENEW if due else Step.WAIT
        if now - self.last_received_at < self.lease_s * NO_MESSAGE_FRACTION + self.jitter_s:
            return Step.WAIT
        if now - self.read_at < self.lease_s * TAKEOVER_FRACTION:
            return Step.WAIT
        if self.version == 0:
            return Step.CREATE
        if self.version > 0 and now - self.version_seen_at >= self.lease_s * TAKEOVER_FRACTION:
            return Step.TAKE_OVER
        return Step.READ

    def record_row(self, version: int, holder: str, now: float) -> None:
        """Take the row as it was read; 0 is the version of a row that does not exist."""
        if version != self.version:
            self.version = version
            self.version_seen_at = now
        self.holder = holder
        self.read_at = now

    def record_acquired(self, version: int, sent_at: float, waits: bool) -> None:
        """Take the lease; where somebody held it before, wait a lease from its last right.

        The holder before sent its last renewal before the row was first seen at this version.
        """
        last_right = self.version_seen_at + self.lease_s * ORDER_RIGHT_FRACTION
        self.held = True
        self.version = version
        self.token = version
        self.renewed_at = sent_at
        self.may_order_until = sent_at + self.lease_s * ORDER_RIGHT_FRACTION
        self.may_order_from = last_right + self.lease_s if waits else sent_at

    def record_renewed(self, version: int, sent_at: float) -> None:
        """Take a renewal that the store has confirmed."""
        self.version = version
        self.renewed_at = sent_at
        self.may_order_until = sent_at + self.lease_s * ORDER_RIGHT_FRACTION

    def record_lost(self, now: float) -> None:
        """Take the loss of the lease."""
        self.held = False
        self.version = -1
        self.read_at = -1e9
        self.last_received_at = now
