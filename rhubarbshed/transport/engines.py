"""Client of model engines for orders, reports and cancellations."""

from returns.result import Failure, Result, Success

from rhubarbshed.protocol.codec import from_plain, to_plain
from rhubarbshed.protocol.members import BackendServerInfo
from rhubarbshed.protocol.orders import EngineReport, Order, OrderError, OrderFault
from rhubarbshed.protocol.platform import EngineClient
from rhubarbshed.protocol.services import ServiceReport
from rhubarbshed.transport.http import Answer, ExchangeError, HttpClient

STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503
# A load reads weights through the rate-limited weight store, which may take long.
ORDER_TIMEOUT_S = 60.0
CANCEL_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 1.0
# Longest answer of an engine or replica that is read; a report lists what it holds.
ANSWER_BYTES_MAX = 1_048_576


def make_engine_client(http: HttpClient) -> EngineClient:
    """Make a client for orders to engines and their reports."""

    def send_order(server: BackendServerInfo, order: Order) -> Result[None, OrderError]:
        url = f"{make_base_url(server)}/control/orders"
        # On a kept connection an earlier answer could pass for this one.
        client = http.with_new_connections()
        result = client.post_json(url, to_plain(order), ORDER_TIMEOUT_S, ANSWER_BYTES_MAX)
        client.pool.clear()
        if isinstance(result, Failure):
            return Failure(_make_order_error(result.failure()))
        return _read_order_answer(result.unwrap())

    def fetch_report(server: BackendServerInfo, sequence: int) -> Result[EngineReport, OrderError]:
        url = f"{make_base_url(server)}/control/report?sequence={sequence}"
        result = _get_report(http, url)
        if isinstance(result, Failure):
            return Failure(_make_order_error(result.failure()))
        answer = result.unwrap()
        if answer.status != STATUS_OK:
            return Failure(OrderError(OrderFault.UNAVAILABLE, f"status {answer.status}"))
        return from_plain(answer.read_json(), EngineReport).alt(
            lambda detail: OrderError(OrderFault.UNAVAILABLE, detail)
        )

    return EngineClient(send_order, fetch_report)


def cancel_request(http: HttpClient, server: BackendServerInfo, request_id: str) -> None:
    """Cancel an engine's work on a request; if that fails, the work runs to its end.

    Uses new connections: the attempt may have been abandoned because its connection was
    unresponsive, and other open ones may be unresponsive too.
    """
    url = f"{make_base_url(server)}/control/cancel"
    client = http.with_new_connections()
    client.post_json(url, {"request_id": request_id}, CANCEL_TIMEOUT_S, ANSWER_BYTES_MAX)
    client.pool.clear()


def make_base_url(server: BackendServerInfo) -> str:
    """Return the base address of a backend server."""
    return f"http://{server.host}:{server.port}"


def _get_report(http: HttpClient, url: str) -> Result[Answer, ExchangeError]:
    return http.exchange("GET", url, timeout_s=REPORT_TIMEOUT_S, bytes_max=ANSWER_BYTES_MAX)


def _make_order_error(error: ExchangeError) -> OrderError:
    fault = OrderFault.UNKNOWN if error.sent else OrderFault.UNAVAILABLE
    return OrderError(fault, error.detail)


def _read_order_answer(answer: Answer) -> Result[None, OrderError]:
    if answer.status == STATUS_OK:
        return Success(None)
    detail = answer.body.decode(errors="replace")[:200]
    if answer.status == STATUS_CONFLICT:
        return Failure(OrderError(OrderFault.STALE_TOKEN, detail))
    if answer.status == STATUS_UNAVAILABLE:
        return Failure(OrderError(OrderFault.UNAVAILABLE, detail))
    if answer.status // 100 == 4:
        return Failure(OrderError(OrderFault.REFUSED, detail))
    return Failure(OrderError(OrderFault.UNKNOWN, detail))


def fetch_service_report(
    http: HttpClient, server: BackendServerInfo
) -> Result[ServiceReport, OrderError]:
    """Read the load report of a replica of a plain service."""
    result = _get_report(http, f"{make_base_url(server)}/control/report")
    if isinstance(result, Failure):
        return Failure(_make_order_error(result.failure()))
    plain = result.unwrap().read_json()
    if not isinstance(plain, dict):
        return Failure(OrderError(OrderFault.UNAVAILABLE, "the report is not a JSON object"))
    return from_plain({"backend_server": server.name, **plain}, ServiceReport).alt(
        lambda detail: OrderError(OrderFault.UNAVAILABLE, detail)
    )
