"""The store's clock as the feeds tell it."""

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
from mountstand.store.rows import StoreRefused
from mountstand.store.watch import LONGEST_RETRY_S
from tests.stand_ins.harness import RecordingLog
from tests.stand_ins.paused_clock import run_paused
from tests.unit.test_platform_settings import GOOD


def feeds(store: MemoryRowStore) -> ServingFeeds:
    """Return feeds that tell nobody."""
    own = DaemonRow("front-1", "t", "127.0.0.1:1", "127.0.0.1", 1, "a")
    registry = DaemonRegistry(store, own, RecordingLog(), lambda: None)
    targets = FeedTargets(lambda c: None, lambda c: None, registry, lambda c: None, lambda c: None)
    return ServingFeeds(store, PlatformRows(), targets, settings_from(GOOD), RecordingLog())


class Clock(TestCase):
    def test_unknown_until_the_store_has_answered(self) -> None:
        async def scenario() -> None:
            followed = feeds(MemoryRowStore())
            followed.configuration.adopt([], 5, 0.0)
            with ExpectedException(StoreRefused):
                followed.store_now_ms(asyncio.get_running_loop().time())

        run_paused(scenario())

    def test_any_feed_that_was_answered_tells_it(self) -> None:
        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            followed = feeds(MemoryRowStore())
            task = asyncio.create_task(followed.workers.run())
            await followed.workers.loaded.wait()
            told_ms = followed.workers.now_ms
            await asyncio.sleep(0.5)
            self.assertAlmostEqual(told_ms + 500, followed.store_now_ms(loop.time()), delta=2)
            task.cancel()

        run_paused(scenario())


class Calls(TestCase):
    """How many calls the feeds make while nothing, or a job, changes."""

    async def calls_in(self, followed: ServingFeeds, span_s: float) -> dict[str, int]:
        counts: Counter[str] = Counter()
        watchers = (followed.configuration, followed.workers, followed.daemons, followed.jobs)
        for watcher in watchers:
            step = watcher._step

            async def counted(step: Any = step, table: str = watcher.table) -> bool:
                counts[table] += 1
                return bool(await step())

            watcher._step = counted  # type: ignore[method-assign]
        tasks = [asyncio.create_task(watcher.run()) for watcher in watchers]
        await asyncio.sleep(span_s)
        for task in tasks:
            task.cancel()
        return counts

    def test_feeds_are_held_for_half_of_the_time_out_of_touch(self) -> None:
        async def scenario() -> None:
            followed = feeds(MemoryRowStore())
            followed.apply_settings(replace(settings_from(GOOD), contact_s=5.0, cancel_s=3.0))
            counts = await self.calls_in(followed, 30.0)
            self.assertTrue(12 <= counts[followed.workers.table] <= 14, counts)
            self.assertTrue(20 <= counts[followed.jobs.table] <= 22, counts)

        run_paused(scenario())

    def test_a_held_feed_that_breaks_is_followed_again_within_the_time_out_of_touch(self) -> None:
        for contact_s in (3.0, 5.0):
            followed = feeds(MemoryRowStore())
            followed.apply_settings(replace(settings_from(GOOD), contact_s=contact_s))
            noticed_s = followed.workers.wait_s + FEED_SLACK_S + LONGEST_RETRY_S
            self.assertLessEqual(noticed_s, contact_s)

    def test_many_daemons_look_at_jobs_as_seldom_as_the_end_of_one_allows(self) -> None:
        followed = feeds(MemoryRowStore())
        followed.limit_job_polling(10, 3.0)
        self.assertEqual(0.1, followed.jobs.pause_s)
        followed.limit_job_polling(1000, 3.0)
        self.assertEqual(1.0, followed.jobs.pause_s)
