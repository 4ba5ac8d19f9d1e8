"""Shares of common limits that instances compute without exchanging messages."""

import xxhash
from attrs import define, field


def compute_share(total: int, instances: tuple[str, ...], own: str) -> int:
    """Return this instance's share of a limit, at least 1.

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
    """Limit on this instance's adapter loads in flight: its share of the total.

    `instances` are all live instances of all data centres as last known; an instance that is cut
    off keeps its last known share.
    """

    total: int
    own: str
    instances: tuple[str, ...] = ()
    in_flight: set[str] = field(factory=set)

    def set_instances(self, instances: tuple[str, ...]) -> None:
        """Replace the live instances, which changes the share."""
        self.instances = instances

    def admit(self, load_id: str) -> bool:
        """Count a load as in flight if the share allows it; return whether it does."""
        if load_id in self.in_flight:
            return True
        if len(self.in_flight) >= compute_share(self.total, self.instances, self.own):
            return False
        self.in_flight.add(load_id)
        return True

    def finish(self, load_id: str) -> None:
        """Stop counting a load as in flight."""
        self.in_flight.discard(load_id)
