"""Choice of a backend server by predicted time to the first token."""

import random
from collections.abc import Iterable

from attrs import frozen

from rhubarbshed.protocol.requests import Priority, Request
from rhubarbshed.state.membership.load import Candidate
from rhubarbshed.util.rendezvous import weigh
from rhubarbshed.util.settings import RoutingSettings

ADAPTER_LOAD_S = 0.01
FAILURE_COST_S = 0.5
SUSPECTED_COST_S = 1.0
STALE_COST_S = 0.2
PREFILL_DEFAULT_TOKENS_PER_S = 4000.0
PAIR_SIZE = 2
RANK_OFFSET_S = 0.05
EXPONENT_AGE_S = 2.0
EXPONENT_MIN = 2.0
EXPONENT_MAX = 8.0
QUEUE_SHARE_AHEAD = {Priority.INTERACTIVE: 0.5, Priority.STANDARD: 1.0, Priority.BATCH: 1.0}
# Batch work also waits for work of higher priority that arrives after it.
LATER_ARRIVALS_FACTOR = {Priority.INTERACTIVE: 1.0, Priority.STANDARD: 1.0, Priority.BATCH: 1.5}


@frozen
class Route:
    """Backend server with the predicted time to its first token and its rank, in seconds.

    `rank_s` adds the cost of uncertainty about the server to the prediction; only the choice
    between servers uses it, so that uncertainty makes none unreachable. `idle_s` is the part of
    the prediction that the request would need on an idle server as well.
    """

    candidate: Candidate
    predicted_s: float
    rank_s: float
    idle_s: float = 0.0


def predict_first_token(
    request: Request, candidate: Candidate, data_centre: str, settings: RoutingSettings
) -> float:
    """Return the seconds until a request sent now has its first token."""
    report_weight = _compute_report_weight(candidate, settings)
    queue_s = _predict_queue(request.priority, candidate, report_weight)
    waiting_s = candidate.waiting_tokens * report_weight / _find_prefill_speed(candidate)
    waiting_s = 0.0 if request.service else waiting_s
    return queue_s + waiting_s + predict_idle(request, candidate, data_centre, settings)


def predict_idle(
    request: Request, candidate: Candidate, data_centre: str, settings: RoutingSettings
) -> float:
    """Return the seconds until the first token on a server that has no other requests."""
    own_tokens = request.prompt_tokens * (1.0 - candidate.cached_share)
    prefill_s = 0.0 if request.service else own_tokens / _find_prefill_speed(candidate)
    adapter_s = 0.0 if candidate.adapter_resident else ADAPTER_LOAD_S
    is_near = candidate.info.data_centre == data_centre
    distance_s = 0.0 if is_near else settings.distance_cost_s
    return prefill_s + adapter_s + distance_s


def compute_uncertainty_cost(candidate: Candidate, settings: RoutingSettings) -> float:
    """Return the penalty, in seconds, for recent failures, suspicion and an old report."""
    report_weight = _compute_report_weight(candidate, settings)
    suspected_s = SUSPECTED_COST_S if candidate.suspected else 0.0
    return candidate.failures * FAILURE_COST_S + (1.0 - report_weight) * STALE_COST_S + suspected_s


def _compute_report_weight(candidate: Candidate, settings: RoutingSettings) -> float:
    """Return the weight of a report: 1 while it is recent enough, less the older it is."""
    return min(1.0, settings.report_age_max_s / max(candidate.report_age_s, 1e-9))


def make_route(
    request: Request, candidate: Candidate, data_centre: str, settings: RoutingSettings
) -> Route:
    """Return the route to a candidate, with its prediction."""
    predicted_s = predict_first_token(request, candidate, data_centre, settings)
    rank_s = predicted_s + compute_uncertainty_cost(candidate, settings)
    idle_s = predict_idle(request, candidate, data_centre, settings)
    return Route(candidate, predicted_s, rank_s, idle_s)


def _predict_queue(priority: Priority, candidate: Candidate, report_weight: float) -> float:
    """Return the seconds of wait for a slot; old reports count less, own attempts in full."""
    others = max(0.0, candidate.in_flight + candidate.unreported - candidate.own_in_flight)
    in_flight = candidate.own_in_flight + report_weight * others
    if in_flight < candidate.slots:
        return 0.0
    share = _estimate_share_ahead(priority, candidate.own_priorities)
    ahead = (in_flight - candidate.slots) * share * LATER_ARRIVALS_FACTOR[priority] + 1.0
    return ahead * candidate.slot_time_s / candidate.slots


def _estimate_share_ahead(priority: Priority, own: tuple[Priority, ...]) -> float:
    """Return the share of a queue that goes first, assuming the mix of the own attempts."""
    if not own:
        return QUEUE_SHARE_AHEAD[priority]
    return sum(1 for each in own if each <= priority) / len(own)


def _find_prefill_speed(candidate: Candidate) -> float:
    """Return prompt tokens per second."""
    return candidate.prefill_tokens_per_s or PREFILL_DEFAULT_TOKENS_PER_S


def rank_by_key(key: str, candidates: Iterable[Candidate]) -> list[Candidate]:
    """Order candidates by rendezvous hashing: the same on every instance, without shared state.

    Source: Thaler and Ravishankar, A Name-Based Mapping Scheme for Rendezvous, 1996.
    """
    return sorted(
        candidates,
        key=lambda candidate: weigh(key, candidate.info.name),
    )


def find_pair(request: Request, candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the two servers that a request may go to; recently lost servers keep their rank.

    Only the fingerprint decides, so copies of one request go to the same two servers through
    any instance, while different requests are spread over all servers. A copy of a model that
    not every instance knows of yet is chosen only if there is no other one.
    """
    key = request.fingerprint or request.request_id
    ranked = rank_by_key(key, candidates)
    pair = [found for found in ranked if not found.newly_resident][:PAIR_SIZE]
    if len(pair) < PAIR_SIZE and all(found.lost for found in pair):
        pair += [found for found in ranked if found.newly_resident and not found.lost][:1]
    return pair


def choose_route(
    request: Request,
    pair: Iterable[Candidate],
    data_centre: str,
    settings: RoutingSettings,
    rng: random.Random,
    avoided: frozenset[str] = frozenset(),
) -> Route | None:
    """Choose between the usable servers of a pair; None if there are none.

    Two choices keep the load even. Source: Mitzenmacher, The Power of Two Choices in Randomized
    Load Balancing, 2001.
    """
    routes = [
        make_route(request, found, data_centre, settings)
        for found in pair
        if not found.lost and found.info.name not in avoided
    ]
    return draw_route(routes, rng)


def draw_route(routes: list[Route], rng: random.Random) -> Route | None:
    """Draw a route at random, quicker ones more often: the newer the reports, the more so.

    Other instances decide on the same reports; the older these are, the less a difference
    between them means, and always taking the better one would send all instances there.
    """
    if not routes:
        return None
    oldest_s = max(route.candidate.report_age_s for route in routes)
    exponent = compute_exponent(oldest_s)
    weights = [(RANK_OFFSET_S + route.rank_s) ** -exponent for route in routes]
    return rng.choices(routes, weights)[0]


def compute_exponent(report_age_s: float) -> float:
    """Return the exponent by which a quicker server is preferred."""
    exponent = EXPONENT_AGE_S / max(report_age_s, 1e-9)
    return min(EXPONENT_MAX, max(EXPONENT_MIN, exponent))
