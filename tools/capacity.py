"""Measure the slopes of the control traffic between instances, and what they make at full size.

Run `python -m tools.capacity`. Frames are made, encoded, decoded and taken in by the product's
code in memory; sockets are measured apart, over loopback, with the process's CPU time.
"""

import asyncio
import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable

from attrs import frozen

from rhubarbshed.coordination.membership.dissemination import (
    choose_heartbeat_interval,
    choose_topology,
)
from rhubarbshed.coordination.membership.membership import list_backend_servers
from rhubarbshed.protocol.events import Stamp
from rhubarbshed.protocol.members import (
    BackendKind,
    BackendServerInfo,
    InstanceInfo,
    ListedBackendServer,
    ListedInstance,
    PlatformList,
)
from rhubarbshed.protocol.orders import CacheEvent, EngineReport, Resident
from rhubarbshed.protocol.peers import Envelope, Frame, Heartbeat, unpack_envelope
from rhubarbshed.state.membership.digests import (
    DETAIL_INTERVAL_S,
    LoadInbox,
    LoadOutbox,
    choose_remote_interval,
)
from rhubarbshed.state.membership.membership import Membership
from rhubarbshed.transport.frames import LENGTH_BYTES, frame_bytes
from rhubarbshed.util.settings import Settings

SIZES = (10, 20, 40, 80)
INSTANCES = 370
DATA_CENTRES = 6
REPLICAS = 600
MODELS = 860
INSTANCES_HERE = 62
REPLICAS_HERE = 100
REMOTE_INTERVAL_S = choose_remote_interval(INSTANCES_HERE - 1)
CORE_PART_MAX = 0.014
BYTES_PER_S_MAX = 21_000
PACKET_BYTES = 52
"""IP and TCP headers with time stamps on one packet; an acknowledgement costs as much."""
HEARTBEATS_TOLD = 0.5
"""Part of the beats to mesh peers in which a crowd sends the heartbeat too."""
RUNS = 5
US_PER_S = 1e6


@frozen
class Slope:
    """Hold a line fitted to measured points: cost of each further item, and the fixed part."""

    per_item: float
    fixed: float


def fit(points: dict[int, float]) -> Slope:
    """Fit a line to points by least squares."""
    line = statistics.linear_regression(list(points), list(points.values()))
    return Slope(line.slope, line.intercept)


def measure_us(work: Callable[[], object], repeats: int) -> float:
    """Return the CPU time of one call in microseconds: the median of several runs."""
    times = []
    for _ in range(RUNS):
        began = time.process_time()
        for _ in range(repeats):
            work()
        times.append((time.process_time() - began) / repeats * US_PER_S)
    return statistics.median(times)


def make_report(number: int) -> EngineReport:
    """Make a report of a busy engine that holds its share of the models."""
    count = round(MODELS / REPLICAS_HERE)
    resident = tuple(
        Resident(f"model-{number + 97 * share}", "v12", 9_000_000_000 + share)
        for share in range(count)
    )
    events = tuple(CacheEvent(5000 + share, True, "0123456789abcdef") for share in range(2))
    return EngineReport(
        f"server-{number}",
        0.35,
        23,
        4,
        9000,
        70_000_000_000,
        80_000_000_000,
        12,
        640.0,
        8100.0,
        48,
        resident=resident,
        cache_events=events,
        boot_id="b-01234567",
    )


def make_reports(count: int) -> tuple[tuple[EngineReport, float], ...]:
    """Make reports with the time that they were received at."""
    return tuple((make_report(number), 0.0) for number in range(count))


def make_list(instances: int, servers: int) -> PlatformList:
    """Make a platform list spread evenly over the data centres."""
    infos = (
        InstanceInfo(f"i-{n}", f"dc-{n % DATA_CENTRES}", "r-1", "10.0.0.1", 1, 2, 3, f"x{n}")
        for n in range(instances)
    )
    backends = (
        BackendServerInfo(
            f"server-{n}", BackendKind.ENGINE, f"dc-{n % DATA_CENTRES}", "r-1", "10.0.0.2", 9
        )
        for n in range(servers)
    )
    return PlatformList(
        tuple(ListedInstance(info) for info in infos),
        tuple(ListedBackendServer(info) for info in backends),
    )


def make_membership(instances: int, servers: int) -> Membership:
    """Make a membership view of this size."""
    settings = Settings.from_text("[instance]\nname = i-0\ndata_centre = dc-0").unwrap()
    membership = Membership.from_settings(settings, "x0", 0.0)
    membership.apply_list(make_list(instances, servers), 0.0)
    return membership


def encode(frame: Frame) -> bytes:
    """Encode a frame as it is sent."""
    return frame_bytes(Envelope(frame, Stamp(1_780_000_000_000, 17)))


def decode(data: bytes) -> Frame:
    """Decode a frame as it is received."""
    return unpack_envelope(data[LENGTH_BYTES:], "i-1").unwrap().frame


def encode_beat() -> bytes:
    """Encode a heartbeat of a site that has run for long."""
    return encode(Heartbeat(100_000, 5000))


@frozen
class DigestCosts:
    """Hold the costs of digests as slopes over their entries."""

    bytes_bare: Slope
    bytes_full: Slope
    make_us: Slope
    encode_us: Slope
    decode_us: Slope
    expand_us: Slope


def measure_digests() -> DigestCosts:
    """Measure digests of growing size; bare ones lack the details that seldom change."""
    points: list[dict[int, float]] = [{} for _ in range(6)]
    for size in SIZES:
        reports = make_reports(size)
        outbox, inbox = LoadOutbox(), LoadInbox()
        full = outbox.make_digest(reports, 0.0, INSTANCES_HERE)
        bare = outbox.make_digest(reports, 1.0, INSTANCES_HERE)
        inbox.expand(full, 0.0)
        data = encode(bare)
        repeats = 2000 // size
        values = (
            len(data),
            len(encode(full)),
            measure_us(lambda o=outbox, r=reports: o.make_digest(r, 1.0, INSTANCES_HERE), repeats),
            measure_us(lambda b=bare: encode(b), repeats),
            measure_us(lambda d=data: decode(d), repeats),
            measure_us(lambda i=inbox, b=bare: i.expand(b, 1.0), repeats),
        )
        for point, value in zip(points, values, strict=True):
            point[size] = value
    return DigestCosts(*(fit(point) for point in points))


def measure_memory(make: Callable[[int], object]) -> Slope:
    """Measure the memory of objects of growing number, in bytes."""
    points = {}
    for size in SIZES:
        gc.collect()
        tracemalloc.start()
        held = make(size)
        gc.collect()
        points[size] = float(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del held
    return fit(points)


def make_inbox(count: int) -> tuple[LoadInbox, tuple[EngineReport, ...]]:
    """Make an inbox as it is after so many engines were heard over the wire."""
    inbox = LoadInbox()
    digest = decode(encode(LoadOutbox().make_digest(make_reports(count), 0.0)))
    return inbox, inbox.expand(digest, 0.0)


async def measure_socket_us(count: int) -> float:
    """Measure the CPU of one write and read of 200 bytes over loopback, both ends together."""
    received = asyncio.Event()

    async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for _ in range(count):
            await reader.readexactly(4)
            await reader.readexactly(196)
        received.set()
        writer.close()

    server = await asyncio.start_server(take, "127.0.0.1", 0)
    _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    began = time.process_time()
    for _ in range(count):
        writer.write(bytes(200))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    await received.wait()
    spent = time.process_time() - began
    writer.close()
    server.close()
    return spent / count * US_PER_S


@frozen
class View:
    """Hold what the membership view costs: a choice of peers, and a list of servers."""

    topology_us: Slope
    servers_us: Slope
    instance_bytes: Slope
    server_bytes: Slope


def measure_view() -> View:
    """Measure the membership view at growing sizes."""
    topology, servers = {}, {}
    for size in SIZES:
        membership = make_membership(size, size)
        topology[size] = measure_us(lambda m=membership: choose_topology(m, 2, 1.0), 100)
        servers[size] = measure_us(lambda m=membership: list_backend_servers(m, 1.0), 100)
    return View(
        fit(topology),
        fit(servers),
        measure_memory(lambda size: make_membership(size, 0)),
        measure_memory(lambda size: make_membership(0, size)),
    )


@frozen
class Load:
    """Hold what one instance sends and receives each second."""

    messages: float
    sent_bytes: float
    received_bytes: float
    cpu_us: float

    def describe(self) -> str:
        """Return the load as one line; each write and each read is a packet and its ACK."""
        total = self.sent_bytes + self.received_bytes
        packets = total + self.messages * PACKET_BYTES * 2
        return (
            f"{self.messages:.0f} writes and reads/s, sent {self.sent_bytes / 1000:.1f} KB/s, "
            f"received {self.received_bytes / 1000:.1f} KB/s, together {total / 1000:.1f} "
            f"({packets / 1000:.1f} with packet headers), CPU {self.cpu_us / 1e4:.2f}% of a core"
        )


def _sum_bytes(digests: DigestCosts, entries: float, rounds_s: float) -> float:
    """Return the bytes of digest entries each second, details included."""
    details = (digests.bytes_full.per_item - digests.bytes_bare.per_item) / DETAIL_INTERVAL_S
    return entries / rounds_s * digests.bytes_bare.per_item + entries * details


def choose_interval() -> float:
    """Return the time between beats at full size with the shipped settings."""
    settings = Settings.from_file(None).unwrap().peers
    topology = choose_topology(make_membership(INSTANCES, 0), 2, 1.0)
    return choose_heartbeat_interval(topology, settings.heartbeat_s, settings.silence_s)


def measure_own_digest(digests: DigestCosts) -> float:
    """Return the bytes of a digest of the servers that one instance reads on average."""
    outbox = LoadOutbox()
    reports = tuple((make_report(number), 0.0) for number in (101, 102))
    outbox.make_digest(reports, 0.0, INSTANCES_HERE)
    one = len(encode(outbox.make_digest(reports[:1], 1.0, INSTANCES_HERE)))
    return one + (REPLICAS_HERE / INSTANCES_HERE - 1) * digests.bytes_bare.per_item


def work_out_mesh(digests: DigestCosts, socket_us: float, bridges_in: float) -> Load:
    """Work out full mesh and bridges; `bridges_in` counts bridges from other data centres.

    What is passed on from bridges goes out with the next beat, so it costs no packets.
    """
    interval_s = choose_interval()
    peers = INSTANCES_HERE - 1
    beat = len(encode_beat())
    owned = REPLICAS_HERE / INSTANCES_HERE
    remote = REPLICAS - REPLICAS_HERE
    bridges = DATA_CENTRES - 1
    details = _sum_bytes(digests, owned, float("inf"))
    own = measure_own_digest(digests) / interval_s + details
    over_bridge = _sum_bytes(digests, owned, REMOTE_INTERVAL_S)
    beats = (peers * HEARTBEATS_TOLD + bridges + bridges_in) / interval_s
    sent = beats * beat + peers * own
    sent += bridges * over_bridge + peers * bridges_in * over_bridge
    received = beats * beat + peers * own
    received += _sum_bytes(digests, remote, REMOTE_INTERVAL_S) + bridges_in * over_bridge
    messages = 2 * (peers + bridges + bridges_in) / interval_s
    entries = REPLICAS_HERE / interval_s + remote / REMOTE_INTERVAL_S
    small = encode(LoadOutbox().make_digest(make_reports(1), 0.0, INSTANCES_HERE))
    heads = peers / interval_s * measure_us(lambda: decode(small), 500)
    cpu = messages * socket_us / 2 + heads + beats * measure_us(lambda: decode(encode_beat()), 500)
    cpu += entries * (digests.decode_us.per_item + digests.expand_us.per_item)
    return Load(messages, sent, received, cpu)


def work_out_hub(digests: DigestCosts, socket_us: float, delegates: int) -> Load:
    """Work out a delegate that gathers all digests of its data centre and passes them on."""
    peers = INSTANCES_HERE - 1
    beat = len(encode_beat())
    gathered = _sum_bytes(digests, REPLICAS_HERE, 1.0)
    remote = _sum_bytes(digests, REPLICAS - REPLICAS_HERE, REMOTE_INTERVAL_S)
    served = peers / delegates
    sent = peers * beat + served * (gathered + remote)
    received = peers * beat + gathered + remote
    messages = 2 * peers
    cpu = messages * socket_us / 2 + 100 * digests.decode_us.per_item
    return Load(messages, sent, received, cpu)


def find_most_bridges_in() -> int:
    """Return the most bridges that any instance of one data centre is the partner of."""
    counts: dict[str, int] = {}
    membership = make_membership(INSTANCES, 0)
    for name in tuple(membership.instances):
        membership.name = name
        for partner in choose_topology(membership, 2, 1.0).bridges:
            counts[partner.name] = counts.get(partner.name, 0) + 1
    return max(counts.values())


def print_slopes(digests: DigestCosts, view: View, socket_us: float) -> None:
    """Print what was measured."""
    rows = {
        "digest, bytes of an entry without detail": digests.bytes_bare,
        "digest, bytes of an entry with detail": digests.bytes_full,
        "digest, us to make": digests.make_us,
        "digest, us to encode": digests.encode_us,
        "digest, us to decode": digests.decode_us,
        "digest, us to expand": digests.expand_us,
        "view, us to choose peers, by instances": view.topology_us,
        "view, us to list servers, by servers": view.servers_us,
        "view, bytes of memory by instances": view.instance_bytes,
        "view, bytes of memory by servers": view.server_bytes,
        "inbox, bytes of memory by servers": measure_memory(make_inbox),
    }
    for name, slope in rows.items():
        print(f"{name}: {slope.per_item:.1f} each, {slope.fixed:.1f} fixed")
    beat = len(encode_beat())
    print(f"heartbeat: {beat} bytes; socket write and read together: {socket_us:.1f} us")


def main() -> None:
    """Measure and print."""
    digests = measure_digests()
    view = measure_view()
    socket_us = asyncio.run(measure_socket_us(5000))
    print_slopes(digests, view, socket_us)
    most = find_most_bridges_in()
    mean = DATA_CENTRES - 1
    print(f"bridges into one instance: {mean} on average, at most {most}")
    print(f"mesh, average instance: {work_out_mesh(digests, socket_us, mean).describe()}")
    print(f"mesh, busiest instance: {work_out_mesh(digests, socket_us, most).describe()}")
    for delegates in (1, 2, 4):
        load = work_out_hub(digests, socket_us, delegates)
        print(f"hub, one of {delegates} delegates: {load.describe()}")
    steps = view.topology_us.per_item * INSTANCES + view.topology_us.fixed
    print(f"choosing peers once a second: {steps / 1e4:.2f}% of a core")
    print(f"limits: {BYTES_PER_S_MAX / 1000:.0f} KB/s, {CORE_PART_MAX * 100:.1f}% of a core")


if __name__ == "__main__":
    main()
