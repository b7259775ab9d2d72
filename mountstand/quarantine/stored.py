"""Keeps suspected contents in the store, so that they outlive the loss of all daemons.

One row per strong suspect, under which two workers or more ended: the many that merely ran beside a
crash are seldom there twice. A row holds all that its writer knew, so that the last written wins.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import orjson

from mountstand.hashing import content_name
from mountstand.quarantine.suspect import NEVER_S, WorkerCrash
from mountstand.quarantine.suspects import CrashSuspects
from mountstand.store.rows import RowKey, RowStore, StoredRow, StoreError, Transaction
from mountstand.store.watch import TableChange
from mountstand.telemetry.decisions import DecisionLog

SUSPECTS_TABLE = "crash_suspects"
"""The table; its rows are keyed by contents in hexadecimal digits."""

ROWS_PER_WRITE = 20
MOST_ROWS = 500
"""Rows that the table holds at most, some 200 bytes each; one page of a read."""

FIRST_RETRY_S = 0.25
LONGEST_RETRY_S = 5.0
"""Pause after a write that failed, doubled from the first to the longest: a store that is away for
long is not asked often on behalf of what daemons tell each other anyway."""


class StoredSuspects:
    """Writes the suspects of one daemon to the table, and takes what rows say.

    ``store_now_ms`` returns the store's clock and raises ``StoreError`` where it is not known;
    ``on_news`` is called when rows said something new.
    """

    def __init__(
        self,
        suspects: CrashSuspects,
        store: RowStore,
        store_now_ms: Callable[[], int],
        log: DecisionLog,
    ) -> None:
        self._suspects = suspects
        self._store = store
        self._store_now_ms = store_now_ms
        self._log = log
        self._rows: set[int] = set()
        self._unwritten: set[int] = set()
        self._wanted = asyncio.Event()
        self.on_news: Callable[[], None] = lambda: None

    def want(self, content: int) -> None:
        """Write what is known of a content, or remove its row if it is not suspected any more."""
        new_row = self._suspects.is_strong(content) and len(self._rows) < MOST_ROWS
        if new_row or content in self._rows:
            self._unwritten.add(content)
            self._wanted.set()

    def apply(self, change: TableChange) -> None:
        """Take changed rows, or with a complete change all that there are."""
        if change.complete:
            self._rows.clear()
        now_s = asyncio.get_running_loop().time()
        news = False
        for row in change.rows:
            try:
                news = self._take(int(row.key.key, 16), row, now_s) or news
            except (ValueError, KeyError, TypeError, AttributeError) as problem:
                self._log.event("suspect_unreadable", key=row.key.key, cause=repr(problem))
        if news:
            self.on_news()

    def forgotten_rows(self) -> list[int]:
        """Return contents that have a row and are not known any more."""
        return [content for content in self._rows if content not in self._suspects.by_content]

    async def run(self) -> None:
        """Write what is wanted, until cancelled."""
        pause_s = FIRST_RETRY_S
        while True:
            await self._wanted.wait()
            contents = sorted(self._unwritten)[:ROWS_PER_WRITE]
            if not contents:
                self._wanted.clear()
                continue
            try:
                await self._write(contents)
            except StoreError as problem:
                cause = type(problem).__name__
                self._log.event("suspects_delayed", cause=cause, contents=len(self._unwritten))
                await asyncio.sleep(pause_s)
                pause_s = min(LONGEST_RETRY_S, 2 * pause_s)
                continue
            pause_s = FIRST_RETRY_S

    async def _write(self, contents: list[int]) -> None:
        transaction = Transaction()
        now_ms = self._store_now_ms()
        now_s = asyncio.get_running_loop().time()
        for content in contents:
            suspect = self._suspects.by_content.get(content)
            if suspect is None or not suspect.crash_by_worker:
                transaction.removals.append(_key(content))
                continue
            ends = {
                str(worker): [
                    now_ms - round((now_s - end.at_s) * 1000),
                    round(end.ran_s * 1000),
                ]
                for worker, end in suspect.crash_by_worker.items()
            }
            transaction.puts.append((_key(content), orjson.dumps({"ends": ends})))
        self._unwritten.difference_update(contents)
        try:
            await self._store.commit(transaction)
        except StoreError:
            self._unwritten.update(contents)
            raise

    def _take(self, content: int, row: StoredRow, now_s: float) -> bool:
        if row.value is None:
            self._rows.discard(content)
            return False
        self._rows.add(content)
        ends = orjson.loads(row.value)["ends"]
        crash_by_worker = {
            int(worker): WorkerCrash(now_s - self._age_s(at_ms), ran_ms / 1000)
            for worker, (at_ms, ran_ms) in ends.items()
        }
        return self._suspects.merge(content, crash_by_worker, NEVER_S)

    def _age_s(self, at_ms: int) -> float:
        """Return how long ago something was; while the store's clock is not known, no time ago."""
        try:
            return max(0.0, (self._store_now_ms() - at_ms) / 1000)
        except StoreError:
            return 0.0


def _key(content: int) -> RowKey:
    return RowKey(SUSPECTS_TABLE, "", content_name(content))
