"""Load digests: compact entries to send, expanded to full engine reports on receipt."""

import msgpack
import xxhash
from attrs import Factory, define, evolve

from rhubarbshed.protocol.orders import EngineReport
from rhubarbshed.protocol.peers import (
    PEER_CONVERTER,
    LoadDetail,
    LoadDigest,
    LoadEntry,
)

DETAIL_INTERVAL_S = 300.0
"""Maximum time between two entries that carry an engine's detail."""
REMOTE_INTERVAL_MIN_S = 3.0
REMOTE_INTERVAL_PER_PEER_S = 0.25
"""Interval between digests to other data centres, by the peers that relay each of them there."""
REQUEST_INTERVAL_S = 5.0
"""Minimum time between two requests for details that were missed."""
CACHE_EVENTS_MAX = 2
"""Maximum number of cache events in one entry; a gap in their sequence counts as a loss."""
CACHE_EVENT_PEERS_MAX = 16
"""Maximum number of peers here for cache events to be sent; with more they cost too many bytes."""
MS_PER_S = 1000

ReceivedReport = tuple[EngineReport, float]
"""An engine's report and the monotonic time at which it was received."""


@define
class LoadOutbox:
    """Details last sent of each engine, so that unchanged ones are not repeated."""

    sent: dict[tuple[str, bool], tuple[int, float]] = Factory(dict)
    remote_at: float | None = None

    def collect(
        self, reports: tuple[ReceivedReport, ...], now: float, peers: int
    ) -> tuple[LoadDigest, ...]:
        """Create a heartbeat's digests: for `peers` here and, when due, for other data centres."""
        if not reports:
            return ()
        digest = self.make_digest(reports, now, peers)
        interval_s = choose_remote_interval(peers)
        due = self.remote_at is None or now - self.remote_at >= interval_s
        remote_reports = reports if due else self._list_changed(reports)
        if due:
            self.remote_at = now
        return (
            (digest, self.make_digest(remote_reports, now, peers, remote=True))
            if remote_reports
            else (digest,)
        )

    def _list_changed(self, reports: tuple[ReceivedReport, ...]) -> tuple[ReceivedReport, ...]:
        """List reports whose details other data centres do not have yet.

        These are sent at once, as a loaded model must not wait for the interval.
        """
        return tuple(
            (report, at)
            for report, at in reports
            if self._get_remote_hash(report.backend_server) != hash_detail(_make_detail(report))
        )

    def _get_remote_hash(self, backend_server: str) -> int | None:
        sent_hash, _ = self.sent.get((backend_server, True), (None, 0.0))
        return sent_hash

    def make_digest(
        self,
        reports: tuple[ReceivedReport, ...],
        now: float,
        peers: int = 0,
        remote: bool = False,
    ) -> LoadDigest:
        """Create a digest with the details that changed or were last sent long ago."""
        with_events = not remote and peers <= CACHE_EVENT_PEERS_MAX
        entries = []
        for report, at in reports:
            detail = _make_detail(report)
            detail_hash = hash_detail(detail)
            needed = self._needs_detail((report.backend_server, remote), detail_hash, now)
            entry = _make_entry(report, now - at, detail_hash, with_events)
            entries.append(evolve(entry, detail=detail) if needed else entry)
        return LoadDigest(tuple(entries), remote)

    def _needs_detail(self, key: tuple[str, bool], detail_hash: int, now: float) -> bool:
        known_hash, sent_at = self.sent.get(key, (None, now))
        if known_hash == detail_hash and now - sent_at < DETAIL_INTERVAL_S:
            return False
        self.sent[key] = (detail_hash, now)
        return True


@define
class LoadInbox:
    """Details and newest reports of engines as received from peers."""

    details: dict[str, tuple[int, LoadDetail]] = Factory(dict)
    reports: dict[str, ReceivedReport] = Factory(dict)
    missed: bool = False
    requested_at: float | None = None

    def expand(self, digest: LoadDigest, now: float) -> tuple[EngineReport, ...]:
        """Return full reports; an entry whose detail has not been received is left out."""
        expanded = []
        for entry in digest.entries:
            report = self._expand_entry(entry)
            if report is None:
                self.missed = True
                continue
            expanded.append(report)
            self.reports[report.backend_server] = (report, now)
        return tuple(expanded)

    def needs_request(self, now: float) -> bool:
        """Return whether to request missed details from a peer now, and record the request."""
        recent = self.requested_at is not None and now - self.requested_at < REQUEST_INTERVAL_S
        if not self.missed or recent:
            return False
        self.missed = False
        self.requested_at = now
        return True

    def make_answer(self, own: tuple[ReceivedReport, ...], now: float) -> LoadDigest:
        """Answer a request with all known reports, including those of the own engines."""
        return LoadOutbox().make_digest((*self.reports.values(), *own), now)

    def forget(self, backend_server: str) -> None:
        """Remove an engine that is gone."""
        self.details.pop(backend_server, None)
        self.reports.pop(backend_server, None)

    def _expand_entry(self, entry: LoadEntry) -> EngineReport | None:
        if entry.detail is not None:
            self.details[entry.backend_server] = (entry.detail_hash, entry.detail)
        detail_hash, detail = self.details.get(entry.backend_server, (None, None))
        if detail is None or detail_hash != entry.detail_hash:
            return None
        return EngineReport(
            entry.backend_server,
            entry.age_ms / MS_PER_S,
            entry.running,
            entry.waiting,
            entry.waiting_tokens,
            entry.memory_bytes_used,
            detail.memory_bytes_total,
            detail.fencing_token,
            entry.tokens_per_s,
            entry.prefill_tokens_per_s,
            detail.slots,
            detail.role,
            detail.resident,
            entry.cache_events,
            detail.boot_id,
        )


def choose_remote_interval(peers: int) -> float:
    """Return the seconds between digests to other data centres; many peers cost more bytes."""
    return max(REMOTE_INTERVAL_MIN_S, peers * REMOTE_INTERVAL_PER_PEER_S)


def _make_entry(
    report: EngineReport, held_s: float, detail_hash: int, with_events: bool
) -> LoadEntry:
    return LoadEntry(
        report.backend_server,
        detail_hash,
        round((report.age_s + held_s) * MS_PER_S),
        report.running,
        report.waiting,
        report.waiting_tokens,
        report.memory_bytes_used,
        round(report.tokens_per_s),
        round(report.prefill_tokens_per_s),
        report.cache_events[-CACHE_EVENTS_MAX:] if with_events else (),
    )


def _make_detail(report: EngineReport) -> LoadDetail:
    return LoadDetail(
        report.boot_id,
        report.memory_bytes_total,
        report.fencing_token,
        report.slots,
        report.role,
        report.resident,
    )


def hash_detail(detail: LoadDetail) -> int:
    """Return a hash that changes with the detail and is the same on all instances."""
    return xxhash.xxh32_intdigest(msgpack.packb(PEER_CONVERTER.unstructure(detail)))
