"""Commands for tickets."""

from pathlib import Path

import typer

from rhubarbshed.protocol.errors import UserError
from rhubarbshed.ui.common import OperatorClient, show

ticket_app = typer.Typer(no_args_is_help=True)
COLUMNS = ("number", "digest", "touched")


@ticket_app.command("apply")
def apply(file: str, as_json: bool = typer.Option(False, "--json", help="Print JSON.")) -> None:
    """Apply the ticket in a JSON file; applying it again gives the same answer."""
    try:
        body = Path(file).read_bytes()
    except OSError as error:
        raise UserError(f"cannot read {file}: {error.strerror}") from None
    _show_receipt(OperatorClient.from_environment().send("POST", "/tickets", body), as_json)


@ticket_app.command("show")
def show_ticket(
    number: int, as_json: bool = typer.Option(False, "--json", help="Print JSON.")
) -> None:
    """Show an accepted ticket."""
    _show_receipt(OperatorClient.from_environment().send("GET", f"/tickets/{number}"), as_json)


def _show_receipt(receipt: dict, as_json: bool) -> None:
    touched = [f"{key['kind']}/{key['name']}" for key in receipt["touched"]]
    show([{**receipt, "touched": touched}], COLUMNS, as_json)
