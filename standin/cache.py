"""Prefix cache of an engine, whose events are delayed and partly lost."""

import random
from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import Any

from attrs import define, field

EVENTS_MAX = 20_000


@define
class PrefixCache:
    """Cached prefix hashes, least recently used first, and the events about them."""

    bytes_max: int
    block_bytes: int
    event_loss: float
    rng: random.Random
    blocks: OrderedDict[str, None] = field(factory=OrderedDict)
    events: deque[tuple[float, dict[str, Any]]] = field(factory=lambda: deque(maxlen=EVENTS_MAX))
    sequence: int = 0

    def count_cached(self, hashes: Sequence[str]) -> int:
        """Return the number of leading blocks that are cached."""
        count = 0
        for prefix in hashes:
            if prefix not in self.blocks:
                break
            count += 1
        return count

    def store(self, hashes: Sequence[str], now: float) -> None:
        """Cache prefixes and evict the least recently used ones above the size limit."""
        for prefix in hashes:
            if prefix not in self.blocks:
                self._record(prefix, True, now)
            self.blocks[prefix] = None
            self.blocks.move_to_end(prefix)
        while len(self.blocks) * self.block_bytes > self.bytes_max:
            evicted, _ = self.blocks.popitem(last=False)
            self._record(evicted, False, now)

    def clear(self) -> None:
        """Drop all blocks and events without an event, as a crash does."""
        self.blocks.clear()
        self.events.clear()

    def list_events(self, after: int, until: float) -> list[dict[str, Any]]:
        """Return events with a sequence number above `after` that happened at `until` or before."""
        return [event for at, event in self.events if at <= until and event["sequence"] > after]

    def _record(self, prefix: str, stored: bool, now: float) -> None:
        self.sequence += 1
        if self.rng.random() >= self.event_loss:
            event = {"sequence": self.sequence, "stored": stored, "prefix": prefix}
            self.events.append((now, event))
