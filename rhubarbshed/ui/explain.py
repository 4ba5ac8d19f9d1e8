"""Command that shows where a request would be sent now by an instance on the platform."""

import json
import os
import sys
from typing import Any
from urllib.parse import urlencode

import typer
import urllib3
from urllib3.exceptions import HTTPError

from rhubarbshed.protocol.errors import UserError
from rhubarbshed.ui.common import describe_error, show

KEY_VARIABLE = "RHUBARBSHED_KEY"
URL_VARIABLE = "RHUBARBSHED_METRICS_URL"
URL_DEFAULT = "http://127.0.0.1:9464"
TIMEOUT_S = 5.0

COLUMNS = (
    "place",
    "server",
    "data_centre",
    "state",
    "holds",
    "load",
    "usual_load",
    "slots",
    "load_age_s",
    "failures",
    "cost",
    "limit_per_s",
)
NOTES = ("silent_s", "backoff_s", "limited_s", "missing_s", "loading", "loaded_in_s")
"""Fields of a server that are shown only where they are set."""

PROGRESS = ("stage", "tried", "run", "refused", "age_s", "left_s", "queued_s", "waited_s")


def register_explanation(app: typer.Typer) -> None:
    """Add the command of this module to an application."""
    app.command("explain")(explain)


def explain(
    host: str = typer.Option("", help="Host that the request names."),
    path: str = typer.Option("", help="Path of the request."),
    model: str = typer.Option("", help="Model that the request names."),
    adapter: str = typer.Option("", help="Adapter of the model."),
    timeout_ms: int = typer.Option(30_000, help="Time for which its caller waits."),
    request_id: str = typer.Option("", "--id", help="Id of a request in progress, instead."),
    url: str = typer.Option(URL_DEFAULT, envvar=URL_VARIABLE, help="Metrics port of an instance."),
    key_from_input: bool = typer.Option(
        False, "--key-stdin", help=f"Read the key from standard input, not {KEY_VARIABLE}."
    ),
    as_json: bool = typer.Option(False, "--json", help="Print JSON."),
) -> None:
    """Show where an instance would send a request now, and why, without sending it."""
    if not request_id and not (host and path):
        raise typer.BadParameter("--host and --path, or --id, are needed")
    asked: dict[str, object] = {"id": request_id}
    if not request_id:
        asked = {"host": host, "path": path, "model": model, "adapter": adapter}
        asked["timeout_ms"] = timeout_ms
    key = sys.stdin.readline().strip() if key_from_input else os.environ.get(KEY_VARIABLE, "")
    plain = ask(url, asked, key)
    if as_json:
        typer.echo(json.dumps(plain, indent=2))
        return
    for line in describe(plain):
        typer.echo(line)
    if plain.get("candidates"):
        show([round_row(row) for row in plain["candidates"]], COLUMNS, as_json=False)


def ask(url: str, asked: dict[str, object], key: str) -> dict[str, Any]:
    """Return an instance's explanation; the key goes in a header, so that no log has it."""
    address = f"{url.rstrip('/')}/explain?{urlencode(asked)}"
    headers = {"Rhubarbshed-Key": key} if key else {}
    try:
        response = urllib3.request(
            "GET", address, headers=headers, timeout=TIMEOUT_S, retries=False
        )
    except HTTPError as error:
        raise UserError(f"{url}: {type(error).__name__}") from None
    except ValueError:
        raise UserError("the key has characters that no header can have") from None
    try:
        plain = json.loads(response.data)
    except ValueError:
        raise UserError(f"{url} did not answer with JSON, status {response.status}") from None
    if response.status >= 400:
        raise UserError(describe_error(plain, response.status))
    return plain


def round_row(row: dict[str, Any]) -> dict[str, Any]:
    """Return the row of a server, without a place where it would not get the request."""
    notes = " ".join(f"{name}={row[name]}" for name in NOTES if row.get(name) not in (None, ""))
    return {**row, "place": row["place"] or None, "state": f"{row['state']} {notes}".strip()}


def describe(plain: dict[str, Any]) -> list[str]:
    """Return the lines that say what is decided and why."""
    lines = []
    if progress := plain.get("progress"):
        pairs = [f"{name}={progress[name]}" for name in PROGRESS if name in progress]
        lines.append(f"in progress: {progress['id']} " + " ".join(pairs))
    if plain.get("route"):
        shares = ",".join(f"{name}:{weight:g}" for name, weight in plain["services"])
        lines.append(
            f"route {plain['route']} ({plain['kind']}, priority {plain['priority']}), service "
            f"{plain['service']} of {shares}, configuration {plain['configuration']}"
        )
    if "key" in plain:
        lines.append(f"key {plain['key']}, account {plain.get('account', '-')}")
    if "decision" in plain:
        lines.append(describe_decision(plain))
    return lines


def describe_decision(plain: dict[str, Any]) -> str:
    """Return the line that says where the request would go."""
    error = plain.get("error")
    if plain["decision"] == "sent":
        text = "sent to " + ", then if that breaks off to ".join(plain["attempts"])
        silent = "; as it was silent lately, another instance is asked before"
        return text + silent if plain["reason"] == "silent" else text
    if plain["decision"] == "forwarded":
        return "forwarded to another instance, as no server can be reached from this one"
    text = f"{error['status']} {error['code']}: {error['message']}"
    if error.get("retry_after_s") is not None:
        text += f"; retry after {error['retry_after_s']:g} s"
    if plain["decision"] == "waits":
        return f"waits for up to {plain['wait_s']:g} s ({plain['reason']}), else {text}"
    return f"refused: {text}"
