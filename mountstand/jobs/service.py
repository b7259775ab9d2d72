"""Batch jobs of one daemon: acceptance, ends, and which jobs this daemon runs.

Every answer follows from the store, or from results that cannot change any more. Which daemon runs
a job is decided by a conditional write of its head; liveness of owners only decides who tries.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import replace

from mountstand.jobs.acceptance import JobAcceptance, StoredJob, SubmitOutcome
from mountstand.jobs.item_execution import RunnerContext
from mountstand.jobs.model import JobHead, JobItem, JobSubmission, SavedProgress, decode_head
from mountstand.jobs.owners import Owners
from mountstand.jobs.quota import TokenQuota
from mountstand.jobs.reading import ANY_TENANT, JobReader, ResultPage, is_visible_to_tenant
from mountstand.jobs.repository import MAX_JOB_OBJECT_COPIES, JobRepository, new_write_id
from mountstand.jobs.runner import JobRunner
from mountstand.serving.configuration import Route
from mountstand.store.rows import Conflict, StoreError, StoreRefused
from mountstand.store.watch import TableChange

ORPHAN_SCAN_INTERVAL_S = 0.5
"""How often a daemon looks for jobs without an owner."""

ADOPTION_DELAY_PER_RANK_S = 1.0
"""A daemon waits so much longer per better-ranked daemon before it adopts a job."""

OBJECT_SCAN_INTERVAL_S = 3.0
OBJECT_SCAN_RANK_KEY = "object scan"
"""How often the daemon ranked first for the key looks for jobs that are kept as objects only."""

DRAIN_POLL_INTERVAL_S = 0.05
"""How often a planned stop looks whether the last job is handed on."""


class JobService:
    """The batch jobs of one daemon."""

    def __init__(
        self,
        context: RunnerContext,
        owners: Owners,
        parse_document: Callable[[bytes], tuple[JobItem, ...]],
        retention_s: Callable[[JobHead], float],
    ) -> None:
        self._context = context
        self._repository: JobRepository = context.repository
        self._owners = owners
        self._keep_s = retention_s
        self._heads: dict[str, tuple[JobHead, int]] = {}
        self._runners: dict[str, JobRunner] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._adopting: set[str] = set()
        self._orphan_since_s: dict[str, float] = {}
        self._draining = False
        self._next_object_scan_s = 0.0
        self._without_head: set[str] = set()
        self._reads = JobReader(self._repository, parse_document, self._known, self._running)
        self._quota = TokenQuota(
            context.repository.rows,
            lambda: [head for head, _ in self._heads.values()],
            context.configuration,
        )

    # Callers' calls

    async def submit(
        self, submission: JobSubmission, route: Route, deadline_s: float
    ) -> SubmitOutcome:
        """Take a job. Once a write may have reached the store, it is never called refused."""
        known = self._known(submission.job_id)
        if known is not None:
            return _outcome_of_known(submission, known)
        try:
            head = self._new_head(submission)
        except StoreRefused:
            return SubmitOutcome.REFUSED
        try:
            async with asyncio.timeout_at(deadline_s):
                fits = await self._quota.reserve(route, submission, head.accepted_ms)
                if not fits:
                    return await self._refuse_unless_known(submission)
            return await self._accept(submission, head, route, deadline_s)
        except (StoreError, TimeoutError) as error:
            self._context.log.event(
                "quota_unsure", job=submission.job_id, cause=type(error).__name__
            )
            return SubmitOutcome.OUTCOME_UNKNOWN
        finally:
            self._quota.release(submission.job_id)

    async def _refuse_unless_known(self, submission: JobSubmission) -> SubmitOutcome:
        """Refuse a job that does not fit, unless another daemon took it: it is sent again then."""
        found = await self._reads.load_or_build_head(submission.job_id)
        return (
            SubmitOutcome.OVER_QUOTA if found is None else _outcome_of_known(submission, found[0])
        )

    async def _accept(
        self, submission: JobSubmission, head: JobHead, route: Route, deadline_s: float
    ) -> SubmitOutcome:
        was_there = False

        def begin(stored: StoredJob) -> None:
            nonlocal was_there
            was_there = stored.begin is None
            if stored.begin is not None:
                self._begin(*stored.begin, submission.items)

        copies = 0 if self._is_bound(route, submission.tenant) else MAX_JOB_OBJECT_COPIES
        acceptance = JobAcceptance(self._repository, submission, head, copies)
        outcome = await acceptance.run(route.target_latency_s, deadline_s, begin)
        if was_there and submission.tenant:
            found = await self._reads.load_or_build_head(submission.job_id)
            return outcome if found is None else _outcome_of_known(submission, found[0])
        return outcome

    async def read(
        self,
        job_id: str,
        after: int,
        wait_s: float,
        max_bytes: int,
        reader_tenant: str | None = ANY_TENANT,
    ) -> ResultPage | None:
        """Return a page of results; see :meth:`JobReader.page`."""
        return await self._reads.page(job_id, after, wait_s, max_bytes, reader_tenant)

    async def item_body(
        self, job_id: str, item_id: str, reader_tenant: str | None = ANY_TENANT
    ) -> bytes | None:
        """Return the body of an item; see :meth:`JobReader.item_body`."""
        return await self._reads.item_body(job_id, item_id, reader_tenant)

    async def cancel(self, job_id: str, reader_tenant: str | None = ANY_TENANT) -> bool:
        """End a job; returns whether ``reader_tenant`` has one. Raises ``StoreError``."""
        while True:
            found = await self._reads.load_or_build_head(job_id)
            if found is None or not is_visible_to_tenant(reader_tenant, found[0]):
                return False
            head, version = found
            if not head.ended:
                ended = replace(head, ended=True, write_id=new_write_id())
                try:
                    version = await self._repository.update_head(ended, version)
                except Conflict:
                    continue
                self._apply_head(ended, version)
            return True

    # The feed

    def apply(self, change: TableChange) -> None:
        """Take changed heads, or with a complete change all of them."""
        if change.complete:
            listed = {row.key.key for row in change.rows}
            for job_id in [known for known in self._heads if known not in listed]:
                del self._heads[job_id]
        for row in change.rows:
            if row.value is None:
                self._heads.pop(row.key.key, None)
                continue
            self._apply_head(decode_head(row.key.key, row.value), row.version)

    def _apply_head(self, head: JobHead, version: int) -> None:
        if version <= self._latest_version(head.job_id):
            return
        self._heads[head.job_id] = (head, version)
        runner = self._runners.get(head.job_id)
        if runner is not None:
            runner.handle_head(head, version)
        self._reads.notify_change(head.job_id)
        if head.is_open and not head.owner:
            self._consider(head, version)

    def _known(self, job_id: str) -> JobHead | None:
        known = self._heads.get(job_id)
        return known[0] if known is not None else None

    def _running(self, job_id: str) -> tuple[JobHead, tuple[JobItem, ...]] | None:
        runner = self._runners.get(job_id)
        return (runner.head, runner.items) if runner is not None else None

    def _latest_version(self, job_id: str) -> int:
        known = self._heads.get(job_id)
        return known[1] if known is not None else 0

    # Ownership

    async def run(self) -> None:
        """Adopt jobs whose owner is gone, until cancelled."""
        while True:
            await asyncio.sleep(ORPHAN_SCAN_INTERVAL_S)
            for head, version in list(self._heads.values()):
                if head.is_open:
                    self._consider(head, version)
                else:
                    self._orphan_since_s.pop(head.job_id, None)
                    await self._drop_old(head, version)
            await self._adopt_kept_objects()
            self._context.metrics.jobs_owned(len(self._runners))

    async def _adopt_kept_objects(self) -> None:
        """Give a head row to jobs that are kept as objects and whose daemon is gone.

        One daemon looks at a time. A daemon that accepted a job writes its head row itself as soon
        as the store takes it, long before the second look.
        """
        now_s = asyncio.get_running_loop().time()
        if self._draining or now_s < self._next_object_scan_s:
            return
        self._next_object_scan_s = now_s + OBJECT_SCAN_INTERVAL_S
        if self._owners.rank(OBJECT_SCAN_RANK_KEY):
            return
        try:
            without_head = [
                job_id
                for job_id in await self._repository.list_object_job_ids()
                if job_id not in self._heads and await self._repository.load_head(job_id) is None
            ]
            confirmed_job_ids = [job_id for job_id in without_head if job_id in self._without_head]
            self._without_head = set(without_head)
            for job_id in confirmed_job_ids:
                found = await self._reads.load_or_build_head(job_id)
                if found is not None:
                    await self._adopt(*found)
        except StoreError:
            return

    def _consider(self, head: JobHead, version: int) -> None:
        job_id = head.job_id
        if self._draining or job_id in self._runners or job_id in self._adopting:
            return
        if head.owner and head.owner != self._owners.own_token and self._owners.is_live(head.owner):
            self._orphan_since_s.pop(job_id, None)
            return
        configuration = self._context.configuration()
        if configuration is None:
            return
        regions = configuration.regions_for_job(head.host, head.path, head.tenant)
        if not self._owners.may_own(regions):
            return
        now_s = asyncio.get_running_loop().time()
        orphaned_since_s = self._orphan_since_s.setdefault(job_id, now_s)
        if (
            now_s - orphaned_since_s
            < self._owners.rank(job_id, regions) * ADOPTION_DELAY_PER_RANK_S
        ):
            return
        self._adopting.add(job_id)
        self._spawn(self._adopt(head, version))

    async def _adopt(self, head: JobHead, version: int) -> None:
        adopted = replace(head, owner=self._owners.own_token, write_id=new_write_id())
        try:
            items = await self._reads.load_items(head)
            if items is None:
                return
            version = await self._repository.update_head(adopted, version)
            saved = await self._repository.progress(adopted)
        except StoreError as error:
            self._context.log.event(
                "adoption_failed", job=head.job_id, version=version, cause=type(error).__name__
            )
            return
        finally:
            self._adopting.discard(head.job_id)
        self._context.log.event(
            "job_adopted",
            job=head.job_id,
            former_owner=head.owner,
            listed=head.listed,
            total=head.total,
            items_with_progress=len(saved),
            version=version,
        )
        self._begin(adopted, version, items, saved)

    def _begin(
        self,
        head: JobHead,
        version: int,
        items: tuple[JobItem, ...],
        saved: Iterable[SavedProgress] = (),
    ) -> None:
        """Run a job here, unless it is being run here already."""
        self._orphan_since_s.pop(head.job_id, None)
        if head.job_id in self._runners:
            return
        known = self._heads.get(head.job_id)
        if known is not None and known[1] > version:
            head, version = known
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
        finally:
            if self._runners.get(runner.head.job_id) is runner:
                del self._runners[runner.head.job_id]

    async def drain(self) -> None:
        """Start no more items, and wait until every job here is finished or released."""
        self._draining = True
        for runner in list(self._runners.values()):
            runner.drain()
        while self._runners:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    # Small parts

    def _is_bound(self, route: Route, tenant: str) -> bool:
        """Return whether a job may be served in some regions alone.

        It is not kept as an object: whoever looks for such objects reads all of them.
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

    async def _drop_old(self, head: JobHead, version: int) -> None:
        """Remove a job that nobody may ask for any more."""
        try:
            age_s = (self._context.store_now_ms() - head.accepted_ms) / 1000
            if age_s < self._keep_s(head) or self._owners.rank(head.job_id):
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


def _outcome_of_known(submission: JobSubmission, known: JobHead) -> SubmitOutcome:
    """Return the answer to a job that is there already: sent again, or another tenant's."""
    if is_visible_to_tenant(submission.tenant or ANY_TENANT, known):
        return SubmitOutcome.ACCEPTED
    return SubmitOutcome.ID_TAKEN
