"""Requests to servers with limits: asked for from the instance that hands them out, or handed out.

Each server has one such instance, chosen alike everywhere. One that does not answer is left alone
for a while, and the next one stands in for it.
"""

import logging
import math
import time
from collections import OrderedDict

from attrs import define, field

from rhubarbshed.coordination.serving.server_limits import (
    MS_PER_S,
    OWN_SHARE_FRACTION,
    SUBSTITUTE_FRACTION,
    Grant,
    LimitBucket,
    LimitChange,
    apply_head,
    apply_reported_limit,
    make_reply,
    measure_burst,
    read_grant,
)
from rhubarbshed.protocol.exchanges import ResponseHead
from rhubarbshed.protocol.limit_messages import (
    LimitMessage,
    LimitQuestion,
)
from rhubarbshed.protocol.messages import LimitNews
from rhubarbshed.state.membership.fleet import Fleet, ServerRecord
from rhubarbshed.transport.edge.allocators import Allocators, NoReply
from rhubarbshed.transport.edge.view import INSTANCES_ASSUMED
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

SILENT_RETRY_S = 0.02
"""Pause of requests to a server after nobody replied; another instance may."""

FREE_IN_MIN_S = 0.01
"""Shortest pause of requests to a server after one was refused."""

BUCKETS_MAX = 2_000
"""Most servers whose requests are handed out here."""

NEWS_INTERVAL_S = 1.0
"""Shortest time between two messages, and two lines of the log, of this instance on one server's
limit."""

SILENT_CHANGES = (LimitChange.NONE, LimitChange.ADJUSTED)
"""Changes of a limit that are neither logged nor passed on."""

Address = tuple[str, int]
Incarnation = tuple[str, int]


@define
class LimitCounts:
    """Counts for metrics."""

    granted: int = 0
    refused: int = 0
    alone: int = 0


@define(eq=False)
class LimitRegistry:
    """Limits of servers as this instance knows them, and what it hands out.

    `buckets` are what this instance hands out, `own_shares` its share of limits while no other
    instance can be asked.
    """

    fleet: Fleet
    allocators: Allocators
    counts: LimitCounts = field(factory=LimitCounts)
    buckets: OrderedDict[Incarnation, LimitBucket] = field(factory=OrderedDict)
    own_shares: dict[Incarnation, LimitBucket] = field(factory=dict)
    _news_at: dict[Incarnation, float] = field(factory=dict)

    def list_values(self) -> dict[str, float]:
        """Return the values for metrics by name."""
        limited = sum(each.limit_per_s is not None for each in self.fleet.servers.values())
        return {
            "limited_servers": limited,
            "limit_questions": self.allocators.asked_count,
            "limit_questions_silent": self.allocators.silent_count,
            "limit_granted": self.counts.granted,
            "limit_refused": self.counts.refused,
            "limit_own_shares": self.counts.alone,
        }

    def record_head(self, record: ServerRecord, head: ResponseHead, sent_at: float) -> None:
        """Record what the head of an answer says of its server's limit, and pass a change on."""
        now = time.monotonic()
        change = apply_head(record, head, sent_at, now)
        if change in SILENT_CHANGES:
            return
        if now - self._news_at.get(record.key, -NEWS_INTERVAL_S) < NEWS_INTERVAL_S:
            return
        self._news_at[record.key] = now
        self._forget_news(now)
        log_limit(record, change, "answer")
        if change is not LimitChange.UNREADABLE:
            others = self.allocators.list_all()
            others.remove(self.allocators.address)
            self.allocators.send(LimitMessage(*record.key, record.limit_per_s), *others)

    def _forget_news(self, now: float) -> None:
        for key in [key for key, at in self._news_at.items() if now - at > NEWS_INTERVAL_S]:
            del self._news_at[key]

    async def acquire(self, record: ServerRecord, wait_max_s: float, patience_s: float) -> Grant:
        """Ask for one request to a server; a granted one is sent after `send_in_s`.

        It may wait for `wait_max_s`, and for `patience_s` for the replies of other instances.
        """
        now = time.monotonic()
        if record.limit_per_s is None:
            return Grant(0.0)
        if now < record.limited_until:
            return Grant(None, record.limited_until - now, record.limit_retry_at - now)
        grant = await self._ask_for_grant(record, wait_max_s, now + patience_s)
        now = time.monotonic()
        if grant.send_in_s is None:
            self.counts.refused += 1
            record.limited_until = now + max(FREE_IN_MIN_S, grant.free_in_s)
            record.limit_retry_at = now + grant.retry_in_s
        else:
            self.counts.granted += 1
        return grant

    async def _ask_for_grant(
        self, record: ServerRecord, wait_max_s: float, until: float = math.inf
    ) -> Grant:
        ranked = self.rank(record)
        now = time.monotonic()
        if not self.allocators.is_listed:
            return self._take_own_share(record, INSTANCES_ASSUMED, wait_max_s, now)
        if self.allocators.is_isolated(now):
            return self._take_own_share(record, len(ranked), wait_max_s, now)

        def make_question() -> LimitQuestion | None:
            if record.limit_per_s is None:
                return None
            return self._make_question(record, wait_max_s, time.monotonic())

        asked = await self.allocators.ask_in_turn(ranked, make_question, until)
        if asked is NoReply.MOOT:
            return Grant(0.0)
        if asked is NoReply.OWN:
            return self._hand_out(record, wait_max_s, time.monotonic())
        if asked is NoReply.SILENT:
            return Grant(None, SILENT_RETRY_S, SILENT_RETRY_S)
        return read_grant(asked)

    def rank(self, record: ServerRecord) -> list[Address]:
        """Rank all instances by who hands out the requests to a server."""
        return self.allocators.rank(record.entry.server_id, record.entry.data_centre)

    def _make_question(self, record: ServerRecord, wait_max_s: float, now: float) -> LimitQuestion:
        """Return a question about a server while it names a limit."""
        return LimitQuestion(
            self.allocators.number_question(),
            *record.key,
            record.limit_per_s,
            max(0, round((now - record.limit_named_at) * MS_PER_S)),
            max(0, round(wait_max_s * MS_PER_S)),
        )

    def _take_own_share(
        self, record: ServerRecord, instances: int, wait_max_s: float, now: float
    ) -> Grant:
        """Use a part of an equal share, as nobody can be asked; from a time on that is drawn.

        All instances may be cut off from each other, and must not begin together; or others that
        are in touch hand out the whole limit.
        """
        self.counts.alone += 1
        rate_per_s = OWN_SHARE_FRACTION * record.limit_per_s / instances
        if record.key not in self.own_shares:
            if len(self.own_shares) >= BUCKETS_MAX:
                self.own_shares.clear()
            first_at = now + self.allocators.rng.uniform(0.0, 1.0 / rate_per_s)
            self.own_shares[record.key] = LimitBucket(first_at)
        return self.own_shares[record.key].take(rate_per_s, wait_max_s, now)

    def _hand_out(self, record: ServerRecord, wait_max_s: float, now: float) -> Grant:
        """Hand out a request to a server, fewer of them in place of an instance that may do so."""
        rate_per_s = record.limit_per_s
        ranked = self.rank(record)
        if self.allocators.may_be_allocating(ranked):
            rate_per_s *= SUBSTITUTE_FRACTION
        self.allocators.probe_silent(ranked, lambda: self._make_question(record, 0.0, now), now)
        # Another instance may have handed out requests until now.
        first_at = now + measure_burst(rate_per_s) + 1.0 / rate_per_s
        bucket = self.buckets.setdefault(record.key, LimitBucket(first_at))
        self.buckets.move_to_end(record.key)
        if len(self.buckets) > BUCKETS_MAX:
            self.buckets.popitem(last=False)
        return bucket.take(rate_per_s, wait_max_s, now)

    def handle_message(self, message: LimitNews, address: Address, now: float) -> None:
        """Apply what another instance sent, or reply to its question."""
        self.allocators.record_alive(address)
        if isinstance(message, LimitMessage):
            self._apply_reported(message, message.limit_per_s, now)
        elif isinstance(message, LimitQuestion):
            self._answer(message, address, now)
        else:
            self.allocators.settle(message)

    def _apply_reported(
        self, message: LimitMessage | LimitQuestion, limit_per_s: float | None, named_at: float
    ) -> ServerRecord | None:
        record = self.fleet.get(message.server_id)
        if record is None or record.key != (message.server_id, message.started_ms):
            return None
        change = apply_reported_limit(record, limit_per_s, named_at)
        if change not in SILENT_CHANGES:
            log_limit(record, change, "instance")
        return record

    def _answer(self, question: LimitQuestion, address: Address, now: float) -> None:
        """Reply to a question, in the same way if it is repeated."""
        if not self.allocators.begin_answer(question, address):
            return
        named_at = now - question.age_ms / MS_PER_S
        record = self._apply_reported(question, question.limit_per_s, named_at)
        wait_max_s = question.wait_ms / MS_PER_S
        if record is None:
            self._reply(question, address, Grant(None, SILENT_RETRY_S, SILENT_RETRY_S))
        elif record.limit_per_s is None:
            self._reply(question, address, Grant(0.0))
        elif self.rank(record)[0] == self.allocators.address:
            self._reply(question, address, self._hand_out(record, wait_max_s, now))
        else:
            self.allocators.spawn(self._ask_on_behalf(question, address, record, wait_max_s))

    async def _ask_on_behalf(
        self, question: LimitQuestion, address: Address, record: ServerRecord, wait_max_s: float
    ) -> None:
        """Reply for an instance that the one before this in rank may be running for."""
        self._reply(question, address, await self._ask_for_grant(record, wait_max_s))

    def _reply(self, question: LimitQuestion, address: Address, grant: Grant) -> None:
        self.allocators.reply(make_reply(question.number, grant), address)


def log_limit(record: ServerRecord, change: LimitChange, source: str) -> None:
    """Log a change of a server's limit, and whether an answer or another instance named it."""
    log_event(
        LOG,
        logging.INFO,
        "server_limit",
        server=record.entry.server_id,
        change=change.value,
        limit_per_s=record.limit_per_s,
        source=source,
    )
