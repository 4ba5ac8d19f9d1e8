"""Load digests: compact entries out, full engine reports in."""

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
"""Longest time between two entries that carry an engine's detail."""
REMOTE_INTERVAL_MIN_S = 3.0
REMOTE_INTERVAL_PER_PEER_S = 0.25
"""Time between two digests to other data centres, by peers that each is passed on to there."""
REQUEST_INTERVAL_S = 5.0
"""Shortest time between two requests for details that were missed."""
CACHE_EVENTS_MAX = 2
"""Most cache events in one entry; a gap in their sequence counts as a loss."""
CACHE_EVENT_PEERS_MAX = 16
"""Most peers in the data centre for which cache events are sent; beyond, bytes forbid it."""
MS_PER_S = 1000

ReceivedReport = tuple[EngineReport, float]
"""An engine's report and the monotonic time that it was received at."""


@define
class LoadOutbox:
    """Remember which detail was last sent of each engine, so that it is not repeated."""

    sent: dict[tuple[str, bool], tuple[int, float]] = Factory(dict)
    remote_at: float | None = None

    def collect(
        self, reports: tuple[ReceivedReport, ...], now: float, peers: int
    ) -> tuple[LoadDigest, ...]:
        """Make this beat's digests: one for `peers` here, and when due one for elsewhere."""
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
        """List reports whose detail other data centres do not know; a load must not wait there."""
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
        """Make a digest, with the details that changed or were not sent for long."""
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
    """Hold what peers told of each engine: the detail, and the newest report."""

    details: dict[str, tuple[int, LoadDetail]] = Factory(dict)
    reports: dict[str, ReceivedReport] = Factory(dict)
    missed: bool = False
    requested_at: float | None = None

    def expand(self, digest: LoadDigest, now: float) -> tuple[EngineReport, ...]:
        """Return full reports; an entry whose detail has not come yet is left out."""
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
        """Tell whether to ask a peer for missed details now, and note that this is done."""
        recent = self.requested_at is not None and now - self.requested_at < REQUEST_INTERVAL_S
        if not self.missed or recent:
            return False
        self.missed = False
        self.requested_at = now
        return True

    def make_answer(self, own: tuple[ReceivedReport, ...], now: float) -> LoadDigest:
        """Answer a request with all that is known, the own engines' reports included."""
        return LoadOutbox().make_digest((*self.reports.values(), *own), now)

    def forget(self, backend_server: str) -> None:
        """Drop an engine that is gone."""
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
    """Return the seconds between digests to other data centres; bytes limit large ones."""
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
    """Return a hash that changes with the detail, alike on all instances."""
    return xxhash.xxh32_intdigest(msgpack.packb(PEER_CONVERTER.unstructure(detail)))
