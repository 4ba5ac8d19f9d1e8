"""Fixed shares of limits that all instances share without talking."""

import xxhash
from attrs import define, field


def compute_share(total: int, instances: tuple[str, ...], own: str) -> int:
    """Return this instance's share of a limit, at least 1 once it is shared out.

    The remainder goes to the instances with the highest hashes. With more instances than the
    total, the sum of the shares exceeds it.
    """
    everyone = {*instances, own}
    share, remainder = divmod(total, len(everyone))
    ranked = sorted(everyone, key=lambda name: (-xxhash.xxh3_64_intdigest(name.encode()), name))
    extra = 1 if ranked.index(own) < remainder else 0
    return max(1, share + extra)


@define
class AdapterQuota:
    """Count the adapter loads that this instance has in flight against its share.

    `instances` are all live instances of all data centres, as last known; cut off, the last
    known share goes on to hold.
    """

    total: int
    own: str
    instances: tuple[str, ...] = ()
    in_flight: set[str] = field(factory=set)

    def set_instances(self, instances: tuple[str, ...]) -> None:
        """Take in the live instances."""
        self.instances = instances

    def admit(self, load_id: str) -> bool:
        """Count a load in if the share allows it."""
        if load_id in self.in_flight:
            return True
        if len(self.in_flight) >= compute_share(self.total, self.instances, self.own):
            return False
        self.in_flight.add(load_id)
        return True

    def finish(self, load_id: str) -> None:
        """Count a load out."""
        self.in_flight.discard(load_id)
