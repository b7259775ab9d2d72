"""The daemons' own rows in the store: how daemons find each other, and what callers are told.

A row says where a daemon is and which process it is. Whether that process still runs is decided by
failure detection, not by the row; a row only has to be there.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass, replace
from ipaddress import ip_address

import msgspec
import orjson

from mountstand.membership.datagrams import DatagramMembership
from mountstand.membership.member import RESTART_MS, Member
from mountstand.serving.load_groups import Peer
from mountstand.serving_settings import SocketAddress
from mountstand.store.rows import (
    DECODE_ERRORS,
    Conflict,
    RowKey,
    RowStore,
    StoredRow,
    StoreError,
    Transaction,
)
from mountstand.store.watch import TableChange
from mountstand.telemetry.decisions import DecisionLog

DAEMONS = "daemons"
RETRY_S = 0.25
MAX_PORT = 65_535
RECHECK_S = 2.0
"""How often a daemon checks that its row is there, and rows of daemons long gone are dropped."""

FORGET_S = 60.0
"""A row is dropped when its daemon has been silent for so long."""


@dataclass(frozen=True)
class DaemonRow:
    """Where one daemon is; ``token`` names the process, ``capacity`` is its processor in cores."""

    name: str
    token: str
    callers_address: str
    address: str
    gossip_port: int
    zone: str
    control_address: str = ""
    incarnation: int = 0
    leaving: bool = False
    capacity: float = 1.0

    def as_peer(self) -> Peer:
        """Return the daemon as groups of daemons know it."""
        return Peer(self.name, self.zone, self.capacity)

    def encode(self) -> bytes:
        """Return the row's value."""
        return orjson.dumps(
            {
                "token": self.token,
                "callers_address": self.callers_address,
                "address": self.address,
                "gossip_port": self.gossip_port,
                "zone": self.zone,
                "control_address": self.control_address,
                "incarnation": self.incarnation,
                "leaving": self.leaving,
                "capacity": self.capacity,
            }
        )


def decode_daemon(row: StoredRow) -> DaemonRow:
    """Return what a row says; unknown fields, of later versions, are passed over.

    Raises one of ``DECODE_ERRORS`` for a row of another form.
    """
    fields = orjson.loads(row.value or b"")
    try:
        daemon = msgspec.convert({**fields, "name": row.key.key}, DaemonRow)
    except msgspec.ValidationError as problem:
        raise ValueError(str(problem)) from None
    ip_address(daemon.address)
    if not 0 < daemon.gossip_port <= MAX_PORT:
        raise ValueError(f"port {daemon.gossip_port}")
    for address in filter(None, (daemon.callers_address, daemon.control_address)):
        SocketAddress.parse(address)
    return daemon


def new_token() -> str:
    """Return a name for this process, unlike that of any other."""
    return secrets.token_hex(6)


class DaemonRegistry:
    """Every daemon's row, and this daemon's own."""

    def __init__(
        self, store: RowStore, own: DaemonRow, log: DecisionLog, on_change: Callable[[], None]
    ) -> None:
        self._store = store
        self.own = own
        self._log = log
        self._on_change = on_change
        self._rows: dict[str, tuple[DaemonRow, int]] = {}
        self._silent_since_s: dict[str, float] = {}
        self.membership: DatagramMembership | None = None

    def apply(self, change: TableChange) -> None:
        """Take changed rows of the daemons' table."""
        if change.complete:
            self._rows.clear()
        for row in change.rows:
            known = self._rows.get(row.key.key)
            if known is not None and known[1] >= row.version:
                continue
            if row.value is None:
                self._rows.pop(row.key.key, None)
            else:
                self._take(row)
        if self.membership is not None:
            self.membership.handle_seeds(self._members())
        self._on_change()

    def _take(self, row: StoredRow) -> None:
        try:
            self._rows[row.key.key] = (decode_daemon(row), row.version)
        except DECODE_ERRORS as error:
            self._rows.pop(row.key.key, None)
            self._log.event("daemon_unreadable", daemon=row.key.key, cause=repr(error))

    def live(self) -> list[DaemonRow]:
        """Return the rows of daemons that run and are not leaving, this one included."""
        live = self.membership.live_names() if self.membership is not None else set()
        rows = [
            row
            for row, _ in self._rows.values()
            if row.name != self.own.name and row.name in live and not self._is_leaving(row)
        ]
        if not self.own.leaving:
            rows.append(self.own)
        return rows

    def listed(self) -> list[DaemonRow]:
        """Return the rows of daemons that are not leaving, whether they run or not."""
        listed = [row for row, _ in self._rows.values() if row.name != self.own.name]
        return [row for row in [*listed, self.own] if not self._is_leaving(row)]

    def leaving(self) -> list[DaemonRow]:
        """Return the rows of other daemons that are leaving."""
        rows = [row for row, _ in self._rows.values() if row.name != self.own.name]
        return [row for row in rows if self._is_leaving(row)]

    def _is_leaving(self, row: DaemonRow) -> bool:
        """Return whether the process that is leaving by its row is still the one that runs.

        One that started again while the store takes no writes cannot replace its row.
        """
        if not row.leaving or self.membership is None:
            return row.leaving
        return self.membership.incarnation(row.name) < row.incarnation + RESTART_MS

    def capacity_of(self, name: str) -> float:
        """Return the processor of a daemon's machine in cores, 1 where its row is not known."""
        known = self._rows.get(name)
        return known[0].capacity if known is not None else DaemonRow.capacity

    def zone_of(self, name: str) -> str:
        """Return the zone of a daemon, empty where its row is not known."""
        if name == self.own.name:
            return self.own.zone
        known = self._rows.get(name)
        return known[0].zone if known is not None else ""

    def control_addresses(self) -> list[SocketAddress]:
        """Return the control addresses of the other daemons that run."""
        running = self.membership.running_names() if self.membership is not None else set()
        return [
            SocketAddress.parse(row.control_address)
            for row, _ in self._rows.values()
            if row.control_address and row.name in running and row.name != self.own.name
        ]

    def unsuspected(self) -> list[DaemonRow]:
        """Return the live daemons without suspected ones, unless most are suspected.

        A daemon that suspects most others is more likely cut off itself.
        """
        live = self.live()
        names = self.membership.sound_names() if self.membership is not None else set()
        unsuspected = [row for row in live if row.name in names or row.name == self.own.name]
        return unsuspected if 2 * len(unsuspected) >= len(live) else live

    def live_tokens(self) -> dict[str, str]:
        """Return the processes that run, leaving ones included, by daemon name.

        A daemon that is leaving still finishes its jobs; it gives them up itself.
        """
        running = self.membership.running_names() if self.membership is not None else set()
        tokens = {row.name: row.token for row, _ in self._rows.values() if row.name in running}
        tokens[self.own.name] = self.own.token
        return tokens

    async def run(self) -> None:
        """Keep this daemon's row in the store, until cancelled."""
        while True:
            known = self._rows.get(self.own.name)
            if known is None or known[0] != self.own:
                pause_s = RETRY_S if not await self._write_own() else RECHECK_S
            else:
                pause_s = RECHECK_S
            self._note_silent()
            await self._drop_forgotten()
            await asyncio.sleep(pause_s)

    async def announce_leaving(self) -> None:
        """Mark this daemon's row, so that callers are sent elsewhere."""
        self.own = replace(self.own, leaving=True)
        while not await self._write_own():
            await asyncio.sleep(RETRY_S)

    async def _write_own(self) -> bool:
        key = RowKey(DAEMONS, "", self.own.name)
        try:
            version = await self._store.commit(Transaction(puts=[(key, self.own.encode())]))
        except StoreError as problem:
            self._log.event("own_row_delayed", cause=type(problem).__name__, detail=str(problem))
            return False
        self._rows[self.own.name] = (self.own, version)
        return True

    def _members(self) -> list[Member]:
        return [
            Member(row.name, row.address, row.gossip_port, row.zone, 0)
            for row, _ in self._rows.values()
            if row.name != self.own.name
        ]

    def _note_silent(self) -> None:
        now_s = asyncio.get_running_loop().time()
        live = self.membership.live_names() if self.membership is not None else set()
        for name in self._rows:
            if name in live or name == self.own.name:
                self._silent_since_s.pop(name, None)
            else:
                self._silent_since_s.setdefault(name, now_s)

    async def _drop_forgotten(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for name, since_s in list(self._silent_since_s.items()):
            if now_s - since_s < FORGET_S or name not in self._rows:
                continue
            key = RowKey(DAEMONS, "", name)
            version = self._rows[name][1]
            try:
                await self._store.commit(Transaction(conditions=[(key, version)], removals=[key]))
            except Conflict:
                continue
            except StoreError:
                return
            self._silent_since_s.pop(name, None)
