"""Effects of an attempt's end on its request, its backend server and the suspects."""

from rhubarbshed.coordination.requests.retries import may_have_run
from rhubarbshed.coordination.requests.suspects import Suspects
from rhubarbshed.protocol.requests import AttemptEnd, AttemptResult, Dispatch
from rhubarbshed.state.membership.load import LoadView
from rhubarbshed.state.requests.attempts import OpenRequest

NOT_FOUND = 404
SERVER_ERROR = 500
# Ends that say nothing of the server.
ENDED_HERE = (AttemptEnd.CALLER_GONE, AttemptEnd.CUT_OFF)


def record_end(
    load: LoadView,
    suspects: Suspects,
    item: OpenRequest,
    sent: Dispatch,
    result: AttemptResult,
    now: float,
) -> None:
    """Record how an attempt ended; a crash of its server is reported separately."""
    has_failed = result.end is not AttemptEnd.DONE or result.status >= SERVER_ERROR
    failed = None if result.end in ENDED_HERE else has_failed
    key = (result.request_id, result.attempt)
    load.record_end(sent.backend_server, key, failed, now, result.first_token_at)
    item.has_run = item.has_run or may_have_run(result.end)
    item.tokens = max(item.tokens, sent.resume_offset + result.tokens)
    if has_failed:
        item.failed_servers.add(sent.backend_server)
    if result.end is AttemptEnd.REFUSED and result.status == NOT_FOUND:
        item.servers_missing_model.add(sent.backend_server)
    if result.end in (*ENDED_HERE, AttemptEnd.TIMED_OUT):
        record_abandoned(suspects, item, sent, now)
    if result.end in (AttemptEnd.BROKEN, AttemptEnd.CRASHED):
        name, boot_id = sent.backend_server, item.boots.get(sent.attempt, "")
        suspects.record_possible_crash(
            item.request.fingerprint, name, boot_id, item.isolation_held, now
        )


def record_abandoned(suspects: Suspects, item: OpenRequest, sent: Dispatch, now: float) -> None:
    """Record an attempt that is abandoned here and may still run on its server."""
    name, boot_id = sent.backend_server, item.boots.get(sent.attempt, "")
    suspects.record_abandoned(item.request.fingerprint, name, boot_id, item.isolation_held, now)
