"""Daemons that the store does not serve learn configuration and workers from their peers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from testtools import TestCase

from mountstand.serving_settings import SocketAddress
from mountstand.store.memory_rows import MemoryRowStore
from mountstand.store.peer_tables import PeerAddresses, PeerTables
from mountstand.store.rows import RowKey, StoredRow, Transaction
from mountstand.store.watch import TableChange, TableWatcher
from mountstand.transport.http_server import HttpServer, ServerLimits
from tests.stand_ins.harness import RecordingLog, eventually, run

TABLE = "op"


class OnePeer(PeerAddresses):
    """Knows one address."""

    def __init__(self, port: int) -> None:
        self.port = port

    def control_addresses(self) -> Sequence[SocketAddress]:
        return [SocketAddress("127.0.0.1", self.port)]


class Daemon:
    """A watcher of one table and its exchange with a peer."""

    def __init__(self, store: MemoryRowStore, peer_port: int = 1) -> None:
        self.changes: list[TableChange] = []
        self.log = RecordingLog()
        self.watcher = TableWatcher(
            store, TABLE, [""], self.changes.append, self.log, keep_rows=True
        )
        self.addresses = OnePeer(peer_port)
        self.peers = PeerTables([self.watcher], self.addresses, self.log, random.Random(1))

    def values(self) -> dict[str, bytes | None]:
        """Return what was applied, by key."""
        return {row.key.key: row.value for change in self.changes for row in change.rows}


async def put(store: MemoryRowStore, key: str, value: bytes) -> int:
    return await store.commit(Transaction(puts=[(RowKey(TABLE, "", key), value)]))


class Outage(TestCase):
    def test_a_daemon_that_starts_during_an_outage_comes_up(self) -> None:
        """Without peers it stays without a configuration until the store is back."""

        async def scenario() -> None:
            store = MemoryRowStore()
            await put(store, "config", b"one")
            await put(store, "gone", b"x")
            knows = Daemon(store)
            server = HttpServer(knows.peers.handle, ServerLimits())
            port = await server.start("127.0.0.1", 0)
            tasks = [asyncio.create_task(knows.watcher.run())]
            await eventually(knows.watcher.loaded.is_set, "first daemon has read the table")
            await store.commit(Transaction(removals=[RowKey(TABLE, "", "gone")]))
            await eventually(lambda: knows.values().get("gone") is None, "removal is known")

            store.fault = lambda call: "refuse"
            starts = Daemon(store, port)
            tasks += [
                asyncio.create_task(starts.watcher.run()),
                asyncio.create_task(starts.peers.run()),
            ]
            await eventually(starts.watcher.loaded.is_set, "second daemon came up")
            self.assertEqual({"config": b"one"}, starts.values())
            self.assertTrue(starts.changes[0].complete)
            self.assertEqual(1, len(starts.log.lines("table_from_peer")))

            store.fault = lambda call: ""
            await put(store, "config", b"two")
            await eventually(
                lambda: starts.values()["config"] == b"two", "its feed goes on from there"
            )
            for task in tasks:
                task.cancel()
            server.stop_listening()

        run(scenario())


class Adopting(TestCase):
    def row(self, version: int, value: bytes | None = b"x", key: str = "k") -> StoredRow:
        return StoredRow(RowKey(TABLE, "", key), version, value)

    def test_nothing_goes_back(self) -> None:
        daemon = Daemon(MemoryRowStore())
        watcher = daemon.watcher
        self.assertTrue(watcher.adopt([self.row(5)], 5, 1.0))
        self.assertFalse(watcher.adopt([self.row(4, b"older")], 4, 9.0))
        self.assertFalse(watcher.adopt([self.row(5, b"same")], 5, 9.0))
        self.assertEqual((5, 1.0), (watcher.version, watcher.fresh_at_s))
        self.assertTrue(watcher.adopt([self.row(7, None)], 7, 2.0))
        self.assertEqual([True, False], [change.complete for change in daemon.changes])

    def test_rows_that_were_removed_are_told_to_those_who_knew_them(self) -> None:
        watcher = Daemon(MemoryRowStore()).watcher
        watcher.adopt([self.row(5), self.row(5, key="l")], 5, 1.0)
        watcher.adopt([self.row(6, None)], 6, 1.0)
        self.assertEqual(["l"], [row.key.key for row in watcher.rows_after(0)])
        self.assertEqual([None], [row.value for row in watcher.rows_after(5)])
