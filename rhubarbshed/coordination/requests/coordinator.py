"""Coordinator of the requests open on this instance: dispatch, retries, hedges, refusals."""

import logging
import random

from attrs import define, field, frozen

from rhubarbshed.coordination.requests.admission import (
    UNAVAILABLE,
    Admission,
    describe_unknown_target,
)
from rhubarbshed.coordination.requests.attempt_results import (
    SERVER_ERROR,
    record_abandoned,
    record_end,
)
from rhubarbshed.coordination.requests.drain import DRAINING_MESSAGE, Drain
from rhubarbshed.coordination.requests.isolation import IsolatedRunAnswer, IsolatedRunHeld
from rhubarbshed.coordination.requests.lookup import FindAdapter, FindModel, FindService, Lookup
from rhubarbshed.coordination.requests.quarantine import IsolatedRunRefused, describe_refused
from rhubarbshed.coordination.requests.refusals import (
    BUSY_WAIT_S,
    ISOLATED_RUN_WAIT_S,
    describe_busy,
    describe_last_failure,
    describe_no_server,
    describe_quarantined,
    spread_retries,
)
from rhubarbshed.coordination.requests.retries import (
    RetryBudget,
    compute_hedge_delay,
    compute_pause,
    decide_hedge,
    describe_deadline,
    list_budget_keys,
    may_retry,
)
from rhubarbshed.coordination.requests.routing import Route, choose_route, find_pair, make_route
from rhubarbshed.coordination.requests.suspects import Suspects
from rhubarbshed.coordination.requests.trials import (
    IsolatedRunPending,
    TrialStep,
    choose_trial,
    judge_trial,
)
from rhubarbshed.protocol.errors import RequestError
from rhubarbshed.protocol.orders import EngineReport
from rhubarbshed.protocol.requests import AttemptEnd, AttemptResult, Dispatch, Refusal, Request
from rhubarbshed.protocol.services import ServiceReport
from rhubarbshed.state.membership.load import Candidate, LoadView
from rhubarbshed.state.requests.attempts import OpenRequest, OpenRequests, Trial
from rhubarbshed.state.stall import Stall
from rhubarbshed.util.settings import RoutingSettings, Settings

log = logging.getLogger(__name__)

PENDING_MESSAGE = "it may have crashed backend servers; whether it did is being found out"

CONFLICT = 409


@frozen
class IsolatedRunNeeded:
    """Request that may only run isolated; `resume_isolated` continues it after the claim."""

    request_id: str
    fingerprint: str


@frozen
class AttemptSuperseded:
    """Ended attempt that does not decide on its request, which is still open; nothing to do."""

    request_id: str


@define
class RequestCoordinator:
    """All requests open on this instance and the state that decisions on them need."""

    settings: Settings
    lookup: Lookup
    load: LoadView
    admission: Admission
    budget: RetryBudget
    suspects: Suspects
    drain: Drain
    rng: random.Random
    open: OpenRequests = field(factory=OpenRequests)
    stall: Stall = field(factory=Stall)

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        find_model: FindModel,
        find_adapter: FindAdapter,
        find_service: FindService,
        load: LoadView | None = None,
    ) -> "RequestCoordinator":
        """Create a coordinator without open requests."""
        seed = f"{settings.routing.seed}:{settings.instance.name}"
        load = load if load is not None else LoadView()
        return cls(
            settings=settings,
            lookup=Lookup(find_model, find_adapter, find_service),
            load=load,
            admission=Admission.from_settings(settings.admission, settings.routing.seed),
            budget=RetryBudget(settings.retries),
            suspects=Suspects.from_settings(settings.quarantine),
            drain=Drain.from_settings(settings.shutdown),
            rng=random.Random(seed),
        )

    def open_request(self, request: Request, now: float) -> Dispatch | Refusal | IsolatedRunNeeded:
        """Decide on a new request; only a dispatch or `IsolatedRunNeeded` leaves it open."""
        error = self.check_new(request, now)
        if error is not None:
            return Refusal(error)
        item = OpenRequest(request, self.lookup.find_target_s(request) or 0.0)
        self.open.items[request.request_id] = item
        self.admission.count_opened(request)
        self.budget.deposit(list_budget_keys(request), now)
        if self.suspects.is_suspect(request.fingerprint):
            return IsolatedRunNeeded(request.request_id, request.fingerprint)
        return self._dispatch(item, now)

    def resume_isolated(
        self, request_id: str, answer: IsolatedRunAnswer, now: float
    ) -> IsolatedRunPending | Refusal | None:
        """Continue a suspect after the table's answer; None if its caller has disconnected."""
        if isinstance(answer, IsolatedRunHeld | IsolatedRunRefused):
            self.suspects.view.merge_entry(answer.entry, now)
        item = self.open.items.get(request_id)
        if item is None:
            return None
        refusal = self._check_suspect(item, now)
        if refusal is not None:
            return refusal
        if not isinstance(answer, IsolatedRunHeld):
            return self._refuse_busy(item, "suspect_busy", "it may only run alone, later")
        item.isolation_held = True
        return self._begin_trial(item, now)

    def start_isolated(
        self, request_id: str, now: float
    ) -> Dispatch | IsolatedRunPending | Refusal | None:
        """Start a suspect once its server is idle; None if its caller has disconnected."""
        item = self.open.items.get(request_id)
        if item is None or item.trial is None:
            return None
        refusal = self._check_suspect(item, now)
        if refusal is not None:
            return refusal
        boot_id = self.load.find_boot_id(item.trial.backend_server)
        step, found = judge_trial(item.trial, self._find_pair(item, now), boot_id, now)
        if step is TrialStep.WAIT:
            return IsolatedRunPending(request_id, item.trial.backend_server)
        if step is TrialStep.START:
            item.trial = None
            return self._send(
                item, make_route(item.request, found, *self._get_routing_context()), now
            )
        if step is TrialStep.BUSY:
            item.trial = None
            self.suspects.reserve(item.request.fingerprint, found.info.name, now)
        message = "no backend server is idle to try this request alone"
        return self._refuse_busy(item, "suspect_waits", message, ISOLATED_RUN_WAIT_S)

    def _check_suspect(self, item: OpenRequest, now: float) -> Refusal | None:
        """Refuse a suspect with too many crashes or past its deadline; else return None."""
        if self.suspects.is_refused(item.request.fingerprint):
            return self._refuse(item, describe_quarantined(item.request, item.has_run))
        if self.suspects.is_exhausted(item.request.fingerprint):
            return self._refuse_busy(item, "suspect_pending", PENDING_MESSAGE, ISOLATED_RUN_WAIT_S)
        if now >= item.request.deadline:
            return self._refuse(item, describe_deadline(item.request, item.has_run))
        if self.drain.is_over(now):
            return self._refuse_busy(item, "draining", DRAINING_MESSAGE)
        return None

    def _begin_trial(self, item: OpenRequest, now: float) -> IsolatedRunPending | Refusal:
        """Isolate a server for a suspect whose run is claimed."""
        fingerprint = item.request.fingerprint
        others = self.suspects.list_isolated_for_others(fingerprint, now)
        found = choose_trial(self._find_pair(item, now), others)
        if found is None:
            return self._refuse_without_server(item, now)
        name = found.info.name
        item.trial = Trial(name, self.load.find_boot_id(name), now)
        self.suspects.set_isolation(name, fingerprint, item.request.deadline)
        return IsolatedRunPending(item.request.request_id, name)

    def may_release_isolation(self, fingerprint: str) -> bool:
        """Return whether a claim may be released: the run has ended, and how is known.

        After an earlier release, another instance would try the suspect on the next server.
        """
        is_running = any(
            item.isolation_held and item.request.fingerprint == fingerprint
            for item in self.open.items.values()
        )
        return not is_running and not self.suspects.is_run_undecided(fingerprint)

    def end_attempt(
        self, result: AttemptResult, now: float
    ) -> Dispatch | Refusal | IsolatedRunNeeded | AttemptSuperseded | None:
        """Record the end of an attempt and decide what follows; None if the request is finished.

        The transport cancels the other attempts of a finished request. `result.tokens` counts the
        tokens passed on in this attempt alone.
        """
        item = self.open.items.get(result.request_id)
        sent = item.dispatches.pop(result.attempt, None) if item is not None else None
        if item is None:
            return None
        if sent is None:
            return AttemptSuperseded(result.request_id)
        record_end(self.load, self.suspects, item, sent, result, now)
        if result.end is AttemptEnd.CRASHED:
            self.report_crash(sent.backend_server, item.boots.get(sent.attempt, ""), now)
        self.suspects.clear_isolation(sent.backend_server, item.request.fingerprint)
        if result.end is AttemptEnd.DONE and result.status < SERVER_ERROR:
            self.suspects.record_complete_answer(item.request.fingerprint, now)
        if result.end in (AttemptEnd.DONE, AttemptEnd.CALLER_GONE):
            self.cancel(result.request_id, now)
            return None
        if item.dispatches:
            return AttemptSuperseded(result.request_id)
        return self._decide_again(item, result, now)

    def hedge(self, request_id: str, now: float) -> Dispatch | None:
        """Start a second attempt of a request without a first token, if one is due."""
        item = self.open.items.get(request_id)
        if item is None or len(item.dispatches) != 1 or item.isolation_held or item.hedged:
            return None
        if self.suspects.is_suspect(item.request.fingerprint) or self.drain.is_over(now):
            return None
        is_past_deadline = now >= item.request.deadline
        if is_past_deadline or item.attempts >= self.settings.retries.attempts_max:
            return None
        waited_s = now - item.request.received_at
        if not decide_hedge(item.request, item.tokens > 0, waited_s, self.settings.retries):
            return None
        first_server = next(iter(item.dispatches.values())).backend_server
        route = self._choose(item, frozenset((first_server,)), now)
        if route is None:
            return None
        times = (route.predicted_s, route.idle_s, item.target_s)
        if self.admission.check_time(item.request, *times, now) is not None:
            return None
        if not self.budget.withdraw(list_budget_keys(item.request), now):
            return None
        item.hedged = True
        return self._send(item, route, now)

    def abandon_attempt(self, request_id: str, attempt: int, now: float) -> Dispatch | None:
        """Drop an attempt, as the other one has its first token; return what to cancel.

        If a later attempt was quicker, that counts as a failure of this attempt's server.
        """
        item = self.open.items.get(request_id)
        sent = item.dispatches.pop(attempt, None) if item is not None else None
        if sent is None:
            return None
        is_slow = any(number > attempt for number in item.dispatches)
        item.has_run = True
        record_abandoned(self.suspects, item, sent, now)
        self.load.record_end(sent.backend_server, (request_id, attempt), is_slow or None, now)
        return sent

    def cancel(self, request_id: str, now: float) -> tuple[Dispatch, ...]:
        """Close a request, as after its caller disconnects; return the attempts to cancel."""
        item = self.open.items.get(request_id)
        if item is None:
            return ()
        dispatches = tuple(item.dispatches.values())
        for sent in dispatches:
            record_abandoned(self.suspects, item, sent, now)
            self.load.record_end(sent.backend_server, (request_id, sent.attempt), None, now)
            self.suspects.clear_isolation(sent.backend_server, item.request.fingerprint)
        item.dispatches.clear()
        self._close(item)
        return dispatches

    def report_crash(self, backend_server: str, boot_id: str, now: float) -> None:
        """Record that a boot of a backend server ended with a crash; idempotent."""
        fingerprints = self.open.list_fingerprints(backend_server, boot_id)
        self.suspects.confirm_crash(backend_server, boot_id, fingerprints, now)
        if self.load.find_boot_id(backend_server) == boot_id:
            self.load.record_crash(backend_server, now)

    def apply_report(self, report: EngineReport | ServiceReport, now: float) -> None:
        """Apply a load report; one of another boot also shows that the boot before crashed."""
        if not self.load.is_newer(report, now):
            return
        boot_before = self.load.servers[report.backend_server].boot_id
        if boot_before and report.boot_id != boot_before:
            self.report_crash(report.backend_server, boot_before, now)
        else:
            alive_at = now - report.age_s
            self.suspects.rule_out(report.backend_server, report.boot_id, alive_at)
        self.load.apply_report(report, now)

    def tick(self, now: float) -> None:
        """Remove expired records; to be called about once a second, or it counts as a stall."""
        self.stall.record_activity(now)
        self.suspects.forget_old(now)

    def compute_pause(self, attempt: int) -> float:
        """Return the seconds to wait before sending a retry."""
        return compute_pause(attempt, self.rng)

    def list_open(self) -> tuple[OpenRequest, ...]:
        """Return all open requests."""
        return tuple(self.open.items.values())

    def check_new(self, request: Request, now: float) -> RequestError | None:
        """Return the error of a request that is refused before a server is chosen, else None."""
        busy_s = self.admission.compute_retry_after(BUSY_WAIT_S)
        error = self.drain.check_open(busy_s, now)
        if error is not None:
            return error
        if self.lookup.find_target_s(request) is None:
            return describe_unknown_target(request)
        if self.suspects.is_refused(request.fingerprint):
            return describe_refused(request.fingerprint)
        if self.suspects.is_exhausted(request.fingerprint):
            return self.admission.refuse(
                UNAVAILABLE, "suspect_pending", PENDING_MESSAGE, ISOLATED_RUN_WAIT_S
            )
        if request.request_id in self.open.items:
            message = "a request with this id is in progress on this instance"
            return RequestError(CONFLICT, "request_id_in_use", message, field="X-Request-Id")
        if now >= request.deadline:
            return describe_deadline(request, has_run=False)
        return self.admission.check_bounds(request, BUSY_WAIT_S)

    def _choose(self, item: OpenRequest, extra: frozenset[str], now: float) -> Route | None:
        """Choose a server; copies of one fingerprint go to the server that runs the first."""
        request = item.request
        routing_context = self._get_routing_context()
        pair = self._find_pair(item, now)
        avoided = self.suspects.list_isolated_servers(now) | extra
        copy_server = self.open.find_server_of(request.fingerprint)
        same = [found for found in pair if found.info.name == copy_server]
        if same and not extra and copy_server not in avoided and not same[0].lost:
            return choose_route(request, same, *routing_context, self.rng, avoided)
        failed = avoided | item.failed_servers
        route = choose_route(request, pair, *routing_context, self.rng, failed)
        if route is not None or extra:
            return route
        return choose_route(request, pair, *routing_context, self.rng, avoided)

    def _find_pair(self, item: OpenRequest, now: float) -> list[Candidate]:
        """Find the two servers for a request, without those that reported its model missing."""
        found = self.lookup.list_candidates(item.request, self.load, now)
        holders = (each for each in found if each.info.name not in item.servers_missing_model)
        return find_pair(item.request, holders)

    def _get_routing_context(self) -> tuple[str, RoutingSettings]:
        return self.settings.instance.data_centre, self.settings.routing

    def _dispatch(self, item: OpenRequest, now: float) -> Dispatch | Refusal:
        request = item.request
        route = self._choose(item, frozenset(), now)
        if route is None:
            return self._refuse_without_server(item, now)
        times = (route.predicted_s, route.idle_s, item.target_s)
        error = self.admission.check_time(request, *times, now)
        if error is not None and item.attempts == 0:
            candidates = self.lookup.list_candidates(request, self.load, now)
            instances = self.load.instances
            error = spread_retries(self.admission, request, candidates, instances, error, now)
            return self._refuse(item, error)
        return self._send(item, route, now)

    def _refuse_without_server(self, item: OpenRequest, now: float) -> Refusal:
        candidates = self.lookup.list_candidates(item.request, self.load, now)
        return self._refuse_busy(item, *describe_no_server(candidates, item.isolation_held))

    def _send(self, item: OpenRequest, route: Route, now: float) -> Dispatch:
        request = item.request
        info = route.candidate.info
        left_s = max(0.0, request.deadline - now)
        first_byte_s = self.settings.routing.first_byte_timeout_s + route.predicted_s
        dispatch = Dispatch(
            request_id=request.request_id,
            attempt=item.attempts,
            backend_server=info.name,
            host=info.host,
            port=info.port,
            first_byte_timeout_s=min(left_s, first_byte_s),
            gap_timeout_s=min(left_s, self.settings.routing.gap_timeout_s),
            answer_timeout_s=left_s,
            resume_offset=item.tokens,
            hedge_after_s=self._find_hedge_delay(item, route),
        )
        item.attempts += 1
        item.dispatches[dispatch.attempt] = dispatch
        item.boots[dispatch.attempt] = self.load.find_boot_id(info.name)
        key = (request.request_id, dispatch.attempt)
        sent = (request.target, request.prompt_tokens, now, request.priority)
        self.load.record_dispatch(info.name, key, *sent)
        if item.isolation_held:
            self.suspects.set_isolation(info.name, request.fingerprint, request.deadline)
        return dispatch

    def _find_hedge_delay(self, item: OpenRequest, route: Route) -> float:
        if item.isolation_held or item.hedged:
            return 0.0
        return compute_hedge_delay(item.request, route.predicted_s, self.settings.retries)

    def _decide_again(
        self, item: OpenRequest, result: AttemptResult, now: float
    ) -> Dispatch | Refusal | IsolatedRunNeeded:
        """Decide whether a failed request is retried."""
        request = item.request
        if self.suspects.is_refused(request.fingerprint):
            return self._refuse(item, describe_quarantined(item.request, item.has_run))
        if now >= request.deadline:
            return self._refuse(item, describe_deadline(request, item.has_run))
        if self.drain.is_over(now) and not item.has_run:
            return self._refuse_busy(item, "draining", DRAINING_MESSAGE)
        can_retry = (
            may_retry(request, result.end)
            and item.attempts < self.settings.retries.attempts_max
            and not self.drain.is_over(now)
            and self.budget.withdraw(list_budget_keys(request), now)
        )
        if not can_retry:
            return self._refuse_last(item, result)
        if self.suspects.is_suspect(request.fingerprint):
            if self.suspects.is_exhausted(request.fingerprint) or item.isolation_held:
                return self._refuse_last(item, result)
            return IsolatedRunNeeded(request.request_id, request.fingerprint)
        return self._dispatch(item, now)

    def _refuse_busy(
        self, item: OpenRequest, code: str, message: str, wait_s: float = BUSY_WAIT_S
    ) -> Refusal:
        error = describe_busy(self.admission, item.request, item.has_run, code, message, wait_s)
        return self._refuse(item, error)

    def _refuse_last(self, item: OpenRequest, result: AttemptResult) -> Refusal:
        error = describe_last_failure(self.admission, item.request, result, item.has_run)
        return self._refuse(item, error)

    def _refuse(self, item: OpenRequest, error: RequestError) -> Refusal:
        self._close(item)
        log.info(
            "event=request_refused request_id=%s code=%s outcome=%s",
            item.request.request_id,
            error.code,
            error.outcome.value,
        )
        return Refusal(error)

    def _close(self, item: OpenRequest) -> None:
        if item.trial is not None:
            self.suspects.clear_isolation(item.trial.backend_server, item.request.fingerprint)
        if self.open.items.pop(item.request.request_id, None) is not None:
            self.admission.count_closed(item.request)
