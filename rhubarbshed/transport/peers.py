"""Network of peers: connects to chosen instances, sends heartbeats and relays frames."""

import asyncio
import logging
import math
import random
import time
from collections.abc import Callable, Collection

from attrs import Factory, define, evolve, field
from returns.result import Failure, Result

from rhubarbshed.coordination.membership.dissemination import (
    DIGESTS,
    NOTICES,
    NoticeFilter,
    Topology,
    choose_dials,
    choose_heartbeat_interval,
    choose_recipients,
    choose_relays,
    choose_topology,
    is_large_mesh,
    make_leaving_notices,
)
from rhubarbshed.protocol.members import InstanceInfo
from rhubarbshed.protocol.message_checks import describe
from rhubarbshed.protocol.peers import (
    Envelope,
    Frame,
    Heartbeat,
    LeavingNotice,
    LoadDigest,
    UnknownFrame,
    unpack_envelope,
)
from rhubarbshed.state.clock import HybridClock
from rhubarbshed.state.membership.membership import Membership
from rhubarbshed.state.timeline import read_wall_ms
from rhubarbshed.transport.frames import (
    Identity,
    accept_handshake,
    frame_bytes,
    make_client_context,
    make_server_context,
    read_frame,
    start_handshake,
)
from rhubarbshed.transport.hooks import PeerHooks
from rhubarbshed.transport.links import Backoff, Link, choose_link
from rhubarbshed.util.logs import log_event
from rhubarbshed.util.settings import Address, PeerSettings, Settings, TlsSettings

LOG = logging.getLogger(__name__)
HEARTBEAT_INTERVAL_RATIO_MIN = 0.9
"""Fraction of the heartbeat interval after which the next is due, so that jitter skips none."""
HANDSHAKES_MAX = 64
"""Maximum number of accepted connections not yet authenticated; more are closed at once."""
REPLACEABLE = (Heartbeat, *DIGESTS)
"""Frames that a newer one replaces; dropped first for a peer that does not read."""


@define(eq=False)
class PeerNetwork:
    """Connections of this instance to its peers; all methods run on one event loop.

    `topology` has the peers to connect to, `links` the open connections by peer. `backoffs` and
    `dialing` are by peer name, or by address for seeds. `handshakes` counts accepted connections
    that are not authenticated yet; peers in `refused_peers` get no connection. Until
    `delayed_until` frames may be unread that came in the `delay_s` for which the event loop stood
    still.
    """

    identity: Identity
    settings: PeerSettings
    tls: TlsSettings
    membership: Membership
    clock: HybridClock
    hooks: PeerHooks
    refused_peers: Collection[str] = ()
    read_now: Callable[[], float] = time.monotonic
    read_wall: Callable[[], int] = read_wall_ms
    rng: random.Random = Factory(random.Random)
    links: dict[str, Link] = Factory(dict)
    topology: Topology = Topology()
    notices: NoticeFilter = field(default=Factory(lambda: NoticeFilter("")))
    backoffs: dict[str, Backoff] = Factory(dict)
    dialing: set[str] = Factory(set)
    tasks: set[asyncio.Task] = Factory(set)
    handshakes: int = 0
    heartbeat_at: float = float("-inf")
    stepped_at: float = math.inf
    delay_s: float = 0.0
    delayed_until: float = -math.inf
    last_heartbeat: Heartbeat | None = None
    server: asyncio.Server | None = None

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        membership: Membership,
        clock: HybridClock,
        hooks: PeerHooks,
        **fields,
    ) -> "PeerNetwork":
        """Make a network from settings, not started yet; `fields` sets further fields."""
        info = membership.instances[settings.instance.name].info
        identity = Identity(
            info,
            settings.secrets.peer_token,
            settings.peers.hello_bytes_max,
            settings.peers.frame_bytes_max,
        )
        network = cls(
            identity,
            settings.peers,
            settings.tls,
            membership,
            clock,
            hooks,
            **fields,
        )
        network.notices.prefix = f"{info.name}/{info.incarnation}"
        return network

    async def start(self) -> None:
        """Start to listen and to connect to peers."""
        info = self.identity.info
        context = make_server_context(self.tls)
        self.server = await asyncio.start_server(
            self._accept,
            info.host,
            info.peer_port,
            ssl=context,
            ssl_handshake_timeout=self.settings.silence_s if context else None,
        )
        self._spawn(self._run())

    async def stop(self) -> None:
        """Flush queued frames, close all connections and stop listening."""
        if self.server is not None:
            self.server.close()
        now = self.read_now()
        for link in self.links.values():
            link.flush(now)
            link.writer.close()
        await asyncio.sleep(0)
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.links.clear()

    def publish(self, frame: Frame) -> None:
        """Send a frame to all its recipients; peers relay notices further."""
        self._apply_leaving(self.identity.info, frame)
        notice_id = self.notices.make_id() if isinstance(frame, NOTICES) else ""
        self._send_all(self._choose_recipients(frame), frame, notice_id)

    def send(self, peer: str, frame: Frame) -> bool:
        """Send a frame to one peer; return False if there is no connection to it."""
        if peer not in self.links:
            return False
        self._send_all((peer,), frame)
        return True

    def list_connected(self) -> tuple[str, ...]:
        """Return the names of connected peers, sorted."""
        return tuple(sorted(self.links))

    def step(self, now: float) -> None:
        """Close faulty connections, dial peers without one, send heartbeats when due."""
        self._note_delay(now)
        self._close_faulty(now)
        is_heartbeat_due = (
            now - self.heartbeat_at >= self._choose_interval() * HEARTBEAT_INTERVAL_RATIO_MIN
        )
        if is_heartbeat_due:
            self._choose_peers(now)
        self._close_unneeded(now)
        connected = set(self.links) | self.dialing
        for info in choose_dials(self.membership, self.topology, connected, now):
            if info.name not in self.refused_peers:
                self._try_dial(info.name, self._dial, info, now)
        self._dial_seeds(now)
        if is_heartbeat_due:
            self.heartbeat_at = now
            self._queue_heartbeats(now)
        for link in self.links.values():
            if is_heartbeat_due or link.must_flush():
                link.flush(now)
            else:
                link.update_drained_at(now)

    def _choose_interval(self) -> float:
        heartbeat_s, silence_s = self.settings.heartbeat_s, self.settings.silence_s
        return choose_heartbeat_interval(self.topology, heartbeat_s, silence_s)

    def _choose_peers(self, now: float) -> None:
        self.topology = choose_topology(self.membership, self.settings.delegates, now)
        needed = {info.name for info in self.topology.list_peers()}
        self.membership.expect_heartbeats(needed | set(self.links), now)

    async def _run(self) -> None:
        while True:
            self.step(self.read_now())
            jitter = self.rng.uniform(0.9, 1.1)
            await asyncio.sleep(self.settings.heartbeat_s / 4 * jitter)

    def _queue_heartbeats(self, now: float) -> None:
        """Queue the heartbeat and the digests due with it, to be written in one call."""
        heartbeat, collected = self.hooks.make_heartbeat(), self.hooks.collect(now)
        skipped = self._choose_skipped(heartbeat, collected)
        self._queue_all([name for name in self.links if name not in skipped], heartbeat)
        for frame in collected:
            self._queue_all(self._choose_recipients(frame), frame)

    def _choose_skipped(self, heartbeat: Heartbeat, collected: tuple[Frame, ...]) -> set[str]:
        """Return peers that need no heartbeat, since other frames show that this one is live.

        In a large mesh only: recipients of frames in `collected` are skipped for every other
        heartbeat without changes.
        """
        if not is_large_mesh(self.topology) or heartbeat != self.last_heartbeat:
            self.last_heartbeat = heartbeat
            return set()
        self.last_heartbeat = None
        return {name for frame in collected for name in self._choose_recipients(frame)}

    def _choose_recipients(self, frame: Frame) -> tuple[str, ...]:
        return choose_recipients(
            frame, self.topology, self._list_connected(), self.identity.info.data_centre
        )

    def _send_all(self, names: Collection[str], frame: Frame, notice_id: str = "") -> None:
        self._queue_all(names, frame, notice_id)
        now = self.read_now()
        for name in names:
            self.links[name].flush(now)

    def _queue_all(self, names: Collection[str], frame: Frame, notice_id: str = "") -> None:
        if not names:
            return
        stamp = self.clock.tick(self.read_wall())
        data = frame_bytes(Envelope(frame, stamp, notice_id))
        for name in names:
            self.links[name].put(data, isinstance(frame, REPLACEABLE))

    def _list_connected(self) -> dict[str, str]:
        return {name: link.info.data_centre for name, link in self.links.items()}

    def _note_delay(self, now: float) -> None:
        """Record for how long the event loop stood still, which is no silence of the peers."""
        if now - self.stepped_at > self.settings.heartbeat_s:
            self.delay_s = now - self.stepped_at
            self.delayed_until = now + self.settings.heartbeat_s
        self.stepped_at = now

    def _close_faulty(self, now: float) -> None:
        silence_s = self.settings.silence_s
        if now < self.delayed_until:
            silence_s += self.delay_s
        for name, link in tuple(self.links.items()):
            fault = link.find_fault(now, silence_s)
            if name in self.refused_peers:
                fault = "refused"
            if fault:
                self._drop(link, fault)

    def _close_unneeded(self, now: float) -> None:
        """Close connections that this instance dialled to peers no longer in its topology."""
        needed = {info.name for info in self.topology.list_peers()}
        for name, link in tuple(self.links.items()):
            if link.dialed_by == self.membership.name and name not in needed:
                self._drop(link, "no longer needed")

    def _drop(self, link: Link, reason: str) -> None:
        link.abort()
        if self.links.get(link.info.name) is link:
            del self.links[link.info.name]
            log_event(LOG, logging.INFO, "peer_lost", peer=link.info.name, reason=reason)

    def _close_replaced(self, link: Link) -> None:
        """Close a replaced connection after `heartbeat_s`, since frames may be in transit on it."""
        if self.links.get(link.info.name) is link:
            del self.links[link.info.name]
        log_event(LOG, logging.INFO, "peer_replaced", peer=link.info.name)
        asyncio.get_running_loop().call_later(self.settings.heartbeat_s, link.abort)

    def _dial_seeds(self, now: float) -> None:
        """Dial the seeds while there is no connection; the handshake gives their identities."""
        if self.links:
            return
        for address in self.settings.list_seeds():
            if str(address) not in self.dialing:
                self._try_dial(str(address), self._dial_seed, address, now)

    def _try_dial(self, name: str, dial: Callable, target: object, now: float) -> None:
        backoff = self.backoffs.setdefault(name, Backoff())
        if not backoff.try_start(now, self.rng):
            return
        self.dialing.add(name)
        self._spawn(dial(target))

    async def _dial(self, info: InstanceInfo) -> None:
        await self._connect(info.name, Address(info.host, info.peer_port))

    async def _dial_seed(self, address: Address) -> None:
        await self._connect(str(address), address)

    async def _connect(self, name: str, address: Address) -> None:
        try:
            async with asyncio.timeout(self.settings.silence_s):
                reader, writer = await asyncio.open_connection(
                    address.host, address.port, ssl=make_client_context(self.tls)
                )
        except (OSError, TimeoutError):
            return
        except (OverflowError, ValueError) as error:
            # Another writer's entry or hello names a host or a port that is none.
            log_event(LOG, logging.WARNING, "peer_refused", peer=name, reason=describe(error))
            return
        finally:
            self.dialing.discard(name)
        await self._serve(reader, writer, dials=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.handshakes >= HANDSHAKES_MAX:
            writer.transport.abort()
            return
        self._spawn(self._serve(reader, writer, dials=False))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, dials: bool
    ) -> None:
        try:
            handshake = await self._shake_hands(reader, writer, dials)
            if isinstance(handshake, Failure):
                log_event(LOG, logging.WARNING, "peer_refused", reason=handshake.failure())
                return
            link = self._add_link(handshake.unwrap(), writer, dials)
            if link is not None:
                await self._read_frames(reader, link)
        finally:
            writer.transport.abort()

    async def _shake_hands(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, dials: bool
    ) -> Result[InstanceInfo, str]:
        shake_hands = start_handshake if dials else accept_handshake
        self.handshakes += not dials
        try:
            async with asyncio.timeout(self.settings.silence_s):
                return await shake_hands(reader, writer, self.identity)
        except TimeoutError:
            return Failure("handshake timed out")
        finally:
            self.handshakes -= not dials

    def _add_link(
        self, info: InstanceInfo, writer: asyncio.StreamWriter, dials: bool
    ) -> Link | None:
        """Add an authenticated connection, unless an existing one to the same peer is kept.

        Return None for a refused peer; a connection not kept is still read for a while.
        """
        now = self.read_now()
        if info.name in self.refused_peers or info.name == self.membership.name:
            return None
        if self.membership.is_superseded(info, now):
            log_event(
                LOG,
                logging.WARNING,
                "peer_refused",
                peer=info.name,
                reason="superseded incarnation",
            )
            return None
        dialed_by = self.membership.name if dials else info.name
        link = Link(info, writer, dialed_by, now, now)
        existing = self.links.get(info.name)
        if existing is not None:
            kept = choose_link(existing, link, now, self.settings.heartbeat_s)
            self._close_replaced(link if kept is existing else existing)
            if kept is existing:
                return link
        self.links[info.name] = link
        self.backoffs.pop(info.name, None)
        self.membership.apply_hello(info, now)
        if all(info.name != peer.name for peer in self.topology.list_peers()):
            self._choose_peers(now)
        log_event(LOG, logging.INFO, "peer_connected", peer=info.name, dialed_by=dialed_by)
        self._send_greeting(link, now)
        return link

    def _send_greeting(self, link: Link, now: float) -> None:
        """Send a new peer what it may have missed; it relays notices that are new to it."""
        leaving = make_leaving_notices(self.membership)
        for frame in (
            self.hooks.make_heartbeat(),
            *leaving,
            *self.hooks.on_connect(link.info.name, now),
        ):
            if isinstance(frame, LoadDigest):
                frame = evolve(frame, remote=not self._is_local(link))
            notice_id = self.notices.make_id() if isinstance(frame, NOTICES) else ""
            self._queue_all((link.info.name,), frame, notice_id)
        link.flush(now)

    def _is_local(self, link: Link) -> bool:
        return link.info.data_centre == self.identity.info.data_centre

    async def _read_frames(self, reader: asyncio.StreamReader, link: Link) -> None:
        while not link.writer.is_closing():
            data = await read_frame(reader, self.settings.frame_bytes_max)
            if isinstance(data, Failure):
                self._drop(link, data.failure())
                return
            envelope = unpack_envelope(data.unwrap(), link.info.name)
            if isinstance(envelope, Failure):
                log_event(
                    LOG,
                    logging.WARNING,
                    "peer_malformed",
                    peer=link.info.name,
                    reason=envelope.failure(),
                )
                self._drop(link, "malformed frame")
                return
            self._handle_envelope(link, envelope.unwrap())

    def _handle_envelope(self, link: Link, envelope: Envelope) -> None:
        """Apply a received frame and relay it to its further recipients."""
        now = self.read_now()
        if link.writer.is_closing() or link.info.name in self.refused_peers:
            return
        link.last_received_at = now
        self.clock.merge(envelope.stamp, self.read_wall())
        self.membership.record_contact(link.info.name, now)
        frame = envelope.frame
        if isinstance(frame, UnknownFrame):
            return
        if envelope.notice_id and not self.notices.is_new(envelope.notice_id):
            return
        self._apply_leaving(link.info, frame)
        self._relay(link.info.name, frame, envelope.notice_id)
        self.hooks.on_frame(link.info.name, frame, now)

    def _apply_leaving(self, sender: InstanceInfo, frame: Frame) -> None:
        if isinstance(frame, Heartbeat) and frame.leaving:
            self.membership.apply_leaving(sender.name, sender.incarnation, sender.name)
        if isinstance(frame, LeavingNotice):
            for subject in (*frame.instances, *frame.backend_servers):
                self.membership.apply_leaving(subject.name, subject.incarnation, sender.name)

    def _relay(self, sender: str, frame: Frame, notice_id: str) -> None:
        names = choose_relays(
            frame,
            self.topology,
            self._list_connected(),
            sender,
            self.identity.info.data_centre,
        )
        if isinstance(frame, NOTICES) or not is_large_mesh(self.topology):
            self._send_all(names, frame, notice_id)
        else:
            self._queue_all(names, frame, notice_id)

    def _spawn(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: asyncio.Task) -> None:
        """Report a task's exception to `on_fault`, rather than continue without the task."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.hooks.on_fault(task.exception())
