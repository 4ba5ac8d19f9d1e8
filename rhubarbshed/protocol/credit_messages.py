"""Messages about the credit of accounts whose limits hold for all instances together.

One instance grants the credit of each account; the others ask it before they send a request.
"""

from attrs import Attribute, field, frozen

from rhubarbshed.protocol.message_checks import check_number, check_text, is_quantity


def _check_quantity(message: object, attribute: Attribute, value: object) -> None:
    if not is_quantity(value):
        raise ValueError(f"{attribute.name} is not a quantity")


@frozen
class CreditQuestion:
    """Question for credit of an account, in the unit of its limit.

    `version` is that of the configuration that the asking instance knows. `cost` is that of a
    request, 0 if there is none, and `prefetch` what further requests are expected to use.
    `returned` is unused credit from earlier replies that the asking instance gives up. A question
    that is repeated keeps its number.
    """

    number: int = field(validator=check_number)
    account: str = field(validator=check_text)
    version: int = field(validator=check_number)
    cost: float = field(validator=_check_quantity)
    prefetch: float = field(validator=_check_quantity)
    returned: float = field(default=0.0, validator=_check_quantity)


@frozen
class CreditReply:
    """Reply to a `CreditQuestion`, by its number.

    `granted` is 0 if the request is refused; then its caller can expect room in `retry_in_ms`.
    Otherwise the credit can be used after `retry_in_ms`. That is None if the replying instance
    cannot decide, as its configuration is older.
    """

    number: int = field(validator=check_number)
    granted: float = field(validator=_check_quantity)
    retry_in_ms: int | None = field()

    @retry_in_ms.validator
    def _check_retry_in(self, attribute: Attribute, value: object) -> None:
        if value is not None:
            check_number(self, attribute, value)
