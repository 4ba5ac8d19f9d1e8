"""Requests to servers with limits: asked for from the instance that hands them out, or handed out.

Each server has one such instance, chosen alike everywhere. One that does not answer is left alone
for a while, and the next one stands in for it.
"""

import asyncio
import logging
import math
import random
import time
from collections import OrderedDict
from collections.abc import Callable, Collection, Coroutine, Mapping
from typing import Any

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
    rank_allocators,
    read_grant,
)
from rhubarbshed.protocol.exchanges import ResponseHead
from rhubarbshed.protocol.limit_messages import (
    LimitMessage,
    LimitQuestion,
    LimitReply,
)
from rhubarbshed.protocol.messages import LimitNews
from rhubarbshed.state.membership.fleet import Fleet, ServerRecord
from rhubarbshed.transport.edge.view import INSTANCES_ASSUMED
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

REPEAT_S = 0.04
SENDS_MAX = 4
SUBSTITUTE_SENDS_MAX = 8
"""Time after which a question is sent again, and how often it is sent before its instance counts as
silent; more often to one that may have to ask another one first. A round trip takes 3 ms, and a
busy instance is late by some tens of milliseconds."""

PATIENCE_MIN_S = (SENDS_MAX + 1) * REPEAT_S
"""Time that a request may spend on questions in any case: one to an instance that is silent, and
the start of another. Routes with short targets allow less, but late is better than refused."""

PAUSE_FIRST_S = 0.5
PAUSE_LONGEST_S = 30.0
"""Time without questions to an instance that is silent, doubled up to the longest: one of the build
before never replies."""

SILENT_MIN = 2
"""Questions in a row without a reply after which another instance takes an instance's place: all
messages of one may be lost."""

PROBE_INTERVAL_S = 0.5
"""Time between two questions to an instance whose place this one takes."""

ISOLATED_S = 1.0
"""Time without any message after which an instance takes itself to be cut off from the others; it
receives two a second at least, and any of them may be lost."""

ASKED_MAX = 2
"""Instances that one request is asked for of; each silent one costs it a timeout."""

SILENT_RETRY_S = 0.02
"""Pause of requests to a server after nobody replied; another instance may."""

FREE_IN_MIN_S = 0.01
"""Shortest pause of requests to a server after one was refused."""

REPLIES_MAX = 4_096
"""Most replies kept for questions that are repeated."""

BUCKETS_MAX = 2_000
"""Most servers whose requests are handed out here."""

NEWS_INTERVAL_S = 1.0
"""Shortest time between two messages, and two lines of the log, of this instance on one server's
limit."""

SILENT_CHANGES = (LimitChange.NONE, LimitChange.ADJUSTED)
"""Changes of a limit that are neither logged nor passed on."""

NUMBER_START_MAX = 2**48
"""Bound of the first question's number, drawn at random: a restarted instance uses new ones."""

Address = tuple[str, int]
Incarnation = tuple[str, int]


@define
class LimitCounts:
    """Counts for metrics."""

    asked: int = 0
    silent: int = 0
    granted: int = 0
    refused: int = 0
    alone: int = 0


@define(eq=False)
class LimitRegistry:
    """Limits of servers as this instance knows them, and what it hands out.

    `address` is its own, `instances` are all, with it, by data centre, once `is_listed`.
    `measure_silence` returns the seconds since another instance sent anything. `buckets` are what
    this instance hands out, `own_shares` its share of limits while no other instance can be asked.
    `silent` counts questions in a row without a reply.
    """

    fleet: Fleet
    data_centre: str
    address: Address
    send: Callable[..., None]
    rng: random.Random
    measure_silence: Callable[[float], float] = lambda now: 0.0
    counts: LimitCounts = field(factory=LimitCounts)
    instances: dict[str, tuple[Address, ...]] = field(factory=dict)
    buckets: OrderedDict[Incarnation, LimitBucket] = field(factory=OrderedDict)
    own_shares: dict[Incarnation, LimitBucket] = field(factory=dict)
    paused_until: dict[Address, float] = field(factory=dict)
    silent: dict[Address, int] = field(factory=dict)
    is_listed: bool = False
    _ranked: dict[str, list[Address]] = field(factory=dict)
    _waiting: dict[int, asyncio.Future] = field(factory=dict)
    _probed_at: dict[Address, float] = field(factory=dict)
    _answered: OrderedDict[tuple[Address, int], LimitReply | None] = field(factory=OrderedDict)
    _news_at: dict[Incarnation, float] = field(factory=dict)
    _tasks: set[asyncio.Task] = field(factory=set)
    _number: int = 0

    def __attrs_post_init__(self) -> None:
        """Draw the number of the first question."""
        self._number = self.rng.randrange(NUMBER_START_MAX)
        self.learn_instances({}, False)

    def list_values(self) -> dict[str, float]:
        """Return the values for metrics by name."""
        limited = sum(each.limit_per_s is not None for each in self.fleet.servers.values())
        return {
            "limited_servers": limited,
            "limit_questions": self.counts.asked,
            "limit_questions_silent": self.counts.silent,
            "limit_granted": self.counts.granted,
            "limit_refused": self.counts.refused,
            "limit_own_shares": self.counts.alone,
        }

    def learn_instances(self, others: Mapping[str, Collection[Address]], is_listed: bool) -> None:
        """Record all other instances by data centre; `is_listed` if a holder has listed them."""
        self.is_listed = self.is_listed or is_listed
        self.instances = {name: tuple(group) for name, group in others.items()}
        own = self.instances.get(self.data_centre, ())
        self.instances[self.data_centre] = (*own, self.address)
        self._ranked.clear()
        known = {address for group in self.instances.values() for address in group}
        for kept in (self.paused_until, self.silent, self._probed_at):
            for address in [each for each in kept if each not in known]:
                del kept[address]

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
            others = [each for group in self.instances.values() for each in group]
            others.remove(self.address)
            self.send(LimitMessage(*record.key, record.limit_per_s), *others)

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
        ranked = self._rank(record)
        now = time.monotonic()
        if not self.is_listed:
            return self._take_own_share(record, INSTANCES_ASSUMED, wait_max_s, now)
        if len(ranked) > 1 and self.measure_silence(now) > ISOLATED_S:
            return self._take_own_share(record, len(ranked), wait_max_s, now)
        usable = [each for each in ranked if self._is_usable(each, now)]
        for address in usable[:ASKED_MAX]:
            if record.limit_per_s is None:
                return Grant(0.0)
            if address == self.address:
                return self._hand_out(record, wait_max_s, time.monotonic())
            sends = SENDS_MAX if address == ranked[0] else SUBSTITUTE_SENDS_MAX
            # The question goes on after its request, as it also finds out who is silent.
            question = self._make_question(record, wait_max_s, time.monotonic())
            asked = self._spawn(self._ask(address, question, sends))
            left_s = None if until == math.inf else max(0.0, until - time.monotonic())
            await asyncio.wait((asked,), timeout=left_s)
            if not asked.done():
                break
            if (reply := asked.result()) is not None:
                return read_grant(reply)
        return Grant(None, SILENT_RETRY_S, SILENT_RETRY_S)

    def _rank(self, record: ServerRecord) -> list[Address]:
        server_id = record.entry.server_id
        if server_id not in self._ranked:
            if len(self._ranked) >= BUCKETS_MAX:
                self._ranked.clear()
            ranked = rank_allocators(server_id, record.entry.data_centre, self.instances)
            self._ranked[server_id] = ranked
        return self._ranked[server_id]

    def _is_usable(self, address: Address, now: float) -> bool:
        return now >= self.paused_until.get(address, 0.0)

    def _make_question(self, record: ServerRecord, wait_max_s: float, now: float) -> LimitQuestion:
        """Return a question about a server while it names a limit."""
        self._number += 1
        return LimitQuestion(
            self._number,
            *record.key,
            record.limit_per_s,
            max(0, round((now - record.limit_named_at) * MS_PER_S)),
            max(0, round(wait_max_s * MS_PER_S)),
        )

    async def _ask(
        self, address: Address, question: LimitQuestion, sends: int
    ) -> LimitReply | None:
        """Ask an instance; return its reply, None if it is silent."""
        self.counts.asked += 1
        waiting = asyncio.get_running_loop().create_future()
        self._waiting[question.number] = waiting
        try:
            for _ in range(sends):
                self.send(question, address)
                await asyncio.wait((waiting,), timeout=REPEAT_S)
                if waiting.done():
                    return waiting.result()
        finally:
            del self._waiting[question.number]
        self._pause(address, time.monotonic())
        return None

    def _pause(self, address: Address, now: float) -> None:
        if not self._is_usable(address, now):
            return
        self.counts.silent += 1
        before = self.silent.get(address, 0)
        self.silent[address] = before + 1
        pause_s = min(PAUSE_LONGEST_S, PAUSE_FIRST_S * 2**before)
        self.paused_until[address] = now + pause_s
        log_event(
            LOG, logging.INFO, "limit_instance_silent", instance=address[0], pause_s=round(pause_s)
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
            first_at = now + self.rng.uniform(0.0, 1.0 / rate_per_s)
            self.own_shares[record.key] = LimitBucket(first_at)
        return self.own_shares[record.key].take(rate_per_s, wait_max_s, now)

    def _hand_out(self, record: ServerRecord, wait_max_s: float, now: float) -> Grant:
        """Hand out a request to a server, fewer of them in place of an instance that may do so."""
        rate_per_s = record.limit_per_s
        if self._may_be_handing_out(record):
            rate_per_s *= SUBSTITUTE_FRACTION
        self._probe_silent(record, now)
        # Another instance may have handed out requests until now.
        first_at = now + measure_burst(rate_per_s) + 1.0 / rate_per_s
        bucket = self.buckets.setdefault(record.key, LimitBucket(first_at))
        self.buckets.move_to_end(record.key)
        if len(self.buckets) > BUCKETS_MAX:
            self.buckets.popitem(last=False)
        return bucket.take(rate_per_s, wait_max_s, now)

    def _probe_silent(self, record: ServerRecord, now: float) -> None:
        """Ask the instances whose place this one takes again, as they may be back.

        Those that ask them at once would get requests from two instances otherwise.
        """
        ranked = self._rank(record)
        for address in ranked[: ranked.index(self.address)][:ASKED_MAX]:
            if now - self._probed_at.get(address, -PROBE_INTERVAL_S) < PROBE_INTERVAL_S:
                continue
            self._probed_at[address] = now
            self._spawn(self._ask(address, self._make_question(record, 0.0, now), SENDS_MAX))

    def _record_alive(self, address: Address) -> None:
        """Record that an instance has sent something, so it may be asked again."""
        self.silent.pop(address, None)
        self.paused_until.pop(address, None)

    def _may_be_handing_out(self, record: ServerRecord) -> bool:
        """Return whether an instance whose place this one takes may be running."""
        ranked = self._rank(record)
        before = ranked[: ranked.index(self.address)]
        return any(self.silent.get(each, 0) < SILENT_MIN for each in before)

    def handle_message(self, message: LimitNews, address: Address, now: float) -> None:
        """Apply what another instance sent, or reply to its question."""
        self._record_alive(address)
        if isinstance(message, LimitMessage):
            self._apply_reported(message, message.limit_per_s, now)
        elif isinstance(message, LimitQuestion):
            self._answer(message, address, now)
        elif (waiting := self._waiting.get(message.number)) is not None and not waiting.done():
            waiting.set_result(message)

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
        mark = (address, question.number)
        if mark in self._answered:
            reply = self._answered[mark]
            if reply is not None:
                self.send(reply, address)
            return
        self._answered[mark] = None
        if len(self._answered) > REPLIES_MAX:
            self._answered.popitem(last=False)
        named_at = now - question.age_ms / MS_PER_S
        record = self._apply_reported(question, question.limit_per_s, named_at)
        wait_max_s = question.wait_ms / MS_PER_S
        if record is None:
            self._reply(question, address, Grant(None, SILENT_RETRY_S, SILENT_RETRY_S))
        elif record.limit_per_s is None:
            self._reply(question, address, Grant(0.0))
        elif self._rank(record)[0] == self.address:
            self._reply(question, address, self._hand_out(record, wait_max_s, now))
        else:
            self._spawn(self._ask_on_behalf(question, address, record, wait_max_s))

    async def _ask_on_behalf(
        self, question: LimitQuestion, address: Address, record: ServerRecord, wait_max_s: float
    ) -> None:
        """Reply for an instance that the one before this in rank may be running for."""
        self._reply(question, address, await self._ask_for_grant(record, wait_max_s))

    def _reply(self, question: LimitQuestion, address: Address, grant: Grant) -> None:
        reply = make_reply(question.number, grant)
        self._answered[address, question.number] = reply
        self.send(reply, address)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


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
