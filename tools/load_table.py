"""Compare choices of a server under old load information, in a simulation without a network.

Instances choose by the product's own functions among plain servers; each server announces its load
to all instances once in the given age, and to the instance that it answers.
"""

import collections
import heapq
import itertools
import math
import random
from collections.abc import Callable

import typer
from attrs import define, field, frozen

from rhubarbshed.coordination.serving.choice import Choice, NoServer, choose_server
from rhubarbshed.coordination.serving.expected_time import RequestPace
from rhubarbshed.protocol.servers import ServerEntry, ServerState
from rhubarbshed.state.membership.fleet import Fleet
from rhubarbshed.state.membership.server_speed import DISTURBANCE_FACTOR
from rhubarbshed.util.rendezvous import weigh

SLOTS = 6
RUN_S = 0.06
RETRY_S = 0.03
WARM_S = 3.0
CENTRES = 3
SPEEDS = {"equal": (1.0, 1.0, 1.0), "unequal": (0.6, 1.0, 1.6), "disturbed": (0.6, 1.0, 1.6)}
UTILISATIONS = {"equal": 0.7, "unequal": 0.7, "disturbed": 0.35}
"""Mean part of the slots that work takes; a disturbed server with more cannot keep up."""

BURST_FACTOR, BURST_S, BURST_SHARE = 2.0, 0.3, 0.25
"""Arrivals of a burst over the mean, its length, and the part of the time in bursts."""

DISTURBANCE_S = 0.3
DISTURBANCE_SHARE = 0.1
POLICIES = ("ideal", "random", "shares", "present", "expected", "new", "subset")
"""`shares` are fixed by capacity, `present` is the choice without speeds and spreading, `expected`
the less loaded of two by expected time, `new` the choice by load interpretation. With `subset` each
instance chooses so among one server, drawn by capacity, and among all while that one is full."""

KEPT_S = 1.5
"""Time for which an idle connection is kept, if servers state a keep-alive time of 2 s."""


@frozen
class Case:
    """One simulation."""

    instances: int
    age_s: float
    speeds: str
    bursty: bool
    utilisation: float = 0.7
    servers: int = 3
    seconds: float = 30.0
    seed: int = 1


@define
class Server:
    """Simulated server: busy slots, and the arrival times of waiting requests."""

    entry: ServerEntry
    slowness: float
    factor: float = 1.0
    running: int = 0
    waiting: collections.deque = field(factory=collections.deque)

    @property
    def load(self) -> int:
        """Return the requests running and waiting."""
        return self.running + len(self.waiting)


@define
class Totals:
    """Measured sums of a simulation."""

    waits: list[float] = field(factory=list)
    idle: float = 0.0
    excess: float = 0.0
    seconds: float = 0.0
    requests: int = 0
    opened: int = 0

    def add(self, servers: list[Server], took_s: float) -> None:
        """Add a time in which nothing changed."""
        waiting = sum(len(server.waiting) for server in servers)
        free = SLOTS * len(servers) - sum(server.running for server in servers)
        loads = [server.load / SLOTS for server in servers]
        self.idle += took_s * min(free, waiting)
        self.excess += took_s * (max(loads) - sum(loads) / len(loads))
        self.seconds += took_s


@define
class Simulation:
    """State of one simulation under one policy."""

    case: Case
    policy: str
    rng: random.Random
    servers: list[Server]
    fleets: list[Fleet]
    totals: Totals = field(factory=Totals)
    kept: dict = field(factory=lambda: collections.defaultdict(list))
    events: list = field(factory=list)
    now: float = 0.0
    count: int = 0

    @classmethod
    def from_case(cls, case: Case, policy: str) -> "Simulation":
        """Create the servers, and the view that each instance has of them."""
        speeds = SPEEDS[case.speeds]
        servers = [
            Server(make_entry(number), speeds[number % len(speeds)])
            for number in range(case.servers)
        ]
        fleets = [Fleet() for _ in range(case.instances)]
        for fleet in fleets:
            for server in servers:
                fleet.apply(server.entry, 0.0)
        return cls(case, policy, random.Random(case.seed), servers, fleets)

    def schedule(self, in_s: float, act: Callable[..., None], *values: object) -> None:
        """Let something happen later."""
        self.count += 1
        heapq.heappush(self.events, (self.now + in_s, self.count, act, values))

    def run(self) -> Totals:
        """Run to the end, and return what was measured after the start."""
        rate = self.case.utilisation * sum(SLOTS / (RUN_S * each.slowness) for each in self.servers)
        self.schedule(0.0, self.arrive, rate)
        for number, server in enumerate(self.servers):
            self.schedule(self.case.age_s * self.rng.random(), self.announce, server)
            if self.case.speeds == "disturbed":
                self.schedule(number, self.disturb, server)
        while self.events and self.now < self.case.seconds:
            at, _, act, values = heapq.heappop(self.events)
            if at > WARM_S:
                self.totals.add(self.servers, at - max(WARM_S, self.now))
            self.now = at
            act(*values)
        return self.totals

    def arrive(self, rate: float) -> None:
        """Let a request arrive at a random instance, and schedule the next one."""
        factor = 1.0
        if self.case.bursty:
            in_burst = self.now % (BURST_S / BURST_SHARE) < BURST_S
            quiet = (1.0 - BURST_FACTOR * BURST_SHARE) / (1.0 - BURST_SHARE)
            factor = BURST_FACTOR if in_burst else quiet
        self.schedule(self.rng.expovariate(rate * factor), self.arrive, rate)
        self.send(self.rng.randrange(len(self.fleets)), self.now)

    def send(self, instance: int, arrived_at: float) -> None:
        """Choose a server; while all are full, choose again as requests do."""
        server, fleet = self.choose(instance), self.fleets[instance]
        if server is None:
            self.schedule(RETRY_S, self.send, instance, arrived_at)
            return
        fleet.get(server.entry.server_id).begin_attempt(self.now)
        self.connect((id(fleet), server.entry.server_id))
        server.waiting.append((arrived_at, fleet))
        self.start_next(server)

    def connect(self, key: tuple[int, str]) -> None:
        """Take the connection that was used last, or open one."""
        kept = self.kept[key] = [at for at in self.kept[key] if self.now - at < KEPT_S]
        self.totals.requests += 1
        if kept:
            kept.pop()
        else:
            self.totals.opened += 1

    def choose(self, instance: int) -> Server | None:
        """Choose a server by the policy."""
        if self.policy == "ideal":
            return min(self.servers, key=self.rank_ideally)
        if self.policy == "random":
            return self.rng.choice(self.servers)
        if self.policy == "shares":
            return self.rng.choices(self.servers, [1.0 / each.slowness for each in self.servers])[0]
        chosen = self.choose_among(instance, self.list_outside(instance))
        if self.policy == "subset" and not isinstance(chosen, Choice):
            chosen = self.choose_among(instance, frozenset())
        return self.find(chosen) if isinstance(chosen, Choice) else None

    def choose_among(self, instance: int, avoid: frozenset[tuple[str, int]]) -> Choice | NoServer:
        """Choose by the product's function among the servers that are not to be avoided."""
        return choose_server(
            self.fleets[instance],
            "svc",
            ("", ""),
            avoid,
            f"z{instance % CENTRES}",
            self.now,
            self.rng,
            instances=len(self.fleets),
            pace=RequestPace(0.3),
            spreads=self.policy in ("new", "subset"),
        )

    def list_outside(self, instance: int) -> frozenset[tuple[str, int]]:
        """Return the servers outside of an instance's subset, by weighted rendezvous hashing."""
        if self.policy != "subset":
            return frozenset()

        def weigh_server(server: Server) -> float:
            part = (weigh(server.entry.server_id, f"i{instance}") + 1) / 2**64
            return math.log(part) * server.slowness

        ranked = sorted(self.servers, key=weigh_server, reverse=True)
        return frozenset(server.entry.incarnation for server in ranked[1:])

    def find(self, chosen: Choice) -> Server:
        """Return the simulated server of a choice."""
        return self.servers[int(chosen.server.entry.server_id[1:])]

    def rank_ideally(self, server: Server) -> tuple[float, float]:
        """Return the rank for a choice that knows everything: free slots, then the speed."""
        slowness = server.slowness * server.factor
        if server.load < SLOTS:
            return server.load / SLOTS, slowness
        return 1.0 + (server.load + 1 - SLOTS) * slowness, slowness

    def start_next(self, server: Server) -> None:
        """Start waiting requests while slots are free."""
        while server.waiting and server.running < SLOTS:
            arrived_at, fleet = server.waiting.popleft()
            server.running += 1
            if self.now > WARM_S:
                self.totals.waits.append(self.now - arrived_at)
            run_s = RUN_S * server.slowness * server.factor
            self.schedule(run_s, self.finish, server, fleet, arrived_at)

    def finish(self, server: Server, fleet: Fleet, arrived_at: float) -> None:
        """End a run, and state the load in its answer."""
        server.running -= 1
        record = fleet.get(server.entry.server_id)
        record.open -= 1
        self.kept[id(fleet), server.entry.server_id].append(self.now)
        record.record_run(self.now - arrived_at)
        record.record_load_sample(
            server.running, len(server.waiting), self.now, self.get_stated(server)
        )
        self.start_next(server)

    def announce(self, server: Server) -> None:
        """Announce a server's load to all instances."""
        stated = self.get_stated(server)
        for fleet in self.fleets if self.policy not in ("ideal", "random", "shares") else ():
            record = fleet.get(server.entry.server_id)
            record.apply_reported_load(server.load, self.now)
            if stated is not None:
                record.apply_reported_slowness(stated, server.slowness, self.now)
        self.schedule(self.case.age_s, self.announce, server)

    def get_stated(self, server: Server) -> float | None:
        """Return the slowness that a server states; the present choice does not know it."""
        return None if self.policy == "present" else server.slowness * server.factor

    def disturb(self, server: Server) -> None:
        """Begin or end a disturbance."""
        ends = server.factor != 1.0
        server.factor = 1.0 if ends else DISTURBANCE_FACTOR
        usual_s = DISTURBANCE_S * (1.0 / DISTURBANCE_SHARE - 1.0)
        mean_s = usual_s if ends else DISTURBANCE_S
        self.schedule(self.rng.uniform(0.5, 1.5) * mean_s, self.disturb, server)


def make_entry(number: int) -> ServerEntry:
    """Return the entry of a plain server; data centres take turns."""
    centre = f"z{number % CENTRES}"
    address = ("127.0.0.1", 1)
    return ServerEntry(f"s{number}", "svc", *address, centre, ServerState.READY, SLOTS, "v1")


def find_percentile(values: list[float], part: float) -> float:
    """Return a percentile of measured values."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, math.floor(len(ranked) * part))] if ranked else 0.0


def main(
    instances: str = "3,72,300",
    ages: str = "0.05,0.5,3",
    speeds: str = ",".join(SPEEDS),
    policies: str = ",".join(POLICIES),
    servers: int = 3,
    seconds: float = 30.0,
    seed: int = 1,
) -> None:
    """Print the measured figures for each case and policy."""
    print("instances age_s speeds arrivals policy idle_slots wait_p99_ms excess opened")
    for count, age_s, kind, bursty, policy in itertools.product(
        map(int, instances.split(",")),
        map(float, ages.split(",")),
        speeds.split(","),
        (False, True),
        policies.split(","),
    ):
        case = Case(count, age_s, kind, bursty, UTILISATIONS[kind], servers, seconds, seed)
        totals = Simulation.from_case(case, policy).run()
        arrivals = "bursty" if bursty else "steady"
        idle, excess = (each / totals.seconds for each in (totals.idle, totals.excess))
        wait_ms = 1000 * find_percentile(totals.waits, 0.99)
        opened = totals.opened / max(1, totals.requests)
        case_name = f"{count} {age_s} {kind} {arrivals}"
        print(f"{case_name} {policy} {idle:.3f} {wait_ms:.1f} {excess:.3f} {opened:.2f}")


if __name__ == "__main__":
    typer.run(main)
