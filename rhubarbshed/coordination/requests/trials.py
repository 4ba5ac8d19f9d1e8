"""Wait until a backend server is idle for a suspect, and known to all instances as isolated."""

from collections.abc import Iterable
from enum import Enum

from attrs import frozen

from rhubarbshed.state.membership.load import Candidate
from rhubarbshed.state.requests.attempts import Trial

PROPAGATION_S = 1.0
IDLE_WAIT_MAX_S = 5.0


class TrialStep(Enum):
    """Next step of a suspect that waits for its isolated run."""

    WAIT = "wait"
    START = "start"
    BUSY = "busy"
    LOST = "lost"


@frozen
class IsolatedRunPending:
    """Isolated run that waits for `backend_server`; `start_isolated` is to be called again."""

    request_id: str
    backend_server: str


def choose_trial(pair: Iterable[Candidate], isolated: frozenset[str]) -> Candidate | None:
    """Choose the server of a pair with the fewest requests in flight, or None.

    While either server is isolated for another suspect, the other one is left to other requests.
    """
    found = list(pair)
    if any(each.info.name in isolated for each in found):
        return None
    usable = [each for each in found if not each.lost]
    return min(usable, key=lambda each: (each.in_flight, each.info.name), default=None)


def judge_trial(
    trial: Trial, pair: Iterable[Candidate], boot_id: str, now: float
) -> tuple[TrialStep, Candidate | None]:
    """Decide whether a suspect may start on the server that is isolated for it.

    Other instances learn of the isolation and report crashes within `PROPAGATION_S`; a load
    report taken later that shows nothing in flight then means that the suspect runs isolated.
    Started on an older report, it could be blamed for a crash that another request causes.
    """
    found = [each for each in pair if each.info.name == trial.backend_server]
    if not found or found[0].lost or boot_id != trial.boot_id:
        return TrialStep.LOST, None
    measured_at = now - found[0].report_age_s
    if measured_at >= trial.since + PROPAGATION_S and found[0].in_flight == 0:
        return TrialStep.START, found[0]
    if now >= trial.since + IDLE_WAIT_MAX_S:
        return TrialStep.BUSY, found[0]
    return TrialStep.WAIT, found[0]
