"""Periodic work of a serving process: load digests, health checks, dispatch and clean-up."""

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

SWEEP_INTERVAL_S = 0.25

PROCESS_PAUSE_THRESHOLD_S = 0.5
"""Timer delay above which the process counts as paused: it was suspended or got no CPU time."""

UNREAD_THRESHOLD_S = 0.25
"""Timer delay above which what was received may have waited unread. A pause shows in a timer but
for ``SWEEP_INTERVAL_S`` of it, so that none of half a second is missed."""


class PeriodicWork:
    """Runs the components of a serving process that must act at regular intervals.

    ``on_resume`` is called after a pause of the process or of its machine, when messages may
    have been missed and the daemon's state is outdated by the length of the pause.
    """

    def __init__(
        self,
        directory: WorkerDirectory,
        connections: WorkerConnections,
        queue: OnlineQueue,
        batch_scheduler: BatchScheduler,
        load_sharing: LoadSharing,
        log: DecisionLog,
        on_resume: Callable[[], None] = lambda: None,
    ) -> None:
        self._directory = directory
        self._connections = connections
        self._queue = queue
        self._batch_scheduler = batch_scheduler
        self._load_sharing = load_sharing
        self._log = log
        self._on_resume = on_resume

    async def sweep(self) -> None:
        """Discard state of departed workers and close unusable connections, until cancelled.

        Connections are closed if they were idle too long or their worker is gone. Also detects
        pauses of the process.
        """
        loop = asyncio.get_running_loop()
        while True:
            started_s = loop.time()
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._check_for_pause(started_s, loop.time())
            self._directory.sweep(loop.time())
            self._batch_scheduler.prune_placements(set(self._directory.workers))
            listed_incarnations = {
                worker.incarnation for worker in self._directory.workers.values()
            }
            self._connections.sweep(listed_incarnations, loop.time())

    async def run_load_cycles(self) -> None:
        """Send load digests, eject failing workers and dispatch queued work, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._load_sharing.period_s)
            self._load_sharing.tick(loop.time())
            for worker in self._directory.eject_failing_workers(loop.time()):
                self._log_ejection(worker)
            self._queue.tick(loop.time(), self._load_sharing.hops)
            self._batch_scheduler.tick(loop.time(), self._load_sharing.hops)

    def _check_for_pause(self, started_s: float, now_s: float) -> None:
        """Record a pause if a timer that was set at ``started_s`` was late.

        Log it and call ``on_resume`` if it was late by more than ``PROCESS_PAUSE_THRESHOLD_S``.
        """
        delay_s = now_s - started_s - SWEEP_INTERVAL_S
        if delay_s > UNREAD_THRESHOLD_S:
            self._connections.pauses.note(started_s, now_s)
        if delay_s > PROCESS_PAUSE_THRESHOLD_S:
            self._log.event("process_paused", for_s=round(delay_s, 3))
            self._on_resume()

    def _log_ejection(self, worker: Worker) -> None:
        health = worker.health
        self._log.event(
            "worker_ejected",
            worker=worker.record.worker_id,
            failure_rate=round(health.failure_rate, 2),
            outcomes=round(health.outcomes, 1),
            for_s=health.ejection_s,
        )
