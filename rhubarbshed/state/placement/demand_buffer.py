"""Demand to be passed on: counts of requests, awaited targets, and reports of missing ones."""

from attrs import define, field

from rhubarbshed.protocol.message_checks import NUMBER_MAX
from rhubarbshed.protocol.messages import DemandMessage
from rhubarbshed.state.placement.usage import Tally, Target

Count = tuple[str, str, str, float, float, float, float]
"""Service, model, adapter, and the figures of a tally."""


@define
class DemandBuffer:
    """Demand that an order holder received from its data centre and has not passed on yet."""

    counts: dict[Target, Tally] = field(factory=dict)
    awaited: dict[Target, None] = field(factory=dict)
    missing: dict[tuple[str, int, str, str], None] = field(factory=dict)
    loads: dict[str, int] = field(factory=dict)

    def add(self, message: DemandMessage) -> None:
        """Add an instance's message."""
        for service, model, adapter, *numbers in message.counts:
            self.counts.setdefault((service, model, adapter), Tally()).add(Tally(*numbers))
        self.awaited.update(dict.fromkeys(tuple(target) for target in message.awaited))
        self.missing.update(
            dict.fromkeys(tuple(missing_target) for missing_target in message.missing)
        )
        self.loads.update(message.loads)

    @property
    def is_urgent(self) -> bool:
        """Return whether callers wait for a part of it."""
        return bool(self.awaited or self.missing)


def list_counts(counts: dict[Target, Tally]) -> list[Count]:
    """Return tallies in the form sent in messages."""
    return [
        (
            *target,
            min(tally.requests, NUMBER_MAX),
            min(tally.tokens, NUMBER_MAX),
            min(tally.runs, NUMBER_MAX),
            min(round(tally.run_s, 3), NUMBER_MAX),
        )
        for target, tally in counts.items()
    ]
