"""Registry of streams' origins beside instances that the test plays."""

import asyncio
import time

from attrs import define, field

from rhubarbshed.protocol.messages import (
    STREAMS_PER_MESSAGE,
    VERSIONS_PER_MESSAGE,
    Message,
    OriginQuestion,
    OriginReply,
    OriginsMessage,
)
from rhubarbshed.protocol.streams import StreamOrigin
from rhubarbshed.transport.edge.stream_registry import (
    COLLECT_S,
    FIRST_ROUND_S,
    SECOND_ROUND_S,
    UNTOLD_MAX,
    StreamRegistry,
)
from test.helper_edge import play

V1, V2 = StreamOrigin("svc", "v1"), StreamOrigin("svc", "v2")
A = [("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1)]
B = [(f"10.0.1.{number}", 1) for number in range(6)]


@define
class Network:
    """Network that keeps what was sent and lets chosen instances reply."""

    origins: dict = field(factory=dict)
    silent: set = field(factory=set)
    sent: list = field(factory=list)
    registry: StreamRegistry = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.registry = StreamRegistry("a", self.send)
        self.registry.learn_instances({"a": A, "b": B}, True, 0.0)

    def send(self, message: Message, *addresses: tuple[str, int]) -> None:
        for address in addresses:
            self.sent.append((message, address))
            if isinstance(message, OriginQuestion) and address not in self.silent:
                asyncio.get_running_loop().call_soon(self.reply, message, address)

    def reply(self, question: OriginQuestion, address: tuple[str, int]) -> None:
        known = self.origins.get(address, {})
        rows = tuple((each, *known[each]) for each in question.streams if each in known)
        unknown = tuple(each for each in question.streams if each not in known)
        self.registry.handle_message(OriginReply(rows, unknown), address, time.monotonic())

    def list_sent(self, kind: type) -> list:
        return [message for message, _ in self.sent if isinstance(message, kind)]


async def find(network: Network, stream_id: str):
    started = time.monotonic()
    lookup = await network.registry.find_stream(stream_id, started)
    return lookup, time.monotonic() - started


def test_stream_is_told_at_once_to_three_and_found_in_the_own_memory():
    async def scene():
        network = Network()
        network.registry.record_stream("s", V1, 1.0)
        assert network.list_sent(OriginsMessage) == [OriginsMessage((("s", "svc", "v1"),))] * 3
        lookup = await network.registry.find_stream("s", 2.0)
        assert lookup.origin == V1 and lookup.asked == 0
        assert network.registry.counts.told == 3 and network.registry.counts.lookups["own"] == 1

    play(scene)


def test_what_was_asked_is_recorded():
    async def scene():
        network = Network({A[0]: {"s": ("svc", "v1")}})
        lookup, took_s = await find(network, "s")
        assert lookup.origin == V1 and (lookup.asked, lookup.replied) == (6, 6)
        assert took_s < FIRST_ROUND_S
        network.sent.clear()
        lookup, _ = await find(network, "s")
        assert lookup.origin == V1 and not network.sent

    play(scene)


def test_stream_that_only_an_unlikely_instance_knows_is_found_in_the_second_round():
    async def scene():
        network = Network()
        await find(network, "probe")
        asked_first = {address for _, address in network.sent[:6]}
        last = next(address for address in B if address not in asked_first)
        network.origins[last] = {"probe": ("svc", "v2")}
        lookup, took_s = await find(network, "probe")
        assert lookup.origin == V2 and lookup.replied == 9 and took_s < FIRST_ROUND_S

    play(scene)


def test_searches_at_the_same_time_share_datagrams():
    async def scene():
        network = Network()
        ids = [f"s{number}" for number in range(40)]
        await asyncio.gather(
            *(network.registry.find_stream(each, time.monotonic()) for each in ids)
        )
        questions = network.list_sent(OriginQuestion)
        assert max(len(question.streams) for question in questions) == STREAMS_PER_MESSAGE
        assert len(questions) < 9 * 8

    play(scene)


def test_searches_for_the_same_stream_both_end():
    async def scene():
        network = Network({B[0]: {"s": ("svc", "v1")}})
        lookups = await asyncio.gather(*(find(network, "s") for _ in range(3)))
        assert [lookup.origin for lookup, _ in lookups] == [V1] * 3
        assert not network.registry._searches

    play(scene)


def test_search_that_is_cancelled_leaves_nothing():
    async def scene():
        network = Network(silent={*A, *B})
        task = asyncio.create_task(network.registry.find_stream("s", time.monotonic()))
        await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert not network.registry._searches

    play(scene)


def test_lost_data_centre_costs_one_slow_search():
    async def scene():
        known = {f"s{number}": ("svc", "v1") for number in range(20)}
        network = Network({A[0]: known}, silent=set(B))
        lookup, took_s = await find(network, "s0")
        assert lookup.origin == V1
        assert FIRST_ROUND_S + SECOND_ROUND_S <= took_s < FIRST_ROUND_S + SECOND_ROUND_S + 0.1
        assert network.registry.silent == set(B)
        for number in range(1, 20):
            lookup, took_s = await find(network, f"s{number}")
            assert lookup.origin == V1 and took_s < FIRST_ROUND_S

    play(scene)


def test_contradiction_that_comes_only_when_asked_again_counts():
    async def scene():
        network = Network({A[0]: {"s": ("svc", "v1")}, A[1]: {"s": ("svc", "v2")}}, silent={A[1]})
        asyncio.get_running_loop().call_later(FIRST_ROUND_S / 2, network.silent.clear)
        lookup, _ = await find(network, "s")
        assert lookup.origin is None
        assert network.registry.counts.lookups["disagree"] == 1

    play(scene)


def test_id_that_two_streams_bear_is_unknown_here_at_others_and_where_it_is_handed_over():
    async def scene():
        backup, asking, next_backup = Network(), Network(), Network()
        backup.registry.record_stream("s", V1, time.monotonic())
        told = OriginsMessage((("s", "svc", "v2"),))
        backup.registry.handle_message(told, A[0], time.monotonic())
        lookup, _ = await find(backup, "s")
        assert lookup.origin is None and lookup.versions == {("svc", "v1"), ("svc", "v2")}
        assert backup.registry.counts.lookups["disagree"] == 1
        backup.registry.handle_message(OriginQuestion(("s",)), A[0], time.monotonic())
        (reply,) = backup.list_sent(OriginReply)
        asking.silent = {*A, *B}
        search = asyncio.create_task(asking.registry.find_stream("s", time.monotonic()))
        await asyncio.sleep(2 * COLLECT_S)
        asking.registry.handle_message(reply, A[1], time.monotonic())
        lookup = await search
        assert lookup.origin is None and lookup.versions == {("svc", "v1"), ("svc", "v2")}
        backup.sent.clear()
        await backup.registry.hand_over(time.monotonic())
        for message in backup.list_sent(OriginsMessage):
            next_backup.registry.handle_message(message, A[2], time.monotonic())
        assert (await find(next_backup, "s"))[0].origin is None

    play(scene)


def test_record_that_is_asked_for_or_handed_over_again_and_again_ends_with_its_age():
    async def scene():
        first, second = Network(), Network()
        now = time.monotonic()
        first.registry.origins.record("s", V1, now - 50.0)
        first.registry.handle_message(OriginQuestion(("s",)), A[0], now)
        (reply,) = first.list_sent(OriginReply)
        second.silent = {*A, *B}
        search = asyncio.create_task(second.registry.find_stream("s", now))
        await asyncio.sleep(2 * COLLECT_S)
        second.registry.handle_message(reply, A[1], time.monotonic())
        assert (await search).origin == V1
        await first.registry.hand_over(now)
        third = Network()
        third.registry.handle_message(first.list_sent(OriginsMessage)[0], A[1], now)
        for network in (second, third):
            assert network.registry.origins.find("s", now + 8.0) == V1
            assert network.registry.origins.find("s", now + 12.0) is None

    play(scene)


def test_origin_whose_record_ends_during_the_search_is_still_found():
    async def scene():
        network = Network(silent={*A, *B})
        search = asyncio.create_task(network.registry.find_stream("s", time.monotonic()))
        await asyncio.sleep(2 * COLLECT_S)
        reply = OriginReply((("s", "svc", "v1"),), ages=(60,))
        network.registry.handle_message(reply, A[1], time.monotonic())
        assert (await search).origin == V1
        assert network.registry.counts.lookups["told"] == 1

    play(scene)


def test_instance_that_is_told_during_a_search_counts():
    async def scene():
        network = Network()
        told = OriginsMessage((("s", "svc", "v1"),))
        asyncio.get_running_loop().call_later(
            0.001, network.registry.handle_message, told, A[0], time.monotonic()
        )
        lookup, _ = await find(network, "s")
        assert lookup.origin == V1

    play(scene)


def test_replies_that_came_while_the_loop_was_late_are_read():
    """The loop reads one datagram in a step, and the round's time ends in the first of them."""

    async def scene():
        network = Network({each: {"s": ("svc", "v1")} for each in (*A, *B)}, silent={*A, *B})
        search = asyncio.create_task(network.registry.find_stream("s", time.monotonic()))
        while not network.sent:
            await asyncio.sleep(0.001)
        unread = list(network.sent)

        def read_one() -> None:
            network.reply(*unread.pop())
            if unread:
                asyncio.get_running_loop().call_soon(read_one)

        time.sleep(FIRST_ROUND_S + 0.02)
        asyncio.get_running_loop().call_soon(read_one)
        lookup = await search
        assert lookup.origin == V1 and lookup.replied == 6
        await asyncio.sleep(5 * COLLECT_S)
        assert len(network.list_sent(OriginQuestion)) == 6

    play(scene)


def test_instance_without_others_answers_at_once_that_it_does_not_know():
    async def scene():
        network = Network()
        network.registry.learn_instances({}, False, 0.0)
        lookup, took_s = await find(network, "s")
        assert lookup.origin is None and lookup.asked == 0 and took_s < 0.02

    play(scene)


def test_untold_streams_are_bounded_and_told_once_a_list_has_come():
    sent = []
    registry = StreamRegistry("a", lambda message, *addresses: sent.append(message))
    for number in range(UNTOLD_MAX + 5):
        registry.record_stream(f"s{number}", V1, 1.0)
    assert len(registry.untold) == UNTOLD_MAX and not sent
    registry.learn_instances({"a": A[:1]}, False, 2.0)
    assert not sent
    registry.learn_instances({"a": A}, True, 3.0)
    assert len(sent) == UNTOLD_MAX and not registry.untold


def test_ids_and_versions_that_messages_cannot_carry_do_no_harm():
    async def scene():
        network = Network()
        long_id, broken_id = "x" * 5000, "\ud800"
        for stream_id in (long_id, broken_id):
            network.registry.record_stream(stream_id, V1, time.monotonic())
            assert (await find(network, stream_id))[0].origin == V1
        network.sent.clear()
        odd = StreamOrigin("svc", "\ud800")
        network.registry.record_stream("s", odd, time.monotonic())
        assert not network.sent and (await find(network, "s"))[0].origin == odd
        network.registry.handle_message(OriginQuestion(("s",)), A[0], time.monotonic())
        assert network.sent == [(OriginReply((), ("s",)), A[0])]

    play(scene)


def test_reply_is_bounded_and_keeps_services_with_several_versions():
    network = Network()
    many = [(f"svc{number}", "v1") for number in range(200)]
    network.registry.list_versions = lambda now: (*many, ("svc199", "v2"))
    network.registry.handle_message(OriginQuestion(("s",)), A[0], 1.0)
    versions = network.sent[0][0].versions
    assert len(versions) == VERSIONS_PER_MESSAGE
    assert {("svc199", "v1"), ("svc199", "v2")} <= set(versions)


def test_reply_claims_nothing_about_the_time_that_its_sender_followed():
    network = Network()
    for versions in ((("svc", "v1"),), (("svc", "\ud800"),)):
        network.sent.clear()
        network.registry.list_versions = lambda now, versions=versions: versions
        network.registry.handle_message(OriginQuestion(("s",)), A[0], 1.0)
        reply = network.sent[0][0]
        assert (reply.followed_s, reply.versions) == (0, versions if versions[0][1] == "v1" else ())


def test_handing_over_tells_instances_that_are_left():
    async def scene():
        network = Network()
        for number in range(50):
            network.registry.origins.record(f"s{number}", V1, 1.0)
        await network.registry.hand_over(2.0)
        rows = [row for message, _ in network.sent for row in message.origins]
        assert len(rows) == 150 and len(network.sent) < 30

    play(scene)
