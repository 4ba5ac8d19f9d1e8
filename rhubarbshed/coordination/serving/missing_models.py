"""Requests for a model or adapter that no server holds yet: wait for its load, or be refused.

Answers demand that moves to other models and rare models asked for at once. A load within a
caller's patience is worth the wait, since a caller that is sent away comes back only once.
"""

from attrs import frozen

from rhubarbshed.protocol.routes import EngineSpec, ModelSpec
from rhubarbshed.state.membership.fleet import ServerRecord

ADAPTER_WAIT_S = 0.6
"""Longest wait for an adapter: a load takes about 10 ms, an order to a busy queue some more."""

ORDER_DELAY_S = 0.25
"""Time for a word to the order holder, its decision and its order."""

WAIT_FRACTION_MAX = 0.8
"""Part of a caller's patience that may go into waiting; the rest is for the answer."""


@frozen
class LoadWait:
    """Wait until a time (monotonic seconds) for a load that should take `expected_s`."""

    until: float
    expected_s: float


@frozen
class LoadRefusal:
    """Refuse: the load would take too long, or nothing by that name is configured."""

    reason: str
    available_in_s: float | None = None


def decide_load_wait(
    engine: EngineSpec | None,
    needs: tuple[str, str],
    capable: list[ServerRecord],
    deadline: float,
    now: float,
) -> LoadWait | LoadRefusal:
    """Decide on a request whose (model, adapter) no server holds.

    Its caller waits until `deadline` (monotonic seconds).
    """
    model, adapter = needs
    spec = engine.models.get(model) if engine is not None else None
    if spec is None or not capable:
        return LoadRefusal("absent")
    left_s = (deadline - now) * WAIT_FRACTION_MAX
    if adapter and any(model in record.held for record in capable):
        return LoadWait(now + min(ADAPTER_WAIT_S, left_s), ORDER_DELAY_S)
    expected_s = min(_find_ready_time(spec, record, now) for record in capable)
    if expected_s > left_s:
        return LoadRefusal("absent", expected_s)
    return LoadWait(now + left_s, expected_s)


def _find_ready_time(spec: ModelSpec, record: ServerRecord, now: float) -> float:
    """Return the seconds until a server could hold a model; one that loads it knows better."""
    if record.loading == spec.name:
        return max(ORDER_DELAY_S, record.loaded_at - now)
    return ORDER_DELAY_S + _find_load_time(spec, record)


def _find_load_time(spec: ModelSpec, record: ServerRecord) -> float:
    if spec.name in record.entry.in_memory:
        return spec.warm_load_s
    if spec.name in record.entry.on_disk:
        return spec.disk_load_s
    return spec.load_s
