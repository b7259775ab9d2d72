"""Tests of feed processing: newer rows take effect, and invalid rows affect no others."""

from __future__ import annotations

import asyncio

import orjson
from testtools import TestCase

from mountstand.platform.__main__ import PlatformRows
from mountstand.serving.feeds import ConfigurationState, WorkerDirectorySync
from mountstand.serving.software import software_key
from mountstand.store.memory_rows import MemoryRowStore
from mountstand.store.rows import RowKey, StoredRow
from mountstand.store.watch import TableChange, TableWatcher
from tests.stand_ins.harness import Fleet, RecordingLog, run


def row(table: str, key: str, version: int, value: object) -> StoredRow:
    encoded = value if isinstance(value, bytes) or value is None else orjson.dumps(value)
    return StoredRow(RowKey(table, "", key), version, encoded)


def worker_row(worker_id: str, version: int, **changes: object) -> StoredRow:
    fields = {"service": "llm", "address": "127.0.0.1:9", "zone": "a", "slots": 2, "state": "ready"}
    return row("servers", worker_id, version, {**fields, **changes})


class ConfigurationFeed(TestCase):
    def test_newest_row_wins_and_an_invalid_row_is_ignored(self) -> None:
        applied: list[int] = []
        log = RecordingLog()
        state = ConfigurationState(PlatformRows(), log, lambda new: applied.append(new.version))

        def apply(version: int, value: object) -> None:
            state.apply(TableChange([row("op", "config", version, value)], False))

        empty = {"routes": [], "services": []}
        apply(5, {"version": 50, **empty})
        apply(4, {"version": 40, **empty})
        apply(6, b"{")
        apply(7, {"version": 70, "routes": [{}], "services": []})
        apply(8, None)
        self.assertEqual([50], applied)
        assert state.current is not None
        self.assertEqual(50, state.current.version)
        self.assertEqual(2, len(log.lines("configuration_unreadable")))
        apply(9, {"version": 90, **empty})
        self.assertEqual([50, 90], applied)


class WorkersFeed(TestCase):
    def test_an_invalid_worker_row_removes_only_its_worker(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            state = WorkerDirectorySync(PlatformRows(), fleet.directory, fleet.log)
            invalid = row("servers", "w1", 2, {"service": "llm"})
            state.apply(TableChange([worker_row("w0", 1), invalid, worker_row("w2", 3)], True))
            self.assertEqual({"w0", "w2"}, set(fleet.directory.workers))
            state.apply(TableChange([row("servers", "w3", 4, b"?"), worker_row("w4", 5)], False))
            self.assertIn("w4", fleet.directory.workers)
            self.assertEqual(2, len(fleet.log.lines("worker_unreadable")))
            state.apply(TableChange([row("servers", "w0", 6, {"state": "ready"})], False))
            active = [w.record.worker_id for w in fleet.directory.active_workers("llm")]
            self.assertNotIn("w0", active, "its row is invalid now")
            self.assertIn("w2", active)

        run(scenario())


class UnseenWorkers(TestCase):
    """Workers that came and went while this daemon was told nothing."""

    def only_software_after(self, *rows: StoredRow) -> int | None:
        """Return the only software after changes of one row each, which peers tell."""

        async def scenario() -> int | None:
            fleet = Fleet()
            state = WorkerDirectorySync(PlatformRows(), fleet.directory, fleet.log)
            watcher = TableWatcher(
                MemoryRowStore(), "servers", [""], state.apply, fleet.log, keep_rows=True
            )
            watcher.adopt([self.v1_row("w0", 1)], 0, 1, 1.0)
            history = fleet.directory.software_history
            history.note_stored_since(float("-inf"))
            for changed in rows:
                self.assertTrue(watcher.adopt([changed], changed.version - 1, changed.version, 1.0))
            now_s = asyncio.get_running_loop().time()
            return history.only_software(["llm"], now_s - 10.0)

        return run(scenario())

    def v1_row(self, worker_id: str, version: int) -> StoredRow:
        fields = orjson.loads(worker_row(worker_id, version).value or b"")
        return row("servers", worker_id, version, {**fields, "version": "v1"})

    def test_only_known_software_is_not_the_only_one_once_an_unseen_worker_has_gone(self) -> None:
        """Guards against a stream of a worker that came and went while a daemon was cut off."""
        self.assertIsNone(self.only_software_after(row("servers", "w1", 2, None)))

    def test_workers_that_were_listed_or_unreadable_bring_no_doubt_as_they_go(self) -> None:
        """Guards against streams that are refused each time a worker leaves."""
        v1 = software_key("llm", "v1")
        gone = row("servers", "w1", 3, None)
        self.assertEqual(v1, self.only_software_after(self.v1_row("w1", 2), gone))
        self.assertEqual(v1, self.only_software_after(row("servers", "w1", 2, b"?"), gone))
