"""What the network of peers asks of, and tells, the rest of an instance."""

from collections.abc import Callable

from attrs import frozen

from rhubarbshed.protocol.peers import Frame, Heartbeat


def collect_nothing(now: float) -> tuple[Frame, ...]:
    """Add no frames to the heartbeats."""
    return ()


def greet_with_nothing(peer: str, now: float) -> tuple[Frame, ...]:
    """Send no frames to a new peer."""
    return ()


def raise_fault(fault: BaseException) -> None:
    """Raise in the loop, whose exception handler decides."""
    raise fault


@frozen
class PeerHooks:
    """Hold functions that are called on the loop and must not block.

    `on_frame(peer, frame, now)` takes in what a peer says, heartbeats too. `make_heartbeat()`
    gives the own head and whether this instance leaves. `collect(now)` gives frames to go out
    with each heartbeat. `on_connect(peer, now)` gives frames for a peer newly connected; a
    load digest is marked as remote where it goes to another data centre. `on_fault(fault)` is
    told of a broken invariant, after which the network is not to be trusted.
    """

    on_frame: Callable[[str, Frame, float], None]
    make_heartbeat: Callable[[], Heartbeat]
    collect: Callable[[float], tuple[Frame, ...]] = collect_nothing
    on_connect: Callable[[str, float], tuple[Frame, ...]] = greet_with_nothing
    on_fault: Callable[[BaseException], None] = raise_fault
