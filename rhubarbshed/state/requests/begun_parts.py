"""Parts of prompts that answers have begun on lately, here or at another instance."""

import math
from collections import OrderedDict

from attrs import define, field

BEGUN_MEMORY_S = 60.0
"""Time for which a part counts as begun lately."""

PARTS_MAX = 8_192
"""Most parts that are remembered."""


@define
class BegunPart:
    """Answers begun on a part: how many, and when the last one (monotonic seconds)."""

    count: int
    last_at: float


@define
class BegunParts:
    """Parts by key, the one begun last at the end.

    `reported` are those that an instance has reported to all others, and when.
    """

    parts: OrderedDict[str, BegunPart] = field(factory=OrderedDict)
    reported: OrderedDict[str, float] = field(factory=OrderedDict)

    def record(self, key: str, now: float) -> None:
        """Record that an answer on a part has begun."""
        part = self.parts.get(key)
        if part is None or now - part.last_at > BEGUN_MEMORY_S:
            self.parts[key] = BegunPart(1, now)
        else:
            part.count += 1
            part.last_at = now
        self.parts.move_to_end(key)
        if len(self.parts) > PARTS_MAX:
            self.parts.popitem(last=False)

    def has_begun_since(self, key: str, since: float) -> bool:
        """Return whether an answer on a part has begun since a time."""
        part = self.parts.get(key)
        return part is not None and part.last_at >= since

    def count_lately(self, key: str, now: float) -> int:
        """Return how many answers on a part are known to have begun, 0 if none has lately."""
        part = self.parts.get(key)
        count = part.count if part is not None and now - part.last_at <= BEGUN_MEMORY_S else 0
        return max(count, int(now - self.reported.get(key, -math.inf) <= BEGUN_MEMORY_S))

    def record_report(self, key: str, now: float) -> None:
        """Record that an instance has reported a part to all others."""
        self.reported[key] = now
        self.reported.move_to_end(key)
        if len(self.reported) > PARTS_MAX:
            self.reported.popitem(last=False)

    def is_report_due(self, key: str, now: float) -> bool:
        """Return whether others should be told that answers on a part have begun here lately."""
        part = self.parts.get(key)
        if part is None or now - part.last_at > BEGUN_MEMORY_S:
            return False
        return now - self.reported.get(key, -math.inf) > BEGUN_MEMORY_S / 2
