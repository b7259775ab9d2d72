"""Follows one table through its feed, with a full read wherever the feed cannot continue."""

from __future__ import annotations

import asyncio
import random
import traceback
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from mountstand.store.rows import (
    HistoryGone,
    RowKey,
    RowPage,
    RowStore,
    StoredRow,
    StoreError,
    read_all,
)
from mountstand.telemetry.decisions import DecisionLog

WAIT_S = 1.5
"""How long a feed call is held where nothing else is said. It bounds how late a broken feed is
noticed; a held call costs nothing but itself."""

FIRST_RETRY_S = 0.05
LONGEST_RETRY_S = 0.5
"""Pause after a failed call: doubled from the first to the longest, each with jitter."""


TRACEBACK_FRAMES = 3
"""Frames of a failure that its log line tells, the innermost ones."""


@dataclass(frozen=True)
class TableChange:
    """Rows that changed, or with ``complete`` all rows that exist.

    ``unseen`` are keys of rows that are gone and that were never told while they existed.
    """

    rows: list[StoredRow]
    complete: bool
    unseen: frozenset[RowKey] = frozenset()


class RowsNotApplied(Exception):
    """Rows were read, and what applies them failed."""


class TableWatcher:
    """Keeps ``apply`` told of every change of one table.

    ``parts`` are the parts that a full read covers. ``fresh_at_s`` is the loop's time at which the
    last successful call began: everything committed before then has been applied. With
    ``keep_rows`` the rows are kept as they were read, so that peers can be told.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        parts: Sequence[str],
        apply: Callable[[TableChange], None],
        log: DecisionLog,
        *,
        keep_rows: bool = False,
    ) -> None:
        self._store = store
        self._table = table
        self._keep_rows = keep_rows
        self._row_by_key: dict[RowKey, StoredRow] = {}
        self._parts = parts
        self._apply = apply
        self._log = log
        self._version: int | None = None
        """The version up to which the store has told all changes."""

        self._peer_version: int | None = None
        """The version up to which a peer has told all changes since the store's last answer."""

        self._history_from = 0
        """The version after which all changes are kept, with removals."""

        self._told_version = 0
        self._whole_reads = 0
        self._failing_since_s: float | None = None
        self.now_ms = 0
        self.now_read_at_s: float | None = None
        self.fresh_at_s = float("-inf")
        self.loaded = asyncio.Event()
        self.wait_s = WAIT_S
        self.pause_s = 0.0
        """Pause after an answer with changes: what changes meanwhile comes in one answer."""

    async def run(self) -> None:
        """Follow the table until cancelled."""
        pause_s = FIRST_RETRY_S
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            try:
                changed = await self._step()
            except HistoryGone:
                self._log.event("feed_history_gone", table=self._table, after=self._version)
                self._version = None
                continue
            except (StoreError, RowsNotApplied) as problem:
                self._note_failure(loop.time(), problem)
                await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))
                pause_s = min(LONGEST_RETRY_S, pause_s * 2)
                continue
            pause_s = FIRST_RETRY_S
            self.fresh_at_s = began_s
            self._note_success(loop.time())
            if changed and self.pause_s:
                await asyncio.sleep(self.pause_s)

    async def catch_up(self) -> bool:
        """Apply the changes that the feed has not told yet.

        Returns whether everything committed before this call has been applied; it has not if the
        store does not answer, or has more to tell than one answer holds.
        """
        began_s = asyncio.get_running_loop().time()
        if self._version is None:
            return False
        whole_reads = self._whole_reads
        try:
            page = await self._store.changes(self._table, self._version, 0)
            if self._version is None:
                return False
            # A whole read that began meanwhile tells more, and knows nothing of rows that are gone.
            if page.rows and whole_reads == self._whole_reads:
                self._version = max(self._version, max(row.version for row in page.rows))
                self._take(TableChange(page.rows, False))
        except (HistoryGone, StoreError, RowsNotApplied) as problem:
            self._log.event(
                "table_unconfirmed",
                table=self._table,
                cause=type(problem).__name__,
                after_s=round(asyncio.get_running_loop().time() - began_s, 3),
            )
            return False
        if page.more:
            return False
        self.fresh_at_s = max(self.fresh_at_s, began_s)
        return True

    def age_s(self, now_s: float) -> float:
        """Return how old the picture may be."""
        return now_s - self.fresh_at_s

    @property
    def table(self) -> str:
        """The name of the table."""
        return self._table

    @property
    def version(self) -> int | None:
        """The version up to which all changes are known, from the store or a peer, if any."""
        known = [each for each in (self._version, self._peer_version) if each is not None]
        return max(known, default=None)

    @property
    def failing(self) -> bool:
        """Whether the store has not answered the last call, or none yet."""
        return self._failing_since_s is not None or self._version is None

    def rows_after(self, version: int) -> tuple[int, list[StoredRow]]:
        """Return the kept rows that changed after a version, which comes first, with removals.

        If not all of these changes are kept, the version is 0 and the rows are those that exist.
        """
        if version < max(1, self._history_from):
            return 0, [row for row in self._row_by_key.values() if row.value is not None]
        return version, [row for row in self._row_by_key.values() if row.version > version]

    def adopt(self, rows: list[StoredRow], since: int, version: int, fresh_at_s: float) -> bool:
        """Take over the changes that a peer knows after ``since`` and up to ``version``.

        With a ``since`` of 0 they are all rows that exist. Returns whether they are news here.
        Changes after a version that is not known here are not taken, as others may be missing. The
        store's feed goes on from where the store itself has left off, whatever a peer told.
        """
        known = self.version
        if known is not None and version <= known:
            return False
        if since and (known is None or since > known):
            return False
        self._peer_version = version
        if not since:
            self._history_from = version
        try:
            self._take(TableChange(rows, complete=not since))
        except RowsNotApplied:
            return False
        self.fresh_at_s = max(self.fresh_at_s, fresh_at_s)
        self.loaded.set()
        return True

    def _take(self, change: TableChange) -> None:
        """Keep the rows of a change and apply it, but for rows that are known already.

        Raises ``RowsNotApplied``; the table is read whole then, since the version that was reached
        says nothing of what is in force.
        """
        if self._keep_rows:
            if change.complete:
                self._row_by_key.clear()
            rows, unseen = [], set()
            for row in change.rows:
                kept = self._row_by_key.get(row.key)
                if kept is not None and kept.version >= row.version:
                    continue
                if row.value is None and (kept is None or kept.value is None):
                    unseen.add(row.key)
                self._row_by_key[row.key] = row
                rows.append(row)
            change = TableChange(rows, change.complete, frozenset(unseen))
        try:
            self._apply(change)
        except Exception as problem:
            self._version = self._peer_version = None
            self._log.event(
                "rows_not_applied",
                table=self._table,
                rows=len(change.rows),
                cause=traceback.format_exc(limit=-TRACEBACK_FRAMES),
            )
            raise RowsNotApplied(repr(problem)) from problem

    async def _step(self) -> bool:
        """Make one call, or a full read; returns whether anything had changed."""
        loop = asyncio.get_running_loop()
        if self._version is None:
            pages = [await read_all(self._store, self._table, part) for part in self._parts]
            self._whole_reads += 1
            self._version = min(page.version for page in pages)
            self._told_version = self._history_from = self._version
            self._take(TableChange([row for page in pages for row in page.rows], True))
            self.loaded.set()
        else:
            page = await self._store.changes(self._table, self._version, int(self.wait_s * 1000))
            if self._version is None:
                raise RowsNotApplied("rows of another answer, which came meanwhile")
            pages = [page]
            self._advance(page)
            if page.rows:
                self._take(TableChange(page.rows, False))
        self._peer_version = None
        self.now_ms = pages[-1].now_ms
        self.now_read_at_s = loop.time()
        return any(page.rows for page in pages)

    def _advance(self, page: RowPage) -> None:
        """Move on to where the next call continues.

        A feed that misses changes for a moment may answer with nothing and the newest version. So
        after an empty answer the next call continues from the version of the answer before.
        """
        assert self._version is not None
        if page.rows:
            self._version = max(self._version, max(row.version for row in page.rows))
        else:
            self._version = max(self._version, self._told_version)
        self._told_version = page.version

    def _note_failure(self, now_s: float, problem: StoreError | RowsNotApplied) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = now_s
            self._log.event(
                "dependency_lost",
                dependency=f"feed:{self._table}",
                cause=type(problem).__name__,
                detail=str(problem),
                version=self._version,
            )

    def _note_success(self, now_s: float) -> None:
        if self._failing_since_s is not None:
            self._log.event(
                "dependency_regained",
                dependency=f"feed:{self._table}",
                after_s=round(now_s - self._failing_since_s, 3),
                version=self._version,
            )
            self._failing_since_s = None
