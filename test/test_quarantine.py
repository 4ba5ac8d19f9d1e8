"""Test that requests that crash servers run isolated, then are refused; others are cleared."""

import asyncio
import random

import pytest
from attrs import define, evolve, field

from rhubarbshed.coordination.requests.coordinator import IsolatedRunNeeded, RequestCoordinator
from rhubarbshed.coordination.requests.isolation import (
    IsolatedRunHeld,
    IsolatedRunHolder,
    IsolatedRunReleases,
    IsolatedRunUnavailable,
    claim_isolation,
    release_isolation,
    release_pending,
)
from rhubarbshed.coordination.requests.quarantine import (
    IsolatedRunBusy,
    IsolatedRunRefused,
)
from rhubarbshed.coordination.requests.trials import (
    IDLE_WAIT_MAX_S,
    PROPAGATION_S,
    IsolatedRunPending,
)
from rhubarbshed.protocol.quarantine import CrashId, QuarantineEntry, Sighting, merge_entries
from rhubarbshed.protocol.requests import AttemptEnd, Dispatch, Refusal
from rhubarbshed.state.requests.quarantine import QuarantineView
from rhubarbshed.util.fingerprints import compute_fingerprint
from test.helper_requests import (
    FaultyTable,
    end,
    make_batcher,
    make_coordinator,
    make_report,
    make_request,
    make_settings,
    start_alone,
)

SETTINGS = make_settings().quarantine
FIRST = CrashId("b0", "boot-1")
SECOND = CrashId("b1", "boot-1")


def claim_now(table, entry, write_id="w1", instance="i1", gone=(), releases=None):
    kept = releases if releases is not None else IsolatedRunReleases()
    holder = IsolatedRunHolder(instance, "1", write_id)
    is_gone = lambda name, incarnation: name in gone  # noqa: E731
    return asyncio.run(claim_isolation(make_batcher(table), kept, entry, holder, is_gone, 2))


def release_now(table, entry, write_id="w1", releases=None):
    kept = releases if releases is not None else IsolatedRunReleases()
    return asyncio.run(release_isolation(make_batcher(table), kept, entry, write_id))


def test_fingerprint_ignores_layout_but_not_content_or_target():
    one = compute_fingerprint("sermon", b'{"a": 1, "b": 2}')
    assert compute_fingerprint("sermon", b'{"b":2,"a":1}') == one
    assert compute_fingerprint("sermon", b'{"a": 1, "b": 3}') != one
    assert compute_fingerprint("other", b'{"a": 1, "b": 2}') != one
    assert compute_fingerprint("sermon", b"\xff") != compute_fingerprint("sermon", b"\xfe")


@pytest.mark.parametrize("seed", range(20))
def test_entries_merge_alike_in_any_order(seed):
    randomness = random.Random(seed)
    marks = [CrashId(f"b{number}", "x") for number in range(3)]
    entries = [
        QuarantineEntry("f", *(tuple(sorted(randomness.sample(marks, 2))) for _ in range(3)))
        for _ in range(4)
    ]
    merged = []
    for _ in range(5):
        randomness.shuffle(entries)
        total = QuarantineEntry("f")
        for entry in [*entries, entries[0]]:
            total = merge_entries(total, entry)
        merged.append(total)
    assert all(one == merged[0] for one in merged)


def test_same_crash_told_twice_counts_once_and_the_second_refuses_for_good():
    view = QuarantineView(SETTINGS)
    view.record_crash("f", FIRST, False, 0.0)
    view.record_crash("f", FIRST, False, 1.0)
    assert view.is_suspect("f")
    view.record_crash("f", SECOND, True, 2.0)
    assert view.is_refused("f")
    view.record_complete_answer("f", 3.0)
    assert view.is_refused("f")


def test_whole_answer_releases_an_innocent():
    view = QuarantineView(SETTINGS)
    view.record_crash("f", FIRST, False, 0.0)
    view.record_complete_answer("f", 1.0)
    assert not view.is_suspect("f")
    view.record_crash("f", SECOND, False, 2.0)
    assert view.is_suspect("f")


def test_one_copy_runs_alone_over_all_instances():
    table = FaultyTable()
    entry = QuarantineEntry("f", (FIRST,))
    assert isinstance(claim_now(table, entry), IsolatedRunHeld)
    assert isinstance(claim_now(table, entry, "w2", "i2"), IsolatedRunBusy)
    assert release_now(table, entry)
    assert isinstance(claim_now(table, entry, "w2", "i2"), IsolatedRunHeld)


def test_table_tells_crashes_that_this_instance_has_not_heard_of():
    table = FaultyTable()
    claim_now(table, QuarantineEntry("f", (FIRST,)))
    release_now(table, QuarantineEntry("f", (FIRST, SECOND), refused=True))
    answer = claim_now(table, QuarantineEntry("f", (FIRST,)), "w2", "i2")
    assert isinstance(answer, IsolatedRunRefused)
    assert answer.entry.refused


def test_holder_that_dies_twice_in_a_run_ends_the_trying():
    table = FaultyTable()
    entry = QuarantineEntry("f", (FIRST,))
    claim_now(table, entry, "w1", "i1")
    assert isinstance(claim_now(table, entry, "w2", "i2", gone=("i1",)), IsolatedRunHeld)
    answer = claim_now(table, entry, "w3", "i3", gone=("i1", "i2"))
    assert isinstance(answer, IsolatedRunRefused)


def test_suspect_does_not_run_without_the_table():
    table = FaultyTable(is_down=True)
    entry = QuarantineEntry("f", (FIRST,))
    assert isinstance(claim_now(table, entry), IsolatedRunUnavailable)
    table = FaultyTable(faults=["late", "late", "late"])
    releases = IsolatedRunReleases()
    assert isinstance(claim_now(table, entry, releases=releases), IsolatedRunUnavailable)
    assert asyncio.run(release_pending(make_batcher(table), releases)) == 1
    table.apply_late()
    assert isinstance(claim_now(table, entry, "w2", "i2"), IsolatedRunHeld)


def crash_first(
    coordinator: RequestCoordinator, fingerprint: str = "f0"
) -> tuple[Dispatch, IsolatedRunNeeded]:
    sent = coordinator.open_request(make_request(0, fingerprint=fingerprint), 1.0)
    return sent, coordinator.end_attempt(end(sent, AttemptEnd.CRASHED), 2.0)


def test_suspect_runs_alone_while_others_keep_away_and_its_second_crash_is_final():
    coordinator = make_coordinator()
    sent, need = crash_first(coordinator)
    assert need == IsolatedRunNeeded("r0", "f0")
    entry = coordinator.suspects.view.find_entry("f0")
    isolated = start_alone(coordinator, "r0", IsolatedRunHeld(entry), 2.1)
    assert isolated.backend_server != sent.backend_server
    for number in range(1, 40):
        other = coordinator.open_request(make_request(number, 3.3), 3.3)
        assert isinstance(other, Refusal) or other.backend_server != isolated.backend_server
    refused = coordinator.end_attempt(end(isolated, AttemptEnd.CRASHED), 3.5)
    assert (refused.error.status, refused.error.retryable) == (422, False)
    again = coordinator.open_request(make_request(99, 4.0, fingerprint="f0"), 4.0)
    assert again.error.code == "quarantined"


def test_innocent_in_flight_at_a_crash_is_released_by_a_clean_run_alone():
    coordinator = make_coordinator()
    _, need = crash_first(coordinator)
    isolated = start_alone(
        coordinator, need.request_id, IsolatedRunHeld(QuarantineEntry("f0")), 2.1
    )
    assert coordinator.end_attempt(end(isolated, AttemptEnd.DONE), 3.5) is None
    assert isinstance(
        coordinator.open_request(make_request(5, 4.0, fingerprint="f0"), 4.0), Dispatch
    )


def test_error_of_a_faulty_server_releases_no_suspect():
    """A faulty server answers without running the request, which crashed the one before."""
    coordinator = make_coordinator()
    _, need = crash_first(coordinator)
    isolated = start_alone(
        coordinator, need.request_id, IsolatedRunHeld(QuarantineEntry("f0")), 2.1
    )
    assert coordinator.end_attempt(evolve(end(isolated, AttemptEnd.DONE), status=500), 3.5) is None
    assert coordinator.suspects.is_suspect("f0")


def test_suspect_without_an_idle_server_is_told_to_come_back_to_one():
    coordinator = make_coordinator()
    first = coordinator.open_request(make_request(0), 0.0)
    tried = [coordinator.open_request(make_request(n), 0.0) for n in range(10, 40)]
    busy = [sent for sent in tried if isinstance(sent, Dispatch)]
    need = coordinator.end_attempt(end(first, AttemptEnd.CRASHED), 2.0)
    settling = coordinator.resume_isolated(
        need.request_id, IsolatedRunHeld(QuarantineEntry("f0")), 2.1
    )
    assert coordinator.start_isolated("r0", 2.1 + IDLE_WAIT_MAX_S - 0.1) == settling
    refused = coordinator.start_isolated("r0", 2.1 + IDLE_WAIT_MAX_S)
    assert (refused.error.code, refused.error.retryable) == ("suspect_waits", True)
    (kept,) = coordinator.suspects.list_isolated_servers(7.2)
    for sent in busy:
        coordinator.end_attempt(end(sent, AttemptEnd.DONE), 8.0)
    need = coordinator.open_request(make_request(50, 9.0, fingerprint="f0"), 9.0)
    isolated = start_alone(
        coordinator, need.request_id, IsolatedRunHeld(QuarantineEntry("f0")), 9.0
    )
    assert isolated.backend_server == kept


def begin_trial(coordinator):
    """Let a request crash one server; return its pending isolated run and the chosen server."""
    _, need = crash_first(coordinator)
    settling = coordinator.resume_isolated(
        need.request_id, IsolatedRunHeld(QuarantineEntry("f0")), 2.1
    )
    return settling.backend_server


def test_suspect_starts_on_news_only_that_is_younger_than_its_mark():
    """A copy sent through another instance before the mark arrived may crash the chosen server."""
    coordinator = make_coordinator()
    name = begin_trial(coordinator)
    coordinator.apply_report(make_report(name), 2.2)
    assert isinstance(coordinator.start_isolated("r0", 2.1 + PROPAGATION_S), IsolatedRunPending)
    coordinator.apply_report(make_report(name, running=1), 3.2)
    assert isinstance(coordinator.start_isolated("r0", 3.2), IsolatedRunPending)
    coordinator.apply_report(make_report(name), 3.4)
    assert coordinator.start_isolated("r0", 3.4).backend_server == name


def test_suspect_is_not_blamed_for_a_crash_before_its_run():
    coordinator = make_coordinator()
    name = begin_trial(coordinator)
    coordinator.apply_report(make_report(name, "boot-2"), 3.2)
    refused = coordinator.start_isolated("r0", 3.3)
    assert (refused.error.code, refused.error.status) == ("suspect_waits", 503)
    assert not coordinator.suspects.is_refused("f0")
    assert not coordinator.suspects.list_isolated_servers(3.3)


def test_suspect_that_waits_is_refused_once_a_second_crash_is_told():
    coordinator = make_coordinator()
    name = begin_trial(coordinator)
    told = CrashId("b9", "boot-1")
    coordinator.suspects.view.record_crash("f0", told, False, 2.5)
    refused = coordinator.start_isolated("r0", 2.6)
    assert refused.error.status == 422
    assert name not in coordinator.suspects.list_isolated_servers(2.6)


def test_caller_that_leaves_frees_the_server_kept_for_its_suspect():
    coordinator = make_coordinator()
    begin_trial(coordinator)
    coordinator.cancel("r0", 2.5)
    assert coordinator.start_isolated("r0", 2.6) is None
    assert not coordinator.suspects.list_isolated_servers(2.6)


def test_one_suspect_at_a_time_takes_a_server_of_a_pair():
    coordinator = make_coordinator(servers=2)
    begin_trial(coordinator)
    coordinator.suspects.view.record_crash("f7", CrashId("b8", "x"), False, 3.0)
    need = coordinator.open_request(make_request(7, 3.0), 3.0)
    assert isinstance(need, IsolatedRunNeeded)
    refused = coordinator.resume_isolated("r7", IsolatedRunHeld(QuarantineEntry("f7")), 3.0)
    assert refused.error.code == "suspect_waits"


def test_late_word_of_an_old_crash_does_not_touch_what_runs_now():
    coordinator = make_coordinator(servers=1)
    coordinator.apply_report(make_report("b0", "boot-2"), 1.0)
    sent = coordinator.open_request(make_request(1, 20.0), 20.0)
    assert isinstance(sent, Dispatch)
    coordinator.report_crash("b0", "boot-1", 21.0)
    assert not coordinator.suspects.is_suspect("f1")


def test_attempt_given_up_just_before_a_crash_is_suspect_too():
    coordinator = make_coordinator()
    sent = coordinator.open_request(make_request(0), 1.0)
    coordinator.cancel("r0", 1.5)
    coordinator.report_crash(sent.backend_server, "boot-1", 2.0)
    assert coordinator.suspects.is_suspect("f0")


def test_old_news_expires_though_peers_tell_it_again():
    views = [QuarantineView(SETTINGS), QuarantineView(SETTINGS)]
    views[0].record_crash("f", FIRST, False, 0.0)
    for now in (1.0, SETTINGS.memory_s - 1.0, SETTINGS.memory_s + 1.0):
        for teller, hearer in ((0, 1), (1, 0)):
            views[hearer].merge_news(views[teller].list_news(now), now)
            views[hearer].forget_old(now)
    assert not views[0].entries and not views[1].entries


def test_server_set_aside_by_a_peer_is_free_soon_after_its_run():
    views = [QuarantineView(SETTINGS), QuarantineView(SETTINGS)]
    views[0].set_isolation("b0", "f", 100.0)
    views[1].merge_isolation_marks(views[0].list_isolation_marks(1.0), 1.0)
    assert views[1].list_isolated_servers(2.0) == {"b0"}
    assert views[1].list_isolation_marks(2.0) == ()
    views[0].clear_isolation("b0", "f")
    assert views[1].list_isolated_servers(5.0) == frozenset()


RESTART_S = 1.0
RELOAD_S = 3.0
POISON = "poison"


@define
class Fleet:
    """Simulated instances, backend servers that the poison crashes, and delayed messages."""

    randomness: random.Random
    coordinators: list[RequestCoordinator]
    table: FaultyTable
    boots: dict[str, int] = field(factory=dict)
    up_at: dict[str, float] = field(factory=dict)
    crashes: list[str] = field(factory=list)
    pending: list = field(factory=list)
    refused_innocents: int = 0
    number: int = 0

    def at(self, when, action, *arguments):
        self.number += 1
        self.pending.append((when, self.number, action, arguments))

    def run(self, until):
        while self.pending:
            self.pending.sort(key=lambda entry: entry[:2])
            when, _, action, arguments = self.pending.pop(0)
            if when > until:
                return
            action(when, *arguments)

    def send(self, now, index, fingerprint):
        self.number += 1
        request = make_request(self.number, now, fingerprint=fingerprint)
        self.decide(now, index, request, self.coordinators[index].open_request(request, now))

    def decide(self, now, index, request, decision):
        coordinator = self.coordinators[index]
        if isinstance(decision, IsolatedRunNeeded):
            entry = coordinator.suspects.view.find_entry(request.fingerprint)
            write_id = f"w{self.number}-{index}"
            holder = IsolatedRunHolder(f"i{index}", "1", write_id)
            batcher, releases = make_batcher(self.table), IsolatedRunReleases()
            call = claim_isolation(batcher, releases, entry, holder, lambda *_: False, 2)
            answer = asyncio.run(call)
            again = coordinator.resume_isolated(request.request_id, answer, now)
            self.decide(now, index, request, again)
            if isinstance(answer, IsolatedRunHeld):
                self.at(now + 1.5, self.release, index, request.fingerprint, write_id)
        elif isinstance(decision, IsolatedRunPending):
            self.at(now + 0.25, self.start_isolated, index, request, decision.backend_server)
        elif isinstance(decision, Dispatch):
            self.at(now + 0.005, self.arrive, index, request, decision)
        elif isinstance(decision, Refusal) and request.fingerprint != POISON:
            self.refused_innocents += decision.error.status == 422

    def start_isolated(self, now, index, request, name):
        if self.up_at.get(name, 0.0) <= now:
            running = sum(
                sent.backend_server == name
                for coordinator in self.coordinators
                for item in coordinator.list_open()
                for sent in item.dispatches.values()
            )
            report = make_report(name, f"boot-{self.boot(name)}", running=running)
            self.coordinators[index].apply_report(report, now)
        self.decide(
            now, index, request, self.coordinators[index].start_isolated(request.request_id, now)
        )

    def release(self, now, index, fingerprint, write_id):
        if not self.coordinators[index].may_release_isolation(fingerprint):
            self.at(now + 1.0, self.release, index, fingerprint, write_id)
            return
        entry = self.coordinators[index].suspects.view.find_entry(fingerprint)
        call = release_isolation(make_batcher(self.table), IsolatedRunReleases(), entry, write_id)
        asyncio.run(call)

    def arrive(self, now, index, request, sent):
        name = sent.backend_server
        if self.up_at.get(name, 0.0) > now:
            how = AttemptEnd.REFUSED if self.up_at[name] - RELOAD_S < now else AttemptEnd.NOT_SENT
            self.finish(now, index, request, sent, how)
        elif request.fingerprint == POISON:
            self.at(now + self.randomness.uniform(0.0, 0.3), self.crash, name, self.boot(name))
            self.at(now + 1.0, self.finish_if_alive, index, request, sent, self.boot(name))
        else:
            self.at(now + 1.0, self.finish_if_alive, index, request, sent, self.boot(name))

    def boot(self, name):
        return self.boots.get(name, 1)

    def crash(self, now, name, boot):
        if self.boot(name) != boot:
            return
        self.crashes.append(name)
        self.boots[name] = boot + 1
        self.up_at[name] = now + RESTART_S + RELOAD_S
        for index, coordinator in enumerate(self.coordinators):
            for item in coordinator.list_open():
                for sent in list(item.dispatches.values()):
                    if sent.backend_server == name:
                        delay = self.randomness.uniform(0.0, 0.05)
                        how = AttemptEnd.BROKEN
                        self.at(now + delay, self.finish, index, item.request, sent, how)
            news = now + RESTART_S + self.randomness.uniform(0.1, 2.0)
            self.at(news, self.report, index, name, ())
            self.at(self.up_at[name] + 0.5, self.report, index, name, make_report(name).resident)

    def report(self, now, index, name, resident):
        boot = f"boot-{self.boot(name)}"
        self.coordinators[index].apply_report(make_report(name, boot, resident=resident), now)

    def finish_if_alive(self, now, index, request, sent, boot):
        if self.boot(sent.backend_server) == boot:
            self.finish(now, index, request, sent, AttemptEnd.DONE)

    def finish(self, now, index, request, sent, how):
        decision = self.coordinators[index].end_attempt(end(sent, how, now), now)
        self.decide(now, index, request, decision)

    def gossip(self, now, teller, hearer):
        told, heard = (self.coordinators[index].suspects.view for index in (teller, hearer))
        heard.merge_news(told.list_news(now), now)
        heard.merge_isolation_marks(told.list_isolation_marks(now), now)


def play_poison(seed: int, instances: int = 6, with_innocents: bool = True) -> Fleet:
    randomness = random.Random(seed)
    coordinators = [make_coordinator(servers=5, name=f"i{index}") for index in range(instances)]
    fleet = Fleet(randomness, coordinators, FaultyTable())
    for _ in range(20):
        index = randomness.randrange(instances)
        fleet.at(randomness.uniform(0.0, 20.0), fleet.send, index, POISON)
    for index in range(instances):
        fleet.at(0.5, fleet.send, index, POISON)
    for number in range(60 if with_innocents else 0):
        when = randomness.uniform(0.0, 20.0)
        fleet.at(when, fleet.send, randomness.randrange(instances), f"innocent{number}")
    for second in range(30):
        for teller in range(instances):
            hearer = (teller + 1 + second % (instances - 1)) % instances
            fleet.at(second + 0.9, fleet.gossip, teller, hearer)
    fleet.run(60.0)
    return fleet


@pytest.mark.parametrize("seed", range(100))
def test_poison_sent_through_all_instances_takes_down_two_servers_at_most(seed):
    fleet = play_poison(seed)
    assert len(set(fleet.crashes)) <= 2
    assert len(fleet.crashes) <= 2
    assert fleet.refused_innocents == 0


def test_poison_takes_down_more_where_any_replica_may_be_chosen(monkeypatch):
    """Check that the pair limits the losses: without it the same runs lose more servers."""
    monkeypatch.setattr(
        "rhubarbshed.coordination.requests.coordinator.find_pair", lambda _, found: list(found)
    )
    lost = [len(set(play_poison(seed).crashes)) for seed in range(20)]
    assert max(lost) > 2


def test_few_sightings_of_one_end_are_kept_and_the_same_in_any_order():
    """A part that all requests have would fill an entry with those of a single end."""
    sightings = [Sighting(FIRST, f"{number:02d}", -1.0, 0.0) for number in range(40)]
    kept = []
    for order in (sightings, sightings[::-1]):
        view = QuarantineView(SETTINGS, is_final=False)
        for sighting in order:
            view.record_sighting("f", sighting, 0.0)
        view.record_sighting("f", Sighting(SECOND, "q", 0.5, 0.6), 1.0)
        kept.append(set(view.list_sightings("f")))
    assert kept[0] == kept[1]
    assert {sighting.crash for sighting in kept[0]} == {FIRST, SECOND}
    assert len(kept[0]) <= 8
