"""Backend servers in this instance's view: the models they hold, their load and failures."""

import math

from attrs import define, field

from rhubarbshed.protocol.servers import ServerEntry, ServerState
from rhubarbshed.state.membership.server_speed import ServerSpeed, UsualGap

SAMPLE_WINDOW_S = 3.0
SAMPLE_WINDOW_MIN_S = 0.05
SAMPLE_RUNS = 2.0
"""The weight of a load that a server reported decays by a factor of e in the time of so many runs,
within these bounds: most of the requests that it had are done by then."""

RUN_INITIAL_S = 0.3
RUN_WEIGHT = 0.1
"""Initial estimate of a run's seconds, and the weight of each new run in their mean."""

USUAL_WINDOW_S = 2.0
USUAL_KEPT_S = 5.0
"""Time over which reported loads are averaged, and in which the average decays by a factor of e
without a report: a server that was busy all the time still is when its last report is old."""

REPORTED_AGE_MAX_S = 0.5
"""Maximum age at which a load reported through another instance and the order holders arrives."""

FAILURE_WINDOW_S = 4.0
"""Time in which a failure's weight decays by a factor of e; faults last for some seconds."""

BACKOFF_FIRST_S = 0.5
BACKOFF_LONGEST_S = 4.0
"""Time for which an unresponsive server gets no requests, doubled with each failure up to the
longest; a crashed server returns after some seconds."""

REQUESTED_BACKOFF_MAX_S = 300.0
"""Longest time for which a server that asks for it gets nothing."""

ANNOUNCEMENT_KEPT_S = 4.0
"""Time for which the order holder's announcement of a server's models takes precedence over the
server's own entry, which may have been written before the order was carried out; longer than the
interval at which the holder announces each server."""


@define
class ServerRecord:
    """State of one incarnation of a backend server; times are monotonic seconds.

    `known_since` is when its entry was first read. The server may have announced at `leaving_at`
    that it leaves, which is known here since `leaving_known_at`.
    `open` counts this instance's unfinished attempts, since `open_since` without a break; the last
    of them to receive anything did so at `heard_at`. `reported_load` is the load that the server
    last reported, to this instance at `answered_at` or to another, known here since `sampled_at`;
    `others_load` is the part of it that is not from this instance, `usual_load` an average of the
    reported ones. `run_s` is the mean time of its runs, which begins with a guess, and
    `measured_run_s` that of the `runs` that ended here. `held` are the models with their adapters.
    `failures` and `attempts` are decaying sums.
    `rejections_borne` is set for a brittle server, which gets nothing before `rejecting_until`.
    `limit_per_s` are the requests that the server takes from all instances, if it names a limit,
    which it did last at `limit_named_at`. It gets none from here before `limited_until`, and
    refused callers may expect room at `limit_retry_at`. Before `backoff_until` it asked for nothing
    at all.
    At `reset_at` it last ended a new connection from here before it answered anything on it.
    `unloading` and `loading` name models in transition, the latter due at `loaded_at`.
    `speed` is None if the server has not stated how slow it is.
    """

    entry: ServerEntry
    seen_at: float
    known_since: float = -math.inf
    leaving_at: float | None = None
    leaving_known_at: float = -math.inf
    missing_since: float | None = None
    held: dict[str, set[str]] = field(factory=dict)
    announced_at: float = -math.inf
    open: int = 0
    open_since: float = -math.inf
    heard_at: float = -math.inf
    others_load: float = 0.0
    reported_load: int = 0
    usual_load: float = 0.0
    sampled_at: float = -math.inf
    answered_at: float = -math.inf
    run_s: float = RUN_INITIAL_S
    runs: int = 0
    measured_run_s: float = 0.0
    failures: float = 0.0
    attempts: float = 0.0
    decayed_at: float = 0.0
    unresponsive_until: float = -math.inf
    unresponsive_count: int = 0
    rejections_borne: float | None = None
    rejecting_until: float = -math.inf
    limit_per_s: float | None = None
    limit_named_at: float = -math.inf
    limited_until: float = -math.inf
    limit_retry_at: float = -math.inf
    backoff_until: float = -math.inf
    reset_at: float = -math.inf
    unloading: str = ""
    loading: str = ""
    loaded_at: float = math.inf
    speed: ServerSpeed | None = None

    @property
    def key(self) -> tuple[str, int]:
        """Return the key of the server's incarnation."""
        return self.entry.incarnation

    def holds(self, model: str, adapter: str) -> bool:
        """Return whether the server has a model and, if one is named, its adapter."""
        if model not in self.held or model == self.unloading:
            return False
        return not adapter or adapter in self.held[model]

    def remove_held(self, model: str, adapter: str) -> None:
        """Record that the server does not hold what it was asked for."""
        if adapter:
            self.held.get(model, set()).discard(adapter)
        else:
            self.held.pop(model, None)

    def leave(self, since: float, now: float) -> None:
        """Record that the server announced, at `since` or later, that it leaves."""
        self.leaving_at, self.leaving_known_at = since, now

    def takes_work(self, now: float) -> bool:
        """Return whether new requests may go to the server."""
        paused_until = max(self.unresponsive_until, self.backoff_until)
        return self.leaving_at is None and now >= paused_until

    def estimate_load(self, now: float) -> float:
        """Return the number of requests that are certainly still on the server.

        It falls to the own ones with the age of the last report, so that nobody is refused for an
        old one.
        """
        return self.open + self.others_load * self._measure_freshness(now)

    def estimate_usual_load(self, now: float) -> float:
        """Return the number of requests to expect on the server, to compare it with others.

        Where reports are old, what the server usually had takes their place: without it a server
        that is always full looks empty to an instance that sends it little.
        """
        age_s = max(0.0, now - self.sampled_at)
        usual = self.usual_load * math.exp(-age_s / USUAL_KEPT_S)
        unknown = (1.0 - self._measure_freshness(now)) * max(0.0, usual - self.open)
        return self.estimate_load(now) + unknown

    def split_load(self, run_s: float, now: float) -> tuple[float, float]:
        """Return the requests known to be on the server, and those to expect beside them.

        Of what was reported, each run of `run_s` ends a part; what others sent since takes its
        place, as much as the server usually had.
        """
        past = math.exp(-max(0.0, now - self.sampled_at) / run_s)
        known = self.open + self.others_load * past
        return known, (1.0 - past) * max(0.0, self.usual_load - self.open)

    def _measure_freshness(self, now: float) -> float:
        """Return which part of the reported load is still on the server."""
        age_s = max(0.0, now - self.sampled_at)
        window_s = min(SAMPLE_WINDOW_S, max(SAMPLE_WINDOW_MIN_S, SAMPLE_RUNS * self.run_s))
        return math.exp(-age_s / window_s)

    def begin_attempt(self, now: float) -> None:
        """Count an attempt that begins."""
        if not self.open:
            self.open_since = now
        self.open += 1

    def is_heard(self, since: float) -> bool:
        """Return whether the server sent this instance anything later than `since`."""
        return self.heard_at > since

    def measure_silence(self, now: float, own: int = 0) -> float:
        """Return for how many seconds no attempt received anything, 0 if none waits for it.

        A silence that only `own` attempts met may be that of a lost response.
        """
        return now - max(self.open_since, self.heard_at) if self.open > own else 0.0

    def record_run(self, run_s: float) -> None:
        """Update the mean time of a run with the time that one request took."""
        self.run_s += RUN_WEIGHT * (run_s - self.run_s)
        self.runs += 1
        weight = max(RUN_WEIGHT, 1.0 / self.runs)
        self.measured_run_s += weight * (run_s - self.measured_run_s)

    def record_load_sample(
        self, running: int, waiting: int, now: float, slowness: float | None = None
    ) -> None:
        """Record the load that the server reports in an answer, and its slowness if stated."""
        self._apply_load(running + waiting, now)
        self.answered_at = now
        if slowness is not None:
            self._record_slowness(slowness, slowness, now)
            self.speed.answered_at = now

    def apply_reported_slowness(self, stated: float, sample: float, now: float) -> None:
        """Apply a slowness stated to another instance, unless the server answered here since."""
        if self.speed is None or now - self.speed.answered_at > REPORTED_AGE_MAX_S:
            self._record_slowness(stated, sample, now)

    def _record_slowness(self, stated: float, sample: float, now: float) -> None:
        if self.speed is None:
            self.speed = ServerSpeed(stated, now)
        self.speed.record(stated, sample, now)

    @property
    def slowness(self) -> float:
        """Return how long work lastingly takes on the server, 1.0 as usual or if not stated."""
        return self.speed.lasting if self.speed is not None else 1.0

    def apply_reported_load(self, load: int, now: float) -> None:
        """Apply a load reported to another instance, unless the server answered here since."""
        if now - self.answered_at > REPORTED_AGE_MAX_S:
            self._apply_load(load, now)

    def _apply_load(self, load: int, now: float) -> None:
        weight = 1.0 - math.exp(-max(0.0, now - self.sampled_at) / USUAL_WINDOW_S)
        self.usual_load += weight * (load - self.usual_load)
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
        """Back off from an unresponsive server; return the seconds without requests to it."""
        pause_s = min(BACKOFF_LONGEST_S, BACKOFF_FIRST_S * 2**self.unresponsive_count)
        self.unresponsive_count += 1
        self.unresponsive_until = now + pause_s
        return pause_s

    def end_pause(self) -> None:
        """Let requests go to the server again, which was cut off or has sent something since."""
        self.unresponsive_until = -math.inf
        self.unresponsive_count = 0

    def record_backoff(self, backoff_s: float, now: float) -> bool:
        """Record that the server asked to get nothing for a while; return whether that is new.

        An answer that asks for less does not shorten what an earlier one asked for.
        """
        is_new = now >= self.backoff_until
        until = now + min(REQUESTED_BACKOFF_MAX_S, backoff_s)
        self.backoff_until = max(self.backoff_until, until)
        return is_new and now < until

    def measure_failures(self, now: float) -> float:
        """Return the share of recent attempts that failed, biased to 0 for few attempts."""
        self._decay(now)
        return self.failures / (self.attempts + 2.0)

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self.decayed_at) / FAILURE_WINDOW_S)
        self.failures *= factor
        self.attempts *= factor
        self.decayed_at = now


@define
class Fleet:
    """All backend servers by id and by service."""

    servers: dict[str, ServerRecord] = field(factory=dict)
    by_service: dict[str, dict[str, ServerRecord]] = field(factory=dict)
    usual_gaps: dict[str, UsualGap] = field(factory=dict)

    def list_service(self, service: str) -> list[ServerRecord]:
        """List the servers of a service."""
        return list(self.by_service.get(service, {}).values())

    def get(self, server_id: str) -> ServerRecord | None:
        """Return a server."""
        return self.servers.get(server_id)

    def record_gap(self, record: ServerRecord, longest_s: float) -> None:
        """Record the longest gap of a stream that a server which states its speed wrote alone."""
        if record.speed is not None and longest_s > 0.0:
            gap = self.usual_gaps.setdefault(record.entry.service, UsualGap())
            gap.record(longest_s, record.slowness)

    def find_usual_gap(self, service: str) -> float | None:
        """Return the gap between events at a server of usual speed, None if it is not known."""
        gap = self.usual_gaps.get(service)
        return gap.usual_s if gap is not None else None

    def apply(self, entry: ServerEntry, now: float, since: float | None = None) -> str:
        """Apply a server's entry; return the change, or "" if the entry is older or the same.

        It may have changed at `since` already, or just now.
        """
        since = now if since is None else since
        known = self.servers.get(entry.server_id)
        if known is not None and known.entry.started_ms > entry.started_ms:
            return ""
        if known is None or known.entry.started_ms != entry.started_ms:
            self._add(entry, now, since)
            return "came" if known is None else "restarted"
        return self._update(known, entry, now, since)

    def _add(self, entry: ServerEntry, now: float, since: float) -> None:
        self.remove(entry.server_id)
        record = ServerRecord(entry, now, now, held=_copy_held(entry))
        if entry.state is ServerState.DRAINING:
            record.leave(since, now)
        self.servers[entry.server_id] = record
        self.by_service.setdefault(entry.service, {})[entry.server_id] = record

    def _update(self, record: ServerRecord, entry: ServerEntry, now: float, since: float) -> str:
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
            record.leave(since, now)
            return "leaving"
        # A drain is final: an older entry that arrives late does not undo it.
        return "changed" if entry != before else ""

    def remove(self, server_id: str) -> bool:
        """Remove a server; return whether it was known."""
        record = self.servers.pop(server_id, None)
        if record is None:
            return False
        self.by_service.get(record.entry.service, {}).pop(server_id, None)
        return True

    def end_pauses(self) -> None:
        """Let requests go to all servers again, as the links to them were cut and not they."""
        for record in self.servers.values():
            record.end_pause()

    def apply_held_models(self, server_id: str, started_ms: int, held: dict, now: float) -> None:
        """Apply the order holder's announcement of a server's models and adapters."""
        record = self.servers.get(server_id)
        if record is None or record.entry.started_ms != started_ms:
            return
        record.held = {model: set(names) for model, names in held.items()}
        record.announced_at = now

    def apply_pending_changes(
        self, server_id: str, loading: str, left_s: float, unloading: str, now: float
    ):
        """Apply the order holder's announcement of models that a server is loading or unloading."""
        record = self.servers.get(server_id)
        if record is not None:
            record.unloading = unloading
            record.loading = loading
            record.loaded_at = now + left_s

    def mark_missing(self, present: set[str], now: float) -> list[str]:
        """Mark servers without an entry after an outage of the store; return the newly marked."""
        marked = []
        for server_id, record in self.servers.items():
            if server_id not in present and record.missing_since is None:
                record.missing_since = now
                marked.append(server_id)
        return marked

    def list_missing_since(self, until: float) -> list[str]:
        """List servers that have been without an entry since `until` or earlier."""
        return [
            server_id
            for server_id, record in self.servers.items()
            if record.missing_since is not None and record.missing_since <= until
        ]


def _copy_held(entry: ServerEntry) -> dict[str, set[str]]:
    return {model: set(names) for model, names in entry.models.items()}
