"""Grouped commits of a job owner: one transaction for the reported ranges of many jobs.

At most one transaction is unresolved at a time. Until its outcome is known the very same one is
tried again; its conditions let it take effect once.
"""

from __future__ import annotations

import threading
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from mountstand.batch.job_ledger import JobLedger
from mountstand.batch.job_store import FencedPlan, JobStore
from mountstand.batch.model import JOB_PREFIX, LEASE_PREFIX, shard_of
from mountstand.batch.shard_leases import ShardLeases
from mountstand.errors import MountstandError
from mountstand.store.memory_table import TransactionConflict
from mountstand.telemetry.metrics import DaemonMetrics

MAX_PLANS_PER_COMMIT = 50


@dataclass(frozen=True)
class PendingCommit:
    """A transaction whose outcome is not known yet."""

    write_id: str
    plans: list[FencedPlan]


class CommitPipeline:
    """Commits for one owner; shares the owner's lock, ledgers and leases."""

    def __init__(
        self,
        store: JobStore,
        shards: int,
        metrics: DaemonMetrics,
        lock: threading.RLock,
        ledgers: dict[str, JobLedger],
        leases: ShardLeases,
        *,
        lose_shard: Callable[[int], None],
        job_changed: Callable[[str], None],
        job_completed: Callable[[str], None],
    ) -> None:
        self._store = store
        self._shards = shards
        self._metrics = metrics
        self._lock = lock
        self._ledgers = ledgers
        self._leases = leases
        self._lose_shard = lose_shard
        self._job_changed = job_changed
        self._job_completed = job_completed
        self._pending: PendingCommit | None = None
        self._run_lock = threading.Lock()

    def run(self) -> None:
        """Make all reported ranges durable; raise when the store does not answer.

        Runs of several threads follow one another, so that one transaction at most is unresolved.
        """
        with self._run_lock:
            self._run()

    def _run(self) -> None:
        while True:
            if self._pending is None:
                self._pending = self._next()
            if self._pending is None:
                return
            pending = self._pending
            try:
                version = self._store.commit_plans(pending.write_id, pending.plans)
            except TransactionConflict as conflict:
                self._resolve_conflict(pending, conflict)
                continue
            except MountstandError as error:
                self._metrics.batch_commits.labels(error.code).inc()
                raise
            self._finish(pending, version)

    def _next(self) -> PendingCommit | None:
        write_id = uuid.uuid4().hex
        plans: list[FencedPlan] = []
        with self._lock:
            for key, ledger in self._ledgers.items():
                shard = shard_of(key, self._shards)
                held = self._leases.held.get(shard)
                if held is None or len(plans) >= MAX_PLANS_PER_COMMIT:
                    continue
                plan = ledger.plan_commit(write_id, time.time())
                if plan is not None:
                    plans.append(FencedPlan(key, shard, held.version, plan))
        return PendingCommit(write_id, plans) if plans else None

    def _finish(self, pending: PendingCommit, version: int) -> None:
        self._pending = None
        self._metrics.batch_commits.labels("ok").inc()
        with self._lock:
            for item in pending.plans:
                ledger = self._ledgers.get(item.key)
                if ledger is None or ledger.plan is not item.plan:
                    continue
                ledger.commit_succeeded(version)
                if ledger.closed:
                    del self._ledgers[item.key]
                    self._job_completed(item.key)

    def _resolve_conflict(self, pending: PendingCommit, conflict: TransactionConflict) -> None:
        """Find out whether an earlier try took effect; if not, drop what is out of date."""
        version = self._store.find_commit(pending.write_id, pending.plans)
        if version is not None:
            self._finish(pending, version)
            return
        self._metrics.batch_commits.labels("conflict").inc()
        self._pending = None
        with self._lock:
            for item in pending.plans:
                ledger = self._ledgers.get(item.key)
                if ledger is not None and ledger.plan is item.plan:
                    ledger.abandon_plan()
        if conflict.key.startswith(LEASE_PREFIX):
            self._lose_shard(int(conflict.key.removeprefix(LEASE_PREFIX)))
        else:
            self._job_changed(conflict.key.removeprefix(JOB_PREFIX))
