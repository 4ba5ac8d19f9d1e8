"""Load of backend servers: delayed reports corrected by this instance's own dispatches."""

import math
from collections.abc import Iterable, Set

from attrs import define, evolve, field, frozen

from rhubarbshed.protocol.members import BackendServerInfo, Standing
from rhubarbshed.protocol.orders import EngineReport
from rhubarbshed.protocol.requests import Priority
from rhubarbshed.protocol.services import ServiceReport
from rhubarbshed.state.requests.prefixes import PrefixCache

SLOT_TIME_DEFAULT_S = 4.0
SLOT_TIME_SMOOTHING = 0.1
FAILURE_HALF_LIFE_S = 5.0
FAILURES_MAX = 8.0
RATE_WINDOW_S = 3.0
UNREPORTED_AGE_MAX_S = 3.0
ENDED_KEPT_S = 30.0
LOST_KEPT_S = 10.0
# Time until all instances know that a model is resident; requests avoid the copy before.
PROPAGATION_S = 2.0
CUT_OFF_KEPT_S = 30.0
PAST_BOOTS_MAX = 8
PAST_BOOT_IGNORED_S = 5.0
STANDINGS_USED = (Standing.LIVE, Standing.SUSPECTED)

AttemptKey = tuple[str, int]


@frozen
class SentAttempt:
    """Attempt that this instance sent to a server; `ended_at` is None while it is open."""

    target: str
    prompt_tokens: int
    sent_at: float
    ended_at: float | None = None
    priority: Priority = Priority.STANDARD


@frozen
class Candidate:
    """Backend server that a request may go to, as of one instant.

    `in_flight` and `waiting_tokens` are corrected by own dispatches, `own_in_flight` is exact.
    `unreported` estimates what other instances added since the report, less what ended; it may be
    negative. `slot_time_s` is an attempt's mean time in a slot. `lost` marks a server that crashed
    recently: it keeps its rank in the order of choice, but gets no requests. `newly_resident`
    marks a copy that not every instance may know of. `own_priorities` are those of the own
    attempts in flight.
    """

    info: BackendServerInfo
    in_flight: float
    waiting_tokens: float
    own_in_flight: int
    unreported: float
    slots: int
    slot_time_s: float
    prefill_tokens_per_s: float
    cached_share: float
    adapter_resident: bool
    failures: float
    report_age_s: float
    suspected: bool = False
    lost: bool = False
    newly_resident: bool = False
    own_priorities: tuple[Priority, ...] = ()


@define
class ServerLoad:
    """Load of one backend server as known to this instance."""

    info: BackendServerInfo
    standing: Standing = Standing.LIVE
    engine: EngineReport | None = None
    service: ServiceReport | None = None
    received_at: float = -math.inf
    sent: dict[AttemptKey, SentAttempt] = field(factory=dict)
    prefixes: PrefixCache = field(factory=PrefixCache)
    slot_time_s: float = SLOT_TIME_DEFAULT_S
    slot_time_samples: int = 0
    failures: float = 0.0
    failures_at: float = 0.0
    rate: float = 0.0
    rate_at: float = 0.0
    lost_at: float = -math.inf
    lost_targets: frozenset[str] = frozenset()
    past_boots: tuple[str, ...] = ()
    resident_since: dict[str, float] = field(factory=dict)
    unanswered_at: float = math.inf
    cut_off_until: float = -math.inf

    @property
    def report(self) -> EngineReport | ServiceReport | None:
        """Return the last report, of the kind that the server sends."""
        return self.engine or self.service

    @property
    def boot_id(self) -> str:
        """Return the boot that reported last, empty before the first report."""
        return self.report.boot_id if self.report else ""

    def count_open(self) -> int:
        """Return the number of own attempts in flight."""
        return len(self.list_open_priorities())

    def list_open_priorities(self) -> tuple[Priority, ...]:
        """Return the priorities of own attempts in flight."""
        return tuple(sent.priority for sent in self.sent.values() if sent.ended_at is None)

    def record_slot_time(self, slot_time_s: float) -> None:
        """Add one attempt's time in a slot; the first ones count as in an arithmetic mean."""
        self.slot_time_samples += 1
        self.slot_time_s += max(SLOT_TIME_SMOOTHING, 1.0 / self.slot_time_samples) * (
            slot_time_s - self.slot_time_s
        )

    def compute_measured_at(self) -> float:
        """Return when the last report was measured, on this instance's clock."""
        return self.received_at - self.report.age_s if self.report else -math.inf

    def compute_in_flight(self) -> float:
        """Return requests in flight: the report plus own ones sent, less own ones ended since."""
        report = self.report
        reported = report.running + report.waiting if report else 0
        measured_at = self.compute_measured_at()
        for sent in self.sent.values():
            is_open = sent.ended_at is None
            if sent.sent_at > measured_at:
                reported += int(is_open)
            elif not is_open and sent.ended_at > measured_at:
                reported -= 1
        return float(max(reported, self.count_open()))

    def count_dispatch(self, now: float) -> None:
        """Add a dispatch to the mean rate of own dispatches, per second."""
        self.rate = self.compute_rate(now) + 1.0 / RATE_WINDOW_S
        self.rate_at = now

    def compute_rate(self, now: float) -> float:
        """Return the rate of own dispatches, per second, as a decaying mean."""
        return self.rate * math.exp((self.rate_at - now) / RATE_WINDOW_S)

    def compute_unreported(self, instances: int, rate: float, now: float) -> float:
        """Return the change in requests in flight since the report that other instances caused.

        This assumes that they send at this instance's `rate` and that slots free at the mean rate.
        """
        report = self.report
        if report is None or instances <= 1:
            return 0.0
        age_s = min(UNREPORTED_AGE_MAX_S, max(0.0, now - self.compute_measured_at()))
        arrivals = rate * (instances - 1)
        ends = min(report.running, report.slots) / max(self.slot_time_s, 1e-3)
        return age_s * (arrivals - ends * (instances - 1) / instances)

    def compute_waiting_tokens(self, now: float) -> float:
        """Return prompt tokens not yet processed, less those processed since the report."""
        measured_at = self.compute_measured_at()
        speed = self.engine.prefill_tokens_per_s if self.engine else 0.0
        tokens = float(self.engine.waiting_tokens) if self.engine else 0.0
        if self.engine and self.engine.running < self.engine.slots:
            tokens = max(0.0, tokens - speed * (now - measured_at))
        for sent in self.sent.values():
            if sent.ended_at is None and sent.sent_at > measured_at:
                tokens += max(0.0, sent.prompt_tokens - speed * (now - sent.sent_at))
        return tokens

    def compute_failures(self, now: float) -> float:
        """Return recent failures, halved with each half-life since."""
        return self.failures * 0.5 ** ((now - self.failures_at) / FAILURE_HALF_LIFE_S)

    def is_lost(self, now: float) -> bool:
        """Return whether the server crashed recently."""
        return now - self.lost_at < LOST_KEPT_S

    def apply_engine_report(self, report: EngineReport, now: float) -> None:
        """Apply a report and record since when each resident model or adapter is known.

        Those of the first report may have been resident for long.
        """
        since = -math.inf if self.engine is None else now
        known = self.resident_since
        self.engine = report
        self.prefixes.apply_events(report.cache_events)
        names = (resident.name for resident in report.resident if resident.ready)
        self.resident_since = {name: known.get(name, since) for name in names}

    def record_cut_off(
        self, report: EngineReport | ServiceReport, restarted: bool, now: float
    ) -> None:
        """Record a server as cut off if peers report it running but it did not answer here."""
        if not restarted and now - report.age_s > self.unanswered_at:
            self.unanswered_at = math.inf
            self.cut_off_until = now + CUT_OFF_KEPT_S

    def is_newly_resident(self, names: Iterable[str], now: float) -> bool:
        """Return whether any of these residents became known recently."""
        return any(now - self.resident_since.get(name, -math.inf) < PROPAGATION_S for name in names)

    def find_residents(self) -> Set[str]:
        """Return the names of models and adapters that are ready by the last report."""
        return self.resident_since.keys()

    def forget_ended(self, now: float) -> None:
        """Remove ended attempts that the report no longer counts, or that are old."""
        measured_at = max(self.compute_measured_at(), now - ENDED_KEPT_S)
        ended = [
            key
            for key, sent in self.sent.items()
            if sent.ended_at is not None and sent.ended_at <= measured_at
        ]
        for key in ended:
            del self.sent[key]


@define
class LoadView:
    """Load of all backend servers that this instance knows of."""

    servers: dict[str, ServerLoad] = field(factory=dict)
    instances: int = 1

    def set_instances(self, instances: int) -> None:
        """Set how many instances send to the same backend servers, including this one."""
        self.instances = max(1, instances)

    def set_servers(self, infos: Iterable[BackendServerInfo]) -> None:
        """Replace the list of backend servers; the state of those that remain is kept."""
        known = self.servers
        self.servers = {}
        for info in infos:
            server = known.get(info.name) or ServerLoad(info)
            server.info = info
            self.servers[info.name] = server

    def set_standing(self, name: str, standing: Standing, now: float) -> None:
        """Set the standing of a backend server; one that becomes gone counts as crashed."""
        server = self.servers.get(name)
        if server is None:
            return
        if standing is Standing.GONE and server.standing is not Standing.GONE:
            self.record_crash(name, now)
        server.standing = standing

    def apply_report(self, report: EngineReport | ServiceReport, now: float) -> bool:
        """Apply a load report; return whether it shows that the backend server restarted.

        A report older than the one in use is ignored, as is one of an earlier boot that arrives
        late. Boots have no order, and a late one may be mistaken for a new one, so a boot treated
        as past counts again once it continues to report and the other does not.
        """
        server = self.servers.get(report.backend_server)
        if server is None or self._is_outdated(server, report, now):
            return False
        restarted = bool(server.boot_id) and server.boot_id != report.boot_id
        if restarted:
            self.record_crash(report.backend_server, now)
            past = [boot for boot in server.past_boots if boot != report.boot_id]
            server.past_boots = (*past, server.boot_id)[-PAST_BOOTS_MAX:]
        server.received_at = now
        server.record_cut_off(report, restarted, now)
        if isinstance(report, EngineReport):
            server.apply_engine_report(report, now)
        else:
            server.service = report
        server.forget_ended(now)
        return restarted

    def is_newer(self, report: EngineReport | ServiceReport, now: float) -> bool:
        """Return whether a report is of a known server and not older than the one in use."""
        server = self.servers.get(report.backend_server)
        return server is not None and not self._is_outdated(server, report, now)

    def _is_outdated(
        self, server: ServerLoad, report: EngineReport | ServiceReport, now: float
    ) -> bool:
        margin_s = PAST_BOOT_IGNORED_S if report.boot_id in server.past_boots else 0.0
        return now - report.age_s < server.compute_measured_at() + margin_s

    def record_unanswered(self, name: str, now: float) -> None:
        """Record that a server did not answer this instance; it may be down or cut off."""
        if name in self.servers:
            self.servers[name].unanswered_at = now

    def record_answered(self, name: str) -> None:
        """Record that a server answered this instance."""
        if name in self.servers:
            self.servers[name].unanswered_at = math.inf
            self.servers[name].cut_off_until = -math.inf

    def list_cut_off(self, now: float) -> tuple[str, ...]:
        """List the servers that run but are cut off from this instance, longest first."""
        cut = [each for each in self.servers.values() if now < each.cut_off_until]
        return tuple(each.info.name for each in sorted(cut, key=lambda each: each.cut_off_until))

    def record_crash(self, name: str, now: float) -> None:
        """Clear what a crash clears, and keep the server's rank in the order of choice."""
        server = self.servers.get(name)
        if server is None:
            return
        kept = server.lost_targets if server.is_lost(now) else frozenset()
        server.lost_targets = frozenset(server.find_residents() | kept)
        server.lost_at = now
        server.prefixes.clear()

    def record_dispatch(
        self,
        name: str,
        key: AttemptKey,
        target: str,
        prompt_tokens: int,
        now: float,
        priority: Priority = Priority.STANDARD,
    ) -> None:
        """Record an own attempt that is sent now."""
        if name in self.servers:
            sent = SentAttempt(target, prompt_tokens, now, priority=priority)
            self.servers[name].sent[key] = sent
            self.servers[name].count_dispatch(now)

    def record_end(
        self,
        name: str,
        key: AttemptKey,
        failed: bool | None,
        now: float,
        first_token_at: float | None = None,
    ) -> None:
        """Record the end of an own attempt; a second call for one attempt changes nothing.

        `failed` is None for an attempt that says nothing about the server, such as a cancelled
        one. Slot time counts from the first token on, without the wait before it.
        """
        server = self.servers.get(name)
        sent = server.sent.get(key) if server else None
        if server is None or sent is None or sent.ended_at is not None:
            return
        server.sent[key] = evolve(sent, ended_at=now)
        server.forget_ended(now)
        if failed is None:
            return
        recent = server.compute_failures(now)
        server.failures = min(FAILURES_MAX, recent + 1.0) if failed else recent / 2
        server.failures_at = now
        if not failed:
            since = sent.sent_at if first_token_at is None else first_token_at
            server.record_slot_time(now - since)

    def find_boot_id(self, name: str) -> str:
        """Return the boot that a backend server reported last, empty where none is known."""
        return self.servers[name].boot_id if name in self.servers else ""

    def count_in_flight(self, name: str) -> float:
        """Return the corrected number of requests in flight on a backend server."""
        return self.servers[name].compute_in_flight() if name in self.servers else 0.0

    def list_candidates(
        self, model: str, adapter: str, prefixes: tuple[str, ...], now: float
    ) -> tuple[Candidate, ...]:
        """Return the engines that hold the adapter or, if none does, those with its model."""
        with_model = self._list_engines(model, adapter, prefixes, now)
        with_adapter = tuple(found for found in with_model if found.adapter_resident)
        has_usable = any(not found.lost for found in with_adapter)
        return with_adapter if adapter and has_usable else with_model

    def _list_engines(
        self, model: str, adapter: str, prefixes: tuple[str, ...], now: float
    ) -> tuple[Candidate, ...]:
        found = []
        rate = self._compute_mean_rate(model, now)
        for name in sorted(self.servers):
            server = self.servers[name]
            residents = server.find_residents()
            was_there = server.is_lost(now) and model in server.lost_targets
            is_there = _is_used(server, now) and model in residents
            if not is_there and not was_there:
                continue
            share = server.prefixes.estimate_cached_share(prefixes)
            held = residents | server.lost_targets if was_there else residents
            has_adapter = not adapter or adapter in held
            others = (self.instances, rate)
            newly_resident = server.is_newly_resident((model, adapter), now)
            found.append(_make_candidate(server, share, has_adapter, others, now, newly_resident))
        return tuple(found)

    def _compute_mean_rate(self, model: str, now: float) -> float:
        """Return the mean rate of own dispatches over the engines that hold a model.

        Other instances spread theirs as evenly, so the mean is more reliable than one engine's few.
        """
        holders = (each for each in self.servers.values() if model in each.find_residents())
        rates = [each.compute_rate(now) for each in holders]
        return sum(rates) / len(rates) if rates else 0.0

    def list_service_candidates(self, names: Iterable[str], now: float) -> tuple[Candidate, ...]:
        """Return those replicas of a plain service that are in use."""
        servers = (self.servers[name] for name in sorted(names) if name in self.servers)
        return tuple(
            _make_candidate(server, 0.0, True, (self.instances, server.compute_rate(now)), now)
            for server in servers
            if _is_used(server, now) or server.is_lost(now)
        )


def _is_used(server: ServerLoad, now: float) -> bool:
    return server.standing in STANDINGS_USED and now >= server.cut_off_until


def _make_candidate(
    server: ServerLoad,
    cached_share: float,
    adapter_resident: bool,
    others: tuple[int, float],
    now: float,
    newly_resident: bool = False,
) -> Candidate:
    report = server.report
    return Candidate(
        info=server.info,
        in_flight=server.compute_in_flight(),
        waiting_tokens=server.compute_waiting_tokens(now),
        own_in_flight=server.count_open(),
        unreported=server.compute_unreported(*others, now),
        slots=max(1, report.slots if report else 1),
        slot_time_s=server.slot_time_s,
        prefill_tokens_per_s=server.engine.prefill_tokens_per_s if server.engine else 0.0,
        cached_share=cached_share,
        adapter_resident=adapter_resident,
        failures=server.compute_failures(now),
        report_age_s=now - server.compute_measured_at(),
        suspected=server.standing is Standing.SUSPECTED,
        lost=server.is_lost(now),
        newly_resident=newly_resident,
        own_priorities=server.list_open_priorities(),
    )
