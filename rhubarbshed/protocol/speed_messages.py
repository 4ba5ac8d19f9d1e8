"""Message with the slowness that servers state, sent beside their loads."""

from attrs import Attribute, field, frozen

from rhubarbshed.protocol.message_checks import check_text, is_text

SPEEDS_PER_MESSAGE = 40
"""Most servers in one datagram, which keeps it within a packet or two."""

SLOWNESS_MAX = 1_000.0
"""Greatest slowness; the header of a server can state no greater one."""


def _is_slowness(value: object) -> bool:
    return type(value) is float and 0.0 < value <= SLOWNESS_MAX


def _check_speeds(message: object, attribute: Attribute, value: object) -> None:
    fits = isinstance(value, tuple) and len(value) <= SPEEDS_PER_MESSAGE
    if not fits or not all(
        isinstance(row, tuple)
        and len(row) == 3
        and is_text(row[0])
        and all(map(_is_slowness, row[1:]))
        for row in value
    ):
        raise ValueError(f"{attribute.name} is not a short list of slownesses")


@frozen
class SpeedsMessage:
    """Slowness of servers, as (server, slowness that it stated last, lasting slowness).

    It is a message of its own, as older builds cannot read longer loads.
    """

    sender: str = field(validator=check_text)
    data_centre: str = field(validator=check_text)
    speeds: tuple[tuple[str, float, float], ...] = field(validator=_check_speeds)
