"""Topology of connections between instances, and the recipients of each frame.

Within a data centre every instance keeps a connection to every other. Each instance also
keeps one bridge to each other data centre, to a partner chosen by rendezvous hashing. No
instance carries more than its share, and no frame takes more than three hops.
"""

from collections import OrderedDict

from attrs import Factory, define, frozen

from rhubarbshed.coordination.membership.membership import list_instances
from rhubarbshed.protocol.members import InstanceInfo, Standing
from rhubarbshed.protocol.peers import (
    CatalogueHint,
    DemandDigest,
    DemandUpdate,
    Frame,
    LeavingMember,
    LeavingNotice,
    LoadDigest,
    QuarantineNotice,
    ServiceDigest,
)
from rhubarbshed.state.membership.membership import Membership
from rhubarbshed.util.rendezvous import rank_by_rendezvous

NOTICES_MAX = 4096
"""Maximum number of notices remembered so that each is passed on once."""
PROBES_MAX = 8
"""Maximum number of suspected partners in a data centre tried besides the one in use."""
DIAL_AFTER_SILENCE_PERIODS = 1.0
"""Multiple of `silence_s` to wait for a lower-named peer's connection before dialling it."""
LARGE_MESH_PEERS = 16
"""Number of peers in the data centre above which the number of packets matters."""
LARGE_MESH_HEARTBEAT_FACTOR = 1.5
"""Factor on the interval between heartbeats in a large mesh."""
HEARTBEATS_PER_SILENCE_PERIOD = 2.0
"""Minimum number of heartbeats in `silence_s`, after which a peer is suspected."""
CONNECTED_STANDINGS = (Standing.LIVE, Standing.LEAVING, Standing.SUSPECTED)
DIGESTS = (LoadDigest, DemandDigest, DemandUpdate, ServiceDigest)
NOTICES = (CatalogueHint, LeavingNotice, QuarantineNotice)


@frozen
class Topology:
    """Instances that this one should be connected to, by role.

    `probes` are preferred bridge partners that are suspected, tried until they respond.
    """

    mesh: tuple[InstanceInfo, ...] = ()
    bridges: tuple[InstanceInfo, ...] = ()
    probes: tuple[InstanceInfo, ...] = ()
    is_delegate: bool = False

    def list_peers(self) -> tuple[InstanceInfo, ...]:
        """Return all instances to which a connection is kept or attempted."""
        return (*self.mesh, *self.bridges, *self.probes)


def choose_topology(membership: Membership, delegates: int, now: float) -> Topology:
    """Choose mesh and bridges from the membership view.

    A suspected partner is replaced by the next in the rendezvous order until it responds again.
    Mesh peers are tried as long as they are not gone.
    """
    own = membership.instances[membership.name].info
    members = list_instances(membership, now, *CONNECTED_STANDINGS)
    here = [info for info in members if info.data_centre == own.data_centre]
    live = {info.name for info in list_instances(membership, now, Standing.LIVE)}
    ranked = rank_by_rendezvous(own.data_centre, [info.name for info in here if info.name in live])
    bridges, probes = _choose_bridges(own, members, live)
    return Topology(
        tuple(info for info in here if info.name != own.name),
        bridges,
        probes,
        own.name in ranked[:delegates],
    )


def _choose_bridges(
    own: InstanceInfo, members: tuple[InstanceInfo, ...], live: set[str]
) -> tuple[tuple[InstanceInfo, ...], tuple[InstanceInfo, ...]]:
    """Choose one partner in each other data centre, and the preferred ones to probe."""
    infos = {info.name: info for info in members}
    bridges, probes = [], []
    for centre in sorted({info.data_centre for info in members} - {own.data_centre}):
        names = [info.name for info in members if info.data_centre == centre]
        ranked = rank_by_rendezvous(own.name, names)
        rank = next((rank for rank, name in enumerate(ranked) if name in live), 0)
        bridges.append(infos[ranked[rank]])
        probes += [infos[name] for name in ranked[: min(rank, PROBES_MAX)]]
    return tuple(bridges), tuple(probes)


def choose_dials(
    membership: Membership, topology: Topology, connected: set[str], now: float
) -> tuple[InstanceInfo, ...]:
    """Choose peers to connect to.

    Of two mesh peers the one with the lower name connects; the other does so if no connection
    came in time, since the peer may not know of it yet.
    """
    dial_after_s = membership.limits.silence_s * DIAL_AFTER_SILENCE_PERIODS
    chosen = []
    for info in topology.mesh:
        known = membership.instances[info.name]
        since = known.expected_since if known.expected_since is not None else now
        overdue = now - since > dial_after_s
        if info.name not in connected and (membership.name < info.name or overdue):
            chosen.append(info)
    across = (*topology.bridges, *topology.probes)
    chosen += [info for info in across if info.name not in connected]
    return tuple(chosen)


def is_large_mesh(topology: Topology) -> bool:
    """Return whether there are so many peers here that bytes and packets must be saved."""
    return len(topology.mesh) > LARGE_MESH_PEERS


def choose_heartbeat_interval(topology: Topology, heartbeat_s: float, silence_s: float) -> float:
    """Choose the seconds between heartbeats: longer in a large mesh, within `silence_s`."""
    if not is_large_mesh(topology):
        return heartbeat_s
    return max(
        heartbeat_s,
        min(heartbeat_s * LARGE_MESH_HEARTBEAT_FACTOR, silence_s / HEARTBEATS_PER_SILENCE_PERIOD),
    )


@define
class NoticeFilter:
    """Filter by which each notice is handled and passed on only once."""

    prefix: str
    count: int = 0
    seen: OrderedDict[str, None] = Factory(OrderedDict)

    def make_id(self) -> str:
        """Return an id for a new notice of this instance."""
        self.count += 1
        notice_id = f"{self.prefix}/{self.count}"
        self.is_new(notice_id)
        return notice_id

    def is_new(self, notice_id: str) -> bool:
        """Return whether a notice is received for the first time, and remember it."""
        if notice_id in self.seen:
            return False
        self.seen[notice_id] = None
        if len(self.seen) > NOTICES_MAX:
            self.seen.popitem(last=False)
        return True


def choose_recipients(
    frame: Frame, topology: Topology, connected: dict[str, str], own_centre: str
) -> tuple[str, ...]:
    """Choose the recipients of this instance's frame; `connected` maps names to data centres.

    Load and demand go to the mesh and, less often and marked as remote, over the bridges.
    """
    mesh = [name for name, centre in connected.items() if centre == own_centre]
    if not isinstance(frame, DIGESTS):
        return tuple(connected)
    bridges = {info.name for info in topology.bridges}
    across = [name for name in connected if name in bridges]
    return tuple(across if frame.remote else mesh)


def choose_relays(
    frame: Frame,
    topology: Topology,
    connected: dict[str, str],
    sender: str,
    own_centre: str,
) -> tuple[str, ...]:
    """Choose the instances to which a frame received from `sender` is passed on.

    Frames from another data centre go to the mesh. Delegates also pass urgent notices on to
    further data centres, so that these notices get around a partition between two of them.
    """
    origin_centre = connected.get(sender, "")
    urgent = isinstance(frame, NOTICES)
    shared = urgent or (isinstance(frame, DIGESTS) and frame.remote)
    to_mesh = shared and origin_centre != own_centre
    to_bridges = urgent and topology.is_delegate
    return tuple(
        name
        for name, centre in connected.items()
        if (to_mesh and centre == own_centre)
        or (to_bridges and centre not in (own_centre, origin_centre))
    )


def make_leaving_notices(membership: Membership) -> tuple[LeavingNotice, ...]:
    """Create the notice of all members announced as leaving, for a new peer; empty if none."""
    leaving = membership.list_leaving_members()
    subjects = tuple(LeavingMember(name, incarnation) for name, incarnation in leaving)
    return (LeavingNotice(subjects),) if subjects else ()
