"""Tests of instances, as processes, while all or part of the platform is unreachable."""

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from test.helper_standins import call, read_counters, set_fault
from tools.fleet import GIB, HOST, Fleet, ask, post
from tools.processes import wait_until

READY_S = 30.0
FILINGS = 40
OWN_PER_S = 1.0
"""Writes per second of an instance besides its backlog: a renewal every 3 s, a takeover or load."""
OWN_BURST = 5
INSTANCES_TARGET = 370
READS_PER_S = 2000
WRITES_PER_S = 300
"""Instances at the target size, and the table's capacity for the requests of all of them."""
OUTAGE_S = 14.0
"""Longer than the term of a lease."""
FORCE_S = 8.0
"""Maximum time until an accepted ticket is in force on all instances."""


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """Yield a fleet whose processes are stopped after the test."""
    made = Fleet.from_options("[shutdown]\nannounce_s = 0.2\ndrain_s = 5\n")
    try:
        yield made
    finally:
        clear_faults(made)
        made.stop()


def clear_faults(fleet: Fleet) -> None:
    for process in (fleet.table, fleet.objects, fleet.platform):
        call(process, "DELETE", "/fault")


def take_down(fleet: Fleet) -> None:
    for process in (fleet.table, fleet.objects, fleet.platform):
        set_fault(process, "down")


def make_ticket(number: int, version: str = "1", names: tuple[str, ...] = ("m",)) -> dict[str, Any]:
    sizes = {"kind": "model", "version": version, "memory_bytes": GIB}
    return {"number": number, "objects": [{**sizes, "name": name} for name in names]}


def send_ticket(fleet: Fleet, instance: str, ticket: dict[str, Any]) -> None:
    status, answer = fleet.ask_operator(instance, "POST", "/tickets", ticket)
    assert status < 300, answer


def answers(fleet: Fleet, instance: str, model: str = "m") -> bool:
    body = {"model": model, "prompt": "a b c", "max_tokens": 4}
    url = fleet.instances[instance].url + "/v1/completions"
    return ask("POST", url, body)[0] == 200


def list_versions(fleet: Fleet, instance: str) -> dict[str, str]:
    rows = fleet.ask_operator(instance, "GET", "/models")[1]
    return {row["name"]: row["version"] for row in rows}


def get_peer_address(fleet: Fleet, instance: str) -> str:
    return f"{HOST}:{fleet.instances[instance].ports[2]}"


def test_instance_started_while_the_platform_is_down_serves(fleet):
    fleet.add_engine("engine-1", "dc-1")
    fleet.add_engine("engine-2", "dc-2")
    fleet.add_instance("a", "dc-1")
    fleet.add_instance("b", "dc-2")
    send_ticket(fleet, "a", make_ticket(3))
    assert wait_until(lambda: answers(fleet, "a") and answers(fleet, "b"), READY_S)
    take_down(fleet)
    seeds = get_peer_address(fleet, "b")
    fleet.add_instance("c", "dc-1", f"[peers]\nseeds = {seeds}\n", listed=False)
    assert list_versions(fleet, "c") == {"m": "1"}
    assert wait_until(lambda: answers(fleet, "c"), FORCE_S)
    assert wait_until(lambda: is_known(fleet, "a", "c"), FORCE_S)


def is_known(fleet: Fleet, instance: str, other: str) -> bool:
    rows = fleet.ask_operator(instance, "GET", "/instances")[1]
    return any(row["name"] == other and row["standing"] == "live" for row in rows)


def cut_off(fleet: Fleet, *instances: str) -> None:
    """Cut instances off from the platform, but not from each other."""
    for process in (fleet.table, fleet.objects, fleet.platform):
        for name in instances:
            set_fault(process, "refuse_source", instance=name)


def list_owners(fleet: Fleet, instance: str) -> set[str]:
    rows = fleet.ask_operator(instance, "GET", "/backend-servers")[1]
    return {row["name"] for row in rows if row.get("owned")}


def count_owned(fleet: Fleet) -> int:
    """Count the engines with an owner, and check that none has two."""
    owners = [list_owners(fleet, name) for name in fleet.instances]
    owned = set().union(*owners)
    assert sum(len(each) for each in owners) == len(owned)
    return len(owned)


def count_loads(fleet: Fleet) -> dict[str, int]:
    """Return the number of loads that each engine has executed."""
    counters = {name: read_counters(one) for name, one in fleet.backend_servers.items()}
    return {name: int(found.get("loads", 0)) for name, found in counters.items()}


def test_ticket_reaches_a_data_centre_cut_off_from_the_platform(fleet):
    """Versions never decrease there, during the partition or after it; nothing is loaded twice."""
    fleet.add_engine("engine-1", "dc-1")
    fleet.add_engine("engine-2", "dc-2")
    for name, data_centre in (("a", "dc-1"), ("b", "dc-1"), ("c", "dc-2")):
        fleet.add_instance(name, data_centre)
    send_ticket(fleet, "a", make_ticket(1))
    assert wait_until(lambda: all(answers(fleet, name) for name in "abc"), READY_S)
    cut_off(fleet, "a", "b")
    time.sleep(2.0)
    send_ticket(fleet, "c", make_ticket(2, names=("n",)))
    began = time.monotonic()
    assert wait_until(lambda: all("n" in list_versions(fleet, one) for one in "ab"), FORCE_S)
    print(f"in force in the cut data centre after {time.monotonic() - began:.2f} s")
    assert wait_until(lambda: answers(fleet, "c", "n"), READY_S)
    assert answers(fleet, "a") and answers(fleet, "b")
    clear_faults(fleet)
    until = time.monotonic() + FORCE_S
    while time.monotonic() < until:
        assert all(set(list_versions(fleet, one)) == {"m", "n"} for one in "abc")
        time.sleep(0.1)
    assert wait_until(lambda: count_loads(fleet) == {"engine-1": 2, "engine-2": 2}, READY_S)
    time.sleep(FORCE_S)
    assert count_loads(fleet) == {"engine-1": 2, "engine-2": 2}
    assert not any(
        read_counters(one).get("overcommitted") for one in fleet.backend_servers.values()
    )


def test_servers_of_an_instance_cut_off_get_another_owner(fleet):
    """Servers for which it is the preferred owner are taken over after its lease has expired."""
    engines = [f"engine-{number}" for number in range(6)]
    for name in engines:
        fleet.add_engine(name, "dc-1")
    for name in ("a", "b"):
        fleet.add_instance(name, "dc-1")
    assert wait_until(
        lambda: list_owners(fleet, "a") | list_owners(fleet, "b") == set(engines)
        and list_owners(fleet, "a"),
        READY_S,
    )
    cut_off(fleet, "a")
    began = time.monotonic()
    assert wait_until(lambda: list_owners(fleet, "b") == set(engines), READY_S)
    print(f"all servers owned again after {time.monotonic() - began:.2f} s")
    assert list_owners(fleet, "a") == set()


def count_claims(fleet: Fleet, state: str) -> int:
    rows = post(f"{fleet.table.url}/scan", {"prefix": "claim/", "revision": 0})["rows"]
    return sum(1 for row in rows if row["value"] and row["value"]["state"] == state)


def send_filing(fleet: Fleet, number: int) -> int:
    """Send a non-idempotent call; return its status."""
    url = fleet.instances["a"].url + "/services/records/filings"
    status, answer = ask("POST", url, {"number": number}, {"Idempotency-Key": f"filing-{number}"})
    assert status == 200, answer
    return status


def test_backlog_of_an_outage_reaches_the_table_at_the_stated_rate(fleet):
    """Forty calls end while the table is down; their ends are then written at 5 per second."""
    fleet.settings = "backlog_writes_per_s = 5\n" + fleet.settings
    fleet.add_engine("engine-1", "dc-1")
    fleet.add_service("records-1", "dc-1", "--service-ms", "4000", "--slots", "50")
    fleet.add_instance("a", "dc-1")
    service = {
        "kind": "service",
        "name": "records",
        "backend_servers": ["records-1"],
        "answer_target_s": 20.0,
    }
    send_ticket(fleet, "a", {"number": 1, "objects": [service]})
    time.sleep(2.0)
    with ThreadPoolExecutor(FILINGS) as callers:
        answered = [callers.submit(send_filing, fleet, number) for number in range(FILINGS)]
        assert wait_until(lambda: count_claims(fleet, "claimed") == FILINGS, 3.0)
        set_fault(fleet.table, "down")
        assert [one.result() for one in answered] == [200] * FILINGS
    before = read_counters(fleet.table)["writes"]
    clear_faults(fleet)
    began = time.monotonic()
    seen = []
    while count_claims(fleet, "done") < FILINGS and time.monotonic() - began < READY_S:
        seen.append((time.monotonic() - began, read_counters(fleet.table)["writes"] - before))
        time.sleep(0.25)
    took_s = time.monotonic() - began
    print(f"{FILINGS} ends written in {took_s:.1f} s; writes by second: {seen[::4]}")
    assert count_claims(fleet, "done") == FILINGS
    assert all(writes <= OWN_BURST + (5 + OWN_PER_S) * (at + 1.0) for at, writes in seen)


def test_table_is_not_stormed_after_an_outage(fleet):
    """Each instance stays within its share of the table's capacity at the target size."""
    names = ("a", "b", "c", "d")
    for number in range(4):
        fleet.add_engine(f"engine-{number}", "dc-1")
    for name in names:
        fleet.add_instance(name, "dc-1")
    send_ticket(fleet, "a", make_ticket(1))
    assert wait_until(lambda: all(answers(fleet, name) for name in names), READY_S)
    set_fault(fleet.table, "down")
    time.sleep(OUTAGE_S)
    assert not any(list_owners(fleet, name) for name in names)
    before = read_counters(fleet.table)
    clear_faults(fleet)
    began = time.monotonic()
    seen = []
    while time.monotonic() - began < FORCE_S:
        after = read_counters(fleet.table)
        counts = [after[kind] - before[kind] for kind in ("reads", "writes")]
        seen.append((time.monotonic() - began, *counts))
        time.sleep(0.1)
    print(f"reads and writes after the outage: {seen[::10]}")
    part = len(names) / INSTANCES_TARGET
    assert all(reads <= part * READS_PER_S * (at + 1.0) for at, reads, _ in seen)
    assert all(writes <= part * WRITES_PER_S * (at + 1.0) for at, _, writes in seen)
    assert wait_until(lambda: count_owned(fleet) == 4, READY_S)
    assert sum(count_loads(fleet).values()) <= 4
