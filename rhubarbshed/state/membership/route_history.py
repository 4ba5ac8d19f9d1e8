"""Since when routes lead to the services that they lead to now."""

import math
from collections.abc import Iterable

from attrs import define, field

from rhubarbshed.protocol.routes import Configuration, Route

KEPT_S = 3600.0
"""Time for which a change of a route is kept, longer than any stream lasts."""

RouteKey = tuple[str, str]
"""Host and prefix of a route."""


@define
class RouteHistory:
    """Routes that have changed, with the monotonic seconds at which each last did.

    Since `followed_since` no configuration was missed; None before the first one.
    """

    followed_since: float | None = None
    changed_at: dict[RouteKey, float] = field(factory=dict)

    def restart(self, now: float) -> None:
        """Record that configurations may have come and gone unseen until now."""
        self.followed_since = now
        self.changed_at.clear()

    def record(self, before: Configuration, after: Configuration, now: float) -> None:
        """Record a new configuration.

        A route that came, left or changed its services also changes those that its prefix overlaps,
        as their paths may have been its own.
        """
        until = now - KEPT_S
        self.changed_at = {key: at for key, at in self.changed_at.items() if at > until}
        old, new = map_services(before), map_services(after)
        changed = [key for key in old.keys() | new.keys() if old.get(key) != new.get(key)]
        for key in new:
            if any(overlap(key, other) for other in changed):
                self.changed_at[key] = now

    def find_since(self, route: Route) -> float | None:
        """Return since when a route leads to its services as far as known, None if it is not."""
        if self.followed_since is None:
            return None
        return max(self.followed_since, self.changed_at.get((route.host, route.prefix), -math.inf))

    def measure_age(self, route: Route, now: float) -> float:
        """Return the seconds for which a route has led to its services as far as known."""
        since = self.find_since(route)
        return 0.0 if since is None else now - since


def map_services(configuration: Configuration) -> dict[RouteKey, frozenset[str]]:
    """Return the services of each route."""
    routes: Iterable[Route] = (each for found in configuration.routes.values() for each in found)
    return {
        (route.host, route.prefix): frozenset(name for name, _ in route.shares) for route in routes
    }


def overlap(key: RouteKey, other: RouteKey) -> bool:
    """Return whether a path may have either of two prefixes at one host."""
    same_host = key[0] == other[0]
    return same_host and (key[1].startswith(other[1]) or other[1].startswith(key[1]))
