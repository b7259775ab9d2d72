"""Keeps what a daemon let through in its row of the store, and reads that of the one before it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import orjson

from mountstand.store.rows import ABSENT, RowKey, RowStore, StoreError, Transaction
from mountstand.telemetry.decisions import DecisionLog
from mountstand.tenants.limits import LOAN_TTL_S, UNITS_PER_REQUEST, TenantLimits
from mountstand.tenants.marks import PriorUsage, TimedAmounts, UsageSnapshot

TENANT_USAGE_TABLE = "tenant_use"
"""The table of marks; each daemon has one row."""

STORE_RETRY_DELAY_S = 0.25
"""Pause after a call to the store that failed."""

MIN_WRITE_INTERVAL_S = 0.2
"""Pause after a row was written; what is wanted meanwhile is written together."""

CHECKPOINT_BUCKET_S = 0.5
"""Amounts that were let through within so long stand together in the row, as of the last: they
count a quarter of a second too long on average, for a tenth of the bytes."""


class UsageCheckpointWriter:
    """Writes this daemon's row whenever it is wanted.

    ``store_now_ms`` returns the store's clock and raises ``StoreError`` where it is not known.
    ``get_window_s`` is how long requests count, ``started_at_s`` when this process started.
    """

    def __init__(
        self,
        limits: TenantLimits,
        store: RowStore,
        name: str,
        store_now_ms: Callable[[], int],
        get_window_s: Callable[[], float],
        log: DecisionLog,
        started_at_s: float,
    ) -> None:
        self._limits = limits
        self._store = store
        self._key = RowKey(TENANT_USAGE_TABLE, "", name)
        self._store_now_ms = store_now_ms
        self._window_s = get_window_s
        self._log = log
        self._began_s = started_at_s
        self._starts_s: tuple[float, ...] = ()
        self._version = ABSENT
        self._wanted = asyncio.Event()
        limits.marks.on_write_requested = self._wanted.set

    async def run(self) -> None:
        """Take over what the store has of the process before, then write what is wanted."""
        await self._begin()
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            snapshot = self._limits.snapshot(_now_s())
            try:
                await self._write(snapshot)
            except StoreError as problem:
                self._log.event(
                    "mark_delayed", cause=type(problem).__name__, tenants=len(snapshot.by_tenant)
                )
                await asyncio.sleep(STORE_RETRY_DELAY_S)
                await self._learn_version()
                self._wanted.set()
                continue
            self._limits.record_checkpoint(snapshot, _now_s())
            await asyncio.sleep(MIN_WRITE_INTERVAL_S)

    async def _begin(self) -> None:
        """Learn what the processes before may have used, and note the start of this one."""
        while True:
            try:
                prior_usage = await self._read()
                self._starts_s = prior_usage.starts_s or (self._began_s,)
                share = max(prior_usage.share, self._limits.limit_sharing.share)
                snapshot = UsageSnapshot(share, prior_usage.by_tenant)
                await self._write(snapshot)
            except StoreError:
                await asyncio.sleep(STORE_RETRY_DELAY_S)
                continue
            self._limits.apply_prior_usage(prior_usage, _now_s())
            self._limits.record_checkpoint(snapshot, _now_s())
            if prior_usage.starts_s:
                self._log.event(
                    "limits_held_back",
                    starts=len(prior_usage.starts_s),
                    tenants=len(prior_usage.by_tenant),
                )
            return

    async def _read(self) -> PriorUsage:
        key = self._key
        page = await self._store.read(key.table, key.part, key.key, key.key + "\x00", 1)
        self._version = page.rows[0].version if page.rows else ABSENT
        if not page.rows or page.rows[0].value is None:
            return PriorUsage()
        now_s = _now_s()
        fields = orjson.loads(page.rows[0].value)
        row_at_s = now_s - (page.now_ms - fields["at_ms"]) / 1000
        counts_s = now_s - self._window_s() - LOAN_TTL_S
        starts_s = [row_at_s - age_ms / 1000 for age_ms in fields["start_ages_ms"]]
        return PriorUsage(
            (*(at_s for at_s in starts_s if at_s > counts_s), self._began_s),
            float(fields["share"]),
            dict(_decoded(fields["used"], row_at_s, counts_s)),
        )

    async def _learn_version(self) -> None:
        """Read the row's version after a write of which it is not known whether it was done."""
        try:
            await self._read()
        except StoreError as problem:
            self._log.event("mark_unsure", cause=type(problem).__name__)

    async def _write(self, snapshot: UsageSnapshot) -> None:
        """Write the row, unless a late write of the process before came in between."""
        now_s = _now_s()
        oldest_s = now_s - self._window_s() - LOAN_TTL_S
        self._starts_s = tuple(at_s for at_s in self._starts_s if at_s > oldest_s)
        fields = {
            "at_ms": self._store_now_ms(),
            "share": snapshot.share,
            "start_ages_ms": [_ms(now_s - at_s) for at_s in self._starts_s],
            "used": _encoded(snapshot.by_tenant, now_s),
        }
        row = (self._key, orjson.dumps(fields))
        condition = (self._key, self._version)
        self._version = await self._store.commit(Transaction(conditions=[condition], puts=[row]))


def _encoded(by_tenant: Mapping[int, TimedAmounts], now_s: float) -> list[list[Any]]:
    """Return a row's entries: a tenant's number, then pairs of an age and an amount."""
    entries: list[list[Any]] = []
    for number, amounts in by_tenant.items():
        pairs = [
            [_ms(now_s - at_s), round(amount * UNITS_PER_REQUEST)]
            for at_s, amount in _buckets(amounts)
        ]
        entries.append([number, *pairs])
    return entries


def _buckets(amounts: TimedAmounts) -> list[tuple[float, float]]:
    """Return amounts summed up by time, each sum as of its last amount."""
    buckets: list[tuple[float, float, float]] = []
    for at_s, amount in amounts:
        if buckets and at_s - buckets[-1][0] < CHECKPOINT_BUCKET_S:
            first_s, _, known = buckets[-1]
            buckets[-1] = (first_s, at_s, known + amount)
        else:
            buckets.append((at_s, at_s, amount))
    return [(last_s, amount) for _, last_s, amount in buckets]


def _decoded(
    entries: Iterable[list[Any]], row_at_s: float, oldest_s: float
) -> Iterable[tuple[int, TimedAmounts]]:
    for number, *pairs in entries:
        amounts = sorted(
            (row_at_s - age_ms / 1000, units / UNITS_PER_REQUEST) for age_ms, units in pairs
        )
        yield int(number), tuple(each for each in amounts if each[0] > oldest_s)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _ms(seconds: float) -> int:
    return round(seconds * 1000)
