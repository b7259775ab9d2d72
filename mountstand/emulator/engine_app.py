"""HTTP shell of an emulated model engine.

The protocol is OpenAI's completions interface with these additions, described in
``docs/design/engine-protocol.md``: ``X-Request-Id`` is echoed, ``X-Priority`` orders the queue,
``X-Executed: no`` marks a refusal, ``/v1/streams/{id}`` resumes or cancels a stream, ``/load``,
``/cache_events``, ``/orders`` and ``/kv`` serve the control side.
"""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from dataclasses import asdict, dataclass, field

import orjson
from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field

from mountstand.emulator.completions import (
    CompletionCall,
    completion_body,
    parse_completion,
    token_frame,
)
from mountstand.emulator.engine_core import EngineCore, EngineLoad, Sequence, SequenceState
from mountstand.emulator.faults import FaultInjector, drop_connection, refuse_unexecuted

MAX_BODY_BYTES = 16 * 1024 * 1024
DETACHED_STREAM_S = 2.0
"""How long a stream whose reader left keeps running, waiting for a resume."""

KEPT_STREAMS = 4096
"""Finished streams that can still be resumed."""

LOAD_HISTORY_S = 2.0


class EngineSettings(BaseModel):
    """How one emulated engine behaves."""

    model_config = ConfigDict(extra="forbid")

    model: str = "caption"
    version: str = "1"
    software_version: str | None = Field(None, description="Named in answers, if set")
    slots: int = Field(16, ge=1, le=4096)
    waiting_limit: int = Field(64, ge=0)
    step_s: float = Field(0.005, gt=0.0, le=1.0)
    cache_blocks: int = Field(2048, ge=1)
    load_lag_s: float = Field(0.2, ge=0.0)
    cache_event_lag_s: float = Field(0.5, ge=0.0)
    load_time_s: float = Field(0.5, ge=0.0)
    cache_event_gap_share: float = Field(0.05, ge=0.0, le=1.0)


@dataclass
class Execution:
    """One request that the engine ran, as evidence for the history checker."""

    request_id: str
    label: str
    started_s: float
    finished_s: float = 0.0
    outcome: str = "running"


@dataclass
class LiveStream:
    """A sequence with those who wait for its tokens."""

    sequence: Sequence
    execution: Execution
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    readers: int = 0

    def notify(self) -> None:
        """Wake every reader."""
        self.changed.set()
        self.changed = asyncio.Event()


class EngineApp:
    """One emulated engine: the step loop and its HTTP handlers."""

    def __init__(self, settings: EngineSettings, seed: int = 0) -> None:
        self.settings = settings
        self.faults = FaultInjector(seed, time.monotonic)
        self.core = EngineCore(settings.slots, settings.waiting_limit, settings.cache_blocks)
        self.models: dict[str, str] = {settings.model: settings.version}
        self.role = "mixed"
        self.leaving = False
        self.executions: list[Execution] = []
        self.last_dispatch_after_leaving_s = 0.0
        self._left_s = 0.0
        self._order_epoch = 0
        self._streams: OrderedDict[str, LiveStream] = OrderedDict()
        self._wake = asyncio.Event()
        self._load_history: list[tuple[float, EngineLoad]] = []
        self._event_times_s: list[float] = []
        self._last_request_id = "none"

    def build(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application(
            middlewares=[self.faults.middleware], client_max_size=MAX_BODY_BYTES
        )
        self.faults.install(application)
        router = application.router
        router.add_post("/v1/completions", self._handle_completion)
        router.add_post("/v1/chat/completions", self._handle_completion)
        router.add_post("/v1/streams/{id}/resume", self._handle_resume)
        router.add_delete("/v1/streams/{id}", self._handle_cancel)
        router.add_get("/load", self._handle_load)
        router.add_get("/cache_events", self._handle_cache_events)
        router.add_post("/orders", self._handle_order)
        router.add_get("/kv", self._handle_kv_export)
        router.add_put("/kv", self._handle_kv_import)
        router.add_get("/control/executions", self._handle_executions)
        router.add_get("/control/cache", self._handle_cache_statistics)
        router.add_post("/control/leave", self._handle_leave)
        application.cleanup_ctx.append(self._run_steps)
        return application

    # The step loop

    async def _run_steps(self, application: web.Application):  # type: ignore[no-untyped-def]
        task = asyncio.create_task(self._step_forever())
        yield
        task.cancel()

    async def _step_forever(self) -> None:
        due_s = time.monotonic()
        while True:
            if self.core.idle:
                self._record_load()
                self._wake.clear()
                await self._wake.wait()
                due_s = time.monotonic()
            due_s = max(due_s + self.settings.step_s, time.monotonic() - self.settings.step_s)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            for sequence in self.core.step():
                self._publish(sequence)
            self._record_load()

    def _publish(self, sequence: Sequence) -> None:
        stream = self._streams.get(sequence.sequence_id)
        if stream is None:
            return
        if sequence.state is SequenceState.FINISHED:
            self._finish(stream, "completed")
        stream.notify()

    def _finish(self, stream: LiveStream, outcome: str) -> None:
        stream.execution.finished_s = time.monotonic()
        stream.execution.outcome = outcome
        while len(self._streams) > KEPT_STREAMS:
            self._streams.popitem(last=False)

    def _record_load(self) -> None:
        now = time.monotonic()
        self._load_history.append((now, self.core.load()))
        while len(self._load_history) > 2 and self._load_history[1][0] < now - LOAD_HISTORY_S:
            self._load_history.pop(0)

    # Completions

    async def _handle_completion(self, request: web.Request) -> web.StreamResponse:
        try:
            call = parse_completion(request, orjson.loads(await request.read()))
        except (ValueError, TypeError, KeyError) as problem:
            return web.json_response({"error": {"message": str(problem)}}, status=400)
        if self.leaving:
            self.last_dispatch_after_leaving_s = time.monotonic() - self._left_s
            return refuse_unexecuted(503, "this engine is leaving", 1.0)
        if call.model not in self.models:
            return refuse_unexecuted(503, f"model {call.model} is not loaded", 1.0)
        stream = self._start(call)
        if stream is None:
            return refuse_unexecuted(503, "the waiting room is full", self.settings.step_s * 20)
        if call.stream:
            return await self._send_stream(request, stream, call.request_id, 0, chat=call.chat)
        return await self._send_whole(stream, call)

    def _start(self, call: CompletionCall) -> LiveStream | None:
        sequence = self.core.admit(call.request_id, call.prompt, call.max_tokens, call.priority)
        if sequence is None:
            return None
        execution = Execution(call.request_id, call.label, time.monotonic())
        self.executions.append(execution)
        stream = LiveStream(sequence, execution)
        self._streams[call.request_id] = stream
        self._wake.set()
        return stream

    def _echoed_id(self, request_id: str) -> str:
        crossed = self.faults.draw(self.faults.plan.cross_share)
        echoed = self._last_request_id if crossed else request_id
        self._last_request_id = request_id
        return echoed

    def _load_header(self) -> str:
        load = self.core.load()
        figures = (load.running, load.waiting, load.running_batch, load.waiting_batch, load.slots)
        return ",".join(str(figure) for figure in figures)

    async def _send_whole(self, stream: LiveStream, call: CompletionCall) -> web.Response:
        stream.readers += 1
        try:
            while stream.sequence.state in (SequenceState.WAITING, SequenceState.RUNNING):
                await stream.changed.wait()
        except asyncio.CancelledError:
            self._cancel(stream)
            raise
        finally:
            stream.readers -= 1
        if stream.sequence.state is SequenceState.CANCELLED:
            return web.json_response({"error": {"message": "cancelled"}}, status=499)
        body = completion_body(call, stream.sequence)
        return web.Response(
            body=orjson.dumps(body),
            content_type="application/json",
            headers={
                "X-Request-Id": self._echoed_id(call.request_id),
                "X-Load": self._load_header(),
            },
        )

    async def _send_stream(
        self, request: web.Request, stream: LiveStream, request_id: str, offset: int, *, chat: bool
    ) -> web.StreamResponse:
        headers = {
            "Content-Type": "text/event-stream",
            "X-Request-Id": self._echoed_id(request_id),
            "X-Load": self._load_header(),
        }
        if self.settings.software_version is not None:
            headers["X-Software"] = self.settings.software_version
        response = web.StreamResponse(headers=headers)
        stream.readers += 1
        truncated = self.faults.draw(self.faults.plan.truncate_share)
        try:
            await response.prepare(request)
            await self._write_tokens(response, stream, offset, truncated=truncated, chat=chat)
            if truncated:
                return drop_connection(request)
            await response.write(b"data: [DONE]\n\n")
            await response.write_eof()
        except (ConnectionError, asyncio.CancelledError):
            asyncio.get_running_loop().call_later(DETACHED_STREAM_S, self._cancel_if_unread, stream)
            raise
        finally:
            stream.readers -= 1
        return response

    async def _write_tokens(
        self,
        response: web.StreamResponse,
        stream: LiveStream,
        offset: int,
        *,
        truncated: bool,
        chat: bool,
    ) -> None:
        sequence = stream.sequence
        sent = offset
        last = sequence.max_tokens // 2 if truncated else sequence.max_tokens
        while sent < last:
            if sent < len(sequence.tokens):
                await response.write(token_frame(sequence, sent, chat=chat))
                sent += 1
            elif sequence.state is SequenceState.CANCELLED:
                raise ConnectionResetError("cancelled")
            else:
                await stream.changed.wait()

    async def _handle_resume(self, request: web.Request) -> web.StreamResponse:
        stream = self._streams.get(request.match_info["id"])
        if stream is None or stream.sequence.state is SequenceState.CANCELLED:
            return refuse_unexecuted(404, "no such stream", 1.0)
        body = orjson.loads(await request.read())
        request_id = request.headers.get("X-Request-Id", "")
        chat = bool(body.get("chat"))
        return await self._send_stream(request, stream, request_id, int(body["offset"]), chat=chat)

    async def _handle_cancel(self, request: web.Request) -> web.Response:
        stream = self._streams.get(request.match_info["id"])
        if stream is not None:
            self._cancel(stream)
        return web.json_response({"cancelled": stream is not None})

    def _cancel(self, stream: LiveStream) -> None:
        if stream.sequence.state in (SequenceState.FINISHED, SequenceState.CANCELLED):
            return
        self.core.cancel(stream.sequence)
        self._finish(stream, "cancelled")
        stream.notify()

    def _cancel_if_unread(self, stream: LiveStream) -> None:
        if stream.readers == 0:
            self._cancel(stream)

    # Control side

    async def _handle_load(self, request: web.Request) -> web.Response:
        wanted_s = time.monotonic() - self.settings.load_lag_s
        reported = self.core.load()
        for recorded_s, load in reversed(self._load_history):
            reported = load
            if recorded_s <= wanted_s:
                break
        return web.json_response(
            asdict(reported) | {"leaving": self.leaving, "models": self.models}
        )

    async def _handle_cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        now = time.monotonic()
        events = self.core.cache.events
        while len(self._event_times_s) < len(events):
            self._event_times_s.append(now)
        visible = [
            asdict(event)
            for event, time_s in zip(events[after:], self._event_times_s[after:], strict=False)
            if time_s <= now - self.settings.cache_event_lag_s
        ]
        kept = [e for e in visible if not self.faults.draw(self.settings.cache_event_gap_share)]
        last = visible[-1]["sequence_number"] if visible else after
        return web.json_response({"events": kept, "last": last})

    async def _handle_order(self, request: web.Request) -> web.Response:
        order = orjson.loads(await request.read())
        if int(order["epoch"]) < self._order_epoch:
            return web.json_response({"accepted": False, "epoch": self._order_epoch}, status=409)
        self._order_epoch = int(order["epoch"])
        if order["kind"] == "load_model":
            self._begin_load(order["model"], order["version"])
        elif order["kind"] == "unload_model":
            self.models.pop(order["model"], None)
        elif order["kind"] == "set_role":
            self.role = order["role"]
        return web.json_response({"accepted": True, "epoch": self._order_epoch})

    def _begin_load(self, model: str, version: str) -> None:
        """Serve no version of the model until the new one is loaded."""
        self.models.pop(model, None)
        loop = asyncio.get_running_loop()
        loop.call_later(self.settings.load_time_s, self.models.__setitem__, model, version)

    async def _handle_kv_export(self, request: web.Request) -> web.Response:
        return web.json_response({"blocks": self.core.cache.export()})

    async def _handle_kv_import(self, request: web.Request) -> web.Response:
        self.core.cache.store(orjson.loads(await request.read())["blocks"])
        return web.json_response({"imported": True})

    async def _handle_executions(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "executions": [asdict(execution) for execution in self.executions],
                "preemptions": self.core.preemptions,
                "last_dispatch_after_leaving_s": self.last_dispatch_after_leaving_s,
            }
        )

    async def _handle_cache_statistics(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "prefill_steps": self.core.prefill_steps,
                "prompt_blocks": self.core.prompt_blocks,
                "cached_blocks": self.core.cached_blocks,
            }
        )

    async def _handle_leave(self, request: web.Request) -> web.Response:
        self.leaving = True
        self._left_s = time.monotonic()
        return web.json_response({"leaving": True})
