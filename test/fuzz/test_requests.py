"""Fuzzing of the request coordinator with requests, ends, crashes and reports, and an oracle."""

import random
from collections import Counter

from attrs import define, field
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbshed.coordination.requests.coordinator import (
    AttemptSuperseded,
    IsolatedRunNeeded,
    RequestCoordinator,
)
from rhubarbshed.coordination.requests.isolation import IsolatedRunHeld, IsolatedRunUnavailable
from rhubarbshed.coordination.requests.quarantine import IsolatedRunBusy
from rhubarbshed.coordination.requests.trials import IsolatedRunPending
from rhubarbshed.protocol.errors import Outcome
from rhubarbshed.protocol.members import Standing
from rhubarbshed.protocol.quarantine import QuarantineEntry
from rhubarbshed.protocol.requests import AttemptEnd, Dispatch, Priority, Refusal, Request
from test.helper_requests import end, make_coordinator, make_report, make_request

SEQUENCES = 2000
STEPS = 60
SERVERS = 4
NEVER_RAN = (AttemptEnd.NOT_SENT, AttemptEnd.REFUSED)
TEXT = "[retries]\nhedge_after_s = 0.3\n[admission]\nmodel_requests_max = 20"


@define
class Play:
    """Coordinator, and what the oracle knows of each request that is open or answered."""

    randomness: random.Random
    coordinator: RequestCoordinator
    now: float = 1.0
    number: int = 0
    sent: dict[str, list[Dispatch]] = field(factory=dict)
    requests: dict[str, Request] = field(factory=dict)
    possibly_ran: Counter[str] = field(factory=Counter)
    answered: set[str] = field(factory=set)
    settling: set[str] = field(factory=set)
    boots: dict[str, int] = field(factory=dict)

    def open(self):
        self.number += 1
        changes = {
            "idempotent": self.randomness.random() < 0.6,
            "priority": self.randomness.choice(list(Priority)),
            "fingerprint": f"f{self.randomness.randrange(8)}",
            "caller": f"c{self.randomness.randrange(3)}",
            "deadline": self.now + self.randomness.choice([0.0, 1.0, 30.0]),
        }
        if self.randomness.random() < 0.3:
            changes |= {"service": "archive", "model": "", "target": "archive"}
        request = make_request(self.number, self.now, **changes)
        self.requests[request.request_id] = request
        self.sent[request.request_id] = []
        self.take(request.request_id, self.coordinator.open_request(request, self.now))

    def take(self, request_id, decision):
        if isinstance(decision, Dispatch):
            self.check_dispatch(request_id, decision)
            self.sent[request_id].append(decision)
        elif isinstance(decision, IsolatedRunNeeded):
            entry = QuarantineEntry(decision.fingerprint)
            answers = [IsolatedRunHeld(entry), IsolatedRunBusy(), IsolatedRunUnavailable()]
            answer = self.randomness.choice(answers)
            self.take(request_id, self.coordinator.resume_isolated(request_id, answer, self.now))
        elif isinstance(decision, IsolatedRunPending):
            self.settling.add(request_id)
        elif isinstance(decision, Refusal):
            self.check_refusal(request_id, decision)
            self.answer(request_id)
        elif decision is None:
            self.answer(request_id)

    def start_isolated(self):
        for request_id in sorted(self.settling):
            decision = self.coordinator.start_isolated(request_id, self.now)
            if not isinstance(decision, IsolatedRunPending):
                self.settling.discard(request_id)
                if request_id not in self.answered:
                    self.take(request_id, decision)

    def answer(self, request_id):
        assert request_id not in self.answered
        self.answered.add(request_id)
        self.sent[request_id] = []

    def check_dispatch(self, request_id, dispatch):
        request = self.requests[request_id]
        assert dispatch.request_id == request_id
        assert request_id not in self.answered
        assert dispatch.first_byte_timeout_s <= request.deadline - self.now + 1e-9
        server = self.coordinator.load.servers[dispatch.backend_server]
        assert server.standing is not Standing.LEAVING
        if not request.idempotent:
            assert self.possibly_ran[request_id] == 0
            assert not self.sent[request_id]

    def check_refusal(self, request_id, refusal):
        error = refusal.error
        ran = self.possibly_ran[request_id]
        request = self.requests[request_id]
        if error.outcome is Outcome.NOT_RUN:
            assert ran == 0
        if ran and not request.idempotent:
            assert (error.outcome, error.retryable) == (Outcome.UNKNOWN, False)
        if error.retryable and error.outcome is Outcome.NOT_RUN:
            assert error.retry_after_s is not None or error.code == "deadline_passed"

    def end(self):
        flying = [one for dispatches in self.sent.values() for one in dispatches]
        if not flying:
            return
        dispatch = self.randomness.choice(flying)
        self.sent[dispatch.request_id].remove(dispatch)
        self.end_one(dispatch, self.randomness.choice(list(AttemptEnd)))

    def end_one(self, dispatch, how):
        request_id = dispatch.request_id
        if how not in NEVER_RAN:
            self.possibly_ran[request_id] += 1
        result = end(dispatch, how, self.now, tokens=self.randomness.randrange(5))
        decision = self.coordinator.end_attempt(result, self.now)
        if isinstance(decision, AttemptSuperseded):
            assert self.sent[request_id]
            return
        assert decision is not None or how in (AttemptEnd.DONE, AttemptEnd.CALLER_GONE)
        self.take(request_id, decision)

    def repeat_end(self):
        """Report an unknown attempt's end, of a request that may be answered already."""
        if not self.number:
            return
        request_id = f"r{self.randomness.randrange(self.number) + 1}"
        stray = Dispatch(request_id, 99, "b0", "127.0.0.1", 1, 1.0, 1.0)
        decision = self.coordinator.end_attempt(end(stray, AttemptEnd.DONE), self.now)
        assert (decision is None) is (request_id in self.answered)

    def cancel(self):
        waiting = [name for name in self.requests if name not in self.answered]
        if waiting:
            request_id = self.randomness.choice(waiting)
            cancelled = self.coordinator.cancel(request_id, self.now)
            assert set(cancelled) == set(self.sent[request_id])
            self.answer(request_id)

    def hedge(self):
        for item in self.coordinator.list_open():
            decision = self.coordinator.hedge(item.request.request_id, self.now)
            if decision is not None:
                assert item.request.idempotent
                assert len(self.sent[item.request.request_id]) == 1
                self.take(item.request.request_id, decision)

    def give_up(self):
        """Abandon one of two hedged attempts."""
        for request_id, flying in self.sent.items():
            if len(flying) == 2:
                loser = self.randomness.choice(flying)
                assert (
                    self.coordinator.abandon_attempt(request_id, loser.attempt, self.now) == loser
                )
                assert self.coordinator.abandon_attempt(request_id, loser.attempt, self.now) is None
                flying.remove(loser)
                self.possibly_ran[request_id] += 1

    def report(self):
        name = f"b{self.randomness.randrange(SERVERS)}"
        if self.randomness.random() < 0.2:
            self.boots[name] = self.boots.get(name, 1) + 1
        boot_id = f"boot-{self.boots.get(name, 1)}"
        changes = {"age_s": self.randomness.random(), "running": self.randomness.randrange(6)}
        self.coordinator.apply_report(make_report(name, boot_id, **changes), self.now)

    def stand(self):
        name = f"b{self.randomness.randrange(SERVERS)}"
        self.coordinator.load.set_standing(name, self.randomness.choice(list(Standing)), self.now)

    def check(self):
        """Compare the coordinator's counts with the oracle's."""
        waiting = {name for name in self.requests if name not in self.answered}
        assert {item.request.request_id for item in self.coordinator.list_open()} == waiting
        callers = Counter(self.requests[name].caller for name in waiting)
        assert self.coordinator.admission.callers == callers
        flying = Counter(
            one.backend_server for dispatches in self.sent.values() for one in dispatches
        )
        for name, server in self.coordinator.load.servers.items():
            assert server.count_open() == flying[name]
            assert server.compute_in_flight() >= flying[name]


@settings(max_examples=SEQUENCES, derandomize=True, deadline=None)
@given(randomness=st.randoms(use_true_random=False))
def test_no_request_is_answered_twice_falsely_or_never(randomness):
    game = Play(randomness, make_coordinator(servers=SERVERS, text=TEXT))
    actions = [game.open] * 4 + [game.end] * 4 + [game.report] * 2
    actions += [game.cancel, game.hedge, game.give_up, game.stand, game.repeat_end]
    actions += [game.start_isolated]
    for _ in range(STEPS):
        game.now += randomness.random()
        randomness.choice(actions)()
        game.coordinator.tick(game.now)
        game.check()
