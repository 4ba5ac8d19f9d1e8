"""Bound on what an instance holds of all that callers send."""

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from rhubarbshed.transport.edge.caller_connections import CallerConnection

RECEIVED_BYTES_MAX = 50_331_648
"""Bytes of requests above which long ones are refused. On their way to a server they are held up to
three times: as a body, as bytes to send, and as bytes that the socket has not taken. Together with
short requests and the process that has to fit into an instance's memory of some 220 MB."""

SHORT_BYTES_MAX = 16_384
"""Bytes of one connection that are always held: the descriptors of an instance, some 1,600, bound
their sum."""


@define(eq=False)
class ReceivedBytes:
    """Bytes of requests that connections hold until these are answered and the answers taken."""

    bytes_max: int = RECEIVED_BYTES_MAX
    total: int = 0
    _held: dict["CallerConnection", tuple[int, int]] = field(factory=dict)

    def record(self, connection: "CallerConnection", unanswered: int, answered: int) -> None:
        """Record what a connection holds, of later requests and of others with answers."""
        self.total += unanswered + answered - sum(self._held.pop(connection, (0, 0)))
        if unanswered or answered:
            self._held[connection] = (unanswered, answered)

    @property
    def has_room(self) -> bool:
        """Return whether all connections may hold more."""
        return self.total <= self.bytes_max

    def find_excess(self) -> "CallerConnection | None":
        """Return the connection whose bytes to give up, if all hold too many together.

        It is the one with the most that are not of a request in progress, and never one with few,
        so that no caller of short requests has to make room for one of long ones.
        """
        if self.has_room:
            return None
        candidates = (each for each in self._held if each.may_give_up)
        largest = max(candidates, key=lambda each: self._held[each][0], default=None)
        if largest is None or self._held[largest][0] <= SHORT_BYTES_MAX:
            return None
        return largest
