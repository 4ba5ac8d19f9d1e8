"""Continuous batching: sequences share slots and emit one token per token gap."""

import asyncio
import heapq
from collections.abc import Callable
from itertools import count

from attrs import define, field, frozen

COALESCE_S = 0.0005
PREFILL_GAP_FACTOR = 1.25


@frozen
class BatchSettings:
    """Speed and limits of an engine; above `knee` sequences the token gap grows in proportion."""

    slots: int
    token_gap_s: float
    prefill_tokens_per_s: float
    knee: int
    queue_max: int


@define(eq=False)
class Sequence:
    """Request in the engine; `emit(offset, last)` sends one token to its caller."""

    request_id: str
    model: str
    priority: int
    prefill_tokens: int
    offset: int
    tokens_end: int
    emit: Callable[[int, bool], None]
    finish: Callable[[str], None]
    running: bool = False
    ended: bool = False
    next_at: float = 0.0


@define(eq=False)
class Batch:
    """Running and waiting sequences of an engine."""

    settings: BatchSettings
    clock: Callable[[], float]
    running: set[Sequence] = field(factory=set)
    waiting: list[tuple[int, int, Sequence]] = field(factory=list)
    due: list[tuple[float, int, Sequence]] = field(factory=list)
    prefill_until: float = 0.0
    tokens: int = 0
    tie_breakers: count = field(factory=count)
    timer: asyncio.TimerHandle | None = None

    def is_full(self) -> bool:
        """Return whether the queue of waiting sequences is full."""
        return self.count_waiting() >= self.settings.queue_max

    def count_waiting(self) -> int:
        """Return how many sequences wait for a slot."""
        return len(self.waiting)

    def count_waiting_tokens(self) -> int:
        """Return the number of prompt tokens that wait for a slot or for their prefill."""
        queued = sum(entry[2].prefill_tokens for entry in self.waiting)
        left_s = max(0.0, self.prefill_until - self.clock())
        return queued + round(left_s * self.settings.prefill_tokens_per_s)

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence and start it if a slot is free."""
        heapq.heappush(self.waiting, (sequence.priority, next(self.tie_breakers), sequence))
        self._fill_slots()
        self._schedule()

    def remove(self, sequence: Sequence, reason: str = "") -> None:
        """End a sequence early and free its slot; a reason is sent to its caller."""
        if sequence.ended:
            return
        sequence.ended = True
        self.running.discard(sequence)
        self.waiting = [entry for entry in self.waiting if entry[2] is not sequence]
        heapq.heapify(self.waiting)
        if reason:
            sequence.finish(reason)
        self._fill_slots()
        self._schedule()

    def clear(self) -> None:
        """Drop all sequences without notice to their callers."""
        for sequence in self.list_all():
            sequence.ended = True
        self.running.clear()
        self.waiting.clear()
        self.due.clear()
        self.prefill_until = 0.0

    def list_all(self) -> list[Sequence]:
        """Return running and waiting sequences."""
        return [*self.running, *(entry[2] for entry in self.waiting)]

    def measure_gap(self, now: float) -> float:
        """Return the seconds between two tokens of a sequence."""
        gap = self.settings.token_gap_s * max(1.0, len(self.running) / self.settings.knee)
        return gap * PREFILL_GAP_FACTOR if now < self.prefill_until else gap

    def _fill_slots(self) -> None:
        while self.waiting and len(self.running) < self.settings.slots:
            _, _, sequence = heapq.heappop(self.waiting)
            self._start(sequence)

    def _start(self, sequence: Sequence) -> None:
        now = self.clock()
        prefill_s = sequence.prefill_tokens / self.settings.prefill_tokens_per_s
        ready_at = max(now, self.prefill_until) + prefill_s if prefill_s else now
        self.prefill_until = max(self.prefill_until, ready_at)
        sequence.running = True
        self.running.add(sequence)
        self._push(sequence, ready_at)

    def _push(self, sequence: Sequence, at: float) -> None:
        sequence.next_at = at
        heapq.heappush(self.due, (at, next(self.tie_breakers), sequence))

    def _schedule(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.due:
            self.timer = asyncio.get_running_loop().call_at(self.due[0][0], self._step)

    def _step(self) -> None:
        self.timer = None
        now = self.clock()
        gap = self.measure_gap(now)
        while self.due and self.due[0][0] <= now + COALESCE_S:
            _, _, sequence = heapq.heappop(self.due)
            if not sequence.ended:
                self._emit_token(sequence, now, gap)
        self._fill_slots()
        self._schedule()

    def _emit_token(self, sequence: Sequence, now: float, gap: float) -> None:
        offset = sequence.offset
        if offset < sequence.tokens_end:
            sequence.offset += 1
            self.tokens += 1
            sequence.emit(offset, sequence.offset >= sequence.tokens_end)
        if sequence.offset < sequence.tokens_end:
            self._push(sequence, max(now, sequence.next_at + gap))
            return
        sequence.ended = True
        self.running.discard(sequence)
        sequence.finish("length")
