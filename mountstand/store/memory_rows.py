"""The row store in memory, for tests: the same promises, with faults to order."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable

from mountstand.store.rows import (
    ABSENT,
    Conflict,
    HistoryGone,
    OutcomeUnknown,
    RowKey,
    RowPage,
    StoredRow,
    StoreRefused,
    Transaction,
)


class MemoryRowStore:
    """A row store and object store in this process.

    ``fault`` is asked before every call with the call's name and returns ``"refuse"``, ``"lose"``
    (do the call, lose the answer), ``"drop"`` (lose the call), ``"hang"`` (say nothing for
    ``hang_s``, then lose the call), ``"late"`` (lose the answer, and do a write ``late_s`` later if
    its conditions still hold), or ``""``.
    """

    def __init__(self) -> None:
        self.rows: dict[RowKey, StoredRow] = {}
        self.objects: dict[str, bytes] = {}
        self.version = 0
        self.calls = 0
        self.fault: Callable[[str], str] = lambda call: ""
        self.hang_s = 2.0
        self.late_s = 2.0
        self._history: deque[StoredRow] = deque()
        self._history_from = 0
        self._changed = asyncio.Event()

    def forget_history(self) -> None:
        """Drop the history, as a store does that compacts."""
        self._history.clear()
        self._history_from = self.version

    async def read(
        self, table: str, part: str, first: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """Read a range of rows."""
        await self._begin("read")
        found = sorted(
            (row for row in self.rows.values() if (row.key.table, row.key.part) == (table, part)),
            key=lambda row: row.key.key,
        )
        wanted = [row for row in found if row.key.key >= first and (not end or row.key.key < end)]
        return RowPage(wanted[:limit], len(wanted) > limit, self.version, self._now_ms())

    async def commit(self, transaction: Transaction) -> int:
        """Run a transaction."""
        fault = await self._begin("commit")
        await asyncio.sleep(0)
        if fault == "late":
            asyncio.get_running_loop().call_later(self.late_s, self._apply_late, transaction)
            raise OutcomeUnknown("answer lost, done late")
        version = self.apply(transaction)
        if fault == "lose":
            raise OutcomeUnknown("answer lost")
        return version

    def apply(self, transaction: Transaction) -> int:
        """Run a transaction now, past all faults; returns its version. Raises ``Conflict``."""
        for key, version in transaction.conditions:
            present = self.rows.get(key)
            if (present.version if present else ABSENT) != version:
                raise Conflict(key.key)
        self.version += 1
        for key, value in transaction.puts:
            self._change(StoredRow(key, self.version, value))
        for key in transaction.removals:
            self._change(StoredRow(key, self.version, None))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def _apply_late(self, transaction: Transaction) -> None:
        with contextlib.suppress(Conflict):
            self.apply(transaction)

    async def changes(self, table: str, after: int, wait_ms: int) -> RowPage:
        """Wait for changed rows."""
        await self._begin("changes")
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_ms / 1000
        while True:
            if after < self._history_from:
                raise HistoryGone
            rows = [r for r in self._history if r.version > after and r.key.table == table]
            left_s = deadline_s - loop.time()
            if rows or left_s <= 0:
                return RowPage(rows, False, self.version, self._now_ms())
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        await self._begin("put_object")
        self.objects[name] = body

    async def get_object(self, name: str) -> bytes | None:
        """Return an object."""
        await self._begin("get_object")
        return self.objects.get(name)

    async def drop_object(self, name: str) -> None:
        """Remove an object."""
        await self._begin("drop_object")
        self.objects.pop(name, None)

    async def list_objects(self, prefix: str) -> list[str]:
        """Return the names that begin with ``prefix``."""
        await self._begin("list_objects")
        return sorted(name for name in self.objects if name.startswith(prefix))

    async def _begin(self, call: str) -> str:
        self.calls += 1
        fault = self.fault(call)
        if fault == "refuse":
            raise StoreRefused(call)
        if fault == "hang":
            await asyncio.sleep(self.hang_s)
        if fault in ("drop", "hang"):
            raise OutcomeUnknown(call)
        return fault

    def _change(self, row: StoredRow) -> None:
        if row.value is None:
            self.rows.pop(row.key, None)
        else:
            self.rows[row.key] = row
        self._history.append(row)

    def _now_ms(self) -> int:
        return int(asyncio.get_running_loop().time() * 1000)
