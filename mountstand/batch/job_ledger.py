"""The decisions of a job's owner, as a pure state machine.

A range is pending, granted to one executor until a lease ends, reported with the object of its
results, or committed. Only a commit makes results visible, and a commit names the version of the
job's row and of the shard's lease, so that a ledger that is out of date can commit nothing.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from mountstand.batch.model import JobRecord, JobState, ManifestEntry, RangeInfo


class RangeState(Enum):
    """Where a range stands at the owner."""

    PENDING = "pending"
    MARKING = "marking"
    GRANTED = "granted"
    LOST = "lost"
    REPORTED = "reported"
    COMMITTED = "committed"


@dataclass
class RangeProgress:
    """One range at the owner."""

    info: RangeInfo
    state: RangeState = RangeState.PENDING
    executor_id: str = ""
    lease_ends_s: float = 0.0
    segment_name: str = ""
    completed: int = 0
    failed: int = 0


@dataclass(frozen=True)
class CommitPlan:
    """The next commit of a job, frozen until its outcome is known.

    ``write_id`` stays the same over retries, so that a lost answer can be resolved.
    """

    write_id: str
    job_version: int
    manifest_number: int
    entries: tuple[ManifestEntry, ...]
    record: JobRecord


@dataclass
class JobLedger:
    """State of one job at its owner.

    Attributes
    ----------
    record, version
        The job's row as last read or written.
    epoch
        Epoch of the shard's lease under which this ledger was built.
    """

    record: JobRecord
    version: int
    epoch: int
    ranges: list[RangeProgress]
    plan: CommitPlan | None = None
    closed: bool = False
    items_granted: int = 0
    _pending: list[int] = field(default_factory=list)
    _granted: set[int] = field(default_factory=set)
    _reported: set[int] = field(default_factory=set)
    _lost: set[int] = field(default_factory=set)
    _pending_items: int = 0

    @classmethod
    def recover(
        cls,
        record: JobRecord,
        version: int,
        epoch: int,
        infos: Iterable[RangeInfo],
        entries: Iterable[ManifestEntry],
        attempted: Iterable[int],
        lost_after_s: float = 0.0,
    ) -> JobLedger:
        """Build the ledger of a job from what is durable; only what is missing is pending.

        A range that was given out and may not run again is lost at ``lost_after_s``, unless the
        executor that has it comes forward before.
        """
        ledger = cls(record, version, epoch, [RangeProgress(info) for info in infos])
        for entry in entries:
            ledger.ranges[entry.range_index].state = RangeState.COMMITTED
        for index in attempted:
            progress = ledger.ranges[index]
            if progress.state is RangeState.PENDING:
                progress.state = RangeState.LOST
                progress.lease_ends_s = lost_after_s
                ledger._lost.add(index)
        for index, progress in enumerate(ledger.ranges):
            if progress.state is RangeState.PENDING:
                ledger._add_pending(index)
        return ledger

    @property
    def pending_items(self) -> int:
        """Items that nobody runs yet."""
        return 0 if self.closed else self._pending_items

    @property
    def has_uncommitted(self) -> bool:
        """Whether results are there that no commit covers yet."""
        return self.plan is not None or bool(self._reported)

    @property
    def is_complete(self) -> bool:
        """Whether every range is committed."""
        return all(progress.state is RangeState.COMMITTED for progress in self.ranges)

    def grant(self, executor_id: str, capacity_items: int, lease_ends_s: float) -> list[int]:
        """Take pending ranges of about ``capacity_items`` for an executor.

        Ranges of a not-repeatable job are ``MARKING`` until :meth:`finish_marking`.
        """
        taken: list[int] = []
        while capacity_items > 0 and self._pending and not self.closed:
            index = heapq.heappop(self._pending)
            progress = self.ranges[index]
            self._pending_items -= progress.info.item_count
            capacity_items -= progress.info.item_count
            progress.executor_id = executor_id
            progress.lease_ends_s = lease_ends_s
            repeatable = self.record.repeatable
            progress.state = RangeState.GRANTED if repeatable else RangeState.MARKING
            if repeatable:
                self._granted.add(index)
            taken.append(index)
            self.items_granted += progress.info.item_count
        return taken

    def finish_marking(self, indexes: Iterable[int], *, marked: bool | None) -> None:
        """Note whether the marks of ranges are durable; ``None`` when that is not known."""
        for index in indexes:
            progress = self.ranges[index]
            assert progress.state is RangeState.MARKING
            if marked:
                progress.state = RangeState.GRANTED
                self._granted.add(index)
            elif marked is None:
                progress.state = RangeState.LOST
                self._lost.add(index)
            else:
                self._add_pending(index)

    def renew(self, executor_id: str, index: int, lease_ends_s: float) -> bool:
        """Lengthen an executor's lease; return ``False`` when it does not hold the range.

        A new owner adopts a range that an executor still holds from the owner before: a pending
        one, or a given-out one of a not-repeatable job, which only one executor ever got.
        """
        if self.closed or not 0 <= index < len(self.ranges):
            return False
        progress = self.ranges[index]
        if progress.state is RangeState.PENDING:
            self._remove_pending(index)
        elif progress.state is RangeState.LOST:
            self._lost.discard(index)
        elif progress.state is not RangeState.GRANTED or progress.executor_id != executor_id:
            return False
        progress.state = RangeState.GRANTED
        progress.executor_id = executor_id
        progress.lease_ends_s = lease_ends_s
        self._granted.add(index)
        return True

    def report(self, index: int, segment_name: str, completed: int, failed: int) -> bool:
        """Take a range's results; return whether they are the ones that will count.

        Results of a range whose lease has ended are welcome while no others are there.
        """
        if self.closed or not 0 <= index < len(self.ranges):
            return False
        progress = self.ranges[index]
        if progress.state in (RangeState.REPORTED, RangeState.COMMITTED):
            return progress.segment_name == segment_name
        if progress.state is RangeState.PENDING:
            self._remove_pending(index)
        self._granted.discard(index)
        self._lost.discard(index)
        progress.state = RangeState.REPORTED
        progress.segment_name = segment_name
        progress.completed = completed
        progress.failed = failed
        self._reported.add(index)
        return True

    def expire_leases(self, now_s: float) -> list[int]:
        """Take back ranges whose lease has ended; return those that cannot be run again."""
        for index in list(self._granted):
            progress = self.ranges[index]
            if now_s < progress.lease_ends_s:
                continue
            self._granted.discard(index)
            if self.record.repeatable:
                self._add_pending(index)
            else:
                progress.state = RangeState.LOST
                self._lost.add(index)
        return sorted(i for i in self._lost if now_s >= self.ranges[i].lease_ends_s)

    def holders(self) -> set[str]:
        """Return the executors that hold ranges."""
        return {self.ranges[index].executor_id for index in self._granted}

    def plan_commit(self, write_id: str, now_epoch_s: float) -> CommitPlan | None:
        """Return the commit to make: the unresolved one, or a new one of all reported ranges."""
        if self.closed:
            return None
        if self.plan is not None or not self._reported:
            return self.plan
        indexes = sorted(self._reported)
        done = [self.ranges[index] for index in indexes]
        record = self.record
        completed = record.completed + sum(progress.completed for progress in done)
        failed = record.failed + sum(progress.failed for progress in done)
        ends = completed + failed == record.item_count
        self.plan = CommitPlan(
            write_id=write_id,
            job_version=self.version,
            manifest_number=record.manifest_count,
            entries=tuple(
                ManifestEntry(
                    range_index=index,
                    first_item=progress.info.first_item,
                    item_count=progress.info.item_count,
                    segment_name=progress.segment_name,
                )
                for index, progress in zip(indexes, done, strict=True)
            ),
            record=record.model_copy(
                update={
                    "completed": completed,
                    "failed": failed,
                    "manifest_count": record.manifest_count + 1,
                    "state": JobState.COMPLETED if ends else JobState.RUNNING,
                    "ended_s": now_epoch_s if ends else 0.0,
                }
            ),
        )
        return self.plan

    def commit_succeeded(self, version: int) -> None:
        """Note that the plan is durable."""
        assert self.plan is not None
        for entry in self.plan.entries:
            self.ranges[entry.range_index].state = RangeState.COMMITTED
            self._reported.discard(entry.range_index)
        self.record = self.plan.record
        self.version = version
        self.plan = None
        if self.record.state is not JobState.RUNNING:
            self.closed = True

    def abandon_plan(self) -> None:
        """Note that the plan is not durable and will not be retried as it is."""
        self.plan = None

    def close(self) -> None:
        """Give the job up: cancelled, or owned by another daemon."""
        self.closed = True
        self.plan = None

    def validate_state(self) -> None:
        """Assert the invariants; called by tests after every event."""
        by_state: dict[RangeState, set[int]] = {state: set() for state in RangeState}
        for index, progress in enumerate(self.ranges):
            by_state[progress.state].add(index)
        assert set(self._pending) == by_state[RangeState.PENDING]
        assert self._granted == by_state[RangeState.GRANTED]
        assert self._reported == by_state[RangeState.REPORTED]
        assert self._lost == by_state[RangeState.LOST]
        pending = sum(self.ranges[index].info.item_count for index in self._pending)
        assert pending == self._pending_items

    def _remove_pending(self, index: int) -> None:
        self._pending.remove(index)
        heapq.heapify(self._pending)
        self._pending_items -= self.ranges[index].info.item_count

    def _add_pending(self, index: int) -> None:
        progress = self.ranges[index]
        progress.state = RangeState.PENDING
        heapq.heappush(self._pending, index)
        self._pending_items += progress.info.item_count
