"""Test that an engine stops work for a caller that disconnects, and that a filing completes."""

import http.client
import json
import time

import pytest

from test.helper_processes import (
    FILINGS_PATH,
    add_instances,
    apply_ticket,
    make_ticket,
    read_runs,
    run_fleet,
)
from tools.fleet import Fleet, Instance, ask
from tools.processes import wait_until

FREED_S = 0.5
"""Maximum time from a disconnect to a free slot; an answer takes over 8 s."""


@pytest.fixture(scope="module")
def fleet():
    with run_fleet() as made:
        made.add_engine("engine-1", "dc-1", "--token-gap-ms", "28", "--report-lag-s", "0")
        made.add_service("records-1", "dc-1", "--service-ms", "600")
        add_instances(made, {"a": "dc-1"})
        apply_ticket(made, "a", make_ticket(1))
        yield made


def start_call(
    instance: Instance, path: str, plain: dict, **headers: str
) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection("127.0.0.1", instance.process.port, timeout=20)
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    connection.request("POST", path, json.dumps(plain).encode(), named)
    return connection


def count_running(fleet: Fleet, server: str = "engine-1") -> int:
    return ask("GET", fleet.backend_servers[server].url + "/control/report")[1]["running"]


@pytest.mark.parametrize("stream", [False, True])
def test_a_slot_is_free_soon_after_its_caller_went_away(fleet, stream):
    plain = {"model": "m1", "prompt": "a long homily", "max_tokens": 300, "stream": stream}
    connection = start_call(fleet.instances["a"], "/v1/completions", plain)
    assert wait_until(lambda: count_running(fleet) == 1, 5.0)
    connection.close()
    started = time.monotonic()
    assert wait_until(lambda: count_running(fleet) == 0, 5.0)
    assert time.monotonic() - started < FREED_S
    assert wait_until(lambda: count_open(fleet) == 0, 5.0)


def count_open(fleet: Fleet) -> int:
    return fleet.ask_operator("a", "GET", "/status")[1]["open_requests"]


def test_a_filing_runs_to_its_end_and_its_outcome_is_kept_for_its_caller(fleet):
    headers = {"Idempotency_Key": "k-1", "X_Caller": "brewery", "Content_Type": "application/json"}
    connection = start_call(fleet.instances["a"], FILINGS_PATH, {"litres": 12}, **headers)
    assert wait_until(lambda: count_running(fleet, "records-1") == 1, 5.0)
    connection.close()
    assert wait_until(lambda: count_open(fleet) == 0, 5.0)
    again = start_call(fleet.instances["a"], FILINGS_PATH, {"litres": 12}, **headers)
    assert again.getresponse().status == 200
    again.close()
    assert read_runs(fleet)["k-1"] == 1
