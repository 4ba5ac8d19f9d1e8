"""Expected load of each server, in output tokens per second, for a given placement of copies."""

import math

from attrs import Factory, define

from rhubarbshed.coordination.placement.cluster import ClusterServer, ClusterState, Copy
from rhubarbshed.protocol.placement import ModelDemand

ANSWER_TOKENS_DEFAULT = 240.0
"""Output tokens assumed for a request of a model without counted answers."""

WAITING_FRACTION_MAX = 0.5
"""Fraction of requests that may wait for a slot before a server counts as full."""

DEMAND_GROWTH_FACTOR = 1.5
"""Demand growth that the remaining replicas must be able to serve when a copy is unloaded."""

SPREAD_ROUNDS = 2
"""Passes over all models; each pass redistributes a model given the load of the others."""

Shares = dict[str, float]


@define
class ServerLoad:
    """Load of a server and its capacity within the latency target, in output tokens per second."""

    capacity: float
    load: float = 0.0

    @property
    def spare(self) -> float:
        """Tokens per second that the server can still serve within target."""
        return max(0.0, self.capacity - self.load)

    @property
    def excess(self) -> float:
        """Tokens per second beyond the capacity within target."""
        return max(0.0, self.load - self.capacity)

    @property
    def utilisation(self) -> float:
        """Load as a fraction of the capacity."""
        return self.load / self.capacity


@define
class ExpectedLoad:
    """Load of each server when requests are routed to the least utilised copy.

    `shares` maps each model to its tokens per second by server.
    """

    cluster: ClusterState
    tokens_per_s: dict[str, float]
    answer_tokens: dict[str, float]
    servers: dict[str, ServerLoad]
    shares: dict[str, Shares] = Factory(dict)

    @classmethod
    def from_cluster(cls, cluster: ClusterState, demand: tuple[ModelDemand, ...]) -> "ExpectedLoad":
        """Distribute the demand over the copies that stay, including those still loading."""
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
        """Return the requests per second that one more copy could take over from full servers."""
        shares = self.shares.get(name, {})
        tokens = sum(min(share, self.servers[server].excess) for server, share in shares.items())
        return tokens / self.answer_tokens[name]

    def estimate_gain(self, name: str, server: str, freed: float = 0.0) -> float:
        """Return the additional requests per second served within target with one more copy.

        `freed` is the tokens per second removed from that server at the same time.
        """
        state = self.servers[server]
        spare = max(0.0, state.capacity - state.load + freed) / self.answer_tokens[name]
        return min(self.estimate_relief(name), spare)

    def get_share(self, copy: Copy) -> float:
        """Return the tokens per second that a copy serves."""
        return self.shares.get(copy.name, {}).get(copy.server, 0.0)

    def estimate_loss(self, copy: Copy) -> float:
        """Return the requests per second that the replicas could not take over if demand grew."""
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
        """Redistribute the model's demand to include a planned copy."""
        self._spread(name, sorted({*self.shares.get(name, {}), server}))

    def remove_copy(self, copy: Copy) -> None:
        """Redistribute a removed copy's demand over its replicas."""
        if copy.name in self.shares:
            left = [server for server in self.shares[copy.name] if server != copy.server]
            self._spread(copy.name, left)

    def _spread(self, name: str, servers: list[str]) -> None:
        """Distribute a model's demand so that its servers are utilised as evenly as possible."""
        for server, share in self.shares.get(name, {}).items():
            self.servers[server].load -= share
        self.shares[name] = self._balance(self.tokens_per_s[name], servers)
        for server, share in self.shares[name].items():
            self.servers[server].load += share

    def _balance(self, tokens_per_s: float, servers: list[str]) -> Shares:
        """Return shares that bring the least utilised servers to a common utilisation."""
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
    """Return the tokens per second at which WAITING_FRACTION_MAX of the requests wait for a slot.

    Source: Sakasegawa's approximation of the probability of waiting in an M/M/c queue, 1977.
    """
    exponent = math.sqrt(2.0 * (max(1, state.slots) + 1)) - 1.0
    return max(1.0, state.tokens_per_s) * WAITING_FRACTION_MAX ** (1.0 / exponent)
