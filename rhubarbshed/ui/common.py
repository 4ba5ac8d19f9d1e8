"""Client of the instances' operator ports, and output of its answers."""

import json
import os
from collections.abc import Sequence
from typing import Any

import typer
import urllib3
from attrs import frozen
from urllib3.exceptions import HTTPError

from rhubarbshed.protocol.errors import UserError

TOKEN_VARIABLE = "RHUBARBSHED_OPERATOR_TOKEN"
URL_VARIABLE = "RHUBARBSHED_URL"
URL_DEFAULT = "http://127.0.0.1:8081"
TIMEOUT_S = 15.0


@frozen
class OperatorClient:
    """Client of operator ports; addresses are tried in order."""

    urls: tuple[str, ...]
    token: str = ""

    @classmethod
    def from_environment(cls) -> "OperatorClient":
        """Read addresses, separated by commas, and the token from the environment."""
        urls = os.environ.get(URL_VARIABLE, URL_DEFAULT).split(",")
        return cls(tuple(urls), os.environ.get(TOKEN_VARIABLE, ""))

    def send(self, method: str, path: str, body: bytes | None = None) -> Any:
        """Send a request to the first reachable instance; its errors become user errors."""
        failures = []
        for url in self.urls:
            try:
                return self.send_to(url, method, path, body)
            except HTTPError as error:
                failures.append(f"{url}: {type(error).__name__}")
        raise UserError("no instance can be reached: " + "; ".join(failures))

    def send_to(self, url: str, method: str, path: str, body: bytes | None = None) -> Any:
        """Send a request to one instance and return its JSON.

        Raise UserError for an error answer, HTTPError if the instance is unreachable.
        """
        response = urllib3.request(
            method,
            url.rstrip("/") + path,
            body=body,
            headers={"Authorization": f"Bearer {self.token}"},
            timeout=TIMEOUT_S,
            retries=False,
        )
        try:
            plain = json.loads(response.data)
        except ValueError:
            raise UserError(f"{url} did not answer with JSON, status {response.status}") from None
        if response.status >= 400:
            raise UserError(describe_error(plain, response.status))
        return plain


def describe_error(plain: Any, status: int) -> str:
    """Return the text of an error answer."""
    error = plain.get("error", {}) if isinstance(plain, dict) else {}
    text = error.get("message", "no message")
    if "retry_after_s" in error:
        text += f"; retry after {error['retry_after_s']:g} s"
    return f"{error.get('code', status)}: {text}"


def show(rows: Sequence[dict[str, Any]], columns: Sequence[str], as_json: bool) -> None:
    """Print rows as a table for people, or as JSON for programs."""
    if as_json:
        typer.echo(json.dumps(list(rows), indent=2))
        return
    texts = [[_format_cell(row.get(column)) for column in columns] for row in rows]
    widths = [max(map(len, cells)) for cells in zip(columns, *texts, strict=True)]
    for cells in [list(columns), *texts]:
        line = "  ".join(cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
        typer.echo(line.rstrip())


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    return f"{value:g}" if isinstance(value, float) else str(value)
