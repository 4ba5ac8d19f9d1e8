"""A loopback relay in front of one address, which delays, resets, cuts or silences connections."""

import asyncio
import enum
import socket
import struct

from attrs import define, field

CHUNK_BYTES = 65_536


class Mode(enum.Enum):
    """What a relay does with bytes and new connections."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    DEAF = "deaf"
    REFUSE = "refuse"


@define(eq=False)
class Relay:
    """Pass connections on to `target`; `SILENT` swallows both directions, `DEAF` answers only.

    A connection that was silenced stays so: something between the ends has forgotten it.
    """

    port: int
    target: int
    mode: Mode = Mode.PASS
    delay_s: float = 0.0
    pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = field(factory=set)
    forgotten: set[asyncio.StreamWriter] = field(factory=set)
    tasks: set[asyncio.Task] = field(factory=set)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)

    def stop(self) -> None:
        """Close all."""
        if self.server is not None:
            self.server.close()
        self.reset()
        for task in self.tasks:
            task.cancel()

    def reset(self) -> None:
        """Reset all connections that are open."""
        for pair in self.pairs:
            for writer in pair:
                _reset(writer)

    def forget(self) -> None:
        """Silence all connections that are open; new ones work."""
        self.forgotten.update(writer for pair in self.pairs for writer in pair)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is Mode.REFUSE:
            _reset(writer)
            return
        try:
            back, forth = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            _reset(writer)
            return
        pair = (writer, forth)
        self.pairs.add(pair)
        copies = [
            asyncio.create_task(self._copy(reader, forth, False)),
            asyncio.create_task(self._copy(back, writer, True)),
        ]
        self.tasks.update(copies)
        await asyncio.wait(copies, return_when=asyncio.ALL_COMPLETED)
        self.tasks.difference_update(copies)
        self.pairs.discard(pair)
        self.forgotten.difference_update(pair)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answers: bool
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(self.delay_s)
                if self.mode is Mode.SILENT or (answers and self.mode is Mode.DEAF):
                    self.forgotten.add(writer)
                if writer in self.forgotten:
                    continue
                writer.write(data)
                await writer.drain()
            if writer not in self.forgotten:
                writer.close()
        except OSError:
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
