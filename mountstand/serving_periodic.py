"""What a serving process does again and again: digests, health, waiting work, and forgetting."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mountstand.serving.batch_room import BatchScheduler
from mountstand.serving.connections import WorkerConnections
from mountstand.serving.load_sharing import LoadSharing
from mountstand.serving.online_queue import OnlineQueue
from mountstand.serving.worker import Worker
from mountstand.serving.workers import WorkerDirectory
from mountstand.telemetry.decisions import DecisionLog

SWEEP_S = 0.25
PAUSE_TOLD_S = 0.5
"""A timer that is so late tells that the process did not run: frozen, or without its processor."""


class PeriodicWork:
    """Runs the parts of a serving process that act once per period.

    ``on_pause`` is called after the process stood still, or its machine was suspended.
    """

    def __init__(
        self,
        directory: WorkerDirectory,
        connections: WorkerConnections,
        queue: OnlineQueue,
        batch_scheduler: BatchScheduler,
        load_sharing: LoadSharing,
        log: DecisionLog,
        on_pause: Callable[[], None] = lambda: None,
    ) -> None:
        self._directory = directory
        self._connections = connections
        self._queue = queue
        self._batch_scheduler = batch_scheduler
        self._load_sharing = load_sharing
        self._log = log
        self._on_pause = on_pause

    async def sweep(self) -> None:
        """Forget workers and connections that are gone, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            await asyncio.sleep(SWEEP_S)
            self._note_pause(loop.time() - began_s - SWEEP_S)
            self._directory.sweep(loop.time())
            self._batch_scheduler.prune_placements(set(self._directory.workers))
            listed = {worker.incarnation for worker in self._directory.workers.values()}
            self._connections.sweep(listed, loop.time())

    async def balance_load(self) -> None:
        """Tell the load, judge workers, and give slots to what waits, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._load_sharing.period_s)
            self._load_sharing.tick(loop.time())
            for worker in self._directory.eject_failing_workers(loop.time()):
                self._log_ejection(worker)
            self._queue.tick(loop.time(), self._load_sharing.hops)
            self._batch_scheduler.tick(loop.time(), self._load_sharing.hops)

    def _note_pause(self, late_s: float) -> None:
        """Tell that this process stood still: what it knows is older by that much."""
        if late_s > PAUSE_TOLD_S:
            self._log.event("process_paused", for_s=round(late_s, 3))
            self._on_pause()

    def _log_ejection(self, worker: Worker) -> None:
        health = worker.health
        self._log.event(
            "worker_ejected",
            worker=worker.record.worker_id,
            failure_rate=round(health.failure_rate, 2),
            outcomes=round(health.outcomes, 1),
            for_s=health.ejection_s,
        )
