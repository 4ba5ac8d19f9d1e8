"""Requests for a model or adapter that no server holds: wait for its load, or refuse.

Demand moves to other models, and rare models are asked for at once. A load that ends while the
caller still waits is worth the wait, since a caller that is refused retries only once.
"""

from attrs import frozen

from rhubarbshed.protocol.routes import EngineSpec, ModelSpec
from rhubarbshed.state.membership.fleet import ServerRecord

ADAPTER_WAIT_S = 0.6
"""Longest wait for an adapter: a load takes about 10 ms, an order to a busy queue somewhat
longer."""

ORDER_DELAY_S = 0.25
"""Time for a message to the order holder, its decision and its order."""

WAIT_FRACTION_MAX = 0.8
"""Largest fraction of a caller's remaining time spent waiting for a load; the rest is for the
answer."""


@frozen
class LoadWait:
    """Wait until a time (monotonic seconds) for a load that should take `expected_s`."""

    until: float
    expected_s: float


@frozen
class LoadRefusal:
    """Refusal: the load would take too long, or the model is not configured."""

    reason: str
    available_in_s: float | None = None


def decide_load_wait(
    engine: EngineSpec | None,
    needs: tuple[str, str],
    capable: list[ServerRecord],
    deadline: float,
    now: float,
) -> LoadWait | LoadRefusal:
    """Decide whether a request whose (model, adapter) no server holds waits for a load.

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
    """Return the seconds until a server could hold a model; the known end of a load in progress."""
    if record.loading == spec.name:
        return max(ORDER_DELAY_S, record.loaded_at - now)
    return ORDER_DELAY_S + _find_load_time(spec, record)


def _find_load_time(spec: ModelSpec, record: ServerRecord) -> float:
    if spec.name in record.entry.in_memory:
        return spec.warm_load_s
    if spec.name in record.entry.on_disk:
        return spec.disk_load_s
    return spec.load_s
