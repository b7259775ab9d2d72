"""Queue online requests at this daemon until a worker can start them soon.

"Soon" means with a wait of at most ``StartDeadlines.max_worker_queue_s`` in the worker's own queue.
Workers serve requests in order of arrival, so under overload a long queue at the worker delays
every request, including new ones. A request that no worker can start soon therefore waits here,
where the order can be chosen: requests that can still meet their latency target go first, ordered
by priority, tenant fair share and start deadline; late requests get the remaining slots. To prevent
starvation, a request is sent to a worker after a fixed fraction of its caller's start timeout (or
of its latency target, if that is longer), whatever the load.

If the slots of a service are partitioned among daemons (:mod:`mountstand.serving.slot_shares`),
requests get this daemon's own slots, or slots borrowed from other daemons
(:mod:`mountstand.serving.slot_lending`). Otherwise, daemons exchange the lengths of their queues
(:mod:`mountstand.serving.load_sharing`), and each takes a share of the free slots proportional to
its own queue.

The load snapshot is the load of all workers according to the latest digests of the other daemons
and this daemon's own requests.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from mountstand.serving.fair_shares import FairShares
from mountstand.serving.prompt import Prompt
from mountstand.serving.slot_demand import SlotDemand, WaitingCounts
from mountstand.serving.slot_lending import SlotLending
from mountstand.serving.spread import DurationAverages, stochastic_round
from mountstand.serving.worker import Worker
from mountstand.serving.worker_protocol import Call
from mountstand.serving.workers import WorkerDirectory

START_FRACTION = 0.35
"""Fraction of the latency target within which a request must reach a worker to be answered on time.
The remainder covers prompt processing, network transfer and queueing at the worker."""

WORKER_QUEUE_FRACTION = 0.3
"""Fraction of the latency target that a request may spend in a worker's own queue. A short queue
keeps slots busy that were released since the last load digests."""

DISPATCH_FRACTION = 0.8
"""Fraction of the caller's start timeout, or of the latency target if that is longer, after which a
request is sent to a worker whatever the load. The remainder must cover the worker's queue and
prompt processing."""

SCARCITY_FACTOR = 4.0
"""Slots are scarce if fewer are free than this multiple of the requests that have probably started
since the last load digests. While more are free, two daemons rarely choose the same slot, so this
daemon uses the load snapshot without asking a peer."""

MAX_CONCURRENT_BORROWS = 8
"""Maximum number of concurrent attempts to borrow a slot, per pool."""

DEFAULT_SLOT_TIME_S = 1.0
"""Slot time charged per request until the first request of the service has completed. Only the
ratio between tenants matters."""

MAX_WAITING_REQUESTS = 1000
"""Maximum queue length per pool. Further requests are sent to a worker at once, which may reject
them."""


@dataclass(frozen=True, slots=True)
class StartDeadlines:
    """Deadlines for starting a request, in seconds on the event loop's clock.

    A request that starts after ``start_on_time_by_s`` misses its latency target. At
    ``dispatch_by_s`` it is sent to a worker whatever the load. ``max_worker_queue_s`` limits its
    wait in the worker's own queue. ``priority`` orders the requests that can still be on time, and
    separately the late ones; 0 is the most urgent.
    """

    start_on_time_by_s: float
    dispatch_by_s: float
    max_worker_queue_s: float
    priority: int = 0

    def is_late(self, now_s: float) -> bool:
        """Return whether the request misses its latency target if it starts now."""
        return now_s > self.start_on_time_by_s

    def sort_key(self, now_s: float) -> tuple[bool, int, float]:
        """Return the key that orders requests by urgency; the smallest goes first."""
        return (self.is_late(now_s), self.priority, self.start_on_time_by_s)


def start_deadlines(
    received_at_s: float, target_latency_s: float, caller_start_timeout_s: float, priority: int = 0
) -> StartDeadlines:
    """Compute the start deadlines of a request that was received at ``received_at_s``.

    ``caller_start_timeout_s`` is how long the caller waits for the response to start.
    """
    return StartDeadlines(
        received_at_s + target_latency_s * START_FRACTION,
        received_at_s + max(target_latency_s, caller_start_timeout_s) * DISPATCH_FRACTION,
        target_latency_s * WORKER_QUEUE_FRACTION,
        priority,
    )


@dataclass(eq=False, slots=True)
class _Waiter:
    prompt: Prompt
    deadlines: StartDeadlines
    assignment: asyncio.Future[Worker | None]
    call: Call | None = None

    def sort_key(self, now_s: float, over_share: frozenset[str]) -> tuple[bool, int, bool, float]:
        """Return the key that orders waiting requests; the smallest goes first.

        Requests of the tenants in ``over_share`` go after others of the same lateness and priority.
        """
        late, priority, start_on_time_by_s = self.deadlines.sort_key(now_s)
        return (
            late,
            priority,
            self.call is not None and self.call.tenant in over_share,
            start_on_time_by_s,
        )


class OnlineQueue:
    """The queues of online requests at this daemon, one per pool.

    A pool is the workers of a service in some regions; each service is also a pool, under its own
    name, with all of its workers.

    ``on_over_share_changed`` is called with the tenants over their fair share when that set changes
    while requests wait. ``preempt_batch_item`` is called when a request starts to wait: it preempts
    one of this daemon's batch items, if any, and returns its worker. The slot arrives later through
    ``assign_freed_slot``.
    """

    def __init__(self, directory: WorkerDirectory, rng: random.Random) -> None:
        self._directory = directory
        self._rng = rng
        self.demand = SlotDemand()
        self.batch_durations = DurationAverages()
        self.preempt_batch_item: Callable[[str], Worker | None] = lambda pool: None
        self.lending: SlotLending | None = None
        self._borrow_tasks_by_pool: dict[str, set[asyncio.Task[None]]] = {}
        self._waiters_by_pool: dict[str, list[_Waiter]] = {}
        # The limit of the latest request of each pool, for load limits of the pool as a whole.
        self._latest_max_worker_queue_s_by_pool: dict[str, float] = {}
        self._fair_shares_by_pool: dict[str, FairShares] = {}
        self._reported_over_share_by_pool: dict[str, frozenset[str]] = {}
        self.on_over_share_changed: Callable[[str, frozenset[str]], object] = (
            lambda pool, over_share: None
        )

    async def acquire(
        self, pool: str, prompt: Prompt, deadlines: StartDeadlines, call: Call | None = None
    ) -> Worker | None:
        """Wait for a worker that can start the request soon, and count it in ``Worker.in_flight``.

        Return ``None`` if the pool has no workers or the request was rejected while it waited.
        """
        worker = await self._acquire_worker(pool, prompt, deadlines, call)
        if worker is not None and call is not None and call.tenant:
            average_s = self._directory.chooser.durations.average_s(worker.record.service)
            now_s = asyncio.get_running_loop().time()
            slot_time_s = average_s or DEFAULT_SLOT_TIME_S
            self._fair_shares(pool).record_start(
                call.tenant, call.tenant_weight, slot_time_s, now_s
            )
        return worker

    async def _acquire_worker(
        self, pool: str, prompt: Prompt, deadlines: StartDeadlines, call: Call | None
    ) -> Worker | None:
        now_s = asyncio.get_running_loop().time()
        self._latest_max_worker_queue_s_by_pool[pool] = deadlines.max_worker_queue_s
        waiters = self._waiters_by_pool.setdefault(pool, [])
        queue_full = len(waiters) >= MAX_WAITING_REQUESTS
        if queue_full or all(waiter.deadlines.is_late(now_s) for waiter in waiters):
            worker = self._choose_immediately(pool, prompt, deadlines, now_s)
            if worker is not None:
                return _add_in_flight(worker)
        if queue_full or not self._directory.active_workers(pool):
            return self._take_best_available(pool, prompt, now_s)
        return await self._wait_for_assignment(
            pool, _Waiter(prompt, deadlines, _new_future(), call), deadlines
        )

    async def _wait_for_assignment(
        self, pool: str, waiter: _Waiter, deadlines: StartDeadlines
    ) -> Worker | None:
        self._waiters_by_pool[pool].append(waiter)
        if self.preempt_batch_item(pool) is None:
            self._start_borrowing(pool)
        try:
            async with asyncio.timeout_at(deadlines.dispatch_by_s):
                return await waiter.assignment
        except TimeoutError:
            if _is_resolved(waiter):
                return waiter.assignment.result()
            now_s = asyncio.get_running_loop().time()
            return self._take_best_available(pool, waiter.prompt, now_s)
        except asyncio.CancelledError:
            _release_assignment(waiter)
            raise
        finally:
            self._remove_waiter(pool, waiter)

    def _remove_waiter(self, pool: str, waiter: _Waiter) -> None:
        if waiter in self._waiters_by_pool[pool]:
            self._waiters_by_pool[pool].remove(waiter)

    def reject(self, suspect_key: int) -> None:
        """Stop waiting for all requests with this content or with this shared part of a prompt.

        Their ``acquire`` returns ``None``.
        """
        for waiters in self._waiters_by_pool.values():
            for waiter in waiters:
                rejected = waiter.call is not None and waiter.call.involves(suspect_key)
                if rejected and not waiter.assignment.done():
                    waiter.assignment.set_result(None)

    def stop_waiting(self, call: Call) -> None:
        """Stop waiting for one request. Its ``acquire`` returns ``None``."""
        for waiters in self._waiters_by_pool.values():
            for waiter in waiters:
                if waiter.call is call and not waiter.assignment.done():
                    waiter.assignment.set_result(None)

    def waiting_count(self, pool: str) -> int:
        """Return how many requests for the pool wait here and, as reported, at peers."""
        return len(self._waiters_by_pool.get(pool, ())) + self.demand.peers(pool).total

    @property
    def pools_with_waiting_requests(self) -> set[str]:
        """The pools with requests that wait at this daemon."""
        return {pool for pool, waiters in self._waiters_by_pool.items() if waiters}

    def has_waiting_requests(self, pool: str) -> bool:
        """Return whether requests for the pool wait at this daemon."""
        return bool(self._waiters_by_pool.get(pool))

    def tick(self, now_s: float, hops: int = 0) -> None:
        """Assign free slots to waiting requests; call once per load digest period.

        Every daemon sees the same free slots. A change passes through ``hops`` digests before every
        daemon knows it; each adds half a period on average. Each daemon therefore takes only part
        of its share per call, so that slots taken since then are not taken again.
        """
        step_fraction = 1 / (1 + hops / 2)
        for pool, waiters in self._waiters_by_pool.items():
            self._sort_waiters(pool, now_s)
            if not waiters:
                continue
            if self._slots_are_partitioned(pool):
                self._start_borrowing(pool)
                continue
            free_capacity = self.free_capacity(pool, now_s)
            allowance = self.demand.own_share(pool, free_capacity) * step_fraction
            for _ in range(stochastic_round(allowance, self._rng)):
                if not self._assign_first(pool, now_s):
                    break

    def _slots_are_partitioned(self, pool: str) -> bool:
        return self.lending is not None and self.lending.slots_are_partitioned(pool)

    def _choose_immediately(
        self, pool: str, prompt: Prompt, deadlines: StartDeadlines, now_s: float
    ) -> Worker | None:
        """Choose a worker without waiting: one of this daemon's own slots, or by the load snapshot.

        If slots are partitioned and scarce, only own slots are used: their state is known exactly.
        Prompts with an affinity key always use the load snapshot, so that they can reach a worker
        that has their shared parts cached.
        """
        if self._slots_are_partitioned(pool) and prompt.affinity_key is None:
            own_worker = self._directory.choose_own_slot(pool, now_s)
            if own_worker is not None or self._slots_are_scarce(pool, now_s):
                return own_worker
        return self._choose_starting_soon(pool, prompt, deadlines, now_s)

    def _slots_are_scarce(self, pool: str, now_s: float) -> bool:
        """Return whether requests not yet in the load digests may have taken most free slots."""
        workers = self._directory.active_workers(pool)
        online_in_flight = sum(worker.online for worker in workers)
        chooser = self._directory.chooser
        unreported = chooser.durations.estimated_recent_starts(
            pool, online_in_flight, chooser.peer_load_age_s
        )
        return unreported * SCARCITY_FACTOR > self.free_capacity(pool, now_s)

    def _start_borrowing(self, pool: str) -> None:
        """Start tasks that borrow slots of other daemons for the waiting requests."""
        if not self._slots_are_partitioned(pool):
            return
        tasks = self._borrow_tasks_by_pool.setdefault(pool, set())
        target_tasks = min(MAX_CONCURRENT_BORROWS, len(self._waiters_by_pool.get(pool, ())))
        for _ in range(target_tasks - len(tasks)):
            task = asyncio.create_task(self._borrow_slot(pool))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def _borrow_slot(self, pool: str) -> None:
        assert self.lending is not None
        await self.lending.borrow(pool)

    def assign_freed_slot(self, worker: Worker, now_s: float) -> None:
        """Assign a slot that this daemon just released at ``worker`` to a waiting request.

        If no request waits, grant the slot to a peer whose slot ask could not be met.
        """
        if not worker.is_available(now_s):
            return
        waiters = self._waiters_for_worker(worker, now_s)
        if not waiters:
            self._lend_freed_slot(worker, now_s)
        elif self._starts_soon(worker, waiters[0].deadlines.max_worker_queue_s, now_s):
            _assign(waiters.pop(0), worker)

    def _waiters_for_worker(self, worker: Worker, now_s: float) -> list[_Waiter]:
        """Return the sorted queue whose first request is the most urgent one for ``worker``.

        A worker may serve the queues of all pools that contain it.
        """
        pools = [
            pool
            for pool in self._directory.pool_names_of(worker)
            if self._waiters_by_pool.get(pool)
        ]
        for pool in pools:
            self._sort_waiters(pool, now_s)
        candidates = [self._waiters_by_pool[pool] for pool in pools if self._waiters_by_pool[pool]]
        return min(candidates, key=lambda waiters: waiters[0].deadlines.sort_key(now_s), default=[])

    def _tenants_over_share(self, pool: str, now_s: float) -> frozenset[str]:
        """Return the tenants over their fair share, and report changes of that set."""
        over_share = self._fair_shares(pool).tenants_over_share(now_s)
        if over_share != self._reported_over_share_by_pool.get(pool, frozenset()):
            self._reported_over_share_by_pool[pool] = over_share
            self.on_over_share_changed(pool, over_share)
        return over_share

    def _fair_shares(self, pool: str) -> FairShares:
        return self._fair_shares_by_pool.setdefault(pool, FairShares())

    def _lend_freed_slot(self, worker: Worker, now_s: float) -> None:
        """Grant a slot that is not needed here to a peer whose slot ask could not be met."""
        has_own_slot = worker.record.worker_id in self._directory.chooser.own_slots
        if self.lending is not None and has_own_slot and worker.has_free_slot(now_s):
            self.lending.grant_freed_slot(worker, now_s)

    def assign_borrowed_slot(self, worker: Worker) -> bool:
        """Assign a borrowed slot to the most urgent request; return whether one was waiting."""
        waiters = self._waiters_for_worker(worker, asyncio.get_running_loop().time())
        if not waiters:
            return False
        _assign(waiters.pop(0), worker)
        return True

    def free_capacity(self, pool: str, now_s: float) -> float:
        """Return how many more online requests the pool's workers could start soon."""
        max_worker_queue_s = (
            0.0
            if self._slots_are_partitioned(pool)
            else self._latest_max_worker_queue_s_by_pool.get(pool, 0.0)
        )
        return sum(
            max(0.0, self._load_limit(worker, max_worker_queue_s) - worker.estimated_load(now_s))
            for worker in self._directory.active_workers(pool)
            if worker.is_available(now_s)
        )

    def excess_load(self, worker: Worker, now_s: float) -> float:
        """Return by how many requests a worker exceeds the load limit for online requests."""
        max_worker_queue_s = self._latest_max_worker_queue_s_by_pool.get(worker.record.service, 0.0)
        return worker.estimated_load(now_s) - self._load_limit(worker, max_worker_queue_s)

    def _load_limit(self, worker: Worker, max_worker_queue_s: float) -> float:
        """Return the load at which a new request would queue for ``max_worker_queue_s``."""
        return worker.slots() + max_worker_queue_s * self._completions_per_s(worker)

    def _completions_per_s(self, worker: Worker) -> float:
        """Return the completion rate of a worker at full load, or 0 if durations are unknown."""
        service = worker.record.service
        batch = min(worker.batch, worker.slots())
        online_duration_s = self._directory.chooser.durations.average_s(service)
        batch_duration_s = self.batch_durations.average_s(service)
        completions_per_s = (
            (worker.slots() - batch) / online_duration_s if online_duration_s else 0.0
        )
        return completions_per_s + (batch / batch_duration_s if batch_duration_s else 0.0)

    def _starts_soon(self, worker: Worker, max_worker_queue_s: float, now_s: float) -> bool:
        return worker.estimated_load(now_s) + 1 <= self._load_limit(worker, max_worker_queue_s)

    def _choose_starting_soon(
        self, pool: str, prompt: Prompt, deadlines: StartDeadlines, now_s: float
    ) -> Worker | None:
        """Choose a worker that can start the request soon; the caller counts it in flight."""

        def starts_soon(worker: Worker) -> bool:
            return self._starts_soon(worker, deadlines.max_worker_queue_s, now_s)

        return self._directory.choose(pool, prompt, set(), now_s, starts_soon)

    def _take_best_available(self, pool: str, prompt: Prompt, now_s: float) -> Worker | None:
        """Choose a worker, even one that can't start the request soon, and count it in flight."""
        return _add_in_flight(self._directory.choose(pool, prompt, set(), now_s))

    def _assign_first(self, pool: str, now_s: float) -> bool:
        waiters = self._waiters_by_pool[pool]
        if not waiters:
            return False
        worker = self._choose_starting_soon(pool, waiters[0].prompt, waiters[0].deadlines, now_s)
        if worker is None:
            return False
        _assign(waiters.pop(0), worker)
        return True

    def _sort_waiters(self, pool: str, now_s: float) -> None:
        """Drop finished waits, sort the others by urgency and update the demand counts.

        Call this before taking the first request, since requests become late while they wait.
        """
        waiters = self._waiters_by_pool[pool]
        waiters[:] = [waiter for waiter in waiters if not waiter.assignment.done()]
        over_share = self._tenants_over_share(pool, now_s) if waiters else frozenset()
        waiters.sort(key=lambda waiter: waiter.sort_key(now_s, over_share))
        late = sum(waiter.deadlines.is_late(now_s) for waiter in waiters)
        self.demand.own_by_service[pool] = WaitingCounts(len(waiters) - late, late)


def _new_future() -> asyncio.Future[Worker | None]:
    return asyncio.get_running_loop().create_future()


def _add_in_flight(worker: Worker | None) -> Worker | None:
    if worker is not None:
        worker.in_flight += 1
    return worker


def _assign(waiter: _Waiter, worker: Worker) -> None:
    waiter.assignment.set_result(_add_in_flight(worker))


def _is_resolved(waiter: _Waiter) -> bool:
    """Return whether the wait ended with a result: a worker, or ``None`` after a rejection."""
    return waiter.assignment.done() and not waiter.assignment.cancelled()


def _release_assignment(waiter: _Waiter) -> None:
    """Release the slot of a request that was cancelled before it could use it."""
    if _is_resolved(waiter):
        worker = waiter.assignment.result()
        if worker is not None:
            worker.in_flight -= 1
