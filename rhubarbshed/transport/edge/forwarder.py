"""Other instances that requests may be forwarded to, and questions to them."""

import asyncio
import random
from collections.abc import Callable

from attrs import define
from returns.result import Success

from rhubarbshed.coordination.serving.peer_choice import Address, PeerStates
from rhubarbshed.protocol.exchanges import ControlCall
from rhubarbshed.protocol.forwarding import REACHABILITY_TARGET, STATUS_REACHED
from rhubarbshed.transport.edge.control import call
from rhubarbshed.transport.edge.metrics import FrontMetrics
from rhubarbshed.transport.edge.pools import Pool

QUESTION_TIMEOUT_S = 0.5
"""Time for another instance to answer whether it reaches servers; it may have to probe them."""


@define(eq=False)
class Forwarder:
    """Forwarding of requests to instances that reach backend servers.

    `on_leaving` is called with the id of a server that says in an answer that it leaves, and the
    monotonic seconds at which the request was sent on.
    """

    pool: Pool
    peers: PeerStates
    metrics: FrontMetrics
    rng: random.Random
    on_leaving: Callable[[str, float], None] = lambda server_id, since: None

    async def ask_others(self) -> bool:
        """Return whether another instance reaches a backend server, as soon as one says so."""
        asked = self.peers.draw_questioned(self.rng)
        tasks = [asyncio.create_task(self._ask(address)) for address in asked]
        try:
            for finished in asyncio.as_completed(tasks):
                if await finished:
                    return True
        finally:
            for task in tasks:
                task.cancel()
        return False

    async def _ask(self, address: Address) -> bool:
        sent = ControlCall(b"GET", REACHABILITY_TARGET)
        result = await call(self.pool, address, sent, QUESTION_TIMEOUT_S)
        return isinstance(result, Success) and result.unwrap().status == STATUS_REACHED

    def has_peer(self, now: float) -> bool:
        """Return whether there is an instance that a request may be sent to."""
        return self.peers.choose((), now, self.rng) is not None
