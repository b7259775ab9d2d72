"""Acceptance of batch jobs: durable before the acknowledgement, the same job when resent.

The items are streamed into objects range by range, so memory holds one range whatever the size of
the job. The job counts from one conditional write of its row; until then its objects are unknown to
everybody and are removed on a failure.
"""

from __future__ import annotations

import hashlib
import logging
import threading
import time
import uuid
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import orjson

from mountstand.batch.lines import ReadLine
from mountstand.batch.model import (
    FIRST_RANGE_ITEMS,
    MAX_ITEM_BYTES,
    MAX_JOB_ITEMS,
    MAX_RANGE_BYTES,
    MAX_RANGE_ITEMS,
    NOT_REPEATABLE_RANGE_ITEMS,
    InputIndex,
    JobRecord,
    RangeInfo,
    index_object,
    input_object,
    job_key,
    job_row,
    open_row,
    shard_of,
)
from mountstand.errors import (
    BatchBusy,
    BodyTooLarge,
    Executed,
    JobConflict,
    MalformedRequest,
    MountstandError,
    StoreUnavailable,
    UnknownModel,
    WriteConflict,
    WriteOutcomeUnknown,
)
from mountstand.store.ports import (
    ABSENT,
    Condition,
    ObjectPort,
    Put,
    Row,
    TablePort,
    Transaction,
)

logger = logging.getLogger(__name__)

CONCURRENT_UPLOADS = 16
"""Jobs being read at once; each holds at most one range (1 MiB) and one item (1 MiB)."""

RESOLVE_TRIES = 4
RESOLVE_PAUSE_S = 0.25


@dataclass(frozen=True)
class JobSubmission:
    """What a caller says of a job besides its items."""

    tenant: str
    job_id: str
    priority: int
    due_time_s: float
    repeatable: bool
    max_attempts: int


@dataclass
class Upload:
    """The objects written for one submission."""

    upload_id: str
    write_objects: bool
    content: hashlib._Hash
    ranges: list[RangeInfo] = field(default_factory=list)
    item_count: int = 0
    service: str = ""
    lines: list[bytes] = field(default_factory=list)
    lines_bytes: int = 0


class JobAcceptor:
    """Accepts jobs on one daemon; thread-safe."""

    def __init__(
        self,
        table: TablePort,
        objects: ObjectPort,
        shards: int,
        models: Callable[[], dict[str, str]],
    ) -> None:
        self._table = table
        self._objects = objects
        self._shards = shards
        self._models = models
        self._uploads = threading.BoundedSemaphore(CONCURRENT_UPLOADS)

    def accept(self, submission: JobSubmission, read_line: ReadLine) -> tuple[JobRecord, bool]:
        """Accept a job; return its record and whether it is new.

        Raises
        ------
        JobConflict
            A job with this id has other content.
        BatchBusy
            Too many jobs are being read; nothing was accepted.
        StoreUnavailable
            The store is down; ``executed`` says whether the job may have been accepted.
        """
        if not self._uploads.acquire(blocking=False):
            raise BatchBusy()
        try:
            return self._accept(submission, read_line)
        finally:
            self._uploads.release()

    def _accept(self, submission: JobSubmission, read_line: ReadLine) -> tuple[JobRecord, bool]:
        key = job_key(submission.tenant, submission.job_id)
        existing = self._read_job(key)
        upload = self._read_items(submission, read_line, write_objects=existing is None)
        if existing is not None:
            return same_job(existing, upload), False
        record = build_record(submission, upload)
        try:
            row = self._insert(key, record)
        except MountstandError as error:
            if error.executed is Executed.NO:
                self._discard(upload)
            raise
        if row is None:
            return record, True
        if row.value["upload_id"] == upload.upload_id:
            return JobRecord.model_validate(row.value), True
        self._discard(upload)
        return same_job(JobRecord.model_validate(row.value), upload), False

    def _read_job(self, key: str) -> JobRecord | None:
        row = self._table.read(job_row(key)).row(job_row(key))
        return JobRecord.model_validate(row.value) if row else None

    def _insert(self, key: str, record: JobRecord) -> Row | None:
        """Write the job's row; return ``None`` when it is new, else the row that is there."""
        value = record.model_dump(mode="json")
        insertion = Transaction(
            write_id=record.upload_id,
            conditions=[Condition(key=job_row(key), version=ABSENT)],
            puts=[
                Put(key=job_row(key), value=value),
                Put(key=open_row(shard_of(key, self._shards), key), value={"key": key}),
            ],
        )
        maybe_written = False
        for _ in range(RESOLVE_TRIES):
            try:
                self._table.commit(insertion)
                return None
            except WriteConflict:
                return self._row_or_retry(key)
            except WriteOutcomeUnknown:
                maybe_written = True
            except StoreUnavailable:
                if not maybe_written:
                    raise
            time.sleep(RESOLVE_PAUSE_S)
        raise WriteOutcomeUnknown("the job may have been accepted; send it again to find out")

    def _row_or_retry(self, key: str) -> Row:
        """Return the row that a conflict told of."""
        for _ in range(RESOLVE_TRIES):
            try:
                row = self._table.read(job_row(key)).row(job_row(key))
            except StoreUnavailable:
                time.sleep(RESOLVE_PAUSE_S)
                continue
            if row is not None:
                return row
        raise WriteOutcomeUnknown("the job may have been accepted; send it again to find out")

    def _read_items(
        self, submission: JobSubmission, read_line: ReadLine, *, write_objects: bool
    ) -> Upload:
        upload = Upload(uuid.uuid4().hex, write_objects, hashlib.sha256())
        upload.content.update(b"repeatable" if submission.repeatable else b"once")
        try:
            for line in iterate_lines(read_line):
                self._add_item(submission, upload, line)
            if not upload.item_count:
                raise MalformedRequest("the job has no items")
            self._close_range(upload)
            if write_objects:
                index = InputIndex(ranges=upload.ranges)
                self._objects.put(index_object(upload.upload_id), index.model_dump_json().encode())
        except MountstandError:
            self._discard(upload)
            raise
        return upload

    def _add_item(self, submission: JobSubmission, upload: Upload, line: bytes) -> None:
        number = upload.item_count
        if number >= MAX_JOB_ITEMS:
            raise BodyTooLarge(f"a job may have {MAX_JOB_ITEMS} items")
        service = self._check_item(line, number)
        if upload.service and service != upload.service:
            raise MalformedRequest(f"item {number}: all items must use one service")
        upload.service = service
        upload.content.update(line + b"\n")
        upload.lines.append(line)
        upload.lines_bytes += len(line)
        upload.item_count += 1
        limit = range_limit(len(upload.ranges), repeatable=submission.repeatable)
        if len(upload.lines) >= limit or upload.lines_bytes >= MAX_RANGE_BYTES:
            self._close_range(upload)

    def _check_item(self, line: bytes, number: int) -> str:
        try:
            item = orjson.loads(line)
            body = item["body"]
            model = body["model"]
            has_prompt = isinstance(body.get("prompt", body.get("messages")), str | list)
        except (ValueError, KeyError, TypeError, AttributeError):
            raise MalformedRequest(
                f"item {number}: must be a JSON object with body.model and body.prompt or"
                " body.messages"
            ) from None
        if not has_prompt:
            raise MalformedRequest(f"item {number}: body.prompt or body.messages is missing")
        models = self._models()
        if model not in models:
            raise UnknownModel(f"item {number}: {model}")
        return models[model]

    def _close_range(self, upload: Upload) -> None:
        if not upload.lines:
            return
        if upload.write_objects:
            name = input_object(upload.upload_id, len(upload.ranges))
            self._objects.put(name, b"\n".join(upload.lines))
        first_item = upload.item_count - len(upload.lines)
        upload.ranges.append(RangeInfo(first_item=first_item, item_count=len(upload.lines)))
        upload.lines = []
        upload.lines_bytes = 0

    def _discard(self, upload: Upload) -> None:
        """Remove the objects of a submission that was not accepted; best effort."""
        if not upload.write_objects:
            return
        names = [input_object(upload.upload_id, index) for index in range(len(upload.ranges))]
        try:
            for name in [*names, index_object(upload.upload_id)]:
                self._objects.delete(name)
        except MountstandError:
            logger.info("objects of a refused job remain", extra={"upload": upload.upload_id})


def iterate_lines(read_line: ReadLine) -> Iterator[bytes]:
    """Yield the lines that are not blank, each at most ``MAX_ITEM_BYTES`` long."""
    while True:
        line = read_line(MAX_ITEM_BYTES + 1)
        if not line:
            return
        if len(line) > MAX_ITEM_BYTES:
            raise BodyTooLarge(f"an item may have {MAX_ITEM_BYTES} bytes")
        stripped = line.strip()
        if stripped:
            yield stripped


def range_limit(range_index: int, *, repeatable: bool) -> int:
    """Return how many items range number ``range_index`` may hold."""
    if not repeatable:
        return NOT_REPEATABLE_RANGE_ITEMS
    # The shift is bounded because ranges stop doubling after a few.
    return min(MAX_RANGE_ITEMS, FIRST_RANGE_ITEMS << min(range_index, 8))


def build_record(submission: JobSubmission, upload: Upload) -> JobRecord:
    """Return the record of a new job."""
    return JobRecord(
        tenant=submission.tenant,
        job_id=submission.job_id,
        service=upload.service,
        content_hash=upload.content.hexdigest(),
        upload_id=upload.upload_id,
        item_count=upload.item_count,
        range_count=len(upload.ranges),
        priority=submission.priority,
        due_time_s=submission.due_time_s,
        repeatable=submission.repeatable,
        max_attempts=submission.max_attempts,
        created_s=time.time(),
    )


def same_job(record: JobRecord, upload: Upload) -> JobRecord:
    """Return ``record`` if the submission has its content, else raise ``JobConflict``."""
    if record.content_hash != upload.content.hexdigest():
        raise JobConflict(f"job {record.job_id}")
    return record
