"""Tests of the plain service stand-in."""

from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from test.helper_standins import call, read_counters, set_fault
from tools.processes import start_standin, wait_until


@pytest.fixture
def service():
    process = start_standin("service", "--slots", "1", "--service-ms", "300", "--name", "filing")
    yield process
    assert process.stop() == 0


def test_runs_are_counted_by_request_and_by_key(service):
    headers = {"x_request_id": "r1", "idempotency_key": "k1"}
    answer = call(service, "POST", "/returns/7", {}, **headers).json()
    expected = {"service": "filing", "path": "/returns/7", "request_id": "r1", "runs": 1}
    assert answer == expected
    call(service, "POST", "/returns/7", {}, x_request_id="r2", idempotency_key="k1")
    counters = read_counters(service)
    assert counters["runs"] == {"r1": 1, "r2": 1}
    assert counters["runs_by_key"] == {"k1": 2}


def test_report_shows_running_and_waiting(service):
    with ThreadPoolExecutor(2) as pool:
        for number in range(2):
            pool.submit(call, service, "GET", "/x", None, x_request_id=str(number))
        expected = {"running": 1, "waiting": 1, "slots": 1}
        assert wait_until(
            lambda: call(service, "GET", "/control/report").json() == expected, timeout_s=2
        )


def test_call_whose_answer_is_lost_has_run(service):
    set_fault(service, "lose_answers", count=1)
    with pytest.raises(urllib3.exceptions.HTTPError):
        call(service, "POST", "/pay", {}, x_request_id="r1")
    assert read_counters(service)["runs"] == {"r1": 1}
