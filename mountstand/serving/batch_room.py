"""Which slots batch work may take, and when it gives them back.

Workers admit requests in order, so batch work must never be in front of online work. It takes
slots that are free and gives them back by closing its streams as soon as a worker is nearly full.
An item that is taken off goes on later after its last whole event, at the cost of reading its
prompt again.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from mountstand.serving.workers import Worker, WorkerDirectory

START_FILL = 0.8
"""A worker filled beyond this share of its slots gets no further batch item."""

YIELD_FILL = 0.95
"""A worker filled beyond this share gives batch items up. The gap to ``START_FILL`` keeps items
from being started and taken off in turn."""


class BatchRoom:
    """Shares the free slots out among daemons, and preempts this daemon's items."""

    def __init__(self, directory: WorkerDirectory, daemons: Callable[[], int]) -> None:
        self._directory = directory
        self._daemons = daemons
        self._allowance: dict[str, int] = {}

    def tick(self, now_s: float) -> None:
        """Work the shares out anew; call once per exchange of digests.

        Every daemon sees the same free slots, so each may take only its part of them until the
        next digests tell who took what.
        """
        free: dict[str, float] = {}
        for worker in self._directory.workers.values():
            load = worker.estimated_load(now_s)
            room = max(0.0, worker.slots() * START_FILL - load)
            service = worker.record.service
            free[service] = free.get(service, 0.0) + room
            if worker.preemptible:
                self._preempt_excess(worker, load)
        daemons = max(1, self._daemons())
        self._allowance = {
            service: math.ceil(slots / daemons) for service, slots in free.items() if slots >= 1
        }

    def choose(self, service: str, now_s: float) -> Worker | None:
        """Return the worker for one batch item and use one of this daemon's shares."""
        if self._allowance.get(service, 0) <= 0:
            return None
        worker = self._directory.choose_below(service, START_FILL, now_s)
        if worker is not None:
            self._allowance[service] -= 1
        return worker

    def _preempt_excess(self, worker: Worker, load: float) -> None:
        """Take off this daemon's part of the batch items that are too many."""
        excess = load - worker.slots() * YIELD_FILL
        if excess <= 0:
            return
        share = len(worker.preemptible) / max(1, worker.batch)
        for _ in range(min(len(worker.preemptible), math.ceil(excess * share))):
            preempt_one(worker)


def yield_to_online(worker: Worker, now_s: float) -> None:
    """Take one batch item off a worker that is full, since an online request was sent there."""
    if worker.preemptible and worker.estimated_load(now_s) > worker.slots():
        preempt_one(worker)


def preempt_one(worker: Worker) -> None:
    """Take the newest batch item off."""
    _, preempt = worker.preemptible.popitem()
    preempt()
