"""Orders that this instance has under way to the backend servers it owns."""

from attrs import define, field, frozen

from rhubarbshed.state.placement.ledger import Copies, Entry, Ledger

NEVER = float("-inf")
ORDER_LIFETIME_S = 60.0


@frozen
class LostAnswer:
    """Tell when an answer to an order was last lost (monotonic seconds), and its epoch."""

    at: float
    epoch: int


@define
class ServerMoves:
    """Hold what this instance alone knows of one backend server it owns.

    `enforced_epoch` is the highest epoch that the server confirmed, `verified_epoch` the epoch
    under which a report has shown its memory. `changed_at` is when an order was last settled
    and `epoch_seen_at` when the epoch was first seen (monotonic seconds). `lost` holds the orders
    to which an answer was lost.
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
        """Tell what is known of copies of an entry's load order that may be under way.

        `claimed` is the load id whose place in flight the asker itself holds.
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
        """Forget the orders of an entry that was unloaded."""
        for order_id in (entry.load_id, entry.unload_id):
            self.lost_answers.pop(order_id, None)


@define
class Moves:
    """Hold the moves under way, by backend server."""

    servers: dict[str, ServerMoves] = field(factory=dict)

    def record_ledger(self, ledger: Ledger, now: float) -> ServerMoves:
        """Take in a ledger as read or written; an older epoch changes nothing."""
        held = self.servers.get(ledger.backend_server)
        if held is None:
            held = ServerMoves(ledger, changed_at=now, epoch_seen_at=now)
            self.servers[ledger.backend_server] = held
        elif ledger.epoch > held.ledger.epoch:
            held.changed_at = now
            held.epoch_seen_at = now
        if ledger.epoch >= held.ledger.epoch:
            held.ledger = ledger
        return held

    def is_idle(self, backend_server: str) -> bool:
        """Tell whether no order is on its way to a backend server."""
        held = self.servers.get(backend_server)
        return held is None or not held.in_flight and not held.reconciling

    def forget(self, backend_server: str) -> None:
        """Forget a backend server that is no longer owned, unless an order is on its way."""
        if self.is_idle(backend_server):
            self.servers.pop(backend_server, None)
