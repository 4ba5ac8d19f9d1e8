"""Which engines an order holder tells of in its next word.

Answers a holder with many engines and instances, on a narrow link: what changed is told at once and
once more, since a datagram may be lost, and the rest in turn, a part with each regular word.
"""

import collections
import math

from attrs import define, field

TIMES_TOLD = 2
"""Words in which a change is told: the second one makes up for a lost datagram."""

TURN_S = 2.5
"""Time in which each engine has its turn, changed or not."""


LOADS_S = 0.5
"""Time between two words on the load of servers, which changes within the length of a stream."""

LOAD_STEP = 2
LOAD_PART = 0.2
"""Change of a load that is told, in requests or as a part of what was told before."""


@define
class Telling:
    """Hold which engines are due and whose turn it is.

    `due` are engines by the number of words that are still to tell of them.
    """

    due: dict[str, int] = field(factory=dict)
    turn: collections.deque[str] = field(factory=collections.deque)
    loads: dict[str, int] = field(factory=dict)
    loads_told_at: float = -math.inf

    def choose_loads(self, loads: dict[str, int], now: float) -> tuple[tuple[str, int], ...]:
        """Choose the loads that have changed since they were told."""
        if now - self.loads_told_at < LOADS_S:
            return ()
        self.loads_told_at = now
        changed = {
            server_id: load
            for server_id, load in loads.items()
            if server_id not in self.loads
            or abs(load - self.loads[server_id])
            >= max(LOAD_STEP, LOAD_PART * self.loads[server_id])
        }
        self.loads = {key: load for key, load in self.loads.items() if key in loads} | changed
        return tuple(changed.items())

    def note(self, server_id: str) -> None:
        """Note that what an engine holds or does has changed."""
        self.due[server_id] = TIMES_TOLD

    def has_news(self) -> bool:
        """Tell whether a change has not been told at all yet."""
        return TIMES_TOLD in self.due.values()

    def choose(self, known: set[str], since_regular_s: float | None) -> list[str]:
        """Choose engines among those known; `since_regular_s` is set for a regular word.

        Changes that were told once wait for the next regular word.
        """
        regular = since_regular_s is not None
        chosen = {
            server_id: None
            for server_id, times in self.due.items()
            if server_id in known and (regular or times == TIMES_TOLD)
        }
        for server_id in chosen:
            self.due[server_id] -= 1
        self.due = {
            server_id: times
            for server_id, times in self.due.items()
            if times > 0 and server_id in known
        }
        if regular:
            chosen.update(dict.fromkeys(self._take_turns(known, since_regular_s)))
        return list(chosen)

    def _take_turns(self, known: set[str], since_s: float) -> list[str]:
        waiting = set(self.turn)
        self.turn = collections.deque(each for each in self.turn if each in known)
        self.turn.extend(sorted(known - waiting))
        count = min(len(self.turn), math.ceil(len(self.turn) * since_s / TURN_S))
        taken = [self.turn.popleft() for _ in range(count)]
        self.turn.extend(taken)
        return taken
