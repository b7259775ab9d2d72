"""Applies feed changes to the current configuration and the worker directory.

Invalid rows are logged. An invalid configuration row is ignored, so the last valid configuration
stays in force. An invalid worker row removes its worker from the directory, and doesn't affect the
others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from mountstand.serving.configuration import Configuration
from mountstand.serving.worker import WorkerRecord
from mountstand.serving.workers import WorkerDirectory
from mountstand.store.rows import DECODE_ERRORS, RowKey, StoredRow
from mountstand.store.watch import TableChange
from mountstand.telemetry.decisions import DecisionLog


class ConfigurationSource(Protocol):
    """Names and formats of the platform's rows for configuration, workers and evacuations."""

    configuration_table: str
    configuration_key: str
    workers_table: str

    def decode_configuration(self, value: bytes) -> Configuration:
        """Return the configuration in a row's value. Raises one of ``DECODE_ERRORS``."""

    def decode_worker(self, row: StoredRow) -> WorkerRecord:
        """Return the worker that a row describes. Raises one of ``DECODE_ERRORS``."""

    def evacuated_zone(self, key: str) -> str | None:
        """Return the zone that a row of the configuration table evacuates, or ``None``."""

    def evacuation_status_key(self, zone: str) -> RowKey:
        """Return the key of the row that holds the evacuation status of a zone."""


class ConfigurationState:
    """Holds the newest valid configuration, and ignores rows of older versions.

    ``on_change`` is called with each configuration that is put into force.
    """

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
        """Process changed rows of the configuration table."""
        for row in change.rows:
            is_newer = row.version > self._row_version
            if row.key.key == self._source.configuration_key and row.value and is_newer:
                self._apply_value(row.value, row.version)

    def _apply_value(self, value: bytes, row_version: int) -> None:
        self._row_version = row_version
        try:
            configuration = self._source.decode_configuration(value)
        except DECODE_ERRORS as error:
            self._log.event("configuration_unreadable", row_version=row_version, cause=repr(error))
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
    """Keeps the worker directory in step with the workers that the platform lists."""

    def __init__(
        self, source: ConfigurationSource, directory: WorkerDirectory, log: DecisionLog
    ) -> None:
        self._source = source
        self._directory = directory
        self._log = log

    def apply(self, change: TableChange) -> None:
        """Process changed rows of the workers table, or all of its rows."""
        now_s = asyncio.get_running_loop().time()
        if change.complete:
            decoded = [self._decode(row) for row in change.rows]
            records = [record for record in decoded if record is not None]
            self._directory.replace_all(records, now_s)
            self._log.event("workers_listed", count=len(records))
            return
        for row in change.rows:
            self._apply_row(row, now_s, unseen=row.key in change.unseen)

    def _apply_row(self, row: StoredRow, now_s: float, *, unseen: bool) -> None:
        record = self._decode(row) if row.value is not None else None
        if record is None:
            if self._directory.remove(row.key.key, row.version, now_s, unseen=unseen):
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
        except DECODE_ERRORS as error:
            self._log.event(
                "worker_unreadable", worker=row.key.key, version=row.version, cause=repr(error)
            )
            return None
