"""Checks of the keys of requests: once their route is known, and before each attempt."""

import logging
import time

from rhubarbshed.coordination.serving.account_access import Access, Refusal, decide_access
from rhubarbshed.coordination.serving.refusals import make_access_refusal
from rhubarbshed.protocol.errors import RequestError
from rhubarbshed.transport.edge.request_progress import RequestProgress
from rhubarbshed.transport.edge.view import View, measure_age_ms
from rhubarbshed.util.clocks import read_lease_clock
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)


def may_trust_keys(view: View, now: float) -> bool:
    """Return whether the keys of the known configuration are trusted; `now` is of the lease clock.

    Without strict revocation there is no bound on their age.
    """
    if not view.settings.strict_revocation:
        return True
    return view.versions.entry_age.is_configuration_trusted(view.settings.revocation_s, now)


def is_undecided(progress: RequestProgress) -> bool:
    """Return whether only a confirmed configuration can decide on the request."""
    now = read_lease_clock()
    if progress.route is None:
        return not progress.relay.view.may_refuse_finally(now)
    return find_access(progress, now).refusal is Refusal.KEYS_UNCONFIRMED


def may_send(progress: RequestProgress, now: float) -> bool:
    """Return whether the request may be sent now, and note its account."""
    return find_access(progress, now).refusal is None


def find_access(progress: RequestProgress, now: float) -> Access:
    """Decide on the key of a request by what is known now, and note its account if it has one."""
    view = progress.relay.view
    access = decide_access(
        view.configuration.accounts,
        progress.route,
        progress.request.key,
        lambda at: may_trust_keys(view, at),
        view.may_refuse_finally,
        now,
    )
    if access.refusal is None:
        progress.account = access.account
    return access


def check_access(progress: RequestProgress) -> RequestError | None:
    """Return the error for a request whose key does not allow it now, None if it may be sent."""
    now = read_lease_clock()
    access = find_access(progress, now)
    if access.refusal is None:
        return None
    view, reason = progress.relay.view, access.refusal.value
    progress.relay.metrics.count_access_refused(access.named, reason)
    log_event(
        LOG,
        logging.INFO,
        "access_refused",
        request=progress.request.request_id,
        route=progress.route.name,
        account=access.named,
        reason=reason,
        configuration=view.configuration.version,
        configuration_age_ms=measure_age_ms(view, now),
        run=progress.tries.run,
    )
    confirmed_in_s = view.next_read_at - time.monotonic()
    return make_access_refusal(access.refusal, view.rng, confirmed_in_s)


def list_account_values(view: View) -> dict[str, float]:
    """Return what is known of accounts by name of the metric; nothing without accounts."""
    accounts = view.configuration.accounts if view.configuration is not None else None
    if accounts is None:
        return {}
    age_s = view.versions.entry_age.measure_configuration_age(read_lease_clock())
    return {
        "accounts": len(accounts.list_accounts()),
        "accounts_unreadable": len(accounts.problems),
        "configuration_age_seconds": age_s,
    }
