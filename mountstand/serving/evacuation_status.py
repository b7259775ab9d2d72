"""Publishes the progress of zone evacuations to the operator, as rows in the store.

One daemon writes for the whole fleet: the live daemon that ranks first for the zone. Counts
are sums over the load digests of all daemons, so they lack the requests of a daemon that is
partitioned from the writer. A row is written when its counts change, and removed when the operator
ends the evacuation.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from dataclasses import asdict, dataclass

import orjson

from mountstand.serving.evacuation import ZoneEvacuations
from mountstand.serving.workers import WorkerDirectory
from mountstand.store.rows import RowKey, RowStore, StoreError, Transaction
from mountstand.telemetry.decisions import DecisionLog

PUBLISH_INTERVAL_S = 1.0
"""Short, since operators watch a zone become empty within seconds."""


@dataclass(frozen=True, slots=True)
class EvacuationProgress:
    """Workers that a zone still has, and online requests and batch items in flight there."""

    workers: int
    requests: int
    items: int

    @property
    def drained(self) -> bool:
        """Whether no request or batch item is in flight in the zone; workers may remain."""
        return not (self.requests or self.items)

    def encode(self, zone: str) -> bytes:
        """Return the value of the status row."""
        state = "empty" if self.drained else "emptying"
        return orjson.dumps({"zone": zone, "state": state, **asdict(self)})


def measure_progress(directory: WorkerDirectory, zone: str) -> EvacuationProgress:
    """Return the progress for a zone, from this daemon's load and its peers' digests."""
    workers = [worker for worker in directory.workers.values() if worker.record.zone == zone]
    return EvacuationProgress(
        len(workers),
        sum(worker.online for worker in workers),
        sum(worker.batch for worker in workers),
    )


class EvacuationStatusPublisher:
    """Maintains the status row of each evacuated zone for which this daemon is the writer.

    ``row_key_for`` returns the key of a zone's row, and ``is_writer_for`` whether this daemon
    writes it at present. A row is removed by the daemons that wrote it, as long as they run.
    """

    def __init__(
        self,
        store: RowStore,
        directory: WorkerDirectory,
        evacuations: ZoneEvacuations,
        row_key_for: Callable[[str], RowKey],
        is_writer_for: Callable[[str], bool],
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._directory = directory
        self._evacuations = evacuations
        self._row_key_for = row_key_for
        self._is_writer_for = is_writer_for
        self._log = log
        self._published_by_zone: dict[str, EvacuationProgress] = {}

    async def run(self) -> None:
        """Publish changes once per interval, until cancelled."""
        while True:
            await asyncio.sleep(PUBLISH_INTERVAL_S)
            if self._published_by_zone or self._evacuations.zones:
                await self.publish(self._evacuations.zones)

    async def publish(self, zones: Collection[str]) -> None:
        """Write the rows of evacuated ``zones`` whose counts changed.

        Also removes the rows that this daemon wrote for zones that are no longer evacuated.
        """
        for zone in [zone for zone in self._published_by_zone if zone not in zones]:
            if await self._commit(Transaction(removals=[self._row_key_for(zone)]), zone):
                del self._published_by_zone[zone]
        for zone in zones:
            progress = measure_progress(self._directory, zone)
            if progress == self._published_by_zone.get(zone) or not self._is_writer_for(zone):
                continue
            row = (self._row_key_for(zone), progress.encode(zone))
            if await self._commit(Transaction(puts=[row]), zone):
                self._published_by_zone[zone] = progress
                self._log.event("evacuation_progress", zone=zone, **asdict(progress))

    async def _commit(self, transaction: Transaction, zone: str) -> bool:
        try:
            await self._store.commit(transaction)
        except StoreError as error:
            self._log.event("evacuation_untold", zone=zone, cause=type(error).__name__)
            return False
        return True
