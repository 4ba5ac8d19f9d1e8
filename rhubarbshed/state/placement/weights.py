"""Shared use of the weight store: slots for concurrent loads, and the rate of grants."""

from attrs import define, evolve, frozen
from returns.result import Result, Success

from rhubarbshed.protocol.codec import from_stored
from rhubarbshed.util.settings import WeightStoreSettings

WEIGHTS_KEY = "weights"


@frozen
class Slot:
    """Slot of a load at the weight store."""

    load_id: str
    backend_server: str


@frozen
class WeightUse:
    """Row of the weight store; `grants` counts all loads ever granted."""

    grants: int = 0
    slots: tuple[Slot, ...] = ()

    def holds(self, load_id: str) -> bool:
        """Return whether a load has a slot."""
        return any(slot.load_id == load_id for slot in self.slots)


@define
class WeightGate:
    """Rate limit of grants, by when this instance first saw the last one (monotonic seconds)."""

    interval_s: float
    slots_max: int
    grants: int = -1
    seen_at: float = 0.0
    offered: int = -1

    @classmethod
    def from_config(cls, settings: WeightStoreSettings) -> "WeightGate":
        """Make the gate of an instance that has seen no grant."""
        return cls(1.0 / settings.loads_per_s, settings.loads_at_once)

    def measure_wait(self, grants: int, now: float) -> float:
        """Return the seconds until the next grant: one interval after the last was first seen."""
        if grants == 0:
            return 0.0
        if grants != self.grants:
            self.grants = grants
            self.seen_at = now
        return max(0.0, self.seen_at + self.interval_s - now)

    def offer(self, grants: int) -> None:
        """Record the grant that is about to be written."""
        self.offered = grants

    def confirm(self, now: float) -> None:
        """Record that the offered grant was written, lest it is taken for another instance's."""
        if self.offered > self.grants:
            self.grants = self.offered
            self.seen_at = now


def grant_slot(use: WeightUse, load_id: str, backend_server: str) -> WeightUse:
    """Grant a slot to a load."""
    return evolve(use, grants=use.grants + 1, slots=(*use.slots, Slot(load_id, backend_server)))


def free_slot(use: WeightUse, load_id: str) -> WeightUse:
    """Free the slot of a load."""
    return evolve(use, slots=tuple(slot for slot in use.slots if slot.load_id != load_id))


def decode_use(value: dict | None) -> Result[WeightUse, str]:
    """Return the weight store's use that a row holds, or the reason why it cannot be read."""
    if value is None:
        return Success(WeightUse())
    return from_stored(value, WeightUse)
