"""Requests that were at backend servers when these ended, known together by all instances.

An instance that sees a server end tells all others which requests it had there. Each instance
reaches the verdicts by itself, from what it was told: a lost instance takes no evidence along, and
nothing waits for a message. Each also asks another one every second, which makes up for lost
messages, cuts and its own restart.
"""

import asyncio
import logging
import random
import time
from collections.abc import Callable, Collection, Iterable, Mapping

import xxhash
from attrs import define, evolve, field

from rhubarbshed.coordination.requests.verdicts import (
    Strength,
    Verdict,
    choose_requests_min,
    drop_explained,
    find_verdict,
)
from rhubarbshed.protocol.crash_messages import (
    KEYS_PER_MESSAGE,
    SIGHTINGS_PER_MESSAGE,
    BegunPartsMessage,
    CrashMessage,
    CrashQuestion,
    SightingRow,
    TrialMessage,
)
from rhubarbshed.protocol.exchanges import CallerRequest, ExchangeEnd
from rhubarbshed.protocol.messages import CrashNews, Message
from rhubarbshed.protocol.quarantine import CrashId, QuarantineEntry, Sighting
from rhubarbshed.state.requests.begun_parts import BegunParts
from rhubarbshed.state.requests.possible_crashes import PossibleCrash, PossibleCrashes
from rhubarbshed.state.requests.quarantine import QuarantineView
from rhubarbshed.transport.edge.attempts import Attempt, is_cut_off
from rhubarbshed.transport.edge.server_checks import Incarnation, ServerChecks, is_leaving
from rhubarbshed.util.logs import log_event
from rhubarbshed.util.settings import QuarantineSettings

LOG = logging.getLogger(__name__)

MEMORY_S = 900.0
"""Time for which an end counts; longer than the longest pause before a trial."""

CLEARED_MEMORY_S = 60.0
"""Time for which an entry is kept that is cleared of all ends, so that late messages about these
don't open it again."""

ENTRIES_MAX = 4_000
"""Most requests that were at ended servers, some kilobytes each at most."""

COLLECT_S = 0.004
"""Time in which the requests at an ended server are collected into the same datagrams."""

CLEAR_DELAY_S = 0.05
"""Longest time until others are told that a request is cleared, drawn at random: where many
instances see it together, most of them are told first."""

REPEAT_S = 0.25
"""Time after which all others are told once more; a datagram may be lost."""

QUESTION_INTERVAL_S = 1.0
"""Time between two questions to an instance drawn at random."""

FIRST_QUESTIONS = 3
"""Instances asked at once by one that has just got to know others."""

REPLY_MESSAGES_MAX = 32
"""Most datagrams in reply to a question."""

DIGEST_SHIFT = 11
"""Bits by which a digest is shortened to the numbers that messages carry."""

TRIAL_RESERVED_S = 5.0
"""Time for which nobody else tries a request that an instance tries."""

SEVERAL_PAUSE_S = 60.0
"""Further time until a request under several verdicts may be a trial of all of them."""

RETRY_AFTER_MIN_S = 1.0
"""Shortest time after which a stopped request may come again."""

Address = tuple[str, int]


@define
class News:
    """What others are to be told about one ended server, by key and request."""

    sightings: dict[tuple[str, str], Sighting] = field(factory=dict)
    cleared: set[str] = field(factory=set)


@define
class CrashCounts:
    """Counts for metrics."""

    told: int = 0
    received: int = 0
    trials: int = 0
    stopped: int = 0


@define(eq=False)
class CrashRegistry:
    """Requests at ended servers, the verdicts on them, and their exchange with other instances.

    `on_verdict` is called with the key of each new verdict. `trials` are the times until which a
    trial of a key is under way, here or elsewhere. `stopped` are the keys with a verdict.
    """

    send: Callable[..., None]
    checks: ServerChecks
    rng: random.Random
    on_verdict: Callable[[str], None] = lambda key: None
    view: QuarantineView = field(
        factory=lambda: QuarantineView(
            QuarantineSettings(crashes_max=2, memory_s=MEMORY_S),
            is_final=False,
            entries_max=ENTRIES_MAX,
        )
    )
    possible: PossibleCrashes = field(factory=PossibleCrashes)
    begun: BegunParts = field(factory=BegunParts)
    counts: CrashCounts = field(factory=CrashCounts)
    others: tuple[Address, ...] = ()
    trials: dict[str, float] = field(factory=dict)
    stopped: dict[str, Verdict] = field(factory=dict)
    _is_listed: bool = False
    _digest: int | None = None
    _outbox: dict[CrashId, News] = field(factory=dict)
    _begun_outbox: dict[str, None] = field(factory=dict)
    _flush: asyncio.TimerHandle | None = None
    _flush_at: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Have the ends of servers reported."""
        self.checks.on_ended = self.confirm_end
        self.checks.on_alive = self.rule_out

    def list_values(self) -> dict[str, float]:
        """Return the values for metrics by name."""
        return {
            "quarantine_entries": len(self.view.entries),
            "quarantine_stopped": len(self.stopped),
            "quarantine_trials": self.counts.trials,
            "quarantine_refused": self.counts.stopped,
            "crash_messages_sent": self.counts.told,
            "crash_messages_received": self.counts.received,
        }

    def admit(
        self, request: CallerRequest, granted: Collection[str], now: float
    ) -> tuple[Verdict | None, frozenset[str]]:
        """Return the verdict that stops a request, or the keys for whose trial it is sent.

        `granted` are the keys that an earlier call granted it a trial for. A request under several
        verdicts could show nothing of any single one, so others go first.
        """
        if not self.stopped:
            return None, frozenset(granted)
        keys = [key for key in list_keys(request) if key in self.stopped and key not in granted]
        if not keys:
            return None, frozenset(granted)
        last = max((self.stopped[key] for key in keys), key=self.find_trial_at)
        if now < self.find_trial_at(last) + (SEVERAL_PAUSE_S if len(keys) > 1 else 0.0):
            self.counts.stopped += 1
            return last, frozenset()
        self._start_trial(request, keys, now)
        return None, frozenset((*granted, *keys))

    def find_trial_at(self, verdict: Verdict) -> float:
        """Return the monotonic time from which a verdict may be put to a trial."""
        return max(verdict.trial_at, self.trials.get(verdict.key, verdict.trial_at))

    def measure_pause(self, verdict: Verdict, now: float) -> float:
        """Return the seconds after which a stopped request may come again."""
        return max(RETRY_AFTER_MIN_S, self.find_trial_at(verdict) - now)

    def record_attempt(
        self, request: CallerRequest, attempt: Attempt, end: ExchangeEnd, now: float
    ) -> None:
        """Record what an attempt shows about its request."""
        if is_cut_off(end, attempt):
            self._record_cut(request, attempt, now)
        elif end.may_have_run:
            self.checks.record_alive(attempt.record.key)
            self.rule_out(attempt.record.key, attempt.sent_at)
            self.record_answer(request, now)

    def _record_cut(self, request: CallerRequest, attempt: Attempt, now: float) -> None:
        """Suspect a request whose attempt broke off, until it is known if its server ended."""
        record = attempt.record
        if attempt.withdrawn or is_leaving(record):
            return
        crash = make_crash_id(record.key)
        for key in self._list_suspects(request, attempt):
            sighting = Sighting(crash, request.fingerprint, attempt.sent_at, now, attempt.begun)
            self.possible.add(PossibleCrash(key, crash, False, now, sighting))
        if record.key in self.checks.ended:
            self.confirm_end(record.key, now)
        else:
            self.checks.check(record)

    def _list_suspects(self, request: CallerRequest, attempt: Attempt) -> tuple[str, ...]:
        """List the keys that the end of an attempt's server may count against.

        A part on which an answer has begun since the attempt was sent crashes no server.
        """
        if attempt.begun:
            return (request.fingerprint,)
        parts = request.part_fingerprints
        suspects = (key for key in parts if not self.begun.has_begun_since(key, attempt.sent_at))
        return (request.fingerprint, *suspects)

    def record_answer(self, request: CallerRequest, now: float) -> None:
        """Clear a request that a server has run to the end."""
        if not self.view.entries and not self.possible.items:
            return
        for key in list_keys(request):
            if self.possible.items:
                self.possible.clear_fingerprint(key)
            crashes = self.view.find_entry(key).open_crashes
            self._clear(key, crashes, now)

    def record_begun(self, request: CallerRequest, now: float) -> None:
        """Clear a request that has begun, and its parts, of the ends before it could begin."""
        for key in request.part_fingerprints:
            self.begun.record(key, now)
        if not self.view.entries:
            return
        for key in list_keys(request):
            sightings = self.view.list_sightings(key)
            begun = {each.crash for each in sightings if each.begun}
            unbegun = {each.crash for each in sightings} - begun
            self._clear(key, unbegun, now)

    def _clear(self, key: str, crashes: Iterable[CrashId], now: float) -> None:
        """Clear a key of ends, here and at all others."""
        crashes = tuple(sorted(crashes))
        if not crashes:
            return
        self.view.merge_entry(QuarantineEntry(key, cleared=crashes), now)
        for crash in crashes:
            news = self._outbox.setdefault(crash, News())
            news.cleared.add(key)
        self._judge((key,), now)
        self._flush_within(self.rng.uniform(0.0, CLEAR_DELAY_S), now)

    def confirm_end(self, incarnation: Incarnation, now: float) -> None:
        """Count the end of a server against the requests that it had from here."""
        crash = make_crash_id(incarnation)
        items = self.possible.pop_confirmed(crash)
        changed = []
        for item in items:
            sighting = self._link(item)
            if sighting is not None and self.view.record_sighting(item.fingerprint, sighting, now):
                news = self._outbox.setdefault(crash, News())
                news.sightings[item.fingerprint, sighting.request] = sighting
                changed.append(item.fingerprint)
                if item.fingerprint != sighting.request:
                    self._speak_for(item.fingerprint, sighting, now)
        if changed:
            self._judge(changed, now)
            self._flush_within(COLLECT_S, now)

    def _link(self, item: PossibleCrash) -> Sighting | None:
        """Return a sighting with the last end before it was sent, as only this instance knows."""
        sighting = item.sighting
        if sighting is None:
            return None
        before = [
            each
            for each in self.view.list_sightings(item.fingerprint)
            if each.ended_at < sighting.sent_at and each.crash != sighting.crash
        ]
        last = max(before, key=lambda each: each.ended_at, default=None)
        return evolve(sighting, after=last.crash if last is not None else None)

    def rule_out(self, incarnation: Incarnation, since: float) -> None:
        """Drop suspicions about a server that was found alive."""
        if self.possible.items:
            crash = make_crash_id(incarnation)
            self.possible.rule_out(crash.backend_server, crash.boot_id, since)

    def learn_instances(
        self, instances: Mapping[str, Collection[Address]], is_listed: bool, now: float
    ) -> None:
        """Record all other instances, and ask some of them at first."""
        self.others = tuple(sorted({each for group in instances.values() for each in group}))
        if not self.others or (self._is_listed and is_listed):
            return
        self._is_listed = is_listed
        self._ask(min(FIRST_QUESTIONS, len(self.others)))

    async def maintain(self) -> None:
        """Ask other instances and drop what is old, forever."""
        while True:
            await asyncio.sleep(QUESTION_INTERVAL_S * self.rng.uniform(0.8, 1.2))
            now = time.monotonic()
            self.forget_old(now)
            if self.others:
                self._ask(1)

    def forget_old(self, now: float) -> None:
        """Drop what is too old to count."""
        self._digest = None
        self.possible.forget_old(now)
        self.view.forget_old(now)
        self.view.forget_cleared(now - CLEARED_MEMORY_S)
        self.trials = {key: until for key, until in self.trials.items() if until > now}
        for key in [key for key in self.stopped if key not in self.view.entries]:
            del self.stopped[key]

    def handle_message(self, message: CrashNews, address: Address, now: float) -> None:
        """Apply what another instance told, or reply to its question."""
        self.counts.received += 1
        if isinstance(message, CrashQuestion):
            if message.digest != self.compute_digest():
                self._reply(address, now)
        elif isinstance(message, TrialMessage):
            for key in message.keys:
                self.trials[key.hex()] = now + TRIAL_RESERVED_S
        elif isinstance(message, BegunPartsMessage):
            keys = [key.hex() for key in message.keys]
            for key in keys:
                self.begun.record_report(key, now)
                self._begun_outbox.pop(key, None)
            self._judge(keys, now)
        else:
            self._apply(message, now)

    def _apply(self, message: CrashMessage, now: float) -> None:
        crash = make_crash_id((message.server_id, message.started_ms))
        cleared = [key.hex() for key in message.cleared]
        for key in cleared:
            self.view.merge_entry(QuarantineEntry(key, cleared=(crash,)), now)
            if crash in self._outbox:
                self._outbox[crash].cleared.discard(key)
        changed = []
        for row in message.sightings:
            key, sighting = read_sighting(row, crash, now)
            if not self.view.record_sighting(key, sighting, now):
                continue
            changed.append(key)
            if key != sighting.request:
                self._speak_for(key, sighting, now)
        if message.sightings:
            self.confirm_end((message.server_id, message.started_ms), now)
        self._judge((*changed, *cleared), now)

    def _speak_for(self, key: str, sighting: Sighting, now: float) -> None:
        """Tell others of answers that have begun on a part which was at an ended server."""
        if self.begun.has_begun_since(key, sighting.sent_at):
            self._clear(key, (sighting.crash,), now)
        if self.begun.is_report_due(key, now):
            self._begun_outbox[key] = None
            self._flush_within(self.rng.uniform(0.0, CLEAR_DELAY_S), now)

    def compute_digest(self) -> int:
        """Return a digest of all entries, equal for instances that know the same."""
        if self._digest is None:
            marks = (
                f"{key}{entry.cleared}{sorted(self.view.sightings.get(key, ()))}"
                for key, entry in sorted(self.view.entries.items())
            )
            self._digest = xxhash.xxh3_64_intdigest("\n".join(marks).encode()) >> DIGEST_SHIFT
        return self._digest

    def _judge(self, keys: Iterable[str], now: float) -> None:
        """Reach or end the verdicts on keys whose evidence has changed."""
        self._digest = None
        pending = sorted(dict.fromkeys(keys), key=self._is_request)
        # A verdict bears on what is weaker, and that on what is weaker still.
        for _ in Strength:
            before = dict(self.stopped)
            for key in pending:
                self._judge_key(key, now)
            changed = {
                crash
                for key in before.keys() | self.stopped.keys()
                if before.get(key) != self.stopped.get(key)
                for crash in (self.stopped.get(key) or before[key]).crashes
            }
            pending = self._list_at(changed)

    def _is_request(self, key: str) -> bool:
        return any(request == key for _, request in self.view.sightings.get(key, ()))

    def _judge_key(self, key: str, now: float) -> None:
        sightings = drop_explained(key, self.view.list_sightings(key), self.stopped.values())
        requests_min = choose_requests_min(self.begun.count_lately(key, now))
        verdict = find_verdict(key, sightings, requests_min)
        if verdict is None:
            if self.stopped.pop(key, None) is not None:
                log_event(LOG, logging.INFO, "quarantine_ended", key=key)
            return
        is_new = key not in self.stopped
        self.stopped[key] = verdict
        if is_new:
            log_verdict(verdict, now)
            self.on_verdict(key)

    def _list_at(self, crashes: Collection[CrashId]) -> list[str]:
        """List the keys of requests that were at several ends, some of these among them."""
        return [
            key
            for key, known in self.view.sightings.items()
            if len(known) > 1 and any(crash in crashes for crash, _ in known)
        ]

    def _start_trial(self, request: CallerRequest, keys: Collection[str], now: float) -> None:
        for key in keys:
            self.trials[key] = now + TRIAL_RESERVED_S
        self.counts.trials += 1
        log_event(
            LOG,
            logging.INFO,
            "quarantine_trial",
            request=request.request_id,
            keys=",".join(keys),
        )
        packed = tuple(bytes.fromhex(key) for key in keys)
        self._send(TrialMessage(packed[:KEYS_PER_MESSAGE]), *self.others)

    def _ask(self, count: int) -> None:
        question = CrashQuestion(self.compute_digest())
        self._send(question, *self.rng.sample(self.others, count))

    def _reply(self, address: Address, now: float) -> None:
        found: dict[CrashId, News] = {}
        for key, entry in self.view.entries.items():
            for sighting in self.view.sightings.get(key, {}).values():
                news = found.setdefault(sighting.crash, News())
                news.sightings[key, sighting.request] = sighting
            for crash in entry.cleared:
                found.setdefault(crash, News()).cleared.add(key)
        messages = [
            each for crash, news in found.items() for each in make_messages(crash, news, now)
        ]
        for message in messages[-REPLY_MESSAGES_MAX:]:
            self._send(message, address)

    def _flush_within(self, delay_s: float, now: float) -> None:
        """Tell others within a time, sooner if that is due already."""
        if self._flush is not None and self._flush_at <= now + delay_s:
            return
        if self._flush is not None:
            self._flush.cancel()
        self._flush_at = now + delay_s
        self._flush = asyncio.get_running_loop().call_later(delay_s, self._tell)

    def _tell(self) -> None:
        """Tell all others what is new, and once more a little later."""
        self._flush = None
        outbox, self._outbox = self._outbox, {}
        self._send_news(outbox)
        self._report_begun(time.monotonic())
        if outbox:
            loop = asyncio.get_running_loop()
            loop.call_later(REPEAT_S, self._send_news, outbox)

    def _send_news(self, outbox: Mapping[CrashId, News]) -> None:
        now = time.monotonic()
        for crash, news in outbox.items():
            for message in make_messages(crash, news, now):
                self._send(message, *self.others)

    def _report_begun(self, now: float) -> None:
        """Report parts that answers have begun on here, unless another instance has done so."""
        keys, self._begun_outbox = list(self._begun_outbox), {}
        for key in keys:
            self.begun.record_report(key, now)
        packed = [bytes.fromhex(key) for key in keys]
        for start in range(0, len(packed), KEYS_PER_MESSAGE):
            part = tuple(packed[start : start + KEYS_PER_MESSAGE])
            self._send(BegunPartsMessage(part), *self.others)
        self._judge(keys, now)

    def _send(self, message: Message, *addresses: Address) -> None:
        self.send(message, *addresses)
        self.counts.told += len(addresses)


def list_keys(request: CallerRequest) -> tuple[str, ...]:
    """List the keys under which ends of servers count against a request."""
    return (request.fingerprint, *request.part_fingerprints)


def make_crash_id(incarnation: Incarnation) -> CrashId:
    """Return the id of the end of a server."""
    server_id, started_ms = incarnation
    return CrashId(server_id, str(started_ms))


def make_messages(crash: CrashId, news: News, now: float) -> list[CrashMessage]:
    """Return what is to be told about an ended server, in datagrams of a limited size."""
    rows = [make_row(key, sighting, now) for (key, _), sighting in news.sightings.items()]
    keys = [bytes.fromhex(key) for key in sorted(news.cleared)]
    messages = []
    while rows or keys:
        sightings, rows = rows[:SIGHTINGS_PER_MESSAGE], rows[SIGHTINGS_PER_MESSAGE:]
        cleared: list[bytes] = []
        if not sightings:
            cleared, keys = keys[:KEYS_PER_MESSAGE], keys[KEYS_PER_MESSAGE:]
        messages.append(
            CrashMessage(crash.backend_server, int(crash.boot_id), tuple(sightings), tuple(cleared))
        )
    return messages


def make_row(key: str, sighting: Sighting, now: float) -> SightingRow:
    """Return a sighting as it is sent."""
    after = sighting.after or CrashId("", "0")
    return (
        bytes.fromhex(key),
        bytes.fromhex(sighting.request),
        max(0, round((now - sighting.sent_at) * 1000)),
        max(0, round((now - sighting.ended_at) * 1000)),
        sighting.begun,
        after.backend_server,
        int(after.boot_id),
    )


def read_sighting(row: SightingRow, crash: CrashId, now: float) -> tuple[str, Sighting]:
    """Return a sighting that was sent, with its key."""
    key, request, sent_ago_ms, ended_ago_ms, begun, server_id, started_ms = row
    sighting = Sighting(
        crash,
        request.hex(),
        now - sent_ago_ms / 1000,
        now - ended_ago_ms / 1000,
        begun,
        CrashId(server_id, str(started_ms)) if server_id else None,
    )
    return key.hex(), sighting


def log_verdict(verdict: Verdict, now: float) -> None:
    """Log a new verdict with the ends that it rests on."""
    log_event(
        LOG,
        logging.WARNING,
        "quarantined",
        key=verdict.key,
        servers=",".join(each.crash.backend_server for each in verdict.rounds),
        requests=",".join(each.request[:8] for each in verdict.rounds),
        last_s=round(now - verdict.rounds[-1].ended_at, 2),
        trial_in_s=round(verdict.trial_at - now, 1),
    )
