"""Software versions that an instance has seen in the services, and since when it misses none."""

from attrs import define, field

from rhubarbshed.protocol.servers import ServerEntry
from rhubarbshed.state.membership.entry_age import EntryAge
from rhubarbshed.state.membership.fleet import Fleet
from rhubarbshed.state.membership.route_history import RouteHistory

KEPT_S = 3600.0
"""Time for which versions and servers that are gone are kept, longer than any stream lasts."""


@define
class VersionHistory:
    """(service, version) pairs with the monotonic seconds at which each was last seen.

    Since `followed_since` no entry was missed, as far as the entries were read (`entry_age`); None
    before the first read.
    `known_servers` are the ids of all entries, also unreadable ones, since the removal of another
    one shows that an entry was missed. `routes` show where a stream may have begun.
    """

    followed_since: float | None = None
    entry_age: EntryAge = field(factory=EntryAge)
    last_seen: dict[tuple[str, str], float] = field(factory=dict)
    known_servers: dict[str, float] = field(factory=dict)
    lapsed: dict[str, tuple[str, str, float]] = field(factory=dict)
    routes: RouteHistory = field(factory=RouteHistory)

    def restart(self, now: float) -> None:
        """Record that entries may have come and gone unseen until now."""
        self.followed_since = now
        self.entry_age.record_gap(now)

    def record_entry(self, entry: ServerEntry, now: float) -> None:
        """Record an entry that is, or until now was, in force."""
        service, version, _ = self.lapsed.pop(entry.server_id, (entry.service, entry.version, now))
        self.last_seen[service, version] = now
        self.last_seen[entry.service, entry.version] = now
        self.known_servers[entry.server_id] = now

    def record_lapsed(self, entry: ServerEntry, now: float) -> None:
        """Record an entry that lapsed although its server had not announced that it leaves.

        The server may serve on where the store is out of its reach but other instances are not.
        """
        self.record_entry(entry, now)
        self.lapsed[entry.server_id] = (entry.service, entry.version, now)

    def record_unreadable(self, server_id: str, now: float) -> None:
        """Record an entry that names no server to use."""
        self.known_servers[server_id] = now

    def record_removal(self, server_id: str, now: float) -> None:
        """Record the removal of an entry; one that was never seen may have had any version."""
        if server_id not in self.known_servers and self.followed_since is not None:
            self.restart(now)
        self.known_servers[server_id] = now

    def list_seen(self, fleet: Fleet, since: float) -> frozenset[tuple[str, str]]:
        """List the pairs that servers have now or had at `since` or later, or lapsed with."""
        entries = (record.entry for record in fleet.servers.values())
        present = {(entry.service, entry.version) for entry in entries}
        present |= {(service, version) for service, version, _ in self.lapsed.values()}
        return frozenset(present | {pair for pair, at in self.last_seen.items() if at >= since})

    def drop_older(self, fleet: Fleet, now: float) -> None:
        """Drop what has not been seen for long, except for servers that are present."""
        until = now - KEPT_S
        self.last_seen = {pair: at for pair, at in self.last_seen.items() if at > until}
        self.lapsed = {key: each for key, each in self.lapsed.items() if each[2] > until}
        self.known_servers = {
            server_id: at
            for server_id, at in self.known_servers.items()
            if at > until or server_id in fleet.servers
        }
