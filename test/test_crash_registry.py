"""Exchange of what instances know about requests at ended servers."""

import asyncio
import random
import time

import msgpack
import pytest
from attrs import define, evolve, field
from returns.result import Failure

from rhubarbshed.coordination.requests.crash_quarantine import (
    CLEARED_MEMORY_S,
    ENTRIES_MAX,
    MEMORY_S,
    TRIAL_RESERVED_S,
    Admission,
    list_keys,
)
from rhubarbshed.protocol.crash_messages import KEYS_PER_MESSAGE, SIGHTINGS_PER_MESSAGE
from rhubarbshed.protocol.exchanges import SHARED_PARTS_MAX, CallerRequest, ExchangeEnd
from rhubarbshed.protocol.messages import (
    FORMAT,
    BegunPartsMessage,
    CrashMessage,
    CrashQuestion,
    TrialMessage,
    pack_message,
    unpack_message,
)
from rhubarbshed.protocol.quarantine import CrashId, Sighting
from rhubarbshed.state.requests.possible_crashes import PossibleCrash
from rhubarbshed.transport.edge.crash_news import News, make_messages
from rhubarbshed.transport.edge.crash_registry import (
    CLEAR_DELAY_S,
    COLLECT_S,
    REPEAT_S,
    REPLY_MESSAGES_MAX,
    CrashRegistry,
)
from rhubarbshed.transport.edge.pools import Pool
from rhubarbshed.transport.edge.server_checks import ServerChecks
from rhubarbshed.util.fingerprints import hash_part
from test.helper_edge import play

DATAGRAM_BYTES_MAX = 1_232
"""Bytes that fit into one packet on any path."""

START_MS = 1_792_161_387_283


def make_request(body: bytes = b"x", request_id: str = "q1", *parts: str) -> CallerRequest:
    listed = tuple((name, 100) for name in (*parts, "own"))
    return CallerRequest(
        request_id, b"GET", b"/p/x", "svc.example", (), 0.0, body, parts=listed if parts else ()
    )


@define
class Group:
    """Registries that send each other messages at once, encoded as on the wire."""

    registries: dict[tuple[str, int], CrashRegistry] = field(factory=dict)
    sent: list[bytes] = field(factory=list)
    lost: float = 0.0
    rng: random.Random = field(factory=lambda: random.Random(1))

    def add(self, number: int) -> CrashRegistry:
        """Add an instance; all know all others."""
        address = (f"10.0.0.{number}", 7380)

        def send(message, *addresses):
            for target in addresses:
                self.sent.append(pack_message(message))
                if self.rng.random() >= self.lost:
                    read = unpack_message(self.sent[-1]).unwrap()
                    loop = asyncio.get_running_loop()
                    loop.call_soon(self.deliver, target, read, address)

        checks = ServerChecks(Pool(0.1))
        self.registries[address] = CrashRegistry(send, checks, random.Random(number))
        for own, registry in self.registries.items():
            others = [each for each in self.registries if each != own]
            registry.learn_instances({"a": others}, True, time.monotonic())
        return self.registries[address]

    def deliver(self, target, message, address) -> None:
        self.registries[target].handle_message(message, address, time.monotonic())


def crash(registry: CrashRegistry, request: CallerRequest, number: int, begun=False) -> None:
    """Let a request be at a server as that ends, sent after all ends before."""
    now = time.monotonic()
    incarnation = (f"r{number}", START_MS)
    mark = CrashId(f"r{number}", str(START_MS))
    sighting = Sighting(mark, request.fingerprint, now - 0.0005, now, begun)
    for key in (request.fingerprint,) if begun else list_keys(request):
        registry.quarantine.possible.add(PossibleCrash(key, mark, False, now, sighting))
    if incarnation in registry.checks.ended:
        registry.confirm_end(incarnation, now)
    registry.checks.record_ended(incarnation, "checked", now)


def is_stopped(registry: CrashRegistry, request: CallerRequest) -> bool:
    return request.fingerprint in registry.quarantine.stopped


@define
class Server:
    """Server of an attempt."""

    key: tuple[str, int] = ("r9", START_MS)


@define
class Answered:
    """Attempt with a whole response."""

    failed: bool = False
    signed: bool = True
    status: int = 200
    record: Server = field(factory=Server)
    sent_at: float = 0.0


def answer(registry: CrashRegistry, request: CallerRequest) -> None:
    """Let a request be answered."""
    registry.record_attempt(request, Answered(), ExchangeEnd.DONE, time.monotonic())


async def settle(seconds: float = COLLECT_S + 0.03) -> None:
    await asyncio.sleep(seconds)


def test_ends_seen_by_different_instances_are_one_verdict_at_all():
    async def scene():
        group = Group()
        first, second, third = (group.add(number) for number in (1, 2, 3))
        crash(first, make_request(request_id="q1"), 1)
        await settle()
        crash(second, make_request(request_id="q2"), 2)
        await settle()
        assert all(is_stopped(each, make_request()) for each in (first, second, third))
        assert not is_stopped(third, make_request(b"y"))

    play(scene)


def test_answer_clears_a_request_at_all_instances():
    async def scene():
        group = Group()
        first, second, third = (group.add(number) for number in (1, 2, 3))
        crash(first, make_request(), 1)
        await settle()
        answer(second, make_request(request_id="q2"))
        await settle(CLEAR_DELAY_S + 0.03)
        crash(third, make_request(), 2)
        await settle()
        assert not any(is_stopped(each, make_request()) for each in (first, second, third))

    play(scene)


def test_instances_that_see_a_clear_together_do_not_all_tell_it():
    async def scene():
        group = Group()
        registries = [group.add(number) for number in range(1, 31)]
        crash(registries[0], make_request(), 1)
        await settle()
        group.sent.clear()
        for registry in registries:
            answer(registry, make_request())
        await settle(CLEAR_DELAY_S + 0.02)
        # Each tells 29 others if it tells; far from all of them do.
        assert len(group.sent) <= 29 * 10

    play(scene)


def test_lost_datagrams_are_made_up_for_by_questions():
    async def scene():
        group = Group(lost=1.0)
        first, second = group.add(1), group.add(2)
        for number in (1, 2):
            crash(first, make_request(), number)
            await settle()
        await settle(REPEAT_S)
        assert is_stopped(first, make_request()) and not is_stopped(second, make_request())
        group.lost = 0.0
        second._ask(1)
        await settle()
        assert is_stopped(second, make_request())
        group.sent.clear()
        second._ask(1)
        await settle()
        assert len(group.sent) == 1, "a reply though both know the same"

    play(scene)


def test_repeated_message_covers_a_lost_one():
    async def scene():
        group = Group(lost=1.0)
        first, second = group.add(1), group.add(2)
        crash(first, make_request(), 1)
        await asyncio.sleep(0.002)
        crash(first, make_request(), 2)
        assert is_stopped(first, make_request())
        await settle()
        group.lost = 0.0
        await settle(REPEAT_S)
        assert is_stopped(second, make_request())

    play(scene)


def test_trial_at_one_instance_is_reserved_at_the_others():
    async def scene():
        group = Group()
        first, second = group.add(1), group.add(2)
        for number in (1, 2):
            crash(first, make_request(), number)
            await settle()
        key = make_request().fingerprint
        now = time.monotonic()
        for registry in (first, second):
            stopped = registry.quarantine.stopped
            stopped[key] = evolve(stopped[key], trial_at=now)
        admission = first.admit(make_request(), (), now)
        assert admission == Admission(None, frozenset((key,)))
        assert first.admit(make_request(), admission.trial_keys, now) == admission
        assert first.admit(make_request(), (), now).stopped_by is not None
        await settle()
        assert second.admit(make_request(), (), now + 0.1).stopped_by is not None
        assert second.quarantine.trials[key] == pytest.approx(now + TRIAL_RESERVED_S, abs=0.5)

    play(scene)


def test_check_that_finds_the_server_alive_drops_the_suspicion():
    async def scene():
        group = Group()
        registry = group.add(1)
        now = time.monotonic()
        mark = CrashId("r1", str(START_MS))
        sighting = Sighting(mark, make_request().fingerprint, now - 1.0, now)
        possible = PossibleCrash(make_request().fingerprint, mark, False, now, sighting)
        registry.quarantine.possible.add(possible)
        registry.rule_out(("r1", START_MS), now + 0.001)
        registry.checks.record_ended(("r1", START_MS), "refused", now + 5.0)
        assert not registry.quarantine.view.entries

    play(scene)


def test_old_and_cleared_entries_are_dropped_and_all_are_bounded():
    async def scene():
        registry = Group().add(1)
        now = time.monotonic()
        crash(registry, make_request(b"open"), 1)
        crash(registry, make_request(b"cleared"), 2)
        answer(registry, make_request(b"cleared"))
        registry.quarantine.forget_old(now + CLEARED_MEMORY_S + 1.0)
        assert list(registry.quarantine.view.entries) == [make_request(b"open").fingerprint]
        registry.quarantine.forget_old(now + MEMORY_S + 1.0)
        assert not registry.quarantine.view.entries and not registry.quarantine.view.sightings
        for number in range(ENTRIES_MAX + 50):
            mark = CrashId("r3", "1")
            sighting = Sighting(mark, f"{number:032x}", now - 1.0, now + number * 1e-6)
            registry.quarantine.view.record_sighting(f"{number:032x}", sighting, now)
        view = registry.quarantine.view
        assert len(view.entries) == ENTRIES_MAX == len(view.sightings)
        sent = []
        registry.send = lambda message, *addresses: sent.append(message)
        registry.handle_message(CrashQuestion(0), ("10.0.0.9", 1), now)
        assert 0 < len(sent) <= REPLY_MESSAGES_MAX

    play(scene)


def test_messages_fit_into_a_packet():
    mark = CrashId("i-0123456789abcdef", str(START_MS))
    news = News()
    for number in range(100):
        key = f"{number:032x}"
        sighting = Sighting(mark, key, -800.0, 0.0, True, mark)
        news.sightings[key, key] = sighting
        news.cleared.add(key)
    messages = list(make_messages({mark: news}, 100.0))
    assert sum(len(each.sightings) for each in messages) == 100
    assert sum(len(each.cleared) for each in messages) == 100
    assert max(len(pack_message(each)) for each in messages) <= DATAGRAM_BYTES_MAX


KEY = bytes(16)
ROW = (KEY, KEY, 5, 3, False, "", 0)


@pytest.mark.parametrize(
    "kind, fields",
    [
        ("crash", ("r1", -1, (), ())),
        ("crash", (7, 1, (), ())),
        ("crash", ("r" * 300, 1, (), ())),
        ("crash", ("r1", 1, (ROW[:6],), ())),
        ("crash", ("r1", 1, ((b"short", *ROW[1:]),), ())),
        ("crash", ("r1", 1, ((KEY, KEY, -5, 3, False, "", 0),), ())),
        ("crash", ("r1", 1, ((KEY, KEY, 5, 3, 2, "", 0),), ())),
        ("crash", ("r1", 1, ((KEY, KEY, 5, 2**60, False, "", 0),), ())),
        ("crash", ("r1", 1, (ROW,) * (SIGHTINGS_PER_MESSAGE + 1), ())),
        ("crash", ("r1", 1, (), (KEY,) * (KEYS_PER_MESSAGE + 1))),
        ("crash", ("r1", 1, (), ("text",))),
        ("crash", ("r1", 1.5, (), ())),
        ("crash_question", (-1,)),
        ("crash_question", ("x",)),
        ("trial", ((b"x",),)),
        ("trial", (KEY,)),
        ("begun_parts", ((KEY, b""),)),
    ],
)
def test_malformed_message_is_unreadable(kind, fields):
    assert isinstance(unpack_message(msgpack.packb((FORMAT, kind, *fields))), Failure)


@pytest.mark.parametrize(
    "message",
    [
        CrashMessage("r1", 1, (ROW,), (KEY,)),
        CrashQuestion(7),
        TrialMessage((KEY,)),
        BegunPartsMessage((KEY,)),
    ],
)
def test_message_is_read_as_it_was_sent(message):
    assert unpack_message(pack_message(message)).unwrap() == message


def test_attempt_with_a_whole_response_is_no_suspicion_and_shows_that_its_server_lives():
    async def scene():
        registry = Group().add(1)
        crash(registry, make_request(), 1)
        broken = CrashId("r2", str(START_MS))
        key, now = make_request(b"y").fingerprint, time.monotonic()
        sighting = Sighting(broken, key, now - 1.0, now)
        registry.quarantine.possible.add(PossibleCrash(key, broken, False, now, sighting))

        failure = Answered(True, status=500, record=Server(("r2", START_MS)), sent_at=now + 0.1)
        registry.record_attempt(make_request(), failure, ExchangeEnd.BROKEN, now + 0.2)
        # An error shows that the server lives, but not that it ran the request.
        assert registry.quarantine.view.find_entry(make_request().fingerprint).open_crashes
        success = evolve(failure, status=200)
        registry.record_attempt(make_request(), success, ExchangeEnd.DONE, now + 0.3)
        assert not registry.quarantine.view.find_entry(make_request().fingerprint).open_crashes
        # What broke off there before is no end of that server.
        registry.checks.record_ended(("r2", START_MS), "refused", now + 5.0)
        assert key not in registry.quarantine.view.entries

    play(scene)


def list_stopped(registry: CrashRegistry, *names: str) -> set[str]:
    """Return which of the parts are stopped."""
    return {name for name in names if hash_part(name) in registry.quarantine.stopped}


def test_sound_streams_at_the_ends_that_a_part_brought_about_are_not_stopped():
    """They had begun at three servers, or waited at two, and were stopped with the part."""

    async def scene():
        registry = Group().add(1)
        begun, waiting = make_request(b"begun"), make_request(b"waiting")
        for number in range(3):
            crash(registry, begun, number, begun=True)
            crash(registry, waiting, number)
            crash(registry, make_request(b"%d" % number, "q", "dead"), number)
            await settle()
        assert list_stopped(registry, "dead") == {"dead"}
        assert not is_stopped(registry, begun) and not is_stopped(registry, waiting)
        # Once the part is found to be sound, the ends count against the one that waited.
        registry.record_begun(make_request(b"other", "q", "dead"), time.monotonic())
        assert is_stopped(registry, waiting) and not is_stopped(registry, begun)

    play(scene)


def test_sound_streams_at_the_ends_that_a_request_brought_about_are_not_stopped():
    async def scene():
        registry = Group().add(1)
        begun, deadly = make_request(b"begun"), make_request(b"deadly")
        for number in range(3):
            crash(registry, begun, number, begun=True)
            crash(registry, deadly, number)
            await settle()
        assert is_stopped(registry, deadly) and not is_stopped(registry, begun)

    play(scene)


def test_part_that_others_have_begun_on_lately_is_not_stopped_with_a_deadly_one():
    """Both were at all ends; only some instances knew that answers on one of them begin."""

    async def scene():
        group = Group()
        registries = [group.add(number) for number in range(1, 6)]
        registries[0].record_begun(make_request(b"old", "q", "f", "sound"), time.monotonic())
        await settle(0.1)
        for number in range(2):
            request = make_request(b"%d" % number, "q", "f", "sound", "dead")
            crash(registries[1 + number], request, number)
            await settle()
        await settle(CLEAR_DELAY_S + 0.05)
        for registry in registries:
            assert list_stopped(registry, "f", "sound", "dead") == {"dead"}

    play(scene)


def test_trial_is_left_to_requests_under_a_single_verdict():
    async def scene():
        registry = Group().add(1)
        for number in range(2):
            crash(registry, make_request(b"%d" % number, "q", "sound", "dead"), number)
            await settle()
        due_at = registry.quarantine.stopped[hash_part("dead")].trial_at + 0.01
        both = make_request(b"new", "q", "sound", "dead")
        assert registry.admit(both, (), due_at).stopped_by is not None
        single = make_request(b"new", "q", "sound")
        trial_keys = frozenset((hash_part("sound"),))
        assert registry.admit(single, (), due_at) == Admission(None, trial_keys)
        registry.record_begun(single, due_at)
        assert list_stopped(registry, "sound", "dead") == {"dead"}

    play(scene)


def test_only_some_parts_of_a_request_with_thousands_count():
    async def scene():
        registry = Group().add(1)
        crash(registry, make_request(b"x", "q", *map(str, range(10_000))), 1)
        assert len(registry.quarantine.view.entries) <= SHARED_PARTS_MAX + 1

    play(scene)


def test_many_entries_of_one_end_do_not_push_out_a_verdict():
    async def scene():
        registry = Group().add(1)
        for number in range(2):
            crash(registry, make_request(b"%d" % number, "q", "dead"), number)
            await settle()
        for number in range(ENTRIES_MAX // SHARED_PARTS_MAX + 2):
            names = (f"{number}.{each}" for each in range(SHARED_PARTS_MAX))
            crash(registry, make_request(b"n%d" % number, "q", *names), 100 + number)
        registry.quarantine.forget_old(time.monotonic())
        assert len(registry.quarantine.view.entries) <= ENTRIES_MAX
        assert list_stopped(registry, "dead") == {"dead"}

    play(scene)


def test_reply_begins_with_what_verdicts_rest_on():
    """An instance that started among many ends learnt of most, but of no verdict."""

    async def scene():
        group = Group()
        registry = group.add(1)
        for number in range(2):
            crash(registry, make_request(b"%d" % number, "q", "dead"), number)
            await settle(0.02)
        for number in range(3 * REPLY_MESSAGES_MAX):
            crash(registry, make_request(b"n%d" % number, "q", f"p{number}"), 100 + number)
        newcomer = group.add(2)
        await settle(0.1)
        assert list_stopped(newcomer, "dead") == {"dead"}

    play(scene)
