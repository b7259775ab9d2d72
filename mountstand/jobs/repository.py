"""Reads and writes batch jobs in the row store.

A job's rows share one part, so that a transaction can cover them: its head in ``HEADS_TABLE``, the
submitted document in ``DOCUMENTS_TABLE`` and the results in ``RESULTS_TABLE``, cut to the store's row size. A
result is at a position once the head that counts it is committed, never before.
"""

from __future__ import annotations

import hashlib
import secrets
import zlib
from dataclasses import replace

from mountstand.jobs.model import (
    ItemResult,
    JobHead,
    JobSubmission,
    SavedProgress,
    StoredSubmission,
    decode_head,
    decode_progress,
    decode_result,
    decode_submission,
    encode_progress,
    encode_result,
    encode_submission,
)
from mountstand.store.rows import (
    ABSENT,
    ObjectStore,
    RowKey,
    RowStore,
    Transaction,
    read_all,
)

HEADS_TABLE = "jobs"
DOCUMENTS_TABLE = "job_documents"
RESULTS_TABLE = "job_results"
PROGRESS_TABLE = "job_progress"

PARTITION_COUNT = 16
"""Parts that jobs are spread over. A part takes a limited rate of writes; sixteen of them pass
the rate of the whole store on the deployments known, and a start reads each once."""

MAX_WRITE_ROWS = 45
MAX_WRITE_BYTES = 600_000
"""Bounds of one transaction, below the store's 100 entries and 1 MB in base64. A row written may
bring the removal of another, and the head is one more."""

JOB_OBJECT_PREFIX = "accepted/"
MAX_JOB_OBJECT_COPIES = 3
"""Names under which a job may be kept as an object while its part of the rows takes no writes. A
store that is down in part serves some names; with three, one of them nearly always."""

BASE64_PAYLOAD_RATIO = 3 / 4


def partition_names() -> list[str]:
    """Return the names of all parts."""
    return [f"p{number:02d}" for number in range(PARTITION_COUNT)]


def partition_of(job_id: str) -> str:
    """Return the part that holds a job's rows."""
    return f"p{zlib.crc32(job_id.encode()) % PARTITION_COUNT:02d}"


def new_write_id() -> str:
    """Return a name for one write, unlike any other."""
    return secrets.token_hex(6)


class JobRepository:
    """Batch jobs in the row store; errors are those of :mod:`mountstand.store.rows`."""

    def __init__(self, rows: RowStore, objects: ObjectStore, row_bytes: int) -> None:
        self.rows = rows
        self._objects = objects
        self._piece_bytes = int(row_bytes * BASE64_PAYLOAD_RATIO)

    # Reading

    async def load_head(self, job_id: str) -> tuple[JobHead, int] | None:
        """Return a job's head and its version, or ``None`` if the store has no such job."""
        page = await self.rows.read(HEADS_TABLE, partition_of(job_id), job_id, job_id + "\x00", 1)
        if not page.rows or page.rows[0].value is None:
            return None
        row = page.rows[0]
        assert row.value is not None
        return decode_head(job_id, row.value), row.version

    async def load_object_submission(self, job_id: str) -> tuple[str, StoredSubmission] | None:
        """Return the submission of a job that is kept as an object, if any, and its name."""
        for number in range(MAX_JOB_OBJECT_COPIES):
            name = job_object_name(job_id, number)
            value = await self._objects.get_object(name)
            if value is not None:
                return name, decode_submission(value)
        return None

    async def list_object_job_ids(self) -> list[str]:
        """Return the ids of jobs that were kept as objects."""
        names = await self._objects.list_objects(JOB_OBJECT_PREFIX)
        return sorted({name.split("/", 2)[2] for name in names})

    async def document(self, head: JobHead) -> bytes | None:
        """Return the submitted document, or ``None`` once it is dropped."""
        if head.object_name:
            value = await self._objects.get_object(head.object_name)
            return decode_submission(value).document if value is not None else None
        first, end = _range_of(head.job_id)
        page = await read_all(self.rows, DOCUMENTS_TABLE, partition_of(head.job_id), first, end)
        chunks = [row.value for row in page.rows if row.value is not None]
        return zlib.decompress(b"".join(chunks)) if chunks else None

    async def results(
        self, head: JobHead, after: int, max_bytes: int
    ) -> list[tuple[int, ItemResult]]:
        """Return listed results from position ``after`` on, one at least, up to ``max_bytes``."""
        job_id = head.job_id
        first = f"{job_id}/{after:06d}/"
        end = f"{job_id}/{head.listed:06d}/"
        page = await self.rows.read(RESULTS_TABLE, partition_of(job_id), first, end)
        chunks: dict[int, list[bytes]] = {}
        for row in page.rows:
            position = int(row.key.key.split("/")[-2])
            chunks.setdefault(position, []).append(row.value or b"")
        if page.more and len(chunks) > 1:
            chunks.popitem()
        elif page.more:
            rest = await read_all(
                self.rows, RESULTS_TABLE, partition_of(job_id), first, f"{job_id}/{after + 1:06d}/"
            )
            chunks = {after: [row.value or b"" for row in rest.rows]}
        return _within(chunks, after, max_bytes)

    # Writing

    async def submit(self, submission: JobSubmission, head: JobHead) -> int:
        """Store a new job; returns its version. Raises ``Conflict`` if there is one already."""
        packed = zlib.compress(submission.document, 1)
        part = partition_of(head.job_id)
        transaction = Transaction(conditions=[(self._head_key(head.job_id), ABSENT)])
        if len(packed) > MAX_WRITE_BYTES:
            name = f"{head.job_id}-{head.write_id}"
            value = encode_submission(submission, head.accepted_ms)
            await self._objects.put_object(name, value)
            head = replace(head, object_name=name)
        else:
            for number, chunk in enumerate(self._pieces(packed)):
                key = RowKey(DOCUMENTS_TABLE, part, f"{head.job_id}/{number:04d}")
                transaction.puts.append((key, chunk))
        transaction.puts.append((self._head_key(head.job_id), head.encode()))
        return await self.rows.commit(transaction)

    async def submit_object(self, submission: JobSubmission, number: int, accepted_ms: int) -> str:
        """Keep a new job as an object under one of its names; returns the name.

        The object alone makes the job accepted; its head row follows with the first change of it.
        """
        name = job_object_name(submission.job_id, number)
        await self._objects.put_object(name, encode_submission(submission, accepted_ms))
        return name

    async def save_progress(
        self, head: JobHead, version: int, progress: list[SavedProgress]
    ) -> None:
        """Keep what items have so far; only the owner of ``version`` can."""
        condition = (self._head_key(head.job_id), version)
        transaction = Transaction(conditions=[condition])
        size = 0
        for item in progress:
            value = encode_progress(item)
            size += len(value)
            if len(value) > self._piece_bytes or size > MAX_WRITE_BYTES:
                continue
            transaction.puts.append((self._progress_key(head.job_id, item.index), value))
        for start in range(0, len(transaction.puts), MAX_WRITE_ROWS):
            puts = transaction.puts[start : start + MAX_WRITE_ROWS]
            await self.rows.commit(Transaction(conditions=[condition], puts=puts))

    async def progress(self, head: JobHead) -> list[SavedProgress]:
        """Return what is kept of items that have not ended."""
        first, end = _range_of(head.job_id)
        page = await read_all(self.rows, PROGRESS_TABLE, partition_of(head.job_id), first, end)
        found = [decode_progress(row.value) for row in page.rows if row.value is not None]
        return [item for item in found if not head.is_listed(item.index)]

    async def update_head(
        self,
        head: JobHead,
        version: int,
        results: list[ItemResult] | None = None,
        saved: set[int] | None = None,
    ) -> int:
        """Write a head that replaces ``version``, with results behind the listed ones.

        ``saved`` are items whose progress is kept; that of those listed is dropped.
        """
        part = partition_of(head.job_id)
        transaction = Transaction(conditions=[(self._head_key(head.job_id), version)])
        position = head.listed - len(results or [])
        for result in results or []:
            for number, chunk in enumerate(self._pieces(encode_result(result))):
                key = RowKey(RESULTS_TABLE, part, f"{head.job_id}/{position:06d}/{number:04d}")
                transaction.puts.append((key, chunk))
            position += 1
            if saved and result.index in saved:
                transaction.removals.append(self._progress_key(head.job_id, result.index))
        transaction.puts.append((self._head_key(head.job_id), head.encode()))
        return await self.rows.commit(transaction)

    async def delete_document(self, head: JobHead) -> None:
        """Drop the document of a job that needs it no longer."""
        if not head.object_name:
            await self._drop_range(DOCUMENTS_TABLE, head.job_id)
            return
        await self._objects.drop_object(head.object_name)
        for number in range(MAX_JOB_OBJECT_COPIES):
            await self._objects.drop_object(job_object_name(head.job_id, number))

    async def delete(self, head: JobHead, version: int) -> None:
        """Drop everything of a job; its head goes last."""
        await self.delete_document(head)
        await self._drop_range(RESULTS_TABLE, head.job_id)
        await self._drop_range(PROGRESS_TABLE, head.job_id)
        key = self._head_key(head.job_id)
        await self.rows.commit(Transaction(conditions=[(key, version)], removals=[key]))

    def fits_in_one_write(self, results: list[ItemResult], result: ItemResult) -> bool:
        """Return whether ``result`` may join ``results`` in one write."""
        sizes = [len(encode_result(each)) for each in [*results, result]]
        rows = sum(size // self._piece_bytes + 1 for size in sizes)
        return not results or (rows <= MAX_WRITE_ROWS and sum(sizes) <= MAX_WRITE_BYTES)

    def _pieces(self, value: bytes) -> list[bytes]:
        size = self._piece_bytes
        return [value[start : start + size] for start in range(0, max(1, len(value)), size)]

    def _progress_key(self, job_id: str, index: int) -> RowKey:
        return RowKey(PROGRESS_TABLE, partition_of(job_id), f"{job_id}/{index:06d}")

    def _head_key(self, job_id: str) -> RowKey:
        return RowKey(HEADS_TABLE, partition_of(job_id), job_id)

    async def _drop_range(self, table: str, job_id: str) -> None:
        first, end = _range_of(job_id)
        page = await read_all(self.rows, table, partition_of(job_id), first, end)
        keys = [row.key for row in page.rows]
        for start in range(0, len(keys), MAX_WRITE_ROWS):
            await self.rows.commit(Transaction(removals=keys[start : start + MAX_WRITE_ROWS]))


def job_object_name(job_id: str, number: int) -> str:
    """Return one of the names under which a job may be kept as an object.

    The names differ from their first letters on, since a store may place objects by those.
    """
    spread = hashlib.blake2b(f"{job_id}/{number}".encode(), digest_size=4).hexdigest()
    return f"{JOB_OBJECT_PREFIX}{spread}/{job_id}"


def _range_of(job_id: str) -> tuple[str, str]:
    """Return the range of keys below a job: from its slash to the character after it."""
    return f"{job_id}/", f"{job_id}0"


def _within(
    chunks: dict[int, list[bytes]], after: int, max_bytes: int
) -> list[tuple[int, ItemResult]]:
    found: list[tuple[int, ItemResult]] = []
    size = 0
    for position in sorted(chunks):
        value = b"".join(chunks[position])
        size += len(value)
        if found and size > max_bytes:
            break
        if position != after + len(found):
            break
        found.append((position, decode_result(value)))
    return found
