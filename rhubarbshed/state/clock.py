"""Hybrid logical clock, which orders events over all processes.

Source: Kulkarni et al., Logical Physical Clocks, 2014.
"""

from attrs import define

from rhubarbshed.protocol.events import Stamp

DRIFT_MAX_MS = 60_000
"""Most that another instance's stamp may be ahead of the own wall clock, in ms."""


@define
class HybridClock:
    """Clock with the last stamp that it issued or merged."""

    instance: str
    wall_ms: int = 0
    counter: int = 0
    drift_max_ms: int = DRIFT_MAX_MS
    stamps_too_far: int = 0

    def tick(self, wall_ms: int) -> Stamp:
        """Return the stamp for a local event or for a frame to send."""
        self._advance(wall_ms, self.wall_ms, self.counter)
        return self._stamp()

    def merge(self, stamp: Stamp, wall_ms: int) -> Stamp:
        """Return the stamp for the receipt of a frame, later than the frame's own stamp.

        A stamp too far ahead is not adopted, so that one wrong clock does not move all others. Its
        effects are then ordered among the receiver's own events only.
        """
        limit = max(self.wall_ms, wall_ms + self.drift_max_ms)
        if stamp.wall_ms > limit:
            self.stamps_too_far += 1
            self._advance(wall_ms, self.wall_ms, self.counter)
            return self._stamp()
        received = (stamp.wall_ms, stamp.counter)
        latest_ms, latest_counter = max(received, (self.wall_ms, self.counter))
        self._advance(wall_ms, latest_ms, latest_counter)
        return self._stamp()

    def _advance(self, wall_ms: int, latest_ms: int, latest_counter: int) -> None:
        if wall_ms > latest_ms:
            self.wall_ms, self.counter = wall_ms, 0
            return
        self.wall_ms, self.counter = latest_ms, latest_counter + 1

    def _stamp(self) -> Stamp:
        return Stamp(self.wall_ms, self.counter, self.instance)
