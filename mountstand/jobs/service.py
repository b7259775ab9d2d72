"""Accepts, runs, adopts and cancels batch jobs on one daemon.

No response shows a result that is not committed in the store. A conditional write of the head
decides which daemon owns a job. The liveness of owners, as seen by each daemon, only determines
which daemons attempt that write.
"""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import replace

from mountstand.jobs.acceptance import JobAcceptance, StoredJob, SubmitOutcome
from mountstand.jobs.item_execution import RunnerContext
from mountstand.jobs.model import JobHead, JobItem, JobSubmission, SavedProgress, decode_head
from mountstand.jobs.owners import OwnershipRules
from mountstand.jobs.quota import TokenQuota
from mountstand.jobs.reading import ANY_TENANT, JobReader, ResultPage, is_visible_to_tenant
from mountstand.jobs.repository import FALLBACK_OBJECT_COPIES, JobRepository, new_write_id
from mountstand.jobs.runner import LOGGED_FRAMES, JobRunner
from mountstand.serving.configuration import Route
from mountstand.serving.residency import Regions
from mountstand.store.rows import DECODE_ERRORS, Conflict, StoreError, StoreRefused
from mountstand.store.watch import TableChange

ORPHAN_SCAN_INTERVAL_S = 0.5
"""Interval at which a daemon looks for jobs without a live owner."""

ADOPTION_DELAY_PER_RANK_S = 1.0
"""Delay before adopting a job, per daemon ranked before this one for it.

It keeps daemons from competing for the same job.
"""

OWN_JOB_ADOPTION_DELAY_S = 1.0
"""Delay before adopting a job that this process owns but does not run; its acceptance may still be
about to start it."""

OBJECT_SCAN_INTERVAL_S = 3.0
OBJECT_SCAN_RANK_KEY = "object scan"
"""Interval and ranking key of the scan for jobs that are stored only as fallback objects.

Only the daemon that ranks first for the key scans.
"""

DRAIN_POLL_INTERVAL_S = 0.05
"""Interval at which :meth:`JobService.drain` checks whether all runners have stopped."""


class JobService:
    """Manages the batch jobs of one daemon.

    ``retention_s_for`` returns the age since acceptance, in seconds, at which a job that is not
    open is deleted.
    """

    def __init__(
        self,
        context: RunnerContext,
        owners: OwnershipRules,
        parse_document: Callable[[bytes], tuple[JobItem, ...]],
        retention_s_for: Callable[[JobHead], float],
    ) -> None:
        self._context = context
        self._repository: JobRepository = context.repository
        self._owners = owners
        self._retention_s_for = retention_s_for
        self._heads: dict[str, tuple[JobHead, int]] = {}
        self._runners: dict[str, JobRunner] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._adopting_job_ids: set[str] = set()
        self._orphaned_since_s_by_job_id: dict[str, float] = {}
        self._draining = False
        self._next_object_scan_s = 0.0
        self._previous_scan_job_ids: set[str] = set()
        self._job_reader = JobReader(
            self._repository, parse_document, self._cached_head, self._running_job
        )
        self._quota = TokenQuota(
            context.repository.rows,
            lambda: [head for head, _ in self._heads.values()],
            context.configuration,
        )

    # Operations for callers

    async def submit(
        self, submission: JobSubmission, route: Route, deadline_s: float
    ) -> SubmitOutcome:
        """Accept a job if it fits the tenant's quota of waiting tokens on the route, and run it.

        Returns ``REFUSED`` only if no write of the job can have taken effect, and
        ``OUTCOME_UNKNOWN`` if one may have or if the quota could not be checked. Returns
        ``OVER_QUOTA`` for a new job that exceeds the quota. For an existing job, returns
        ``ACCEPTED`` if the submitter's tenant may see it, otherwise ``ID_TAKEN``.
        """
        existing = self._cached_head(submission.job_id)
        if existing is not None:
            return _outcome_for_existing(submission, existing)
        try:
            head = self._new_head(submission)
        except StoreRefused:
            return SubmitOutcome.REFUSED
        try:
            async with asyncio.timeout_at(deadline_s):
                fits = await self._quota.reserve(route, submission, head.accepted_ms)
                if not fits:
                    return await self._refuse_unless_already_stored(submission)
            return await self._accept(submission, head, route, deadline_s)
        except (StoreError, TimeoutError) as error:
            self._context.log.event(
                "quota_unsure", job=submission.job_id, cause=type(error).__name__
            )
            return SubmitOutcome.OUTCOME_UNKNOWN
        finally:
            self._quota.release(submission.job_id)

    async def _refuse_unless_already_stored(self, submission: JobSubmission) -> SubmitOutcome:
        """Refuse a job that exceeds the quota, unless another daemon has already stored it."""
        found = await self._job_reader.load_or_build_head(submission.job_id)
        return (
            SubmitOutcome.OVER_QUOTA
            if found is None
            else _outcome_for_existing(submission, found[0])
        )

    async def _accept(
        self, submission: JobSubmission, head: JobHead, route: Route, deadline_s: float
    ) -> SubmitOutcome:
        already_existed = False

        def start_if_new(stored: StoredJob) -> None:
            nonlocal already_existed
            already_existed = stored.head_and_version is None
            if stored.head_and_version is not None:
                self._start_runner(*stored.head_and_version, submission.items)

        copies = 0 if self._is_region_bound(route, submission.tenant) else FALLBACK_OBJECT_COPIES
        acceptance = JobAcceptance(self._repository, submission, head, copies)
        outcome = await acceptance.run(route.target_latency_s, deadline_s, start_if_new)
        if already_existed and submission.tenant:
            found = await self._job_reader.load_or_build_head(submission.job_id)
            return outcome if found is None else _outcome_for_existing(submission, found[0])
        return outcome

    async def read(
        self,
        job_id: str,
        start_position: int,
        wait_s: float,
        max_bytes: int,
        reader_tenant: str | None = ANY_TENANT,
    ) -> ResultPage | None:
        """Return a page of results; see :meth:`JobReader.page`."""
        return await self._job_reader.page(job_id, start_position, wait_s, max_bytes, reader_tenant)

    async def item_body(
        self, job_id: str, item_id: str, reader_tenant: str | None = ANY_TENANT
    ) -> bytes | None:
        """Return the body of an item; see :meth:`JobReader.item_body`."""
        return await self._job_reader.item_body(job_id, item_id, reader_tenant)

    async def cancel(self, job_id: str, reader_tenant: str | None = ANY_TENANT) -> bool:
        """Cancel a job and return whether it exists and is visible to ``reader_tenant``.

        Results that are already listed stay readable. Cancelling a cancelled job succeeds. Raises
        ``StoreError`` if the store cannot be read or written.
        """
        while True:
            found = await self._job_reader.load_or_build_head(job_id)
            if found is None or not is_visible_to_tenant(reader_tenant, found[0]):
                return False
            head, version = found
            if not head.ended:
                cancelled = replace(head, ended=True, write_id=new_write_id())
                try:
                    version = await self._repository.update_head(cancelled, version)
                except Conflict:
                    continue
                self._apply_head(cancelled, version)
            return True

    # Change feed of the head table

    def apply(self, change: TableChange) -> None:
        """Apply changed heads; a complete change replaces all cached heads."""
        if change.complete:
            present_job_ids = {row.key.key for row in change.rows}
            for job_id in [
                cached_id for cached_id in self._heads if cached_id not in present_job_ids
            ]:
                del self._heads[job_id]
        for row in change.rows:
            if row.value is None:
                self._heads.pop(row.key.key, None)
                continue
            try:
                head = decode_head(row.key.key, row.value)
            except DECODE_ERRORS as error:
                self._context.log.event("job_unreadable", job=row.key.key, cause=repr(error))
                continue
            self._apply_head(head, row.version)

    def _apply_head(self, head: JobHead, version: int) -> None:
        if version <= self._cached_version(head.job_id):
            return
        self._heads[head.job_id] = (head, version)
        runner = self._runners.get(head.job_id)
        if runner is not None:
            runner.handle_head(head, version)
        self._job_reader.notify_change(head.job_id)
        # Nobody owns the job, so its adoption need not wait for the next scan.
        if head.is_open and not head.owner:
            self._adopt_if_orphaned(head, version)

    def _cached_head(self, job_id: str) -> JobHead | None:
        cached = self._heads.get(job_id)
        return cached[0] if cached is not None else None

    def _running_job(self, job_id: str) -> tuple[JobHead, tuple[JobItem, ...]] | None:
        runner = self._runners.get(job_id)
        return (runner.head, runner.items) if runner is not None else None

    def _cached_version(self, job_id: str) -> int:
        """Return the version of a job's cached head, or 0 (``ABSENT``) if none is cached."""
        cached = self._heads.get(job_id)
        return cached[1] if cached is not None else 0

    # Ownership

    async def run(self) -> None:
        """Adopt jobs without a live owner and delete expired jobs, until cancelled."""
        while True:
            await asyncio.sleep(ORPHAN_SCAN_INTERVAL_S)
            for head, version in list(self._heads.values()):
                if head.is_open:
                    self._adopt_if_orphaned(head, version)
                else:
                    self._orphaned_since_s_by_job_id.pop(head.job_id, None)
                    await self._delete_if_expired(head, version)
            await self._adopt_orphaned_objects()
            self._context.metrics.jobs_owned(len(self._runners))

    async def _adopt_orphaned_objects(self) -> None:
        """Adopt jobs that are stored only as fallback objects and whose daemon has gone.

        A live daemon that accepted such a job writes the head row as soon as the store accepts
        writes. A job is therefore adopted only if two consecutive scans find it without a head row.
        If the store fails, a later scan tries again.
        """
        now_s = asyncio.get_running_loop().time()
        if self._draining or now_s < self._next_object_scan_s:
            return
        self._next_object_scan_s = now_s + OBJECT_SCAN_INTERVAL_S
        # A rank other than 0 means that another daemon ranks first and scans.
        if self._owners.rank(OBJECT_SCAN_RANK_KEY):
            return
        try:
            job_ids_without_head = [
                job_id
                for job_id in await self._repository.list_fallback_object_job_ids()
                if job_id not in self._heads and await self._repository.load_head(job_id) is None
            ]
            confirmed_job_ids = [
                job_id for job_id in job_ids_without_head if job_id in self._previous_scan_job_ids
            ]
            self._previous_scan_job_ids = set(job_ids_without_head)
            for job_id in confirmed_job_ids:
                found = await self._job_reader.load_or_build_head(job_id)
                if found is not None:
                    await self._adopt(*found)
        except StoreError:
            return

    def _adopt_if_orphaned(self, head: JobHead, version: int) -> None:
        """Adopt an open job without a live owner, after a delay given by this daemon's rank.

        A job that this process owns but does not run counts as orphaned. Its acceptance or adoption
        may have taken effect without a reply, or the saved progress could not be loaded. No other
        daemon adopts such a job while this one is live, so its rank does not matter.
        """
        job_id = head.job_id
        if self._draining or job_id in self._runners or job_id in self._adopting_job_ids:
            return
        if head.owner and head.owner != self._owners.own_token and self._owners.is_live(head.owner):
            self._orphaned_since_s_by_job_id.pop(job_id, None)
            return
        configuration = self._context.configuration()
        if configuration is None:
            return
        regions = configuration.regions_for_job(head.host, head.path, head.tenant)
        if not self._owners.may_own(regions):
            return
        now_s = asyncio.get_running_loop().time()
        delay_s = self._adoption_delay_s(head, regions)
        if job_id not in self._orphaned_since_s_by_job_id:
            self._orphaned_since_s_by_job_id[job_id] = now_s
            self._context.log.event(
                "job_orphaned", job=job_id, owner=head.owner, adopted_after_s=delay_s
            )
        if now_s - self._orphaned_since_s_by_job_id[job_id] < delay_s:
            return
        self._adopting_job_ids.add(job_id)
        self._spawn(self._adopt(head, version))

    def _adoption_delay_s(self, head: JobHead, regions: Regions | None) -> float:
        if head.owner == self._owners.own_token:
            return OWN_JOB_ADOPTION_DELAY_S
        return self._owners.rank(head.job_id, regions) * ADOPTION_DELAY_PER_RANK_S

    async def _adopt(self, head: JobHead, version: int) -> None:
        adopted = replace(head, owner=self._owners.own_token, write_id=new_write_id())
        try:
            items = await self._job_reader.load_items(head)
            if items is None:
                return
            version = await self._repository.update_head(adopted, version)
            saved = await self._repository.load_progress(adopted)
        except StoreError as error:
            self._context.log.event(
                "adoption_failed", job=head.job_id, version=version, cause=type(error).__name__
            )
            return
        finally:
            self._adopting_job_ids.discard(head.job_id)
        self._context.log.event(
            "job_adopted",
            job=head.job_id,
            former_owner=head.owner,
            listed=head.listed,
            total=head.total,
            items_with_progress=len(saved),
            version=version,
        )
        self._start_runner(adopted, version, items, saved)

    def _start_runner(
        self,
        head: JobHead,
        version: int,
        items: tuple[JobItem, ...],
        saved: Iterable[SavedProgress] = (),
    ) -> None:
        """Start a runner for a job, unless one exists or a newer head forbids it.

        A newer head forbids it if it is not open or has another owner.
        """
        self._orphaned_since_s_by_job_id.pop(head.job_id, None)
        if head.job_id in self._runners:
            return
        cached = self._heads.get(head.job_id)
        if cached is not None and cached[1] > version:
            head, version = cached
            if not head.is_open or head.owner != self._owners.own_token:
                return
        self._heads[head.job_id] = (head, version)
        runner = JobRunner(self._context, head, version, items, saved)
        if self._draining:
            runner.drain()
        self._runners[head.job_id] = runner
        self._spawn(self._run(runner))

    async def _run(self, runner: JobRunner) -> None:
        try:
            await runner.run()
        except Exception:
            self._context.log.event(
                "job_runner_failed",
                job=runner.head.job_id,
                cause=traceback.format_exc(limit=-LOGGED_FRAMES),
            )
            raise
        finally:
            if self._runners.get(runner.head.job_id) is runner:
                del self._runners[runner.head.job_id]

    async def drain(self) -> None:
        """Start no more items, and wait until every job run here is finished or released."""
        self._draining = True
        for runner in list(self._runners.values()):
            runner.drain()
        while self._runners:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    # Helpers

    def _is_region_bound(self, route: Route, tenant: str) -> bool:
        """Return whether a job may be served only in some regions.

        Such a job gets no fallback objects, because the daemon that scans for them reads all of
        them, whatever its region. Without a configuration, every job counts as region-bound.
        """
        configuration = self._context.configuration()
        return configuration is None or configuration.regions_for(route, tenant) is not None

    def _new_head(self, submission: JobSubmission) -> JobHead:
        return JobHead(
            job_id=submission.job_id,
            host=submission.host,
            path=submission.path,
            total=len(submission.items),
            accepted_ms=self._context.store_now_ms(),
            waiting_tokens=submission.tokens,
            owner="" if self._draining else self._owners.own_token,
            write_id=new_write_id(),
            tenant=submission.tenant,
        )

    async def _delete_if_expired(self, head: JobHead, version: int) -> None:
        """Delete a job past its retention time, if this daemon ranks first for it.

        Callers may no longer ask for such a job. If the store fails or its clock is unknown, a
        later scan tries again.
        """
        try:
            age_s = (self._context.store_now_ms() - head.accepted_ms) / 1000
            if age_s < self._retention_s_for(head) or self._owners.rank(head.job_id):
                return
            await self._repository.delete(head, version)
            self._context.log.event(
                "job_dropped", job=head.job_id, age_s=round(age_s, 1), version=version
            )
        except StoreError:
            return

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _outcome_for_existing(submission: JobSubmission, existing: JobHead) -> SubmitOutcome:
    """Return the outcome of submitting a job whose id exists already.

    The submission is a retry if its tenant may see the existing job; otherwise the id is taken by
    another tenant.
    """
    if is_visible_to_tenant(submission.tenant or ANY_TENANT, existing):
        return SubmitOutcome.ACCEPTED
    return SubmitOutcome.ID_TAKEN
