"""Cost of knowing the origins of streams: bytes and processor time of each step.

Usage: python -m tools.capacity_streams

No sockets except for the last figure; the processor time is the median of five runs.
"""

import asyncio
import random
import socket
import statistics
import time
import tracemalloc
from collections.abc import Callable

from rhubarbshed.coordination.serving.stream_backups import choose_first_round
from rhubarbshed.protocol.messages import (
    InstancesMessage,
    Message,
    OriginQuestion,
    OriginReply,
    OriginsMessage,
    pack_addresses,
    pack_message,
    unpack_message,
)
from rhubarbshed.protocol.streams import StreamOrigin
from rhubarbshed.state.requests.stream_origins import StreamOrigins
from rhubarbshed.transport.edge.instance_lists import ROTATION_INTERVAL_S
from rhubarbshed.transport.edge.stream_registry import StreamRegistry

DATA_CENTRES = 6
INSTANCES = 370
STREAMS_PER_S = 4_000
KEPT = 2_600
SERVICES = 24
RUNS = 5
ORIGIN = StreamOrigin("homily-models", "v1.1")
ADDRESS = ("10.0.0.1", 7000)


def time_call(call: Callable[[int], object], count: int) -> float:
    """Return the processor time of a call in microseconds."""
    times = []
    for _ in range(RUNS):
        started = time.process_time()
        for number in range(count):
            call(number)
        times.append((time.process_time() - started) / count * 1e6)
    return statistics.median(times)


def make_ids(count: int) -> list[str]:
    """Return stream ids in the platform's form."""
    rng = random.Random(1)
    return [f"{rng.getrandbits(64):016x}" for _ in range(count)]


def make_instances() -> dict[str, list[tuple[str, int]]]:
    """Return all instances by data centre."""
    each = -(-INSTANCES // DATA_CENTRES)
    return {
        f"dc-{centre}": [(f"10.{centre}.0.{number}", 7000) for number in range(each)]
        for centre in range(DATA_CENTRES)
    }


def make_messages(stream_id: str) -> dict[str, Message]:
    """Return one message of each kind."""
    versions = tuple((f"service-{number:02d}", "v1.1") for number in range(SERVICES))
    row = (stream_id, ORIGIN.service, ORIGIN.version)
    addresses = make_instances()["dc-0"]
    return {
        "told": OriginsMessage((row,)),
        "question": OriginQuestion((stream_id,)),
        f"reply, {SERVICES} versions": OriginReply((row,), (), versions),
        f"list of {len(addresses)}": InstancesMessage(
            "dc-0", 123_456, "dc-0", 7, 0, 1, *pack_addresses(addresses)
        ),
    }


def make_registry() -> StreamRegistry:
    """Return a registry that knows all instances and packs what it sends, without a socket."""
    registry = StreamRegistry("dc-0", lambda message, *addresses: pack_message(message))
    registry.learn_instances(make_instances(), True, 0.0)
    return registry


def measure_memory(ids: list[str]) -> float:
    """Return the bytes of one record that was read from a message."""
    tracemalloc.start()
    origins = StreamOrigins()
    before = tracemalloc.get_traced_memory()[0]
    for stream_id in ids:
        row = (stream_id, ORIGIN.service, ORIGIN.version)
        read = unpack_message(pack_message(OriginsMessage((row,)))).unwrap()
        origins.record(read.origins[0][0], StreamOrigin(*read.origins[0][1:]), 1.0)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / len(origins)


def measure_datagram(data: bytes) -> float:
    """Return the processor time to send and receive one datagram over loopback."""
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver,
    ):
        receiver.bind(("127.0.0.1", 0))
        target = receiver.getsockname()
        return time_call(lambda _: (sender.sendto(data, target), receiver.recvfrom(65536)), 2000)


def main() -> None:
    """Print all figures."""
    ids = make_ids(20_000)
    messages = make_messages(ids[0])
    for name, message in messages.items():
        data = pack_message(message)
        pack_us = time_call(lambda _, message=message: pack_message(message), 2000)
        unpack_us = time_call(lambda _, data=data: unpack_message(data), 2000)
        print(f"{name}: {len(data)} bytes, pack {pack_us:.1f} us, unpack {unpack_us:.1f} us")
    registry = make_registry()
    record_us = time_call(lambda number: registry.record_stream(ids[number], ORIGIN, 1.0), 1000)
    told = pack_message(messages["told"])
    told_us = time_call(
        lambda _: registry.handle_message(unpack_message(told).unwrap(), ADDRESS, 1.0), 2000
    )
    first_us = time_call(lambda number: choose_first_round(ids[number], registry.instances), 200)
    datagram_us = measure_datagram(told)
    print(f"record_stream {record_us:.0f} us, told here {told_us:.1f} us, whom to ask first")
    print(f"{first_us:.0f} us, a datagram sent and received {datagram_us:.1f} us")
    per_s = STREAMS_PER_S / INSTANCES
    share = per_s * (record_us + 3 * told_us + 3 * datagram_us) / 1e6
    print(f"{per_s:.1f} streams a second at an instance: {share:.2%} of a core, without the loop")
    print(f"told, in and out: {per_s * 3 * 2 * len(told) / 1000:.1f} KB/s of payload")
    listed = len(pack_message(list(messages.values())[-1]))
    print(f"lists: {listed / ROTATION_INTERVAL_S / 1000:.2f} KB/s of payload")
    print(f"a record: {measure_memory(ids):.0f} bytes")
    backup = make_registry()
    for stream_id in ids[:KEPT]:
        backup.origins.record(stream_id, ORIGIN, 1.0)
    started = time.process_time()
    asyncio.run(backup.hand_over(2.0))
    took_ms = (time.process_time() - started) * 1000
    print(f"hand_over of {KEPT}: {took_ms:.0f} ms, {backup.counts.told} datagrams")


if __name__ == "__main__":
    main()
