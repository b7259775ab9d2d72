"""Stand-in for an application back end, such as album thumbnails or order status."""

from __future__ import annotations

import asyncio
import time
from dataclasses import asdict

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field

from mountstand.emulator.engine_app import Execution
from mountstand.emulator.faults import FaultInjector, refuse_unexecuted


class ApplicationSettings(BaseModel):
    """How one emulated application worker behaves."""

    model_config = ConfigDict(extra="forbid")

    service: str = "album"
    service_time_s: float = Field(0.003, ge=0.0)
    concurrency: int = Field(64, ge=1)


class ApplicationApp:
    """Answers any path with a small JSON document and records what it ran."""

    def __init__(self, settings: ApplicationSettings, seed: int = 0) -> None:
        self.settings = settings
        self.faults = FaultInjector(seed, time.monotonic)
        self.executions: list[Execution] = []
        self.leaving = False
        self._running = 0

    def build(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application(middlewares=[self.faults.middleware])
        self.faults.install(application)
        application.router.add_get("/load", self._handle_load)
        application.router.add_get("/control/executions", self._handle_executions)
        application.router.add_post("/control/leave", self._handle_leave)
        application.router.add_route("*", "/{path:.*}", self._handle)
        return application

    async def _handle(self, request: web.Request) -> web.Response:
        if self.leaving:
            return refuse_unexecuted(503, "this worker is leaving", 1.0)
        if self._running >= self.settings.concurrency:
            return refuse_unexecuted(503, "all slots are busy", self.settings.service_time_s)
        body = await request.read()
        request_id = request.headers.get("X-Request-Id", "")
        execution = Execution(request_id, request.headers.get("X-Label", ""), time.monotonic())
        self.executions.append(execution)
        self._running += 1
        try:
            await asyncio.sleep(self.settings.service_time_s)
        finally:
            self._running -= 1
        execution.finished_s = time.monotonic()
        execution.outcome = "completed"
        return web.json_response(
            {"service": self.settings.service, "path": request.path, "body_bytes": len(body)},
            headers={"X-Request-Id": request_id},
        )

    async def _handle_load(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "running": self._running,
                "waiting": 0,
                "running_batch": 0,
                "waiting_batch": 0,
                "slots": self.settings.concurrency,
                "leaving": self.leaving,
                "models": {},
            }
        )

    async def _handle_executions(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "executions": [asdict(execution) for execution in self.executions],
                "preemptions": 0,
            }
        )

    async def _handle_leave(self, request: web.Request) -> web.Response:
        self.leaving = True
        return web.json_response({"leaving": True})
