"""Batch jobs, their items and results, as values."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, replace
from enum import Enum

import orjson

from mountstand.serving.prompt import EMPTY_PROMPT, Prompt
from mountstand.transport.headers import Header


class ItemState(Enum):
    """How an item ended."""

    COMPLETED = "completed"
    FAILED = "failed"


@dataclass(frozen=True)
class JobItem:
    """One item of a job: a request to be put to a worker."""

    item_id: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    prompt: Prompt = EMPTY_PROMPT
    tokens: int = 0


@dataclass(frozen=True)
class JobSubmission:
    """A job as handed in; ``document`` is the caller's body, kept to be read again."""

    job_id: str
    host: str
    path: str
    items: tuple[JobItem, ...]
    document: bytes
    tenant: str = ""
    """The name of the tenant that handed it in, empty where callers need no key."""

    @property
    def tokens(self) -> int:
        """The tokens of all items."""
        return sum(item.tokens for item in self.items)


@dataclass(frozen=True)
class ItemResult:
    """The end of one item."""

    index: int
    item_id: str
    state: ItemState
    text: str


@dataclass(frozen=True)
class JobHead:
    """The row that decides everything about a job; each change of it is conditional.

    ``owner`` is the process that runs the job, ``done`` the bits of the items that are listed,
    ``listed`` how many these are, ``write_id`` names the write that made this version, and
    ``accepted_ms`` is the store's clock at acceptance. ``waiting_tokens`` are those of the items
    that are not listed, ``tenant`` the name of the tenant that the job belongs to.
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
        """Whether items remain to be run."""
        return not self.ended and self.listed < self.total

    def is_listed(self, index: int) -> bool:
        """Return whether the item at ``index`` of the submission is listed."""
        return bool(self.done >> index & 1)

    def with_results(self, results: list[ItemResult], write_id: str, tokens: int = 0) -> JobHead:
        """Return the head after ``results`` are listed behind those there are.

        ``tokens`` are those of the items that ended.
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
        """Return the row's value."""
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
    """Return the head that a row's value holds."""
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
    """A submission as an object holds it."""

    host: str
    path: str
    accepted_ms: int
    document: bytes
    tenant: str = ""


def encode_submission(submission: JobSubmission, accepted_ms: int) -> bytes:
    """Return the object that holds a submission: one line of JSON, then the document."""
    fields = {
        "host": submission.host,
        "path": submission.path,
        "accepted_ms": accepted_ms,
        "tenant": submission.tenant,
    }
    return orjson.dumps(fields) + b"\n" + submission.document


def decode_submission(value: bytes) -> StoredSubmission:
    """Return the submission that an object holds."""
    line, _, document = value.partition(b"\n")
    fields = orjson.loads(line)
    return StoredSubmission(
        fields["host"], fields["path"], fields["accepted_ms"], document, fields.get("tenant", "")
    )


@dataclass(frozen=True)
class SavedProgress:
    """The whole events of an item that has not ended, as they are kept for the next owner."""

    index: int
    last_event_id: int
    failures: int
    texts: list[str]


def encode_progress(progress: SavedProgress) -> bytes:
    """Return an item's progress as it is stored."""
    fields = [progress.index, progress.last_event_id, progress.failures, progress.texts]
    return zlib.compress(orjson.dumps(fields), 1)


def decode_progress(value: bytes) -> SavedProgress:
    """Return the progress that stored bytes hold."""
    index, last_event_id, failures, texts = orjson.loads(zlib.decompress(value))
    return SavedProgress(index, last_event_id, failures, texts)


def encode_result(result: ItemResult) -> bytes:
    """Return a result as it is stored."""
    return orjson.dumps([result.index, result.item_id, result.state.value, result.text])


def decode_result(value: bytes) -> ItemResult:
    """Return the result that stored bytes hold."""
    index, item_id, state, text = orjson.loads(value)
    return ItemResult(index, item_id, ItemState(state), text)
