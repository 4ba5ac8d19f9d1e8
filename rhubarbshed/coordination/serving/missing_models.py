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

ORDERED_WAIT_MIN_S = 1.0
"""Least time that a request waits until its model is being loaded; one with a longer target waits
for as long as that. A model that is not being loaded by then has to wait for its turn, and its
callers are asked to come back."""

LOADED_MARGIN_S = 0.7
"""Time for which a load is waited for beyond its expected end, as reports lag."""

WAIT_FRACTION_MAX = 0.8
"""Largest fraction of a caller's remaining time spent waiting for a load; the rest is for the
answer."""

REPLY_FRACTION = 0.25
REPLY_WAIT_MAX_S = 0.5
"""Part of its target, and longest time, that an urgent request waits under overload until the order
holder announces a load of its model."""


@frozen
class CallerPatience:
    """Time that a caller has for a load: it waits from `since` to `until` (monotonic seconds).

    Its route's target is `target_s`. A load that it began to wait for was to end by `due_at`.
    """

    since: float
    until: float
    target_s: float
    due_at: float | None = None


@frozen
class LoadWait:
    """Wait until a time (monotonic seconds) for a load that should take `expected_s`.

    `is_under_way` means that the order holder has announced the load.
    """

    until: float
    expected_s: float
    is_under_way: bool = False


@frozen
class LoadRefusal:
    """Refusal: the load would take too long, or the model is not configured."""

    reason: str
    available_in_s: float | None = None


def decide_load_wait(
    engine: EngineSpec | None,
    needs: tuple[str, str],
    capable: list[ServerRecord],
    patience: CallerPatience,
    now: float,
) -> LoadWait | LoadRefusal:
    """Decide whether a request whose (model, adapter) no server holds waits, or waits on.

    At the end of the wait it is decided anew.
    """
    model, adapter = needs
    spec = engine.models.get(model) if engine is not None else None
    if spec is None or not capable:
        return LoadRefusal("absent")
    left_s = (patience.until - now) * WAIT_FRACTION_MAX
    if adapter and any(model in record.held for record in capable):
        expected_s, until = ORDER_DELAY_S, patience.since + ADAPTER_WAIT_S
    else:
        expected_s = min(_find_ready_time(spec, record, now) for record in capable)
        ordered_by = patience.since + max(ORDERED_WAIT_MIN_S, patience.target_s)
        due = [record.loaded_at + LOADED_MARGIN_S for record in capable if record.loading == model]
        until = min(due, default=ordered_by)
    if expected_s > left_s or until <= now:
        return LoadRefusal("absent", max(expected_s, patience.target_s))
    return LoadWait(min(until, now + left_s), expected_s)


def decide_scheduled_load_wait(
    engine: EngineSpec | None,
    needs: tuple[str, str],
    capable: list[ServerRecord],
    patience: CallerPatience,
    now: float,
) -> LoadWait | LoadRefusal:
    """Decide as `decide_load_wait`, with a wait for a load to begin only while it would be in time.

    Load patterns: more models than slots, and demand that moves to models that nobody holds. Most
    urgent requests waited for a second and more, and were refused then. Patient ones wait for as
    long as a load that begins now would end by their target.

    A load that ends before the caller leaves is waited for even if the target is missed: the answer
    comes no later than after a refusal, and a caller comes back only if it is asked to within a
    third of the time that it has left. A load that has not begun may never begin.
    """
    model, adapter = needs
    spec = engine.models.get(model) if engine is not None else None
    if spec is None or not capable:
        return LoadRefusal("absent")
    if adapter and any(model in record.held for record in capable):
        return decide_load_wait(engine, needs, capable, patience, now)
    left_s = (patience.until - now) * WAIT_FRACTION_MAX
    loading = [record.loaded_at for record in capable if record.loading == model]
    if loading:
        # An overdue load is announced as due now, again and again.
        due_at = min(loading) if patience.due_at is None else min(*loading, patience.due_at)
        expected_s, until = max(0.0, due_at - now), due_at + LOADED_MARGIN_S
    else:
        expected_s = min(_find_ready_time(spec, record, now) for record in capable)
        reply_s = min(REPLY_FRACTION * patience.target_s, REPLY_WAIT_MAX_S)
        until = patience.since + max(reply_s, patience.target_s - expected_s)
    if until <= now or (loading and expected_s > left_s):
        return LoadRefusal("absent", max(expected_s, ORDER_DELAY_S))
    return LoadWait(min(until, now + left_s), expected_s, bool(loading))


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
