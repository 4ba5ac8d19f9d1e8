"""Requests of an instance that wait for a slot, and the events that wake them."""

import asyncio
import math
import time
from collections.abc import Callable

from attrs import define, field

from rhubarbshed.coordination.serving.slot_waits import Returns
from rhubarbshed.coordination.serving.turns import Ticket, Turns
from rhubarbshed.transport.edge.metrics import FrontMetrics
from rhubarbshed.transport.edge.view import View

CHOOSING_MAX_S = 0.05
"""Time in which a request that has its turn is expected to be sent to a server. Until then no other
one of its service is picked, as it may take the only slot."""

TIMER_MIN_S = 0.005
"""Shortest time until the next timer, also if one is due."""

FADE_DELAY_MAX_S = 0.16
"""Longest time until loads are examined again that should have faded; it doubles from the shortest
one with each timer after which no server had room, as that would be a poll."""

GRANTED, EXPIRED, EVICTED, DRAINING = "granted", "expired", "evicted", "draining"


@define(eq=False)
class Waiter:
    """Request that waits; `is_free` returns whether a server has room for it at a time.

    `find_room` returns when one can be expected to have room without further news.
    """

    ticket: Ticket
    is_free: Callable[[float], bool]
    find_room: Callable[[float], float]
    outcome: asyncio.Future[str]


@define(eq=False)
class SlotQueue:
    """Waits for slots, decided on when an attempt ends, a load or entry changes, or time passes.

    `choosing` are the requests whose turn it is, with the time since then, by service.
    """

    view: View
    metrics: FrontMetrics
    turns: Turns = field(factory=Turns)
    returns: Returns = field(factory=Returns)
    waiters: dict[Ticket, Waiter] = field(factory=dict)
    choosing: dict[str, tuple[Ticket, float]] = field(factory=dict)
    _scheduled: bool = False
    _timer: asyncio.TimerHandle | None = None
    _fade_delay_s: float = TIMER_MIN_S

    def __attrs_post_init__(self) -> None:
        """Listen to the events that may make room."""
        self.view.changed.listeners.append(self.wake)
        self.view.loads_changed.listeners.append(self.wake)

    async def wait(
        self,
        ticket: Ticket,
        is_free: Callable[[float], bool],
        find_room: Callable[[float], float],
        now: float,
    ) -> str:
        """Wait for the ticket's turn; return the outcome."""
        outcome = asyncio.get_running_loop().create_future()
        self.waiters[ticket] = Waiter(ticket, is_free, find_room, outcome)
        for evicted in self.turns.wait(ticket, now):
            self._end(evicted, EVICTED)
        self.wake()
        try:
            return await outcome
        finally:
            self.turns.leave(ticket)
            self.waiters.pop(ticket, None)

    def stop_choosing(self, ticket: Ticket) -> None:
        """Let the next request choose, as the one with this ticket has found no server."""
        chooser = self.choosing.get(ticket.need.service)
        if chooser is not None and chooser[0] is ticket:
            del self.choosing[ticket.need.service]

    def note_start(self, ticket: Ticket, now: float) -> None:
        """Count a request that is sent to a server, and let the next one choose."""
        self.turns.count_turn(ticket, now)
        self.stop_choosing(ticket)
        self.wake()

    def wake(self) -> None:
        """Decide on all waits once the current event has been handled."""
        self._fade_delay_s = TIMER_MIN_S
        if self.waiters and not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self.decide)

    def decide(self) -> None:
        """Pick whose turn it is, and end the waits whose time is over."""
        self._scheduled = False
        now = time.monotonic()
        if self.view.drain.started_at is not None:
            for ticket in list(self.waiters):
                self._end(ticket, DRAINING)
            return
        for service, (_, since) in list(self.choosing.items()):
            if now - since >= CHOOSING_MAX_S:
                del self.choosing[service]
        for ticket in self.turns.pick(lambda each: self._is_free(each, now), now):
            self.choosing[ticket.need.service] = (ticket, now)
            self._end(ticket, GRANTED)
        for ticket in self.turns.list_expired(now):
            self._end(ticket, EXPIRED)
        self._set_timer(now)

    def list_values(self) -> dict[str, float]:
        """Return the values of the metrics on what waits."""
        return {
            "slot_waits": self.turns.count,
            "slot_wait_bytes": self.turns.body_bytes,
        }

    def _is_free(self, ticket: Ticket, now: float) -> bool:
        return ticket.need.service not in self.choosing and self.waiters[ticket].is_free(now)

    def _end(self, ticket: Ticket, outcome: str) -> None:
        self.turns.leave(ticket)
        waiter = self.waiters.pop(ticket, None)
        if waiter is not None and not waiter.outcome.done():
            waiter.outcome.set_result(outcome)

    def _set_timer(self, now: float) -> None:
        """Decide again when time alone changes something: a wait ends, or a load has faded."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        times = [each[1] + CHOOSING_MAX_S for each in self.choosing.values()]
        examined = set()
        for ticket, waiter in self.waiters.items():
            times += [ticket.until, ticket.find_due(now)]
            kind = (ticket.need, ticket.yields(now))
            if kind not in examined:
                examined.add(kind)
                times.append(max(waiter.find_room(now), now + self._fade_delay_s))
        due_at = min(times, default=math.inf)
        if self.waiters and due_at < math.inf:
            delay_s = max(TIMER_MIN_S, due_at - now)
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._decide_in_time)

    def _decide_in_time(self) -> None:
        self._fade_delay_s = min(FADE_DELAY_MAX_S, 2.0 * self._fade_delay_s)
        self.decide()
