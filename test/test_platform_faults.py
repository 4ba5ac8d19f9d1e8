"""Tests of faults of the platform and of concurrent tickets, with separate processes."""

import itertools
import time

import pytest
import urllib3

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
    start_together,
)
from test.helper_standins import call, read_counters, set_fault
from tools.processes import wait_until

INSTANCES = {"a": "dc-1", "b": "dc-1", "c": "dc-2"}
IN_FORCE_S = 8.0
OUTAGE_S = 4.0
# A refusal while the table is down may take as long as the wait for its answer, but no longer.
REFUSAL_BOUND_S = 1.5
# Reads and writes per second of one instance, from docs/dev/agreement.md, at the tests' intervals
# with the least jitter (0.8): a renewal reads twice and writes once, a catalogue refresh scans.
RENEWAL_S = 0.7 * 0.8
REFRESH_S = 0.5 * 0.8
READS_PER_S = 2 / RENEWAL_S + 1 / REFRESH_S
WRITES_PER_S = 1 / RENEWAL_S
RECOVERY_S = 3.0
# Ownership that expired during the outage is read and acquired again, once for each engine.
TAKES = 2
BATCHED = 2
# During the outage three loops call the table (sessions, catalogue, settlements), each at the
# longest back-off of the tests' settings with the least jitter, after some shorter ones.
LOOPS = 3
BACKOFF_S = 1 * 0.8
FIRST_TRIES = 3
TRIES_EACH = 3


@pytest.fixture(scope="module")
def running():
    with run_fleet() as fleet:
        start_together(
            lambda: fleet.add_engine("engine-1", "dc-1"),
            lambda: fleet.add_engine("engine-2", "dc-2"),
            lambda: fleet.add_service("records-1", "dc-1"),
        )
        add_instances(fleet, INSTANCES)
        apply_ticket(fleet, "a", make_ticket(1, models=2))
        yield fleet


@pytest.fixture
def fleet(running):
    """Return the fleet with faults cleared and all instances running."""
    call(running.table, "DELETE", "/fault")
    add_instances(running, INSTANCES)
    assert wait_until(lambda: is_reachable(running, {"m1", "m2"}), 15.0)
    return running


def list_in_force(fleet):
    """Return the head and digest of each instance's catalogue."""
    pages = [fleet.ask_operator(name, "GET", "/status")[1] for name in INSTANCES]
    return [(page["ticket"], page["catalogue_digest"]) for page in pages]


def find_versions(fleet, instance, model="m1"):
    rows = fleet.ask_operator(instance, "GET", "/models")[1]
    return [row["version"] for row in rows if row["name"] == model]


def is_in_force(fleet, version):
    """Return whether a version is in force on all instances within IN_FORCE_S."""
    return wait_until(
        lambda: all(find_versions(fleet, name) == [version] for name in INSTANCES), IN_FORCE_S
    )


def race(fleet, first, second):
    """Send two tickets concurrently through instances of different data centres."""
    return start_together(
        lambda: fleet.ask_operator("a", "POST", "/tickets", first),
        lambda: fleet.ask_operator("c", "POST", "/tickets", second),
    )


def send_streams(fleet, until):
    """Send streams through all instances in turn until `until` is set; return count and failed."""
    failed = []
    for number in itertools.count():
        if until:
            return number, failed
        name = sorted(INSTANCES)[number % len(INSTANCES)]
        prompt = f"during {number}"
        answer = chat(fleet.instances[name], prompt, tokens=20)
        if not is_own_answer(answer, prompt, 20):
            failed.append((name, answer))


def refuse_filings(fleet, until):
    """Send filings until a time; return for each its key, answer and duration in seconds."""
    answers = []
    for number in itertools.count():
        if time.monotonic() > until:
            return answers
        name = sorted(INSTANCES)[number % len(INSTANCES)]
        key = f"outage-{until}-{number}"
        started = time.monotonic()
        answers.append((key, file_once(fleet.instances[name], key), time.monotonic() - started))
        time.sleep(0.1)
    return answers


@pytest.mark.parametrize("cut", [False, True])
def test_the_table_down_under_load(fleet, cut):
    before = list_in_force(fleet)
    until = []
    streams = [Task.start(send_streams, fleet, until) for _ in range(3)]
    calls_before = read_counters(fleet.table).get("calls_while_down", 0)
    set_fault(fleet.table, "down", cut=cut)
    filed = refuse_filings(fleet, time.monotonic() + OUTAGE_S)
    status, plain = fleet.ask_operator("b", "POST", "/tickets", make_ticket(90, models=2))
    assert status == 503, plain
    assert plain["error"]["code"] == "table_unavailable"
    counted = read_counters(fleet.table)
    calls = counted["calls_while_down"] - calls_before
    call(fleet.table, "DELETE", "/fault")
    time.sleep(RECOVERY_S)
    after = read_counters(fleet.table)
    until.append(True)
    for count, failed in (each.wait() for each in streams):
        assert count > 5 and not failed, failed[:3]
    for key, answer, took_s in filed:
        assert (answer.status, answer.outcome) == (503, "not_run"), (key, answer)
        assert int(answer.headers["retry-after"]) >= 1
        assert took_s < REFUSAL_BOUND_S
    tries_max = LOOPS * (OUTAGE_S / BACKOFF_S + FIRST_TRIES) * len(INSTANCES) + len(filed)
    assert calls <= TRIES_EACH * tries_max, calls
    reads = after["reads"] - counted["reads"]
    writes = after["writes"] - counted["writes"]
    tries = len(INSTANCES) * RECOVERY_S
    assert reads <= BATCHED * (READS_PER_S * tries + TAKES * len(INSTANCES)), (reads, writes)
    # Settlements of claims with unknown outcome write once each, in batched transactions or not.
    unsure = len(filed) if cut else 0
    assert writes <= BATCHED * (WRITES_PER_S * tries + TAKES) + unsure, (reads, writes)
    assert list_in_force(fleet) == before
    again = [file_once(fleet.instances["a"], key) for key, _, _ in filed]
    assert {answer.status for answer in again} == {200}
    runs = read_runs(fleet)
    assert all(runs[key] == 1 for key, _, _ in filed)


def test_operators_race_and_one_wins(fleet):
    for turn in range(6):
        number = 100 + turn
        tickets = [make_ticket(number, models=2, version=f"{number}-{side}") for side in "ac"]
        answers = race(fleet, *tickets)
        assert sorted(status for status, _ in answers) == [200, 409], answers
        lost = next(plain for status, plain in answers if status == 409)
        assert str(number) in lost["error"]["message"]
        assert "m1" in lost["error"]["message"]
        won = tickets[[status for status, _ in answers].index(200)]
        version = won["objects"][0]["version"]
        assert is_in_force(fleet, version)


def test_higher_and_lower_number_race(fleet):
    for turn in range(4):
        low, high = 200 + 2 * turn, 201 + 2 * turn
        tickets = {n: make_ticket(n, models=2, version=str(n)) for n in (low, high)}
        low_answer, high_answer = race(fleet, tickets[low], tickets[high])
        assert high_answer[0] == 200, high_answer
        assert low_answer[0] in (200, 409), low_answer
        if low_answer[0] == 409:
            assert f"ticket {high} " in low_answer[1]["error"]["message"]
        assert is_in_force(fleet, str(high))


def test_a_stale_snapshot_brings_nothing_back(fleet):
    path = "/objects/catalogue/snapshot"
    stale = call(fleet.objects, "GET", path).data
    ticket = make_ticket(300, models=2, version="300")
    apply_ticket(fleet, "b", ticket)
    assert is_in_force(fleet, "300")
    assert wait_until(lambda: call(fleet.objects, "GET", path).data != stale, IN_FORCE_S)
    with_table(fleet, stale, path)
    assert find_versions(fleet, "c") == ["300"]
    without_table(fleet, stale, path)
    assert wait_until(lambda: find_versions(fleet, "c") == ["300"], IN_FORCE_S)


def with_table(fleet, stale, path):
    """Restart an instance while the object store has the old snapshot."""
    fleet.instances["c"].process.kill()
    call_raw(fleet.objects, path, stale)
    add_instances(fleet, INSTANCES)


def without_table(fleet, stale, path):
    """Restart an instance while the store has the old snapshot and the table is down."""
    fleet.instances["c"].process.kill()
    call_raw(fleet.objects, path, stale)
    set_fault(fleet.table, "down")
    add_instances(fleet, INSTANCES)
    assert find_versions(fleet, "c") == ["300"], "the instance became ready with an older catalogue"


def call_raw(process, path, data):
    """Write bytes to the object store."""
    response = urllib3.request("PUT", process.url + path, body=data, timeout=5.0, retries=False)
    assert response.status == 200
