"""Stores a submitted job durably before it is acknowledged.

The job is written to its rows. If that write fails or is slow, the job is also written to fallback
objects, and further writes are started beside those still pending, since the store may recover long
before the pending ones time out. All writes store the same job, and the first to succeed accepts
it. The job is refused only if none of the writes can have taken effect.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from enum import Enum

from mountstand.jobs.model import JobHead, JobSubmission
from mountstand.jobs.repository import FALLBACK_OBJECT_COPIES, JobRepository
from mountstand.store.rows import ABSENT, Conflict, OutcomeUnknown, StoreRefused

REFUSE_AFTER_LATENCY_SHARE = 0.2
"""Share of the target latency after which a job is refused if the store rejected all writes."""

OBJECT_FALLBACK_DELAY_S = 0.25
"""How long the first row write may take before fallback objects are written beside it."""

HEDGE_INTERVAL_S = 0.7
"""How long to wait for pending writes before the next round of writes starts beside them."""

ROUND_PAUSE_S = 0.05
"""Pause before waiting on a round of writes; limits the rate if the store rejects them at once."""


class SubmitOutcome(Enum):
    """Outcome of a submission.

    ``REFUSED`` means that this submission did not store the job. After ``OUTCOME_UNKNOWN``, the job
    may or may not be stored.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    OVER_QUOTA = "over quota"
    ID_TAKEN = "id taken"
    OUTCOME_UNKNOWN = "unclear"


@dataclass(frozen=True)
class StoredJob:
    """A durable job.

    The version is ``ABSENT`` if the job is in a fallback object. ``head_and_version`` is ``None``
    if the job's rows already existed, possibly from an earlier write of this submission.
    """

    head_and_version: tuple[JobHead, int] | None


class JobAcceptance:
    """Writes one submission to the store until a write succeeds.

    ``object_copies`` is the number of fallback objects that each round writes, each under its own
    name.
    """

    def __init__(
        self,
        repository: JobRepository,
        submission: JobSubmission,
        head: JobHead,
        object_copies: int = FALLBACK_OBJECT_COPIES,
    ) -> None:
        self._repository = repository
        self._submission = submission
        self._head = head
        self._object_copies = object_copies
        self._pending_writes: set[asyncio.Task[StoredJob]] = set()
        self._outcome_unknown = False

    async def run(
        self, target_latency_s: float, deadline_s: float, on_stored: Callable[[StoredJob], None]
    ) -> SubmitOutcome:
        """Start writes until the job is stored, is certain not to be, or ``deadline_s`` has passed.

        ``deadline_s`` is in event loop time. ``on_stored`` is called once if the job is accepted.
        Writes still pending on return are not cancelled; they store the same job, so they are
        harmless. A write may fail with ``OutcomeUnknown`` or ``StoreRefused`` (the store rejected
        it); any other error is raised.
        """
        loop = asyncio.get_running_loop()
        refuse_at_s = min(deadline_s, loop.time() + target_latency_s * REFUSE_AFTER_LATENCY_SHARE)
        fallback_started = False
        timeout_s = OBJECT_FALLBACK_DELAY_S
        self._start_write(self._write_rows())
        while True:
            stored = await self._wait_for_success(
                min(timeout_s, max(0.0, deadline_s - loop.time()))
            )
            if stored is not None:
                on_stored(stored)
                return SubmitOutcome.ACCEPTED
            if (
                not self._pending_writes
                and not self._outcome_unknown
                and loop.time() >= refuse_at_s
            ):
                return SubmitOutcome.REFUSED
            if loop.time() >= deadline_s:
                return SubmitOutcome.OUTCOME_UNKNOWN
            if fallback_started:
                self._start_write(self._write_rows())
            for copy_index in range(self._object_copies):
                self._start_write(self._write_fallback_object(copy_index))
            fallback_started = True
            timeout_s = HEDGE_INTERVAL_S
            await asyncio.sleep(ROUND_PAUSE_S)

    def _start_write(self, write: Coroutine[None, None, StoredJob]) -> None:
        task = asyncio.create_task(write)
        task.add_done_callback(retrieve_exception)
        self._pending_writes.add(task)

    async def _wait_for_success(self, timeout_s: float) -> StoredJob | None:
        """Return the first successful write, or ``None`` if all fail or ``timeout_s`` passes.

        Raises any error other than ``OutcomeUnknown`` and ``StoreRefused``.
        """
        loop = asyncio.get_running_loop()
        timeout_at_s = loop.time() + timeout_s
        while self._pending_writes:
            remaining_s = timeout_at_s - loop.time()
            if remaining_s <= 0:
                return None
            done, self._pending_writes = await asyncio.wait(
                self._pending_writes, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                error = task.exception()
                if error is None:
                    return task.result()
                if isinstance(error, OutcomeUnknown):
                    self._outcome_unknown = True
                elif not isinstance(error, StoreRefused):
                    raise error
        return None

    async def _write_rows(self) -> StoredJob:
        try:
            version = await self._repository.create(self._submission, self._head)
        except Conflict:
            return StoredJob(None)
        return StoredJob((self._head, version))

    async def _write_fallback_object(self, copy_index: int) -> StoredJob:
        name = await self._repository.put_fallback_object(
            self._submission, copy_index, self._head.accepted_ms
        )
        return StoredJob((replace(self._head, object_name=name), ABSENT))


def retrieve_exception(task: asyncio.Task[StoredJob]) -> None:
    """Retrieve a write's exception, so that asyncio does not log it as never retrieved."""
    if not task.cancelled():
        task.exception()
