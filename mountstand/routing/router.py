"""Thread-safe routing for one daemon: the fleet view, the chooser and one lock round both."""

from __future__ import annotations

import random
import threading
from collections.abc import Iterable

from mountstand.clock import elapsed_s
from mountstand.engines.port import CacheChange, LoadFigures, LoadReport
from mountstand.routing.chooser import RouteRequest, WorkerChooser
from mountstand.routing.fleet_view import DispatchOutcome, FleetView
from mountstand.store.ports import Machine, MachineRole

BUSY_WORKERS_TO_SKIP_IDLE_POLLING = 64
"""With this many workers in use, idle ones are not polled; a dispatch brings them in."""

MODELS_CACHE_TTL_S = 0.5
"""Reading the models off every worker for every request is dear in a large fleet."""

BATCH_OVERCOMMIT = 1.125
"""Batch items per idle slot: the surplus waits at the engine, so that a slot that falls free is
taken without a round trip. The engine's priorities keep it behind online work."""


class Router:
    """Front of :mod:`mountstand.routing` for threads."""

    def __init__(self, home_zone: str, seed: int) -> None:
        self._lock = threading.Lock()
        self._view = FleetView()
        self._chooser = WorkerChooser(self._view, home_zone, random.Random(seed))
        self._models: dict[str, str] = {}
        self._models_read_s = 0.0
        self.version = 0
        """Rises when workers come, go or are drained; for caches of what follows from them."""

    def begin_dispatch(self, request: RouteRequest) -> Machine | None:
        """Choose a worker and count the dispatch; ``None`` when none may take it."""
        with self._lock:
            worker = self._chooser.choose(request, elapsed_s())
            if worker is None:
                return None
            self._view.begin_dispatch(worker.worker_id)
            return worker.machine

    def end_dispatch(self, worker_id: str, outcome: DispatchOutcome) -> None:
        """Count the end of a dispatch."""
        with self._lock:
            self._view.end_dispatch(worker_id, outcome, elapsed_s())

    def begin_batch_dispatch(self, worker_id: str) -> None:
        """Count a batch dispatch to a worker chosen by the batch executor."""
        with self._lock:
            self._view.begin_dispatch(worker_id, batch=True)

    def end_batch_dispatch(self, worker_id: str, outcome: DispatchOutcome) -> None:
        """Count the end of a batch dispatch."""
        with self._lock:
            self._view.end_dispatch(worker_id, outcome, elapsed_s(), batch=True)

    def set_backoff(self, worker_id: str, delay_s: float) -> None:
        """Leave a worker out for ``delay_s`` because it refused."""
        with self._lock:
            self._view.set_backoff(worker_id, elapsed_s() + delay_s)

    def update_machines(self, machines: Iterable[Machine]) -> None:
        """Take over the platform's machine list."""
        with self._lock:
            self._view.update_machines(machines)
            self.version += 1

    def record_load(self, worker_id: str, report: LoadReport) -> None:
        """Take a load report."""
        with self._lock:
            self._view.record_load(worker_id, report, elapsed_s())

    def record_response_load(self, worker_id: str, load: LoadFigures | None) -> None:
        """Take the load that came with an answer, if it did."""
        if load is not None:
            with self._lock:
                self._view.record_response_load(worker_id, load, elapsed_s())

    def record_failure(self, worker_id: str) -> None:
        """Count a failure seen outside a dispatch, such as an unanswered load poll."""
        with self._lock:
            worker = self._view.workers.get(worker_id)
            if worker is not None:
                worker.health.record_failure(elapsed_s())

    def record_cache_changes(self, worker_id: str, changes: Iterable[CacheChange]) -> None:
        """Take cache events of one worker."""
        with self._lock:
            index = self._chooser.prefix_index
            for change in changes:
                if change.stored:
                    index.record_stored(change.block, worker_id)
                else:
                    index.record_evicted(change.block, worker_id)

    def apply_drains(
        self,
        worker_ids: frozenset[str],
        zones: frozenset[str],
        zone_weights: dict[str, float],
    ) -> None:
        """Take over operators' drains of workers and zones, and weights of zones."""
        with self._lock:
            if self._view.set_drained(worker_ids, zones):
                self.version += 1
            self._chooser.zone_weights = dict(zone_weights)

    def machines(self) -> list[Machine]:
        """Return every known worker machine."""
        with self._lock:
            return [worker.machine for worker in self._view.workers.values()]

    def workers_to_poll(self) -> list[Machine]:
        """Return the workers to poll: all of them while few, else those in use first."""
        with self._lock:
            workers = list(self._view.workers.values())
        busy = [w.machine for w in workers if w.in_flight or w.batch_in_flight]
        if len(busy) >= BUSY_WORKERS_TO_SKIP_IDLE_POLLING:
            return busy
        return busy + [w.machine for w in workers if not (w.in_flight or w.batch_in_flight)]

    def services(self) -> set[str]:
        """Return the services that some worker serves."""
        with self._lock:
            return self._view.services()

    def models(self) -> dict[str, str]:
        """Return each model with the service that has it."""
        now_s = elapsed_s()
        if now_s - self._models_read_s > MODELS_CACHE_TTL_S or not self._models:
            with self._lock:
                self._models = self._view.models()
            self._models_read_s = now_s
        return self._models

    def capacity(self, service: str) -> int:
        """Return the slots of the workers of ``service`` that may get work, home zone first."""
        with self._lock:
            candidates = self._view.candidates(service, elapsed_s())
            return sum(worker.slots for worker in candidates)

    def engines(self) -> list[Machine]:
        """Return the engines that may get work."""
        with self._lock:
            return [
                worker.machine
                for worker in self._view.workers.values()
                if worker.machine.role is MachineRole.ENGINE and not worker.leaving
            ]

    def batch_slot_limit(self, worker_id: str) -> int:
        """Return how many batch items a worker should have, those it has now included."""
        with self._lock:
            return self._batch_slots(worker_id)

    def batch_headroom(self, worker_id: str) -> int:
        """Return how many more batch items a worker can take without displacing online work."""
        with self._lock:
            worker = self._view.workers.get(worker_id)
            if worker is None or worker.backoff_until_s > elapsed_s():
                return 0
            return max(0, self._batch_slots(worker_id) - worker.batch_in_flight)

    def _batch_slots(self, worker_id: str) -> int:
        worker = self._view.workers.get(worker_id)
        now_s = elapsed_s()
        if worker is None or worker.leaving or worker.report is None:
            return 0
        if worker.health.is_ejected(now_s):
            return 0
        idle_slots = worker.slots - worker.estimated_load(now_s) * worker.slots
        return max(0, int(idle_slots * BATCH_OVERCOMMIT))

    def status(self) -> list[dict[str, object]]:
        """Return one line per worker for operators."""
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
                    "leaving": worker.leaving,
                    "ejected": worker.health.is_ejected(now_s),
                }
                for worker in self._view.workers.values()
            ]
