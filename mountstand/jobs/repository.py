"""Reads and writes batch jobs in the row store.

All rows of a job are in one partition, so that a single transaction can cover them: the head is in
``HEADS_TABLE``, the submitted document in ``DOCUMENTS_TABLE``, the results in ``RESULTS_TABLE`` and
the progress of unfinished items in ``PROGRESS_TABLE``. Documents and results are split into chunks
that fit the store's row size. A result becomes visible at its position only when the head that
counts it is committed.
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
"""Number of partitions that jobs are spread over.

The store limits the write rate of each partition, so there must be enough of them to use the rate
of the whole store: sixteen exceed it on known deployments. Each partition costs one read when a
daemon starts.
"""

MAX_WRITE_ROWS = 45
MAX_WRITE_BYTES = 600_000
"""Limits of one transaction, below the store's 100 entries and 1 MB in base64.

Each row written may come with the removal of another, and the head adds one more row.
"""

FALLBACK_OBJECT_PREFIX = "accepted/"
FALLBACK_OBJECT_COPIES = 3
"""Number of fallback objects that may be written for a job, each under its own name.

A partial outage of the object store affects only some names, so at least one of them is usually
writable.
"""

BASE64_PAYLOAD_RATIO = 3 / 4


def partition_names() -> list[str]:
    """Return the names of all partitions."""
    return [f"p{number:02d}" for number in range(PARTITION_COUNT)]


def partition_of(job_id: str) -> str:
    """Return the partition that holds a job's rows."""
    return f"p{zlib.crc32(job_id.encode()) % PARTITION_COUNT:02d}"


def new_write_id() -> str:
    """Return a random id that identifies one write."""
    return secrets.token_hex(6)


class JobRepository:
    """Stores batch jobs in the row store, and in objects where rows cannot hold them.

    *Fallback objects* are copies of a whole submission, written if the job's partition of the row
    store rejects the write or does not answer in time. A job stored only in fallback objects has no
    head row until its head is first updated. A *document object* holds a document that is too large
    for one transaction; its job has a head row.

    ``row_bytes`` limits the base64 form of a row's value.

    Raises the errors of :mod:`mountstand.store.rows`.
    """

    def __init__(self, rows: RowStore, objects: ObjectStore, row_bytes: int) -> None:
        self.rows = rows
        self._objects = objects
        self._chunk_bytes = int(row_bytes * BASE64_PAYLOAD_RATIO)

    # Reading

    async def load_head(self, job_id: str) -> tuple[JobHead, int] | None:
        """Return a job's head and its version, or ``None`` if the job has no head row."""
        page = await self.rows.read(HEADS_TABLE, partition_of(job_id), job_id, job_id + "\x00", 1)
        if not page.rows or page.rows[0].value is None:
            return None
        row = page.rows[0]
        assert row.value is not None
        return decode_head(job_id, row.value), row.version

    async def load_fallback_submission(self, job_id: str) -> tuple[str, StoredSubmission] | None:
        """Return a job's first readable fallback object, as name and submission, or ``None``."""
        for copy_index in range(FALLBACK_OBJECT_COPIES):
            name = fallback_object_name(job_id, copy_index)
            value = await self._objects.get_object(name)
            if value is not None:
                return name, decode_submission(value)
        return None

    async def list_fallback_object_job_ids(self) -> list[str]:
        """Return the sorted ids of the jobs that have fallback objects."""
        names = await self._objects.list_objects(FALLBACK_OBJECT_PREFIX)
        return sorted({name.split("/", 2)[2] for name in names})

    async def load_document(self, head: JobHead) -> bytes | None:
        """Return the submitted document, or ``None`` if it has been deleted."""
        if head.object_name:
            value = await self._objects.get_object(head.object_name)
            return decode_submission(value).document if value is not None else None
        first, end = _key_range(head.job_id)
        page = await read_all(self.rows, DOCUMENTS_TABLE, partition_of(head.job_id), first, end)
        chunks = [row.value for row in page.rows if row.value is not None]
        return zlib.decompress(b"".join(chunks)) if chunks else None

    async def load_results(
        self, head: JobHead, start_position: int, max_bytes: int
    ) -> list[tuple[int, ItemResult]]:
        """Return positions and results from ``start_position`` on, up to ``max_bytes``.

        If ``start_position`` is below ``head.listed``, returns at least one result, whatever its
        size.
        """
        job_id = head.job_id
        first = f"{job_id}/{start_position:06d}/"
        end = f"{job_id}/{head.listed:06d}/"
        page = await self.rows.read(RESULTS_TABLE, partition_of(job_id), first, end)
        chunks_by_position: dict[int, list[bytes]] = {}
        for row in page.rows:
            position = int(row.key.key.split("/")[-2])
            chunks_by_position.setdefault(position, []).append(row.value or b"")
        if page.more and len(chunks_by_position) > 1:
            # The last result of a truncated page may be incomplete.
            chunks_by_position.popitem()
        elif page.more:
            # A single result is larger than a page: read all of its rows.
            rest = await read_all(
                self.rows,
                RESULTS_TABLE,
                partition_of(job_id),
                first,
                f"{job_id}/{start_position + 1:06d}/",
            )
            chunks_by_position = {start_position: [row.value or b"" for row in rest.rows]}
        return _decode_consecutive(chunks_by_position, start_position, max_bytes)

    # Writing

    async def create(self, submission: JobSubmission, head: JobHead) -> int:
        """Store a new job and return its version.

        Raises ``Conflict`` if the job already exists.
        """
        compressed = zlib.compress(submission.document, 1)
        job_partition = partition_of(head.job_id)
        transaction = Transaction(conditions=[(self._head_key(head.job_id), ABSENT)])
        if len(compressed) > MAX_WRITE_BYTES:
            # The name lies outside FALLBACK_OBJECT_PREFIX: a document object alone is not an
            # accepted job, so the scan for fallback objects must not find it.
            name = f"{head.job_id}-{head.write_id}"
            value = encode_submission(submission, head.accepted_ms)
            await self._objects.put_object(name, value)
            head = replace(head, object_name=name)
        else:
            for number, chunk in enumerate(self._split_into_chunks(compressed)):
                key = RowKey(DOCUMENTS_TABLE, job_partition, f"{head.job_id}/{number:04d}")
                transaction.puts.append((key, chunk))
        transaction.puts.append((self._head_key(head.job_id), head.encode()))
        return await self.rows.commit(transaction)

    async def put_fallback_object(
        self, submission: JobSubmission, copy_index: int, accepted_ms: int
    ) -> str:
        """Write one fallback object of a new job and return the object's name.

        The job is accepted as soon as the object is stored. The first update of its head creates
        the head row.
        """
        name = fallback_object_name(submission.job_id, copy_index)
        await self._objects.put_object(name, encode_submission(submission, accepted_ms))
        return name

    def fits_in_row(self, progress: SavedProgress) -> bool:
        """Return whether an item's progress fits in a row."""
        return len(encode_progress(progress)) <= self._chunk_bytes

    async def save_progress(
        self, head: JobHead, version: int, progress: list[SavedProgress]
    ) -> set[int]:
        """Save the progress of unfinished items, and return the indexes of those that were saved.

        Raises ``Conflict`` if the head is no longer at ``version``, so only the owner can save.
        Skips items whose progress does not fit in a row, and all items after the total size,
        including that of skipped items, exceeds ``MAX_WRITE_BYTES``.
        """
        condition = (self._head_key(head.job_id), version)
        puts: list[tuple[RowKey, bytes]] = []
        written: set[int] = set()
        size = 0
        for item in progress:
            value = encode_progress(item)
            size += len(value)
            if len(value) > self._chunk_bytes or size > MAX_WRITE_BYTES:
                continue
            puts.append((self._progress_key(head.job_id, item.index), value))
            written.add(item.index)
        for start in range(0, len(puts), MAX_WRITE_ROWS):
            batch = puts[start : start + MAX_WRITE_ROWS]
            await self.rows.commit(Transaction(conditions=[condition], puts=batch))
        return written

    async def load_progress(self, head: JobHead) -> list[SavedProgress]:
        """Return the saved progress of the items that are not listed."""
        first, end = _key_range(head.job_id)
        page = await read_all(self.rows, PROGRESS_TABLE, partition_of(head.job_id), first, end)
        found = [decode_progress(row.value) for row in page.rows if row.value is not None]
        return [item for item in found if not head.is_listed(item.index)]

    async def update_head(
        self,
        head: JobHead,
        version: int,
        results: list[ItemResult] | None = None,
        indices_with_progress: set[int] | None = None,
    ) -> int:
        """Write ``head`` if the stored head is still at ``version``, and append ``results``.

        The version ``ABSENT`` creates the head row, provided that none exists.

        ``head`` already counts ``results``. ``indices_with_progress`` are the items with saved
        progress; the same transaction deletes the progress of those in ``results``. Returns the
        new version. Raises ``Conflict`` if the head is no longer at ``version``.
        """
        job_partition = partition_of(head.job_id)
        transaction = Transaction(conditions=[(self._head_key(head.job_id), version)])
        position = head.listed - len(results or [])
        for result in results or []:
            for number, chunk in enumerate(self._split_into_chunks(encode_result(result))):
                key = RowKey(
                    RESULTS_TABLE, job_partition, f"{head.job_id}/{position:06d}/{number:04d}"
                )
                transaction.puts.append((key, chunk))
            position += 1
            if indices_with_progress and result.index in indices_with_progress:
                transaction.removals.append(self._progress_key(head.job_id, result.index))
        transaction.puts.append((self._head_key(head.job_id), head.encode()))
        return await self.rows.commit(transaction)

    async def delete_document(self, head: JobHead) -> None:
        """Delete a job's document: its rows, or all objects if ``head.object_name`` is set."""
        if not head.object_name:
            await self._delete_range(DOCUMENTS_TABLE, head.job_id)
            return
        await self._objects.drop_object(head.object_name)
        for copy_index in range(FALLBACK_OBJECT_COPIES):
            await self._objects.drop_object(fallback_object_name(head.job_id, copy_index))

    async def delete(self, head: JobHead, version: int) -> None:
        """Delete the document, results, progress and head of a job.

        The head is deleted last, so that an interrupted deletion can be repeated.
        """
        await self.delete_document(head)
        await self._delete_range(RESULTS_TABLE, head.job_id)
        await self._delete_range(PROGRESS_TABLE, head.job_id)
        key = self._head_key(head.job_id)
        await self.rows.commit(Transaction(conditions=[(key, version)], removals=[key]))

    def fits_in_one_write(self, results: list[ItemResult], result: ItemResult) -> bool:
        """Return whether ``result`` can be written in one transaction with ``results``.

        The first result always fits.
        """
        sizes = [len(encode_result(each)) for each in [*results, result]]
        rows = sum(size // self._chunk_bytes + 1 for size in sizes)
        return not results or (rows <= MAX_WRITE_ROWS and sum(sizes) <= MAX_WRITE_BYTES)

    def _split_into_chunks(self, value: bytes) -> list[bytes]:
        size = self._chunk_bytes
        return [value[start : start + size] for start in range(0, max(1, len(value)), size)]

    def _progress_key(self, job_id: str, index: int) -> RowKey:
        return RowKey(PROGRESS_TABLE, partition_of(job_id), f"{job_id}/{index:06d}")

    def _head_key(self, job_id: str) -> RowKey:
        return RowKey(HEADS_TABLE, partition_of(job_id), job_id)

    async def _delete_range(self, table: str, job_id: str) -> None:
        first, end = _key_range(job_id)
        page = await read_all(self.rows, table, partition_of(job_id), first, end)
        keys = [row.key for row in page.rows]
        for start in range(0, len(keys), MAX_WRITE_ROWS):
            await self.rows.commit(Transaction(removals=keys[start : start + MAX_WRITE_ROWS]))


def fallback_object_name(job_id: str, copy_index: int) -> str:
    """Return the name of one of a job's fallback objects.

    The hash differs between copies and comes early in the name, because an object store may place
    objects by name prefix.
    """
    hash_prefix = hashlib.blake2b(f"{job_id}/{copy_index}".encode(), digest_size=4).hexdigest()
    return f"{FALLBACK_OBJECT_PREFIX}{hash_prefix}/{job_id}"


def _key_range(job_id: str) -> tuple[str, str]:
    """Return the half-open range of the keys that start with ``job_id`` and a slash.

    The character after the slash in ASCII is 0.
    """
    return f"{job_id}/", f"{job_id}0"


def _decode_consecutive(
    chunks_by_position: dict[int, list[bytes]], start_position: int, max_bytes: int
) -> list[tuple[int, ItemResult]]:
    """Decode results from ``start_position`` on, up to the first gap or ``max_bytes``."""
    found: list[tuple[int, ItemResult]] = []
    size = 0
    for position in sorted(chunks_by_position):
        value = b"".join(chunks_by_position[position])
        size += len(value)
        if found and size > max_bytes:
            break
        if position != start_position + len(found):
            break
        found.append((position, decode_result(value)))
    return found
