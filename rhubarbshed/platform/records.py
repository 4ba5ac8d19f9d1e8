"""Decoding of configuration, server entries and engine reports in the platform's format."""

import ipaddress
import json
from collections.abc import Iterable
from typing import Any

from returns.result import Failure, Result, Success

from rhubarbshed.platform.accounts import read_accounts
from rhubarbshed.platform.values import (
    DECODE_ERRORS,
    NAMES_MAX,
    require_count,
    require_header_value,
    require_list,
    require_name,
    require_names,
    require_number,
    require_object,
    require_path,
    require_port,
    require_seconds,
    require_text,
    require_whole,
)
from rhubarbshed.protocol.message_checks import describe
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
from rhubarbshed.protocol.servers import (
    EntryChange,
    Models,
    ServerEntry,
    ServerReport,
    ServerState,
)
from rhubarbshed.protocol.tables import Row

SLOTS_MAX = 1_000_000
"""Most slots of a server, far above real ones; sums and shares of them stay computable."""

LOAD_MAX_S = 86_400.0
"""Longest load of a model."""


def read_configuration(plain: dict[str, Any]) -> Result[Configuration, str]:
    """Decode the operator's latest configuration."""
    try:
        services = [_read_service(each) for each in require_list(plain["Services"])]
        return Success(
            Configuration(
                version=require_count(plain["Version"]),
                routes=index_routes([_read_route(each) for each in require_list(plain["Routes"])]),
                services={each.name: each for each in services},
                limits=_read_limits(require_object(plain.get("Limits"))),
                accounts=read_accounts(plain.get("Tenants")),
            )
        )
    except DECODE_ERRORS as error:
        return Failure(f"unreadable configuration: {describe(error)}")


def _read_limits(plain: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes=require_whole(plain.get("MaxHeaderBytes", 16_384)),
        body_bytes=require_whole(plain.get("MaxBodyBytes", 4_194_304)),
        header_timeout_s=require_seconds(plain.get("HeaderTimeoutMs", 5_000)),
        idle_timeout_s=require_seconds(plain.get("IdleTimeoutMs", 30_000)),
    )


def _read_route(plain: dict[str, Any]) -> Route:
    # "TrafficSplit" replaces "Service" if requests go to several services.
    split = plain.get("TrafficSplit") or [{"Service": plain.get("Service"), "Weight": 1}]
    return Route(
        name=require_text(plain["Name"]),
        host=require_text(plain["Host"]).lower(),
        prefix=require_text(plain["Prefix"]),
        kind=RouteKind(plain["Kind"]),
        timeout_s=require_seconds(plain["TimeoutMs"]),
        target_s=require_seconds(plain.get("TargetLatencyMs") or plain["TimeoutMs"]),
        gap_s=require_seconds(plain.get("TargetGapMs") or 0),
        priority=require_whole(plain.get("Priority") or 0),
        shares=tuple(
            (require_text(each["Service"]), require_number(each["Weight"])) for each in split
        ),
        attempts_max=max(1, require_whole(plain.get("Attempts") or 1)),
        resumable=bool(plain.get("Resumable", False)),
        # Only a plain true opens a route to callers without a key.
        needs_key=plain.get("NoAuth") is not True,
    )


def _read_service(plain: dict[str, Any]) -> ServiceSpec:
    engine = plain.get("Engine")
    return ServiceSpec(
        name=require_text(plain["Name"]),
        health_path=require_path(plain.get("HealthCheck") or "/"),
        connections_max=require_whole(plain.get("MaxConnections") or 0),
        engine=_read_engine(engine) if engine else None,
    )


def _read_engine(plain: dict[str, Any]) -> EngineSpec:
    models = [_read_model(each) for each in require_list(plain.get("Models"))]
    return EngineSpec(
        slots=require_whole(plain["Slots"], SLOTS_MAX),
        kv_tokens=require_whole(plain["KvCapacity"]),
        weights_mb=require_number(plain.get("WeightsMb", 0.0)),
        adapter_slots=require_whole(plain.get("AdapterSlots", 0), SLOTS_MAX),
        loads_per_s=require_number(plain.get("LoadsPerS", 0.0), SLOTS_MAX),
        models={each.name: each for each in models},
    )


def _read_model(plain: dict[str, Any]) -> ModelSpec:
    load_s = require_number(plain["LoadTimeS"], LOAD_MAX_S)
    return ModelSpec(
        name=require_text(plain["Name"]),
        size_mb=require_number(plain["WeightsMb"]),
        load_s=load_s,
        disk_load_s=require_number(plain.get("DiskLoadS", load_s), LOAD_MAX_S),
        warm_load_s=require_number(plain.get("WarmS", load_s), LOAD_MAX_S),
        # "Adapters" is a number here, but a list of names in entries and reports of servers.
        adapters=require_whole(plain.get("Adapters", 0), NAMES_MAX),
        adapter_mb=require_number(plain.get("AdapterMb", 0.0)),
    )


def read_entries(rows: Iterable[Row]) -> tuple[EntryChange, ...]:
    """Decode rows of the servers' table; none goes on as it was read."""
    return tuple(_read_entry(row) for row in rows)


def _read_entry(row: Row) -> EntryChange:
    if row.value is None:
        return EntryChange(row.key, row.version)
    read = read_server(row.key, row.value)
    if isinstance(read, Failure):
        return EntryChange(row.key, row.version, unreadable=read.failure())
    return EntryChange(row.key, row.version, read.unwrap())


def write_entry(change: EntryChange) -> dict[str, Any] | None:
    """Return a change as the row for other instances: None if removed, empty if unreadable."""
    if change.entry is not None:
        return _write_server(change.entry)
    return {} if change.unreadable else None


def read_server(key: str, plain: dict[str, Any]) -> Result[ServerEntry, str]:
    """Decode a backend server's entry; rows of other writers fail."""
    try:
        host, _, port = require_text(plain["Address"]).rpartition(":")
        cached = require_object(plain.get("AtHand"))
        remaining_ms = plain.get("RemainingMs")
        return Success(
            ServerEntry(
                server_id=require_header_value(key),
                service=require_text(plain["Service"]),
                host=str(ipaddress.IPv4Address(host)),
                port=require_port(port),
                data_centre=require_text(plain["Zone"]),
                state=ServerState(plain["State"]),
                slots=require_count(plain["Slots"], SLOTS_MAX),
                # A model's "Version" is that of its weights.
                version=require_text(plain["Version"]),
                models=_read_models(plain.get("Models")),
                changes=require_count(plain.get("Seq", 0)),
                started_ms=require_count(plain.get("born", 0)),
                remaining_s=None if remaining_ms is None else require_number(remaining_ms) / 1000.0,
                in_memory=require_names(cached.get("InMemory")),
                on_disk=require_names(cached.get("OnDisk")),
            )
        )
    except DECODE_ERRORS as error:
        return Failure(f"unreadable entry: {describe(error)}")


def _write_server(entry: ServerEntry) -> dict[str, Any]:
    plain: dict[str, Any] = {
        "Service": entry.service,
        "Address": f"{entry.host}:{entry.port}",
        "Zone": entry.data_centre,
        "State": entry.state.value,
        "Slots": entry.slots,
        "Version": entry.version,
        "Models": [
            {"Name": name, "Adapters": sorted(adapters)} for name, adapters in entry.models.items()
        ],
        "Seq": entry.changes,
        "born": entry.started_ms,
        "AtHand": {"InMemory": sorted(entry.in_memory), "OnDisk": sorted(entry.on_disk)},
    }
    if entry.remaining_s is not None:
        plain["RemainingMs"] = entry.remaining_s * 1000.0
    return plain


def read_report(data: bytes) -> Result[ServerReport, str]:
    """Decode an engine's report."""
    try:
        plain = json.loads(data)
        cached = require_object(plain.get("AtHand"))
        return Success(
            ServerReport(
                models=_read_models(plain.get("Models")),
                busy=bool(plain["Busy"]),
                # "Seq" counts accepted orders here; in an entry it counts heartbeats.
                orders=require_count(plain["Seq"]),
                queued=require_count(plain.get("Queued", 0)),
                active=require_count(plain.get("Active", 0)),
                kv_used=require_whole(plain.get("KvUsed", 0)),
                kv_total=require_whole(plain.get("KvTotal", 0)),
                started_ms=require_count(plain.get("born", 0)),
                pending=frozenset(
                    _read_pending(item) for item in require_list(plain.get("Pending"))
                ),
                in_memory=require_names(cached.get("InMemory")),
                on_disk=require_names(cached.get("OnDisk")),
            )
        )
    except DECODE_ERRORS as error:
        return Failure(f"unreadable report: {describe(error)}")


def _read_models(plain: Any) -> Models:
    models = {
        require_name(each["Name"]): require_names(each.get("Adapters"))
        for each in require_list(plain)
    }
    if sum(map(len, models.values())) > NAMES_MAX:
        raise ValueError("too many adapters")
    return models


def _read_pending(item: Any) -> tuple[str, str]:
    name = require_name(item).rpartition("@")[0] or item
    model, _, adapter = name.partition("/")
    return model, adapter
