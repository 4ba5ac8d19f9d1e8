"""Whether this instance reaches backend servers at all.

Failure: the links of an instance to all servers are cut while callers, the store and other
instances still reach it. Each request would find that out anew, server by server, and be refused.
"""

import random
from collections.abc import Collection

from attrs import define

from rhubarbshed.state.membership.fleet import Fleet, ServerRecord

PROBED_SERVERS = 4
"""Servers that are probed together; that all of them ended at once is rare, and an instance that
takes it for a cut only asks others in vain."""

PROBE_INTERVAL_S = 0.3
"""Time between two rounds of probes of an instance that is cut off."""

REACHED_SHARE = 0.5
"""Share of the probed servers that must be reached again until the cut counts as healed: links come
back in parts, and meanwhile other instances serve better."""


@define
class Reachability:
    """What the last round of probes showed; `cut_since` is monotonic seconds, None while in touch.

    `suspected` means that a connection failed and no round of probes has been made since.
    """

    cut_since: float | None = None
    suspected: bool = False

    @property
    def is_cut(self) -> bool:
        """Return whether no server can be reached."""
        return self.cut_since is not None

    def suspect(self) -> bool:
        """Record that a connection to a server failed; return whether a round of probes is due."""
        if self.is_cut or self.suspected:
            return False
        self.suspected = True
        return True

    def record_probes(self, reached: int, probed: int, now: float) -> bool:
        """Record a round of probes; return whether it changed anything."""
        self.suspected = False
        was_cut = self.is_cut
        if not was_cut and probed and not reached:
            self.cut_since = now
        elif was_cut and reached >= max(1.0, REACHED_SHARE * probed):
            self.cut_since = None
        return self.is_cut != was_cut


def choose_probed(fleet: Fleet, rng: random.Random) -> list[ServerRecord]:
    """Choose the servers of the next round of probes, at random among those that stay."""
    staying: Collection[ServerRecord] = [
        record
        for record in fleet.servers.values()
        if record.leaving_at is None and record.missing_since is None
    ] or list(fleet.servers.values())
    return rng.sample(list(staying), min(PROBED_SERVERS, len(staying)))
