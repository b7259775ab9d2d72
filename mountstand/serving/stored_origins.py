"""Keeps the origins of recent streams in the store while a service has several software versions.

Daemons tell each other which software began a stream, and all of that is lost when all of them die
at once. With one software this does no harm: any stream goes on there. With several, each daemon
writes the streams that began at it into one row, some times a second at most and no call for each
stream. A daemon that starts reads all rows.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import orjson

from mountstand.serving.stream_origins import StreamOrigins
from mountstand.store.rows import (
    DECODE_ERRORS,
    RowKey,
    RowStore,
    StoredRow,
    StoreError,
    Transaction,
    read_all,
)
from mountstand.telemetry.decisions import DecisionLog

ORIGINS_TABLE = "stream_origins"
"""Table of origins, with one row for each daemon."""

MIN_WRITE_INTERVAL_S = 0.25
MAX_WRITES_PER_S = 100.0
"""Limit on the writes of all daemons together, which makes the interval longer in large fleets."""

MAX_STREAMS_PER_ROW = 1500
"""Streams in one row, the latest ones; up to 34 bytes each. Rows may have 64 KiB."""

RETRY_DELAY_S = 0.5


class StoredOrigins:
    """Reads the origins that former processes stored, then writes this daemon's own ones.

    ``is_needed`` returns whether streams of several softwares may be under way, and
    ``daemon_count`` how many daemons write.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        store: RowStore,
        daemon_name: str,
        is_needed: Callable[[], bool],
        daemon_count: Callable[[], int],
        log: DecisionLog,
    ) -> None:
        self._origins = origins
        self._store = store
        self._daemon_name = daemon_name
        self._is_needed = is_needed
        self._daemon_count = daemon_count
        self._log = log
        self._written: list[tuple[int, int]] = []

    async def run(self) -> None:
        """Read all rows once, then write this daemon's row whenever it has changed."""
        await self._load()
        while True:
            await asyncio.sleep(self._interval_s())
            if not self._is_needed():
                continue
            try:
                await self._write()
            except StoreError as error:
                self._log.event("stream_origins_delayed", cause=type(error).__name__)
                await asyncio.sleep(RETRY_DELAY_S)

    def _interval_s(self) -> float:
        return max(MIN_WRITE_INTERVAL_S, self._daemon_count() / MAX_WRITES_PER_S)

    async def _load(self) -> None:
        while True:
            try:
                page = await read_all(self._store, ORIGINS_TABLE, "")
            except StoreError as error:
                self._log.event("stream_origins_unread", cause=type(error).__name__)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            for row in page.rows:
                self._take(row)
            self._log.event("stream_origins_read", rows=len(page.rows))
            return

    def _take(self, row: StoredRow) -> None:
        """Take over a row; that of this daemon's former process is written on."""
        now_s = asyncio.get_running_loop().time()
        note = self._origins.note
        if row.key.key == self._daemon_name:
            note = self._origins.note_own
        try:
            for stream, software in orjson.loads(row.value or b"[]"):
                if self._origins.software(int(stream)) is None:
                    note(int(stream), int(software), now_s)
        except DECODE_ERRORS as error:
            self._log.event("stream_origins_unreadable", key=row.key.key, cause=repr(error))

    async def _write(self) -> None:
        own = [(origin.stream, origin.software) for origin in self._origins.own()]
        own = own[-MAX_STREAMS_PER_ROW:]
        if own == self._written:
            return
        key = RowKey(ORIGINS_TABLE, "", self._daemon_name)
        await self._store.commit(Transaction(puts=[(key, orjson.dumps(own))]))
        self._written = own
