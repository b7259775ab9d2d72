"""Daemons that the store does not serve learn configuration and workers from their peers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from urllib.parse import parse_qs

import msgspec
from testtools import TestCase

from mountstand.serving_settings import SocketAddress
from mountstand.store.memory_rows import MemoryRowStore
from mountstand.store.peer_tables import BODY_TYPE, PeerAddresses, PeerTables
from mountstand.store.rows import RowKey, RowPage, StoredRow, StoreRefused, Transaction
from mountstand.store.watch import TableChange, TableWatcher
from mountstand.transport.http_client import connect
from mountstand.transport.http_server import HttpServer, Responder, ServerLimits, ServerRequest
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

    def present(self) -> dict[str, bytes | None]:
        """Return the rows that exist as far as was applied, by key."""
        values: dict[str, bytes | None] = {}
        for change in self.changes:
            if change.complete:
                values.clear()
            values.update({row.key.key: row.value for row in change.rows})
        return {key: value for key, value in values.items() if value is not None}

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


class ReachableStore(MemoryRowStore):
    """One daemon's view of a store, which may be cut off from it."""

    def __init__(self, store: MemoryRowStore) -> None:
        self._store = store
        self.cut = False

    async def read(
        self, table: str, part: str, first: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        self._check()
        return await self._store.read(table, part, first, end, limit)

    async def changes(self, table: str, after: int, wait_ms: int) -> RowPage:
        self._check()
        page = await self._store.changes(table, after, min(wait_ms, 100))
        self._check()
        return page

    def _check(self) -> None:
        if self.cut:
            raise StoreRefused("cut off")


class FormerPeer(PeerTables):
    """Answers as former versions do: rows that changed, and not whether all are told."""

    async def handle(self, request: ServerRequest, responder: Responder) -> None:
        (watcher,) = self._watcher_by_table.values()
        after = int(parse_qs(request.query)[TABLE][0])
        rows = [row for row in watcher._row_by_key.values() if row.version > after]
        peer_rows = [[row.key.part, row.key.key, row.version, row.value] for row in rows]
        answer = [[TABLE, watcher.version, 0.0, peer_rows]]
        responder.send(200, [BODY_TYPE], msgspec.msgpack.encode(answer))


class CutDaemon:
    """A daemon that is cut off while a row goes, and whose only peer starts anew meanwhile."""

    def __init__(self, peer_type: type[PeerTables] = PeerTables) -> None:
        self.store = MemoryRowStore()
        self.reachable = ReachableStore(self.store)
        self.daemon = Daemon(self.reachable)
        self.peer = Daemon(self.store)
        self.peer.peers = peer_type(
            [self.peer.watcher], self.peer.addresses, self.peer.log, random.Random(1)
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def cut_off(self) -> None:
        """Let the daemon read the table, cut it off, remove a row and start the peer."""
        await put(self.store, "config", b"one")
        await put(self.store, "gone", b"x")
        self._tasks.append(asyncio.create_task(self.daemon.watcher.run()))
        await eventually(self.daemon.watcher.loaded.is_set, "the table is read")
        self.reachable.cut = True
        await eventually(lambda: self.daemon.watcher.failing, "the cut is noticed")
        await self.store.commit(Transaction(removals=[RowKey(TABLE, "", "gone")]))
        await put(self.store, "config", b"two")
        self._tasks.append(asyncio.create_task(self.peer.watcher.run()))
        await eventually(self.peer.watcher.loaded.is_set, "the peer has read the table")

    async def ask_peer(self) -> None:
        """Let the daemon ask its peer until it has got an answer."""
        server = HttpServer(self.peer.peers.handle, ServerLimits())
        self.daemon.addresses.port = await server.start("127.0.0.1", 0)
        self._tasks.append(asyncio.create_task(self.daemon.peers.run()))
        await eventually(lambda: self.daemon.present()["config"] == b"two", "the peer is heard")
        server.stop_listening()

    def end(self) -> None:
        for task in self._tasks:
            task.cancel()


class RestartedPeer(TestCase):
    """A peer that read the table anew, and never saw what was removed before."""

    def test_row_removed_before_the_peer_started_is_gone(self) -> None:
        """Guards against requests to a worker that was removed while a daemon was cut off."""

        async def scenario(peer_type: type[PeerTables]) -> None:
            cut = CutDaemon(peer_type)
            await cut.cut_off()
            await cut.ask_peer()
            self.assertEqual({"config": b"two"}, cut.daemon.present(), peer_type)
            cut.end()

        for peer_type in (PeerTables, FormerPeer):
            run(scenario(peer_type))

    def test_former_version_is_not_told_of_changes_with_gaps(self) -> None:
        """Guards against a removed row that a daemon of the version before keeps for good."""

        async def scenario() -> None:
            cut = CutDaemon()
            await cut.cut_off()
            server = HttpServer(cut.peer.peers.handle, ServerLimits())
            port = await server.start("127.0.0.1", 0)
            tables = {}
            for after in (0, 1, cut.store.version):
                conn = await connect("127.0.0.1", port, 1.0)
                conn.send("GET", f"/tables?{TABLE}={after}", [("Host", "peer")], b"")
                await conn.read_head()
                tables[after] = msgspec.msgpack.decode(await conn.read_body())
                conn.close()
            server.stop_listening()
            cut.end()
            self.assertEqual([1, 0, 1], [len(found) for found in tables.values()])

        run(scenario())

    def test_store_corrects_what_a_peer_did_not_tell(self) -> None:
        """Guards against a removed row that stays after the daemon has reached the store again."""

        async def scenario() -> None:
            cut = CutDaemon()
            await cut.cut_off()
            known = cut.daemon.watcher.version
            assert known is not None
            self.assertTrue(cut.daemon.watcher.adopt([], known, cut.store.version + 5, 1.0))
            cut.reachable.cut = False
            await eventually(lambda: cut.daemon.present() == {"config": b"two"}, "corrected")
            cut.end()

        run(scenario())


class Adopting(TestCase):
    def row(self, version: int, value: bytes | None = b"x", key: str = "k") -> StoredRow:
        return StoredRow(RowKey(TABLE, "", key), version, value)

    def test_nothing_goes_back(self) -> None:
        daemon = Daemon(MemoryRowStore())
        watcher = daemon.watcher
        self.assertTrue(watcher.adopt([self.row(5)], 0, 5, 1.0))
        self.assertFalse(watcher.adopt([self.row(4, b"older")], 0, 4, 9.0))
        self.assertFalse(watcher.adopt([self.row(5, b"same")], 0, 5, 9.0))
        self.assertEqual((5, 1.0), (watcher.version, watcher.fresh_at_s))
        self.assertTrue(watcher.adopt([self.row(7, None)], 5, 7, 2.0))
        self.assertEqual([True, False], [change.complete for change in daemon.changes])

    def test_rows_that_were_removed_are_told_to_those_who_knew_them(self) -> None:
        watcher = Daemon(MemoryRowStore()).watcher
        watcher.adopt([self.row(5), self.row(5, key="l")], 0, 5, 1.0)
        watcher.adopt([self.row(6, None)], 5, 6, 1.0)
        since, rows = watcher.rows_after(0)
        self.assertEqual((0, ["l"]), (since, [row.key.key for row in rows]))
        since, rows = watcher.rows_after(5)
        self.assertEqual((5, [None]), (since, [row.value for row in rows]))

    def test_whole_table_is_told_to_those_who_know_an_older_one(self) -> None:
        """Guards against a peer that never saw a removal, and tells of a version beyond it."""
        watcher = Daemon(MemoryRowStore()).watcher
        watcher.adopt([self.row(5)], 0, 9, 1.0)
        since, rows = watcher.rows_after(4)
        self.assertEqual((0, ["k"]), (since, [row.key.key for row in rows]))
        self.assertEqual((9, []), watcher.rows_after(9))

    def test_row_that_a_whole_table_lacks_is_gone(self) -> None:
        daemon = Daemon(MemoryRowStore())
        daemon.watcher.adopt([self.row(3), self.row(4, key="gone")], 0, 4, 1.0)
        self.assertTrue(daemon.watcher.adopt([self.row(3)], 0, 6, 1.0))
        last = daemon.changes[-1]
        self.assertTrue(last.complete)
        self.assertEqual(["k"], [row.key.key for row in last.rows])

    def test_changes_after_an_unknown_version_are_not_taken(self) -> None:
        """Guards against changes that are missed between two peers' answers."""
        watcher = Daemon(MemoryRowStore()).watcher
        self.assertFalse(watcher.adopt([self.row(8)], 7, 8, 1.0))
        watcher.adopt([self.row(5)], 0, 5, 1.0)
        self.assertFalse(watcher.adopt([self.row(8)], 7, 8, 1.0))
        self.assertEqual(5, watcher.version)
