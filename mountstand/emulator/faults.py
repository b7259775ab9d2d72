"""Faults that every stand-in can be told to show, drawn from a seeded random source."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

CONTROL_PREFIX = "/control/"
THROTTLE_RETRY_AFTER_S = 0.1


class FaultPlan(BaseModel):
    """What a stand-in does wrong at present; the default is nothing."""

    model_config = ConfigDict(extra="forbid")

    outage: bool = Field(False, description="Drop every connection before running the request")
    delay_s: float = Field(0.0, ge=0.0, description="Wait before running each request")
    lose_answer_share: float = Field(
        0.0, ge=0.0, le=1.0, description="Share of requests run but never answered"
    )
    refuse_share: float = Field(
        0.0, ge=0.0, le=1.0, description="Share of requests refused before they run"
    )
    operations_per_s: float = Field(
        0.0, ge=0.0, description="Rate limit over which requests are refused; 0 is no limit"
    )
    truncate_share: float = Field(
        0.0, ge=0.0, le=1.0, description="Share of streams cut before their last frame"
    )
    cross_share: float = Field(
        0.0, ge=0.0, le=1.0, description="Share of answers that carry another request's id"
    )


class RateLimit:
    """Token bucket that holds one second's worth of operations."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._tokens = 0.0
        self._updated_s = clock()

    def admit(self, operations_per_s: float) -> bool:
        """Take one token; return whether there was one."""
        now = self._clock()
        refill = (now - self._updated_s) * operations_per_s
        self._tokens = min(operations_per_s, self._tokens + refill)
        self._updated_s = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class FaultInjector:
    """Applies a :class:`FaultPlan` to one stand-in and serves its control endpoint."""

    def __init__(self, seed: int, clock: Callable[[], float]) -> None:
        self.plan = FaultPlan()
        self.random = random.Random(seed)
        self.operations: dict[str, int] = {}
        self._limit = RateLimit(clock)

    def install(self, application: web.Application) -> None:
        """Add the control endpoints; the caller passes :attr:`middleware` when it builds."""
        application.router.add_put("/control/faults", self._handle_put)
        application.router.add_get("/control/faults", self._handle_get)
        application.router.add_get("/control/operations", self._handle_operations)

    def draw(self, share: float) -> bool:
        """Return ``True`` in ``share`` of the calls."""
        return share > 0.0 and self.random.random() < share

    @web.middleware
    async def middleware(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Run one request under the present plan."""
        if request.path.startswith(CONTROL_PREFIX):
            return await handler(request)
        plan = self.plan
        if plan.outage:
            return drop_connection(request)
        if plan.delay_s:
            await asyncio.sleep(plan.delay_s)
        over_limit = plan.operations_per_s and not self._limit.admit(plan.operations_per_s)
        if over_limit or self.draw(plan.refuse_share):
            return refuse_unexecuted(429, "over the rate limit", THROTTLE_RETRY_AFTER_S)
        self.operations[request.method] = self.operations.get(request.method, 0) + 1
        response = await handler(request)
        if self.plan.outage or self.draw(plan.lose_answer_share):
            return drop_connection(request)
        return response

    async def _handle_put(self, request: web.Request) -> web.Response:
        self.plan = FaultPlan.model_validate_json(await request.read())
        return web.json_response(self.plan.model_dump())

    async def _handle_get(self, request: web.Request) -> web.Response:
        return web.json_response(self.plan.model_dump())

    async def _handle_operations(self, request: web.Request) -> web.Response:
        return web.json_response(self.operations)


def drop_connection(request: web.Request) -> web.Response:
    """Close the caller's connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def refuse_unexecuted(status: int, detail: str, retry_after_s: float) -> web.Response:
    """Answer that the request was not run."""
    return web.json_response(
        {"error": {"message": detail, "executed": "no"}},
        status=status,
        headers={"X-Executed": "no", "Retry-After": str(retry_after_s)},
    )
