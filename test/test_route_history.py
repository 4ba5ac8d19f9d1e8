"""Since when a route leads to its services, which decides on streams that nobody remembers."""

import pytest
from attrs import evolve

from rhubarbshed.platform.records import read_configuration
from rhubarbshed.protocol.routes import Configuration
from rhubarbshed.protocol.tables import Row
from rhubarbshed.state.membership.route_history import KEPT_S, RouteHistory
from rhubarbshed.transport.edge.follower import Follower
from rhubarbshed.transport.edge.view import View
from test.helper_edge import make_configuration, make_route, make_settings

START, NOW = 1000.0, 2000.0
ROUTE = make_route("streaming", "/s/")


def make(*routes: dict, version: int = 1) -> Configuration:
    """Return a configuration."""
    return read_configuration(make_configuration(*routes, version=version)).unwrap()


@pytest.mark.parametrize(
    ("after", "since"),
    [
        ((ROUTE,), START),
        (({**ROUTE, "TimeoutMs": 1},), START),
        (({**ROUTE, "Service": "svc2"},), NOW),
        ((ROUTE, make_route("streaming", "/t/")), START),
        ((ROUTE, make_route("streaming", "/s/t/")), NOW),
        ((ROUTE, make_route("streaming", "/")), NOW),
        ((ROUTE, make_route("streaming", "/", Host="other.example")), START),
    ],
)
def test_route_leads_elsewhere_from_the_change_of_one_that_its_paths_may_match(after, since):
    for before, now_known in (((ROUTE,), after), (after, (ROUTE,))):
        history = RouteHistory()
        history.restart(START)
        known = make(*now_known)
        history.record(make(*before), known, NOW)
        route = known.find_route(ROUTE["Host"], "/s/x")
        assert history.find_since(route) == since
        later = evolve(known, version=9)
        history.record(known, later, NOW + KEPT_S + 1.0)
        assert history.find_since(route) == START


@pytest.mark.parametrize(
    ("is_full_read", "lost", "since"),
    [(False, False, START), (True, False, NOW), (False, True, NOW)],
)
def test_configurations_that_may_have_been_missed_are_a_gap(
    is_full_read: bool, lost: bool, since: float
):
    view = View.from_settings(make_settings(("127.0.0.1", 1)))
    follower = Follower(None, view)
    routes = view.versions.routes
    for version, now in ((1, START), (2, NOW)):
        row = Row("config", version, make_configuration(ROUTE, version=version), version)
        if version == 2 and lost:
            follower.regained_at = NOW - 1.0
        follower._apply_operator((row,), is_full_read or version == 1, now)
    route = view.configuration.find_route(ROUTE["Host"], "/s/x")
    assert routes.find_since(route) == since
    assert RouteHistory().find_since(route) is None
