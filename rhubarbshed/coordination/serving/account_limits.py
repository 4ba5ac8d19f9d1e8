"""Limits of client accounts over all instances: credit that one instance grants and all hold.

Load pattern: an account's callers are spread unevenly over the instances and may move all at once,
and one account may send seven times its usual load. Failure: each instance keeps to a limit by
itself, or credit that is granted before a freeze, a kill or a cut is used after it.
"""

import math
import random
from collections import deque

from attrs import define, evolve, field, frozen

from rhubarbshed.protocol.accounts import Account, AccountLimit
from rhubarbshed.protocol.message_checks import is_text
from rhubarbshed.util.fingerprints import hash_part
from rhubarbshed.util.front import FrontSettings

Address = tuple[str, int]

CREDIT_S = 0.5
"""Time for which credit can be used, from when it was requested."""

PREFETCH_S = 0.3
"""Time for which an instance requests credit ahead."""

RENEWAL_S = 0.2
"""Time before the end of unused credit at which it is returned for new credit."""

RATE_S = 2.0
"""Time constant of an account's mean rate at one instance."""

EXPECTED_MIN = 0.25
"""Expected requests while credit lasts from which an instance prefetches; each exchange has a cost,
and credit for a request that does not come is missing elsewhere until it is returned."""

PREFETCH_COSTS = 2.0
"""Least prefetch in mean costs: that much suffices for most single requests."""

RESERVED_FRACTION = 0.25
PREFETCH_FRACTION = 0.25
"""Part of a burst that is kept for requests that wait for credit, and part of the rest that one
prefetch may take: the lower the bucket, the less is held by instances that may not use it."""

GRANT_WAIT_S = 0.03
"""Time within which room must be for a request that is granted, but has to wait for it: shorter
than any retry, and a tenth of the shortest targets."""

OVERLAP_S = 0.9
"""Part of what a window may exceed its limit by, in seconds at the limit's rate, that is left for
credit from before the window (0.5 s) and for two allocators at a time (0.4 s)."""

OWN_SHARE_FRACTION = 0.5
"""Part of its equal share that an instance uses while it can ask no other: the others may grant
the whole limit."""

UNLISTED_INSTANCES = 128
"""Number of instances among which one shares that has no list of them."""

UNLISTED_FRACTION = 0.4
"""Part of a limit that an instance without a list grants to others without one: another one may be
granting the whole, and lists come within a second."""

BURST_MIN_S = 0.1
"""Burst of a limit that names none, in seconds at its rate."""

IDLE_S = 0.5
"""Time without a question after which an instance that stands in starts with an empty bucket: who
it stood in for has granted credit meanwhile."""

RETRY_MAX_S = 10.0
"""Longest time after which a refused caller is asked to come back."""


@frozen
class QuotaBound:
    """What an account's requests may exceed its limit by in each window of `window_s`.

    That is the fraction `overage` of the limit, and `slack` in its unit.
    """

    window_s: float
    overage: float
    slack: float

    @classmethod
    def from_settings(cls, settings: FrontSettings) -> "QuotaBound":
        """Return the bound of a deployment."""
        return cls(settings.quota_window_s, settings.quota_overage, settings.quota_slack)

    def measure_debt(self, limit: AccountLimit) -> float:
        """Return by how much one request may exceed an account's burst.

        Without a stated bound that is any amount: the bucket pays for it afterwards.
        """
        if not self.overage and not self.slack:
            return math.inf
        allowed = self.overage * (limit.rate_per_s * self.window_s + limit.burst) + self.slack
        return max(0.0, allowed - OVERLAP_S * limit.rate_per_s)


def normalize_account(account: Account) -> Account:
    """Return an account with a limit as instances exchange credit for it.

    A name too long for a message is replaced, and a rate without a burst gets a small one, which
    credit for a whole request needs; the bound leaves room for it.
    """
    if not is_text(account.name):
        account = evolve(account, name=hash_part(account.name))
    if not account.limit.burst:
        burst = BURST_MIN_S * account.limit.rate_per_s
        account = evolve(account, limit=evolve(account.limit, burst=burst))
    return account


@frozen
class CreditDemand:
    """Cost of a request, what is to be prefetched, and unused credit that is returned."""

    cost: float
    prefetch: float = 0.0
    returned: float = 0.0


@frozen
class Credit:
    """Credit that is granted, usable after `wait_s`; `retry_in_s` if it is refused."""

    granted: float
    wait_s: float = 0.0
    retry_in_s: float = 0.0


@define
class CreditBucket:
    """Token bucket of an account at the instance that grants its credit.

    It is empty as the instance begins to grant: another one may have granted until then.
    `expected_at` is when the caller refused last was asked to come back. `granted_to` is the
    credit that each instance may still return.
    """

    filled_at: float
    level: float = 0.0
    asked_at: float = -math.inf
    expected_at: float = -math.inf
    granted_to: dict[Address, deque[tuple[float, float]]] = field(factory=dict)

    def fill(self, limit: AccountLimit, now: float) -> None:
        """Add what has flowed in since the last time."""
        flow = limit.rate_per_s * max(0.0, now - self.filled_at)
        self.level = min(limit.burst, self.level + flow)
        self.filled_at = now

    def empty(self, now: float) -> None:
        """Start again: another instance may have granted credit until now."""
        self.level = min(0.0, self.level)
        self.filled_at = now

    def grant(
        self,
        limit: AccountLimit,
        debt_max: float,
        demand: CreditDemand,
        asker: Address,
        now: float,
    ) -> Credit:
        """Grant the cost of a request and a part of its prefetch, or refuse it."""
        self.fill(limit, now)
        self.asked_at = now
        self._take_back(demand.returned, limit, asker, now)
        lacking = max(0.0, find_level(limit, debt_max, demand.cost) - self.level)
        wait_s = lacking / limit.rate_per_s
        if demand.cost > 0.0 and wait_s > GRANT_WAIT_S:
            return self._refuse(demand.cost / limit.rate_per_s, wait_s, now)
        spare = max(0.0, self.level - demand.cost - RESERVED_FRACTION * limit.burst)
        prefetched = min(demand.prefetch, PREFETCH_FRACTION * spare)
        granted = demand.cost + prefetched
        self.level -= granted
        if granted > 0.0:
            self.granted_to.setdefault(asker, deque()).append((now, granted))
        return Credit(granted, wait_s if demand.cost > 0.0 else 0.0)

    def _take_back(self, returned: float, limit: AccountLimit, asker: Address, now: float) -> None:
        """Add unused credit again, as far as it was granted while it can still be used."""
        grants = self.granted_to.get(asker, ())
        while grants and now - grants[0][0] >= CREDIT_S:
            grants.popleft()
        left = returned
        while left > 0.0 and grants:
            granted_at, amount = grants.popleft()
            if amount > left:
                grants.appendleft((granted_at, amount - left))
            left -= min(left, amount)
        self.level = min(limit.burst, self.level + returned - left)

    def _refuse(self, took_s: float, wait_s: float, now: float) -> Credit:
        """Refuse a request; its caller comes back behind those that were refused before."""
        expected_at = max(self.expected_at + took_s, now + wait_s)
        self.expected_at = min(expected_at, now + RETRY_MAX_S)
        return Credit(0.0, retry_in_s=self.expected_at - now)


def scale_limit(limit: AccountLimit, fraction: float) -> AccountLimit:
    """Return the part of a limit that an instance grants while another one may grant the rest."""
    if fraction == 1.0:
        return limit
    return evolve(limit, rate_per_s=fraction * limit.rate_per_s, burst=fraction * limit.burst)


def find_level(limit: AccountLimit, debt_max: float, cost: float) -> float:
    """Return the level from which a request is granted.

    One that costs more than the burst would wait for ever otherwise: it needs half of the burst,
    and as much that it does not exceed the burst by more than a window may.
    """
    if cost <= limit.burst:
        return cost
    return max(0.5 * limit.burst, cost - debt_max)


def is_excessive(limit: AccountLimit, debt_max: float, cost: float) -> bool:
    """Return whether a request costs more than an account can ever have room for."""
    return cost > limit.burst + debt_max


@frozen
class Part:
    """Credit of one grant that an instance holds, until `expires_at`."""

    amount: float
    expires_at: float


@define
class HeldCredit:
    """Credit of one account that an instance holds, and its mean rates there."""

    counted_at: float
    parts: deque[Part] = field(factory=deque)
    cost_per_s: float = 0.0
    requests_per_s: float = 0.0
    granted_at: float = -math.inf

    def count(self, cost: float, now: float) -> None:
        """Count a request in the mean rates."""
        kept = math.exp(min(0.0, self.counted_at - now) / RATE_S)
        self.cost_per_s = self.cost_per_s * kept + cost / RATE_S
        self.requests_per_s = self.requests_per_s * kept + 1.0 / RATE_S
        self.counted_at = now

    def measure_prefetch(self, now: float) -> float:
        """Return the credit to request ahead: what is expected to be used, or none."""
        kept = math.exp(min(0.0, self.counted_at - now) / RATE_S)
        if self.requests_per_s * kept * CREDIT_S < EXPECTED_MIN:
            return 0.0
        mean_cost = self.cost_per_s / self.requests_per_s
        return max(PREFETCH_S * self.cost_per_s * kept, PREFETCH_COSTS * mean_cost)

    def add(self, amount: float, expires_at: float, now: float) -> None:
        """Add credit that can still be used."""
        if amount > 0.0 and now < expires_at:
            self.parts.append(Part(amount, expires_at))

    def measure(self, now: float, for_s: float = 0.0) -> float:
        """Return the credit that can be used now and for some time."""
        return sum(part.amount for part in self.parts if part.expires_at > now + for_s)

    def take(self, cost: float, now: float) -> float | None:
        """Take the cost of a request; return when it expires, None if there is too little."""
        self._drop_expired(now)
        if self.measure(now) < cost:
            return None
        left, expires_at = cost, now + CREDIT_S
        while left > 0.0:
            part = self.parts.popleft()
            if part.amount > left:
                self.parts.appendleft(Part(part.amount - left, part.expires_at))
            left -= min(left, part.amount)
            expires_at = min(expires_at, part.expires_at)
        return expires_at

    def return_old(self, now: float) -> float:
        """Take out what expires soon, to be returned; return its sum."""
        self._drop_expired(now)
        old = [part for part in self.parts if part.expires_at <= now + RENEWAL_S]
        self.parts = deque(part for part in self.parts if part.expires_at > now + RENEWAL_S)
        return sum(part.amount for part in old)

    def _drop_expired(self, now: float) -> None:
        if any(part.expires_at <= now for part in self.parts):
            self.parts = deque(part for part in self.parts if part.expires_at > now)


@define
class OwnShare:
    """Share of an account's limit that an instance uses while it can ask no other.

    A request is let through as soon as the one before is paid for: a share may be less than the
    cost of a request in a second. The first one is at a time that is drawn, as all instances may
    be in this state together.
    """

    filled_at: float
    level: float

    @classmethod
    def draw(cls, cost: float, rng: random.Random, now: float) -> "OwnShare":
        """Return a share whose first request of a cost is due at a random time."""
        return cls(now, -rng.uniform(0.0, cost))

    def take(self, limit: AccountLimit, instances: int, cost: float, now: float) -> Credit:
        """Grant a request, or refuse it."""
        part = OWN_SHARE_FRACTION / instances
        rate_per_s = part * limit.rate_per_s
        flow = rate_per_s * max(0.0, now - self.filled_at)
        self.level = min(part * limit.burst, self.level + flow)
        self.filled_at = now
        if self.level < 0.0:
            return Credit(0.0, retry_in_s=min(RETRY_MAX_S, -self.level / rate_per_s))
        self.level -= cost
        return Credit(cost)
