"""Owners, executors and the table in virtual time, against crashes, pauses and lost answers.

Two owners with their own leases and ledgers act on one real :class:`MemoryTable` through the real
:class:`JobStore`. The rules reorder, repeat and lose what passes between them. After each step the
manifest, which is all that readers see, must hold every range at most once, and a cancelled job
must not change.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import Bundle, RuleBasedStateMachine, initialize, invariant, rule
from testtools import TestCase

from mountstand.batch.job_ledger import JobLedger
from mountstand.batch.job_store import FencedPlan, JobStore, manifest_entries
from mountstand.batch.model import (
    InputIndex,
    JobRecord,
    JobState,
    LeaseRecord,
    RangeInfo,
    index_object,
    job_row,
    manifest_prefix,
    open_row,
)
from mountstand.batch.shard_leases import (
    ClaimLease,
    ObservedLease,
    ShardLeases,
    preferred_owner,
)
from mountstand.errors import WriteConflict, WriteOutcomeUnknown
from mountstand.store.memory_table import MemoryObjects, MemoryTable
from mountstand.store.ports import Condition, Outcome, Put, Transaction

KEY = "tenant/job"
SHARD = 0
RANGES = 3
ITEMS = 2
LEASE_S = 2.0


class LossyTable(MemoryTable):
    """A table whose next answer can be lost after the write took effect."""

    lose_next_answer = False

    def commit(self, transaction: Transaction) -> Outcome:
        outcome = super().commit(transaction)
        if self.lose_next_answer and transaction.puts:
            self.lose_next_answer = False
            raise WriteOutcomeUnknown()
        return outcome


@dataclass
class Owner:
    """One daemon's owner side; ``commit`` is a try whose outcome is not known yet."""

    leases: ShardLeases
    ledger: JobLedger | None = None
    commit: tuple[str, list[FencedPlan]] | None = None


@dataclass
class Grant:
    """A range given out by some owner."""

    owner: int
    index: int
    epoch: int
    executor: str


@dataclass
class Segment:
    """Results of a range that may be reported at any time, to anybody, any number of times."""

    index: int
    name: str


@dataclass
class Run:
    """How often a range was run; each run is a dispatch of its items."""

    by_index: dict[int, int] = field(default_factory=dict)


class JobOwnership(RuleBasedStateMachine):
    """The rules; ``repeatable`` is drawn per run."""

    grants = Bundle("grants")
    segments = Bundle("segments")

    @initialize(repeatable=st.booleans())
    def accept_job(self, repeatable: bool) -> None:
        self.now_s = 100.0
        self.write_number = 0
        self.table = LossyTable()
        self.objects = MemoryObjects()
        self.store = JobStore(self.table, self.objects)
        self.runs = Run()
        self.cancelled_manifest: list[int] | None = None
        self.owners = [Owner(ShardLeases(f"owner-{n}", 1, 1, LEASE_S)) for n in range(2)]
        index = InputIndex(
            ranges=[RangeInfo(first_item=n * ITEMS, item_count=ITEMS) for n in range(RANGES)]
        )
        record = JobRecord(
            tenant="tenant",
            job_id="job",
            service="caption",
            content_hash="",
            upload_id="upload",
            item_count=RANGES * ITEMS,
            range_count=RANGES,
            repeatable=repeatable,
        )
        self.repeatable = repeatable
        self.objects.put(index_object("upload"), index.model_dump_json().encode())
        self.table.commit(
            Transaction(
                write_id="accept",
                puts=[
                    Put(key=job_row(KEY), value=record.model_dump(mode="json")),
                    Put(key=open_row(SHARD, KEY), value={}),
                ],
            )
        )

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 10.0]))
    def time_passes(self, seconds: float) -> None:
        self.now_s += seconds

    @rule(number=st.integers(0, 1), sees_other=st.booleans(), lose=st.booleans())
    def poll(self, number: int, sees_other: bool, lose: bool) -> None:
        """Read the leases; each owner may believe the other alive or dead, rightly or not."""
        owner = self.owners[number]
        other_id = f"owner-{1 - number}"
        ids = {owner.leases.self_id} | ({other_id} if sees_other else set())
        owner.leases.update_members(ids)
        reading = self.store.read_shards([SHARD])
        instructions = owner.leases.handle_read(reading.leases, dict.fromkeys(ids, 1), self.now_s)
        if SHARD not in owner.leases.held:
            owner.ledger = None
        for instruction in instructions:
            self.table.lose_next_answer = lose
            try:
                version = self.store.write_lease(instruction)
            except WriteConflict:
                continue
            finally:
                self.table.lose_next_answer = False
            if isinstance(instruction, ClaimLease):
                owner.leases.claim_succeeded(instruction, version, self.now_s)
            else:
                owner.leases.lost(SHARD)
                owner.ledger = None

    def load(self, number: int) -> None:
        owner = self.owners[number]
        held = owner.leases.held.get(SHARD)
        if held is not None and owner.ledger is None:
            owner.ledger = self.store.recover_ledger(KEY, held.epoch, self.now_s + 5.0)

    @rule(number=st.integers(0, 1), chance=st.integers(1, 4))
    def maybe_crash(self, number: int, chance: int) -> None:
        if chance == 4:
            self.crash(number)

    def crash(self, number: int) -> None:
        """Lose all memory; the process comes back under a new incarnation."""
        incarnation = self.owners[number].leases.incarnation + 1
        self.owners[number] = Owner(ShardLeases(f"owner-{number}", incarnation, 1, LEASE_S))

    @rule(
        target=grants,
        number=st.integers(0, 1),
        executor=st.sampled_from(["x", "y"]),
        lose=st.booleans(),
    )
    def grant(self, number: int, executor: str, lose: bool) -> Grant | None:
        """Give a range out, also when the owner is out of date, and run it at once."""
        owner = self.owners[number]
        held = owner.leases.held.get(SHARD)
        if owner.ledger is None or held is None:
            return None
        indexes = owner.ledger.grant(executor, 1, self.now_s + 5.0)
        if not self.repeatable and indexes:
            self.table.lose_next_answer = lose
            marked: bool | None = False
            try:
                marked = self.store.mark_attempts(KEY, SHARD, held.version, indexes, executor)
            except WriteConflict:
                marked = False
            finally:
                self.table.lose_next_answer = False
            owner.ledger.finish_marking(indexes, marked=marked)
            indexes = indexes if marked else []
        for index in indexes:
            self.runs.by_index[index] = self.runs.by_index.get(index, 0) + 1
            return Grant(number, index, owner.ledger.epoch, executor)
        return None

    @rule(number=st.integers(0, 1))
    def take_over(self, number: int) -> None:
        """Become the owner, whatever the other believes; the other keeps its ledger."""
        for _ in range(2):
            self.now_s += 2 * LEASE_S
            self.poll(number, sees_other=False, lose=False)
        self.load(number)

    @rule(target=segments, number=st.integers(0, 1))
    def work(self, number: int) -> Segment | None:
        """Give a range out, run it and report it."""
        segment = self.finish_running(self.grant(number, "x", lose=False), 0)
        self.report(segment, number)
        return segment

    @rule(target=segments, grant=grants, unique=st.integers(0, 3))
    def finish_running(self, grant: Grant | None, unique: int) -> Segment | None:
        return Segment(grant.index, f"segment-{grant.index}-{unique}") if grant else None

    @rule(segment=segments, number=st.integers(0, 1))
    def report(self, segment: Segment | None, number: int) -> None:
        ledger = self.owners[number].ledger
        if segment is not None and ledger is not None:
            ledger.report(segment.index, segment.name, ITEMS, 0)

    @rule(grant=grants, number=st.integers(0, 1))
    def renew(self, grant: Grant | None, number: int) -> None:
        ledger = self.owners[number].ledger
        if grant is not None and ledger is not None:
            ledger.renew(grant.executor, grant.index, self.now_s + 5.0)

    @rule(number=st.integers(0, 1))
    def expire_ranges(self, number: int) -> None:
        ledger = self.owners[number].ledger
        if ledger is not None:
            for index in ledger.expire_leases(self.now_s):
                ledger.report(index, f"unknown-{index}", 0, ITEMS)

    @rule(number=st.integers(0, 1), lose=st.booleans())
    def commit(self, number: int, lose: bool) -> None:
        """Commit, or try the commit again whose answer was lost."""
        owner = self.owners[number]
        held = owner.leases.held.get(SHARD)
        if owner.commit is None and owner.ledger is not None and held is not None:
            self.write_number += 1
            write_id = f"write-{self.write_number}"
            plan = owner.ledger.plan_commit(write_id, 1.0)
            if plan is not None:
                owner.commit = (write_id, [FencedPlan(KEY, SHARD, held.version, plan)])
        if owner.commit is None:
            return
        write_id, fenced = owner.commit
        self.table.lose_next_answer = lose
        try:
            version: int | None = self.store.commit_plans(write_id, fenced)
        except WriteOutcomeUnknown:
            return
        except WriteConflict:
            version = self.store.find_commit(write_id, fenced)
        finally:
            self.table.lose_next_answer = False
        owner.commit = None
        if version is None:
            owner.ledger = None
        elif owner.ledger is not None and owner.ledger.plan is fenced[0].plan:
            owner.ledger.commit_succeeded(version)

    @rule(chance=st.integers(1, 12))
    def cancel(self, chance: int) -> None:
        """Cancel now and then; more often, hardly a job would come to its end."""
        if chance < 12:
            return
        row = self.table.read(job_row(KEY)).row(job_row(KEY))
        assert row is not None
        record = JobRecord.model_validate(row.value)
        if record.state is not JobState.RUNNING:
            return
        cancelled = record.model_copy(update={"state": JobState.CANCELLED})
        self.table.commit(
            Transaction(
                write_id="cancel",
                conditions=[Condition(key=job_row(KEY), version=row.version)],
                puts=[Put(key=job_row(KEY), value=cancelled.model_dump(mode="json"))],
                deletes=[open_row(SHARD, KEY)],
            )
        )
        self.cancelled_manifest = self.manifest()

    def manifest(self) -> list[int]:
        rows = self.table.read(prefixes=(manifest_prefix(KEY),)).rows
        return sorted(entry.range_index for entry in manifest_entries(KEY, rows))

    @invariant()
    def every_range_counts_at_most_once(self) -> None:
        indexes = self.manifest()
        assert len(indexes) == len(set(indexes)), f"a range stands twice: {indexes}"

    @invariant()
    def counts_agree_with_the_manifest(self) -> None:
        row = self.table.read(job_row(KEY)).row(job_row(KEY))
        assert row is not None
        record = JobRecord.model_validate(row.value)
        assert record.done == ITEMS * len(self.manifest())
        if record.state is JobState.COMPLETED:
            assert len(self.manifest()) == RANGES

    @invariant()
    def nothing_commits_after_a_cancel(self) -> None:
        if self.cancelled_manifest is not None:
            assert self.manifest() == self.cancelled_manifest

    @invariant()
    def not_repeatable_ranges_run_at_most_once(self) -> None:
        if not self.repeatable:
            assert all(count <= 1 for count in self.runs.by_index.values()), self.runs

    @invariant()
    def ledgers_are_consistent(self) -> None:
        for owner in self.owners:
            if owner.ledger is not None:
                owner.ledger.validate_state()

    def teardown(self) -> None:
        """Whatever happened before, one healthy owner completes the job."""
        if not hasattr(self, "owners") or self.cancelled_manifest is not None:
            return
        self.crash(0)
        for _ in range(4):
            self.now_s += 20.0
            self.poll(0, sees_other=False, lose=False)
            self.load(0)
            for _ in range(RANGES):
                grant = self.grant(0, "x", lose=False)
                self.report(self.finish_running(grant, 9), 0)
            self.expire_ranges(0)
            self.commit(0, lose=False)
        assert self.manifest() == list(range(RANGES)), self.manifest()


JobOwnership.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True, database=None
)
TestJobOwnership = JobOwnership.TestCase


class Restarts(TestCase):
    """Leases whose holder is another process now."""

    def owner(self, name: str, incarnation: int) -> ShardLeases:
        return ShardLeases(name, incarnation, 8, LEASE_S)

    def test_a_shard_of_a_process_that_started_again_does_not_stay_without_an_owner(self) -> None:
        """Its new process should not own it any more, and the one that should saw it alive."""
        shard = next(n for n in range(8) if preferred_owner(n, ["a", "b"]) == "a")
        record = LeaseRecord(owner_id="b", incarnation=5000, epoch=3)
        leases = {shard: ObservedLease(record, 7)}
        cases = (("the process that holds it", 5003, False), ("a later process", 9000, True))
        for name, incarnation, claims in (*cases, ("a seed that said nothing yet", 0, False)):
            with self.subTest(name):
                first = self.owner("a", 8000)
                first.update_members(["a", "b"])
                live = {"a": 8000, "b": incarnation}
                self.assertEqual([], first.handle_read(leases, live, 100.0), "not at once")
                found = first.handle_read(leases, live, 100.0 + LEASE_S)
                self.assertEqual(claims, bool(found))
