"""Which engines an order holder tells of in its next word.

Answers a holder with many engines and instances, on a narrow link: what changed is told at once and
once more, since a datagram may be lost, and the rest in turn, a part with each regular word.
"""

import collections
import math

from attrs import define, field

TIMES_TOLD = 2
"""Words in which a change is told: the second one makes up for a lost datagram."""

TURN_S = 1.5
"""Time in which each engine has its turn, changed or not."""


@define
class Telling:
    """Hold which engines are due and whose turn it is.

    `due` are engines by the number of words that are still to tell of them.
    """

    due: dict[str, int] = field(factory=dict)
    turn: collections.deque[str] = field(factory=collections.deque)

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
