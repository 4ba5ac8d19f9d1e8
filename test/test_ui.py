"""Tests of the command line against an instance: tables, JSON, exit codes and one-line errors."""

import json
import subprocess
import sys

import pytest

from rhubarbshed.ui import observe
from test.helper_processes import make_ticket, run_fleet
from tools.fleet import ENVIRONMENT
from tools.processes import wait_until

PAGES = {
    "status": observe.STATUS_COLUMNS,
    "models": observe.MODEL_COLUMNS,
    "backend-servers": observe.SERVER_COLUMNS,
    "instances": observe.INSTANCE_COLUMNS,
}


@pytest.fixture(scope="module")
def url():
    with run_fleet() as fleet:
        fleet.add_engine("engine-1", "dc-1")
        yield fleet.add_instance("a", "dc-1").operator_url


def run(url, *words, token=ENVIRONMENT["RHUBARBSHED_OPERATOR_TOKEN"]):
    environment = {"RHUBARBSHED_URL": url, "RHUBARBSHED_OPERATOR_TOKEN": token, "PATH": ""}
    command = [sys.executable, "-m", "rhubarbshed.ui.main", *words]
    return subprocess.run(
        command, env=environment, capture_output=True, text=True, timeout=30, check=False
    )


def apply(url, tmp_path, ticket):
    path = tmp_path / "ticket.json"
    path.write_text(json.dumps(ticket))
    return run(url, "ticket", "apply", str(path))


def test_ticket_is_applied_shown_and_refused_by_name(url, tmp_path):
    assert apply(url, tmp_path, make_ticket(1)).returncode == 0
    shown = run(url, "ticket", "show", "1", "--json")
    assert shown.returncode == 0 and json.loads(shown.stdout)
    again = apply(url, tmp_path, make_ticket(1, 2, version="9"))
    assert again.returncode != 0
    assert len(again.stderr.strip().splitlines()) == 1 and "Traceback" not in again.stderr


@pytest.mark.parametrize("page", PAGES)
def test_each_column_of_a_table_is_filled(url, tmp_path, page):
    """Guards against table columns that no page provides, which would always be empty."""
    apply(url, tmp_path, make_ticket(1))

    def read_rows():
        return json.loads(run(url, page, "--json").stdout)

    assert wait_until(lambda: all(set(PAGES[page]) <= set(row) for row in read_rows()), 10.0)
    table = run(url, page)
    assert table.returncode == 0
    assert table.stdout.splitlines()[0].split() == list(PAGES[page])


@pytest.mark.parametrize(
    ("words", "token"), [(("status",), "wrong"), (("ticket", "show", "99"), None)]
)
def test_errors_are_one_line_and_an_exit_code(url, words, token):
    told = run(url, *words, **({"token": token} if token else {}))
    assert told.returncode not in (0, 2)
    assert len(told.stderr.strip().splitlines()) == 1 and "Traceback" not in told.stderr


def test_instance_that_cannot_be_reached_is_named():
    told = run("http://127.0.0.1:9", "models")
    assert told.returncode != 0
    assert "http://127.0.0.1:9" in told.stderr and "Traceback" not in told.stderr
