"""Measure the CPU and bytes of real peer networks over loopback, all in one process.

Run `python -m tools.capacity_peers`. Each size exchanges heartbeats and load for a few seconds.
Bytes and packets are the kernel's counts for each connection (TCP_INFO), with
`PACKET_HEADER_BYTES` added for each packet, including acknowledgements.
"""

import asyncio
import socket
import struct
import time

from attrs import define, evolve, frozen

from rhubarbshed.protocol.members import ListedInstance, PlatformList
from rhubarbshed.protocol.peers import Frame, Heartbeat, LoadDigest
from rhubarbshed.state.clock import HybridClock
from rhubarbshed.state.membership.digests import LoadInbox, LoadOutbox
from rhubarbshed.state.membership.membership import Membership
from rhubarbshed.transport.hooks import PeerHooks
from rhubarbshed.transport.peers import PeerNetwork
from rhubarbshed.util.settings import Settings
from tools.capacity import INSTANCES_PER_DATA_CENTRE, PACKET_HEADER_BYTES, fit_line, make_report
from tools.processes import find_free_ports

SIZES = (20, 40, 62)
WARM_UP_S = 12.0
MEASURE_S = 8.0
SERVERS_OWNED = 2
"""Backend servers owned by each instance; at full size 1.6 on average."""
PERCENT = 100.0
TCP_INFO_COUNTS = struct.Struct("=QQII")
"""Bytes acknowledged, bytes received, segments out, segments in, in the kernel's order."""
TCP_INFO_COUNTS_OFFSET = 120


@define(eq=False)
class SimulatedInstance:
    """Instance with a real peer network and synthetic load."""

    network: PeerNetwork
    number: int
    outbox: LoadOutbox
    inbox: LoadInbox

    @classmethod
    def from_settings(cls, settings: Settings, number: int) -> "SimulatedInstance":
        """Return an instance whose network is not started."""
        membership = Membership.from_settings(settings, "x", time.monotonic())
        outbox, inbox = LoadOutbox(), LoadInbox()
        simulated = cls(None, number, outbox, inbox)
        hooks = PeerHooks(simulated.handle_frame, Heartbeat, simulated.collect)
        clock = HybridClock(settings.instance.name)
        simulated.network = PeerNetwork.from_settings(settings, membership, clock, hooks)
        return simulated

    def handle_frame(self, peer: str, frame: Frame, now: float) -> None:
        """Apply received load as the daemon does."""
        if isinstance(frame, LoadDigest):
            self.inbox.expand(frame, now)

    def collect(self, now: float) -> tuple[Frame, ...]:
        """Return frames with the load of the owned servers."""
        first = self.number * SERVERS_OWNED
        reports = tuple((make_report(first + index), now) for index in range(SERVERS_OWNED))
        return self.outbox.collect(reports, now, INSTANCES_PER_DATA_CENTRE)


@frozen
class PeerCosts:
    """Costs of one instance: CPU in percent of a core, event loop delay, and traffic."""

    cpu_percent: float
    links: int
    loop_late_ms: float
    payload_per_s: float
    packets_per_s: float

    @property
    def bytes_per_s(self) -> float:
        """Return the bytes per second in both directions, including headers."""
        return self.payload_per_s + self.packets_per_s * PACKET_HEADER_BYTES


def count_traffic(instances: list[SimulatedInstance]) -> tuple[int, int]:
    """Return the bytes and packets of all connections so far, in both directions."""
    payload = packets = 0
    for simulated in instances:
        for link in simulated.network.links.values():
            sock = link.writer.get_extra_info("socket")
            size = TCP_INFO_COUNTS_OFFSET + TCP_INFO_COUNTS.size
            data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
            counts = TCP_INFO_COUNTS.unpack_from(data, TCP_INFO_COUNTS_OFFSET)
            payload += counts[0] + counts[1]
            packets += counts[2] + counts[3]
    return payload, packets


def make_instances(size: int) -> list[SimulatedInstance]:
    """Return instances of one data centre that are on each other's platform list."""
    instances = []
    for number, port in enumerate(find_free_ports(size)):
        text = f"[instance]\nname = i-{number}\npeer_port = {port}\n[secrets]\npeer_token = t"
        instances.append(SimulatedInstance.from_settings(Settings.from_text(text).unwrap(), number))
    infos = [evolve(simulated.network.identity.info, incarnation="") for simulated in instances]
    listed = PlatformList(tuple(ListedInstance(info) for info in infos), ())
    for simulated in instances:
        simulated.network.membership.apply_list(listed, time.monotonic())
    return instances


async def measure(size: int) -> PeerCosts:
    """Run so many instances and measure after a warm-up in which they connect."""
    instances = make_instances(size)
    for simulated in instances:
        await simulated.network.start()
    await asyncio.sleep(WARM_UP_S)
    payload, packets = count_traffic(instances)
    started_at, lateness_s = time.process_time(), 0.0
    ends_at = time.monotonic() + MEASURE_S
    while time.monotonic() < ends_at:
        expected_at = time.monotonic() + 0.01
        await asyncio.sleep(0.01)
        lateness_s = max(lateness_s, time.monotonic() - expected_at)
    cpu_s = time.process_time() - started_at
    payload_after, packets_after = count_traffic(instances)
    links = min(len(simulated.network.links) for simulated in instances)
    for simulated in instances:
        await simulated.network.stop()
    per_instance_second = 1 / MEASURE_S / size
    return PeerCosts(
        cpu_s * per_instance_second * PERCENT,
        links,
        lateness_s * 1000,
        (payload_after - payload) * per_instance_second,
        (packets_after - packets) * per_instance_second,
    )


def main() -> None:
    """Measure each size and print the extrapolation to one data centre."""
    points, traffic = {}, {}
    for size in SIZES:
        measured = asyncio.run(measure(size))
        points[size - 1] = measured.cpu_percent
        traffic[size - 1] = measured.bytes_per_s
        print(
            f"{size} instances, at least {measured.links} links each: "
            f"{measured.cpu_percent:.3f}% of a core for each, "
            f"loop late by at most {measured.loop_late_ms:.0f} ms, "
            f"{measured.packets_per_s:.1f} packets/s, {measured.payload_per_s / 1000:.2f} KB/s, "
            f"with headers {measured.bytes_per_s / 1000:.2f} KB/s"
        )
    cpu_slope = fit_line(points)
    mesh_cpu_percent = cpu_slope.per_item * (INSTANCES_PER_DATA_CENTRE - 1) + cpu_slope.fixed
    print(f"each peer costs {cpu_slope.per_item:.4f}% of a core, fixed {cpu_slope.fixed:.3f}%")
    print(
        f"{INSTANCES_PER_DATA_CENTRE} instances in a data centre: "
        f"{mesh_cpu_percent:.2f}% of a core, limit 1.4%"
    )
    traffic_slope = fit_line(traffic)
    mesh_kb_per_s = (
        traffic_slope.per_item * (INSTANCES_PER_DATA_CENTRE - 1) + traffic_slope.fixed
    ) / 1000
    print(
        f"{INSTANCES_PER_DATA_CENTRE} instances in a data centre: "
        f"{mesh_kb_per_s:.1f} KB/s in the mesh with headers"
    )


if __name__ == "__main__":
    main()
