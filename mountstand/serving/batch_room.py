"""Which slots batch work may take, in which order, and when it gives them back.

Workers admit requests in order, so batch work must never be in front of online work. It takes
slots that are free and gives them back by closing its streams as soon as a worker is full. An item
that is taken off goes on later after its last whole event, at the cost of reading its prompt again.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from mountstand.serving.workers import Worker, WorkerDirectory

START_FILL = 0.9
"""A worker filled beyond this share of its slots gets no further batch item."""

YIELD_FILL = 1.15
"""A worker filled beyond this share gives batch items up. A short queue costs less than reading a
prompt again, since some request ends every few tens of milliseconds: docs/design/platform.md."""


@dataclass(frozen=True, order=True)
class Urgency:
    """Order of batch items; the least goes first.

    Items that can still be in time go before those that are late, and among equals the earliest
    due: with too few slots some are in time, where equal shares would make all late.
    """

    late: bool
    due_at_s: float


@dataclass(eq=False)
class Placement:
    """A batch item's place at a worker, from its grant until ``BatchRoom.release``."""

    worker: Worker
    urgency: Urgency
    preempt: Callable[[], None] = lambda: None


@dataclass(order=True)
class _Waiter:
    """An item that waits for a slot."""

    urgency: Urgency
    number: int
    granted: asyncio.Future[Placement] = field(compare=False)


class BatchRoom:
    """Shares the free slots out among daemons, and preempts this daemon's items."""

    def __init__(self, directory: WorkerDirectory, daemons: Callable[[], int]) -> None:
        self._directory = directory
        self._daemons = daemons
        self._waiting: dict[str, list[_Waiter]] = {}
        self._placements: dict[str, list[Placement]] = {}
        self._numbers = itertools.count()

    async def acquire(self, service: str, urgency: Urgency) -> Placement:
        """Wait for a slot at a worker of ``service``; the caller must release it."""
        granted: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(urgency, next(self._numbers), granted)
        heapq.heappush(self._waiting.setdefault(service, []), waiter)
        try:
            return await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self.release(granted.result())
            raise

    def release(self, placement: Placement) -> None:
        """Give a slot back."""
        worker = placement.worker
        worker.in_flight -= 1
        worker.batch_in_flight -= 1
        placements = self._placements.get(worker.record.worker_id, [])
        if placement in placements:
            placements.remove(placement)

    def tick(self, now_s: float) -> None:
        """Preempt and grant; call once per exchange of digests.

        Every daemon sees the same free slots, so each may take only its part of them until the
        next digests tell who took what.
        """
        free: dict[str, float] = {}
        for worker in self._directory.workers.values():
            load = worker.estimated_load(now_s)
            service = worker.record.service
            room = max(0.0, worker.slots() * START_FILL - load)
            free[service] = free.get(service, 0.0) + room
            self._preempt_excess(worker, load)
        daemons = max(1, self._daemons())
        for service, slots in free.items():
            if slots >= 1:
                self._grant(service, math.ceil(slots / daemons), now_s)

    def yield_to_online(self, worker: Worker, now_s: float) -> None:
        """Take one item off a worker that is full, since an online request is sent there."""
        if worker.batch_in_flight and worker.estimated_load(now_s) > worker.slots() * YIELD_FILL:
            self._preempt_least_urgent(worker)

    def _grant(self, service: str, allowance: int, now_s: float) -> None:
        waiting = self._waiting.get(service, [])
        while waiting and allowance > 0:
            if waiting[0].granted.done():
                heapq.heappop(waiting)
                continue
            worker = self._directory.choose_below(service, START_FILL, now_s)
            if worker is None:
                return
            waiter = heapq.heappop(waiting)
            worker.in_flight += 1
            worker.batch_in_flight += 1
            placement = Placement(worker, waiter.urgency)
            self._placements.setdefault(worker.record.worker_id, []).append(placement)
            waiter.granted.set_result(placement)
            allowance -= 1

    def _preempt_excess(self, worker: Worker, load: float) -> None:
        """Take off this daemon's part of the batch items that are too many."""
        excess = load - worker.slots() * YIELD_FILL
        if excess <= 0 or not worker.batch_in_flight:
            return
        share = worker.batch_in_flight / max(1, worker.batch)
        for _ in range(min(worker.batch_in_flight, math.ceil(excess * share))):
            self._preempt_least_urgent(worker)

    def _preempt_least_urgent(self, worker: Worker) -> None:
        placements = self._placements.get(worker.record.worker_id, [])
        if placements:
            placement = max(placements, key=lambda each: each.urgency)
            placements.remove(placement)
            placement.preempt()

    def forget(self, workers: set[str]) -> None:
        """Drop what is kept of workers that are gone."""
        for worker_id in [known for known in self._placements if known not in workers]:
            if not self._placements[worker_id]:
                del self._placements[worker_id]
