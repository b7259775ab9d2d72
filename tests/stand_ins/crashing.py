"""Workers that requests can crash, and that are back under another id a moment later."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.stand_ins.worker import Answer, Received, StandInWorker, chunk, event, head

CRASH_AFTER_S = 0.04
"""Time that a worker runs a request before it crashes."""


class CrashableWorker(StandInWorker):
    """A worker that ends as it runs a request that ``crashes`` names.

    If it ``closes_cleanly``, its answer has no length and ends with the connection, between events.
    """

    def __init__(
        self,
        worker_id: str,
        crashes: Callable[[Received], bool],
        *script: Answer,
        closes_cleanly: bool = False,
    ) -> None:
        super().__init__(worker_id, *script)
        self.crashes = crashes
        self._closes_cleanly = closes_cleanly
        self.crashed = asyncio.Event()

    def _next_answer(self) -> Answer:
        normal = super()._next_answer()

        async def answer(request: Received, writer: asyncio.StreamWriter) -> None:
            if not self.crashes(request):
                await normal(request, writer)
                return
            if self._closes_cleanly:
                writer.write(head(request, "200 OK", "Content-Type: text/event-stream") + event(1))
            else:
                writer.write(head(request, "200 OK", "Transfer-Encoding: chunked") + chunk(b"id"))
            await writer.drain()
            await asyncio.sleep(CRASH_AFTER_S)
            if self._closes_cleanly:
                writer.close()
            self.crashed.set()
            await self.stop()

        return answer


class WorkerList(ABC):
    """Where the platform lists its workers."""

    @abstractmethod
    async def list_worker(self, worker: StandInWorker) -> None:
        """List a worker that has started."""

    @abstractmethod
    async def unlist_worker(self, worker: StandInWorker) -> None:
        """Take a worker that is gone off the list."""


@dataclass
class RestartingWorkers:
    """Workers at fixed ports; one that crashed is replaced after ``restart_s`` seconds.

    The platform notices an end late: the record of the former worker goes ``unlist_s`` after it.
    """

    platform: WorkerList
    crashes: Callable[[Received], bool]
    script: tuple[Answer, ...] = ()
    restart_s: float = 0.6
    unlist_s: float = 1.2
    closes_cleanly: bool = False
    ended: list[CrashableWorker] = field(default_factory=list)
    running: list[CrashableWorker] = field(default_factory=list)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _started: int = 0

    async def start(self, count: int) -> None:
        """Start and list so many workers."""
        for _ in range(count):
            await self._start_one(0)

    async def stop(self) -> None:
        """End all workers."""
        for task in self._tasks:
            task.cancel()
        for worker in self.running:
            await worker.stop()

    def received(self) -> list[Received]:
        """Return what reached any worker."""
        return [req for worker in [*self.ended, *self.running] for req in worker.received]

    async def _start_one(self, port: int) -> None:
        worker = CrashableWorker(
            f"w{self._started}",
            self.crashes,
            *self.script,
            closes_cleanly=self.closes_cleanly,
        )
        self._started += 1
        worker.port = port
        await worker.start()
        self.running.append(worker)
        await self.platform.list_worker(worker)
        self._tasks.append(asyncio.create_task(self._replace_when_crashed(worker)))

    async def _replace_when_crashed(self, worker: CrashableWorker) -> None:
        await worker.crashed.wait()
        self.running.remove(worker)
        self.ended.append(worker)
        await asyncio.sleep(self.restart_s)
        await self._start_one(worker.port)
        await asyncio.sleep(self.unlist_s - self.restart_s)
        await self.platform.unlist_worker(worker)
