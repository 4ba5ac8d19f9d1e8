"""Commands for settings files."""

import os

import typer
from returns.result import Failure

from rhubarbshed.util.settings import Settings, read_default_text

EXIT_BAD_SETTINGS = 2

settings_app = typer.Typer(no_args_is_help=True)


@settings_app.command("check")
def check(file: str) -> None:
    """Check a settings file and list all errors in it."""
    result = Settings.from_file(file, os.environ)
    if isinstance(result, Failure):
        for error in result.failure():
            typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    typer.echo(f"{file}: all settings are valid")


@settings_app.command("default")
def print_default() -> None:
    """Print the default settings, which document all settings."""
    typer.echo(read_default_text(), nl=False)
