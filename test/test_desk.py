"""Test decisions on whole requests: dispatch, retry, resume, refuse, drain."""

import pytest

from rhubarbshed.coordination.requests.coordinator import AttemptSuperseded, IsolatedRunNeeded
from rhubarbshed.protocol.errors import Outcome
from rhubarbshed.protocol.requests import AttemptEnd, Dispatch, Refusal
from test.helper_requests import end, make_coordinator, make_report, make_request

NOT_IDEMPOTENT = {"idempotent": False, "service": "archive", "model": "", "target": "archive"}
SENT_ENDS = [AttemptEnd.TIMED_OUT, AttemptEnd.BROKEN, AttemptEnd.CRASHED]


def test_whole_answer_closes_the_request_and_frees_its_place():
    coordinator = make_coordinator()
    sent = coordinator.open_request(make_request(), 0.0)
    assert coordinator.load.count_in_flight(sent.backend_server) == 1
    assert coordinator.end_attempt(end(sent, AttemptEnd.DONE), 1.0) is None
    assert coordinator.list_open() == ()
    assert not coordinator.admission.targets
    assert coordinator.load.count_in_flight(sent.backend_server) == 0


def test_unknown_target_is_404_and_nowhere_resident_is_503():
    coordinator = make_coordinator()
    error = coordinator.open_request(make_request(model="nowhere"), 0.0).error
    assert (error.status, error.outcome, error.retryable) == (404, Outcome.NOT_RUN, False)
    assert coordinator.open_request(make_request(adapter="other"), 0.0).error.status == 404
    for number in range(5):
        coordinator.apply_report(make_report(f"b{number}", resident=()), 1.0)
    error = coordinator.open_request(make_request(now=1.0), 1.0).error
    assert (error.status, error.code, error.outcome) == (503, "not_resident", Outcome.NOT_RUN)
    assert error.retry_after_s > 0
    assert coordinator.list_open() == ()


@pytest.mark.parametrize("how", SENT_ENDS)
def test_non_idempotent_is_never_sent_again_once_bytes_left(how):
    coordinator = make_coordinator()
    sent = coordinator.open_request(make_request(**NOT_IDEMPOTENT), 0.0)
    error = coordinator.end_attempt(end(sent, how), 1.0).error
    assert (error.outcome, error.retryable) == (Outcome.UNKNOWN, False)


@pytest.mark.parametrize("how", [AttemptEnd.NOT_SENT, AttemptEnd.REFUSED])
def test_non_idempotent_that_did_not_run_is_tried_elsewhere(how):
    coordinator = make_coordinator()
    sent = coordinator.open_request(make_request(**NOT_IDEMPOTENT), 0.0)
    again = coordinator.end_attempt(end(sent, how), 0.1)
    assert isinstance(again, Dispatch)
    assert again.backend_server != sent.backend_server
    last = coordinator.end_attempt(end(again, how), 0.2)
    last = coordinator.end_attempt(end(last, how), 0.3)
    assert (last.error.outcome, last.error.retryable) == (Outcome.NOT_RUN, True)


def test_request_that_once_ran_is_never_called_not_run():
    coordinator = make_coordinator()
    sent = coordinator.open_request(make_request(), 0.0)
    again = coordinator.end_attempt(end(sent, AttemptEnd.TIMED_OUT), 1.0)
    last = coordinator.end_attempt(end(again, AttemptEnd.REFUSED), 1.1)
    last = coordinator.end_attempt(end(last, AttemptEnd.NOT_SENT), 1.2)
    assert last.error.outcome is Outcome.FAILED


def test_cut_stream_is_resumed_after_the_tokens_passed_on():
    coordinator = make_coordinator()
    sent = coordinator.open_request(make_request(), 0.0)
    again = coordinator.end_attempt(end(sent, AttemptEnd.TIMED_OUT, tokens=7), 1.0)
    assert again.resume_offset == 7
    third = coordinator.end_attempt(end(again, AttemptEnd.TIMED_OUT, tokens=5), 2.0)
    assert third.resume_offset == 12


@pytest.mark.parametrize("idempotent", [True, False])
def test_passed_deadline_is_final(idempotent):
    coordinator = make_coordinator()
    changes = {} if idempotent else NOT_IDEMPOTENT
    sent = coordinator.open_request(make_request(**changes), 0.0)
    error = coordinator.end_attempt(end(sent, AttemptEnd.TIMED_OUT), 61.0).error
    outcome = Outcome.FAILED if idempotent else Outcome.UNKNOWN
    assert (error.status, error.outcome) == (504, outcome)


def test_cancel_frees_the_place_and_names_what_to_cancel():
    coordinator = make_coordinator()
    sent = coordinator.open_request(make_request(), 0.0)
    assert coordinator.cancel("r0", 1.0) == (sent,)
    assert coordinator.cancel("r0", 1.0) == ()
    assert coordinator.end_attempt(end(sent, AttemptEnd.CALLER_GONE), 1.0) is None
    assert coordinator.load.count_in_flight(sent.backend_server) == 0


def test_request_id_in_use_is_refused():
    coordinator = make_coordinator()
    coordinator.open_request(make_request(), 0.0)
    error = coordinator.open_request(make_request(caller="other"), 0.0).error
    assert (error.status, error.code) == (409, "request_id_in_use")
    assert len(coordinator.list_open()) == 1


def test_copies_of_one_request_go_to_the_same_server():
    coordinator = make_coordinator()
    copies = [coordinator.open_request(make_request(n, fingerprint="same"), 0.0) for n in range(6)]
    sent = [copy for copy in copies if isinstance(copy, Dispatch)]
    assert len(sent) >= 4
    assert len({one.backend_server for one in sent}) == 1


def test_overload_is_refused_with_when_to_come_back():
    coordinator = make_coordinator()
    for number in range(5):
        coordinator.apply_report(make_report(f"b{number}", running=4, waiting=400), 1.0)
    error = coordinator.open_request(make_request(now=1.0), 1.0).error
    assert (error.status, error.outcome, error.retryable) == (503, Outcome.NOT_RUN, True)
    assert 0.5 <= error.retry_after_s <= 30.0


def test_long_prompt_is_served_though_its_own_prefill_exceeds_the_target():
    coordinator = make_coordinator()
    sent = coordinator.open_request(make_request(prompt_tokens=20_000), 0.0)
    assert isinstance(sent, Dispatch)


def test_only_server_stays_reachable_after_failures():
    coordinator = make_coordinator(servers=1)
    for number in range(10):
        sent = coordinator.open_request(make_request(number), 0.0)
        assert isinstance(sent, Dispatch)
        coordinator.end_attempt(end(sent, AttemptEnd.TIMED_OUT), 0.0)
        coordinator.cancel(f"r{number}", 0.0)
    assert isinstance(coordinator.open_request(make_request(99), 0.0), Dispatch)


def test_hedge_runs_on_another_server_and_the_first_answer_counts():
    coordinator = make_coordinator(text="[retries]\nhedge_after_s = 0.5")
    sent = coordinator.open_request(make_request(), 0.0)
    assert coordinator.hedge("r0", 0.4) is None
    hedge = coordinator.hedge("r0", 0.6)
    assert hedge.backend_server != sent.backend_server
    assert isinstance(
        coordinator.end_attempt(end(sent, AttemptEnd.TIMED_OUT), 1.0), AttemptSuperseded
    )
    assert coordinator.end_attempt(end(hedge, AttemptEnd.DONE), 2.0) is None
    assert coordinator.list_open() == ()


def test_non_idempotent_is_never_hedged():
    coordinator = make_coordinator(text="[retries]\nhedge_after_s = 0.5")
    coordinator.open_request(make_request(**NOT_IDEMPOTENT), 0.0)
    assert coordinator.hedge("r0", 9.0) is None


def test_hedge_is_asked_for_once_and_only_of_streams():
    coordinator = make_coordinator(text="[retries]\nhedge_after_s = 0.5")
    assert coordinator.open_request(make_request(0), 0.0).hedge_after_s == 0.0
    sent = coordinator.open_request(make_request(1, streamed=True), 0.0)
    assert 0.5 <= sent.hedge_after_s < 0.9
    assert coordinator.hedge("r1", 1.0).hedge_after_s == 0.0
    coordinator.abandon_attempt("r1", 1, 1.5)
    assert coordinator.hedge("r1", 2.0) is None


def test_loser_of_a_hedge_frees_its_slot_and_counts_against_a_slow_server():
    coordinator = make_coordinator(text="[retries]\nhedge_after_s = 0.5")
    sent = coordinator.open_request(make_request(streamed=True), 0.0)
    hedge = coordinator.hedge("r0", 1.0)
    assert coordinator.abandon_attempt("r0", sent.attempt, 1.1) == sent
    assert coordinator.abandon_attempt("r0", sent.attempt, 1.1) is None
    assert coordinator.load.count_in_flight(sent.backend_server) == 0
    assert coordinator.load.count_in_flight(hedge.backend_server) == 1
    assert coordinator.load.servers[sent.backend_server].compute_failures(1.1) == 1.0
    assert coordinator.end_attempt(end(sent, AttemptEnd.DONE), 1.2) == AttemptSuperseded("r0")
    assert coordinator.end_attempt(end(hedge, AttemptEnd.DONE), 2.0) is None


def test_crash_after_a_lost_hedge_counts_against_the_request():
    coordinator = make_coordinator(text="[retries]\nhedge_after_s = 0.5")
    sent = coordinator.open_request(make_request(streamed=True), 0.0)
    coordinator.hedge("r0", 1.0)
    coordinator.abandon_attempt("r0", sent.attempt, 1.1)
    coordinator.apply_report(make_report(sent.backend_server, "boot-2"), 1.2)
    assert coordinator.suspects.is_suspect("f0")


def test_hedge_needs_budget_room_and_an_unsuspected_request():
    text = "[retries]\nhedge_after_s = 0.5\nbudget_ratio = 0\nbudget_min_per_s = 0.1"
    coordinator = make_coordinator(text=text)
    for number in range(2):
        coordinator.open_request(make_request(number, streamed=True), 0.0)
    assert coordinator.hedge("r0", 1.0) is not None
    assert coordinator.hedge("r1", 1.0) is None
    coordinator = make_coordinator(text="[retries]\nhedge_after_s = 0.5")
    coordinator.open_request(make_request(0, streamed=True), 0.0)
    coordinator.open_request(make_request(1, streamed=True), 0.0)
    coordinator.suspects.record_possible_crash("f0", "b4", "boot-1", False, 0.1)
    assert coordinator.hedge("r0", 1.0) is None
    for number in range(5):
        coordinator.apply_report(make_report(f"b{number}", running=4, waiting=400), 1.0)
    assert coordinator.hedge("r1", 1.1) is None


def test_drain_refuses_new_work_and_waits_for_the_rest():
    coordinator = make_coordinator(text="[shutdown]\nannounce_s = 1\ndrain_s = 10")
    sent = coordinator.open_request(make_request(0), 0.0)
    coordinator.drain.start(1.0)
    assert isinstance(coordinator.open_request(make_request(1, now=1.5), 1.5), Dispatch)
    refused = coordinator.open_request(make_request(2, now=2.5), 2.5)
    assert isinstance(refused, Refusal)
    assert (refused.error.code, refused.error.outcome) == ("draining", Outcome.NOT_RUN)
    assert coordinator.drain.find_phase(len(coordinator.list_open()), 3.0).value == "draining"
    assert coordinator.drain.find_phase(len(coordinator.list_open()), 12.5).value == "due"
    assert isinstance(coordinator.end_attempt(end(sent, AttemptEnd.TIMED_OUT), 3.0), Dispatch)


def test_broken_stream_is_retried_plainly_once_its_server_is_seen_alive():
    coordinator = make_coordinator()
    sent = coordinator.open_request(make_request(), 1.0)
    need = coordinator.end_attempt(end(sent, AttemptEnd.BROKEN), 2.0)
    assert need == IsolatedRunNeeded("r0", "f0")
    coordinator.cancel("r0", 2.1)
    coordinator.apply_report(make_report(sent.backend_server, age_s=0.1), 2.5)
    assert isinstance(coordinator.open_request(make_request(1, fingerprint="f0"), 3.0), Dispatch)


def test_copy_just_heard_of_is_used_once_the_known_one_is_gone():
    """A move loads the new copy and unloads the old one before all reports show it."""
    coordinator = make_coordinator(servers=2)
    coordinator.apply_report(make_report("b1", resident=()), 1.0)
    coordinator.apply_report(make_report("b1"), 2.0)
    sent = coordinator.open_request(make_request(0, now=2.5), 2.5)
    assert sent.backend_server == "b0"
    again = coordinator.end_attempt(end(sent, AttemptEnd.REFUSED, status=404), 2.6)
    assert again.backend_server == "b1"


def test_instance_that_stood_still_doubts_what_it_knows_until_it_has_heard_the_news():
    """Copies of its requests had crashed servers while the instance was stopped."""
    coordinator = make_coordinator()
    for now in (0.0, 1.0, 2.9):
        coordinator.tick(now)
        assert not coordinator.stall.is_catching_up(now)
    assert coordinator.stall.is_catching_up(9.0)
    coordinator.tick(9.1)
    assert coordinator.stall.is_catching_up(9.4)
    coordinator.tick(10.0)
    assert not coordinator.stall.is_catching_up(10.0)


def test_duplicate_end_of_an_attempt_changes_nothing():
    coordinator = make_coordinator()
    sent = coordinator.open_request(make_request(), 0.0)
    again = coordinator.end_attempt(end(sent, AttemptEnd.TIMED_OUT), 1.0)
    assert isinstance(coordinator.end_attempt(end(sent, AttemptEnd.DONE), 1.1), AttemptSuperseded)
    assert len(coordinator.list_open()) == 1
    assert coordinator.end_attempt(end(again, AttemptEnd.DONE), 2.0) is None
    assert coordinator.list_open() == ()


def test_slot_held_for_no_time_still_gives_a_time_to_come_back():
    """A server that refused at once made the mean slot time 0 s, a division by zero."""
    coordinator = make_coordinator()
    for server in coordinator.load.servers.values():
        server.slot_time_s = 0.0
    for number in range(5):
        report = make_report(f"b{number}", running=500, waiting=500, waiting_tokens=10**9)
        coordinator.apply_report(report, 1.0)
    refused = coordinator.open_request(make_request(now=1.0), 1.0)
    assert isinstance(refused, Refusal) and refused.error.retry_after_s > 0
