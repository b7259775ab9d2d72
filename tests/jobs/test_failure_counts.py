"""Failures of an item are counted over all owners of its job."""

from __future__ import annotations

import asyncio
import zlib
from unittest import mock

import orjson

from mountstand.jobs.item_execution import ItemProgress
from mountstand.jobs.model import SavedProgress, encode_progress
from mountstand.jobs.progress_saving import HeadVersion, ProgressSaver
from mountstand.jobs.repository import PROGRESS_TABLE, JobRepository
from mountstand.store.rows import Transaction
from tests.jobs.test_jobs import BATCH, Daemon, JobTestCase, submission
from tests.stand_ins.harness import eventually
from tests.stand_ins.worker import Received, stream, whole

SERVER_ERROR = whole(b"", "500 Internal Server Error")
FAILED = [("job1-i0", "failed", "")]
REFUSED_FOR_S = 1.0


async def late_error(request: Received, writer: asyncio.StreamWriter) -> None:
    """Fail after a while, so that a test can act between two runs."""
    await asyncio.sleep(0.2)
    await SERVER_ERROR(request, writer)


class FailureCounts(JobTestCase):
    def runs(self) -> int:
        return len(self.fleet.workers[0].received)

    async def run_over_owners(self, end_owner) -> None:  # type: ignore[no-untyped-def]
        """Give the job a new owner each time that its item runs again."""
        daemons = [self.daemon(f"d{number}") for number in range(6)]
        for daemon in daemons:
            await daemon.watcher.loaded.wait()
        await daemons[0].submit(submission(items=1))
        for runs in range(1, BATCH.max_attempts):
            await eventually(lambda runs=runs: self.runs() > runs, "the item runs again")
            [owner] = [d for d in daemons if d.name in self.live and "job1" in d.jobs._runners]
            await end_owner(owner)
        [*_, survivor] = [daemon for daemon in daemons if daemon.name in self.live]
        self.assertEqual(FAILED, await survivor.wait_for_results(1))

    def test_failures_outlive_owners_that_are_killed(self) -> None:
        """Guards against an item that runs without end as its owners die one after the other.

        A run whose owner is killed meanwhile is not counted by anybody.
        """

        async def kill(owner: Daemon) -> None:
            owner.kill()

        async def work() -> None:
            await self.run_over_owners(kill)
            self.assertEqual(BATCH.max_attempts + 2, self.runs())

        self.run_scenario(work, (late_error,))

    def test_failures_outlive_planned_stops(self) -> None:
        """Guards against an item that is counted anew at each hand-over of its job."""

        async def stop(owner: Daemon) -> None:
            await asyncio.wait_for(owner.jobs.drain(), 2.0)
            owner.kill()

        async def work() -> None:
            await self.run_over_owners(stop)
            self.assertEqual(BATCH.max_attempts + 2, self.runs())

        self.run_scenario(work, (late_error,))

    def test_failure_after_output_that_was_saved_before_is_saved(self) -> None:
        """Guards against a count that is saved only if the output has moved on as well."""

        async def work() -> None:
            first, second = self.daemon("d1"), self.daemon("d2")
            await second.watcher.loaded.wait()
            await first.submit(submission(items=1))
            await eventually(lambda: self.runs() == 4, "the item has failed twice", 15.0)
            first.kill()
            self.assertEqual(FAILED, await second.wait_for_results(1))
            self.assertEqual([0, 2, 2, 2, 2], [r.resume_after for r in self.received()])

        broken = stream(4, gap_s=0.9, cut_after=2)
        self.run_scenario(work, (broken, late_error, late_error, late_error))

    def received(self) -> list[Received]:
        return self.fleet.workers[0].received

    def test_item_is_not_sent_again_before_its_failure_is_saved(self) -> None:
        """Guards against failures that are forgotten as the store refuses writes for seconds."""

        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission(items=1))
            self.store.fault = lambda call: "refuse" if call == "commit" else ""
            await eventually(lambda: self.fleet.log.lines("saving_delayed"), "a save is refused")
            await asyncio.sleep(REFUSED_FOR_S)
            self.assertEqual(1, self.runs())
            self.store.fault = lambda call: ""
            self.assert_all_completed(await daemon.wait_for_results(1), 1)
            self.assertEqual(2, self.runs())

        self.run_scenario(work, (late_error, stream(4)))

    def test_item_goes_on_after_an_unexpected_error_while_its_failure_is_saved(self) -> None:
        """Guards against an item that is dropped, or runs again with an unsaved failure."""

        async def work() -> None:
            save_failures = ProgressSaver.save_failures
            errors = iter([ValueError("unexpected")])

            async def fail_once(saver: ProgressSaver, progress: ItemProgress) -> None:
                for error in errors:
                    raise error
                await save_failures(saver, progress)
                self.assertEqual(1, self.runs())

            with mock.patch.object(ProgressSaver, "save_failures", fail_once):
                daemon = self.daemon()
                await daemon.submit(submission(items=1))
                self.assert_all_completed(await daemon.wait_for_results(1), 1)
            (line,) = self.fleet.log.lines("item_task_failed")
            self.assertIn("unexpected", line["cause"])

        self.run_scenario(work, (late_error, stream(4)))

    def test_failures_of_a_job_are_saved_together(self) -> None:
        """Guards against a write for each item as a worker fails all of them at once."""

        async def work() -> None:
            daemon = self.daemon()
            writes: list[int] = []
            commit = self.store.commit

            async def counted(transaction: Transaction) -> int:
                writes.append(sum(key.table == PROGRESS_TABLE for key, _ in transaction.puts))
                await asyncio.sleep(0.05)
                return await commit(transaction)

            self.store.commit = counted  # type: ignore[method-assign]
            await daemon.submit(submission(items=8))
            await daemon.wait_for_results(8)
            saves = [rows for rows in writes if rows]
            self.assertGreaterEqual(sum(saves), 16)
            self.assertLess(len(saves), 12)

        self.run_scenario(work, (late_error,))

    def test_failures_are_saved_without_output_that_is_too_large(self) -> None:
        """Guards against a count that is lost beside output which does not fit in a row."""

        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission(items=1))
            await daemon.wait_for_results(1)
            head, version = await self.repository().load_head("job1") or self.fail("no head")
            progress = ItemProgress(0, submission(items=1).items[0])
            progress.texts = [f"{number:x}" * 8 for number in range(100, 1500)]
            progress.last_event_id, progress.software_key, progress.failures = 1400, 7, 2
            saver = ProgressSaver(
                self.repository(), {0: progress}, lambda: HeadVersion(head, version)
            )
            await saver.save()
            [row] = [
                row.value for key, row in self.store.rows.items() if key.table == PROGRESS_TABLE
            ]
            assert row is not None
            self.assertEqual([0, 0, 2, []], orjson.loads(zlib.decompress(row)))
            self.assertFalse(progress.has_unsaved_failures)

        self.run_scenario(work, (stream(4),))

    def repository(self) -> JobRepository:
        return JobRepository(self.store, self.store, 1024)

    def test_row_of_failures_alone_has_the_form_that_former_versions_read(self) -> None:
        """Guards against rows that a daemon of the version before cannot read."""
        row = encode_progress(SavedProgress(3, 0, 2, []))
        self.assertEqual([3, 0, 2, []], orjson.loads(zlib.decompress(row)))
