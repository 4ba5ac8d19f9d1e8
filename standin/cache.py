"""Prefix cache of an engine, with events that come late and with gaps."""

import random
from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import Any

from attrs import define, field

EVENTS_MAX = 20_000


@define
class PrefixCache:
    """Hold hashes of prefixes, least recently used first."""

    bytes_max: int
    block_bytes: int
    event_loss: float
    randomness: random.Random
    blocks: OrderedDict[str, None] = field(factory=OrderedDict)
    events: deque[tuple[float, dict[str, Any]]] = field(factory=lambda: deque(maxlen=EVENTS_MAX))
    sequence: int = 0

    def count_cached(self, hashes: Sequence[str]) -> int:
        """Return how many leading blocks are cached."""
        count = 0
        for prefix in hashes:
            if prefix not in self.blocks:
                break
            count += 1
        return count

    def store(self, hashes: Sequence[str], now: float) -> None:
        """Keep prefixes, evicting the least recently used ones."""
        for prefix in hashes:
            if prefix not in self.blocks:
                self._record(prefix, True, now)
            self.blocks[prefix] = None
            self.blocks.move_to_end(prefix)
        while len(self.blocks) * self.block_bytes > self.bytes_max:
            evicted, _ = self.blocks.popitem(last=False)
            self._record(evicted, False, now)

    def clear(self) -> None:
        """Forget everything, without events, as a crash does."""
        self.blocks.clear()
        self.events.clear()

    def list_events(self, after: int, until: float) -> list[dict[str, Any]]:
        """Return events after a sequence number that happened by a time."""
        return [event for at, event in self.events if at <= until and event["sequence"] > after]

    def _record(self, prefix: str, stored: bool, now: float) -> None:
        self.sequence += 1
        if self.randomness.random() >= self.event_loss:
            event = {"sequence": self.sequence, "stored": stored, "prefix": prefix}
            self.events.append((now, event))
