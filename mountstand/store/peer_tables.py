"""Tables from peers: how a daemon that the store does not serve learns what others know.

Each daemon answers others on its control address with the rows of the tables that it follows. A
daemon asks while a feed of its own fails: one that starts during an outage of the store comes up
with its peers' configuration and workers, and one that alone is cut off stays up to date.

Rows keep their versions, and what is older than what is known changes nothing, so an answer of a
peer that was itself cut off does no harm. The store's feed goes on from the version taken over.
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
            if after.isdigit() and watcher.loaded.is_set():
                tables.append(_table_after(watcher, int(after), now_s))
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
        query = urlencode({watcher.table: watcher.version or 0 for watcher in failing})
        answers = await asyncio.gather(*(self._ask(address, query) for address in chosen))
        for address, tables in zip(chosen, answers, strict=True):
            for table in tables:
                self._take_over(address, table)

    async def _ask(self, address: SocketAddress, query: str) -> tuple[PeerTable, ...]:
        """Return a peer's tables, or none where it does not answer."""
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

    def _take_over(self, address: SocketAddress, table: PeerTable) -> None:
        watcher = self._watcher_by_table.get(table.table)
        if watcher is None:
            return
        rows = [
            StoredRow(RowKey(table.table, row.part, row.key), row.version, row.value)
            for row in table.rows
        ]
        fresh_at_s = asyncio.get_running_loop().time() - table.age_s
        if watcher.adopt(rows, table.version, fresh_at_s):
            self._log.event(
                "table_from_peer",
                table=table.table,
                peer=str(address),
                version=table.version,
                age_s=round(table.age_s, 3),
                rows=len(rows),
            )


def _table_after(watcher: TableWatcher, after: int, now_s: float) -> PeerTable:
    rows = tuple(
        PeerRow(row.key.part, row.key.key, row.version, row.value)
        for row in watcher.rows_after(after)
    )
    return PeerTable(watcher.table, watcher.version or 0, watcher.age_s(now_s), rows)
