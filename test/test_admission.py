"""Test refusals by limits, priorities and deadlines, and their time to retry."""

import pytest

from rhubarbshed.coordination.requests.admission import Admission
from rhubarbshed.protocol.errors import Outcome
from rhubarbshed.protocol.requests import Priority
from test.helper_requests import make_request, make_settings

SETTINGS = make_settings("[admission]\nmodel_requests_max = 10\ncaller_requests_max = 8").admission


def make_admission() -> Admission:
    return Admission.from_settings(SETTINGS, 1)


def test_caller_bound_is_429_and_a_left_place_is_free_again():
    admission = make_admission()
    for number in range(8):
        admission.count_opened(make_request(number))
    error = admission.check_bounds(make_request(9), 1.0)
    assert (error.status, error.outcome, error.retryable) == (429, Outcome.NOT_RUN, True)
    assert admission.check_bounds(make_request(9, caller="other"), 1.0) is None
    admission.count_closed(make_request(0))
    assert admission.check_bounds(make_request(9), 1.0) is None


def test_batch_gives_up_before_interactive():
    admission = make_admission()
    for number in range(6):
        admission.count_opened(make_request(number, caller=f"c{number}"))
    batch = make_request(9, priority=Priority.BATCH)
    interactive = make_request(9, priority=Priority.INTERACTIVE)
    assert admission.check_bounds(batch, 1.0).status == 503
    assert admission.check_bounds(interactive, 1.0) is None
    assert admission.check_time(batch, 0.6, 0.0, 0.9, 0.0) is not None
    assert admission.check_time(interactive, 0.6, 0.0, 0.9, 0.0) is None
    assert admission.check_time(interactive, 0.9, 0.0, 0.9, 0.0).code == "overloaded"
    assert admission.check_time(interactive, 2.0, 0.0, 0.9, 0.0).code == "overloaded"


@pytest.mark.parametrize("priority", list(Priority))
def test_unreachable_deadline_is_refused_at_once(priority):
    request = make_request(deadline=0.5, priority=priority)
    error = make_admission().check_time(request, 0.6, 0.0, 0.9, 0.0)
    assert (error.code, error.outcome) == ("deadline_unreachable", Outcome.NOT_RUN)


def test_retry_after_stays_within_the_settings_and_is_jittered():
    admission = make_admission()
    given = [admission.compute_retry_after(wait) for wait in (0.0, 1.0, 5.0, 5.0, 1e9)]
    assert all(SETTINGS.retry_after_min_s <= one <= SETTINGS.retry_after_max_s for one in given)
    assert given[2] != given[3]
    assert admission.compute_retry_after(5.0) >= 5.0


def test_refused_callers_come_back_one_after_the_other_and_no_later_than_the_setting():
    admission = make_admission()
    waits = [admission.reserve_retry("model/m", 8.0, 0.0) for _ in range(100)]
    assert waits[:3] == pytest.approx([0.5, 1.0, 1.5])
    assert max(waits) == SETTINGS.retry_after_max_s
    assert admission.reserve_retry("model/other", 8.0, 0.0) == pytest.approx(0.5)
    assert admission.reserve_retry("model/m", 8.0, 1000.0) == pytest.approx(0.5)
