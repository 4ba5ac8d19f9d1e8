"""Loads allowed ahead of time, measured for a data centre cut off from the table service."""

from collections import defaultdict

from attrs import field, frozen

from rhubarbshed.protocol.catalogue import Model
from rhubarbshed.protocol.members import BackendKind, Standing
from rhubarbshed.protocol.placement import ServerView


@frozen
class ContingencyIntent:
    """Allow a load to be made without the table service once `at_risk` has died."""

    data_centre: str
    at_risk: str
    backend_server: str
    model: str
    version: str
    memory_bytes: int


@frozen
class SpareSlot:
    """Keep bytes of a backend server free for contingency intents."""

    backend_server: str
    memory_bytes: int


@frozen
class ContingencyPlan:
    """Hold the intents to write ahead and the bytes they need; one death at a time shares them."""

    intents: tuple[ContingencyIntent, ...] = field(factory=tuple)
    spares: tuple[SpareSlot, ...] = field(factory=tuple)


def plan_contingency(
    models: tuple[Model, ...], servers: tuple[ServerView, ...], memory_fill_max: float = 1.0
) -> ContingencyPlan:
    """Choose a spare slot for each model whose only copy in a data centre may die.

    Intents of different servers at risk share bytes: one server's death at a time is covered.
    """
    wanted = {model.name: model for model in models}
    centres = defaultdict(list)
    for view in sorted(servers, key=lambda each: each.info.name):
        if view.standing is Standing.LIVE and view.info.kind is BackendKind.ENGINE:
            centres[view.info.data_centre].append(view)
    intents: list[ContingencyIntent] = []
    spares: dict[str, int] = defaultdict(int)
    for centre in sorted(centres):
        free = {view.info.name: _measure_free(view, memory_fill_max) for view in centres[centre]}
        for view in centres[centre]:
            found = _cover_death(view, centres[centre], wanted, free)
            intents.extend(found)
            for server, needed in _sum_bytes(found).items():
                spares[server] = max(spares[server], needed)
    slots = tuple(SpareSlot(server, spares[server]) for server in sorted(spares))
    return ContingencyPlan(tuple(intents), slots)


def find_usable(
    plan: ContingencyPlan, dead: frozenset[str], owned: frozenset[str]
) -> tuple[ContingencyIntent, ...]:
    """Return the intents that a server's death allows, on servers that this instance owns."""
    return tuple(
        intent
        for intent in plan.intents
        if intent.at_risk in dead and intent.backend_server in owned - dead
    )


def _cover_death(
    view: ServerView, peers: list[ServerView], wanted: dict[str, Model], free: dict[str, int]
) -> list[ContingencyIntent]:
    left = {name: size for name, size in free.items() if name != view.info.name}
    intents = []
    for model in _list_only_here(view, peers, wanted):
        fitting = [name for name in left if left[name] >= model.memory_bytes]
        if not fitting:
            continue
        server = max(fitting, key=lambda name: (left[name], name))
        left[server] -= model.memory_bytes
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


def _list_only_here(
    view: ServerView, peers: list[ServerView], wanted: dict[str, Model]
) -> list[Model]:
    """Return models that no other server of the data centre holds, largest first."""
    elsewhere = {
        each.name
        for peer in peers
        if peer is not view
        for each in peer.resident
        if not each.model and each.ready
    }
    names = {each.name for each in view.resident if not each.model} - elsewhere
    found = [wanted[name] for name in names if name in wanted]
    return sorted(found, key=lambda model: (-model.memory_bytes, model.name))


def _measure_free(view: ServerView, fill: float) -> int:
    return int(view.info.memory_bytes * fill) - view.reserved_bytes


def _sum_bytes(intents: list[ContingencyIntent]) -> dict[str, int]:
    total: dict[str, int] = defaultdict(int)
    for intent in intents:
        total[intent.backend_server] += intent.memory_bytes
    return total
