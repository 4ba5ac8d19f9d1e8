"""Run an instance whose choice of backend servers is replaced by a simple baseline."""

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

turns = count()


def count_reported(server: ServerLoad) -> int:
    """Return requests in flight by the last report alone, however old it is."""
    report = server.report
    return report.running + report.waiting if report else 0


def take_turn(coordinator: RequestCoordinator, found: list[Candidate]) -> Candidate:
    """Return each server in turn."""
    return found[next(turns) % len(found)]


def take_least(coordinator: RequestCoordinator, found: list[Candidate]) -> Candidate:
    """Return the server with the fewest requests by its last report."""
    fewest = {
        each.info.name: count_reported(coordinator.load.servers[each.info.name]) for each in found
    }
    return min(found, key=lambda each: (fewest[each.info.name], coordinator.rng.random()))


CHOICES = {ROUND_ROBIN: take_turn, LEAST_CONNECTIONS: take_least}


def choose_by_baseline(
    coordinator: RequestCoordinator, item: OpenRequest, extra: frozenset[str], now: float
) -> Route | None:
    """Choose as the baseline does; a suspect's trial is placed by the product in any case."""
    avoided = coordinator.suspects.list_isolated_servers(now) | extra
    candidates = coordinator.lookup.list_candidates(item.request, coordinator.load, now)
    found = [each for each in candidates if not each.lost and each.info.name not in avoided]
    fresh = [each for each in found if each.info.name not in item.failed_servers]
    if not found:
        return None
    chosen = CHOICES[os.environ[POLICY_VARIABLE]](coordinator, fresh or found)
    return Route(chosen, 0.0, 0.0)


def main() -> None:
    """Run the daemon with the baseline that the environment names, if any."""
    if os.environ.get(POLICY_VARIABLE) in CHOICES:
        RequestCoordinator._choose = choose_by_baseline
    daemon.main()


if __name__ == "__main__":
    main()
