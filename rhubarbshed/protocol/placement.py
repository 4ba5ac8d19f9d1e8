"""Inputs and results of placement: views of backend servers, demand, moves and plans."""

import enum

from attrs import field, frozen

from rhubarbshed.protocol.members import BackendServerInfo, Standing
from rhubarbshed.protocol.orders import Resident


class MoveKind(enum.Enum):
    """What a move changes; the values equal those of the corresponding `OrderKind`."""

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
    """Backend server as seen by placement.

    `reserved_bytes` is the memory reserved in the ledger, from the intent of a load to the
    confirmed unload, including resident copies. `unloading` are those of `resident` with an intent
    to unload in the ledger; no other unload may rely on them. `power_watts` is drawn by its models.
    `slots` is how many requests it decodes at once, `tokens_per_s` its output at full batch.
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
        """Bytes that the ledger has not reserved."""
        return self.info.memory_bytes - self.reserved_bytes


@frozen
class ModelDemand:
    """Demand for one model, in requests and output tokens per second."""

    model: str
    arrivals_per_s: float = 0.0
    tokens_per_s: float = 0.0
    refusals_per_s: float = 0.0


@frozen
class DemandReport:
    """Demand measured by one instance, as sent in its digest."""

    instance: str
    models: tuple[ModelDemand, ...] = field(factory=tuple)


@frozen
class Move:
    """Change to what one backend server holds; `model` names an adapter's model.

    `relies_on` names the backend server whose ready copy permits an unload. The unload's
    transaction must check that server's ledger row, since its owner may unload that copy too; if
    it is empty, the transaction must check the object's row, as a later ticket may have created
    the object again.
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
    """Started move; times are monotonic seconds, `settled_at` is None while in flight."""

    move: Move
    started_at: float
    settled_at: float | None = None


@frozen
class PlacementPlan:
    """Moves of one interval, most urgent first, and names of models and adapters not placed."""

    moves: tuple[Move, ...] = field(factory=tuple)
    unplaced: tuple[str, ...] = field(factory=tuple)
