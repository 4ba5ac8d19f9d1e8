"""Answers to questions where a request would be sent now, on the port of the metrics.

Nothing is sent to a server, and nothing that decides on requests is changed.
"""

import json
import random
import time
from collections.abc import Callable
from urllib.parse import parse_qs

from attrs import asdict, evolve

from rhubarbshed.coordination.serving.account_access import decide_access
from rhubarbshed.coordination.serving.explanation import (
    Explanation,
    Query,
    Surroundings,
    copy_random,
    explain,
)
from rhubarbshed.coordination.serving.refusals import (
    DRAINING_RETRY_S,
    draw_retry_after,
    make_access_refusal,
)
from rhubarbshed.coordination.serving.start_wait import estimate_first_read
from rhubarbshed.protocol.accounts import Accounts
from rhubarbshed.protocol.errors import RequestError
from rhubarbshed.protocol.exchanges import Headers
from rhubarbshed.protocol.routes import Route
from rhubarbshed.transport.edge.access_checks import may_trust_keys
from rhubarbshed.transport.edge.relay import Relay
from rhubarbshed.transport.edge.request_logs import find_stage
from rhubarbshed.transport.edge.request_progress import RequestProgress
from rhubarbshed.transport.edge.view import View
from rhubarbshed.util.clocks import read_lease_clock

EXPLAIN_PATH = b"/explain"
KEY = b"rhubarbshed-key"
TIMEOUT_MAX_MS = 10_000_000
JSON_HEADERS: Headers = ((b"content-type", b"application/json"),)

Answer = tuple[int, bytes]


def is_explain(target: bytes) -> bool:
    """Return whether a request on the port of the metrics asks for an explanation."""
    return target.split(b"?", 1)[0] == EXPLAIN_PATH


def answer_explain(relay: Relay, target: bytes, headers: Headers) -> Answer:
    """Return the status and JSON that answer a question."""
    now = time.monotonic()
    asked = read_parameters(target)
    if "id" in asked:
        progress = find_open(relay, asked["id"])
        if progress is None:
            return make_error(404, "not_open", "no request with this id is in progress here")
        return answer_open(relay, progress, now)
    timeout_ms = asked.get("timeout_ms", "30000")
    if not asked.get("host") or not asked.get("path", "").startswith("/"):
        return make_error(400, "no_request", "host and path, or id, are needed")
    if not timeout_ms.isdecimal() or not 0 < int(timeout_ms[:9]) <= TIMEOUT_MAX_MS:
        return make_error(400, "bad_timeout", "timeout_ms is no number of milliseconds")
    query = Query(
        asked["host"],
        asked["path"].split("?", 1)[0],
        asked.get("model", ""),
        asked.get("adapter", ""),
        int(timeout_ms[:9]) / 1000.0,
    )
    key = read_key(headers)
    surroundings = evolve(survey(relay, now), check_access=make_access_check(relay.view, key))
    found = explain(query, surroundings, relay.view.rng, now)
    return render({**to_plain(found), **describe_account(relay.view, query, key)})


def read_parameters(target: bytes) -> dict[str, str]:
    """Return the last value of each parameter of a target."""
    _, _, text = target.partition(b"?")
    found = parse_qs(text.decode("latin-1"), errors="replace")
    return {name: values[-1] for name, values in found.items()}


def survey(relay: Relay, now: float) -> Surroundings:
    """Return what the instance knows and what holds for all requests."""
    view = relay.view
    return Surroundings(
        configuration=view.configuration,
        fleet=view.fleet,
        data_centre=view.settings.data_centre,
        instances=view.budget.instances,
        is_cut=relay.links.is_cut,
        refused=check_draining(view, copy_random(view.rng), now),
        read_in_s=estimate_first_read(view.next_read_at, now),
        has_pressure=view.settings.has_pressure,
        leaving_since=view.versions.entry_age.find_announced_since(view.settings.drain_s, now),
        may_refuse=view.may_refuse_finally(read_lease_clock()),
        is_store_lost=view.versions.entry_age.lost_at is not None,
        confirmed_in_s=view.next_read_at - now,
    )


def check_draining(view: View, rng: random.Random, now: float) -> RequestError | None:
    """Return the error for all requests that come behind the announcement of a stop."""
    if view.drain.started_at is None:
        return None
    return view.drain.check_open(draw_retry_after(DRAINING_RETRY_S, rng), now)


def find_open(relay: Relay, request_id: str) -> RequestProgress | None:
    """Return a request in progress by its id."""
    found = (each for each in relay.open_requests if each.request.request_id == request_id)
    return next(found, None)


def answer_open(relay: Relay, progress: RequestProgress, now: float) -> Answer:
    """Return the progress of a request, and where it would be sent next."""
    request, attempt = progress.request, progress.last_attempt
    plain: dict[str, object] = {
        "id": request.request_id,
        "account": progress.account.name if progress.account is not None else None,
        "stage": find_stage(progress).value,
        "tried": progress.servers,
        "run": progress.tries.run,
        "refused": progress.tries.refused,
        "in_flight": progress.in_flight,
        "age_s": round(now - request.received_at, 3),
        "queued_s": round(progress.queued_s, 3),
        "waited_s": round(progress.waited_s, 3),
        "last_status": attempt.status if attempt is not None else None,
        "last_detail": attempt.detail if attempt is not None else "",
    }
    if progress.route is None:
        return render({"progress": plain})
    plain["left_s"] = round(progress.deadline - now, 3)
    query = Query(
        request.host,
        request.path,
        request.model,
        request.adapter,
        max(0.0, progress.deadline - now),
        frozenset(progress.excluded),
        progress.service,
        progress.caller_response.version if progress.caller_response is not None else None,
        progress.queued_s,
    )
    found = explain(query, survey(relay, now), relay.view.rng, now)
    return render({"progress": plain, **to_plain(found)})


def read_key(headers: Headers) -> str | None:
    """Return the key that came with a question, None without one."""
    values = [value for name, value in headers if name.lower() == KEY]
    return values[-1].decode("latin-1") if values else None


def make_access_check(view: View, key: str | None) -> Callable[[Route], RequestError | None]:
    """Return what decides on a key for a route, as for a request that has it."""
    accounts = view.configuration.accounts if view.configuration is not None else None

    def check(route: Route) -> RequestError | None:
        at = read_lease_clock()
        access = decide_access(
            accounts,
            route,
            key,
            lambda now: may_trust_keys(view, now),
            view.may_refuse_finally,
            at,
        )
        if access.refusal is None:
            return None
        confirmed_in_s = view.next_read_at - time.monotonic()
        return make_access_refusal(access.refusal, copy_random(view.rng), confirmed_in_s)

    return check


def describe_account(view: View, query: Query, key: str | None) -> dict[str, object]:
    """Return the account of the key that came with a question, by its name."""
    configuration = view.configuration
    if configuration is None or configuration.accounts is None:
        return {}
    route = configuration.find_route(query.host.lower(), query.path)
    if route is not None and not route.needs_key:
        return {"key": "not_needed"}
    return name_account(configuration.accounts, key or "")


def name_account(accounts: Accounts, key: str) -> dict[str, object]:
    """Return what is known of a key, without the key."""
    if not key:
        return {"key": "none"}
    if key in accounts.unreadable_keys:
        return {"key": "unreadable"}
    account = accounts.by_key.get(key)
    if account is None:
        return {"key": "unknown"}
    return {"key": "known", "account": account.name, "account_priority": account.priority}


def to_plain(found: Explanation) -> dict[str, object]:
    """Return an explanation as plain values, with rounded numbers."""
    return asdict(found, value_serializer=lambda _, field, value: make_plain(value))


def make_plain(value: object) -> object:
    """Return a value that JSON has."""
    if isinstance(value, float):
        return round(value, 3)
    return value.value if hasattr(value, "value") else value


def make_error(status: int, code: str, message: str) -> Answer:
    """Return an error in the form of the operator ports."""
    return render({"error": {"code": code, "message": message}}, status)


def render(plain: dict[str, object], status: int = 200) -> Answer:
    """Return an answer with JSON."""
    return status, json.dumps(plain).encode()
