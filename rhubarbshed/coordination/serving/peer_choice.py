"""Choice of the instance that serves a request in place of one that is cut off.

Failure: the links of this instance to all backend servers are cut. Others may be cut off as well,
most of a data centre's even, or stopping; they say so, and are left alone for a while.
"""

import collections
import random
from collections.abc import Collection, Mapping

from attrs import define, field

Address = tuple[str, int]

PEERS_ASKED_MAX = 4
"""Instances that one request is offered to; a declined offer costs a round trip."""

NEAR_PEERS_ASKED_MAX = 2
"""Instances of the own data centre that one request is offered to before those of others."""

NEAR_PEERS_QUESTIONED = 3
FAR_PEERS_QUESTIONED = 3
"""Instances of the own data centre and of others that are asked together whether they reach
servers; most of a data centre may be cut off."""

DECLINED_PAUSE_S = 0.5
BROKEN_PAUSE_S = 1.0
"""Time without requests to an instance that declined one, or that did not answer."""

UNREACHED_MAX = 2
VAIN_PAUSE_S = 0.5
VAIN_MAX = 1_000
"""Instances that do not reach the servers for a request either, after which they count as down;
the time without offers of such requests then, and how many kinds of them are remembered."""

SAMPLED_PEERS = 2
"""Instances drawn for comparison; taking the one with fewer requests spreads them evenly."""


@define
class PeerStates:
    """Other instances by data centre, as far as requests may go there.

    `open` counts the requests that this instance has at each, `paused_until` is monotonic seconds.
    `vain_until` names (service, model, adapter) whose servers no instance asked lately reached.
    """

    data_centre: str
    instances: dict[str, tuple[Address, ...]] = field(factory=dict)
    open: collections.Counter[Address] = field(factory=collections.Counter)
    paused_until: dict[Address, float] = field(factory=dict)
    vain_until: dict[tuple[str, str, str], float] = field(factory=dict)

    def learn_instances(self, instances: Mapping[str, Collection[Address]]) -> None:
        """Record all other instances."""
        self.instances = {name: tuple(group) for name, group in instances.items()}
        known = {address for group in self.instances.values() for address in group}
        for address in [each for each in self.paused_until if each not in known]:
            del self.paused_until[address]

    def is_instance(self, host: str) -> bool:
        """Return whether an instance has the address."""
        return any(host == each[0] for group in self.instances.values() for each in group)

    def pause(self, address: Address, pause_s: float, now: float) -> None:
        """Leave an instance alone for a while."""
        self.paused_until[address] = now + pause_s

    def record_vain(self, need: tuple[str, str, str], now: float) -> None:
        """Record that other instances do not reach the servers for a kind of request either."""
        if len(self.vain_until) >= VAIN_MAX:
            self.vain_until.clear()
        self.vain_until[need] = now + VAIN_PAUSE_S

    def is_vain(self, need: tuple[str, str, str], now: float) -> bool:
        """Return whether no other instance would reach the servers for a kind of request."""
        return self.vain_until.get(need, 0.0) > now

    def choose_paused(self, asked: Collection[Address]) -> Address | None:
        """Choose the instance whose pause ends first, for a request that would be refused."""
        paused = [address for address in self.paused_until if address not in asked]
        return min(paused, key=self.paused_until.__getitem__, default=None)

    def draw_questioned(self, rng: random.Random) -> list[Address]:
        """Draw the instances to ask whether they reach servers."""
        near = self.instances.get(self.data_centre, ())
        far = [
            address
            for name, group in self.instances.items()
            if name != self.data_centre
            for address in group
        ]
        return [
            *rng.sample(near, min(NEAR_PEERS_QUESTIONED, len(near))),
            *rng.sample(far, min(FAR_PEERS_QUESTIONED, len(far))),
        ]

    def choose(self, asked: Collection[Address], now: float, rng: random.Random) -> Address | None:
        """Choose an instance that was not asked yet, one of the own data centre if possible."""
        near, far = [], []
        for name, group in self.instances.items():
            usable = [
                each
                for each in group
                if each not in asked and self.paused_until.get(each, 0.0) <= now
            ]
            (near if name == self.data_centre else far).extend(usable)
        asked_near = sum(each in asked for each in self.instances.get(self.data_centre, ()))
        candidates = near if near and (asked_near < NEAR_PEERS_ASKED_MAX or not far) else far
        if not candidates:
            return None
        sampled = rng.sample(candidates, min(SAMPLED_PEERS, len(candidates)))
        return min(sampled, key=lambda address: self.open[address])
