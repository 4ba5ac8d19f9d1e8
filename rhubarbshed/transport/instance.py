"""Lifecycle of one instance: start, periodic tasks, drain, stop."""

import asyncio
import logging
import signal
import time
from collections.abc import Coroutine, Mapping
from typing import Any

from attrs import define
from returns.result import Failure, Result, Success

from rhubarbshed.coordination.requests.drain import DrainPhase
from rhubarbshed.protocol.peers import LeavingMember, LeavingNotice
from rhubarbshed.transport.admin import make_operator_actions
from rhubarbshed.transport.exchange import announce_suspects
from rhubarbshed.transport.exit_codes import EXIT_CUT_OFF, EXIT_OK, EXIT_START_FAILED
from rhubarbshed.transport.loops import (
    probe_unreachable_servers,
    read_catalogue,
    read_list,
    read_reports,
    remove_old_rows,
    repeat,
    restore_catalogue,
    settle_request_ends,
)
from rhubarbshed.transport.operators import make_operator_handler
from rhubarbshed.transport.placing import hand_over_servers, maintain_leases, run_placement
from rhubarbshed.transport.runtime import Runtime
from rhubarbshed.transport.stop_signals import handle_stop_signals
from rhubarbshed.util.logs import log_event
from rhubarbshed.util.settings import Settings

LOG = logging.getLogger(__name__)
SWEEP_INTERVAL_S = 0.25
# Interval at which unresponsive members are detected; leaving notices and the list act at once.
STANDINGS_INTERVAL_S = 1.0
PROBE_INTERVAL_S = 1.0
SETTLE_INTERVAL_S = 1.0
DRAIN_POLL_S = 0.05
HAND_OVER_ATTEMPTS_MAX = 20
# Time for the answers to requests that are cut off, which need no backend server.
CUT_OFF_WAIT_S = 2.0
# Time to stop with requests cut off; threads may be writing their answers to slow callers.
CLOSE_WAIT_S = 3.0
LAG_INTERVAL_S = 0.1


@define
class StopSignals:
    """Stop requests received by signal or from an operator."""

    requested: asyncio.Event
    immediate: asyncio.Event

    def request(self) -> None:
        """Record a stop request: the first one drains, a second one stops at once."""
        if self.requested.is_set():
            self.immediate.set()
        self.requested.set()


async def run_instance(
    settings: Settings,
    noted: Mapping[signal.Signals, float],
) -> int:
    """Run an instance until it is asked to stop; return the exit code.

    `noted` are the signals that came before.
    """
    loop = asyncio.get_running_loop()
    runtime = Runtime.from_settings(settings, loop)
    stop = StopSignals(asyncio.Event(), asyncio.Event())
    handle_stop_signals(runtime.coordinator.drain, stop.request, noted)
    loop.add_signal_handler(signal.SIGHUP, log_hangup)
    if signal.SIGHUP in noted:
        log_hangup()
    listening = await listen(runtime, stop)
    if isinstance(listening, Failure):
        log_event(LOG, logging.ERROR, "start_failed", reason=listening.failure())
        await close(runtime)
        return EXIT_START_FAILED
    event = "started" if runtime.http_servers else "stopped_before_listening"
    log_event(LOG, logging.INFO, event, instance=settings.instance.name)
    await stop.requested.wait()
    code = await drain(runtime, stop)
    try:
        # The answers of requests that were cut off are still being written.
        await asyncio.wait_for(close(runtime), CLOSE_WAIT_S if code == EXIT_CUT_OFF else None)
    except TimeoutError:
        log_event(LOG, logging.WARNING, "close_timed_out", open_requests=runtime.count_open())
    return code


def log_hangup() -> None:
    """Log a SIGHUP, which asks other programs to read their settings again."""
    log_event(LOG, logging.WARNING, "nothing_reloaded", reason="settings are read at a start only")


async def listen(runtime: Runtime, stop: StopSignals) -> Result[None, str]:
    """Listen and start all tasks, or return which port is unavailable.

    An instance that is to stop by then does not listen for callers.
    """
    try:
        await runtime.network.start()
    except OSError as error:
        return Failure(f"cannot listen for peers: {error}")
    await restore_catalogue(runtime)
    start_tasks(runtime)
    if stop.requested.is_set():
        return Success(None)
    actions = make_operator_actions(runtime, stop.request)
    token = runtime.settings.secrets.operator_token
    return runtime.start_http_servers(make_operator_handler(actions, token))


def start_tasks(runtime: Runtime) -> None:
    """Start all periodic tasks."""
    settings = runtime.settings
    platform = settings.platform
    spawn(runtime, repeat(runtime, platform.list_poll_s, read_list))
    poll_s = platform.catalogue_poll_s
    spawn(runtime, repeat(runtime, poll_s, read_catalogue, runtime.catalogue_wakeup))
    spawn(runtime, repeat(runtime, settings.leases.renewal_s, maintain_leases))
    interval_s = settings.placement.interval_s
    spawn(runtime, repeat(runtime, interval_s, run_placement, runtime.placement_wakeup))
    spawn(runtime, repeat(runtime, settings.routing.report_poll_s, read_reports))
    spawn(runtime, repeat(runtime, SETTLE_INTERVAL_S, settle_request_ends))
    spawn(runtime, repeat(runtime, STANDINGS_INTERVAL_S, refresh_standings))
    spawn(runtime, repeat(runtime, PROBE_INTERVAL_S, probe_unreachable_servers))
    spawn(runtime, repeat(runtime, settings.retention.interval_s, remove_old_rows))
    spawn(runtime, sweep(runtime))
    spawn(runtime, measure_lag(runtime))


def spawn(runtime: Runtime, work: Coroutine[Any, Any, Any]) -> None:
    """Start a task; an exception in it (a broken invariant) stops the process."""
    task = runtime.loop.create_task(work)
    task.add_done_callback(_stop_on_defect)
    runtime.tasks.append(task)


def _stop_on_defect(task: asyncio.Task) -> None:
    if task.cancelled() or task.exception() is None:
        return
    LOG.critical("event=defect", exc_info=task.exception())
    signal.raise_signal(signal.SIGTERM)


async def refresh_standings(runtime: Runtime) -> Result[None, object]:
    """Update the standing of unresponsive servers; takes time for every known backend server."""
    runtime.apply_membership()
    return Success(None)


async def sweep(runtime: Runtime) -> None:
    """Expire suspects and streams, announce suspects, and update gauges periodically."""
    while True:
        now = time.monotonic()
        runtime.coordinator.tick(now)
        announce_suspects(runtime, now)
        runtime.stream_relay.sweep(now)
        runtime.metrics.open_requests.set({}, len(runtime.coordinator.list_open()))
        await asyncio.sleep(SWEEP_INTERVAL_S)


async def measure_lag(runtime: Runtime) -> None:
    """Measure how late the event loop's timers fire, since leases depend on them."""
    while True:
        due = time.monotonic() + LAG_INTERVAL_S
        await asyncio.sleep(LAG_INTERVAL_S)
        runtime.metrics.loop_lag.observe({}, max(0.0, time.monotonic() - due))


async def drain(runtime: Runtime, stop: StopSignals) -> int:
    """Announce the stop, finish requests in progress, and return the exit code."""
    now = time.monotonic()
    name = runtime.settings.instance.name
    runtime.coordinator.drain.start(now)
    for http_server in runtime.http_servers:
        http_server.close_after_answers()
    runtime.timeline.record("drain_started", instance=name)
    log_event(
        LOG, logging.INFO, "drain_started", open_requests=len(runtime.coordinator.list_open())
    )
    runtime.membership.apply_leaving(name, runtime.incarnation, name)
    subject = LeavingMember(name, runtime.incarnation)
    runtime.network.publish(LeavingNotice(instances=(subject,)))
    while not stop.immediate.is_set():
        count = runtime.count_open()
        if runtime.coordinator.drain.find_phase(count, time.monotonic()) is DrainPhase.DUE:
            break
        await asyncio.sleep(DRAIN_POLL_S)
    count = runtime.count_open()
    await cut_off(runtime)
    if not stop.immediate.is_set():
        await hand_over_all(runtime)
    log_event(LOG, logging.INFO, "drain_ended", cut_off=count)
    return EXIT_CUT_OFF if count else EXIT_OK


async def cut_off(runtime: Runtime) -> None:
    """End the requests that are left, and wait until their callers have answers."""
    runtime.coordinator.drain.cut_off()
    runtime.open_sockets.shut()
    until = time.monotonic() + CUT_OFF_WAIT_S
    while runtime.count_open() and time.monotonic() < until:
        await asyncio.sleep(DRAIN_POLL_S)


async def hand_over_all(runtime: Runtime) -> None:
    """Release ownership, retrying while orders are in flight; the rest expires with the lease."""
    try:
        async with asyncio.timeout(runtime.settings.leases.term_s):
            for _ in range(HAND_OVER_ATTEMPTS_MAX):
                if await hand_over_servers(runtime):
                    return
                await asyncio.sleep(DRAIN_POLL_S)
    except TimeoutError:
        log_event(LOG, logging.WARNING, "hand_over_timed_out")


async def close(runtime: Runtime) -> None:
    """Stop all tasks, connections and HTTP servers."""
    for task in runtime.tasks:
        task.cancel()
    await asyncio.gather(*runtime.tasks, return_exceptions=True)
    runtime.stream_relay.stop()
    await runtime.network.stop()
    for http_server in runtime.http_servers:
        await runtime.loop.run_in_executor(runtime.control, http_server.stop)
    runtime.control.shutdown(wait=False, cancel_futures=True)
    runtime.orders.shutdown(wait=False, cancel_futures=True)
