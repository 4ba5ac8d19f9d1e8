"""Demand that is to be told: counts of requests, wants, and what servers said."""

from attrs import define, field

from rhubarbshed.protocol.messages import DemandMessage
from rhubarbshed.state.placement.usage import Tally, Target

Count = tuple[str, str, str, float, float, float, float]
"""A service, a model, an adapter, and the figures of a tally."""


@define
class DemandBuffer:
    """Hold what an order holder heard from its data centre and has not passed on yet."""

    counts: dict[Target, Tally] = field(factory=dict)
    awaited: dict[Target, None] = field(factory=dict)
    missing: dict[tuple[str, int, str, str], None] = field(factory=dict)
    loads: dict[str, int] = field(factory=dict)

    def add(self, word: DemandMessage) -> None:
        """Add an instance's word."""
        for service, model, adapter, *numbers in word.counts:
            self.counts.setdefault((service, model, adapter), Tally()).add(Tally(*numbers))
        self.awaited.update(dict.fromkeys(tuple(target) for target in word.awaited))
        self.missing.update(dict.fromkeys(tuple(missing_target) for missing_target in word.missing))
        self.loads.update(word.loads)

    @property
    def is_urgent(self) -> bool:
        """Tell whether callers wait for some of it."""
        return bool(self.awaited or self.missing)


def list_counts(counts: dict[Target, Tally]) -> list[Count]:
    """Return tallies as they are told."""
    return [
        (*target, tally.requests, tally.tokens, tally.runs, round(tally.run_s, 3))
        for target, tally in counts.items()
    ]
