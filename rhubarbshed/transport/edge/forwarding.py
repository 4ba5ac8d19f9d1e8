"""Requests forwarded to other instances while this one reaches no backend server."""

import asyncio
import logging
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import define, frozen
from returns.result import Success

from rhubarbshed.coordination.serving.peer_choice import (
    BROKEN_PAUSE_S,
    DECLINED_PAUSE_S,
    PEERS_ASKED_MAX,
    UNREACHED_MAX,
    Address,
    PeerStates,
)
from rhubarbshed.coordination.serving.refusals import make_failure
from rhubarbshed.platform.headers import make_forward_headers
from rhubarbshed.protocol.errors import Outcome, RequestError
from rhubarbshed.protocol.exchanges import ControlCall, ExchangeEnd, Headers
from rhubarbshed.protocol.forwarding import REACHABILITY_TARGET, STATUS_REACHED, UNREACHED_CODE
from rhubarbshed.transport.edge.attempts import Attempt
from rhubarbshed.transport.edge.control import call
from rhubarbshed.transport.edge.metrics import FrontMetrics
from rhubarbshed.transport.edge.pools import Pool
from rhubarbshed.util.logs import log_event

if TYPE_CHECKING:
    from rhubarbshed.transport.edge.relay import RequestProgress

LOG = logging.getLogger(__name__)

RETURN_MARGIN_S = 0.01
"""Part of a request's time that is kept for the way back of the other instance's answer."""

QUESTION_TIMEOUT_S = 0.5
"""Time for another instance to answer whether it reaches servers; it may have to probe them."""

TIME_LEFT_MIN_S = 0.03
"""Time left below which a request is not forwarded."""


@frozen
class Forwarded:
    """Whether another instance took a request, and the error to answer with, if any."""

    taken: bool
    error: RequestError | None = None


NOT_TAKEN = Forwarded(False)


@define(eq=False)
class Forwarder:
    """Forwarding of requests to instances that reach backend servers.

    `on_leaving` is called with the id of a server that says in an answer that it leaves, and the
    monotonic seconds at which the request was sent on.
    A request that an instance may have taken is sent to a further one only if it may be repeated.
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

    async def forward(self, progress: "RequestProgress", only_reached: bool = False) -> Forwarded:
        """Offer a request to one instance after the other until one takes it.

        With `only_reached` none is asked for a while after instances that do not reach the servers
        for it either: those are down, and not the links to them.
        """
        need = (progress.service, progress.request.model, progress.request.adapter)
        if only_reached and self.peers.is_vain(need, time.monotonic()):
            return NOT_TAKEN
        asked: list[Address] = []
        unreached = 0
        broken = 0
        while len(asked) < PEERS_ASKED_MAX:
            now = time.monotonic()
            address = self.peers.choose(asked, now, self.rng)
            if address is None and not only_reached:
                address = self.peers.choose_paused(asked)
            if address is None or progress.deadline - now < TIME_LEFT_MIN_S:
                break
            asked.append(address)
            attempt = self.make_attempt(progress, address, broken)
            end = await self.run(progress, attempt)
            begun_at, now = now, time.monotonic()
            if end is ExchangeEnd.DONE:
                return Forwarded(True)
            if attempt.declined:
                progress.count_probe_wait(now - begun_at)
            if attempt.declined and attempt.detail == UNREACHED_CODE:
                if not progress.probe_wait_s:
                    # It had no time to find out, so the servers do not count as down.
                    continue
                unreached += 1
                if unreached >= UNREACHED_MAX:
                    self.peers.record_vain(need, now)
                    break
                continue
            if attempt.declined or not end.was_sent:
                pause_s = DECLINED_PAUSE_S if attempt.declined else BROKEN_PAUSE_S
                self.peers.pause(address, pause_s, now)
                continue
            if attempt.instance_error is not None:
                return Forwarded(True, make_error(progress, attempt.instance_error, broken))
            self.peers.pause(address, BROKEN_PAUSE_S, now)
            broken += 1
            if not self.may_repeat(progress, broken, now):
                break
        if broken:
            return Forwarded(True, make_failure("forward_broken", "another instance broke off"))
        return NOT_TAKEN

    def may_repeat(self, progress: "RequestProgress", broken: int, now: float) -> bool:
        """Return whether a request may be sent on after instances that may have taken it broke."""
        route = progress.route
        left = route.attempts_max - progress.tries.run - broken
        may_repeat = route.repeatable and progress.caller_response.may_continue
        allowed = may_repeat and left > 0 and progress.pay_retry(now)
        progress.retry_paid = False
        return allowed

    def make_attempt(self, progress: "RequestProgress", address: Address, broken: int) -> Attempt:
        """Return an attempt of a request by way of another instance."""
        attempts_left = max(1, progress.route.attempts_max - progress.tries.run - broken)

        def make_headers(remaining_s: float, after: str) -> Headers:
            return make_forward_headers(
                progress.request,
                remaining_s - RETURN_MARGIN_S,
                after,
                attempts_left,
                progress.probe_wait_s,
            )

        attempt = Attempt(
            self.pool, address, progress.caller_response, progress.deadline, make_headers
        )
        asked_at = time.monotonic()
        attempt.on_leaving = lambda server_id: self.on_leaving(server_id, asked_at)
        return attempt

    async def run(self, progress: "RequestProgress", attempt: Attempt) -> ExchangeEnd:
        """Send a request to another instance and relay its answer."""
        begun_at = time.monotonic()
        progress.last_attempt = attempt
        progress.in_flight = True
        self.peers.open[attempt.address] += 1
        try:
            end = await attempt.run(may_retry=False)
        finally:
            self.peers.open[attempt.address] -= 1
        # A timeout leaves this true: a server may be running the request.
        progress.in_flight = False
        name = "declined" if attempt.declined else end.value
        self.metrics.count_forward(name)
        host, port = attempt.address
        log_event(
            LOG,
            logging.INFO,
            "forwarded",
            request=progress.request.request_id,
            instance=f"{host}:{port}",
            end=name,
            status=attempt.status,
            detail=attempt.detail,
            took_ms=round((time.monotonic() - begun_at) * 1000),
        )
        return end


def make_error(progress: "RequestProgress", error: RequestError, broken: int) -> RequestError:
    """Return the error of another instance, which knows only of its own attempts.

    The request may have run before it was sent there, here or at `broken` other instances.
    """
    if error.outcome is Outcome.NOT_RUN and (progress.tries.run or broken):
        return make_failure(error.code, "the backend server gave no whole answer")
    return error
