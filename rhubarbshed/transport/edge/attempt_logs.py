"""Log lines on single attempts."""

import logging

from rhubarbshed.protocol.exchanges import CallerRequest, ResponseHead
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.transport.edge.channels import Channel
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)


def log_skipped(
    request: CallerRequest, record: ServerRecord | None, channel: Channel, head: ResponseHead
) -> None:
    """Log a response to another request in place of the one expected."""
    log_event(
        LOG,
        logging.INFO,
        "response_skipped",
        request=request.request_id,
        server=record.entry.server_id if record is not None else "",
        named=head.request_id,
        status=head.status,
        earlier=int(channel.has_carried(head.request_id)),
        conn_request=channel.exchanges,
    )
