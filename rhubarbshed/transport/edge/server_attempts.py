"""Attempts of a request at backend servers, and what their ends show of these."""

import functools
import time

from rhubarbshed.coordination.serving.brittle_servers import record_rejection
from rhubarbshed.coordination.serving.choice import Choice, NoServer
from rhubarbshed.coordination.serving.retry_budget import Tries
from rhubarbshed.protocol.exchanges import ExchangeEnd, ResponseHead
from rhubarbshed.protocol.streams import UNKNOWN_VERSION, StreamOrigin
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.transport.edge.access_checks import may_send
from rhubarbshed.transport.edge.attempts import Attempt
from rhubarbshed.transport.edge.kept_attempts import abandon_kept, limit_kept
from rhubarbshed.transport.edge.request_logs import log_dispatched, log_failed_attempt
from rhubarbshed.transport.edge.request_progress import RequestProgress
from rhubarbshed.transport.edge.server_selection import (
    choose_next,
    choose_other,
    has_heard,
    list_silent,
)
from rhubarbshed.transport.edge.turn_waits import note_start
from rhubarbshed.util.clocks import read_lease_clock

SERVICE_SILENCE_S = 1.5
"""Time for which requests stay at a silent server while all others that requests wait for are
silent as well. Sound servers may be for a second or so; callers of a stream leave after two."""

RESET_KEPT_S = 5.0
RESET_SETTLE_S = 0.005
"""Time for which a server that ended a new connection gets requests that may not be repeated only
on connections that have been open for a moment. A server over its cap resets a connection as it
accepts it, a round trip after it opened here; a request that was not sent by then has not run."""


async def run_attempt(progress: RequestProgress, chosen: Choice) -> ExchangeEnd:
    """Send the request to one server, and record the outcome."""
    record = chosen.server
    progress.limited.clear()
    progress.servers.append(record.entry.server_id)
    progress.versions.append(record.entry.version)
    log_dispatched(progress, chosen)
    attempt = Attempt.from_server(
        progress.relay.pool,
        record,
        progress.caller_response,
        progress.deadline,
        lambda: progress.account,
    )
    attempt.may_send = lambda: may_send(progress, read_lease_clock())
    attempt.may_move = lambda: may_move(progress, record, attempt, time.monotonic())
    attempt.on_head = lambda head: note_head(progress, record, head, attempt.sent_at)
    attempt.on_leaving = lambda server_id: progress.relay.record_leaving(record, server_id)
    attempt.on_begun = lambda: progress.relay.crashes.record_begun(
        progress.request, time.monotonic()
    )
    attempt.confirm_running = lambda: confirm_running(progress, record)
    progress.last_attempt = attempt
    more = progress.tries.run + 1 < progress.route.attempts_max and progress.route.repeatable
    begun_at = time.monotonic()
    if not progress.route.repeatable and begun_at - record.reset_at < RESET_KEPT_S:
        attempt.settle_s = RESET_SETTLE_S
    record.begin_attempt(begun_at)
    note_start(progress, begun_at)
    progress.in_flight = True
    attempt.on_accepted = functools.partial(abandon_kept, progress)
    attempt.on_sent = functools.partial(limit_kept, progress)
    try:
        end = await attempt.run(more)
    finally:
        record.open -= 1
        progress.relay.view.loads_changed.fire()
        if progress.kept_limit is not None:
            progress.kept_limit.cancel()
    if attempt.is_kept:
        abandon_kept(progress)
        progress.kept = attempt
    # A timeout leaves this true: the server may be running the request.
    progress.in_flight = False
    progress.trial_keys = frozenset()
    if end is ExchangeEnd.WITHHELD:
        # The server got nothing, so this shows nothing of it.
        return end
    note_end(progress, record, attempt, end)
    run_s = time.monotonic() - begun_at
    if end is ExchangeEnd.DONE:
        record.record_run(run_s)
        note_gap(progress, record)
    if end is ExchangeEnd.DONE and progress.is_configured:
        progress.relay.count_run(
            progress.service, progress.request.model, progress.request.adapter, run_s
        )
    return end


def note_gap(progress: RequestProgress, record: ServerRecord) -> None:
    """Record the longest gap of a stream that only one server wrote."""
    if progress.route.streamed and len(progress.servers) == 1:
        progress.relay.view.fleet.record_gap(record, progress.caller_response.gap_s)


def may_move(progress: RequestProgress, record: ServerRecord, attempt: Attempt, now: float) -> bool:
    """Return whether another attempt can be made in place of one at a silent server."""
    may_move = pay_move(progress, record, now)
    if not may_move and not attempt.silent:
        attempt.silent = True
        progress.relay.links.suspect()
        if not attempt.begun:
            record.record_unresponsive(now)
    return may_move


def pay_move(progress: RequestProgress, record: ServerRecord, now: float) -> bool:
    """Pay for a retry if another server can take the request; return whether it did.

    The retry is paid for at once: many servers may become silent together. To leave a server
    for one that is silent as well gains nothing, and the other one may refuse the request.
    """
    if not progress.caller_response.may_continue:
        return False
    if progress.relay.links.is_cut and not progress.forwarded_by:
        return progress.relay.forwarder.has_peer(now) and progress.pay_retry(now)
    silent = list_silent(progress, record, now)
    if silent and record.measure_silence(now) < SERVICE_SILENCE_S and not has_heard(progress, now):
        return False
    tried, progress.excluded = progress.excluded, progress.excluded | silent
    chosen = choose_other(progress, record, now)
    is_second_pass = not progress.second_pass_started and record.key not in silent
    if isinstance(chosen, NoServer) and chosen.reason == "all_tried" and is_second_pass:
        # A second pass may choose the silent server again, which may just have lost the answer.
        progress.excluded = silent
        chosen = choose_next(progress, now)
    progress.excluded = tried
    may_move = isinstance(chosen, Choice) and progress.pay_retry(now)
    if may_move:
        progress.excluded |= silent
    return may_move


def note_head(
    progress: RequestProgress, record: ServerRecord, head: ResponseHead, sent_at: float
) -> None:
    """Record what the head of a response says of its server."""
    progress.relay.limits.record_head(record, head, sent_at)
    if head.has_odd_load:
        progress.relay.metrics.count_unreadable("load")
    if head.load is not None:
        progress.relay.view.loads_changed.fire()
    if head.backoff_s:
        progress.relay.view.record_backoff(record, head.backoff_s, time.monotonic())


def note_end(
    progress: RequestProgress, record: ServerRecord, attempt: Attempt, end: ExchangeEnd
) -> None:
    """Record what an attempt showed about its server."""
    now = time.monotonic()
    progress.delivered = progress.delivered or end.was_sent
    progress.was_closed = progress.was_closed or end is ExchangeEnd.CLOSED
    if end is not ExchangeEnd.MODEL_MISSING or not progress.request.model:
        progress.excluded.add(record.key)
    if end not in (
        ExchangeEnd.MODEL_MISSING,
        ExchangeEnd.CONNECTION_REFUSED,
        ExchangeEnd.WRONG_SERVER,
        ExchangeEnd.NOT_SENT,
    ):
        progress.only_missing = False
    if end.may_have_run:
        progress.tries = Tries(progress.tries.run + 1, progress.tries.refused)
        if not attempt.withdrawn:
            record.record_end(end is not ExchangeEnd.DONE or attempt.failed, now)
    elif end.was_sent:
        progress.tries = Tries(progress.tries.run, progress.tries.refused + 1)
    if end in (
        ExchangeEnd.NOT_SENT,
        ExchangeEnd.CONNECTION_REFUSED,
        ExchangeEnd.WRONG_SERVER,
        ExchangeEnd.NO_RESPONSE,
    ):
        progress.relay.pool.drop((record.entry.host, record.entry.port))
        record.record_unresponsive(now)
    if end in (ExchangeEnd.BROKEN, ExchangeEnd.CLOSED) and attempt.is_unanswered_first:
        record.reset_at = now
    if end is ExchangeEnd.NO_RESPONSE:
        progress.relay.links.suspect()
    if end is ExchangeEnd.REFUSED:
        record_rejection(record, progress.relay.view.budget.instances, now)
    if end is ExchangeEnd.WRONG_SERVER:
        report_ended(progress, record, now)
    if end is ExchangeEnd.MODEL_MISSING and progress.request.model:
        record.remove_held(progress.request.model, progress.request.adapter)
        progress.relay.report_missing(*record.key, progress.request.model, progress.request.adapter)
        progress.relay.report_awaited(
            progress.service, progress.request.model, progress.request.adapter
        )
    progress.relay.metrics.count_attempt(progress.service, end.value)
    progress.relay.crashes.record_attempt(progress.request, attempt, end, now)
    if end is not ExchangeEnd.DONE:
        log_failed_attempt(progress, attempt, end, now)


async def check_start(progress: RequestProgress, record: ServerRecord) -> bool:
    """Return whether a server may write the rest of a stream, if the request is for that.

    It may have started again with another version, which its entry does not show here yet.
    """
    service = progress.relay.view.configuration.services.get(record.entry.service)
    checks = progress.relay.crashes.checks
    if progress.caller_response.version is None or not await checks.has_restarted(record, service):
        return True
    progress.excluded.add(record.key)
    report_ended(progress, record, time.monotonic())
    return False


async def check_origin(progress: RequestProgress, attempt: Attempt) -> bool:
    """Return whether the version of a stream that broke off is that of its server's entry.

    The server may have started again with another version before the stream began, and its
    entry may not show that yet. Nobody may continue the stream then.
    """
    response = progress.caller_response
    if not attempt.begun or attempt.record is None or response.origin is not attempt.origin:
        return True
    service = progress.relay.view.configuration.services.get(attempt.record.entry.service)
    begun_ms = (time.time() - time.monotonic() + attempt.sent_at) * 1000.0
    checks = progress.relay.crashes.checks
    if not await checks.had_restarted(attempt.record, service, begun_ms):
        return True
    response.origin = StreamOrigin(attempt.origin.service, UNKNOWN_VERSION)
    # A second origin of the stream makes it one that nobody can tell the version of.
    response.record_origin(response.origin)
    report_ended(progress, attempt.record, time.monotonic())
    return False


async def confirm_running(progress: RequestProgress, record: ServerRecord) -> bool:
    """Return whether a server shows that it has not ended."""
    service = progress.relay.view.configuration.services.get(record.entry.service)
    return await progress.relay.crashes.checks.confirm_running(record, service)


def report_ended(progress: RequestProgress, record: ServerRecord, now: float) -> None:
    """Report a server that was not found at its address, as one that has ended."""
    progress.relay.report_missing(*record.key, "", "")
    progress.relay.crashes.checks.record_refused(record, now)
