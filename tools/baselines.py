"""Baseline placement policies for comparison: static, and greedy by demand."""

from rhubarbshed.protocol.catalogue import Model
from rhubarbshed.protocol.members import Standing
from rhubarbshed.protocol.placement import (
    ModelDemand,
    Move,
    MoveKind,
    MoveReason,
    PlacementPlan,
    ServerView,
)

Target = dict[str, list[Model]]


def choose_target(
    models: tuple[Model, ...], rates: dict[str, float], views: tuple[ServerView, ...], fill: float
) -> Target:
    """Place each model once, largest first, then add copies of the models with most demand."""
    live = [view for view in views if view.standing is Standing.LIVE]
    free = {view.info.name: int(view.info.memory_bytes * fill) for view in live}
    target: Target = {name: [] for name in free}
    for model in sorted(models, key=lambda each: (-each.memory_bytes, each.name)):
        _place_model(model, free, target)
    copies = {model.name: 1 for model in models}
    while True:
        order = sorted(models, key=lambda each: (-rates[each.name] / copies[each.name], each.name))
        if not any(_add_copy(model, free, target, copies) for model in order):
            return target


def _add_copy(model: Model, free: dict[str, int], target: Target, copies: dict[str, int]) -> bool:
    if not _place_model(model, free, target):
        return False
    copies[model.name] += 1
    return True


def _place_model(model: Model, free: dict[str, int], target: Target) -> bool:
    fitting = [
        name for name in free if free[name] >= model.memory_bytes and model not in target[name]
    ]
    if not fitting:
        return False
    server = max(fitting, key=lambda name: (free[name], name))
    free[server] -= model.memory_bytes
    target[server].append(model)
    return True


def plan_target_moves(target: Target, views: tuple[ServerView, ...], fill: float) -> PlacementPlan:
    """Plan unloads of models outside the target, then loads of missing models that fit."""
    moves = []
    for view in views:
        if view.standing is not Standing.LIVE:
            continue
        target_models = target.get(view.info.name, [])
        names = {model.name for model in target_models}
        resident_names = {each.name for each in view.resident}
        for each in view.resident:
            if each.ready and not each.model and each.name not in names:
                moves.append(_move(MoveKind.UNLOAD, view, each.name, each.memory_bytes))
        free = int(view.info.memory_bytes * fill) - view.reserved_bytes
        for model in target_models:
            if model.name not in resident_names and model.memory_bytes <= free:
                free -= model.memory_bytes
                moves.append(_move(MoveKind.LOAD, view, model.name, model.memory_bytes))
    return PlacementPlan(tuple(moves))


def _move(kind: MoveKind, view: ServerView, name: str, size: int) -> Move:
    return Move(kind, view.info.name, name, "1", size, MoveReason.DEMAND)


def plan_greedy(
    models: tuple[Model, ...],
    demand: tuple[ModelDemand, ...],
    views: tuple[ServerView, ...],
    fill: float,
) -> PlacementPlan:
    """Plan all moves to the target placement for the current demand."""
    rates = {model.name: 0.0 for model in models}
    rates.update({each.model: each.arrivals_per_s for each in demand})
    return plan_target_moves(choose_target(models, rates, views, fill), views, fill)
