"""Keeps the limits of tenants together with the other daemons that serve callers."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Collection, Iterable

import orjson

from mountstand.limits.standing import Standing
from mountstand.membership.datagrams import DatagramMembership
from mountstand.membership.registry import DaemonRegistry, DaemonRow
from mountstand.serving.load_groups import Peer, serving_members
from mountstand.serving_settings import ServingSettings
from mountstand.store.rows import ABSENT, RowKey, RowStore, StoreError, Transaction
from mountstand.telemetry.decisions import DecisionLog
from mountstand.tenants.gate import LimitGate, TokenLink
from mountstand.tenants.limits import LOAN_S, TenantLimits
from mountstand.tenants.marks import FRESH_S, NO_FORMER, FormerMarks, Marks
from mountstand.tenants.tenant import TenantIndex
from mountstand.wire.gossip import TokenAsk, TokenGrant

MARKS = "tenant_marks"
"""The table of marks; each daemon has one row."""

RETRY_S = 0.25
"""Pause after a call to the store that failed."""

WRITE_PAUSE_S = 0.2
"""Pause after a mark was written; marks that are wanted meanwhile are written together."""

NUMBER_BITS = 62
"""Questions are numbered from a chance number of so many bits."""


def _peers(rows: Iterable[DaemonRow]) -> list[Peer]:
    return [Peer(row.name, row.zone, row.capacity) for row in rows]


class MembershipTokenLink(TokenLink):
    """Sends in the datagrams of failure detection."""

    __slots__ = ("_membership",)

    def __init__(self, membership: DatagramMembership) -> None:
        self._membership = membership

    def send(self, message: TokenAsk | TokenGrant, receivers: Collection[str]) -> None:
        """Send a message to daemons."""
        self._membership.send(message, receivers)


class StoredMarks:
    """Keeps this daemon's marks in its row of the store.

    ``store_now_ms`` returns the store's clock and raises ``StoreError`` where it is not known.
    ``window_s`` is how long requests count.
    """

    def __init__(
        self,
        marks: Marks,
        store: RowStore,
        name: str,
        store_now_ms: Callable[[], int],
        window_s: Callable[[], float],
        log: DecisionLog,
    ) -> None:
        self._marks = marks
        self._store = store
        self._key = RowKey(MARKS, "", name)
        self._store_now_ms = store_now_ms
        self._window_s = window_s
        self._log = log
        self._began_ms = 0
        self._version = ABSENT
        self._wanted = asyncio.Event()
        marks.on_wanted = self._wanted.set

    async def run(self) -> None:
        """Take over the marks of the process before, then write those that are wanted."""
        await self._begin()
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            now_s = asyncio.get_running_loop().time()
            tenants = self._marks.to_write(now_s)
            if not tenants:
                continue
            try:
                await self._write(tenants)
            except StoreError as problem:
                self._log.event("mark_delayed", cause=type(problem).__name__, tenants=len(tenants))
                await asyncio.sleep(RETRY_S)
                await self._learn_version()
                continue
            self._marks.note_written(tenants, now_s)
            await asyncio.sleep(WRITE_PAUSE_S)

    async def _begin(self) -> None:
        """Learn what the process before may have used, and note the start of this one."""
        while True:
            try:
                former = await self._read()
                self._began_ms = self._store_now_ms()
                await self._write(frozenset())
            except StoreError:
                await asyncio.sleep(RETRY_S)
                continue
            self._marks.use_former(former)
            if former.all_marked or former.tenants:
                self._log.event(
                    "limits_held_back", all=former.all_marked, tenants=len(former.tenants)
                )
            return

    async def _read(self) -> FormerMarks:
        key = self._key
        page = await self._store.read(key.table, key.part, key.key, key.key + "\x00", 1)
        self._version = page.rows[0].version if page.rows else ABSENT
        if not page.rows or page.rows[0].value is None:
            return NO_FORMER
        fields = orjson.loads(page.rows[0].value)
        counts_ms = (self._window_s() + LOAN_S + FRESH_S) * 1000
        if page.now_ms - fields["began_ms"] < counts_ms:
            return FormerMarks(all_marked=True)
        if page.now_ms - fields["at_ms"] < counts_ms:
            return FormerMarks(frozenset(fields["tenants"]))
        return NO_FORMER

    async def _learn_version(self) -> None:
        """Read the row's version after a write of which it is not known whether it was done."""
        try:
            await self._read()
        except StoreError as problem:
            self._log.event("mark_unsure", cause=type(problem).__name__)

    async def _write(self, tenants: frozenset[int]) -> None:
        """Write the row, unless a late write of the process before came in between."""
        fields = {
            "at_ms": self._store_now_ms(),
            "began_ms": self._began_ms,
            "tenants": sorted(tenants),
        }
        row = (self._key, orjson.dumps(fields))
        condition = (self._key, self._version)
        self._version = await self._store.commit(Transaction(conditions=[condition], puts=[row]))


class ServingLimits:
    """The limits of one serving process."""

    def __init__(
        self,
        settings: ServingSettings,
        membership: DatagramMembership,
        registry: DaemonRegistry,
        store: RowStore,
        store_now_ms: Callable[[], int],
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self._membership = membership
        self._registry = registry
        self._settings = settings
        self.standing = Standing(settings.name)
        self._has_limits = asyncio.Event()
        self._later: asyncio.TimerHandle | None = None
        marks = Marks()
        self._stored_marks = StoredMarks(
            marks, store, settings.name, store_now_ms, self._window_s, log
        )
        self._limits = TenantLimits(
            self.standing,
            marks,
            settings.limit_tolerance,
            secrets.randbits(NUMBER_BITS),
            asyncio.get_running_loop().time(),
        )
        self.gate = LimitGate(self._limits, MembershipTokenLink(membership), rng)

    def use_settings(self, settings: ServingSettings) -> None:
        """Keep limits as exactly as the settings say."""
        self._settings = settings
        self._limits.use_tolerance(settings.limit_tolerance)

    def use_tenants(self, tenants: TenantIndex) -> None:
        """Keep the limits of a new configuration."""
        self._limits.use_tenants(tenants)
        if any(tenant.requests_per_s > 0 for tenant in tenants.by_name.values()):
            self._has_limits.set()

    def use_fleet(self, slots: int) -> None:
        """Take the daemons that the store lists, before workers with so many slots."""
        loop = asyncio.get_running_loop()
        listed = _peers(self._registry.listed())
        leaving = _peers(self._registry.leaving())
        served_lately = serving_members([*listed, *leaving], slots)
        hold_s = self._window_s() + LOAN_S
        self.standing.use(
            serving_members(listed, slots),
            self._membership.live_names(),
            loop.time(),
            served_lately & {peer.member_id for peer in leaving},
            hold_s,
        )
        if self.standing.holds and self._later is None:
            self._later = loop.call_later(hold_s, self._use_fleet_again, slots)

    def _use_fleet_again(self, slots: int) -> None:
        """Share out the parts of daemons that left a window ago."""
        self._later = None
        self.use_fleet(slots)

    def handle(self, sender: str, message: TokenAsk | TokenGrant) -> None:
        """Take what another daemon asks or lends."""
        self.gate.handle(sender, message)

    async def run(self) -> None:
        """Keep marks in the store from the first configuration with limits on."""
        await self._has_limits.wait()
        await self._stored_marks.run()

    def _window_s(self) -> float:
        return self._settings.limit_tolerance.window_s
