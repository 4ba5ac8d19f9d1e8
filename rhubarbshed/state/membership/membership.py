"""Membership view: instances and backend servers, and the evidence about each."""

from collections.abc import Iterable

from attrs import Factory, define, evolve, frozen

from rhubarbshed.protocol.members import (
    BackendServerInfo,
    InstanceInfo,
    ListedBackendServer,
    ListedInstance,
    PlatformList,
)
from rhubarbshed.util.settings import Settings

INCARNATIONS_MAX = 64
"""Maximum number of past incarnations remembered for each instance."""
LEAVING_ANNOUNCEMENTS_MAX = 4096
"""Maximum number of announcements that a member leaves, kept also for members not known yet."""


MemberInfo = InstanceInfo | BackendServerInfo


@define
class Evidence:
    """Evidence about one member; times are monotonic seconds of this process."""

    info: MemberInfo
    incarnation: str = ""
    first_seen_at: float = 0.0
    listed: bool = False
    listed_leaving: bool = False
    absent_since: float | None = None
    leaving_by: str = ""
    last_received_at: float | None = None
    expected_since: float | None = None
    failing_since: float | None = None
    holds_lease: bool = True
    session_counter: int | None = None
    session_changed_at: float = 0.0
    session_read_at: float = 0.0


@frozen
class MembershipLimits:
    """Maximum ages of evidence, in seconds."""

    silence_s: float
    session_term_s: float


@define
class Membership:
    """Evidence about all members; `coordination.membership` judges it."""

    name: str
    limits: MembershipLimits
    instances: dict[str, Evidence] = Factory(dict)
    backend_servers: dict[str, Evidence] = Factory(dict)
    past_incarnations: dict[str, list[str]] = Factory(dict)
    leaving_announcements: dict[tuple[str, str], str] = Factory(dict)
    list_read_at: float | None = None
    last_list: PlatformList | None = None
    last_list_at: float = float("-inf")

    @classmethod
    def from_settings(cls, settings: Settings, incarnation: str, now: float) -> "Membership":
        """Create a view with this instance as its only member."""
        limits = MembershipLimits(settings.peers.silence_s, settings.leases.term_s)
        membership = cls(settings.instance.name, limits)
        membership.apply_hello(make_instance_info(settings, incarnation), now)
        return membership

    def apply_list(self, listed: PlatformList, now: float) -> None:
        """Apply the platform's list as read at `now`; it stays in force until the next one."""
        self.list_read_at = now
        self._keep_list(listed, now)
        for instance in listed.instances:
            self._apply_listed_instance(instance, now)
        for server in listed.backend_servers:
            self._apply_listed_server(server, now)
        self._mark_absent(self.instances, {entry.info.name for entry in listed.instances}, now)
        names = {entry.info.name for entry in listed.backend_servers}
        self._mark_absent(self.backend_servers, names, now)

    def apply_peer_list(self, listed: PlatformList, read_at: float) -> bool:
        """Apply the list as a peer read it at `read_at`; return whether it was applied.

        The list that this instance read itself takes precedence unless it is older by a whole
        term. A peer's list only adds members: one that it omits may have been listed here since.
        It does not count for this instance, whose name may stand for an earlier run that left.
        """
        own = self.list_read_at
        if own is not None and read_at - own <= self.limits.session_term_s:
            return False
        if read_at <= self.last_list_at:
            return False
        self._keep_list(listed, read_at)
        for instance in listed.instances:
            if instance.info.name != self.name:
                self._apply_listed_instance(instance, read_at)
        for server in listed.backend_servers:
            self._apply_listed_server(server, read_at)
        return True

    def _keep_list(self, listed: PlatformList, read_at: float) -> None:
        self.last_list = listed
        self.last_list_at = read_at

    def apply_hello(self, info: InstanceInfo, now: float) -> None:
        """Apply an instance's own description of itself, received over a verified connection.

        A process that resumes after a later one took its name is ignored while the later one is
        responsive. Incarnations have no order, so what decides is which one stops responding.
        """
        if self.is_superseded(info, now):
            return
        known = self.instances.get(info.name)
        if known is None:
            known = self._add(self.instances, info, info.incarnation, now)
        elif info.incarnation != known.incarnation:
            self._mark_past(known)
            known = self._renew(known, info, now)
        known.info = info
        known.last_received_at = now

    def record_contact(self, name: str, now: float) -> None:
        """Record that something was received from an instance or a backend server."""
        known = self.find(name)
        if known is None:
            return
        known.last_received_at = max(now, known.last_received_at or now)
        known.failing_since = None

    def note_lease(self, name: str, holds_lease: bool) -> None:
        """Record an instance's own report on whether it holds a lease."""
        known = self.instances.get(name)
        if known is not None:
            known.holds_lease = holds_lease

    def observe_failure(self, name: str, now: float) -> None:
        """Record that a member did not answer this instance."""
        known = self.find(name)
        if known is not None and known.failing_since is None:
            known.failing_since = now

    def expect_heartbeats(self, names: Iterable[str], now: float) -> None:
        """Expect heartbeats of exactly these instances; only theirs can be overdue."""
        wanted = set(names)
        for name, known in self.instances.items():
            if name not in wanted:
                known.expected_since = None
            elif known.expected_since is None:
                known.expected_since = now

    def apply_leaving(self, name: str, incarnation: str, by: str) -> bool:
        """Apply an announcement that a member leaves; return whether it is new.

        The announcement is final for that incarnation. Backend servers have an empty incarnation.
        """
        if (name, incarnation) in self.leaving_announcements:
            return False
        if len(self.leaving_announcements) >= LEAVING_ANNOUNCEMENTS_MAX:
            del self.leaving_announcements[next(iter(self.leaving_announcements))]
        self.leaving_announcements[(name, incarnation)] = by
        known = self.find(name)
        if known is None:
            return True
        if not known.incarnation and not self.is_past(name, incarnation):
            known.incarnation = incarnation
        if known.incarnation == incarnation:
            known.leaving_by = by
        return True

    def apply_session(self, name: str, incarnation: str, counter: int, now: float) -> None:
        """Apply another instance's session row as read at `now`.

        A term without a read restarts the term: nobody could renew while the table was down.
        """
        known = self.instances.get(name)
        if known is None or name == self.name:
            return
        if incarnation and incarnation != known.incarnation:
            follows = known.session_counter is not None
            if not follows and not self._may_adopt(known, incarnation):
                return
            if self.is_past(name, incarnation):
                return
            if follows:
                self._mark_past(known)
            known = self._renew(known, evolve(known.info, incarnation=incarnation), now)
        missed = now - known.session_read_at > self.limits.session_term_s
        if counter != known.session_counter or missed:
            known.session_counter = counter
            known.session_changed_at = now
        known.session_read_at = now

    def is_past(self, name: str, incarnation: str) -> bool:
        """Return whether an instance has restarted since this incarnation."""
        return bool(incarnation) and incarnation in self.past_incarnations.get(name, ())

    def is_superseded(self, info: InstanceInfo, now: float) -> bool:
        """Return whether a later incarnation is responsive, so that this one is ignored."""
        known = self.instances.get(info.name)
        if known is None or not self.is_past(info.name, info.incarnation):
            return False
        return (
            known.last_received_at is not None
            and now - known.last_received_at <= self.limits.silence_s
        )

    def find(self, name: str) -> Evidence | None:
        """Return the evidence about an instance or a backend server."""
        return self.instances.get(name) or self.backend_servers.get(name)

    def list_leaving_members(self) -> tuple[tuple[str, str], ...]:
        """Return name and incarnation of the members announced as leaving, for new peers."""
        members = (*self.instances.items(), *self.backend_servers.items())
        return tuple((name, known.incarnation) for name, known in members if known.leaving_by)

    def forget(self, name: str) -> None:
        """Remove a member that is gone."""
        self.instances.pop(name, None)
        self.backend_servers.pop(name, None)

    def _apply_listed_instance(self, listed: ListedInstance, now: float) -> None:
        info = listed.info
        known = self.instances.get(info.name)
        if known is None:
            known = self._add(self.instances, info, info.incarnation, now)
        elif self._may_adopt(known, info.incarnation):
            known = self._renew(known, info, now)
        elif known.leaving_by and self._has_returned(known, now):
            known = self._renew(known, info, now)
        _mark_listed(known, listed.leaving)

    def _apply_listed_server(self, listed: ListedBackendServer, now: float) -> None:
        info = listed.info
        known = self.backend_servers.get(info.name)
        if known is not None and self._has_returned(known, now):
            self.leaving_announcements.pop((info.name, ""), None)
            known = None
        if known is None:
            known = self._add(self.backend_servers, info, "", now)
        known.info = info
        _mark_listed(known, listed.leaving)

    def _may_adopt(self, known: Evidence, incarnation: str) -> bool:
        """Return whether another source's claim about an instance's incarnation is accepted.

        The list lags behind, so it changes nothing about an instance known from itself or its
        session.
        """
        if not incarnation or incarnation == known.incarnation or known.info.name == self.name:
            return False
        if self.is_past(known.info.name, incarnation):
            return False
        return not known.incarnation or (
            known.last_received_at is None and known.session_counter is None
        )

    def _mark_past(self, known: Evidence) -> None:
        """Record that an incarnation was followed by another, as it or the table reported."""
        past = self.past_incarnations.setdefault(known.info.name, [])
        if known.incarnation and known.incarnation not in past:
            past.append(known.incarnation)
        del past[:-INCARNATIONS_MAX]

    def _has_returned(self, known: Evidence, now: float) -> bool:
        """Return whether a listed member is a new one, after a whole term off the list.

        A shorter absence may come from a list that lags behind the one read before.
        """
        absent_since = known.absent_since
        return absent_since is not None and now - absent_since >= self.limits.session_term_s

    def _add(
        self, members: dict[str, Evidence], info: MemberInfo, incarnation: str, now: float
    ) -> Evidence:
        known = Evidence(info, incarnation, first_seen_at=now)
        known.leaving_by = self.leaving_announcements.get((info.name, incarnation), "")
        members[info.name] = known
        return known

    def _renew(self, known: Evidence, info: InstanceInfo, now: float) -> Evidence:
        """Replace a member by its next incarnation, which keeps whether it is listed."""
        past = self.past_incarnations.get(info.name, [])
        if info.incarnation in past:
            past.remove(info.incarnation)
        renewed = self._add(self.instances, info, info.incarnation, now)
        renewed.listed = known.listed
        renewed.expected_since = now if known.expected_since is not None else None
        return renewed

    def _mark_absent(self, members: dict[str, Evidence], names: set[str], now: float) -> None:
        for name, known in members.items():
            if name in names:
                continue
            known.listed = False
            if known.absent_since is None:
                known.absent_since = now


def make_instance_info(settings: Settings, incarnation: str) -> InstanceInfo:
    """Return the description of this instance from its settings."""
    own = settings.instance
    return InstanceInfo(
        own.name,
        own.data_centre,
        own.region,
        own.host,
        own.caller_port,
        own.operator_port,
        own.peer_port,
        incarnation,
    )


def _mark_listed(known: Evidence, leaving: bool) -> None:
    known.listed = True
    known.absent_since = None
    known.listed_leaving = leaving
