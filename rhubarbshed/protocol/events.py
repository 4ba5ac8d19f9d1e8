"""Events of the time line, ordered by a hybrid logical clock."""

from attrs import field, frozen


@frozen(order=True)
class Stamp:
    """Order events over all processes: wall time in ms, then a counter, then the instance.

    Source: Kulkarni et al., Logical Physical Clocks, 2014.
    """

    wall_ms: int
    counter: int
    instance: str = ""


@frozen
class Event:
    """Tell one thing that happened on one instance; `fields` are sorted pairs of text."""

    stamp: Stamp
    name: str
    fields: tuple[tuple[str, str], ...] = field(factory=tuple)
