"""A TCP proxy that harms what passes through it, between any two processes.

It serves its control interface as an aiohttp application; the proxied port is a second listener.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field

from mountstand.emulator.faults import CONTROL_PREFIX

READ_BYTES = 65536
FROZEN_CHECK_S = 0.02
CRASH_AFTER_S = 0.04
"""Time that a worker runs a request before it crashes."""


class ProxyPlan(BaseModel):
    """What the proxy does at present; the default is to pass everything on."""

    model_config = ConfigDict(extra="forbid")

    refuse: bool = Field(False, description="Close new connections at once")
    cut: bool = Field(False, description="Close every connection")
    half_open: bool = Field(False, description="Accept, then neither read nor answer")
    freeze: bool = Field(False, description="Pass nothing on, but keep connections open")
    lose_answers: bool = Field(False, description="Pass requests on, and close before an answer")
    delay_s: float = Field(0.0, ge=0.0, description="Hold every piece back for so long")
    cut_after_bytes: int = Field(0, ge=0, description="Close after so many bytes of an answer")
    crash_on: str = Field("", description="Text of a request that crashes the worker behind")
    crash_s: float = Field(0.5, ge=0.0, description="How long a worker that crashed is away")
    forwarded: bool = Field(
        False, description="Accept connections and close them while a crashed worker is away"
    )


class ProxyApp:
    """One proxied port and its control interface."""

    def __init__(self, address: str, port: int, target_address: str, target_port: int) -> None:
        self.plan = ProxyPlan()
        self._listen = (address, port)
        self._target = (target_address, target_port)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._crash: asyncio.Task[None] | None = None
        self._away = False

    def build(self) -> web.Application:
        """Return the control application; the proxied port opens and closes with it."""
        application = web.Application()
        application.router.add_put(f"{CONTROL_PREFIX}faults", self._handle_put)
        application.cleanup_ctx.append(self._serve)
        return application

    async def _serve(self, application: web.Application) -> AsyncIterator[None]:
        await self._open()
        yield
        if self._server is not None:
            self._server.close()
        self._close_all()

    async def _open(self) -> None:
        self._server = await asyncio.start_server(self._handle_connection, *self._listen)

    async def _crash_and_return(self) -> None:
        """Refuse connections and close all that there are, as the machine of a crashed worker."""
        await asyncio.sleep(CRASH_AFTER_S)
        self._away = True
        if self._server is not None and not self.plan.forwarded:
            self._server.close()
        self._close_all()
        await asyncio.sleep(self.plan.crash_s)
        self._away = False
        if self._server is None or not self._server.is_serving():
            await self._open()

    async def _handle_put(self, request: web.Request) -> web.Response:
        self.plan = ProxyPlan.model_validate_json(await request.read())
        if self.plan.cut:
            self._close_all()
        return web.json_response(self.plan.model_dump())

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self.plan.refuse or self.plan.cut or self._away:
                return
            while self.plan.half_open:
                await asyncio.sleep(FROZEN_CHECK_S)
            await self._relay(reader, writer)
        except OSError:
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target_reader, target_writer = await asyncio.open_connection(*self._target)
        self._writers.add(target_writer)
        tasks = [
            asyncio.create_task(self._pass_on(reader, target_writer, answers=False)),
            asyncio.create_task(self._pass_on(target_reader, writer, answers=True)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            self._writers.discard(target_writer)
            target_writer.transport.abort()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, answers: bool
    ) -> None:
        passed = 0
        with contextlib.suppress(OSError):
            while piece := await reader.read(READ_BYTES):
                while self.plan.freeze:
                    await asyncio.sleep(FROZEN_CHECK_S)
                if self.plan.delay_s:
                    await asyncio.sleep(self.plan.delay_s)
                if not answers and self._crashes(piece):
                    self._crash = asyncio.create_task(self._crash_and_return())
                if answers and self.plan.lose_answers:
                    return
                limit = self.plan.cut_after_bytes
                if answers and limit and passed + len(piece) > limit:
                    writer.write(piece[: max(0, limit - passed)])
                    await writer.drain()
                    return
                writer.write(piece)
                await writer.drain()
                passed += len(piece)
            # The other direction must end before the connection is closed.
            await asyncio.sleep(FROZEN_CHECK_S)

    def _crashes(self, piece: bytes) -> bool:
        """Return whether a piece of a request crashes a worker that runs."""
        crashing = self._crash is not None and not self._crash.done()
        text = self.plan.crash_on.encode()
        return bool(text) and text in piece and not crashing

    def _close_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()
