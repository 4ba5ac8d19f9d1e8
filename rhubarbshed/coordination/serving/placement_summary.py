"""Figures on a planning round for the log and the metrics."""

import enum

from attrs import frozen


class Postponement(enum.Enum):
    """Reason why an addition is not ordered in a round."""

    NO_ROOM = "no_room"
    TAKEN = "taken"
    ELSEWHERE = "elsewhere"
    BUSY = "busy"
    LOAD_RATE = "load_rate"


@frozen
class PlacementSummary:
    """What engines hold and do, and what is in demand, after a planning round.

    `changing` engines carry out an order for a model, `open` ones could take another. `missing`
    models are in demand and not on any engine, `coming` ones are being loaded or have room being
    made for them.
    """

    engines: int
    open: int
    changing: int
    unconfirmed: int
    copies: int
    free_mb: float
    in_demand: int
    missing: int
    coming: int
    awaited: int
