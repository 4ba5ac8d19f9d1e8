"""Choice of the next backend server for a request, and the waits for one."""

import asyncio
import time

from rhubarbshed.coordination.serving.choice import Choice, NoServer, choose_server, list_staying
from rhubarbshed.coordination.serving.expected_time import RequestPace
from rhubarbshed.coordination.serving.missing_models import (
    CallerPatience,
    LoadWait,
    decide_load_wait,
    decide_scheduled_load_wait,
)
from rhubarbshed.coordination.serving.queueing import decide_wait as decide_room_wait
from rhubarbshed.coordination.serving.queueing import measure_wait
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.transport.edge.allocators import PATIENCE_MIN_S, REPEAT_S
from rhubarbshed.transport.edge.request_progress import RequestProgress, Stage
from rhubarbshed.transport.edge.turn_waits import (
    find_queue_fraction,
    find_ticket,
    wait_for_turn,
)

SERVER_SILENCE_S = 0.5
"""Time without a byte after which a server that requests wait for counts as silent."""

AWAITED_REPORT_INTERVAL_S = 0.1
"""Time after which an awaited target is reported to the order holder again; a message may be
lost."""


async def check_quarantine(progress: RequestProgress, now: float) -> bool:
    """Return whether the request may be sent: it is not known to end servers, or is a trial."""
    crashes = progress.relay.crashes
    admission = crashes.admit(progress.request, progress.trial_keys, now)
    new = admission.trial_keys - progress.trial_keys
    stopped_by = admission.stopped_by
    if new and isinstance(choose_next(progress, now), NoServer):
        # Nothing would be sent, so the trial is left to a later request.
        return True
    if new and (key := await crashes.claim_trial(progress.request, new)) is not None:
        stopped_by = crashes.quarantine.stopped[key]
    if stopped_by is None:
        progress.trial_keys = admission.trial_keys
        return True
    progress.stopped_by = stopped_by.key
    progress.available_in_s = crashes.quarantine.measure_pause(stopped_by, time.monotonic())
    return False


def choose_next(progress: RequestProgress, now: float) -> Choice | NoServer:
    """Choose a server that this request has not tried.

    Once it may not wait any longer, servers whose limits had no room are not asked again.
    """
    view = progress.relay.view
    is_waiting = not progress.limited or measure_patience(progress, now) > 0.0
    excluded = progress.excluded if is_waiting else progress.excluded | progress.limited
    needs = (progress.request.model, progress.request.adapter)
    return choose_server(
        view.fleet,
        progress.service,
        needs,
        frozenset(excluded),
        view.settings.data_centre,
        now,
        view.rng,
        progress.caller_response.version,
        view.versions.entry_age.find_announced_since(view.settings.drain_s, now),
        view.budget.instances,
        read_pace(progress),
        view.settings.has_pressure,
        find_queue_fraction(progress, now),
    )


def read_pace(progress: RequestProgress) -> RequestPace:
    """Return what a request asks of the speed of its server."""
    route = progress.route
    usual_gap_s = progress.relay.view.fleet.find_usual_gap(progress.service)
    return RequestPace(route.target_s, route.gap_s, route.streamed, usual_gap_s)


def choose_other(progress: RequestProgress, record: ServerRecord, now: float) -> Choice | NoServer:
    """Choose a server that this request has not tried, other than one."""
    tried = progress.excluded
    progress.excluded = tried | {record.key}
    chosen = choose_next(progress, now)
    progress.excluded = tried
    return chosen


def measure_patience(progress: RequestProgress, now: float) -> float:
    """Return the seconds for which the request may still wait for a server."""
    return measure_wait(progress.route, progress.queued_s, progress.deadline - now)


def list_silent(progress: RequestProgress, asked: ServerRecord, now: float) -> set[tuple[str, int]]:
    """List the servers of the service that are silent to other requests of this instance."""
    return {
        each.key
        for each in progress.relay.view.fleet.list_service(progress.service)
        if each.measure_silence(now, own=int(each is asked)) >= SERVER_SILENCE_S
    }


def has_heard(progress: RequestProgress, now: float) -> bool:
    """Return whether any server of the service sent this instance something lately."""
    servers = progress.relay.view.fleet.list_service(progress.service)
    return any(each.is_heard(now - SERVER_SILENCE_S) for each in servers)


async def pass_limit(progress: RequestProgress, record: ServerRecord, now: float) -> bool:
    """Return whether a server's limit lets the request through, if need be after a wait.

    It does not wait for one server while another is free.
    """
    if record.limit_per_s is None:
        return True
    is_sole = isinstance(choose_other(progress, record, now), NoServer)
    left_s = measure_patience(progress, now)
    progress.waits_for = Stage.SLOT
    # The first server is asked in any case, also for a retry.
    patience_s = max(
        left_s, PATIENCE_MIN_S - progress.queued_s, 0.0 if progress.limited else REPEAT_S
    )
    if patience_s <= 0.0:
        progress.limited.add(record.key)
        return False
    grant = await progress.relay.limits.acquire(record, left_s if is_sole else 0.0, patience_s)
    if grant.send_in_s:
        await asyncio.sleep(grant.send_in_s)
    progress.queued_s += time.monotonic() - now
    if grant.send_in_s is None:
        progress.limited.add(record.key)
        return False
    return not grant.send_in_s or await check_quarantine(progress, time.monotonic())


async def wait_for_room(progress: RequestProgress, now: float) -> bool:
    """Wait for room at a server; return whether to choose again."""
    if progress.relay.view.settings.has_pressure:

        def is_free(at: float) -> bool:
            # Servers that are gone, or lack the model by now, call for another decision as well.
            chosen = choose_next(progress, at)
            return isinstance(chosen, Choice) or chosen.reason != "full"

        progress.waits_for = Stage.SLOT
        return await wait_for_turn(progress, is_free, now)
    left_s = decide_room_wait(progress.route, progress.queued_s, progress.deadline - now)
    if left_s <= 0.0 or progress.relay.view.drain.started_at is not None:
        return False
    progress.waits_for = Stage.SLOT
    await asyncio.sleep(left_s)
    progress.queued_s += time.monotonic() - now
    return True


async def wait_for_load(progress: RequestProgress, now: float) -> bool:
    """Wait for a load of what is missing; return whether to choose again."""
    if not progress.relay.view.settings.has_pressure:
        return await wait_until_loaded(progress, now)
    turns, ticket = progress.relay.slots.turns, find_ticket(progress, now)
    if not turns.hold(ticket):
        return False
    try:
        return await wait_until_loaded(progress, now)
    finally:
        turns.let_go(ticket)


async def wait_until_loaded(progress: RequestProgress, now: float) -> bool:
    """Wait for a load while the decision on it says so; return whether to choose again."""
    view = progress.relay.view
    model, adapter = progress.request.model, progress.request.adapter
    engine = view.configuration.find_engine(progress.service)
    if not progress.is_configured:
        return False
    if progress.load_awaited_at is None:
        progress.load_awaited_at = now
    until = min(progress.deadline, progress.request.received_at + progress.route.stall_timeout_s)
    begun_at, is_ready = now, False
    decide_wait = decide_scheduled_load_wait if view.settings.has_pressure else decide_load_wait
    while not is_ready and view.drain.started_at is None:
        capable = list_staying(view.fleet, progress.service, progress.caller_response.version)
        patience = CallerPatience(
            progress.load_awaited_at, until, progress.route.target_s, progress.load_due_at
        )
        decision = decide_wait(engine, (model, adapter), capable, patience, now)
        progress.relay.report_awaited(progress.service, model, adapter)
        if not isinstance(decision, LoadWait):
            progress.available_in_s = decision.available_in_s
            break
        progress.available_in_s = decision.expected_s
        if decision.is_under_way and progress.load_due_at is None:
            progress.load_due_at = now + decision.expected_s
        progress.waits_for = Stage.LOAD
        await view.changed.wait(min(decision.until - now, AWAITED_REPORT_INTERVAL_S))
        now = time.monotonic()
        chosen = choose_next(progress, now)
        is_ready = isinstance(chosen, Choice) or chosen.reason == "version_gone"
    progress.waited_s += now - begun_at
    if view.drain.started_at is not None:
        progress.available_in_s = 0.0
    return is_ready


def start_second_pass(progress: RequestProgress) -> bool:
    """Return whether to retry servers that failed this request; if so, clear `excluded`.

    There are no others: one that broke a response off or was full for a moment may serve it
    now. A request that may not be retried has not run there.
    """
    if progress.second_pass_started or (progress.tries.run > 0 and not progress.route.repeatable):
        return False
    progress.second_pass_started = True
    progress.excluded.clear()
    return True
