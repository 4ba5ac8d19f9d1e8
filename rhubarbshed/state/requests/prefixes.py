"""Prompt prefixes that one engine probably holds in its cache."""

from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field

from rhubarbshed.protocol.orders import CacheEvent

PREFIXES_MAX = 4096
TRUST_AFTER_GAP = 0.5
TRUST_MIN = 0.1
TRUST_GAIN_PER_EVENT = 0.01


@define
class PrefixCache:
    """Prefixes by their last event; `trust` (0 to 1) falls with each gap in the events."""

    prefixes: OrderedDict[str, None] = field(factory=OrderedDict)
    sequence: int = 0
    trust: float = 1.0

    def apply_events(self, events: Iterable[CacheEvent]) -> None:
        """Apply events in any order; events applied before change nothing."""
        for event in sorted(events, key=lambda event: event.sequence):
            if event.sequence > self.sequence:
                self._apply_event(event)

    def _apply_event(self, event: CacheEvent) -> None:
        has_gap = event.sequence > self.sequence + 1
        if has_gap and self.sequence > 0:
            self.trust = max(TRUST_MIN, self.trust * TRUST_AFTER_GAP)
        else:
            self.trust = min(1.0, self.trust + TRUST_GAIN_PER_EVENT)
        self.sequence = event.sequence
        self.prefixes.pop(event.prefix, None)
        if event.stored:
            self.prefixes[event.prefix] = None
        while len(self.prefixes) > PREFIXES_MAX:
            self.prefixes.popitem(last=False)

    def clear(self) -> None:
        """Drop all prefixes, since the engine has restarted."""
        self.prefixes.clear()
        self.sequence = 0
        self.trust = 1.0

    def estimate_cached_share(self, prefixes: tuple[str, ...]) -> float:
        """Return the fraction of the leading blocks that is likely cached, 0 to 1."""
        if not prefixes:
            return 0.0
        depth = 0
        for prefix in prefixes:
            if prefix not in self.prefixes:
                break
            depth += 1
        return self.trust * depth / len(prefixes)
