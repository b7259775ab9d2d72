"""Tables from peers: how a daemon that the store does not serve learns what others know.

Each daemon answers others on its control address with the rows of the tables that it follows. A
daemon asks while a feed of its own fails: one that starts during an outage of the store comes up
with its peers' configuration and workers, and one that alone is cut off stays up to date.

Rows keep their versions, and what is older than what is known changes nothing, so an answer of a
peer that was itself cut off does no harm. A peer that started or read the table anew knows no
removal from before; it answers with the whole table then, so that a row it lacks is taken as gone.
The store's feed goes on from the version that the store told last, and corrects what peers told.
"""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from urllib.parse import parse_qs, urlencode

import msgspec

from mountstand.serving_settings import SocketAddress
from mountstand.store.rows import RowKey, StoredRow
from mountstand.store.watch import TableWatcher
from mountstand.telemetry.decisions import DecisionLog
from mountstand.transport.http_client import ConnectFailed, ReplyBroken, connect
from mountstand.transport.http_server import Responder, ServerRequest

PATH = "/tables"
KNOWS_SINCE = "knows_since"
"""Field of the query that tells that the asking daemon understands ``PeerTable.since``."""

BODY_TYPE = ("Content-Type", "application/msgpack")
CHECK_S = 0.4
"""How often a daemon looks whether a feed of its own fails; the first look gives the store a chance
to answer first."""

CALL_TIMEOUT_S = 0.6
PEERS_ASKED = 2
"""Peers asked at once: one may be gone, or be cut off too."""


class PeerRow(msgspec.Struct, frozen=True, array_like=True):
    """One row as a peer knows it; ``value`` is ``None`` where it was removed."""

    part: str
    key: str
    version: int
    value: bytes | None


class PeerTable(msgspec.Struct, frozen=True, array_like=True):
    """Rows newer than asked for; ``age_s`` is how old the peer's picture may be."""

    table: str
    version: int
    age_s: float
    rows: tuple[PeerRow, ...]
    since: int | None = None
    """The version after which ``rows`` holds all changes, 0 if it holds all rows that exist.

    ``None`` from former versions of this program, whose rows may lack removals.
    """


class PeerAddresses(ABC):
    """Which daemons can be asked."""

    __slots__ = ()

    @abstractmethod
    def control_addresses(self) -> Sequence[SocketAddress]:
        """Return control addresses of other daemons, those believed to run if any are known."""


class PeerTables:
    """Answers peers, and asks them while own feeds fail."""

    def __init__(
        self,
        watchers: Sequence[TableWatcher],
        addresses: PeerAddresses,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._watcher_by_table = {watcher.table: watcher for watcher in watchers}
        self._addresses = addresses
        self._log = log
        self._rng = rng
        self._decoder = msgspec.msgpack.Decoder(tuple[PeerTable, ...])

    # Answering

    async def handle(self, request: ServerRequest, responder: Responder) -> None:
        """Answer a peer: for each table in the query, rows after the version that it names."""
        if request.path != PATH or request.method != "GET":
            responder.send(404)
            return
        now_s = asyncio.get_running_loop().time()
        asked = parse_qs(request.query)
        tables = []
        for table, watcher in self._watcher_by_table.items():
            after = asked.get(table, [""])[0]
            if not after.isdigit() or not watcher.loaded.is_set():
                continue
            answer = _table_after(watcher, int(after), now_s)
            # A former version would take the whole table for changes, and keep rows that are gone.
            if answer.since == int(after) or KNOWS_SINCE in asked:
                tables.append(answer)
        responder.send(200, [BODY_TYPE], msgspec.msgpack.encode(tables))

    # Asking

    async def run(self) -> None:
        """Ask peers while own feeds fail, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S * self._rng.uniform(0.8, 1.2))
            failing = [w for w in self._watcher_by_table.values() if w.failing]
            if failing:
                await self._ask_some(failing)

    async def _ask_some(self, failing: list[TableWatcher]) -> None:
        addresses = list(self._addresses.control_addresses())
        chosen = self._rng.sample(addresses, min(PEERS_ASKED, len(addresses)))
        await asyncio.gather(*(self._take_tables(address, failing) for address in chosen))

    async def _take_tables(self, address: SocketAddress, failing: list[TableWatcher]) -> None:
        """Take over what a peer knows; ask for whole tables where it can't tell what it lacks."""
        after_by_table = {watcher.table: watcher.version or 0 for watcher in failing}
        incomplete = []
        for table in await self._ask(address, after_by_table):
            if table.since is not None:
                self._take_over(address, table, table.since)
            elif after_by_table.get(table.table) == 0:
                self._take_over(address, table, 0)
            elif self._is_news(table):
                incomplete.append(table.table)
        if incomplete:
            for table in await self._ask(address, dict.fromkeys(incomplete, 0)):
                self._take_over(address, table, 0)

    def _is_news(self, table: PeerTable) -> bool:
        watcher = self._watcher_by_table.get(table.table)
        return watcher is not None and table.version > (watcher.version or 0)

    async def _ask(
        self, address: SocketAddress, after_by_table: dict[str, int]
    ) -> tuple[PeerTable, ...]:
        """Return a peer's tables, or none where it does not answer."""
        query = urlencode({**after_by_table, KNOWS_SINCE: 1})
        try:
            conn = await connect(address.host, address.port, CALL_TIMEOUT_S)
        except ConnectFailed:
            return ()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                conn.send("GET", f"{PATH}?{query}", [("Host", str(address))], b"")
                head = await conn.read_head()
                body = await conn.read_body()
            return self._decoder.decode(body) if head.status == 200 else ()
        except (ReplyBroken, TimeoutError, msgspec.DecodeError):
            return ()
        finally:
            conn.close()

    def _take_over(self, address: SocketAddress, table: PeerTable, since: int) -> None:
        watcher = self._watcher_by_table.get(table.table)
        if watcher is None:
            return
        rows = [
            StoredRow(RowKey(table.table, row.part, row.key), row.version, row.value)
            for row in table.rows
        ]
        fresh_at_s = asyncio.get_running_loop().time() - table.age_s
        if watcher.adopt(rows, since, table.version, fresh_at_s):
            self._log.event(
                "table_from_peer",
                table=table.table,
                peer=str(address),
                version=table.version,
                age_s=round(table.age_s, 3),
                rows=len(rows),
                whole=since == 0,
            )


def _table_after(watcher: TableWatcher, after: int, now_s: float) -> PeerTable:
    since, changed = watcher.rows_after(after)
    rows = tuple(PeerRow(row.key.part, row.key.key, row.version, row.value) for row in changed)
    return PeerTable(watcher.table, watcher.version or 0, watcher.age_s(now_s), rows, since)
