"""Rules that turn the evidence about a member into its standing."""

from attrs import frozen

from rhubarbshed.protocol.members import BackendServerInfo, InstanceInfo, Standing
from rhubarbshed.state.membership.membership import Evidence, Membership, MembershipLimits


@frozen
class Judgement:
    """Standing of a member and the evidence that decided it."""

    standing: Standing
    evidence: str


def judge_standing(known: Evidence, limits: MembershipLimits, now: float) -> Judgement:
    """Judge a member; missing heartbeats alone make it suspected, never gone.

    It is gone only if it is off the platform's list or its session is dead, and nothing has been
    received from it recently.
    """
    last_received = _describe_last_received(known, now)
    responsive = _is_responsive(known, limits, now)
    ended = _describe_end(known, limits)
    if ended and not responsive:
        return Judgement(Standing.GONE, f"{ended}; {last_received}")
    if known.leaving_by:
        return Judgement(Standing.LEAVING, f"leaving by the word of {known.leaving_by}")
    if known.listed_leaving:
        return Judgement(Standing.LEAVING, "listed as leaving")
    if known.failing_since is not None:
        return Judgement(Standing.SUSPECTED, f"no answer for {now - known.failing_since:.1f} s")
    if ended:
        return Judgement(Standing.LIVE, f"{ended}, but {last_received}")
    if _is_unresponsive(known, limits, now):
        return Judgement(Standing.SUSPECTED, f"expected heartbeats; {last_received}")
    source = "listed" if known.listed else "not listed yet"
    return Judgement(Standing.LIVE, f"{source}; {last_received}")


def _is_responsive(known: Evidence, limits: MembershipLimits, now: float) -> bool:
    """Return whether something was received within the time allowed."""
    if known.failing_since is not None or known.last_received_at is None:
        return False
    return now - known.last_received_at <= limits.silence_s


def _is_unresponsive(known: Evidence, limits: MembershipLimits, now: float) -> bool:
    """Return whether expected heartbeats did not arrive in time."""
    if known.expected_since is None:
        return False
    last_received_at = known.expected_since
    if known.last_received_at is not None:
        last_received_at = max(last_received_at, known.last_received_at)
    return now - last_received_at > limits.silence_s


def _describe_end(known: Evidence, limits: MembershipLimits) -> str:
    """Return the evidence that a member has ended, or an empty string.

    A session is dead if its row was read unchanged for a whole term; while the table cannot
    be read, no session dies.
    """
    if known.absent_since is not None:
        return "not on the platform's list"
    if known.session_counter is None:
        return ""
    unchanged_s = known.session_read_at - known.session_changed_at
    if unchanged_s >= limits.session_term_s:
        return f"session unchanged for {unchanged_s:.1f} s"
    return ""


def _describe_last_received(known: Evidence, now: float) -> str:
    if known.last_received_at is None:
        return "never heard"
    return f"heard {now - known.last_received_at:.1f} s ago"


def get_standing(membership: Membership, name: str, now: float) -> Standing:
    """Return the standing of a member in this view; an unknown one is gone."""
    return explain(membership, name, now).standing


def explain(membership: Membership, name: str, now: float) -> Judgement:
    """Return a member's standing with its evidence."""
    known = membership.find(name)
    if known is None:
        return Judgement(Standing.GONE, "unknown")
    if name == membership.name and not known.leaving_by and not known.listed_leaving:
        return Judgement(Standing.LIVE, "this instance")
    if name == membership.name:
        return Judgement(Standing.LEAVING, "this instance leaves")
    return judge_standing(known, membership.limits, now)


def may_return(membership: Membership, name: str, now: float) -> bool:
    """Return whether an instance may still return: listed, or not gone by its own evidence.

    While no list is known, every instance may.
    """
    listed = membership.last_list
    if listed is None or any(one.info.name == name for one in listed.instances):
        return True
    if name not in membership.instances:
        return False
    return get_standing(membership, name, now) is not Standing.GONE


def list_instances(
    membership: Membership, now: float, *standings: Standing, data_centre: str = ""
) -> tuple[InstanceInfo, ...]:
    """Return instances of these standings (default: live), in order of their names."""
    standings_wanted = standings or (Standing.LIVE,)
    return tuple(
        known.info
        for name, known in sorted(membership.instances.items())
        if data_centre in ("", known.info.data_centre)
        and get_standing(membership, name, now) in standings_wanted
    )


def list_lease_holders(
    membership: Membership, now: float, data_centre: str
) -> tuple[InstanceInfo, ...]:
    """Return live instances of a data centre that may own backend servers.

    An instance that reports no lease cannot take over the backend servers it is preferred for.
    One that has not reported yet counts as holding a lease.
    """
    found = list_instances(membership, now, data_centre=data_centre)
    return tuple(info for info in found if membership.instances[info.name].holds_lease)


def list_backend_servers(
    membership: Membership, now: float, *standings: Standing, data_centre: str = ""
) -> tuple[BackendServerInfo, ...]:
    """Return backend servers of these standings (default: live), in order of their names."""
    standings_wanted = standings or (Standing.LIVE,)
    return tuple(
        known.info
        for name, known in sorted(membership.backend_servers.items())
        if data_centre in ("", known.info.data_centre)
        and get_standing(membership, name, now) in standings_wanted
    )
