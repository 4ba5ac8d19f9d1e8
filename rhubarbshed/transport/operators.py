"""The operators' HTTP server: tickets, status, members, timeline, metrics, drain."""

import hmac
import json
from collections.abc import Callable
from typing import Any

import cherrypy
from attrs import frozen
from returns.result import Failure, Result

from rhubarbshed.protocol.answers import JSON_TYPE
from rhubarbshed.protocol.catalogue import Ticket, TicketReceipt
from rhubarbshed.protocol.codec import from_plain, to_plain
from rhubarbshed.protocol.errors import RequestError
from rhubarbshed.transport.http_servers import answer, answer_error, read_body

TICKET_BYTES_MAX = 4 * 1024 * 1024
TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@frozen
class OperatorActions:
    """Functions of the operators' server that run on the loop; each blocks until its result.

    `show` takes a page's name and the query, and returns plain data, or None for no such page.
    """

    accept_ticket: Callable[[Ticket], Result[TicketReceipt, RequestError]]
    show_ticket: Callable[[int], Result[TicketReceipt, RequestError]]
    show: Callable[[str, dict[str, str]], Any]
    render_metrics: Callable[[], bytes]
    start_drain: Callable[[], None]


def make_operator_handler(actions: OperatorActions, token: str) -> Callable[..., Any]:
    """Make the handler of all operators' requests; an empty token authorises nobody."""

    def handle(*path: str, **query: str) -> bytes:
        if not _is_authorised(token):
            return answer_error(RequestError(401, "unauthorised", "the operator token is wrong"))
        method = cherrypy.request.method
        if method == "POST":
            return _handle_post(actions, path)
        if method != "GET":
            return answer_error(RequestError(405, "bad_method", "only GET and POST are known"))
        if path == ("metrics",):
            return answer(200, {"Content-Type": TEXT_TYPE}, actions.render_metrics())
        if path[:1] == ("tickets",) and len(path) == 2:
            return _answer_ticket(actions, path[1])
        page = actions.show("/".join(path), query)
        if page is None:
            return answer_error(RequestError(404, "no_such_path", "there is nothing at this path"))
        return _answer_json(200, page)

    return handle


def _is_authorised(token: str) -> bool:
    given = cherrypy.request.headers.get("Authorization", "").removeprefix("Bearer ")
    return bool(token) and hmac.compare_digest(given.encode(), token.encode())


def _handle_post(actions: OperatorActions, path: tuple[str, ...]) -> bytes:
    if path == ("drain",):
        actions.start_drain()
        return _answer_json(202, {"draining": True})
    if path != ("tickets",):
        return answer_error(RequestError(404, "no_such_path", "there is nothing at this path"))
    result = read_body(TICKET_BYTES_MAX).bind(parse_ticket).bind(actions.accept_ticket)
    if isinstance(result, Failure):
        return answer_error(result.failure())
    return _answer_json(200, to_plain(result.unwrap()))


def parse_ticket(body: bytes) -> Result[Ticket, RequestError]:
    """Decode a ticket from JSON; the error names the invalid part."""
    try:
        plain = json.loads(body)
        # JSON escapes allow lone surrogates, which must not appear in names.
        json.dumps(plain, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        return Failure(RequestError(400, "bad_ticket", f"the ticket is not JSON: {error}"))
    return from_plain(plain, Ticket).alt(
        lambda detail: RequestError(422, "bad_ticket", f"the ticket does not fit: {detail}")
    )


def _answer_ticket(actions: OperatorActions, number: str) -> bytes:
    if not number.isdecimal():
        return answer_error(RequestError(400, "bad_request", "the number is not a whole number"))
    result = actions.show_ticket(int(number))
    if isinstance(result, Failure):
        return answer_error(result.failure())
    return _answer_json(200, to_plain(result.unwrap()))


def _answer_json(status: int, plain: Any) -> bytes:
    return answer(status, {"Content-Type": JSON_TYPE}, json.dumps(plain).encode())
