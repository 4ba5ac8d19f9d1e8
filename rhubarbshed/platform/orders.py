"""Calls to model engines for orders and reports."""

import json

from rhubarbshed.platform.headers import EXPECT_INSTANCE, STATUS_MISDIRECTED
from rhubarbshed.protocol.exchanges import ControlCall
from rhubarbshed.protocol.servers import OrderEnd, ServerOrder

REPORT_BYTES_MAX = 262_144
"""Longest report: as many names as a list may have, of 60 bytes each."""

ENDS_BY_STATUS = {
    200: OrderEnd.ALREADY_DONE,
    202: OrderEnd.ACCEPTED,
    400: OrderEnd.INVALID,
    409: OrderEnd.CONFLICT,
    412: OrderEnd.FENCED,
    STATUS_MISDIRECTED: OrderEnd.WRONG_SERVER,
}


def make_order(order: ServerOrder, server_id: str) -> ControlCall:
    """Return the call that sends an order to an engine."""
    body: dict[str, object] = {
        "Operation": order.kind.value,
        "Model": order.model,
        "Holder": order.holder,
        "FencingToken": order.token,
    }
    if order.adapter:
        body["Adapter"] = order.adapter
    if order.expected is not None:
        # "Expected" is the number of accepted orders, not a version of the model.
        body["Expected"] = order.expected
    headers = ((b"content-type", b"application/json"), (EXPECT_INSTANCE, server_id.encode()))
    return ControlCall(b"POST", b"/rhubarbshed/order", json.dumps(body).encode(), headers)


def read_order_end(status: int) -> OrderEnd:
    """Decode the status of the response to an order."""
    return ENDS_BY_STATUS.get(status, OrderEnd.UNKNOWN)


def make_report_call(server_id: str) -> ControlCall:
    """Return the call that fetches an engine's report."""
    headers = ((EXPECT_INSTANCE, server_id.encode()),)
    return ControlCall(
        b"GET", b"/rhubarbshed/report", headers=headers, answer_bytes_max=REPORT_BYTES_MAX
    )


def make_health_call(server_id: str, path: str) -> ControlCall:
    """Return the health check of one server; another one at its address answers 421."""
    headers = ((EXPECT_INSTANCE, server_id.encode()),)
    return ControlCall(b"GET", path.encode("latin-1"), headers=headers)
