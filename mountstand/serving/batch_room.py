"""Which slots batch work may take, in which order, and when it gives them back.

Workers admit requests in order, so batch work must never be in front of online work. It takes
slots that are free and gives them back by closing its streams as soon as online requests would wait
too long (:mod:`mountstand.serving.online_queue`). An item that is taken off goes on later after its
last whole event, at the cost of reading its prompt again.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from mountstand.serving.online_queue import OnlineQueue
from mountstand.serving.slot_demand import SlotDemand, WaitingCounts
from mountstand.serving.spread import round_by_chance
from mountstand.serving.worker import Worker
from mountstand.serving.worker_choice import TARGET_UTILIZATION
from mountstand.serving.workers import WorkerDirectory


def _free_slots(workers: list[Worker], now_s: float) -> float:
    """Return how many slots of ``workers`` batch work may take in all."""
    usable = [worker for worker in workers if worker.is_available(now_s)]
    free = sum(max(0.0, worker.slots() - worker.estimated_load(now_s)) for worker in usable)
    return max(0.0, free - usual_fluctuation(sum(worker.online for worker in usable)))


def usual_fluctuation(online: int) -> float:
    """Return by how many slots ``online`` requests in flight usually vary within moments.

    Independent arrivals make the number that runs vary by its square root (Poisson). Batch work
    leaves so many slots free, since taking an item off costs reading its prompt again.
    """
    return math.sqrt(online)


@dataclass(frozen=True, slots=True)
class Urgency:
    """When an item is due, and how long it has still to run as far as can be told.

    Items that can still be in time go before those that cannot, and among equals the earliest
    due: with too few slots some are in time, where equal shares would make all late. Of those due
    together, as the items of one job, the one with the least left to run goes first: an item that
    was taken off would otherwise wait for all others of its job, again each time. ``priority``, 0
    being the most urgent, goes before the due time among those in time, and among the others.
    """

    due_at_s: float
    run_s: float = 0.0
    priority: int = 0

    def in_time(self, now_s: float) -> bool:
        """Return whether the item ends before it is due if it begins now."""
        return now_s + self.run_s <= self.due_at_s

    def rank(self, now_s: float) -> tuple[bool, int, float, float]:
        """Return the item's place in the order of those that begin now; the least goes first."""
        return (not self.in_time(now_s), self.priority, self.due_at_s, self.run_s)


@dataclass(eq=False)
class Placement:
    """A batch item's place at a worker, from its grant until ``BatchScheduler.release``."""

    worker: Worker
    urgency: Urgency
    granted_at_s: float
    preempt: Callable[[], None] = lambda: None

    def rank(self, now_s: float) -> tuple[bool, int, float, float]:
        """Return the item's place in the order of those that run; the greatest gives way first."""
        ran_s = now_s - self.granted_at_s
        left_s = max(0.0, self.urgency.run_s - ran_s)
        return replace(self.urgency, run_s=left_s).rank(now_s)


@dataclass(slots=True)
class _Waiter:
    """An item that waits for a slot."""

    urgency: Urgency
    granted: asyncio.Future[Placement]


class BatchScheduler:
    """Shares the free slots out among daemons, and preempts this daemon's items."""

    def __init__(
        self, directory: WorkerDirectory, online: OnlineQueue, source: random.Random
    ) -> None:
        self._directory = directory
        self._online = online
        self._source = source
        self.demand = SlotDemand()
        self.durations = online.batch_durations
        online.preempt_batch_item = self.preempt_batch_item
        self._waiting: dict[str, list[_Waiter]] = {}
        self._placements_by_worker_id: dict[str, list[Placement]] = {}

    async def acquire(self, service: str, urgency: Urgency) -> Placement:
        """Wait for a slot at a worker of ``service``; the caller must release it."""
        granted: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(service, []).append(_Waiter(urgency, granted))
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
        placements = self._placements_by_worker_id.get(worker.record.worker_id, [])
        if placement in placements:
            placements.remove(placement)
        self._online.assign_freed_slot(worker, asyncio.get_running_loop().time())

    def tick(self, now_s: float, hops: int = 0) -> None:
        """Preempt and grant; call once per period of the digests.

        Every daemon sees the same free slots, so each takes the part of them that its waiting
        items are of all that wait. Word of that takes ``hops`` digests, half a period each on
        average: what was taken or given up in the meantime must not be so again.
        """
        part = 1 / (1 + hops / 2)
        self._order_waiting(now_s)
        running = self._services_running()
        for service in running:
            for worker in self._directory.active_workers(service):
                self._preempt_excess(worker, now_s, part)
        waiting = {service for service, waiters in self._waiting.items() if waiters}
        pools = running | waiting
        if running:
            pools |= self._online.pools_waiting
        for service in pools:
            if self._online.waiting(service):
                self._preempt_for_waiting(service, now_s, part)
            else:
                workers = self._directory.active_workers(service)
                allowed = self.demand.share_of(service, _free_slots(workers, now_s)) * part
                self._grant(service, round_by_chance(allowed, self._source), now_s)

    def _services_running(self) -> set[str]:
        """Return the services of this daemon's items that run."""
        return {
            placements[0].worker.record.service
            for placements in self._placements_by_worker_id.values()
            if placements
        }

    def _order_waiting(self, now_s: float) -> None:
        """Put the waiting items in order, since some became late meanwhile, and count them."""
        for service, waiters in self._waiting.items():
            waiters[:] = [waiter for waiter in waiters if not waiter.granted.done()]
            waiters.sort(key=lambda waiter: waiter.urgency.rank(now_s))
            in_time = sum(waiter.urgency.in_time(now_s) for waiter in waiters)
            self.demand.own_by_service[service] = WaitingCounts(in_time, len(waiters) - in_time)

    def preempt_for_online(self, worker: Worker, now_s: float) -> None:
        """Take one item off a worker that is full, since an online request is sent there."""
        if worker.batch_in_flight and self._online.excess(worker, now_s) > 0:
            self._preempt_least_urgent(self._placements_at(worker))

    def preempt_batch_item(self, service: str) -> Worker | None:
        """Take this daemon's least urgent item of a service off, if there is one; return where."""
        return self._preempt_least_urgent(
            [
                placement
                for placements in self._placements_by_worker_id.values()
                for placement in placements
                if self._directory.pool_contains(service, placement.worker)
            ]
        )

    def preempt_all(self, worker: Worker) -> int:
        """Take all of this daemon's items off a worker; returns how many there were."""
        placements = list(self._placements_at(worker))
        for _ in placements:
            self._preempt_least_urgent(self._placements_at(worker))
        return len(placements)

    def _grant(self, service: str, allowance: int, now_s: float) -> None:
        waiting = self._waiting.get(service, [])
        while waiting and allowance > 0:
            worker = self._directory.choose_below_utilization(service, TARGET_UTILIZATION, now_s)
            if worker is None:
                return
            waiter = waiting.pop(0)
            worker.in_flight += 1
            worker.batch_in_flight += 1
            placement = Placement(worker, waiter.urgency, now_s)
            self._placements_by_worker_id.setdefault(worker.record.worker_id, []).append(placement)
            waiter.granted.set_result(placement)
            allowance -= 1

    def _preempt_excess(self, worker: Worker, now_s: float, part: float) -> None:
        """Take off this daemon's part of the batch items that are too many."""
        if not worker.batch_in_flight:
            return
        excess = self._online.excess(worker, now_s)
        if excess <= 0:
            return
        share = worker.batch_in_flight / max(1, worker.batch)
        count = round_by_chance(excess * share * part, self._source)
        for _ in range(min(worker.batch_in_flight, count)):
            self._preempt_least_urgent(self._placements_at(worker))

    def _preempt_for_waiting(self, service: str, now_s: float, part: float) -> None:
        """Take off this daemon's part of the items whose slots waiting online requests lack."""
        workers = self._directory.active_workers(service)
        own = sum(worker.batch_in_flight for worker in workers)
        lacking = self._online.waiting(service) - self._online.room(service, now_s)
        if not own or lacking <= 0:
            return
        share = own / sum(worker.batch for worker in workers)
        for _ in range(min(own, round_by_chance(lacking * share * part, self._source))):
            self.preempt_batch_item(service)

    def _placements_at(self, worker: Worker) -> list[Placement]:
        return self._placements_by_worker_id.get(worker.record.worker_id, [])

    def _preempt_least_urgent(self, placements: list[Placement]) -> Worker | None:
        if not placements:
            return None
        now_s = asyncio.get_running_loop().time()
        placement = max(placements, key=lambda each: each.rank(now_s))
        self._placements_at(placement.worker).remove(placement)
        placement.preempt()
        return placement.worker

    def prune_placements(self, workers: set[str]) -> None:
        """Drop what is kept of workers that are gone."""
        for worker_id in [known for known in self._placements_by_worker_id if known not in workers]:
            if not self._placements_by_worker_id[worker_id]:
                del self._placements_by_worker_id[worker_id]
