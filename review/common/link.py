"""A loopback proxy for one link, whose connections can be reset or go silent."""

from __future__ import annotations

import asyncio
import contextlib

from mountstand.transport.sockets import reset
from review.common.kit import LOCAL

READ_BYTES = 65536


class Link:
    """Passes connections on to a port, unless it is cut."""

    def __init__(self, target_port: int) -> None:
        self.port = 0
        self._target_port = target_port
        self._is_cut = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()

    async def start(self) -> Link:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, LOCAL, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def cut(self) -> None:
        """Reset all connections, and new ones until ``heal``."""
        self._is_cut = True
        for writer in list(self._writers):
            reset(writer.transport)

    def silence_open(self) -> int:
        """Let every open connection go silent for good, while new ones work; returns how many."""
        self._silent |= self._writers
        return len(self._silent) // 2

    def heal(self) -> None:
        """Pass connections on again."""
        self._is_cut = False

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._is_cut:
            reset(writer.transport)
            return
        try:
            target_reader, target = await asyncio.open_connection(LOCAL, self._target_port)
        except OSError:
            reset(writer.transport)
            return
        self._writers |= {writer, target}
        passing = [
            asyncio.create_task(self._pass_on(reader, target)),
            asyncio.create_task(self._pass_on(target_reader, writer)),
        ]
        await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
        for task in passing:
            task.cancel()
        for each in (writer, target):
            self._writers.discard(each)
            self._silent.discard(each)
            each.transport.abort()

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while piece := await reader.read(READ_BYTES):
                if writer in self._silent:
                    continue
                writer.write(piece)
                await writer.drain()
