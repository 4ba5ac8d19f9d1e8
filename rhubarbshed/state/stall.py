"""Detection of stalls of the whole process, as when its machine is frozen."""

import math

from attrs import define

STALL_GAP_S = 2.0
# Time to process the messages of peers that queued up in the meantime.
CATCH_UP_S = 0.5


@define
class Stall:
    """When the process was last active, and until when its knowledge counts as outdated."""

    active_at: float = math.inf
    catch_up_until: float = -math.inf

    def record_activity(self, now: float) -> None:
        """Record that the process is active; after a long gap its knowledge counts as outdated."""
        if now - self.active_at > STALL_GAP_S:
            self.catch_up_until = now + CATCH_UP_S
        self.active_at = now

    def is_catching_up(self, now: float) -> bool:
        """Return whether others may know of crashes not yet reported to this instance."""
        if now - self.active_at > STALL_GAP_S:
            self.record_activity(now)
        return now < self.catch_up_until
