"""Messages on the origins of streams: sizes, validity, and messages of other builds."""

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from rhubarbshed.protocol.message_checks import REASON_LENGTH_MAX
from rhubarbshed.protocol.messages import (
    ADDRESSES_PER_MESSAGE,
    FORMAT,
    KINDS,
    DemandMessage,
    InstancesMessage,
    InstancesQuestion,
    OriginQuestion,
    OriginReply,
    OriginsMessage,
    UnknownMessage,
    list_addresses,
    pack_addresses,
    pack_message,
    unpack_message,
)
from rhubarbshed.transport.edge.datagrams import UNKNOWN_KINDS_MAX, Datagrams

PACKET_BYTES = 1200
STREAM_KINDS = ("origins", "origin_question", "origin_reply", "instances", "instances_question")
PLAIN = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-5, 2**40)
    | st.text(max_size=5)
    | st.binary(max_size=8),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.text(max_size=3), inner, max_size=2),
    max_leaves=12,
)


@pytest.mark.parametrize(
    "message",
    [
        OriginsMessage((("s1", "svc", "v1"), ("s2", "svc", "v2"))),
        OriginQuestion(("s1", "s2")),
        OriginsMessage((("s1", "svc", "v1"),), (7,)),
        OriginReply((("s1", "svc", "v1"),), ("s2",), (("svc", "v1"),), (7,), 60),
        InstancesMessage("a", 7, "b", 3, 0, 1, *pack_addresses([("10.0.0.1", 7000), ("::1", 1)])),
        InstancesQuestion(),
        DemandMessage("i1", "a"),
    ],
)
def test_message_is_read_as_it_was_written(message):
    assert unpack_message(pack_message(message)) == Success(message)


def test_addresses_of_both_forms_are_kept_and_names_left_out():
    addresses = [("10.0.0.1", 7000), ("::1", 65535), ("a-name", 1), ("10.0.0.2", 1)]
    message = InstancesMessage("a", 7, "b", 3, 0, 1, *pack_addresses(addresses))
    assert set(list_addresses(message)) == {addresses[0], addresses[1], addresses[3]}


def test_full_list_fits_into_a_packet():
    addresses = [(f"10.0.{number}.1", 7000) for number in range(ADDRESSES_PER_MESSAGE)]
    message = InstancesMessage("a" * 30, 2**40, "b" * 30, 2**30, 0, 64, *pack_addresses(addresses))
    assert len(pack_message(message)) <= PACKET_BYTES


@given(st.sampled_from(STREAM_KINDS), st.lists(PLAIN, max_size=9))
def test_garbled_message_is_refused_or_whole(kind, parts):
    read = unpack_message(msgpack.packb((FORMAT, kind, *parts)))
    if isinstance(read, Success):
        assert unpack_message(pack_message(read.unwrap())) == read


@pytest.mark.parametrize(
    "parts",
    [
        ("origins", ((("s", "svc"),))),
        ("origins", ((("s", "svc", 1),))),
        ("origins", tuple(("s", "svc", "v") for _ in range(17))),
        ("origin_question", ("s",) * 17),
        ("origin_question", ("s" * 201,)),
        ("origin_reply", (), (), tuple(("svc", "v") for _ in range(129))),
        ("origin_reply", tuple(("s", "svc", "v") for _ in range(33))),
        ("origin_reply", (("s", "svc", "v"),), (), (), (1, 2)),
        ("origin_reply", (("s", "svc", "v"),), (), (), (-1,)),
        ("origin_reply", (("s", "svc", "v"),), (), (), (1.0,)),
        ("origins", (("s", "svc", "v"),), (2**40,)),
        ("origin_reply", (), (), (), (), -1),
        ("origin_reply", (), (), (), (), 2**40),
        ("origin_reply", (), (), (), (), 1.5),
        ("instances", "a", 1, "a", 1, 1, 1, b""),
        ("instances", "a", 1, "a", 1, 0, 65, b""),
        ("instances", "a", 1, "a", 1, 0, 1, b"12345"),
        ("instances", "a", -1, "a", 1, 0, 1, b""),
        ("instances", "a", 1, "a", 1, 0, 1, b"", (("name.example", 80),)),
    ],
)
def test_message_of_forged_size_or_type_is_refused(parts):
    assert isinstance(unpack_message(msgpack.packb((FORMAT, *parts))), Failure)


@pytest.mark.parametrize("datagram", [("x" * 60_000, "demand"), (FORMAT, "x" * 60_000)])
def test_reason_why_a_datagram_is_unreadable_is_short(datagram):
    """It is logged for each datagram; a format of another build was quoted in full."""
    assert len(unpack_message(msgpack.packb(datagram)).failure()) <= REASON_LENGTH_MAX


def unpack_as_before(data: bytes):
    """Decode as the build before these kinds did (fc3f50e)."""
    kinds = {name: KINDS[name] for name in ("demand", "holder", "news")}
    try:
        version, kind, *parts = msgpack.unpackb(data, use_list=False)
        if version != 4:
            return Failure(f"format {version!r}")
        return Success(kinds[kind](*parts))
    except (KeyError, TypeError, ValueError, IndexError, msgpack.UnpackException) as error:
        return Failure(repr(error))


def test_build_before_reads_past_the_new_kinds_and_reads_the_others():
    for message in (OriginsMessage(()), OriginQuestion(()), OriginReply(()), InstancesQuestion()):
        assert isinstance(unpack_as_before(pack_message(message)), Failure)
    assert unpack_as_before(pack_message(DemandMessage("i1", "a"))) == Success(
        DemandMessage("i1", "a")
    )


def test_kind_of_another_build_is_counted_and_an_unreadable_message_reported(caplog):
    caplog.set_level("INFO")
    handled = []
    datagrams = Datagrams(lambda read, address: handled.append(read))
    for _ in range(3):
        datagrams.datagram_received(msgpack.packb((FORMAT, "future_kind", 1)), ("10.0.0.1", 1))
    assert datagrams.unknown_kinds == {"future_kind": 3} and not handled
    assert [each.message for each in caplog.records] == ["message_kind_unknown"]
    for data in (b"\xc1", msgpack.packb((3, "demand")), msgpack.packb((FORMAT, "\x00garbled", 1))):
        datagrams.datagram_received(data, ("10.0.0.1", 1))
    assert len(handled) == 3 and all(isinstance(read, Failure) for read in handled)


def test_forged_kinds_are_bounded():
    datagrams = Datagrams(lambda read, address: None)
    for first in "abcdefghij":
        for second in "abcdefghij":
            data = msgpack.packb((FORMAT, first + second))
            datagrams.datagram_received(data, ("10.0.0.1", 1))
    assert len(datagrams.unknown_kinds) == UNKNOWN_KINDS_MAX
    assert unpack_message(msgpack.packb((FORMAT, "aa"))) == Success(UnknownMessage("aa"))
