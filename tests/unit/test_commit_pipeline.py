"""Commits of one owner follow one another, also where a stop commits beside the periodic task."""

from __future__ import annotations

import threading
from unittest import mock

from testtools import TestCase

from mountstand.batch.commit_pipeline import CommitPipeline
from mountstand.batch.shard_leases import HeldLease, ShardLeases

SHARDS = 1
WAIT_S = 10.0


class SlowStore:
    """A store whose first commit waits to be told to go on."""

    def __init__(self) -> None:
        self.began = threading.Event()
        self.go_on = threading.Event()
        self.write_ids: list[str] = []

    def commit_plans(self, write_id: str, plans: object) -> int:
        self.write_ids.append(write_id)
        self.began.set()
        self.go_on.wait(WAIT_S)
        return 1


class TwoThreads(TestCase):
    def test_a_transaction_is_sent_by_one_of_them(self) -> None:
        store = SlowStore()
        self.addCleanup(store.go_on.set)
        ledger = mock.Mock(closed=False)
        ledger.plan_commit.side_effect = [mock.Mock(), None, None, None]
        leases = ShardLeases("d0", 1, SHARDS, 2.0, {0: HeldLease(1, 1, 0.0)})
        pipeline = CommitPipeline(
            store,  # type: ignore[arg-type]
            SHARDS,
            mock.Mock(),
            threading.RLock(),
            {"job": ledger},
            leases,
            lose_shard=mock.Mock(),
            job_changed=mock.Mock(),
            job_completed=mock.Mock(),
        )
        threads = [threading.Thread(target=pipeline.run) for _ in range(2)]
        threads[0].start()
        self.assertTrue(store.began.wait(WAIT_S))
        threads[1].start()
        threads[1].join(0.2)
        store.go_on.set()
        for thread in threads:
            thread.join(WAIT_S)
        self.assertEqual(1, len(store.write_ids))
        self.assertEqual([], [thread for thread in threads if thread.is_alive()])
