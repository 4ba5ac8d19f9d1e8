"""Attempts at silent servers that are kept while another server is asked."""

import asyncio
import logging
import time

from rhubarbshed.protocol.exchanges import ExchangeEnd
from rhubarbshed.transport.edge.request_logs import log_failed_attempt
from rhubarbshed.transport.edge.request_progress import RequestProgress
from rhubarbshed.transport.edge.server_selection import SERVER_SILENCE_S
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

KEPT_S = 0.25
"""Time for which a silent server is kept once the request was sent to another one: that one refuses
at once or runs it, and two may not work on a stream for longer than 0.4 s."""


def may_resume(progress: RequestProgress, now: float) -> bool:
    """Return whether the silent server may still answer.

    An answer that has not begun at a server that writes others may be lost.
    """
    kept = progress.kept
    is_lost = not kept.begun and kept.record.is_heard(now - SERVER_SILENCE_S)
    return kept.channel.has_news or not (kept.was_resumed or is_lost)


async def resume_kept(progress: RequestProgress) -> ExchangeEnd:
    """Wait for the silent server again, as no other one takes the request."""
    attempt, progress.kept = progress.kept, None
    record = attempt.record
    log_event(
        LOG,
        logging.INFO,
        "attempt_resumed",
        request=progress.request.request_id,
        server=record.entry.server_id,
        begun=int(attempt.begun),
    )
    progress.last_attempt = attempt
    record.begin_attempt(time.monotonic())
    progress.in_flight = True
    try:
        end = await attempt.go_on(progress.tries.run < progress.route.attempts_max)
    finally:
        record.open -= 1
        progress.relay.view.loads_changed.fire()
    progress.in_flight = False
    if end is ExchangeEnd.DONE:
        record.record_end(False, time.monotonic())
    else:
        log_failed_attempt(progress, attempt, end, time.monotonic())
    progress.relay.crashes.record_attempt(progress.request, attempt, end, time.monotonic())
    if attempt.is_kept:
        progress.kept = attempt
        # Each silence of a server that has written since is a new one.
        progress.others_asked_again = progress.others_asked_again and attempt.was_resumed
    return end


def limit_kept(progress: RequestProgress) -> None:
    """Leave the silent server soon, as another one may be at work on the request."""
    if progress.kept is not None:
        progress.kept_limit = asyncio.get_running_loop().call_later(KEPT_S, abandon_kept, progress)


def abandon_kept(progress: RequestProgress) -> None:
    """Leave the silent server for good."""
    if progress.kept is not None:
        progress.kept.abandon()
        progress.kept = None
