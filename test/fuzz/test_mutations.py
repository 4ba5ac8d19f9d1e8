"""Tests that the fuzzing catches a mutation of the code for each of the eight points."""

from collections.abc import Callable
from typing import Any

import pytest
from attrs import frozen
from returns.result import Success

from rhubarbshed.coordination.agreement import tickets
from rhubarbshed.coordination.placement import loads, placement
from rhubarbshed.coordination.requests import attempt_results, coordinator
from rhubarbshed.coordination.requests.drain import Drain, DrainPhase
from rhubarbshed.protocol.members import Standing
from rhubarbshed.state.membership import load
from rhubarbshed.state.placement.ledger import EntryState, Ledger
from test.fuzz import cluster
from test.fuzz.oracle import ViolationError
from test.fuzz.runner import run_machine


@frozen
class Mutation:
    """Replaced attribute; `sequences` from one of the seeds suffice to catch it.

    Any change of the code changes the draws, so a mutation that is rarely triggered has several
    seeds.
    """

    point: int
    name: str
    owner: Any
    attribute: str
    replacement: Any
    machine: str
    seeds: tuple[int, ...]
    sequences: int


def find_phase_early(drain: Drain, open_requests: int, now: float) -> DrainPhase:
    """End a drain as soon as it is announced, even with requests in progress."""
    if drain.started_at is None:
        return DrainPhase.SERVING
    is_due = now - drain.started_at >= drain.announce_s
    return DrainPhase.DUE if is_due else DrainPhase.ANNOUNCING


def count_without_unloading(ledger: Ledger) -> int:
    """Count the bytes of a copy as free before its unload is confirmed."""
    kept = [entry for entry in ledger.entries if entry.state is not EntryState.UNLOADING]
    return sum(entry.memory_bytes for entry in kept)


def do_nothing(*_: Any) -> None:
    return None


def answer(value: Any) -> Callable[..., Any]:
    return lambda *_: value


MUTATIONS = (
    Mutation(
        1,
        "freed early",
        Ledger,
        "memory_bytes",
        property(count_without_unloading),
        "agreed",
        (15, 27, 25),
        120,
    ),
    Mutation(2, "no plan loads", placement, "ensure_models", do_nothing, "agreed", (4,), 120),
    Mutation(2, "unloads free", loads, "check_unload", answer(Success(None)), "agreed", (4,), 120),
    Mutation(3, "ids unchecked", cluster, "_is_answer_to", answer(True), "requests", (4,), 120),
    Mutation(
        4, "runs forgotten", attempt_results, "may_have_run", answer(False), "requests", (4,), 120
    ),
    Mutation(5, "retries unchecked", coordinator, "may_retry", answer(True), "requests", (4,), 120),
    Mutation(6, "leaving used", load, "STANDINGS_USED", tuple(Standing), "requests", (4,), 120),
    Mutation(7, "hasty exit", Drain, "find_phase", find_phase_early, "requests", (4,), 120),
    Mutation(
        8, "old tickets", tickets, "_check_numbers", answer(Success(None)), "agreed", (4,), 120
    ),
)


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.name)
def test_fuzzing_catches(mutation, monkeypatch, record_property):
    monkeypatch.setattr(mutation.owner, mutation.attribute, mutation.replacement)
    for seed in mutation.seeds:
        verdict = run_machine(mutation.machine, seed, mutation.sequences)
        if verdict.failure is not None:
            break
    record_property("sequences", verdict.sequences)
    record_property("steps", verdict.steps)
    assert isinstance(verdict.failure, ViolationError), verdict.describe()
    assert verdict.failure.point == mutation.point, verdict.describe()
