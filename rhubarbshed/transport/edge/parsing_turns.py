"""Turns in which what callers have sent is parsed."""

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from rhubarbshed.transport.edge.caller_connections import CallerConnection


@define(eq=False)
class ParsingTurns:
    """Connections with more to parse; one of them has its turn in each pass of the event loop."""

    _waiting: OrderedDict["CallerConnection", None] = field(factory=OrderedDict)
    _next: asyncio.Handle | None = None

    def __contains__(self, connection: "CallerConnection") -> bool:
        return connection in self._waiting

    def add(self, connection: "CallerConnection") -> None:
        """Let a connection have its turn after all others that wait."""
        self._waiting.setdefault(connection)
        self._plan()

    def remove(self, connection: "CallerConnection") -> None:
        """Take back a connection's turn."""
        self._waiting.pop(connection, None)

    def _plan(self) -> None:
        if self._next is None and self._waiting:
            self._next = asyncio.get_running_loop().call_soon(self._take)

    def _take(self) -> None:
        self._next = None
        if self._waiting:
            connection, _ = self._waiting.popitem(last=False)
            self._plan()
            connection.take_turn()
