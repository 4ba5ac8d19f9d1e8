"""Periodic tasks of an instance: reads of the platform and of load reports."""

import asyncio
import contextlib
import logging
import time
from collections.abc import Awaitable, Callable

from returns.result import Failure, Result, Success

from rhubarbshed.coordination.agreement.catalogues import (
    load_snapshot,
    refresh_catalogue,
    store_snapshot,
)
from rhubarbshed.coordination.agreement.retention import run_retention_step
from rhubarbshed.coordination.membership.membership import (
    list_backend_servers,
    list_instances,
    may_return,
)
from rhubarbshed.coordination.requests.isolation import release_pending
from rhubarbshed.coordination.requests.settlement import settle_pending
from rhubarbshed.protocol.members import BackendKind, BackendServerInfo
from rhubarbshed.protocol.peers import CatalogueHint
from rhubarbshed.transport.engines import fetch_service_report
from rhubarbshed.transport.exchange import notify_leaving_server
from rhubarbshed.transport.placing import reconcile
from rhubarbshed.transport.runtime import STANDINGS_IN_USE, Runtime
from rhubarbshed.util.logs import log_event
from rhubarbshed.util.rendezvous import rank_by_rendezvous

LOG = logging.getLogger(__name__)
INTERVAL_JITTER = (0.8, 1.1)
# Pauses after failures are spread wider, so that instances do not all retry at once.
BACKOFF_JITTER = (0.4, 1.0)
BACKOFF_FACTOR = 2.0
CONCURRENT_PROBES_MAX = 4
SNAPSHOT_JOB = "snapshot"
RETENTION_JOB = "retention"

Step = Callable[[Runtime], Awaitable[Result]]


async def repeat(
    runtime: Runtime, interval_s: float, step: Step, wakeup: asyncio.Event | None = None
) -> None:
    """Repeat a step; after failures back off exponentially, with jitter, up to a maximum.

    `wakeup` cuts a wait short, except after a failure.
    """
    wakeup = wakeup or asyncio.Event()
    pause_s = 0.0
    while True:
        wakeup.clear()
        result = await step(runtime)
        pause_s = choose_pause(runtime, pause_s, isinstance(result, Success))
        if pause_s:
            await asyncio.sleep(pause_s * runtime.rng.uniform(*BACKOFF_JITTER))
            continue
        wait_s = interval_s * runtime.rng.uniform(*INTERVAL_JITTER)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await wakeup.wait()


def choose_pause(runtime: Runtime, pause_s: float, succeeded: bool) -> float:
    """Return the backoff after a step: 0 after success, else doubled up to a maximum."""
    platform = runtime.settings.platform
    if succeeded:
        return 0.0
    longer = max(platform.backoff_first_s, pause_s * BACKOFF_FACTOR)
    return min(platform.backoff_longest_s, longer)


async def read_list(runtime: Runtime) -> Result[None, object]:
    """Read the platform's list and apply it."""
    fetched = await runtime.run_control(runtime.platform.fetch)
    if isinstance(fetched, Failure):
        runtime.metrics.platform_errors.inc({"call": "list"})
        return fetched
    now = time.monotonic()
    runtime.membership.apply_list(fetched.unwrap(), now)
    runtime.apply_membership()
    announce_leaving(runtime, now)
    return Success(None)


def announce_leaving(runtime: Runtime, now: float) -> None:
    """Announce leaving backend servers to peers, so that none waits for its own read of the list.

    The instance that reads the server's load announces it. The standing is final here too.
    """
    for name in runtime.polled_servers:
        known = runtime.membership.backend_servers.get(name)
        if known is None or not known.listed_leaving or known.leaving_by:
            continue
        runtime.membership.apply_leaving(name, "", runtime.membership.name)
        runtime.timeline.record("server_leaving", backend_server=name)
        notify_leaving_server(runtime, known.info)


async def read_catalogue(runtime: Runtime) -> Result[None, object]:
    """Read the catalogue's changes, announce them to peers, and store a snapshot.

    A snapshot that could not be stored is tried again with the next read.
    """
    refreshed = await refresh_catalogue(runtime.access, runtime.catalogue)
    runtime.platform_up = isinstance(refreshed, Success)
    if isinstance(refreshed, Failure):
        runtime.metrics.platform_errors.inc({"call": "catalogue"})
        return refreshed
    runtime.catalogue_known = True
    changed = refreshed.unwrap()
    if changed:
        catalogue = runtime.catalogue
        runtime.note_catalogue_change(len(changed), "the table")
        runtime.network.publish(CatalogueHint(catalogue.revision, catalogue.head))
        runtime.snapshot_due = True
    if runtime.snapshot_due and is_job_owner(runtime, SNAPSHOT_JOB):
        stored = await store_snapshot(runtime.access, runtime.objects, runtime.catalogue)
        runtime.snapshot_due = isinstance(stored, Failure)
    return Success(None)


def is_job_owner(runtime: Runtime, job: str) -> bool:
    """Return whether this instance does a job for all instances; two at a time do no harm."""
    names = [info.name for info in list_instances(runtime.membership, time.monotonic())]
    return rank_by_rendezvous(job, names)[:1] == [runtime.membership.name]


async def remove_old_rows(runtime: Runtime) -> Result[None, object]:
    """Remove obsolete rows of the table, if this instance has the retention job."""
    if not is_job_owner(runtime, RETENTION_JOB) or not runtime.leases.is_held(time.monotonic()):
        return Success(None)
    settings = runtime.settings
    removed = await run_retention_step(
        runtime.access,
        runtime.retention,
        settings.retention,
        settings.quarantine,
        lambda name: may_return(runtime.membership, name, time.monotonic()),
        time.monotonic,
    )
    if isinstance(removed, Success) and removed.unwrap():
        log_event(LOG, logging.INFO, "rows_removed", count=removed.unwrap())
    return removed


async def restore_catalogue(runtime: Runtime) -> None:
    """Load the catalogue snapshot, so that an instance serves while the table service is down."""
    restored = await load_snapshot(runtime.access, runtime.objects, runtime.catalogue)
    if isinstance(restored, Success) and restored.unwrap():
        log_event(LOG, logging.INFO, "snapshot_restored", ticket=runtime.catalogue.head)


def list_reported_servers(runtime: Runtime) -> list[BackendServerInfo]:
    """List the backend servers whose load this instance reads: its share of the data centre.

    Those that it owns are added, since their ledgers only advance with a report. The choice
    needs no agreement: two readers at a time only cost a few messages more.
    """
    now = time.monotonic()
    centre = runtime.settings.instance.data_centre
    names = [info.name for info in list_instances(runtime.membership, now, data_centre=centre)]
    servers = list_backend_servers(runtime.membership, now, *STANDINGS_IN_USE, data_centre=centre)
    own, owned = runtime.membership.name, runtime.leases.owned
    return [
        info
        for info in servers
        if info.name in owned or rank_by_rendezvous(info.name, names)[:1] == [own]
    ]


async def read_reports(runtime: Runtime) -> Result[None, object]:
    """Read the load reports that this instance reads for its data centre."""
    servers = list_reported_servers(runtime)
    runtime.polled_servers = tuple(info.name for info in servers)
    await asyncio.gather(*(_read_report(runtime, info) for info in servers))
    return Success(None)


async def _read_report(runtime: Runtime, info: BackendServerInfo) -> None:
    server = runtime.load.servers.get(info.name)
    if server is None:
        return
    requested_at = time.monotonic()
    if info.kind is BackendKind.SERVICE:
        fetched = await runtime.run_control(fetch_service_report, runtime.http, info)
    else:
        sequence = server.prefixes.sequence
        fetched = await runtime.run_control(runtime.engines.fetch_report, info, sequence)
    now = time.monotonic()
    if isinstance(fetched, Failure):
        runtime.membership.observe_failure(info.name, now)
        return
    runtime.membership.record_contact(info.name, now)
    report = fetched.unwrap()
    runtime.coordinator.apply_report(report, now)
    if info.kind is BackendKind.ENGINE:
        await reconcile(runtime, info, report, requested_at)


async def probe_unreachable_servers(runtime: Runtime) -> Result[None, object]:
    """Check live servers that did not answer this instance, so that they are used again soon."""
    cut = runtime.load.list_cut_off(time.monotonic())[:CONCURRENT_PROBES_MAX]
    await asyncio.gather(*(runtime.check_server(name) for name in cut))
    return Success(None)


async def settle_request_ends(runtime: Runtime) -> Result[None, object]:
    """Write ends of requests that the table could not record before, at a bounded rate."""
    gateway = runtime.gateway
    now = time.monotonic()
    allowed = runtime.backlog.count_allowed(len(list_instances(runtime.membership, now)), now)
    due = min(allowed, len(gateway.isolation_releases.pending))
    released = await release_pending(gateway.table, gateway.isolation_releases, due)
    runtime.backlog.spend(due)
    rest = min(allowed - due, len(gateway.settlements.pending))
    settled = await settle_pending(gateway.table, gateway.settlements, rest)
    runtime.backlog.spend(rest)
    failed = due + rest - released - settled
    return Failure(failed) if failed else Success(None)
