"""Reads of batch jobs: pages of results, bodies of items, and jobs that have no head row yet.

Every answer follows from the store, or from results that cannot change any more. A job is there
only for callers of its own tenant.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from mountstand.jobs.model import ItemResult, JobHead, JobItem
from mountstand.jobs.repository import JobRepository, new_write_id
from mountstand.jobs.result_cache import ResultCache
from mountstand.store.rows import ABSENT

MAX_CACHED_RESULT_BYTES = 16 * 1024 * 1024
MAX_CACHED_DOCUMENTS = 8
"""Bounds of what is kept to spare reads of the store; everything kept is immutable."""

ANY_TENANT = None
"""The reader of a system whose callers need no keys: it sees every job."""


@dataclass(frozen=True)
class ResultPage:
    """Listed results of a job from one position on."""

    total: int
    next_position: int
    results: list[ItemResult]


def is_visible_to_tenant(reader_tenant: str | None, head: JobHead) -> bool:
    """Return whether callers of the tenant ``reader_tenant`` may see a job.

    Jobs that were taken before there were tenants, or from callers without a key, are everybody's.
    """
    return reader_tenant is ANY_TENANT or head.tenant in ("", reader_tenant)


class JobReader:
    """Answers reads of one daemon's callers.

    ``known`` returns the newest head of a job that the feed told, ``running`` the items of a job
    that runs here, each ``None`` where there is none.
    """

    def __init__(
        self,
        repository: JobRepository,
        parse_document: Callable[[bytes], tuple[JobItem, ...]],
        known: Callable[[str], JobHead | None],
        running: Callable[[str], tuple[JobHead, tuple[JobItem, ...]] | None],
    ) -> None:
        self._repository = repository
        self._parse_document = parse_document
        self._known = known
        self._running = running
        self._changed_by_job: dict[str, asyncio.Event] = {}
        self._cache = ResultCache(MAX_CACHED_RESULT_BYTES)
        self._documents: OrderedDict[str, tuple[JobItem, ...]] = OrderedDict()

    def notify_change(self, job_id: str) -> None:
        """Wake the readers that wait for a job's results."""
        change_event = self._changed_by_job.pop(job_id, None)
        if change_event is not None:
            change_event.set()

    async def page(
        self, job_id: str, after: int, wait_s: float, max_bytes: int, reader_tenant: str | None
    ) -> ResultPage | None:
        """Return results from position ``after`` on; waits up to ``wait_s`` for the first.

        Returns ``None`` if the store has no such job for ``reader_tenant``. Raises ``StoreError`` where
        unsure.
        """
        cached = self._read_cached(job_id, after, max_bytes, reader_tenant)
        if cached is not None:
            return cached
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_s
        change_event = self._changed_by_job.setdefault(job_id, asyncio.Event())
        found = await self._repository.load_head(job_id)
        if found is None:
            return await self._page_of_accepted(job_id, after, reader_tenant)
        head = found[0]
        if not is_visible_to_tenant(reader_tenant, head):
            return None
        if head.listed <= after and head.is_open and wait_s > 0:
            try:
                async with asyncio.timeout_at(deadline_s):
                    await change_event.wait()
            except TimeoutError:
                pass
            found = await self._repository.load_head(job_id)
            if found is None:
                return None
            head = found[0]
        return await self._page(head, after, max_bytes)

    async def item_body(self, job_id: str, item_id: str, reader_tenant: str | None) -> bytes | None:
        """Return the body of an item, or ``None`` where the store has none for ``reader_tenant``."""
        items = await self._items_of(job_id, reader_tenant)
        return next((item.body for item in items if item.item_id == item_id), None)

    async def load_or_build_head(self, job_id: str) -> tuple[JobHead, int] | None:
        """Return a job's head, also that of a job kept as an object without a head row."""
        found = await self._repository.load_head(job_id)
        if found is not None:
            return found
        accepted = await self._repository.load_object_submission(job_id)
        if accepted is None:
            return None
        name, kept = accepted
        items = self._parse_document(kept.document)
        head = JobHead(
            job_id=job_id,
            host=kept.host,
            path=kept.path,
            total=len(items),
            waiting_tokens=sum(item.tokens for item in items),
            accepted_ms=kept.accepted_ms,
            owner="",
            write_id=new_write_id(),
            object_name=name,
            tenant=kept.tenant,
        )
        return head, ABSENT

    async def load_items(self, head: JobHead) -> tuple[JobItem, ...] | None:
        """Return the items of a job, or ``None`` where its document is dropped."""
        document = await self._repository.document(head)
        return self._parse_document(document) if document is not None else None

    def _read_cached(
        self, job_id: str, after: int, max_bytes: int, reader_tenant: str | None
    ) -> ResultPage | None:
        head = self._known(job_id)
        if head is None or not is_visible_to_tenant(reader_tenant, head):
            return None
        results = self._cache.contiguous_from(job_id, after, max_bytes)
        if not results:
            return None
        return ResultPage(head.total, after + len(results), results)

    async def _page(self, head: JobHead, after: int, max_bytes: int) -> ResultPage:
        if head.listed <= after:
            return ResultPage(head.total, after, [])
        listed = await self._repository.results(head, after, max_bytes)
        for position, result in listed:
            self._cache.put(head.job_id, position, result)
        return ResultPage(head.total, after + len(listed), [result for _, result in listed])

    async def _page_of_accepted(
        self, job_id: str, after: int, reader_tenant: str | None
    ) -> ResultPage | None:
        """Return the empty page of a job that has no head row yet."""
        running = self._running(job_id)
        if running is not None:
            head = running[0]
            return (
                ResultPage(head.total, after, [])
                if is_visible_to_tenant(reader_tenant, head)
                else None
            )
        found = await self.load_or_build_head(job_id)
        if found is None or not is_visible_to_tenant(reader_tenant, found[0]):
            return None
        return await self._page(found[0], after, 1)

    async def _items_of(self, job_id: str, reader_tenant: str | None) -> tuple[JobItem, ...]:
        running = self._running(job_id)
        if running is not None:
            return running[1] if is_visible_to_tenant(reader_tenant, running[0]) else ()
        known = self._known(job_id)
        cached = self._documents.get(job_id)
        if cached is not None and known is not None:
            return cached if is_visible_to_tenant(reader_tenant, known) else ()
        found = await self.load_or_build_head(job_id)
        if found is None or not is_visible_to_tenant(reader_tenant, found[0]):
            return ()
        items = await self.load_items(found[0])
        if items is None:
            return ()
        self._documents[job_id] = items
        while len(self._documents) > MAX_CACHED_DOCUMENTS:
            self._documents.popitem(last=False)
        return items
