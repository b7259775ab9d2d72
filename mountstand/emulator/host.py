"""Runs any number of stand-ins on one asyncio loop, in this thread or in one of its own."""

from __future__ import annotations

import asyncio
import threading
from dataclasses import dataclass

from aiohttp import web

START_TIMEOUT_S = 10.0


@dataclass(frozen=True)
class Listener:
    """One stand-in and the address it serves."""

    application: web.Application
    address: str
    port: int


class EmulatorHost:
    """Serves listeners until stopped."""

    def __init__(self, listeners: list[Listener]) -> None:
        self._listeners = listeners
        self._loop: asyncio.AbstractEventLoop | None = None
        self._started = threading.Event()
        self._stop: asyncio.Event | None = None
        self._failure: BaseException | None = None
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Serve in a thread of its own; return when every listener accepts connections."""
        self._thread = threading.Thread(target=self.run, name="emulator", daemon=True)
        self._thread.start()
        self._started.wait(START_TIMEOUT_S)
        if self._failure is not None:
            raise self._failure

    def run(self) -> None:
        """Serve in this thread until :meth:`stop` is called."""
        try:
            asyncio.run(self._serve())
        except BaseException as failure:
            self._failure = failure
            self._started.set()
            if self._thread is None:
                raise

    def stop(self) -> None:
        """Stop serving; callable from any thread."""
        if self._loop is not None and self._stop is not None and not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._stop.set)
        if self._thread is not None:
            self._thread.join(START_TIMEOUT_S)

    async def _serve(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._stop = asyncio.Event()
        runners = []
        for listener in self._listeners:
            runner = web.AppRunner(
                listener.application,
                access_log=None,
                handler_cancellation=True,
                shutdown_timeout=0.2,
            )
            await runner.setup()
            site = web.TCPSite(
                runner, listener.address, listener.port, reuse_address=True, backlog=1024
            )
            await site.start()
            runners.append(runner)
        self._started.set()
        await self._stop.wait()
        for runner in runners:
            await runner.cleanup()
