"""Steps of a request from its caller to a backend server and back, in their order."""

import asyncio
import functools
import time

from attrs import evolve

from rhubarbshed.coordination.serving.choice import (
    Choice,
    NoServer,
    choose_service,
    is_responsive,
    wants_nothing,
)
from rhubarbshed.coordination.serving.final_refusals import measure_confirmation_wait
from rhubarbshed.coordination.serving.refusals import (
    DRAINING_RETRY_S,
    draw_retry_after,
    make_no_route,
    make_refusal,
    make_timeout,
    make_unconfirmed,
    make_unreached,
)
from rhubarbshed.coordination.serving.retry_budget import is_retry_allowed
from rhubarbshed.coordination.serving.start_wait import estimate_first_read, measure_start_wait
from rhubarbshed.protocol.errors import RequestError
from rhubarbshed.protocol.exchanges import ExchangeEnd
from rhubarbshed.transport.edge.access_checks import check_access, is_undecided
from rhubarbshed.transport.edge.caller_responses import CallerResponse
from rhubarbshed.transport.edge.continuations import decide_stream, record_origin
from rhubarbshed.transport.edge.credit_steps import (
    CreditStep,
    give_credit_back,
    pass_account_limit,
)
from rhubarbshed.transport.edge.final_answers import answer_error, give_up
from rhubarbshed.transport.edge.forwarding import NOT_TAKEN, Forwarded, forward
from rhubarbshed.transport.edge.kept_attempts import abandon_kept, may_resume, resume_kept
from rhubarbshed.transport.edge.request_logs import log_end
from rhubarbshed.transport.edge.request_progress import RequestProgress, Stage
from rhubarbshed.transport.edge.server_attempts import (
    check_origin,
    check_start,
    report_ended,
    run_attempt,
)
from rhubarbshed.transport.edge.server_selection import (
    check_quarantine,
    choose_next,
    list_silent,
    measure_patience,
    pass_limit,
    start_second_pass,
    wait_for_load,
    wait_for_room,
)
from rhubarbshed.transport.edge.turn_waits import is_behind

TIME_LEFT_MIN_S = 0.02
"""Time left below which a request is not sent, as no server could answer it."""

TIMEOUT_DEFAULT_S = 30.0
"""Time that a caller has if it states none, where its route has no shorter timeout."""

SECOND_PASS_PAUSE_S = 0.06
"""Pause before servers that failed a request are tried again, about the time of a plain run."""

UNREACHED = (
    ExchangeEnd.NOT_SENT,
    ExchangeEnd.CONNECTION_REFUSED,
    ExchangeEnd.NO_RESPONSE,
    ExchangeEnd.BROKEN,
)
"""Ends of attempts after which the links to servers may be cut."""


async def run_request(progress: RequestProgress) -> None:
    """Find the route, then send the request to servers until one answers or time runs out."""
    view = progress.relay.view
    draining = check_draining(progress, time.monotonic())
    if draining is not None:
        answer_error(progress, draining)
        return
    if await refuse_early(progress):
        return
    if not view.is_known:
        await wait_for_start(progress)
    if view.configuration is None:
        read_in_s = estimate_first_read(view.next_read_at, time.monotonic())
        answer_error(progress, make_refusal("not_configured", view.rng, read_in_s))
        return
    if (refused := await check_configuration(progress)) is not None:
        answer_error(progress, refused)
        return
    if progress.attempts_max is not None:
        attempts_max = min(progress.route.attempts_max, progress.attempts_max)
        progress.route = evolve(progress.route, attempts_max=attempts_max)
    progress.service = choose_service(progress.route, progress.request.request_id, view.rng)
    caller_timeout_s = progress.request.caller_timeout_s or TIMEOUT_DEFAULT_S
    progress.deadline = progress.request.received_at + min(
        caller_timeout_s, progress.route.timeout_s
    )
    progress.caller_response = CallerResponse(progress.connection, progress.request, progress.route)
    progress.caller_response.record_origin = functools.partial(record_origin, progress)
    try:
        async with asyncio.timeout_at(progress.deadline):
            error = await serve_request(progress)
    except TimeoutError:
        error = make_timeout(progress.may_have_run)
    if error is not None:
        answer_error(progress, error)
    else:
        log_end(progress, "answered", None, time.monotonic())


def find_route(progress: RequestProgress) -> None:
    """Set the route that the known configuration has for the request, None without one."""
    configuration = progress.relay.view.configuration
    progress.route = configuration.find_route(progress.request.host, progress.request.path)


def measure_left(progress: RequestProgress, now: float) -> float:
    """Return the seconds that a request has left, by its caller and its route if one is known."""
    timeout_s = progress.request.caller_timeout_s or TIMEOUT_DEFAULT_S
    if progress.route is not None:
        timeout_s = min(timeout_s, progress.route.timeout_s)
    return timeout_s - (now - progress.request.received_at)


async def check_configuration(progress: RequestProgress) -> RequestError | None:
    """Set the route; return the error for a request that the configuration does not allow."""
    view = progress.relay.view
    find_route(progress)
    if is_undecided(progress):
        left_s = measure_left(progress, time.monotonic())
        is_lost = view.versions.entry_age.lost_at is not None
        wait_s = measure_confirmation_wait(left_s, is_lost)
        if wait_s > 0.0:
            await progress.relay.confirm_configuration(wait_s)
            find_route(progress)
    if progress.route is not None:
        return check_access(progress)
    if is_undecided(progress):
        confirmed_in_s = view.next_read_at - time.monotonic()
        return make_unconfirmed("route_unconfirmed", view.rng, confirmed_in_s)
    return make_no_route()


async def refuse_early(progress: RequestProgress) -> bool:
    """Refuse a request whose key is not valid before it waits for a start; return whether it was.

    The servers may not be known yet, and no wait makes a key known that the operator did not list.
    """
    view = progress.relay.view
    if view.is_known or view.configuration is None:
        return False
    find_route(progress)
    refused = await check_configuration(progress) if progress.route is not None else None
    if refused is not None:
        answer_error(progress, refused)
    return refused is not None


async def wait_for_start(progress: RequestProgress) -> None:
    """Wait until this instance, which has just started, has read the store, if that is soon."""
    view, read_at = progress.relay.view, progress.connection.read_at
    deadline = progress.request.received_at + (
        progress.request.caller_timeout_s or TIMEOUT_DEFAULT_S
    )
    while not view.is_known and view.drain.started_at is None:
        now = time.monotonic()
        failed = max(view.failed_reads.values(), default=0)
        wait_s = measure_start_wait(view.started_at, read_at, deadline - now, failed, now)
        if wait_s <= 0.0:
            return
        await view.changed.wait(wait_s)


def check_draining(progress: RequestProgress, now: float) -> RequestError | None:
    """Return the error for a request that was read after the announcement of a stop."""
    view = progress.relay.view
    if view.drain.started_at is None:
        return None
    return view.drain.check_open(draw_retry_after(DRAINING_RETRY_S, view.rng), now)


async def serve_request(progress: RequestProgress) -> RequestError | None:
    """Send the request, by way of another instance if no server can be reached from here."""
    is_cut = progress.relay.links.is_cut
    if is_cut and progress.forwarded_by:
        return make_refusal("no_servers", progress.relay.view.rng)
    if is_cut:
        progress.count_demand()
        forwarded = await forward_if_cut(progress)
        if forwarded.taken:
            return forwarded.error
    progress.waits_for = Stage.LOOKUP
    error = await decide_stream(progress)
    progress.waits_for = Stage.CHOICE
    if error is not None:
        return error
    if not is_cut and not progress.forwarded_by:
        progress.count_demand()
    progress.relay.view.budget.count_request(progress.service, time.monotonic())
    try:
        return await send_request(progress)
    finally:
        abandon_kept(progress)
        give_credit_back(progress)


async def forward_if_cut(progress: RequestProgress) -> Forwarded:
    """Forward the request if this instance is cut off; never one that was forwarded."""
    if not progress.relay.links.is_cut or progress.forwarded_by:
        return NOT_TAKEN
    abandon_kept(progress)
    return await forward(progress)


async def forward_unreached(progress: RequestProgress) -> Forwarded:
    """Forward the request if all servers that could serve it gave no answer here lately.

    If they do not answer the other instance either, it declines, and one of them is tried here.
    """
    if progress.forwarded_by and progress.delivered:
        return NOT_TAKEN
    if progress.forwarded_by and await settle_links(progress):
        return Forwarded(True, make_refusal("no_servers", progress.relay.view.rng))
    if progress.forwarded_by:
        return Forwarded(True, make_unreached())
    return await forward(progress, only_reached=True)


async def settle_links(progress: RequestProgress) -> bool:
    """Wait until it is known whether servers can be reached; return whether there is a cut.

    All such waits of a request have one bound: they come one after the other, also at others.
    """
    begun_at = time.monotonic()
    is_cut = await progress.relay.links.settle(progress.probe_wait_s)
    progress.count_probe_wait(time.monotonic() - begun_at)
    return is_cut


async def send_request(progress: RequestProgress) -> RequestError | None:
    """Send the request until it is answered; return the error to answer with, if any."""
    while True:
        now = time.monotonic()
        if progress.deadline - now < TIME_LEFT_MIN_S:
            return make_timeout(progress.tries.run > 0)
        if (refused := check_access(progress)) is not None:
            return await end_without_access(progress, refused, now)
        if not await check_quarantine(progress, now):
            return give_up(progress, "quarantined")
        chosen = choose_next(progress, now)
        if isinstance(chosen, Choice) and is_behind(progress, now):
            chosen = NoServer("full")
        if progress.kept is not None and not is_responsive(chosen, now):
            if not progress.others_asked_again:
                # Who was full for a moment is asked once more, but not the silent server.
                progress.others_asked_again = True
                progress.excluded = list_silent(progress, progress.kept.record, now) | {
                    progress.kept.record.key
                }
                await asyncio.sleep(SECOND_PASS_PAUSE_S)
                continue
            if not may_resume(progress, now):
                abandon_kept(progress)
                continue
            end = await resume_kept(progress)
            if end is ExchangeEnd.DONE:
                return None
            if not await check_origin(progress, progress.last_attempt):
                return give_up(progress, "version_unknown")
            if (reason := check_retry(progress, end, time.monotonic())) is not None:
                return give_up(progress, reason)
            continue
        if (
            isinstance(chosen, NoServer)
            and progress.limited
            and not measure_patience(progress, now)
        ):
            return give_up(progress, "full")
        if isinstance(chosen, NoServer):
            if chosen.reason == "full" and await wait_for_room(progress, now):
                continue
            if chosen.reason == "all_tried" and not (progress.delivered or progress.was_closed):
                forwarded = await forward_unreached(progress)
                if forwarded.taken:
                    return forwarded.error
            all_missing = (
                chosen.reason == "all_tried" and progress.only_missing and progress.request.model
            )
            if (chosen.reason == "absent" or all_missing) and await wait_for_load(progress, now):
                continue
            if chosen.reason == "all_tried" and not all_missing and start_second_pass(progress):
                progress.waits_for = Stage.PAUSE
                await asyncio.sleep(SECOND_PASS_PAUSE_S)
                continue
            # All that hold the model are down, so it has to be loaded elsewhere.
            return give_up(progress, "absent" if all_missing else chosen.reason)
        if chosen.server.unresponsive_until > now:
            forwarded = await forward_unreached(progress)
            if forwarded.taken:
                return forwarded.error
        credited = await pass_account_limit(progress, now)
        if isinstance(credited, RequestError):
            return credited
        if credited is CreditStep.WAITED:
            continue
        if not await check_start(progress, chosen.server):
            continue
        if not await pass_limit(progress, chosen.server, time.monotonic()):
            continue
        if wants_nothing(chosen.server, now, time.monotonic()):
            continue
        end = await run_attempt(progress, chosen)
        if end is ExchangeEnd.WITHHELD:
            continue
        # Without time to find out, a refused connection may be that of a cut.
        may_settle = progress.probe_wait_s > 0.0 or not progress.relay.links.state.suspected
        if end is ExchangeEnd.CONNECTION_REFUSED and not await settle_links(progress):
            if may_settle:
                report_ended(progress, chosen.server, time.monotonic())
        if end is ExchangeEnd.DONE:
            return None
        if progress.last_attempt.withdrawn:
            return give_up(progress, "quarantined")
        if not await check_origin(progress, progress.last_attempt):
            return give_up(progress, "version_unknown")
        reason = check_retry(progress, end, time.monotonic())
        if (
            reason is not None
            and progress.kept is not None
            and may_resume(progress, time.monotonic())
        ):
            end = await resume_kept(progress)
            if end is ExchangeEnd.DONE:
                return None
        if reason is not None:
            return give_up(progress, reason)
        # The end of the server may be what stops the request.
        await progress.relay.crashes.checks.wait(chosen.server)
        if end in UNREACHED and await settle_links(progress):
            forwarded = await forward_if_cut(progress)
            if forwarded.taken:
                return forwarded.error


async def end_without_access(
    progress: RequestProgress, refused: RequestError, now: float
) -> RequestError | None:
    """Return the error of a request that may not be sent any more, None if a server answers it.

    A server that is at work on it already, though silent, may complete it.
    """
    if progress.kept is not None and may_resume(progress, now):
        if await resume_kept(progress) is ExchangeEnd.DONE:
            return None
    return give_up(progress, refused.code) if progress.tries.run > 0 else refused


def check_retry(progress: RequestProgress, end: ExchangeEnd, now: float) -> str | None:
    """Return why the request may not be sent again after an attempt, None if it may."""
    if not is_retry_allowed(progress.route, end, progress.tries):
        return end.value
    if not progress.caller_response.may_continue:
        return end.value
    # The budget counts attempts that reached a server, beyond the first.
    if progress.delivered and not progress.pay_retry(now):
        return "budget"
    progress.retry_paid = False
    return None
