"""Decoding of configuration, server entries and engine reports in the platform's format."""

import ipaddress
import json
from typing import Any

from returns.result import Failure, Result, Success

from rhubarbshed.protocol.routes import (
    CallerLimits,
    Configuration,
    EngineSpec,
    ModelSpec,
    Route,
    RouteKind,
    ServiceSpec,
    index_routes,
)
from rhubarbshed.protocol.servers import Models, ServerEntry, ServerReport, ServerState

PORT_MAX = 65_535
"""Highest TCP port."""

SLOTS_MAX = 1_000_000
"""Most slots of a server, far above real ones; sums and shares of them stay computable."""

DECODE_ERRORS = (AttributeError, KeyError, OverflowError, RecursionError, TypeError, ValueError)
"""Raised while decoding unexpected bytes, fields or types from other writers."""


def read_configuration(plain: dict[str, Any]) -> Result[Configuration, str]:
    """Decode the operator's latest configuration."""
    try:
        limits = plain.get("Limits", {})
        return Success(
            Configuration(
                version=int(plain["Version"]),
                routes=index_routes([_read_route(each) for each in plain["Routes"]]),
                services={each["Name"]: _read_service(each) for each in plain["Services"]},
                limits=CallerLimits(
                    header_bytes=int(limits.get("MaxHeaderBytes", 16_384)),
                    body_bytes=int(limits.get("MaxBodyBytes", 4_194_304)),
                    header_timeout_s=float(limits.get("HeaderTimeoutMs", 5_000)) / 1000.0,
                    idle_timeout_s=float(limits.get("IdleTimeoutMs", 30_000)) / 1000.0,
                ),
            )
        )
    except DECODE_ERRORS as error:
        return Failure(f"unreadable configuration: {error!r}")


def _read_route(plain: dict[str, Any]) -> Route:
    # "TrafficSplit" replaces "Service" if requests go to several services.
    split = plain.get("TrafficSplit") or [{"Service": plain.get("Service"), "Weight": 1}]
    return Route(
        name=str(plain["Name"]),
        host=str(plain["Host"]).lower(),
        prefix=str(plain["Prefix"]),
        kind=RouteKind(plain["Kind"]),
        timeout_s=float(plain["TimeoutMs"]) / 1000.0,
        target_s=float(plain.get("TargetLatencyMs") or plain["TimeoutMs"]) / 1000.0,
        gap_s=float(plain.get("TargetGapMs") or 0) / 1000.0,
        priority=int(plain.get("Priority") or 0),
        shares=tuple((str(each["Service"]), float(each["Weight"])) for each in split),
        attempts_max=max(1, int(plain.get("Attempts") or 1)),
        resumable=bool(plain.get("Resumable", False)),
    )


def _read_service(plain: dict[str, Any]) -> ServiceSpec:
    engine = plain.get("Engine")
    return ServiceSpec(
        name=str(plain["Name"]),
        health_path=str(plain.get("HealthCheck") or "/"),
        connections_max=int(plain.get("MaxConnections") or 0),
        engine=_read_engine(engine) if engine else None,
    )


def _read_engine(plain: dict[str, Any]) -> EngineSpec:
    return EngineSpec(
        slots=int(plain["Slots"]),
        kv_tokens=int(plain["KvCapacity"]),
        weights_mb=float(plain.get("WeightsMb", 0.0)),
        adapter_slots=int(plain.get("AdapterSlots", 0)),
        loads_per_s=float(plain.get("LoadsPerS", 0.0)),
        models={each["Name"]: _read_model(each) for each in plain.get("Models", ())},
    )


def _read_model(plain: dict[str, Any]) -> ModelSpec:
    load_s = float(plain["LoadTimeS"])
    return ModelSpec(
        name=str(plain["Name"]),
        size_mb=float(plain["WeightsMb"]),
        load_s=load_s,
        disk_load_s=float(plain.get("DiskLoadS", load_s)),
        warm_load_s=float(plain.get("WarmS", load_s)),
        # "Adapters" is a number here, but a list of names in entries and reports of servers.
        adapters=int(plain.get("Adapters", 0)),
        adapter_mb=float(plain.get("AdapterMb", 0.0)),
    )


def read_server(key: str, plain: dict[str, Any]) -> Result[ServerEntry, str]:
    """Decode a backend server's entry; rows of other writers fail."""
    try:
        host, _, port = plain["Address"].rpartition(":")
        cached = plain.get("AtHand") or {}
        remaining_ms = plain.get("RemainingMs")
        return Success(
            ServerEntry(
                server_id=_require_header_value(key),
                service=_require(plain["Service"], str),
                host=_require_address(host),
                port=_require_port(port),
                data_centre=_require(plain["Zone"], str),
                state=ServerState(plain["State"]),
                slots=_require_slots(plain["Slots"]),
                # A model's "Version" is that of its weights.
                version=_require(plain["Version"], str),
                models=_read_models(plain.get("Models") or ()),
                changes=_require(plain.get("Seq", 0), int),
                started_ms=_require(plain.get("born", 0), int),
                remaining_s=None if remaining_ms is None else float(remaining_ms) / 1000.0,
                in_memory=frozenset(cached.get("InMemory") or ()),
                on_disk=frozenset(cached.get("OnDisk") or ()),
            )
        )
    except DECODE_ERRORS as error:
        return Failure(f"unreadable entry: {error!r}")


def read_report(data: bytes) -> Result[ServerReport, str]:
    """Decode an engine's report."""
    try:
        plain = json.loads(data)
        cached = plain.get("AtHand") or {}
        return Success(
            ServerReport(
                models=_read_models(plain.get("Models") or ()),
                busy=bool(plain["Busy"]),
                # "Seq" counts accepted orders here; in an entry it counts heartbeats.
                orders=_require(plain["Seq"], int),
                queued=_require(plain.get("Queued", 0), int),
                active=_require(plain.get("Active", 0), int),
                kv_used=int(plain.get("KvUsed", 0)),
                kv_total=int(plain.get("KvTotal", 0)),
                started_ms=_require(plain.get("born", 0), int),
                pending=frozenset(_read_pending(item) for item in plain.get("Pending") or ()),
                in_memory=frozenset(cached.get("InMemory") or ()),
                on_disk=frozenset(cached.get("OnDisk") or ()),
            )
        )
    except DECODE_ERRORS as error:
        return Failure(f"unreadable report: {error!r}")


def _read_models(plain: Any) -> Models:
    return {str(each["Name"]): frozenset(each.get("Adapters") or ()) for each in plain}


def _read_pending(item: str) -> tuple[str, str]:
    name = item.rpartition("@")[0] or item
    model, _, adapter = name.partition("/")
    return model, adapter


def _require(value: Any, kind: type) -> Any:
    if not isinstance(value, kind) or isinstance(value, bool):
        raise TypeError(f"{value!r} is not of type {kind.__name__}")
    return value


def _require_slots(number: Any) -> int:
    if not 0 <= _require(number, int) <= SLOTS_MAX:
        raise ValueError(f"{number!r} is not a number of slots")
    return number


def _require_address(host: str) -> str:
    return str(ipaddress.IPv4Address(host))


def _require_port(port: str) -> int:
    if not 0 < int(port) <= PORT_MAX:
        raise ValueError(f"{port!r} is not a port")
    return int(port)


def _require_header_value(text: str) -> str:
    """Return an id that each request to its server can name in a header."""
    if not text.isascii() or not text.isprintable() or text != text.strip() or not text:
        raise ValueError(f"{text!r} cannot be a header's value")
    return text
