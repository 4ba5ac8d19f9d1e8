"""Days of demand for more models than engines have room for."""

import random

from attrs import evolve, frozen

from rhubarbshed.protocol.routes import EngineSpec, ModelSpec

MODEL_KINDS = ((72_700.0, 4.2, 0.84, 0.63), (65_100.0, 3.8, 0.78, 0.6), (42_700.0, 2.6, 0.57, 0.44))
"""Megabytes of a model, and seconds of its load from the weight store, a disk and memory."""

CATALOGUE_SEED = 7


@frozen
class Caller:
    """Kind of request: `models` of the catalogue from `first` on, of which `in_use` at a time.

    `skew` is the exponent of their popularity by rank, beside which the first one has `top` times
    as much. Runs take `run_s` on an idle engine.
    """

    name: str
    per_s: float
    target_s: float
    stall_s: float
    deadline_s: float
    worth: float
    late_worth: float
    run_s: float
    run_spread: float
    tokens: int
    first: int
    models: int
    in_use: int
    skew: float
    top: float = 1.0


@frozen
class Crash:
    """Crash of a share of the engines."""

    at: float
    share: float
    lasts_s: float


@frozen
class Burst:
    """Demand of one kind of request that is `times` as high for a while."""

    caller: str
    at: float
    lasts_s: float
    times: float


@frozen
class LateOrders:
    """Time in which a share of the orders gets no answer and is carried out later, if at all."""

    at: float
    lasts_s: float
    share: float


@frozen
class Day:
    """Deployment and what happens in a day; times in seconds from the start of traffic."""

    engines: int
    data_centres: int
    spec: EngineSpec
    callers: tuple[Caller, ...]
    disk_mb: float = 400_000.0
    host_mb: float = 130_000.0
    loads_at_once: int = 36
    resident: int = 2
    lead_s: float = 14.0
    lasts_s: float = 34.0
    shifts: tuple[float, ...] = (1.0, 14.0, 24.0)
    shift_count: int = 2
    shift_lasts_s: float = 8.0
    crashes: tuple[Crash, ...] = ()
    bursts: tuple[Burst, ...] = ()
    late_orders: tuple[LateOrders, ...] = ()


def make_models(count: int, rng: random.Random) -> dict[str, ModelSpec]:
    """Return a catalogue of large and small models."""
    models = {}
    for number in range(count):
        size_mb, load_s, disk_s, warm_s = rng.choice((MODEL_KINDS[0], *MODEL_KINDS))
        models[f"m{number:03}"] = ModelSpec(f"m{number:03}", size_mb, load_s, disk_s, warm_s)
    return models


LISTENERS = Caller("listeners", 160, 0.3, 2.0, 12.0, 2.2, 0.22, 1.5, 0.7, 715, 0, 50, 20, 0.68, 1.7)
INDEX = Caller("index", 170, 0.3, 2.0, 4.0, 0.96, 0.096, 0.25, 1.2, 383, 0, 50, 20, 0.68, 1.7)
OVERNIGHT = Caller("overnight", 22.5, 3.0, 12.0, 20.0, 2.2, 0.22, 1.5, 0.7, 715, 50, 54, 54, 0.4)


def make_large(rng: random.Random) -> Day:
    """Return thirty engines with a hundred models, on a day with crashes and late orders."""
    spec = EngineSpec(24, 70_000, 200_000.0, 8, 10.0, make_models(104, rng))
    return Day(
        30,
        3,
        spec,
        (LISTENERS, INDEX, OVERNIGHT),
        lasts_s=41.0,
        crashes=(Crash(3.7, 0.19, 3.7), Crash(6.4, 0.25, 2.0)),
        late_orders=(LateOrders(1.9, 6.0, 0.3),),
        bursts=(
            Burst("overnight", 1.4, 3.0, 2.7),
            Burst("index", 6.4, 3.0, 2.3),
            Burst("listeners", 9.4, 3.9, 1.6),
        ),
    )


def make_quiet(rng: random.Random) -> Day:
    """Return the same deployment with less demand and no faults."""
    day = make_large(rng)
    callers = tuple(evolve(each, per_s=0.6 * each.per_s) for each in day.callers)
    return evolve(
        day, callers=callers, crashes=(), late_orders=(), lasts_s=34.0, bursts=day.bursts[:1]
    )


def make_small(rng: random.Random) -> Day:
    """Return five engines with fourteen models."""
    spec = EngineSpec(64, 159_000, 200_000.0, 8, 1.6, make_models(14, rng))
    callers = (
        evolve(LISTENERS, per_s=40, models=8, in_use=5),
        evolve(INDEX, per_s=32, models=8, in_use=5),
        evolve(OVERNIGHT, per_s=5, first=8, models=6, in_use=6),
    )
    crashes = (Crash(6.0, 0.2, 3.0),)
    return Day(5, 3, spec, callers, loads_at_once=6, lead_s=11.0, crashes=crashes)


def make_crowded(rng: random.Random) -> Day:
    """Return ten engines and some more models of overnight requests than they have room for."""
    spec = EngineSpec(24, 70_000, 200_000.0, 8, 10.0, make_models(48, rng))
    caller = evolve(OVERNIGHT, per_s=15.3, first=0, models=34, in_use=34)
    return Day(10, 1, spec, (caller,), shifts=())


def make_brisk(rng: random.Random) -> Day:
    """Return engines that load a model in a second, for callers who wait for several.

    Seventy models share a seventh of the streams, worth twice as much each as the others.
    """
    models = {
        name: evolve(model, load_s=1.2, disk_load_s=0.6, warm_load_s=0.5)
        for name, model in make_models(95, rng).items()
    }
    spec = EngineSpec(16, 53_000, 200_000.0, 8, 12.0, models)
    live, index, overnight = (
        evolve(LISTENERS, per_s=154, stall_s=9.0, deadline_s=10.0, worth=1.6, late_worth=0.16),
        evolve(INDEX, per_s=177, stall_s=3.5, worth=1.3, late_worth=0.13),
        evolve(OVERNIGHT, per_s=21.4, target_s=1.2, stall_s=9.6, deadline_s=12.0),
    )
    callers = (
        evolve(live, models=25, in_use=10),
        evolve(index, models=25, in_use=10),
        evolve(overnight, worth=3.2, late_worth=0.32, first=25, models=70, in_use=70),
    )
    return Day(
        39,
        5,
        spec,
        callers,
        loads_at_once=14,
        lasts_s=41.0,
        crashes=(Crash(7.1, 0.17, 3.3),),
        late_orders=(LateOrders(1.0, 6.0, 0.3),),
        bursts=(
            Burst("overnight", 1.05, 3.0, 2.54),
            Burst("index", 6.05, 3.0, 2.4),
            Burst("listeners", 4.9, 3.2, 1.6),
        ),
    )


DAYS = {
    "large": make_large,
    "quiet": make_quiet,
    "small": make_small,
    "crowded": make_crowded,
    "brisk": make_brisk,
}
