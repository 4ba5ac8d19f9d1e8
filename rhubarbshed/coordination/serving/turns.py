"""Order in which the requests that wait at an instance get the next free slot.

Load patterns: a burst of latency-tolerant work ahead of urgent work, one account with several times
its usual load, servers that are lost, and callers that come back together. Requests that poll for a
slot each on their own get it at random, whatever their priority and target are.
"""

import enum
import math
from collections.abc import Callable

from attrs import define, field, frozen

from rhubarbshed.coordination.serving.shares import Group, ServiceShares

PATIENT_TARGET_S = 1.0
"""Target from which a request is latency-tolerant: it yields to those with a shorter one."""

DUE_SLACK_S = 1.0
"""Time before the last moment for its target at which a latency-tolerant request is due: it has to
suffice for some requests that become due together, which get every second turn."""

RUN_FRACTION_MAX = 0.5
"""Largest part of its target that a request's answer is expected to take once it has its slot: the
target of a stream is that of its first event, and the rest of the target is for the wait."""

WAITING_MAX = 1_024
WAITING_BYTES_MAX = 16_777_216
"""Most requests that wait at an instance, and the bytes of their bodies together; the smallest
instances have 150 MB."""


@frozen
class Need:
    """What a request needs of a server.

    `version` binds the rest of a stream, and `avoided` are servers that it was at already.
    """

    service: str
    model: str = ""
    adapter: str = ""
    version: str | None = None
    avoided: frozenset[tuple[str, int]] = frozenset()


class Urgency(enum.IntEnum):
    """How soon a request needs its slot."""

    OWED = 0
    DUE = 1
    URGENT = 2
    DUE_AFTER_URGENT = 3
    PATIENT = 4


@frozen(eq=False)
class Ticket:
    """Request that waits for a slot; times in monotonic seconds.

    `rank` is its priority, the lowest first. Its run takes `run_s`, its target is `target_at`, and
    it may wait until `until`. `cost` is what it takes, in slots, and `weight`
    what its account is entitled to in proportion to others. `returns` is whether its caller was
    refused and came back when it was asked to.
    """

    need: Need
    route: str
    account: str
    rank: tuple[int, ...]
    arrived_at: float
    target_at: float
    until: float
    run_s: float = 0.0
    returns: bool = False
    cost: float = 1.0
    weight: float = 1.0
    body_bytes: int = 0
    groups: tuple[Group, ...] = field(init=False)

    @groups.default
    def _list_groups(self) -> tuple[Group, ...]:
        return ("route", self.route), ("account", self.account)

    @property
    def is_patient(self) -> bool:
        """Whether the request is latency-tolerant."""
        return self.target_at - self.arrived_at >= PATIENT_TARGET_S

    def measure_slack(self, now: float) -> float:
        """Return the seconds for which it may still wait and be answered in time."""
        answer_s = min(self.run_s, RUN_FRACTION_MAX * (self.target_at - self.arrived_at))
        return min(self.target_at - answer_s, self.until) - now

    def yields(self, now: float) -> bool:
        """Return whether it yields to urgent requests, also to those of other instances."""
        return self.is_patient and self.measure_slack(now) > DUE_SLACK_S

    def find_due(self, now: float) -> float:
        """Return when it yields no longer, inf if it does not now."""
        return now + self.measure_slack(now) - DUE_SLACK_S if self.yields(now) else math.inf


@frozen
class Position:
    """Place of a request among those that wait, with the figures behind it.

    `ahead` requests for the same servers go first, of all services' turns `turns` pass before it.
    """

    ahead: int
    turns: float
    urgency: Urgency
    account_used: float


Key = tuple[Urgency, tuple[int, ...], float, bool, float]


@define
class Turns:
    """Requests that wait at an instance, by service, and the shares of their accounts and routes.

    `held` wait for something else, such as a load, and count towards the bounds as well.
    `due_went_last` names the services whose last turn was that of a latency-tolerant request.
    """

    waiting: dict[str, list[Ticket]] = field(factory=dict)
    shares: dict[str, ServiceShares] = field(factory=dict)
    held: set[Ticket] = field(factory=set)
    due_went_last: set[str] = field(factory=set)
    count: int = 0
    body_bytes: int = 0

    def find_shares(self, service: str) -> ServiceShares:
        """Return the shares in a service."""
        found = self.shares.get(service)
        if found is None:
            found = self.shares[service] = ServiceShares()
        return found

    def wait(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Add a request; return those that no longer fit, the least urgent, maybe itself."""
        self.waiting.setdefault(ticket.need.service, []).append(ticket)
        self._add(ticket, 1)
        evicted = []
        while self.waiting and self._is_over(0):
            everyone = [each for tickets in self.waiting.values() for each in tickets]
            last = max(everyone, key=lambda each: self.make_key(each, now))
            self.leave(last)
            evicted.append(last)
        return evicted

    def leave(self, ticket: Ticket) -> None:
        """Remove a request that waits no longer; one that does not wait is left out."""
        tickets = self.waiting.get(ticket.need.service, [])
        if ticket not in tickets:
            return
        tickets.remove(ticket)
        if not tickets:
            del self.waiting[ticket.need.service]
        self._add(ticket, -1)

    def hold(self, ticket: Ticket) -> bool:
        """Count a request that waits for something else; return whether there is room for it."""
        if ticket in self.held:
            return True
        if self._is_over(1, ticket.body_bytes):
            return False
        self.held.add(ticket)
        self._add(ticket, 1)
        return True

    def let_go(self, ticket: Ticket) -> None:
        """Count a request no longer that waited for something else."""
        if ticket in self.held:
            self.held.remove(ticket)
            self._add(ticket, -1)

    def _add(self, ticket: Ticket, sign: int) -> None:
        self.count += sign
        self.body_bytes += sign * ticket.body_bytes

    def _is_over(self, more: int, body_bytes: int = 0) -> bool:
        return self.count + more > WAITING_MAX or self.body_bytes + body_bytes > WAITING_BYTES_MAX

    def has_waiting(self, need: Need) -> bool:
        """Return whether any request waits for these servers."""
        return any(each.need == need for each in self.waiting.get(need.service, ()))

    def pick(self, is_free: Callable[[Ticket], bool], now: float) -> list[Ticket]:
        """Take the next request of each service that a server is free for; they wait no longer.

        Those that may not wait any longer are left to `list_expired`. A further one may be picked
        once the one before has chosen its server, as that may have taken the only slot.
        """
        picked = []
        for service, tickets in list(self.waiting.items()):
            full: set[tuple[Need, bool]] = set()
            for ticket in sorted(tickets, key=lambda each: self.make_key(each, now)):
                kind = (ticket.need, ticket.yields(now))
                if now >= ticket.until or kind in full:
                    continue
                if is_free(ticket):
                    self.leave(ticket)
                    self._note_due(service, ticket, now)
                    picked.append(ticket)
                    break
                full.add(kind)
        return picked

    def list_expired(self, now: float) -> list[Ticket]:
        """List the requests that may not wait any longer."""
        return [each for tickets in self.waiting.values() for each in tickets if now >= each.until]

    def count_request(self, ticket: Ticket, now: float) -> None:
        """Count a request that comes in, whether it waits or not."""
        self.find_shares(ticket.need.service).count_request(ticket.groups, now)

    def count_turn(self, ticket: Ticket, now: float) -> None:
        """Count a request that is sent to a server, whether it has waited or not."""
        shares = self.find_shares(ticket.need.service)
        shares.count_turn(ticket.groups, ticket.account, ticket.cost, ticket.weight, now)

    def find_position(self, ticket: Ticket, now: float) -> Position:
        """Return the place of a request, which need not be waiting yet."""
        shares = self.find_shares(ticket.need.service)
        key = self.make_key(ticket, now)
        ahead = sum(
            1
            for each in self.waiting.get(ticket.need.service, ())
            if each is not ticket and each.need == ticket.need and self.make_key(each, now) < key
        )
        own = sum(
            1
            for each in self.waiting.get(ticket.need.service, ())
            if each is not ticket and (each.route == ticket.route or each.account == ticket.account)
        )
        owed = shares.count_turns_until_owed(ticket.groups) if not own else math.inf
        return Position(ahead, min(ahead, owed), key[0], shares.measure_used(ticket.account))

    def make_key(self, ticket: Ticket, now: float) -> Key:
        """Return the key that orders requests, the lowest first."""
        shares = self.find_shares(ticket.need.service)
        return (
            self._find_urgency(ticket, shares, now),
            ticket.rank,
            shares.measure_used(ticket.account),
            not ticket.returns,
            ticket.arrived_at,
        )

    def _find_urgency(self, ticket: Ticket, shares: ServiceShares, now: float) -> Urgency:
        if shares.is_owed(ticket.groups):
            return Urgency.OWED
        if not ticket.is_patient:
            return Urgency.URGENT
        if ticket.yields(now):
            return Urgency.PATIENT
        # At most every second turn goes to those that are due while urgent ones wait.
        after = ticket.need.service in self.due_went_last
        return Urgency.DUE_AFTER_URGENT if after else Urgency.DUE

    def _note_due(self, service: str, ticket: Ticket, now: float) -> None:
        if ticket.is_patient and not ticket.yields(now):
            self.due_went_last.add(service)
        else:
            self.due_went_last.discard(service)
