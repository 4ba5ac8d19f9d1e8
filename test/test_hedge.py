"""Test that a stream without a first token gets one second attempt, and that the loser ends."""

import http.client
import json
import time

import pytest

from test.helper_processes import (
    CHAT_PATH,
    Task,
    add_instances,
    apply_ticket,
    chat,
    file_once,
    is_own_answer,
    make_ticket,
    run_fleet,
)
from test.helper_standins import call, read_counters, set_fault
from tools.fleet import Fleet
from tools.processes import wait_until

HEDGE_AFTER_S = 0.6
SETTINGS = f"[retries]\nhedge_after_s = {HEDGE_AFTER_S}\n"
ENGINES = ("engine-1", "engine-2")
TOKENS = 8
# Bound for a hedged answer; an attempt without a first byte times out after 2 s.
HEDGED_S = 1.8
# Reports lag long enough that the instance does not see the slot that the test itself occupies.
REPORT_LAG_S = 4.0
ENGINE_OPTIONS = ("--slots", "1", "--report-lag-s", str(REPORT_LAG_S), "--token-gap-ms", "28")
# Maximum time from the end of a race to a free slot; the loser would time out later.
FREED_S = 0.5
OCCUPANT = {"model": "m1", "prompt": "occupant", "max_tokens": 2000, "stream": True}
TRIES = 20
# Time until a new copy is reported and, 2 s later, in use.
COPIES_USED_S = REPORT_LAG_S + 2.0 + 0.5


@pytest.fixture(scope="module")
def running():
    with run_fleet(SETTINGS) as fleet:
        for name in ENGINES:
            fleet.add_engine(name, "dc-1", *ENGINE_OPTIONS)
        for name in ("records-1", "records-2"):
            fleet.add_service(name, "dc-1", "--service-ms", "1500")
        add_instances(fleet, {"a": "dc-1"})
        ticket = make_ticket(1)
        ticket["objects"][0]["replicas_min"] = len(ENGINES)
        ticket["objects"][-1]["backend_servers"] = ["records-1", "records-2"]
        apply_ticket(fleet, "a", ticket)
        assert wait_until(lambda: count_copies(fleet) == len(ENGINES), 20.0)
        time.sleep(COPIES_USED_S)
        yield fleet


@pytest.fixture
def fleet(running):
    """Return the fleet once the instance knows that its engines are idle."""
    assert wait_until(lambda: count_work(running) == 0, 10.0), "the engines are not idle"
    return running


def count_copies(fleet: Fleet) -> int:
    return fleet.ask_operator("a", "GET", "/models")[1][0]["copies"]


def read_report(fleet: Fleet, engine: str) -> dict:
    return call(fleet.backend_servers[engine], "GET", "/control/report").json()


def is_left_alone(fleet: Fleet, engine: str, ended_at: float) -> bool:
    """Return whether only the occupant was on this engine soon after the end of a race."""
    time.sleep(max(0.0, ended_at + FREED_S + REPORT_LAG_S - time.monotonic()))
    report = read_report(fleet, engine)
    return (report["running"], report["waiting"]) == (1, 0)


def count_work(fleet: Fleet) -> int:
    reports = [read_report(fleet, engine) for engine in ENGINES]
    return sum(report["running"] + report["waiting"] for report in reports)


def count_runs(fleet: Fleet, engine: str) -> int:
    return sum(read_counters(fleet.backend_servers[engine]).get("runs", {}).values())


def count_new_runs(fleet: Fleet, before: list[int]) -> list[int]:
    """Return how many runs each engine has started since these counts."""
    return [count_runs(fleet, name) - runs for name, runs in zip(ENGINES, before, strict=True)]


def count_cancelled(fleet: Fleet, engine: str) -> int:
    return read_counters(fleet.backend_servers[engine]).get("cancelled", 0)


class Occupied:
    """Context in which a stream of the test occupies an engine's only slot."""

    def __init__(self, fleet: Fleet, engine: str) -> None:
        self.fleet, self.engine = fleet, engine
        port = fleet.backend_servers[engine].port
        self.connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20)

    def __enter__(self) -> None:
        headers = {"X-Request-Id": "occupant"}
        body = json.dumps(OCCUPANT).encode()
        self.connection.request("POST", "/v1/completions", body, headers)
        self.connection.getresponse().read(1)

    def __exit__(self, *_: object) -> None:
        self.connection.close()
        free_slot(self.fleet, self.engine)


def free_slot(fleet: Fleet, engine: str) -> None:
    """End the stream that occupies an engine's slot."""
    process = fleet.backend_servers[engine]
    call(process, "POST", "/control/cancel", {"request_id": "occupant"})


def start_on(fleet: Fleet, engine: str) -> tuple[Task, str, float]:
    """Send prompts until one waits at this engine; return its call, prompt and start."""
    for number in range(TRIES):
        before = count_runs(fleet, engine)
        prompt = f"prompt {number} of {before}"
        begun = time.monotonic()
        task = Task.start(chat, fleet.instances["a"], prompt, tokens=TOKENS)
        if wait_until(lambda n=before: count_runs(fleet, engine) > n, HEDGE_AFTER_S / 2):
            return task, prompt, begun
        task.wait()
    raise AssertionError(f"no prompt went to {engine} first")


def test_hedge_answers_for_a_silent_server_whose_work_is_cancelled(fleet):
    with Occupied(fleet, "engine-1"):
        cancelled = count_cancelled(fleet, "engine-1")
        task, prompt, begun = start_on(fleet, "engine-1")
        set_fault(fleet.backend_servers["engine-1"], "silent")
        runs = count_runs(fleet, "engine-2")
        answer = task.wait()
        assert time.monotonic() - begun < HEDGED_S
        assert is_own_answer(answer, prompt, TOKENS)
        assert count_runs(fleet, "engine-2") == runs + 1
        assert wait_until(lambda: count_cancelled(fleet, "engine-1") == cancelled + 1, 2.0)
    assert fleet.ask_operator("a", "GET", "/status")[1]["open_requests"] == 0


def test_first_attempt_that_wins_after_all_ends_the_hedge(fleet):
    with Occupied(fleet, "engine-1"), Occupied(fleet, "engine-2"):
        before = [count_runs(fleet, engine) for engine in ENGINES]
        task = Task.start(chat, fleet.instances["a"], "late", tokens=TOKENS)
        assert wait_until(lambda: count_new_runs(fleet, before) != [0, 0], HEDGE_AFTER_S / 2)
        first = ENGINES[count_new_runs(fleet, before).index(1)]
        assert wait_until(lambda: count_new_runs(fleet, before) == [1, 1], HEDGED_S)
        free_slot(fleet, first)
        ended_at = time.monotonic()
        assert is_own_answer(task.wait(), "late", TOKENS)
        assert is_left_alone(fleet, *set(ENGINES) - {first}, ended_at)


def test_caller_that_goes_away_ends_both_attempts(fleet):
    with Occupied(fleet, "engine-1"), Occupied(fleet, "engine-2"):
        before = [count_runs(fleet, engine) for engine in ENGINES]
        plain = {"model": "m1", "messages": [{"role": "user", "content": "left"}], "stream": True}
        port = fleet.instances["a"].process.port
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
        connection.request("POST", CHAT_PATH, json.dumps(plain).encode())
        assert wait_until(lambda: count_new_runs(fleet, before) == [1, 1], HEDGED_S)
        connection.close()
        ended_at = time.monotonic()
        assert is_left_alone(fleet, "engine-1", ended_at)
        assert is_left_alone(fleet, "engine-2", ended_at)
        assert fleet.ask_operator("a", "GET", "/status")[1]["open_requests"] == 0


def test_filing_is_never_hedged(fleet):
    assert file_once(fleet.instances["a"], "slow-filing").status == 200
    services = [fleet.backend_servers[name] for name in ("records-1", "records-2")]
    runs = [read_counters(each).get("runs_by_key", {}).get("slow-filing", 0) for each in services]
    assert sorted(runs) == [0, 1]
