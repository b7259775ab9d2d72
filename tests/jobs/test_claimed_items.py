"""Batch items that claim a trial before they run."""

from __future__ import annotations

import asyncio

import orjson

from mountstand.quarantine.stored import PART_ROW_PREFIX, StoredSuspects
from mountstand.quarantine.workload import Workload
from mountstand.serving.worker_protocol import Call
from mountstand.store.rows import Transaction
from tests.jobs.test_jobs import JobTestCase, submission
from tests.stand_ins.harness import HOST, eventually
from tests.stand_ins.worker import stream

ITEM_CALL = Call("", HOST, "POST", "/batch/0", (), b"b0", workload=Workload.BATCH)
"""The request of the only item of the job; its id is not part of the content."""

LAST_CRASH_AGO_S = 3.0
STORE_NOW_MS = 1_000_000


class ClaimedItems(JobTestCase):
    def let_workers_crash(self) -> StoredSuspects:
        """Make the item's trial due; return the rows of contents."""
        quarantine, log = self.fleet.quarantine, self.fleet.log
        stored = StoredSuspects(quarantine.suspects, self.store, lambda: STORE_NOW_MS, log)
        stored_parts = StoredSuspects(
            quarantine.parts.suspects, self.store, lambda: STORE_NOW_MS, log, PART_ROW_PREFIX
        )
        quarantine.attach_store(stored, stored_parts)
        now_s = asyncio.get_running_loop().time()
        at_s = now_s - LAST_CRASH_AGO_S
        for worker in (1, 2, 3):
            quarantine._sharing.note_worker_crash(
                worker, at_s, {ITEM_CALL.content_key: at_s}, now_s
            )
        return stored

    def test_item_claims_its_trial_and_runs(self) -> None:
        """Guards against items that are never tried."""

        async def work() -> None:
            self.let_workers_crash()
            daemon = self.daemon()
            await daemon.submit(submission(items=1))
            self.assert_all_completed(await daemon.wait_for_results(1), items=1)
            self.assertEqual(1, len(self.fleet.log.lines("trial_claimed")))

        self.run_scenario(work, (stream(4),))

    def test_item_waits_while_another_daemon_tries_it(self) -> None:
        """Guards against two runs of one item's content, and against a slot that it keeps."""

        async def work() -> None:
            stored = self.let_workers_crash()
            fields = {"trial": 1, "at": STORE_NOW_MS, "by": "other", "token": "other"}
            key = stored.claim_key(ITEM_CALL.content_key)
            self.store.apply(Transaction(puts=[(key, orjson.dumps(fields))]))
            daemon = self.daemon()
            await daemon.submit(submission(items=1))
            await eventually(lambda: self.fleet.log.lines("trial_refused"), "the claim is refused")
            await asyncio.sleep(0.5)
            self.assertEqual([], self.fleet.received())
            self.assertEqual(0, self.fleet.directory.workers["w0"].in_flight)

        self.run_scenario(work, (stream(4),))
