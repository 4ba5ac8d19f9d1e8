"""Passage of callers' requests between worker threads and the loop that decides."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

from attrs import define, evolve

from rhubarbshed.coordination.desk import Desk
from rhubarbshed.coordination.drain import Drain
from rhubarbshed.coordination.quarantine import compute_fingerprint
from rhubarbshed.protocol.answers import WholeAnswer
from rhubarbshed.protocol.calls import Call
from rhubarbshed.protocol.errors import RequestError
from rhubarbshed.protocol.requests import AttemptResult, Dispatch, Refusal
from rhubarbshed.state.catalogue import Catalogue
from rhubarbshed.state.timeline import Timeline
from rhubarbshed.util.settings import Settings

RETRY_AFTER_FULL_S = 1.0
# The loop answers within milliseconds; longer means that it has stopped.
ASK_TIMEOUT_S = 30.0


@define
class Gateway:
    """Hold what decides on callers' requests; coroutines run on the loop, `ask` on any thread."""

    settings: Settings
    loop: asyncio.AbstractEventLoop
    desk: Desk
    drain: Drain
    catalogue: Catalogue
    timeline: Timeline

    def ask(self, question: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the loop and wait for its result."""
        return asyncio.run_coroutine_threadsafe(question, self.loop).result(ASK_TIMEOUT_S)

    def tell(self, word: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine on the loop without waiting."""
        asyncio.run_coroutine_threadsafe(word, self.loop)

    def is_ready(self) -> bool:
        """Tell whether the balancer should send new requests here."""
        return self.drain.started_at is None

    def refuse_full(self) -> RequestError:
        """Describe a request for which no worker thread is free."""
        text = f"all {self.settings.callers.threads} places of this instance are taken"
        return RequestError(
            503, "instance_full", text, retryable=True, retry_after_s=RETRY_AFTER_FULL_S
        )

    async def list_models(self) -> list[str]:
        """List the names of all models and adapters that may be asked for."""
        models = self.catalogue.list_models()
        adapters = [a.name for m in models for a in self.catalogue.list_adapters(m.name)]
        return [model.name for model in models] + adapters

    async def list_idempotent_methods(self, service: str) -> tuple[str, ...]:
        """List the HTTP methods of a plain service that may be sent twice."""
        found = self.catalogue.get_service(service)
        return found.methods_idempotent if found else ()

    async def open_call(self, call: Call) -> Dispatch | Refusal | WholeAnswer:
        """Decide on a new call."""
        request = call.request
        target = request.target
        fingerprint = compute_fingerprint(target, call.body)
        request = evolve(request, fingerprint=fingerprint)
        decision = self.desk.open_request(request, time.monotonic())
        self._record_decision(call, decision)
        return decision

    async def end_attempt(
        self, call: Call, result: AttemptResult, answer: WholeAnswer | None = None
    ) -> Dispatch | Refusal | None:
        """Decide on what follows an attempt; None: the request is answered."""
        decision = self.desk.end_attempt(result, time.monotonic())
        self.timeline.record(
            "attempt_ended",
            request=result.request_id,
            backend_server=result.backend_server,
            attempt=result.attempt,
            end=result.end.value,
            tokens=result.tokens,
        )
        if decision is not None:
            self._record_decision(call, decision)
        return decision

    def _record_decision(self, call: Call, decision: Dispatch | Refusal) -> None:
        request = call.request
        if isinstance(decision, Dispatch):
            self.timeline.record(
                "dispatched",
                request=request.request_id,
                model=request.model,
                target=request.target,
                backend_server=decision.backend_server,
                attempt=decision.attempt,
            )
            return
        self.timeline.record(
            "refused",
            request=request.request_id,
            model=request.model,
            target=request.target,
            code=decision.error.code,
            outcome=decision.error.outcome.value,
        )
