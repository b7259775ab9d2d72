"""Schedule batch items on free slots and preempt them for online requests.

Workers serve requests in order of arrival, so a batch item queued at a worker would delay online
requests. Batch items therefore only take free slots, and are preempted by closing their streams as
soon as online requests would wait too long (:mod:`mountstand.serving.online_queue`). A preempted
item resumes later after its last complete event; its prompt then has to be processed again.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from mountstand.serving.online_queue import OnlineQueue
from mountstand.serving.slot_demand import SlotDemand, WaitingCounts
from mountstand.serving.spread import stochastic_round
from mountstand.serving.worker import Worker
from mountstand.serving.worker_choice import TARGET_UTILIZATION
from mountstand.serving.workers import WorkerDirectory


def _slots_free_for_batch(workers: list[Worker], now_s: float) -> float:
    """Return how many free slots of ``workers`` batch items may take."""
    usable = [worker for worker in workers if worker.is_available(now_s)]
    free = sum(max(0.0, worker.slots() - worker.estimated_load(now_s)) for worker in usable)
    return max(0.0, free - online_headroom(sum(worker.online for worker in usable)))


def online_headroom(online_in_flight: int) -> float:
    """Return how many slots to leave free for fluctuations of the online load.

    With independent arrivals (Poisson), the number of requests in flight has a standard deviation
    equal to its square root. Without this headroom, batch items would be preempted on each
    fluctuation, and each preemption makes a worker process the prompt again.
    """
    return math.sqrt(online_in_flight)


@dataclass(frozen=True, slots=True)
class Urgency:
    """The deadline of a batch item and an estimate of how long it still has to run.

    Items that can finish on time go first, by priority (0 is the most urgent) and then earliest
    deadline. Under a shortage of slots this completes some items on time, whereas equal shares
    would make all of them late. Among equal deadlines, as within one job, the item with the least
    remaining run time goes first; otherwise a preempted item would wait for all other items of its
    job after each preemption.
    """

    deadline_s: float
    remaining_run_s: float = 0.0
    priority: int = 0

    def can_finish_on_time(self, now_s: float) -> bool:
        """Return whether the item meets its deadline if it starts now."""
        return now_s + self.remaining_run_s <= self.deadline_s

    def sort_key(self, now_s: float) -> tuple[bool, int, float, float]:
        """Return the key that orders waiting items; the smallest starts first."""
        return (
            not self.can_finish_on_time(now_s),
            self.priority,
            self.deadline_s,
            self.remaining_run_s,
        )


@dataclass(eq=False)
class Placement:
    """A batch item's slot at a worker, held from its grant until ``BatchScheduler.release``."""

    worker: Worker
    urgency: Urgency
    granted_at_s: float
    preempt: Callable[[], None] = lambda: None
    """Called once to preempt the item. The slot counts as used until ``BatchScheduler.release``."""

    def sort_key(self, now_s: float) -> tuple[bool, int, float, float]:
        """Return the key that orders running items; the largest is preempted first."""
        ran_s = now_s - self.granted_at_s
        remaining_s = max(0.0, self.urgency.remaining_run_s - ran_s)
        return replace(self.urgency, remaining_run_s=remaining_s).sort_key(now_s)


@dataclass(slots=True)
class _WaitingItem:
    urgency: Urgency
    assignment: asyncio.Future[Placement]


class BatchScheduler:
    """Grants slots to this daemon's batch items and preempts them for online requests.

    Each daemon schedules its own items and takes its share of the free slots of all workers.
    """

    def __init__(
        self, directory: WorkerDirectory, online_queue: OnlineQueue, rng: random.Random
    ) -> None:
        self._directory = directory
        self._online_queue = online_queue
        self._rng = rng
        self.demand = SlotDemand()
        self.durations = online_queue.batch_durations
        online_queue.preempt_batch_item = self.preempt_batch_item
        self._waiting_items_by_pool: dict[str, list[_WaitingItem]] = {}
        self._placements_by_worker_id: dict[str, list[Placement]] = {}

    async def acquire(self, pool: str, urgency: Urgency) -> Placement:
        """Wait for a slot at a worker of ``pool``; the caller must release it."""
        assignment: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()
        self._waiting_items_by_pool.setdefault(pool, []).append(_WaitingItem(urgency, assignment))
        try:
            return await assignment
        except asyncio.CancelledError:
            if assignment.done() and not assignment.cancelled():
                self.release(assignment.result())
            raise

    def release(self, placement: Placement) -> None:
        """Release the slot, and offer it to waiting online requests."""
        worker = placement.worker
        worker.in_flight -= 1
        worker.batch_in_flight -= 1
        placements = self._placements_by_worker_id.get(worker.record.worker_id, [])
        if placement in placements:
            placements.remove(placement)
        self._online_queue.assign_freed_slot(worker, asyncio.get_running_loop().time())

    def tick(self, now_s: float, hops: int = 0) -> None:
        """Preempt items and grant slots; call once per load digest period.

        Every daemon sees the same free slots, so each takes the fraction of them that its waiting
        items are of all waiting items. A change passes through ``hops`` digests before every daemon
        knows it; each adds half a period on average. Each daemon therefore takes or releases only
        part of its share per call, so that slots taken or released since then are not taken or
        released again.
        """
        step_fraction = 1 / (1 + hops / 2)
        self._sort_waiting_items(now_s)
        services_with_running_items = self._services_with_running_items()
        for service in services_with_running_items:
            for worker in self._directory.active_workers(service):
                self._preempt_excess_items(worker, now_s, step_fraction)
        pools_with_waiting_items = {
            pool for pool, items in self._waiting_items_by_pool.items() if items
        }
        pools = services_with_running_items | pools_with_waiting_items
        if services_with_running_items:
            pools |= self._online_queue.pools_with_waiting_requests
        for pool in pools:
            if self._online_queue.waiting_count(pool):
                self._preempt_for_waiting_requests(pool, now_s, step_fraction)
            else:
                workers = self._directory.active_workers(pool)
                allowance = (
                    self.demand.own_share(pool, _slots_free_for_batch(workers, now_s))
                    * step_fraction
                )
                self._grant_slots(pool, stochastic_round(allowance, self._rng), now_s)

    def _services_with_running_items(self) -> set[str]:
        """Return the services for which this daemon's batch items are running."""
        return {
            placements[0].worker.record.service
            for placements in self._placements_by_worker_id.values()
            if placements
        }

    def _sort_waiting_items(self, now_s: float) -> None:
        """Drop finished waits, sort the others by urgency and update the demand counts.

        Call this on each tick, since items become late while they wait.
        """
        for pool, items in self._waiting_items_by_pool.items():
            items[:] = [item for item in items if not item.assignment.done()]
            items.sort(key=lambda item: item.urgency.sort_key(now_s))
            on_time = sum(item.urgency.can_finish_on_time(now_s) for item in items)
            self.demand.own_by_service[pool] = WaitingCounts(on_time, len(items) - on_time)

    def preempt_for_online(self, worker: Worker, now_s: float) -> None:
        """Preempt one item at an overloaded worker that is about to get an online request."""
        if worker.batch_in_flight and self._online_queue.excess_load(worker, now_s) > 0:
            self._preempt_least_urgent(self._placements_at(worker))

    def preempt_batch_item(self, pool: str) -> Worker | None:
        """Preempt this daemon's least urgent item of a pool and return its worker.

        Return ``None`` if no such item is running.
        """
        return self._preempt_least_urgent(
            [
                placement
                for placements in self._placements_by_worker_id.values()
                for placement in placements
                if self._directory.pool_contains(pool, placement.worker)
            ]
        )

    def preempt_all(self, worker: Worker) -> int:
        """Preempt all of this daemon's items at a worker; return how many there were."""
        placements = list(self._placements_at(worker))
        for _ in placements:
            self._preempt_least_urgent(self._placements_at(worker))
        return len(placements)

    def _grant_slots(self, pool: str, allowance: int, now_s: float) -> None:
        waiting_items = self._waiting_items_by_pool.get(pool, [])
        while waiting_items and allowance > 0:
            worker = self._directory.choose_below_utilization(pool, TARGET_UTILIZATION, now_s)
            if worker is None:
                return
            item = waiting_items.pop(0)
            worker.in_flight += 1
            worker.batch_in_flight += 1
            placement = Placement(worker, item.urgency, now_s)
            self._placements_by_worker_id.setdefault(worker.record.worker_id, []).append(placement)
            item.assignment.set_result(placement)
            allowance -= 1

    def _preempt_excess_items(self, worker: Worker, now_s: float, step_fraction: float) -> None:
        """Preempt this daemon's share of the items that exceed the worker's load limit."""
        if not worker.batch_in_flight:
            return
        excess_load = self._online_queue.excess_load(worker, now_s)
        if excess_load <= 0:
            return
        share = worker.batch_in_flight / max(1, worker.batch)
        count = stochastic_round(excess_load * share * step_fraction, self._rng)
        for _ in range(min(worker.batch_in_flight, count)):
            self._preempt_least_urgent(self._placements_at(worker))

    def _preempt_for_waiting_requests(self, pool: str, now_s: float, step_fraction: float) -> None:
        """Preempt this daemon's share of the items whose slots waiting online requests need."""
        workers = self._directory.active_workers(pool)
        own_items = sum(worker.batch_in_flight for worker in workers)
        missing_slots = self._online_queue.waiting_count(pool) - self._online_queue.free_capacity(
            pool, now_s
        )
        if not own_items or missing_slots <= 0:
            return
        share = own_items / sum(worker.batch for worker in workers)
        for _ in range(
            min(own_items, stochastic_round(missing_slots * share * step_fraction, self._rng))
        ):
            self.preempt_batch_item(pool)

    def _placements_at(self, worker: Worker) -> list[Placement]:
        return self._placements_by_worker_id.get(worker.record.worker_id, [])

    def _preempt_least_urgent(self, placements: list[Placement]) -> Worker | None:
        if not placements:
            return None
        now_s = asyncio.get_running_loop().time()
        placement = max(placements, key=lambda each: each.sort_key(now_s))
        self._placements_at(placement.worker).remove(placement)
        placement.preempt()
        return placement.worker

    def prune_placements(self, known_worker_ids: set[str]) -> None:
        """Discard the empty placement lists of workers that are no longer known."""
        for worker_id in [
            each for each in self._placements_by_worker_id if each not in known_worker_ids
        ]:
            if not self._placements_by_worker_id[worker_id]:
                del self._placements_by_worker_id[worker_id]
