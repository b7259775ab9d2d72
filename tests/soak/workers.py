"""Workers of the soak: their answers follow from the request's id; their faults are switched."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from mountstand.transport.sockets import reset
from tests.soak.crashing import CrashingRuns, crashes
from tests.soak.history import (
    History,
    Run,
    piece_count,
    piece_text,
    whole_body,
)
from tests.soak.zones import SoakZones
from tests.stand_ins.worker import Received, StandInWorker, chunk, head

SLOTS = 8
EVENT_GAP_S = 0.02
LONG_EVENT_GAP_S = 0.5
"""Time between events, and between those of items long enough to be running in several crashes."""

KEEP_ALIVE = "Keep-Alive: timeout=10"


@dataclass(slots=True)
class WorkerFaults:
    """Shares of requests that a worker harms; all from 0 to 1."""

    answers_lost: float = 0.0
    broken_midway: float = 0.0
    failing: float = 0.0
    silent: float = 0.0
    slow_factor: float = 1.0


class SoakWorker:
    """One incarnation of a worker."""

    def __init__(
        self,
        worker_id: str,
        history: History,
        rng: random.Random,
        crashing: CrashingRuns,
        on_crash: Callable[[SoakWorker], None],
        zones: SoakZones,
        event_gap_s: float = EVENT_GAP_S,
        software_version: str = "",
    ) -> None:
        self.software_version = software_version
        self._event_gap_s = event_gap_s
        self.worker_id = worker_id
        self.crashed = False
        self._crashing = crashing
        self._on_crash = on_crash
        self._zones = zones
        self.faults = WorkerFaults()
        self.draining_since_s: float | None = None
        self.running = 0
        self._history = history
        self._rng = rng
        self.server = StandInWorker(worker_id, self._answer)

    async def _answer(self, req: Received, writer: asyncio.StreamWriter) -> None:
        if req.headers.get("expect-instance") not in (None, self.worker_id):
            await self._send(req, writer, "421 Misdirected Request", b"")
            return
        if self.running >= SLOTS * 2:
            await self._send(req, writer, "503 Service Unavailable", b"", "Not-Run: 1")
            return
        now_s = asyncio.get_running_loop().time()
        self._history.note_run(
            req.request_id,
            Run(
                self.worker_id,
                now_s,
                req.resume_after,
                self.draining_since_s,
                req.headers.get("tenant"),
                req.headers.get("api-key"),
                self.software_version,
            ),
        )
        self._zones.note_run(self.worker_id, req.request_id)
        if crashes(req.body):
            await self._crash(req, writer)
            return
        self.running += 1
        try:
            await self._run(req, writer)
        finally:
            self.running -= 1

    async def _crash(self, req: Received, writer: asyncio.StreamWriter) -> None:
        """Begin an answer and end in the middle of it, with all that runs here."""
        self._crashing.note(req.request_id, req.body)
        writer.write(head(req, "200 OK", "Transfer-Encoding: chunked") + chunk(b"id"))
        await writer.drain()
        await asyncio.sleep(EVENT_GAP_S)
        if not self.crashed:
            self.crashed = True
            self._on_crash(self)

    async def _run(self, req: Received, writer: asyncio.StreamWriter) -> None:
        chance = self._rng.random
        if req.request_id.endswith("-undoable"):
            await self._send(req, writer, "422 Unprocessable Entity", b"")
        elif chance() < self.faults.silent:
            await req.caller_left.wait()
        elif chance() < self.faults.failing:
            self._history.failed_answers[req.request_id] += 1
            await self._send(req, writer, "500 Internal Server Error", b"")
        elif chance() < self.faults.answers_lost:
            reset(writer.transport)
        elif "plain" in req.target or "once" in req.target:
            await asyncio.sleep(self._event_gap_s * self.faults.slow_factor)
            await self._send(req, writer, "200 OK", whole_body(req.request_id))
        else:
            await self._stream(req, writer, chance() < self.faults.broken_midway)

    async def _send(
        self, req: Received, writer: asyncio.StreamWriter, status: str, body: bytes, *extra: str
    ) -> None:
        load = f"Server-Load: {self.running},0,{SLOTS}"
        length = f"Content-Length: {len(body)}"
        writer.write(head(req, status, length, KEEP_ALIVE, load, *extra) + body)

    async def _stream(self, req: Received, writer: asyncio.StreamWriter, broken: bool) -> None:
        load = f"Server-Load: {self.running},0,{SLOTS}"
        kind = "Content-Type: text/event-stream"
        writer.write(head(req, "200 OK", kind, "Transfer-Encoding: chunked", KEEP_ALIVE, load))
        last = piece_count(req.request_id)
        stop_at = self._rng.randint(req.resume_after + 1, last) if broken else None
        for i in range(req.resume_after + 1, last + 1):
            event = f"id: {i}\ndata: {piece_text(req.request_id, i)}\n\n".encode()
            if i == stop_at:
                writer.write(chunk(event[: len(event) // 2]))
                await writer.drain()
                reset(writer.transport)
                return
            writer.write(chunk(event))
            await writer.drain()
            await asyncio.sleep(self._event_gap_s * self.faults.slow_factor)
        writer.write(b"0\r\n\r\n")
