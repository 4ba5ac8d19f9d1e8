"""Orders of this instance in flight to the backend servers it owns."""

from attrs import define, field, frozen

from rhubarbshed.state.placement.ledger import Copies, Entry, Ledger

NEVER = float("-inf")
ORDER_LIFETIME_S = 60.0


@frozen
class LostAnswer:
    """Time of the last lost answer to an order (monotonic seconds), and its epoch."""

    at: float
    epoch: int


@define
class ServerMoves:
    """State of one owned backend server that only this instance knows.

    `enforced_epoch` is the highest epoch that the server has confirmed to enforce, `verified_epoch`
    the epoch under which a report has shown its memory. `changed_at` is when an order was last
    settled, and `epoch_seen_at` when the epoch was first seen (monotonic seconds). `lost_answers`
    holds the orders to which an answer was lost.
    """

    ledger: Ledger
    enforced_epoch: int = 0
    verified_epoch: int = 0
    changed_at: float = NEVER
    epoch_seen_at: float = NEVER
    reconciling: bool = False
    in_flight: set[str] = field(factory=set)
    lost_answers: dict[str, LostAnswer] = field(factory=dict)

    def assess_copies(self, entry: Entry, checks_fencing: bool, claimed: str, now: float) -> Copies:
        """Return what is known of copies of an entry's load order that may be in flight.

        `claimed` is the load id that the caller itself has marked as in flight.
        """
        lost_answer = self.lost_answers.get(entry.load_id, LostAnswer(NEVER, 0))
        epoch = max(entry.epoch, lost_answer.epoch)
        lost_at = max(self.epoch_seen_at, lost_answer.at)
        return Copies(
            in_flight=entry.load_id != claimed,
            voided=checks_fencing and epoch < self.ledger.epoch <= self.enforced_epoch,
            expired=not checks_fencing and now - lost_at > ORDER_LIFETIME_S,
        )

    def forget_entry(self, entry: Entry) -> None:
        """Drop the orders of an entry that was unloaded."""
        for order_id in (entry.load_id, entry.unload_id):
            self.lost_answers.pop(order_id, None)


@define
class Moves:
    """Moves in progress, by backend server."""

    servers: dict[str, ServerMoves] = field(factory=dict)

    def record_ledger(self, ledger: Ledger, now: float) -> ServerMoves:
        """Record a ledger as read or written; an older epoch changes nothing."""
        server_moves = self.servers.get(ledger.backend_server)
        if server_moves is None:
            server_moves = ServerMoves(ledger, changed_at=now, epoch_seen_at=now)
            self.servers[ledger.backend_server] = server_moves
        elif ledger.epoch > server_moves.ledger.epoch:
            server_moves.changed_at = now
            server_moves.epoch_seen_at = now
        if ledger.epoch >= server_moves.ledger.epoch:
            server_moves.ledger = ledger
        return server_moves

    def is_idle(self, backend_server: str) -> bool:
        """Return whether no order to a backend server is in flight."""
        server_moves = self.servers.get(backend_server)
        return server_moves is None or not server_moves.in_flight and not server_moves.reconciling

    def forget(self, backend_server: str) -> None:
        """Drop a backend server that is no longer owned, unless an order to it is in flight."""
        if self.is_idle(backend_server):
            self.servers.pop(backend_server, None)
