"""Test retry budgets, and that non-idempotent work that may have run is not retried."""

import random

import pytest

from rhubarbshed.coordination.requests.retries import (
    RetryBudget,
    compute_pause,
    decide_hedge,
    find_outcome,
    may_retry,
)
from rhubarbshed.protocol.errors import Outcome
from rhubarbshed.protocol.requests import AttemptEnd
from test.helper_requests import make_request, make_settings


def make_budget() -> RetryBudget:
    return RetryBudget(make_settings().retries)


def test_budget_bounds_a_storm_and_refills():
    budget = make_budget()
    taken = sum(budget.withdraw(("target:sermon",), 0.0) for _ in range(1000))
    assert taken == 10
    assert not budget.withdraw(("target:sermon",), 0.5)
    assert budget.withdraw(("target:sermon",), 1.6)


def test_first_attempts_earn_retries():
    budget = make_budget()
    while budget.withdraw(("caller:parish",), 0.0):
        pass
    for _ in range(50):
        budget.deposit(("caller:parish",), 0.0)
    assert sum(budget.withdraw(("caller:parish",), 0.0) for _ in range(100)) in (9, 10)


def test_empty_bucket_of_one_key_takes_from_neither():
    budget = make_budget()
    while budget.withdraw(("caller:parish",), 0.0):
        pass
    assert not budget.withdraw(("target:sermon", "caller:parish"), 0.0)
    assert budget.buckets["target:sermon"].tokens == 10


@pytest.mark.parametrize("how", list(AttemptEnd))
def test_only_what_did_not_run_may_be_repeated_if_not_idempotent(how):
    request = make_request(idempotent=False)
    never_ran = how in (AttemptEnd.NOT_SENT, AttemptEnd.REFUSED)
    assert may_retry(request, how) is never_ran


def test_outcomes_are_told_apart():
    assert find_outcome(make_request(), False) is Outcome.NOT_RUN
    assert find_outcome(make_request(), True) is Outcome.FAILED
    assert find_outcome(make_request(idempotent=False), True) is Outcome.UNKNOWN


def test_hedges_are_for_idempotent_work_without_a_first_token():
    settings = make_settings("[retries]\nhedge_after_s = 0.5").retries
    assert decide_hedge(make_request(), False, 0.6, settings)
    assert not decide_hedge(make_request(), True, 0.6, settings)
    assert not decide_hedge(make_request(idempotent=False), False, 0.6, settings)


def test_pause_grows_with_jitter_and_is_bounded():
    randomness = random.Random(1)
    pauses = {compute_pause(attempt, randomness) for attempt in range(1, 30)}
    assert len(pauses) > 20
    assert max(pauses) <= 1.0
