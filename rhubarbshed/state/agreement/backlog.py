"""Rate limit on an instance's backlog of table writes after an outage."""

from attrs import define

from rhubarbshed.util.settings import PlatformSettings

BURST_S = 1.0
"""Seconds of an instance's share that may be written in one burst."""


@define
class BacklogRate:
    """Token bucket for the backlog writes of this instance.

    The rate is for all instances together; each takes an equal share, so that the load on the
    table after an outage does not depend on the number of instances.
    """

    writes_per_s: float
    allowed: float = 1.0
    refilled_at: float | None = None

    @classmethod
    def from_config(cls, settings: PlatformSettings) -> "BacklogRate":
        """Build the rate limit from the settings, with one write allowed."""
        return cls(settings.backlog_writes_per_s)

    def count_allowed(self, instances: int, now: float) -> int:
        """Return the number of writes that are allowed now, at least one in the long run."""
        share = self.writes_per_s / max(1, instances)
        since = now if self.refilled_at is None else self.refilled_at
        self.refilled_at = now
        allowed_max = max(1.0, share * BURST_S)
        self.allowed = min(allowed_max, self.allowed + share * (now - since))
        return int(self.allowed)

    def spend(self, writes: int) -> None:
        """Deduct attempted writes, answered or not."""
        self.allowed -= writes
