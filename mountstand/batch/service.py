"""Batch jobs as callers see them: accept, look up, read results, cancel.

Any daemon serves any job.
"""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from mountstand.batch.acceptance import JobAcceptor, JobSubmission
from mountstand.batch.executor import RENEW_WINDOW_S
from mountstand.batch.holders import CONFIRM_TIMEOUT_S
from mountstand.batch.job_store import manifest_entries
from mountstand.batch.lines import ReadLine
from mountstand.batch.model import (
    JobRecord,
    JobState,
    ManifestEntry,
    job_key,
    job_row,
    manifest_prefix,
    open_row,
    shard_of,
)
from mountstand.batch.owner import VERIFY_WINDOW_S, JobOwner
from mountstand.batch.shard_leases import preferred_owner
from mountstand.clock import elapsed_s
from mountstand.errors import (
    JobIncomplete,
    MountstandError,
    NotFound,
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)
from mountstand.membership.member import Member
from mountstand.membership.service import MembershipService
from mountstand.store.ports import Condition, ObjectPort, Put, Row, TablePort, Transaction
from mountstand.wire.messages import CancelJob, Confirmed, JobHint
from mountstand.wire.peers import PeerClient

CANCEL_TRIES = 20
CANCEL_PAUSE_S = 0.1


@dataclass(frozen=True)
class ResultRange:
    """Items whose results are asked for."""

    first_item: int
    item_count: int

    def covers(self, index: int) -> bool:
        """Return whether item ``index`` is asked for."""
        return self.first_item <= index < self.first_item + self.item_count


class BatchService:
    """Callers' operations on jobs; thread-safe."""

    def __init__(
        self,
        table: TablePort,
        objects: ObjectPort,
        membership: MembershipService,
        peers: PeerClient,
        owner: JobOwner,
        shards: int,
        models: Callable[[], dict[str, str]],
    ) -> None:
        self._table = table
        self._objects = objects
        self._membership = membership
        self._peers = peers
        self._owner = owner
        self._shards = shards
        self._acceptor = JobAcceptor(table, objects, shards, models)

    def accept(self, submission: JobSubmission, read_line: ReadLine) -> tuple[JobRecord, bool]:
        """Accept a job; see :meth:`JobAcceptor.accept`."""
        record, is_new = self._acceptor.accept(submission, read_line)
        if is_new:
            self._hint_owner(record.key)
        return record, is_new

    def job(self, tenant: str, job_id: str) -> JobRecord:
        """Return a job's record."""
        return self._read_job(job_key(tenant, job_id))[0]

    def jobs(self, tenant: str) -> list[JobRecord]:
        """Return a tenant's jobs, newest first."""
        rows = self._table.read(prefixes=(job_row(f"{tenant}/"),)).rows
        records = [JobRecord.model_validate(row.value) for row in rows]
        return sorted(records, key=lambda record: -record.created_s)

    def results(
        self, tenant: str, job_id: str, wanted: ResultRange, *, partial: bool
    ) -> Iterator[bytes]:
        """Return an iterator over result lines, in item order.

        With ``partial``, items without a result are left out; else ``JobIncomplete`` is raised.
        """
        key = job_key(tenant, job_id)
        outcome = self._table.read(job_row(key), prefixes=(manifest_prefix(key),))
        row = outcome.row(job_row(key))
        if row is None:
            raise NotFound(f"job {job_id}")
        record = JobRecord.model_validate(row.value)
        last = min(record.item_count, wanted.first_item + wanted.item_count)
        clipped = ResultRange(wanted.first_item, max(0, last - wanted.first_item))
        entries = [
            entry
            for entry in manifest_entries(key, outcome.rows)
            if entry.first_item < last and entry.first_item + entry.item_count > wanted.first_item
        ]
        entries.sort(key=lambda entry: entry.first_item)
        if not partial and covered_items(entries, clipped) < clipped.item_count:
            raise JobIncomplete(f"{record.done} of {record.item_count} items are complete")
        return self._read_segments(entries, clipped)

    def cancel(self, tenant: str, job_id: str) -> JobRecord:
        """Cancel a running job; return its record, cancelled or completed, whichever came first.

        Returns once no item of the job can start any more: when every executor has confirmed, or
        when the leases of those that have not are over.
        """
        key = job_key(tenant, job_id)
        record = self._write_cancel(key)
        if record.state is not JobState.CANCELLED:
            return record
        cancelled_s = elapsed_s()
        if not self._tell_owner(key):
            bound_s = VERIFY_WINDOW_S + RENEW_WINDOW_S
            time.sleep(max(0.0, cancelled_s + bound_s - elapsed_s()))
        return record

    def _read_job(self, key: str) -> tuple[JobRecord, Row]:
        row = self._table.read(job_row(key)).row(job_row(key))
        if row is None:
            raise NotFound(f"job {key}")
        return JobRecord.model_validate(row.value), row

    def _write_cancel(self, key: str) -> JobRecord:
        """Decide the race of cancel and commits by the version of the job's row."""
        maybe_written = False
        for _ in range(CANCEL_TRIES):
            try:
                record, row = self._read_job(key)
                if record.state is not JobState.RUNNING:
                    return record
                cancelled = record.model_copy(
                    update={"state": JobState.CANCELLED, "ended_s": time.time()}
                )
                maybe_written = True
                self._table.commit(
                    Transaction(
                        write_id=uuid.uuid4().hex,
                        conditions=[Condition(key=job_row(key), version=row.version)],
                        puts=[Put(key=job_row(key), value=cancelled.model_dump(mode="json"))],
                        deletes=[open_row(shard_of(key, self._shards), key)],
                    )
                )
                return cancelled
            except WriteConflict:
                continue
            except StoreUnavailable:
                time.sleep(CANCEL_PAUSE_S)
        kind = WriteOutcomeUnknown if maybe_written else StoreUnavailable
        raise kind("the job may go on; send the cancel again")

    def _tell_owner(self, key: str) -> bool:
        """Ask the job's owner to stop it; return whether it confirmed for all executors."""
        member = self._preferred_owner(key)
        if member is None:
            return False
        if member.member_id == self._membership.self_id:
            return self._owner.handle_cancel(CancelJob(key)).confirmed
        try:
            reply = self._peers.call(member, CancelJob(key), 2 * CONFIRM_TIMEOUT_S)
        except MountstandError:
            return False
        return isinstance(reply, Confirmed) and reply.confirmed

    def _hint_owner(self, key: str) -> None:
        """Tell the job's owner to look; its poll finds the job without this, only later."""
        member = self._preferred_owner(key)
        if member is None:
            return
        if member.member_id == self._membership.self_id:
            self._owner.look_now()
        else:
            self._membership.send_hint(member, JobHint(key))

    def _preferred_owner(self, key: str) -> Member | None:
        shard = shard_of(key, self._shards)
        owner_id = preferred_owner(shard, self._membership.possible_owners())
        return self._membership.member(owner_id) if owner_id else None

    def _read_segments(self, entries: list[ManifestEntry], wanted: ResultRange) -> Iterator[bytes]:
        """Yield result lines segment by segment; memory holds one segment."""
        for entry in entries:
            lines = self._objects.get(entry.segment_name).split(b"\n")
            for offset, line in enumerate(lines):
                if wanted.covers(entry.first_item + offset):
                    yield line + b"\n"


def covered_items(entries: list[ManifestEntry], wanted: ResultRange) -> int:
    """Return how many wanted items the entries have results for."""
    last = wanted.first_item + wanted.item_count
    return sum(
        min(last, entry.first_item + entry.item_count) - max(wanted.first_item, entry.first_item)
        for entry in entries
    )
