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

DETAIL_INTERVAL_S = 10.0
"""Longest time between two entries that carry an engine's detail."""
CACHE_EVENTS_MAX = 2
"""Most cache events in one entry; a gap in their sequence counts as a loss."""
MS_PER_S = 1000


@define
class LoadOutbox:
    """Remember which detail was last sent of each engine, so that it is not repeated."""

    sent: dict[str, tuple[int, float]] = Factory(dict)

    def forget(self) -> None:
        """Send every engine's detail next time, because a new peer holds none."""
        self.sent.clear()

    def make_digest(
        self, reports: tuple[tuple[EngineReport, float], ...], now: float, remote: bool = False
    ) -> LoadDigest:
        """Make a digest of reports, each with the time that it was received at."""
        entries = (self._make_entry(report, at, now) for report, at in reports)
        return LoadDigest(tuple(entries), remote)

    def _make_entry(self, report: EngineReport, at: float, now: float) -> LoadEntry:
        detail = _make_detail(report)
        detail_hash = hash_detail(detail)
        known_hash, sent_at = self.sent.get(report.backend_server, (None, now))
        needed = known_hash != detail_hash or now - sent_at >= DETAIL_INTERVAL_S
        if needed:
            self.sent[report.backend_server] = (detail_hash, now)
        return LoadEntry(
            report.backend_server,
            detail_hash,
            round((report.age_s + now - at) * MS_PER_S),
            report.running,
            report.waiting,
            report.waiting_tokens,
            report.memory_bytes_used,
            round(report.tokens_per_s),
            round(report.prefill_tokens_per_s),
            report.cache_events[-CACHE_EVENTS_MAX:],
            detail if needed else None,
        )


@define
class LoadInbox:
    """Hold the detail of each engine that peers told of."""

    details: dict[str, tuple[int, LoadDetail]] = Factory(dict)

    def expand(self, digest: LoadDigest) -> tuple[EngineReport, ...]:
        """Return full reports; an entry whose detail has not come yet is left out."""
        reports = (self._expand_entry(entry) for entry in digest.entries)
        return tuple(report for report in reports if report is not None)

    def forget(self, backend_server: str) -> None:
        """Drop an engine that is gone."""
        self.details.pop(backend_server, None)

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


def add_age(digest: LoadDigest, held_s: float) -> LoadDigest:
    """Return a digest that is passed on, older by the time that it was held."""
    held_ms = round(held_s * MS_PER_S)
    entries = tuple(evolve(entry, age_ms=entry.age_ms + held_ms) for entry in digest.entries)
    return evolve(digest, entries=entries)
