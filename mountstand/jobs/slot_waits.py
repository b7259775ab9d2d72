"""Waits of a job's items for slots, which end when what they were begun with has changed.

An item may wait for long, while routes move, workers leave and the retention of its job runs out. A
wait that went on regardless could be for a slot that never becomes free, or that the item may no
longer use.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from mountstand.jobs.item_execution import ItemProgress, RunnerContext
from mountstand.jobs.model import JobHead
from mountstand.serving.batch_room import Placement, Urgency
from mountstand.serving.configuration import Configuration, Route
from mountstand.serving.residency import Regions

RECHECK_INTERVAL_S = 1.0
"""How often waits are compared with the configuration and the workers."""

SAME_SOFTWARE_WAIT_S = 2.0
"""How long an item with output waits for a slot at the software that wrote it, before any slot may
be taken and the item may begin anew. A whole run takes some seconds."""


class WaitEnd(Enum):
    """Why a wait ended without a slot; the values are logged."""

    TERMS_CHANGED = "route or tenant changed"
    NO_WORKERS = "service without workers"


@dataclass(frozen=True, slots=True)
class RunTerms:
    """What the configuration says of an item: where it may run, and how urgent it is."""

    route: Route
    regions: Regions | None
    priority: int


@dataclass(slots=True, eq=False)
class _Wait:
    progress: ItemProgress
    terms: RunTerms
    pool_name: str
    limit: asyncio.Timeout
    configuration: Configuration | None
    """The configuration that was last found to hold the same terms."""


class SlotWaits:
    """The waits for slots of one job's items.

    ``head`` returns the job's current head.
    """

    def __init__(self, context: RunnerContext, head: Callable[[], JobHead]) -> None:
        self._context = context
        self._head = head
        self._waits: set[_Wait] = set()

    def terms(self, progress: ItemProgress) -> RunTerms | None:
        """Return the present terms of an item, ``None`` without a configuration or a route."""
        configuration = self._context.configuration()
        if configuration is None:
            return None
        head = self._head()
        route = configuration.match(head.host, progress.item.target)
        if route is None:
            return None
        tenant = configuration.tenants.by_name.get(head.tenant)
        priority = route.priority if tenant is None else tenant.effective_priority(route.priority)
        return RunTerms(route, configuration.regions_for(route, head.tenant), priority)

    def retention_left_s(self, route: Route) -> float | None:
        """Return the time until items may be given up, ``None`` if there is no such time."""
        if route.retention_s <= 0:
            return None
        return route.retention_s - self._job_age_s()

    async def acquire(self, progress: ItemProgress, terms: RunTerms) -> Placement | None:
        """Wait for a slot; return ``None`` once the wait has become pointless.

        That is so when the item's terms have changed, when only other services of its route have
        workers, and when the retention of its job is over.
        """
        placement = await self._acquire_at_same_software(progress, terms)
        if placement is not None:
            return placement
        if self.terms(progress) != terms:
            return None
        service = self._choose_service(terms)
        pool_name = self._context.directory.pool_name(service, terms.regions)
        limit_s = self.retention_left_s(terms.route)
        return await self._acquire_in_pool(progress, terms, service, pool_name, limit_s)

    async def recheck_periodically(self) -> None:
        """End waits that have become pointless, until cancelled."""
        while True:
            await asyncio.sleep(RECHECK_INTERVAL_S * random.uniform(0.8, 1.2))
            self.recheck()

    def recheck(self) -> None:
        """End the waits that have become pointless."""
        now_s = asyncio.get_running_loop().time()
        ended: Counter[str] = Counter()
        for wait in list(self._waits):
            end = self._pointless(wait)
            if end is not None:
                self._waits.discard(wait)
                wait.limit.reschedule(now_s)
                ended[end.value] += 1
        if ended:
            self._context.log.event("slot_waits_ended", job=self._head().job_id, causes=dict(ended))

    def _pointless(self, wait: _Wait) -> WaitEnd | None:
        """Return why a wait can't bring a slot that the item may use, ``None`` if it may."""
        configuration = self._context.configuration()
        if configuration is not wait.configuration:
            if self.terms(wait.progress) != wait.terms:
                return WaitEnd.TERMS_CHANGED
            wait.configuration = configuration
        if self._context.directory.active_workers(wait.pool_name):
            return None
        return WaitEnd.NO_WORKERS if self._services_with_workers(wait.terms) else None

    def _services_with_workers(self, terms: RunTerms) -> dict[str, float]:
        """Return the weights of the services of a route that have workers, by name."""
        directory = self._context.directory
        return {
            share.service: share.weight
            for share in terms.route.shares
            if share.weight > 0
            and directory.active_workers(directory.pool_name(share.service, terms.regions))
        }

    def _choose_service(self, terms: RunTerms) -> str:
        """Choose a service of the route, by weight, among those that have workers if any has."""
        service = self._context.service_chooser.choose(terms.route)
        weights = self._services_with_workers(terms)
        if not weights or service in weights:
            return service
        return random.choices(list(weights), list(weights.values()))[0]

    async def _acquire_at_same_software(
        self, progress: ItemProgress, terms: RunTerms
    ) -> Placement | None:
        """Wait for a slot at the software that wrote the item's output so far.

        Returns ``None`` if it has no workers for the route, or no slot for a while.
        """
        software_key = progress.software_key
        if software_key is None:
            return None
        directory = self._context.directory
        service = directory.service_of_software(software_key)
        if service is None or service not in terms.route.services:
            return None
        pool_name = directory.software_pool_name(software_key, terms.regions)
        if not directory.active_workers(pool_name):
            return None
        return await self._acquire_in_pool(
            progress, terms, service, pool_name, SAME_SOFTWARE_WAIT_S
        )

    async def _acquire_in_pool(
        self,
        progress: ItemProgress,
        terms: RunTerms,
        service: str,
        pool_name: str,
        limit_s: float | None,
    ) -> Placement | None:
        """Wait in a pool, for at most ``limit_s``."""
        urgency = self._urgency(progress, terms, service)
        wait: _Wait | None = None
        try:
            async with asyncio.timeout(limit_s) as limit:
                wait = _Wait(progress, terms, pool_name, limit, None)
                self._waits.add(wait)
                return await self._context.batch_scheduler.acquire(pool_name, urgency)
        except TimeoutError:
            return None
        finally:
            if wait is not None:
                self._waits.discard(wait)

    def _urgency(self, progress: ItemProgress, terms: RunTerms, service: str) -> Urgency:
        time_to_target_s = terms.route.completion_target_s - self._job_age_s()
        now_s = asyncio.get_running_loop().time()
        average_s = self._context.batch_scheduler.durations.average_s(service)
        remaining_run_time_s = max(0.0, average_s - progress.run_time_s)
        return Urgency(now_s + time_to_target_s, remaining_run_time_s, terms.priority)

    def _job_age_s(self) -> float:
        return (self._context.store_now_ms() - self._head().accepted_ms) / 1000
