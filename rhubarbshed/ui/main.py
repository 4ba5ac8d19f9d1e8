"""The command-line tool for operators."""

import sys

import typer

from rhubarbshed.protocol.errors import UserError
from rhubarbshed.ui.explain import register_explanation
from rhubarbshed.ui.logs import logs_app
from rhubarbshed.ui.observe import register_observation
from rhubarbshed.ui.settings import settings_app
from rhubarbshed.ui.ticket import ticket_app

EXIT_ERROR = 1
EXIT_BAD_SETTINGS = 2

app = typer.Typer(
    help="Operate rhubarbshed. RHUBARBSHED_URL holds the addresses of operator ports, separated "
    "by commas; RHUBARBSHED_OPERATOR_TOKEN holds the token.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
app.add_typer(ticket_app, name="ticket", help="Apply and show numbered tickets.")
app.add_typer(settings_app, name="settings", help="Check settings files.")
app.add_typer(logs_app, name="logs", help="Read logs of instances on the platform.")
register_observation(app)
register_explanation(app)


def main() -> None:
    """Run the given command; a user error prints one line and exits with code 1."""
    try:
        app()
    except UserError as error:
        print(f"rhubarbshed: {error}", file=sys.stderr)
        sys.exit(EXIT_ERROR)


if __name__ == "__main__":
    main()
