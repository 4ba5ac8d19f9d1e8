"""Speed of a server as it states it, with its lasting part apart from disturbances.

Load pattern: machines of one service differ lastingly (work takes 0.6 to 1.6 times the usual time),
and in about a tenth of the reports a disturbance multiplies that by 2.5 for fractions of a second.
Shares that follow each disturbance come too late and overload the other servers.
"""

import collections
import math

from attrs import define, field

SAMPLE_SPACING_S = 0.2
"""Time of one sample, which is the least slowness stated in it: disturbances only make a server
slower, and some end within this time."""

SAMPLES_MAX = 9
LASTING_RANK = 1 / 3
"""Number of samples, and the rank among them that counts as lasting. Disturbances may cover two
thirds of them; a machine that becomes slower is known after seven samples, or 1.4 s."""

SAMPLE_KEPT_S = 5.0
SAMPLES_KEPT_MIN = 3
"""Age from which samples no longer count, and the number that always does: reports are rare where
traffic is thin."""

DISTURBANCE_FACTOR = 2.5
"""Factor by which a disturbance slows a server down."""

SLOWNESS_MIN = 0.01
SLOWNESS_MAX = 1_000.0
"""Bounds of a slowness that counts; with one of 0, a server would get all requests."""

DISTURBANCE_KEPT_S = 0.3
"""Time in which the difference between the stated and the lasting slowness decays by a factor of
e."""


GAPS_MAX = 24
GAPS_MIN = 6
GAP_RANK = 1 / 8
"""Number of streams whose longest gaps are kept, the number from which these show the usual gap,
and the rank of that: three of four streams of some seconds meet a disturbance."""


@define
class UsualGap:
    """Gap between the events of a service's streams at a server of usual speed, in seconds."""

    usual_s: float | None = None
    _gaps: collections.deque[float] = field(factory=lambda: collections.deque(maxlen=GAPS_MAX))

    def record(self, longest_s: float, slowness: float) -> None:
        """Record the longest gap of a stream that one server wrote."""
        self._gaps.append(longest_s / slowness)
        if len(self._gaps) >= GAPS_MIN:
            self.usual_s = sorted(self._gaps)[int(len(self._gaps) * GAP_RANK)]


@define
class ServerSpeed:
    """Slowness of one server, 1.0 as usual; times are monotonic seconds.

    `stated` is the slowness that it stated last, to this instance or another, known here since
    `stated_at`; it stated one to this instance at `answered_at`. `lasting` is the slowness without
    disturbances.
    """

    stated: float
    stated_at: float
    answered_at: float = -math.inf
    lasting: float = 1.0
    _samples: collections.deque[tuple[float, float]] = field(factory=collections.deque)

    def record(self, stated: float, sample: float, now: float) -> None:
        """Record a stated slowness, and a sample of the lasting one, which may be the same."""
        self.stated, self.stated_at = _limit(stated), now
        sample = _limit(sample)
        if self._samples and now - self._samples[-1][0] < SAMPLE_SPACING_S:
            begun_at, least = self._samples.pop()
            self._samples.append((begun_at, min(least, sample)))
        else:
            self._samples.append((now, sample))
        self._drop_old(now)
        ranked = sorted(value for _, value in self._samples)
        self.lasting = ranked[int((len(ranked) - 1) * LASTING_RANK)]

    def _drop_old(self, now: float) -> None:
        samples = self._samples
        while len(samples) > SAMPLES_MAX or (
            len(samples) > SAMPLES_KEPT_MIN and now - samples[0][0] > SAMPLE_KEPT_S
        ):
            samples.popleft()

    def estimate(self, now: float) -> float:
        """Return the slowness to expect now."""
        age_s = max(0.0, now - self.stated_at)
        return self.lasting + (self.stated - self.lasting) * math.exp(-age_s / DISTURBANCE_KEPT_S)


def _limit(slowness: float) -> float:
    return min(SLOWNESS_MAX, max(SLOWNESS_MIN, slowness))
