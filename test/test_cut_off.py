"""Tests that an instance answers the requests that are open as it stops, as a process."""

import http.client
import json
import signal
import socket
import time
from collections import Counter

import pytest

from test.helper_processes import (
    CHAT_PATH,
    FILINGS_PATH,
    Task,
    apply_ticket,
    chat,
    is_own_answer,
    make_ticket,
    read_runs,
    run_fleet,
    send,
    wait_for_open,
)
from tools.processes import wait_until

ANNOUNCE_S = 0.5
CALLERS = 10
EXIT_CUT_OFF = 3
STOP_BOUND_S = 12.0
TOKENS = 1000
# Beyond the end of the drain, and not ended by a timeout before.
SERVICE_MS = "8000"
TIMES = {"drain_s = 15": "drain_s = 0.5", "first_byte_timeout_s = 2": "first_byte_timeout_s = 30"}


@pytest.fixture(scope="module")
def fleet():
    with run_fleet() as running:
        for before, after in TIMES.items():
            assert before in running.settings
            running.settings = running.settings.replace(before, after)
        running.add_engine("engine-1", "dc-1")
        running.add_service("records-1", "dc-1", "--service-ms", SERVICE_MS)
        running.add_instance("other", "dc-1")
        apply_ticket(running, "other", make_ticket(1))
        yield running


@pytest.fixture(params=["drain", "signal"])
def stopping(request, fleet):
    """Return an instance that serves, and a function that stops it and returns its exit code."""
    name = f"{request.param}-{time.monotonic_ns()}"
    instance = fleet.add_instance(name, "dc-1")
    assert wait_until(lambda: is_own_answer(chat(instance, "a", tokens=1), "a", 1), 10.0)

    def stop():
        instance.process.popen.send_signal(signal.SIGTERM)
        if request.param == "signal":
            time.sleep(0.2)
            instance.process.popen.send_signal(signal.SIGINT)
        return instance.process.popen.wait(STOP_BOUND_S)

    return instance, stop


def file_when_known(instance, key):
    """Send a filing until the instance knows how busy the service is; return its answer."""
    while (answer := send(instance, "POST", FILINGS_PATH, b"{}", key)).code == "overloaded":
        time.sleep(0.1)
    return answer


def test_open_requests_are_answered_as_the_instance_stops(fleet, stopping):
    instance, stop = stopping
    key = f"key-{instance.name}"
    headers = {"Idempotency-Key": key, "X-Caller": "brewery"}
    keyed = Task.start(file_when_known, instance, headers)
    unkeyed = Task.start(file_when_known, instance, {})
    whole = Task.start(chat, instance, "whole", tokens=TOKENS, stream=False)
    stream = Task.start(chat, instance, "stream", tokens=TOKENS)
    wait_for_open(fleet, instance.name, 4)
    assert wait_until(lambda: read_runs(fleet).get(key) == 1, 5.0)
    time.sleep(0.3)
    assert stop() == EXIT_CUT_OFF
    for filing in (keyed.wait(), unkeyed.wait()):
        assert (filing.status, filing.code, filing.outcome) == (502, "cut_off", "unknown"), filing
    answer = whole.wait()
    assert (answer.status, answer.code, answer.outcome) == (502, "cut_off", "failed"), answer
    events = stream.wait().body.split(b"\n\n")
    assert events[0].startswith(b"data: ") and not stream.wait().whole
    error = json.loads(events[-2].removeprefix(b"event: error\ndata: "))["error"]
    assert (error["code"], error["outcome"]) == ("cut_off", "failed")
    log = instance.process.read_log()
    assert "cut_off=4" in log and "Traceback" not in log
    again = send(fleet.instances["other"], "POST", FILINGS_PATH, b"{}", headers)
    assert again.code == "outcome_unknown" and read_runs(fleet)[key] == 1


def test_request_in_part_is_refused_as_the_instance_stops(fleet, stopping):
    instance, stop = stopping
    head = f"POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\n{{"
    with socket.create_connection(("127.0.0.1", instance.process.port), STOP_BOUND_S) as caller:
        caller.sendall(head.encode())
        time.sleep(0.3)
        assert stop() == EXIT_CUT_OFF
        answer = caller.recv(65536)
    assert answer.startswith(b"HTTP/1.1 503") and b'"draining"' in answer, answer
    assert b'"not_run"' in answer


def test_times_of_a_drain_count_from_the_signal_of_a_late_loop(fleet, monkeypatch):
    monkeypatch.setattr(fleet, "module", "test.late_daemon")
    instance = fleet.add_instance("late", "dc-1")
    assert wait_until(lambda: is_own_answer(chat(instance, "a", tokens=1), "a", 1), 10.0)
    instance.process.popen.send_signal(signal.SIGUSR1)
    time.sleep(0.1)
    instance.process.popen.send_signal(signal.SIGTERM)
    time.sleep(ANNOUNCE_S + 0.3)
    answer = chat(instance, "late", tokens=1)
    assert (answer.status, answer.code, answer.outcome) == (503, "draining", "not_run"), answer
    assert instance.process.popen.wait(STOP_BOUND_S) == 0


def test_request_that_waits_for_its_claim_is_refused_as_the_instance_stops(fleet, stopping):
    instance, stop = stopping
    headers = {"Idempotency-Key": f"claim-{instance.name}", "X-Caller": "brewery"}
    fleet.table.popen.send_signal(signal.SIGSTOP)
    try:
        filing = Task.start(file_when_known, instance, headers)
        time.sleep(0.2)
        stop()
        answer = filing.wait()
    finally:
        fleet.table.popen.send_signal(signal.SIGCONT)
    assert (answer.status, answer.outcome) == (503, "not_run"), answer
    assert headers["Idempotency-Key"] not in read_runs(fleet)


@pytest.mark.parametrize("kept", [False, True])
def test_requests_sent_as_the_instance_ends_are_answered(fleet, kept):
    instance = fleet.add_instance(f"ends-{kept}", "dc-1")

    def ask_repeatedly():
        """Send requests on new connections, or on one while it is kept; return what they got."""
        got = []
        while True:
            caller = http.client.HTTPConnection("127.0.0.1", instance.process.port, timeout=5.0)
            try:
                caller.connect()
            except OSError:
                return got
            is_open = True
            while is_open:
                try:
                    caller.request("POST", FILINGS_PATH, b"{}")
                    answer = caller.getresponse()
                except (OSError, http.client.HTTPException) as error:
                    return [*got, repr(error)]
                answer.read()
                got.append(answer.status)
                is_open = kept and not answer.will_close
                time.sleep(0.01)
            caller.close()

    callers = [Task.start(ask_repeatedly) for _ in range(CALLERS)]
    time.sleep(0.2)
    assert instance.process.stop() in (0, EXIT_CUT_OFF)
    ends = Counter(caller.wait()[-1] for caller in callers)
    assert ends == {503: CALLERS}, ends
