"""Gateway between worker threads that serve callers and the event loop that decides on requests."""

import asyncio
import time
import uuid
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from attrs import Factory, define, evolve, field, frozen

from rhubarbshed.coordination.agreement.commits import CommitBatcher
from rhubarbshed.coordination.requests.claims import (
    ClaimHeld,
    ClaimReplay,
    ClaimRequest,
    compute_digest,
    make_answer,
    make_claim_request,
    read_body,
)
from rhubarbshed.coordination.requests.coordinator import (
    AttemptSuperseded,
    IsolatedRunNeeded,
    RequestCoordinator,
)
from rhubarbshed.coordination.requests.isolation import (
    IsolatedRunHeld,
    IsolatedRunHolder,
    IsolatedRunReleases,
    claim_isolation,
    release_isolation,
)
from rhubarbshed.coordination.requests.settlement import Settlement, Settlements, claim, settle
from rhubarbshed.coordination.requests.trials import IsolatedRunPending
from rhubarbshed.protocol.answers import JSON_TYPE, BufferedResponse
from rhubarbshed.protocol.calls import Call
from rhubarbshed.protocol.claims import ClaimState, StoredAnswer
from rhubarbshed.protocol.errors import Outcome, RequestError
from rhubarbshed.protocol.requests import AttemptEnd, AttemptResult, Dispatch, Refusal
from rhubarbshed.state.agreement.catalogue import Catalogue
from rhubarbshed.state.placement.demand import Demand
from rhubarbshed.state.timeline import Timeline
from rhubarbshed.transport.loop_calls import LoopCallQueue
from rhubarbshed.transport.metrics import Metrics
from rhubarbshed.util.fingerprints import compute_fingerprint
from rhubarbshed.util.settings import Settings

RETRY_AFTER_FULL_S = 1.0
CATALOGUE_UNKNOWN = RequestError(
    503,
    "catalogue_unknown",
    "this instance does not know yet which models and services there are",
    retryable=True,
    retry_after_s=RETRY_AFTER_FULL_S,
)
RETRY_AFTER_CLAIM_S = 2.0
RELEASE_POLL_S = 0.5
ISOLATION_POLL_S = 0.25
CATCH_UP_POLL_S = 0.1
# Maximum time that a response is delayed until the table has recorded its end.
SETTLE_WAIT_S = 0.25
CAPACITY_ERROR_CODES = ("not_resident", "servers_busy", "too_late", "model_full")
# End of an attempt abandoned for the other one of its request, in metrics and the timeline.
GIVEN_UP = "given_up"
# The loop returns within milliseconds; a longer wait means that it has stopped.
LOOP_CALL_TIMEOUT_S = 30.0


@frozen
class IsolationClaim:
    """Claim of this instance to an isolated run of a suspect; `write_id` identifies the claim."""

    fingerprint: str
    write_id: str


@define
class Gateway:
    """Decisions on callers' requests, for worker threads.

    Coroutines run on the loop; `run_on_loop` and `submit_to_loop` may be called from any thread.
    `claims` and `isolation_claims` have, by request, what must be recorded in the table at its end;
    `settling` counts the tasks that record it. `cancels` has attempts being cancelled, by request.
    """

    settings: Settings
    incarnation: str
    loop: asyncio.AbstractEventLoop
    coordinator: RequestCoordinator
    catalogue: Catalogue
    timeline: Timeline
    metrics: Metrics
    table: CommitBatcher
    demand: Demand
    is_gone: Callable[[str, str], bool]
    check_server: Callable[[str], Awaitable[None]]
    cancel_attempt: Callable[[Dispatch], Awaitable[None]]
    has_serving_state: Callable[[], bool]
    is_catalogue_known: Callable[[], bool]
    settlements: Settlements = field(factory=Settlements)
    isolation_releases: IsolatedRunReleases = field(factory=IsolatedRunReleases)
    claims: dict[str, ClaimRequest] = field(factory=dict)
    isolation_claims: dict[str, IsolationClaim] = field(factory=dict)
    cancels: dict[str, asyncio.Task] = field(factory=dict)
    settling: int = 0
    loop_calls: LoopCallQueue = field(
        default=Factory(lambda gateway: LoopCallQueue(gateway.loop), takes_self=True)
    )

    def run_on_loop(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the loop and wait for its result."""
        return self.loop_calls.submit(work).result(LOOP_CALL_TIMEOUT_S)

    def submit_to_loop(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine on the loop without waiting."""
        self.loop_calls.submit(work)

    def is_ready(self) -> bool:
        """Return whether the load balancer should send new requests here.

        A new instance must know models and backend servers first, else it could only refuse them.
        """
        return self.coordinator.drain.started_at is None and self.has_serving_state()

    def make_full_error(self) -> RequestError:
        """Make the error of a request for which no worker thread is free."""
        text = f"all {self.settings.callers.threads} places of this instance are taken"
        return RequestError(
            503, "instance_full", text, retryable=True, retry_after_s=RETRY_AFTER_FULL_S
        )

    async def make_draining_error(self) -> RequestError:
        """Make the error of a request that was read too late in a stop."""
        return self.coordinator.drain.check_open(RETRY_AFTER_FULL_S, time.monotonic())

    async def list_models(self) -> list[str]:
        """Return the names of all models and adapters that callers may request."""
        adapters = self.catalogue.group_adapters()
        return [*adapters, *(adapter.name for group in adapters.values() for adapter in group)]

    async def list_idempotent_methods(self, service: str) -> tuple[str, ...]:
        """Return the HTTP methods of a plain service that are safe to send twice."""
        found = self.catalogue.get_service(service)
        return found.methods_idempotent if found else ()

    async def open_call(self, call: Call) -> Dispatch | Refusal | BufferedResponse:
        """Decide on a new call; a non-idempotent one with a key is claimed in the table first."""
        request = call.request
        target = f"{call.method} {request.target} {call.path}"
        request = evolve(request, fingerprint=compute_fingerprint(target, call.body))
        if not self.is_catalogue_known() and self.coordinator.lookup.find_target_s(request) is None:
            return await self._finish(call, Refusal(CATALOGUE_UNKNOWN))
        if not request.idempotent and request.idempotency_key:
            refused = self.coordinator.check_new(request, time.monotonic())
            if refused is not None:
                return await self._finish(call, Refusal(refused))
            claimed = await self._claim(call)
            if not isinstance(claimed, ClaimHeld):
                return await self._finish(call, claimed)
            self.claims[request.request_id] = claimed.claim_request
        await self._catch_up()
        decision = self.coordinator.open_request(request, time.monotonic())
        return await self._finish(call, await self._resolve_isolation(decision))

    async def end_attempt(
        self, call: Call, result: AttemptResult, answer: BufferedResponse | None = None
    ) -> Dispatch | Refusal | None:
        """Decide what follows an attempt; None if the request is finished."""
        result = self._mark_cut_off(result)
        self._record_attempt(result, result.end.value, result.tokens)
        if result.end is AttemptEnd.BROKEN:
            await self.check_server(result.backend_server)
        if call.request.model and result.tokens:
            self.demand.record_tokens(call.request.model, result.tokens, time.monotonic())
        await self._catch_up()
        decision = self.coordinator.end_attempt(result, time.monotonic())
        decision = await self._resolve_isolation(decision)
        if isinstance(decision, Dispatch):
            await asyncio.sleep(self.coordinator.compute_pause(decision.attempt))
            await self._await_cancel(decision.request_id)
        return await self._finish(call, decision, answer, result)

    async def _catch_up(self) -> None:
        """Wait for updates from peers after this process stalled, before sending anything.

        Copies of the request may have crashed backend servers during the stall.
        """
        while not self.coordinator.drain.is_cut_off and self.coordinator.stall.is_catching_up(
            time.monotonic()
        ):
            await asyncio.sleep(CATCH_UP_POLL_S)

    def _mark_cut_off(self, result: AttemptResult) -> AttemptResult:
        """Return the result of an attempt; one that a stop has ended does not blame its server."""
        if result.end is AttemptEnd.BROKEN and self.coordinator.drain.is_cut_off:
            return evolve(result, end=AttemptEnd.CUT_OFF)
        return result

    async def hedge(self, call: Call) -> Dispatch | None:
        """Decide whether a request without a first token gets a second attempt; None if not."""
        await self._catch_up()
        decision = self.coordinator.hedge(call.request.request_id, time.monotonic())
        if decision is not None:
            self._record_decision(call, decision)
        return decision

    async def end_losing_attempt(self, result: AttemptResult) -> None:
        """Record the failure of one of two attempts while the other continues."""
        result = self._mark_cut_off(result)
        self._record_attempt(result, result.end.value, result.tokens)
        self.coordinator.end_attempt(result, time.monotonic())

    async def give_up(self, dispatch: Dispatch) -> None:
        """Abandon one of two attempts, since the other has a first token or the caller is gone."""
        request_id = dispatch.request_id
        abandoned = self.coordinator.abandon_attempt(request_id, dispatch.attempt, time.monotonic())
        if abandoned is None:
            return
        self._record_attempt(abandoned, GIVEN_UP)
        self.cancels[request_id] = self.loop.create_task(self._cancel(abandoned))

    async def _cancel(self, dispatch: Dispatch) -> None:
        try:
            await self.cancel_attempt(dispatch)
        finally:
            self.cancels.pop(dispatch.request_id, None)

    async def _await_cancel(self, request_id: str) -> None:
        """Wait until no cancel is in progress, since engines cancel all attempts of a request."""
        cancel = self.cancels.get(request_id)
        if cancel is not None:
            await asyncio.wait((cancel,))

    def _count_demand(self, model: str, decision: Refusal | BufferedResponse | None) -> None:
        """Count demand for placement: requests, and refusals for lack of capacity."""
        if not model or self.catalogue.get_model(model) is None:
            return
        now = time.monotonic()
        self.demand.record_arrival(model, now)
        if isinstance(decision, Refusal) and decision.error.code in CAPACITY_ERROR_CODES:
            self.demand.record_refusal(model, now)

    async def _claim(self, call: Call) -> ClaimHeld | Refusal | BufferedResponse:
        request = call.request
        digest = compute_digest(f"{call.method} {request.target} {call.path}", call.body)
        instance = self.settings.instance.name
        claim_request = make_claim_request(
            request, digest, instance, self.incarnation, uuid.uuid4().hex
        )
        claimed = await claim(
            self.table, self.settlements, claim_request, self.is_gone, RETRY_AFTER_CLAIM_S
        )
        if isinstance(claimed, ClaimHeld):
            return claimed
        if isinstance(claimed, ClaimReplay):
            return _make_replayed_response(claimed.answer)
        return Refusal(claimed.error)

    async def _resolve_isolation(
        self, decision: Dispatch | Refusal | IsolatedRunNeeded | AttemptSuperseded | None
    ) -> Dispatch | Refusal | None:
        """Claim an isolated run if the decision needs one; return the decision that follows."""
        if isinstance(decision, AttemptSuperseded):
            raise AssertionError("the last attempt of a request cannot be superseded")
        if not isinstance(decision, IsolatedRunNeeded):
            return decision
        view = self.coordinator.suspects.view
        known = view.find_entry(decision.fingerprint)
        holder = IsolatedRunHolder(self.settings.instance.name, self.incarnation, uuid.uuid4().hex)
        crashes_max = self.settings.quarantine.crashes_max
        answer = await claim_isolation(
            self.table, self.isolation_releases, known, holder, self.is_gone, crashes_max
        )
        next_decision = self.coordinator.resume_isolated(
            decision.request_id, answer, time.monotonic()
        )
        while isinstance(next_decision, IsolatedRunPending):
            await asyncio.sleep(ISOLATION_POLL_S)
            await self._catch_up()
            await self.check_server(next_decision.backend_server)
            next_decision = self.coordinator.start_isolated(decision.request_id, time.monotonic())
        isolation_claim = IsolationClaim(decision.fingerprint, holder.write_id)
        if isinstance(answer, IsolatedRunHeld) and isinstance(next_decision, Dispatch):
            self.isolation_claims[decision.request_id] = isolation_claim
        elif isinstance(answer, IsolatedRunHeld):
            self.settle_in_background(self._release(isolation_claim))
        return next_decision

    async def _release(self, isolation_claim: IsolationClaim) -> None:
        """Release a claim once a report has shown how the run ended."""
        while not self.coordinator.may_release_isolation(isolation_claim.fingerprint):
            await asyncio.sleep(RELEASE_POLL_S)
        known = self.coordinator.suspects.view.find_entry(isolation_claim.fingerprint)
        await release_isolation(
            self.table, self.isolation_releases, known, isolation_claim.write_id
        )

    async def _finish(
        self,
        call: Call,
        decision: Dispatch | Refusal | BufferedResponse | None,
        answer: BufferedResponse | None = None,
        result: AttemptResult | None = None,
    ) -> Dispatch | Refusal | BufferedResponse | None:
        """Record a decision; at the end of a request, settle its claims in the table."""
        self._record_decision(call, decision)
        if isinstance(decision, Dispatch):
            return decision
        request_id = call.request.request_id
        claim_request = self.claims.pop(request_id, None)
        if claim_request is not None:
            settlement = _make_settlement(claim_request, decision, answer, result)
            settled = self.settle_in_background(settle(self.table, self.settlements, settlement))
            # A caller that repeats the request right after its response should find it settled.
            await asyncio.wait((settled,), timeout=SETTLE_WAIT_S)
        isolation_claim = self.isolation_claims.pop(request_id, None)
        if isolation_claim is not None:
            self.settle_in_background(self._release(isolation_claim))
        return decision

    def settle_in_background(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Record an end in the table in the background; a drain waits until `settling` is zero."""
        self.settling += 1
        task = self.loop.create_task(work)
        task.add_done_callback(self._finish_settling)
        return task

    def _finish_settling(self, task: asyncio.Task) -> None:
        self.settling -= 1
        task.result()

    def _record_attempt(self, sent: Dispatch | AttemptResult, end: str, tokens: int = 0) -> None:
        self.metrics.attempts.inc({"end": end})
        self.metrics.tokens.add({}, tokens)
        self.timeline.record(
            "attempt_ended",
            request=sent.request_id,
            backend_server=sent.backend_server,
            attempt=sent.attempt,
            end=end,
            tokens=tokens,
        )

    def _record_decision(
        self, call: Call, decision: Dispatch | Refusal | BufferedResponse | None
    ) -> None:
        request = call.request
        fields = {"request": request.request_id, "target": request.target}
        if request.model:
            fields["model"] = request.model
        if isinstance(decision, Dispatch):
            server, attempt = decision.backend_server, decision.attempt
            self.timeline.record("dispatched", backend_server=server, attempt=attempt, **fields)
            return
        self._count_demand(request.model, decision)
        outcome = "done"
        if isinstance(decision, Refusal):
            outcome = decision.error.outcome.value
            fields["code"] = decision.error.code
        self.metrics.requests.inc({"outcome": outcome})
        self.timeline.record("answered", outcome=outcome, **fields)


def _make_settlement(
    claim_request: ClaimRequest,
    decision: Refusal | BufferedResponse | None,
    answer: BufferedResponse | None,
    result: AttemptResult | None,
) -> Settlement:
    """Make the settlement of a claimed request, as recorded in the table.

    The body of a stream is not stored, so a repeat of one that completed learns only that it ran.
    """
    if isinstance(decision, Refusal):
        not_run = decision.error.outcome is Outcome.NOT_RUN
        return Settlement(claim_request, ClaimState.NOT_RUN if not_run else ClaimState.UNKNOWN)
    if answer is not None:
        headers = (("Content-Type", answer.content_type),)
        return Settlement(
            claim_request, ClaimState.DONE, make_answer(answer.status, headers, answer.body)
        )
    if result is not None and result.end is AttemptEnd.DONE:
        return Settlement(
            claim_request, ClaimState.DONE, StoredAnswer(result.status, body_kept=False)
        )
    return Settlement(claim_request, ClaimState.UNKNOWN)


def _make_replayed_response(stored: StoredAnswer) -> BufferedResponse:
    headers = {name.lower(): value for name, value in stored.headers}
    content_type = headers.get("content-type", JSON_TYPE)
    return BufferedResponse(stored.status, content_type, read_body(stored))
