"""Credit of accounts that this instance grants to others and itself, as the allocator of some.

Each account has one allocator, chosen alike everywhere.
"""

import logging
import math
from collections.abc import Callable

from attrs import define, evolve, field

from rhubarbshed.coordination.serving.account_limits import (
    IDLE_S,
    UNLISTED_FRACTION,
    Credit,
    CreditBucket,
    CreditDemand,
    QuotaBound,
    normalize_account,
    scale_limit,
)
from rhubarbshed.coordination.serving.centre_reach import CentreReach
from rhubarbshed.coordination.serving.server_limits import MS_PER_S, SUBSTITUTE_FRACTION
from rhubarbshed.protocol.accounts import AccountLimit
from rhubarbshed.protocol.credit_messages import CreditQuestion, CreditReply
from rhubarbshed.protocol.routes import Configuration
from rhubarbshed.transport.edge.allocators import SENDS_MAX, Address, Allocators, NoReply
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

FROZEN_S = 0.4
"""Time without a check after which an instance takes itself to have been frozen: another one may
have granted credit meanwhile, 0.3 s after the first question to this one at the earliest."""

RANKED_PER_CHECK = 20
"""Accounts whose allocator is determined in one check; one takes 0.4 ms among 370 instances."""


@define(eq=False)
class AccountGrants:
    """Credit that this instance grants.

    `limits` are those of the configuration that is in force, `buckets` those of accounts that this
    instance grants for, by name. `unranked` are the accounts whose allocator is still to be
    determined.
    """

    allocators: Allocators
    find_configuration: Callable[[], Configuration | None]
    find_bound: Callable[[], QuotaBound]
    limits: dict[str, AccountLimit] = field(factory=dict)
    buckets: dict[str, CreditBucket] = field(factory=dict)
    unranked: list[str] = field(factory=list)
    reach: CentreReach = field(factory=CentreReach)
    _checked_at: float | None = None
    _known: Configuration | None = None

    def rank(self, name: str) -> list[Address]:
        """Rank instances by who grants an account's credit."""
        return self.allocators.rank_first(name)

    def make_question(self, name: str, demand: CreditDemand) -> CreditQuestion:
        """Return a question for credit of an account."""
        configuration = self.find_configuration()
        version = configuration.version if configuration is not None else 0
        number = self.allocators.number_question()
        return CreditQuestion(number, name, version, demand.cost, demand.prefetch, demand.returned)

    def probe_beside(self, name: str, ranked: list[Address]) -> None:
        """Find out beside a request whether instances that were silent are back."""
        if self.allocators.silent:
            now, probe = self.allocators.clock(), CreditDemand(0.0)
            self.allocators.probe_beside(ranked, lambda: self.make_question(name, probe), now)

    def check_time(self, now: float) -> None:
        """Apply a new configuration, and empty all buckets after the process was frozen."""
        if (known := self.find_accounts()) is not self._known:
            self._known = known
            accounts = known.accounts.list_accounts() if known is not None else ()
            limited = [normalize_account(each) for each in accounts if each.limit is not None]
            self.limits = {each.name: each.limit for each in limited}
            self.unranked = list(self.limits)
            for name in [name for name in self.buckets if name not in self.limits]:
                del self.buckets[name]
        if not self.limits:
            self._checked_at = None
            return
        if self._checked_at is not None and now - self._checked_at > FROZEN_S:
            frozen_s = round(now - self._checked_at, 1)
            log_event(LOG, logging.INFO, "credit_frozen", frozen_s=frozen_s)
            for bucket in self.buckets.values():
                bucket.empty(now)
        self._checked_at = now

    @property
    def has_work(self) -> bool:
        """Return whether there are limits, or were until now."""
        return bool(self.limits) or self.find_accounts() is not self._known

    def find_accounts(self) -> Configuration | None:
        """Return the configuration if it has accounts."""
        configuration = self.find_configuration()
        has_accounts = configuration is not None and configuration.accounts is not None
        return configuration if has_accounts else None

    def update_buckets(self, now: float) -> None:
        """Begin to fill the buckets of accounts for which this instance ranks first.

        They are to be full when requests come, and empty where another one may be granting.
        """
        self._keep_reach(now)
        if self.allocators.is_isolated(now):
            for bucket in self.buckets.values():
                bucket.empty(now)
            return
        reached = self._measure_reach()
        for name, bucket in list(self.buckets.items()):
            if name not in self.limits:
                # A request that began under an earlier configuration.
                del self.buckets[name]
            elif self.rank(name)[0] == self.allocators.address:
                bucket.fill(scale_limit(self.limits[name], reached), now)
            elif now - bucket.asked_at > IDLE_S:
                del self.buckets[name]
        if not self.allocators.is_listed:
            return
        due, self.unranked = self.unranked[:RANKED_PER_CHECK], self.unranked[RANKED_PER_CHECK:]
        for name in due:
            is_first = self.rank(name)[0] == self.allocators.address
            if is_first and name not in self.buckets:
                self.buckets[name] = CreditBucket(now)

    def grant(
        self, name: str, limit: AccountLimit, demand: CreditDemand, asker: Address, now: float
    ) -> Credit:
        """Grant credit as the account's allocator, or less in place of one that may be running."""
        self.check_time(now)
        # A request may have begun under an earlier configuration.
        limit = self.limits.get(name, limit)
        ranked = self.rank(name)
        is_first = ranked[0] == self.allocators.address
        bucket = self.buckets.get(name)
        if bucket is None or (not is_first and now - bucket.asked_at > IDLE_S):
            bucket = self.buckets[name] = CreditBucket(now)
        if not self.allocators.is_listed:
            fraction = UNLISTED_FRACTION
        else:
            probe = CreditDemand(0.0)
            self.allocators.probe_silent(ranked, lambda: self.make_question(name, probe), now)
            fraction = SUBSTITUTE_FRACTION if self.allocators.may_be_allocating(ranked) else 1.0
            fraction *= self._measure_reach()
        debt_max = self.find_bound().measure_debt(limit)
        return bucket.grant(scale_limit(limit, fraction), debt_max, demand, asker, now)

    def record_heard(self, address: Address, now: float) -> None:
        """Record a message of another instance."""
        if (centre := self.allocators.find_centre(address)) is not None:
            self.reach.record(centre, now)

    def _keep_reach(self, now: float) -> None:
        """Find out which data centres are reached, if there is anything to grant."""
        if not self.buckets:
            self.reach.clear()
            return
        for centre in self.reach.update(self._count_others(), now):
            log_event(
                LOG,
                logging.INFO,
                "credit_reach",
                data_centre=centre,
                reached=int(centre not in self.reach.lost),
                fraction=round(self._measure_reach(), 2),
            )
        for centre in self.reach.list_due(now):
            group = self.allocators.instances[centre]
            usable = [each for each in group if self.allocators.is_usable(each, now)]
            address = self.allocators.rng.choice(usable or group)
            # A question about no account is replied to at once.
            question = self.make_question("", CreditDemand(0.0))
            self.allocators.spawn(self.allocators.ask(address, question, SENDS_MAX))

    def _count_others(self) -> dict[str, int]:
        own = self.allocators.data_centre
        groups = self.allocators.instances
        return {centre: len(group) for centre, group in groups.items() if centre != own}

    def _measure_reach(self) -> float:
        if not self.reach.lost:
            return 1.0
        own = len(self.allocators.instances[self.allocators.data_centre])
        return self.reach.measure(own, self._count_others())

    def answer(self, question: CreditQuestion, address: Address) -> None:
        """Reply to a question, by way of the instance before this one in rank if it may run."""
        configuration = self.find_configuration()
        limit = self.limits.get(question.account)
        is_older = configuration is None or configuration.version < question.version
        if limit is None and not is_older:
            # The limit has been removed.
            credit = Credit(question.cost)
        elif limit is None:
            self.allocators.reply(CreditReply(question.number, 0.0, None), address)
            return
        elif self.allocators.is_listed and (
            self.rank(question.account)[0] != self.allocators.address
        ):
            self.allocators.spawn(self._ask_on_behalf(question, address, limit))
            return
        else:
            demand = CreditDemand(question.cost, question.prefetch, question.returned)
            now = self.allocators.clock()
            credit = self.grant(question.account, limit, demand, address, now)
        self.allocators.reply(make_reply(question.number, credit), address)

    async def _ask_on_behalf(
        self, question: CreditQuestion, address: Address, limit: AccountLimit
    ) -> None:
        """Reply for an instance that the one before this in rank may be running for."""
        name, demand = question.account, CreditDemand(question.cost, question.prefetch)
        self.probe_beside(name, self.rank(name))
        asked = await self.allocators.ask_in_turn(
            self.rank(name), lambda: self.make_question(name, demand)
        )
        if asked is NoReply.OWN:
            credit = self.grant(name, limit, demand, address, self.allocators.clock())
            reply = make_reply(question.number, credit)
        elif isinstance(asked, CreditReply):
            reply = evolve(asked, number=question.number)
        else:
            reply = CreditReply(question.number, 0.0, None)
        self.allocators.reply(reply, address)


def make_reply(number: int, credit: Credit) -> CreditReply:
    """Return credit as it is sent."""
    time_s = credit.wait_s if credit.granted else credit.retry_in_s
    return CreditReply(number, credit.granted, math.ceil(time_s * MS_PER_S))
