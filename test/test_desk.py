"""The desk decides on whole requests: dispatch, retry, resume, refuse, drain."""

import pytest

from rhubarbshed.coordination.requests.desk import AttemptOpen, SoloNeeded
from rhubarbshed.protocol.errors import Outcome
from rhubarbshed.protocol.requests import AttemptEnd, Dispatch, Refusal
from test.helper_requests import end, make_desk, make_report, make_request

NOT_IDEMPOTENT = {"idempotent": False, "service": "archive", "model": "", "target": "archive"}
SENT_ENDS = [AttemptEnd.TIMED_OUT, AttemptEnd.BROKEN, AttemptEnd.CRASHED]


def test_whole_answer_closes_the_request_and_frees_its_place():
    desk = make_desk()
    sent = desk.open_request(make_request(), 0.0)
    assert desk.load.count_in_flight(sent.backend_server) == 1
    assert desk.end_attempt(end(sent, AttemptEnd.DONE), 1.0) is None
    assert desk.list_open() == ()
    assert not desk.admission.targets
    assert desk.load.count_in_flight(sent.backend_server) == 0


def test_unknown_target_is_404_and_nowhere_resident_is_503():
    desk = make_desk()
    error = desk.open_request(make_request(model="nowhere"), 0.0).error
    assert (error.status, error.outcome, error.retryable) == (404, Outcome.NOT_RUN, False)
    assert desk.open_request(make_request(adapter="other"), 0.0).error.status == 404
    for number in range(5):
        desk.apply_report(make_report(f"b{number}", resident=()), 1.0)
    error = desk.open_request(make_request(now=1.0), 1.0).error
    assert (error.status, error.code, error.outcome) == (503, "not_resident", Outcome.NOT_RUN)
    assert error.retry_after_s > 0
    assert desk.list_open() == ()


@pytest.mark.parametrize("how", SENT_ENDS)
def test_non_idempotent_is_never_sent_again_once_bytes_left(how):
    desk = make_desk()
    sent = desk.open_request(make_request(**NOT_IDEMPOTENT), 0.0)
    error = desk.end_attempt(end(sent, how), 1.0).error
    assert (error.outcome, error.retryable) == (Outcome.UNKNOWN, False)


@pytest.mark.parametrize("how", [AttemptEnd.NOT_SENT, AttemptEnd.REFUSED])
def test_non_idempotent_that_did_not_run_is_tried_elsewhere(how):
    desk = make_desk()
    sent = desk.open_request(make_request(**NOT_IDEMPOTENT), 0.0)
    again = desk.end_attempt(end(sent, how), 0.1)
    assert isinstance(again, Dispatch)
    assert again.backend_server != sent.backend_server
    last = desk.end_attempt(end(again, how), 0.2)
    last = desk.end_attempt(end(last, how), 0.3)
    assert (last.error.outcome, last.error.retryable) == (Outcome.NOT_RUN, True)


def test_request_that_once_ran_is_never_called_not_run():
    desk = make_desk()
    sent = desk.open_request(make_request(), 0.0)
    again = desk.end_attempt(end(sent, AttemptEnd.TIMED_OUT), 1.0)
    last = desk.end_attempt(end(again, AttemptEnd.REFUSED), 1.1)
    last = desk.end_attempt(end(last, AttemptEnd.NOT_SENT), 1.2)
    assert last.error.outcome is Outcome.FAILED


def test_cut_stream_is_resumed_after_the_tokens_passed_on():
    desk = make_desk()
    sent = desk.open_request(make_request(), 0.0)
    again = desk.end_attempt(end(sent, AttemptEnd.TIMED_OUT, tokens=7), 1.0)
    assert again.resume_offset == 7
    third = desk.end_attempt(end(again, AttemptEnd.TIMED_OUT, tokens=5), 2.0)
    assert third.resume_offset == 12


@pytest.mark.parametrize("idempotent", [True, False])
def test_passed_deadline_is_final(idempotent):
    desk = make_desk()
    changes = {} if idempotent else NOT_IDEMPOTENT
    sent = desk.open_request(make_request(**changes), 0.0)
    error = desk.end_attempt(end(sent, AttemptEnd.TIMED_OUT), 61.0).error
    outcome = Outcome.FAILED if idempotent else Outcome.UNKNOWN
    assert (error.status, error.outcome) == (504, outcome)


def test_cancel_frees_the_place_and_names_what_to_cancel():
    desk = make_desk()
    sent = desk.open_request(make_request(), 0.0)
    assert desk.cancel("r0", 1.0) == (sent,)
    assert desk.cancel("r0", 1.0) == ()
    assert desk.end_attempt(end(sent, AttemptEnd.CALLER_GONE), 1.0) is None
    assert desk.load.count_in_flight(sent.backend_server) == 0


def test_request_id_in_use_is_refused():
    desk = make_desk()
    desk.open_request(make_request(), 0.0)
    error = desk.open_request(make_request(caller="other"), 0.0).error
    assert (error.status, error.code) == (409, "request_id_in_use")
    assert len(desk.list_open()) == 1


def test_copies_of_one_request_go_to_the_same_server():
    desk = make_desk()
    copies = [desk.open_request(make_request(n, fingerprint="same"), 0.0) for n in range(6)]
    sent = [copy for copy in copies if isinstance(copy, Dispatch)]
    assert len(sent) >= 4
    assert len({one.backend_server for one in sent}) == 1


def test_overload_is_refused_with_when_to_come_back():
    desk = make_desk()
    for number in range(5):
        desk.apply_report(make_report(f"b{number}", running=4, waiting=400), 1.0)
    error = desk.open_request(make_request(now=1.0), 1.0).error
    assert (error.status, error.outcome, error.retryable) == (503, Outcome.NOT_RUN, True)
    assert 0.5 <= error.retry_after_s <= 30.0


def test_long_prompt_is_served_though_its_own_prefill_exceeds_the_target():
    desk = make_desk()
    sent = desk.open_request(make_request(prompt_tokens=20_000), 0.0)
    assert isinstance(sent, Dispatch)


def test_only_server_stays_reachable_after_failures():
    desk = make_desk(servers=1)
    for number in range(10):
        sent = desk.open_request(make_request(number), 0.0)
        assert isinstance(sent, Dispatch)
        desk.end_attempt(end(sent, AttemptEnd.TIMED_OUT), 0.0)
        desk.cancel(f"r{number}", 0.0)
    assert isinstance(desk.open_request(make_request(99), 0.0), Dispatch)


def test_hedge_runs_on_another_server_and_the_first_answer_counts():
    desk = make_desk(text="[retries]\nhedge_after_s = 0.5")
    sent = desk.open_request(make_request(), 0.0)
    assert desk.hedge("r0", 0.4) is None
    hedge = desk.hedge("r0", 0.6)
    assert hedge.backend_server != sent.backend_server
    assert isinstance(desk.end_attempt(end(sent, AttemptEnd.TIMED_OUT), 1.0), AttemptOpen)
    assert desk.end_attempt(end(hedge, AttemptEnd.DONE), 2.0) is None
    assert desk.list_open() == ()


def test_non_idempotent_is_never_hedged():
    desk = make_desk(text="[retries]\nhedge_after_s = 0.5")
    desk.open_request(make_request(**NOT_IDEMPOTENT), 0.0)
    assert desk.hedge("r0", 9.0) is None


def test_hedge_is_asked_for_once_and_only_of_streams():
    desk = make_desk(text="[retries]\nhedge_after_s = 0.5")
    assert desk.open_request(make_request(0), 0.0).hedge_after_s == 0.0
    sent = desk.open_request(make_request(1, streamed=True), 0.0)
    assert 0.5 <= sent.hedge_after_s < 0.9
    assert desk.hedge("r1", 1.0).hedge_after_s == 0.0
    desk.give_up("r1", 1, 1.5)
    assert desk.hedge("r1", 2.0) is None


def test_loser_of_a_hedge_frees_its_slot_and_counts_against_a_slow_server():
    desk = make_desk(text="[retries]\nhedge_after_s = 0.5")
    sent = desk.open_request(make_request(streamed=True), 0.0)
    hedge = desk.hedge("r0", 1.0)
    assert desk.give_up("r0", sent.attempt, 1.1) == sent
    assert desk.give_up("r0", sent.attempt, 1.1) is None
    assert desk.load.count_in_flight(sent.backend_server) == 0
    assert desk.load.count_in_flight(hedge.backend_server) == 1
    assert desk.load.servers[sent.backend_server].compute_failures(1.1) == 1.0
    assert desk.end_attempt(end(sent, AttemptEnd.DONE), 1.2) == AttemptOpen("r0")
    assert desk.end_attempt(end(hedge, AttemptEnd.DONE), 2.0) is None


def test_crash_after_a_lost_hedge_counts_against_the_request():
    desk = make_desk(text="[retries]\nhedge_after_s = 0.5")
    sent = desk.open_request(make_request(streamed=True), 0.0)
    desk.hedge("r0", 1.0)
    desk.give_up("r0", sent.attempt, 1.1)
    desk.apply_report(make_report(sent.backend_server, "boot-2"), 1.2)
    assert desk.suspects.is_suspect("f0")


def test_hedge_needs_budget_room_and_an_unsuspected_request():
    text = "[retries]\nhedge_after_s = 0.5\nbudget_ratio = 0\nbudget_min_per_s = 0.1"
    desk = make_desk(text=text)
    for number in range(2):
        desk.open_request(make_request(number, streamed=True), 0.0)
    assert desk.hedge("r0", 1.0) is not None
    assert desk.hedge("r1", 1.0) is None
    desk = make_desk(text="[retries]\nhedge_after_s = 0.5")
    desk.open_request(make_request(0, streamed=True), 0.0)
    desk.open_request(make_request(1, streamed=True), 0.0)
    desk.suspects.presume("f0", "b4", "boot-1", False, 0.1)
    assert desk.hedge("r0", 1.0) is None
    for number in range(5):
        desk.apply_report(make_report(f"b{number}", running=4, waiting=400), 1.0)
    assert desk.hedge("r1", 1.1) is None


def test_drain_refuses_new_work_and_waits_for_the_rest():
    desk = make_desk(text="[shutdown]\nannounce_s = 1\ndrain_s = 10")
    sent = desk.open_request(make_request(0), 0.0)
    desk.drain.start(1.0)
    assert isinstance(desk.open_request(make_request(1, now=1.5), 1.5), Dispatch)
    refused = desk.open_request(make_request(2, now=2.5), 2.5)
    assert isinstance(refused, Refusal)
    assert (refused.error.code, refused.error.outcome) == ("draining", Outcome.NOT_RUN)
    assert desk.drain.find_phase(len(desk.list_open()), 3.0).value == "draining"
    assert desk.drain.find_phase(len(desk.list_open()), 12.5).value == "due"
    assert isinstance(desk.end_attempt(end(sent, AttemptEnd.TIMED_OUT), 3.0), Dispatch)


def test_broken_stream_is_retried_plainly_once_its_server_is_seen_alive():
    desk = make_desk()
    sent = desk.open_request(make_request(), 1.0)
    need = desk.end_attempt(end(sent, AttemptEnd.BROKEN), 2.0)
    assert need == SoloNeeded("r0", "f0")
    desk.cancel("r0", 2.1)
    desk.apply_report(make_report(sent.backend_server, age_s=0.1), 2.5)
    assert isinstance(desk.open_request(make_request(1, fingerprint="f0"), 3.0), Dispatch)


def test_copy_just_heard_of_is_used_once_the_known_one_is_gone():
    """A move loads the new copy and unloads the old one before all reports tell so."""
    desk = make_desk(servers=2)
    desk.apply_report(make_report("b1", resident=()), 1.0)
    desk.apply_report(make_report("b1"), 2.0)
    sent = desk.open_request(make_request(0, now=2.5), 2.5)
    assert sent.backend_server == "b0"
    again = desk.end_attempt(end(sent, AttemptEnd.REFUSED, status=404), 2.6)
    assert again.backend_server == "b1"


def test_instance_that_stood_still_doubts_what_it_knows_until_it_has_heard_the_news():
    """It held requests whose copies had crashed servers meanwhile."""
    desk = make_desk()
    for now in (0.0, 1.0, 2.9):
        desk.tick(now)
        assert not desk.stall.is_catching_up(now)
    assert desk.stall.is_catching_up(9.0)
    desk.tick(9.1)
    assert desk.stall.is_catching_up(9.4)
    desk.tick(10.0)
    assert not desk.stall.is_catching_up(10.0)


def test_duplicate_end_of_an_attempt_changes_nothing():
    desk = make_desk()
    sent = desk.open_request(make_request(), 0.0)
    again = desk.end_attempt(end(sent, AttemptEnd.TIMED_OUT), 1.0)
    assert isinstance(desk.end_attempt(end(sent, AttemptEnd.DONE), 1.1), AttemptOpen)
    assert len(desk.list_open()) == 1
    assert desk.end_attempt(end(again, AttemptEnd.DONE), 2.0) is None
    assert desk.list_open() == ()


def test_slot_held_for_no_time_still_gives_a_time_to_come_back():
    """A server that refused at once left a mean of 0 s, by which the rate was divided."""
    desk = make_desk()
    for server in desk.load.servers.values():
        server.hold_s = 0.0
    for number in range(5):
        report = make_report(f"b{number}", running=500, waiting=500, waiting_tokens=10**9)
        desk.apply_report(report, 1.0)
    refused = desk.open_request(make_request(now=1.0), 1.0)
    assert isinstance(refused, Refusal) and refused.error.retry_after_s > 0
