"""Configuration of a deployment: routes, services, engines and limits on callers' requests."""

import enum
import functools

from attrs import field, frozen

from rhubarbshed.protocol.accounts import Accounts


class RouteKind(enum.Enum):
    """Kind of a route's requests, which determines whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@frozen
class ModelSpec:
    """Model configuration; sizes in megabytes, times in seconds.

    A load takes `load_s` from the weight store, `disk_load_s` from the server's disk and
    `warm_load_s` from its memory. Adapters are named a1 to a`adapters`.
    """

    name: str
    size_mb: float
    load_s: float
    disk_load_s: float
    warm_load_s: float
    adapters: int = 0
    adapter_mb: float = 0.0

    def has_adapter(self, name: str) -> bool:
        """Return whether the model has an adapter; always true for "", which means none."""
        return not name or name in self.adapter_names

    @functools.cached_property
    def adapter_names(self) -> frozenset[str]:
        """Names of all adapters."""
        return frozenset(f"a{number}" for number in range(1, self.adapters + 1))


@frozen
class EngineSpec:
    """Engines of a service; memory for weights in megabytes, for prompts in tokens."""

    slots: int
    kv_tokens: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    models: dict[str, ModelSpec] = field(factory=dict)

    def has_target(self, model: str, adapter: str) -> bool:
        """Return whether the operator knows a model and adapter; callers may name anything."""
        spec = self.models.get(model)
        return spec is not None and spec.has_adapter(adapter)


@frozen
class ServiceSpec:
    """Service; `connections_max` is how many connections one server accepts from all callers."""

    name: str
    health_path: str = "/"
    connections_max: int = 0
    engine: EngineSpec | None = None


@frozen
class Route:
    """Route of requests; times in seconds, priority 0 first, `shares` as (service, weight).

    `attempts_max` is how many servers may run one request. `needs_key` applies where the
    configuration has client accounts.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    gap_s: float
    priority: int
    shares: tuple[tuple[str, float], ...]
    attempts_max: int = 1
    resumable: bool = False
    needs_key: bool = True

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    @property
    def stall_timeout_s(self) -> float:
        """Gap in a response, also before its first event, after which it is given up, in seconds.

        For streams the platform's documentation sets the longest of two seconds, four times the
        target and eight times `gap_s`. Other responses may take the route's whole timeout.
        """
        if not self.streamed:
            return self.timeout_s
        return max(2.0, 4.0 * self.target_s, 8.0 * self.gap_s)

    @property
    def streamed(self) -> bool:
        """Whether responses are event streams."""
        return self.kind is RouteKind.STREAMING


@frozen
class CallerLimits:
    """Limits on a caller: bytes it may send, seconds it may take for the headers or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


@frozen
class Configuration:
    """Configuration at one version; routes by host, longest prefix first.

    `accounts` is None where callers need no account.
    """

    version: int
    routes: dict[str, tuple[Route, ...]] = field(factory=dict)
    services: dict[str, ServiceSpec] = field(factory=dict)
    limits: CallerLimits = field(factory=CallerLimits)
    accounts: Accounts | None = None

    @functools.cached_property
    def service_names(self) -> frozenset[str]:
        """Names of all services, also of those that only routes name."""
        routes = (route for found in self.routes.values() for route in found)
        return frozenset(self.services) | {name for route in routes for name, _ in route.shares}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching prefix, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_engine(self, service: str) -> EngineSpec | None:
        """Return the engine configuration of a service, None for a plain or unknown one."""
        spec = self.services.get(service)
        return spec.engine if spec is not None else None


def index_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, longest prefix first."""
    hosts: dict[str, list[Route]] = {}
    for route in routes:
        hosts.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
        for host, found in hosts.items()
    }
