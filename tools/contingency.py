"""Loads authorised in advance for a data centre that loses the table service."""

from collections import defaultdict

from attrs import field, frozen

from rhubarbshed.protocol.catalogue import Model
from rhubarbshed.protocol.members import BackendKind, Standing
from rhubarbshed.protocol.placement import ServerView


@frozen
class ContingencyIntent:
    """Permission to load a model without the table service once server `at_risk` has failed."""

    data_centre: str
    at_risk: str
    backend_server: str
    model: str
    version: str
    memory_bytes: int


@frozen
class SpareSlot:
    """Memory of a backend server kept free for contingency intents."""

    backend_server: str
    memory_bytes: int


@frozen
class ContingencyPlan:
    """Intents to write in advance and the memory they need, sized for one failure at a time."""

    intents: tuple[ContingencyIntent, ...] = field(factory=tuple)
    spares: tuple[SpareSlot, ...] = field(factory=tuple)


def plan_contingency(
    models: tuple[Model, ...], servers: tuple[ServerView, ...], memory_fill_max: float = 1.0
) -> ContingencyPlan:
    """Choose a spare slot for each model that has a single copy in its data centre.

    Intents for different servers at risk share memory, so one server failure at a time is covered.
    """
    models_by_name = {model.name: model for model in models}
    centres = defaultdict(list)
    for view in sorted(servers, key=lambda each: each.info.name):
        if view.standing is Standing.LIVE and view.info.kind is BackendKind.ENGINE:
            centres[view.info.data_centre].append(view)
    intents: list[ContingencyIntent] = []
    spares: dict[str, int] = defaultdict(int)
    for centre in sorted(centres):
        free = {view.info.name: _measure_free(view, memory_fill_max) for view in centres[centre]}
        for view in centres[centre]:
            planned = _plan_server_loss(view, centres[centre], models_by_name, free)
            intents.extend(planned)
            for server, needed in _sum_bytes_by_server(planned).items():
                spares[server] = max(spares[server], needed)
    slots = tuple(SpareSlot(server, spares[server]) for server in sorted(spares))
    return ContingencyPlan(tuple(intents), slots)


def find_usable_intents(
    plan: ContingencyPlan, lost: frozenset[str], owned: frozenset[str]
) -> tuple[ContingencyIntent, ...]:
    """Return the intents that failed servers permit, on servers that this instance owns."""
    return tuple(
        intent
        for intent in plan.intents
        if intent.at_risk in lost and intent.backend_server in owned - lost
    )


def _plan_server_loss(
    view: ServerView,
    peers: list[ServerView],
    models_by_name: dict[str, Model],
    free: dict[str, int],
) -> list[ContingencyIntent]:
    free_left = {name: size for name, size in free.items() if name != view.info.name}
    intents = []
    for model in _list_single_copies(view, peers, models_by_name):
        candidates = [name for name in free_left if free_left[name] >= model.memory_bytes]
        if not candidates:
            continue
        server = max(candidates, key=lambda name: (free_left[name], name))
        free_left[server] -= model.memory_bytes
        intents.append(
            ContingencyIntent(
                view.info.data_centre,
                view.info.name,
                server,
                model.name,
                model.version,
                model.memory_bytes,
            )
        )
    return intents


def _list_single_copies(
    view: ServerView, peers: list[ServerView], models_by_name: dict[str, Model]
) -> list[Model]:
    """Return models that only this server of the data centre holds, largest first."""
    elsewhere = {
        each.name
        for peer in peers
        if peer is not view
        for each in peer.resident
        if not each.model and each.ready
    }
    names = {each.name for each in view.resident if not each.model} - elsewhere
    models = [models_by_name[name] for name in names if name in models_by_name]
    return sorted(models, key=lambda model: (-model.memory_bytes, model.name))


def _measure_free(view: ServerView, fill: float) -> int:
    return int(view.info.memory_bytes * fill) - view.reserved_bytes


def _sum_bytes_by_server(intents: list[ContingencyIntent]) -> dict[str, int]:
    total: dict[str, int] = defaultdict(int)
    for intent in intents:
        total[intent.backend_server] += intent.memory_bytes
    return total
