"""Events of the timeline, ordered by a hybrid logical clock."""

from attrs import field, frozen


@frozen(order=True)
class Stamp:
    """Hybrid logical timestamp; orders events of all processes.

    Wall time in ms comes first, then the counter, then the instance.

    Source: Kulkarni et al., Logical Physical Clocks, 2014.
    """

    wall_ms: int
    counter: int
    instance: str = ""


@frozen
class Event:
    """Event on one instance; `fields` are sorted pairs of name and text."""

    stamp: Stamp
    name: str
    fields: tuple[tuple[str, str], ...] = field(factory=tuple)
