"""Measure how control traffic between instances grows, and extrapolate it to full size.

Run `python -m tools.capacity`. The product's code builds, encodes, decodes and applies frames in
memory; the cost of sockets is measured separately over loopback, as CPU time of the process.
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
BACKEND_SERVERS = 600
MODELS = 860
INSTANCES_PER_DATA_CENTRE = 62
BACKEND_SERVERS_PER_DATA_CENTRE = 100
REMOTE_INTERVAL_S = choose_remote_interval(INSTANCES_PER_DATA_CENTRE - 1)
CORE_FRACTION_MAX = 0.014
BYTES_PER_S_MAX = 21_000
PACKET_HEADER_BYTES = 52
"""IP and TCP headers with timestamps on one packet; an acknowledgement has the same size."""
HEARTBEATS_SENT_FRACTION = 0.5
"""Fraction of intervals in which a large mesh also sends the heartbeat to its peers."""
RUNS = 5
US_PER_S = 1e6


@frozen
class Slope:
    """Line fitted to measured points: the cost of each further item, and the fixed cost."""

    per_item: float
    fixed: float


def fit_line(points: dict[int, float]) -> Slope:
    """Return the least-squares line through the points."""
    line = statistics.linear_regression(list(points), list(points.values()))
    return Slope(line.slope, line.intercept)


def measure_us(work: Callable[[], object], calls: int) -> float:
    """Return the CPU time of one call in microseconds: the median of several runs."""
    times = []
    for _ in range(RUNS):
        started_at = time.process_time()
        for _ in range(calls):
            work()
        times.append((time.process_time() - started_at) / calls * US_PER_S)
    return statistics.median(times)


def make_report(number: int) -> EngineReport:
    """Return the report of a busy engine that holds its share of the models."""
    count = round(MODELS / BACKEND_SERVERS_PER_DATA_CENTRE)
    resident = tuple(
        Resident(f"model-{number + 97 * index}", "v12", 9_000_000_000 + index)
        for index in range(count)
    )
    events = tuple(CacheEvent(5000 + index, True, "0123456789abcdef") for index in range(2))
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
    """Return reports, each with the time of its receipt."""
    return tuple((make_report(number), 0.0) for number in range(count))


def make_list(instances: int, servers: int) -> PlatformList:
    """Return a platform list with members spread evenly over the data centres."""
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
    """Return a membership view with so many instances and backend servers."""
    settings = Settings.from_text("[instance]\nname = i-0\ndata_centre = dc-0").unwrap()
    membership = Membership.from_settings(settings, "x0", 0.0)
    membership.apply_list(make_list(instances, servers), 0.0)
    return membership


def encode(frame: Frame) -> bytes:
    """Encode a frame for sending, with its length prefix."""
    return frame_bytes(Envelope(frame, Stamp(1_780_000_000_000, 17)))


def decode(data: bytes) -> Frame:
    """Decode a received frame."""
    return unpack_envelope(data[LENGTH_BYTES:], "i-1").unwrap().frame


def encode_heartbeat() -> bytes:
    """Encode a heartbeat with large counters, as a long-running instance sends it."""
    return encode(Heartbeat(100_000, 5000))


@frozen
class DigestCosts:
    """Costs of digests by their number of entries."""

    bytes_without_detail: Slope
    bytes_with_detail: Slope
    make_us: Slope
    encode_us: Slope
    decode_us: Slope
    expand_us: Slope


def measure_digests() -> DigestCosts:
    """Measure digests of growing size, with and without the details that seldom change."""
    points: list[dict[int, float]] = [{} for _ in range(6)]
    for size in SIZES:
        reports = make_reports(size)
        outbox, inbox = LoadOutbox(), LoadInbox()
        with_detail = outbox.make_digest(reports, 0.0, INSTANCES_PER_DATA_CENTRE)
        without_detail = outbox.make_digest(reports, 1.0, INSTANCES_PER_DATA_CENTRE)
        inbox.expand(with_detail, 0.0)
        data = encode(without_detail)
        calls = 2000 // size
        values = (
            len(data),
            len(encode(with_detail)),
            measure_us(
                lambda o=outbox, r=reports: o.make_digest(r, 1.0, INSTANCES_PER_DATA_CENTRE), calls
            ),
            measure_us(lambda b=without_detail: encode(b), calls),
            measure_us(lambda d=data: decode(d), calls),
            measure_us(lambda i=inbox, b=without_detail: i.expand(b, 1.0), calls),
        )
        for point, value in zip(points, values, strict=True):
            point[size] = value
    return DigestCosts(*(fit_line(point) for point in points))


def measure_memory(make: Callable[[int], object]) -> Slope:
    """Measure the memory of a growing number of objects, in bytes."""
    points = {}
    for size in SIZES:
        gc.collect()
        tracemalloc.start()
        objects = make(size)
        gc.collect()
        points[size] = float(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del objects
    return fit_line(points)


def make_inbox(count: int) -> tuple[LoadInbox, tuple[EngineReport, ...]]:
    """Return an inbox that has received load from so many engines, with their reports."""
    inbox = LoadInbox()
    digest = decode(encode(LoadOutbox().make_digest(make_reports(count), 0.0)))
    return inbox, inbox.expand(digest, 0.0)


async def measure_socket_us(count: int) -> float:
    """Measure CPU time of one 200-byte write and read over loopback, both ends together."""
    received = asyncio.Event()

    async def read_messages(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for _ in range(count):
            await reader.readexactly(4)
            await reader.readexactly(196)
        received.set()
        writer.close()

    server = await asyncio.start_server(read_messages, "127.0.0.1", 0)
    _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    started_at = time.process_time()
    for _ in range(count):
        writer.write(bytes(200))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    await received.wait()
    cpu_s = time.process_time() - started_at
    writer.close()
    server.close()
    return cpu_s / count * US_PER_S


@frozen
class ViewCosts:
    """Costs of the membership view: choosing peers, listing servers, and memory."""

    topology_us: Slope
    servers_us: Slope
    instance_bytes: Slope
    server_bytes: Slope


def measure_view() -> ViewCosts:
    """Measure the membership view at growing sizes."""
    topology, servers = {}, {}
    for size in SIZES:
        membership = make_membership(size, size)
        topology[size] = measure_us(lambda m=membership: choose_topology(m, 2, 1.0), 100)
        servers[size] = measure_us(lambda m=membership: list_backend_servers(m, 1.0), 100)
    return ViewCosts(
        fit_line(topology),
        fit_line(servers),
        measure_memory(lambda size: make_membership(size, 0)),
        measure_memory(lambda size: make_membership(0, size)),
    )


@frozen
class TrafficLoad:
    """Control traffic of one instance per second, and its CPU time."""

    messages: float
    sent_bytes: float
    received_bytes: float
    cpu_us: float

    def describe(self) -> str:
        """Return one line of text; each write and each read counts as a packet and its ACK."""
        total = self.sent_bytes + self.received_bytes
        packets = total + self.messages * PACKET_HEADER_BYTES * 2
        return (
            f"{self.messages:.0f} writes and reads/s, sent {self.sent_bytes / 1000:.1f} KB/s, "
            f"received {self.received_bytes / 1000:.1f} KB/s, together {total / 1000:.1f} "
            f"({packets / 1000:.1f} with packet headers), CPU {self.cpu_us / 1e4:.2f}% of a core"
        )


def _sum_digest_bytes(digests: DigestCosts, entries: float, interval_s: float) -> float:
    """Return the bytes per second of digest entries, including details."""
    details = (
        digests.bytes_with_detail.per_item - digests.bytes_without_detail.per_item
    ) / DETAIL_INTERVAL_S
    return entries / interval_s * digests.bytes_without_detail.per_item + entries * details


def compute_heartbeat_interval() -> float:
    """Return the heartbeat interval at full size with the default settings."""
    settings = Settings.from_file(None).unwrap().peers
    topology = choose_topology(make_membership(INSTANCES, 0), 2, 1.0)
    return choose_heartbeat_interval(topology, settings.heartbeat_s, settings.silence_s)


def measure_own_digest_bytes(digests: DigestCosts) -> float:
    """Return the size of a digest for the servers that one instance polls on average."""
    outbox = LoadOutbox()
    reports = tuple((make_report(number), 0.0) for number in (101, 102))
    outbox.make_digest(reports, 0.0, INSTANCES_PER_DATA_CENTRE)
    one = len(encode(outbox.make_digest(reports[:1], 1.0, INSTANCES_PER_DATA_CENTRE)))
    return (
        one
        + (BACKEND_SERVERS_PER_DATA_CENTRE / INSTANCES_PER_DATA_CENTRE - 1)
        * digests.bytes_without_detail.per_item
    )


def compute_mesh_load(
    digests: DigestCosts, socket_us: float, inbound_bridges: float
) -> TrafficLoad:
    """Compute the load of a full mesh with bridges between data centres.

    `inbound_bridges` counts bridges from other data centres. Digests forwarded from bridges go out
    with the next heartbeat, so they cost no extra packets.
    """
    interval_s = compute_heartbeat_interval()
    peers = INSTANCES_PER_DATA_CENTRE - 1
    heartbeat_bytes = len(encode_heartbeat())
    owned_servers = BACKEND_SERVERS_PER_DATA_CENTRE / INSTANCES_PER_DATA_CENTRE
    remote = BACKEND_SERVERS - BACKEND_SERVERS_PER_DATA_CENTRE
    bridges = DATA_CENTRES - 1
    details = _sum_digest_bytes(digests, owned_servers, float("inf"))
    own_bytes_per_s = measure_own_digest_bytes(digests) / interval_s + details
    bridge_bytes_per_s = _sum_digest_bytes(digests, owned_servers, REMOTE_INTERVAL_S)
    heartbeats_per_s = (peers * HEARTBEATS_SENT_FRACTION + bridges + inbound_bridges) / interval_s
    sent = heartbeats_per_s * heartbeat_bytes + peers * own_bytes_per_s
    sent += bridges * bridge_bytes_per_s + peers * inbound_bridges * bridge_bytes_per_s
    received = heartbeats_per_s * heartbeat_bytes + peers * own_bytes_per_s
    received += (
        _sum_digest_bytes(digests, remote, REMOTE_INTERVAL_S) + inbound_bridges * bridge_bytes_per_s
    )
    messages = 2 * (peers + bridges + inbound_bridges) / interval_s
    entries = BACKEND_SERVERS_PER_DATA_CENTRE / interval_s + remote / REMOTE_INTERVAL_S
    small_frame = encode(LoadOutbox().make_digest(make_reports(1), 0.0, INSTANCES_PER_DATA_CENTRE))
    frame_us = peers / interval_s * measure_us(lambda: decode(small_frame), 500)
    cpu = (
        messages * socket_us / 2
        + frame_us
        + heartbeats_per_s * measure_us(lambda: decode(encode_heartbeat()), 500)
    )
    cpu += entries * (digests.decode_us.per_item + digests.expand_us.per_item)
    return TrafficLoad(messages, sent, received, cpu)


def compute_hub_load(digests: DigestCosts, socket_us: float, delegates: int) -> TrafficLoad:
    """Compute the load of a delegate that forwards all digests of its data centre."""
    peers = INSTANCES_PER_DATA_CENTRE - 1
    heartbeat_bytes = len(encode_heartbeat())
    local_bytes_per_s = _sum_digest_bytes(digests, BACKEND_SERVERS_PER_DATA_CENTRE, 1.0)
    remote = _sum_digest_bytes(
        digests, BACKEND_SERVERS - BACKEND_SERVERS_PER_DATA_CENTRE, REMOTE_INTERVAL_S
    )
    peers_served = peers / delegates
    sent = peers * heartbeat_bytes + peers_served * (local_bytes_per_s + remote)
    received = peers * heartbeat_bytes + local_bytes_per_s + remote
    messages = 2 * peers
    cpu = messages * socket_us / 2 + 100 * digests.decode_us.per_item
    return TrafficLoad(messages, sent, received, cpu)


def find_max_inbound_bridges() -> int:
    """Return the largest number of bridges that have the same instance as their partner."""
    counts: dict[str, int] = {}
    membership = make_membership(INSTANCES, 0)
    for name in tuple(membership.instances):
        membership.name = name
        for partner in choose_topology(membership, 2, 1.0).bridges:
            counts[partner.name] = counts.get(partner.name, 0) + 1
    return max(counts.values())


def print_slopes(digests: DigestCosts, view: ViewCosts, socket_us: float) -> None:
    """Print the measured costs."""
    rows = {
        "digest, bytes of an entry without detail": digests.bytes_without_detail,
        "digest, bytes of an entry with detail": digests.bytes_with_detail,
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
    heartbeat_bytes = len(encode_heartbeat())
    print(f"heartbeat: {heartbeat_bytes} bytes; socket write and read together: {socket_us:.1f} us")


def main() -> None:
    """Measure the costs and print the loads computed from them."""
    digests = measure_digests()
    view = measure_view()
    socket_us = asyncio.run(measure_socket_us(5000))
    print_slopes(digests, view, socket_us)
    max_bridges = find_max_inbound_bridges()
    mean_bridges = DATA_CENTRES - 1
    print(f"bridges into one instance: {mean_bridges} on average, at most {max_bridges}")
    print(
        f"mesh, average instance: {compute_mesh_load(digests, socket_us, mean_bridges).describe()}"
    )
    print(
        f"mesh, busiest instance: {compute_mesh_load(digests, socket_us, max_bridges).describe()}"
    )
    for delegates in (1, 2, 4):
        load = compute_hub_load(digests, socket_us, delegates)
        print(f"hub, one of {delegates} delegates: {load.describe()}")
    choose_us = view.topology_us.per_item * INSTANCES + view.topology_us.fixed
    print(f"choosing peers once a second: {choose_us / 1e4:.2f}% of a core")
    print(f"limits: {BYTES_PER_S_MAX / 1000:.0f} KB/s, {CORE_FRACTION_MAX * 100:.1f}% of a core")


if __name__ == "__main__":
    main()
