"""Requests forwarded to other instances while this one reaches no backend server."""

import logging
import time

from attrs import frozen

from rhubarbshed.coordination.serving.account_access import Refusal
from rhubarbshed.coordination.serving.peer_choice import (
    BROKEN_PAUSE_S,
    DECLINED_PAUSE_S,
    PEERS_ASKED_MAX,
    UNREACHED_MAX,
    Address,
)
from rhubarbshed.coordination.serving.refusals import make_failure
from rhubarbshed.platform.headers import make_forward_headers
from rhubarbshed.protocol.errors import Outcome, RequestError
from rhubarbshed.protocol.exchanges import ExchangeEnd, Headers
from rhubarbshed.protocol.forwarding import LIMITS_UNCONFIRMED_CODE, UNREACHED_CODE
from rhubarbshed.transport.edge.access_checks import check_access, may_send
from rhubarbshed.transport.edge.attempts import Attempt
from rhubarbshed.transport.edge.request_progress import RequestProgress
from rhubarbshed.util.clocks import read_lease_clock
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

RETURN_MARGIN_S = 0.01
"""Part of a request's time that is kept for the way back of the other instance's answer."""

TIME_LEFT_MIN_S = 0.03
"""Time left below which a request is not forwarded."""


OWN_CODES = (*(refusal.value for refusal in Refusal), LIMITS_UNCONFIRMED_CODE)
"""Codes of errors that another instance declines a request with because of its key or length."""


@frozen
class Forwarded:
    """Whether another instance took a request, and the error to answer with, if any."""

    taken: bool
    error: RequestError | None = None


NOT_TAKEN = Forwarded(False)


async def forward(progress: RequestProgress, only_reached: bool = False) -> Forwarded:
    """Offer a request to one instance after the other until one takes it.

    With `only_reached` none is asked for a while after instances that do not reach the servers
    for it either: those are down, and not the links to them.
    """
    forwarder = progress.relay.forwarder
    need = (progress.service, progress.request.model, progress.request.adapter)
    if only_reached and forwarder.peers.is_vain(need, time.monotonic()):
        return NOT_TAKEN
    asked: list[Address] = []
    unreached = 0
    broken = 0
    while len(asked) < PEERS_ASKED_MAX:
        now = time.monotonic()
        address = forwarder.peers.choose(asked, now, forwarder.rng)
        if address is None and not only_reached:
            address = forwarder.peers.choose_paused(asked)
        if address is None or progress.deadline - now < TIME_LEFT_MIN_S:
            break
        if (refused := check_access(progress)) is not None:
            return Forwarded(True, make_error(progress, refused, broken))
        asked.append(address)
        attempt = make_attempt(progress, address, broken)
        end = await run_forwarded(progress, attempt)
        begun_at, now = now, time.monotonic()
        if end is ExchangeEnd.DONE:
            return Forwarded(True)
        if end is ExchangeEnd.WITHHELD:
            continue
        if attempt.declined:
            progress.count_probe_wait(now - begun_at)
        if attempt.declined and attempt.detail == UNREACHED_CODE:
            if not progress.probe_wait_s:
                # It had no time to find out, so the servers do not count as down.
                continue
            unreached += 1
            if unreached >= UNREACHED_MAX:
                forwarder.peers.record_vain(need, now)
                break
            continue
        if attempt.declined and attempt.detail in OWN_CODES:
            # It may take requests with other keys, shorter ones, and those that need no key.
            continue
        if attempt.declined or not end.was_sent:
            pause_s = DECLINED_PAUSE_S if attempt.declined else BROKEN_PAUSE_S
            forwarder.peers.pause(address, pause_s, now)
            continue
        if attempt.instance_error is not None:
            return Forwarded(True, make_error(progress, attempt.instance_error, broken))
        forwarder.peers.pause(address, BROKEN_PAUSE_S, now)
        broken += 1
        if not may_repeat(progress, broken, now):
            break
    if broken:
        return Forwarded(True, make_failure("forward_broken", "another instance broke off"))
    return NOT_TAKEN


def may_repeat(progress: RequestProgress, broken: int, now: float) -> bool:
    """Return whether a request may be sent on after instances that may have taken it broke."""
    route = progress.route
    left = route.attempts_max - progress.tries.run - broken
    may_repeat = route.repeatable and progress.caller_response.may_continue
    allowed = may_repeat and left > 0 and progress.pay_retry(now)
    progress.retry_paid = False
    return allowed


def make_attempt(progress: RequestProgress, address: Address, broken: int) -> Attempt:
    """Return an attempt of a request by way of another instance."""
    forwarder = progress.relay.forwarder
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
        forwarder.pool,
        address,
        progress.caller_response,
        progress.deadline,
        make_headers,
    )
    attempt.may_send = lambda: may_send(progress, read_lease_clock())
    asked_at = time.monotonic()
    attempt.on_leaving = lambda server_id: forwarder.on_leaving(server_id, asked_at)
    return attempt


async def run_forwarded(progress: RequestProgress, attempt: Attempt) -> ExchangeEnd:
    """Send a request to another instance and relay its answer."""
    forwarder = progress.relay.forwarder
    begun_at = time.monotonic()
    progress.last_attempt = attempt
    progress.in_flight = True
    forwarder.peers.open[attempt.address] += 1
    try:
        end = await attempt.run(may_retry=False)
    finally:
        forwarder.peers.open[attempt.address] -= 1
    # A timeout leaves this true: a server may be running the request.
    progress.in_flight = False
    name = "declined" if attempt.declined else end.value
    forwarder.metrics.count_forward(name)
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


def make_error(progress: RequestProgress, error: RequestError, broken: int) -> RequestError:
    """Return the error of another instance, which knows only of its own attempts.

    The request may have run before it was sent there, here or at `broken` other instances.
    """
    if error.outcome is Outcome.NOT_RUN and (progress.tries.run or broken):
        return make_failure(error.code, "the backend server gave no whole answer")
    return error
