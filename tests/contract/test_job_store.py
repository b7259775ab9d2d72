"""Every fence of the job store, each against the write that it must stop."""

from __future__ import annotations

import math
from dataclasses import replace
from unittest import mock

from testtools import TestCase

from mountstand.batch.job_ledger import JobLedger
from mountstand.batch.job_store import FencedPlan, JobStore
from mountstand.batch.model import (
    JobRecord,
    JobState,
    LeaseRecord,
    RangeInfo,
    job_row,
    lease_row,
    manifest_prefix,
)
from mountstand.batch.shard_leases import ClaimLease, ReleaseLease
from mountstand.clock import elapsed_s
from mountstand.errors import WriteConflict
from mountstand.store.memory_table import MemoryObjects, MemoryTable
from mountstand.store.ports import Put, Transaction

KEY = "tenant/job"
SHARD = 3
RELEASED_SHARDS = (5, 6, 7)


class JobStoreFences(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = MemoryTable()
        self.store = JobStore(self.table, MemoryObjects())
        self.record = JobRecord(
            tenant="tenant",
            job_id="job",
            service="caption",
            content_hash="",
            upload_id="upload",
            item_count=2,
            range_count=2,
        )
        self.job_version = self.write(job_row(KEY), self.record.model_dump(mode="json"))
        self.lease_version = self.store.write_lease(self.claim("first", 0))

    def write(self, key: str, value: dict) -> int:
        transaction = Transaction(write_id="test", puts=[Put(key=key, value=value)])
        return self.table.commit(transaction).version

    def claim(self, owner: str, version: int) -> ClaimLease:
        return ClaimLease(
            SHARD, version, LeaseRecord(owner_id=owner, incarnation=1, epoch=version + 1)
        )

    def fenced_plan(self) -> FencedPlan:
        infos = [RangeInfo(first_item=n, item_count=1) for n in range(2)]
        ledger = JobLedger.recover(self.record, self.job_version, 1, infos, [], [])
        ledger.grant("executor", 1, 10.0)
        ledger.report(0, "segment", 1, 0)
        plan = ledger.plan_commit("write", 1.0)
        assert plan is not None
        return FencedPlan(KEY, SHARD, self.lease_version, plan)

    def manifest(self) -> list:
        return self.table.read(prefixes=(manifest_prefix(KEY),)).rows

    def test_a_plan_commits_once(self) -> None:
        plan = self.fenced_plan()
        version = self.store.commit_plans("write", [plan])
        self.assertEqual(version, self.store.find_commit("write", [plan]))
        self.assertRaises(WriteConflict, self.store.commit_plans, "write", [plan])
        self.assertEqual(1, len(self.manifest()))

    def test_a_commit_after_a_cancel_fails(self) -> None:
        plan = self.fenced_plan()
        cancelled = self.record.model_copy(update={"state": JobState.CANCELLED})
        self.write(job_row(KEY), cancelled.model_dump(mode="json"))
        self.assertRaises(WriteConflict, self.store.commit_plans, "write", [plan])
        self.assertEqual([], self.manifest())

    def test_a_commit_of_a_former_owner_fails(self) -> None:
        plan = self.fenced_plan()
        self.store.write_lease(self.claim("second", self.lease_version))
        self.assertRaises(WriteConflict, self.store.commit_plans, "write", [plan])
        self.assertEqual([], self.manifest())

    def test_a_lease_is_claimed_by_one_of_two(self) -> None:
        self.store.write_lease(self.claim("second", self.lease_version))
        late = self.claim("third", self.lease_version)
        self.assertRaises(WriteConflict, self.store.write_lease, late)
        row = self.table.read(lease_row(SHARD)).rows[0]
        self.assertEqual("second", row.value["owner_id"])

    def test_all_leases_are_released_at_once_but_those_that_were_lost(self) -> None:
        """Guards against a release that takes one operation for each shard."""
        releases = self.releases_of_claimed()
        taken_over = releases[1]
        second = LeaseRecord(owner_id="second", incarnation=1, epoch=2)
        self.store.write_lease(ClaimLease(taken_over.shard, taken_over.version, second))
        with mock.patch.object(self.table, "commit", wraps=self.table.commit) as commit:
            self.assertEqual([taken_over], self.store.release_leases(releases, math.inf))
        self.assertEqual(2, commit.call_count)
        rows = [self.table.read(lease_row(shard)).rows[0] for shard in RELEASED_SHARDS]
        self.assertEqual([True, False, True], [row.value["released"] for row in rows])

    def test_lost_leases_do_not_prolong_a_release_past_its_deadline(self) -> None:
        releases = [replace(release, version=0) for release in self.releases_of_claimed()]
        with mock.patch.object(self.table, "commit", wraps=self.table.commit) as commit:
            self.assertRaises(WriteConflict, self.store.release_leases, releases, elapsed_s())
        self.assertEqual(1, commit.call_count)

    def releases_of_claimed(self) -> list[ReleaseLease]:
        """Claim some shards; return their releases."""
        releases = []
        for shard in RELEASED_SHARDS:
            record = LeaseRecord(owner_id="first", incarnation=1, epoch=1)
            version = self.store.write_lease(ClaimLease(shard, 0, record))
            released = record.model_copy(update={"released": True})
            releases.append(ReleaseLease(shard, version, released))
        return releases

    def test_a_range_is_marked_once(self) -> None:
        mark = (KEY, SHARD, self.lease_version, [1], "executor")
        self.assertTrue(self.store.mark_attempts(*mark))
        self.assertRaises(WriteConflict, self.store.mark_attempts, *mark)

    def test_a_former_owner_marks_nothing(self) -> None:
        self.store.write_lease(self.claim("second", self.lease_version))
        mark = (KEY, SHARD, self.lease_version, [1], "executor")
        self.assertRaises(WriteConflict, self.store.mark_attempts, *mark)
