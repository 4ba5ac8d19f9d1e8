"""Instances that allocate a shared limit, as this instance ranks, asks and answers them.

Each key has one such instance, its allocator, chosen alike everywhere. One that does not answer is
left alone for a while, and the next one in rank stands in for it.
"""

import asyncio
import enum
import logging
import math
import random
import time
from collections import OrderedDict
from collections.abc import Callable, Collection, Coroutine, Mapping
from typing import Any, Protocol

from attrs import define, field

from rhubarbshed.coordination.serving.server_limits import rank_allocators
from rhubarbshed.protocol.messages import Message
from rhubarbshed.util.logs import log_event
from rhubarbshed.util.rendezvous import find_first_by_rendezvous

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

REPLIES_MAX = 4_096
"""Most replies kept for questions that are repeated."""

RANKED_MAX = 2_000
"""Most keys whose ranking is kept."""

FIRST_COUNT = 8
"""Instances of a ranking that are kept where there may be a thousand keys. If all of them are
silent, nobody else stands in."""

NUMBER_START_MAX = 2**48
"""Bound of the first question's number, drawn at random: a restarted instance uses new ones."""

Address = tuple[str, int]


class Numbered(Protocol):
    """Question or reply; a question that is repeated and its reply have the same number."""

    number: int


class NoReply(enum.Enum):
    """Why a search for an allocator ended without a reply.

    `OWN` means that this instance is the one to decide, `MOOT` that there is nothing to ask for
    any more, and `SILENT` that nobody replied in time.
    """

    OWN = "own"
    MOOT = "moot"
    SILENT = "silent"


@define(eq=False)
class Allocators:
    """Allocators of one kind of limit.

    `address` is this instance's, `instances` are all, with it, by data centre, once `is_listed`.
    `measure_silence` returns the seconds since another instance sent anything. `silent` counts
    questions in a row without a reply, `asked_count` and `silent_count` all of them. `silent_event`
    names the line of the log on an instance that is silent. `clock` returns the seconds that `now`
    is in.
    """

    data_centre: str
    address: Address
    send: Callable[..., None]
    rng: random.Random
    measure_silence: Callable[[float], float] = lambda now: 0.0
    silent_event: str = "limit_instance_silent"
    clock: Callable[[], float] = time.monotonic
    asked_count: int = 0
    silent_count: int = 0
    instances: dict[str, tuple[Address, ...]] = field(factory=dict)
    paused_until: dict[Address, float] = field(factory=dict)
    silent: dict[Address, int] = field(factory=dict)
    is_listed: bool = False
    ranked: dict[str, list[Address]] = field(factory=dict)
    _by_name: dict[str, Address] = field(factory=dict)
    _centres: dict[Address, str] = field(factory=dict)
    _waiting: dict[int, asyncio.Future] = field(factory=dict)
    _probed_at: dict[Address, float] = field(factory=dict)
    _answered: OrderedDict[tuple[Address, int], Message | None] = field(factory=OrderedDict)
    _tasks: set[asyncio.Task] = field(factory=set)
    _number: int = 0

    def __attrs_post_init__(self) -> None:
        """Draw the number of the first question."""
        self._number = self.rng.randrange(NUMBER_START_MAX)
        self.learn_instances({}, False)

    def learn_instances(self, others: Mapping[str, Collection[Address]], is_listed: bool) -> None:
        """Record all other instances by data centre; `is_listed` if a holder has listed them."""
        self.is_listed = self.is_listed or is_listed
        self.instances = {name: tuple(group) for name, group in others.items()}
        own = self.instances.get(self.data_centre, ())
        self.instances[self.data_centre] = (*own, self.address)
        self.ranked.clear()
        self._by_name = {f"{host}:{port}": (host, port) for host, port in self.list_all()}
        self._centres = {each: name for name, group in self.instances.items() for each in group}
        known = set(self._centres)
        for kept in (self.paused_until, self.silent, self._probed_at):
            for address in [each for each in kept if each not in known]:
                del kept[address]

    def list_all(self) -> list[Address]:
        """List all instances, with this one."""
        return [address for group in self.instances.values() for address in group]

    def find_centre(self, address: Address) -> str | None:
        """Return the data centre of an instance, None if it is not known."""
        return self._centres.get(address)

    def rank(self, key: str, data_centre: str) -> list[Address]:
        """Rank all instances by who allocates for a key, first those of a data centre."""
        if key not in self.ranked:
            if len(self.ranked) >= RANKED_MAX:
                self.ranked.clear()
            self.ranked[key] = rank_allocators(key, data_centre, self.instances)
        return self.ranked[key]

    def rank_first(self, key: str) -> list[Address]:
        """Rank the first instances by who allocates for a key, whatever their data centres are."""
        if key not in self.ranked:
            if len(self.ranked) >= RANKED_MAX:
                self.ranked.clear()
            names = find_first_by_rendezvous(key, self._by_name, FIRST_COUNT)
            self.ranked[key] = [self._by_name[name] for name in names]
        return self.ranked[key]

    def is_isolated(self, now: float) -> bool:
        """Return whether this instance takes itself to be cut off from all others."""
        has_others = any(each != self.address for each in self.list_all())
        return has_others and self.measure_silence(now) > ISOLATED_S

    def is_usable(self, address: Address, now: float) -> bool:
        """Return whether an instance may be asked."""
        return now >= self.paused_until.get(address, 0.0)

    def number_question(self) -> int:
        """Return the number of the next question."""
        self._number += 1
        return self._number

    async def ask_in_turn(
        self,
        ranked: list[Address],
        make_question: Callable[[], Numbered | None],
        until: float = math.inf,
    ) -> Numbered | NoReply:
        """Ask the usable instances in their order; return the first reply, or why there is none.

        `make_question` returns None once there is nothing to ask for any more.
        """
        now = self.clock()
        usable = [each for each in ranked if self.is_usable(each, now)]
        for address in usable[:ASKED_MAX]:
            question = make_question()
            if question is None:
                return NoReply.MOOT
            if address == self.address:
                return NoReply.OWN
            sends = SENDS_MAX if address == ranked[0] else SUBSTITUTE_SENDS_MAX
            # The question goes on after its request, as it also finds out who is silent.
            asked = self.spawn(self.ask(address, question, sends))
            left_s = None if until == math.inf else max(0.0, until - self.clock())
            await asyncio.wait((asked,), timeout=left_s)
            if not asked.done():
                break
            if (reply := asked.result()) is not None:
                return reply
        return NoReply.SILENT

    async def ask(self, address: Address, question: Numbered, sends: int) -> Numbered | None:
        """Ask an instance; return its reply, None if it is silent."""
        self.asked_count += 1
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
        self._pause(address, self.clock())
        return None

    def settle(self, reply: Numbered) -> None:
        """Pass a reply on to who asked for it; one that is late or repeated changes nothing."""
        waiting = self._waiting.get(reply.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)

    def _pause(self, address: Address, now: float) -> None:
        if not self.is_usable(address, now):
            return
        self.silent_count += 1
        before = self.silent.get(address, 0)
        self.silent[address] = before + 1
        pause_s = min(PAUSE_LONGEST_S, PAUSE_FIRST_S * 2**before)
        self.paused_until[address] = now + pause_s
        log_event(LOG, logging.INFO, self.silent_event, instance=address[0], pause_s=round(pause_s))

    def record_alive(self, address: Address) -> None:
        """Record that an instance has sent something, so it may be asked again."""
        self.silent.pop(address, None)
        self.paused_until.pop(address, None)

    def may_be_allocating(self, ranked: list[Address]) -> bool:
        """Return whether an instance whose place this one takes may be running."""
        before = ranked[: ranked.index(self.address)]
        return any(self.silent.get(each, 0) < SILENT_MIN for each in before)

    def probe_silent(
        self, ranked: list[Address], make_question: Callable[[], Numbered], now: float
    ) -> None:
        """Ask the instances whose place this one takes again, as they may be back.

        Those that ask them at once would get credit from two instances otherwise.
        """
        for address in ranked[: ranked.index(self.address)][:ASKED_MAX]:
            if now - self._probed_at.get(address, -PROBE_INTERVAL_S) < PROBE_INTERVAL_S:
                continue
            self._probed_at[address] = now
            self.spawn(self.ask(address, make_question(), SENDS_MAX))

    def probe_beside(
        self, ranked: list[Address], make_question: Callable[[], Numbered], now: float
    ) -> None:
        """Ask instances whose pause is over beside the next requests, which ask others meanwhile.

        Each request would wait for their silence otherwise.
        """
        for address in ranked:
            if address != self.address and address in self.silent and self.is_usable(address, now):
                self.paused_until[address] = now + SENDS_MAX * REPEAT_S
                self.spawn(self.ask(address, make_question(), SENDS_MAX))

    def begin_answer(self, question: Numbered, address: Address) -> bool:
        """Return whether a question is new; the reply to a repeated one is sent again."""
        mark = (address, question.number)
        if mark in self._answered:
            reply = self._answered[mark]
            if reply is not None:
                self.send(reply, address)
            return False
        self._answered[mark] = None
        if len(self._answered) > REPLIES_MAX:
            self._answered.popitem(last=False)
        return True

    def reply(self, reply: Numbered, address: Address) -> None:
        """Send the reply to a question, and keep it for when that is repeated."""
        self._answered[address, reply.number] = reply
        self.send(reply, address)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Start work that may outlast its request."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
