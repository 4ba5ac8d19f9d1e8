"""Decisions on refusals that tell a caller not to come back."""

import pytest

from rhubarbshed.coordination.serving.account_access import Refusal
from rhubarbshed.coordination.serving.final_refusals import (
    CONFIRMATION_WAIT_MAX_S,
    may_refuse_finally,
    measure_confirmation_wait,
)
from test.test_account_access import decide


@pytest.mark.parametrize(
    ("age_s", "apply_s", "expected"),
    [(0.0, 3.0, True), (3.0, 3.0, True), (3.1, 3.0, False), (float("inf"), 3.0, False)],
)
def test_configuration_refuses_for_good_while_no_later_one_has_to_be_in_force(
    age_s, apply_s, expected
):
    assert may_refuse_finally(age_s, apply_s) is expected


@pytest.mark.parametrize("key", [None, "unknown"])
def test_missing_or_unknown_key_is_not_refused_for_good_by_an_old_configuration(key):
    assert decide(key).refusal in (Refusal.NO_KEY, Refusal.UNKNOWN_KEY)
    assert decide(key, is_recent=False).refusal is Refusal.KEYS_UNCONFIRMED


def test_known_key_and_open_route_do_not_need_a_recent_configuration():
    assert decide("gold-1", is_recent=False).refusal is None
    assert decide(None, needs_key=False, is_recent=False).refusal is None


def test_wait_for_a_confirmation_leaves_the_caller_most_of_its_time():
    assert measure_confirmation_wait(30.0, is_lost=False) == CONFIRMATION_WAIT_MAX_S
    assert measure_confirmation_wait(1.0, is_lost=False) == 0.25
    assert measure_confirmation_wait(0.0, is_lost=False) == 0.0
    assert measure_confirmation_wait(30.0, is_lost=True) == 0.0
