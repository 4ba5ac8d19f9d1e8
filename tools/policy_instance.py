"""Run an instance that chooses backend servers by a simple baseline policy."""

import os
from itertools import count

from rhubarbshed import daemon
from rhubarbshed.coordination.requests.coordinator import RequestCoordinator
from rhubarbshed.coordination.requests.routing import Route
from rhubarbshed.state.membership.load import Candidate, ServerLoad
from rhubarbshed.state.requests.attempts import OpenRequest

POLICY_VARIABLE = "RHUBARBSHED_MEASURED_POLICY"
ROUND_ROBIN = "round_robin"
LEAST_CONNECTIONS = "least_connections"

server_numbers = count()


def count_reported_requests(server: ServerLoad) -> int:
    """Return open requests by the last report alone, however old it is."""
    report = server.report
    return report.running + report.waiting if report else 0


def choose_round_robin(coordinator: RequestCoordinator, usable: list[Candidate]) -> Candidate:
    """Return the next server in rotation."""
    return usable[next(server_numbers) % len(usable)]


def choose_least_connections(coordinator: RequestCoordinator, usable: list[Candidate]) -> Candidate:
    """Return the server with the fewest requests by its last report."""
    requests_by_server = {
        each.info.name: count_reported_requests(coordinator.load.servers[each.info.name])
        for each in usable
    }
    return min(
        usable,
        key=lambda each: (requests_by_server[each.info.name], coordinator.rng.random()),
    )


CHOICES = {ROUND_ROBIN: choose_round_robin, LEAST_CONNECTIONS: choose_least_connections}


def choose_by_baseline(
    coordinator: RequestCoordinator, item: OpenRequest, extra: frozenset[str], now: float
) -> Route | None:
    """Choose by the baseline; isolated runs of suspect requests are still placed by the product."""
    avoided = coordinator.suspects.list_isolated_servers(now) | extra
    candidates = coordinator.lookup.list_candidates(item.request, coordinator.load, now)
    usable = [each for each in candidates if not each.lost and each.info.name not in avoided]
    untried = [each for each in usable if each.info.name not in item.failed_servers]
    if not usable:
        return None
    chosen = CHOICES[os.environ[POLICY_VARIABLE]](coordinator, untried or usable)
    return Route(chosen, 0.0, 0.0)


def main() -> None:
    """Run the daemon with the baseline named by the environment variable, if any."""
    if os.environ.get(POLICY_VARIABLE) in CHOICES:
        RequestCoordinator._choose = choose_by_baseline
    daemon.main()


if __name__ == "__main__":
    main()
