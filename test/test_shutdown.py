"""Tests of instances that are stopped or killed under load, as processes."""

import asyncio
import random
import time

import pytest

from test.helper_processes import (
    Task,
    add_instances,
    apply_ticket,
    chat,
    file_once,
    is_own_answer,
    is_reachable,
    make_ticket,
    read_runs,
    run_fleet,
    send,
    start_together,
    wait_for_open,
)
from tools.fleet import HOST, Fleet, ask
from tools.load import LoadSettings, run_load
from tools.processes import wait_until

SEED = 11
LOADS = 6
ANNOUNCE_S = 0.5
STOP_BOUND_S = 12.0
# Time for which the load balancer still sends to an instance that is stopping.
BALANCER_LAG_S = 0.3
READY_TIMEOUT_S = 10.0
INSTANCES = {"a": "dc-1", "b": "dc-1", "c": "dc-1"}


@pytest.fixture(scope="module")
def running():
    with run_fleet() as fleet:
        start_together(
            lambda: fleet.add_engine("engine-1", "dc-1"),
            lambda: fleet.add_engine("engine-2", "dc-1"),
            lambda: fleet.add_service("records-1", "dc-1", "--service-ms", "300"),
        )
        add_instances(fleet, INSTANCES)
        apply_ticket(fleet, "a", make_ticket(1, models=2))
        yield fleet


@pytest.fixture
def fleet(running):
    """Return the fleet with all instances running; those that a test stopped are replaced."""
    add_instances(running, INSTANCES)
    assert wait_until(lambda: is_reachable(running, {"m1", "m2"}), READY_TIMEOUT_S)
    return running


def count_runs(fleet: Fleet, prefix: str) -> dict[str, int]:
    """Return how often the service ran each key that starts with a prefix."""
    return {key: runs for key, runs in read_runs(fleet).items() if key.startswith(prefix)}


def leave(fleet: Fleet, name: str) -> int:
    """Stop an instance by SIGTERM and remove it from the list, as the platform does.

    Return its exit code.
    """
    process = fleet.instances[name].process
    process.ask()
    code = process.popen.wait(STOP_BOUND_S)
    ask("DELETE", f"{fleet.platform.url}/instances/{name}")
    return code


def test_shutdown_ends_open_streams_and_refuses_new_work(fleet):
    a = fleet.instances["a"]
    prompts = [f"sermon {number}" for number in range(12)]
    streams = [Task.start(chat, a, prompt, tokens=150) for prompt in prompts]
    filing = Task.start(file_once, a, "key-open")
    wait_for_open(fleet, "a", len(prompts) + 1)
    started = time.monotonic()
    a.process.ask()
    time.sleep(ANNOUNCE_S + 0.3)
    refused = [chat(a, "too late"), file_once(a, "key-late")]
    for answer in refused:
        assert (answer.status, answer.code, answer.outcome) == (503, "draining", "not_run")
        assert int(answer.headers["retry-after"]) >= 1
    assert send(a, "GET", "/ready").status == 503
    assert a.process.popen.wait(STOP_BOUND_S) == 0
    assert time.monotonic() - started < STOP_BOUND_S
    for prompt, stream in zip(prompts, streams, strict=True):
        assert is_own_answer(stream.wait(), prompt, 150)
    assert filing.wait().status == 200
    assert count_runs(fleet, "key-") == {"key-open": 1}


class Balancer:
    """Choice of instances by a load balancer, without those that are being replaced."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.chance = random.Random(SEED)
        self.out: set[str] = set()

    def choose(self) -> str:
        """Return the name of an instance that is not being replaced."""
        return self.chance.choice([n for n in sorted(self.fleet.instances) if n not in self.out])


def send_filings(fleet: Fleet, balancer: Balancer, until: list[bool]) -> dict[str, list]:
    """Send filings in sequence, each to random instances until one succeeds, five times at most."""
    answers: dict[str, list] = {}
    number = 0
    while not until:
        key = f"filing-{number}"
        number += 1
        answers[key] = []
        for _ in range(5):
            answer = file_once(fleet.instances[balancer.choose()], key)
            answers[key].append(answer)
            if answer.status == 200:
                break
            time.sleep(0.2)
    return answers


def send_load(fleet: Fleet, balancer: Balancer, until: list[bool], seed: int) -> list:
    """Send streams to random instances until the test ends; return their records."""
    records = []
    turn = 0
    while not until:
        turn += 1
        instance = fleet.instances[balancer.choose()]
        settings = LoadSettings(
            url=f"http://{HOST}:{instance.ports[0]}",
            models=("m1", "m2"),
            requests=2,
            streams=2,
            tokens=40,
            prompt_words=8,
            seed=(SEED + seed) * 1000 + turn,
        )
        records += asyncio.run(run_load(settings))
    return records


def replace(fleet: Fleet, balancer: Balancer, name: str) -> None:
    """Stop an instance while it has open requests, and start it again."""
    wait_for_open(fleet, name, 3)
    fleet.instances[name].process.ask()
    time.sleep(BALANCER_LAG_S)
    balancer.out.add(name)
    assert leave(fleet, name) == 0
    assert "cut_off=0" in fleet.instances[name].process.read_log()
    fleet.add_instance(name, "dc-1")
    assert wait_until(lambda: is_reachable(fleet, {"m1", "m2"}), READY_TIMEOUT_S)
    balancer.out.discard(name)


def test_rolling_restart_under_load_cuts_nothing_off(fleet):
    balancer = Balancer(fleet)
    until: list[bool] = []
    loads = [Task.start(send_load, fleet, balancer, until, seed) for seed in range(LOADS)]
    filings = Task.start(send_filings, fleet, balancer, until)
    time.sleep(0.5)
    try:
        for name in ("a", "b", "c"):
            replace(fleet, balancer, name)
    finally:
        until.append(True)
    records = [record for load in loads for record in load.wait()]
    outcomes = {record.outcome for record in records}
    assert len(records) > 50
    assert outcomes == {"whole"}, [r for r in records if r.outcome != "whole"][:5]
    runs = read_runs(fleet)
    answers = filings.wait()
    for key, each in answers.items():
        assert each[-1].status == 200, (key, each)
        assert runs[key] == 1


def test_killed_mid_filing_never_runs_twice(fleet):
    a, b = fleet.instances["a"], fleet.instances["b"]
    keys = [f"killed-{number}" for number in range(6)]
    filings = [Task.start(file_once, a, key) for key in keys]
    assert wait_until(lambda: len(count_runs(fleet, "killed-")) == len(keys), 5.0)
    a.process.kill()
    first = [file_once(b, key) for key in keys]
    for answer in first:
        assert answer.status != 200 and answer.outcome != "not_run", answer
    ask("DELETE", f"{fleet.platform.url}/instances/a")
    assert all(not filing.wait().whole for filing in filings)

    def is_told() -> bool:
        answers = [file_once(fleet.instances["c"], key) for key in keys]
        assert all(each.status != 200 and each.outcome != "not_run" for each in answers), answers
        return all(each.code == "outcome_unknown" for each in answers)

    assert wait_until(is_told, 15.0)
    assert count_runs(fleet, "killed-") == {key: 1 for key in keys}


def test_killed_after_an_answer_keeps_the_answer(fleet):
    """The instance records the end in the table after answering, so the test waits for that."""
    a, b, c = (fleet.instances[name] for name in "abc")
    answer = file_once(a, "kept")
    assert answer.status == 200
    assert wait_until(lambda: file_once(b, "kept").body == answer.body, 3.0)
    a.process.kill()
    again = file_once(c, "kept")
    assert (again.status, again.body) == (200, answer.body)
    assert count_runs(fleet, "kept") == {"kept": 1}
