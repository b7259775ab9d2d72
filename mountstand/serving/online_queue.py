"""Online requests that wait at this daemon until some worker can start them soon.

Workers admit requests in the order of their arrival. Under overload a queue there makes every
request late, the newest included. So a request that no worker can start soon waits here, where the
order can be chosen: those that can still be in time go first, the earliest due before the others,
and late ones take the slots that are left. After a share of its caller's patience a request is sent
to a worker in any case, so that none starves.

Daemons tell each other how many requests wait (:mod:`mountstand.serving.load_sharing`), and each
takes the part of the free slots that its own are of all.
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
from mountstand.serving.spread import DurationAverages, round_by_chance
from mountstand.serving.worker import Worker
from mountstand.serving.worker_protocol import Call
from mountstand.serving.workers import WorkerDirectory

START_SHARE = 0.35
"""Share of its objective within which a request must be at a worker to be in time. The rest is for
reading the prompt, for the way, and for what waits at the worker."""

QUEUE_SHARE = 0.3
"""Share of its objective that a request may wait in the queue of a worker. A short queue keeps
slots busy that ended since the last digests; trials are in docs/design/deciding.md."""

PATIENCE_SHARE = 0.8
"""Share of a caller's patience after which a request is sent to a worker, whatever waits there.
What is left is more than a worker's short queue and the reading of a prompt take."""

TIGHT_FACTOR = 4.0
"""While more slots are free than so many times the requests that began since the digests, a choice
by the picture hardly ever meets another one, and costs no question."""

MOST_BORROWING = 8
"""Requests of a service that look for slots of other daemons at a time."""

UNKNOWN_SLOT_S = 1.0
"""Slot time counted for a request of a service of which no request has ended yet; only how tenants
compare matters."""

MOST_WAITING = 1000
"""Requests that wait here at most; further ones go to a worker at once, which may refuse them."""


@dataclass(frozen=True, slots=True)
class StartTimes:
    """Until when a request should be at a worker, in seconds on the loop's clock.

    After ``in_time_s`` its answer will be late; ``latest_s`` is the end of waiting here.
    ``queue_s`` is how long it may wait at the worker. ``priority`` is the rank of the request among
    those that can still be in time, and among the late, 0 being the most urgent.
    """

    in_time_s: float
    latest_s: float
    queue_s: float
    priority: int = 0

    def is_late(self, now_s: float) -> bool:
        """Return whether the answer will be late if the request starts now."""
        return now_s > self.in_time_s

    def rank(self, now_s: float) -> tuple[bool, int, float]:
        """Return the place in the order of those that start now; the least goes first."""
        return (self.is_late(now_s), self.priority, self.in_time_s)


def start_deadlines(
    received_at_s: float, target_latency_s: float, patience_s: float, priority: int = 0
) -> StartTimes:
    """Return when a request should start that was received at ``received_at_s``."""
    return StartTimes(
        received_at_s + target_latency_s * START_SHARE,
        received_at_s + max(target_latency_s, patience_s) * PATIENCE_SHARE,
        target_latency_s * QUEUE_SHARE,
        priority,
    )


@dataclass(eq=False, slots=True)
class _Waiter:
    """A request that waits for a worker."""

    prompt: Prompt
    times: StartTimes
    chosen: asyncio.Future[Worker | None]
    call: Call | None = None

    def rank(self, now_s: float, over: frozenset[str]) -> tuple[bool, int, bool, float]:
        """Return the place in the order of those that start now; the least goes first.

        ``over`` are the tenants that have taken more than their share.
        """
        late, priority, in_time_s = self.times.rank(now_s)
        return (late, priority, self.call is not None and self.call.tenant in over, in_time_s)


class OnlineQueue:
    """The online requests of this daemon that wait, by service.

    ``on_over_share_changed`` is told which tenants go behind others, when that changes while requests wait.
    ``preempt_batch_item`` is called for a service whose requests begin to wait here: it takes a batch item
    of this daemon off its worker, if there is one, whose slot then comes by ``assign_freed_slot``.
    """

    def __init__(self, directory: WorkerDirectory, source: random.Random) -> None:
        self._directory = directory
        self._source = source
        self.demand = SlotDemand()
        self.batch_durations = DurationAverages()
        self.preempt_batch_item: Callable[[str], Worker | None] = lambda service: None
        self.lending: SlotLending | None = None
        self._borrowing: dict[str, set[asyncio.Task[None]]] = {}
        self._waiting: dict[str, list[_Waiter]] = {}
        self._queue_s_by_service: dict[str, float] = {}
        self._shares_by_service: dict[str, FairShares] = {}
        self._told_over_by_service: dict[str, frozenset[str]] = {}
        self.on_over_share_changed: Callable[[str, frozenset[str]], object] = (
            lambda service, tenants: None
        )

    async def acquire(
        self, service: str, prompt: Prompt, times: StartTimes, call: Call | None = None
    ) -> Worker | None:
        """Wait for a worker that can start a request soon; its ``in_flight`` counts the request.

        Returns ``None`` where the service has no worker to wait for, or once ``call`` was rejected.
        """
        worker = await self._acquire(service, prompt, times, call)
        if worker is not None and call is not None and call.tenant:
            average_s = self._directory.chooser.durations.average_s(worker.record.service)
            now_s = asyncio.get_running_loop().time()
            slot_s = average_s or UNKNOWN_SLOT_S
            self._shares(service).note_begun(call.tenant, call.tenant_weight, slot_s, now_s)
        return worker

    async def _acquire(
        self, service: str, prompt: Prompt, times: StartTimes, call: Call | None
    ) -> Worker | None:
        now_s = asyncio.get_running_loop().time()
        self._queue_s_by_service[service] = times.queue_s
        waiting = self._waiting.setdefault(service, [])
        full = len(waiting) >= MOST_WAITING
        if full or all(waiter.times.is_late(now_s) for waiter in waiting):
            worker = self._choose_now(service, prompt, times, now_s)
            if worker is not None:
                return _count(worker)
        if full or not self._directory.active_workers(service):
            return self._choose_any(service, prompt, now_s)
        return await self._wait(service, _Waiter(prompt, times, _new_future(), call), times)

    async def _wait(self, service: str, waiter: _Waiter, times: StartTimes) -> Worker | None:
        self._waiting[service].append(waiter)
        if self.preempt_batch_item(service) is None:
            self._borrow(service)
        try:
            async with asyncio.timeout_at(times.latest_s):
                return await waiter.chosen
        except TimeoutError:
            if _is_chosen(waiter):
                return waiter.chosen.result()
            now_s = asyncio.get_running_loop().time()
            return self._choose_any(service, waiter.prompt, now_s)
        except asyncio.CancelledError:
            _give_back(waiter)
            raise
        finally:
            self._forget(service, waiter)

    def _forget(self, service: str, waiter: _Waiter) -> None:
        if waiter in self._waiting[service]:
            self._waiting[service].remove(waiter)

    def reject(self, content_key: int) -> None:
        """End the wait of all requests with a content, without a worker."""
        for waiting in self._waiting.values():
            for waiter in waiting:
                rejected = waiter.call is not None and waiter.call.content_key == content_key
                if rejected and not waiter.chosen.done():
                    waiter.chosen.set_result(None)

    def waiting(self, service: str) -> int:
        """Return how many requests wait, here and at peers as far as is known."""
        return len(self._waiting.get(service, ())) + self.demand.peers(service).total

    @property
    def pools_waiting(self) -> set[str]:
        """The services and pools that requests wait for at this daemon."""
        return {pool for pool, waiting in self._waiting.items() if waiting}

    def has_waiting_requests(self, service: str) -> bool:
        """Return whether requests wait at this daemon."""
        return bool(self._waiting.get(service))

    def tick(self, now_s: float, hops: int = 0) -> None:
        """Hand free slots to requests that wait; call once per period of the digests.

        Every daemon sees the same free slots, ``hops`` digests late; what was taken meanwhile
        must not be taken again.
        """
        part = 1 / (1 + hops / 2)
        for service, waiting in self._waiting.items():
            self._order(service, now_s)
            if not waiting:
                continue
            if self._lends(service):
                self._borrow(service)
                continue
            room = self.room(service, now_s)
            allowed = self.demand.share_of(service, room) * part
            for _ in range(round_by_chance(allowed, self._source)):
                if not self._grant_first(service, now_s):
                    break

    # Slots of other daemons

    def _lends(self, service: str) -> bool:
        return self.lending is not None and self.lending.slots_are_partitioned(service)

    def _choose_now(
        self, service: str, prompt: Prompt, times: StartTimes, now_s: float
    ) -> Worker | None:
        """Choose a worker at once: by exact knowledge where slots are dealt out, or by the picture.

        Prompts that some worker keeps most of go by the picture to that worker.
        """
        if self._lends(service) and prompt.affinity_key is None:
            own = self._directory.choose_own_slot(service, now_s)
            if own is not None or self._is_tight(service, now_s):
                return own
        return self._choose(service, prompt, times, now_s)

    def _is_tight(self, service: str, now_s: float) -> bool:
        """Return whether requests that nobody here knows of may have taken most free slots."""
        workers = self._directory.active_workers(service)
        online = sum(worker.online for worker in workers)
        chooser = self._directory.chooser
        unseen = chooser.durations.estimated_recent_starts(service, online, chooser.peer_load_age_s)
        return unseen * TIGHT_FACTOR > self.room(service, now_s)

    def _borrow(self, service: str) -> None:
        """Look for slots of other daemons for the requests that wait."""
        if not self._lends(service):
            return
        borrowing = self._borrowing.setdefault(service, set())
        wanted = min(MOST_BORROWING, len(self._waiting.get(service, ())))
        for _ in range(wanted - len(borrowing)):
            task = asyncio.create_task(self._borrow_one(service))
            borrowing.add(task)
            task.add_done_callback(borrowing.discard)

    async def _borrow_one(self, service: str) -> None:
        assert self.lending is not None
        await self.lending.borrow(service)

    def assign_freed_slot(self, worker: Worker, now_s: float) -> None:
        """Give a slot that this daemon just freed at ``worker`` to a request that waits here."""
        if not worker.is_available(now_s):
            return
        waiting = self._waiting_for(worker, now_s)
        if not waiting:
            self._offer(worker, now_s)
        elif self._starts_soon(worker, waiting[0].times.queue_s, now_s):
            _grant(waiting.pop(0), worker)

    def _waiting_for(self, worker: Worker, now_s: float) -> list[_Waiter]:
        """Return, in order, what waits where a worker may be used and its first goes first."""
        pools = [pool for pool in self._directory.pool_names_of(worker) if self._waiting.get(pool)]
        for pool in pools:
            self._order(pool, now_s)
        ordered = [self._waiting[pool] for pool in pools if self._waiting[pool]]
        return min(ordered, key=lambda waiting: waiting[0].times.rank(now_s), default=[])

    def _over(self, service: str, now_s: float) -> frozenset[str]:
        """Return the tenants that go behind others while requests wait, and tell of changes."""
        over = self._shares(service).over(now_s)
        if over != self._told_over_by_service.get(service, frozenset()):
            self._told_over_by_service[service] = over
            self.on_over_share_changed(service, over)
        return over

    def _shares(self, service: str) -> FairShares:
        return self._shares_by_service.setdefault(service, FairShares())

    def _offer(self, worker: Worker, now_s: float) -> None:
        """Lend a slot that nobody here needs to a daemon that asked in vain."""
        own = worker.record.worker_id in self._directory.chooser.own_slots
        if self.lending is not None and own and worker.has_free_slot(now_s):
            self.lending.offer(worker, now_s)

    def assign_borrowed_slot(self, worker: Worker) -> bool:
        """Give a lent slot to the request that goes first; returns whether one waits."""
        waiting = self._waiting_for(worker, asyncio.get_running_loop().time())
        if not waiting:
            return False
        _grant(waiting.pop(0), worker)
        return True

    def room(self, service: str, now_s: float) -> float:
        """Return how many more online requests the workers of a service could start soon."""
        queue_s = 0.0 if self._lends(service) else self._queue_s_by_service.get(service, 0.0)
        return sum(
            max(0.0, self._limit(worker, queue_s) - worker.estimated_load(now_s))
            for worker in self._directory.active_workers(service)
            if worker.is_available(now_s)
        )

    def excess(self, worker: Worker, now_s: float) -> float:
        """Return by how much a worker is fuller than online requests may find it."""
        queue_s = self._queue_s_by_service.get(worker.record.service, 0.0)
        return worker.estimated_load(now_s) - self._limit(worker, queue_s)

    def _limit(self, worker: Worker, queue_s: float) -> float:
        """Return how many requests a worker may have so that a new one starts in ``queue_s``."""
        return worker.slots() + queue_s * self._ends_per_s(worker)

    def _ends_per_s(self, worker: Worker) -> float:
        """Return how many requests end per second at a full worker, 0 where nothing is known."""
        service = worker.record.service
        batch = min(worker.batch, worker.slots())
        online_s = self._directory.chooser.durations.average_s(service)
        batch_s = self.batch_durations.average_s(service)
        ends_per_s = (worker.slots() - batch) / online_s if online_s else 0.0
        return ends_per_s + (batch / batch_s if batch_s else 0.0)

    def _starts_soon(self, worker: Worker, queue_s: float, now_s: float) -> bool:
        return worker.estimated_load(now_s) + 1 <= self._limit(worker, queue_s)

    def _choose(
        self, service: str, prompt: Prompt, times: StartTimes, now_s: float
    ) -> Worker | None:
        """Choose a worker that starts a request soon; the caller counts the request there."""

        def starts_soon(worker: Worker) -> bool:
            return self._starts_soon(worker, times.queue_s, now_s)

        return self._directory.choose(service, prompt, set(), now_s, starts_soon)

    def _choose_any(self, service: str, prompt: Prompt, now_s: float) -> Worker | None:
        return _count(self._directory.choose(service, prompt, set(), now_s))

    def _grant_first(self, service: str, now_s: float) -> bool:
        waiting = self._waiting[service]
        if not waiting:
            return False
        worker = self._choose(service, waiting[0].prompt, waiting[0].times, now_s)
        if worker is None:
            return False
        _grant(waiting.pop(0), worker)
        return True

    def _order(self, service: str, now_s: float) -> None:
        """Put the waiting requests in order, since some became late meanwhile, and count them."""
        waiting = self._waiting[service]
        waiting[:] = [waiter for waiter in waiting if not waiter.chosen.done()]
        over = self._over(service, now_s) if waiting else frozenset()
        waiting.sort(key=lambda waiter: waiter.rank(now_s, over))
        late = sum(waiter.times.is_late(now_s) for waiter in waiting)
        self.demand.own_by_service[service] = WaitingCounts(len(waiting) - late, late)


def _new_future() -> asyncio.Future[Worker | None]:
    return asyncio.get_running_loop().create_future()


def _count(worker: Worker | None) -> Worker | None:
    """Count a request at its worker."""
    if worker is not None:
        worker.in_flight += 1
    return worker


def _grant(waiter: _Waiter, worker: Worker) -> None:
    waiter.chosen.set_result(_count(worker))


def _is_chosen(waiter: _Waiter) -> bool:
    """Return whether the wait ended with a choice."""
    return waiter.chosen.done() and not waiter.chosen.cancelled()


def _give_back(waiter: _Waiter) -> None:
    """Free the slot of a request that ended before it could use it."""
    if _is_chosen(waiter):
        worker = waiter.chosen.result()
        if worker is not None:
            worker.in_flight -= 1
