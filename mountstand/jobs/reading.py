"""Reads pages of results and item bodies of batch jobs, including jobs without a head row.

No page shows a result that is not committed in the store; listed results are immutable and may be
cached. A job that belongs to a tenant is visible only to callers of that tenant.
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
MAX_CACHED_ITEM_LISTS = 8
"""Limits of the caches of results and of the items parsed from a job's document.

Both are immutable, so the caches need no invalidation.
"""

ANY_TENANT = None
"""The reader's tenant where callers need no API key; such a reader sees every job."""


@dataclass(frozen=True)
class ResultPage:
    """Consecutive results of a job, with the position at which the next page starts."""

    total: int
    next_position: int
    results: list[ItemResult]


def is_visible_to_tenant(reader_tenant: str | None, head: JobHead) -> bool:
    """Return whether callers of the tenant ``reader_tenant`` may see a job.

    Jobs submitted without an API key, or before tenants were introduced, have no tenant and are
    visible to everybody.
    """
    return reader_tenant is ANY_TENANT or head.tenant in ("", reader_tenant)


class JobReader:
    """Serves the reads of one daemon's callers.

    ``find_cached_head`` returns the newest head of a job that this daemon has seen.
    ``find_running_job`` returns the head and items of a job that this daemon runs. Both return
    ``None`` for other jobs.
    """

    def __init__(
        self,
        repository: JobRepository,
        parse_document: Callable[[bytes], tuple[JobItem, ...]],
        find_cached_head: Callable[[str], JobHead | None],
        find_running_job: Callable[[str], tuple[JobHead, tuple[JobItem, ...]] | None],
    ) -> None:
        self._repository = repository
        self._parse_document = parse_document
        self._find_cached_head = find_cached_head
        self._find_running_job = find_running_job
        self._change_events_by_job_id: dict[str, asyncio.Event] = {}
        self._cache = ResultCache(MAX_CACHED_RESULT_BYTES)
        self._items_by_job_id: OrderedDict[str, tuple[JobItem, ...]] = OrderedDict()

    def notify_change(self, job_id: str) -> None:
        """Wake the reads that wait for new results of a job."""
        change_event = self._change_events_by_job_id.pop(job_id, None)
        if change_event is not None:
            change_event.set()

    async def page(
        self,
        job_id: str,
        start_position: int,
        wait_s: float,
        max_bytes: int,
        reader_tenant: str | None,
    ) -> ResultPage | None:
        """Return the results from ``start_position`` on, waiting up to ``wait_s`` for the first.

        Returns ``None`` if the job does not exist or is not visible to ``reader_tenant``. Raises
        ``StoreError`` if the store cannot be read.
        """
        cached = self._read_cached_page(job_id, start_position, max_bytes, reader_tenant)
        if cached is not None:
            return cached
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_s
        change_event = self._change_events_by_job_id.setdefault(job_id, asyncio.Event())
        found = await self._repository.load_head(job_id)
        if found is None:
            return await self._page_without_head_row(job_id, start_position, reader_tenant)
        head = found[0]
        if not is_visible_to_tenant(reader_tenant, head):
            return None
        if head.listed <= start_position and head.is_open and wait_s > 0:
            try:
                async with asyncio.timeout_at(deadline_s):
                    await change_event.wait()
            except TimeoutError:
                pass
            found = await self._repository.load_head(job_id)
            if found is None:
                return None
            head = found[0]
        return await self._read_page(head, start_position, max_bytes)

    async def item_body(self, job_id: str, item_id: str, reader_tenant: str | None) -> bytes | None:
        """Return an item's body, or ``None`` if it does not exist or its job is not visible."""
        items = await self._load_visible_items(job_id, reader_tenant)
        return next((item.body for item in items if item.item_id == item_id), None)

    async def load_or_build_head(self, job_id: str) -> tuple[JobHead, int] | None:
        """Return a job's head and its version, or ``None`` if there is no such job.

        For a job without a head row, the head is built from a fallback object and the version is
        ``ABSENT``.
        """
        found = await self._repository.load_head(job_id)
        if found is not None:
            return found
        stored_object = await self._repository.load_fallback_submission(job_id)
        if stored_object is None:
            return None
        name, stored = stored_object
        items = self._parse_document(stored.document)
        head = JobHead(
            job_id=job_id,
            host=stored.host,
            path=stored.path,
            total=len(items),
            waiting_tokens=sum(item.tokens for item in items),
            accepted_ms=stored.accepted_ms,
            owner="",
            write_id=new_write_id(),
            object_name=name,
            tenant=stored.tenant,
        )
        return head, ABSENT

    async def load_items(self, head: JobHead) -> tuple[JobItem, ...] | None:
        """Return the items of a job, or ``None`` if its document has been deleted."""
        document = await self._repository.load_document(head)
        return self._parse_document(document) if document is not None else None

    def _read_cached_page(
        self, job_id: str, start_position: int, max_bytes: int, reader_tenant: str | None
    ) -> ResultPage | None:
        head = self._find_cached_head(job_id)
        if head is None or not is_visible_to_tenant(reader_tenant, head):
            return None
        results = self._cache.contiguous_from(job_id, start_position, max_bytes)
        if not results:
            return None
        return ResultPage(head.total, start_position + len(results), results)

    async def _read_page(self, head: JobHead, start_position: int, max_bytes: int) -> ResultPage:
        if head.listed <= start_position:
            return ResultPage(head.total, start_position, [])
        positioned_results = await self._repository.load_results(head, start_position, max_bytes)
        for position, result in positioned_results:
            self._cache.put(head.job_id, position, result)
        return ResultPage(
            head.total,
            start_position + len(positioned_results),
            [result for _, result in positioned_results],
        )

    async def _page_without_head_row(
        self, job_id: str, start_position: int, reader_tenant: str | None
    ) -> ResultPage | None:
        """Return a page of a job whose head row was not found.

        The page has no results, unless the row has appeared since. Then it has at most one result,
        because ``max_bytes`` is 1.
        """
        running = self._find_running_job(job_id)
        if running is not None:
            head = running[0]
            return (
                ResultPage(head.total, start_position, [])
                if is_visible_to_tenant(reader_tenant, head)
                else None
            )
        found = await self.load_or_build_head(job_id)
        if found is None or not is_visible_to_tenant(reader_tenant, found[0]):
            return None
        return await self._read_page(found[0], start_position, 1)

    async def _load_visible_items(
        self, job_id: str, reader_tenant: str | None
    ) -> tuple[JobItem, ...]:
        running = self._find_running_job(job_id)
        if running is not None:
            return running[1] if is_visible_to_tenant(reader_tenant, running[0]) else ()
        cached_head = self._find_cached_head(job_id)
        cached = self._items_by_job_id.get(job_id)
        if cached is not None and cached_head is not None:
            return cached if is_visible_to_tenant(reader_tenant, cached_head) else ()
        found = await self.load_or_build_head(job_id)
        if found is None or not is_visible_to_tenant(reader_tenant, found[0]):
            return ()
        items = await self.load_items(found[0])
        if items is None:
            return ()
        self._items_by_job_id[job_id] = items
        while len(self._items_by_job_id) > MAX_CACHED_ITEM_LISTS:
            self._items_by_job_id.popitem(last=False)
        return items
