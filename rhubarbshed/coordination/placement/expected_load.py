"""Expected output tokens per second within target, as a function of where copies are."""

import math

from attrs import Factory, define

from rhubarbshed.coordination.placement.cluster import ClusterServer, ClusterState, Copy
from rhubarbshed.protocol.placement import ModelDemand

ANSWER_TOKENS_DEFAULT = 240.0
"""Output tokens of a request where none have been counted."""

WAITING_FRACTION_MAX = 0.5
"""Part of requests that may wait for a slot before a server counts as full."""

DEMAND_GROWTH_FACTOR = 1.5
"""Factor of growth that the replicas of an unloaded copy must have room for."""

SPREAD_ROUNDS = 2
"""Times the demand of all models is spread anew, each time given the others."""

Shares = dict[str, float]


@define
class ServerLoad:
    """Hold a server's load and what it takes within target, in output tokens per second."""

    capacity: float
    load: float = 0.0

    @property
    def spare(self) -> float:
        """Return the tokens per second that still fit within target."""
        return max(0.0, self.capacity - self.load)

    @property
    def excess(self) -> float:
        """Return the tokens per second beyond what fits within target."""
        return max(0.0, self.load - self.capacity)

    @property
    def utilisation(self) -> float:
        """Return the load as a part of what fits within target."""
        return self.load / self.capacity


@define
class ExpectedLoad:
    """Hold the load of each server when requests go to the least used copy.

    `shares` gives each model's tokens per second by server.
    """

    cluster: ClusterState
    tokens_per_s: dict[str, float]
    answer_tokens: dict[str, float]
    servers: dict[str, ServerLoad]
    shares: dict[str, Shares] = Factory(dict)

    @classmethod
    def from_cluster(cls, cluster: ClusterState, demand: tuple[ModelDemand, ...]) -> "ExpectedLoad":
        """Spread the demand over the copies that stay, loading ones included."""
        known = sorted(
            (each for each in demand if each.model in cluster.models), key=lambda each: each.model
        )
        answers = {each.model: _estimate_answer_tokens(each) for each in known}
        demanded = {each.model: each.arrivals_per_s * answers[each.model] for each in known}
        states = {
            state.name: ServerLoad(_estimate_capacity(state)) for state in cluster.servers.values()
        }
        expected_load = cls(cluster, demanded, answers, states)
        servers_by_model = {
            name: sorted({copy.server for copy in cluster.list_copies(name)}) for name in demanded
        }
        order = sorted(demanded, key=lambda name: (len(servers_by_model[name]), name))
        for _ in range(SPREAD_ROUNDS):
            for name in order:
                expected_load._spread(name, servers_by_model[name])
        return expected_load

    def estimate_relief(self, name: str) -> float:
        """Return requests per second that one more copy may take off full servers."""
        shares = self.shares.get(name, {})
        tokens = sum(min(share, self.servers[server].excess) for server, share in shares.items())
        return tokens / self.answer_tokens[name]

    def estimate_gain(self, name: str, server: str, freed: float = 0.0) -> float:
        """Return requests per second within target won by one more copy.

        `freed` tokens per second leave that server at the same time.
        """
        state = self.servers[server]
        spare = max(0.0, state.capacity - state.load + freed) / self.answer_tokens[name]
        return min(self.estimate_relief(name), spare)

    def get_share(self, copy: Copy) -> float:
        """Return the tokens per second that a copy serves."""
        return self.shares.get(copy.name, {}).get(copy.server, 0.0)

    def estimate_loss(self, copy: Copy) -> float:
        """Return requests per second that replicas could not take over if demand grew."""
        if copy.name not in self.shares:
            return 0.0
        shares = self.shares[copy.name]
        elsewhere = sum(
            share + self.servers[server].spare
            for server, share in shares.items()
            if server != copy.server
        )
        grown = self.tokens_per_s[copy.name] * DEMAND_GROWTH_FACTOR
        own = self.get_share(copy) + self.servers[copy.server].spare
        return min(own, max(0.0, grown - elsewhere)) / self.answer_tokens[copy.name]

    def add_copy(self, name: str, server: str) -> None:
        """Let a planned copy take its part."""
        self._spread(name, sorted({*self.shares.get(name, {}), server}))

    def remove_copy(self, copy: Copy) -> None:
        """Give a copy's part to its replicas."""
        if copy.name in self.shares:
            left = [server for server in self.shares[copy.name] if server != copy.server]
            self._spread(copy.name, left)

    def _spread(self, name: str, servers: list[str]) -> None:
        """Spread a model's demand so that its servers are used as evenly as can be."""
        for server, share in self.shares.get(name, {}).items():
            self.servers[server].load -= share
        self.shares[name] = self._balance(self.tokens_per_s[name], servers)
        for server, share in self.shares[name].items():
            self.servers[server].load += share

    def _balance(self, tokens_per_s: float, servers: list[str]) -> Shares:
        """Return shares that raise the least used servers to one common level."""
        if len(servers) < 2:
            return {server: tokens_per_s for server in servers}
        order = sorted(servers, key=lambda server: (self.servers[server].utilisation, server))
        load = capacity = level = 0.0
        for number, server in enumerate(order):
            load += self.servers[server].load
            capacity += self.servers[server].capacity
            level = (tokens_per_s + load) / capacity
            following = order[number + 1 : number + 2]
            if not following or level <= self.servers[following[0]].utilisation:
                break
        return {
            server: max(0.0, level * self.servers[server].capacity - self.servers[server].load)
            for server in servers
        }


def _estimate_answer_tokens(demand: ModelDemand) -> float:
    served = demand.arrivals_per_s - demand.refusals_per_s
    if served > 0.0 and demand.tokens_per_s > 0.0:
        return demand.tokens_per_s / served
    return ANSWER_TOKENS_DEFAULT


def _estimate_capacity(state: ClusterServer) -> float:
    """Return the tokens per second at which no more requests than allowed wait for a slot.

    Source: Sakasegawa's approximation of the probability of waiting in an M/M/c queue, 1977.
    """
    exponent = math.sqrt(2.0 * (max(1, state.slots) + 1)) - 1.0
    return max(1.0, state.tokens_per_s) * WAITING_FRACTION_MAX ** (1.0 / exponent)
