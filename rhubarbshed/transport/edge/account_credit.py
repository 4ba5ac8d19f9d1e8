"""Credit for requests of accounts: held, requested from the instance that grants it, or granted.

Each account has one such instance, its allocator, chosen alike everywhere.
"""

import asyncio
import enum
import math
from collections.abc import Collection, Mapping

from attrs import define, evolve, field, frozen

from rhubarbshed.coordination.serving.account_limits import (
    CREDIT_S,
    RENEWAL_S,
    RETRY_MAX_S,
    UNLISTED_INSTANCES,
    Credit,
    CreditDemand,
    HeldCredit,
    OwnShare,
    is_excessive,
    normalize_account,
)
from rhubarbshed.coordination.serving.server_limits import MS_PER_S
from rhubarbshed.protocol.accounts import Account
from rhubarbshed.protocol.credit_messages import CreditQuestion, CreditReply
from rhubarbshed.protocol.messages import CreditNews
from rhubarbshed.transport.edge.account_grants import AccountGrants
from rhubarbshed.transport.edge.allocators import (
    ISOLATED_S,
    SENDS_MAX,
    Address,
    Allocators,
    NoReply,
)
from rhubarbshed.transport.edge.metrics import FrontMetrics

LIST_WAIT_S = 0.2
"""Time for which a request waits for the list of instances after a start."""

SILENT_RETRY_S = 0.05
"""Time after which a caller is asked to come back if nobody replied."""

ALONE_RETRY_MAX_S = 0.5
"""Longest time after which a caller is asked to come back while this instance can ask no other: it
has a list within a second of its start, and others may be in touch."""

TICK_S = 0.1
"""Time between two checks of held credit and of the accounts that this instance grants for."""

IDLE_TICK_S = 1.0
"""The same time while no account has a limit, so that other deployments hardly wake for it."""

FORGET_S = 10.0
"""Time without a request after which the mean rates of an account are forgotten."""


class CreditSource(enum.Enum):
    """What decided on the credit of a request."""

    HELD = "held"
    ALLOCATOR = "allocator"
    OWN_SHARE = "own_share"
    SILENCE = "silence"
    EXCESSIVE = "excessive"


@frozen
class Taken:
    """Credit of an `account` that a request took, usable until `expires_at`.

    The request waited for it for `waited_s`.
    """

    amount: float
    expires_at: float
    source: CreditSource
    waited_s: float = 0.0
    account: str = ""


@frozen
class Refused:
    """Refusal of credit; room can be expected in `retry_in_s`.

    The instance got its last credit for the account `credit_age_s` ago.
    """

    retry_in_s: float
    source: CreditSource
    credit_age_s: float = math.inf


@define(eq=False)
class AccountCredit:
    """Credit of all accounts that this instance holds for its own requests.

    `own_shares` are its shares of limits while it can ask no other instance, and `grants` is what
    it grants as the allocator of some accounts.
    """

    allocators: Allocators
    grants: AccountGrants
    metrics: FrontMetrics
    held: dict[str, HeldCredit] = field(factory=dict)
    own_shares: dict[str, OwnShare] = field(factory=dict)
    listed: asyncio.Event = field(factory=asyncio.Event)
    started_at: float = 0.0
    _renewing: set[str] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Note the start."""
        self.started_at = self.allocators.clock()

    def list_values(self) -> dict[str, float]:
        """Return the values for metrics by name; none without accounts."""
        if not self.grants.limits and not self.allocators.asked_count:
            return {}
        return {
            "limited_accounts": len(self.grants.limits),
            "granted_accounts": len(self.grants.buckets),
            "credit_questions": self.allocators.asked_count,
            "credit_questions_silent": self.allocators.silent_count,
        }

    def learn_instances(self, others: Mapping[str, Collection[Address]], is_listed: bool) -> None:
        """Record all other instances by data centre; `is_listed` if a holder has listed them."""
        self.allocators.learn_instances(others, is_listed)
        self.grants.unranked = list(self.grants.limits)
        if self.allocators.is_listed:
            self.listed.set()

    async def take(self, account: Account, cost: float, patience_s: float) -> Taken | Refused:
        """Take the credit for a request, if need be after replies of others within a time."""
        account = normalize_account(account)
        begun_at = now = self.allocators.clock()
        self.grants.check_time(now)
        if account.name not in self.held:
            self.held[account.name] = HeldCredit(now)
        held = self.held[account.name]
        held.count(cost, now)
        expires_at = held.take(cost, now)
        if expires_at is not None:
            outcome: Taken | Refused = Taken(cost, expires_at, CreditSource.HELD)
        elif self._is_excessive(account, cost):
            outcome = Refused(RETRY_MAX_S, CreditSource.EXCESSIVE)
        else:
            outcome = await self._request(account, held, cost, now + patience_s)
        now = self.allocators.clock()
        if isinstance(outcome, Taken):
            outcome = evolve(outcome, waited_s=now - begun_at, account=account.name)
        else:
            outcome = evolve(outcome, credit_age_s=now - held.granted_at)
        is_taken = isinstance(outcome, Taken)
        self.metrics.count_credit(account.name, outcome.source.value, is_taken)
        if outcome.source is not CreditSource.HELD:
            self.metrics.observe_credit_wait(now - begun_at)
        return outcome

    def _is_excessive(self, account: Account, cost: float) -> bool:
        debt_max = self.grants.find_bound().measure_debt(account.limit)
        return is_excessive(account.limit, debt_max, cost)

    def give_back(self, taken: Taken, now: float) -> None:
        """Hold the credit of a request that did not run; it ends when it would have anyway."""
        if taken.account in self.held:
            self.held[taken.account].add(taken.amount, taken.expires_at, now)

    async def _request(
        self, account: Account, held: HeldCredit, cost: float, until: float
    ) -> Taken | Refused:
        """Get credit from the account's allocator, or use an own share if there is none."""
        now = self.allocators.clock()
        if not self.allocators.is_listed:
            return await self._request_unlisted(account, held, cost, until)
        instances = len(self.allocators.list_all())
        if self.allocators.is_isolated(now):
            since = now - self.allocators.measure_silence(now) + ISOLATED_S
            return self._take_own_share(account, instances, cost, since, now)
        ranked = self.grants.rank(account.name)
        outcome = await self._ask(account, held, cost, ranked, until)
        if outcome is not None:
            return outcome
        now = self.allocators.clock()
        outcome = self._take_own_share(account, instances, cost, now, now)
        if isinstance(outcome, Taken):
            return outcome
        return Refused(SILENT_RETRY_S, CreditSource.SILENCE)

    async def _request_unlisted(
        self, account: Account, held: HeldCredit, cost: float, until: float
    ) -> Taken | Refused:
        """Ask an order holder, which has a list or grants a part of the limit until it does."""
        own = self.allocators.address
        holders = [each for each in self.grants.rank(account.name) if each != own]
        outcome = await self._ask(account, held, cost, holders, until) if holders else None
        if outcome is not None:
            return outcome
        await self._wait_for_list(min(LIST_WAIT_S, until - self.allocators.clock()))
        if self.allocators.is_listed:
            return await self._request(account, held, cost, until)
        now = self.allocators.clock()
        return self._take_own_share(account, UNLISTED_INSTANCES, cost, self.started_at, now)

    async def _ask(
        self, account: Account, held: HeldCredit, cost: float, ranked: list[Address], until: float
    ) -> Taken | Refused | None:
        """Ask the instances of a ranking for credit; return None if none of them can decide."""
        asked_at = self.allocators.clock()

        def make_question() -> CreditQuestion:
            nonlocal asked_at
            asked_at = self.allocators.clock()
            prefetch = held.measure_prefetch(asked_at)
            return self.grants.make_question(account.name, CreditDemand(cost, prefetch))

        self.grants.probe_beside(account.name, ranked)
        asked = await self.allocators.ask_in_turn(ranked, make_question, until)
        now = self.allocators.clock()
        if asked is NoReply.OWN:
            asked_at = now
            demand, own = CreditDemand(cost), self.allocators.address
            credit = self.grants.grant(account.name, account.limit, demand, own, now)
        elif isinstance(asked, CreditReply) and asked.retry_in_ms is not None:
            credit = read_credit(asked)
        else:
            return None
        if credit.granted < cost:
            return Refused(credit.retry_in_s, CreditSource.ALLOCATOR)
        if now + credit.wait_s >= asked_at + CREDIT_S:
            # A process that was frozen reads old replies.
            return None
        if credit.wait_s:
            await asyncio.sleep(credit.wait_s)
        held.granted_at = now
        held.add(credit.granted - cost, asked_at + CREDIT_S, now)
        return Taken(cost, asked_at + CREDIT_S, CreditSource.ALLOCATOR)

    async def _wait_for_list(self, wait_s: float) -> None:
        try:
            async with asyncio.timeout(max(0.0, wait_s)):
                await self.listed.wait()
        except TimeoutError:
            return

    def _take_own_share(
        self, account: Account, instances: int, cost: float, since: float, now: float
    ) -> Taken | Refused:
        """Use the share among a number of instances, which others may use since a time."""
        if account.name not in self.own_shares:
            share = OwnShare.draw(cost, self.allocators.rng, since)
            self.own_shares[account.name] = share
        credit = self.own_shares[account.name].take(account.limit, instances, cost, now)
        if credit.granted:
            return Taken(cost, now + CREDIT_S, CreditSource.OWN_SHARE)
        retry_in_s = min(ALONE_RETRY_MAX_S, credit.retry_in_s)
        return Refused(retry_in_s, CreditSource.OWN_SHARE)

    def handle_message(self, message: CreditNews, address: Address) -> None:
        """Reply to another instance's question, or take its reply."""
        self.allocators.record_alive(address)
        self.grants.record_heard(address, self.allocators.clock())
        if isinstance(message, CreditReply):
            self.allocators.settle(message)
        elif self.allocators.begin_answer(message, address):
            self.grants.check_time(self.allocators.clock())
            self.grants.answer(message, address)

    async def maintain(self) -> None:
        """Renew held credit, and keep the buckets of the accounts that this instance grants for."""
        while True:
            await asyncio.sleep(TICK_S if self.grants.has_work else IDLE_TICK_S)
            if self.grants.has_work:
                self.check(self.allocators.clock())

    def check(self, now: float) -> None:
        """Do what is due at a time."""
        self.grants.check_time(now)
        self.grants.update_buckets(now)
        may_ask = self.allocators.is_listed and not self.allocators.is_isolated(now)
        for name, held in list(self.held.items()):
            if name not in self.grants.limits or now - held.counted_at > FORGET_S:
                del self.held[name]
            elif may_ask and (held.parts or held.measure_prefetch(now) > 0.0):
                self._renew(name, held, now)

    def _renew(self, name: str, held: HeldCredit, now: float) -> None:
        """Prefetch credit before what is held ends, and return what is not needed."""
        ranked = self.grants.rank(name)
        is_first = ranked[0] == self.allocators.address
        if is_first or not self.allocators.is_usable(ranked[0], now):
            return
        if name in self._renewing:
            return
        wanted = held.measure_prefetch(now)
        if wanted <= 0.0 and held.measure(now) <= 0.0:
            return
        if 0.0 < wanted <= 2.0 * held.measure(now, RENEWAL_S):
            return
        returned = held.return_old(now)
        if wanted <= 0.0 and returned <= 0.0:
            return
        wanted = max(0.0, wanted - held.measure(now))
        question = self.grants.make_question(name, CreditDemand(0.0, wanted, returned))
        self._renewing.add(name)
        self.allocators.spawn(self._prefetch(name, ranked[0], question, now))

    async def _prefetch(
        self, name: str, address: Address, question: CreditQuestion, asked_at: float
    ) -> None:
        try:
            reply = await self.allocators.ask(address, question, SENDS_MAX)
        finally:
            self._renewing.discard(name)
        if isinstance(reply, CreditReply) and name in self.held:
            now = self.allocators.clock()
            self.held[name].granted_at = now
            self.held[name].add(reply.granted, asked_at + CREDIT_S, now)


def read_credit(reply: CreditReply) -> Credit:
    """Return the credit of a reply."""
    time_s = reply.retry_in_ms / MS_PER_S
    if reply.granted:
        return Credit(reply.granted, wait_s=time_s)
    return Credit(0.0, retry_in_s=time_s)
