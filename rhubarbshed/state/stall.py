"""Notice of times in which the whole process stood still, as when its machine is frozen."""

import math

from attrs import define

STALL_GAP_S = 2.0
# Time in which the peers' news that waited meanwhile are taken in.
CATCH_UP_S = 0.5


@define
class Stall:
    """Hold when the process was last seen at work, and until when its knowledge is doubted."""

    active_at: float = math.inf
    catch_up_until: float = -math.inf

    def record_activity(self, now: float) -> None:
        """Note that the process is at work; after a long gap its knowledge is doubted."""
        if now - self.active_at > STALL_GAP_S:
            self.catch_up_until = now + CATCH_UP_S
        self.active_at = now

    def is_catching_up(self, now: float) -> bool:
        """Tell whether others may know of crashes that this instance has not heard of yet."""
        if now - self.active_at > STALL_GAP_S:
            self.record_activity(now)
        return now < self.catch_up_until
