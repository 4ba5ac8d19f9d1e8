"""Comparison of designs for the order of requests over all instances, without a network.

    python -m tools.turn_play

Requests come in at many instances, whose news of the servers is some tenths of a second old.
"""

import enum
import heapq
import itertools
import random
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from rhubarbshed.coordination.serving.choice import QUEUE_FRACTION
from rhubarbshed.coordination.serving.slot_waits import (
    Returns,
    SlotRate,
    can_be_served,
    estimate_wait,
    measure_queue_fraction,
)
from rhubarbshed.coordination.serving.turns import Need, Ticket, Turns

NEED = Need("svc")
POLL_S = 0.03
POLL_MAX_S = 1.0
HONOURED_FRACTION = 1 / 3
"""Part of its time left up to which a caller waits as it is asked to."""


class Design(enum.Enum):
    """Who orders requests."""

    POLL = "each request polls"
    INSTANCE = "scheduler in each instance"
    SHORT = "scheduler, short queues at servers"
    ENGINE = "scheduler, short queues by priority"
    CENTRE = "scheduler, slots split by data centre"
    GLOBAL = "one scheduler with all news"


@frozen
class Kind:
    """Requests that come in alike; `at_once` callers retry without regard to the time asked."""

    route: str
    rate_per_s: float
    target_s: float
    rank: int
    account: str = ""
    run_s: float = 0.8
    timeout_s: float = 4.0
    burst_at: float | None = None
    burst: int = 0
    at_once: bool = False


@define(eq=False)
class Request:
    """Request of a kind at one instance."""

    kind: Kind
    instance: int
    sent_at: float
    tries: int = 1
    started_at: float | None = None
    ticket: Ticket | None = None


@define(eq=False)
class Server:
    """Server with slots and a queue of as many again."""

    slots: int
    running: int = 0
    queue: list[tuple[int, int, Request]] = field(factory=list)

    @property
    def load(self) -> int:
        """Requests running and waiting."""
        return self.running + len(self.queue)


@define(slots=False)
class Play:
    """One play of some kinds of requests under one design."""

    design: Design
    kinds: tuple[Kind, ...]
    instances: int = 30
    servers: int = 16
    slots: int = 12
    seconds: float = 20.0
    news_s: float = 0.25
    lost: int = 0
    lost_at: float = 8.0
    seed: int = 1
    now: float = 0.0
    requests: list[Request] = field(factory=list)
    rejected: int = 0

    def run(self) -> "Play":
        """Play all requests to their ends."""
        self.rng = random.Random(self.seed)
        self.fleet = [Server(self.slots) for _ in range(self.servers)]
        if self.design is Design.GLOBAL:
            self.instances = 1
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.turns = [Turns() for _ in range(self.instances)]
        self.returns = [Returns() for _ in range(self.instances)]
        self.waiting: list[dict[Ticket, Request]] = [{} for _ in range(self.instances)]
        self.news = [0] * self.servers
        self.sent = [[0] * self.servers for _ in range(self.instances)]
        for kind in self.kinds:
            self._schedule_kind(kind)
        self._refresh()
        self._at(self.lost_at, self._lose)
        while self.events:
            self.now, _, act = heapq.heappop(self.events)
            act()
        return self

    def measure_on_time(self, route: str, account: str | None = None) -> float:
        """Return the part of a route's requests whose run began within their target."""
        found = [
            each
            for each in self.requests
            if each.kind.route == route and account in (None, each.kind.account)
        ]
        met = sum(
            each.started_at is not None and each.started_at - each.sent_at <= each.kind.target_s
            for each in found
        )
        return met / max(1, len(found))

    def measure_served(self, account: str) -> float:
        """Return the part of an account's requests that were served, in time or not."""
        found = [each for each in self.requests if each.kind.account == account]
        return sum(each.started_at is not None for each in found) / max(1, len(found))

    def measure_late_wait(self, route: str) -> float:
        """Return the 99th percentile of the time from a request to its run."""
        waits = sorted(
            each.started_at - each.sent_at
            for each in self.requests
            if each.kind.route == route and each.started_at is not None
        )
        return waits[int(0.99 * len(waits))] if waits else 0.0

    def _at(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.events, (at, next(self.numbers), act))

    def _schedule_kind(self, kind: Kind) -> None:
        at = 0.0
        while kind.rate_per_s and (at := at + self.rng.expovariate(kind.rate_per_s)) < self.seconds:
            self._at(at, lambda: self._come(Request(kind, self._draw(), self.now)))
        for _ in range(kind.burst):
            self._at(kind.burst_at, lambda: self._come(Request(kind, self._draw(), self.now)))

    def _draw(self) -> int:
        return self.rng.randrange(self.instances)

    def _lose(self) -> None:
        for server in self.fleet[: self.lost]:
            server.slots = 0

    def _refresh(self) -> None:
        self.news = [server.load for server in self.fleet]
        self.sent = [[0] * self.servers for _ in range(self.instances)]
        for instance in range(self.instances):
            self._decide(instance)
        if self.now < self.seconds + 10.0:
            self._at(self.now + self.news_s, self._refresh)

    def _come(self, request: Request) -> None:
        if request.tries == 1:
            self.requests.append(request)
        kind, returns = request.kind, self.returns[request.instance]
        may_wait_s = 0.5 * kind.target_s
        request.ticket = Ticket(
            NEED,
            kind.route,
            kind.account,
            (kind.rank,),
            self.now,
            self.now + kind.target_s,
            self.now + may_wait_s,
            kind.run_s,
            returns=returns.take_return(kind.account, kind.route, self.now),
        )
        if self.design is Design.POLL:
            self._poll(request, self.now + min(POLL_MAX_S, may_wait_s))
            return
        turns = self.turns[request.instance]
        turns.count_request(request.ticket, self.now)
        if not turns.has_waiting(NEED) and self._try(request, request.ticket):
            return
        rate = self._measure_rate(request.instance)
        wait_s = estimate_wait(turns.find_position(request.ticket, self.now), rate)
        if not can_be_served(wait_s, may_wait_s):
            self._refuse(request)
            return
        self.waiting[request.instance][request.ticket] = request
        for evicted in turns.wait(request.ticket, self.now):
            self._refuse(self.waiting[request.instance].pop(evicted))
        self._at(request.ticket.until, lambda: self._decide(request.instance))
        self._decide(request.instance)

    def _measure_rate(self, instance: int) -> SlotRate:
        all_per_s = sum(server.slots for server in self.fleet) / self.kinds[0].run_s
        return SlotRate(max(0.01, all_per_s), max(0.01, all_per_s / self.instances))

    def _poll(self, request: Request, until: float) -> None:
        if self._try(request, request.ticket):
            return
        if self.now >= until:
            self._refuse(request)
            return
        self._at(self.now + POLL_S, lambda: self._poll(request, until))

    def _list_free(self, instance: int, ticket: Ticket) -> list[int]:
        fraction = QUEUE_FRACTION
        if self.design in (Design.ENGINE, Design.CENTRE, Design.SHORT):
            fraction = measure_queue_fraction(ticket, self.now)
        if self.design is Design.GLOBAL:
            fraction = 0.0
            self.news, self.sent = [each.load for each in self.fleet], [[0] * self.servers]
        own = range(self.servers)
        if self.design is Design.CENTRE:
            own = [each for each in own if each % 3 == instance % 3]
        return [
            each
            for each in own
            if self.news[each] + self.sent[instance][each]
            < self.fleet[each].slots * (1.0 + fraction)
        ]

    def _try(self, request: Request, ticket: Ticket) -> bool:
        free = self._list_free(request.instance, ticket)
        if not free:
            return False
        sent = self.sent[request.instance]
        several = self.rng.sample(free, min(2, len(free)))
        chosen = min(several, key=lambda each: self.news[each] + sent[each])
        sent[chosen] += 1
        self.turns[request.instance].count_turn(ticket, self.now)
        server = self.fleet[chosen]
        if server.load >= 2 * server.slots:
            self.rejected += 1
            self._refuse(request)
            return True
        number = next(self.numbers)
        rank = request.kind.rank if self.design is Design.ENGINE else 0
        heapq.heappush(server.queue, (rank, number, request))
        self._start(server)
        return True

    def _start(self, server: Server) -> None:
        while server.queue and server.running < server.slots:
            _, _, request = heapq.heappop(server.queue)
            server.running += 1
            request.started_at = self.now
            run_s = self.rng.uniform(0.5, 1.5) * request.kind.run_s
            self._at(self.now + run_s, lambda found=request: self._end(server, found))

    def _end(self, server: Server, request: Request) -> None:
        server.running -= 1
        self._start(server)
        number = self.fleet.index(server)
        # The answer states the load, and the instance that gets it knows of the free slot.
        self.sent[request.instance][number] = server.load - self.news[number]
        self._decide(request.instance)

    def _decide(self, instance: int) -> None:
        turns = self.turns[instance]

        def is_free(ticket: Ticket) -> bool:
            return bool(self._list_free(instance, ticket))

        while picked := turns.pick(is_free, self.now):
            for ticket in picked:
                self._try(self.waiting[instance].pop(ticket), ticket)
        for ticket in turns.list_expired(self.now):
            turns.leave(ticket)
            self._refuse(self.waiting[instance].pop(ticket))

    def _refuse(self, request: Request) -> None:
        left_s = request.sent_at + request.kind.timeout_s - self.now
        if request.tries > 1:
            return
        retry_in_s = 0.0
        if self.design is Design.POLL:
            retry_in_s = 0.3 * self.rng.uniform(1.0, 1.5)
        elif request.ticket is not None:
            rate = self._measure_rate(request.instance)
            position = self.turns[request.instance].find_position(request.ticket, self.now)
            wait_s = estimate_wait(position, rate)
            returns = self.returns[request.instance]
            retry_in_s = returns.ask_back(request.ticket, wait_s, rate, self.rng, self.now)
        if request.kind.at_once:
            retry_in_s = 0.0
        elif retry_in_s > left_s * HONOURED_FRACTION:
            return
        request.tries, request.instance = 2, self._draw()
        self._at(self.now + retry_in_s, lambda: self._come(request))


URGENT = Kind("urgent", 190.0, 0.3, 0)
PATIENT = Kind("patient", 38.0, 6.0, 2, timeout_s=12.0)
PATTERNS: dict[str, tuple[tuple[Kind, ...], dict]] = {
    "steady at 0.95": ((URGENT, PATIENT), {}),
    "burst of 400 patient": ((URGENT, evolve(PATIENT, burst_at=5.0, burst=400)), {}),
    "overload of 1.25": ((evolve(URGENT, rate_per_s=250.0), evolve(PATIENT, rate_per_s=50.0)), {}),
    "a sixth of the servers lost": ((URGENT, PATIENT), {"lost": 3}),
}


def main() -> None:
    """Print a table of the designs."""
    print(f"{'pattern':28} {'design':44} urgent patient  p99 urgent  rejected")
    for name, (kinds, changes) in PATTERNS.items():
        for design in Design:
            plays = [Play(design, kinds, seed=seed, **changes).run() for seed in (1, 2, 3)]
            urgent, patient, late = (
                sum(found) / len(plays)
                for found in zip(
                    *(
                        (
                            play.measure_on_time("urgent"),
                            play.measure_on_time("patient"),
                            play.measure_late_wait("urgent"),
                        )
                        for play in plays
                    ),
                    strict=True,
                )
            )
            rejected = sum(play.rejected for play in plays) / len(plays)
            print(
                f"{name:28} {design.value:44} {urgent:6.1%} {patient:7.1%} "
                f"{late:8.2f} s {rejected:9.0f}"
            )


if __name__ == "__main__":
    main()
