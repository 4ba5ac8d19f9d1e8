"""Backend servers as this instance knows them: what they hold, do, and how they fail."""

import math

from attrs import define, field

from rhubarbshed.protocol.servers import ServerEntry, ServerState

SAMPLE_WINDOW_S = 3.0
SAMPLE_WINDOW_MIN_S = 0.05
SAMPLE_RUNS = 2.0
"""What a server said of its load counts less by a factor of e in the time of so many of its runs,
within these bounds: most of what it had at hand is done by then."""

RUN_INITIAL_S = 0.3
RUN_WEIGHT = 0.1
"""Seconds that a run is taken to last at first, and the weight of each new one in their mean."""

REPORTED_AGE_MAX_S = 0.5
"""Age that a load told by another instance may have when it arrives, by way of order holders."""

FAILURE_WINDOW_S = 4.0
"""Time in which a failure counts less by a factor of e; troubles last some seconds."""

BACKOFF_FIRST_S = 0.5
BACKOFF_LONGEST_S = 4.0
"""Time for which a server that cannot be reached is left out, doubled with each failure up to the
longest; a crashed server is back after some seconds."""

ANNOUNCEMENT_KEPT_S = 4.0
"""Time for which the order holder's word on what a server holds goes before the server's own entry,
which may have been written before the order was carried out; longer than the time in which the
holder tells of each server."""


@define
class ServerRecord:
    """Hold one backend server; times are monotonic seconds.

    `open` counts this instance's unfinished attempts. `told` is the load that the server last told
    of, to this instance at `answered_at` or to another, known here since `sampled_at`; `others` is
    what of it was not this instance's. `run_s` is the mean time of its runs. `held` are the models
    with their adapters. `failures` is a decaying sum, as is `attempts`. `unloading` and `loading`
    name models on their way, the latter due at `loaded_at`.
    """

    entry: ServerEntry
    seen_at: float
    leaving_at: float | None = None
    missing_since: float | None = None
    held: dict[str, set[str]] = field(factory=dict)
    announced_at: float = -math.inf
    open: int = 0
    others_load: float = 0.0
    reported_load: int = 0
    sampled_at: float = -math.inf
    answered_at: float = -math.inf
    run_s: float = RUN_INITIAL_S
    failures: float = 0.0
    attempts: float = 0.0
    decayed_at: float = 0.0
    unresponsive_until: float = -math.inf
    unresponsive_count: int = 0
    unloading: str = ""
    loading: str = ""
    loaded_at: float = math.inf

    @property
    def key(self) -> tuple[str, int]:
        """Return the incarnation of the server."""
        return self.entry.incarnation

    def holds(self, model: str, adapter: str) -> bool:
        """Tell whether the server has a model and, where one is named, its adapter."""
        if model not in self.held or model == self.unloading:
            return False
        return not adapter or adapter in self.held[model]

    def takes_work(self, now: float) -> bool:
        """Tell whether new requests may go to the server."""
        return self.leaving_at is None and now >= self.unresponsive_until

    def estimate_load(self, now: float) -> float:
        """Return the requests that the server probably has at hand."""
        age_s = max(0.0, now - self.sampled_at)
        window_s = min(SAMPLE_WINDOW_S, max(SAMPLE_WINDOW_MIN_S, SAMPLE_RUNS * self.run_s))
        return self.open + self.others_load * math.exp(-age_s / window_s)

    def record_run(self, run_s: float) -> None:
        """Note how long the server took for a request."""
        self.run_s += RUN_WEIGHT * (run_s - self.run_s)

    def record_load_sample(self, running: int, waiting: int, now: float) -> None:
        """Note the load that the server tells in an answer."""
        self._note_load(running + waiting, now)
        self.answered_at = now

    def apply_reported_load(self, load: int, now: float) -> None:
        """Note the load that the server told another instance, unless it answered here since."""
        if now - self.answered_at > REPORTED_AGE_MAX_S:
            self._note_load(load, now)

    def _note_load(self, load: int, now: float) -> None:
        self.reported_load = load
        self.others_load = max(0.0, load - self.open)
        self.sampled_at = now

    def record_end(self, failed: bool, now: float) -> None:
        """Count an attempt that was answered, or failed after it was sent."""
        self._decay(now)
        self.attempts += 1.0
        self.failures += 1.0 if failed else 0.0
        if not failed:
            self.unresponsive_count = 0

    def record_unresponsive(self, now: float) -> float:
        """Leave the server out for a while; return for how long."""
        pause_s = min(BACKOFF_LONGEST_S, BACKOFF_FIRST_S * 2**self.unresponsive_count)
        self.unresponsive_count += 1
        self.unresponsive_until = now + pause_s
        return pause_s

    def measure_failures(self, now: float) -> float:
        """Return the share of recent attempts that failed, careful with few of them."""
        self._decay(now)
        return self.failures / (self.attempts + 2.0)

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self.decayed_at) / FAILURE_WINDOW_S)
        self.failures *= factor
        self.attempts *= factor
        self.decayed_at = now


@define
class Fleet:
    """Hold all backend servers by id, and by service."""

    servers: dict[str, ServerRecord] = field(factory=dict)
    by_service: dict[str, dict[str, ServerRecord]] = field(factory=dict)

    def list_service(self, service: str) -> list[ServerRecord]:
        """List the servers of a service."""
        return list(self.by_service.get(service, {}).values())

    def get(self, server_id: str) -> ServerRecord | None:
        """Return a server."""
        return self.servers.get(server_id)

    def apply(self, entry: ServerEntry, now: float) -> str:
        """Take a server's entry; return what it changed, or "" where it is older or the same."""
        known = self.servers.get(entry.server_id)
        if known is not None and known.entry.started_ms > entry.started_ms:
            return ""
        if known is None or known.entry.started_ms != entry.started_ms:
            self._add(entry, now)
            return "came" if known is None else "restarted"
        changed = self._update(known, entry, now)
        return changed

    def _add(self, entry: ServerEntry, now: float) -> None:
        self.remove(entry.server_id)
        record = ServerRecord(entry, now, held=_copy_held(entry))
        if entry.state is ServerState.DRAINING:
            record.leaving_at = now
        self.servers[entry.server_id] = record
        self.by_service.setdefault(entry.service, {})[entry.server_id] = record

    def _update(self, record: ServerRecord, entry: ServerEntry, now: float) -> str:
        before = record.entry
        if entry.service != before.service:
            self.by_service.get(before.service, {}).pop(entry.server_id, None)
            self.by_service.setdefault(entry.service, {})[entry.server_id] = record
        record.entry = entry
        record.seen_at = now
        record.missing_since = None
        if now - record.announced_at > ANNOUNCEMENT_KEPT_S:
            record.held = _copy_held(entry)
        if entry.state is ServerState.DRAINING and record.leaving_at is None:
            record.leaving_at = now
            return "leaving"
        # A drain is final: an older entry that arrives late does not take it back.
        return "changed" if entry != before else ""

    def remove(self, server_id: str) -> bool:
        """Forget a server; tell whether it was known."""
        record = self.servers.pop(server_id, None)
        if record is None:
            return False
        self.by_service.get(record.entry.service, {}).pop(server_id, None)
        return True

    def apply_held_models(self, server_id: str, started_ms: int, held: dict, now: float) -> None:
        """Take the order holder's word on the models and adapters that a server has."""
        record = self.servers.get(server_id)
        if record is None or record.entry.started_ms != started_ms:
            return
        record.held = {model: set(names) for model, names in held.items()}
        record.announced_at = now

    def apply_pending_changes(
        self, server_id: str, loading: str, left_s: float, unloading: str, now: float
    ):
        """Take the order holder's word on models that a server is loading or dropping."""
        record = self.servers.get(server_id)
        if record is not None:
            record.unloading = unloading
            record.loading = loading
            record.loaded_at = now + left_s

    def mark_missing(self, present: set[str], now: float) -> list[str]:
        """Mark servers without an entry after the store was away; return the newly marked."""
        marked = []
        for server_id, record in self.servers.items():
            if server_id not in present and record.missing_since is None:
                record.missing_since = now
                marked.append(server_id)
        return marked

    def list_missing_since(self, until: float) -> list[str]:
        """List servers that have been without an entry since that time or longer."""
        return [
            server_id
            for server_id, record in self.servers.items()
            if record.missing_since is not None and record.missing_since <= until
        ]


def _copy_held(entry: ServerEntry) -> dict[str, set[str]]:
    return {model: set(names) for model, names in entry.models.items()}
