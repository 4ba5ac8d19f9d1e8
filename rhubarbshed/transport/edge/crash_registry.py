"""Exchange of what instances know about requests at backend servers that ended.

An instance that sees a server end tells all others which requests it had there. Each instance
reaches the verdicts by itself, from what it was told: a lost instance takes no evidence along, and
nothing waits for a message. Each also asks another one every second, which makes up for lost
messages, cuts and its own restart.
"""

import asyncio
import itertools
import logging
import random
import time
from collections.abc import Callable, Collection, Coroutine, Iterable, Mapping
from typing import Any

import xxhash
from attrs import define, field
from returns.result import Result, Success

from rhubarbshed.coordination.requests.crash_quarantine import (
    Admission,
    CrashQuarantine,
    list_keys,
)
from rhubarbshed.protocol.crash_messages import (
    KEYS_PER_MESSAGE,
    BegunPartsMessage,
    CrashMessage,
    CrashQuestion,
    TrialMessage,
)
from rhubarbshed.protocol.exchanges import CallerRequest, ExchangeEnd
from rhubarbshed.protocol.messages import CrashNews, Message
from rhubarbshed.protocol.quarantine import CrashId, Sighting
from rhubarbshed.transport.edge.attempts import Attempt, is_cut_off
from rhubarbshed.transport.edge.crash_news import (
    Incarnation,
    Outbox,
    add_cleared,
    add_sightings,
    collect_all,
    collect_sightings,
    make_crash_id,
    make_messages,
    read_sightings,
)
from rhubarbshed.transport.edge.server_checks import ServerChecks, is_leaving
from rhubarbshed.transport.edge.verdict_store import VerdictStore
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

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

SILENCE_S = 1.0
"""Time without any message from others after which what they have stored is read instead; a holder
sends four a second, and is sent two by each instance."""

REPLY_MESSAGES_MAX = 32
"""Most datagrams in reply to a question."""

ERROR_STATUS_MIN = 500
"""Lowest status of an error, which a faulty server may send without having run the request."""

DIGEST_SHIFT = 11
"""Bits by which a digest is shortened to the numbers that messages carry."""

Address = tuple[str, int]


@define
class CrashCounts:
    """Counts for metrics."""

    sent: int = 0
    received: int = 0
    trials: int = 0
    refused: int = 0


@define(eq=False)
class CrashRegistry:
    """Requests at ended servers as this instance sees them, and what it tells and is told.

    `on_verdict` is called with the key of each new verdict. `measure_silence` returns the seconds
    since another instance sent anything. `is_store_read` is whether the stored verdicts are known.
    """

    send: Callable[..., None]
    checks: ServerChecks
    rng: random.Random
    on_verdict: Callable[[str], None] = lambda key: None
    verdict_store: VerdictStore | None = None
    measure_silence: Callable[[float], float] = lambda now: 0.0
    is_store_read: bool = False
    quarantine: CrashQuarantine = field(factory=CrashQuarantine)
    counts: CrashCounts = field(factory=CrashCounts)
    others: tuple[Address, ...] = ()
    _is_listed: bool = False
    _digest: int | None = None
    _outbox: Outbox = field(factory=dict)
    _begun_parts: dict[str, None] = field(factory=dict)
    _flush: asyncio.TimerHandle | None = None
    _flush_at: float = 0.0
    _tasks: set[asyncio.Task] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Have the ends of servers reported."""
        self.checks.on_ended = self.confirm_end
        self.checks.on_alive = self.rule_out

    def list_values(self) -> dict[str, float]:
        """Return the values for metrics by name."""
        return {
            "quarantine_entries": len(self.quarantine.view.entries),
            "quarantine_stopped": len(self.quarantine.stopped),
            "quarantine_trials": self.counts.trials,
            "quarantine_refused": self.counts.refused,
            "crash_messages_sent": self.counts.sent,
            "crash_messages_received": self.counts.received,
        }

    def admit(self, request: CallerRequest, granted: Collection[str], now: float) -> Admission:
        """Decide whether a request may be sent; announce to others if it is to be a trial."""
        admission = self.quarantine.admit(request, granted, now)
        if admission.stopped_by is not None:
            self.counts.refused += 1
        elif new := sorted(admission.trial_keys.difference(granted)):
            self._send_keys(TrialMessage, new)
        return admission

    async def claim_trial(self, request: CallerRequest, keys: Collection[str]) -> str | None:
        """Claim a trial of all keys before other instances; return a key that stops it, if any."""
        claimed: Result[None, float] = Success(None)
        if self.verdict_store is not None:
            claimed = await self.verdict_store.claim_trial(sorted(keys))
        if isinstance(claimed, Success):
            self.counts.trials += 1
            names = ",".join(sorted(keys))
            log_event(LOG, logging.INFO, "quarantine_trial", request=request.request_id, keys=names)
            return None
        self.quarantine.reserve_trials(keys, time.monotonic(), claimed.failure())
        return next((key for key in sorted(keys) if key in self.quarantine.stopped), None)

    def record_attempt(
        self, request: CallerRequest, attempt: Attempt, end: ExchangeEnd, now: float
    ) -> None:
        """Record what an attempt shows about its request and its server."""
        if is_cut_off(end, attempt):
            self._record_cut(request, attempt, now)
        elif end.may_have_run:
            self.checks.record_alive(attempt.record.key)
            self.rule_out(attempt.record.key, attempt.sent_at)
            if attempt.status < ERROR_STATUS_MIN:
                stopped = [key for key in list_keys(request) if key in self.quarantine.stopped]
                self._tell_cleared(self.quarantine.record_answer(request, now), now)
                self._remove_stored([key for key in stopped if key not in self.quarantine.stopped])

    def _record_cut(self, request: CallerRequest, attempt: Attempt, now: float) -> None:
        record = attempt.record
        if attempt.withdrawn or is_leaving(record):
            return
        crash = make_crash_id(record.key)
        self.quarantine.suspect(request, crash, attempt.sent_at, attempt.begun, now)
        if self.checks.has_ended_since(record.key, attempt.sent_at):
            self.confirm_end(record.key, now)
        else:
            self.checks.check(record)

    def record_begun(self, request: CallerRequest, now: float) -> None:
        """Record that a whole event of the answer to a request has come."""
        self._tell_cleared(self.quarantine.record_begun(request, now), now)

    def confirm_end(self, incarnation: Incarnation, now: float) -> None:
        """Count the end of a server against the requests that it had from here."""
        new = self.quarantine.confirm(make_crash_id(incarnation), now)
        if not new:
            return
        add_sightings(self._outbox, new)
        self._flush_within(COLLECT_S, now)
        self._speak_for(new, now)
        for key in self.quarantine.fresh:
            self._store_verdict(key, now)
        self._note_change()

    def rule_out(self, incarnation: Incarnation, since: float) -> None:
        """Drop suspicions about a server that was found alive."""
        self.quarantine.rule_out(make_crash_id(incarnation), since)

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
        """Ask other instances, read the store where it is due, and drop what is old, forever."""
        if not self.is_store_read:
            await self._read_stored()
        while True:
            await asyncio.sleep(QUESTION_INTERVAL_S * self.rng.uniform(0.8, 1.2))
            now = time.monotonic()
            self.quarantine.forget_old(now)
            if not self.is_store_read or (self.others and self.measure_silence(now) > SILENCE_S):
                await self._read_stored()
            self._digest = None
            if self.others:
                self._ask(1)

    async def _read_stored(self) -> None:
        """Record what other instances have stored."""
        if self.verdict_store is None:
            return
        stored = await self.verdict_store.list_ends()
        if stored is None:
            return
        self.is_store_read = True
        now = time.monotonic()
        for message, age_s in stored:
            self.quarantine.record(read_sightings(message, now - age_s), now)
        self._note_change()

    def _store_verdict(self, key: str, now: float) -> None:
        if self.verdict_store is None or key not in self.quarantine.stopped:
            return
        trial_in_s = self.quarantine.stopped[key].trial_at - now
        ends = list(make_messages(collect_sightings(self.quarantine.view, (key,)), now))
        self._spawn(self.verdict_store.add_verdict(key, ends, trial_in_s))

    def _remove_stored(self, keys: Collection[str]) -> None:
        if keys and self.verdict_store is not None:
            self._spawn(self.verdict_store.remove_verdicts(keys))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def handle_message(self, message: CrashNews, address: Address, now: float) -> None:
        """Apply what another instance told, or reply to its question."""
        self.counts.received += 1
        if isinstance(message, CrashQuestion):
            if message.digest != self.compute_digest():
                self._reply(address, now)
            return
        if isinstance(message, CrashMessage):
            self._apply(message, now)
        else:
            keys = [key.hex() for key in message.keys]
            if isinstance(message, TrialMessage):
                self.quarantine.reserve_trials(keys, now)
            else:
                self.quarantine.record_reported_parts(keys, now)
                for key in keys:
                    self._begun_parts.pop(key, None)
        self._note_change()

    def _apply(self, message: CrashMessage, now: float) -> None:
        incarnation = (message.server_id, message.started_ms)
        crash = make_crash_id(incarnation)
        cleared = [key.hex() for key in message.cleared]
        self.quarantine.clear(dict.fromkeys(cleared, (crash,)), now)
        if crash in self._outbox:
            self._outbox[crash].cleared.difference_update(cleared)
        new = self.quarantine.record(read_sightings(message, now), now)
        self._speak_for(new, now)
        if message.sightings:
            self.confirm_end(incarnation, now)

    def _speak_for(self, sightings: Iterable[tuple[str, Sighting]], now: float) -> None:
        """Tell others of answers that have begun on parts which were at an ended server."""
        refuted = {
            key: (sighting.crash,)
            for key, sighting in sightings
            if self.quarantine.is_refuted(key, sighting)
        }
        self.quarantine.clear(refuted, now)
        self._tell_cleared(refuted, now)
        due = [key for key, _ in sightings if self.quarantine.begun.is_report_due(key, now)]
        if due:
            self._begun_parts |= dict.fromkeys(due)
            self._flush_within(self.rng.uniform(0.0, CLEAR_DELAY_S), now)

    def _tell_cleared(self, cleared: Mapping[str, Iterable[CrashId]], now: float) -> None:
        if not cleared:
            return
        add_cleared(self._outbox, cleared)
        self._flush_within(self.rng.uniform(0.0, CLEAR_DELAY_S), now)
        self._note_change()

    def _note_change(self) -> None:
        """Act on new verdicts; what is known has a new digest."""
        self._digest = None
        fresh, self.quarantine.fresh = self.quarantine.fresh, []
        for key in fresh:
            if key in self.quarantine.stopped:
                self.on_verdict(key)

    def compute_digest(self) -> int:
        """Return a digest of all entries, equal for instances that know the same."""
        if self._digest is None:
            view = self.quarantine.view
            marks = (
                f"{key}{entry.cleared}{sorted(view.sightings.get(key, ()))}"
                for key, entry in sorted(view.entries.items())
            )
            self._digest = xxhash.xxh3_64_intdigest("\n".join(marks).encode()) >> DIGEST_SHIFT
        return self._digest

    def _ask(self, count: int) -> None:
        question = CrashQuestion(self.compute_digest())
        self._send(question, *self.rng.sample(self.others, count))

    def _reply(self, address: Address, now: float) -> None:
        """Send all that is known, what the verdicts rest on first."""
        outbox = collect_all(self.quarantine.view, self.quarantine.stopped)
        for message in itertools.islice(make_messages(outbox, now), REPLY_MESSAGES_MAX):
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
        if outbox:
            asyncio.get_running_loop().call_later(REPEAT_S, self._send_news, outbox)
        parts, self._begun_parts = list(self._begun_parts), {}
        self.quarantine.record_reported_parts(parts, time.monotonic())
        self._send_keys(BegunPartsMessage, parts)
        self._note_change()

    def _send_news(self, outbox: Outbox) -> None:
        for message in make_messages(outbox, time.monotonic()):
            self._send(message, *self.others)

    def _send_keys(self, kind: type[TrialMessage | BegunPartsMessage], keys: list[str]) -> None:
        packed = tuple(bytes.fromhex(key) for key in keys)
        for start in range(0, len(packed), KEYS_PER_MESSAGE):
            self._send(kind(packed[start : start + KEYS_PER_MESSAGE]), *self.others)

    def _send(self, message: Message, *addresses: Address) -> None:
        self.send(message, *addresses)
        self.counts.sent += len(addresses)
