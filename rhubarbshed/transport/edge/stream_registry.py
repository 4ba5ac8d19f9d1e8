"""Origins of streams, kept by several instances and asked for when a stream is continued.

Answers the crash of an instance in the middle of streams: their callers try again at any instance,
which may send the rest only to a backend server of the version that began the stream.
"""

import asyncio
import logging
import math
import time
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Mapping

from attrs import define, field

from rhubarbshed.coordination.serving.stream_backups import (
    Replies,
    choose_backups,
    choose_first_round,
    choose_second_round,
    combine_origins,
    find_silent,
    is_round_over,
    make_key,
    name_instances,
)
from rhubarbshed.protocol.messages import (
    STREAMS_PER_MESSAGE,
    VERSIONS_PER_MESSAGE,
    OriginQuestion,
    OriginReply,
    OriginsMessage,
    is_text,
)
from rhubarbshed.protocol.streams import StreamLookup, StreamOrigin
from rhubarbshed.state.requests.stream_origins import StreamOrigins
from rhubarbshed.transport.edge.origin_store import OriginStore
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

Address = tuple[str, int]

FIRST_ROUND_S = 0.08
"""Time for the replies of the likely backups: a round trip takes 3 ms, and the loops of both ends
are late by tens of milliseconds now and then."""

SECOND_ROUND_S = 0.15
"""Time for the replies of all others, which is the last chance for a stream to go on."""

COLLECT_S = 0.004
"""Time in which questions for several streams are collected into the same datagrams."""

UNTOLD_MAX = 1_000
"""Most streams remembered to be told once other instances are known."""

LOGGED_MAX = 5
"""Most addresses in a line of the log."""

HAND_OVER_STEP = 20
"""Streams handed over before other work gets a turn: about 2 ms."""

LATE_READS_MAX = 64
"""Most further steps of the loop after the end of a round: a loop that was late reads one datagram
in each step, so replies that came in time may still be unread."""


@define
class StreamCounts:
    """Counts for metrics: datagrams, and searches by outcome with the time they took."""

    told: int = 0
    asked: int = 0
    replies: int = 0
    lookups: dict[str, int] = field(
        factory=lambda: {"own": 0, "told": 0, "unknown": 0, "disagree": 0}
    )
    lookup_seconds: float = 0.0
    observe: Callable[[str, float], None] = lambda outcome, took_s: None

    def count_lookup(self, outcome: str, took_s: float) -> None:
        """Count a search that has ended."""
        self.lookups[outcome] += 1
        self.lookup_seconds += took_s
        self.observe(outcome, took_s)

    def list_values(self) -> dict[str, float]:
        """Return all counts by name."""
        return {
            "streams_told": self.told,
            "streams_asked": self.asked,
            "stream_replies": self.replies,
            "stream_lookup_seconds": self.lookup_seconds,
            **{f"stream_lookups_{outcome}": count for outcome, count in self.lookups.items()},
        }


@define(eq=False)
class Search:
    """Search in progress for the origin of one stream, and when that was last recorded."""

    replies: Replies = Replies()
    versions: set[tuple[str, str]] = field(factory=set)
    recorded_at: float = -math.inf
    progress: asyncio.Event = field(factory=asyncio.Event)

    def add_asked(self, addresses: Iterable[Address]) -> None:
        """Record who was asked."""
        replies = self.replies
        asked = replies.asked | frozenset(addresses)
        self.replies = Replies(asked, replies.replied, replies.origins)

    def add_reply(self, replied: Iterable[Address], origins: Iterable[StreamOrigin]) -> None:
        """Record a reply, or an origin that was told meanwhile."""
        replies = self.replies
        self.replies = Replies(
            replies.asked,
            replies.replied | frozenset(replied),
            replies.origins | frozenset(origins),
        )
        self.progress.set()


@define(eq=False)
class StreamRegistry:
    """Origins of streams known here, and the search for the others.

    `silent` are instances that did not reply to two questions in a row. `untold` are streams that
    were recorded before a list of other instances had come. `origin_store` keeps origins beyond
    the loss of all instances.
    """

    data_centre: str
    send: Callable[..., None]
    list_versions: Callable[[float], tuple[tuple[str, str], ...]] = lambda now: ()
    origin_store: OriginStore | None = None
    origins: StreamOrigins = field(factory=StreamOrigins)
    counts: StreamCounts = field(factory=StreamCounts)
    instances: dict[str, dict[str, Address]] = field(factory=dict)
    is_listed: bool = False
    untold: OrderedDict[str, float] = field(factory=OrderedDict)
    silent: set[Address] = field(factory=set)
    _searches: dict[str, list[Search]] = field(factory=dict)
    _outbox: dict[Address, dict[str, None]] = field(factory=dict)
    _flush: asyncio.TimerHandle | None = None

    def record_stream(self, stream_id: str, origin: StreamOrigin, now: float) -> None:
        """Record the origin of a stream that begins here, and tell its backups."""
        stream_id = make_key(stream_id)
        self.origins.record(stream_id, origin, now)
        if not (is_text(origin.service) and is_text(origin.version)):
            log_event(LOG, logging.WARNING, "stream_untold", stream=stream_id, why="unsendable")
            return
        if not self.is_listed or not self.instances:
            self.untold[stream_id] = now
            self.untold.move_to_end(stream_id)
            if len(self.untold) > UNTOLD_MAX:
                self.untold.popitem(last=False)
        self._tell(stream_id, origin)
        if self.origin_store is not None:
            self.origin_store.record_begun(stream_id, origin, now)

    async def find_stream(self, stream_id: str, now: float) -> StreamLookup:
        """Find the origin of a stream: in the own memory, else by asking other instances."""
        stream_id = make_key(stream_id)
        known = self.origins.list_origins(stream_id, now)
        if known:
            self.counts.count_lookup("own" if len(known) == 1 else "disagree", 0.0)
            if len(known) > 1:
                versions = ",".join(each.version for each in known)
                log_event(
                    LOG, logging.INFO, "stream_contested", stream=stream_id, versions=versions
                )
            return StreamLookup(combine_origins(frozenset(known)), versions=list_pairs(known))
        started_at = time.monotonic()
        search = Search()
        self._searches.setdefault(stream_id, []).append(search)
        try:
            first = choose_first_round(stream_id, self.instances)
            await self._ask(search, stream_id, first, FIRST_ROUND_S)
            second = choose_second_round(self.instances, search.replies)
            await self._ask(search, stream_id, second, SECOND_ROUND_S)
            if self.origin_store is not None and not search.replies.origins:
                search.add_reply((), await self.origin_store.find(stream_id))
            asked_twice = frozenset(first).intersection(second)
            self._mark_silent(find_silent(self.instances, asked_twice, search.replies))
        finally:
            self._remove_search(stream_id, search)
        return self._conclude(stream_id, search, now, time.monotonic() - started_at)

    def handle_message(
        self, message: OriginsMessage | OriginQuestion | OriginReply, address: Address, now: float
    ) -> None:
        """Apply what another instance told, or reply to its question."""
        self.silent.discard(address)
        if isinstance(message, OriginQuestion):
            self._reply(message, address, now)
            return
        origins = [(stream_id, StreamOrigin(*rest)) for stream_id, *rest in message.origins]
        ages = message.ages or (0,) * len(origins)
        for (stream_id, _), age_s in zip(origins, ages, strict=True):
            for search in self._searches.get(stream_id, ()):
                search.recorded_at = max(search.recorded_at, now - age_s)
        if isinstance(message, OriginsMessage):
            for (stream_id, origin), age_s in zip(origins, ages, strict=True):
                self.origins.record(stream_id, origin, now, age_s)
                if self.origin_store is not None:
                    self.origin_store.add(stream_id, origin)
                for search in self._searches.get(stream_id, ()):
                    search.add_reply((), (origin,))
            return
        self.counts.replies += 1
        found: dict[str, list[StreamOrigin]] = {stream_id: [] for stream_id in message.unknown}
        for stream_id, origin in origins:
            found.setdefault(stream_id, []).append(origin)
        for stream_id, each in found.items():
            for search in self._searches.get(stream_id, ()):
                search.versions.update(message.versions)
                search.add_reply((address,), each)

    def learn_instances(
        self, instances: Mapping[str, Collection[Address]], is_listed: bool, now: float
    ) -> None:
        """Record all other instances by data centre, and tell them what is still untold.

        `is_listed` is whether an order holder has listed them; before, only holders are known.
        """
        self.instances = name_instances(instances)
        known = {address for named in self.instances.values() for address in named.values()}
        self.silent &= known
        self.is_listed = self.is_listed or is_listed
        if not self.is_listed or not known:
            return
        untold, self.untold = self.untold, OrderedDict()
        for stream_id in untold:
            for origin in self.origins.list_origins(stream_id, now):
                self._tell(stream_id, origin)

    async def hand_over(self, now: float) -> None:
        """Tell all origins known here to the instances that keep them without this one."""
        batches: dict[Address, list[tuple[tuple[str, str, str], int]]] = {}
        for number, (stream_id, origin) in enumerate(self.origins.list_live(now)):
            if number % HAND_OVER_STEP == 0:
                await asyncio.sleep(0)
            if is_text(origin.service) and is_text(origin.version):
                row = (stream_id, origin.service, origin.version)
                aged = (row, self._measure_age(stream_id, now))
                for address in choose_backups(stream_id, self.data_centre, self.instances):
                    batches.setdefault(address, []).append(aged)
        for address, each in batches.items():
            for start in range(0, len(each), STREAMS_PER_MESSAGE):
                rows, ages = zip(*each[start : start + STREAMS_PER_MESSAGE], strict=True)
                self.send(OriginsMessage(rows, ages), address)
                self.counts.told += 1

    def _measure_age(self, stream_id: str, now: float) -> int:
        # Rounded up, so that a record does not get younger each time that it is passed on.
        return max(0, math.ceil(self.origins.find_age(stream_id, now)))

    def _tell(self, stream_id: str, origin: StreamOrigin) -> None:
        backups = choose_backups(stream_id, self.data_centre, self.instances)
        if backups:
            self.send(OriginsMessage(((stream_id, origin.service, origin.version),)), *backups)
            self.counts.told += len(backups)

    async def _ask(
        self, search: Search, stream_id: str, targets: Collection[Address], round_s: float
    ) -> None:
        """Ask instances for a stream until the round is over."""
        if is_round_over(targets, search.replies, self.silent):
            return
        search.add_asked(targets)
        for address in targets:
            self._outbox.setdefault(address, {})[stream_id] = None
        if self._flush is None:
            loop = asyncio.get_running_loop()
            self._flush = loop.call_later(COLLECT_S, self._send_questions)
        try:
            async with asyncio.timeout(round_s):
                while not is_round_over(targets, search.replies, self.silent):
                    search.progress.clear()
                    await search.progress.wait()
        except TimeoutError:
            for _ in range(min(len(targets), LATE_READS_MAX)):
                if is_round_over(targets, search.replies, self.silent):
                    return
                await asyncio.sleep(0)

    def _send_questions(self) -> None:
        self._flush = None
        outbox, self._outbox = self._outbox, {}
        packed: dict[tuple[str, ...], list[Address]] = {}
        for address, stream_ids in outbox.items():
            packed.setdefault(tuple(stream_ids), []).append(address)
        for stream_ids, addresses in packed.items():
            for start in range(0, len(stream_ids), STREAMS_PER_MESSAGE):
                question = OriginQuestion(stream_ids[start : start + STREAMS_PER_MESSAGE])
                self.send(question, *addresses)
                self.counts.asked += len(addresses)

    def _reply(self, question: OriginQuestion, address: Address, now: float) -> None:
        found = {each: self._list_sendable(each, now) for each in question.streams}
        versions = self._list_versions(now)
        reply = OriginReply(
            tuple((name, it.service, it.version) for name, each in found.items() for it in each),
            tuple(name for name, each in found.items() if not each),
            versions,
            tuple(self._measure_age(name, now) for name, each in found.items() for _ in each),
        )
        self.send(reply, address)

    def _list_sendable(self, stream_id: str, now: float) -> list[StreamOrigin]:
        origins = self.origins.list_origins(stream_id, now)
        return [each for each in origins if is_text(each.service) and is_text(each.version)]

    def _list_versions(self, now: float) -> tuple[tuple[str, str], ...]:
        """List the versions that a reply can carry."""
        pairs = [pair for pair in self.list_versions(now) if all(map(is_text, pair))]
        if len(pairs) <= VERSIONS_PER_MESSAGE:
            return tuple(pairs)
        # What contradicts a sole version matters most: services with several versions come first.
        services = [service for service, _ in pairs]
        pairs.sort(key=lambda pair: -services.count(pair[0]))
        log_event(LOG, logging.WARNING, "versions_cut", versions=len(pairs))
        return tuple(pairs[:VERSIONS_PER_MESSAGE])

    def _mark_silent(self, silent: frozenset[Address]) -> None:
        new = silent - self.silent
        self.silent |= new
        if new:
            addresses = " ".join(f"{host}:{port}" for host, port in sorted(new)[:LOGGED_MAX])
            log_event(LOG, logging.INFO, "instances_silent", count=len(new), addresses=addresses)

    def _remove_search(self, stream_id: str, search: Search) -> None:
        searches = self._searches[stream_id]
        searches.remove(search)
        if not searches:
            del self._searches[stream_id]

    def _conclude(self, stream_id: str, search: Search, now: float, took_s: float) -> StreamLookup:
        """Record what a search found, and count and log it."""
        replies = search.replies
        # A late reply to an earlier question for the stream counts only if its sender was asked.
        replied = len(replies.replied & replies.asked)
        origin = combine_origins(replies.origins)
        if origin is not None:
            # What was recorded here meanwhile counts too.
            age_s = max(0.0, now + took_s - search.recorded_at)
            self.origins.record(stream_id, origin, now + took_s, age_s)
            if len(self.origins.list_origins(stream_id, now + took_s)) > 1:
                origin = None
        outcome = "told" if origin else "disagree" if replies.origins else "unknown"
        self.counts.count_lookup(outcome, took_s)
        log_event(
            LOG,
            logging.INFO,
            "stream_searched",
            stream=stream_id,
            outcome=outcome,
            service=origin.service if origin else "",
            version=origin.version if origin else "",
            asked=len(replies.asked),
            replied=replied,
            took_ms=round(took_s * 1000),
        )
        versions = frozenset(search.versions) | list_pairs(replies.origins)
        return StreamLookup(origin, len(replies.asked), replied, versions)


def list_pairs(origins: Iterable[StreamOrigin]) -> frozenset[tuple[str, str]]:
    """List origins as the (service, version) pairs that contradict a sole version."""
    return frozenset((each.service, each.version) for each in origins)
