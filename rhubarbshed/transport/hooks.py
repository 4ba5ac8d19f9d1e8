"""Callbacks of the peer network into the rest of an instance."""

from collections.abc import Callable

from attrs import frozen

from rhubarbshed.protocol.peers import Frame, Heartbeat


def collect_nothing(now: float) -> tuple[Frame, ...]:
    """Return no frames to send with the heartbeats."""
    return ()


def greet_with_nothing(peer: str, now: float) -> tuple[Frame, ...]:
    """Return no frames for a new peer."""
    return ()


def raise_fault(fault: BaseException) -> None:
    """Raise in the loop, whose exception handler then reports it."""
    raise fault


@frozen
class PeerHooks:
    """Functions that are called on the loop and must not block.

    `on_frame(peer, frame, now)` handles a received frame, heartbeats too. `make_heartbeat()`
    returns the heartbeat to send. `collect(now)` returns frames to send with each heartbeat.
    `on_connect(peer, now)` returns frames for a newly connected peer; a load digest is marked as
    remote if it goes to another data centre. `on_fault(fault)` is called for a broken invariant,
    after which the network may be in an invalid state.
    """

    on_frame: Callable[[str, Frame, float], None]
    make_heartbeat: Callable[[], Heartbeat]
    collect: Callable[[float], tuple[Frame, ...]] = collect_nothing
    on_connect: Callable[[str, float], tuple[Frame, ...]] = greet_with_nothing
    on_fault: Callable[[BaseException], None] = raise_fault
