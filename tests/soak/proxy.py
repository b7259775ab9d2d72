"""A loopback TCP proxy between two processes; its faults are switched while it runs."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass

from mountstand.transport.sockets import reset

READ_BYTES = 65536
POLL_S = 0.02
RESETS_PER_PIECE = 0.02
"""Chance that a piece resets its connection while resets are on."""


@dataclass(slots=True)
class LinkFaults:
    """What happens to what passes through; the default passes all of it on."""

    delay_s: float = 0.0
    resetting: bool = False
    silent_to_target: bool = False
    silent_to_client: bool = False
    refusing: bool = False

    @property
    def any(self) -> bool:
        """Whether anything is harmed."""
        return self != LinkFaults()


class FaultProxy:
    """Listens on a port of its own and passes connections on to ``target_port``."""

    __slots__ = (
        "_muted",
        "_rng",
        "_server",
        "_writers",
        "faults",
        "muted_ports",
        "port",
        "target_port",
        "unreached_ports",
    )

    def __init__(self, target_port: int, rng: random.Random) -> None:
        self.target_port = target_port
        self.faults = LinkFaults()
        self.port = 0
        self.unreached_ports: set[int] = set()
        """Ports of clients whose connection never reached the target: it read nothing of them."""

        self.muted_ports: set[int] = set()
        """Ports of clients whose connection went silent for good."""

        self._rng = rng
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._muted: set[asyncio.StreamWriter] = set()

    def mute_open(self) -> None:
        """Let every open connection go silent for good, without a reset; new ones work."""
        self._muted |= self._writers
        ends = [writer.get_extra_info("peername") for writer in self._writers]
        self.muted_ports |= {end[1] for end in ends if end is not None}

    def swallows(self, client_port: int) -> bool:
        """Return whether what a client sends or waits for on a connection does not get through."""
        return client_port in self.unreached_ports or client_port in self.muted_ports

    async def start(self) -> FaultProxy:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        target: asyncio.StreamWriter | None = None
        try:
            client_port = writer.get_extra_info("peername")[1]
            self.unreached_ports.add(client_port)
            if self.faults.refusing:
                reset(writer.transport)
                return
            target_reader, target = await asyncio.open_connection("127.0.0.1", self.target_port)
            self.unreached_ports.discard(client_port)
            self._writers.add(target)
            await self._relay(reader, writer, target_reader, target)
        except OSError:
            reset(writer.transport)
        finally:
            self._writers.discard(writer)
            self._muted.discard(writer)
            writer.transport.abort()
            if target is not None:
                self._writers.discard(target)
                self._muted.discard(target)
                target.transport.abort()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target_reader: asyncio.StreamReader,
        target: asyncio.StreamWriter,
    ) -> None:
        tasks = [
            asyncio.create_task(self._pass_on(reader, target, "silent_to_target")),
            asyncio.create_task(self._pass_on(target_reader, writer, "silent_to_client")),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, silence: str
    ) -> None:
        with contextlib.suppress(OSError):
            while piece := await reader.read(READ_BYTES):
                while getattr(self.faults, silence) or writer in self._muted:
                    await asyncio.sleep(POLL_S)
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                if self.faults.resetting and self._rng.random() < RESETS_PER_PIECE:
                    reset(writer.transport)
                    return
                writer.write(piece)
                await writer.drain()
