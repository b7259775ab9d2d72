"""What daemons know of software versions once all of them have died."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import orjson
from testtools import TestCase

from mountstand.quarantine.stored import SUSPECTS_TABLE
from mountstand.serving.software import MAX_RETENTION_S, SoftwareHistory, software_key
from mountstand.serving.stored_origins import MIN_WRITE_INTERVAL_S, ORIGINS_TABLE, StoredOrigins
from mountstand.serving.stored_software import SUBSTITUTE_DELAY_S, StoredSoftware
from mountstand.serving.stream_origins import StreamOrigins
from mountstand.store.memory_rows import MemoryRowStore
from mountstand.store.rows import RowKey, StoreRefused, Transaction
from mountstand.store.watch import TableWatcher
from tests.stand_ins.harness import RecordingLog
from tests.stand_ins.paused_clock import run_paused

V1, V2 = software_key("llm", "v1"), software_key("llm", "v2")
LIFETIME_S = 16.0


def now_s() -> float:
    return asyncio.get_running_loop().time()


class Daemon:
    """What one daemon knows of software, and the workers that it sees listed."""

    def __init__(self, store: MemoryRowStore, *software: int, responsible: bool = True) -> None:
        self.history = SoftwareHistory()
        self.clock_is_known = True
        self.listed: dict[int, str] | None = dict.fromkeys(software, "llm")
        self.stored = StoredSoftware(
            self.history,
            store,
            lambda: self.listed,
            lambda name: responsible,
            self._store_now_ms,
            RecordingLog(),
        )
        watcher = TableWatcher(store, SUSPECTS_TABLE, [""], self.stored.apply, RecordingLog())
        self._tasks = [asyncio.create_task(each) for each in (watcher.run(), self.stored.run())]

    def _store_now_ms(self) -> int:
        if not self.clock_is_known:
            raise StoreRefused("clock unknown")
        return int(now_s() * 1000)

    def only_software(self) -> int | None:
        """Return the only software of late, as a taken-up stream needs it."""
        for key, service in (self.listed or {}).items():
            self.history.note(service, key, now_s())
        return self.history.only_software({"llm"}, now_s() - LIFETIME_S)

    def knows(self) -> bool:
        """Return whether no software can have come and gone unseen while a stream may last."""
        return self.stored.loaded and self.history.knows_since(now_s() - LIFETIME_S)

    def kill(self) -> None:
        for task in self._tasks:
            task.cancel()


class StoredSoftwareTestCase(TestCase):
    def run_with_store(self, work: Callable[[MemoryRowStore], Awaitable[None]]) -> None:
        async def scenario() -> None:
            await work(MemoryRowStore())

        run_paused(scenario())


class AfterAllDaemonsDied(StoredSoftwareTestCase):
    def test_software_whose_workers_left_meanwhile_is_known(self) -> None:
        """Guards against a stream of a version that has left, gone on with at the one left."""

        async def work(store: MemoryRowStore) -> None:
            former = Daemon(store, V1, V2)
            await asyncio.sleep(20.0)
            former.kill()
            await asyncio.sleep(1.0)
            daemon = Daemon(store, V2)
            await asyncio.sleep(1.0)
            self.assertIsNone(daemon.only_software())
            await asyncio.sleep(LIFETIME_S + 1.0)
            self.assertEqual(V2, daemon.only_software())

        self.run_with_store(work)

    def test_software_that_left_before_is_known_for_as_long_as_streams_last(self) -> None:
        async def work(store: MemoryRowStore) -> None:
            former = Daemon(store, V1, V2)
            await asyncio.sleep(20.0)
            former.listed = {V2: "llm"}
            await asyncio.sleep(1.0)
            former.kill()
            await asyncio.sleep(LIFETIME_S / 2)
            daemon = Daemon(store, V2)
            await asyncio.sleep(1.0)
            self.assertIsNone(daemon.only_software())
            await asyncio.sleep(LIFETIME_S / 2)
            self.assertEqual(V2, daemon.only_software())

        self.run_with_store(work)

    def test_one_version_ever_is_known_as_such(self) -> None:
        """Guards against streams that are refused though any worker could go on with them."""

        async def work(store: MemoryRowStore) -> None:
            former = Daemon(store, V1)
            await asyncio.sleep(LIFETIME_S + 1.0)
            former.kill()
            daemon = Daemon(store, V1)
            self.assertFalse(daemon.knows())
            await asyncio.sleep(0.5)
            self.assertTrue(daemon.knows())
            self.assertEqual(V1, daemon.only_software())

        self.run_with_store(work)

    def test_rows_read_before_the_clock_are_used_once_it_is_known(self) -> None:
        """Guards against streams that are refused for long where one feed answered first."""

        async def work(store: MemoryRowStore) -> None:
            former = Daemon(store, V1)
            await asyncio.sleep(LIFETIME_S + 1.0)
            former.kill()
            daemon = Daemon(store, V1)
            daemon.clock_is_known = False
            await asyncio.sleep(0.5)
            self.assertFalse(daemon.knows())
            daemon.clock_is_known = True
            await asyncio.sleep(1.5)
            self.assertTrue(daemon.knows())

        self.run_with_store(work)

    def test_rows_that_are_too_young_tell_nothing(self) -> None:
        """Guards against versions that were there before the first row was written."""

        async def work(store: MemoryRowStore) -> None:
            Daemon(store, V1)
            await asyncio.sleep(LIFETIME_S / 2)
            daemon = Daemon(store, V1)
            await asyncio.sleep(0.5)
            self.assertFalse(daemon.knows())

        self.run_with_store(work)


class Writing(StoredSoftwareTestCase):
    def test_rows_are_written_as_software_comes_and_goes(self) -> None:
        """Guards against calls to the store that come again and again."""

        async def work(store: MemoryRowStore) -> None:
            daemon = Daemon(store, V1)
            await asyncio.sleep(1.0)
            version = store.version
            await asyncio.sleep(60.0)
            self.assertEqual(version, store.version)
            daemon.listed = {V2: "llm"}
            await asyncio.sleep(1.0)
            self.assertEqual(version + 1, store.version)

        self.run_with_store(work)

    def test_another_daemon_writes_where_the_responsible_one_does_not(self) -> None:
        async def work(store: MemoryRowStore) -> None:
            Daemon(store, V1, responsible=False)
            await asyncio.sleep(SUBSTITUTE_DELAY_S / 2)
            self.assertEqual(0, store.version)
            await asyncio.sleep(SUBSTITUTE_DELAY_S)
            self.assertEqual(1, store.version)

        self.run_with_store(work)

    def test_nothing_is_written_while_the_list_of_workers_is_old(self) -> None:
        """Guards against software that is marked as gone by a daemon that was cut off."""

        async def work(store: MemoryRowStore) -> None:
            daemon = Daemon(store)
            daemon.listed = None
            await asyncio.sleep(5.0)
            self.assertEqual(0, store.version)

        self.run_with_store(work)

    def test_rows_of_software_long_gone_are_removed(self) -> None:
        async def work(store: MemoryRowStore) -> None:
            daemon = Daemon(store, V1, V2)
            await asyncio.sleep(1.0)
            daemon.listed = {V2: "llm"}
            await asyncio.sleep(MAX_RETENTION_S + 5.0)
            names = {key.key for key in store.rows}
            self.assertEqual({"software:since", f"software:{V2:08x}"}, names)

        self.run_with_store(work)

    def test_unreadable_row_is_passed_over(self) -> None:
        async def work(store: MemoryRowStore) -> None:
            for name, value in (("x", b"{}"), (f"{V1:08x}", b"[]"), ("since", b"{}")):
                key = RowKey(SUSPECTS_TABLE, "", f"software:{name}")
                await store.commit(Transaction(puts=[(key, value)]))
            daemon = Daemon(store, V2)
            await asyncio.sleep(2.0)
            self.assertTrue(daemon.stored.loaded)
            self.assertEqual(V2, daemon.only_software())

        self.run_with_store(work)


class Origins(StoredSoftwareTestCase):
    def writer(self, store: MemoryRowStore, name: str = "d1") -> StreamOrigins:
        """Return the origins of a daemon that writes them while ``needed``."""
        origins = StreamOrigins(LIFETIME_S)
        stored = StoredOrigins(origins, store, name, lambda: self.needed, lambda: 1, RecordingLog())
        self.task = asyncio.create_task(stored.run())
        return origins

    def test_origins_are_known_after_all_daemons_died(self) -> None:
        """Guards against streams that nobody can go on with beside two versions."""
        self.needed = True

        async def work(store: MemoryRowStore) -> None:
            origins = self.writer(store)
            await asyncio.sleep(0.1)
            origins.note_own(7, V1, now_s())
            await asyncio.sleep(2 * MIN_WRITE_INTERVAL_S)
            self.task.cancel()
            for name in ("d1", "d2"):
                restarted = self.writer(store, name)
                await asyncio.sleep(2 * MIN_WRITE_INTERVAL_S)
                self.assertEqual(V1, restarted.software(7))
            await asyncio.sleep(1.0)
            row = store.rows[RowKey(ORIGINS_TABLE, "", "d1")]
            assert row.value is not None
            self.assertEqual([[7, V1]], orjson.loads(row.value))

        self.run_with_store(work)

    def test_row_fits_into_the_store(self) -> None:
        """Guards against origins that are never stored where many streams begin."""
        self.needed = True

        async def work(store: MemoryRowStore) -> None:
            origins = self.writer(store)
            await asyncio.sleep(0.1)
            for number in range(5000):
                origins.note_own(2**64 - 1 - number, 2**32 - 1, now_s())
            await asyncio.sleep(2 * MIN_WRITE_INTERVAL_S)
            row = store.rows[RowKey(ORIGINS_TABLE, "", "d1")]
            assert row.value is not None
            self.assertLess(len(row.value), 65_536)

        self.run_with_store(work)

    def test_nothing_is_written_while_there_is_one_version(self) -> None:
        """Guards against calls to the store where no stream needs them."""
        self.needed = False

        async def work(store: MemoryRowStore) -> None:
            origins = self.writer(store)
            origins.note_own(7, V1, now_s())
            await asyncio.sleep(5.0)
            self.assertEqual(0, store.version)

        self.run_with_store(work)
