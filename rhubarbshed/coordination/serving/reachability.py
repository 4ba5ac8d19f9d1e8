"""Whether this instance reaches backend servers at all.

Failure: the links of an instance to all servers are cut while callers, the store and other
instances still reach it. Each request would find that out anew, server by server, and be refused.
If all servers have ended, they look the same from here, but also from every other instance.
"""

import random
from collections.abc import Collection

from attrs import define, frozen

from rhubarbshed.state.membership.fleet import Fleet, ServerRecord

PROBED_SERVERS = 4
"""Servers that are probed first in a round."""

PROBED_SERVERS_MAX = 32
"""Most servers that are probed in a round in which connections are refused: both a cut and servers
that have ended refuse them, and many may end at once."""

PROBE_INTERVAL_S = 0.3
"""Time between two rounds of probes of an instance that is cut off, and the age up to which a
round answers the questions of other instances."""

PROBE_INTERVAL_MAX_S = 1.2
"""Longest time between two rounds while no instance is known to reach a server; it is doubled up
to this, since all instances may be asking."""

REACHED_SHARE = 0.5
"""Share of the probed servers that must be reached again until the cut counts as healed: links come
back in parts, and meanwhile other instances serve better."""


@frozen
class ProbeResult:
    """Numbers of servers that a round of probes tried, reached, and was refused a connection by."""

    probed: int = 0
    reached: int = 0
    refused: int = 0


@define
class Reachability:
    """What rounds of probes showed; `cut_since` is monotonic seconds, None while in touch.

    `suspected` means that a connection failed and no round of probes has been made since. `vain`
    counts the rounds in a row in which neither this instance nor another one reached a server.
    """

    cut_since: float | None = None
    suspected: bool = False
    vain: int = 0

    @property
    def is_cut(self) -> bool:
        """Return whether no server can be reached from here, but from other instances."""
        return self.cut_since is not None

    def measure_cut(self, now: float) -> float:
        """Return the seconds since the links were found to be cut, 0 while they are not."""
        return 0.0 if self.cut_since is None else max(1e-3, now - self.cut_since)

    def suspect(self) -> bool:
        """Record that a connection to a server failed; return whether a round of probes is due."""
        if self.is_cut or self.suspected or self.vain:
            return False
        self.suspected = True
        return True

    def record_round(self, reached: int, probed: int, others_reach: bool, now: float) -> bool:
        """Record a round of probes; return whether it began or ended a cut.

        `others_reach` is whether another instance said that it reaches servers.
        """
        self.suspected = False
        was_cut = self.is_cut
        if was_cut and reached >= max(1.0, REACHED_SHARE * probed):
            self.cut_since = None
        elif not was_cut and probed and not reached and others_reach:
            self.cut_since = now
        self.vain = 0 if reached or self.is_cut else self.vain + 1
        return self.is_cut != was_cut

    def measure_pause(self) -> float:
        """Return the seconds until the next round of probes."""
        return min(PROBE_INTERVAL_MAX_S, PROBE_INTERVAL_S * 2 ** max(0, self.vain - 1))


def choose_probed(
    fleet: Fleet, services: Collection[str], rng: random.Random
) -> list[ServerRecord]:
    """Choose the servers of the next round of probes, at random among those that stay.

    Requests go to these `services` only; other entries may be of another writer. All but the first
    `PROBED_SERVERS` are for a round that `is_ambiguous`.
    """
    known = list(fleet.servers.values())
    records = [each for each in known if each.entry.service in services] or known
    staying = [each for each in records if each.leaving_at is None and each.missing_since is None]
    candidates = staying or records
    return rng.sample(candidates, min(PROBED_SERVERS_MAX, len(candidates)))


def is_ambiguous(result: ProbeResult) -> bool:
    """Return whether the servers of a round may have ended: some refused, and none was reached."""
    return not result.reached and result.refused > 0
