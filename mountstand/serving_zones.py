"""Zones out of use, and cold workers: the part of one serving process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mountstand.limits.sharing import LimitSharing
from mountstand.serving.batch_room import BatchScheduler
from mountstand.serving.cold_workers import ColdStartShares, ColdStartTolerance
from mountstand.serving.configuration import Configuration
from mountstand.serving.evacuation import ZoneEvacuations
from mountstand.serving.evacuation_status import EvacuationStatusPublisher
from mountstand.serving.feeds import ConfigurationSource
from mountstand.serving.load_sharing import LoadSharing
from mountstand.serving.workers import WorkerDirectory
from mountstand.store.rows import RowStore
from mountstand.store.watch import TableChange
from mountstand.telemetry.decisions import DecisionLog
from mountstand.telemetry.serving_metrics import ServingMetrics


class ServingZones:
    """Puts evacuations and cold starts into force.

    ``has_recent_fleet_view`` returns whether the picture of the daemons is fresh, ``is_writer_for`` whether this
    daemon tells the operator of a zone.
    """

    def __init__(
        self,
        directory: WorkerDirectory,
        batch_scheduler: BatchScheduler,
        load_sharing: LoadSharing,
        store: RowStore,
        source: ConfigurationSource,
        limit_sharing: LimitSharing,
        tolerance: ColdStartTolerance,
        has_recent_fleet_view: Callable[[], bool],
        is_writer_for: Callable[[str], bool],
        metrics: ServingMetrics,
        log: DecisionLog,
    ) -> None:
        self._directory = directory
        self._batch_scheduler = batch_scheduler
        self._load_sharing = load_sharing
        self._metrics = metrics
        self._log = log
        began_s = asyncio.get_running_loop().time()
        self._cold_sends = ColdStartShares(limit_sharing, tolerance, began_s, has_recent_fleet_view)
        self._evacuations = ZoneEvacuations(source.evacuated_zone, log, self._use_evacuations)
        self._status = EvacuationStatusPublisher(
            store, directory, self._evacuations, source.evacuation_status_key, is_writer_for, log
        )

    @property
    def evacuated(self) -> frozenset[str]:
        """The zones that are out of use."""
        return self._evacuations.zones

    def apply(self, change: TableChange) -> None:
        """Take changed rows of the operator's table."""
        self._evacuations.apply(change)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Take what the workers of each service bear after a start."""
        cold_start_limit = {
            each.name: each.cold_start_limit
            for each in configuration.services.values()
            if each.cold_start_limit
        }
        now_s = asyncio.get_running_loop().time()
        self._directory.set_cold_start_limits(cold_start_limit, self._cold_sends, now_s)

    def set_tolerance(self, tolerance: ColdStartTolerance) -> None:
        """Keep the bound of cold workers as exactly as this from now on."""
        self._cold_sends.tolerance = tolerance

    async def run(self) -> None:
        """Tell the operator how far evacuations are, until cancelled."""
        await self._status.run()

    def _use_evacuations(self, zones: frozenset[str]) -> None:
        """Send nothing more to workers of evacuated zones, and name their daemons to nobody."""
        left = self._directory.set_evacuated_zones(zones, asyncio.get_running_loop().time())
        self._load_sharing.set_evacuated_zones(zones)
        self._metrics.zones_evacuated(len(zones))
        if left:
            self._log.event(
                "workers_evacuated",
                workers=len(left),
                requests_left=sum(worker.online for worker in left),
                items_moved=sum(self._batch_scheduler.preempt_all(worker) for worker in left),
            )
