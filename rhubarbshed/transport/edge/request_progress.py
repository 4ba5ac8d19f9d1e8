"""Progress of one request of a caller."""

import asyncio
import enum

from attrs import define, field

from rhubarbshed.coordination.serving.retry_budget import Tries
from rhubarbshed.coordination.serving.turns import Ticket
from rhubarbshed.coordination.serving.versions import Continuation
from rhubarbshed.protocol.accounts import Account
from rhubarbshed.protocol.exchanges import CallerRequest
from rhubarbshed.protocol.routes import Route
from rhubarbshed.transport.edge.account_credit import Taken
from rhubarbshed.transport.edge.attempts import Attempt
from rhubarbshed.transport.edge.caller_connections import CallerConnection
from rhubarbshed.transport.edge.caller_responses import CallerResponse
from rhubarbshed.transport.edge.link_monitor import SETTLE_MAX_S
from rhubarbshed.transport.edge.relay_parts import RelayParts


class Stage(enum.Enum):
    """What a request is waiting for."""

    CHOICE = "choice"
    LOOKUP = "lookup"
    LOAD = "load"
    SLOT = "slot"
    PAUSE = "pause"
    CREDIT = "credit"
    CONNECTION = "connection"
    RESPONSE = "response"
    BODY = "body"


class Repeat(enum.Enum):
    """Whether a request that was ended may be sent again, by what is known here."""

    NOT_RUN = "not_run"
    REPEATABLE = "repeatable"
    NOT_REPEATABLE = "not_repeatable"


@define(eq=False)
class RequestProgress:
    """Progress of one request.

    `excluded` are the servers already tried and `tries` the outcome there; `limited` are those
    whose limits had no room since the last attempt. `in_flight` means that a server may be running
    the request, `delivered` that one received it, `was_closed` that one ended a connection before
    it was sent anything, and `only_missing` that all so far were down or
    lacked the model. `waited_s` was spent on a load and `queued_s` on full servers.
    `available_in_s` is when a load that it needs should be complete, and `load_awaited_at` since
    when it waits for one. `waits_for` is the stage it is in while no attempt is in flight.
    `retry_paid` means that the budget has counted the next retry.
    `stopped_by` is the key of the verdict that stopped it, `trial_keys` those of the verdicts that
    its next attempt puts to a trial. `forwarded_by` is the instance that it came from, with
    `attempts_max` servers left that may run it. It may still wait for `probe_wait_s` until it is
    known whether servers can be reached. `kept` is an attempt at a silent server, which may go on
    until `kept_limit` if no other server takes the request. `cut_off_as` is set as a stop cuts it
    off. `account` is whose key was last found valid, None without accounts, and `credit` what the
    request took of its limit. `ticket` is its place among the requests that wait for slots,
    `has_turn` whether it may choose a server ahead of these, and `slot_in_s` when a refused one can
    expect a slot. A load that it waits for should end by `load_due_at`.
    """

    relay: RelayParts
    connection: CallerConnection
    request: CallerRequest
    route: Route | None = None
    service: str = ""
    tries: Tries = field(factory=Tries)
    excluded: set[tuple[str, int]] = field(factory=set)
    limited: set[tuple[str, int]] = field(factory=set)
    servers: list[str] = field(factory=list)
    versions: list[str] = field(factory=list)
    caller_response: CallerResponse | None = None
    deadline: float = 0.0
    waited_s: float = 0.0
    queued_s: float = 0.0
    second_pass_started: bool = False
    in_flight: bool = False
    available_in_s: float | None = None
    ended: bool = False
    only_missing: bool = True
    delivered: bool = False
    was_closed: bool = False
    retry_paid: bool = False
    load_awaited_at: float | None = None
    waits_for: Stage = Stage.CHOICE
    last_attempt: Attempt | None = None
    continuation: Continuation | None = None
    trial_keys: frozenset[str] = frozenset()
    stopped_by: str = ""
    forwarded_by: str = ""
    attempts_max: int | None = None
    probe_wait_s: float = SETTLE_MAX_S
    cut_off_as: Repeat | None = None
    kept: Attempt | None = None
    kept_limit: asyncio.TimerHandle | None = None
    others_asked_again: bool = False
    account: Account | None = None
    credit: Taken | None = None
    ticket: Ticket | None = None
    has_turn: bool = False
    slot_in_s: float | None = None
    load_due_at: float | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have run the request, or may be running it.

        An attempt in flight has sent nothing while its connection is being opened.
        """
        return self.tries.run > 0 or (self.in_flight and self.last_attempt.sent)

    @property
    def repeat(self) -> Repeat:
        """Whether the request may be sent again if it is ended now."""
        if not self.may_have_run:
            return Repeat.NOT_RUN
        return Repeat.REPEATABLE if self.route.repeatable else Repeat.NOT_REPEATABLE

    @property
    def is_configured(self) -> bool:
        """Return whether the operator knows the model and adapter; callers may name anything."""
        engine = self.relay.view.configuration.find_engine(self.service)
        return engine is not None and engine.has_target(self.request.model, self.request.adapter)

    def count_demand(self) -> None:
        """Count the request for its model, where its caller sent it."""
        if self.is_configured:
            request = self.request
            self.relay.count_demand(
                self.service, request.model, request.adapter, request.prompt_tokens
            )

    def count_probe_wait(self, waited_s: float) -> None:
        """Take a wait for probes from what the request has left for them."""
        self.probe_wait_s = max(0.0, self.probe_wait_s - waited_s)

    def pay_retry(self, now: float) -> bool:
        """Return whether the budget allows the next retry, and count it there once."""
        self.retry_paid = self.retry_paid or self.relay.view.budget.try_spend(self.service, now)
        return self.retry_paid
