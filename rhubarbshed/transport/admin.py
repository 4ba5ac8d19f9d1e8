"""Operators' actions on an instance, run on its event loop."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Result

from rhubarbshed.coordination.agreement.tickets import accept_ticket, find_ticket
from rhubarbshed.coordination.membership.membership import list_backend_servers
from rhubarbshed.protocol.catalogue import Ticket, TicketReceipt
from rhubarbshed.protocol.errors import RequestError
from rhubarbshed.transport.operators import OperatorActions
from rhubarbshed.transport.pages import (
    list_events,
    list_instances,
    list_models,
    list_server_rows,
    make_status,
)
from rhubarbshed.transport.runtime import Runtime

LOOP_CALL_TIMEOUT_S = 30.0


def make_operator_actions(runtime: Runtime, start_drain: Callable[[], None]) -> OperatorActions:
    """Make the functions of the operators' server, which run on its worker threads."""

    def run_on_loop(coroutine: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, runtime.loop).result(LOOP_CALL_TIMEOUT_S)

    def drain() -> None:
        runtime.loop.call_soon_threadsafe(start_drain)

    return OperatorActions(
        accept_ticket=lambda ticket: run_on_loop(submit_ticket(runtime, ticket)),
        show_ticket=lambda number: run_on_loop(find_ticket(runtime.access, number)),
        show=lambda page, query: run_on_loop(make_page(runtime, page, query)),
        render_metrics=lambda: run_on_loop(render_metrics(runtime)),
        start_drain=drain,
    )


async def submit_ticket(runtime: Runtime, ticket: Ticket) -> Result[TicketReceipt, RequestError]:
    """Accept a ticket through the table service, and trigger a read of the catalogue here."""
    servers = list_backend_servers(runtime.membership, time.monotonic())
    placement = runtime.settings.placement
    result = await accept_ticket(
        runtime.access, ticket, servers, placement.power_watts_max, placement.memory_fill_max
    )
    if isinstance(result, Failure):
        error = result.failure()
        runtime.timeline.record("ticket_refused", ticket=ticket.number, reason=error.message)
        return result
    runtime.timeline.record("ticket_accepted", ticket=ticket.number)
    runtime.catalogue_wakeup.set()
    return result


async def make_page(runtime: Runtime, page: str, query: dict[str, str]) -> Any:
    """Return the plain data of a page, or None if there is no such page."""
    now = time.monotonic()
    if page == "status":
        return make_status(runtime, now)
    if page == "models":
        return list_models(runtime.catalogue, runtime.load)
    if page == "backend-servers":
        return list_server_rows(runtime, now)
    if page == "instances":
        return list_instances(runtime.membership, now)
    if page == "timeline":
        return list_events(runtime.timeline, query)
    return None


async def render_metrics(runtime: Runtime) -> bytes:
    """Render the metrics on the loop, which alone changes them."""
    return runtime.metrics.render()
