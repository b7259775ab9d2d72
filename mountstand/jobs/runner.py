"""Runs the items of one batch job and lists their results.

Listing a result commits it to the job's head row, which also names the one process that owns the
job. A job is open until a caller cancels it (``ended`` in its head) or all its results are listed.

Items run only in worker slots that online requests leave idle. When an online request needs the
slot, the item's connection is closed and the item resumes at another worker after its last complete
event. Results stay in memory until a conditional write of the head row lists them, so a process
that no longer owns the job cannot list any.
"""

from __future__ import annotations

import asyncio
import random
import traceback
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import replace

from mountstand.jobs.item_execution import ItemExecutor, ItemProgress, RunnerContext, WaitCause
from mountstand.jobs.model import ItemResult, JobHead, JobItem, SavedProgress
from mountstand.jobs.progress_saving import HeadVersion, ProgressSaver
from mountstand.jobs.repository import new_write_id
from mountstand.jobs.slot_waits import RunTerms, SlotWaits
from mountstand.serving.batch_room import Placement
from mountstand.serving.configuration import Route
from mountstand.serving.worker import Worker
from mountstand.store.rows import ABSENT, Conflict, OutcomeUnknown, StoreError

PROGRESS_SAVE_INTERVAL_S = 1.5
"""How often the output of running items is saved. After a crash, at most about this much of a run
is repeated; each save costs one store call per job."""

BLOCKED_RECHECK_INTERVAL_S = 1.0
"""How often an item blocked by the quarantine is checked again."""

WAIT_LOG_INTERVAL_S = 5.0
"""How often ``items_waiting`` is logged, for items that have not run for at least this long."""

UNEXPECTED_ERROR_DELAY_S = 1.0
"""Delay before an item is tried again after an error in this program."""

LOGGED_FRAMES = 4
"""Frames of an unexpected error that are logged, innermost last."""

INITIAL_RETRY_DELAY_S = 0.1
"""First delay after a failed store write, and mean delay before a failed attempt is repeated."""

MAX_RETRY_DELAY_S = 0.5
"""Upper bound of the exponential backoff after failed store writes."""


class JobRunner:
    """Runs one job until it is no longer open, gets another owner or is released."""

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
        self._slot_waits = SlotWaits(context, lambda: self.head)
        self._progress = {
            index: ItemProgress(index, item)
            for index, item in enumerate(items)
            if not head.is_listed(index)
        }
        self._saver = ProgressSaver(
            context.repository, self._progress, lambda: HeadVersion(self.head, self._version)
        )
        for saved_progress in saved:
            self._saver.restore(saved_progress)
        self._finished: deque[ItemResult] = deque()
        self._unconfirmed_by_write_id: dict[str, list[ItemResult]] = {}
        self._wake_event = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._waiting_tasks: set[asyncio.Task[None]] = set()
        self._draining = False
        self._stopped = False

    @property
    def items(self) -> tuple[JobItem, ...]:
        """All items of the job, in order of submission."""
        return self._items

    async def run(self) -> None:
        """Run the items and list their results; cancel any items still running on exit."""
        now_s = asyncio.get_running_loop().time()
        for progress in self._progress.values():
            progress.idle_since_s = now_s
            task = asyncio.create_task(self._run_item(progress))
            self._tasks.add(task)
            task.add_done_callback(self._on_item_task_done)
        periodic_tasks = [
            asyncio.create_task(self._save_periodically()),
            asyncio.create_task(self._log_waiting_periodically()),
            asyncio.create_task(self._slot_waits.recheck_periodically()),
        ]
        try:
            await self._list_results()
        finally:
            self._stopped = True
            for task in [*periodic_tasks, *self._tasks]:
                task.cancel()

    def _on_item_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._wake_event.set()

    def handle_head(self, head: JobHead, version: int) -> None:
        """Handle a head from the store feed: stop if the job is cancelled or has another owner."""
        if version <= self._version:
            return
        if head.ended or head.owner != self.head.owner:
            self._stopped = True
            self._wake_event.set()

    def drain(self) -> None:
        """Stop starting items, list the finished results and release the job.

        Running items continue while the store rejects writes. Releasing cancels them after saving
        their progress, which needs a head row.
        """
        self._draining = True
        for task in list(self._waiting_tasks):
            task.cancel()
        self._wake_event.set()

    # Listing

    async def _list_results(self) -> None:
        """List results until the job is no longer open or the run stops.

        A job that was accepted as an object has no head row yet (version ``ABSENT``), so its first
        write creates the row even if no result is finished.
        """
        retry_delay_s = INITIAL_RETRY_DELAY_S
        while not self._stopped and self.head.is_open:
            if not self._finished and self._version != ABSENT and not self._draining:
                self._wake_event.clear()
                await self._wake_event.wait()
                continue
            try:
                if self._draining and not self._finished:
                    await self._release()
                    return
                await self._list_finished()
                retry_delay_s = INITIAL_RETRY_DELAY_S
            except Conflict:
                await self._reload()
            except StoreError as error:
                self._log("listing_delayed", cause=type(error).__name__, detail=str(error))
                await asyncio.sleep(retry_delay_s * random.uniform(0.7, 1.0))
                retry_delay_s = min(MAX_RETRY_DELAY_S, retry_delay_s * 2)
                await self._reload_if_outcome_unknown(error)

    async def _list_finished(self) -> None:
        self._drop_listed()
        results: list[ItemResult] = []
        for result in self._finished:
            if not self._context.repository.fits_in_one_write(results, result):
                break
            results.append(result)
        write_id = new_write_id()
        tokens = sum(self._items[result.index].tokens for result in results)
        head = self.head.with_results(results, write_id, tokens)
        self._unconfirmed_by_write_id[write_id] = results
        self._version = await self._context.repository.update_head(
            head, self._version, results, self._saver.stored_indexes
        )
        self._apply_listed_head(head)

    def _apply_listed_head(self, head: JobHead) -> None:
        self.head = head
        self._unconfirmed_by_write_id.clear()
        self._drop_listed()
        self._log("results_listed", listed=head.listed, total=head.total, version=self._version)

    def _drop_listed(self) -> None:
        """Drop finished results that the head already lists, so that each is listed only once."""
        self._finished = deque(r for r in self._finished if not self.head.is_listed(r.index))

    async def _reload_if_outcome_unknown(self, error: StoreError) -> None:
        """Reload the head to find out whether a write without a response took effect."""
        if isinstance(error, OutcomeUnknown):
            try:
                await self._reload()
            except StoreError:
                return

    async def _reload(self) -> None:
        """Load the head: continue from it if this process still owns the job, else stop.

        If the load fails or the job has no row yet, the run continues unchanged.
        """
        try:
            loaded = await self._context.repository.load_head(self.head.job_id)
        except StoreError:
            await asyncio.sleep(INITIAL_RETRY_DELAY_S)
            return
        if loaded is None:
            self._stopped = self._version != ABSENT
            return
        head, version = loaded
        if version == self._version:
            return
        if head.owner != self.head.owner or head.ended:
            self._log("job_lost", owner=head.owner, ended=head.ended, version=version)
            self._stopped = True
            return
        self._version = version
        self._apply_listed_head(head)

    async def _release(self) -> None:
        """Save progress and clear the owner, so that another daemon can adopt the job at once."""
        await self._saver.save()
        head = replace(self.head, owner="", write_id=new_write_id())
        await self._context.repository.update_head(head, self._version)
        self._log("job_released", listed=head.listed, total=head.total)

    # Progress

    async def _save_periodically(self) -> None:
        """Save progress periodically, so that a crash loses little work."""
        while not self._stopped:
            await asyncio.sleep(PROGRESS_SAVE_INTERVAL_S * random.uniform(0.8, 1.2))
            try:
                await self._saver.save()
            except StoreError as error:
                self._log("saving_delayed", cause=type(error).__name__, detail=str(error))

    async def _log_waiting_periodically(self) -> None:
        """Log which items have not run for a while, and why, while the job is open."""
        while not self._stopped:
            await asyncio.sleep(WAIT_LOG_INTERVAL_S)
            self._log_waiting()

    def _log_waiting(self) -> None:
        now_s = asyncio.get_running_loop().time()
        waiting = [
            progress
            for progress in self._progress.values()
            if progress.wait_cause is not None
            and now_s - progress.idle_since_s >= WAIT_LOG_INTERVAL_S
        ]
        if not waiting:
            return
        longest = min(waiting, key=lambda progress: progress.idle_since_s)
        causes = Counter(progress.wait_cause.value for progress in waiting if progress.wait_cause)
        self._log(
            "items_waiting",
            count=len(waiting),
            causes=dict(causes),
            item=longest.item.item_id,
            content=self._executor.content_name(longest),
            cause=longest.wait_cause.value if longest.wait_cause else None,
            idle_s=round(now_s - longest.idle_since_s, 1),
        )

    async def _save_failures(self, progress: ItemProgress) -> None:
        """Save an item's failures before it may run again, however long the store refuses.

        A planned stop saves them as it releases the job.
        """
        retry_delay_s = INITIAL_RETRY_DELAY_S
        while progress.has_unsaved_failures and not self._stopped and not self._draining:
            progress.wait_cause = WaitCause.SAVING
            try:
                await self._saver.save_failures(progress)
                if not progress.has_unsaved_failures:
                    return
            except Conflict:
                await self._reload()
            except StoreError as error:
                self._log("saving_delayed", cause=type(error).__name__, detail=str(error))
            await asyncio.sleep(retry_delay_s * random.uniform(0.7, 1.0))
            retry_delay_s = min(MAX_RETRY_DELAY_S, retry_delay_s * 2)

    # Items

    async def _run_item(self, progress: ItemProgress) -> None:
        while not self._stopped:
            result = await self._try_item_safely(progress)
            if result is not None:
                self._context.metrics.batch_item_ended(result.state.value)
                self._progress.pop(progress.index, None)
                self._finished.append(result)
                self._wake_event.set()
                return
            if self._draining:
                break
            if not progress.preempted:
                await asyncio.sleep(INITIAL_RETRY_DELAY_S * random.uniform(0.5, 1.5))
        self._wake_event.set()

    async def _try_item_safely(self, progress: ItemProgress) -> ItemResult | None:
        """Make one attempt; after an unexpected error, log it and let the item be retried."""
        try:
            # After an unexpected error the latest failure may not be saved yet.
            await self._save_failures(progress)
            result = await self._try_item(progress)
            if result is None:
                await self._save_failures(progress)
            return result
        except Exception:
            self._log(
                "item_task_failed",
                item=progress.item.item_id,
                cause=traceback.format_exc(limit=-LOGGED_FRAMES),
            )
            await asyncio.sleep(UNEXPECTED_ERROR_DELAY_S)
            return None

    async def _try_item(self, progress: ItemProgress) -> ItemResult | None:
        """Wait for a slot and make one attempt.

        Returns the final result, or ``None`` if the item must be retried.
        """
        if self._context.configuration() is None or self._draining:
            progress.wait_cause = WaitCause.CONFIGURATION
            return None
        terms = self._slot_waits.terms(progress)
        if terms is None:
            return self._executor.fail_item(progress, "route removed", "")
        route = terms.route
        if self._retention_expired(route):
            return self._executor.fail_item(progress, "retention over", route.name)
        if self._executor.blocked_for_s(progress):
            await self._sleep_while_blocked(progress)
            return None
        placement = await self._wait_for_slot(terms, progress)
        if placement is None:
            return None
        try:
            progress.wait_cause = self._wait_cause_at(progress, terms, placement.worker)
            if progress.wait_cause is not None or self._draining:
                return None
            progress.preempted = False
            placement.preempt = progress.preempt
            while self._executor.requires_claim(progress):
                progress.wait_cause = await self._claim_trials(progress, terms, placement.worker)
                if progress.wait_cause is not None or self._draining or progress.preempted:
                    return None
            progress.block_logged = False
            async with asyncio.timeout(self._slot_waits.retention_left_s(route)):
                return await self._executor.attempt(progress, route, placement.worker)
        except TimeoutError:
            return None
        finally:
            self._executor.release_claims(progress)
            if progress.wait_cause is None:
                progress.wait_cause = WaitCause.RETRY
                progress.idle_since_s = asyncio.get_running_loop().time()
            self._context.batch_scheduler.release(placement)

    async def _claim_trials(
        self, progress: ItemProgress, terms: RunTerms, worker: Worker
    ) -> WaitCause | None:
        """Claim the trials that an item would begin; return why it may not run, if so."""
        if not await self._executor.claim_trials(progress):
            return WaitCause.QUARANTINE
        return self._wait_cause_at(progress, terms, worker)

    def _wait_cause_at(
        self, progress: ItemProgress, terms: RunTerms, worker: Worker
    ) -> WaitCause | None:
        """Return why an item that got a slot may not run at its worker, ``None`` if it may.

        ``terms`` are those with which it began to wait.
        """
        if self._slot_waits.terms(progress) != terms:
            return WaitCause.TERMS_CHANGED
        if self._executor.blocked_for_s(progress):
            return WaitCause.QUARANTINE
        if not self._store_view_is_fresh():
            return WaitCause.STORE_VIEW
        if not self._executor.allows(progress, worker):
            return WaitCause.OTHER_SUSPECTS
        return None

    async def _sleep_while_blocked(self, progress: ItemProgress) -> None:
        """Sleep one recheck interval for an item that is blocked because it crashes workers.

        Only the item's content is at fault, so it is neither failed nor listed until its retention
        ends, unless the block ends first. The job's other items continue.
        """
        task = asyncio.current_task()
        assert task is not None
        progress.wait_cause = WaitCause.QUARANTINE
        if not progress.block_logged:
            progress.block_logged = True
            self._log(
                "item_held_back",
                item=progress.item.item_id,
                content=self._executor.content_name(progress),
                for_s=round(self._executor.blocked_for_s(progress), 1),
            )
        self._waiting_tasks.add(task)
        try:
            await asyncio.sleep(BLOCKED_RECHECK_INTERVAL_S)
        finally:
            self._waiting_tasks.discard(task)

    async def _wait_for_slot(self, terms: RunTerms, progress: ItemProgress) -> Placement | None:
        """Wait for a slot; return ``None`` if the item must be looked at anew before it has one."""
        task = asyncio.current_task()
        assert task is not None
        progress.wait_cause = WaitCause.SLOT
        self._waiting_tasks.add(task)
        try:
            return await self._slot_waits.acquire(progress, terms)
        finally:
            self._waiting_tasks.discard(task)

    def _store_view_is_fresh(self) -> bool:
        """Return whether the store view is recent enough to show a cancellation or a new owner."""
        return self._context.store_age_s() <= self._context.max_store_age_s()

    def _retention_expired(self, route: Route) -> bool:
        left_s = self._slot_waits.retention_left_s(route)
        return left_s is not None and left_s < 0

    def _log(self, event: str, **fields: object) -> None:
        self._context.log.event(event, job=self.head.job_id, **fields)
