"""Messages of placement: views of backend servers, demand, moves and plans."""

import enum

from attrs import field, frozen

from rhubarbshed.protocol.members import BackendServerInfo, Standing
from rhubarbshed.protocol.orders import Resident


class MoveKind(enum.Enum):
    """What a move changes; the values equal those of the orders that carry moves out."""

    LOAD = "load"
    UNLOAD = "unload"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"


class MoveReason(enum.Enum):
    """Why a move is made."""

    REACH = "reach"
    DEMAND = "demand"
    VERSION = "version"
    LEAVING = "leaving"
    MAKE_ROOM = "make_room"
    DELETED = "deleted"


@frozen
class ServerView:
    """Describe a backend server as placement sees it.

    `reserved_bytes` is what the ledger holds, from the intent of a load to the confirmed unload,
    resident copies included. `unloading` names those of `resident` that have an intent to unload
    in the ledger; no other unload may rely on them. `power_watts` is drawn by its models. `slots`
    is how many requests it decodes at once, `tokens_per_s` its output at full batch.
    """

    info: BackendServerInfo
    standing: Standing = Standing.LIVE
    resident: tuple[Resident, ...] = field(factory=tuple)
    reserved_bytes: int = 0
    power_watts: float = 0.0
    slots: int = 32
    tokens_per_s: float = 800.0
    unloading: tuple[Resident, ...] = field(factory=tuple)

    @property
    def free_bytes(self) -> int:
        """Return the bytes that the ledger has not reserved."""
        return self.info.memory_bytes - self.reserved_bytes


@frozen
class ModelDemand:
    """Tell the demand for one model, in requests and output tokens per second."""

    model: str
    arrivals_per_s: float = 0.0
    tokens_per_s: float = 0.0
    refusals_per_s: float = 0.0


@frozen
class DemandReport:
    """Carry one instance's own demand figures in its digest."""

    instance: str
    models: tuple[ModelDemand, ...] = field(factory=tuple)


@frozen
class Move:
    """Change what one backend server holds; `model` names an adapter's model.

    `relies_on` names the backend server whose ready copy justifies an unload. The unload's
    transaction must check that server's ledger row, since its owner may unload that copy too;
    without one it must check the object's row, which a later ticket may have created again.
    """

    kind: MoveKind
    backend_server: str
    name: str
    version: str
    memory_bytes: int
    reason: MoveReason
    model: str = ""
    relies_on: str = ""


@frozen
class MoveRecord:
    """Remember a move; times are monotonic seconds, `settled_at` is None while in flight."""

    move: Move
    started_at: float
    settled_at: float | None = None


@frozen
class PlacementPlan:
    """Hold the moves of one interval, most urgent first, and what finds no room."""

    moves: tuple[Move, ...] = field(factory=tuple)
    unplaced: tuple[str, ...] = field(factory=tuple)
