"""A sound batch item runs at a worker whenever one crashes, six times, one worker at a time.

Afterwards all is calm, and the workers are idle and sound. The item is still owed.
"""

from __future__ import annotations

import asyncio
import json
from base64 import b64encode

from review.common.kit import TROUBLE, Daemon, Record, Site, call, play
from tests.stand_ins.worker import Received, StandInWorker, chunk, event, head

EVENTS = 164
EVENT_GAP_S = 0.1
CRASHES = 6
RUN_BEFORE_CRASH_S = 1.0
AWAY_S = 2.0
"""How long a crashed worker is away; the site's `srv_crash` has 4.5 s."""

ENTRY_LAPSES_S = 3.6
"""Three heartbeats."""

WORKERS = 6
"""One of them at a time is the share of the site's `srv_crash`."""

WAIT_FOR_RUN_S = 20.0
EXCUSED_S = 20.0
"""An item that failed at a worker so recently doesn't count."""

CALM_S = 21.5
"""Longer than the 20 s in which a failed item is excused, and than `finish_s`; shorter than what is
left of `retention_s` (60 s)."""


class Workers:
    """The workers of the service; one of them may crash, and comes back as a new one."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._count = 0
        self.running: StandInWorker | None = None
        """The worker that runs the item, if one does."""

        self.finished_runs = 0
        self.last_had_s = float("-inf")
        """When a worker last had the item."""

        self.runs = 0
        self._back: asyncio.Task[None] | None = None
        self._lapses: list[asyncio.Task[None]] = []

    async def add(self) -> None:
        """Start a worker and list it."""
        self._count += 1
        worker = StandInWorker(f"llm-{self._count}")

        async def answer(request: Received, writer: asyncio.StreamWriter) -> None:
            self.runs += 1
            self.running = worker
            after = request.resume_after
            self._site.record.note(f"worker {worker.worker_id} runs the item after event {after}")
            lines = ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            writer.write(head(request, "200 OK", *lines, "Server-Load: 1,0,19"))
            try:
                for number in range(after + 1, EVENTS + 1):
                    writer.write(chunk(event(number)))
                    await writer.drain()
                    self.last_had_s = asyncio.get_running_loop().time()
                    await asyncio.sleep(EVENT_GAP_S)
                writer.write(b"0\r\n\r\n")
                self.finished_runs += 1
            finally:
                if self.running is worker:
                    self.running = None

        worker.script = [answer]
        await self._site.add_worker(worker)

    async def crash(self, worker: StandInWorker) -> None:
        """Let a worker crash: connections are reset, its entry goes, a new worker comes later."""
        self._site.record.note(f"worker {worker.worker_id} crashes")
        await worker.stop()
        self.running = None

        async def come_back() -> None:
            await asyncio.sleep(AWAY_S)
            await self.add()

        async def lapse() -> None:
            await asyncio.sleep(ENTRY_LAPSES_S)
            await self._site.store.remove("servers", worker.worker_id)

        self._back = asyncio.create_task(come_back())
        self._lapses.append(asyncio.create_task(lapse()))

    async def all_back(self) -> None:
        """Wait until the worker that crashed last has come back."""
        if self._back is not None:
            await self._back


async def listed(daemon: Daemon) -> bool:
    """Return whether the item is listed."""
    _, body = await call(daemon.front, "GET", "/lots/j1?after=0")
    return bool(json.loads(body)["results"])


async def scenario(record: Record) -> bool:
    """Return whether the item was listed after all was calm, or is excused."""
    loop = asyncio.get_running_loop()
    async with Site(record) as site:
        workers = Workers(site)
        for _ in range(WORKERS):
            await workers.add()
        daemon = site.daemon("front-1")
        await daemon.start()
        await daemon.wait_ready()
        item = {
            "id": "e5b2907c14da6f38",
            "path": "/batch/1",
            "headers": {"Token-Count": "1776,164"},
            "body": b64encode(b"photo").decode(),
            "tokens": 1940,
        }
        document = json.dumps({"items": [item]}).encode()
        status, _ = await call(daemon.front, "POST", "/batch/j1", document, {"Request-Id": "j1"})
        record.note(f"batch job j1 of one item: {status}")
        for _ in range(CRASHES if TROUBLE else 0):
            await workers.all_back()
            end_s = loop.time() + WAIT_FOR_RUN_S
            while workers.running is None and loop.time() < end_s:
                await asyncio.sleep(0.05)
            if workers.running is None:
                break
            await asyncio.sleep(RUN_BEFORE_CRASH_S)
            if workers.running is not None:
                await workers.crash(workers.running)
        record.note(f"all is calm from now on; {workers.runs} runs so far")
        end_s = loop.time() + CALM_S
        while loop.time() < end_s and not await listed(daemon):
            await asyncio.sleep(1.0)
        done = await listed(daemon)
        record.note(f"runs: {workers.runs}, whole ones: {workers.finished_runs}, listed: {done}")
        for name in ("request_quarantined", "item_held_back", "items_waiting"):
            for line in daemon.log_lines(name)[-2:]:
                record.note(f"log of front-1: {line}")
        had_s = loop.time() - workers.last_had_s
        record.note(f"a worker last had the item {had_s:.1f} s ago; excused up to {EXCUSED_S:g} s")
        return done or had_s <= EXCUSED_S


play(__file__, scenario)
