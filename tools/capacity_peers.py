"""Measure the CPU and bytes of real peer networks over loopback, all in one process.

Run `python -m tools.capacity_peers`. Each size runs for a few seconds of heartbeats with load.
Bytes and packets are those that the kernel counts for each connection (TCP_INFO), with
`PACKET_BYTES` of headers for each packet, acknowledgements included.
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
from tools.capacity import INSTANCES_HERE, PACKET_BYTES, fit, make_report
from tools.processes import find_free_ports

SIZES = (20, 40, 62)
SETTLE_S = 12.0
MEASURE_S = 8.0
SERVERS_OWNED = 2
"""Backend servers owned by each instance; at full size 1.6 on average."""
PERCENT = 100.0
TCP_INFO_COUNTS = struct.Struct("=QQII")
"""Bytes acknowledged and received, packets out and in; the kernel's order."""
TCP_INFO_COUNTS_AT = 120


@define(eq=False)
class Trial:
    """Run one instance with a made-up load."""

    network: PeerNetwork
    number: int
    outbox: LoadOutbox
    inbox: LoadInbox

    @classmethod
    def from_settings(cls, settings: Settings, number: int) -> "Trial":
        """Make an instance that is not started."""
        membership = Membership.from_settings(settings, "x", time.monotonic())
        outbox, inbox = LoadOutbox(), LoadInbox()
        trial = cls(None, number, outbox, inbox)
        hooks = PeerHooks(trial.take, Heartbeat, trial.collect)
        clock = HybridClock(settings.instance.name)
        trial.network = PeerNetwork.from_settings(settings, membership, clock, hooks)
        return trial

    def take(self, peer: str, frame: Frame, now: float) -> None:
        """Take in load as the daemon does."""
        if isinstance(frame, LoadDigest):
            self.inbox.expand(frame, now)

    def collect(self, now: float) -> tuple[Frame, ...]:
        """Give the load of the owned servers."""
        first = self.number * SERVERS_OWNED
        reports = tuple((make_report(first + share), now) for share in range(SERVERS_OWNED))
        return self.outbox.collect(reports, now, INSTANCES_HERE)


@frozen
class Measured:
    """Hold the cost of one instance: percent of a core, and lateness of the loop in ms."""

    cpu_percent: float
    links: int
    loop_late_ms: float
    payload_per_s: float
    packets_per_s: float

    @property
    def bytes_per_s(self) -> float:
        """Return the bytes each second in both directions, headers included."""
        return self.payload_per_s + self.packets_per_s * PACKET_BYTES


def count_traffic(trials: list[Trial]) -> tuple[int, int]:
    """Return the bytes and the packets of all connections so far, in both directions."""
    payload = packets = 0
    for trial in trials:
        for link in trial.network.links.values():
            sock = link.writer.get_extra_info("socket")
            size = TCP_INFO_COUNTS_AT + TCP_INFO_COUNTS.size
            data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
            counts = TCP_INFO_COUNTS.unpack_from(data, TCP_INFO_COUNTS_AT)
            payload += counts[0] + counts[1]
            packets += counts[2] + counts[3]
    return payload, packets


def make_trials(size: int) -> list[Trial]:
    """Make instances of one data centre that know of each other by the list."""
    trials = []
    for number, port in enumerate(find_free_ports(size)):
        text = f"[instance]\nname = i-{number}\npeer_port = {port}\n[secrets]\npeer_token = t"
        trials.append(Trial.from_settings(Settings.from_text(text).unwrap(), number))
    infos = [evolve(trial.network.identity.info, incarnation="") for trial in trials]
    listed = PlatformList(tuple(ListedInstance(info) for info in infos), ())
    for trial in trials:
        trial.network.membership.apply_list(listed, time.monotonic())
    return trials


async def measure(size: int) -> Measured:
    """Run so many instances and measure after they have met."""
    trials = make_trials(size)
    for trial in trials:
        await trial.network.start()
    await asyncio.sleep(SETTLE_S)
    payload, packets = count_traffic(trials)
    began, late = time.process_time(), 0.0
    ends_at = time.monotonic() + MEASURE_S
    while time.monotonic() < ends_at:
        due = time.monotonic() + 0.01
        await asyncio.sleep(0.01)
        late = max(late, time.monotonic() - due)
    spent = time.process_time() - began
    payload_after, packets_after = count_traffic(trials)
    links = min(len(trial.network.links) for trial in trials)
    for trial in trials:
        await trial.network.stop()
    share = 1 / MEASURE_S / size
    return Measured(
        spent * share * PERCENT,
        links,
        late * 1000,
        (payload_after - payload) * share,
        (packets_after - packets) * share,
    )


def main() -> None:
    """Measure and print."""
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
    slope = fit(points)
    here = slope.per_item * (INSTANCES_HERE - 1) + slope.fixed
    print(f"each peer costs {slope.per_item:.4f}% of a core, fixed {slope.fixed:.3f}%")
    print(f"{INSTANCES_HERE} instances in a data centre: {here:.2f}% of a core, limit 1.4%")
    line = fit(traffic)
    mesh = (line.per_item * (INSTANCES_HERE - 1) + line.fixed) / 1000
    print(f"{INSTANCES_HERE} instances in a data centre: {mesh:.1f} KB/s in the mesh with headers")


if __name__ == "__main__":
    main()
