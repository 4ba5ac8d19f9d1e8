"""Interface between the worker threads of callers' requests and the loop that decides on them."""

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
from rhubarbshed.coordination.requests.quarantine import compute_fingerprint
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
from rhubarbshed.util.settings import Settings

RETRY_AFTER_FULL_S = 1.0
RETRY_AFTER_CLAIM_S = 2.0
RELEASE_POLL_S = 0.5
ISOLATION_POLL_S = 0.25
CATCH_UP_POLL_S = 0.1
# Longest time that an answer waits until the table has recorded the request's end.
SETTLE_WAIT_S = 0.25
CAPACITY_ERROR_CODES = ("not_resident", "servers_busy", "too_late", "model_full")
# End of an attempt that lost to the other one of its request, in metrics and the timeline.
GIVEN_UP = "given_up"
# The loop answers within milliseconds; a longer wait means that it has stopped.
ASK_TIMEOUT_S = 30.0


@frozen
class IsolationClaim:
    """Claim of this instance on an isolated run of one suspect request."""

    fingerprint: str
    write_id: str


@define
class Gateway:
    """Decisions on callers' requests; coroutines run on the loop, `run_on_loop` on any thread.

    `claims` and `isolation_claims` are, by request, the claims to settle in the table at its end;
    `settling` counts the requests being settled. `cancels` are the running cancels by request.
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
    settlements: Settlements = field(factory=Settlements)
    isolation_releases: IsolatedRunReleases = field(factory=IsolatedRunReleases)
    claims: dict[str, ClaimRequest] = field(factory=dict)
    isolation_claims: dict[str, IsolationClaim] = field(factory=dict)
    cancels: dict[str, asyncio.Task] = field(factory=dict)
    settling: int = 0
    loop_calls: LoopCallQueue = field(
        default=Factory(lambda gateway: LoopCallQueue(gateway.loop), takes_self=True)
    )

    def run_on_loop(self, question: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the loop, block until it is done, and return its result."""
        return self.loop_calls.submit(question).result(ASK_TIMEOUT_S)

    def submit_to_loop(self, work: Coroutine[Any, Any, Any]) -> None:
        """Start a coroutine on the loop without waiting for it."""
        self.loop_calls.submit(work)

    def is_ready(self) -> bool:
        """Return whether the load balancer should send new requests here.

        A new instance must first know models and backend servers, else it could only refuse.
        """
        return self.coordinator.drain.started_at is None and self.has_serving_state()

    def make_full_error(self) -> RequestError:
        """Make the error for a request for which no worker thread is free."""
        text = f"all {self.settings.callers.threads} request slots of this instance are in use"
        return RequestError(
            503, "instance_full", text, retryable=True, retry_after_s=RETRY_AFTER_FULL_S
        )

    async def list_models(self) -> list[str]:
        """List the names of all models and adapters that may be requested."""
        adapters = self.catalogue.group_adapters()
        return [*adapters, *(adapter.name for each in adapters.values() for adapter in each)]

    async def list_idempotent_methods(self, service: str) -> tuple[str, ...]:
        """List the idempotent HTTP methods of a plain service."""
        found = self.catalogue.get_service(service)
        return found.methods_idempotent if found else ()

    async def open_call(self, call: Call) -> Dispatch | Refusal | BufferedResponse:
        """Decide on a new call; a non-idempotent one with a key is claimed in the table first."""
        request = call.request
        target = f"{call.method} {request.target} {call.path}"
        request = evolve(request, fingerprint=compute_fingerprint(target, call.body))
        if not request.idempotent and request.idempotency_key:
            refused = self.coordinator.check_new(request, time.monotonic())
            if refused is not None:
                return await self._finish(call, Refusal(refused))
            held = await self._claim(call)
            if not isinstance(held, ClaimHeld):
                return await self._finish(call, held)
            self.claims[request.request_id] = held.claim_request
        await self._catch_up()
        decision = self.coordinator.open_request(request, time.monotonic())
        return await self._finish(call, await self._resolve_isolation(decision))

    async def end_attempt(
        self, call: Call, result: AttemptResult, answer: BufferedResponse | None = None
    ) -> Dispatch | Refusal | None:
        """Decide what follows an attempt; None means that the request is answered."""
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
        """Wait for updates from peers after a stall of this process, before sending anything.

        Copies of the request may have crashed backend servers meanwhile.
        """
        while self.coordinator.stall.is_catching_up(time.monotonic()):
            await asyncio.sleep(CATCH_UP_POLL_S)

    async def hedge(self, call: Call) -> Dispatch | None:
        """Return a second attempt for a request without a first token, or None."""
        await self._catch_up()
        decision = self.coordinator.hedge(call.request.request_id, time.monotonic())
        if decision is not None:
            self._record_decision(call, decision)
        return decision

    async def end_losing_attempt(self, result: AttemptResult) -> None:
        """Record the failure of one of two attempts while the other continues."""
        self._record_attempt(result, result.end.value, result.tokens)
        self.coordinator.end_attempt(result, time.monotonic())

    async def give_up(self, dispatch: Dispatch) -> None:
        """Abandon one of two attempts: the other has its first token, or the caller is gone."""
        request_id = dispatch.request_id
        given_up = self.coordinator.abandon_attempt(request_id, dispatch.attempt, time.monotonic())
        if given_up is None:
            return
        self._record_attempt(given_up, GIVEN_UP)
        self.cancels[request_id] = self.loop.create_task(self._cancel(given_up))

    async def _cancel(self, dispatch: Dispatch) -> None:
        try:
            await self.cancel_attempt(dispatch)
        finally:
            self.cancels.pop(dispatch.request_id, None)

    async def _await_cancel(self, request_id: str) -> None:
        """Wait until no cancel is in flight, since engines cancel all attempts of a request."""
        cancel = self.cancels.get(request_id)
        if cancel is not None:
            await asyncio.wait((cancel,))

    def _count_demand(self, model: str, decision: Refusal | BufferedResponse | None) -> None:
        """Record the demand used by placement: requests, and refusals for lack of capacity."""
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
        ask = make_claim_request(request, digest, instance, self.incarnation, uuid.uuid4().hex)
        claimed = await claim(self.table, self.settlements, ask, self.is_gone, RETRY_AFTER_CLAIM_S)
        if isinstance(claimed, ClaimHeld):
            return claimed
        if isinstance(claimed, ClaimReplay):
            return _make_whole(claimed.answer)
        return Refusal(claimed.error)

    async def _resolve_isolation(
        self, decision: Dispatch | Refusal | IsolatedRunNeeded | AttemptSuperseded | None
    ) -> Dispatch | Refusal | None:
        """Claim an isolated run in the table if the decision needs one."""
        if isinstance(decision, AttemptSuperseded):
            raise AssertionError("of two attempts, only the last one's end is decided on")
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
        """Release an isolation claim once a report has shown how the run ended."""
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
        """Record a decision, and the request's end in the table if it holds a claim there."""
        self._record_decision(call, decision)
        if isinstance(decision, Dispatch):
            return decision
        request_id = call.request.request_id
        ask = self.claims.pop(request_id, None)
        if ask is not None:
            settlement = _make_settlement(ask, decision, answer, result)
            settled = self.settle_in_background(settle(self.table, self.settlements, settlement))
            # A caller that repeats its request right after the answer should find it settled.
            await asyncio.wait((settled,), timeout=SETTLE_WAIT_S)
        isolation_claim = self.isolation_claims.pop(request_id, None)
        if isolation_claim is not None:
            self.settle_in_background(self._release(isolation_claim))
        return decision

    def settle_in_background(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Record an end in the table in the background, counted so that a drain waits for it."""
        self.settling += 1
        task = self.loop.create_task(work)
        task.add_done_callback(self._count_end)
        return task

    def _count_end(self, task: asyncio.Task) -> None:
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
    ask: ClaimRequest,
    decision: Refusal | BufferedResponse | None,
    answer: BufferedResponse | None,
    result: AttemptResult | None,
) -> Settlement:
    """Return the end of a claimed request as stored in the table.

    A stream's body is not stored, so a repeat of one that completed only learns that it was done.
    """
    if isinstance(decision, Refusal):
        not_run = decision.error.outcome is Outcome.NOT_RUN
        return Settlement(ask, ClaimState.NOT_RUN if not_run else ClaimState.UNKNOWN)
    if answer is not None:
        headers = (("Content-Type", answer.content_type),)
        return Settlement(ask, ClaimState.DONE, make_answer(answer.status, headers, answer.body))
    if result is not None and result.end is AttemptEnd.DONE:
        return Settlement(ask, ClaimState.DONE, StoredAnswer(result.status, body_kept=False))
    return Settlement(ask, ClaimState.UNKNOWN)


def _make_whole(stored: StoredAnswer) -> BufferedResponse:
    headers = {name.lower(): value for name, value in stored.headers}
    content_type = headers.get("content-type", JSON_TYPE)
    return BufferedResponse(stored.status, content_type, read_body(stored))
