"""Wait of one request for its turn at a server, where requests are scheduled."""

import asyncio
import logging
import time
from collections.abc import Callable

from attrs import evolve

from rhubarbshed.coordination.serving.choice import (
    BOUND_QUEUE_FRACTION,
    is_full,
    list_staying,
)
from rhubarbshed.coordination.serving.slot_waits import (
    SlotRate,
    can_be_served,
    estimate_run,
    estimate_wait,
    find_room_time,
    measure_queue_fraction,
    measure_rate,
    measure_until,
)
from rhubarbshed.coordination.serving.spreading import estimate_mean_run
from rhubarbshed.coordination.serving.turns import Need, Position, Ticket
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.transport.edge.request_progress import RequestProgress
from rhubarbshed.transport.edge.slot_queue import DRAINING, GRANTED
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

REFUSED, LEFT = "refused", "left"


def find_ticket(progress: RequestProgress, now: float) -> Ticket:
    """Return the request's ticket, which counts it once."""
    if progress.ticket is None:
        slots = progress.relay.slots
        progress.ticket = make_ticket(progress, now)
        slots.turns.count_request(progress.ticket, now)
    return progress.ticket


def make_ticket(progress: RequestProgress, now: float) -> Ticket:
    """Return the ticket of a request that has not waited yet."""
    request, route = progress.request, progress.route
    account = progress.account
    name = account.name if account is not None else ""
    need = make_need(progress)
    return Ticket(
        need=need,
        route=route.name,
        account=name,
        rank=rank_request(progress),
        arrived_at=request.received_at,
        target_at=request.received_at + route.target_s,
        until=measure_until(route, progress.queued_s, progress.deadline, now),
        run_s=estimate_run(list_able(progress, need)),
        returns=progress.relay.slots.returns.take_return(name, route.name, now),
        cost=measure_cost(progress),
        body_bytes=len(request.body),
    )


def make_need(progress: RequestProgress) -> Need:
    """Return what the request needs of a server now."""
    return Need(
        progress.service,
        progress.request.model,
        progress.request.adapter,
        progress.caller_response.version,
        frozenset(progress.excluded),
    )


def rank_request(progress: RequestProgress) -> tuple[int, int]:
    """Return the priority of the request's account, then that of its route."""
    priority = progress.route.priority
    if progress.account is not None and progress.account.priority is not None:
        return progress.account.priority, priority
    return priority, priority


def measure_cost(progress: RequestProgress) -> float:
    """Return what the request takes of its service in slots, or in tokens if that is more."""
    engine = progress.relay.view.configuration.find_engine(progress.service)
    if engine is None or not engine.kv_tokens:
        return 1.0
    tokens = progress.request.prompt_tokens + progress.request.output_tokens_max
    return max(1.0, tokens * engine.slots / engine.kv_tokens)


def list_able(progress: RequestProgress, need: Need) -> list[ServerRecord]:
    """List the servers that could run the request if they had room."""
    return [
        record
        for record in list_staying(progress.relay.view.fleet, need.service, need.version)
        if record.key not in need.avoided
        and (not need.model or record.holds(need.model, need.adapter))
    ]


def is_behind(progress: RequestProgress, now: float) -> bool:
    """Return whether others wait for the same servers, so that the request has to wait as well.

    One that has been at a server does not wait again for others than the full ones.
    """
    if not progress.relay.view.settings.has_pressure:
        return False
    ticket = find_ticket(progress, now)
    if progress.has_turn or progress.servers or progress.kept is not None:
        return False
    return progress.relay.slots.turns.has_waiting(ticket.need)


def find_queue_fraction(progress: RequestProgress, now: float) -> float | None:
    """Return how far the request may queue at a server, None for as far as usual."""
    if not progress.relay.view.settings.has_pressure or progress.caller_response.version:
        return None
    return measure_queue_fraction(find_ticket(progress, now), now)


def note_start(progress: RequestProgress, now: float) -> None:
    """Count a request that is sent to a server, where requests are scheduled."""
    if progress.relay.view.settings.has_pressure:
        progress.relay.slots.note_start(find_ticket(progress, now), now)
        progress.has_turn = False


async def wait_for_turn(
    progress: RequestProgress, is_free: Callable[[float], bool], now: float
) -> bool:
    """Wait for the request's turn; return whether it has it, or else set when to come back."""
    slots, view = progress.relay.slots, progress.relay.view
    until = measure_until(progress.route, progress.queued_s, progress.deadline, now)
    ticket = evolve(find_ticket(progress, now), until=until, need=make_need(progress))
    slots.stop_choosing(progress.ticket)
    progress.ticket, progress.has_turn = ticket, False
    if view.drain.started_at is not None:
        return False
    able = [record for record in list_able(progress, ticket.need) if record.takes_work(now)]
    rate = measure_rate(able, slots.turns.count, view.budget.instances, now)
    position = slots.turns.find_position(ticket, now)
    wait_s = 0.0 if not position.ahead and is_free(now) else estimate_wait(position, rate)
    outcome = REFUSED
    if can_be_served(wait_s, until - now):
        try:
            outcome = await slots.wait(ticket, is_free, make_room_finder(progress, ticket), now)
        except asyncio.CancelledError:
            waited_s = time.monotonic() - now
            log_turn(progress, position, rate, wait_s, LEFT, waited_s)
            raise
    ended_at = time.monotonic()
    progress.queued_s += ended_at - now
    progress.has_turn = outcome == GRANTED
    if outcome not in (GRANTED, DRAINING):
        progress.slot_in_s = slots.returns.ask_back(ticket, wait_s, rate, view.rng, ended_at)
    log_turn(progress, position, rate, wait_s, outcome, ended_at - now)
    return progress.has_turn


def make_room_finder(progress: RequestProgress, ticket: Ticket) -> Callable[[float], float]:
    """Return a function that returns when a server should have room, from a time on."""

    def find_room(now: float) -> float:
        servers = list_able(progress, ticket.need)
        instances = progress.relay.view.budget.instances
        return find_room_time(lambda then: has_room(servers, ticket, instances, then), now)

    return find_room


def has_room(servers: list[ServerRecord], ticket: Ticket, instances: int, now: float) -> bool:
    """Return whether one of the servers takes a request at a time, by what is known now."""
    queue_fraction = BOUND_QUEUE_FRACTION
    if ticket.need.version is None:
        queue_fraction = measure_queue_fraction(ticket, now)
    run_s = estimate_mean_run(servers)
    return any(
        record.takes_work(now) and not is_full(record, instances, now, queue_fraction, run_s)
        for record in servers
    )


def log_turn(
    progress: RequestProgress,
    position: Position,
    rate: SlotRate,
    wait_s: float,
    outcome: str,
    waited_s: float,
) -> None:
    """Log and count a decision on a request that found all its servers full."""
    ticket, slots = progress.ticket, progress.relay.slots
    progress.relay.metrics.count_turn(ticket.route, outcome, waited_s)
    log_event(
        LOG,
        logging.INFO,
        "turn",
        request=progress.request.request_id,
        outcome=outcome,
        route=ticket.route,
        service=ticket.need.service,
        model=ticket.need.model,
        account=ticket.account,
        why=position.urgency.name.lower(),
        rank=",".join(map(str, ticket.rank)),
        ahead=position.ahead,
        waiting=slots.turns.count,
        account_used=round(position.account_used, 2),
        returns=int(ticket.returns),
        expected_ms=round(wait_s * 1000),
        may_wait_ms=round((ticket.until - ticket.arrived_at) * 1000),
        waited_ms=round(waited_s * 1000),
        slots_per_s=round(rate.own_per_s, 2),
        slots_per_s_all=round(rate.all_per_s, 2),
        retry_in_s=round(progress.slot_in_s, 3) if progress.slot_in_s is not None else "",
    )
