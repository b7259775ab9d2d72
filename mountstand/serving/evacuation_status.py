"""Tells the operator how far an evacuation is, in a row of the store.

One daemon writes for all: the one that is ranked first for the zone among those that run. Counts
are the sums that daemons tell each other, so what a daemon that is cut off still has there is not
in them. A row is written when its counts changed, and removed once the evacuation is taken back.
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

PERIOD_S = 1.0
"""How often counts are looked at: operators wait for seconds until a zone is empty."""


@dataclass(frozen=True, slots=True)
class EvacuationProgress:
    """What is left in a zone: workers, and requests and batch items in flight there."""

    workers: int
    requests: int
    items: int

    @property
    def done(self) -> bool:
        """Whether nothing runs there any more."""
        return not (self.requests or self.items)

    def encode(self, zone: str) -> bytes:
        """Return the row's value."""
        state = "empty" if self.done else "emptying"
        return orjson.dumps({"zone": zone, "state": state, **asdict(self)})


def progress_of(directory: WorkerDirectory, zone: str) -> EvacuationProgress:
    """Return what is left in a zone, as far as daemons tell each other."""
    workers = [worker for worker in directory.workers.values() if worker.record.zone == zone]
    return EvacuationProgress(
        len(workers),
        sum(worker.online for worker in workers),
        sum(worker.batch for worker in workers),
    )


class EvacuationStatusPublisher:
    """Keeps a row for each evacuated zone, as long as this daemon is the one to write it.

    ``key_of`` returns where the row of a zone is; ``is_writer_for`` whether this daemon writes it.
    """

    def __init__(
        self,
        store: RowStore,
        directory: WorkerDirectory,
        evacuations: ZoneEvacuations,
        key_of: Callable[[str], RowKey],
        is_writer_for: Callable[[str], bool],
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._directory = directory
        self._evacuations = evacuations
        self._key_of = key_of
        self._writes_for = is_writer_for
        self._log = log
        self._told: dict[str, EvacuationProgress] = {}

    async def run(self) -> None:
        """Tell what changed, until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            if self._told or self._evacuations.zones:
                await self.tell(self._evacuations.zones)

    async def tell(self, zones: Collection[str]) -> None:
        """Write rows of zones whose counts changed, and remove those of zones that are back."""
        for zone in [zone for zone in self._told if zone not in zones]:
            if await self._commit(Transaction(removals=[self._key_of(zone)]), zone):
                del self._told[zone]
        for zone in zones:
            progress = progress_of(self._directory, zone)
            if progress == self._told.get(zone) or not self._writes_for(zone):
                continue
            row = (self._key_of(zone), progress.encode(zone))
            if await self._commit(Transaction(puts=[row]), zone):
                self._told[zone] = progress
                self._log.event("evacuation_progress", zone=zone, **asdict(progress))

    async def _commit(self, transaction: Transaction, zone: str) -> bool:
        try:
            await self._store.commit(transaction)
        except StoreError as problem:
            self._log.event("evacuation_untold", zone=zone, cause=type(problem).__name__)
            return False
        return True
