"""Orders that this instance has under way to the backend servers it owns."""

from attrs import define, field

from rhubarbshed.state.ledger import Ledger

NEVER = float("-inf")


@define
class ServerMoves:
    """Hold what this instance alone knows of one backend server it owns.

    `token_raised` is the highest epoch that the server confirmed to enforce, `proved` the epoch
    under which a report has shown its memory. `changed_at` is when an order was last settled
    (monotonic seconds). `lost` are order ids of which an answer was lost.
    """

    ledger: Ledger
    token_raised: int = 0
    proved: int = 0
    changed_at: float = NEVER
    reconciling: bool = False
    in_flight: set[str] = field(factory=set)
    lost: set[str] = field(factory=set)


@define
class Moves:
    """Hold the moves under way, by backend server."""

    servers: dict[str, ServerMoves] = field(factory=dict)

    def note(self, ledger: Ledger, now: float) -> ServerMoves:
        """Take in a ledger as read or written; an older epoch changes nothing."""
        held = self.servers.get(ledger.backend_server)
        if held is None:
            held = ServerMoves(ledger, changed_at=now)
            self.servers[ledger.backend_server] = held
        elif ledger.epoch > held.ledger.epoch:
            held.changed_at = now
        if ledger.epoch >= held.ledger.epoch:
            held.ledger = ledger
        return held

    def is_idle(self, backend_server: str) -> bool:
        """Tell whether no order is on its way to a backend server."""
        held = self.servers.get(backend_server)
        return held is None or not held.in_flight and not held.reconciling

    def forget(self, backend_server: str) -> None:
        """Forget a backend server that is no longer owned."""
        self.servers.pop(backend_server, None)
