"""Shares of accounts and routes in the slots of one service.

Load patterns: one account with seven times its usual load, a burst of urgent requests that never
ends, accounts of a high priority that ask for more than there is. Whoever is served least of what
it is entitled to goes first, and nobody is passed over for good.
"""

import math

from attrs import define, field

SHARE_WINDOW_S = 4.0
"""Time in which what was used and asked for decays by a factor of e: some runs of a stream."""

DECAY_STEP_S = 0.1
"""Time between two updates of the decayed figures, which are added up as they come in between."""

FORGOTTEN_BELOW = 0.01
"""Decayed figure below which a group is forgotten."""

FLOOR_FRACTION = 0.25
"""Least rate at which the requests of each account and route are served, as a fraction of the rate
of all."""

CREDIT_MAX = 2.0
"""Turns that a group may have saved up, so that a quiet one does not come back with a burst."""

Group = tuple[str, str]
"""Account or route, as ("account", name) or ("route", name)."""


@define
class ServiceShares:
    """What groups asked for and used of one service, decayed as of `updated_at`.

    `credits` are turns that a group is owed whatever the order is: with each turn it is credited
    its floor of the turn, and its own turns are taken from that.
    """

    updated_at: float = -math.inf
    used: dict[str, float] = field(factory=dict)
    demand: dict[Group, float] = field(factory=dict)
    credits: dict[Group, float] = field(factory=dict)
    requests: float = 0.0

    def count_request(self, groups: tuple[Group, ...], now: float) -> None:
        """Count a request of these groups, served or not."""
        self.update(now)
        self.requests += 1.0
        for group in groups:
            self.demand[group] = self.demand.get(group, 0.0) + 1.0

    def count_turn(
        self, groups: tuple[Group, ...], account: str, cost: float, weight: float, now: float
    ) -> None:
        """Count a turn of these groups, and what it takes of the account's fair share."""
        self.update(now)
        self.used[account] = self.used.get(account, 0.0) + cost / max(weight, FORGOTTEN_BELOW)
        for group in self.demand:
            floor = FLOOR_FRACTION * self.measure_demand(group)
            self.credits[group] = min(CREDIT_MAX, self.credits.get(group, 0.0) + floor)
        for group in groups:
            self.credits[group] = max(0.0, self.credits.get(group, 0.0) - 1.0)

    def measure_used(self, account: str) -> float:
        """Return what an account used lately, by its weight."""
        return self.used.get(account, 0.0)

    def measure_demand(self, group: Group) -> float:
        """Return the fraction of the requests that are a group's."""
        return self.demand.get(group, 0.0) / max(self.requests, FORGOTTEN_BELOW)

    def is_owed(self, groups: tuple[Group, ...]) -> bool:
        """Return whether any of these groups is owed the next turn."""
        return any(self.credits.get(group, 0.0) >= 1.0 for group in groups)

    def count_turns_until_owed(self, groups: tuple[Group, ...]) -> float:
        """Return after how many turns of the service one of these groups is owed a turn."""
        return min(
            (
                max(0.0, 1.0 - self.credits.get(group, 0.0))
                / max(FLOOR_FRACTION * self.measure_demand(group), FORGOTTEN_BELOW)
                for group in groups
            ),
            default=math.inf,
        )

    def update(self, now: float) -> None:
        """Let the figures decay up to now."""
        if now - self.updated_at < DECAY_STEP_S:
            return
        factor = math.exp((self.updated_at - now) / SHARE_WINDOW_S)
        self.updated_at = now
        self.requests *= factor
        for figures in (self.used, self.demand):
            for key, value in list(figures.items()):
                if value * factor < FORGOTTEN_BELOW:
                    del figures[key]
                else:
                    figures[key] = value * factor
        for group in [each for each in self.credits if each not in self.demand]:
            del self.credits[group]
