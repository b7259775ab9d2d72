"""Thread-safe routing for one daemon: a lock around the fleet view and the worker chooser."""

from __future__ import annotations

import random
import threading
from collections.abc import Iterable

from mountstand.clock import elapsed_s
from mountstand.engines.port import CacheEvent, LoadFigures, LoadReport
from mountstand.routing.chooser import RouteRequest, WorkerChooser
from mountstand.routing.fleet_view import DispatchOutcome, FleetView
from mountstand.store.ports import Machine, MachineRole

IDLE_POLLING_BUSY_LIMIT = 64
"""With at least this many workers busy, idle workers are not polled.

A skipped worker is polled again as soon as it gets a dispatch or fewer workers are busy.
"""

MODELS_CACHE_TTL_S = 0.5
"""Avoids collecting the models of all workers for every request."""

BATCH_OVERCOMMIT = 1.125
"""Batch items dispatched per idle slot.

The surplus queues at the engine, which can fill a freed slot without a round trip. The engine
schedules batch items behind online requests.
"""


class Router:
    """Thread-safe entry point to :mod:`mountstand.routing`."""

    def __init__(self, home_zone: str, seed: int) -> None:
        self._lock = threading.Lock()
        self._view = FleetView()
        self._chooser = WorkerChooser(self._view, home_zone, random.Random(seed))
        self._models: dict[str, str] = {}
        self._models_cached_at_s = 0.0
        self.version = 0
        """Cache validator for data derived from the workers.

        Increases with every machine list that is applied and every change of drains.
        """

    def begin_dispatch(self, request: RouteRequest) -> Machine | None:
        """Choose a worker and count the dispatch; return ``None`` if no worker is eligible."""
        with self._lock:
            worker = self._chooser.choose(request, elapsed_s())
            if worker is None:
                return None
            self._view.record_dispatch_start(worker.worker_id)
            return worker.machine

    def has_candidate(self, request: RouteRequest) -> bool:
        """Return whether any worker may take ``request``, now or after a backoff."""
        with self._lock:
            candidates = self._view.candidates(request.service, elapsed_s())
            return any(request.allows(worker.machine) for worker in candidates)

    def end_dispatch(self, worker_id: str, outcome: DispatchOutcome) -> None:
        """Record the end and outcome of an online dispatch."""
        with self._lock:
            self._view.record_dispatch_end(worker_id, outcome, elapsed_s())

    def begin_batch_dispatch(self, worker_id: str) -> None:
        """Count a batch dispatch to a worker that the batch executor has chosen."""
        with self._lock:
            self._view.record_dispatch_start(worker_id, batch=True)

    def end_batch_dispatch(self, worker_id: str, outcome: DispatchOutcome) -> None:
        """Record the end and outcome of a batch dispatch."""
        with self._lock:
            self._view.record_dispatch_end(worker_id, outcome, elapsed_s(), batch=True)

    def set_backoff(self, worker_id: str, delay_s: float) -> None:
        """Exclude a worker that refused a request from dispatches for ``delay_s``."""
        with self._lock:
            self._view.set_backoff(worker_id, elapsed_s() + delay_s)

    def update_machines(self, machines: Iterable[Machine]) -> None:
        """Apply the platform's machine list."""
        with self._lock:
            self._view.update_machines(machines)
            self.version += 1

    def record_load(self, worker_id: str, report: LoadReport) -> None:
        """Store a load report received just now in answer to a poll."""
        with self._lock:
            self._view.record_load(worker_id, report, elapsed_s())

    def record_response_load(self, worker_id: str, load: LoadFigures | None) -> None:
        """Update a worker's load from a response; ``load`` is ``None`` if the response had none."""
        if load is not None:
            with self._lock:
                self._view.record_response_load(worker_id, load, elapsed_s())

    def record_failure(self, worker_id: str) -> None:
        """Count a failure observed outside a dispatch, such as a failed load poll."""
        with self._lock:
            worker = self._view.workers.get(worker_id)
            if worker is not None:
                worker.health.record_failure(elapsed_s())

    def record_cache_events(self, worker_id: str, events: Iterable[CacheEvent]) -> None:
        """Apply the cache events of one worker to the prefix index."""
        with self._lock:
            index = self._chooser.prefix_index
            for event in events:
                if event.stored:
                    index.record_stored(event.block, worker_id)
                else:
                    index.record_evicted(event.block, worker_id)

    def apply_drains(
        self,
        worker_ids: frozenset[str],
        zones: frozenset[str],
        zone_weights: dict[str, float],
    ) -> None:
        """Apply the operators' drains of workers and zones, and their zone weights.

        A zone's weight is the probability with which each of its workers is considered.
        """
        with self._lock:
            if self._view.set_drained(worker_ids, zones):
                self.version += 1
            self._chooser.zone_weights = dict(zone_weights)

    def machines(self) -> list[Machine]:
        """Return the machines of all known workers."""
        with self._lock:
            return [worker.machine for worker in self._view.workers.values()]

    def workers_to_poll(self) -> list[Machine]:
        """Return the workers to poll: all of them, or only the busy ones if many are busy."""
        with self._lock:
            workers = list(self._view.workers.values())
        busy = [w.machine for w in workers if w.in_flight or w.batch_in_flight]
        if len(busy) >= IDLE_POLLING_BUSY_LIMIT:
            return busy
        return busy + [w.machine for w in workers if not (w.in_flight or w.batch_in_flight)]

    def services(self) -> set[str]:
        """Return the services that have at least one worker."""
        with self._lock:
            return self._view.services()

    def models(self) -> dict[str, str]:
        """Map each model name, and each engine service's own name, to a service.

        A model maps to a service whose engines have it loaded.

        The result may be stale by up to ``MODELS_CACHE_TTL_S``.
        """
        now_s = elapsed_s()
        if now_s - self._models_cached_at_s > MODELS_CACHE_TTL_S or not self._models:
            with self._lock:
                self._models = self._view.models()
            self._models_cached_at_s = now_s
        return self._models

    def capacity(self, service: str) -> int:
        """Return the total slots of the candidates for ``service`` in all zones.

        Leaving, drained and ejected workers are omitted as in :meth:`FleetView.candidates`. Workers
        in backoff are included.
        """
        with self._lock:
            candidates = self._view.candidates(service, elapsed_s())
            return sum(worker.slots for worker in candidates)

    def engines(self) -> list[Machine]:
        """Return the engines that are neither leaving nor drained."""
        with self._lock:
            return [
                worker.machine
                for worker in self._view.workers.values()
                if worker.machine.role is MachineRole.ENGINE and not worker.closed_to_new_work
            ]

    def batch_slot_limit(self, worker_id: str) -> int:
        """Return how many batch items this daemon may have in flight at a worker.

        The limit includes the daemon's batch items already in flight there.
        """
        with self._lock:
            return self._batch_slot_limit_locked(worker_id)

    def batch_headroom(self, worker_id: str) -> int:
        """Return how many more batch items a worker can take without displacing online requests."""
        with self._lock:
            worker = self._view.workers.get(worker_id)
            if worker is None or worker.backoff_until_s > elapsed_s():
                return 0
            return max(0, self._batch_slot_limit_locked(worker_id) - worker.batch_in_flight)

    def _batch_slot_limit_locked(self, worker_id: str) -> int:
        """Implement :meth:`batch_slot_limit`; the caller must hold the lock."""
        worker = self._view.workers.get(worker_id)
        now_s = elapsed_s()
        if worker is None or worker.closed_to_new_work or worker.report is None:
            return 0
        if worker.health.is_ejected(now_s):
            return 0
        idle_slots = worker.slots - worker.estimated_load(now_s) * worker.slots
        return max(0, int(idle_slots * BATCH_OVERCOMMIT))

    def status(self) -> list[dict[str, object]]:
        """Return one status row per worker, for operators."""
        with self._lock:
            now_s = elapsed_s()
            return [
                {
                    "worker": worker.worker_id,
                    "service": worker.machine.service,
                    "zone": worker.machine.zone,
                    "load": round(worker.estimated_load(now_s), 3),
                    "in_flight": worker.in_flight,
                    "batch_in_flight": worker.batch_in_flight,
                    "leaving": worker.closed_to_new_work,
                    "ejected": worker.health.is_ejected(now_s),
                }
                for worker in self._view.workers.values()
            ]
