"""The store clock that feeds provide, and the rate of their calls."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from typing import Any

from testtools import ExpectedException, TestCase

from mountstand.membership.registry import DaemonRegistry, DaemonRow
from mountstand.platform.__main__ import PlatformRows
from mountstand.platform.settings import settings_from
from mountstand.platform.store_client import FEED_SLACK_S
from mountstand.serving_feeds import FeedTargets, ServingFeeds
from mountstand.store.memory_rows import MemoryRowStore
from mountstand.store.rows import RowKey, RowPage, StoredRow, StoreRefused, Transaction
from mountstand.store.watch import LONGEST_RETRY_S, TableChange, TableWatcher
from tests.stand_ins.harness import RecordingLog
from tests.stand_ins.paused_clock import run_paused
from tests.unit.test_platform_settings import GOOD


def make_feeds(store: MemoryRowStore) -> ServingFeeds:
    """Return feeds whose changes are discarded."""
    own = DaemonRow("front-1", "t", "127.0.0.1:1", "127.0.0.1", 1, "a")
    registry = DaemonRegistry(store, own, RecordingLog(), lambda: None)
    targets = FeedTargets(lambda c: None, lambda c: None, registry, lambda c: None, lambda c: None)
    return ServingFeeds(store, PlatformRows(), targets, settings_from(GOOD), RecordingLog())


class StoreClock(TestCase):
    def test_clock_is_unknown_until_the_store_answers(self) -> None:
        async def scenario() -> None:
            feeds = make_feeds(MemoryRowStore())
            feeds.configuration.adopt([], 0, 5, 0.0)
            with ExpectedException(StoreRefused):
                feeds.store_now_ms(asyncio.get_running_loop().time())

        run_paused(scenario())

    def test_clock_comes_from_any_feed_that_was_answered(self) -> None:
        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            feeds = make_feeds(MemoryRowStore())
            task = asyncio.create_task(feeds.workers.run())
            await feeds.workers.loaded.wait()
            clock_ms = feeds.workers.now_ms
            await asyncio.sleep(0.5)
            self.assertAlmostEqual(clock_ms + 500, feeds.store_now_ms(loop.time()), delta=2)
            task.cancel()

        run_paused(scenario())


class SlowStore(MemoryRowStore):
    """A store whose answers come a moment later."""

    async def changes(self, table: str, after: int, wait_ms: int) -> RowPage:
        page = await super().changes(table, after, wait_ms)
        await asyncio.sleep(0.02)
        return page


class FreshWorkers(TestCase):
    def test_list_that_is_followed_is_fresh_at_any_moment(self) -> None:
        """Guards against streams that are refused in the moment in which a feed's call ends."""

        async def scenario() -> None:
            store = SlowStore()
            feeds = make_feeds(store)
            task = asyncio.create_task(feeds.workers.run())
            await feeds.workers.loaded.wait()
            for _ in range(2000):
                await asyncio.sleep(0.005)
                self.assertTrue(feeds.workers_are_fresh(asyncio.get_running_loop().time()))
            suspended_until_s = asyncio.get_running_loop().time() + 10.0
            self.assertFalse(feeds.workers_are_fresh(suspended_until_s))
            store.fault = lambda call: "refuse"
            await asyncio.sleep(5.0)
            self.assertFalse(feeds.workers_are_fresh(asyncio.get_running_loop().time()))
            task.cancel()

        run_paused(scenario())


class FeedCallRate(TestCase):
    """Feeds must neither overload the store with calls nor detect changes or failures too late."""

    async def count_calls(self, feeds: ServingFeeds, duration_s: float) -> dict[str, int]:
        counts: Counter[str] = Counter()
        watchers = (feeds.configuration, feeds.workers, feeds.daemons, feeds.jobs)
        for watcher in watchers:
            step = watcher._step

            async def counting_step(step: Any = step, table: str = watcher.table) -> bool:
                counts[table] += 1
                return bool(await step())

            watcher._step = counting_step  # type: ignore[method-assign]
        tasks = [asyncio.create_task(watcher.run()) for watcher in watchers]
        await asyncio.sleep(duration_s)
        for task in tasks:
            task.cancel()
        return counts

    def test_long_polls_last_half_of_contact_s_or_cancel_s(self) -> None:
        async def scenario() -> None:
            feeds = make_feeds(MemoryRowStore())
            feeds.apply_settings(replace(settings_from(GOOD), contact_s=5.0, cancel_s=3.0))
            counts = await self.count_calls(feeds, 30.0)
            self.assertTrue(12 <= counts[feeds.workers.table] <= 14, counts)
            self.assertTrue(20 <= counts[feeds.jobs.table] <= 22, counts)

        run_paused(scenario())

    def test_broken_long_poll_recovers_within_contact_s(self) -> None:
        for contact_s in (3.0, 5.0):
            feeds = make_feeds(MemoryRowStore())
            feeds.apply_settings(replace(settings_from(GOOD), contact_s=contact_s))
            recovery_s = feeds.workers.wait_s + FEED_SLACK_S + LONGEST_RETRY_S
            self.assertLessEqual(recovery_s, contact_s)

    def test_job_feed_pause_grows_with_the_fleet_up_to_a_third_of_cancel_s(self) -> None:
        feeds = make_feeds(MemoryRowStore())
        feeds.limit_job_feed_rate(10, 3.0)
        self.assertEqual(0.1, feeds.jobs.pause_s)
        feeds.limit_job_feed_rate(1000, 3.0)
        self.assertEqual(1.0, feeds.jobs.pause_s)


class FailingApplication(TestCase):
    """Guards against a feed that ends for good because its rows could not be applied once."""

    TABLE = "workers"

    def watcher(self, store: MemoryRowStore, failures: int) -> tuple[TableWatcher, list[bytes]]:
        """Return a watcher whose first applications fail, and the values that were applied."""
        applied: list[bytes] = []
        left = [ZeroDivisionError] * failures

        def apply(change: TableChange) -> None:
            if change.rows and left:
                raise left.pop()
            applied.extend(row.value for row in change.rows if row.value is not None)

        self.log = RecordingLog()
        return TableWatcher(store, self.TABLE, [""], apply, self.log, keep_rows=True), applied

    async def write(self, store: MemoryRowStore, key: str, value: bytes) -> None:
        await store.commit(Transaction(puts=[(RowKey(self.TABLE, "", key), value)]))

    def test_rows_are_applied_once_that_works(self) -> None:
        async def scenario() -> None:
            store = MemoryRowStore()
            watcher, applied = self.watcher(store, failures=3)
            task = asyncio.create_task(watcher.run())
            await watcher.loaded.wait()
            await self.write(store, "w1", b"first")
            await asyncio.sleep(5 * LONGEST_RETRY_S)
            self.assertFalse(task.done())
            self.assertEqual([b"first"], applied)
            await self.write(store, "w2", b"second")
            await asyncio.sleep(LONGEST_RETRY_S)
            self.assertEqual([b"first", b"second"], applied)
            self.assertFalse(watcher.failing)
            task.cancel()

        run_paused(scenario())
        self.assertEqual(3, len(self.log.lines("rows_not_applied")))

    def test_rows_of_a_peer_that_cannot_be_applied_are_not_adopted(self) -> None:
        async def scenario() -> None:
            watcher, applied = self.watcher(MemoryRowStore(), failures=1)
            rows = [StoredRow(RowKey(self.TABLE, "", "w1"), 5, b"first")]
            self.assertFalse(watcher.adopt(rows, 0, 5, 1.0))
            self.assertFalse(watcher.loaded.is_set())
            self.assertTrue(watcher.adopt(rows, 0, 5, 1.0))
            self.assertEqual([b"first"], applied)

        run_paused(scenario())
