"""Check whether the backend servers can hold one copy of every model of a catalogue."""

from collections.abc import Iterable

from attrs import define, frozen
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.catalogue import Adapter, CatalogueObject, Model
from rhubarbshed.protocol.errors import RequestError
from rhubarbshed.protocol.members import BackendKind, BackendServerInfo

RETRY_AFTER_S = 5.0


@frozen
class CopySize:
    """Memory and power of one copy of a model, including its adapters."""

    model: str
    memory_bytes: int
    power_watts: float


@frozen
class EngineCapacity:
    """Data centre of an engine and the memory that may be filled on it."""

    data_centre: str
    memory_bytes: int


@define
class FreeSpace:
    """Memory left on a backend server during packing, with its data centre."""

    data_centre: str
    memory_bytes: int


def list_copy_sizes(objects: Iterable[CatalogueObject]) -> tuple[CopySize, ...]:
    """Return the size of one copy of each model with its adapters, largest first."""
    bodies = [entry.body for entry in objects if entry.body is not None]
    adapter_bytes: dict[str, int] = {}
    for body in bodies:
        if isinstance(body, Adapter):
            adapter_bytes[body.model] = adapter_bytes.get(body.model, 0) + body.memory_bytes
    sizes = [
        CopySize(body.name, body.memory_bytes + adapter_bytes.get(body.name, 0), body.power_watts)
        for body in bodies
        if isinstance(body, Model)
    ]
    return tuple(sorted(sizes, key=lambda size: (-size.memory_bytes, size.model)))


def check_capacity(
    objects_after: Iterable[CatalogueObject],
    backend_servers: Iterable[BackendServerInfo],
    power_watts_max: float,
    memory_fill_max: float = 1.0,
) -> Result[None, RequestError]:
    """Check that one copy of every model fits; the error names the total or model that does not.

    `power_watts_max` applies to each data centre; 0 means no limit. `memory_fill_max` is the
    fraction of a backend server's memory that may be filled. Packing is best fit decreasing: it
    may refuse a catalogue that only an optimal packing would fit, and never admits one that does
    not fit.
    """
    sizes = list_copy_sizes(objects_after)
    engines = [
        EngineCapacity(server.data_centre, int(server.memory_bytes * memory_fill_max))
        for server in backend_servers
        if server.kind is BackendKind.ENGINE
    ]
    if not sizes:
        return Success(None)
    if not engines:
        return Failure(_make_unknown_error())
    data_centres = {server.data_centre for server in engines}
    memory_needed = sum(size.memory_bytes for size in sizes)
    memory_available = sum(server.memory_bytes for server in engines)
    if memory_needed > memory_available:
        return Failure(_make_error("memory", memory_needed, memory_available, "bytes"))
    power_needed = sum(size.power_watts for size in sizes)
    power_available = power_watts_max * len(data_centres)
    if power_watts_max > 0 and power_needed > power_available:
        return Failure(_make_error("power", power_needed, power_available, "watts"))
    return _pack(sizes, engines, power_watts_max)


def _pack(
    sizes: tuple[CopySize, ...], engines: list[EngineCapacity], power_watts_max: float
) -> Result[None, RequestError]:
    spaces = [FreeSpace(server.data_centre, server.memory_bytes) for server in engines]
    limit = power_watts_max if power_watts_max > 0 else float("inf")
    power = {space.data_centre: limit for space in spaces}
    for size in sizes:
        fitting = [s for s in spaces if _fits(size, s, power[s.data_centre])]
        if not fitting:
            return Failure(_make_packing_error(size, spaces))
        best = min(fitting, key=lambda space: space.memory_bytes)
        best.memory_bytes -= size.memory_bytes
        power[best.data_centre] -= size.power_watts
    return Success(None)


def _fits(size: CopySize, space: FreeSpace, power_watts: float) -> bool:
    return size.memory_bytes <= space.memory_bytes and size.power_watts <= power_watts


def _make_error(name: str, needed: float, available: float, unit: str) -> RequestError:
    text = f"one copy of every model needs {needed:g} {unit} of {name}, the floor has {available:g}"
    return RequestError(422, "floor_exceeded", text, field="objects")


def _make_packing_error(size: CopySize, spaces: list[FreeSpace]) -> RequestError:
    free_bytes = max(space.memory_bytes for space in spaces)
    text = (
        f"model {size.model} with its adapters needs {size.memory_bytes} bytes and"
        f" {size.power_watts:g} watts on one backend server; beside one copy of each larger model"
        f" the largest room left is {free_bytes} bytes"
    )
    return RequestError(422, "floor_exceeded", text, field="objects")


def _make_unknown_error() -> RequestError:
    text = "no backend server is known yet, so the floor cannot be checked"
    return RequestError(503, "floor_unknown", text, retryable=True, retry_after_s=RETRY_AFTER_S)
