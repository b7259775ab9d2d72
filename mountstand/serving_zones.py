"""Zone evacuations and cold-start limits, as one serving process enforces them."""

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
    """Enforces zone evacuations and cold-start limits, and publishes the status of evacuations.

    Both restrict which workers of the directory may get requests. ``has_recent_fleet_view`` returns
    whether this daemon's view of the fleet is recent enough to rely on its share of a cold-start
    limit, and ``is_writer_for`` whether this daemon writes the status row of a zone.
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
        started_s = asyncio.get_running_loop().time()
        self._cold_start_shares = ColdStartShares(
            limit_sharing, tolerance, started_s, has_recent_fleet_view
        )
        self._evacuations = ZoneEvacuations(source.evacuated_zone, log, self._apply_evacuations)
        self._status = EvacuationStatusPublisher(
            store, directory, self._evacuations, source.evacuation_status_key, is_writer_for, log
        )

    @property
    def evacuated(self) -> frozenset[str]:
        """The zones that the operator has evacuated."""
        return self._evacuations.zones

    def apply(self, change: TableChange) -> None:
        """Process changed rows of the configuration table."""
        self._evacuations.apply(change)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply the cold-start limits of all services."""
        limit_by_service = {
            service.name: service.cold_start_limit
            for service in configuration.services.values()
            if service.cold_start_limit
        }
        now_s = asyncio.get_running_loop().time()
        self._directory.set_cold_start_limits(limit_by_service, self._cold_start_shares, now_s)

    def set_tolerance(self, tolerance: ColdStartTolerance) -> None:
        """Change the tolerated excess over the cold-start limits."""
        self._cold_start_shares.tolerance = tolerance

    async def run(self) -> None:
        """Publish the progress of evacuations to the operator, until cancelled."""
        await self._status.run()

    def _apply_evacuations(self, zones: frozenset[str]) -> None:
        """Withdraw the workers in ``zones`` and preempt this daemon's batch items on them.

        Callers are no longer referred to daemons there, unless there are no others.
        """
        evacuated_workers = self._directory.set_evacuated_zones(
            zones, asyncio.get_running_loop().time()
        )
        self._load_sharing.set_evacuated_zones(zones)
        self._metrics.zones_evacuated(len(zones))
        if evacuated_workers:
            self._log.event(
                "workers_evacuated",
                workers=len(evacuated_workers),
                requests_left=sum(worker.online for worker in evacuated_workers),
                items_moved=sum(
                    self._batch_scheduler.preempt_all(worker) for worker in evacuated_workers
                ),
            )
