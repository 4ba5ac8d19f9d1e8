"""Open requests of this instance and their attempts."""

from attrs import define, field, frozen

from rhubarbshed.protocol.requests import Dispatch, Request


@frozen
class Trial:
    """Boot of a server that is kept free for a suspect request, and since when."""

    backend_server: str
    boot_id: str
    since: float


@define
class OpenRequest:
    """Open request.

    `dispatches` are its attempts in flight by number; there are several while a hedge runs. `boots`
    holds the boot of the backend server to which each attempt was sent. `has_run` is set if any
    attempt may have begun on a backend server. `tokens` were passed on to the caller. `trial` is
    set while the request waits for an isolated run. `servers_missing_model` answered that they do
    not hold its model. `hedged` is set once the request has used its only hedge.
    """

    request: Request
    target_s: float
    isolation_held: bool = False
    trial: Trial | None = None
    attempts: int = 0
    has_run: bool = False
    hedged: bool = False
    tokens: int = 0
    dispatches: dict[int, Dispatch] = field(factory=dict)
    boots: dict[int, str] = field(factory=dict)
    failed_servers: set[str] = field(factory=set)
    servers_missing_model: set[str] = field(factory=set)


@define
class OpenRequests:
    """Open requests by request id."""

    items: dict[str, OpenRequest] = field(factory=dict)

    def list_fingerprints(self, backend_server: str, boot_id: str) -> tuple[str, ...]:
        """Return the fingerprints in flight on one boot of a backend server."""
        return tuple(
            item.request.fingerprint
            for item in self.items.values()
            for number, sent in item.dispatches.items()
            if sent.backend_server == backend_server and item.boots.get(number, "") in ("", boot_id)
        )

    def find_server_of(self, fingerprint: str) -> str:
        """Return a server that runs a request of this fingerprint, or an empty string."""
        if not fingerprint:
            return ""
        for item in self.items.values():
            if item.request.fingerprint == fingerprint and item.dispatches:
                return next(iter(item.dispatches.values())).backend_server
        return ""
