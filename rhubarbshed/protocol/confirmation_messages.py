"""Messages by which instances without an own look at the store confirm their configuration.

An instance asks an order holder, which states how old its own knowledge is. Times are those of the
asking instance, so that no clocks are compared.
"""

from attrs import field, frozen

from rhubarbshed.protocol.message_checks import check_number


@frozen
class ConfirmationQuestion:
    """Question which configuration is in force, asked at `asked_ms` of the sender's clock."""

    asked_ms: int = field(validator=check_number)


@frozen
class ConfirmationReply:
    """Reply to a `ConfirmationQuestion`, with the time that it names.

    The replier knows that `version` was in force `age_ms` before the reply.
    """

    asked_ms: int = field(validator=check_number)
    version: int = field(validator=check_number)
    age_ms: int = field(validator=check_number)
