"""State that an instance exchanges with its peers: frames to send and handling of received ones."""

import logging
import time

from attrs import define, evolve, field

from rhubarbshed.protocol.catalogue import CatalogueObject
from rhubarbshed.protocol.members import BackendServerInfo
from rhubarbshed.protocol.orders import EngineReport
from rhubarbshed.protocol.peers import (
    CatalogueHint,
    CatalogueObjects,
    CatalogueRequest,
    DemandDigest,
    DemandUpdate,
    Frame,
    Heartbeat,
    LeavingMember,
    LeavingNotice,
    ListAnswer,
    ListRequest,
    LoadDigest,
    LoadRequest,
    QuarantineNotice,
    ServiceDigest,
)
from rhubarbshed.protocol.quarantine import QuarantineEntry, merge_entries
from rhubarbshed.state.membership.digests import LoadInbox, LoadOutbox
from rhubarbshed.state.placement.demand import DemandOutbox, make_whole_update
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)
# Time to wait for the table service to show a change that a peer announced, before asking a peer.
PULL_WAIT_S = 2.0
DEMAND_INTERVAL_S = 5.0
SERVICES_REMOTE_INTERVAL_S = 3.0
# Isolation marks of servers expire soon, so they are sent again while they hold.
ISOLATION_MARKS_INTERVAL_S = 1.0
DEMAND_REMOTE_INTERVAL_S = 10.0
# Interval between requests for the platform's list while none is known, and maximum age of a known
# list before it is requested again.
LIST_FIRST_INTERVAL_S = 1.0
LIST_INTERVAL_S = 30.0


@define
class PeerExchange:
    """State of the exchange with peers: what was last announced, requested and received.

    `hinted_revision` is the newest catalogue revision that a peer announced, `pulled_revision` the
    newest that was pulled completely from a peer. `pulling` has, by peer, the revision of the first
    page of a pull in progress. `announced_entries` has quarantine entries as sent to peers or
    received from them, by fingerprint. Times are monotonic seconds.
    """

    outbox: LoadOutbox = field(factory=LoadOutbox)
    inbox: LoadInbox = field(factory=LoadInbox)
    hinted_revision: int = 0
    hinted_at: float = 0.0
    pulled_revision: int = 0
    pulled_at: float = 0.0
    demand_outbox: DemandOutbox | None = None
    demand_at: float = 0.0
    services_remote_at: float = 0.0
    demand_remote_at: float = 0.0
    announced_entries: dict[str, QuarantineEntry] = field(factory=dict)
    marks_at: float = 0.0
    announced_marks: frozenset[tuple[str, str]] = frozenset()
    list_requested_at: float = float("-inf")
    pulling: dict[str, int] = field(factory=dict)


def make_heartbeat(runtime) -> Heartbeat:
    """Make the heartbeat: catalogue revision, whether this instance leaves and holds a lease."""
    catalogue = runtime.catalogue
    known = max(catalogue.revision, runtime.exchange.pulled_revision)
    leaving = runtime.coordinator.drain.started_at is not None
    holds_lease = runtime.leases.is_held(time.monotonic())
    return Heartbeat(known, catalogue.head, leaving, holds_lease)


def make_greeting_frames(runtime, peer: str, now: float) -> tuple[Frame, ...]:
    """Make urgent frames for a new peer: requests that crash servers, own load and demand.

    While this instance has no platform list, they include a request for one.
    """
    entries = runtime.coordinator.suspects.view.list_news(now)
    load = LoadOutbox().make_digest(tuple(_list_own_reports(runtime, now)), now)
    requests = (ListRequest(),) if runtime.membership.last_list is None else ()
    return (QuarantineNotice(entries), load, *_make_demand_greeting(runtime, peer, now), *requests)


def _make_demand_greeting(runtime, peer: str, now: float) -> tuple[DemandUpdate, ...]:
    """Make an update of this instance's demand for a peer in the same data centre.

    Delegates send the sum of the data centre to the others.
    """
    known = runtime.membership.instances.get(peer)
    if known is None or known.info.data_centre != runtime.settings.instance.data_centre:
        return ()
    return (make_whole_update(runtime.demand.report_busiest(now)),)


def collect_digests(runtime, now: float) -> tuple[Frame, ...]:
    """Collect load and demand to send with the heartbeats; to other data centres less often."""
    reports = tuple(_list_own_reports(runtime, now))
    peers = len(runtime.network.topology.mesh)
    return (
        *runtime.exchange.outbox.collect(reports, now, peers),
        *_collect_services(runtime, now),
        *_collect_demand(runtime, now),
    )


def _collect_services(runtime, now: float) -> tuple[ServiceDigest, ...]:
    """Collect the load of plain services; for other data centres less often."""
    exchange = runtime.exchange
    servers = (runtime.load.servers.get(name) for name in runtime.polled_servers)
    reports = tuple(
        evolve(server.service, age_s=now - server.compute_measured_at())
        for server in servers
        if server is not None and server.service is not None
    )
    if not reports:
        return ()
    if now - exchange.services_remote_at < SERVICES_REMOTE_INTERVAL_S:
        return (ServiceDigest(reports),)
    exchange.services_remote_at = now
    return ServiceDigest(reports), ServiceDigest(reports, remote=True)


def _collect_demand(runtime, now: float) -> tuple[DemandUpdate, ...]:
    """Collect changes of own demand and, on a delegate, the sum for other data centres."""
    exchange = runtime.exchange
    frames = []
    if now - exchange.demand_at >= DEMAND_INTERVAL_S:
        exchange.demand_at = now
        if exchange.demand_outbox is None:
            exchange.demand_outbox = DemandOutbox(runtime.demand.window_s)
        update = exchange.demand_outbox.collect(runtime.demand.report(now), now)
        frames += [update] if update is not None else []
    is_remote_due = now - exchange.demand_remote_at >= DEMAND_REMOTE_INTERVAL_S
    if is_remote_due and runtime.network.topology.is_delegate:
        exchange.demand_remote_at = now
        data_centre = runtime.settings.instance.data_centre
        summed = runtime.demand.report_data_centre(data_centre, now)
        frames.append(make_whole_update(summed, remote=True))
    return tuple(frames)


def announce_suspects(runtime, now: float) -> None:
    """Announce new quarantine entries and isolated servers to peers without delay.

    Marks of isolated servers are repeated every `ISOLATION_MARKS_INTERVAL_S`.
    """
    exchange = runtime.exchange
    view = runtime.coordinator.suspects.view
    unannounced = tuple(
        item
        for item in view.list_news(now)
        if exchange.announced_entries.get(item.entry.fingerprint) != item.entry
    )
    marks = view.list_isolation_marks(now)
    kept = frozenset((mark.backend_server, mark.fingerprint) for mark in marks)
    is_new = not kept <= exchange.announced_marks
    is_due = bool(marks) and now - exchange.marks_at >= ISOLATION_MARKS_INTERVAL_S
    if not unannounced and not is_new and not is_due:
        return
    exchange.announced_entries.update({item.entry.fingerprint: item.entry for item in unannounced})
    exchange.marks_at = now
    exchange.announced_marks = kept
    runtime.network.publish(QuarantineNotice(unannounced, marks))


def _handle_quarantine_notice(runtime, notice: QuarantineNotice, now: float) -> None:
    """Merge a peer's quarantine notice; what only this instance knows is still to be announced."""
    view, announced = runtime.coordinator.suspects.view, runtime.exchange.announced_entries
    view.merge_news(notice.entries, now)
    for item in notice.entries:
        fingerprint = item.entry.fingerprint
        before = announced.get(fingerprint, QuarantineEntry(fingerprint))
        announced[fingerprint] = merge_entries(before, item.entry)
    view.merge_isolation_marks(notice.marks, now)


def _list_own_reports(runtime, now: float) -> list[tuple[EngineReport, float]]:
    """Return recent engine reports that this instance polled itself, with the times of receipt."""
    oldest = now - runtime.settings.routing.report_age_max_s
    servers = (runtime.load.servers.get(name) for name in runtime.polled_servers)
    return [
        (server.engine, server.received_at)
        for server in servers
        if server is not None and server.engine is not None and server.received_at >= oldest
    ]


def handle_frame(runtime, peer: str, frame: Frame, now: float) -> None:
    """Handle a frame from a peer, by its type."""
    match frame:
        case LoadDigest():
            _handle_load_digest(runtime, peer, frame, now)
        case LoadRequest():
            own_reports = tuple(_list_own_reports(runtime, now))
            runtime.network.send(peer, runtime.exchange.inbox.make_answer(own_reports, now))
        case Heartbeat(revision=revision, holds_lease=holds_lease):
            runtime.membership.note_lease(peer, holds_lease)
            _handle_catalogue_hint(runtime, peer, revision, now)
            _request_list(runtime, peer, now)
        case CatalogueHint(revision=revision):
            _handle_catalogue_hint(runtime, peer, revision, now)
            runtime.catalogue_wakeup.set()
        case CatalogueRequest():
            runtime.network.send(peer, make_page(runtime, frame))
        case CatalogueObjects():
            _handle_page(runtime, peer, frame)
        case LeavingNotice():
            runtime.apply_membership()
        case QuarantineNotice():
            _handle_quarantine_notice(runtime, frame, now)
        case ListRequest():
            _send_list(runtime, peer, now)
        case ListAnswer():
            _handle_list_answer(runtime, peer, frame, now)
        case ServiceDigest():
            for report in frame.reports:
                runtime.coordinator.apply_report(report, now)
        case DemandUpdate():
            runtime.demand.apply_update(frame, now)
        case DemandDigest():
            runtime.demand.merge(frame.report, now)
        case _:
            log_event(LOG, logging.WARNING, "frame_unexpected", peer=peer)


def _handle_load_digest(runtime, peer: str, digest: LoadDigest, now: float) -> None:
    """Apply reported load of engines; request details that were missed."""
    inbox = runtime.exchange.inbox
    for report in inbox.expand(digest, now):
        runtime.coordinator.apply_report(report, now)
    if inbox.needs_request(now):
        runtime.network.send(peer, LoadRequest())


def _request_list(runtime, peer: str, now: float) -> None:
    """Request the platform's list from a peer while this instance cannot read a recent one."""
    membership, exchange = runtime.membership, runtime.exchange
    interval_s = LIST_FIRST_INTERVAL_S if membership.last_list is None else LIST_INTERVAL_S
    is_old = now - membership.last_list_at >= interval_s
    if is_old and now - exchange.list_requested_at >= interval_s:
        exchange.list_requested_at = now
        runtime.network.send(peer, ListRequest())


def _send_list(runtime, peer: str, now: float) -> None:
    listed = runtime.membership.last_list
    if listed is not None:
        age_s = now - runtime.membership.last_list_at
        runtime.network.send(peer, ListAnswer(listed, age_s))


def _handle_list_answer(runtime, peer: str, answer: ListAnswer, now: float) -> None:
    if not runtime.membership.apply_peer_list(answer.listed, now - max(0.0, answer.age_s)):
        return
    runtime.apply_membership()
    runtime.timeline.record("list_told", peer=peer, age_s=round(answer.age_s, 1))
    log_event(LOG, logging.INFO, "list_told", peer=peer, age_s=round(answer.age_s, 1))


def _handle_catalogue_hint(runtime, peer: str, revision: int, now: float) -> None:
    """Pull the catalogue from a peer with a newer revision that the table does not show in time.

    While the platform is down, the pull starts without a wait.
    """
    exchange = runtime.exchange
    if revision > exchange.hinted_revision:
        exchange.hinted_revision = revision
        exchange.hinted_at = now
    known = max(runtime.catalogue.revision, exchange.pulled_revision)
    if 0 < revision <= known:
        runtime.catalogue_known = True
    is_wait_over = now - exchange.hinted_at >= PULL_WAIT_S or not runtime.platform_up
    is_requested = now - exchange.pulled_at < PULL_WAIT_S
    if revision > known and is_wait_over and not is_requested:
        exchange.pulled_at = now
        exchange.pulling.pop(peer, None)
        runtime.network.send(peer, CatalogueRequest(0))


def make_page(runtime, request: CatalogueRequest) -> CatalogueObjects:
    """Make one page of the catalogue, sorted by key."""
    catalogue = runtime.catalogue
    found = [
        entry
        for entry in catalogue.list_objects()
        if entry.ticket > request.ticket and _make_sort_key(entry) > request.key_after
    ]
    page = tuple(found[: request.limit])
    more_after = _make_sort_key(page[-1]) if len(found) > len(page) else ""
    known = max(catalogue.revision, runtime.exchange.pulled_revision)
    return CatalogueObjects(page, known, catalogue.head, more_after)


def _make_sort_key(entry: CatalogueObject) -> str:
    return f"{entry.key.kind}/{entry.key.name}"


def _handle_page(runtime, peer: str, page: CatalogueObjects) -> None:
    """Apply one page of a pull, which is complete up to the revision of its first page only.

    A change at the sender between two pages may be missing from the earlier one.
    """
    changed = runtime.catalogue.apply_objects(page.objects, page.ticket)
    if changed:
        runtime.note_catalogue_change(len(changed), peer)
    exchange = runtime.exchange
    first_revision = exchange.pulling.setdefault(peer, page.revision)
    if page.more_after:
        runtime.network.send(peer, CatalogueRequest(0, page.more_after))
        return
    runtime.catalogue_known = True
    del exchange.pulling[peer]
    exchange.pulled_revision = max(exchange.pulled_revision, first_revision)


def notify_leaving_server(runtime, info: BackendServerInfo) -> None:
    """Announce to peers that a backend server is leaving."""
    runtime.network.publish(LeavingNotice(backend_servers=(LeavingMember(info.name),)))
