"""Commands that read the logs of many processes: the path of one request, and a timeline."""

import re
import sys
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path

import typer
from attrs import frozen

from rhubarbshed.protocol.errors import UserError
from rhubarbshed.util.logs import parse_pairs

logs_app = typer.Typer(no_args_is_help=True)
FILES_ARGUMENT = typer.Argument(..., help="Log files or folders; - reads standard input.")

LINE = re.compile(r"^(?:.*?\s)?(?P<instance>\S+)?\s*(?P<pairs>at=\S+ .*)$")
CONTEXT_S = 10.0
"""Time before a request's end from which state changes and orders are shown with it."""

STATE_EVENTS = (
    "server_",
    "configuration",
    "dependency_",
    "lease_",
    "order_holder",
    "history_gone",
    "drain_started",
    "started",
    "stopped",
    "reloaded",
)
OUTCOME_TEXTS = {
    "answered": "a backend server answered, and its answer was passed on",
    "caller_gone": "the caller disconnected first",
    "too_late": "the caller's deadline or the route's timeout had passed",
    "model_absent": "no backend server held the model or adapter in time",
    "no_servers": "no backend server of the service accepted work",
    "servers_full": "all backend servers with the model were full",
    "all_refused": "each backend server that was tried answered that it did not run the request",
    "no_repeats": "another attempt was due, but the common retry budget was used up",
    "not_configured": "the instance had not yet read a configuration",
    "no_route": "no route of the active configuration matched host and path",
    "broken": "the connection to the backend server broke, and the request may have run",
    "garbled": "the backend server sent a malformed answer, and the request may have run",
    "silent": "the backend server sent nothing in time, and the request may have run",
}


@frozen(order=True)
class LogLine:
    """One line of a log; `at` is seconds since the epoch, never decreasing within a process."""

    at: float
    instance: str
    number: int
    pairs: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str:
        """Return a field, "" where the line does not have it."""
        return dict(self.pairs).get(name, "")

    def describe(self) -> str:
        """Return the line as human-readable text."""
        left_out = ("at", "level", "logger", "event")
        fields = " ".join(f"{name}={text}" for name, text in self.pairs if name not in left_out)
        clock = datetime.fromtimestamp(self.at).strftime("%H:%M:%S.%f")[:-3]
        return f"{clock} {self.instance:20} {self.get('event'):18} {fields}"


@logs_app.command("explain")
def explain(request_id: str, files: list[str] = FILES_ARGUMENT) -> None:
    """Show the decisions on one request, from the logs of all processes."""
    lines = read_lines(files)
    own = [line for line in lines if line.get("request") == request_id]
    if not own:
        raise UserError(f"no line names request {request_id}")
    for line in own:
        print(line.describe())
    end = own[-1]
    outcome = end.get("outcome")
    print(
        f"\nEnd: {outcome}, status {end.get('status')}: {OUTCOME_TEXTS.get(outcome, 'see above')}"
    )
    around = list(list_around(lines, own))
    if around:
        print(f"\nState changes and orders related to it in the {CONTEXT_S:g} s before:")
        for line in around:
            print(line.describe())


@logs_app.command("timeline")
def show_timeline(files: list[str] = FILES_ARGUMENT) -> None:
    """Show the state changes and orders of all processes, ordered by time."""
    for line in read_lines(files):
        if line.get("event").startswith(STATE_EVENTS) or line.get("event") == "order":
            print(line.describe())


def list_around(lines: list[LogLine], own: list[LogLine]) -> Iterator[LogLine]:
    """Yield lines about the request's servers and model, and about the state of its instance."""
    end = own[-1]
    servers = {name for name in end.get("servers").split(",") if name}
    model, adapter = end.get("model"), end.get("adapter")
    for line in lines:
        if not end.at - CONTEXT_S <= line.at <= end.at or line in own:
            continue
        event = line.get("event")
        if event == "order" and line.get("model") == model and model:
            if not line.get("adapter") or line.get("adapter") == adapter:
                yield line
        elif line.instance == end.instance:
            is_concerned = line.get("server") in servers
            if (event.startswith("server_") or event == "attempt_failed") and is_concerned:
                yield line
            elif event.startswith(STATE_EVENTS) and not event.startswith("server_"):
                yield line


def read_lines(files: list[str]) -> list[LogLine]:
    """Read logs of many processes and sort their lines by time."""
    lines = []
    for path in list_paths(files):
        lines += read_file(path)
    return sorted(lines)


def list_paths(files: list[str]) -> Iterator[Path | None]:
    """Yield the named files, the files in named folders, and None for standard input."""
    for name in files:
        path = Path(name)
        if name == "-":
            yield None
        elif path.is_dir():
            yield from sorted(each for each in path.iterdir() if each.is_file())
        elif path.is_file():
            yield path
        else:
            raise UserError(f"there is no log {name!r}")


def read_file(path: Path | None) -> Iterator[LogLine]:
    """Yield the lines of a log, in order even if the clock jumps back."""
    stream = sys.stdin if path is None else path.open(encoding="utf-8", errors="replace")
    latest: dict[str, float] = {}
    with stream:
        for number, text in enumerate(stream):
            found = LINE.match(text.rstrip("\n"))
            if found is None:
                continue
            pairs = parse_pairs(found["pairs"])
            stem = "standard-input" if path is None else path.stem
            instance = found["instance"] or stem
            at = max(read_time(dict(pairs)["at"]), latest.get(instance, 0.0))
            latest[instance] = at
            yield LogLine(at, instance, number, pairs)


def read_time(text: str) -> float:
    """Return seconds since the epoch, 0 for a malformed time."""
    try:
        return datetime.fromisoformat(text).timestamp()
    except ValueError:
        return 0.0
