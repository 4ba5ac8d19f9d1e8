"""Data centres that an instance reaches, as the part of a limit that it may grant.

Failure: data centres are cut off from each other, and each side grants the whole of a limit. A side
cannot tell instances that it does not reach from ones that ended, so it grants the part that its
own instances have of all, as long as the others are listed.
"""

from collections.abc import Mapping

from attrs import define, field

PING_S = 0.25
"""Time without a message of a data centre after which one of its instances is asked for a reply."""

UNHEARD_S = 0.8
"""Time without a message after which a data centre counts as not reached, as long as a silent
allocator keeps its place (two questions without a reply)."""

RETURN_S = 1.0
"""Time for which a data centre has to be heard until it counts as reached again: those that asked
another instance meanwhile know by then that the first in rank is back."""


@define
class CentreReach:
    """Data centres that are heard, and those that are not reached by when they are heard again."""

    heard_at: dict[str, float] = field(factory=dict)
    lost: dict[str, float | None] = field(factory=dict)
    pinged_at: dict[str, float] = field(factory=dict)

    def record(self, centre: str, now: float) -> None:
        """Record a message of an instance of a data centre."""
        if centre in self.heard_at:
            self.heard_at[centre] = now

    def clear(self) -> None:
        """Forget all: without anything to grant, nobody is asked for a reply."""
        for each in (self.heard_at, self.lost, self.pinged_at):
            each.clear()

    def update(self, others: Mapping[str, int], now: float) -> list[str]:
        """Return the data centres that begin or cease to be reached.

        `others` are the numbers of instances of the other data centres.
        """
        for each in (self.heard_at, self.lost, self.pinged_at):
            for centre in [centre for centre in each if not others.get(centre)]:
                del each[centre]
        changed = []
        for centre in [centre for centre in others if others[centre]]:
            heard_at = self.heard_at.setdefault(centre, now)
            if now - heard_at > UNHEARD_S:
                if centre not in self.lost:
                    changed.append(centre)
                self.lost[centre] = None
            elif centre in self.lost:
                back_at = self.lost[centre] = self.lost[centre] or now
                if now - back_at > RETURN_S:
                    del self.lost[centre]
                    changed.append(centre)
        return changed

    def list_due(self, now: float) -> list[str]:
        """List the data centres to ask for a reply now."""
        due = [
            centre
            for centre, heard_at in self.heard_at.items()
            if now - max(heard_at, self.pinged_at.get(centre, heard_at)) > PING_S
        ]
        for centre in due:
            self.pinged_at[centre] = now
        return due

    def measure(self, own: int, others: Mapping[str, int]) -> float:
        """Return the part of all instances that is in data centres which are reached."""
        lost = sum(others.get(centre, 0) for centre in self.lost)
        return 1.0 - lost / (own + sum(others.values()))
