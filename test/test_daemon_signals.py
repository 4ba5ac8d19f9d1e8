"""Signals that a daemon gets at any time of its life, as a process."""

import signal
import socket
import time

import pytest

from test.helper_processes import apply_ticket, chat, is_own_answer, make_ticket, run_fleet
from test.test_edge_start import catches
from tools.fleet import ENVIRONMENT, reserve_ports
from tools.processes import start_instance, wait_until, wait_until_answers

SIGNALS = [signal.SIGTERM, signal.SIGINT, signal.SIGHUP]
START_BOUND_S = 15.0
STOP_BOUND_S = 5.0


@pytest.fixture(scope="module")
def fleet():
    with run_fleet() as running:
        running.add_engine("engine-1", "dc-1")
        running.add_instance("a", "dc-1")
        running.add_service("records-1", "dc-1")
        apply_ticket(running, "a", make_ticket(1))
        yield running


def start(fleet, platform: str = ""):
    """Start an instance without a wait, with lines of its platform's settings added."""
    ports = reserve_ports(3)
    text = fleet._make_settings("starting", "dc-1", ports) + platform + fleet.settings
    url = f"http://127.0.0.1:{ports[0]}"
    return start_instance(text, url, ready_path="", environment=ENVIRONMENT, module=fleet.module)


def test_hangup_ends_no_request(fleet):
    """It ended the process, with all open requests."""
    instance = fleet.instances["a"]
    instance.process.popen.send_signal(signal.SIGHUP)
    assert wait_until(lambda: "event=nothing_reloaded" in instance.process.read_log(), 2.0)
    assert is_own_answer(chat(instance, "hello", tokens=2), "hello", 2)


@pytest.mark.parametrize("number", SIGNALS)
@pytest.mark.parametrize("after_s", [0.0, 0.4])
def test_signal_during_the_start_is_no_other_end(fleet, number, after_s):
    """The process ended by the signal, as its handlers were set behind all imports."""
    process = start(fleet)
    try:
        assert wait_until(lambda: catches(process.pid, SIGNALS[-1]), START_BOUND_S)
        time.sleep(after_s)
        process.popen.send_signal(number)
        if number == signal.SIGHUP:
            wait_until_answers(process, f"{process.url}/ready", START_BOUND_S)
            assert "event=nothing_reloaded" in process.read_log()
            process.ask()
        assert process.popen.wait(START_BOUND_S) == 0, process.read_log()
        assert "Traceback" not in process.read_log()
    finally:
        process.kill()


def test_stop_while_the_store_is_silent_opens_no_port(fleet):
    """Callers could connect to an instance that was to stop before it had read anything.

    Nobody can connect, and wait, while it reads.
    """
    fleet.objects.popen.send_signal(signal.SIGSTOP)
    process = start(fleet, "timeout_s = 10\n")
    try:
        time.sleep(2.0)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", process.port))
        process.ask()
        # The loop comes to the signal before the answer.
        time.sleep(0.5)
        fleet.objects.popen.send_signal(signal.SIGCONT)
        assert process.popen.wait(START_BOUND_S) == 0, process.read_log()
        log = process.read_log()
        assert "event=stopped_before_listening" in log and "event=started" not in log
    finally:
        fleet.objects.popen.send_signal(signal.SIGCONT)
        process.kill()


@pytest.mark.parametrize("number", SIGNALS)
def test_signal_behind_the_event_loop_is_no_other_end(fleet, monkeypatch, number):
    """The exit code was that of the signal, as the closed loop had restored its default action."""
    monkeypatch.setattr(fleet, "module", "test.late_daemon")
    instance = fleet.add_instance(f"ends-{number}", "dc-1", listed=False)
    process = fleet.instances.pop(instance.name).process
    process.ask()
    assert wait_until(lambda: "ending" in process.read_log(), STOP_BOUND_S)
    process.popen.send_signal(number)
    assert process.popen.wait(STOP_BOUND_S) == 0, process.read_log()
