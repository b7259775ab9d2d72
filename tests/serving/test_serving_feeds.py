"""The store's clock as the feeds tell it."""

from __future__ import annotations

import asyncio

from testtools import ExpectedException, TestCase

from mountstand.membership.registry import DaemonRegistry, DaemonRow
from mountstand.platform.__main__ import PlatformRows
from mountstand.platform.settings import settings_from
from mountstand.serving_feeds import FeedTargets, ServingFeeds
from mountstand.store.memory_rows import MemoryRowStore
from mountstand.store.rows import StoreRefused
from tests.stand_ins.harness import LineLog
from tests.stand_ins.paused_clock import run_paused
from tests.unit.test_platform_settings import GOOD


def feeds(store: MemoryRowStore) -> ServingFeeds:
    """Return feeds that tell nobody."""
    own = DaemonRow("front-1", "t", "127.0.0.1:1", "127.0.0.1", 1, "a")
    registry = DaemonRegistry(store, own, LineLog(), lambda: None)
    targets = FeedTargets(lambda c: None, lambda c: None, registry, lambda c: None)
    return ServingFeeds(store, PlatformRows(), targets, settings_from(GOOD), LineLog())


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
