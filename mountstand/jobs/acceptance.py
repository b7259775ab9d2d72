"""Takes a job: durable before it is acknowledged, and refused only if no write can take effect.

A job is written to its rows. Where that is refused or takes long it is also kept as an object, and
a write without an answer is tried again beside the pending one, since the store may be back long
before the first try's time is over. All tries are the same job: the first that succeeds decides.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from enum import Enum

from mountstand.jobs.model import JobHead, JobSubmission
from mountstand.jobs.repository import MAX_JOB_OBJECT_COPIES, JobRepository
from mountstand.store.rows import ABSENT, Conflict, OutcomeUnknown, StoreRefused

REFUSE_SHARE = 0.2
"""Share of a job's target latency within which a job is refused if the store does nothing."""

OBJECTS_AFTER_S = 0.25
"""A row write that takes longer is joined by writes of objects."""

AGAIN_AFTER_S = 0.7
"""A write that is pending for so long is joined by another."""

PAUSE_S = 0.05
"""Pause between tries that are refused at once."""


class SubmitOutcome(Enum):
    """What became of a submission."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    OVER_QUOTA = "over quota"
    ID_TAKEN = "id taken"
    OUTCOME_UNKNOWN = "unclear"


@dataclass(frozen=True)
class StoredJob:
    """A job that is durable; ``begin`` is ``None`` where it was there before."""

    begin: tuple[JobHead, int] | None


class JobAcceptance:
    """One submission's tries.

    ``copies`` is under how many names the job may be kept as an object.
    """

    def __init__(
        self,
        repository: JobRepository,
        submission: JobSubmission,
        head: JobHead,
        copies: int = MAX_JOB_OBJECT_COPIES,
    ) -> None:
        self._repository = repository
        self._submission = submission
        self._head = head
        self._copies = copies
        self._pending: set[asyncio.Task[StoredJob]] = set()
        self._unclear = False

    async def run(
        self, target_latency_s: float, deadline_s: float, on_stored: Callable[[StoredJob], None]
    ) -> SubmitOutcome:
        """Try until the job is stored, surely is not, or ``deadline_s`` has come."""
        loop = asyncio.get_running_loop()
        refuse_at_s = min(deadline_s, loop.time() + target_latency_s * REFUSE_SHARE)
        with_objects = False
        wait_s = OBJECTS_AFTER_S
        self._start(self._write_rows())
        while True:
            stored = await self._wait(min(wait_s, max(0.0, deadline_s - loop.time())))
            if stored is not None:
                on_stored(stored)
                return SubmitOutcome.ACCEPTED
            if not self._pending and not self._unclear and loop.time() >= refuse_at_s:
                return SubmitOutcome.REFUSED
            if loop.time() >= deadline_s:
                return SubmitOutcome.OUTCOME_UNKNOWN
            if with_objects:
                self._start(self._write_rows())
            for number in range(self._copies):
                self._start(self._write_object(number))
            with_objects = True
            wait_s = AGAIN_AFTER_S
            await asyncio.sleep(PAUSE_S)

    def _start(self, work: Coroutine[None, None, StoredJob]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(note_outcome)
        self._pending.add(task)

    async def _wait(self, wait_s: float) -> StoredJob | None:
        """Wait for a try that succeeds, until all have failed or ``wait_s`` is over."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_s
        while self._pending:
            left_s = until_s - loop.time()
            if left_s <= 0:
                return None
            done, self._pending = await asyncio.wait(
                self._pending, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                problem = task.exception()
                if problem is None:
                    return task.result()
                if isinstance(problem, OutcomeUnknown):
                    self._unclear = True
                elif not isinstance(problem, StoreRefused):
                    raise problem
        return None

    async def _write_rows(self) -> StoredJob:
        try:
            version = await self._repository.submit(self._submission, self._head)
        except Conflict:
            return StoredJob(None)
        return StoredJob((self._head, version))

    async def _write_object(self, number: int) -> StoredJob:
        name = await self._repository.submit_object(
            self._submission, number, self._head.accepted_ms
        )
        return StoredJob((replace(self._head, object_name=name), ABSENT))


def note_outcome(task: asyncio.Task[StoredJob]) -> None:
    """Take note of a try that ended after its caller had an answer; it is the same job."""
    if not task.cancelled():
        task.exception()
