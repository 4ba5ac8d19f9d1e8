"""Messages about servers that name how many requests a second they take from all instances.

One instance hands out the requests to each such server; the others ask it before they send one.
"""

import math

from attrs import Attribute, field, frozen

from rhubarbshed.protocol.message_checks import check_number, check_text


def _check_limit(message: object, attribute: Attribute, value: object) -> None:
    if type(value) is not float or not 0.0 < value < math.inf:
        raise ValueError(f"{attribute.name} is not a limit")


def _check_limit_or_none(message: object, attribute: Attribute, value: object) -> None:
    if value is not None:
        _check_limit(message, attribute, value)


@frozen
class LimitMessage:
    """Change of a server's limit in requests a second, None if it names none any more.

    `started_ms` tells the server's incarnations apart.
    """

    server_id: str = field(validator=check_text)
    started_ms: int = field(validator=check_number)
    limit_per_s: float | None = field(validator=_check_limit_or_none)


@frozen
class LimitQuestion:
    """Question whether a request may be sent to a server, which named its limit `age_ms` ago.

    The request can wait for `wait_ms`. A question that is repeated keeps its number.
    """

    number: int = field(validator=check_number)
    server_id: str = field(validator=check_text)
    started_ms: int = field(validator=check_number)
    limit_per_s: float = field(validator=_check_limit)
    age_ms: int = field(validator=check_number)
    wait_ms: int = field(validator=check_number)


@frozen
class LimitReply:
    """Reply to a `LimitQuestion`, by its number.

    `send_in_ms` is when the request may be sent, None if not within its wait. The next one may be
    sent in `free_in_ms`, and a caller that is refused now can expect room in `retry_in_ms`.
    """

    number: int = field(validator=check_number)
    send_in_ms: int | None = field()
    free_in_ms: int = field(validator=check_number)
    retry_in_ms: int = field(validator=check_number)

    @send_in_ms.validator
    def _check_send_in(self, attribute: Attribute, value: object) -> None:
        if value is not None:
            check_number(self, attribute, value)
