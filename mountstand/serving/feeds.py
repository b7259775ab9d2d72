"""Puts what the feeds tell of the configuration and of workers into force.

A row that cannot be read is told and passed over: the last good configuration stays in force, and
one strange row names no worker to use and does not hide the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from mountstand.serving.configuration import Configuration
from mountstand.serving.worker import WorkerRecord
from mountstand.serving.workers import WorkerDirectory
from mountstand.store.rows import RowKey, StoredRow
from mountstand.store.watch import TableChange
from mountstand.telemetry.decisions import DecisionLog

DECODE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


class ConfigurationSource(Protocol):
    """Where the platform keeps what the operator configures, and its workers."""

    configuration_table: str
    configuration_key: str
    workers_table: str

    def decode_configuration(self, value: bytes) -> Configuration:
        """Return the configuration that a row holds."""

    def decode_worker(self, row: StoredRow) -> WorkerRecord:
        """Return the worker that a row describes. Raises what ``DECODE_ERRORS`` lists."""

    def evacuated_zone(self, key: str) -> str | None:
        """Return the zone that a row of the configuration's table evacuates, if any."""

    def evacuation_status_key(self, zone: str) -> RowKey:
        """Return where the operator reads how far the evacuation of a zone is."""


class ConfigurationState:
    """The newest configuration; it never goes back to an older one."""

    def __init__(
        self,
        source: ConfigurationSource,
        log: DecisionLog,
        on_change: Callable[[Configuration], None],
    ) -> None:
        self._source = source
        self._log = log
        self._on_change = on_change
        self._row_version = 0
        self.current: Configuration | None = None

    def apply(self, change: TableChange) -> None:
        """Take changed rows of the operator's table."""
        for row in change.rows:
            is_newer = row.version > self._row_version
            if row.key.key == self._source.configuration_key and row.value and is_newer:
                self._apply_value(row.value, row.version)

    def _apply_value(self, value: bytes, row_version: int) -> None:
        self._row_version = row_version
        try:
            configuration = self._source.decode_configuration(value)
        except DECODE_ERRORS as problem:
            self._log.event(
                "configuration_unreadable", row_version=row_version, cause=repr(problem)
            )
            return
        self.current = configuration
        self._on_change(configuration)
        self._log.event(
            "configuration_applied",
            version=configuration.version,
            row_version=row_version,
            routes=len(configuration.routes),
        )


class WorkerDirectorySync:
    """Keeps a worker directory as the platform lists it."""

    def __init__(
        self, source: ConfigurationSource, directory: WorkerDirectory, log: DecisionLog
    ) -> None:
        self._source = source
        self._directory = directory
        self._log = log

    def apply(self, change: TableChange) -> None:
        """Take changed rows of the workers' table, or all of them."""
        now_s = asyncio.get_running_loop().time()
        if change.complete:
            decoded = [self._decode(row) for row in change.rows]
            records = [record for record in decoded if record is not None]
            self._directory.replace_all(records, now_s)
            self._log.event("workers_listed", count=len(records))
            return
        for row in change.rows:
            self._apply_row(row, now_s)

    def _apply_row(self, row: StoredRow, now_s: float) -> None:
        record = self._decode(row) if row.value is not None else None
        if record is None:
            if self._directory.remove(row.key.key, row.version, now_s):
                self._log.event("worker_removed", worker=row.key.key, version=row.version)
        elif self._directory.put(record, now_s):
            self._log.event(
                "worker_changed",
                worker=record.worker_id,
                address=f"{record.host}:{record.port}",
                draining=record.draining,
                version=row.version,
            )

    def _decode(self, row: StoredRow) -> WorkerRecord | None:
        try:
            return self._source.decode_worker(row)
        except DECODE_ERRORS as problem:
            self._log.event(
                "worker_unreadable", worker=row.key.key, version=row.version, cause=repr(problem)
            )
            return None
