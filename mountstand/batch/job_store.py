"""What a job's owner reads and writes in the table, each call one transaction."""

from __future__ import annotations

import uuid
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from mountstand.batch.job_ledger import CommitPlan, JobLedger
from mountstand.batch.model import (
    InputIndex,
    JobRecord,
    JobState,
    LeaseRecord,
    ManifestEntry,
    attempt_prefix,
    attempt_row,
    index_object,
    job_row,
    lease_row,
    manifest_prefix,
    manifest_row,
    open_prefix,
    open_row,
)
from mountstand.batch.shard_leases import LeaseInstruction, ObservedLease, ReleaseLease
from mountstand.clock import elapsed_s
from mountstand.errors import StoreUnavailable, WriteConflict, WriteOutcomeUnknown
from mountstand.store.memory_table import TransactionConflict
from mountstand.store.ports import (
    Condition,
    ObjectPort,
    Put,
    Row,
    TablePort,
    Transaction,
)


@dataclass(frozen=True)
class ShardReading:
    """Leases and running jobs of some shards at one moment; job keys by shard."""

    leases: dict[int, ObservedLease]
    open_jobs: dict[int, set[str]]


@dataclass(frozen=True)
class FencedPlan:
    """A job's commit plan with the lease that fences it."""

    key: str
    shard: int
    lease_version: int
    plan: CommitPlan


class JobStore:
    """Reads and fenced writes of one daemon's job owner."""

    def __init__(self, table: TablePort, objects: ObjectPort) -> None:
        self._table = table
        self._objects = objects

    def read_shards(self, shards: Iterable[int]) -> ShardReading:
        """Read leases and running jobs of ``shards`` in one operation."""
        wanted = sorted(shards)
        outcome = self._table.read(
            *(lease_row(shard) for shard in wanted),
            prefixes=tuple(open_prefix(shard) for shard in wanted),
        )
        rows = {row.key: row for row in outcome.rows}
        leases = {}
        open_jobs = {}
        for shard in wanted:
            leases[shard] = observed_lease(rows.get(lease_row(shard)))
            prefix = open_prefix(shard)
            open_jobs[shard] = {k[len(prefix) :] for k in rows if k.startswith(prefix)}
        return ShardReading(leases, open_jobs)

    def write_lease(self, instruction: LeaseInstruction) -> int:
        """Claim or release a lease; return its version. Raises ``WriteConflict`` when it lost."""
        key = lease_row(instruction.shard)
        write_id = uuid.uuid4().hex
        transaction = Transaction(
            write_id=write_id,
            conditions=[Condition(key=key, version=instruction.version)],
            puts=[Put(key=key, value=instruction.record.model_dump())],
        )
        try:
            return self._table.commit(transaction).version
        except WriteOutcomeUnknown:
            row = self._table.read(key).row(key)
            if row is not None and row.write_id == write_id:
                return row.version
            raise

    def release_leases(
        self, releases: Iterable[ReleaseLease], deadline_s: float
    ) -> list[ReleaseLease]:
        """Release leases in one transaction; return those that somebody else holds by now.

        ``deadline_s`` bounds the repeats that leases which were lost meanwhile cause. A release of
        which the outcome is not known is not looked up: it matters to nobody but the next owner.

        Raises
        ------
        MountstandError
            The store does not answer or refuses; nothing is known to be released.
        """
        left = {lease_row(release.shard): release for release in releases}
        lost: list[ReleaseLease] = []
        while left:
            try:
                self._table.commit(release_transaction(left))
                return lost
            except TransactionConflict as conflict:
                if elapsed_s() >= deadline_s:
                    raise
                lost.append(left.pop(conflict.key))
        return lost

    def read_job(self, key: str) -> tuple[JobRecord, int] | None:
        """Return a job's record and version."""
        row = self._table.read(job_row(key)).row(job_row(key))
        return (JobRecord.model_validate(row.value), row.version) if row else None

    def recover_ledger(self, key: str, epoch: int, lost_after_s: float) -> JobLedger | None:
        """Build the ledger of a running job; ``None`` when it does not run any more."""
        outcome = self._table.read(
            job_row(key), prefixes=(manifest_prefix(key), attempt_prefix(key))
        )
        row = outcome.row(job_row(key))
        if row is None:
            return None
        record = JobRecord.model_validate(row.value)
        if record.state is not JobState.RUNNING:
            return None
        index = InputIndex.model_validate_json(self._objects.get(index_object(record.upload_id)))
        prefix = attempt_prefix(key)
        attempted = [int(r.key[len(prefix) :]) for r in outcome.rows if r.key.startswith(prefix)]
        return JobLedger.recover(
            record,
            row.version,
            epoch,
            index.ranges,
            manifest_entries(key, outcome.rows),
            attempted,
            lost_after_s,
        )

    def commit_plans(self, write_id: str, fenced: list[FencedPlan]) -> int:
        """Make all ``fenced`` plans durable in one transaction; return the rows' version."""
        leases = {plan.shard: plan.lease_version for plan in fenced}
        conditions = [Condition(key=lease_row(s), version=v) for s, v in leases.items()]
        puts: list[Put] = []
        deletes: list[str] = []
        for item in fenced:
            plan = item.plan
            conditions.append(Condition(key=job_row(item.key), version=plan.job_version))
            puts.append(Put(key=job_row(item.key), value=plan.record.model_dump(mode="json")))
            entries = [entry.model_dump() for entry in plan.entries]
            row_key = manifest_row(item.key, plan.manifest_number)
            puts.append(Put(key=row_key, value={"entries": entries}))
            if plan.record.state is not JobState.RUNNING:
                deletes.append(open_row(item.shard, item.key))
        return self._table.commit(
            Transaction(write_id=write_id, conditions=conditions, puts=puts, deletes=deletes)
        ).version

    def find_commit(self, write_id: str, fenced: list[FencedPlan]) -> int | None:
        """Return the version of an earlier commit under ``write_id``, if it took effect."""
        item = fenced[0]
        row_key = manifest_row(item.key, item.plan.manifest_number)
        row = self._table.read(row_key).row(row_key)
        return row.version if row is not None and row.write_id == write_id else None

    def mark_attempts(
        self, key: str, shard: int, lease_version: int, indexes: list[int], executor_id: str
    ) -> bool | None:
        """Record that ranges are given out; ``None`` when it is not known whether it took effect.

        Raises
        ------
        WriteConflict
            The lease is not ours any more, or a range was given out before.
        """
        conditions = [Condition(key=lease_row(shard), version=lease_version)]
        conditions += [Condition(key=attempt_row(key, index), version=0) for index in indexes]
        value = {"executor": executor_id}
        puts = [Put(key=attempt_row(key, index), value=value) for index in indexes]
        transaction = Transaction(write_id=uuid.uuid4().hex, conditions=conditions, puts=puts)
        try:
            self._table.commit(transaction)
        except WriteConflict:
            raise
        except WriteOutcomeUnknown:
            return None
        except StoreUnavailable:
            return False
        return True


def release_transaction(release_by_row: Mapping[str, ReleaseLease]) -> Transaction:
    """Return the transaction that releases leases, all or none."""
    return Transaction(
        write_id=uuid.uuid4().hex,
        conditions=[Condition(key=k, version=r.version) for k, r in release_by_row.items()],
        puts=[Put(key=k, value=r.record.model_dump()) for k, r in release_by_row.items()],
    )


def observed_lease(row: Row | None) -> ObservedLease:
    """Return the lease in ``row``."""
    if row is None:
        return ObservedLease(None)
    return ObservedLease(LeaseRecord.model_validate(row.value), row.version)


def manifest_entries(key: str, rows: Iterable[Row]) -> list[ManifestEntry]:
    """Return the completed ranges that a job's manifest rows list."""
    prefix = manifest_prefix(key)
    return [
        ManifestEntry.model_validate(entry)
        for row in rows
        if row.key.startswith(prefix)
        for entry in row.value["entries"]
    ]
