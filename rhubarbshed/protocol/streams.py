"""Origin of event streams, which decides on the backend servers that may continue them."""

from attrs import frozen

UNKNOWN_VERSION = "?"
"""Version of a stream whose server had started again before its entry showed that."""


@frozen
class StreamOrigin:
    """Service and software version of the backend server that sent a stream's first event."""

    service: str
    version: str


@frozen
class StreamLookup:
    """Outcome of a search for the origin of a stream.

    `origin` is None if no instance knows it, or if answers disagree. `asked` and `replied` count
    other instances. `versions` are the (service, version) that those which replied have seen.
    """

    origin: StreamOrigin | None
    asked: int = 0
    replied: int = 0
    versions: frozenset[tuple[str, str]] = frozenset()
