"""Lists of instances sent by order holders: when, to whom, and how much."""

from attrs import define, field

from rhubarbshed.protocol.messages import (
    InstancesMessage,
    InstancesQuestion,
    list_addresses,
    pack_addresses,
    pack_message,
)
from rhubarbshed.transport.edge.instance_lists import (
    CHECK_INTERVAL_S,
    FIRST_LIST_DELAY_S,
    REQUEST_PAUSE_MAX_S,
    TAKEOVER_S,
    InstanceLists,
)

OWN, HOLDER_B = ("10.0.0.1", 1), ("10.0.1.1", 1)
INSTANCES = [(f"10.0.0.{number}", 1) for number in range(2, 63)]
HEADER_BYTES = 28
CONTROL_BYTES_PER_S = 21_000


@define
class Sides:
    """One side of the exchange, with what it sent and learned."""

    holds: bool = True
    heard: dict = field(factory=dict)
    holders: dict = field(factory=lambda: {"a": OWN, "b": HOLDER_B})
    sent: list = field(factory=list)
    learned: list = field(factory=list)
    lists: InstanceLists = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.lists = InstanceLists(
            "a",
            OWN,
            lambda message, *addresses: self.sent.extend((message, each) for each in addresses),
            lambda: self.holds,
            lambda: 7,
            self.heard,
            lambda: self.holders,
            lambda instances, is_listed, now: self.learned.append((instances, is_listed)),
        )

    def run(self, start: float, end: float) -> None:
        """Check regularly from one time to another."""
        for step in range(int((end - start) / CHECK_INTERVAL_S)):
            self.lists.check(start + step * CHECK_INTERVAL_S)


def list_message(*addresses, sender="b", listed="b", token=1, number=1):
    return InstancesMessage(sender, token, listed, number, 0, 1, *pack_addresses(addresses))


def test_new_holder_without_a_list_collects_first():
    side = Sides()
    side.heard[INSTANCES[0]] = 10.0
    side.run(10.0, 10.0 + FIRST_LIST_DELAY_S)
    assert not [message for message, _ in side.sent if message.listed == "a"]
    side.run(10.0 + FIRST_LIST_DELAY_S, 11.5)
    listed = [message for message, to in side.sent if message.listed == "a" and to == INSTANCES[0]]
    assert set(list_addresses(listed[-1])) == {OWN, INSTANCES[0]}
    assert [message for message, to in side.sent if to == HOLDER_B]


def test_new_holder_keeps_the_list_of_the_one_before_for_a_while():
    side = Sides(holds=False)
    side.lists.handle_message(
        list_message(OWN, *INSTANCES[:3], sender="a", listed="a"), INSTANCES[0], 1.0
    )
    side.holds = True
    side.heard[INSTANCES[1]] = 2.0
    side.run(2.0, 2.0 + TAKEOVER_S)
    assert set(side.learned[-1][0]["a"]) == set(INSTANCES[:3])
    side.run(2.0 + TAKEOVER_S, 8.0)
    assert set(side.learned[-1][0]["a"]) == {INSTANCES[1]}


def test_lists_of_other_data_centres_are_passed_on_and_their_change_at_once():
    side = Sides()
    side.heard.update(dict.fromkeys(INSTANCES[:2], 10.0))
    side.run(10.0, 12.0)
    side.sent.clear()
    side.lists.handle_message(list_message(HOLDER_B), HOLDER_B, 12.0)
    side.lists.check(12.1)
    passed = [(message, to) for message, to in side.sent if message.listed == "b"]
    assert {to for _, to in passed} == set(INSTANCES[:2])
    assert side.learned[-1][0]["b"] == (HOLDER_B,)


def test_holder_ignores_lists_of_its_own_data_centre_and_lists_passed_on():
    side = Sides()
    side.lists.handle_message(list_message(INSTANCES[0], sender="a", listed="a"), OWN, 1.0)
    side.lists.handle_message(list_message(INSTANCES[0], sender="b", listed="c"), OWN, 1.0)
    assert not side.lists.known.lists


def test_instance_without_a_list_knows_the_holders_and_asks_less_and_less():
    side = Sides(holds=False, holders={"a": INSTANCES[0], "b": HOLDER_B})
    side.run(1.0, 61.0)
    assert side.learned == [({"a": (INSTANCES[0],), "b": (HOLDER_B,)}, False)]
    assert {(type(message), to) for message, to in side.sent} == {(InstancesQuestion, INSTANCES[0])}
    assert len(side.sent) <= 60.0 / REQUEST_PAUSE_MAX_S + 6
    side.holders["a"] = INSTANCES[1]
    side.lists.check(61.1)
    assert side.sent[-1][1] == INSTANCES[1]


def test_holder_replies_to_a_question_with_all_lists():
    side = Sides()
    side.run(1.0, 3.0)
    side.lists.handle_message(list_message(HOLDER_B), HOLDER_B, 3.0)
    side.sent.clear()
    side.lists.handle_message(InstancesQuestion(), INSTANCES[0], 3.1)
    assert {message.listed for message, to in side.sent if to == INSTANCES[0]} == {"a", "b"}


def test_lists_at_the_target_size_take_a_small_part_of_control():
    side = Sides(holders={name: (f"10.0.{n}.1", 1) for n, name in enumerate("abcdef")})
    side.heard.update(dict.fromkeys(INSTANCES, 0.0))
    for number, name in enumerate("bcdef", start=1):
        listed = [(f"10.0.{number}.{each}", 1) for each in range(1, 63)]
        side.lists.handle_message(list_message(*listed, sender=name, listed=name), HOLDER_B, 0.0)
    side.run(0.0, 10.0)
    side.sent.clear()
    side.run(10.0, 40.0)
    to_one = [message for message, to in side.sent if to == INSTANCES[0]]
    assert {message.listed for message in to_one} == set("abcdef")
    bytes_per_s = sum(len(pack_message(message)) + HEADER_BYTES for message in to_one) / 30.0
    assert bytes_per_s < 0.05 * CONTROL_BYTES_PER_S
