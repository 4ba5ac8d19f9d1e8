"""Expected wait for a slot, the refusal of requests that cannot be served in time, and returns.

Load patterns: callers that retry at once or all together after a common refusal. Each is asked back
when it can expect a slot, one after the other, and whoever comes back then goes before newcomers.
"""

import collections
import math
import random
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from rhubarbshed.coordination.serving.choice import QUEUE_FRACTION, YIELDING_QUEUE_FRACTION
from rhubarbshed.coordination.serving.queueing import WAIT_FRACTION
from rhubarbshed.coordination.serving.spreading import estimate_mean_run
from rhubarbshed.coordination.serving.turns import Need, Position, Ticket
from rhubarbshed.protocol.routes import Route
from rhubarbshed.state.membership.fleet import RUN_INITIAL_S, ServerRecord

HOPELESS_FACTOR = 1.5
"""Expected wait, as a multiple of what a request may wait, from which it is refused at once. Waits
are about exponential, so that half of the requests at this bound would still get a slot."""

RUN_MIN_S = 0.01
"""Shortest mean time of a run that is reckoned with."""

RETRY_MAX_S = 10.0
"""Longest time after which a refused caller is asked to come back."""

RETURN_EARLY_S = 0.02
RETURN_LATE_S = 1.0
"""Time before and after the moment it was asked for within which a caller counts as coming back."""

RETURNS_MAX = 64
GROUPS_MAX = 1_024
"""Callers that are remembered for each account and route, and accounts and routes."""

ROOM_PROBES_S = (0.01, 0.02, 0.04, 0.07, 0.12, 0.2, 0.35, 0.6, 1.0, 1.8, 3.0)
"""Times from now at which servers are examined for room, as loads that were reported fade."""


@frozen
class SlotRate:
    """Slots that get free at servers in a second: at all instances, and for one of them."""

    all_per_s: float
    own_per_s: float


def measure_until(route: Route, queued_s: float, deadline: float, now: float) -> float:
    """Return until when a request may wait for a slot, half of its target in all."""
    longest_s = WAIT_FRACTION * min(route.target_s, deadline - now)
    return now + max(0.0, longest_s - queued_s)


def estimate_run(servers: Iterable[ServerRecord]) -> float:
    """Return the seconds that a run takes at the fastest of some servers."""
    measured = [record.measured_run_s for record in servers if record.runs]
    return min(measured, default=RUN_INITIAL_S)


def measure_rate(servers: list[ServerRecord], waiting: int, instances: int, now: float) -> SlotRate:
    """Return the rate at which slots of some servers get free.

    An instance gets as large a part as its part of the requests there, and its even share at least.
    """
    run_s = max(RUN_MIN_S, estimate_mean_run(servers))
    all_per_s = sum(record.entry.slots / run_s for record in servers)
    own = waiting + 1 + sum(record.open for record in servers)
    loads = waiting + 1 + sum(record.estimate_usual_load(now) for record in servers)
    part = max(1.0 / max(1, instances), min(1.0, own / max(loads, 1.0)))
    return SlotRate(max(all_per_s, 0.01), max(all_per_s * part, 0.01))


def measure_queue_fraction(ticket: Ticket, now: float) -> float:
    """Return how far a request may queue at a server, as a fraction of its slots.

    A longer queue would not be worked off in the part of its target that it has left there.
    """
    if ticket.yields(now):
        return YIELDING_QUEUE_FRACTION
    target_s = ticket.target_at - ticket.arrived_at
    return min(QUEUE_FRACTION, (1.0 - WAIT_FRACTION) * target_s / max(ticket.run_s, RUN_MIN_S))


def estimate_wait(position: Position, rate: SlotRate) -> float:
    """Return the seconds until a request can expect a slot."""
    return 1.0 / rate.all_per_s + position.turns / rate.own_per_s


def can_be_served(wait_s: float, allowed_s: float) -> bool:
    """Return whether a request that may wait for a while has a fair chance of a slot in it."""
    return allowed_s > 0.0 and wait_s < HOPELESS_FACTOR * allowed_s


def find_room_time(has_room: Callable[[float], bool], now: float) -> float:
    """Return when a server can be expected to have room without further news, inf if it cannot."""
    return next((now + each for each in ROOM_PROBES_S if has_room(now + each)), math.inf)


@define
class Returns:
    """Refused callers: when the next of each need is asked back, and who is awaited when."""

    next_at: dict[Need, float] = field(factory=dict)
    awaited: dict[tuple[str, str], collections.deque[float]] = field(factory=dict)

    def ask_back(
        self, ticket: Ticket, wait_s: float, rate: SlotRate, rng: random.Random, now: float
    ) -> float:
        """Return after how many seconds a refused caller is asked back, behind those before it.

        Beyond the longest time the moments are drawn, so that callers do not come all at once.
        """
        due_at = max(now + wait_s, self.next_at.get(ticket.need, 0.0) + 1.0 / rate.own_per_s)
        retry_in_s = due_at - now
        if retry_in_s > RETRY_MAX_S:
            retry_in_s = RETRY_MAX_S * rng.uniform(0.5, 1.0)
        else:
            self.next_at[ticket.need] = due_at
        self._forget(now)
        key = (ticket.account, ticket.route)
        times = self.awaited.setdefault(key, collections.deque(maxlen=RETURNS_MAX))
        times.append(now + retry_in_s)
        return retry_in_s

    def take_return(self, account: str, route: str, now: float) -> bool:
        """Return whether a request may be that of a refused caller, which is awaited no more."""
        times = self.awaited.get((account, route), ())
        for at in times:
            if at - RETURN_EARLY_S <= now <= at + RETURN_LATE_S:
                times.remove(at)
                return True
        return False

    def _forget(self, now: float) -> None:
        if max(len(self.awaited), len(self.next_at)) < GROUPS_MAX:
            return
        self.next_at = {need: at for need, at in self.next_at.items() if at > now}
        kept = {
            key: times
            for key, times in self.awaited.items()
            if max(times, default=0.0) + RETURN_LATE_S > now
        }
        self.awaited = kept if len(kept) < GROUPS_MAX else {}
