"""Typed records of batch jobs, as they stand in the table and the object store.

Rows of a job (``{key}`` is ``tenant/job_id``):

``job/{key}``
    The :class:`JobRecord`: content, state and counts. Every commit and a cancel rewrite it, so that
    its version orders them.
``open/{shard}/{key}``
    Exists while the job is running; lists work for the shard's owner.
``manifest/{key}/{number}``
    Ranges completed in one commit, each with the object of its results. Readers read only these.
``attempt/{key}/{range}``
    A range of a not-repeatable job that was given out; it is never given out again.
``failures/{key}/{range}``
    Failed attempts of a range's items, by index of the item. Whoever holds the range writes it.
``lease/{shard}``
    The shard's owner and epoch. Only a claim changes it, so its version is the fence.

Objects: ``input/{upload_id}/index``; ``input/{upload_id}/{range}`` with the items of a range, one
JSON object a line; ``result/{upload_id}/{range}-{unique}`` with one JSON object a line.
"""

from __future__ import annotations

import hashlib
from enum import Enum

from pydantic import BaseModel, ConfigDict

FIRST_RANGE_ITEMS = 16
"""Ranges double in size up to the maximum, so that small jobs spread over the fleet too."""

MAX_RANGE_ITEMS = 256
NOT_REPEATABLE_RANGE_ITEMS = 16
"""A range is the unit whose outcome is unknown after a crash; small ranges lose less."""

MAX_RANGE_BYTES = 1024 * 1024
MAX_ITEM_BYTES = 1024 * 1024
MAX_JOB_ITEMS = 1_000_000
JOB_PREFIX = "job/"
LEASE_PREFIX = "lease/"


class JobState(Enum):
    """State of a job in its row."""

    RUNNING = "running"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


class ItemStatus(Enum):
    """How an item ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    EXPIRED = "expired"
    OUTCOME_UNKNOWN = "outcome_unknown"


class JobRecord(BaseModel):
    """One job; times are seconds since the epoch, 0 for none."""

    model_config = ConfigDict(frozen=True)

    tenant: str
    job_id: str
    service: str
    content_hash: str
    upload_id: str
    item_count: int
    range_count: int
    priority: int = 5
    due_time_s: float = 0.0
    repeatable: bool = True
    max_attempts: int = 3
    state: JobState = JobState.RUNNING
    completed: int = 0
    failed: int = 0
    manifest_count: int = 0
    created_s: float = 0.0
    ended_s: float = 0.0

    @property
    def key(self) -> str:
        """The job's key over all tenants."""
        return job_key(self.tenant, self.job_id)

    @property
    def done(self) -> int:
        """Items that have a result."""
        return self.completed + self.failed


class RangeInfo(BaseModel):
    """Where one range of a job's input is."""

    model_config = ConfigDict(frozen=True)

    first_item: int
    item_count: int


class InputIndex(BaseModel):
    """The ranges of a job's input, in order."""

    model_config = ConfigDict(frozen=True)

    ranges: list[RangeInfo]


class ManifestEntry(BaseModel):
    """A completed range and the object with its results."""

    model_config = ConfigDict(frozen=True)

    range_index: int
    first_item: int
    item_count: int
    segment_name: str


class LeaseRecord(BaseModel):
    """The owner of a shard; ``epoch`` rises with every claim."""

    model_config = ConfigDict(frozen=True)

    owner_id: str
    incarnation: int
    epoch: int
    released: bool = False


def job_key(tenant: str, job_id: str) -> str:
    """Return the key of a job over all tenants."""
    return f"{tenant}/{job_id}"


def shard_of(key: str, shards: int) -> int:
    """Return the shard that job ``key`` belongs to."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % shards


def job_row(key: str) -> str:
    """Return the row key of a job's record."""
    return f"{JOB_PREFIX}{key}"


def open_prefix(shard: int) -> str:
    """Return the row key prefix of a shard's running jobs."""
    return f"open/{shard:04d}/"


def open_row(shard: int, key: str) -> str:
    """Return the row key that lists a running job."""
    return open_prefix(shard) + key


def manifest_prefix(key: str) -> str:
    """Return the row key prefix of a job's manifest."""
    return f"manifest/{key}/"


def manifest_row(key: str, number: int) -> str:
    """Return the row key of one commit of a job."""
    return f"{manifest_prefix(key)}{number:08d}"


def attempt_prefix(key: str) -> str:
    """Return the row key prefix of a job's given-out ranges."""
    return f"attempt/{key}/"


def attempt_row(key: str, range_index: int) -> str:
    """Return the row key that marks a range as given out."""
    return f"{attempt_prefix(key)}{range_index:08d}"


def failures_row(key: str, range_index: int) -> str:
    """Return the row key of the failed attempts of a range's items."""
    return f"failures/{key}/{range_index:08d}"


def lease_row(shard: int) -> str:
    """Return the row key of a shard's lease."""
    return f"{LEASE_PREFIX}{shard:04d}"


def input_object(upload_id: str, range_index: int) -> str:
    """Return the name of the object with one range's items."""
    return f"input/{upload_id}/{range_index:06d}"


def index_object(upload_id: str) -> str:
    """Return the name of the object with the input's ranges."""
    return f"input/{upload_id}/index"


def segment_prefix(upload_id: str, range_index: int) -> str:
    """Return the start of the names of objects with one range's results."""
    return f"result/{upload_id}/{range_index:06d}"


def only_segment(prefix: str) -> str:
    """Return the one name that results of a not-repeatable range can have."""
    return f"{prefix}-only"
