"""Writes a daemon's usage checkpoint to the store, and reads that of its predecessor."""

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
"""Table of usage checkpoints, with one row for each daemon."""

STORE_RETRY_DELAY_S = 0.25
"""Delay before a failed call to the store is retried."""

MIN_WRITE_INTERVAL_S = 0.2
"""Minimum pause between writes; write requests made meanwhile share the next write."""

CHECKPOINT_BUCKET_S = 0.5
"""Width of the time buckets in a checkpoint, which reduce the size of the row.

A bucket carries the time of its last amount, so the others count for up to this much too long.
"""


class UsageCheckpointWriter:
    """Reads the predecessor's checkpoint, then writes this daemon's checkpoint on request.

    ``store_now_ms`` returns the store's current time and raises ``StoreError`` if it is not known.
    ``get_window_s`` returns the window's length; ``started_at_s`` is the start of this process.
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
        self._get_window_s = get_window_s
        self._log = log
        self._started_at_s = started_at_s
        self._start_times_s: tuple[float, ...] = ()
        self._version = ABSENT
        self._write_requested = asyncio.Event()
        limits.checkpoint.on_write_requested = self._write_requested.set

    async def run(self) -> None:
        """Load the predecessor's checkpoint, then write a checkpoint whenever one is requested."""
        await self._load_prior_usage()
        while True:
            await self._write_requested.wait()
            self._write_requested.clear()
            snapshot = self._limits.snapshot(_now_s())
            try:
                await self._write(snapshot)
            except StoreError as error:
                self._log.event(
                    "mark_delayed", cause=type(error).__name__, tenants=len(snapshot.by_tenant)
                )
                await asyncio.sleep(STORE_RETRY_DELAY_S)
                await self._reload_version()
                self._write_requested.set()
                continue
            self._limits.record_checkpoint(snapshot, _now_s())
            await asyncio.sleep(MIN_WRITE_INTERVAL_S)

    async def _load_prior_usage(self) -> None:
        """Apply the usage of earlier processes, and record the start of this one in the store."""
        while True:
            try:
                prior_usage = await self._read()
                self._start_times_s = prior_usage.start_times_s or (self._started_at_s,)
                share = max(prior_usage.share, self._limits.limit_sharing.share)
                snapshot = UsageSnapshot(share, prior_usage.by_tenant)
                await self._write(snapshot)
            except StoreError:
                await asyncio.sleep(STORE_RETRY_DELAY_S)
                continue
            self._limits.apply_prior_usage(prior_usage, _now_s())
            self._limits.record_checkpoint(snapshot, _now_s())
            if prior_usage.start_times_s:
                self._log.event(
                    "limits_held_back",
                    starts=len(prior_usage.start_times_s),
                    tenants=len(prior_usage.by_tenant),
                )
            return

    async def _read(self) -> PriorUsage:
        """Read the row, remember its version and return the usage that it records."""
        key = self._key
        page = await self._store.read(key.table, key.part, key.key, key.key + "\x00", 1)
        self._version = page.rows[0].version if page.rows else ABSENT
        if not page.rows or page.rows[0].value is None:
            return PriorUsage()
        now_s = _now_s()
        fields = orjson.loads(page.rows[0].value)
        row_at_s = now_s - (page.now_ms - fields["at_ms"]) / 1000
        oldest_s = now_s - self._get_window_s() - LOAN_TTL_S
        start_times_s = [row_at_s - age_ms / 1000 for age_ms in fields["start_ages_ms"]]
        return PriorUsage(
            (*(at_s for at_s in start_times_s if at_s > oldest_s), self._started_at_s),
            float(fields["share"]),
            dict(_decode(fields["used"], row_at_s, oldest_s)),
        )

    async def _reload_version(self) -> None:
        """Read the row's version after a write whose outcome is unknown."""
        try:
            await self._read()
        except StoreError as error:
            self._log.event("mark_unsure", cause=type(error).__name__)

    async def _write(self, snapshot: UsageSnapshot) -> None:
        """Write the checkpoint.

        Raises ``StoreError`` if the row has changed, as by a late write of the predecessor.
        """
        now_s = _now_s()
        oldest_s = now_s - self._get_window_s() - LOAN_TTL_S
        self._start_times_s = tuple(at_s for at_s in self._start_times_s if at_s > oldest_s)
        fields = {
            "at_ms": self._store_now_ms(),
            "share": snapshot.share,
            "start_ages_ms": [_ms(now_s - at_s) for at_s in self._start_times_s],
            "used": _encode(snapshot.by_tenant, now_s),
        }
        row = (self._key, orjson.dumps(fields))
        condition = (self._key, self._version)
        self._version = await self._store.commit(Transaction(conditions=[condition], puts=[row]))


def _encode(by_tenant: Mapping[int, TimedAmounts], now_s: float) -> list[list[Any]]:
    """Encode as ``[tenant number, [age in ms, thousandths of requests], ...]`` for each tenant."""
    entries: list[list[Any]] = []
    for number, amounts in by_tenant.items():
        pairs = [
            [_ms(now_s - at_s), round(amount * UNITS_PER_REQUEST)]
            for at_s, amount in _merge_into_buckets(amounts)
        ]
        entries.append([number, *pairs])
    return entries


def _merge_into_buckets(amounts: TimedAmounts) -> list[tuple[float, float]]:
    """Sum up amounts within ``CHECKPOINT_BUCKET_S``, each sum at the time of its last amount."""
    buckets: list[tuple[float, float, float]] = []
    for at_s, amount in amounts:
        if buckets and at_s - buckets[-1][0] < CHECKPOINT_BUCKET_S:
            first_s, _, total = buckets[-1]
            buckets[-1] = (first_s, at_s, total + amount)
        else:
            buckets.append((at_s, at_s, amount))
    return [(last_s, amount) for _, last_s, amount in buckets]


def _decode(
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
