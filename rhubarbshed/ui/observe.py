"""Commands that show the state known to instances, and that drain one."""

from pathlib import Path
from urllib.parse import urlencode

import typer
from returns.result import Success
from urllib3.exceptions import HTTPError

from rhubarbshed.protocol.codec import from_plain
from rhubarbshed.protocol.errors import UserError
from rhubarbshed.protocol.events import Event
from rhubarbshed.state.timeline import format_stamp, merge_timelines, parse_event, select_events
from rhubarbshed.ui.common import OperatorClient, show

JSON_OPTION = typer.Option(False, "--json", help="Print JSON.")
LOG_OPTION = typer.Option([], "--log", help="Also read events of this log file.")

STATUS_COLUMNS = (
    "instance",
    "data_centre",
    "ticket",
    "draining",
    "open_requests",
    "owned",
    "platform",
)
MODEL_COLUMNS = ("name", "version", "ticket", "copies", "backend_servers", "adapters")
SERVER_COLUMNS = (
    "name",
    "data_centre",
    "standing",
    "cut_off",
    "owned",
    "memory_bytes_used",
    "memory_bytes",
    "running",
    "waiting",
    "resident",
)
INSTANCE_COLUMNS = ("name", "data_centre", "standing", "evidence")


def register_observation(app: typer.Typer) -> None:
    """Add the commands of this module to an application."""
    app.command("status")(show_status)
    app.command("models")(show_models)
    app.command("backend-servers")(show_backend_servers)
    app.command("instances")(show_instances)
    app.command("timeline")(show_timeline)
    app.command("drain")(drain)


def show_status(as_json: bool = JSON_OPTION) -> None:
    """Show the state of each instance in RHUBARBSHED_URL."""
    client = OperatorClient.from_environment()
    rows = []
    for url in client.urls:
        try:
            rows.append(client.send_to(url, "GET", "/status"))
        except HTTPError:
            rows.append({"instance": f"{url} (not reached)"})
    show(rows, STATUS_COLUMNS, as_json)


def show_models(as_json: bool = JSON_OPTION) -> None:
    """Show the models of the catalogue and where their copies are."""
    show(OperatorClient.from_environment().send("GET", "/models"), MODEL_COLUMNS, as_json)


def show_backend_servers(as_json: bool = JSON_OPTION) -> None:
    """Show backend servers, their owners, memory and load."""
    show(OperatorClient.from_environment().send("GET", "/backend-servers"), SERVER_COLUMNS, as_json)


def show_instances(as_json: bool = JSON_OPTION) -> None:
    """Show instances, their standing and the evidence for it."""
    show(OperatorClient.from_environment().send("GET", "/instances"), INSTANCE_COLUMNS, as_json)


def show_timeline(
    request: str = "",
    model: str = "",
    ticket: str = "",
    backend_server: str = "",
    since: int = typer.Option(0, help="Wall time in ms since 1970."),
    limit: int = 1000,
    log: list[str] = LOG_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Show events of all instances in RHUBARBSHED_URL and of log files, cause before effect."""
    filters = {
        "request": request,
        "model": model,
        "ticket": ticket,
        "backend_server": backend_server,
    }
    found = _collect_events({**filters, "since": str(since), "limit": str(limit)})
    found += [select_events(_read_log(path), filters, since, limit) for path in log]
    rows = [_make_row(event) for event in merge_timelines(found)[-limit:]]
    show(rows, ("stamp", "event", "fields"), as_json)


def drain() -> None:
    """Ask the first reachable instance to drain and stop."""
    client = OperatorClient.from_environment()
    client.send("POST", "/drain", b"")
    typer.echo(f"{client.urls[0]} is draining")


def _collect_events(query: dict[str, str]) -> list[tuple[Event, ...]]:
    client = OperatorClient.from_environment()
    collected = []
    for url in client.urls:
        try:
            plain = client.send_to(url, "GET", f"/timeline?{urlencode(query)}")
        except HTTPError:
            typer.echo(f"{url}: unreachable", err=True)
            continue
        parsed = from_plain(plain, tuple[Event, ...])
        if isinstance(parsed, Success):
            collected.append(parsed.unwrap())
    return collected


def _read_log(path: str) -> tuple[Event, ...]:
    try:
        lines = Path(path).read_text(encoding="utf-8", errors="replace").splitlines()
    except OSError as error:
        raise UserError(f"cannot read {path}: {error.strerror}") from None
    return tuple(event for line in lines if (event := parse_event(line)) is not None)


def _make_row(event: Event) -> dict[str, str]:
    fields = " ".join(f"{key}={value}" for key, value in event.fields)
    return {"stamp": format_stamp(event.stamp), "event": event.name, "fields": fields}
