"""Drain of this instance before a planned stop."""

import enum
from typing import TYPE_CHECKING

from attrs import define

from rhubarbshed.protocol.errors import Outcome, RequestError

if TYPE_CHECKING:
    from rhubarbshed.util.settings import ShutdownSettings

DRAINING_MESSAGE = "this instance is shutting down; another one will answer"


class DrainPhase(enum.Enum):
    """Step of a graceful shutdown."""

    SERVING = "serving"
    ANNOUNCING = "announcing"
    DRAINING = "draining"
    DUE = "due"


@define
class Drain:
    """Progress of a drain; `started_at` is monotonic seconds, None while serving.

    `is_cut_off` means that requests in progress are ended, however much time they have left.
    """

    announce_s: float
    drain_s: float
    started_at: float | None = None
    is_cut_off: bool = False

    @classmethod
    def from_settings(cls, settings: "ShutdownSettings") -> "Drain":
        """Create the drain of an instance that is serving."""
        return cls(settings.announce_s, settings.drain_s)

    def start(self, now: float) -> None:
        """Start the drain; a second call changes nothing."""
        if self.started_at is None:
            self.started_at = now

    def cut_off(self) -> None:
        """End the drain: nothing new is accepted, and nothing is sent or repeated any more."""
        self.is_cut_off = True

    def find_phase(self, pending: int, now: float) -> DrainPhase:
        """Return the phase; exit is due once nothing is pending after the announcement, or late.

        `pending` counts open requests, and connections that may still hand one over.
        """
        if self.started_at is None:
            return DrainPhase.SERVING
        passed_s = now - self.started_at
        if passed_s < self.announce_s:
            return DrainPhase.ANNOUNCING
        if pending == 0 or self.is_over(now):
            return DrainPhase.DUE
        return DrainPhase.DRAINING

    def is_over(self, now: float) -> bool:
        """Return whether the time for requests in progress has run out."""
        if self.started_at is None:
            return False
        return self.is_cut_off or now - self.started_at >= self.announce_s + self.drain_s

    def measure_stopping(self, now: float) -> float | None:
        """Return the seconds since the drain started, None while serving."""
        return None if self.started_at is None else now - self.started_at

    def is_refusing(self, now: float) -> bool:
        """Return whether new requests are refused, as the announcement is over."""
        if self.started_at is None:
            return False
        return self.is_cut_off or now - self.started_at >= self.announce_s

    def check_open(self, retry_after_s: float, now: float) -> RequestError | None:
        """Return the error for a new request once the announcement is over, else None.

        During the announcement, callers that do not know of it yet are still served.
        """
        if not self.is_refusing(now):
            return None
        return RequestError(
            status=503,
            code="draining",
            message=DRAINING_MESSAGE,
            outcome=Outcome.NOT_RUN,
            retryable=True,
            retry_after_s=retry_after_s,
        )
