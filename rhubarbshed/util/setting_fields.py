"""Fields of settings with their bounds, and the settings that both programs share.

They are apart from the reader of settings files, which `rhubarbshed-front` does not need to start.
"""

from typing import Any

import attrs
from attrs import frozen


@frozen
class Bounds:
    """Bounds of a number; `least` is itself allowed unless `above` is set."""

    least: float = 0.0
    most: float = float("inf")
    above: bool = False

    def describe(self) -> str:
        """Return the bounds as text."""
        low = f"above {self.least:g}" if self.above else f"at least {self.least:g}"
        return low if self.most == float("inf") else f"{low}, at most {self.most:g}"

    def admits(self, value: float) -> bool:
        """Return whether a value lies within the bounds."""
        low = value > self.least if self.above else value >= self.least
        return low and value <= self.most


def make_setting(bounds: Bounds | None = None, choices: tuple[str, ...] = ()) -> Any:
    """Return the field of a setting, with the bounds of a number or the choices of a text."""
    return attrs.field(metadata={"bounds": bounds or Bounds(), "choices": choices})


def make_positive(most: float = float("inf")) -> Any:
    """Return the field of a number above 0."""
    return make_setting(Bounds(0.0, most, above=True))


@frozen
class QuarantineSettings:
    """When a request that crashes servers is refused, and for how long."""

    crashes_max: int = make_setting(Bounds(1, 2))
    memory_s: float = make_positive()
