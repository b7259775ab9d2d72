"""Persists strong suspects in the store, so that they survive a restart of all daemons.

Weak suspects, with a single worker crash, are numerous and mostly innocent, and are not stored. A
row holds all crashes of one content known to its writer, and the last write wins. The row of a
prompt part that was served stays without crashes, since it shows that the part is sound. Claims to
trials have rows of their own (:mod:`mountstand.quarantine.trial_claims`), which are removed with
the suspect's row.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import orjson

from mountstand.hashing import content_name
from mountstand.quarantine.reports import age_ms
from mountstand.quarantine.suspect import NEVER_S, NO_TRIALS, Suspect, Trials, WorkerCrash
from mountstand.quarantine.suspects import CrashSuspects
from mountstand.quarantine.trial_claims import KnownClaims, TrialClaim
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

SUSPECTS_TABLE = "crash_suspects"
"""Name of the table. Row keys are content keys in hexadecimal, after ``PART_ROW_PREFIX`` for prompt
parts. Former versions of this program pass over the rows of parts."""

PART_ROW_PREFIX = "part:"

ROWS_PER_WRITE = 20
MAX_ROWS = 500
"""Maximum number of rows of each kind, contents and prompt parts, about 200 bytes each."""

INITIAL_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 5.0
"""Delay before a failed write is retried. It doubles from the initial to the maximum, to limit the
load on a store that is unavailable; daemons share suspects directly in the meantime."""


class StoredSuspects:
    """Writes the suspects of one daemon to the table, and merges rows read from it.

    Rows belong to these suspects if their key is a content key after ``row_prefix``.

    ``store_now_ms`` returns the time of the store's clock, and raises ``StoreError`` while it is
    unknown. ``on_change`` is called after rows have added evidence.
    """

    def __init__(
        self,
        suspects: CrashSuspects,
        store: RowStore,
        store_now_ms: Callable[[], int],
        log: DecisionLog,
        row_prefix: str = "",
    ) -> None:
        self._row_prefix = row_prefix
        self._suspects = suspects
        self.store = store
        self.store_now_ms = store_now_ms
        self.claims = KnownClaims(suspects, row_prefix)
        self._log = log
        self._stored_contents: set[int] = set()
        self._pending_writes: set[int] = set()
        self._write_requested = asyncio.Event()
        self.on_change: Callable[[], None] = lambda: None

    def request_write(self, content: int) -> None:
        """Schedule a write of a content's row, or its removal if the content is cleared or expired.

        Does nothing for weak suspects without a row, or if the table has no room for a new row.
        """
        new_row = self._suspects.is_strong(content) and len(self._stored_contents) < MAX_ROWS
        if new_row or content in self._stored_contents or content in self.claims:
            self._pending_writes.add(content)
            self._write_requested.set()

    def apply(self, change: TableChange) -> None:
        """Merge changed rows; a complete change replaces the set of known rows."""
        if change.complete:
            self._stored_contents.clear()
            self.claims.clear()
        now_s = asyncio.get_running_loop().time()
        changed = False
        for row in change.rows:
            prefix, separator, name = row.key.key.rpartition(":")
            try:
                if prefix + separator == self._row_prefix:
                    changed = self._merge_row(int(name, 16), row, now_s) or changed
                elif prefix + separator == self.claims.row_prefix:
                    self._take_claim(int(name, 16), row, now_s)
            except DECODE_ERRORS as error:
                self._log.event("suspect_unreadable", key=row.key.key, cause=repr(error))
        if changed:
            self.on_change()

    def contents_with_stale_row(self) -> list[int]:
        """Return contents that have a row but are no longer suspected."""
        stale = self._stored_contents - self._suspects.by_content.keys()
        return [*stale, *self.claims.stale(asyncio.get_running_loop().time())]

    async def read_row_and_claim(self, content: int) -> None:
        """Read a content's row and the claim to its trial. Raises ``StoreError``."""
        rows: list[StoredRow] = []
        for key in (self._key(content), self.claim_key(content)):
            page = await self.store.read(key.table, key.part, key.key, key.key + "\x00")
            rows += page.rows
        self.claims.note_removed(content)
        self.apply(TableChange(rows, complete=False))

    def claim_key(self, content: int) -> RowKey:
        """Return the key of the row with the claim to a content's trial."""
        return RowKey(SUSPECTS_TABLE, "", self.claims.row_prefix + content_name(content))

    async def run(self) -> None:
        """Perform scheduled writes, until cancelled."""
        delay_s = INITIAL_RETRY_DELAY_S
        while True:
            await self._write_requested.wait()
            contents = sorted(self._pending_writes)[:ROWS_PER_WRITE]
            if not contents:
                self._write_requested.clear()
                continue
            try:
                await self._write(contents)
            except StoreError as error:
                cause = type(error).__name__
                self._log.event("suspects_delayed", cause=cause, contents=len(self._pending_writes))
                await asyncio.sleep(delay_s)
                delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)
                continue
            delay_s = INITIAL_RETRY_DELAY_S

    async def _write(self, contents: list[int]) -> None:
        transaction = Transaction()
        now_ms = self.store_now_ms()
        now_s = asyncio.get_running_loop().time()
        for content in contents:
            suspect = self._suspects.by_content.get(content)
            if suspect is None or not (suspect.crash_by_worker or self._keeps_served(suspect)):
                transaction.removals.append(self._key(content))
                if content in self.claims:
                    transaction.removals.append(self.claim_key(content))
                continue
            crashes = {
                str(worker): [
                    now_ms - age_ms(now_s, crash.at_s),
                    round(crash.run_duration_s * 1000),
                ]
                for worker, crash in suspect.crash_by_worker.items()
            }
            fields: dict[str, Any] = {"ends": crashes}
            if suspect.trials.count:
                tried_ms = now_ms - age_ms(now_s, suspect.trials.last_at_s)
                fields["trials"] = [suspect.trials.count, tried_ms]
            if suspect.has_uncounted_crashes:
                fields["uncounted"] = True
            if self._keeps_served(suspect):
                fields["served"] = now_ms - age_ms(now_s, suspect.served_at_s)
            transaction.puts.append((self._key(content), orjson.dumps(fields)))
        self._pending_writes.difference_update(contents)
        try:
            await self.store.commit(transaction)
        except StoreError:
            self._pending_writes.update(contents)
            raise

    def _keeps_served(self, suspect: Suspect) -> bool:
        return self._row_prefix == PART_ROW_PREFIX and suspect.was_served

    def _merge_row(self, content: int, row: StoredRow, now_s: float) -> bool:
        if row.value is None:
            self._stored_contents.discard(content)
            return False
        self._stored_contents.add(content)
        fields = orjson.loads(row.value)
        crash_by_worker = {
            int(worker): WorkerCrash(now_s - self._age_s(at_ms), run_duration_ms / 1000)
            for worker, (at_ms, run_duration_ms) in fields["ends"].items()
        }
        trials = NO_TRIALS
        if "trials" in fields:
            count, tried_ms = fields["trials"]
            trials = Trials(int(count), now_s - self._age_s(tried_ms))
        served_at_s = self._served_at_s(fields.get("served"), now_s)
        return self._suspects.merge(
            content,
            crash_by_worker,
            served_at_s,
            trials,
            has_uncounted_crashes=bool(fields.get("uncounted")),
        )

    def _take_claim(self, content: int, row: StoredRow, now_s: float) -> None:
        if row.value is None:
            self.claims.note_removed(content)
            return
        fields = orjson.loads(row.value)
        trials = Trials(int(fields["trial"]), now_s - self._age_s(fields["at"]))
        self.claims.note_row(content, row.version, TrialClaim(trials, str(fields["token"])))

    def _served_at_s(self, served_ms: int | None, now_s: float) -> float:
        """Return a stored time of service, ``NEVER_S`` if there is none.

        Also while the store's clock is unknown, as a time too late would refute later crashes.
        """
        if served_ms is None:
            return NEVER_S
        try:
            return now_s - max(0.0, (self.store_now_ms() - served_ms) / 1000)
        except StoreError:
            return NEVER_S

    def _age_s(self, at_ms: int) -> float:
        """Return the age of a stored time, 0 while the store's clock is unknown."""
        try:
            return max(0.0, (self.store_now_ms() - at_ms) / 1000)
        except StoreError:
            return 0.0

    def _key(self, content: int) -> RowKey:
        return RowKey(SUSPECTS_TABLE, "", self._row_prefix + content_name(content))
