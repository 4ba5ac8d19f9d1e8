"""Choice of the engines that go into an order holder's next message.

A holder may have many engines and instances on a narrow link. A change is sent at once and repeated
once, since a datagram may be lost; all other engines follow in rotation, a part with each regular
message.
"""

import collections
import math

from attrs import define, field

SENDS_PER_CHANGE = 2
"""Messages that carry a change; the second one covers a lost datagram."""

FULL_CYCLE_S = 2.5
"""Time in which every engine is sent once, changed or not."""


LOADS_INTERVAL_S = 0.5
"""Time between two messages with the load of servers, which changes within the length of a
stream."""

LOADS_REPEAT_MESSAGES = 4
"""Messages with loads after which all are sent again, also those that have not changed: receivers
take an old load for an uncertain one."""

LOAD_CHANGE_MIN_REQUESTS = 2
LOAD_CHANGE_FRACTION = 0.2
"""Least change of a load that is sent, in requests and as a fraction of the load sent before."""


@define
class UpdateQueue:
    """Engines with changes still to send, and the rotation of all engines.

    `sends_left` is the number of messages that are still to carry an engine.
    """

    sends_left: dict[str, int] = field(factory=dict)
    rotation: collections.deque[str] = field(factory=collections.deque)
    sent_loads: dict[str, int] = field(factory=dict)
    loads_sent_at: float = -math.inf
    loads_messages: int = 0

    def choose_loads(self, loads: dict[str, int], now: float) -> tuple[tuple[str, int], ...]:
        """Choose the loads that have changed since they were last sent, now and then all."""
        if now - self.loads_sent_at < LOADS_INTERVAL_S:
            return ()
        self.loads_sent_at = now
        self.loads_messages += 1
        if self.loads_messages % LOADS_REPEAT_MESSAGES == 0:
            self.sent_loads = {}
        changed = {
            server_id: load
            for server_id, load in loads.items()
            if server_id not in self.sent_loads
            or abs(load - self.sent_loads[server_id])
            >= max(LOAD_CHANGE_MIN_REQUESTS, LOAD_CHANGE_FRACTION * self.sent_loads[server_id])
        }
        self.sent_loads = {
            key: load for key, load in self.sent_loads.items() if key in loads
        } | changed
        return tuple(changed.items())

    def record_change(self, server_id: str) -> None:
        """Record that what an engine holds or does has changed."""
        self.sends_left[server_id] = SENDS_PER_CHANGE

    def has_unsent_changes(self) -> bool:
        """Return whether a change has not been sent at all yet."""
        return SENDS_PER_CHANGE in self.sends_left.values()

    def choose_engines(self, known: set[str], since_regular_s: float | None) -> list[str]:
        """Choose engines among those known; `since_regular_s` is set for a regular message.

        Changes that were sent once wait for the next regular message.
        """
        regular = since_regular_s is not None
        chosen = {
            server_id: None
            for server_id, times in self.sends_left.items()
            if server_id in known and (regular or times == SENDS_PER_CHANGE)
        }
        for server_id in chosen:
            self.sends_left[server_id] -= 1
        self.sends_left = {
            server_id: times
            for server_id, times in self.sends_left.items()
            if times > 0 and server_id in known
        }
        if regular:
            chosen.update(dict.fromkeys(self._rotate(known, since_regular_s)))
        return list(chosen)

    def _rotate(self, known: set[str], since_s: float) -> list[str]:
        waiting = set(self.rotation)
        self.rotation = collections.deque(each for each in self.rotation if each in known)
        self.rotation.extend(sorted(known - waiting))
        count = min(len(self.rotation), math.ceil(len(self.rotation) * since_s / FULL_CYCLE_S))
        taken = [self.rotation.popleft() for _ in range(count)]
        self.rotation.extend(taken)
        return taken
