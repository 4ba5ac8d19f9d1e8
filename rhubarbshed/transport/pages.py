"""Pages of the operators' server: the state known to an instance, as plain data."""

from typing import Any

from rhubarbshed.coordination.membership.membership import explain
from rhubarbshed.protocol.codec import to_plain
from rhubarbshed.state.agreement.catalogue import Catalogue
from rhubarbshed.state.membership.load import LoadView, ServerLoad
from rhubarbshed.state.membership.membership import Evidence, Membership
from rhubarbshed.state.timeline import LIST_LIMIT, Timeline


def list_models(catalogue: Catalogue, load: LoadView) -> list[dict[str, Any]]:
    """List models with the backend servers that hold them according to reports."""
    rows = []
    adapters = catalogue.group_adapters()
    for model in catalogue.list_models():
        holders = [s.info.name for s in load.servers.values() if model.name in s.find_residents()]
        rows.append(
            {
                "name": model.name,
                "version": model.version,
                "ticket": catalogue.find_ticket(model.name),
                "copies": len(holders),
                "backend_servers": sorted(holders),
                "adapters": [adapter.name for adapter in adapters[model.name]],
            }
        )
    return rows


def make_status(runtime: Any, now: float) -> dict[str, Any]:
    """Return the status of the whole instance."""
    return {
        "instance": runtime.settings.instance.name,
        "data_centre": runtime.settings.instance.data_centre,
        "incarnation": runtime.incarnation,
        "ticket": runtime.catalogue.head,
        "catalogue_digest": runtime.catalogue.compute_digest(),
        "draining": runtime.coordinator.drain.started_at is not None,
        "open_requests": runtime.count_open(),
        "owned": len(runtime.leases.list_owned(now)),
        "peers": list(runtime.network.list_connected()),
        "platform": "up" if runtime.platform_up else "down",
    }


def list_server_rows(runtime: Any, now: float) -> list[dict[str, Any]]:
    """List backend servers with standing, load, and whether this instance owns them."""
    membership = runtime.membership
    owned = {ownership.backend_server for ownership in runtime.leases.list_owned(now)}
    cut_off = runtime.load.list_cut_off(now)
    rows = []
    for name, known in sorted(membership.backend_servers.items()):
        row = {
            "name": name,
            "kind": known.info.kind.value,
            "data_centre": known.info.data_centre,
            "standing": explain(membership, name, now).standing.value,
            "memory_bytes": known.info.memory_bytes,
            "owned": name in owned,
            "cut_off": name in cut_off,
        }
        rows.append(row | _describe_load(runtime.load.servers.get(name)))
    return rows


def _describe_load(server: ServerLoad | None) -> dict[str, Any]:
    report = server.report if server else None
    if report is None:
        return {}
    described = {"running": report.running, "waiting": report.waiting}
    if server.engine is None:
        return described
    names = [f"{r.name}:{r.version}" for r in server.engine.resident if r.ready]
    used = server.engine.memory_bytes_used
    return described | {"memory_bytes_used": used, "resident": sorted(names)}


def list_instances(membership: Membership, now: float) -> list[dict[str, Any]]:
    """List instances with standing and the evidence for it."""
    return [
        _describe_instance(membership, name, known, now)
        for name, known in sorted(membership.instances.items())
    ]


def _describe_instance(
    membership: Membership, name: str, known: Evidence, now: float
) -> dict[str, Any]:
    judgement = explain(membership, name, now)
    return {
        "name": name,
        "data_centre": known.info.data_centre,
        "standing": judgement.standing.value,
        "evidence": judgement.evidence,
        "incarnation": known.incarnation,
        "operator_url": f"http://{known.info.host}:{known.info.operator_port}",
    }


def list_events(timeline: Timeline, query: dict[str, str]) -> list[Any]:
    """List events of the timeline that match a query."""
    events = timeline.list_events(
        request=query.get("request", ""),
        model=query.get("model", ""),
        ticket=query.get("ticket", ""),
        backend_server=query.get("backend_server", ""),
        since=_read_number(query.get("since"), 0),
        limit=_read_number(query.get("limit"), LIST_LIMIT),
    )
    return to_plain(events)


def _read_number(text: str | None, default: int) -> int:
    return int(text) if text and text.isdecimal() else default
