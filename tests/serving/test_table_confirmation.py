"""Confirming that what a daemon knows of a table holds now."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from testtools import TestCase

from mountstand.store.confirmation import MIN_INTERVAL_S, TableConfirmation
from mountstand.store.memory_rows import MemoryRowStore
from mountstand.store.rows import OutcomeUnknown, RowKey, RowPage, StoredRow, Transaction
from mountstand.store.watch import TableChange, TableWatcher
from tests.stand_ins.harness import RecordingLog, eventually, run

TABLE = "servers"


class SilentFeedStore(MemoryRowStore):
    """Holds each feed call for good; calls that wait for nothing are answered."""

    def __init__(self) -> None:
        super().__init__()
        self.checks = 0
        self.more = False
        self.before_check: Callable[[], asyncio.Future[None] | None] = lambda: None

    async def changes(self, table: str, after: int, wait_ms: int) -> RowPage:
        if wait_ms:
            await asyncio.Event().wait()
        self.checks += 1
        pause = self.before_check()
        if pause is not None:
            await pause
        page = await super().changes(table, after, wait_ms)
        return replace(page, more=self.more)


class LateCheckStore(MemoryRowStore):
    """Answers calls that wait for nothing as of their moment, and holds the answers back."""

    def __init__(self) -> None:
        super().__init__()
        self.answered = asyncio.Event()
        self.delivered = asyncio.Event()

    async def changes(self, table: str, after: int, wait_ms: int) -> RowPage:
        page = await super().changes(table, after, min(wait_ms, 50))
        if not wait_ms:
            self.answered.set()
            await self.delivered.wait()
        return page


class Confirmations(TestCase):
    async def watcher(self, store: SilentFeedStore) -> TableWatcher:
        self.keys: list[str] = []

        def apply(change: TableChange) -> None:
            self.keys += [row.key.key for row in change.rows]

        watcher = TableWatcher(store, TABLE, [""], apply, RecordingLog(), keep_rows=True)
        self.task = asyncio.create_task(watcher.run())
        self.addCleanup(self.task.cancel)
        await eventually(watcher.loaded.is_set, "the table is read")
        return watcher

    async def put(self, store: SilentFeedStore, key: str) -> None:
        await store.commit(Transaction(puts=[(RowKey(TABLE, "", key), b"{}")]))

    def test_change_that_the_feed_has_not_told_is_applied(self) -> None:
        """Guards against a row that a silent feed tells of seconds later."""

        async def scenario() -> None:
            store = SilentFeedStore()
            await self.put(store, "w1")
            watcher = await self.watcher(store)
            confirmation = TableConfirmation(lambda: [watcher], lambda: 1)
            await self.put(store, "w2")
            self.assertEqual(["w1"], self.keys)
            self.assertTrue(await confirmation.confirm())
            self.assertEqual(["w1", "w2"], self.keys)
            self.assertTrue(await confirmation.confirm())
            self.assertEqual(["w1", "w2"], self.keys)

        run(scenario())

    def test_nothing_is_confirmed_while_the_store_does_not_answer(self) -> None:
        """Guards against an old list that is taken for confirmed while the store is away."""

        async def scenario() -> None:
            store = SilentFeedStore()
            watcher = await self.watcher(store)
            store.fault = lambda call: "refuse"
            self.assertFalse(await TableConfirmation(lambda: [watcher], lambda: 1).confirm())

        run(scenario())

    def test_round_that_began_before_confirms_nothing(self) -> None:
        """Guards against an answer from before a version joined, taken for one after it."""

        async def scenario() -> None:
            store = SilentFeedStore()
            watcher = await self.watcher(store)
            confirmation = TableConfirmation(lambda: [watcher], lambda: 1)
            loop = asyncio.get_running_loop()
            held: asyncio.Future[None] = loop.create_future()
            pauses = [held]
            store.before_check = lambda: pauses.pop() if pauses else None
            first = asyncio.create_task(confirmation.confirm())
            await eventually(lambda: store.checks == 1, "the first round has begun")
            others = [asyncio.create_task(confirmation.confirm()) for _ in range(3)]
            await asyncio.sleep(2 * MIN_INTERVAL_S)
            self.assertEqual([False] * 3, [other.done() for other in others])
            held.set_result(None)
            self.assertEqual([True] * 4, await asyncio.gather(first, *others))
            self.assertEqual(2, store.checks)

        run(scenario())

    def test_answer_from_before_a_whole_read_brings_nothing_back(self) -> None:
        """Guards against a row that is gone and that a late answer lists again for good."""

        async def scenario() -> None:
            store = LateCheckStore()
            present: dict[str, bytes | None] = {}
            reads: list[int] = []

            def apply(change: TableChange) -> None:
                if change.complete:
                    reads.append(len(change.rows))
                    present.clear()
                present.update({row.key.key: row.value for row in change.rows})

            watcher = TableWatcher(store, TABLE, [""], apply, RecordingLog(), keep_rows=True)
            task = asyncio.create_task(watcher.run())
            self.addCleanup(task.cancel)
            await eventually(watcher.loaded.is_set, "the table is read")
            store.apply(Transaction(puts=[(RowKey(TABLE, "", "gone"), b"{}")]))
            checking = asyncio.create_task(watcher.catch_up())
            await store.answered.wait()
            store.apply(Transaction(removals=[RowKey(TABLE, "", "gone")]))
            store.forget_history()
            await eventually(lambda: len(reads) == 2, "the table is read again")
            store.delivered.set()
            self.assertTrue(await checking)
            self.assertEqual({}, present)

        run(scenario())

    def test_feed_goes_on_after_rows_that_could_not_be_applied_by_another(self) -> None:
        """Guards against a feed that ends for good once a row of another answer fails here."""

        async def scenario() -> None:
            store = LateCheckStore()
            store.delivered.set()
            seen: list[str] = []

            def apply(change: TableChange) -> None:
                if broken:
                    raise ValueError("cannot be applied")
                seen.extend(row.key.key for row in change.rows)

            broken = False
            watcher = TableWatcher(store, TABLE, [""], apply, RecordingLog(), keep_rows=True)
            task = asyncio.create_task(watcher.run())
            self.addCleanup(task.cancel)
            await eventually(watcher.loaded.is_set, "the table is read")
            await asyncio.sleep(0.01)
            broken = True
            rows = [StoredRow(RowKey(TABLE, "", "w1"), store.version + 1, b"{}")]
            version = store.version + 1
            self.assertFalse(watcher.adopt(rows, watcher.version or 0, version, 1.0))
            broken = False
            await self.put(store, "w2")
            await eventually(lambda: "w2" in seen or task.done(), "the change is seen")
            self.assertFalse(task.done())

        run(scenario())

    def test_those_who_wait_for_the_next_round_end_with_one_that_failed(self) -> None:
        """Guards against refusals that come two time-outs late at a daemon that is cut off."""

        async def scenario() -> None:
            store = SilentFeedStore()
            watcher = await self.watcher(store)
            confirmation = TableConfirmation(lambda: [watcher], lambda: 1)
            held: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            store.before_check = lambda: held
            first = asyncio.create_task(confirmation.confirm())
            await eventually(lambda: store.checks == 1, "the first round has begun")
            second = asyncio.create_task(confirmation.confirm())
            await asyncio.sleep(0)
            held.set_exception(OutcomeUnknown("no answer in time"))
            self.assertEqual([False, False], await asyncio.gather(first, second))
            self.assertEqual(1, store.checks)
            store.before_check = lambda: None
            self.assertTrue(await confirmation.confirm())

        run(scenario())

    def test_rounds_one_after_the_other_keep_their_interval(self) -> None:
        """Guards against a call to the store for each of many streams taken up in turn."""

        async def scenario() -> None:
            store = SilentFeedStore()
            watcher = await self.watcher(store)
            confirmation = TableConfirmation(lambda: [watcher], lambda: 1)
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            for _ in range(4):
                self.assertTrue(await confirmation.confirm())
            self.assertTrue(loop.time() - began_s >= 3 * MIN_INTERVAL_S)

        run(scenario())

    def test_answer_that_is_not_whole_confirms_nothing(self) -> None:
        """Guards against a version among the changes that did not fit into an answer."""

        async def scenario() -> None:
            store = SilentFeedStore()
            watcher = await self.watcher(store)
            await self.put(store, "w1")
            store.more = True
            self.assertFalse(await watcher.catch_up())
            self.assertEqual(["w1"], self.keys)
            store.more = False
            self.assertTrue(await watcher.catch_up())

        run(scenario())
