"""Loopback relay in front of one port: delays, resets or refuses connections or drops data."""

import asyncio
import enum
import socket
import struct
import time

from attrs import define, field

CHUNK_BYTES = 65_536
PACED_CHUNK_BYTES = 4_096
"""Size of the pieces in which a link with a limited rate carries data."""

TARGET_CHECK_INTERVAL_S = 0.02
"""Time between two checks whether somebody listens at a target again."""


class Mode(enum.Enum):
    """Treatment of data and new connections by a relay."""

    PASS = "pass"
    DELAY = "delay"
    DROP_ALL = "silent"
    DROP_ANSWERS = "deaf"
    REFUSE = "refuse"


@define(eq=False)
class Relay:
    """Relay of connections to `target`; `DROP_ALL` drops both directions, `DROP_ANSWERS` answers.

    A connection with dropped data stays silenced, as if a middlebox had lost its state. With
    `follows_target` the port is closed while nobody listens at the target. `refused` are the
    addresses of callers whose connection the target refused, with the time. All answers together
    take no more than `bytes_per_s`.
    """

    port: int
    target: int
    mode: Mode = Mode.PASS
    delay_s: float = 0.0
    bytes_per_s: float | None = None
    follows_target: bool = False
    pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = field(factory=set)
    silenced: set[asyncio.StreamWriter] = field(factory=set)
    tasks: set[asyncio.Task] = field(factory=set)
    server: asyncio.Server | None = None
    refused: dict[tuple[str, int], float] = field(factory=dict)
    _free_at: float = 0.0

    async def start(self) -> None:
        """Listen on the relay's port."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)

    async def check_target(self) -> None:
        """Close the port if nobody listens at the target, until somebody does again."""
        if not self.follows_target or self.server is None or await self._is_target_up():
            return
        if self.server is not None:
            self.server.close()
            self.server = None
            task = asyncio.create_task(self._wait_for_target())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _wait_for_target(self) -> None:
        while not await self._is_target_up():
            await asyncio.sleep(TARGET_CHECK_INTERVAL_S)
        await self.start()

    async def _is_target_up(self) -> bool:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            return False
        writer.close()
        return True

    def stop(self) -> None:
        """Close the port and reset all connections."""
        if self.server is not None:
            self.server.close()
        self.reset()
        for task in self.tasks:
            task.cancel()

    def reset(self) -> None:
        """Reset all open connections."""
        for pair in self.pairs:
            for writer in pair:
                _reset(writer)

    def silence_open(self) -> None:
        """Drop all further data on open connections; new ones work."""
        self.silenced.update(writer for pair in self.pairs for writer in pair)

    async def widen(self) -> None:
        """Lift the limit of the rate, and wait until the link has carried what it holds."""
        self.bytes_per_s = None
        await asyncio.sleep(self._free_at - time.monotonic())

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is Mode.REFUSE:
            _reset(writer)
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                "127.0.0.1", self.target
            )
        except OSError as error:
            if isinstance(error, ConnectionRefusedError):
                self.refused[writer.get_extra_info("peername")] = time.monotonic()
            _reset(writer)
            return
        pair = (writer, upstream_writer)
        self.pairs.add(pair)
        copies = [
            asyncio.create_task(self._copy(reader, upstream_writer, False)),
            asyncio.create_task(self._copy(upstream_reader, writer, True)),
        ]
        self.tasks.update(copies)
        await asyncio.wait(copies, return_when=asyncio.ALL_COMPLETED)
        self.tasks.difference_update(copies)
        self.pairs.discard(pair)
        self.silenced.difference_update(pair)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_answer: bool
    ) -> None:
        try:
            while data := await reader.read(PACED_CHUNK_BYTES if self.bytes_per_s else CHUNK_BYTES):
                if is_answer and self.bytes_per_s:
                    await self._wait_for_link(len(data))
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(self.delay_s)
                if self.mode is Mode.DROP_ALL or (is_answer and self.mode is Mode.DROP_ANSWERS):
                    self.silenced.add(writer)
                if writer in self.silenced:
                    continue
                writer.write(data)
                await writer.drain()
            await self.check_target() if is_answer else None
            if writer not in self.silenced:
                writer.close()
        except OSError:
            await self.check_target() if is_answer else None
            _reset(writer)

    async def _wait_for_link(self, size: int) -> None:
        """Wait until the link, which all answers share, has carried `size` bytes more."""
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + size / self.bytes_per_s
        await asyncio.sleep(self._free_at - now)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
