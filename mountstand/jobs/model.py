"""Immutable value types for batch jobs, their items and results, and their stored encodings."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, replace
from enum import Enum

import orjson

from mountstand.serving.prompt import EMPTY_PROMPT, Prompt
from mountstand.transport.headers import Header

SOFTWARE_KEY_BYTES = 4
"""Bytes of :func:`mountstand.serving.software.software_key` in a row."""


class ItemState(Enum):
    """Final state of an item."""

    COMPLETED = "completed"
    FAILED = "failed"


@dataclass(frozen=True)
class JobItem:
    """One item of a job: an inference request to be sent to a worker.

    Attributes:
        target: HTTP request target; it selects the item's route and is sent to the worker.
        prompt: Parts of the prompt, as the caller declared them in a header of the item.
        tokens: Tokens that the caller declared for the item. They count towards the tenant's quota
            of waiting tokens on the route until the item is listed.
    """

    item_id: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    prompt: Prompt = EMPTY_PROMPT
    tokens: int = 0


@dataclass(frozen=True)
class JobSubmission:
    """A job as submitted.

    ``host`` and ``path`` are those of the submitting request. They select the route that sets the
    job's quota, retention time and regions. ``document`` is the unparsed request body. It is stored
    so that a daemon that adopts the job can parse the items again.
    """

    job_id: str
    host: str
    path: str
    items: tuple[JobItem, ...]
    document: bytes
    tenant: str = ""
    """The tenant that submitted the job; empty where callers need no API key."""

    @property
    def tokens(self) -> int:
        """Total tokens of all items."""
        return sum(item.tokens for item in self.items)


@dataclass(frozen=True)
class ItemResult:
    """The outcome of one item; ``index`` is the item's position in the submission."""

    index: int
    item_id: str
    state: ItemState
    text: str


@dataclass(frozen=True)
class JobHead:
    """The authoritative row of a job, changed only by compare-and-set on its version.

    An item is *listed* once its result is committed to the job's result list, in which
    positions follow the order of those commits.

    Attributes:
        accepted_ms: Store clock, in milliseconds, when the job was accepted.
        owner: Identity of the daemon process that runs the job; empty if no process owns it.
        write_id: Unique id of the write that produced this version. After a write without a reply,
            it tells the writer whether that write took effect.
        listed: Number of items whose result is listed.
        done: Bit set of the listed items, by their index in the submission.
        ended: Whether a caller cancelled the job.
        object_name: Object that holds the document, either a fallback object or a document object
            (see :class:`~mountstand.jobs.repository.JobRepository`); empty if the document is
            stored in rows.
        waiting_tokens: Tokens of the items that are not listed yet.
        tenant: Tenant that the job belongs to; empty if it was submitted without an API key.
    """

    job_id: str
    host: str
    path: str
    total: int
    accepted_ms: int
    owner: str
    write_id: str
    listed: int = 0
    done: int = 0
    ended: bool = False
    object_name: str = ""
    waiting_tokens: int = 0
    tenant: str = ""

    @property
    def is_open(self) -> bool:
        """Whether the job is not cancelled and has items left to list."""
        return not self.ended and self.listed < self.total

    def is_listed(self, index: int) -> bool:
        """Return whether the result of the item at ``index`` of the submission is listed."""
        return bool(self.done >> index & 1)

    def with_results(self, results: list[ItemResult], write_id: str, tokens: int = 0) -> JobHead:
        """Return the head after ``results`` are appended to the result list.

        ``tokens`` is the number of tokens of the items that ``results`` belong to.
        """
        done = self.done
        for result in results:
            done |= 1 << result.index
        return replace(
            self,
            listed=self.listed + len(results),
            done=done,
            write_id=write_id,
            waiting_tokens=max(0, self.waiting_tokens - tokens),
        )

    def encode(self) -> bytes:
        """Serialize the head as the value of its row."""
        return orjson.dumps(
            {
                "host": self.host,
                "path": self.path,
                "total": self.total,
                "accepted_ms": self.accepted_ms,
                "owner": self.owner,
                "write_id": self.write_id,
                "listed": self.listed,
                "done": f"{self.done:x}",
                "ended": self.ended,
                "object": self.object_name,
                "waiting_tokens": self.waiting_tokens,
                "tenant": self.tenant,
            }
        )


def decode_head(job_id: str, value: bytes) -> JobHead:
    """Deserialize a head from the value of its row.

    Rows written before ``waiting_tokens`` and ``tenant`` existed lack these fields.
    """
    fields = orjson.loads(value)
    return JobHead(
        job_id=job_id,
        host=fields["host"],
        path=fields["path"],
        total=fields["total"],
        accepted_ms=fields["accepted_ms"],
        owner=fields["owner"],
        write_id=fields["write_id"],
        listed=fields["listed"],
        done=int(fields["done"], 16),
        ended=fields["ended"],
        object_name=fields["object"],
        waiting_tokens=fields.get("waiting_tokens", 0),
        tenant=fields.get("tenant", ""),
    )


@dataclass(frozen=True)
class StoredSubmission:
    """A submission as read back from a fallback object or a document object."""

    host: str
    path: str
    accepted_ms: int
    document: bytes
    tenant: str = ""


def encode_submission(submission: JobSubmission, accepted_ms: int) -> bytes:
    """Serialize a submission for the object store: one line of JSON, then the document."""
    fields = {
        "host": submission.host,
        "path": submission.path,
        "accepted_ms": accepted_ms,
        "tenant": submission.tenant,
    }
    return orjson.dumps(fields) + b"\n" + submission.document


def decode_submission(value: bytes) -> StoredSubmission:
    """Deserialize a submission from the object store."""
    line, _, document = value.partition(b"\n")
    fields = orjson.loads(line)
    return StoredSubmission(
        fields["host"], fields["path"], fields["accepted_ms"], document, fields.get("tenant", "")
    )


@dataclass(frozen=True)
class SavedProgress:
    """Checkpoint of an unfinished item, from which the next owner of the job resumes it.

    ``texts`` holds the texts of the complete stream events up to ``last_event_id``. ``failures``
    counts the failed attempts. ``software_key`` names the software that wrote the texts, ``None``
    if the row doesn't tell, as those of former versions of this program.
    """

    index: int
    last_event_id: int
    failures: int
    texts: list[str]
    software_key: int | None = None


def encode_progress(progress: SavedProgress) -> bytes:
    """Serialize an item's progress for its row.

    The software follows the compressed fields: former versions of this program read exactly four
    fields, and nothing after the compressed stream.
    """
    fields = [progress.index, progress.last_event_id, progress.failures, progress.texts]
    compressed = zlib.compress(orjson.dumps(fields), 1)
    if progress.software_key is None:
        return compressed
    return compressed + progress.software_key.to_bytes(SOFTWARE_KEY_BYTES, "big")


def decode_progress(value: bytes) -> SavedProgress:
    """Deserialize an item's progress from its row."""
    decompressor = zlib.decompressobj()
    index, last_event_id, failures, texts = orjson.loads(decompressor.decompress(value))
    software = decompressor.unused_data
    is_known = len(software) == SOFTWARE_KEY_BYTES
    software_key = int.from_bytes(software, "big") if is_known else None
    return SavedProgress(index, last_event_id, failures, texts, software_key)


def encode_result(result: ItemResult) -> bytes:
    """Serialize a result for its rows."""
    return orjson.dumps([result.index, result.item_id, result.state.value, result.text])


def decode_result(value: bytes) -> ItemResult:
    """Deserialize a result from the joined bytes of its rows."""
    index, item_id, state, text = orjson.loads(value)
    return ItemResult(index, item_id, ItemState(state), text)
