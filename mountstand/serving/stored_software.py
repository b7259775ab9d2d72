"""Keeps in the store which software has run at each service, and until when.

What daemons have seen of software versions is lost when all of them die at once. New daemons then
see the workers that are left, and would take their software for the only one of late. So a row for
each software is written as its first worker is listed, and once more as its last worker has gone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import orjson

from mountstand.quarantine.stored import SUSPECTS_TABLE
from mountstand.serving.software import MAX_RETENTION_S, SoftwareHistory
from mountstand.store.rows import (
    DECODE_ERRORS,
    RowKey,
    RowStore,
    StoredRow,
    StoreError,
    Transaction,
)
from mountstand.store.watch import TableChange
from mountstand.telemetry.decisions import DecisionLog

SOFTWARE_ROW_PREFIX = "software:"
"""Prefix of the keys of these rows. They stand in the table of suspects, which daemons follow
anyway, and former versions of this program pass over them there."""

SINCE_NAME = "since"
"""Name of the row that tells since when these rows are kept."""

CHECK_INTERVAL_S = 0.25
SUBSTITUTE_DELAY_S = 1.0
"""Delay after which a daemon writes a row in place of the one that is responsible for it."""

RETRY_DELAY_S = 0.5


@dataclass(frozen=True, slots=True)
class StoredSighting:
    """The row of a software; ``last_ms`` is when its last worker went, ``None`` if it is listed."""

    service: str
    last_ms: int | None


class StoredSoftware:
    """Reads and writes the rows, and adds what they tell to this daemon's history.

    ``get_listed`` returns the service of each software that has workers, or ``None`` while the list
    of workers is not up to date. ``is_responsible_for`` returns whether this daemon writes a row
    first. ``store_now_ms`` returns the store's time, and raises ``StoreError`` while it is unknown.
    """

    def __init__(
        self,
        history: SoftwareHistory,
        store: RowStore,
        get_listed: Callable[[], Mapping[int, str] | None],
        is_responsible_for: Callable[[str], bool],
        store_now_ms: Callable[[], int],
        log: DecisionLog,
    ) -> None:
        self._history = history
        self._store = store
        self._get_listed = get_listed
        self._is_responsible_for = is_responsible_for
        self._store_now_ms = store_now_ms
        self._log = log
        self._sighting_by_key: dict[int, StoredSighting] = {}
        self._since_ms: int | None = None
        self._due_s: dict[str, float] = {}
        self.loaded = False
        """Whether the rows were read."""

    def apply(self, change: TableChange) -> None:
        """Take over changed rows; other rows of the table are passed over."""
        if change.complete:
            self._sighting_by_key.clear()
        for row in change.rows:
            name = row.key.key.removeprefix(SOFTWARE_ROW_PREFIX)
            if name == row.key.key:
                continue
            try:
                self._apply_row(name, row)
            except DECODE_ERRORS as error:
                self._log.event("software_unreadable", key=row.key.key, cause=repr(error))
        self.loaded = self.loaded or change.complete
        self._update_history()

    def _apply_row(self, name: str, row: StoredRow) -> None:
        if row.value is None:
            if name != SINCE_NAME:
                self._sighting_by_key.pop(int(name, 16), None)
            return
        fields = orjson.loads(row.value)
        if name == SINCE_NAME:
            self._since_ms = int(fields["at_ms"])
            return
        last_ms = fields.get("last_ms")
        self._sighting_by_key[int(name, 16)] = StoredSighting(
            str(fields["service"]), None if last_ms is None else int(last_ms)
        )

    def _update_history(self) -> None:
        """Add what the rows tell. Software that is not marked as gone was there until now."""
        now_s = asyncio.get_running_loop().time()
        for key, sighting in self._sighting_by_key.items():
            age_s = 0.0 if sighting.last_ms is None else self._age_s(sighting.last_ms)
            self._history.note(sighting.service, key, now_s - age_s)
        if self.loaded and self._since_ms is not None:
            self._history.note_stored_since(now_s - self._age_s(self._since_ms))

    def _age_s(self, at_ms: int) -> float:
        """Return the age of a stored time, 0 while the store's clock is unknown."""
        try:
            return max(0.0, (self._store_now_ms() - at_ms) / 1000)
        except StoreError:
            return 0.0

    async def run(self) -> None:
        """Write rows as software comes and goes, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self.loaded:
                continue
            # The ages of rows that were read before the store's clock was known are corrected.
            self._update_history()
            listed = self._get_listed()
            if listed is None:
                continue
            try:
                await self._write_due_rows(listed)
            except StoreError as error:
                self._log.event("software_delayed", cause=type(error).__name__)
                await asyncio.sleep(RETRY_DELAY_S)

    async def _write_due_rows(self, listed: Mapping[int, str]) -> None:
        """Write the rows that differ from the list of workers, if it is this daemon's turn."""
        now_s = asyncio.get_running_loop().time()
        now_ms = self._store_now_ms()
        differing = self._differing_rows(listed, now_ms)
        self._due_s = {
            name: self._due_s.get(name, now_s + self._delay_s(name)) for name in differing
        }
        transaction = Transaction()
        for name, fields in differing.items():
            if self._due_s[name] > now_s:
                continue
            key = RowKey(SUSPECTS_TABLE, "", SOFTWARE_ROW_PREFIX + name)
            if fields is None:
                transaction.removals.append(key)
            else:
                transaction.puts.append((key, orjson.dumps(fields)))
        if transaction.puts or transaction.removals:
            await self._store.commit(transaction)
            self._log.event(
                "software_stored",
                puts=[key.key for key, _ in transaction.puts],
                removals=[key.key for key in transaction.removals],
            )
            self._due_s = dict.fromkeys(differing, now_s + SUBSTITUTE_DELAY_S)

    def _delay_s(self, name: str) -> float:
        return 0.0 if self._is_responsible_for(name) else SUBSTITUTE_DELAY_S

    def _differing_rows(
        self, listed: Mapping[int, str], now_ms: int
    ) -> dict[str, dict[str, object] | None]:
        """Return the fields of rows to write, by name, with ``None`` for those to remove."""
        differing: dict[str, dict[str, object] | None] = {}
        if self._since_ms is None:
            differing[SINCE_NAME] = {"at_ms": now_ms}
        for key, service in listed.items():
            known = self._sighting_by_key.get(key)
            if known is None or known.last_ms is not None:
                differing[f"{key:08x}"] = {"service": service}
        for key, sighting in self._sighting_by_key.items():
            if key in listed:
                continue
            if sighting.last_ms is None:
                differing[f"{key:08x}"] = {"service": sighting.service, "last_ms": now_ms}
            elif now_ms - sighting.last_ms > MAX_RETENTION_S * 1000:
                differing[f"{key:08x}"] = None
        return differing
