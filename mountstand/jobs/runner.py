"""Runs the items of one batch job and lists their results.

One process owns a job at a time, by the job's head row. Items run only on workers that online work
leaves idle, and give way to it by closing their stream, to be resumed at another worker after the
last whole event. Results wait in memory until a conditional write of the head lists them; a
process that lost the job cannot list anything.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import replace

from mountstand.jobs.item_execution import ItemExecutor, ItemProgress, RunnerContext
from mountstand.jobs.model import ItemResult, JobHead, JobItem, SavedProgress
from mountstand.jobs.repository import new_write_id
from mountstand.serving.batch_room import Placement, Urgency
from mountstand.serving.configuration import Route
from mountstand.serving.residency import Regions
from mountstand.store.rows import ABSENT, Conflict, OutcomeUnknown, StoreError

SAVE_S = 1.5
"""How often the events of running items are kept in the store: a crash costs this much of a run,
a save costs one call per job."""

HELD_BACK_CHECK_S = 1.0
"""How often an item that crashes workers is looked at again, until it is blocked no more."""

RETRY_FIRST_S = 0.1
RETRY_LONGEST_S = 0.5
"""Pause of a failed write to the store, and of an item after a failure."""


class JobRunner:
    """Runs one job until it is done, ended, lost or released."""

    def __init__(
        self,
        context: RunnerContext,
        head: JobHead,
        version: int,
        items: tuple[JobItem, ...],
        saved: Iterable[SavedProgress] = (),
    ) -> None:
        self._context = context
        self.head = head
        self._version = version
        self._items = items
        self._executor = ItemExecutor(context, head.job_id, head.host, head.tenant)
        self._progress = {
            index: ItemProgress(index, item)
            for index, item in enumerate(items)
            if not head.is_listed(index)
        }
        self._saved: set[int] = set()
        for item in saved:
            self._restore(item)
        self._finished: deque[ItemResult] = deque()
        self._listing: dict[str, list[ItemResult]] = {}
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._waiting_tasks: set[asyncio.Task[None]] = set()
        self._draining = False
        self._stopped = False

    @property
    def items(self) -> tuple[JobItem, ...]:
        """The items of the job."""
        return self._items

    async def run(self) -> None:
        """Run until nothing is left to do here; cancels its items when it ends."""
        for progress in self._progress.values():
            task = asyncio.create_task(self._run_item(progress))
            self._tasks.add(task)
            task.add_done_callback(self._note_task_done)
        saving = asyncio.create_task(self._save_regularly())
        try:
            await self._list_results()
        finally:
            self._stopped = True
            saving.cancel()
            for task in self._tasks:
                task.cancel()

    def _note_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._changed.set()

    def handle_head(self, head: JobHead, version: int) -> None:
        """Take a head that the feed tells; one that another process wrote ends the run."""
        if version <= self._version:
            return
        if head.ended or head.owner != self.head.owner:
            self._stopped = True
            self._changed.set()

    def drain(self) -> None:
        """Start no more items; list what has ended and release the job.

        While the store takes no writes, the items that run go on.
        """
        self._draining = True
        for task in list(self._waiting_tasks):
            task.cancel()
        self._changed.set()

    # Listing

    async def _list_results(self) -> None:
        pause_s = RETRY_FIRST_S
        while not self._stopped and self.head.is_open:
            if not self._finished and self._version != ABSENT and not self._draining:
                self._changed.clear()
                await self._changed.wait()
                continue
            try:
                if self._draining and not self._finished:
                    await self._release()
                    return
                await self._list_once()
                pause_s = RETRY_FIRST_S
            except Conflict:
                await self._reload()
            except StoreError as problem:
                self._log("listing_delayed", cause=type(problem).__name__, detail=str(problem))
                await asyncio.sleep(pause_s * random.uniform(0.7, 1.0))
                pause_s = min(RETRY_LONGEST_S, pause_s * 2)
                await self._reload_after(problem)

    async def _list_once(self) -> None:
        self._drop_listed()
        results: list[ItemResult] = []
        for result in self._finished:
            if not self._context.repository.fits_in_one_write(results, result):
                break
            results.append(result)
        write_id = new_write_id()
        tokens = sum(self._items[result.index].tokens for result in results)
        head = self.head.with_results(results, write_id, tokens)
        self._listing[write_id] = results
        self._version = await self._context.repository.update_head(
            head, self._version, results, self._saved
        )
        self._note_listed(head)

    def _note_listed(self, head: JobHead) -> None:
        self.head = head
        self._listing.clear()
        self._drop_listed()
        self._log("results_listed", listed=head.listed, total=head.total, version=self._version)

    def _drop_listed(self) -> None:
        """Forget results of items that are listed; each item is listed once, whoever ran it."""
        self._finished = deque(r for r in self._finished if not self.head.is_listed(r.index))

    async def _reload_after(self, problem: StoreError) -> None:
        """Learn what became of a write whose answer was lost."""
        if isinstance(problem, OutcomeUnknown):
            try:
                await self._reload()
            except StoreError:
                return

    async def _reload(self) -> None:
        """Read the head: a write of this process goes on from there, any other ends the run."""
        try:
            found = await self._context.repository.load_head(self.head.job_id)
        except StoreError:
            await asyncio.sleep(RETRY_FIRST_S)
            return
        if found is None:
            self._stopped = self._version != ABSENT
            return
        head, version = found
        if version == self._version:
            return
        if head.owner != self.head.owner or head.ended:
            self._log("job_lost", owner=head.owner, ended=head.ended, version=version)
            self._stopped = True
            return
        self._version = version
        self._note_listed(head)

    async def _release(self) -> None:
        """Give the job up with what its items have, so that another daemon goes on at once."""
        await self._save()
        head = replace(self.head, owner="", write_id=new_write_id())
        await self._context.repository.update_head(head, self._version)
        self._log("job_released", listed=head.listed, total=head.total)

    # Progress

    def _restore(self, saved: SavedProgress) -> None:
        progress = self._progress.get(saved.index)
        if progress is not None:
            progress.texts = list(saved.texts)
            progress.last_event_id = saved.last_event_id
            progress.saved_event_id = saved.last_event_id
            progress.restored = True
            progress.failures = saved.failures
            self._saved.add(saved.index)

    async def _save_regularly(self) -> None:
        """Keep what items have, so that a crash costs little."""
        while not self._stopped:
            await asyncio.sleep(SAVE_S * random.uniform(0.8, 1.2))
            try:
                await self._save()
            except StoreError:
                continue

    async def _save(self) -> None:
        changed = [
            progress
            for progress in self._progress.values()
            if progress.last_event_id is not None
            and progress.last_event_id != progress.saved_event_id
        ]
        if not changed or self._version == ABSENT:
            return
        saved = [
            SavedProgress(p.index, p.last_event_id or 0, p.failures, list(p.texts)) for p in changed
        ]
        await self._context.repository.save_progress(self.head, self._version, saved)
        for progress, item in zip(changed, saved, strict=True):
            progress.saved_event_id = item.last_event_id
            self._saved.add(item.index)

    # Items

    async def _run_item(self, progress: ItemProgress) -> None:
        while not self._stopped:
            result = await self._try_item(progress)
            if result is not None:
                self._context.metrics.batch_item_ended(result.state.value)
                self._progress.pop(progress.index, None)
                self._finished.append(result)
                self._changed.set()
                return
            if self._draining:
                break
            if not progress.preempted:
                await asyncio.sleep(RETRY_FIRST_S * random.uniform(0.5, 1.5))
        self._changed.set()

    async def _try_item(self, progress: ItemProgress) -> ItemResult | None:
        """Make one attempt; returns the item's end, or ``None`` if it must be tried again."""
        configuration = self._context.configuration()
        if configuration is None or self._draining:
            return None
        route = configuration.match(self.head.host, progress.item.target)
        if route is None:
            return self._executor.given_up(progress, "route removed", "")
        if self._expired(route):
            return self._executor.given_up(progress, "retention over", route.name)
        if self._executor.blocked_for_s(progress):
            await self._hold_back(progress)
            return None
        placement = await self._wait_for_slot(route, progress)
        try:
            blocked = self._executor.blocked_for_s(progress) > 0
            if self._draining or blocked or not self._surely_open():
                return None
            if not self._executor.allows(progress, placement.worker):
                return None
            progress.preempted = False
            placement.preempt = progress.preempt
            return await self._executor.attempt(progress, route, placement.worker)
        finally:
            self._context.batch_scheduler.release(placement)

    async def _hold_back(self, progress: ItemProgress) -> None:
        """Let an item that crashes workers wait for a moment.

        Nothing but its content is wrong with it, so it is neither failed nor listed before its
        retention is over; the others of its job go on.
        """
        task = asyncio.current_task()
        assert task is not None
        if not progress.held_back:
            progress.held_back = True
            self._log("item_held_back", item=progress.item.item_id)
        self._waiting_tasks.add(task)
        try:
            await asyncio.sleep(HELD_BACK_CHECK_S)
        finally:
            self._waiting_tasks.discard(task)

    async def _wait_for_slot(self, route: Route, progress: ItemProgress) -> Placement:
        task = asyncio.current_task()
        assert task is not None
        self._waiting_tasks.add(task)
        try:
            service = self._context.service_chooser.choose(route)
            urgency = self._urgency(route, service, progress)
            pool_name = self._context.directory.pool_name(service, self._regions(route))
            return await self._context.batch_scheduler.acquire(pool_name, urgency)
        finally:
            self._waiting_tasks.discard(task)

    def _regions(self, route: Route) -> Regions | None:
        """Return where items on a route may run."""
        configuration = self._context.configuration()
        if configuration is None:
            return route.regions
        return configuration.regions_for(route, self.head.tenant)

    def _surely_open(self) -> bool:
        """Return whether an end of the job would have been seen."""
        return self._context.store_age_s() <= self._context.max_store_age_s()

    def _urgency(self, route: Route, service: str, progress: ItemProgress) -> Urgency:
        age_s = (self._context.store_now_ms() - self.head.accepted_ms) / 1000
        left_s = route.completion_target_s - age_s
        now_s = asyncio.get_running_loop().time()
        average_s = self._context.batch_scheduler.durations.average_s(service)
        run_s = max(0.0, average_s - progress.ran_s)
        return Urgency(now_s + left_s, run_s, self._priority(route))

    def _priority(self, route: Route) -> int:
        """Return the priority of the job's tenant, or that of its route."""
        configuration = self._context.configuration()
        tenants = configuration.tenants.by_name if configuration else {}
        tenant = tenants.get(self.head.tenant)
        return route.priority if tenant is None else tenant.effective_priority(route.priority)

    def _expired(self, route: Route) -> bool:
        age_s = (self._context.store_now_ms() - self.head.accepted_ms) / 1000
        return route.retention_s > 0 and age_s > route.retention_s

    def _log(self, event: str, **fields: object) -> None:
        self._context.log.event(event, job=self.head.job_id, **fields)
